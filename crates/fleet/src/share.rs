//! A daemon's part of a team's allowance while no leader is heard.
//!
//! The daemon that spends it and the leader that must not count on it work it out alike.

use std::time::Duration;

use base::Time;

use crate::Allowance;

/// Spending is averaged over about this time, in seconds.
const RATE_SPAN: f64 = 6.0;
/// Least time over which an average says anything, in seconds.
const LEAST_AGE: f64 = 1.0;
/// Part of what a daemon has spent lately that it goes on spending; the rest of a share is even over
/// all daemons. Together they are no more than the allowance.
const OWN_PART: f64 = 0.9;
/// After this time without a leader a share is even: clients may have gone elsewhere.
pub const OWN_SPAN: Duration = Duration::from_secs(8);

/// What one daemon has spent of one team's allowance lately.
///
/// # Example
///
/// ```
/// use base::Time;
/// use mango_fleet::SpendRate;
///
/// let mut rate = SpendRate::default();
/// rate.spent(Time::ZERO, 400.0);
/// assert!(rate.at(Time::ZERO) > 300.0);
/// assert!(rate.at(Time::from_millis(6_000)) < 60.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SpendRate {
    sum: f64,
    at: Time,
    /// When the first amount was spent: an average over less time than usual counts as one.
    since: Option<Time>,
}

impl SpendRate {
    /// Notes that an amount was spent, or with a negative one that it was not after all.
    pub fn spent(&mut self, now: Time, amount: f64) {
        self.sum = (self.sum * self.decay(now) + amount).max(0.0);
        self.at = self.at.max(now);
        self.since.get_or_insert(now);
    }

    /// Returns what was spent in a second.
    pub fn at(&self, now: Time) -> f64 {
        let age = self.since.map_or(0.0, |since| now.since(since).as_secs_f64()).max(LEAST_AGE);
        let weight = RATE_SPAN * (1.0 - (-age / RATE_SPAN).exp());
        self.sum * self.decay(now) / weight
    }

    fn decay(&self, now: Time) -> f64 {
        (-now.since(self.at).as_secs_f64() / RATE_SPAN).exp()
    }
}

/// Returns what a daemon may spend in a second without a leader, by its own spending before and how
/// long it has heard none: over all daemons no more than the leader granted, or the allowance.
pub fn lone_rate(allowance: &Allowance, own: f64, silence: Duration, seats: u32) -> f64 {
    let even = allowance.per_second / f64::from(seats.max(1));
    if silence < OWN_SPAN {
        OWN_PART * own.min(allowance.per_second) + (1.0 - OWN_PART) * even
    } else {
        even
    }
}
