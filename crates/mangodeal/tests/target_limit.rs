//! Limits that servers name in their answers on the requests of all daemons together.

mod common;
mod platform_fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{eventually, run};
use platform_fleet::{model_request, request, PlatformFleet};

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

/// Guards against requests being refused, or the limit exceeded, while another server of the service
/// has no limit, and against a server that is never used again after its limit has ended.
#[test]
fn other_server() {
    run(async {
        let fleet = PlatformFleet::start(3).await;
        let fronts: Vec<SocketAddr> = fleet.fronts.iter().map(|front| front.caller).collect();
        fleet.server("orders-1").set_limit(Some("0.5"));
        let started = Instant::now();
        let span = STABLE + WINDOW * 2;
        let answers = send_steadily(&fronts, "/safe/1", Duration::from_millis(25), span).await;
        assert!(answers.iter().all(|answer| answer.status == 200));
        let busiest = busiest_window(&fleet, "orders-1", started + STABLE);
        assert!((1..=2 + 1).contains(&busiest), "{busiest} requests in 4 s at 0.5 a second");
        fleet.server("orders-1").set_limit(None);
        let ended = Instant::now();
        send_steadily(&fronts, "/safe/1", Duration::from_millis(25), Duration::from_secs(6)).await;
        let since = ended + Duration::from_secs(4);
        let arrivals = fleet.server("orders-1").arrivals();
        let later = arrivals.iter().filter(|arrival| arrival.at >= since).count();
        assert!(later >= 10, "{later} requests in 2 s after the limit has ended");
    });
}

/// Guards against a restarted daemon that learns of a limit only from its own answers.
#[test]
fn restarted_daemon() {
    run(async {
        let mut fleet = PlatformFleet::start(3).await;
        fleet.server("orders-1").set_limit(Some("1"));
        let fronts = [fleet.fronts[0].caller];
        send_steadily(&fronts, "/safe/1", Duration::from_millis(20), Duration::from_secs(1)).await;
        let is_relayed = |line: &serde_json::Value| {
            line["event"] == "target_limit" && line["request"] == "leader"
        };
        eventually(Duration::from_secs(3), "the other daemons know the limit", || async {
            fleet.fronts[1..].iter().all(|front| front.log().iter().any(is_relayed))
        })
        .await;
        let lines = fleet.fronts[2].log().len();
        fleet.fronts[2].kill();
        fleet.fronts[2].spawn();
        fleet.wait_ready(2).await;
        eventually(Duration::from_secs(3), "the restarted daemon knows the limit", || async {
            fleet.fronts[2].log()[lines..].iter().any(is_relayed)
        })
        .await;
    });
}

/// Guards against a caller's own header reaching a server or limiting one.
#[test]
fn callers_header() {
    run(async {
        let fleet = PlatformFleet::start(1).await;
        let front = fleet.fronts[0].caller;
        for number in 0..8 {
            let call = request(front, "/safe/1", &format!("own-{number}"), 1_000);
            let call = call.header("server-limit", "0").header("server-leaving", "1");
            assert_eq!(call.send().await.unwrap().status, 200);
        }
        let servers = ["orders-1", "orders-2"].map(|id| fleet.server(id));
        for arrival in servers.iter().flat_map(|server| server.arrivals()) {
            assert!(!arrival.headers.contains_key("server-limit"));
            assert!(!arrival.headers.contains_key("server-leaving"));
        }
    });
}

/// Guards against a rare model that is never served because the only server that holds it takes no
/// requests.
#[test]
fn rare_model() {
    run(async {
        let fleet = PlatformFleet::start(2).await;
        let fronts = [0, 1].map(|number: usize| fleet.fronts[number].caller);
        fleet.server("engine-1").set_limit(Some("0"));
        let mut number = 0;
        eventually(Duration::from_secs(20), "the model is served elsewhere", || {
            number += 1;
            let call = model_request(fronts[number % 2], &format!("rare-{number}"), "b");
            async {
                let status = call.send().await.unwrap().status;
                assert!(status == 200 || status == 503, "{status}");
                // Too seldom for a second replica without the limit.
                tokio::time::sleep(Duration::from_secs(1)).await;
                fleet
                    .server("engine-2")
                    .arrivals()
                    .iter()
                    .any(|arrival| arrival.ran && arrival.headers["mangodeal-model"] == "b")
            }
        })
        .await;
    });
}

/// Guards against a limit that replaces a backoff or a departure which the same answer announces.
#[test]
fn combined_notices() {
    run(async {
        let fleet = PlatformFleet::start(1).await;
        let front = fleet.fronts[0].caller;
        let [leaving, pausing] = ["orders-1", "orders-2"].map(|id| fleet.server(id));
        leaving.set_limit(Some("100"));
        leaving.set_leaving();
        pausing.set_limit(Some("100"));
        pausing.set_retry_after(Duration::from_secs(1));
        for number in 0..20 {
            request(front, "/safe/1", &format!("first-{number}"), 1_000).send().await.unwrap();
        }
        assert_eq!((leaving.arrivals().len(), pausing.arrivals().len()), (1, 1));
        let interval = Duration::from_millis(20);
        send_steadily(&[front], "/safe/1", interval, Duration::from_secs(2)).await;
        assert_eq!(leaving.arrivals().len(), 1);
        assert!(pausing.arrivals().len() > 1, "the server is not used again");
    });
}

/// Guards against a limit that is exceeded while the leader is killed, and while other daemons are
/// suspended, cut off from the store or restarted.
#[test]
fn faulty_daemons() {
    run(async {
        let mut fleet = PlatformFleet::start(3).await;
        let fronts: Vec<SocketAddr> = fleet.fronts.iter().map(|front| front.caller).collect();
        let servers = ["orders-1", "orders-2"];
        servers.iter().for_each(|id| fleet.server(id).set_limit(Some("2")));
        let started = Instant::now();
        let span = Duration::from_secs(20);
        let senders = fronts.iter().map(|front| {
            let front = *front;
            tokio::spawn(async move {
                for number in 0.. {
                    if started.elapsed() >= span {
                        break;
                    }
                    let attempt = format!("faulty-{front}-{number}");
                    // Requests fail while their daemon is down.
                    let _ = request(front, "/safe/1", &attempt, 1_000).send().await;
                    tokio::time::sleep(Duration::from_millis(30)).await;
                }
            })
        });
        let senders: Vec<_> = senders.collect();
        tokio::time::sleep(Duration::from_secs(4)).await;
        let leads = |front: &platform_fleet::FrontProcess| {
            front.log().iter().any(|line| line["event"] == "leads")
        };
        let leader = fleet.fronts.iter().position(leads).unwrap();
        let others = [(leader + 1) % 3, (leader + 2) % 3];
        fleet.fronts[leader].kill();
        tokio::time::sleep(Duration::from_secs(4)).await;
        fleet.fronts[leader].spawn();
        fleet.fronts[others[0]].suspend();
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet.fronts[others[0]].resume();
        fleet.fronts[others[1]].store.set_disconnected(true);
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet.fronts[others[1]].store.set_disconnected(false);
        fleet.fronts[others[0]].kill();
        fleet.fronts[others[0]].spawn();
        for sender in senders {
            sender.await.unwrap();
        }
        for id in servers {
            let busiest = busiest_window(&fleet, id, started + STABLE);
            // A daemon that has just started sends until it has heard the limit.
            let allowed = (2.0 * WINDOW.as_secs_f64() * 1.5) as usize + 5;
            assert!(busiest <= allowed, "{id} got {busiest} requests in 4 s at 2 a second");
            let arrivals = fleet.server(id).arrivals();
            let late = arrivals.iter().filter(|a| a.at >= started + span - WINDOW).count();
            assert!(late >= 2, "{id} got {late} requests in the last 4 s");
            println!("{id}: at most {busiest} requests in 4 s");
        }
    });
}
