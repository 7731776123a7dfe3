//! Policies for unloading idle replicas.

use std::time::Duration;

use base::Time;

/// Shortest and longest time for which the fitted policy keeps an idle replica.
const MIN_KEEP_TIME: Duration = Duration::from_secs(5);
const MAX_KEEP_TIME: Duration = Duration::from_secs(600);
/// The fitted policy keeps a replica for this multiple of the mean gap between its uses.
const GAP_FACTOR: u32 = 3;

/// How long an idle replica is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdlePolicy {
    /// The same time for every model.
    Fixed(Duration),
    /// Three times the mean gap between uses of the replica, limited to 5 s to 10 min.
    Fitted,
}

/// Tracks when a replica was last used and how long the gaps between uses are.
#[derive(Clone, Copy, Debug)]
pub struct IdleTracker {
    last_used: Time,
    mean_gap: Option<Duration>,
}

impl IdleTracker {
    /// Creates a tracker for a replica that counts as last used at `now`.
    pub fn new(now: Time) -> IdleTracker {
        IdleTracker { last_used: now, mean_gap: None }
    }

    /// Records that the replica served or is serving a request.
    pub fn record_use(&mut self, now: Time) {
        let gap = now.since(self.last_used);
        self.mean_gap = Some(self.mean_gap.map_or(gap, |mean| (mean * 7 + gap) / 8));
        self.last_used = now;
    }

    /// Returns the time since the last use.
    pub fn idle_time(&self, now: Time) -> Duration {
        now.since(self.last_used)
    }

    /// Returns whether the replica has been idle for longer than `policy` keeps it.
    pub fn is_expired(&self, now: Time, policy: IdlePolicy) -> bool {
        let keep_time = match policy {
            IdlePolicy::Fixed(keep_time) => keep_time,
            IdlePolicy::Fitted => {
                let gap = self.mean_gap.unwrap_or(MAX_KEEP_TIME / GAP_FACTOR);
                (gap * GAP_FACTOR).clamp(MIN_KEEP_TIME, MAX_KEEP_TIME)
            }
        };
        self.idle_time(now) > keep_time
    }
}
