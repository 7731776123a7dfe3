//! Servers that write an earlier refusal once more on a kept connection.

mod common;
mod platform_fleet;
mod raw_server;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{eventually, run};
use platform_fleet::platform_standin::server_entry;
use platform_fleet::{model_request, read_text, request, PlatformFleet};
use raw_server::{RawRequest, RawServer, Script};
use serde_json::json;

const NOW: Duration = Duration::ZERO;
/// Statuses that promise a client that its request hasn't run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Returns a refusal of an attempt, without its identifier if `is_anonymous`.
fn refusal(attempt: &str, status: &str, is_anonymous: bool) -> String {
    let echo = match is_anonymous {
        true => String::new(),
        false => format!("mangodeal-attempt-id: {attempt}\r\n"),
    };
    format!(
        "HTTP/1.1 {status}\r\n{echo}mangodeal-instance-id: refuser\r\nmangodeal-not-run: 1\r\n\
         content-type: application/json\r\nkeep-alive: timeout=10\r\ncontent-length: 2\r\n\r\n{{}}"
    )
}

async fn add_refuser(fleet: &PlatformFleet, server: &RawServer, service: &str, adapters: &[&str]) {
    let models = if adapters.is_empty() { &[][..] } else { &["a"][..] };
    let (key, mut entry) = server_entry("refuser", service, server.address, models);
    if !adapters.is_empty() {
        entry["models"][0]["adapters"] = json!(adapters);
    }
    fleet.store.put(&key, &entry);
    eventually(Duration::from_secs(5), "the server is listed", || async {
        fleet.fronts[0].log().iter().any(|line| line["target"] == "refuser")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
}

/// Guards against a refusal of one request that is taken for the refusal of the next one on the connection:
/// its client gets "not run" for what runs, or it runs at a second server.
#[test]
fn refusal_of_another_request() {
    let mut cases = Vec::new();
    for status in ["503 Service Unavailable", "421 Misdirected Request"] {
        for is_anonymous in [false, true] {
            for pause in [None, Some(NOW), Some(Duration::from_millis(15))] {
                cases.push((status, is_anonymous, pause));
            }
        }
    }
    run(async move {
        for (status, is_anonymous, pause) in cases {
            let case = format!("{status}, anonymous {is_anonymous}, once more {pause:?}");
            let fleet = PlatformFleet::start(1).await;
            // The requests that the server runs, and the refusal that it writes once more.
            let ran = Arc::new(Mutex::new(BTreeMap::<String, u32>::new()));
            let (runs, stale) = (ran.clone(), Mutex::new(None::<String>));
            let server = RawServer::start(move |request: &RawRequest| -> Script {
                let refused = refusal(&request.attempt, status, is_anonymous);
                if request.preceding.is_multiple_of(2) && !request.attempt.is_empty() {
                    *stale.lock().unwrap() = Some(refused.clone());
                    let again = pause.map(|pause| (pause, refused.clone()));
                    return [(NOW, refused)].into_iter().chain(again).collect();
                }
                *runs.lock().unwrap().entry(request.attempt.clone()).or_default() += 1;
                let body = format!("done {}", request.attempt);
                let own = request.answer("200 OK", "text/plain", &body);
                let before = stale.lock().unwrap().take().filter(|_| pause.is_none());
                let before = before.map(|stale| (NOW, stale));
                before.into_iter().chain([(Duration::from_millis(20), own)]).collect()
            })
            .await;
            // One server besides the refuser.
            fleet.store.delete("servers/orders-2");
            add_refuser(&fleet, &server, "orders", &[]).await;
            for number in 0..30 {
                let attempt = format!("unsafe-{number}");
                let call = request(fleet.fronts[0].caller, "/unsafe/1", &attempt, 1_000);
                let answer = call.send().await.unwrap();
                let status = answer.status.as_u16();
                let body = read_text(answer).await;
                let at_refuser = ran.lock().unwrap().get(&attempt).copied().unwrap_or(0);
                let runs = at_refuser + fleet.runs(&attempt);
                assert!(runs <= 1, "{case}: {attempt} ran {runs} times");
                if NOT_RUN.contains(&status) {
                    assert_eq!(runs, 0, "{case}: {attempt} ran, and got {status}");
                }
                if status == 200 {
                    assert_eq!(body, Some(format!("done {attempt}")), "{case}");
                }
            }
            let requests = server.requests();
            assert!(
                requests.iter().any(|request| request.attempt.starts_with("unsafe-")),
                "{case}"
            );
        }
    });
}

/// Guards against a refusal of a request that is taken for a second one, after the same request was sent
/// again over the connection that had refused it.
#[test]
fn refusal_of_the_same_request() {
    run(async {
        let fleet = PlatformFleet::start(1).await;
        let ran = Arc::new(Mutex::new(BTreeMap::<String, u32>::new()));
        // The connection on which each request was refused.
        let (runs, refusals) = (ran.clone(), Mutex::new(BTreeMap::<String, usize>::new()));
        let server = RawServer::start(move |request: &RawRequest| -> Script {
            match request.path.as_str() {
                "/api/order" => {
                    return vec![(NOW, request.answer("200 OK", "application/json", "{}"))]
                }
                "/api/report" => {
                    let report = json!({"stage": "colocated", "busy": false, "sequence": 1,
                        "models": [{"name": "a", "version": 1, "adapters": ["a1"]}],
                        "waiting": 0, "running": 0});
                    let body = report.to_string();
                    return vec![(NOW, request.answer("200 OK", "application/json", &body))];
                }
                _ => {}
            }
            let refused = refusal(&request.attempt, "421 Misdirected Request", false);
            let mut refusals = refusals.lock().unwrap();
            let Some(refused_on) = refusals.get(&request.attempt) else {
                refusals.insert(request.attempt.clone(), request.connection);
                return vec![(NOW, refused)];
            };
            *runs.lock().unwrap().entry(request.attempt.clone()).or_default() += 1;
            let events = format!("id: 1\ndata: {}\n\n", request.attempt);
            let own = request.answer("200 OK", "text/event-stream", &events);
            let stale = (*refused_on == request.connection).then_some((NOW, refused));
            stale.into_iter().chain([(Duration::from_millis(20), own)]).collect()
        })
        .await;
        fleet.store.delete("servers/engine-1");
        fleet.store.delete("servers/engine-2");
        add_refuser(&fleet, &server, "engines", &["a1"]).await;
        for number in 0..5 {
            let attempt = format!("adapter-{number}");
            let call = model_request(fleet.fronts[0].caller, &attempt, "a/a1");
            let answer = call.send().await.unwrap();
            let status = answer.status.as_u16();
            let events = read_text(answer).await;
            let runs = ran.lock().unwrap().get(&attempt).copied().unwrap_or(0);
            assert!(runs <= 1, "{attempt} ran {runs} times");
            assert!(!NOT_RUN.contains(&status) || runs == 0, "{attempt} ran, and got {status}");
            assert!(status != 200 || events.is_some_and(|events| events.contains(&attempt)));
        }
        assert!(!ran.lock().unwrap().is_empty(), "no request was sent again");
    });
}
