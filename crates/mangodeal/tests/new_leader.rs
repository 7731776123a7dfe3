//! Configurations that are written while there is no leader.

mod common;
mod layout_fleet;
mod platform_fleet;

use std::time::{Duration, Instant};

use common::{eventually, run};
use layout_fleet::{start_fleet_with, version_of, wide_config};
use platform_fleet::{FrontProcess, PlatformFleet};

const DAEMONS: usize = 6;
/// Routes of a large configuration beside the first ones.
const FURTHER_ROUTES: u64 = 1_000;
/// Number of leaders that are suspended, one after the other. Not every next leader asks others before it
/// reads the store.
const TERMS: u64 = 3;
/// Time within which a configuration must be in force. It is long enough for the next daemon to lead before
/// the others check their configurations.
const APPLY_BOUND: Duration = Duration::from_secs(20);

const BOUNDS: &str = "grace = 5s\ndrain = 3s\napply = 20s\n";

/// Returns the daemon that has begun the latest term.
fn find_leader(fleet: &PlatformFleet) -> &FrontProcess {
    let last_term = |front: &&FrontProcess| {
        let log = front.log();
        let terms = log.iter().filter(|line| line["event"] == "leads");
        terms.filter_map(|line| line["fence"].as_u64()).max()
    };
    fleet.fronts.iter().max_by_key(last_term).unwrap()
}

async fn check_in_force(fronts: impl Iterator<Item = &FrontProcess>, version: u64) {
    let written_at = Instant::now();
    let mut late = Vec::new();
    for front in fronts {
        while version_of(front).await != Some(version) && written_at.elapsed() < APPLY_BOUND {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        eprintln!("{}: version {version} after {:?}", front.name, written_at.elapsed());
        if version_of(front).await != Some(version) {
            late.push(front.name.as_str());
        }
    }
    assert!(late.is_empty(), "{late:?} lack version {version} after {APPLY_BOUND:?}");
}

/// Guards against daemons that keep an old configuration because the next leader has left out the change as
/// they have, and they confirm the old one to each other.
#[test]
fn unread_by_next_leader() {
    run(async {
        let fleet = start_fleet_with(DAEMONS, |text| text.replace("grace = 5s\n", BOUNDS)).await;
        for term in 0..TERMS {
            fleet.store.put("op/config", &wide_config(10 + 2 * term, FURTHER_ROUTES));
            check_in_force(fleet.fronts.iter(), 10 + 2 * term).await;
            let is_followed = |front: &FrontProcess| {
                let log = front.log();
                let last = log.iter().rfind(|line| line["event"] == "follows");
                last.is_none_or(|line| line["source"] == "leader")
            };
            let leader = find_leader(&fleet);
            eventually(APPLY_BOUND, "all follow the leader", || async {
                let mut others = fleet.fronts.iter().filter(|front| front.name != leader.name);
                others.all(is_followed)
            })
            .await;
            leader.suspend();
            fleet.store.put("op/config", &wide_config(11 + 2 * term, FURTHER_ROUTES + 1));
            let others = fleet.fronts.iter().filter(|front| front.name != leader.name);
            check_in_force(others, 11 + 2 * term).await;
            leader.resume();
        }
    });
}
