//! A daemon's share of a team's allowance while it has no contact with the leader.
//!
//! The leader states each daemon's share with its replies. The daemon spends no more than that by
//! itself, and the leader grants no more than the rest to others once the daemon may have begun. Both
//! compute amounts and times with the functions of this module, so that all spending together stays
//! within the allowance.

use std::time::Duration;

use base::Time;
use serde::{Deserialize, Serialize};

use crate::Allowance;

/// Shortest pause between two reports of a daemon that has requests, and its upper limit, which is also
/// the pause of a daemon without requests.
pub const REPORT_PAUSE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(700));
/// Number of daemons up to which the shorter pause applies; beyond it the pause grows in proportion.
const REPORT_DAEMONS: u32 = 100;
/// Time beyond the pause between two reports within which a leader's reply arrives.
const REPLY_TIME: Duration = Duration::from_millis(250);
/// A daemon whose last acknowledged reply is older than this counts as absent at the leader.
pub const PRESENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
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
/// Time over which spending is compared with an allowance: in this time a team may spend its burst and
/// what accrues meanwhile. A share's advance is reserved over this time.
pub const SPENDING_WINDOW: Duration = Duration::from_secs(8);
/// Number of a daemon's requests that its advance covers, so that a daemon with few but costly
/// requests can serve them.
const ADVANCE_REQUESTS: f64 = 3.0;
/// Part of its burst that a daemon may spend at once, as requests that are admitted at random overdraw it.
const OVERDRAWN_BURST: f64 = 0.7;
/// An idle daemon's share exceeds its part of what is divided evenly at most by this factor.
const IDLE_FACTOR: f64 = 1.2;
/// Allows for rounding in comparisons.
const ROUNDING: f64 = 1.001;

/// Returns the pause between two reports of a daemon that has requests.
pub fn report_pause(daemons: u32) -> Duration {
    (REPORT_PAUSE.0 * daemons.max(REPORT_DAEMONS) / REPORT_DAEMONS).min(REPORT_PAUSE.1)
}

/// Returns the time without a reply after which a daemon takes the leader for silent and spends the
/// advance of its share.
pub fn silence_limit(daemons: u32) -> Duration {
    report_pause(daemons) + REPLY_TIME
}

/// Returns the time without a reply after which a daemon's share accrues. The leader reserves the share
/// from this time after the last reply that the daemon acknowledged, which isn't later.
pub fn accrual_delay(daemons: u32) -> Duration {
    (2 * report_pause(daemons) + REPLY_TIME).min(PRESENCE_TIMEOUT)
}

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

/// What a daemon may spend of a team's allowance without a leader: an advance, and after
/// [`accrual_delay`] an amount per second. What it doesn't spend accumulates up to a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderlessShare {
    /// Amount that may be spent at once.
    pub advance: f64,
    /// Amount per second.
    pub per_second: f64,
}

/// How a team uses its allowance, by the leader's knowledge.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamUsage {
    /// Amount per second that all daemons have spent recently.
    pub rate: f64,
    /// What the team asks for, as a fraction of its allowance.
    pub demand: f64,
    /// Amount that may be spent at once.
    pub balance: f64,
}

impl LeaderlessShare {
    /// Returns the share of a daemon that has spent nothing: a tenth of an even one.
    pub fn idle(allowance: &Allowance, daemons: u32) -> LeaderlessShare {
        let per_second = (1.0 - RECENT_FRACTION) * even_rate(allowance, daemons);
        let rate = LeaderlessShare { advance: 0.0, per_second };
        LeaderlessShare { advance: rate.capacity(allowance), ..rate }
    }

    /// Returns the share of a daemon that has spent at `recent_rate` and whose requests cost
    /// `request_cost` on average.
    ///
    /// The shares of all daemons together allow no more than the allowance in a [`SPENDING_WINDOW`].
    pub fn of_spending(
        allowance: &Allowance,
        team: &TeamUsage,
        recent_rate: f64,
        request_cost: f64,
        daemons: u32,
    ) -> LeaderlessShare {
        let limit = allowance.per_second;
        let (recent_rate, team_rate) = (recent_rate.min(limit), team.rate.min(limit));
        let idle = LeaderlessShare::idle(allowance, daemons);
        let recent_part = RECENT_FRACTION * recent_rate;
        let per_second = idle.per_second + recent_part;
        if recent_part <= (IDLE_FACTOR - 1.0) * idle.per_second {
            return LeaderlessShare { per_second, ..idle };
        }
        let window = SPENDING_WINDOW.as_secs_f64();
        // The burst of a team that asks for more than its allowance is spent already.
        let is_overloaded = team.demand >= 1.0;
        let burst = if is_overloaded { team.balance.max(0.0) } else { allowance.burst };
        let shares_rate = RECENT_FRACTION * team_rate + (1.0 - RECENT_FRACTION) * limit;
        let unused = (burst + (limit - shares_rate) * window).max(0.0);
        let unused_part = unused * recent_rate / team_rate.max(recent_rate);
        let amount = unused_part + per_second * window;
        // Costly requests need an advance more than a rate.
        let most = if is_overloaded { unused_part } else { unused_part.max(amount / 2.0) };
        let advance = wanted_advance(recent_rate, request_cost, daemons).min(most);
        LeaderlessShare { advance, per_second: per_second.min((amount - advance) / window) }
    }

    /// Returns a daemon's share after [`EVEN_SHARE_DELAY`]. `demand` is what the team asks for, as a
    /// fraction of its allowance. If that is less than the allowance, a few requests' cost may accumulate,
    /// at the expense of the rate.
    pub fn even(
        allowance: &Allowance,
        demand: f64,
        request_cost: f64,
        daemons: u32,
    ) -> LeaderlessShare {
        let amount = window_amount(allowance) / f64::from(daemons.max(1));
        let rate = even_rate(allowance, daemons);
        let unused = amount / demand.max(f64::MIN_POSITIVE) - rate * SPENDING_WINDOW.as_secs_f64();
        let advance = (ADVANCE_REQUESTS * request_cost).min(unused).min(amount / 2.0).max(0.0);
        let per_second = (amount - advance).max(0.0) / SPENDING_WINDOW.as_secs_f64();
        LeaderlessShare { advance, per_second: per_second.min(rate) }
    }

    /// Returns how much of the share may accumulate: its advance, or its part of the burst.
    pub fn capacity(&self, allowance: &Allowance) -> f64 {
        let rate_part = self.per_second / allowance.per_second.max(f64::MIN_POSITIVE);
        self.advance.max(OVERDRAWN_BURST * allowance.burst * rate_part)
    }

    /// Returns the largest amount that may be spent in a [`SPENDING_WINDOW`].
    pub fn window_amount(&self) -> f64 {
        self.advance + self.per_second * SPENDING_WINDOW.as_secs_f64()
    }

    /// Returns whether a daemon with this share has spent nearly nothing.
    pub fn is_idle(&self, allowance: &Allowance, daemons: u32) -> bool {
        let most = LeaderlessShare::idle(allowance, daemons).scaled(IDLE_FACTOR * ROUNDING);
        self.advance <= most.advance && self.per_second <= most.per_second
    }

    /// Returns the share with both amounts multiplied by a factor.
    pub fn scaled(self, factor: f64) -> LeaderlessShare {
        LeaderlessShare { advance: self.advance * factor, per_second: self.per_second * factor }
    }

    /// Returns the larger of both amounts of two shares.
    pub fn max(self, other: LeaderlessShare) -> LeaderlessShare {
        LeaderlessShare {
            advance: self.advance.max(other.advance),
            per_second: self.per_second.max(other.per_second),
        }
    }
}

/// Returns a daemon's part per second of an allowance that is divided evenly.
pub fn even_rate(allowance: &Allowance, daemons: u32) -> f64 {
    allowance.per_second / f64::from(daemons.max(1))
}

/// Returns what a team may spend in a [`SPENDING_WINDOW`].
pub fn window_amount(allowance: &Allowance) -> f64 {
    allowance.burst + allowance.per_second * SPENDING_WINDOW.as_secs_f64()
}

/// Returns the advance that covers the time until the share accrues, and a few requests.
fn wanted_advance(recent_rate: f64, request_cost: f64, daemons: u32) -> f64 {
    let until_accrual = recent_rate * accrual_delay(daemons).as_secs_f64();
    let requests =
        (ADVANCE_REQUESTS * request_cost).min(recent_rate * SPENDING_WINDOW.as_secs_f64());
    until_accrual.max(requests)
}
