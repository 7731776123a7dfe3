//! Targets that a restored store still lists.

use std::time::Duration;

use base::{TargetName, Time};
use fleet::{TargetEntry, TargetPhase};
use mango_front::TargetTable;

fn entry(beat: u64, born_ms: u64) -> TargetEntry {
    TargetEntry {
        name: "t-1".parse().unwrap(),
        service: "plain".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "east".parse().unwrap(),
        slots: 4,
        phase: TargetPhase::Ready,
        born_ms,
        beat,
        models: Vec::new(),
        copies: None,
        cold: Default::default(),
        version: Some(Default::default()),
    }
}

/// Guards against a target that had left and is used again, because an older copy of the store lists it,
/// and against one that is alive and isn't taken back.
#[test]
fn removed_targets() {
    // The entry that is listed after the removal, how long after it, and whether it is taken.
    let cases = [
        (entry(4, 1), 1, false),
        (entry(7, 1), 1, false),
        (entry(8, 1), 1, true),
        (entry(1, 2), 1, true),
        (entry(4, 1), 61, true),
    ];
    let name: TargetName = "t-1".parse().unwrap();
    for (listed, seconds, is_taken) in cases {
        for is_snapshot in [false, true] {
            let mut targets = TargetTable::default();
            let removed_at = Time::from_millis(500);
            targets.apply_entry(Time::ZERO, entry(7, 1));
            targets.remove_target(removed_at, &name);
            let now = removed_at + Duration::from_secs(seconds);
            match is_snapshot {
                true => targets.replace_entries(now, vec![listed.clone()], None),
                false => {
                    targets.apply_entry(now, listed.clone());
                }
            }
            assert_eq!(targets.entry(&name).is_some(), is_taken, "{listed:?} after {seconds} s");
        }
    }
}

/// Guards against a target that is never taken back after its entry could not be read.
#[test]
fn unreadable_entry() {
    let name: TargetName = "t-1".parse().unwrap();
    let mut targets = TargetTable::default();
    targets.apply_entry(Time::ZERO, entry(7, 1));
    targets.forget_target(&name);
    targets.apply_entry(Time::from_millis(10), entry(7, 1));
    assert!(targets.entry(&name).is_some());
}
