//! Answers with neither a length nor chunks, which end with their connection.

mod common;
mod platform_fleet;

use std::time::Duration;

use common::{eventually, run};
use platform_fleet::platform_standin::server_entry;
use platform_fleet::{model_request, read_text, request, PlatformFleet};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// How a server ends its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnEnd {
    Closed,
    Reset,
}

/// An answer's body, its end, and what the caller must get: a complete body, or none.
struct ClosedCase {
    name: &'static str,
    body: &'static str,
    end: ConnEnd,
    expected: Option<&'static str>,
}

const STREAM_CASES: [ClosedCase; 5] = [
    ClosedCase {
        name: "whole events",
        body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        end: ConnEnd::Closed,
        expected: Some("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
    },
    ClosedCase {
        name: "closed inside an event",
        body: "id: 1\ndata: a\n\nid: 2\ndata: b",
        end: ConnEnd::Closed,
        expected: None,
    },
    ClosedCase {
        name: "closed inside the first event",
        body: "id: 1\ndata: a",
        end: ConnEnd::Closed,
        expected: None,
    },
    ClosedCase {
        name: "reset after an event",
        body: "id: 1\ndata: a\n\n",
        end: ConnEnd::Reset,
        expected: None,
    },
    ClosedCase {
        name: "closed before the first event",
        body: "",
        end: ConnEnd::Closed,
        expected: None,
    },
];

const PLAIN_CASES: [ClosedCase; 2] = [
    ClosedCase {
        name: "closed in order",
        body: "done",
        end: ConnEnd::Closed,
        expected: Some("done"),
    },
    ClosedCase { name: "reset", body: "done", end: ConnEnd::Reset, expected: None },
];

/// Answers one request on a connection and ends the connection.
async fn answer(mut stream: TcpStream, kind: &str, body: &str, end: ConnEnd, pause: Duration) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    while !bytes.ends_with(b"body of the request") {
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return,
        }
    }
    let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    let attempt = text.lines().find_map(|line| line.strip_prefix("mangodeal-attempt-id: "));
    let head = format!(
        "HTTP/1.1 200 OK\r\nmangodeal-attempt-id: {}\r\nmangodeal-server-seal: seal\r\n\
         content-type: {kind}\r\nconnection: close\r\n\r\n{body}",
        attempt.unwrap_or_default()
    );
    let _ = stream.write_all(head.as_bytes()).await;
    tokio::time::sleep(pause).await;
    if end == ConnEnd::Reset {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// Time between the last byte of an answer and the end of its connection.
const PAUSE: Duration = Duration::from_millis(50);

/// Starts a server that answers each request like this, and lists it.
async fn start_server(
    fleet: &PlatformFleet,
    service: &str,
    kind: &'static str,
    case: &ClosedCase,
    pause: Duration,
) -> JoinHandle<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (key, entry) = server_entry("closing", service, listener.local_addr().unwrap(), &["c"]);
    fleet.store.put(&key, &entry);
    let (body, end) = (case.body, case.end);
    let server = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, kind, body, end, pause));
        }
    });
    eventually(Duration::from_secs(5), "the server is listed", || async {
        let is_listed = |line: &serde_json::Value| {
            line["event"] == "target_listed" && line["target"] == "closing"
        };
        fleet.fronts[0].log().iter().any(is_listed)
    })
    .await;
    server
}

/// Guards against a stream that ended inside an event, or was reset, and is passed on as complete.
#[test]
fn closed_streams() {
    run(async {
        for case in STREAM_CASES {
            let fleet = PlatformFleet::start(1).await;
            let server = start_server(&fleet, "engines", "text/event-stream", &case, PAUSE).await;
            let call = model_request(fleet.fronts[0].caller, "closed", "c");
            let answer = call.send().await;
            let body = match answer {
                Ok(answer) if answer.status == 200 => read_text(answer).await,
                _ => None,
            };
            assert_eq!(body.as_deref(), case.expected, "{}", case.name);
            server.abort();
        }
    });
}

/// Guards against a stream that ended inside an event and is not resumed where it may be.
#[test]
fn resumed_stream() {
    run(async {
        let mut fleet = PlatformFleet::start(1).await;
        let case = &STREAM_CASES[1];
        let pause = Duration::from_millis(1_500);
        let server = start_server(&fleet, "engines", "text/event-stream", case, pause).await;
        let call = model_request(fleet.fronts[0].caller, "resumed", "c");
        let answer = call.send().await.unwrap();
        assert_eq!(answer.status, 200);
        // While the stream is open, another server that holds the model appears.
        fleet.add_engine("engine-3", &["c"]).await;
        let body = read_text(answer).await.unwrap_or_default();
        let ids: Vec<&str> = body.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
        assert_eq!(ids, ["1", "2", "3", "4", "5", "6"], "{body}");
        server.abort();
    });
}

/// Guards against a plain answer that was reset and is passed on, and against one that was closed in
/// order and isn't.
#[test]
fn closed_answers() {
    run(async {
        for case in PLAIN_CASES {
            let fleet = PlatformFleet::start(1).await;
            fleet.store.delete("servers/orders-1");
            fleet.store.delete("servers/orders-2");
            let server = start_server(&fleet, "orders", "text/plain", &case, PAUSE).await;
            let call = request(fleet.fronts[0].caller, "/unsafe/x", "plain", 2_000);
            let body = match call.send().await {
                Ok(answer) if answer.status == 200 => read_text(answer).await,
                _ => None,
            };
            assert_eq!(body.as_deref(), case.expected, "{}", case.name);
            server.abort();
        }
    });
}
