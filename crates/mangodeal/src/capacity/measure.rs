//! Measuring of time and memory, and output of tables.

use std::time::{Duration, Instant};

/// The measured value for one size.
pub(super) struct TableRow {
    size: usize,
    value: f64,
    /// Smallest and largest value of the repetitions.
    spread: Option<(f64, f64)>,
}

impl TableRow {
    pub(super) fn new(size: usize, value: f64) -> TableRow {
        TableRow { size, value, spread: None }
    }

    /// Creates a row with the median of `times` in microseconds.
    pub(super) fn from_times(size: usize, times: Vec<Duration>) -> TableRow {
        let mut micros: Vec<f64> = times.iter().map(|time| time.as_secs_f64() * 1e6).collect();
        micros.sort_by(f64::total_cmp);
        let spread = Some((micros[0], micros[micros.len() - 1]));
        TableRow { size, value: micros[micros.len() / 2], spread }
    }
}

/// Calls `call` once untimed, then `calls` times in each repetition. Returns the mean time of a call
/// for each repetition.
pub(super) fn time_calls(repetitions: usize, calls: u32, mut call: impl FnMut()) -> Vec<Duration> {
    call();
    let measure = |_| {
        let started = Instant::now();
        for _ in 0..calls {
            call();
        }
        started.elapsed() / calls
    };
    (0..repetitions).map(measure).collect()
}

/// Returns the resident memory of this process in bytes, or 0 if it can't be read.
pub(super) fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Prints a table and the slope between its first and last row.
pub(super) fn print_table(title: &str, size: &str, unit: &str, rows: &[TableRow]) {
    println!("{title}");
    println!("{size:>12} {unit:>14} {:>24}", "min to max");
    for row in rows {
        let spread = row.spread.map(|(min, max)| format!("{min:.1} to {max:.1}"));
        println!("{:>12} {:>14.1} {:>24}", row.size, row.value, spread.unwrap_or_default());
    }
    if let (Some(first), Some(last)) = (rows.first(), rows.last()) {
        let slope = (last.value - first.value) / (last.size - first.size).max(1) as f64;
        println!("       slope {slope:>14.4} {unit} for each of {size}\n");
    }
}
