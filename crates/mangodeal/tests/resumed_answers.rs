//! What the next server answers after a stream has broken off.

mod common;
mod platform_fleet;
mod raw_server;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{eventually, run};
use platform_fleet::platform_standin::server_entry;
use platform_fleet::{model_request, read_text, PlatformFleet};
use raw_server::{RawRequest, RawServer, Script, CLOSE};

const NOW: Duration = Duration::ZERO;
const EVENTS: &str = "text/event-stream";
/// What the client has received when the first server breaks off.
const FIRST: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
/// Size of an event that is passed on before its end has arrived.
const LARGE_EVENT: usize = 200_000;
/// The rest of the stream.
const REST: &str = "id: 3\ndata: three\n\nid: 4\ndata: four\n\n";

/// The answer of the next server, and whether it continues the stream.
struct NextCase {
    name: &'static str,
    status: &'static str,
    kind: &'static str,
    body: &'static str,
    continues: bool,
}

const CASES: [NextCase; 14] = [
    NextCase { name: "the rest", status: "200 OK", kind: EVENTS, body: REST, continues: true },
    NextCase {
        name: "an error",
        status: "500 Internal Server Error",
        kind: "application/json",
        body: "{\"error\":\"out of memory\"}\n\n",
        continues: false,
    },
    NextCase {
        name: "an error as events",
        status: "500 Internal Server Error",
        kind: EVENTS,
        body: "id: 3\ndata: error\n\n",
        continues: false,
    },
    NextCase {
        name: "a time-out",
        status: "504 Gateway Timeout",
        kind: "text/plain",
        body: "late\n\n",
        continues: false,
    },
    NextCase {
        name: "not found",
        status: "404 Not Found",
        kind: "text/plain",
        body: "no\n\n",
        continues: false,
    },
    NextCase {
        name: "a redirection",
        status: "307 Temporary Redirect",
        kind: "text/plain",
        body: "there\n\n",
        continues: false,
    },
    NextCase {
        name: "an error with success",
        status: "200 OK",
        kind: "application/json",
        body: "{\"error\":\"out of memory\"}\n\n",
        continues: false,
    },
    NextCase {
        name: "text with success",
        status: "200 OK",
        kind: "text/plain",
        body: "HTTP/1.1 500 Internal Server Error\r\nserver: x\r\n\r\n",
        continues: false,
    },
    NextCase {
        name: "another success",
        status: "202 Accepted",
        kind: EVENTS,
        body: REST,
        continues: false,
    },
    NextCase {
        name: "the stream from its start",
        status: "200 OK",
        kind: EVENTS,
        body: "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n",
        continues: false,
    },
    NextCase {
        name: "the last event again",
        status: "200 OK",
        kind: EVENTS,
        body: "id: 2\ndata: two\n\nid: 3\ndata: three\n\n",
        continues: false,
    },
    NextCase {
        name: "events without ids",
        status: "200 OK",
        kind: EVENTS,
        body: "data: three\n\n",
        continues: false,
    },
    NextCase {
        name: "an error as an event without an id",
        status: "200 OK",
        kind: EVENTS,
        body: "event: error\ndata: out of memory\n\n",
        continues: false,
    },
    NextCase { name: "nothing", status: "200 OK", kind: EVENTS, body: "", continues: false },
];

/// Returns the script of two servers of which the one that gets a request first breaks off after two
/// events, and the next one answers like this.
fn script(case: &'static NextCase) -> impl Fn(&RawRequest) -> Script + Clone {
    let counts = Arc::new(Mutex::new(BTreeMap::<String, u32>::new()));
    move |request| {
        if request.path.starts_with("/api/") {
            return vec![(NOW, CLOSE.to_owned())];
        }
        let mut counts = counts.lock().unwrap();
        let count = counts.entry(request.attempt.clone()).or_insert(0);
        *count += 1;
        if *count > 1 {
            return vec![(NOW, request.answer(case.status, case.kind, case.body))];
        }
        let whole = request.answer("200 OK", EVENTS, &format!("{FIRST}{REST}"));
        let begun = whole.len() - REST.len();
        let pause = Duration::from_millis(30);
        vec![(NOW, whole[..begun].to_owned()), (pause, CLOSE.to_owned())]
    }
}

/// Starts a daemon with two such servers, which are the only engines.
async fn start_fleet<F>(script: F) -> (PlatformFleet, [RawServer; 2])
where
    F: Fn(&RawRequest) -> Script + Clone + Send + Sync + 'static,
{
    let fleet = PlatformFleet::start(1).await;
    let servers = [RawServer::start(script.clone()).await, RawServer::start(script).await];
    fleet.store.delete("servers/engine-1");
    fleet.store.delete("servers/engine-2");
    for (number, server) in servers.iter().enumerate() {
        let id = format!("raw-{number}");
        let (key, entry) = server_entry(&id, "engines", server.address, &["a"]);
        fleet.store.put(&key, &entry);
        eventually(Duration::from_secs(5), "the server is listed", || async {
            fleet.fronts[0].log().iter().any(|line| line["target"] == id.as_str())
        })
        .await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    (fleet, servers)
}

/// Guards against an error's text or head in the middle of a stream, against events that come twice, and
/// against a stream that looks complete although it broke off.
#[test]
fn next_answers() {
    run(async {
        for case in &CASES {
            let (fleet, servers) = start_fleet(script(case)).await;
            let front = fleet.fronts[0].caller;
            let answer = model_request(front, "resumed", "a").send().await.unwrap();
            assert_eq!(answer.status, 200, "{}", case.name);
            let whole = read_text(answer).await;
            let expected = case.continues.then(|| format!("{FIRST}{REST}"));
            assert_eq!(whole, expected, "{}", case.name);
            let asked = servers.iter().flat_map(RawServer::requests);
            let asked = asked.filter(|request| request.attempt == "resumed").count();
            assert_eq!(asked, 2, "{}: the stream wasn't resumed", case.name);
        }
    });
}

/// Guards against the rest of a stream that is joined to a part of an event: an event too large to be
/// buffered is passed on in parts.
#[test]
fn large_event() {
    run(async {
        let seen = Arc::new(Mutex::new(false));
        let script = move |request: &RawRequest| -> Script {
            if request.path.starts_with("/api/") {
                return vec![(NOW, CLOSE.to_owned())];
            }
            let was_seen = std::mem::replace(&mut *seen.lock().unwrap(), true);
            if was_seen {
                let rest = "id: 4\ndata: four\n\n";
                return vec![(NOW, request.answer("200 OK", EVENTS, rest))];
            }
            let begun = format!("{FIRST}id: 3\ndata: {}", "x".repeat(LARGE_EVENT));
            let whole = request.answer("200 OK", EVENTS, &format!("{begun}\n\n"));
            let pause = Duration::from_millis(100);
            vec![(NOW, whole[..whole.len() - 2].to_owned()), (pause, CLOSE.to_owned())]
        };
        let (fleet, _servers) = start_fleet(script).await;
        let answer = model_request(fleet.fronts[0].caller, "large", "a").send().await.unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(read_text(answer).await, None, "a broken stream looks complete");
    });
}
