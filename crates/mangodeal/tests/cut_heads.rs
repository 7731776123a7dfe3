//! Servers that end an answer within its head, on the platform's path and on the product's own.

mod common;
mod platform_fleet;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use common::{eventually, run, Fleet, Options};
use mangodeal::client::HttpCall;
use platform_fleet::platform_standin::server_entry;
use platform_fleet::{request, PlatformFleet};
use serde_json::json;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Body of a whole answer.
const BODY: &str = "id: 1\ndata: whole\n\ndata: [DONE]\n\n";
/// Content type of a stream.
const EVENTS: &str = "text/event-stream";
/// How the server states where its body ends.
const FRAMINGS: [&str; 4] = ["length", "chunks", "close", "early"];
/// Identifier in answers to requests that have none. All are as long.
const ATTEMPT: &str = "0123456789abcdef";
/// How the server ends the connection.
const ENDS: [&str; 2] = ["closed", "reset"];
/// Distance between two cuts on the product's own path, where each takes longer.
const OWN_STEP: usize = 11;
/// Requests at a time. More than one keep the target from being avoided for long.
const CALLS_AT_ONCE: usize = 16;

/// Tells whether a body that arrived to its end would be taken for complete.
type BodyCheck = fn(&[u8]) -> bool;

/// Builds a whole answer and the length of its head.
fn whole_answer(kind: &str, framing: &str, attempt: &str) -> (String, usize) {
    let early = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
    let start = if framing == "early" { early } else { "" };
    let framing_line = match framing {
        "chunks" => "transfer-encoding: chunked\r\n".to_owned(),
        "close" => String::new(),
        _ => format!("content-length: {}\r\n", BODY.len()),
    };
    let head = format!(
        "{start}HTTP/1.1 200 OK\r\nmangodeal-attempt-id: {attempt}\r\nmangodeal-server-seal: seal\r\n\
         content-type: {kind}\r\nkeep-alive: timeout=10\r\n{framing_line}\r\n"
    );
    let body = match framing {
        "chunks" => format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len()),
        _ => BODY.to_owned(),
    };
    (format!("{head}{body}"), head.len())
}

/// Answers requests for `/PREFIX/FRAMING-END-CUT`: the first CUT bytes of the answer, and then the end.
async fn serve(mut stream: TcpStream, kind: &'static str, cuts: Arc<AtomicUsize>) {
    let mut bytes: Vec<u8> = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let head = text[..end].to_ascii_lowercase();
            let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
            let length: usize = field("content-length: ").map_or(0, |text| text.parse().unwrap());
            if bytes.len() >= end + 4 + length {
                bytes.drain(..end + 4 + length);
                let path = head.split(' ').nth(1).unwrap_or_default();
                let attempt = field("mangodeal-attempt-id: ").unwrap_or(ATTEMPT);
                let parts: Vec<&str> = path.rsplit('/').next().unwrap().split('-').collect();
                let [framing, end, cut] = parts[..] else { return };
                let (answer, _) = whole_answer(kind, framing, attempt);
                let cut: usize = cut.parse().unwrap();
                let _ = stream.write_all(&answer.as_bytes()[..cut.min(answer.len())]).await;
                if cut < answer.len() {
                    cuts.fetch_add(1, Ordering::SeqCst);
                    tokio::time::sleep(Duration::from_millis(2)).await;
                    if end == "reset" {
                        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                    }
                    return;
                }
                if framing == "close" {
                    return;
                }
                continue;
            }
        }
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return,
        }
    }
}

/// Starts a server and returns its address and the number of answers that it has cut.
async fn start_server(kind: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let cuts = Arc::new(AtomicUsize::new(0));
    let served = cuts.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, kind, served.clone()));
        }
    });
    (address, cuts)
}

/// Returns the ways to cut answers: each `step` bytes of the head, and within the body as far as its end
/// shows that.
fn cut_names(kind: &str, step: usize) -> Vec<String> {
    let mut names = Vec::new();
    for framing in FRAMINGS {
        let (answer, head) = whole_answer(kind, framing, ATTEMPT);
        for end in ENDS {
            let limit = if framing == "close" && end == "closed" { head } else { answer.len() };
            names.extend((1..limit).step_by(step).map(|cut| format!("{framing}-{end}-{cut}")));
        }
    }
    names
}

/// Sends a request for each way to cut an answer, with sound ones between them so that connections are
/// kept. Returns those that were answered with status 200 and a complete body.
async fn complete_cuts<F>(
    (kind, step): (&str, usize),
    is_complete: BodyCheck,
    call: F,
) -> Vec<String>
where
    F: Fn(String) -> HttpCall,
{
    let mut complete = Vec::new();
    let mut calls: JoinSet<Option<String>> = JoinSet::new();
    for name in cut_names(kind, step) {
        for path in [format!("length-closed-{}", usize::MAX), name] {
            let call = call(path.clone());
            calls.spawn(async move {
                let answer = call.send().await.ok()?;
                let status = answer.status;
                let body = answer.bytes().await.ok()?;
                let is_whole = path.ends_with(&usize::MAX.to_string());
                assert!(!is_whole || status != 200 || body == BODY, "a sound answer has changed");
                (status == 200 && !is_whole && is_complete(&body)).then_some(path)
            });
        }
        while calls.len() >= CALLS_AT_ONCE {
            complete.extend(calls.join_next().await.unwrap().unwrap());
        }
    }
    complete.extend(calls.join_all().await.into_iter().flatten());
    complete
}

/// Guards against an answer that ends within its head and reaches the client as a success that looks
/// complete.
#[test]
fn cut_heads() {
    run(async {
        let fleet = PlatformFleet::start(1).await;
        let front = &fleet.fronts[0];
        let (address, cuts) = start_server(EVENTS).await;
        fleet.store.delete("servers/orders-1");
        fleet.store.delete("servers/orders-2");
        for (service, models) in [("orders", &[][..]), ("engines", &["c"][..])] {
            let (key, entry) = server_entry(&format!("cut-{service}"), service, address, models);
            fleet.store.put(&key, &entry);
            eventually(Duration::from_secs(5), "the server is listed", || async {
                front.log().iter().any(|line| line["target"] == format!("cut-{service}"))
            })
            .await;
        }
        let number = AtomicUsize::new(0);
        for route in ["safe", "unsafe", "stream"] {
            let before = cuts.load(Ordering::SeqCst);
            let complete = complete_cuts(
                (EVENTS, 1),
                |_| true,
                |name| {
                    let attempt = format!("{:016x}", number.fetch_add(1, Ordering::SeqCst));
                    request(front.caller, &format!("/{route}/{name}"), &attempt, 3_000)
                        .header("mangodeal-model", "c")
                        .header("mangodeal-token-counts", "100,20")
                },
            )
            .await;
            assert!(complete.is_empty(), "{route}: {complete:?}");
            let cut = cuts.load(Ordering::SeqCst) - before;
            println!("{route}: {cut} answers were cut");
            assert!(cut >= 200, "{route}: only {cut} answers were cut");
        }
    });
}

/// The same on the product's own path.
#[test]
fn own_path() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        // Streams on this path end with a marker: one without it isn't complete, and one with it is
        // whatever follows.
        let is_cut_short = |body: &[u8]| body.ends_with(b"[DONE]\n\n") && body != BODY.as_bytes();
        let cases: [(&str, &str, BodyCheck); 2] =
            [("plain", "text/plain", |_| true), ("events", EVENTS, is_cut_short)];
        for (name, kind, is_complete) in cases {
            let (address, cuts) = start_server(kind).await;
            let objects = [
                json!({"kind": "target", "name": name, "type": "service", "domain": "east",
                       "labels": format!("cut={name}"), "address": address.to_string()}),
                json!({"kind": "route", "name": name, "prefix": format!("/{name}/"), "open": true,
                       "targets": format!("cut={name}"), "deadline_ms": 3_000}),
            ];
            let revision = fleet.apply(&objects).await;
            fleet.wait_in_force(revision, fleet.daemons.len()).await;
            let caller = fleet.daemons[0].caller;
            let complete = complete_cuts((kind, OWN_STEP), is_complete, |cut| {
                HttpCall::post(caller, format!("/{name}/{cut}"), "body".to_owned())
            })
            .await;
            assert!(complete.is_empty(), "{name}: {complete:?}");
            let cut = cuts.load(Ordering::SeqCst);
            println!("{name}: {cut} answers were cut");
            assert!(cut >= 100, "{name}: only {cut} answers were cut");
        }
    });
}
