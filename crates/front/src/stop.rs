//! The times of a planned stop.

use std::time::Duration;

use base::Time;

/// Time before the process is killed at which it exits even if requests are running.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Time before the exit at which requests that can't finish get their last answer, so that it reaches
/// their clients.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Least time to the exit. The balancer probes twice, a second apart, before it stops sending
/// connections.
const MIN_STOP_TIME: Duration = Duration::from_millis(3_600);
/// When idle connections are closed. Until then a request on a kept connection is still answered.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(3_300);
/// How long new requests are accepted.
const ACCEPT_TIME: Duration = Duration::from_millis(3_000);
/// How long a request may wait for a model load or for tokens. One that is sent later could not
/// finish before the exit.
const WAIT_TIME: Duration = Duration::from_millis(2_500);

/// The times of a planned stop, from the signal to the exit.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use base::Time;
/// use mango_front::StopSchedule;
///
/// let schedule = StopSchedule::new(Time::from_millis(1_000), Duration::from_secs(8));
/// assert!(schedule.accepts_requests(Time::from_millis(4_000)));
/// assert!(!schedule.accepts_requests(Time::from_millis(4_001)));
/// assert_eq!(schedule.last_answers_at(), Time::from_millis(8_200));
/// assert_eq!(schedule.exit_at(), Time::from_millis(8_500));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    began_at: Time,
    /// Time from the signal to the exit at the latest.
    span: Duration,
}

impl StopSchedule {
    /// Creates the schedule of a process that got the signal at `began_at` and is killed `grace`
    /// later.
    pub fn new(began_at: Time, grace: Duration) -> StopSchedule {
        let margin = KILL_MARGIN.min(grace / 2);
        StopSchedule { began_at, span: grace - margin }
    }

    /// Returns whether a request may be accepted, or sent to a target, at `now`. A request that is sent
    /// later could not finish.
    pub fn accepts_requests(&self, now: Time) -> bool {
        now.since(self.began_at) <= ACCEPT_TIME.min(self.span * 2 / 3)
    }

    /// Returns until when a request may wait for its target.
    pub fn wait_until(&self) -> Time {
        self.began_at + WAIT_TIME.min(self.span * 5 / 9)
    }

    /// Returns whether idle connections are to be closed.
    pub fn closes_idle(&self, now: Time) -> bool {
        now.since(self.began_at) >= CLOSE_IDLE_AFTER.min(self.span * 3 / 4)
    }

    /// Returns when requests that are still running get their last answer.
    pub fn last_answers_at(&self) -> Time {
        self.exit_at() - ANSWER_MARGIN.min(self.span / 4)
    }

    /// Returns whether the process exits now. `is_idle` is set if it has no requests and no
    /// connections of clients.
    pub fn exits(&self, now: Time, is_idle: bool) -> bool {
        now >= self.exit_at() || is_idle && now.since(self.began_at) >= MIN_STOP_TIME
    }

    /// Returns when the process exits at the latest.
    pub fn exit_at(&self) -> Time {
        self.began_at + self.span
    }
}
