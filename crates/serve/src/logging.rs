//! Structured logging: one JSON object per line, limited in rate, and never blocking.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;

use base::Time;
use daemon::{boot_time, wall_ms};
use log::{Level, LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value};

/// Capacity of the queue of lines between the daemon and the thread that writes them to standard
/// output.
const QUEUE_LINES: usize = 1_024;

/// A log line about a decision or a change of state.
#[must_use]
pub(crate) struct LogLine {
    fields: Map<String, Value>,
}

impl LogLine {
    pub(crate) fn new(event: &'static str) -> LogLine {
        let mut fields = Map::new();
        fields.insert("event".to_owned(), event.into());
        LogLine { fields }
    }

    pub(crate) fn with(mut self, name: &'static str, value: impl Into<Value>) -> LogLine {
        self.fields.insert(name.to_owned(), value.into());
        self
    }

    pub(crate) fn text(self, name: &'static str, value: &impl ToString) -> LogLine {
        self.with(name, value.to_string())
    }

    pub(crate) fn info(self) {
        self.log(Level::Info);
    }

    pub(crate) fn warn(self) {
        self.log(Level::Warn);
    }

    pub(crate) fn error(self) {
        self.log(Level::Error);
    }

    fn log(self, level: Level) {
        log::log!(target: "trail", level, "{}", Value::Object(self.fields));
    }
}

/// Counts log lines that were dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct DropCounter(Arc<AtomicU64>);

impl DropCounter {
    pub(crate) fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Limits the number of log lines per second.
struct LineLimiter {
    per_second: u32,
    remaining: u32,
    second: u64,
    reported_drops: u64,
}

struct JsonLogger {
    sender: SyncSender<String>,
    limiter: std::sync::Mutex<LineLimiter>,
    dropped: DropCounter,
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == "trail" && metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let Ok(mut limiter) = self.limiter.lock() else { return };
        let now = boot_time();
        if !limiter.try_admit(now) {
            self.dropped.increment();
            return;
        }
        let total = self.dropped.total();
        if total > limiter.reported_drops {
            let count = total - limiter.reported_drops;
            limiter.reported_drops = total;
            self.send_line(
                now,
                Level::Warn,
                &format!("{{\"event\":\"lines_dropped\",\"count\":{count}}}"),
            );
        }
        self.send_line(now, record.level(), &record.args().to_string());
    }

    fn flush(&self) {}
}

impl JsonLogger {
    /// Queues a line with the times and the level before the fields of the object.
    fn send_line(&self, now: Time, level: Level, object: &str) {
        let fields = object.strip_prefix('{').unwrap_or(object);
        let line = format!(
            "{{\"ms\":{},\"boot_us\":{},\"level\":\"{level}\",{fields}\n",
            wall_ms(),
            now.as_micros()
        );
        if self.sender.try_send(line).is_err() {
            self.dropped.increment();
        }
    }
}

impl LineLimiter {
    fn try_admit(&mut self, now: Time) -> bool {
        let second = now.as_micros() / 1_000_000;
        if second != self.second {
            self.second = second;
            self.remaining = self.per_second;
        }
        let is_admitted = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        is_admitted
    }
}

/// Starts logging to standard output: lines of at least this level, at most `per_second` of them
/// per second.
pub(crate) fn init_logging(level: LevelFilter, per_second: u32) -> DropCounter {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let dropped = DropCounter::default();
    let limiter = LineLimiter { per_second, remaining: per_second, second: 0, reported_drops: 0 };
    let logger =
        JsonLogger { sender, limiter: std::sync::Mutex::new(limiter), dropped: dropped.clone() };
    let writer = std::thread::Builder::new()
        .name("trail".to_owned())
        .stack_size(64 << 10)
        .spawn(move || write_lines(&receiver));
    // Without the writer thread nothing is logged.
    if writer.is_ok() && log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
    }
    dropped
}

fn write_lines(receiver: &Receiver<String>) {
    while let Ok(mut lines) = receiver.recv() {
        while let Ok(more) = receiver.try_recv() {
            lines.push_str(&more);
        }
        // There is nowhere to report that standard output is closed.
        let _ = std::io::stdout().write_all(lines.as_bytes());
    }
}
