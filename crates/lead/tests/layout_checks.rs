//! How late a layout can be when the leader and a daemon's calls fail, and what the checks cost.
//!
//! The daemon learns of a new layout from the leader's replies, from its own watch, which begins when
//! it no longer relies on the leader, or from a check.

use std::time::Duration;

use base::{Revision, Time};
use fleet::ChangeBatch;
use mango_lead::{LayoutFreshness, RelayView};

/// What goes wrong from `FAULT_MS` on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The leader replies to nothing.
    Silent,
    /// The leader replies, but its state of the store gets older.
    Lagging,
}

/// One daemon and its leader.
#[derive(Clone, Copy, Debug)]
struct Case {
    bound_ms: u64,
    /// Time between two reports to the leader.
    sync_ms: u64,
    fault: Fault,
    /// How long calls for changes stay without an answer after the fault.
    mute_ms: u64,
    /// How long a read of the layout takes.
    read_ms: u64,
}

/// A report without an answer fails after this.
const SYNC_TIMEOUT_MS: u64 = 350;
/// Time limit of the daemon's own watch, and the time of its snapshot.
const CALL_TIMEOUT_MS: u64 = 1_500;
const LEASE_MS: u64 = 2_000;
/// Age of the leader's state when it replies.
const LEADER_AGE_MS: u64 = 450;
const FAULT_MS: u64 = 10_000;
const END_MS: u64 = 20_000;

/// Simulates 20 s with a new layout at the worst moment. Returns how late it comes into force, and the
/// number of checks before the fault.
fn simulate(case: Case, has_checks: bool) -> (u64, u32) {
    let at = Time::from_millis;
    let change_ms = FAULT_MS - LEADER_AGE_MS;
    let mut freshness = LayoutFreshness::new(Duration::from_millis(case.bound_ms));
    let mut view = RelayView::new(Duration::from_millis(case.bound_ms - 500));
    let (mut sync_at, mut heard_ms, mut checks) = (0, 0, 0);
    // When the call in progress of the watch and of the check ends, and what it shows.
    let mut watch: Option<(u64, Option<u64>)> = None;
    let mut check: Option<(u64, u64)> = None;
    let mut failed_sync: Option<u64> = None;
    for ms in 0..END_MS {
        let is_faulty = ms >= FAULT_MS;
        let confirm = |freshness: &mut LayoutFreshness, shown_ms: u64| -> bool {
            freshness.confirm(at(shown_ms));
            shown_ms >= change_ms
        };
        let mut is_known = false;
        if failed_sync.take_if(|end| ms >= *end).is_some() {
            if view.fresh_until(at(ms)).is_some() {
                freshness.record_silence();
            }
            view.limit_to_lease(at(heard_ms), Duration::from_millis(LEASE_MS));
            sync_at = ms + case.sync_ms;
        }
        if ms >= sync_at && failed_sync.is_none() {
            if is_faulty && case.fault == Fault::Silent {
                failed_sync = Some(ms + SYNC_TIMEOUT_MS);
            } else {
                let lag =
                    if case.fault == Fault::Lagging { ms.saturating_sub(FAULT_MS) } else { 0 };
                let age_ms = LEADER_AGE_MS + lag;
                let batch = (age_ms <= 1_200).then(|| ChangeBatch {
                    after: base::Revision(0),
                    until: base::Revision(0),
                    age_ms,
                    changes: Vec::new(),
                });
                view.apply_reply(at(ms), batch.as_ref());
                if batch.is_some() {
                    is_known |= confirm(&mut freshness, ms.saturating_sub(age_ms));
                }
                (heard_ms, sync_at) = (ms, ms + case.sync_ms);
            }
        }
        let is_mute = is_faulty && ms < FAULT_MS + case.mute_ms;
        if view.fresh_until(at(ms)).is_none() && watch.is_none() {
            watch = Some(match is_mute {
                true => (ms + CALL_TIMEOUT_MS, None),
                false => (ms + case.read_ms, Some(ms)),
            });
        }
        if let Some((_, Some(shown_ms))) = watch.take_if(|(end, _)| ms >= *end) {
            is_known |= confirm(&mut freshness, shown_ms);
        }
        let is_due = freshness.next_check().is_some_and(|due| at(ms) >= due);
        if has_checks && is_due && check.is_none() {
            checks += u32::from(!is_faulty);
            let wait = if is_mute { freshness.change_timeout().as_millis() as u64 } else { 0 };
            check = Some((ms + wait + case.read_ms, ms + wait));
        }
        if let Some((_, shown_ms)) = check.take_if(|(end, _)| ms >= *end) {
            is_known |= confirm(&mut freshness, shown_ms);
        }
        if is_known && ms >= change_ms {
            return (ms - change_ms, checks);
        }
    }
    (END_MS - change_ms, checks)
}

/// Guards against a layout that is late because the leader fails and, beside it, the daemon's own calls
/// get no answer or take long.
#[test]
fn second_failure() {
    for (bound_ms, sync_ms) in
        [(2_000, 200), (2_000, 700), (3_000, 200), (3_000, 700), (4_000, 590), (4_000, 700)]
    {
        for fault in [Fault::Silent, Fault::Lagging] {
            for (mute_ms, read_ms) in [(0, 20), (0, 400), (5_000, 20), (5_000, 200)] {
                let case = Case { bound_ms, sync_ms, fault, mute_ms, read_ms };
                let (late_ms, _) = simulate(case, true);
                assert!(late_ms <= bound_ms, "{late_ms} ms: {case:?}");
            }
        }
    }
    let both =
        Case { bound_ms: 3_000, sync_ms: 200, fault: Fault::Silent, mute_ms: 5_000, read_ms: 20 };
    let (late_ms, _) = simulate(both, false);
    assert!(late_ms > 3_000, "without checks: {late_ms} ms");
}

/// Checks cost nothing while the leader answers daemons that have requests.
#[test]
fn calm_fleet() {
    for (bound_ms, sync_ms) in [(2_000, 200), (3_000, 200), (3_000, 700), (4_000, 590)] {
        let case = Case { bound_ms, sync_ms, fault: Fault::None, mute_ms: 0, read_ms: 20 };
        assert_eq!(simulate(case, true).1, 0, "{case:?}");
    }
}

/// A failed check is repeated after a pause, so that an unreachable store isn't called all the time.
#[test]
fn failed_checks() {
    let at = Time::from_millis;
    let mut freshness = LayoutFreshness::new(Duration::from_secs(3));
    freshness.confirm(at(1_000));
    let mut calls = 0;
    for ms in 1_000..7_000 {
        if freshness.next_check().is_some_and(|due| at(ms) >= due) {
            calls += 1;
            freshness.end_check(at(ms), true);
        }
    }
    assert!((5..=8).contains(&calls), "{calls}");
    // Guards against checks in a tight loop while each of them meets another change.
    calls = 0;
    for ms in 8_000..11_000 {
        if freshness.next_check().is_some_and(|due| at(ms) >= due) {
            calls += 1;
            freshness.end_check(at(ms), false);
        }
    }
    assert!(calls <= 17, "{calls}");
    freshness.confirm(at(500));
    assert_eq!(freshness.age(at(7_000)), Some(Duration::from_secs(6)), "an older confirmation");
}

/// Guards against a layout that counts as the latest one although changes were passed over: those that a
/// daemon left out because other daemons get them at less cost.
#[test]
fn passed_over_changes() {
    let at = Time::from_millis;
    let mut freshness = LayoutFreshness::new(Duration::from_secs(4));
    freshness.cover(Revision(10));
    freshness.confirm(at(1_000));
    // Changes from 10 to 30 are known, those to 50 without the layout's, and those to 60 again with it.
    assert!(freshness.extend(Revision(10), Revision(30)));
    assert!(!freshness.extend(Revision(50), Revision(60)));
    assert_eq!(freshness.covered(), Revision(30));
    assert_eq!(freshness.next_check(), Some(at(3_000)), "still due");
    // A check finds those after 30.
    freshness.cover(Revision(60));
    assert!(freshness.extend(Revision(60), Revision(70)));
    assert!(freshness.extend(Revision(40), Revision(65)), "what is known already");
    assert_eq!(freshness.covered(), Revision(70));
    // A restored store begins a later era with lower numbers.
    let restored = Revision::in_era(base::StoreEra(1), 20);
    assert!(!freshness.extend(restored, restored));
    freshness.cover(restored);
    assert_eq!(freshness.covered(), restored);
}

/// Guards against daemons that take another's layout for the latest one although that daemon hasn't checked
/// it in time either.
#[test]
fn stale_readers() {
    let at = Time::from_millis;
    let mut freshness = LayoutFreshness::new(Duration::from_secs(4));
    freshness.confirm(at(0));
    for (is_silent, limit_ms) in [(false, 2_000), (true, 1_000)] {
        if is_silent {
            freshness.record_silence();
        }
        let now = at(10_000);
        assert!(freshness.is_recent(now, at(10_001 - limit_ms)), "{limit_ms}");
        assert!(!freshness.is_recent(now, at(10_000 - limit_ms)), "{limit_ms}");
    }
    // Relying on readers that don't answer leaves half of the bound for the daemon's own check.
    let waited = freshness.reader_patience() + freshness.reader_pause();
    assert!(at(1_000) + waited <= at(2_500));
}
