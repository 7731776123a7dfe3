//! Latency percentiles.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest time recorded, in microseconds. Longer times are recorded as this value.
const MAX_MICROS: u64 = 120_000_000;

/// Latencies of one kind of answer.
pub(super) struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    pub(super) fn new() -> LatencyHistogram {
        LatencyHistogram(
            Histogram::new_with_max(MAX_MICROS, 3).expect("three digits are supported"),
        )
    }

    pub(super) fn record(&mut self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(MAX_MICROS);
        self.0.saturating_record(micros.clamp(1, MAX_MICROS));
    }

    /// Returns a percentile in milliseconds.
    pub(super) fn percentile(&self, percent: f64) -> f64 {
        self.0.value_at_quantile(percent / 100.0) as f64 / 1_000.0
    }

    pub(super) fn count(&self) -> u64 {
        self.0.len()
    }
}
