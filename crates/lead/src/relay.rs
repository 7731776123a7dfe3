//! Changes of the store, which the leader reads once and passes on to all daemons.

use std::collections::VecDeque;
use std::time::Duration;

use base::{Revision, Time};
use fleet::{ChangeBatch, StoreChange};

/// A daemon that is further behind reads the store itself.
const MAX_LOG_BYTES: usize = 64 << 10;
/// A larger value is read from the store by each daemon: the leader's link may be slow.
const MAX_VALUE_BYTES: usize = 4 << 10;

/// The latest changes of the store, at the leader.
///
/// # Example
///
/// ```
/// use base::{Revision, Time};
/// use fleet::StoreChange;
/// use mango_lead::ChangeLog;
///
/// let change = StoreChange {
///     key: "hosts/1".to_owned(),
///     revision: Revision(7),
///     value: Some(vec![1]),
///     holdings: None,
/// };
/// let mut log = ChangeLog::default();
/// log.watched(Time::ZERO, Revision(5), vec![change], Revision(8));
/// let batch = log.since(Time::from_millis(30), Revision(6)).unwrap();
/// assert_eq!((batch.changes.len(), batch.until, batch.age_ms), (1, Revision(8), 30));
/// assert_eq!(log.since(Time::from_millis(30), Revision(4)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    after: Revision,
    until: Revision,
    /// When the store was asked for what is known.
    asked_at: Option<Time>,
    changes: VecDeque<StoreChange>,
    bytes: usize,
}

impl ChangeLog {
    /// Takes the answer to a watch from the revision `after` that was sent at `asked_at`.
    ///
    /// A change with holdings has its whole value too, for daemons that lack the one before.
    pub fn watched(
        &mut self,
        asked_at: Time,
        after: Revision,
        changes: Vec<StoreChange>,
        until: Revision,
    ) {
        if self.asked_at.is_none() || self.until != after {
            self.restart(after);
        }
        for change in changes {
            if change.value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_BYTES) {
                self.restart(change.revision);
                continue;
            }
            self.push(change);
        }
        self.until = self.until.max(until);
        self.asked_at = Some(asked_at);
    }

    /// Returns the changes since a revision; `None` when they are not all known.
    pub fn since(&self, now: Time, known: Revision) -> Option<ChangeBatch> {
        let age = now.since(self.asked_at?);
        if known < self.after {
            return None;
        }
        let newer = self.changes.iter().filter(|change| change.revision > known);
        let newer = newer.map(|change| match &change.holdings {
            // Nothing but these has changed since what the daemon knows.
            Some(_) => StoreChange { value: None, ..change.clone() },
            None => change.clone(),
        });
        Some(ChangeBatch {
            after: known,
            until: self.until.max(known),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            changes: newer.collect(),
        })
    }

    fn restart(&mut self, after: Revision) {
        (self.after, self.until) = (after, after);
        self.changes.clear();
        self.bytes = 0;
    }

    fn push(&mut self, mut change: StoreChange) {
        if let Some(at) = self.changes.iter().position(|other| other.key == change.key) {
            if let Some(old) = self.changes.remove(at) {
                self.bytes -= size(&old);
                if old.holdings.is_none() {
                    change.holdings = None;
                }
            }
        }
        self.bytes += size(&change);
        self.changes.push_back(change);
        while self.bytes > MAX_LOG_BYTES {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.bytes -= size(&oldest);
            self.after = oldest.revision;
        }
    }
}

fn size(change: &StoreChange) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, Vec::len)
}

/// Whether a daemon can rely on what the leader passes on.
#[derive(Clone, Copy, Debug)]
pub struct RelayView {
    life: Duration,
    fresh_until: Time,
}

impl RelayView {
    /// Creates the view of a daemon that may know the store as it was so long ago.
    pub fn new(life: Duration) -> RelayView {
        RelayView { life, fresh_until: Time::ZERO }
    }

    /// Takes the leader's answer to a report that was sent at `asked_at`, or its silence.
    pub fn replied(&mut self, asked_at: Time, batch: Option<&ChangeBatch>) {
        let life = batch.map(|batch| self.life.saturating_sub(Duration::from_millis(batch.age_ms)));
        self.fresh_until = life.map_or(Time::ZERO, |life| asked_at + life);
    }

    /// Returns until when the daemon need not read the store, if that is later than `now`.
    pub fn fresh_until(&self, now: Time) -> Option<Time> {
        (self.fresh_until > now).then_some(self.fresh_until)
    }
}
