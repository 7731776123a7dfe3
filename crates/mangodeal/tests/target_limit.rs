//! Limits that servers name in their answers on the requests of all daemons together.

mod common;
mod platform_fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::run;
use platform_fleet::{request, PlatformFleet};

/// Time after which the platform counts a limit as known to the daemons that have heard it.
const STABLE: Duration = Duration::from_secs(3);
/// Length of the windows in which the platform counts requests.
const WINDOW: Duration = Duration::from_secs(4);

/// A caller's answer: its status, the retry hint, and the time that it took.
struct CallerAnswer {
    status: u16,
    retry_after: Option<f64>,
    took: Duration,
}

/// Sends a request through each daemon in turn every `interval` for `span`, without waiting for the
/// answers.
async fn send_steadily(
    fronts: &[SocketAddr],
    path: &str,
    interval: Duration,
    span: Duration,
) -> Vec<CallerAnswer> {
    let started = Instant::now();
    let mut calls = Vec::new();
    for number in 0.. {
        if started.elapsed() >= span {
            break;
        }
        let front = fronts[number % fronts.len()];
        let attempt = format!("steady-{front}-{number}");
        let call = request(front, path, &attempt, 2_000);
        calls.push(tokio::spawn(async move {
            let sent_at = Instant::now();
            let answer = call.send().await.unwrap();
            CallerAnswer {
                status: answer.status.as_u16(),
                retry_after: answer.header("retry-after").and_then(|text| text.parse().ok()),
                took: sent_at.elapsed(),
            }
        }));
        tokio::time::sleep(interval).await;
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.unwrap());
    }
    answers
}

/// Returns the largest number of requests that reached a server in a window, from `since` on.
fn busiest_window(fleet: &PlatformFleet, server: &str, since: Instant) -> usize {
    let arrivals = fleet.server(server).arrivals();
    let times: Vec<Instant> = arrivals.iter().map(|a| a.at).filter(|at| *at >= since).collect();
    let count = |start: &Instant| {
        times.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
    };
    times.iter().map(count).max().unwrap_or(0)
}

/// Guards against a server getting more requests than its limit allows, because each daemon sends
/// as if the limit were its own or unknown.
#[test]
fn shared_limit() {
    run(async {
        let fleet = PlatformFleet::start(3).await;
        let fronts: Vec<SocketAddr> = fleet.fronts.iter().map(|front| front.caller).collect();
        let servers = ["orders-1", "orders-2"];
        servers.iter().for_each(|id| fleet.server(id).set_limit(Some("1")));
        let started = Instant::now();
        let span = STABLE + WINDOW * 2;
        let answers = send_steadily(&fronts, "/safe/1", Duration::from_millis(25), span).await;
        for id in servers {
            let busiest = busiest_window(&fleet, id, started + STABLE);
            assert!(
                busiest <= 4 + 1,
                "{id} got {busiest} requests in 4 s at a limit of 1 a second"
            );
            assert!(busiest >= 2, "{id} got only {busiest} requests in 4 s");
        }
        // What exceeds the limits is refused at once, as not run and with the time to return.
        for answer in answers.iter().filter(|answer| answer.status != 200) {
            assert_eq!(answer.status, 503);
            assert!(answer.took < Duration::from_millis(700), "{:?}", answer.took);
            assert!(answer.retry_after.is_some_and(|seconds| seconds > 0.0 && seconds < 30.0));
        }
    });
}
