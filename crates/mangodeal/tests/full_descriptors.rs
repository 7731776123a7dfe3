//! Clients whose connections take up all file descriptors of a daemon.

mod common;
mod platform_fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{eventually, run};
use platform_fleet::platform_standin::config;
use platform_fleet::{FrontProcess, PlatformFleet};
use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time within which a configuration must be in force at all hosts.
const APPLY_BOUND: Duration = Duration::from_millis(2_000);
/// Time after which a host without disruption must be in touch again.
const STABLE_SPAN: Duration = Duration::from_millis(3_000);
/// File descriptors that are left for connections.
const SPARE_DESCRIPTORS: u64 = 20;
/// Connections that clients open.
const CONNECTIONS: usize = 200;
/// Number of configurations that are written.
const CHANGES: u64 = 4;

/// Returns a configuration that the leader doesn't relay, because it is large.
fn large_config(version: u64) -> Value {
    let models: Vec<String> = (0..60).map(|number| format!("model-{number:04}")).collect();
    config(version, &models.iter().map(String::as_str).collect::<Vec<_>>())
}

fn has_event(front: &FrontProcess, event: &str) -> bool {
    front.log().iter().any(|line| line["event"] == event)
}

fn has_taken(front: &FrontProcess, version: u64) -> bool {
    let taken = |line: &Value| line["event"] == "layout_taken" && line["version"] == version;
    front.log().iter().any(taken)
}

/// A task that ends with its owner.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Opens a connection, and again whenever it is closed.
async fn keep_open(address: SocketAddr) {
    loop {
        if let Ok(mut conn) = TcpStream::connect(address).await {
            let _ = conn.read(&mut [0]).await;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Takes up the descriptors of a daemon that follows another one, and returns its number and that of the
/// leader.
async fn fill_descriptors(fleet: &PlatformFleet) -> (usize, usize, Vec<AbortOnDrop>) {
    eventually(Duration::from_secs(8), "all follow the leader", || async {
        let follows = |front: &FrontProcess| {
            front.log().iter().any(|line| line["event"] == "leads" || line["source"] == "leader")
        };
        fleet.fronts.iter().all(follows)
    })
    .await;
    let leader = fleet.fronts.iter().position(|front| has_event(front, "leads")).unwrap();
    let follower = (leader + 1) % fleet.fronts.len();
    let front = &fleet.fronts[follower];
    front.limit_descriptors(SPARE_DESCRIPTORS);
    let clients = (0..CONNECTIONS).map(|_| AbortOnDrop(tokio::spawn(keep_open(front.caller))));
    let clients = clients.collect();
    eventually(Duration::from_secs(8), "no connection is left", || async {
        has_event(front, "accept_failed")
    })
    .await;
    (leader, follower, clients)
}

/// Writes configurations and checks that each comes into force in time at a daemon.
async fn check_layouts(fleet: &PlatformFleet, number: usize) {
    let front = &fleet.fronts[number];
    let mut late = Vec::new();
    for version in 10..10 + CHANGES {
        fleet.store.put("op/config", &large_config(version));
        let written_at = Instant::now();
        while !has_taken(front, version) && written_at.elapsed() < APPLY_BOUND {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if !has_taken(front, version) {
            late.push(version);
        }
        eprintln!("{}: {version} after {:?}", front.name, written_at.elapsed());
    }
    assert!(late.is_empty(), "{} is late with {late:?}", front.name);
}

/// Guards against a daemon that keeps an old configuration because its clients' connections leave no file
/// descriptor for reading it.
#[test]
fn layout_beside_full_descriptors() {
    run(async {
        let fleet = PlatformFleet::start(3).await;
        let (_, follower, _clients) = fill_descriptors(&fleet).await;
        // Idle connections to the store are closed by then.
        tokio::time::sleep(Duration::from_secs(10)).await;
        check_layouts(&fleet, follower).await;
    });
}

/// Guards against a daemon that keeps an old configuration because its clients' connections leave no file
/// descriptor for the next leader.
#[test]
fn leader_beside_full_descriptors() {
    run(async {
        let mut fleet = PlatformFleet::start(3).await;
        let (leader, follower, _clients) = fill_descriptors(&fleet).await;
        fleet.fronts[leader].kill();
        tokio::time::sleep(STABLE_SPAN * 2).await;
        check_layouts(&fleet, follower).await;
    });
}

/// Guards against a daemon that keeps an old configuration because, after its connections were lost, those
/// of its clients leave no file descriptor for new ones.
#[test]
fn lost_connections() {
    run(async {
        let mut fleet = PlatformFleet::start(3).await;
        let (leader, follower, _clients) = fill_descriptors(&fleet).await;
        fleet.fronts[follower].store.set_disconnected(true);
        fleet.fronts[leader].kill();
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.fronts[follower].store.set_disconnected(false);
        tokio::time::sleep(STABLE_SPAN * 2).await;
        check_layouts(&fleet, follower).await;
    });
}
