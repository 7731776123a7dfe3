//! Number of permits in any window, whatever is asked for and however the limit changes.

use std::time::Duration;

use base::Time;
use mango_limit::{PermitPool, PermitUse, RequestRate, PERMIT_VALIDITY, PROBE_INTERVAL};

/// Lowest rate at which permits are issued, so that the end of a limit is noticed.
const MIN_RATE: f64 = 0.1;
const STEP: Duration = Duration::from_millis(5);

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).unwrap()
}

/// Returns the largest number of times within `window`, where each time may be delayed by the
/// validity of a permit.
fn busiest(times: &[Time], window: Duration) -> usize {
    let count = |start: &Time| {
        times.iter().filter(|at| **at >= *start && at.since(*start) < window).count()
    };
    times.iter().map(count).max().unwrap_or(0)
}

/// Guards against more requests than a limit allows in any window, when permits are asked for
/// without pause and used as late as possible.
#[test]
fn greedy_callers() {
    for limit in [0.0, 0.2, 0.9, 1.0, 2.5, 10.0, 64.0] {
        let mut pool = PermitPool::new(Time::ZERO, rate(limit));
        let mut times = Vec::new();
        let mut now = Time::ZERO;
        while now < Time::from_millis(60_000) {
            // Bursts of demand with pauses in which permits accrue.
            let is_pause = now.as_micros() / 1_000_000 % 7 == 3;
            while !is_pause && pool.take(now, PermitUse::Request).is_ok() {
                // Every other permit is used only at the end of its validity.
                let is_late = times.len() % 2 == 1;
                times.push(if is_late { now + PERMIT_VALIDITY } else { now });
            }
            now = now + STEP;
        }
        // In the shortest window a late request can meet the next one.
        let spans = [(1, PERMIT_VALIDITY), (4, Duration::ZERO), (10, Duration::ZERO)];
        for (seconds, slack) in spans {
            let window = Duration::from_secs(seconds);
            let most = (limit.max(MIN_RATE) * (window + slack).as_secs_f64()).floor() as usize + 1;
            let found = busiest(&times, window);
            assert!(found <= most, "{found} in {seconds} s at {limit} a second");
        }
        // At most a fifth of the limit is left unused, except in the nine pauses of a second.
        let used = times.len() as f64 / 51.0;
        assert!(used >= limit * 0.8 - 0.1, "{used} a second at {limit}");
    }
}

/// Guards against permits saved up at a higher limit being used after the limit was lowered.
#[test]
fn lowered_limit() {
    let mut pool = PermitPool::new(Time::ZERO, rate(100.0));
    let lowered_at = Time::from_millis(2_000);
    pool.set_rate(lowered_at, rate(1.0));
    let mut issued = 0;
    for step in 0..800 {
        issued += usize::from(pool.take(lowered_at + STEP * step, PermitUse::Request).is_ok());
    }
    assert!(issued <= 5, "{issued} in 4 s");
}

/// Guards against orders and probes adding to the limit instead of using it.
#[test]
fn shared_purposes() {
    let mut pool = PermitPool::new(Time::ZERO, rate(1.0));
    let mut issued = 0;
    for step in 0..8_000u32 {
        let purposes = [PermitUse::Order, PermitUse::Report, PermitUse::Probe, PermitUse::Request];
        let purpose = purposes[step as usize % purposes.len()];
        issued += usize::from(pool.take(Time::ZERO + STEP * step, purpose).is_ok());
    }
    assert!(issued <= 41, "{issued} in 40 s");
}

/// Guards against callers that are all sent back at the same time, and against a hint after which
/// nothing has become available.
#[test]
fn spread_hints() {
    let mut pool = PermitPool::new(Time::ZERO, rate(2.0));
    let now = Time::from_millis(100);
    let hints: Vec<Duration> =
        (0..5).map(|_| pool.take(now, PermitUse::Request).unwrap_err().hint).collect();
    assert!(hints.windows(2).all(|pair| pair[1] > pair[0]), "{hints:?}");
    assert!(pool.take(now + hints[0], PermitUse::Request).is_ok());
    for _ in 0..1_000 {
        let hint = pool.take(now, PermitUse::Request).err().map(|denial| denial.hint);
        assert!(hint.is_none_or(|hint| hint <= Duration::from_secs(11)));
    }
}

/// Guards against probes while other requests already show whether the limit holds.
#[test]
fn rare_probes() {
    let mut pool = PermitPool::new(Time::ZERO, rate(10.0));
    let first = Time::ZERO + PROBE_INTERVAL;
    assert!(pool.take(first, PermitUse::Probe).is_ok());
    let soon = first + Duration::from_millis(500);
    let denial = pool.take(soon, PermitUse::Probe).unwrap_err();
    assert_eq!(denial.next, PROBE_INTERVAL - Duration::from_millis(500));
    assert!(pool.take(soon, PermitUse::Request).is_ok());
    assert!(pool.take(first + PROBE_INTERVAL, PermitUse::Probe).is_err());
}
