//! Signals in servers' answers: that the server is leaving, and that it wants no requests for a time.

mod common;
mod platform_fleet;

use std::time::{Duration, Instant};

use common::{eventually, run};
use platform_fleet::{request, FrontProcess, PlatformFleet};

/// The platform's time limit until a leaving server gets no new requests.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

fn knows_leaving(front: &FrontProcess, server: &str) -> bool {
    front.log().iter().any(|line| line["event"] == "target_leaves" && line["target"] == server)
}

/// Sends requests through a daemon until the daemon has learned that a server is leaving.
async fn learn_leaving(fleet: &PlatformFleet, number: usize, server: &str) {
    for attempt in 0..40 {
        let attempt = format!("meet-{number}-{attempt}");
        let call = request(fleet.fronts[number].caller, "/unsafe/1", &attempt, 1_000);
        assert_eq!(call.send().await.unwrap().status, 200);
        if knows_leaving(&fleet.fronts[number], server) {
            return;
        }
    }
    panic!("{server} got no request");
}

/// Sends requests through a daemon and checks that all are served and that `server` gets none.
async fn check_avoided(fleet: &PlatformFleet, number: usize, server: &str) {
    let before = fleet.server(server).arrivals().len();
    for attempt in 0..20 {
        let attempt = format!("after-{number}-{attempt}-{before}");
        let call = request(fleet.fronts[number].caller, "/unsafe/1", &attempt, 1_000);
        assert_eq!(call.send().await.unwrap().status, 200);
    }
    assert_eq!(fleet.server(server).arrivals().len(), before);
}

/// A server that says in an answer that it is leaving gets no new requests, even if its entry in the
/// store still says ready, is deleted and written again, or if the store can't be reached.
#[test]
fn announced_leaving() {
    run(async {
        let mut fleet = PlatformFleet::start(1).await;
        fleet.server("orders-1").set_leaving();
        learn_leaving(&fleet, 0, "orders-1").await;
        check_avoided(&fleet, 0, "orders-1").await;
        fleet.write_heartbeats();
        tokio::time::sleep(Duration::from_secs(1)).await;
        check_avoided(&fleet, 0, "orders-1").await;
        fleet.store.delete("servers/orders-1");
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.write_heartbeats();
        tokio::time::sleep(Duration::from_secs(1)).await;
        check_avoided(&fleet, 0, "orders-1").await;
        fleet.fronts[0].store.set_disconnected(true);
        tokio::time::sleep(Duration::from_millis(500)).await;
        check_avoided(&fleet, 0, "orders-1").await;
    });
}

/// The other daemons learn from the leader that a server is leaving, and so does a restarted daemon.
#[test]
fn shared_leaving() {
    run(async {
        let mut fleet = PlatformFleet::start(3).await;
        fleet.server("orders-1").set_leaving();
        learn_leaving(&fleet, 0, "orders-1").await;
        tokio::time::sleep(DRAIN_BOUND).await;
        for number in 0..3 {
            check_avoided(&fleet, number, "orders-1").await;
        }
        fleet.fronts[0].kill();
        fleet.fronts[0].spawn();
        fleet.wait_ready(0).await;
        tokio::time::sleep(DRAIN_BOUND).await;
        check_avoided(&fleet, 0, "orders-1").await;
    });
}

/// A server that said that it is leaving is used again after its restart.
#[test]
fn restarted_server() {
    run(async {
        let mut fleet = PlatformFleet::start(1).await;
        fleet.server("orders-1").set_leaving();
        learn_leaving(&fleet, 0, "orders-1").await;
        fleet.restart_server("orders-1").await;
        eventually(Duration::from_secs(5), "the restarted server is used", || async {
            let attempt = format!("next-{:?}", Instant::now());
            let call = request(fleet.fronts[0].caller, "/safe/1", &attempt, 1_000);
            call.send().await.is_ok_and(|answer| answer.status == 200)
                && !fleet.server("orders-1").arrivals().is_empty()
        })
        .await;
    });
}

/// A server that refuses a request and asks for a backoff gets no request until the backoff ends, and
/// then only one at first. The other server serves the requests meanwhile.
#[test]
fn server_backoff() {
    run(async {
        let fleet = PlatformFleet::start(1).await;
        let front = fleet.fronts[0].caller;
        let backoff = Duration::from_secs(3);
        fleet.server("orders-1").set_retry_after(backoff);
        let started = Instant::now();
        for attempt in 0.. {
            let attempt = format!("spared-{attempt}");
            let answer = request(front, "/safe/1", &attempt, 1_000).send().await.unwrap();
            assert_eq!(answer.status, 200, "{attempt}");
            tokio::time::sleep(Duration::from_millis(20)).await;
            if started.elapsed() > backoff + Duration::from_secs(2) {
                break;
            }
        }
        let arrivals = fleet.server("orders-1").arrivals();
        let early = arrivals.iter().filter(|arrival| arrival.at < started + backoff).count();
        assert_eq!(early, 1, "the server must get exactly one request before the backoff ends");
        assert!(arrivals.len() > early, "the server is not used again");
    });
}

/// While all servers of a service are in backoff, requests are refused at once, as not run. They are
/// served when they are repeated after the backoff; each server gets one of them first.
#[test]
fn service_backoff() {
    run(async {
        let fleet = PlatformFleet::start(1).await;
        let front = fleet.fronts[0].caller;
        let backoff = Duration::from_secs(2);
        let servers = ["orders-1", "orders-2"].map(|id| fleet.server(id));
        for server in servers {
            server.set_retry_after(backoff);
            server.set_run_time(Duration::from_millis(300));
        }
        let started = Instant::now();
        let first = request(front, "/safe/1", "first", 2_000).send().await.unwrap();
        assert_eq!(first.status, 503);
        let callers = (0..12).map(|number| {
            tokio::spawn(async move {
                let asked_at = Instant::now();
                let attempt = format!("refused-{number}");
                let answer = request(front, "/safe/1", &attempt, 2_000).send().await.unwrap();
                assert_eq!(answer.status, 503);
                assert!(asked_at.elapsed() < Duration::from_millis(500), "not refused at once");
                let pause: f64 = answer.header("retry-after").unwrap().parse().unwrap();
                tokio::time::sleep(Duration::from_secs_f64(pause)).await;
                let attempt = format!("back-{number}");
                let answer = request(front, "/safe/1", &attempt, 2_000).send().await.unwrap();
                assert_eq!(answer.status, 200);
            })
        });
        for caller in callers.collect::<Vec<_>>() {
            caller.await.unwrap();
        }
        for server in servers {
            let times: Vec<Instant> = server.arrivals().iter().map(|arrival| arrival.at).collect();
            let early = times.iter().filter(|at| **at < started + backoff).count();
            assert_eq!(early, 1, "the server must get exactly one request before the backoff ends");
            // No other request arrives until the first one is answered.
            if let [first, second, ..] = times[early..] {
                assert!(second - first >= Duration::from_millis(250), "{:?}", second - first);
            }
        }
    });
}
