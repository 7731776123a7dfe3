//! What a daemon may conclude from a value of the layout.

use fleet::LayoutVersion;

/// Who sent a value of the layout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LayoutSender {
    /// The store, whose value at a revision is always the same.
    Store,
    /// Another daemon, which may run other software or have lost track of the store.
    Daemon,
}

/// What a daemon may conclude from a value of the layout at a revision.
///
/// A value that counts as read is not asked for again, and changes up to its revision are not
/// applied again. So an answer of another daemon counts only if it can't be older than the layout in
/// force: otherwise it would hide the true value until the next change.
///
/// # Example
///
/// ```
/// use fleet::LayoutVersion;
/// use mango_lead::{LayoutSender, LayoutVerdict};
///
/// let (in_force, newer) = (Some(LayoutVersion(7)), Some(LayoutVersion(9)));
/// let verdict = LayoutVerdict::of(LayoutSender::Daemon, in_force, newer);
/// assert_eq!(verdict, LayoutVerdict::Newer);
/// let unreadable = LayoutVerdict::of(LayoutSender::Daemon, in_force, None);
/// assert!(!unreadable.is_read());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LayoutVerdict {
    /// It comes into force.
    Newer,
    /// It is the layout in force, or an earlier one that the store has now.
    Known,
    /// The store has a value that can't be read. Reading it again would not help.
    Unreadable,
    /// It proves nothing, so the value at this revision is still to be read.
    Rejected,
}

impl LayoutVerdict {
    /// Judges a value with the version `found`, `None` if it can't be read, where the layout with the
    /// version `in_force` is in force, `None` if none is.
    pub fn of(
        sender: LayoutSender,
        in_force: Option<LayoutVersion>,
        found: Option<LayoutVersion>,
    ) -> LayoutVerdict {
        match (sender, found) {
            (_, Some(_)) if found > in_force => LayoutVerdict::Newer,
            (LayoutSender::Daemon, Some(_)) if found == in_force => LayoutVerdict::Known,
            (LayoutSender::Daemon, _) => LayoutVerdict::Rejected,
            (LayoutSender::Store, Some(_)) => LayoutVerdict::Known,
            (LayoutSender::Store, None) => LayoutVerdict::Unreadable,
        }
    }

    /// Returns whether the value at this revision need not be read again.
    pub fn is_read(self) -> bool {
        self != LayoutVerdict::Rejected
    }

    /// Returns whether the value may be sent to other daemons that ask for one of this revision.
    pub fn is_relayed(self) -> bool {
        matches!(self, LayoutVerdict::Newer | LayoutVerdict::Known)
    }
}
