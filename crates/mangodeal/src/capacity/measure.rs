//! Timing, memory and tables.

use std::time::{Duration, Instant};

/// One measured point.
pub(super) struct Row {
    size: usize,
    value: f64,
    /// Smallest and largest of the repetitions.
    spread: Option<(f64, f64)>,
}

impl Row {
    pub(super) fn new(size: usize, value: f64) -> Row {
        Row { size, value, spread: None }
    }

    pub(super) fn timed(size: usize, times: Vec<Duration>) -> Row {
        let mut micros: Vec<f64> = times.iter().map(|time| time.as_secs_f64() * 1e6).collect();
        micros.sort_by(f64::total_cmp);
        let spread = Some((micros[0], micros[micros.len() - 1]));
        Row { size, value: micros[micros.len() / 2], spread }
    }
}

/// Returns the mean time of one call, for each repetition of `calls` calls.
pub(super) fn time_of(repetitions: usize, calls: u32, mut call: impl FnMut()) -> Vec<Duration> {
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

/// Returns the resident memory of this process.
pub(super) fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Prints a table with the slope between its ends.
pub(super) fn print_table(title: &str, size: &str, unit: &str, rows: &[Row]) {
    println!("{title}");
    println!("{size:>12} {unit:>14} {:>24}", "least to most");
    for row in rows {
        let spread = row.spread.map(|(least, most)| format!("{least:.1} to {most:.1}"));
        println!("{:>12} {:>14.1} {:>24}", row.size, row.value, spread.unwrap_or_default());
    }
    if let (Some(first), Some(last)) = (rows.first(), rows.last()) {
        let slope = (last.value - first.value) / (last.size - first.size).max(1) as f64;
        println!("       slope {slope:>14.4} {unit} for each of {size}\n");
    }
}
