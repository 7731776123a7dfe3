//! The relay of changes across the return of a store from an older copy.

use base::{Revision, StoreEra, Time};
use fleet::StoreChange;
use mango_lead::ChangeLog;

fn in_era(era: u64, number: u64) -> Revision {
    Revision::in_era(StoreEra(era), number)
}

fn change(revision: Revision) -> StoreChange {
    StoreChange {
        key: format!("servers/{revision}"),
        revision,
        value: Some(vec![1]),
        holdings: None,
        is_omitted: false,
    }
}

/// Guards against a daemon that misses the changes of a new era, because their numbers are lower than
/// those it has read.
#[test]
fn relayed_eras() {
    // The daemon's position; whether the leader's log covers it; the changes that it gets.
    let cases = [
        (in_era(1, 100), false, 0),
        (in_era(1, 117), false, 0),
        (in_era(1, 5_000), false, 0),
        (in_era(2, 87), false, 0),
        (in_era(2, 88), true, 2),
        (in_era(2, 90), true, 1),
        (in_era(2, 95), true, 0),
        (in_era(3, 10), false, 0),
    ];
    let mut log = ChangeLog::default();
    let now = Time::from_millis(100);
    log.append(now, in_era(1, 100), vec![change(in_era(1, 110))], in_era(1, 117));
    log.append(
        now,
        in_era(2, 88),
        vec![change(in_era(2, 90)), change(in_era(2, 92))],
        in_era(2, 95),
    );
    for (known, is_covered, count) in cases {
        let batch = log.since(now, known);
        assert_eq!(batch.is_some(), is_covered, "{known}");
        let changes = batch.and_then(|batch| batch.since(known)).unwrap_or_default();
        assert_eq!(changes.len(), count, "{known}");
    }
}

/// Guards against a late batch of an earlier era that is applied after the return.
#[test]
fn late_batch() {
    let mut log = ChangeLog::default();
    let now = Time::from_millis(100);
    log.append(now, in_era(1, 100), vec![change(in_era(1, 110))], in_era(1, 117));
    let batch = log.since(now, in_era(1, 100)).unwrap();
    assert_eq!(batch.clone().since(in_era(1, 100)).map(|changes| changes.len()), Some(1));
    assert_eq!(batch.since(in_era(2, 3)).map(|changes| changes.len()), Some(0));
}

/// Guards against fencing tokens that go back: a leader's claim in a new era outranks all earlier ones,
/// with eras that jump, and without eras nothing changes.
#[test]
fn era_order() {
    assert!(in_era(2, 1) > in_era(1, 999_999_999));
    assert!(in_era(7, 1) > in_era(2, 5));
    assert_eq!(in_era(0, 41), Revision(41));
    assert_eq!(in_era(5, 0), Revision(0));
    // Exact in a JSON number that is read as a floating-point one.
    let fence = in_era(8_000, 123_456).0;
    assert_eq!(fence as f64 as u64, fence);
}
