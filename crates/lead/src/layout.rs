//! How recently a daemon's layout was known to be the latest one, and when to find out.

use std::time::Duration;

use base::{Revision, Time};

/// A daemon checks its layout when it hasn't been confirmed for the bound divided by this.
const CHECK_DIVISOR: u32 = 2;
/// The same divisor while the leader doesn't answer, so that nothing else will confirm the layout.
const SILENCE_DIVISOR: u32 = 4;
/// A check waits for changes for at most the bound divided by this. Then it reads the whole layout, and
/// after the same time without an answer it asks other daemons.
const TIMEOUT_DIVISOR: u32 = 8;
/// Other daemons are asked for at most the bound divided by this.
const PEER_DIVISOR: u32 = 6;
/// A daemon that isn't a reader asks readers again after the bound divided by the first of these, and checks
/// its layout itself after the bound divided by the second one.
const READER_DIVISOR: u32 = 16;
const PATIENCE_DIVISOR: u32 = 4;
/// Pauses after a check that has failed, and after another one, as divisors of the bound.
const FAILURE_DIVISOR: u32 = 4;
const PAUSE_DIVISOR: u32 = 16;

/// How recently a daemon's layout was known to be the latest one in the store, and when the daemon
/// should ask the store itself.
///
/// Whatever shows that there is no newer layout confirms the one in force: changes that the leader
/// relays, the daemon's own watch, or a check. A check is a call for the layout alone, which doesn't
/// wait for other reads. The time without a confirmation is bounded by the time within which a
/// layout must be in force, so that it doesn't depend on how long other information is relied on.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use base::Time;
/// use mango_lead::LayoutFreshness;
///
/// let at = |ms| Time::from_millis(ms);
/// let mut freshness = LayoutFreshness::new(Duration::from_secs(4));
/// assert_eq!(freshness.next_check(), None, "nothing is known yet");
/// freshness.confirm(at(1_000));
/// assert_eq!(freshness.next_check(), Some(at(3_000)));
/// freshness.record_silence();
/// assert_eq!(freshness.next_check(), Some(at(2_000)));
/// freshness.confirm(at(1_500));
/// assert_eq!(freshness.next_check(), Some(at(3_500)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LayoutFreshness {
    bound: Duration,
    confirmed_at: Option<Time>,
    /// Revision up to which all changes of the layout are known.
    covered: Revision,
    /// Whether the leader has left a report unanswered since the last confirmation.
    is_leader_silent: bool,
    /// Whether the last check has failed.
    has_failed: bool,
    /// When the next check may begin.
    retry_at: Time,
}

impl LayoutFreshness {
    /// Creates the state of a daemon on which a layout must be in force within `bound`.
    pub fn new(bound: Duration) -> LayoutFreshness {
        LayoutFreshness {
            bound,
            confirmed_at: None,
            covered: Revision(0),
            is_leader_silent: false,
            has_failed: false,
            retry_at: Time::ZERO,
        }
    }

    /// Records that the layout in force was the latest one in the store at this time or later.
    pub fn confirm(&mut self, at: Time) {
        if self.confirmed_at.is_none_or(|known| known < at) {
            self.confirmed_at = Some(at);
            (self.is_leader_silent, self.has_failed) = (false, false);
        }
    }

    /// Returns the revision up to which all changes of the layout are known. A check asks for later ones.
    pub fn covered(&self) -> Revision {
        self.covered
    }

    /// Records that all changes of the layout up to the revision `until` are known.
    pub fn cover(&mut self, until: Revision) {
        self.covered = self.covered.max(until);
    }

    /// Records that all changes of the layout after one revision up to another are known. Returns whether
    /// none between those that were known before and these may be missing.
    pub fn extend(&mut self, after: Revision, until: Revision) -> bool {
        let is_complete = self.covered >= after;
        if is_complete {
            self.cover(until);
        }
        is_complete
    }

    /// Records that the leader, on whose changes the daemon relies, left a report unanswered.
    pub fn record_silence(&mut self) {
        self.is_leader_silent = true;
    }

    /// Records that a check has ended. The next one follows after a pause, also if the layout changed
    /// again during the check, so that the check didn't confirm it.
    pub fn end_check(&mut self, now: Time, has_failed: bool) {
        let divisor = if has_failed { FAILURE_DIVISOR } else { PAUSE_DIVISOR };
        self.retry_at = now + self.bound / divisor;
        self.has_failed = has_failed;
    }

    /// Returns whether the leader has left a report unanswered since the last confirmation.
    pub fn is_leader_silent(&self) -> bool {
        self.is_leader_silent
    }

    /// Returns whether the last check has failed, so that the next one should begin with what has the best
    /// prospects.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Returns the time since when a newer layout may exist; `None` before the first one is known.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns when the daemon should check its layout unless it is confirmed before.
    pub fn next_check(&self) -> Option<Time> {
        self.confirmed_at.map(|at| (at + self.bound / self.check_divisor()).max(self.retry_at))
    }

    fn check_divisor(&self) -> u32 {
        match self.is_leader_silent {
            true => SILENCE_DIVISOR,
            false => CHECK_DIVISOR,
        }
    }

    /// Returns how long a check waits for changes of the layout before it reads the whole layout,
    /// which needs no history.
    pub fn change_timeout(&self) -> Duration {
        self.bound / TIMEOUT_DIVISOR
    }

    /// Returns the pause before readers are asked, and how long they are waited for.
    pub fn reader_pause(&self) -> Duration {
        self.bound / READER_DIVISOR
    }

    /// Returns for how long a daemon relies on readers before it checks its layout itself.
    pub fn reader_patience(&self) -> Duration {
        self.bound / PATIENCE_DIVISOR
    }

    /// Returns whether a layout that was the latest one at `at` needs no check now.
    pub fn is_recent(&self, now: Time, at: Time) -> bool {
        now.since(at) < self.bound / self.check_divisor()
    }

    /// Returns how long other daemons are asked for a newer layout when the store doesn't answer.
    pub fn peer_timeout(&self) -> Duration {
        self.bound / PEER_DIVISOR
    }

    /// Returns the pause before other daemons are asked again in the same check.
    pub fn peer_pause(&self) -> Duration {
        self.bound / FAILURE_DIVISOR
    }
}
