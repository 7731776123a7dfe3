//! Changes of the store, which the leader reads once and passes on to all daemons.

use std::collections::VecDeque;
use std::time::Duration;

use base::{Revision, Time};
use fleet::{ChangeBatch, StoreChange};

/// A daemon that is further behind reads the store itself.
const MAX_LOG_BYTES: usize = 64 << 10;
/// A larger value is read from the store by each daemon: the leader's link may be slow.
const MAX_VALUE_BYTES: usize = 4 << 10;

/// A leader that knows the store as it was longer ago has probably lost it: daemons that can read it
/// should do so before much has changed, and not all at the same moment.
const MAX_WORD_AGE: Duration = Duration::from_millis(1_200);

/// Time without an answer from the store after which changes may cost more than the state; a call
/// that was cut short is made again sooner.
const MAX_GAP: Duration = Duration::from_millis(1_500);

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
///     is_omitted: false,
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

    /// Returns the changes since a revision; `None` when they are not all known, or not lately.
    pub fn since(&self, now: Time, known: Revision) -> Option<ChangeBatch> {
        let age = now.since(self.asked_at?);
        if known < self.after || age > MAX_WORD_AGE {
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

    /// Takes the leader's answer to a report that was sent at `asked_at`.
    pub fn replied(&mut self, asked_at: Time, batch: Option<&ChangeBatch>) {
        let life = batch.map(|batch| self.life.saturating_sub(Duration::from_millis(batch.age_ms)));
        self.fresh_until = life.map_or(Time::ZERO, |life| asked_at + life);
    }

    /// Takes the leader's silence since an answer to a report that was sent at `heard_at`. When its
    /// term may have run out, which is `lease` long, the daemon must look for the next leader.
    pub fn silent(&mut self, heard_at: Time, lease: Duration) {
        self.fresh_until = self.fresh_until.min(heard_at + lease);
    }

    /// Returns until when the daemon need not read the store, if that is later than `now`.
    pub fn fresh_until(&self, now: Time) -> Option<Time> {
        (self.fresh_until > now).then_some(self.fresh_until)
    }
}

/// Whether a daemon's list of targets is recent enough for sending to them.
///
/// The leader's word stands for a time, and so does what the daemon has read itself: a process that was
/// held up sends nothing before it has read again. A daemon that can't reach the store goes on with the
/// list that it has.
///
/// # Example
///
/// ```
/// use base::Time;
/// use mango_lead::ListVouch;
///
/// let mut vouch = ListVouch::default();
/// vouch.relayed(Time::from_millis(3_900));
/// assert!(vouch.is_current(Time::from_millis(3_899)));
/// assert!(!vouch.is_current(Time::from_millis(3_900)));
/// vouch.own_read(Time::from_millis(8_000));
/// assert!(vouch.is_current(Time::from_millis(3_950)));
/// vouch.out_of_reach();
/// assert!(vouch.is_current(Time::from_millis(60_000)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ListVouch {
    until: Option<Time>,
}

impl ListVouch {
    /// Notes that the list is the leader's, and until when a target that began to leave unnoticed
    /// still takes requests.
    pub fn relayed(&mut self, until: Time) {
        self.until = Some(until);
    }

    /// Notes that the daemon has read the store itself, and by when its watch will have been answered
    /// again or have failed.
    pub fn own_read(&mut self, until: Time) {
        self.until = Some(until);
    }

    /// Notes that the store is out of reach.
    pub fn out_of_reach(&mut self) {
        self.until = None;
    }

    /// Returns whether requests may be sent by the list.
    pub fn is_current(&self, now: Time) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}

/// What a daemon asks the store for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRead {
    /// Everything as it is.
    State,
    /// What has changed since the last answer.
    Changes,
}

/// How a daemon reads the store.
///
/// Changes cost as much as was missed: a configuration that was replaced sixty times comes sixty
/// times. After a gap the state costs less, and is read in a time that doesn't grow with the gap.
#[derive(Clone, Copy, Debug)]
pub struct ReadPlan {
    is_listed: bool,
    is_lost: bool,
    heard_at: Time,
}

impl ReadPlan {
    /// Creates the plan of a daemon that knows nothing yet.
    pub fn new(now: Time) -> ReadPlan {
        ReadPlan { is_listed: false, is_lost: false, heard_at: now }
    }

    /// Returns what to ask for next.
    pub fn next(&self, now: Time) -> StoreRead {
        let has_gap = self.is_lost && now.since(self.heard_at) > MAX_GAP;
        if self.is_listed && !has_gap {
            StoreRead::Changes
        } else {
            StoreRead::State
        }
    }

    /// Returns whether the state was read, so that changes lead on from it.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Notes that the state has arrived.
    pub fn listed(&mut self, now: Time) {
        *self = ReadPlan { is_listed: true, is_lost: false, heard_at: now };
    }

    /// Notes that changes have arrived, or that the leader passed them on.
    pub fn heard(&mut self, now: Time) {
        self.is_lost = false;
        self.heard_at = now;
    }

    /// Notes that a call failed.
    pub fn lost(&mut self) {
        self.is_lost = true;
    }

    /// Notes that changes no longer lead to the state.
    pub fn forget(&mut self) {
        self.is_listed = false;
    }
}
