//! Configurations that the leader doesn't relay, because they are large.

mod common;
mod layout_fleet;
mod platform_fleet;

use std::time::{Duration, Instant};

use common::run;
use layout_fleet::{large_config, start_fleet, start_fleet_with, version_of, wide_config};
use platform_fleet::platform_standin::StoreMode;
use platform_fleet::{FrontProcess, PlatformFleet};

/// Time within which a configuration must be in force at all hosts.
const APPLY_BOUND: Duration = Duration::from_millis(2_000);
/// Number of configurations that a test writes.
const CHANGES: u64 = 5;
/// Number of other hosts that write evidence of crashes, and the pause between two records.
const HOSTS: usize = 12;
const RECORD_PAUSE: Duration = Duration::from_millis(150);
/// Routes that an operator adds to a configuration at once.
const WIDE_ROUTES: u64 = 600;
/// Size of a host's record. The leader relays smaller ones.
const RECORD_BYTES: usize = 6_000;

/// Writes configurations and returns, for each, the hosts at which it came into force too late.
async fn late_hosts(fleet: &PlatformFleet) -> Vec<(u64, String)> {
    let mut late = Vec::new();
    for version in 10..10 + CHANGES {
        fleet.store.put("op/config", &large_config(version));
        let written_at = Instant::now();
        let mut waiting: Vec<&FrontProcess> = fleet.fronts.iter().collect();
        while !waiting.is_empty() && written_at.elapsed() < APPLY_BOUND {
            let mut older = Vec::new();
            for front in waiting {
                if version_of(front).await != Some(version) {
                    older.push(front);
                }
            }
            waiting = older;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        late.extend(waiting.iter().map(|front| (version, front.name.clone())));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    late
}

/// Guards against a configuration that waits for other values which the leader doesn't relay:
/// records of crashes that change all the time.
#[test]
fn layout_among_records() {
    run(async {
        let fleet = start_fleet(3).await;
        let write_records = async {
            for number in 0.. {
                let key = format!("mango/crash/other-{}", number % HOSTS);
                fleet.store.put_bytes(&key, &vec![b'x'; RECORD_BYTES]);
                tokio::time::sleep(RECORD_PAUSE).await;
            }
        };
        let change_layouts = async {
            tokio::time::sleep(Duration::from_secs(2)).await;
            late_hosts(&fleet).await
        };
        tokio::select! {
            () = write_records => {}
            late = change_layouts => assert!(late.is_empty(), "too late: {late:?}"),
        }
    });
}

/// Guards against a daemon that keeps an old configuration because it reaches the leader but not
/// the store.
#[test]
fn layout_without_store() {
    run(async {
        let fleet = start_fleet(3).await;
        let leads = |front: &&FrontProcess| front.log().iter().any(|line| line["event"] == "leads");
        let follower = fleet.fronts.iter().find(|front| !leads(front)).unwrap();
        follower.store.set_frozen(true);
        let late = late_hosts(&fleet).await;
        assert!(late.is_empty(), "too late: {late:?}");
    });
}

/// Guards against a configuration that is late because the leader falls silent and the daemons' first
/// calls of their own get no answer either.
#[test]
fn layout_beside_silence() {
    run(async {
        // Small hosts with the bounds of the larger deployments.
        let bound = Duration::from_millis(3_000);
        let change = |text: String| {
            let text = text.replace("domain = east\n", "domain = east\ncpu_share = 0.12\n");
            text.replace("grace = 5s\n", "grace = 5s\ndrain = 3s\n")
        };
        let fleet = start_fleet_with(3, change).await;
        let leads = |front: &&FrontProcess| front.log().iter().any(|line| line["event"] == "leads");
        let leader = fleet.fronts.iter().find(leads).unwrap();
        leader.suspend();
        fleet.store.set_mode(StoreMode::SilentWatches);
        fleet.store.put("op/config", &large_config(10));
        let written_at = Instant::now();
        for front in fleet.fronts.iter().filter(|front| front.name != leader.name) {
            while version_of(front).await != Some(10) {
                assert!(written_at.elapsed() < bound, "{} is late", front.name);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            eprintln!("{}: in force after {:?}", front.name, written_at.elapsed());
        }
        leader.resume();
    });
}

/// Guards against a daemon that keeps an old configuration because neither it nor the leader reaches the
/// store, while other daemons have the new one.
#[test]
fn layout_at_peers() {
    run(async {
        let bound = Duration::from_millis(3_000);
        let change = |text: String| text.replace("grace = 5s\n", "grace = 5s\ndrain = 3s\n");
        let fleet = start_fleet_with(4, change).await;
        let leads = |front: &&FrontProcess| front.log().iter().any(|line| line["event"] == "leads");
        let leader = fleet.fronts.iter().find(leads).unwrap();
        let follower = fleet.fronts.iter().find(|front| !leads(front)).unwrap();
        for front in [leader, follower] {
            front.store.set_frozen(true);
        }
        for version in 10..10 + CHANGES {
            fleet.store.put("op/config", &large_config(version));
            let written_at = Instant::now();
            for front in &fleet.fronts {
                while version_of(front).await != Some(version) {
                    let elapsed = written_at.elapsed();
                    assert!(elapsed < bound, "{} is late with {version}", front.name);
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                eprintln!("{}: {version} after {:?}", front.name, written_at.elapsed());
            }
        }
    });
}

/// Guards against a configuration that never arrives over a narrow link, because reads that make progress
/// are abandoned at a time limit and begin again.
#[test]
fn layout_on_narrow_link() {
    run(async {
        let bound = Duration::from_millis(3_000);
        let change = |text: String| text.replace("grace = 5s\n", "grace = 5s\ndrain = 3s\n");
        let fleet = start_fleet_with(2, change).await;
        let leads = |front: &&FrontProcess| front.log().iter().any(|line| line["event"] == "leads");
        let leader = fleet.fronts.iter().find(leads).unwrap();
        let follower = fleet.fronts.iter().find(|front| !leads(front)).unwrap();
        let layout = wide_config(10, WIDE_ROUTES);
        // The link carries the configuration in seven eighths of a second.
        follower.store.set_rate(layout.to_string().len() as u64 * 4 / 3 * 8 / 7);
        leader.suspend();
        fleet.store.put("op/config", &layout);
        let written_at = Instant::now();
        while version_of(follower).await != Some(10) {
            assert!(written_at.elapsed() < bound, "{} is late", follower.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        eprintln!("{}: in force after {:?}", follower.name, written_at.elapsed());
        leader.resume();
    });
}

/// Guards against daemons that keep an old configuration for good after a change that they have missed.
#[test]
fn missed_change() {
    run(async {
        let mut fleet = start_fleet(3).await;
        let leads = |front: &FrontProcess| front.log().iter().any(|line| line["event"] == "leads");
        let leader = fleet.fronts.iter().position(leads).unwrap();
        fleet.store.put_unwatched("op/config", &large_config(10));
        // Later changes carry all daemons past the one that they haven't seen.
        for _ in 0..5 {
            fleet.write_heartbeats();
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        for front in &fleet.fronts {
            assert_eq!(version_of(front).await, Some(3), "{}", front.name);
        }
        // A daemon that starts reads everything, and leads again at once.
        fleet.fronts[leader].kill();
        fleet.fronts[leader].spawn();
        fleet.wait_ready(leader).await;
        let begun_at = Instant::now();
        for front in &fleet.fronts {
            while version_of(front).await != Some(10) {
                assert!(begun_at.elapsed() < APPLY_BOUND, "{} is late", front.name);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            eprintln!("{}: in force after {:?}", front.name, begun_at.elapsed());
        }
    });
}

/// Guards against another key that begins like the configuration's and is read as the configuration
/// when a daemon reads the whole store.
#[test]
fn neighbouring_key() {
    run(async {
        let mut fleet = start_fleet(2).await;
        fleet.store.put("op/config-next", &large_config(99));
        fleet.fronts[0].kill();
        fleet.fronts[0].spawn();
        fleet.wait_ready(0).await;
        assert_eq!(version_of(&fleet.fronts[0]).await, Some(3));
        let late = late_hosts(&fleet).await;
        assert!(late.is_empty(), "too late: {late:?}");
    });
}
