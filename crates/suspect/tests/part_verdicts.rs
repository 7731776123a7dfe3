//! Verdicts on prompt parts under the loads that lead to them, and under ordinary crashes.

use std::time::Duration;

use base::Time;
use mango_suspect::{CrashId, CrashLedger, PartId, SuspectRequest, EVIDENCE_SPAN};

/// The first part of all requests, and the part that crashes targets.
const FIRST: PartId = PartId(1);
const GUILTY: PartId = PartId(0xdead);

fn ledger() -> CrashLedger {
    CrashLedger::new("host-1".parse().unwrap(), 1)
}

fn request(team: &str, parts: &[u64]) -> SuspectRequest {
    let parts = parts.iter().copied().map(PartId).collect();
    SuspectRequest { team: Some(team.parse().unwrap()), parts }
}

fn crash(number: u64) -> CrashId {
    CrashId { target: format!("t-{number}").parse().unwrap(), born_ms: number }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn answer(ledger: &mut CrashLedger, parts: &[u64]) {
    let parts: Vec<PartId> = parts.iter().copied().map(PartId).collect();
    ledger.record_answer(at(100), &parts, Duration::ZERO);
}

/// Cases: the crashes with their suspects (team, parts), the answers, the condemned sets.
#[test]
fn verdict_table() {
    type Suspects<'a> = &'a [(&'a str, &'a [u64])];
    type Sets<'a> = &'a [&'a [u64]];
    type Case<'a> = (&'a str, &'a [Suspects<'a>], Sets<'a>, Sets<'a>);
    let guilty: &[u64] = &[1, 0xdead];
    let cases: &[Case<'_>] = &[
        ("two crashes", &[&[("a", guilty)], &[("a", guilty)]], &[], &[]),
        (
            "a part that only ever came with the guilty one",
            &[&[("a", guilty)], &[("a", guilty)], &[("a", guilty)]],
            &[],
            &[&[1, 0xdead]],
        ),
        (
            "a first part that is answered elsewhere",
            &[&[("a", guilty)], &[("a", guilty)], &[("a", guilty)]],
            &[&[1]],
            &[&[0xdead]],
        ),
        (
            "a bystander at each crash",
            &[
                &[("a", guilty), ("b", &[1, 2])],
                &[("a", guilty), ("b", &[1, 3])],
                &[("a", guilty), ("b", &[1, 2])],
            ],
            &[&[1], &[2]],
            &[&[0xdead]],
        ),
        (
            "a part that does not always crash",
            &[&[("a", guilty)], &[("a", guilty)], &[("a", guilty)], &[("a", guilty)]],
            &[guilty, guilty, &[1], &[1], &[1]],
            &[&[0xdead]],
        ),
        (
            "ordinary crashes beside a part that is mostly answered",
            &[&[("a", &[1, 5])], &[("a", &[1, 5])], &[("a", &[1, 5])]],
            &[&[1, 5], &[1, 5], &[1, 5], &[1, 5], &[1, 5], &[1, 5], &[1, 5]],
            &[],
        ),
        (
            "two guilty parts",
            &[
                &[("a", &[1, 7])],
                &[("a", &[1, 8])],
                &[("a", &[1, 7])],
                &[("a", &[1, 8])],
                &[("a", &[1, 7])],
                &[("a", &[1, 8])],
            ],
            &[&[1]],
            &[&[7], &[8]],
        ),
        (
            "a guilty first part",
            &[&[("a", &[0xdead, 2])], &[("a", &[0xdead, 3])], &[("b", &[0xdead, 4])]],
            &[],
            &[&[0xdead]],
        ),
    ];
    for (name, crashes, answers, expected) in cases {
        let mut ledger = ledger();
        for (number, suspects) in crashes.iter().enumerate() {
            for (team, parts) in *suspects {
                ledger.record_crash(at(0), &crash(number as u64), request(team, parts));
            }
        }
        answers.iter().for_each(|parts| answer(&mut ledger, parts));
        ledger.update(at(2_000));
        let mut condemned: Vec<Vec<u64>> = ledger
            .verdicts()
            .iter()
            .map(|verdict| verdict.parts.iter().map(|part| part.0).collect())
            .collect();
        condemned.sort();
        let expected: Vec<Vec<u64>> = expected.iter().map(|parts| parts.to_vec()).collect();
        assert_eq!(condemned, expected, "{name}");
    }
}

/// Guards against two parts that always stand side by side in different requests: neither may be
/// condemned before the evidence is clear, and the guilty one must be in the end.
#[test]
fn ambiguous_parts() {
    let mut ledger = ledger();
    for number in 0..3 {
        ledger.record_crash(at(0), &crash(number), request("a", &[7]));
        ledger.record_crash(at(0), &crash(number), request("a", &[8]));
    }
    ledger.update(at(2_000));
    assert!(ledger.verdicts().is_empty());
    ledger.record_crash(at(2_000), &crash(3), request("a", &[7]));
    assert!(ledger.condemns(at(4_000), &request("a", &[7])).is_some());
    assert!(ledger.condemns(at(4_000), &request("a", &[8])).is_none());
}

/// Guards against one team that gets another team's part condemned by mixing it into its own
/// requests, each with a guilty part of its own.
#[test]
fn mixed_parts() {
    let mut ledger = ledger();
    for number in 0..6 {
        ledger.record_crash(at(0), &crash(number), request("a", &[9, 100 + number]));
    }
    assert!(ledger.condemns(at(2_000), &request("a", &[9, 200])).is_some());
    assert!(ledger.condemns(at(2_000), &request("b", &[9, 200])).is_none());
    // A crash in a request of the second team shows that the part is guilty for both.
    ledger.record_crash(at(2_000), &crash(6), request("b", &[9, 300]));
    assert!(ledger.condemns(at(4_000), &request("c", &[9, 400])).is_some());
}

/// Guards against mass crashes, such as the loss of a failure domain, that condemn popular parts.
#[test]
fn mass_crash() {
    let mut ledger = ledger();
    for number in 0..40 {
        let parts = [FIRST.0, 2 + number % 4, 1_000 + number % 20];
        ledger.record_crash(at(0), &crash(number), request("a", &parts));
    }
    for number in 0..200 {
        answer(&mut ledger, &[FIRST.0, 2 + number % 4, 1_000 + number % 20]);
    }
    ledger.update(at(2_000));
    assert!(ledger.verdicts().is_empty(), "{:?}", ledger.verdicts());
}

/// Guards against a sound history that protects a part which begins to crash targets.
#[test]
fn late_guilt() {
    let mut ledger = ledger();
    ledger.record_crash(at(0), &crash(0), request("a", &[FIRST.0, GUILTY.0]));
    (0..500).for_each(|_| answer(&mut ledger, &[FIRST.0, GUILTY.0]));
    for number in 1..4 {
        ledger.record_crash(at(200), &crash(number), request("a", &[FIRST.0, GUILTY.0]));
        (0..20).for_each(|_| answer(&mut ledger, &[FIRST.0]));
    }
    assert!(ledger.condemns(at(2_000), &request("a", &[FIRST.0, GUILTY.0])).is_some());
    assert!(ledger.condemns(at(2_000), &request("a", &[FIRST.0])).is_none());
}

/// Guards against evidence that doesn't add up over hosts, is counted twice, or is lost when the
/// host that reported it starts again.
#[test]
fn shared_evidence() {
    let names: Vec<base::Name> = (0..3).map(|n| format!("host-{n}").parse().unwrap()).collect();
    let mut ledgers: Vec<CrashLedger> =
        names.iter().map(|name| CrashLedger::new(name.clone(), 1)).collect();
    for (number, ledger) in ledgers.iter_mut().enumerate() {
        let suspect = request("a", &[FIRST.0, GUILTY.0]);
        ledger.record_crash(at(0), &crash(number as u64), suspect);
        ledger.record_answer(at(1), &[FIRST], Duration::ZERO);
        assert!(ledger.publish_due().is_some());
        let (number, evidence) = ledger.own_evidence();
        ledger.record_published(number, &evidence);
        assert!(ledger.publish_due().is_none());
    }
    let records: Vec<_> = ledgers.iter().map(|ledger| ledger.own_evidence().1).collect();
    let mut reader = CrashLedger::new("host-0".parse().unwrap(), 2);
    for _ in 0..2 {
        for (name, evidence) in names.iter().zip(&records) {
            let wire = mango_suspect::EvidenceWire::from(evidence);
            let text = serde_json::to_string(&wire).unwrap();
            let wire: mango_suspect::EvidenceWire = serde_json::from_str(&text).unwrap();
            let evidence = mango_suspect::HostEvidence::try_from(wire).unwrap();
            assert_eq!(records.iter().find(|record| **record == evidence), Some(&evidence));
            reader.apply_evidence(at(5), name, &evidence);
        }
    }
    let verdict = reader.condemns(at(2_000), &request("a", &[FIRST.0, GUILTY.0])).unwrap().clone();
    assert_eq!((verdict.parts, verdict.crashes.len()), (vec![GUILTY], 3));
    // What its former process saw stays part of the host's evidence.
    reader.mark_lost(at(7));
    assert_eq!(reader.publish_due(), Some(at(7)));
    assert_eq!(reader.own_evidence().1.crashes.len(), 1);
}

/// Guards against a verdict that ends while requests with the part still come, and against one that
/// never ends.
#[test]
fn verdict_end() {
    let mut ledger = ledger();
    let suspect = request("a", &[FIRST.0, GUILTY.0]);
    for number in 0..3 {
        ledger.record_crash(at(0), &crash(number), suspect.clone());
    }
    let mut now = at(0);
    for _ in 0..10 {
        now = now + EVIDENCE_SPAN / 2;
        ledger.expire(now);
        assert!(ledger.condemns(now, &suspect).is_some());
    }
    assert_eq!(ledger.used_since(now - EVIDENCE_SPAN).len(), 3);
    now = now + EVIDENCE_SPAN;
    ledger.expire(now);
    assert!(ledger.condemns(now, &suspect).is_none());
}

/// Guards against sending a request again that may crash a second target, and against withholding
/// that from sound ones beside it.
#[test]
fn second_attempts() {
    let mut ledger = ledger();
    let (sound, guilty) = (request("a", &[FIRST.0, 2]), request("a", &[FIRST.0, GUILTY.0]));
    answer(&mut ledger, &[FIRST.0, 2]);
    for suspect in [&sound, &guilty] {
        let may_resend = ledger.may_resend(at(200), &crash(0), suspect);
        assert_eq!(may_resend, suspect == &sound);
        ledger.record_crash(at(200), &crash(0), suspect.clone());
    }
    // At the next crash, the sound parts have not been answered since the last one.
    assert!(!ledger.may_resend(at(300), &crash(1), &sound));
    ledger.record_answer(at(301), &[FIRST, PartId(2)], Duration::ZERO);
    assert!(ledger.may_resend(at(302), &crash(1), &sound));
}

/// Guards against reports of answers that nobody needs any more.
#[test]
fn needless_reports() {
    let mut ledger = ledger();
    ledger.record_crash(at(0), &crash(0), request("a", &[FIRST.0, GUILTY.0]));
    let (number, evidence) = ledger.own_evidence();
    ledger.record_published(number, &evidence);
    ledger.record_answer(at(10), &[FIRST], Duration::from_millis(500));
    assert_eq!(ledger.publish_due(), Some(at(510)));
    let mut other = CrashLedger::new("host-2".parse().unwrap(), 5);
    other.apply_evidence(at(10), &"host-1".parse().unwrap(), &evidence);
    (0..3).for_each(|_| answer(&mut other, &[FIRST.0]));
    ledger.apply_evidence(at(20), &"host-2".parse().unwrap(), &other.own_evidence().1);
    // The part is cleared; what remains is to take it out of the report.
    assert!(!ledger.is_suspected(FIRST));
    assert!(ledger.publish_due().is_some_and(|due| due > at(510)));
}

/// Guards against a sound part that is condemned because the report of the guilty request arrives a
/// little later than those of its neighbours.
#[test]
fn late_report() {
    let (team_part, guilty) = (5, 0xdead);
    let mut ledger = ledger();
    for number in 0..2 {
        ledger.record_crash(at(0), &crash(number), request("a", &[team_part, guilty]));
    }
    ledger.record_crash(at(3_000), &crash(2), request("a", &[team_part]));
    assert!(ledger.condemns(at(3_001), &request("a", &[team_part])).is_none());
    assert!(ledger.condemns(at(3_001), &request("a", &[team_part, guilty])).is_some());
    ledger.record_crash(at(3_500), &crash(2), request("a", &[team_part, guilty]));
    ledger.record_answer(at(3_600), &[PartId(team_part)], Duration::ZERO);
    assert!(ledger.condemns(at(6_000), &request("a", &[team_part])).is_none());
    assert!(ledger.condemns(at(6_000), &request("a", &[guilty])).is_some());
}

/// Guards against a host that starts again and lets requests through until the evidence settles.
#[test]
fn old_evidence() {
    let mut reporter = ledger();
    for number in 0..3 {
        reporter.record_crash(at(0), &crash(number), request("a", &[GUILTY.0]));
    }
    let mut reader = CrashLedger::new("host-2".parse().unwrap(), 1);
    let evidence = reporter.own_evidence().1;
    reader.apply_old_evidence(at(10), &"host-1".parse().unwrap(), &evidence);
    assert!(reader.condemns(at(10), &request("a", &[GUILTY.0])).is_some());
}

/// Guards against a bystander that is condemned in a burst of crashes, of which only the first one has
/// settled.
#[test]
fn crash_burst() {
    let mut ledger = ledger();
    for number in 0..6 {
        let seen_at = at(if number == 0 { 0 } else { 1_000 });
        ledger.record_crash(seen_at, &crash(number), request("a", &[1, GUILTY.0]));
    }
    ledger.record_crash(at(0), &crash(0), request("b", &[1, 5]));
    assert!(ledger.condemns(at(1_600), &request("b", &[1, 5])).is_none());
    assert!(ledger.condemns(at(2_600), &request("b", &[1, 5])).is_none());
    assert!(ledger.condemns(at(2_600), &request("a", &[1, GUILTY.0])).is_some());
}

/// Guards against rare parts that are condemned by one event: many targets crash at the same moment,
/// and three of them were about to answer different requests with the part.
#[test]
fn one_moment() {
    let mut ledger = ledger();
    for number in 0..56 {
        let rare = if number < 3 { 7 } else { 100 + number };
        ledger.record_crash(at(5), &crash(number), request("a", &[FIRST.0, rare]));
    }
    (0..10).for_each(|_| answer(&mut ledger, &[FIRST.0]));
    assert!(ledger.condemns(at(4_000), &request("a", &[FIRST.0, 7])).is_none());
}
