//! Counters, gauges and histograms, and their text format.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use buffer::PoolUsage;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

type Labels = [(&'static str, String); 1];

/// Metrics of a daemon.
pub(crate) struct Metrics {
    registry: Registry,
    answers: Family<Labels, Counter>,
    refusals: Family<Labels, Counter>,
    handovers: Counter,
    attempt_ends: Family<Labels, Counter>,
    first_byte_time: Histogram,
    answer_time: Histogram,
    sends: Gauge<i64>,
    repeats: Gauge<i64>,
    limited_sends: Gauge<i64>,
    limited_targets: Gauge<i64>,
    evacuated_domains: Gauge<i64>,
    evacuated_runs: Gauge<i64>,
    cold_sends: Gauge<i64>,
    cold_targets: Gauge<i64>,
    room_waits: Gauge<i64>,
    leaderless_spent: Gauge<f64, AtomicU64>,
    unread_prompt_ms: Gauge<u64, AtomicU64>,
    suspected_crashes: Gauge<i64>,
    condemned_requests: Gauge<i64>,
    condemned_parts: Gauge<i64>,
    open_requests: Gauge<i64>,
    store_calls: Gauge<i64>,
    lines_dropped: Gauge<i64>,
    leading: Gauge<i64>,
    layout_version: Gauge<u64, AtomicU64>,
    layout_unread_ms: Gauge<u64, AtomicU64>,
    layout_age_ms: Gauge<u64, AtomicU64>,
    layout_behind_ms: Gauge<u64, AtomicU64>,
    layouts_behind: Gauge<i64>,
    unread_values: Gauge<i64>,
    resident_bytes: Gauge<u64, AtomicU64>,
    buffered_bytes: Family<Labels, Gauge<u64, AtomicU64>>,
    buffer_evictions: Family<Labels, Gauge<u64, AtomicU64>>,
}

/// Values that are sampled when the metrics are read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Readings {
    pub(crate) sends: u64,
    pub(crate) repeats: u64,
    pub(crate) limited_sends: u64,
    pub(crate) limited_targets: usize,
    pub(crate) evacuated_domains: usize,
    pub(crate) evacuated_runs: usize,
    pub(crate) cold_sends: u64,
    pub(crate) cold_targets: usize,
    pub(crate) room_waits: u64,
    /// Amount of all allowances that this daemon has spent without a leader.
    pub(crate) leaderless_spent: f64,
    /// Prefill time of the prompts that this daemon has sent and that targets haven't begun to answer.
    pub(crate) unread_prompts: Duration,
    pub(crate) suspected_crashes: usize,
    pub(crate) condemned_requests: usize,
    pub(crate) condemned_parts: usize,
    pub(crate) open_requests: usize,
    pub(crate) store_calls: u64,
    pub(crate) lines_dropped: u64,
    pub(crate) is_leading: bool,
    pub(crate) layout_version: u64,
    /// Time since when a newer layout is known but unread.
    pub(crate) layout_unread: Option<Duration>,
    /// Time since when a newer layout may exist.
    pub(crate) layout_age: Option<Duration>,
    /// Time since when another daemon is known to have a newer layout.
    pub(crate) layout_behind: Option<Duration>,
    /// Number of daemons whose layout is older, at the leader.
    pub(crate) layouts_behind: usize,
    pub(crate) unread_values: usize,
    pub(crate) resident_bytes: u64,
    pub(crate) request_buffers: PoolUsage,
    pub(crate) control_buffers: PoolUsage,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let mut registry = Registry::with_prefix("mangodeal");
        // Buckets from 1 ms to 33 s.
        let time_histogram = || Histogram::new(exponential_buckets(0.001, 2.0, 16));
        let metrics = Metrics {
            answers: Family::default(),
            refusals: Family::default(),
            handovers: Counter::default(),
            attempt_ends: Family::default(),
            first_byte_time: time_histogram(),
            answer_time: time_histogram(),
            sends: Gauge::default(),
            repeats: Gauge::default(),
            limited_sends: Gauge::default(),
            limited_targets: Gauge::default(),
            evacuated_domains: Gauge::default(),
            evacuated_runs: Gauge::default(),
            cold_sends: Gauge::default(),
            cold_targets: Gauge::default(),
            room_waits: Gauge::default(),
            leaderless_spent: Gauge::default(),
            unread_prompt_ms: Gauge::default(),
            suspected_crashes: Gauge::default(),
            condemned_requests: Gauge::default(),
            condemned_parts: Gauge::default(),
            open_requests: Gauge::default(),
            store_calls: Gauge::default(),
            lines_dropped: Gauge::default(),
            leading: Gauge::default(),
            layout_version: Gauge::default(),
            layout_unread_ms: Gauge::default(),
            layout_age_ms: Gauge::default(),
            layout_behind_ms: Gauge::default(),
            layouts_behind: Gauge::default(),
            unread_values: Gauge::default(),
            resident_bytes: Gauge::default(),
            buffered_bytes: Family::default(),
            buffer_evictions: Family::default(),
            registry: Registry::default(),
        };
        registry.register("answers", "Answers by status", metrics.answers.clone());
        registry.register("refusals", "Refusals by result code", metrics.refusals.clone());
        registry.register(
            "handovers",
            "Requests that other daemons carried",
            metrics.handovers.clone(),
        );
        registry.register(
            "attempts",
            "Attempts on targets by their end",
            metrics.attempt_ends.clone(),
        );
        registry.register(
            "first_seconds",
            "Time to the first byte",
            metrics.first_byte_time.clone(),
        );
        registry.register("whole_seconds", "Time to the whole answer", metrics.answer_time.clone());
        registry.register("sends", "Transmissions to targets", metrics.sends.clone());
        registry.register("repeats", "Repeated transmissions", metrics.repeats.clone());
        registry.register(
            "limited_sends",
            "Transmissions to targets that had named a limit",
            metrics.limited_sends.clone(),
        );
        registry.register(
            "limited_targets",
            "Targets that have named a limit",
            metrics.limited_targets.clone(),
        );
        registry.register(
            "evacuated_domains",
            "Failure domains to which nothing is sent",
            metrics.evacuated_domains.clone(),
        );
        registry.register(
            "evacuated_runs",
            "Requests that still run on targets of evacuated domains",
            metrics.evacuated_runs.clone(),
        );
        registry.register(
            "cold_sends",
            "Transmissions to cold targets",
            metrics.cold_sends.clone(),
        );
        registry.register("cold_targets", "Targets that are cold", metrics.cold_targets.clone());
        registry.register(
            "room_waits",
            "Times that a request was made to wait for prefill time on an engine",
            metrics.room_waits.clone(),
        );
        registry.register(
            "leaderless_spent",
            "Tokens of all allowances that this daemon has spent without a leader",
            metrics.leaderless_spent.clone(),
        );
        registry.register(
            "unread_prompt_ms",
            "Prefill time of this daemon's prompts that targets have not begun to answer",
            metrics.unread_prompt_ms.clone(),
        );
        registry.register(
            "suspected_crashes",
            "Crashes of targets with suspected requests",
            metrics.suspected_crashes.clone(),
        );
        registry.register(
            "condemned_requests",
            "Requests that are refused because they crash targets",
            metrics.condemned_requests.clone(),
        );
        registry.register(
            "condemned_parts",
            "Sets of prompt parts that are refused",
            metrics.condemned_parts.clone(),
        );
        registry.register("open_requests", "Requests in the daemon", metrics.open_requests.clone());
        registry.register("store_calls", "Calls to the store", metrics.store_calls.clone());
        registry.register("lines_dropped", "Dropped log lines", metrics.lines_dropped.clone());
        registry.register("leading", "Whether the daemon leads", metrics.leading.clone());
        registry.register(
            "layout_version",
            "Configuration in force",
            metrics.layout_version.clone(),
        );
        registry.register(
            "layout_unread_ms",
            "Time since when a newer configuration is known but not in force",
            metrics.layout_unread_ms.clone(),
        );
        registry.register(
            "layout_age_ms",
            "Time since when a newer configuration may exist",
            metrics.layout_age_ms.clone(),
        );
        registry.register(
            "layout_behind_ms",
            "Time since when another daemon is known to have a newer configuration",
            metrics.layout_behind_ms.clone(),
        );
        registry.register(
            "layouts_behind",
            "Daemons with an older configuration than this one, at the leader",
            metrics.layouts_behind.clone(),
        );
        registry.register(
            "unread_values",
            "Values that the leader doesn't relay and that are unread",
            metrics.unread_values.clone(),
        );
        registry.register(
            "resident_bytes",
            "Resident memory of the process",
            metrics.resident_bytes.clone(),
        );
        registry.register(
            "buffered_bytes",
            "Memory of buffered bodies",
            metrics.buffered_bytes.clone(),
        );
        registry.register(
            "buffer_evictions",
            "Bodies that were evicted because the buffers were full",
            metrics.buffer_evictions.clone(),
        );
        Metrics { registry, ..metrics }
    }

    pub(crate) fn count_answer(&self, status: u16) {
        self.answers.get_or_create(&[("status", status.to_string())]).inc();
    }

    pub(crate) fn count_refusal(&self, code: u16) {
        self.refusals.get_or_create(&[("code", code.to_string())]).inc();
    }

    pub(crate) fn count_handover(&self) {
        self.handovers.inc();
    }

    pub(crate) fn count_attempt_end(&self, end: &'static str) {
        self.attempt_ends.get_or_create(&[("end", end.to_owned())]).inc();
    }

    pub(crate) fn observe_first_byte(&self, span: Duration) {
        self.first_byte_time.observe(span.as_secs_f64());
    }

    pub(crate) fn observe_answer_time(&self, span: Duration) {
        self.answer_time.observe(span.as_secs_f64());
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn text(&self, readings: Readings) -> String {
        let to_gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.sends.set(to_gauge(readings.sends));
        self.repeats.set(to_gauge(readings.repeats));
        self.limited_sends.set(to_gauge(readings.limited_sends));
        let to_count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.limited_targets.set(to_count(readings.limited_targets));
        self.evacuated_domains.set(to_count(readings.evacuated_domains));
        self.evacuated_runs.set(to_count(readings.evacuated_runs));
        self.cold_sends.set(to_gauge(readings.cold_sends));
        self.cold_targets.set(to_count(readings.cold_targets));
        self.room_waits.set(to_gauge(readings.room_waits));
        self.leaderless_spent.set(readings.leaderless_spent);
        let to_millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        self.unread_prompt_ms.set(to_millis(readings.unread_prompts));
        self.suspected_crashes.set(to_count(readings.suspected_crashes));
        self.condemned_requests.set(to_count(readings.condemned_requests));
        self.condemned_parts.set(to_count(readings.condemned_parts));
        self.open_requests.set(i64::try_from(readings.open_requests).unwrap_or(i64::MAX));
        self.store_calls.set(to_gauge(readings.store_calls));
        self.lines_dropped.set(to_gauge(readings.lines_dropped));
        self.leading.set(i64::from(readings.is_leading));
        self.layout_version.set(readings.layout_version);
        self.layout_unread_ms.set(to_millis(readings.layout_unread.unwrap_or_default()));
        self.layout_age_ms.set(to_millis(readings.layout_age.unwrap_or_default()));
        self.layout_behind_ms.set(to_millis(readings.layout_behind.unwrap_or_default()));
        self.layouts_behind.set(to_count(readings.layouts_behind));
        self.unread_values.set(to_count(readings.unread_values));
        self.resident_bytes.set(readings.resident_bytes);
        let pools = [("requests", readings.request_buffers), ("control", readings.control_buffers)];
        for (name, usage) in pools {
            let labels = [("pool", name.to_owned())];
            self.buffered_bytes.get_or_create(&labels).set(usage.used.0);
            self.buffer_evictions.get_or_create(&labels).set(usage.evictions);
        }
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            crate::logging::LogLine::new("metrics_failed").text("error", &error).warn();
        }
        text
    }
}
