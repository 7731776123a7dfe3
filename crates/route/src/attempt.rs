//! One transmission of a request to a target.

use std::marker::PhantomData;
use std::time::Duration;

use base::{TargetName, Time};

/// State of an attempt of which no byte was sent.
#[derive(Debug)]
pub struct Planned;
/// State of an attempt that may have reached its target.
#[derive(Debug)]
pub struct Transmitted;

/// How a failed attempt leaves the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It surely did not run and may be sent again.
    NotRun,
    /// It may have run, but running it again is harmless.
    Repeatable,
    /// It may have run and must not be sent again.
    Unknown,
}

/// One transmission of a request.
///
/// # Example
///
/// ```
/// use mango_route::{Attempt, AttemptEnd};
/// let attempt = Attempt::plan("t1".parse()?, false).transmit();
/// assert_eq!(attempt.lost(), AttemptEnd::Unknown);
/// # Ok::<(), base::ParseError>(())
/// ```
#[derive(Debug)]
pub struct Attempt<State> {
    target: TargetName,
    idempotent: bool,
    state: PhantomData<State>,
}

impl Attempt<Planned> {
    /// Plans an attempt on `target`.
    pub fn plan(target: TargetName, idempotent: bool) -> Attempt<Planned> {
        Attempt { target, idempotent, state: PhantomData }
    }

    /// Declares that bytes may reach the target from now on.
    pub fn transmit(self) -> Attempt<Transmitted> {
        Attempt { target: self.target, idempotent: self.idempotent, state: PhantomData }
    }
}

impl Attempt<Transmitted> {
    /// Returns the target.
    pub fn target(&self) -> &TargetName {
        &self.target
    }

    /// Ends the attempt when no byte was sent, or when the target itself states that it did not
    /// run the request.
    pub fn refused(self) -> AttemptEnd {
        AttemptEnd::NotRun
    }

    /// Ends the attempt when the target failed after bytes were sent.
    pub fn lost(self) -> AttemptEnd {
        if self.idempotent {
            AttemptEnd::Repeatable
        } else {
            AttemptEnd::Unknown
        }
    }
}

/// Limits retries to a part of the requests, so that failing targets do not multiply the load.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tenths: u64,
    filled_at: Time,
}

impl RetryBudget {
    /// Retries that can be saved up, in tenths.
    const MAX_TENTHS: u64 = 500;
    /// Tenths of a retry that each request adds.
    const PER_REQUEST: u64 = 2;
    /// Tenths of a retry that each second adds, so that rare requests may be retried too.
    const PER_SECOND: u64 = 20;

    /// Creates a full budget.
    pub fn new(now: Time) -> RetryBudget {
        RetryBudget { tenths: Self::MAX_TENTHS, filled_at: now }
    }

    /// Notes a new request.
    pub fn request(&mut self) {
        self.tenths = (self.tenths + Self::PER_REQUEST).min(Self::MAX_TENTHS);
    }

    /// Takes one retry and returns true, or returns false when none is left.
    pub fn take(&mut self, now: Time) -> bool {
        let seconds = now.since(self.filled_at).as_secs();
        if seconds > 0 {
            self.tenths = (self.tenths + seconds * Self::PER_SECOND).min(Self::MAX_TENTHS);
            self.filled_at = self.filled_at + Duration::from_secs(seconds);
        }
        let left = self.tenths >= 10;
        if left {
            self.tenths -= 10;
        }
        left
    }
}
