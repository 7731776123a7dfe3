//! Monotonic time of a host, passed as an explicit value.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on one host's boot clock, in microseconds.
///
/// The clock keeps running while the machine is suspended. Times of different hosts can't be
/// compared, so messages between hosts carry durations, never times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The time of boot.
    pub const ZERO: Time = Time(0);

    /// Creates a time from microseconds since boot.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Creates a time from milliseconds since boot.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the microseconds since boot.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}
