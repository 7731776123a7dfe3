//! A server's stream never ends. The daemon has to end it when the route's time is over.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{config, entry, plain_service, Daemon, Folder, Record, Route, HOST, KEY};
use crate::http::{listen, Conn};
use crate::server::{misdirected, send_stream};
use crate::store::Store;

/// The route's `timeoutMs`, and how long the clients wait.
const TIMEOUT_MS: u64 = 5_000;
const PATIENCE_MS: u64 = 15_000;
/// CONFIG: a request without a final answer this long after `timeoutMs` counts.
const SLACK_MS: u64 = 500;
/// CONFIG: at least so many requests, and more than this part of those that last longer.
const LEAST_LATE: usize = 8;
/// Clients at each machine. Each reads 64 KB in 20 ms, 26 Mbit/s.
const CLIENTS: usize = 12;
const READ_BYTES: usize = 64 << 10;
const READ_PAUSE: Duration = Duration::from_millis(20);
/// Size of an event of the endless stream. Each tells when it was made.
const EVENT_BYTES: usize = 2_000;

fn server(id: &'static str, has_trouble: bool, started: Instant) -> SocketAddr {
    listen("127.0.0.1", move |mut conn: Conn| {
        while let Some(request) = conn.message(false) {
            if let Some(other) = misdirected(id, &request) {
                if !conn.send(&other) {
                    return;
                }
                continue;
            }
            if !has_trouble {
                if !send_stream(&mut conn, id, &request, 10, Duration::from_millis(50)) {
                    return;
                }
                continue;
            }
            let attempt = request.header("mangodeal-attempt-id");
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMangodeal-Attempt-Id: {attempt}\r\n\
                 Mangodeal-Instance-Id: {id}\r\nMangodeal-Server-Seal: {id}.{attempt}\r\n\r\n"
            );
            let mut is_open = conn.send(head.as_bytes());
            let mut number = 0u64;
            while is_open {
                let mut piece = String::new();
                for _ in 0..16 {
                    number += 1;
                    let made_at = started.elapsed().as_millis();
                    let event = format!("id: {number}\ndata: made {made_at} ");
                    piece += &event;
                    piece += &"x".repeat(EVENT_BYTES - event.len());
                    piece += "\n\n";
                }
                is_open = conn.send(piece.as_bytes());
            }
            return;
        }
    })
}

/// What a client has seen of one stream.
struct Seen {
    sent_ms: u64,
    ended_ms: Option<u64>,
    /// When the latest event that arrived was made.
    last_made_ms: u64,
    is_complete: bool,
}

fn read_stream(front: SocketAddr, attempt: &str, started: Instant) -> Option<Seen> {
    let now_ms = || started.elapsed().as_millis() as u64;
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    let mut conn = Conn::new(stream);
    let sent_ms = now_ms();
    let text = format!(
        "POST /notes/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
         Mangodeal-Attempt-Id: {attempt}\r\nMangodeal-Time-Left-Ms: {PATIENCE_MS}\r\n\
         Content-Length: 0\r\n\r\n"
    );
    if !conn.send(text.as_bytes()) {
        return None;
    }
    let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(3_000)));
    let mut buffer = vec![0; READ_BYTES];
    let mut tail = Vec::new();
    let (mut last_made_ms, mut ended_ms, mut is_complete) = (0, None, false);
    while now_ms() < sent_ms + PATIENCE_MS {
        match conn.stream.read(&mut buffer) {
            Ok(0) | Err(_) => {
                ended_ms = Some(now_ms());
                break;
            }
            Ok(count) => tail.extend_from_slice(&buffer[..count]),
        }
        let text = String::from_utf8_lossy(&tail).into_owned();
        for part in text.split("data: made ").skip(1) {
            let digits: String = part.chars().take_while(char::is_ascii_digit).collect();
            if digits.len() < part.len() {
                last_made_ms = digits.parse().unwrap_or(last_made_ms).max(last_made_ms);
            }
        }
        if tail.ends_with(b"0\r\n\r\n") {
            (ended_ms, is_complete) = (Some(now_ms()), true);
            break;
        }
        let kept = tail.len().saturating_sub(64);
        tail.drain(..kept);
        thread::sleep(READ_PAUSE);
    }
    Some(Seen { sent_ms, ended_ms, last_made_ms, is_complete })
}

pub fn run(folder: &str, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::create(folder));
    let temporary = Folder::create("flood");
    let (store, store_address) = Store::start();
    let started = Instant::now();
    let routes = [Route {
        prefix: "notes",
        kind: "stream",
        service: "helper",
        attempts: 1,
        timeout_ms: TIMEOUT_MS as i64,
        goal_ms: 600,
        resumable: false,
    }];
    store.put("op/config", &config(7, &routes, vec![plain_service("helper")]));
    let address = server("i-help1", has_trouble, started);
    store.put("servers/i-help1", &entry("helper", address, 64, "ready", 1, 1_700_000_000_000));
    let daemons: Vec<Daemon> = ["front-1", "front-2"]
        .iter()
        .map(|name| Daemon::start(name, store_address, &temporary.0))
        .collect();
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(15))) {
        return 2;
    }
    let mut clients = Vec::new();
    for (machine, daemon) in daemons.iter().enumerate() {
        for number in 0..CLIENTS {
            let (front, attempt) = (daemon.front, format!("notes-{}-{number}", machine + 1));
            clients.push(thread::spawn(move || (read_stream(front, &attempt, started), attempt)));
        }
    }
    let (mut asked, mut lasting, mut late, mut complete) = (0, 0, 0, 0);
    for client in clients {
        let Ok((seen, attempt)) = client.join() else { return 2 };
        let Some(seen) = seen else { return 2 };
        asked += 1;
        complete += usize::from(seen.is_complete);
        let span = |at: u64| at.saturating_sub(seen.sent_ms);
        record.line(format!(
            "{attempt}: sent at {} ms; ended {}; the latest event that arrived was made {} ms after the request was sent",
            seen.sent_ms,
            seen.ended_ms.map_or("not before the client left".to_owned(), |at| format!("{} ms later", span(at))),
            span(seen.last_made_ms),
        ));
        let lasts = seen.ended_ms.is_none_or(|at| span(at) > TIMEOUT_MS);
        lasting += usize::from(lasts);
        // An event that was made later and arrived shows that there was no final answer yet.
        late += usize::from(span(seen.last_made_ms) > TIMEOUT_MS + SLACK_MS);
    }
    record.line(format!(
        "requests: {asked}, complete: {complete}, longer than timeoutMs: {lasting}, of these without a final answer {SLACK_MS} ms after it: {late}"
    ));
    drop(daemons);
    if !has_trouble {
        return if complete == asked { 0 } else { 2 };
    }
    i32::from(late >= LEAST_LATE && late * 4 > lasting)
}
