//! Attempts to send a request to a target, and the retry budget.

use std::marker::PhantomData;
use std::time::Duration;

use base::{TargetName, Time};

/// State of an attempt before any byte was sent.
#[derive(Debug)]
pub struct Planned;
/// State of an attempt that may have reached its target.
#[derive(Debug)]
pub struct Transmitted;

/// Whether a request may be sent again after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The request did not run and may be sent again.
    NotRun,
    /// The request may have run, but it is idempotent and may be sent again.
    Repeatable,
    /// The request may have run and must not be sent again.
    Unknown,
}

/// One transmission of a request. The type parameter is its state.
///
/// # Example
///
/// ```
/// use mango_route::{Attempt, AttemptEnd};
/// let attempt = Attempt::plan("t1".parse()?, false).transmit();
/// assert_eq!(attempt.end_lost(), AttemptEnd::Unknown);
/// # Ok::<(), base::ParseError>(())
/// ```
#[derive(Debug)]
pub struct Attempt<State> {
    target: TargetName,
    is_idempotent: bool,
    state: PhantomData<State>,
}

impl Attempt<Planned> {
    /// Creates an attempt to send a request to `target`.
    pub fn plan(target: TargetName, is_idempotent: bool) -> Attempt<Planned> {
        Attempt { target, is_idempotent, state: PhantomData }
    }

    /// Marks the attempt as transmitted. Must be called before any byte is sent.
    pub fn transmit(self) -> Attempt<Transmitted> {
        Attempt { target: self.target, is_idempotent: self.is_idempotent, state: PhantomData }
    }
}

impl Attempt<Transmitted> {
    /// Returns the target of the attempt.
    pub fn target(&self) -> &TargetName {
        &self.target
    }

    /// Ends an attempt whose request did not run: no byte was sent, or the target itself reported
    /// that it did not run the request.
    pub fn end_not_run(self) -> AttemptEnd {
        AttemptEnd::NotRun
    }

    /// Ends an attempt whose target failed after bytes were sent.
    pub fn end_lost(self) -> AttemptEnd {
        if self.is_idempotent {
            AttemptEnd::Repeatable
        } else {
            AttemptEnd::Unknown
        }
    }
}

/// Limits retries to a fraction of the requests, so that failing targets do not multiply the load.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance_tenths: u64,
    refilled_at: Time,
}

impl RetryBudget {
    /// Maximum balance, in tenths of a retry.
    const MAX_TENTHS: u64 = 500;
    /// Tenths of a retry that each request earns.
    const TENTHS_PER_REQUEST: u64 = 2;
    /// Tenths of a retry that each second earns, so that infrequent requests can be retried too.
    const TENTHS_PER_SECOND: u64 = 20;

    /// Creates a full budget.
    pub fn new(now: Time) -> RetryBudget {
        RetryBudget { balance_tenths: Self::MAX_TENTHS, refilled_at: now }
    }

    /// Adds the fraction of a retry that a new request earns.
    pub fn deposit(&mut self) {
        self.balance_tenths =
            (self.balance_tenths + Self::TENTHS_PER_REQUEST).min(Self::MAX_TENTHS);
    }

    /// Takes one retry from the budget. Returns false if none is available.
    pub fn withdraw(&mut self, now: Time) -> bool {
        let seconds = now.since(self.refilled_at).as_secs();
        if seconds > 0 {
            self.balance_tenths =
                (self.balance_tenths + seconds * Self::TENTHS_PER_SECOND).min(Self::MAX_TENTHS);
            self.refilled_at = self.refilled_at + Duration::from_secs(seconds);
        }
        let has_retry = self.balance_tenths >= 10;
        if has_retry {
            self.balance_tenths -= 10;
        }
        has_retry
    }
}
