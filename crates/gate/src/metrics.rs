//! Metrics of the callers' HTTP interface.

use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

/// Upper bound of the smallest response time bucket, in seconds. Each further bound doubles.
const SMALLEST_BUCKET_S: f64 = 0.001;
const BUCKET_COUNT: u16 = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabel {
    status: u16,
}

#[derive(Debug)]
struct Inner {
    responses: Family<StatusLabel, Counter>,
    seconds: Histogram,
}

/// Counts responses to callers and measures the time until each response began.
#[derive(Clone, Debug)]
pub struct GateMetrics {
    inner: Arc<Inner>,
}

impl Default for GateMetrics {
    fn default() -> Self {
        let buckets = exponential_buckets(SMALLEST_BUCKET_S, 2.0, BUCKET_COUNT);
        let seconds = Histogram::new(buckets);
        GateMetrics { inner: Arc::new(Inner { responses: Family::default(), seconds }) }
    }
}

impl GateMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("answers", "Answers to callers", self.inner.responses.clone());
        registry.register(
            "answer_seconds",
            "Time until an answer began",
            self.inner.seconds.clone(),
        );
    }

    pub(crate) fn record_response(&self, status: u16, elapsed: Duration) {
        self.inner.responses.get_or_create(&StatusLabel { status }).inc();
        self.inner.seconds.observe(elapsed.as_secs_f64());
    }
}
