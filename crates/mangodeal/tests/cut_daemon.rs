//! Daemons that lose their links to the targets while clients, the store and other daemons reach them.

mod common;
mod platform_fleet;

use std::time::{Duration, Instant};

use common::{eventually, run};
use mangodeal::client::HttpAnswer;
use platform_fleet::{
    last_event_id, model_request, read_events, read_text, request, FrontProcess, PlatformFleet,
    ServerLink,
};

/// Time after which a cut daemon's clients must be served as well as others.
const STABLE_TIME: Duration = Duration::from_millis(3_000);
/// Number of requests of each kind.
const REQUESTS: usize = 10;

/// Starts two daemons of which the second one reaches the servers through links.
async fn start_fleet() -> PlatformFleet {
    let mut fleet = PlatformFleet::start(1).await;
    fleet.add_linked_front().await;
    fleet
}

/// Sends requests that may run once at the second daemon, requests that may be repeated and streams.
/// Returns how many were served; none of them runs twice.
async fn count_served(fleet: &PlatformFleet, name: &str) -> usize {
    let front = fleet.fronts[1].caller;
    let mut served = 0;
    for number in 0..REQUESTS {
        for kind in ["unsafe", "safe", "stream"] {
            let attempt = format!("{name}-{kind}-{number}");
            let call = match kind {
                "stream" => model_request(front, &attempt, "a"),
                _ => request(front, &format!("/{kind}/x"), &attempt, 2_000),
            };
            served += usize::from(is_served(call.send().await.ok(), kind).await);
            assert!(fleet.runs(&attempt) <= 1, "{attempt} ran twice");
        }
    }
    served
}

async fn is_served(answer: Option<HttpAnswer>, kind: &str) -> bool {
    let Some(answer) = answer.filter(|answer| answer.status == 200) else { return false };
    match kind {
        "stream" => {
            let (text, is_complete) = read_events(answer).await;
            is_complete && last_event_id(&text) == Some("6")
        }
        _ => read_text(answer).await.is_some(),
    }
}

/// Cuts the links, waits, and returns how many of the requests are served then and after the cut.
async fn served_in_cut(cut: fn(&mut ServerLink)) -> (usize, usize) {
    let mut fleet = start_fleet().await;
    assert_eq!(count_served(&fleet, "before").await, 3 * REQUESTS);
    fleet.links.iter_mut().for_each(cut);
    // Clients go on meanwhile.
    let _ = tokio::time::timeout(STABLE_TIME, count_served(&fleet, "early")).await;
    let cut_off = count_served(&fleet, "cut").await;
    for link in &mut fleet.links {
        link.restore().await;
    }
    tokio::time::sleep(STABLE_TIME).await;
    (cut_off, count_served(&fleet, "after").await)
}

/// Guards against a daemon that tries targets which it can't reach while another daemon could serve
/// the request.
#[test]
fn refused_links() {
    run(async {
        assert_eq!(served_in_cut(ServerLink::refuse).await, (3 * REQUESTS, 3 * REQUESTS));
    });
}

/// The same where nothing answers, so that each connection fails only at its time limit.
#[test]
fn silent_links() {
    run(async {
        assert_eq!(served_in_cut(ServerLink::silence).await, (3 * REQUESTS, 3 * REQUESTS));
    });
}

/// Cuts the second daemon's links and waits until it knows.
async fn cut_off(fleet: &mut PlatformFleet) {
    fleet.links.iter_mut().for_each(ServerLink::refuse);
    let front = &fleet.fronts[1];
    eventually(STABLE_TIME, "the daemon knows that it is cut off", || async {
        let _ = request(front.caller, "/safe/x", "find-out", 2_000).send().await;
        let _ = model_request(front.caller, "find-out-too", "a").send().await;
        front.log().iter().filter(|line| line["event"] == "path_cut").count() >= 2
    })
    .await;
}

/// Guards against a request that runs twice, or is said not to have run, because the daemon that carries it
/// ends.
#[test]
fn lost_helper() {
    run(async {
        let mut fleet = start_fleet().await;
        cut_off(&mut fleet).await;
        for server in ["orders-1", "orders-2"] {
            fleet.server(server).set_run_time(Duration::from_millis(400));
        }
        let call = request(fleet.fronts[1].caller, "/unsafe/x", "lost", 2_000);
        let call = tokio::spawn(call.send());
        eventually(Duration::from_secs(2), "the request runs", || async {
            fleet.runs("lost") == 1
        })
        .await;
        fleet.fronts[0].kill();
        let answer = call.await.unwrap().unwrap();
        assert!(answer.status == 502 || answer.status == 504, "{}", answer.status);
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(fleet.runs("lost"), 1);
    });
}

/// Guards against a target that goes on with a request whose client has left the daemon that handed the
/// request over.
#[test]
fn client_gone() {
    run(async {
        let mut fleet = start_fleet().await;
        cut_off(&mut fleet).await;
        for server in ["orders-1", "orders-2"] {
            fleet.server(server).set_run_time(Duration::from_secs(5));
        }
        let call = tokio::spawn(request(fleet.fronts[1].caller, "/safe/x", "gone", 9_000).send());
        eventually(Duration::from_secs(2), "the request runs", || async {
            fleet.runs("gone") == 1
        })
        .await;
        call.abort();
        let has_left = |front: &FrontProcess| {
            let is_gone = |line: &serde_json::Value| {
                line["event"] == "caller_gone" && line["request"] == "gone"
            };
            front.log().iter().any(is_gone)
        };
        eventually(Duration::from_millis(500), "both daemons know", || async {
            fleet.fronts.iter().all(has_left)
        })
        .await;
    });
}

/// Guards against requests that daemons hand to each other while none of them reaches a target.
#[test]
fn all_cut() {
    run(async {
        let mut fleet = PlatformFleet::start(0).await;
        fleet.add_linked_front().await;
        fleet.add_linked_front().await;
        cut_off(&mut fleet).await;
        for front in &fleet.fronts {
            let _ = request(front.caller, "/unsafe/x", "find-out", 2_000).send().await;
        }
        for (number, front) in fleet.fronts.iter().enumerate() {
            let begun_at = Instant::now();
            let call = request(front.caller, "/unsafe/x", &format!("cut-{number}"), 2_000);
            let answer = call.send().await.unwrap();
            assert_eq!(answer.status, 503);
            assert!(answer.header("retry-after").is_some());
            assert!(begun_at.elapsed() < Duration::from_millis(200), "{:?}", begun_at.elapsed());
        }
        let handed_over = |front: &&FrontProcess| {
            front.log().iter().any(|line| line["event"] == "handed_over" && line["status"] == 200)
        };
        assert_eq!(fleet.fronts.iter().filter(handed_over).count(), 0);
    });
}

/// Guards against a request that both daemons send.
#[test]
fn sent_once() {
    run(async {
        let mut fleet = start_fleet().await;
        cut_off(&mut fleet).await;
        let answer = request(fleet.fronts[1].caller, "/unsafe/x", "once", 2_000).send().await;
        assert_eq!(answer.unwrap().status, 200);
        assert_eq!(fleet.runs("once"), 1);
        let is_sent =
            |line: &serde_json::Value| line["event"] == "sent" && line["request"] == "once";
        assert!(!fleet.fronts[1].log().iter().any(is_sent));
        assert!(fleet.fronts[0].log().iter().any(is_sent));
    });
}

/// Guards against models that nobody loads while the leader can't reach the engines.
#[test]
fn cut_leader() {
    run(async {
        let mut fleet = PlatformFleet::start(0).await;
        fleet.add_linked_front().await;
        let leads = |front: &FrontProcess| front.log().iter().any(|line| line["event"] == "leads");
        eventually(Duration::from_secs(5), "the first daemon leads", || async {
            leads(&fleet.fronts[0])
        })
        .await;
        fleet.add_fronts(2).await;
        fleet.links.iter_mut().for_each(ServerLink::refuse);
        let (leader, other) = (fleet.fronts[0].caller, fleet.fronts[1].caller);
        let begun_at = Instant::now();
        let mut number = 0;
        // Requests for models that are loaded go on at all daemons.
        while !fleet.fronts[1..].iter().any(leads) {
            assert!(begun_at.elapsed() < Duration::from_secs(5), "nobody else leads");
            number += 1;
            for (front, name) in [(leader, "leader"), (other, "other")] {
                let call = model_request(front, &format!("{name}-{number}"), "a");
                if let Ok(answer) = call.send().await {
                    let _ = read_events(answer).await;
                }
            }
        }
        let answer = model_request(other, "cold", "c").send().await.unwrap();
        assert_eq!(answer.status, 200, "the model is loaded");
    });
}
