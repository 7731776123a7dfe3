//! Stand-ins for sound servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{answer, listen, Conn, Message};

/// What the servers of a test have seen: how often each attempt began to run, and where.
#[derive(Default)]
pub struct Arrivals(pub Mutex<BTreeMap<String, Vec<String>>>);

impl Arrivals {
    pub fn add(&self, server: &str, request: &Message) {
        let attempt = request.header("mangodeal-attempt-id").to_owned();
        self.0.lock().unwrap().entry(attempt).or_default().push(server.to_owned());
    }
    pub fn of(&self, attempt: &str) -> Vec<String> {
        self.0.lock().unwrap().get(attempt).cloned().unwrap_or_default()
    }
}

/// Returns the answer of a server to a request that names another server.
pub fn misdirected(id: &str, request: &Message) -> Option<Vec<u8>> {
    let expected = request.header("mangodeal-expect-instance");
    let is_other = !expected.is_empty() && expected != id;
    let headers = [("Mangodeal-Instance-Id", id), ("Mangodeal-Not-Run", "1")];
    is_other.then(|| answer(421, &headers, b""))
}

/// Sends the stream of a sound server: `count` events, one after each pause.
pub fn send_stream(
    conn: &mut Conn,
    id: &str,
    request: &Message,
    count: u32,
    pause: Duration,
) -> bool {
    let attempt = request.header("mangodeal-attempt-id");
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMangodeal-Attempt-Id: {attempt}\r\n\
         Mangodeal-Instance-Id: {id}\r\nMangodeal-Server-Seal: {id}.{attempt}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    if !conn.send(head.as_bytes()) {
        return false;
    }
    for number in 1..=count {
        thread::sleep(pause);
        let event = format!("id: {number}\ndata: piece {number} of {attempt}\n\n");
        if !conn.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()) {
            return false;
        }
    }
    conn.send(b"0\r\n\r\n")
}

/// Starts a sound server that takes `work` for each request.
pub fn sound_server(id: &'static str, work: Duration, arrivals: Arc<Arrivals>) -> SocketAddr {
    listen("127.0.0.1", move |mut conn| {
        while let Some(request) = conn.message(false) {
            if let Some(other) = misdirected(id, &request) {
                if !conn.send(&other) {
                    return;
                }
                continue;
            }
            if !request.is_complete {
                return;
            }
            arrivals.add(id, &request);
            if !serve(&mut conn, id, &request, work) {
                return;
            }
        }
    })
}

fn serve(conn: &mut Conn, id: &str, request: &Message, work: Duration) -> bool {
    if request.path().starts_with("/notes/") {
        return send_stream(conn, id, request, 10, work / 10);
    }
    thread::sleep(work);
    let attempt = request.header("mangodeal-attempt-id").to_owned();
    let body = format!("{id} has done {} {attempt}", request.target());
    let seal = format!("{id}.{attempt}");
    let headers = [
        ("Mangodeal-Attempt-Id", attempt.as_str()),
        ("Mangodeal-Instance-Id", id),
        ("Mangodeal-Server-Seal", &seal),
        ("Keep-Alive", "timeout=10"),
    ];
    conn.send(&answer(200, &headers, body.as_bytes()))
}
