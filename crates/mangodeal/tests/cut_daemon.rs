//! Daemons that lose their links to the targets while clients, the store and other daemons reach them.

mod common;
mod platform_fleet;

use std::time::Duration;

use common::run;
use mangodeal::client::HttpAnswer;
use platform_fleet::{
    last_event_id, model_request, read_events, read_text, request, PlatformFleet, ServerLink,
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
