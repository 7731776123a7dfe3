//! How much a daemon passes on to others.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use base::{ParseError, Time};

/// A daemon may pass on at once what it may pass on in this time.
const BURST_SPAN: Duration = Duration::from_millis(250);

/// A rate in bytes per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteRate(pub u64);

impl fmt::Display for ByteRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} B/s", self.0)
    }
}

impl FromStr for ByteRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<ByteRate, ParseError> {
        let error = || ParseError::new("rate", text, "a whole number followed by \" B/s\"");
        let number = text.strip_suffix(" B/s").ok_or_else(error)?;
        number.parse().map(ByteRate).map_err(|_| error())
    }
}

/// Limits what a daemon passes on to others, so that its other messages still get through its link.
///
/// # Example
///
/// ```
/// use base::Time;
/// use mango_patch::{ByteRate, TransferBudget};
///
/// let mut budget = TransferBudget::new(ByteRate(4_000));
/// assert!(budget.try_spend(Time::ZERO, 900));
/// assert!(!budget.try_spend(Time::ZERO, 900));
/// assert!(budget.try_spend(Time::from_millis(200), 900));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct TransferBudget {
    rate: ByteRate,
    /// When everything that was passed on has left at the rate.
    busy_until: Time,
}

impl TransferBudget {
    /// Creates a budget of which nothing is spent.
    pub fn new(rate: ByteRate) -> TransferBudget {
        TransferBudget { rate, busy_until: Time::ZERO }
    }

    /// Returns whether `bytes` may be passed on now, and spends them if so. What exceeds the budget by
    /// itself may be passed on while nothing else is.
    pub fn try_spend(&mut self, now: Time, bytes: usize) -> bool {
        let begins_at = self.busy_until.max(now);
        if begins_at.since(now) >= BURST_SPAN {
            return false;
        }
        let span = bytes as f64 / self.rate.0.max(1) as f64;
        let until = begins_at + Duration::from_secs_f64(span);
        let may_spend = begins_at == now || until.since(now) <= BURST_SPAN;
        if may_spend {
            self.busy_until = until;
        }
        may_spend
    }
}
