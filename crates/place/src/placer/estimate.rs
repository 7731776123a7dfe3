//! How long loads take.

use std::time::Duration;

use base::{ByteSize, Time};

/// Time in which the estimate halves without a new sample. After a slow spell nothing may be
/// loaded any more, and only trying can show that the weight store recovered.
const HALF_LIFE: Duration = Duration::from_secs(15);
/// Weight of the past against a new sample.
const PAST_WEIGHT: u32 = 3;

/// A running estimate of the time per load.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadTimes {
    models: Option<(Duration, Time)>,
    /// Largest memory that still counts as an adapter's load.
    largest: ByteSize,
}

impl LoadTimes {
    /// Adds a load that took `span`.
    pub(super) fn add(&mut self, now: Time, span: Duration, memory: ByteSize) {
        self.largest = self.largest.max(memory);
        // Loads of adapters are shorter by orders of magnitude and say nothing about models.
        if memory.0 < self.largest.0 / 8 {
            return;
        }
        let past = self.expected(now).unwrap_or(span);
        self.models = Some(((past * PAST_WEIGHT + span) / (PAST_WEIGHT + 1), now));
    }

    /// Returns the time that a load of a model is expected to take.
    pub(super) fn expected(&self, now: Time) -> Option<Duration> {
        let (mean, at) = self.models?;
        let halvings = now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        Some(mean.mul_f64(0.5f64.powf(halvings)))
    }
}
