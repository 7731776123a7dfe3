//! What servers ask of daemons in their answers: to be left, and to be spared for a time.

mod common;
mod platform_fleet;

use std::time::{Duration, Instant};

use common::{eventually, run};
use platform_fleet::{request, FrontProcess, PlatformFleet};

/// The platform's own bound for a leaving server.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

fn knows_departure(front: &FrontProcess, server: &str) -> bool {
    front.log().iter().any(|line| line["event"] == "target_leaves" && line["target"] == server)
}

/// Sends requests until a server has answered with its leave through a daemon.
async fn meet_leave(fleet: &PlatformFleet, number: usize, server: &str) {
    for attempt in 0..40 {
        let attempt = format!("meet-{number}-{attempt}");
        let call = request(fleet.fronts[number].caller, "/unsafe/1", &attempt, 1_000);
        assert_eq!(call.send().await.unwrap().status, 200);
        if knows_departure(&fleet.fronts[number], server) {
            return;
        }
    }
    panic!("{server} was never asked");
}

/// Sends requests through a daemon, and checks that all are served, none by a server.
async fn goes_elsewhere(fleet: &PlatformFleet, number: usize, server: &str) {
    let before = fleet.server(server).arrivals().len();
    for attempt in 0..20 {
        let attempt = format!("after-{number}-{attempt}-{before}");
        let call = request(fleet.fronts[number].caller, "/unsafe/1", &attempt, 1_000);
        assert_eq!(call.send().await.unwrap().status, 200);
    }
    assert_eq!(fleet.server(server).arrivals().len(), before);
}

/// A server that says so in an answer gets nothing new, though its entry goes on saying that it is
/// ready, vanishes and comes again, and though the store is cut off.
#[test]
fn own_word() {
    run(async {
        let mut fleet = PlatformFleet::start(1).await;
        fleet.server("orders-1").set_leaving();
        meet_leave(&fleet, 0, "orders-1").await;
        goes_elsewhere(&fleet, 0, "orders-1").await;
        fleet.write_heartbeats();
        tokio::time::sleep(Duration::from_secs(1)).await;
        goes_elsewhere(&fleet, 0, "orders-1").await;
        fleet.store.delete("servers/orders-1");
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.write_heartbeats();
        tokio::time::sleep(Duration::from_secs(1)).await;
        goes_elsewhere(&fleet, 0, "orders-1").await;
        fleet.fronts[0].store.set_cut(true);
        tokio::time::sleep(Duration::from_millis(500)).await;
        goes_elsewhere(&fleet, 0, "orders-1").await;
    });
}

/// The other daemons learn of it from the leader, and so does one that starts again.
#[test]
fn spread_word() {
    run(async {
        let mut fleet = PlatformFleet::start(3).await;
        fleet.server("orders-1").set_leaving();
        meet_leave(&fleet, 0, "orders-1").await;
        tokio::time::sleep(DRAIN_BOUND).await;
        for number in 0..3 {
            goes_elsewhere(&fleet, number, "orders-1").await;
        }
        fleet.fronts[0].kill();
        fleet.fronts[0].spawn();
        fleet.wait_ready(0).await;
        tokio::time::sleep(DRAIN_BOUND).await;
        goes_elsewhere(&fleet, 0, "orders-1").await;
    });
}

/// A server that restarts is another start of it: it is used again.
#[test]
fn next_start() {
    run(async {
        let mut fleet = PlatformFleet::start(1).await;
        fleet.server("orders-1").set_leaving();
        meet_leave(&fleet, 0, "orders-1").await;
        fleet.restart_server("orders-1").await;
        eventually(Duration::from_secs(5), "the new start is used", || async {
            let attempt = format!("next-{:?}", Instant::now());
            let call = request(fleet.fronts[0].caller, "/safe/1", &attempt, 1_000);
            call.send().await.is_ok_and(|answer| answer.status == 200)
                && !fleet.server("orders-1").arrivals().is_empty()
        })
        .await;
    });
}

/// A server that turns a request away and asks to be spared gets nothing until then, and one
/// request at first. The other server takes what there is meanwhile.
#[test]
fn spared_server() {
    run(async {
        let fleet = PlatformFleet::start(1).await;
        let front = fleet.fronts[0].caller;
        let spare = Duration::from_secs(3);
        fleet.server("orders-1").set_spared(spare);
        let since = Instant::now();
        for attempt in 0.. {
            let attempt = format!("spared-{attempt}");
            let answer = request(front, "/safe/1", &attempt, 1_000).send().await.unwrap();
            assert_eq!(answer.status, 200, "{attempt}");
            tokio::time::sleep(Duration::from_millis(20)).await;
            if since.elapsed() > spare + Duration::from_secs(2) {
                break;
            }
        }
        let arrivals = fleet.server("orders-1").arrivals();
        let early = arrivals.iter().filter(|arrival| arrival.at < since + spare).count();
        assert_eq!(early, 1, "it asked to be spared with its first answer");
        assert!(arrivals.len() > early, "it is used again");
    });
}

/// Where no server can serve, requests are refused at once, as not run, and are served when they come
/// back; each server gets one of them first.
#[test]
fn spared_service() {
    run(async {
        let fleet = PlatformFleet::start(1).await;
        let front = fleet.fronts[0].caller;
        let spare = Duration::from_secs(2);
        let servers = ["orders-1", "orders-2"].map(|id| fleet.server(id));
        for server in servers {
            server.set_spared(spare);
            server.set_work(Duration::from_millis(300));
        }
        let since = Instant::now();
        let first = request(front, "/safe/1", "first", 2_000).send().await.unwrap();
        assert_eq!(first.status, 503);
        let callers = (0..12).map(|number| {
            tokio::spawn(async move {
                let asked_at = Instant::now();
                let attempt = format!("refused-{number}");
                let answer = request(front, "/safe/1", &attempt, 2_000).send().await.unwrap();
                assert_eq!(answer.status, 503);
                assert!(asked_at.elapsed() < Duration::from_millis(500), "refused at once");
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
            let early = times.iter().filter(|at| **at < since + spare).count();
            assert_eq!(early, 1, "only what was turned away came before the time was over");
            // Until the first one has its answer, nothing else arrives.
            if let [first, second, ..] = times[early..] {
                assert!(second - first >= Duration::from_millis(250), "{:?}", second - first);
            }
        }
    });
}
