//! Permits to send one request to a limited target, issued by one daemon for all.

use std::time::Duration;

use base::{SortedMap, TargetName, Time};
use serde::{Deserialize, Serialize};

use crate::RequestRate;

/// How long a permit is valid, counted by its user from before it was asked for. It must be shorter
/// than the margin in which an issuer stops before its term ends.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(250);
/// Time without a permit after which one request is sent to a target although others can serve it.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of a limit that is issued: requests arrive up to `PERMIT_VALIDITY` after their permits
/// were issued, so that a window holds those of a slightly longer one.
const ISSUED_FRACTION: f64 = 0.9;
/// Span whose permits a pool can save up, if that is more than one.
const BURST_SPAN: Duration = Duration::from_millis(100);
/// Lowest rate at which permits are issued, per second, also where the limit is lower or zero. Only
/// the answer to a request shows that a limit has changed.
const MIN_RATE: f64 = 0.1;
/// Longest retry hint for a refused caller.
const HINT_HORIZON: Duration = Duration::from_secs(10);

/// What a permit is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitUse {
    /// A request that no other target can serve.
    Request,
    /// A request that other targets can serve, sent to learn whether the limit still holds.
    Probe,
    /// A call that reads the target's state. It can wait.
    Report,
    /// A call that changes the target's state, on which requests wait. It may be issued ahead of
    /// time, and delays later permits.
    Order,
}

/// Why no permit was issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitDenial {
    /// Time until the next permit is available.
    pub next: Duration,
    /// Time after which a caller should return. It grows with the number of refused callers.
    pub hint: Duration,
}

/// The permits for one target.
///
/// A pool starts empty, since permits of an earlier issuer may still be in use.
///
/// # Example
///
/// ```
/// use base::Time;
/// use mango_limit::{PermitPool, PermitUse};
///
/// let mut pool = PermitPool::new(Time::ZERO, "2".parse()?);
/// assert!(pool.take(Time::ZERO, PermitUse::Request).is_err());
/// assert!(pool.take(Time::from_millis(600), PermitUse::Request).is_ok());
/// let denial = pool.take(Time::from_millis(600), PermitUse::Request).unwrap_err();
/// assert!(denial.next.as_millis() > 450 && denial.hint >= denial.next);
/// # Ok::<(), base::ParseError>(())
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PermitPool {
    rate: RequestRate,
    /// Number of available permits. Negative after an order was issued ahead of time.
    balance: f64,
    refilled_at: Time,
    issued_at: Time,
    /// When the caller that is refused next should return.
    next_return: Time,
}

impl PermitPool {
    /// Creates an empty pool.
    pub fn new(now: Time, rate: RequestRate) -> PermitPool {
        PermitPool { rate, balance: 0.0, refilled_at: now, issued_at: now, next_return: now }
    }

    /// Changes the limit from now on.
    pub fn set_rate(&mut self, now: Time, rate: RequestRate) {
        self.refill(now);
        self.rate = rate;
        self.balance = self.balance.min(self.capacity());
    }

    /// Takes a permit.
    ///
    /// # Errors
    ///
    /// Returns when to ask again if none is available.
    pub fn take(&mut self, now: Time, purpose: PermitUse) -> Result<(), PermitDenial> {
        let next = self.time_to_next(now, purpose);
        if next.is_zero() {
            self.balance -= 1.0;
            self.issued_at = now;
            return Ok(());
        }
        let mut hint = next;
        if purpose == PermitUse::Request {
            let return_at = self.next_return.max(now + next);
            hint = return_at.since(now);
            let latest = now + HINT_HORIZON.max(next);
            self.next_return = (return_at + self.refill_time(1.0)).min(latest);
        }
        Err(PermitDenial { next, hint })
    }

    /// Returns the time until a permit is available.
    fn time_to_next(&mut self, now: Time, purpose: PermitUse) -> Duration {
        self.refill(now);
        let needed = if purpose == PermitUse::Order { 0.0 } else { 1.0 };
        let next = self.refill_time(needed - self.balance);
        match purpose {
            PermitUse::Probe => next.max((self.issued_at + PROBE_INTERVAL).since(now)),
            PermitUse::Request | PermitUse::Report | PermitUse::Order => next,
        }
    }

    fn issued_rate(&self) -> f64 {
        (self.rate.per_second() * ISSUED_FRACTION).max(MIN_RATE)
    }

    fn capacity(&self) -> f64 {
        (self.issued_rate() * BURST_SPAN.as_secs_f64()).max(1.0)
    }

    /// Returns the time in which the given number of permits accrues, rounded up to microseconds.
    fn refill_time(&self, amount: f64) -> Duration {
        // A rounding error of the balance is not a shortage.
        if amount <= 1e-9 {
            return Duration::ZERO;
        }
        Duration::from_micros((amount / self.issued_rate() * 1e6).ceil() as u64)
    }

    fn refill(&mut self, now: Time) {
        let accrued = self.issued_rate() * now.since(self.refilled_at).as_secs_f64();
        self.balance = (self.balance + accrued).min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// The pools of all limited targets, kept by the one daemon that issues permits.
#[derive(Clone, Debug, Default)]
pub struct PermitTable {
    pools: SortedMap<TargetName, PermitPool>,
}

impl PermitTable {
    /// Applies a new or changed limit, or its end.
    pub fn set_limit(&mut self, now: Time, target: &TargetName, rate: Option<RequestRate>) {
        match rate {
            Some(rate) => match self.pools.get_mut(target) {
                Some(pool) => pool.set_rate(now, rate),
                None => {
                    self.pools.insert(target.clone(), PermitPool::new(now, rate));
                }
            },
            None => {
                self.pools.remove(target);
            }
        }
    }

    /// Returns the time until a permit for a target is available.
    pub fn time_to_next(&mut self, now: Time, target: &TargetName, purpose: PermitUse) -> Duration {
        self.pools.get_mut(target).map_or(Duration::ZERO, |pool| pool.time_to_next(now, purpose))
    }

    /// Takes a permit for a target. One without a limit needs none.
    ///
    /// # Errors
    ///
    /// Returns when to ask again if none is available.
    pub fn take(
        &mut self,
        now: Time,
        target: &TargetName,
        purpose: PermitUse,
    ) -> Result<(), PermitDenial> {
        self.pools.get_mut(target).map_or(Ok(()), |pool| pool.take(now, purpose))
    }
}
