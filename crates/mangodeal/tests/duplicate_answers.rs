//! Servers that send an answer twice, the second time on a connection that is in use again.

mod common;
mod platform_fleet;
mod raw_server;

use std::sync::Mutex;
use std::time::Duration;

use common::{eventually, run};
use platform_fleet::platform_standin::server_entry;
use platform_fleet::{model_request, read_text, request, PlatformFleet};
use raw_server::{RawRequest, RawServer, Script};
use serde_json::json;

const NOW: Duration = Duration::ZERO;

/// Returns the script for a request, from its answer and the previous answer. One of them is sent as
/// a duplicate.
type DuplicateScript = fn(&RawRequest, &str, &str) -> Script;

/// Makes `server` the only server of its service and waits until the daemon knows it.
async fn replace_servers(
    fleet: &PlatformFleet,
    server: &RawServer,
    service: &str,
    models: &[&str],
) {
    for old in ["orders-1", "orders-2", "engine-1", "engine-2"] {
        if fleet.server(old).service == service {
            fleet.store.delete(&format!("servers/{old}"));
        }
    }
    let (key, entry) = server_entry("duplicator", service, server.address, models);
    fleet.store.put(&key, &entry);
    eventually(Duration::from_secs(5), "the server is listed", || async {
        fleet.fronts[0].log().iter().any(|line| line["target"] == "duplicator")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
}

/// Guards against a duplicate answer that is taken for the answer to the next request on the
/// connection. A caller gets the answer to its own request or learns that the outcome is unknown.
#[test]
fn duplicate_answer() {
    let cases: [(&str, DuplicateScript); 4] = [
        ("before the next request", |_, own, _| vec![(NOW, own.to_owned()), (NOW, own.to_owned())]),
        ("as the next request comes", |_, own, _| {
            vec![(NOW, own.to_owned()), (Duration::from_millis(20), own.to_owned())]
        }),
        ("before the next answer", |request, own, last| match request.preceding {
            0 => vec![(NOW, own.to_owned())],
            _ => vec![(NOW, last.to_owned()), (Duration::from_millis(5), own.to_owned())],
        }),
        ("half of it before the next answer", |request, own, last| match request.preceding {
            0 => vec![(NOW, own.to_owned())],
            _ => vec![(NOW, last[..last.len() / 2].to_owned()), (NOW, own.to_owned())],
        }),
    ];
    run(async move {
        for (case, write) in cases {
            let fleet = PlatformFleet::start(1).await;
            let last = Mutex::new(String::new());
            let server = RawServer::start(move |request| {
                let body = format!("done {}", request.attempt);
                let own = request.answer("200 OK", "text/plain", &body);
                let mut last = last.lock().unwrap();
                let duplicate = std::mem::replace(&mut *last, own.clone());
                write(request, &own, &duplicate)
            })
            .await;
            replace_servers(&fleet, &server, "orders", &[]).await;
            for (path, pause) in [("/safe/1", 15), ("/unsafe/1", 20), ("/safe/2", 0)] {
                for number in 0..20 {
                    let attempt = format!("{path}-{number}");
                    let call = request(fleet.fronts[0].caller, path, &attempt, 1_000);
                    let answer = call.send().await.unwrap();
                    let status = answer.status.as_u16();
                    let body = read_text(answer).await;
                    match status {
                        200 => assert_eq!(body, Some(format!("done {attempt}")), "{case}"),
                        // Refused before it was sent, or of unknown outcome.
                        502..=504 => {}
                        other => panic!("{case}: {other}"),
                    }
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
            }
            let requests = server.requests();
            let mut attempts: Vec<_> = requests.iter().map(|r| r.attempt.clone()).collect();
            attempts.retain(|attempt| attempt.starts_with("/unsafe/"));
            let sent = attempts.len();
            attempts.sort_unstable();
            attempts.dedup();
            assert_eq!(sent, attempts.len(), "{case}: an unsafe request was sent twice");
        }
    });
}

/// Guards against a duplicate of a caller's answer that is taken for the answer to a load order, and
/// against orders and reports that get each other's answers.
#[test]
fn duplicate_before_order() {
    run(async {
        let fleet = PlatformFleet::start_with(1, &["a", "c"]).await;
        let last = Mutex::new(String::new());
        let loaded = Mutex::new(false);
        let server = RawServer::start(move |request| {
            let mut loaded = loaded.lock().unwrap();
            let own = match request.path.as_str() {
                "/api/order" => {
                    *loaded = true;
                    request.answer("202 Accepted", "application/json", "{}")
                }
                "/api/report" => {
                    let model = |name: &str| json!({"name": name, "version": 1, "adapters": []});
                    let held = ["a", "c"].map(model);
                    let models = &held[..if *loaded { 2 } else { 1 }];
                    let report = json!({"stage": "colocated", "models": models, "busy": false,
                        "sequence": u64::from(*loaded), "waiting": 0, "running": 0});
                    request.answer("200 OK", "application/json", &report.to_string())
                }
                _ => {
                    let events = format!("id: 1\ndata: {}\n\n", request.attempt);
                    request.answer("200 OK", "text/event-stream", &events)
                }
            };
            let mut last = last.lock().unwrap();
            let duplicate = std::mem::replace(&mut *last, own.clone());
            match request.preceding {
                0 => vec![(NOW, own)],
                _ => vec![(NOW, duplicate), (NOW, own)],
            }
        })
        .await;
        replace_servers(&fleet, &server, "engines", &["a"]).await;
        // Leaves used connections in the pool.
        let front = fleet.fronts[0].caller;
        for number in 0..4 {
            let answer = model_request(front, &format!("a{number}"), "a").send().await.unwrap();
            if answer.status == 200 {
                let events = read_text(answer).await;
                assert!(events.is_none_or(|events| events.contains(&format!("a{number}"))));
            }
        }
        let answer = model_request(front, "c1", "c").send().await.unwrap();
        assert!([200, 502].contains(&answer.status.as_u16()), "{}", answer.status);
        let log = fleet.fronts[0].log();
        let replies = log.iter().filter(|l| l["event"] == "order" && l["target"] == "duplicator");
        let replies: Vec<_> = replies.map(|line| line["reply"].clone()).collect();
        assert_eq!(replies, ["Accepted"], "the reply differs from the engine's answer");
    });
}
