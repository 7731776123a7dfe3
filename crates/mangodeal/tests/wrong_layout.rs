//! Configurations from other daemons that can't be right.

mod common;
mod platform_fleet;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{eventually, run};
use mangodeal::client::HttpCall;
use platform_fleet::platform_standin::config;
use platform_fleet::{FrontProcess, PlatformFleet};
use standin::http::{full, serve};

/// Time within which a configuration must be in force at all hosts.
const APPLY_BOUND: Duration = Duration::from_millis(2_000);
/// Tries to write a configuration at the revision after that of the one before.
const TRIES: u64 = 5;

/// Model names that make a configuration larger than what the leader relays.
fn many_models() -> Vec<String> {
    (0..60).map(|number| format!("model-{number:04}")).collect()
}

fn large_config(version: u64) -> serde_json::Value {
    let models = many_models();
    config(version, &models.iter().map(String::as_str).collect::<Vec<_>>())
}

/// Returns the configuration in force at a daemon.
async fn version_of(front: &FrontProcess) -> Option<u64> {
    let answer = HttpCall::get(front.metrics, "/metrics").send().await.ok()?;
    let bytes = answer.bytes().await.ok()?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix("mangodeal_layout_version "))?;
    line.parse().ok()
}

/// Starts a peer that answers every message with status 200 and `body`, and counts them.
async fn start_peer(body: Vec<u8>) -> (SocketAddr, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let handler = move |_| {
        counted.fetch_add(1, Ordering::SeqCst);
        let body = body.clone();
        async move { Some(full(200, "application/json", body)) }
    };
    let (address, _) = serve(handler).await.unwrap();
    (address, count)
}

/// Lets a daemon ask a peer that answers with `body`, while neither the leader nor the store answers
/// and a newer configuration is written. Then the leader answers again.
async fn ask_wrong_peer(body: Vec<u8>) {
    let models = many_models();
    let names: Vec<&str> = models.iter().map(String::as_str).collect();
    let fleet = PlatformFleet::start_with(2, &names).await;
    eventually(Duration::from_secs(8), "all follow the leader", || async {
        let follows = |front: &FrontProcess| {
            front.log().iter().any(|line| line["event"] == "leads" || line["source"] == "leader")
        };
        fleet.fronts.iter().all(follows)
    })
    .await;
    let leads = |front: &&FrontProcess| front.log().iter().any(|line| line["event"] == "leads");
    let leader = fleet.fronts.iter().find(leads).unwrap();
    let follower = fleet.fronts.iter().find(|front| !leads(front)).unwrap();
    let (address, asked) = start_peer(body).await;
    fleet.store.put_bytes("mango/seat/host-9", address.to_string().as_bytes());
    tokio::time::sleep(Duration::from_secs(1)).await;

    let mut version = 10;
    loop {
        assert!(version < 10 + 2 * TRIES, "no two configurations at successive revisions");
        fleet.store.put("op/config", &large_config(version));
        let revision = fleet.store.revision();
        eventually(APPLY_BOUND, "the first configuration is in force", || async {
            version_of(follower).await == Some(version)
        })
        .await;
        follower.store.set_frozen(true);
        leader.suspend();
        fleet.store.put("op/config", &large_config(version + 1));
        version += 1;
        if fleet.store.revision() == revision + 1 {
            break;
        }
        follower.store.set_frozen(false);
        leader.resume();
        eventually(APPLY_BOUND * 4, "the second configuration is in force", || async {
            version_of(follower).await == Some(version)
        })
        .await;
        version += 1;
    }
    eventually(APPLY_BOUND, "the peer is asked", || async { asked.load(Ordering::SeqCst) > 0 })
        .await;
    // The answer is processed before the leader's next reply.
    tokio::time::sleep(Duration::from_millis(50)).await;
    leader.resume();
    let resumed_at = Instant::now();
    while version_of(follower).await != Some(version) {
        let elapsed = resumed_at.elapsed();
        assert!(elapsed < APPLY_BOUND, "{} is late with {version}", follower.name);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    eprintln!("{}: in force after {:?}", follower.name, resumed_at.elapsed());
}

/// Guards against a daemon that keeps an old configuration because it counts a peer's unreadable answer
/// as the newer one.
#[test]
fn unreadable_answer() {
    run(ask_wrong_peer(b"{\"ready\":true}".to_vec()));
}

/// Guards against a daemon that keeps an old configuration because it counts an older one from a peer as
/// the newer one.
#[test]
fn older_answer() {
    run(ask_wrong_peer(large_config(2).to_string().into_bytes()));
}

/// Guards against a daemon that passes an unreadable configuration on, in place of the last readable one.
#[test]
fn unreadable_value() {
    run(async {
        let fleet = PlatformFleet::start(2).await;
        let unread = |front: &FrontProcess| {
            front.log().iter().filter(|line| line["event"] == "layout_unread").count()
        };
        fleet.store.put_bytes("op/config", b"{\"version\":");
        eventually(APPLY_BOUND, "all have read it", || async {
            fleet.fronts.iter().all(|front| unread(front) > 0)
        })
        .await;
        for front in &fleet.fronts {
            let ask =
                HttpCall::post(front.peer, "/layout", "{\"revision\":1}").send().await.unwrap();
            assert_eq!(ask.status, 200, "{}", front.name);
            let layout = ask.json().await.unwrap();
            assert_eq!(layout["version"], 3, "{}", front.name);
        }
        // It is read once, and the next change comes into force.
        tokio::time::sleep(APPLY_BOUND).await;
        for front in &fleet.fronts {
            assert!(unread(front) <= 2, "{}: read {} times", front.name, unread(front));
        }
        fleet.store.put("op/config", &config(10, &["a", "b", "c"]));
        for front in &fleet.fronts {
            eventually(APPLY_BOUND, "the next one is in force", || async {
                version_of(front).await == Some(10)
            })
            .await;
        }
    });
}
