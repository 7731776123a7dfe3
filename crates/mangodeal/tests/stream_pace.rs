//! Streams that are slow but sound, and streams that only seem to go on.

mod common;
mod platform_fleet;
mod raw_server;

use std::time::{Duration, Instant};

use common::{eventually, run};
use platform_fleet::platform_standin::server_entry;
use platform_fleet::{read_text, request, PlatformFleet};
use raw_server::{RawRequest, RawServer, Script};

/// What a request's end may take beyond its time.
const END_SLACK: Duration = Duration::from_millis(500);

fn head(request: &RawRequest) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nmangodeal-attempt-id: {}\r\nmangodeal-server-seal: seal\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        request.attempt
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn event(number: u64) -> String {
    chunk(&format!("id: {number}\ndata: part {number}\n\n"))
}

async fn start(script: fn(&RawRequest) -> Script) -> (PlatformFleet, RawServer) {
    let fleet = PlatformFleet::start(1).await;
    let server = RawServer::start(script).await;
    let (key, entry) = server_entry("slow", "engines", server.address, &["c"]);
    fleet.store.put(&key, &entry);
    eventually(Duration::from_secs(5), "the server is listed", || async {
        fleet.fronts[0].log().iter().any(|line| line["target"] == "slow")
    })
    .await;
    (fleet, server)
}

/// Sends a request for the model that only the slow server has. Returns its status, its events if
/// the stream ended whole, and how long it took.
async fn ask(
    fleet: &PlatformFleet,
    attempt: &str,
    left_ms: u64,
) -> (u16, Option<String>, Duration) {
    let since = Instant::now();
    let call = request(fleet.fronts[0].caller, "/stream/1", attempt, left_ms)
        .header("mangodeal-model", "c")
        .header("mangodeal-token-counts", "900,20");
    let answer = call.send().await.unwrap();
    let status = answer.status.as_u16();
    (status, read_text(answer).await, since.elapsed())
}

/// An event now and then, after a long time of reading the prompt, is no reason to cut a stream.
#[test]
fn slow_stream() {
    run(async {
        let (fleet, _server) = start(|request| {
            let pause = Duration::from_millis(650);
            let events = (1..=4).map(|number| (pause, event(number)));
            let first = (Duration::from_millis(1_500), head(request));
            [first].into_iter().chain(events).chain([(pause, "0\r\n\r\n".to_owned())]).collect()
        })
        .await;
        let (status, events, _) = ask(&fleet, "slow-1", 6_000).await;
        assert_eq!(status, 200);
        assert_eq!(events.expect("a whole stream").matches("data: part").count(), 4);
        assert_eq!(fleet.runs("slow-1"), 0, "it was not sent elsewhere");
    });
}

/// A server that sends a byte now and then and completes no event is left in the request's time,
/// before its first event as well as after; what it had is free again.
#[test]
fn trickling_stream() {
    run(async {
        let (fleet, server) = start(|request| {
            let pause = Duration::from_millis(100);
            let begun = if request.attempt.starts_with("begun") { 2 } else { 0 };
            let events = (1..=begun).map(|number| (Duration::ZERO, event(number)));
            let bytes = (0..200).map(|_| (pause, chunk("x")));
            let first = (Duration::ZERO, head(request));
            [first].into_iter().chain(events).chain(bytes).collect()
        })
        .await;
        for attempt in ["silent-1", "begun-1", "silent-2", "begun-2"] {
            let (status, events, took) = ask(&fleet, attempt, 1_500).await;
            let limit = Duration::from_millis(1_500) + END_SLACK;
            assert!(took < limit, "{attempt}: {took:?}");
            // Another engine may have loaded the model meanwhile and have served it.
            let is_whole = |events: String| events.matches("data: part").count() == 6;
            let is_sound = status != 200 || events.is_none_or(is_whole);
            assert!(is_sound, "{attempt} must not look complete");
        }
        let counts = server.requests().len();
        assert!(counts >= 2, "{counts}");
        eventually(Duration::from_secs(2), "no request is left", || async {
            let metrics = mangodeal::client::HttpCall::get(fleet.fronts[0].metrics, "/metrics");
            let text = read_text(metrics.send().await.unwrap()).await.unwrap();
            let open = text.lines().find(|l| l.starts_with("mangodeal_open"));
            open.is_some_and(|line| line.ends_with(" 0"))
        })
        .await;
    });
}
