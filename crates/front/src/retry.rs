//! One daemon's part of the fleet's retry budget.

use std::time::Duration;

use base::Time;

/// Length of a slot of the window. Shorter slots would be more numerous. Slots of a second err by
/// at most a tenth of the usual window, and on the strict side.
const SLOT_SPAN: Duration = Duration::from_secs(1);
/// Fraction of the budget that daemons use. The rest covers daemons that do not know of each other
/// yet.
const USED_PART: f64 = 0.7;

/// Counts requests and retries for one service over a sliding window.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use base::Time;
/// use mango_front::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.2, 10.0, Duration::from_secs(10));
/// assert!(budget.take(Time::ZERO, 1));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    window: Duration,
    /// Start, requests and retries of each slot, oldest first.
    slots: Vec<(Time, u32, u32)>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` times the requests plus `extra` in any `window`.
    pub fn new(ratio: f64, extra: f64, window: Duration) -> RetryBudget {
        RetryBudget { ratio, extra, window, slots: Vec::new() }
    }

    /// Records the arrival of a request.
    pub fn record_request(&mut self, now: Time) {
        self.current_slot(now).1 += 1;
    }

    /// Takes one retry. Returns false when the part of this daemon, one of `daemons`, is used up.
    pub fn take(&mut self, now: Time, daemons: u32) -> bool {
        let is_left = self.can_take(now, daemons);
        if is_left {
            self.current_slot(now).2 += 1;
        }
        is_left
    }

    /// Returns whether a retry is left.
    pub fn can_take(&mut self, now: Time, daemons: u32) -> bool {
        self.current_slot(now);
        let requests: u32 = self.slots.iter().map(|slot| slot.1).sum();
        let retries: u32 = self.slots.iter().map(|slot| slot.2).sum();
        let own = self.extra / f64::from(daemons.max(1)) + self.ratio * f64::from(requests);
        f64::from(retries) + 1.0 <= own * USED_PART
    }

    fn current_slot(&mut self, now: Time) -> &mut (Time, u32, u32) {
        let window = self.window + SLOT_SPAN;
        self.slots.retain(|(start, ..)| now.since(*start) < window);
        let is_current = self.slots.last().is_some_and(|(start, ..)| now.since(*start) < SLOT_SPAN);
        if !is_current {
            self.slots.push((now, 0, 0));
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
