//! Amounts that a full token bucket could not take.

use std::collections::VecDeque;
use std::time::Duration;

use base::Time;

/// Amounts that could not be added to a full bucket, with the times at which that was found.
#[derive(Clone, Debug, Default)]
pub(crate) struct OverflowLog {
    entries: VecDeque<(Time, f64)>,
}

impl OverflowLog {
    /// Length of the spans that are recorded as one entry.
    const SPAN: Duration = Duration::from_millis(250);
    /// How long an entry is kept.
    const TTL: Duration = Duration::from_secs(10);

    /// Records an amount.
    pub(crate) fn add(&mut self, now: Time, amount: f64) {
        while self.entries.front().is_some_and(|(at, _)| now.since(*at) >= Self::TTL) {
            self.entries.pop_front();
        }
        if amount <= 0.0 {
            return;
        }
        match self.entries.back_mut() {
            Some((at, sum)) if now.since(*at) < Self::SPAN => *sum += amount,
            _ => self.entries.push_back((now, amount)),
        }
    }

    /// Takes up to `amount` of what could not be added since a time, and returns how much that is.
    pub(crate) fn take(&mut self, since: Time, amount: f64) -> f64 {
        let mut left = amount;
        for (_, sum) in self.entries.iter_mut().rev().take_while(|(at, _)| *at > since) {
            let part = sum.min(left);
            (*sum, left) = (*sum - part, left - part);
        }
        amount - left
    }
}
