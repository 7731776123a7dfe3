//! Daemons whose layout is older than the one that others have.

use std::time::Duration;

use base::{Name, Time};
use fleet::LayoutVersion;
use mango_lead::{LayoutCensus, LayoutLag, LayoutStragglers};

const BOUND: Duration = Duration::from_secs(4);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn version(number: u64) -> LayoutVersion {
    LayoutVersion(number)
}

/// Guards against a daemon that holds an old layout for good without a line in its log.
#[test]
fn reports_lag() {
    let mut lag = LayoutLag::new(BOUND);
    let mut reported = Vec::new();
    for ms in (0..20_000).step_by(400) {
        let known = if ms < 1_000 { version(7) } else { version(8) };
        lag.record_known(at(ms), known, version(7));
        reported.extend(lag.take_report(at(ms)).map(|(latest, behind)| (ms, latest.0, behind)));
    }
    let seconds = |tenths: u64| Duration::from_millis(tenths * 100);
    let expected = [(3_200, 8, seconds(20)), (8_400, 8, seconds(72)), (13_600, 8, seconds(124))];
    assert_eq!(reported[..3], expected);
    assert!(reported.len() <= 4, "{reported:?}");
}

/// Guards against a lag that seems to begin anew with each version, or that ends with one that isn't the
/// latest.
#[test]
fn lag_begins_once() {
    let mut lag = LayoutLag::new(BOUND);
    for (ms, latest) in [(1_000, 8), (1_500, 9), (2_000, 11)] {
        lag.record_known(at(ms), version(latest), version(7));
    }
    assert_eq!(lag.behind(at(3_000)), Some(Duration::from_millis(2_000)));
    lag.record_in_force(version(9));
    assert_eq!(lag.behind(at(3_000)), Some(Duration::from_millis(2_000)));
    lag.record_in_force(version(11));
    assert_eq!(lag.behind(at(3_000)), None);
    // An older version at another daemon says nothing.
    lag.record_known(at(4_000), version(8), version(11));
    assert_eq!(lag.behind(at(4_000)), None);
}

/// Guards against old layouts in a fleet of which its leader reports nothing.
#[test]
fn counts_stragglers() {
    let mut census = LayoutCensus::default();
    let host = |number: u64| format!("host-{number}").parse::<Name>().unwrap();
    for ms in (0..6_000).step_by(400) {
        for number in 0..295 {
            let stated = match number {
                0..=2 if ms > 1_000 => version(7 - number),
                _ => version(8),
            };
            // One of the old ones ends and reports no more.
            if number == 2 && ms > 2_000 {
                continue;
            }
            census.record(at(ms), &host(number), stated, version(8));
        }
    }
    let longest = Duration::from_millis(4_800);
    let expected = LayoutStragglers { daemons: 3, oldest: version(5), longest };
    assert_eq!(census.stragglers(at(6_000), Duration::ZERO), Some(expected));
    assert_eq!(census.take_report(at(6_000), BOUND), Some(expected));
    assert_eq!(census.take_report(at(6_400), BOUND), None, "once in a while");
    census.record(at(11_500), &host(0), version(8), version(8));
    census.record(at(11_500), &host(1), version(7), version(8));
    let left = census.stragglers(at(12_000), Duration::ZERO).unwrap();
    assert_eq!((left.daemons, left.oldest), (1, version(7)));
    census.record(at(12_000), &host(1), version(8), version(8));
    assert_eq!(census.stragglers(at(12_000), Duration::ZERO), None);
}
