//! The order in which a daemon reads values that the leader left out.

use std::time::Duration;

use base::{Revision, Time};
use mango_lead::{UnreadValues, ValueClass};

const PAUSE: Duration = Duration::from_millis(600);
/// Time of one read.
const READ_MS: u64 = 20;

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

/// Reads for a second while the given keys change every 100 ms. Returns the keys in the order in
/// which they were read.
fn play(changing: &[(ValueClass, &str)], late: (ValueClass, &str)) -> Vec<(u64, String)> {
    let mut unread = UnreadValues::new(PAUSE);
    let mut reads = Vec::new();
    let mut revision = 0;
    let mut note = |unread: &mut UnreadValues, ms: u64, (class, key): (ValueClass, &str)| {
        revision += 1;
        unread.note(at(ms), class, key, Revision(revision));
    };
    for ms in (0..1_000).step_by(READ_MS as usize) {
        if ms % 100 == 0 {
            changing.iter().for_each(|value| note(&mut unread, ms, *value));
        }
        if ms == 200 {
            note(&mut unread, ms, late);
        }
        if let Some(read) = unread.begin_read(at(ms)) {
            unread.finish_read(at(ms), &read, Some(read.revision));
            reads.push((ms, read.key));
        }
    }
    reads
}

/// Guards against a layout, or a target's entry, that waits while other values change all the time.
#[test]
fn urgent_values() {
    let hosts = ["host-1", "host-2", "host-3", "host-4", "host-5"];
    let evidence: Vec<_> = hosts.iter().map(|host| (ValueClass::Evidence, *host)).collect();
    let cases = [
        (&evidence[..], (ValueClass::Layout, "layout")),
        (&evidence[..], (ValueClass::Target, "engine")),
        (&[(ValueClass::Target, "engine")][..], (ValueClass::Layout, "layout")),
        (&[(ValueClass::Layout, "layout")][..], (ValueClass::Evidence, "host-9")),
    ];
    for (changing, late) in cases {
        let reads = play(changing, late);
        let read_at = reads.iter().find(|(_, key)| key == late.1).map(|(ms, _)| *ms);
        assert!(read_at.is_some_and(|ms| ms <= 200 + READ_MS), "{late:?}: {reads:?}");
    }
}

/// Guards against a value that is never read because others of its class change all the time.
#[test]
fn same_class() {
    let mut unread = UnreadValues::new(PAUSE);
    let hosts = ["host-1", "host-2", "host-3"];
    let mut counts = [0; 3];
    for round in 0..30 {
        let now = at(round * 600);
        for (number, host) in hosts.iter().enumerate() {
            let revision = Revision(round * 10 + number as u64 + 1);
            unread.note(now, ValueClass::Evidence, host, revision);
        }
        let read = unread.begin_read(now).unwrap();
        counts[hosts.iter().position(|host| *host == read.key).unwrap()] += 1;
        unread.finish_read(now, &read, Some(read.revision));
    }
    assert_eq!(counts, [10, 10, 10]);
}

/// Guards against a change that is taken for read because it came while an earlier one was read.
#[test]
fn change_during_read() {
    let mut unread = UnreadValues::new(PAUSE);
    unread.note(at(0), ValueClass::Layout, "layout", Revision(5));
    let read = unread.begin_read(at(0)).unwrap();
    unread.note(at(10), ValueClass::Layout, "layout", Revision(6));
    unread.finish_read(at(20), &read, Some(Revision(5)));
    let next_at = unread.next_at().unwrap();
    assert!(next_at <= at(0) + PAUSE / 3, "{next_at:?}");
    assert_eq!(unread.begin_read(next_at).unwrap().revision, Revision(6));
    // A read that returns a later revision, or a change that carries its value, is enough.
    unread.resolve("layout", Revision(7));
    assert_eq!((unread.next_at(), unread.count()), (None, 0));
}

/// A slow read of a less urgent value is interrupted, and repeated later.
#[test]
fn overtaken_read() {
    let mut unread = UnreadValues::new(PAUSE);
    unread.note(at(0), ValueClass::Evidence, "host-1", Revision(5));
    let read = unread.begin_read(at(0)).unwrap();
    assert!(!unread.is_overtaken(at(10), &read));
    unread.note(at(20), ValueClass::Layout, "layout", Revision(6));
    assert!(unread.is_overtaken(at(20), &read));
    let layout = unread.begin_read(at(20)).unwrap();
    assert_eq!(layout.key, "layout");
    unread.finish_read(at(40), &layout, Some(Revision(6)));
    assert_eq!(unread.next_at(), Some(at(0) + PAUSE));
}

/// A read that failed is repeated after a pause, and doesn't delay another class.
#[test]
fn failed_read() {
    let mut unread = UnreadValues::new(PAUSE);
    unread.note(at(0), ValueClass::Layout, "layout", Revision(5));
    assert_eq!(unread.unread_since(ValueClass::Layout), Some(at(0)));
    let read = unread.begin_read(at(0)).unwrap();
    unread.fail_read(at(500), &read);
    assert_eq!(unread.next_at(), Some(at(650)));
    unread.note(at(510), ValueClass::Evidence, "host-1", Revision(6));
    assert_eq!(unread.begin_read(at(510)).unwrap().key, "host-1");
    assert_eq!(unread.begin_read(at(650)).unwrap().noted_at, at(0));
}
