//! Across all hosts, a team gets no more tokens than its rate and burst allow.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{read_json, run, Fleet, Options};
use mangodeal::client::HttpCall;
use serde_json::json;

const RATE: u64 = 300;
const BURST: u64 = 600;

async fn limited_fleet() -> Fleet {
    let fleet = Fleet::start(Options { daemons_per_domain: 2, ..Options::default() }).await;
    fleet.load_model(0, "lace").await;
    let team = json!({"kind": "team", "name": "atelier", "labels": "tier=gold", "rate": RATE,
                      "burst": BURST});
    let revision = fleet.apply(&[team]).await;
    fleet.wait_in_force(revision, fleet.daemons.len()).await;
    fleet
}

/// Sends requests in several loops and adds up the tokens that they used.
fn apply_load(call: impl Fn() -> HttpCall + Send + Sync + 'static, used: Arc<AtomicU64>) {
    let call = Arc::new(call);
    for _ in 0..6 {
        let (call, used) = (call.clone(), used.clone());
        tokio::spawn(async move {
            loop {
                let result = call().header("x-mangodeal-deadline-ms", "700").send().await;
                match result {
                    Ok(answer) => {
                        let (_, body) = read_json(answer).await;
                        let tokens = body["usage"]["total_tokens"].as_u64().unwrap_or(0);
                        used.fetch_add(tokens, Ordering::SeqCst);
                    }
                    Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
                }
            }
        });
    }
}

/// Applies load to all daemons.
fn load_all(fleet: &Fleet, used: &Arc<AtomicU64>) {
    for at in 0..fleet.daemons.len() {
        let call = fleet.chat_call(at, "lace", 20, false);
        apply_load(move || call.clone(), used.clone());
    }
}

#[test]
fn many_hosts() {
    run(async {
        let fleet = limited_fleet().await;
        let used = Arc::new(AtomicU64::new(0));
        let started = Instant::now();
        load_all(&fleet, &used);
        tokio::time::sleep(Duration::from_secs(6)).await;
        let total = used.load(Ordering::SeqCst);
        let allowed = BURST as f64 + RATE as f64 * started.elapsed().as_secs_f64();
        assert!(total as f64 <= allowed, "{total} tokens used and {allowed:.0} allowed");
        // If requests within the rate were refused, much of the allowance would stay unused.
        assert!(total as f64 > allowed * 0.5, "only {total} of {allowed:.0} tokens used");
    });
}

#[test]
fn killed_and_frozen() {
    run(async {
        let mut fleet = limited_fleet().await;
        let used = Arc::new(AtomicU64::new(0));
        let started = Instant::now();
        load_all(&fleet, &used);
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.daemons[0].kill();
        fleet.daemons[2].suspend();
        fleet.service.set_down(true);
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet.daemons[0].spawn();
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet.daemons[2].resume();
        fleet.service.set_down(false);
        tokio::time::sleep(Duration::from_secs(5)).await;
        let total = used.load(Ordering::SeqCst);
        let allowed = BURST as f64 + RATE as f64 * started.elapsed().as_secs_f64();
        assert!(total as f64 <= allowed, "{total} tokens used and {allowed:.0} allowed");
    });
}

#[test]
fn one_host() {
    run(async {
        let fleet = limited_fleet().await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        // All requests go to one of four hosts, whose own share is a quarter; it borrows the rest.
        // The requests stay within the team's rate.
        let mut refused = 0;
        for _ in 0..40 {
            let answer = fleet.chat_call(3, "lace", 20, false).send().await.unwrap();
            refused += u32::from(answer.status != 200);
            tokio::time::sleep(Duration::from_millis(120)).await;
        }
        assert_eq!(refused, 0, "refused although within the rate");
    });
}
