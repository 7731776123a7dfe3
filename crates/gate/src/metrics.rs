//! Metrics of the HTTP side.

use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

/// Smallest bucket of the answer time, in seconds; each of the following is twice as large.
const FIRST_BUCKET_S: f64 = 0.001;
const BUCKETS: u16 = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabel {
    status: u16,
}

#[derive(Debug)]
struct Inner {
    answers: Family<StatusLabel, Counter>,
    seconds: Histogram,
}

/// Counts answers to callers and the time until they began.
#[derive(Clone, Debug)]
pub struct GateMetrics {
    inner: Arc<Inner>,
}

impl Default for GateMetrics {
    fn default() -> Self {
        let buckets = exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS);
        let seconds = Histogram::new(buckets);
        GateMetrics { inner: Arc::new(Inner { answers: Family::default(), seconds }) }
    }
}

impl GateMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("answers", "Answers to callers", self.inner.answers.clone());
        registry.register(
            "answer_seconds",
            "Time until an answer began",
            self.inner.seconds.clone(),
        );
    }

    pub(crate) fn answered(&self, status: u16, span: Duration) {
        self.inner.answers.get_or_create(&StatusLabel { status }).inc();
        self.inner.seconds.observe(span.as_secs_f64());
    }
}
