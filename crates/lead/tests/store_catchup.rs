//! How soon daemons apply the latest configuration after they could not reach the store.
//!
//! The store rejects a third of the daemons for eight seconds, while the configuration is replaced
//! more than sixty times. The leader is lost when the store returns, so that no changes are
//! relayed. The daemons' links are slow.

use std::time::Duration;

use base::Time;
use mango_lead::{ReadPlan, StoreRead};

/// Size of the configuration, and of everything else that a daemon reads, in bytes.
const LAYOUT_BYTES: u64 = 107_000;
const OTHER_BYTES: u64 = 200_000;
/// 10 Mbit/s, in bytes per millisecond.
const LINK_RATE: u64 = 1_250;
/// Timeouts of a call for changes after a failed call and otherwise, and of a call for a snapshot,
/// and the daemon's pauses between calls.
const CHANGES_LIMIT_MS: [u64; 2] = [1_100, 2_400];
const STATE_LIMIT_MS: u64 = 1_500;
const RETRY_MS: u64 = 600;
const PAUSE_MS: u64 = 600;
/// The users' bounds: a configuration is in force within `APPLY_MS` of its acceptance on each
/// daemon that could reach the store for `REACHABLE_MS`.
const APPLY_MS: u64 = 3_000;
const REACHABLE_MS: u64 = 4_000;

/// Simulates 30 s with an outage and a burst of changes. Returns the longest time, in milliseconds,
/// by which the daemon exceeded the bounds.
fn simulate((out_from, out_until): (u64, u64), (burst_from, burst_until): (u64, u64)) -> u64 {
    const CHANGE_INTERVAL_MS: u64 = 100;
    let version_at = |ms: u64| ms.clamp(burst_from, burst_until) / CHANGE_INTERVAL_MS;
    let mut plan = ReadPlan::new(Time::ZERO);
    plan.record_snapshot(Time::ZERO);
    let (mut known, mut is_lost, mut free_at, mut worst) = (version_at(0), false, 0, 0);
    for ms in 0..30_000 {
        let reachable_from = if ms >= out_until { out_until } else { 0 };
        if ms >= reachable_from + REACHABLE_MS && !(out_from..out_until).contains(&ms) {
            // Versions that were accepted at least `APPLY_MS` ago must be in force.
            let due = version_at(ms - APPLY_MS);
            if known < due {
                let since = (known + 1) * CHANGE_INTERVAL_MS + APPLY_MS;
                worst = worst.max(ms.saturating_sub(since.max(reachable_from + REACHABLE_MS)) + 1);
            }
        }
        if ms < free_at {
            continue;
        }
        let now = Time::from_millis(ms);
        let read = plan.next(now);
        let latest = version_at(ms);
        let (bytes, limit) = match read {
            StoreRead::Snapshot => (LAYOUT_BYTES + OTHER_BYTES, STATE_LIMIT_MS),
            StoreRead::Changes => {
                (LAYOUT_BYTES * (latest - known), CHANGES_LIMIT_MS[usize::from(!is_lost)])
            }
        };
        let took = bytes / LINK_RATE + 4;
        let is_unreachable = (out_from..out_until).contains(&ms);
        if is_unreachable || took > limit {
            plan.record_failure();
            is_lost = true;
            free_at = ms + if is_unreachable { 4 } else { limit } + RETRY_MS;
            continue;
        }
        let then = Time::from_millis(ms + took);
        match read {
            StoreRead::Snapshot => plan.record_snapshot(then),
            StoreRead::Changes => plan.record_changes(then),
        }
        (known, is_lost, free_at) = (latest, false, ms + took + PAUSE_MS);
    }
    worst
}

/// Guards against an outdated configuration after an outage. A daemon that requests all missed
/// changes over a slow link never receives them before its timeout.
#[test]
fn missed_changes() {
    for (outage, burst) in [
        ((4_500, 12_500), (9_300, 15_500)),
        ((4_500, 12_500), (4_600, 12_000)),
        ((4_500, 9_000), (2_000, 12_000)),
        ((4_500, 6_500), (4_000, 20_000)),
    ] {
        assert_eq!(simulate(outage, burst), 0, "outage {outage:?}, changes {burst:?}");
    }
}

/// An interrupted call for changes is repeated. Only a longer gap makes the daemon read a snapshot.
#[test]
fn interrupted_call() {
    let (start, short, long) = (Time::ZERO, Duration::from_millis(300), Duration::from_secs(3));
    let mut plan = ReadPlan::new(start);
    assert_eq!(plan.next(start), StoreRead::Snapshot);
    plan.record_snapshot(start);
    assert_eq!(plan.next(start + long), StoreRead::Changes, "nothing failed");
    plan.record_failure();
    assert_eq!(plan.next(start + short), StoreRead::Changes);
    assert_eq!(plan.next(start + long), StoreRead::Snapshot);
    plan.record_changes(start + long);
    assert_eq!(plan.next(start + long), StoreRead::Changes);
    plan.discard_snapshot();
    plan.record_changes(start + long);
    assert_eq!(plan.next(start + long), StoreRead::Snapshot, "only a snapshot resumes the changes");
}
