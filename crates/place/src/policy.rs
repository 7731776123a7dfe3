//! When an idle replica is unloaded.

use std::time::Duration;

use base::Time;

/// Shortest and longest keep-alive that the fitted policy chooses.
const KEEP_MIN: Duration = Duration::from_secs(5);
const KEEP_MAX: Duration = Duration::from_secs(600);
/// Multiple of a model's mean gap between requests for which it is kept.
const GAP_FACTOR: u32 = 3;

/// How long an idle replica is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdlePolicy {
    /// The same time for every model; the plain baseline.
    Fixed(Duration),
    /// Three times the model's own mean gap between requests, within 5 s and 10 min.
    Fitted,
}

/// The use of one replica, as successive reports show it.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlive {
    last_used: Time,
    mean_gap: Option<Duration>,
}

impl KeepAlive {
    /// Starts watching a replica at `now`.
    pub fn new(now: Time) -> KeepAlive {
        KeepAlive { last_used: now, mean_gap: None }
    }

    /// Notes that the replica served or is serving a request.
    pub fn used(&mut self, now: Time) {
        let gap = now.since(self.last_used);
        self.mean_gap = Some(self.mean_gap.map_or(gap, |mean| (mean * 7 + gap) / 8));
        self.last_used = now;
    }

    /// Returns the time since the last use.
    pub fn idle(&self, now: Time) -> Duration {
        now.since(self.last_used)
    }

    /// Returns whether the replica has been idle for longer than `policy` keeps it.
    pub fn is_expired(&self, now: Time, policy: IdlePolicy) -> bool {
        let keep = match policy {
            IdlePolicy::Fixed(keep) => keep,
            IdlePolicy::Fitted => {
                let gap = self.mean_gap.unwrap_or(KEEP_MAX / GAP_FACTOR);
                (gap * GAP_FACTOR).clamp(KEEP_MIN, KEEP_MAX)
            }
        };
        self.idle(now) > keep
    }
}
