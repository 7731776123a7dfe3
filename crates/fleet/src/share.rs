//! A daemon's share of a team's allowance while it has no contact with the leader.
//!
//! The daemon that spends the share and the leader that must not grant it to others compute it with
//! the same function.

use std::time::Duration;

use base::Time;

use crate::Allowance;

/// Time constant of the moving average of spending, in seconds.
const TIME_CONSTANT: f64 = 6.0;
/// Shortest time over which an average is meaningful, in seconds.
const MIN_AGE: f64 = 1.0;
/// Fraction of its recent spending rate that a daemon may go on spending. The rest of the allowance
/// is divided evenly among all daemons, so that the shares together don't exceed the allowance.
const RECENT_FRACTION: f64 = 0.9;
/// Time without a leader after which all shares are even, because clients may have moved to other
/// daemons.
pub const EVEN_SHARE_DELAY: Duration = Duration::from_secs(8);

/// Exponential moving average of the amount per second that is spent or requested of one team's
/// allowance.
///
/// # Example
///
/// ```
/// use base::Time;
/// use mango_fleet::SpendRate;
///
/// let mut rate = SpendRate::default();
/// rate.add(Time::ZERO, 400.0);
/// assert!(rate.at(Time::ZERO) > 300.0);
/// assert!(rate.at(Time::from_millis(6_000)) < 60.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SpendRate {
    weighted_sum: f64,
    updated_at: Time,
    /// Time of the first amount. While little time has passed since then, the average covers only
    /// that time.
    first_at: Option<Time>,
}

impl SpendRate {
    /// Adds an amount. A negative amount takes back part of what was added before.
    pub fn add(&mut self, now: Time, amount: f64) {
        self.weighted_sum = (self.weighted_sum * self.decay(now) + amount).max(0.0);
        self.updated_at = self.updated_at.max(now);
        self.first_at.get_or_insert(now);
    }

    /// Returns the average amount per second.
    pub fn at(&self, now: Time) -> f64 {
        let age =
            self.first_at.map_or(0.0, |first_at| now.since(first_at).as_secs_f64()).max(MIN_AGE);
        let weight = TIME_CONSTANT * (1.0 - (-age / TIME_CONSTANT).exp());
        self.weighted_sum * self.decay(now) / weight
    }

    fn decay(&self, now: Time) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / TIME_CONSTANT).exp()
    }
}

/// Returns the amount that a daemon may spend per second without a leader.
///
/// `recent_rate` is the daemon's spending per second before it lost contact, and `silence` the time
/// since it last heard from the leader. The sum over all daemons is at most what the leader granted
/// per second, or the allowance.
pub fn leaderless_rate(
    allowance: &Allowance,
    recent_rate: f64,
    silence: Duration,
    daemon_count: u32,
) -> f64 {
    let even_share = allowance.per_second / f64::from(daemon_count.max(1));
    if silence < EVEN_SHARE_DELAY {
        RECENT_FRACTION * recent_rate.min(allowance.per_second)
            + (1.0 - RECENT_FRACTION) * even_share
    } else {
        even_share
    }
}
