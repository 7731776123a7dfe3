//! Servers in trouble that send bytes which are no answer, without end.

mod common;
mod platform_fleet;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{eventually, run};
use platform_fleet::platform_standin::server_entry;
use platform_fleet::{request, PlatformFleet};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What a daemon may hold at most, by the users' smallest hosts.
const MEMORY_BYTES: u64 = 160_000_000;
/// A request's whole time, and what its end may take beyond.
const LEFT_MS: u64 = 5_000;
const END_SLACK: Duration = Duration::from_millis(500);

/// Where the bytes without end are.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    Head,
    WholeBody,
    StreamBody,
}

/// Sends bytes without end to each caller until it closes, 64 MB a second.
async fn babble(place: Place, open: Arc<AtomicUsize>, mut stream: TcpStream) {
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
    let kind = if place == Place::StreamBody { "text/event-stream" } else { "text/plain" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nmangodeal-attempt-id: {}\r\nmangodeal-server-seal: seal\r\n\
         content-type: {kind}\r\n",
        attempt.unwrap_or_default()
    );
    let piece = match place {
        Place::Head => format!("x-more: {}\r\n", "x".repeat(1_000)).repeat(64),
        Place::WholeBody | Place::StreamBody => format!("ffff\r\n{}\r\n", "x".repeat(0xffff)),
    };
    let framing = if place == Place::Head { "" } else { "transfer-encoding: chunked\r\n\r\n" };
    open.fetch_add(1, Ordering::SeqCst);
    let mut sent = stream.write_all(format!("{head}{framing}").as_bytes()).await;
    while sent.is_ok() {
        sent = stream.write_all(piece.as_bytes()).await;
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    open.fetch_sub(1, Ordering::SeqCst);
}

/// Guards against a daemon that takes in bytes without end: the request ends in its time, the
/// daemon closes the connection and stays within its memory.
#[test]
fn endless_bytes() {
    run(async {
        for place in [Place::Head, Place::WholeBody, Place::StreamBody] {
            let fleet = PlatformFleet::start(1).await;
            let front = &fleet.fronts[0];
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let open = Arc::new(AtomicUsize::new(0));
            let counted = open.clone();
            let server = tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(babble(place, counted.clone(), stream));
                }
            });
            // The only server of its service, or the only one with the model.
            let service = if place == Place::WholeBody { "orders" } else { "engines" };
            if service == "orders" {
                fleet.store.delete("servers/orders-1");
                fleet.store.delete("servers/orders-2");
            }
            let (key, entry) = server_entry("babbler", service, address, &["c"]);
            fleet.store.put(&key, &entry);
            eventually(Duration::from_secs(5), "the server is listed", || async {
                front.log().iter().any(|line| line["target"] == "babbler")
            })
            .await;
            let since = Instant::now();
            let calls = (0..4).map(|number| {
                let attempt = format!("e{number}");
                let path = if place == Place::WholeBody { "/safe/1" } else { "/stream/1" };
                let call = request(front.caller, path, &attempt, LEFT_MS)
                    .header("mangodeal-model", "c")
                    .header("mangodeal-token-counts", "900,20");
                tokio::spawn(async move {
                    let answer = call.send().await.unwrap();
                    let status = answer.status.as_u16();
                    (status, answer.bytes().await.is_ok())
                })
            });
            let mut most = 0;
            for call in calls.collect::<Vec<_>>() {
                while !call.is_finished() {
                    most = most.max(front.resident_bytes());
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                let (status, whole) = call.await.unwrap();
                assert!(status != 200 || !whole, "{place:?}: passed on as a whole answer");
            }
            let took = since.elapsed();
            assert!(took < Duration::from_millis(LEFT_MS) + END_SLACK, "{place:?}: {took:?}");
            assert!(most < MEMORY_BYTES, "{place:?}: {most} bytes");
            eventually(Duration::from_secs(3), "the daemon closes", || async {
                open.load(Ordering::SeqCst) == 0
            })
            .await;
            server.abort();
        }
    });
}
