//! LOST: around a planned stop, clients that read slowly lose the answers of requests that have run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::fleet::{config, Front, HOST, KEY};
use crate::record::Record;
use crate::server::{Behaviour, Server};
use crate::store::StandinStore;
use crate::turns::temporary_directory;

const CLIENTS: usize = 4;
/// Length of an answer, and of what a client reads before it pauses.
const ANSWER: usize = 64_000;
const FIRST_PART: usize = 2_000;
/// Deadline of `order-commit`.
const TIME_LEFT: Duration = Duration::from_millis(4_000);
/// Receive buffer of a client, and for how long it doesn't read.
const RECEIVE_BUFFER: u32 = 4_096;
const PAUSE: Duration = Duration::from_millis(3_000);
/// `stableMs`, with some slack, and `graceS` of the deployment.
const STABLE: Duration = Duration::from_millis(4_200);
const GRACE: Duration = Duration::from_secs(8);

pub async fn run(record: &Record, has_trouble: bool) -> i32 {
    let directory = temporary_directory();
    let store = Arc::new(StandinStore::start().await);
    let mut servers = Vec::new();
    for zone in ["bne-north", "bne-south", "ipswich"] {
        let server = Server::start(&format!("i-{zone}"), "shop-desk", zone, &[], record).await;
        server.set_behaviour(Behaviour { filler: ANSWER, ..Behaviour::default() });
        let (key, entry) = server.entry();
        store.put(&key, &entry);
        servers.push(server);
    }
    let mut config = config(7, &["m0"]);
    config["routes"][2]["timeoutMs"] = json!(TIME_LEFT.as_millis() as u64);
    store.put("op/config", &config);
    let mut front = Front::start("front-1", "bne-north", store.address(), &directory).await;
    front.wait_ready().await;
    tokio::time::sleep(STABLE).await;
    let pause = if has_trouble { PAUSE } else { Duration::ZERO };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, caller) = (record.clone(), front.caller);
            tokio::spawn(async move { read_slowly(&record, caller, number, pause).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    record.say("SIGTERM to front-1");
    let stopped_at = Instant::now();
    front.signal("TERM");
    let mut broken = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let attempt = attempt(number);
        let Ok(Ok((got, took))) = client.await else {
            record.say(format!("{attempt}: the client could not connect"));
            return 2;
        };
        let runs: usize = servers.iter().map(|server| server.runs(&attempt)).sum();
        let is_complete = got >= ANSWER;
        record.say(format!(
            "{attempt}: ran {runs} times; {got} bytes of its answer arrived within {} ms: {}",
            took.as_millis(),
            if is_complete { "complete" } else { "the connection ended without a complete answer" }
        ));
        // The rule excuses what has reached its deadline.
        broken += usize::from(!is_complete && runs > 0 && took < TIME_LEFT);
    }
    while !front.has_exited() && stopped_at.elapsed() < GRACE {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let after = stopped_at.elapsed().as_millis();
    record.say(format!("front-1 has exited: {} (after {after} ms)", front.has_exited()));
    let _ = std::fs::remove_dir_all(&directory);
    record.say(format!("LOST: {broken} of {CLIENTS} requests"));
    i32::from(broken > 0)
}

fn attempt(number: usize) -> String {
    format!("{number:016x}")
}

/// Makes an `unsafe` request on a kept connection and reads its answer with a pause. Returns how much of
/// the body arrived, and after which time the answer ended.
async fn read_slowly(
    record: &Record,
    caller: SocketAddr,
    number: usize,
    pause: Duration,
) -> std::io::Result<(usize, Duration)> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    let mut stream = socket.connect(caller).await?;
    let first = format!("{number:08x}");
    send(&mut stream, &first).await?;
    read_answer(&mut stream, Duration::ZERO).await.map_err(|(error, _)| error)?;
    record.line(format!("client {number} has the answer to {first} and keeps its connection"));
    let attempt = attempt(number);
    record.line(format!("client {number} sends {attempt}"));
    let began = Instant::now();
    send(&mut stream, &attempt).await?;
    match read_answer(&mut stream, pause).await {
        Ok(got) => Ok((got, began.elapsed())),
        Err((error, got)) => {
            record.line(format!("client {number}: {error} after {got} bytes of {attempt}"));
            Ok((got, began.elapsed()))
        }
    }
}

async fn send(stream: &mut TcpStream, attempt: &str) -> std::io::Result<()> {
    let head = format!(
        "POST /deposit/2f HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
         Mangodeal-Attempt-Id: {attempt}\r\nMangodeal-Time-Left-Ms: {}\r\n\
         Content-Length: 4\r\n\r\nbody",
        TIME_LEFT.as_millis()
    );
    stream.write_all(head.as_bytes()).await
}

/// Reads an answer to its end, with a pause after its first part. Returns the length of its body; an error
/// comes with the part that arrived.
async fn read_answer(
    stream: &mut TcpStream,
    pause: Duration,
) -> Result<usize, (std::io::Error, usize)> {
    let mut received = Vec::new();
    let mut has_paused = false;
    let mut piece = vec![0; 1_024];
    loop {
        let head = received.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
        let length = head.and_then(|end| {
            let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
            let line = head.lines().find_map(|line| line.strip_prefix("content-length:"))?;
            line.trim().parse::<usize>().ok()
        });
        let got = head.map_or(0, |end| received.len() - end);
        if length.is_some_and(|length| got >= length) {
            return Ok(got);
        }
        if !has_paused && received.len() >= FIRST_PART {
            has_paused = true;
            tokio::time::sleep(pause).await;
        }
        match stream.read(&mut piece).await {
            Ok(0) => return Err((std::io::ErrorKind::UnexpectedEof.into(), got)),
            Ok(read) => received.extend_from_slice(&piece[..read]),
            Err(error) => return Err((error, got)),
        }
    }
}
