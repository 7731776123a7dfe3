//! What a daemon believes of a target's limit after answers and statements in any order.

use std::time::Duration;

use base::{TargetName, Time};
use mango_limit::{LimitNotice, LimitStatement, LimitTable, PermitDenial, PermitUse, RequestRate};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).unwrap()
}

fn target() -> TargetName {
    "engine-1".parse().unwrap()
}

/// An answer that arrived, when its request was sent, what it says, and whether it is complete.
type Answer = (u64, u64, LimitNotice, bool);

fn table_after(answers: &[Answer]) -> LimitTable {
    let mut table = LimitTable::default();
    for (now, sent, notice, is_complete) in answers {
        table.record_notice(at(*now), (&target(), 7), at(*sent), *notice, *is_complete);
    }
    table
}

/// Guards against a limit that is lost by an answer that says nothing about it, or that doesn't end.
#[test]
fn ending_answers() {
    let named = |limit| LimitNotice::Named(rate(limit));
    let cases: [(&str, &[Answer], Option<f64>); 9] = [
        ("no answer", &[], None),
        ("named", &[(1_000, 900, named(2.0), true)], Some(2.0)),
        ("named by an error", &[(1_000, 900, named(2.0), false)], Some(2.0)),
        ("changed", &[(1_000, 900, named(2.0), true), (1_100, 900, named(5.0), true)], Some(5.0)),
        (
            "ended",
            &[(1_000, 900, named(2.0), true), (2_000, 1_500, LimitNotice::Absent, true)],
            None,
        ),
        (
            "asked before the limit was named",
            &[(1_000, 900, named(2.0), true), (9_000, 999, LimitNotice::Absent, true)],
            Some(2.0),
        ),
        (
            "an incomplete answer",
            &[(1_000, 900, named(2.0), true), (9_000, 8_000, LimitNotice::Absent, false)],
            Some(2.0),
        ),
        (
            "a malformed value",
            &[(1_000, 900, named(2.0), true), (9_000, 8_000, LimitNotice::Malformed, true)],
            Some(2.0),
        ),
        (
            "named again",
            &[
                (1_000, 900, named(2.0), true),
                (2_000, 1_500, LimitNotice::Absent, true),
                (2_100, 2_000, named(3.0), true),
            ],
            Some(3.0),
        ),
    ];
    for (name, answers, expected) in cases {
        let found = table_after(answers).rate(&target(), 7);
        assert_eq!(found, expected.map(rate), "{name}");
    }
    // Silence doesn't end a limit, and another start of the target has none.
    let table = table_after(&[(1_000, 900, named(2.0), true)]);
    assert_eq!(table.statement(at(900_000), &target()).unwrap().rate, Some(rate(2.0)));
    assert_eq!(table.rate(&target(), 8), None);
}

/// Guards against older statements of other daemons overriding newer ones.
#[test]
fn late_statements() {
    let statement = |born_ms, limit: Option<f64>, age_ms| LimitStatement {
        target: target(),
        born_ms,
        rate: limit.map(rate),
        age_ms,
    };
    let cases = [
        ("newer value", statement(7, Some(1.0), 100), Some(1.0)),
        ("older value", statement(7, Some(9.0), 5_000), Some(2.0)),
        ("older end", statement(7, None, 5_000), Some(2.0)),
        ("end just after the limit was named", statement(7, None, 3_800), Some(2.0)),
        ("newer end", statement(7, None, 1_000), None),
        ("earlier start", statement(6, Some(9.0), 0), Some(2.0)),
    ];
    for (name, statement, expected) in cases {
        let mut table = table_after(&[(1_000, 900, LimitNotice::Named(rate(2.0)), true)]);
        let is_changed = table.apply_statement(at(5_000), &statement);
        assert_eq!(table.rate(&target(), 7), expected.map(rate), "{name}");
        assert_eq!(is_changed, expected != Some(2.0), "{name}");
    }
    let mut table = table_after(&[(1_000, 900, LimitNotice::Named(rate(2.0)), true)]);
    assert!(table.apply_statement(at(5_000), &statement(8, Some(4.0), 0)));
    assert_eq!((table.rate(&target(), 7), table.rate(&target(), 8)), (None, Some(rate(4.0))));
}

/// Guards against a denied probe blocking requests that only this target can serve.
#[test]
fn separate_pauses() {
    let mut table = table_after(&[(0, 0, LimitNotice::Named(rate(2.0)), true)]);
    let denial = PermitDenial { next: Duration::from_secs(2), hint: Duration::from_secs(3) };
    let now = at(5_000);
    assert!(table.may_probe(now, &target(), 7) && table.may_ask(now, &target()));
    table.record_ask(now, &target(), PermitUse::Probe);
    table.record_denial(now, &target(), PermitUse::Probe, denial);
    assert!(!table.may_probe(at(6_900), &target(), 7) && table.may_ask(now, &target()));
    table.record_denial(now, &target(), PermitUse::Request, denial);
    assert!(!table.may_ask(at(6_900), &target()) && table.may_ask(at(7_000), &target()));
    assert_eq!(table.return_wait(now, &target()), denial.hint);
}

/// Guards against a large fleet that asks for probes as often per daemon as a small one.
#[test]
fn large_fleet_probes() {
    for (daemons, pause) in [(1, 1_000), (8, 1_000), (295, 36_875)] {
        let mut table = table_after(&[(0, 0, LimitNotice::Named(rate(2.0)), true)]);
        table.record_ask(at(5_000), &target(), PermitUse::Probe);
        assert!(!table.may_probe(at(5_000 + pause - 1), &target(), daemons), "{daemons}");
        assert!(table.may_probe(at(5_000 + pause), &target(), daemons), "{daemons}");
    }
}

/// Guards against the daemons of a large fleet that all ask for their first probe at the same time,
/// and then none for a long time.
#[test]
fn spread_probes() {
    let mut due = vec![0; 40];
    for seed in 0..295 {
        let mut table = LimitTable::new(seed);
        let notice = LimitNotice::Named(rate(2.0));
        table.record_notice(at(0), (&target(), 7), at(0), notice, true);
        let second = (0..40).find(|second| table.may_probe(at(second * 1_000), &target(), 295));
        due[second.unwrap() as usize] += 1;
    }
    assert!(due[2..36].iter().all(|count| (1..=20).contains(count)), "{due:?}");
}
