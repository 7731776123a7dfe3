//! Estimates the duration of model loads.

use std::time::Duration;

use base::{ByteSize, Time};

/// Time in which the estimate halves without a new sample. A high estimate can stop all loads, and
/// only another load can show that the weight store has recovered.
const HALF_LIFE: Duration = Duration::from_secs(15);
/// Weight of the previous estimate; a new sample has weight 1.
const PAST_WEIGHT: u32 = 3;

/// A moving average of the time that a model load takes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadTimes {
    /// Mean duration, and when the last sample was added.
    model_mean: Option<(Duration, Time)>,
    /// Memory of the largest load so far. Loads below an eighth of it count as adapter loads.
    largest_memory: ByteSize,
}

impl LoadTimes {
    /// Adds a load of `memory` that took `duration`.
    pub(super) fn add(&mut self, now: Time, duration: Duration, memory: ByteSize) {
        self.largest_memory = self.largest_memory.max(memory);
        // Adapter loads are orders of magnitude shorter and would distort the mean.
        if memory.0 < self.largest_memory.0 / 8 {
            return;
        }
        let past = self.expected(now).unwrap_or(duration);
        self.model_mean = Some(((past * PAST_WEIGHT + duration) / (PAST_WEIGHT + 1), now));
    }

    /// Returns the expected duration of a model load, or `None` without a sample.
    pub(super) fn expected(&self, now: Time) -> Option<Duration> {
        let (mean, updated_at) = self.model_mean?;
        let halvings = now.since(updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        Some(mean.mul_f64(0.5f64.powf(halvings)))
    }
}
