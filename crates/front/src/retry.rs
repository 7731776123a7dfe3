//! One daemon's part of the fleet's retry budget.

use std::time::Duration;

use base::Time;

/// Length of a slot of the window. Shorter slots would mean more of them. With a second, the count
/// errs by at most a tenth of the usual window, and on the strict side.
const SLOT: Duration = Duration::from_secs(1);
/// Fraction of the budget that daemons use. The rest covers daemons that do not know of each other
/// yet.
const USED_PART: f64 = 0.7;

/// Counts requests and repetitions for one service over a sliding window.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use base::Time;
/// use mango_front::RetryLedger;
///
/// let mut ledger = RetryLedger::new(0.2, 10.0, Duration::from_secs(10));
/// assert!(ledger.take(Time::ZERO, 1));
/// ```
#[derive(Clone, Debug)]
pub struct RetryLedger {
    ratio: f64,
    extra: f64,
    window: Duration,
    /// Start, requests and retries of each slot, oldest first.
    slots: Vec<(Time, u32, u32)>,
}

impl RetryLedger {
    /// Creates a budget of `ratio` times the requests plus `extra` in any `window`.
    pub fn new(ratio: f64, extra: f64, window: Duration) -> RetryLedger {
        RetryLedger { ratio, extra, window, slots: Vec::new() }
    }

    /// Records the arrival of a request.
    pub fn request(&mut self, now: Time) {
        self.slot(now).1 += 1;
    }

    /// Takes one retry. Returns false when the part of this daemon, one of `seats`, is used up.
    pub fn take(&mut self, now: Time, seats: u32) -> bool {
        let can = self.can_take(now, seats);
        if can {
            self.slot(now).2 += 1;
        }
        can
    }

    /// Returns whether a retry is left.
    pub fn can_take(&mut self, now: Time, seats: u32) -> bool {
        self.slot(now);
        let requests: u32 = self.slots.iter().map(|slot| slot.1).sum();
        let repeats: u32 = self.slots.iter().map(|slot| slot.2).sum();
        let own = self.extra / f64::from(seats.max(1)) + self.ratio * f64::from(requests);
        f64::from(repeats) + 1.0 <= own * USED_PART
    }

    fn slot(&mut self, now: Time) -> &mut (Time, u32, u32) {
        let window = self.window + SLOT;
        self.slots.retain(|(start, ..)| now.since(*start) < window);
        let fresh = self.slots.last().is_some_and(|(start, ..)| now.since(*start) < SLOT);
        if !fresh {
            self.slots.push((now, 0, 0));
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
