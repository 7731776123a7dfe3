//! Values of the layout that count as read, come into force and are passed on, by sender and version.

use fleet::LayoutVersion;
use mango_lead::{LayoutSender, LayoutVerdict};

const IN_FORCE: LayoutVersion = LayoutVersion(7);

fn judge(sender: LayoutSender, found: Option<u64>) -> LayoutVerdict {
    LayoutVerdict::of(sender, Some(IN_FORCE), found.map(LayoutVersion))
}

/// Guards against a daemon's unreadable or older answer that counts as the newer value, which is then
/// not read until the next change, and is passed on to others.
#[test]
fn wrong_answers() {
    for found in [None, Some(0), Some(6)] {
        let verdict = judge(LayoutSender::Daemon, found);
        assert!(!verdict.is_read() && !verdict.is_relayed(), "{found:?}: {verdict:?}");
    }
}

/// Guards against a daemon without access to the store that asks again and again for what it has.
#[test]
fn layout_in_force() {
    for sender in [LayoutSender::Daemon, LayoutSender::Store] {
        let verdict = judge(sender, Some(IN_FORCE.0));
        assert_eq!(verdict, LayoutVerdict::Known);
        assert!(verdict.is_read() && verdict.is_relayed());
    }
}

/// Guards against reading a value of the store again and again that can't be read, and against passing
/// it on.
#[test]
fn unreadable_value() {
    let verdict = judge(LayoutSender::Store, None);
    assert_eq!(verdict, LayoutVerdict::Unreadable);
    assert!(verdict.is_read() && !verdict.is_relayed());
}

/// Guards against reading a value again and again that is older because the store was restored.
#[test]
fn restored_value() {
    let verdict = judge(LayoutSender::Store, Some(6));
    assert_eq!(verdict, LayoutVerdict::Known);
    assert!(verdict.is_read() && verdict.is_relayed());
}

/// Guards against a newer layout that doesn't come into force, whoever sends it, also as the first one.
#[test]
fn newer_layout() {
    for sender in [LayoutSender::Daemon, LayoutSender::Store] {
        assert_eq!(judge(sender, Some(8)), LayoutVerdict::Newer);
        let first = LayoutVerdict::of(sender, None, Some(LayoutVersion(0)));
        assert_eq!(first, LayoutVerdict::Newer);
    }
}
