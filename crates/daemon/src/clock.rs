//! The host's clocks.

use base::Time;
use rustix::time::{clock_gettime, ClockId};

/// Reads `CLOCK_BOOTTIME`, which also advances while the machine is suspended.
pub fn boot_time() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    Time::from_micros(seconds * 1_000_000 + nanos / 1_000)
}

/// Returns the wall-clock time in milliseconds since 1970, for log lines and the log of
/// changes only.
pub fn wall_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}
