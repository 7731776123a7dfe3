//! Servers that send an endless answer.

mod common;
mod platform_fleet;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{eventually, run};
use platform_fleet::platform_standin::{server_entry, HOST, KEY};
use platform_fleet::{request, PlatformFleet};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Memory limit of a daemon, set by the users' smallest hosts.
const MEMORY_BYTES: u64 = 160_000_000;
/// Time limit of a request, in milliseconds.
const TIMEOUT_MS: u64 = 5_000;
/// Time by which the end of a request may exceed its time limit.
const END_SLACK: Duration = Duration::from_millis(500);

/// Part of the answer that is endless.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EndlessPart {
    Head,
    PlainBody,
    StreamBody,
    /// The body of a stream, in whole events, as fast as the daemon reads it.
    Events,
}

/// Answers one request and sends bytes until the client closes the connection, 64 MB per second.
async fn send_endless(part: EndlessPart, open: Arc<AtomicUsize>, mut stream: TcpStream) {
    let mut request = Vec::new();
    let mut buffer = [0; 4_096];
    while !request.windows(4).any(|four| four == b"\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => request.extend_from_slice(&buffer[..count]),
            _ => return,
        }
    }
    let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
    let attempt = text.lines().find_map(|line| line.strip_prefix("mangodeal-attempt-id: "));
    let kind = match part {
        EndlessPart::StreamBody | EndlessPart::Events => "text/event-stream",
        EndlessPart::Head | EndlessPart::PlainBody => "text/plain",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nmangodeal-attempt-id: {}\r\nmangodeal-server-seal: seal\r\n\
         content-type: {kind}\r\n",
        attempt.unwrap_or_default()
    );
    let piece = match part {
        EndlessPart::Head => format!("x-more: {}\r\n", "x".repeat(1_000)).repeat(64),
        EndlessPart::PlainBody | EndlessPart::StreamBody => {
            format!("ffff\r\n{}\r\n", "x".repeat(0xffff))
        }
        EndlessPart::Events => {
            let event = format!("data: {}\n\n", "x".repeat(1_992));
            format!("7d0\r\n{event}\r\n").repeat(32)
        }
    };
    let framing = if part == EndlessPart::Head { "" } else { "transfer-encoding: chunked\r\n\r\n" };
    open.fetch_add(1, Ordering::SeqCst);
    let mut sent = stream.write_all(format!("{head}{framing}").as_bytes()).await;
    while sent.is_ok() {
        sent = stream.write_all(piece.as_bytes()).await;
        if part != EndlessPart::Events {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    open.fetch_sub(1, Ordering::SeqCst);
}

/// Guards against a daemon that reads an endless answer without limit. The request must end within
/// its time, and the daemon must close the connection and stay below its memory limit.
#[test]
fn endless_bytes() {
    run(async {
        for part in [EndlessPart::Head, EndlessPart::PlainBody, EndlessPart::StreamBody] {
            let fleet = PlatformFleet::start(1).await;
            let front = &fleet.fronts[0];
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let open = Arc::new(AtomicUsize::new(0));
            let open_count = open.clone();
            let server = tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(send_endless(part, open_count.clone(), stream));
                }
            });
            // The endless server is the only one of its service, or the only one that holds the model.
            let service = if part == EndlessPart::PlainBody { "orders" } else { "engines" };
            if service == "orders" {
                fleet.store.delete("servers/orders-1");
                fleet.store.delete("servers/orders-2");
            }
            let (key, entry) = server_entry("endless", service, address, &["c"]);
            fleet.store.put(&key, &entry);
            eventually(Duration::from_secs(5), "the server is listed", || async {
                front.log().iter().any(|line| line["target"] == "endless")
            })
            .await;
            let started = Instant::now();
            let calls = (0..4).map(|number| {
                let attempt = format!("e{number}");
                let path = if part == EndlessPart::PlainBody { "/safe/1" } else { "/stream/1" };
                let call = request(front.caller, path, &attempt, TIMEOUT_MS)
                    .header("mangodeal-model", "c")
                    .header("mangodeal-token-counts", "900,20");
                tokio::spawn(async move {
                    let answer = call.send().await.unwrap();
                    let status = answer.status.as_u16();
                    (status, answer.bytes().await.is_ok())
                })
            });
            let mut peak = 0;
            for call in calls.collect::<Vec<_>>() {
                while !call.is_finished() {
                    peak = peak.max(front.resident_bytes());
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                let (status, is_complete) = call.await.unwrap();
                assert!(status != 200 || !is_complete, "{part:?}: passed on as a complete answer");
            }
            let elapsed = started.elapsed();
            assert!(
                elapsed < Duration::from_millis(TIMEOUT_MS) + END_SLACK,
                "{part:?}: {elapsed:?}"
            );
            assert!(peak < MEMORY_BYTES, "{part:?}: {peak} bytes");
            eventually(Duration::from_secs(3), "the daemon closes its connections", || async {
                open.load(Ordering::SeqCst) == 0
            })
            .await;
            server.abort();
        }
    });
}

/// Guards against a stream that goes on after its time limit because its client reads more slowly than the
/// server sends, so that a frame is always ready.
#[test]
fn slow_reader() {
    const LEFT_MS: u64 = 2_000;
    const STREAMS: usize = 16;
    run(async {
        let fleet = PlatformFleet::start(1).await;
        let front = fleet.fronts[0].caller;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let open = Arc::new(AtomicUsize::new(0));
        let open_count = open.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(send_endless(EndlessPart::Events, open_count.clone(), stream));
            }
        });
        let (key, entry) = server_entry("endless", "engines", address, &["c"]);
        fleet.store.put(&key, &entry);
        eventually(Duration::from_secs(5), "the server is listed", || async {
            fleet.fronts[0].log().iter().any(|line| line["target"] == "endless")
        })
        .await;
        let started = Instant::now();
        for number in 0..STREAMS {
            let text = format!(
                "POST /stream/1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Token {KEY}\r\n\
                 mangodeal-attempt-id: slow-{number}\r\nmangodeal-time-left-ms: {LEFT_MS}\r\n\
                 mangodeal-model: c\r\nmangodeal-token-counts: 900,20\r\ncontent-length: 0\r\n\r\n"
            );
            tokio::spawn(async move {
                let mut stream = TcpStream::connect(front).await.unwrap();
                stream.write_all(text.as_bytes()).await.unwrap();
                let mut buffer = vec![0; 64 << 10];
                while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            });
        }
        tokio::time::sleep(Duration::from_millis(LEFT_MS / 2)).await;
        assert!(open.load(Ordering::SeqCst) > 0, "no stream has begun");
        eventually(Duration::from_secs(8), "the streams end", || async {
            open.load(Ordering::SeqCst) == 0
        })
        .await;
        let elapsed = started.elapsed();
        assert!(elapsed < Duration::from_millis(LEFT_MS) + END_SLACK, "{elapsed:?}");
    });
}
