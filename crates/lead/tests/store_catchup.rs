//! Daemons that were without the store, and how old the configuration is that they serve by.
//!
//! Pattern: the store turns a third of the daemons away for eight seconds, while the configuration
//! is replaced more than sixty times; the leader is lost as the store returns, so that nothing is
//! passed on. The daemons' links are slow.

use std::time::Duration;

use base::Time;
use mango_lead::{ReadPlan, StoreRead};

/// A configuration as the store sends it, and all else that a daemon reads, in bytes.
const LAYOUT_BYTES: u64 = 107_000;
const OTHER_BYTES: u64 = 200_000;
/// 10 Mbit/s, in bytes a millisecond.
const LINK_RATE: u64 = 1_250;
/// Longest times of a call for changes while the store is lost and while it is not, and of one for
/// the state; pauses as the daemon makes them.
const CHANGES_LIMIT_MS: [u64; 2] = [1_100, 2_400];
const STATE_LIMIT_MS: u64 = 1_500;
const RETRY_MS: u64 = 600;
const PAUSE_MS: u64 = 600;
/// The users' bounds: a configuration is in force so long after its acceptance, at a daemon that has
/// been in touch for so long.
const APPLY_MS: u64 = 3_000;
const TOUCH_MS: u64 = 4_000;

/// Plays 30 s with an outage and a storm of changes. Returns by how much the configuration of the
/// daemon was outdated at most, as far as it was bound to know a newer one, in milliseconds.
fn play((out_from, out_until): (u64, u64), (storm_from, storm_until): (u64, u64)) -> u64 {
    const STORM_PAUSE_MS: u64 = 100;
    let version_at = |ms: u64| ms.clamp(storm_from, storm_until) / STORM_PAUSE_MS;
    let mut plan = ReadPlan::new(Time::ZERO);
    plan.listed(Time::ZERO);
    let (mut known, mut is_lost, mut free_at, mut worst) = (version_at(0), false, 0, 0);
    for ms in 0..30_000 {
        let touch_from = if ms >= out_until { out_until } else { 0 };
        if ms >= touch_from + TOUCH_MS && !(out_from..out_until).contains(&ms) {
            // What had been accepted long enough ago must be in force.
            let due = version_at(ms - APPLY_MS);
            if known < due {
                let since = (known + 1) * STORM_PAUSE_MS + APPLY_MS;
                worst = worst.max(ms.saturating_sub(since.max(touch_from + TOUCH_MS)) + 1);
            }
        }
        if ms < free_at {
            continue;
        }
        let now = Time::from_millis(ms);
        let read = plan.next(now);
        let latest = version_at(ms);
        let (bytes, limit) = match read {
            StoreRead::State => (LAYOUT_BYTES + OTHER_BYTES, STATE_LIMIT_MS),
            StoreRead::Changes => {
                (LAYOUT_BYTES * (latest - known), CHANGES_LIMIT_MS[usize::from(!is_lost)])
            }
        };
        let took = bytes / LINK_RATE + 4;
        let away = (out_from..out_until).contains(&ms);
        if away || took > limit {
            plan.lost();
            is_lost = true;
            free_at = ms + if away { 4 } else { limit } + RETRY_MS;
            continue;
        }
        let then = Time::from_millis(ms + took);
        match read {
            StoreRead::State => plan.listed(then),
            StoreRead::Changes => plan.heard(then),
        }
        (known, is_lost, free_at) = (latest, false, ms + took + PAUSE_MS);
    }
    worst
}

/// Guards against a configuration that is late after an outage: a daemon that asks for all that it
/// missed, over a slow link, never gets it within its time.
#[test]
fn missed_storm() {
    for (outage, storm) in [
        ((4_500, 12_500), (9_300, 15_500)),
        ((4_500, 12_500), (4_600, 12_000)),
        ((4_500, 9_000), (2_000, 12_000)),
        ((4_500, 6_500), (4_000, 20_000)),
    ] {
        assert_eq!(play(outage, storm), 0, "outage {outage:?}, changes {storm:?}");
    }
}

/// A call that was cut short is made again; only a longer gap makes the state worth reading.
#[test]
fn cut_call() {
    let (start, short, long) = (Time::ZERO, Duration::from_millis(300), Duration::from_secs(3));
    let mut plan = ReadPlan::new(start);
    assert_eq!(plan.next(start), StoreRead::State);
    plan.listed(start);
    assert_eq!(plan.next(start + long), StoreRead::Changes, "nothing failed");
    plan.lost();
    assert_eq!(plan.next(start + short), StoreRead::Changes);
    assert_eq!(plan.next(start + long), StoreRead::State);
    plan.heard(start + long);
    assert_eq!(plan.next(start + long), StoreRead::Changes);
    plan.forget();
    plan.heard(start + long);
    assert_eq!(plan.next(start + long), StoreRead::State, "only the state ends that");
}
