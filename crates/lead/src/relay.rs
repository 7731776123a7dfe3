//! Changes of the store, which the leader reads once and relays to all daemons.

use std::collections::VecDeque;
use std::time::Duration;

use base::{Revision, Time};
use fleet::{ChangeBatch, StoreChange, TargetHoldings};

/// Size of the change log. A daemon that is further behind reads the store itself.
const MAX_LOG_BYTES: usize = 64 << 10;
/// Largest value that is relayed. Daemons read larger ones from the store, because the leader's
/// link may be slow.
const MAX_VALUE_BYTES: usize = 4 << 10;

/// Oldest state of the store that the leader relays. A leader with an older one has probably lost
/// the store. Daemons that can reach it should then read it themselves, before much has changed and
/// not all at once.
const MAX_RELAY_AGE: Duration = Duration::from_millis(1_200);

/// Time without a reply from the store, after a failed call, from which the changes may cost more
/// than a snapshot. Interrupted calls are repeated sooner than that.
const MAX_GAP: Duration = Duration::from_millis(1_500);

/// The latest changes of the store, kept by the leader.
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
///     is_omitted: false,
/// };
/// let mut log = ChangeLog::default();
/// log.append(Time::ZERO, Revision(5), vec![change], Revision(8));
/// let batch = log.since(Time::from_millis(30), Revision(6)).unwrap();
/// assert_eq!((batch.changes.len(), batch.until, batch.age_ms), (1, Revision(8), 30));
/// assert_eq!(log.since(Time::from_millis(30), Revision(4)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    after: Revision,
    until: Revision,
    /// When the latest answered watch was sent.
    asked_at: Option<Time>,
    changes: VecDeque<StoreChange>,
    bytes: usize,
}

impl ChangeLog {
    /// Appends the result of a watch from the revision `after` that was sent at `asked_at`.
    ///
    /// A change with holdings also carries the whole value, for daemons that lack the previous one.
    pub fn append(
        &mut self,
        asked_at: Time,
        after: Revision,
        changes: Vec<StoreChange>,
        until: Revision,
    ) {
        if self.asked_at.is_none() || self.until != after {
            self.reset(after);
        }
        for change in changes {
            let is_omitted =
                change.value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_BYTES);
            self.push(match is_omitted {
                true => StoreChange { value: None, holdings: None, is_omitted, ..change },
                false => change,
            });
        }
        self.until = self.until.max(until);
        self.asked_at = Some(asked_at);
    }

    /// Returns the changes since a revision; `None` if the log lacks some of them or is too old.
    pub fn since(&self, now: Time, known: Revision) -> Option<ChangeBatch> {
        let age = now.since(self.asked_at?);
        // A daemon that knows a later era of the store is ahead of this log.
        let is_restored = known.era() > self.until.era();
        if known < self.after || is_restored || age > MAX_RELAY_AGE {
            return None;
        }
        let newer = self.changes.iter().filter(|change| change.revision > known);
        let newer = newer.map(|change| match &change.holdings {
            // Only the holdings have changed since the value that the daemon has.
            Some(_) => StoreChange { value: None, ..change.clone() },
            // Early builds ignore `is_omitted`. They take a change with neither value nor holdings for a
            // deletion, but read a snapshot after holdings of a key that is no target.
            None if change.is_omitted => {
                StoreChange { holdings: Some(TargetHoldings::default()), ..change.clone() }
            }
            None => change.clone(),
        });
        Some(ChangeBatch {
            after: known,
            until: self.until.max(known),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            changes: newer.collect(),
        })
    }

    fn reset(&mut self, after: Revision) {
        (self.after, self.until) = (after, after);
        self.changes.clear();
        self.bytes = 0;
    }

    /// Adds a change in place of the earlier ones of its key. A deletion leaves the last value before
    /// it, by which a target that has announced its departure differs from one that is missing.
    fn push(&mut self, mut change: StoreChange) {
        let leaves_value = is_deletion(&change);
        let bytes = &mut self.bytes;
        self.changes.retain(|other| {
            let is_kept = other.key != change.key || leaves_value && !is_deletion(other);
            if !is_kept {
                *bytes -= size(other);
                if other.holdings.is_none() {
                    change.holdings = None;
                }
            }
            is_kept
        });
        self.bytes += size(&change);
        self.changes.push_back(change);
        while self.bytes > MAX_LOG_BYTES {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.bytes -= size(&oldest);
            self.after = oldest.revision;
        }
    }
}

fn is_deletion(change: &StoreChange) -> bool {
    change.value.is_none() && change.holdings.is_none() && !change.is_omitted
}

fn size(change: &StoreChange) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, Vec::len)
}

/// How long a daemon can rely on the changes that the leader relays.
#[derive(Clone, Copy, Debug)]
pub struct RelayView {
    max_age: Duration,
    fresh_until: Time,
}

impl RelayView {
    /// Creates the view of a daemon that may use a state of the store of at most this age.
    pub fn new(max_age: Duration) -> RelayView {
        RelayView { max_age, fresh_until: Time::ZERO }
    }

    /// Processes the changes in the leader's reply to a report that was sent at `asked_at`.
    pub fn apply_reply(&mut self, asked_at: Time, batch: Option<&ChangeBatch>) {
        let remaining =
            batch.map(|batch| self.max_age.saturating_sub(Duration::from_millis(batch.age_ms)));
        self.fresh_until = remaining.map_or(Time::ZERO, |remaining| asked_at + remaining);
    }

    /// Limits the validity to one `lease` after `heard_at`, when the last report that the leader
    /// replied to was sent. The leader's term may end then, and the daemon must look for the next
    /// leader.
    pub fn limit_to_lease(&mut self, heard_at: Time, lease: Duration) {
        self.fresh_until = self.fresh_until.min(heard_at + lease);
    }

    /// Returns until when the daemon need not read the store itself, if that is later than `now`.
    pub fn fresh_until(&self, now: Time) -> Option<Time> {
        (self.fresh_until > now).then_some(self.fresh_until)
    }
}

/// Whether a daemon's list of targets is recent enough for sending requests to them.
///
/// A list that the leader relayed or that the daemon has read itself is valid for a limited time,
/// so that a process that was paused sends nothing before it has read again. A daemon that can't
/// reach the store continues with the list that it has.
///
/// # Example
///
/// ```
/// use base::Time;
/// use mango_lead::ListValidity;
///
/// let mut validity = ListValidity::default();
/// validity.set_relayed_until(Time::from_millis(3_900));
/// assert!(validity.is_current(Time::from_millis(3_899)));
/// assert!(!validity.is_current(Time::from_millis(3_900)));
/// validity.set_read_until(Time::from_millis(8_000));
/// assert!(validity.is_current(Time::from_millis(3_950)));
/// validity.clear_limit();
/// assert!(validity.is_current(Time::from_millis(60_000)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ListValidity {
    until: Option<Time>,
}

impl ListValidity {
    /// Records a list from the leader. Targets that began to leave unnoticed still take requests
    /// until `until`.
    pub fn set_relayed_until(&mut self, until: Time) {
        self.until = Some(until);
    }

    /// Records that the daemon has read the store itself. By `until`, its next watch will have been
    /// answered or will have failed.
    pub fn set_read_until(&mut self, until: Time) {
        self.until = Some(until);
    }

    /// Makes the list valid without limit, because the store can't be reached.
    pub fn clear_limit(&mut self) {
        self.until = None;
    }

    /// Returns whether requests may be sent to the targets of the list.
    pub fn is_current(&self, now: Time) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}

/// What a daemon reads from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRead {
    /// A snapshot of everything.
    Snapshot,
    /// The changes since the last reply.
    Changes,
}

/// Decides whether a daemon reads a snapshot of the store or the changes.
///
/// The cost of changes grows with the number that was missed: a configuration that was replaced
/// sixty times is sent sixty times. After a gap a snapshot costs less, and its cost doesn't grow
/// with the gap.
#[derive(Clone, Copy, Debug)]
pub struct ReadPlan {
    has_snapshot: bool,
    is_lost: bool,
    heard_at: Time,
}

impl ReadPlan {
    /// Creates the plan of a daemon that has read nothing yet.
    pub fn new(now: Time) -> ReadPlan {
        ReadPlan { has_snapshot: false, is_lost: false, heard_at: now }
    }

    /// Returns what to read next.
    pub fn next(&self, now: Time) -> StoreRead {
        let has_gap = self.is_lost && now.since(self.heard_at) > MAX_GAP;
        if self.has_snapshot && !has_gap {
            StoreRead::Changes
        } else {
            StoreRead::Snapshot
        }
    }

    /// Returns whether a snapshot was read to which changes can be applied.
    pub fn has_snapshot(&self) -> bool {
        self.has_snapshot
    }

    /// Records that a snapshot has arrived.
    pub fn record_snapshot(&mut self, now: Time) {
        *self = ReadPlan { has_snapshot: true, is_lost: false, heard_at: now };
    }

    /// Records that changes have arrived, from the store or from the leader.
    pub fn record_changes(&mut self, now: Time) {
        self.is_lost = false;
        self.heard_at = now;
    }

    /// Records that a call failed.
    pub fn record_failure(&mut self) {
        self.is_lost = true;
    }

    /// Discards the snapshot, because changes can no longer be applied to it.
    pub fn discard_snapshot(&mut self) {
        self.has_snapshot = false;
    }
}
