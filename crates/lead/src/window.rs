//! Rate limit of loads from the weight store, over the fleet.

use std::time::Duration;

use base::Time;

/// Longest time from the sending of an order to the start of its load.
const START_LAG: Duration = Duration::from_millis(800);

/// A sliding window that limits how many loads begin in any period of its length.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use base::Time;
/// use mango_lead::LoadWindow;
///
/// let mut window = LoadWindow::new(Duration::from_secs(5));
/// assert!(window.has_room(Time::ZERO, 0.2));
/// window.record_start(Time::ZERO);
/// assert!(!window.has_room(Time::from_millis(4_000), 0.2));
/// assert!(window.has_room(Time::from_millis(6_000), 0.2));
/// ```
#[derive(Clone, Debug)]
pub struct LoadWindow {
    span: Duration,
    starts: Vec<Time>,
}

impl LoadWindow {
    /// Creates an empty window of the given length.
    pub fn new(span: Duration) -> LoadWindow {
        LoadWindow { span, starts: Vec::new() }
    }

    /// Returns whether another load may begin now. The limit is `per_second` on average over the
    /// window, and at least one load per window.
    pub fn has_room(&mut self, now: Time, per_second: f64) -> bool {
        let span = self.span + START_LAG;
        self.starts.retain(|at| now.since(*at) < span);
        (self.starts.len() as f64 + 1.0) <= (per_second * self.span.as_secs_f64()).max(1.0)
    }

    /// Records a load that begins now.
    pub fn record_start(&mut self, now: Time) {
        self.starts.push(now);
    }
}
