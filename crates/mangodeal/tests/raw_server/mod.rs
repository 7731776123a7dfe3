//! A server that writes arbitrary bytes, which need not be valid HTTP.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// A request that the server received.
#[derive(Clone, Debug)]
pub struct RawRequest {
    pub path: String,
    /// Identifier of the client attempt; empty for requests that daemons send by themselves.
    pub attempt: String,
    /// Number of the connection, and of earlier requests on it.
    pub connection: usize,
    pub preceding: usize,
}

impl RawRequest {
    /// Returns a complete answer to the request.
    pub fn answer(&self, status: &str, kind: &str, body: &str) -> String {
        let (attempt, length) = (&self.attempt, body.len());
        format!(
            "HTTP/1.1 {status}\r\nmangodeal-attempt-id: {attempt}\r\nmangodeal-server-seal: seal\r\n\
             content-type: {kind}\r\nkeep-alive: timeout=10\r\ncontent-length: {length}\r\n\r\n{body}"
        )
    }
}

/// Closes the connection, instead of a text.
pub const CLOSE: &str = "close";

/// Texts to write as an answer, each after a pause.
pub type Script = Vec<(Duration, String)>;

/// A server that answers each request with a script.
pub struct RawServer {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<RawRequest>>>,
    task: JoinHandle<()>,
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RawServer {
    pub async fn start<F>(script: F) -> RawServer
    where
        F: Fn(&RawRequest) -> Script + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests: Arc<Mutex<Vec<RawRequest>>> = Arc::default();
        let (script, received) = (Arc::new(script), requests.clone());
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            for number in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                connections.spawn(serve((number, stream), script.clone(), received.clone()));
            }
        });
        RawServer { address, requests, task }
    }

    pub fn requests(&self) -> Vec<RawRequest> {
        self.requests.lock().unwrap().clone()
    }
}

async fn serve<F>(
    (connection, mut stream): (usize, TcpStream),
    script: Arc<F>,
    received: Arc<Mutex<Vec<RawRequest>>>,
) where
    F: Fn(&RawRequest) -> Script,
{
    let mut bytes = Vec::new();
    let mut preceding = 0;
    while let Some(mut request) = read(&mut stream, &mut bytes).await {
        (request.connection, request.preceding) = (connection, preceding);
        preceding += 1;
        received.lock().unwrap().push(request.clone());
        for (pause, text) in script(&request) {
            tokio::time::sleep(pause).await;
            if text == CLOSE {
                return;
            }
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Reads one request. Bytes that follow it stay in `bytes`. Returns `None` when the connection closes.
async fn read(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<RawRequest> {
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_string();
            let field = |name: &str| {
                let prefix = format!("{name}: ");
                head.lines().find_map(|line| {
                    let is_match = line.to_ascii_lowercase().starts_with(&prefix);
                    is_match.then(|| line[prefix.len()..].to_owned())
                })
            };
            let length = field("content-length").map_or(0, |text| text.parse().unwrap());
            if bytes.len() >= end + 4 + length {
                bytes.drain(..end + 4 + length);
                let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
                let attempt = field("mangodeal-attempt-id").unwrap_or_default();
                return Some(RawRequest { path, attempt, connection: 0, preceding: 0 });
            }
        }
        let mut buffer = [0; 4_096];
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}
