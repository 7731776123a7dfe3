//! Loads for requests that continue streams, which only targets of one software version can serve.

mod common;

use base::Time;
use common::{at, entry, layout, leader_of, model, orders, report, sync_report};
use fleet::{ModelDemand, OrderKind, SoftwareVersion, TargetEntry};
use mango_lead::Leader;

fn version(text: &str) -> SoftwareVersion {
    text.parse().unwrap()
}

/// Returns a leader of engines with their versions and models.
fn leader(engines: &[(&str, &str, &[&str])]) -> Leader {
    let mut leader = leader_of(layout(), &[]);
    let entries: Vec<TargetEntry> = engines
        .iter()
        .map(|(name, text, models)| TargetEntry {
            version: Some(version(text)),
            ..entry(name, models)
        })
        .collect();
    leader.update_targets(Time::ZERO, &entries);
    leader.plan(Time::ZERO);
    for (name, _, models) in engines {
        let name = name.parse().unwrap();
        leader.handle_engine_report(at(10), &name, at(5), Some(&report(0, false, models)));
    }
    leader
}

fn waiting_demand() -> ModelDemand {
    ModelDemand {
        model: model("a"),
        version: None,
        arrivals: 0,
        tokens: 0,
        waiting: 1,
        oldest_ms: 0,
        priority: 1,
    }
}

/// Has a daemon report requests that wait for model `a`. Returns the estimate in milliseconds.
fn report_waiting(leader: &mut Leader, now: Time, needed: Option<&str>) -> Option<u64> {
    let demand = ModelDemand { version: needed.map(version), ..waiting_demand() };
    let reply = leader.handle_sync(now, &sync_report("x", vec![demand]));
    let estimate = reply.outlooks.iter().find(|e| e.version == needed.map(version)).unwrap();
    estimate.ready_ms
}

/// Engines with their versions and models, the version that waiting requests need, and where the model is
/// loaded for them.
type LoadCase = (
    &'static [(&'static str, &'static str, &'static [&'static str])],
    &'static str,
    Option<&'static str>,
);

const CASES: [LoadCase; 6] = [
    (&[("t1", "v1", &["b"]), ("t2", "v2", &["a"])], "v1", Some("t1")),
    (&[("t1", "v2", &["a"]), ("t2", "v2", &[]), ("t3", "v1", &["b"])], "v1", Some("t3")),
    (&[("t1", "v1", &["a"]), ("t2", "v2", &[])], "v1", None),
    (&[("t1", "v1", &["a"]), ("t2", "v2", &[])], "v2", Some("t2")),
    (&[("t1", "v2", &["a"]), ("t2", "v2", &[])], "v1", None),
    (&[("t1", "v1", &[]), ("t2", "v2", &[])], "v2", Some("t2")),
];

/// Guards against taken-up streams that are all refused because their model is held at another version
/// only, and is never loaded at theirs.
#[test]
fn taken_up_streams() {
    for (engines, needed, expected) in CASES {
        let mut leader = leader(engines);
        report_waiting(&mut leader, at(2_500), Some(needed));
        let loads: Vec<_> = orders(&mut leader, at(2_600))
            .into_iter()
            .filter(|order| order.kind == OrderKind::Load && order.subject.model == model("a"))
            .map(|order| order.target.to_string())
            .collect();
        assert_eq!(
            loads.iter().map(String::as_str).collect::<Vec<_>>(),
            Vec::from_iter(expected),
            "{engines:?} {needed}"
        );
    }
}

/// Guards against a model that is loaded twice, for requests that begin streams and for others that
/// continue some.
#[test]
fn shared_loads() {
    for (first, second) in [(None, Some("v1")), (Some("v1"), None)] {
        let mut leader = leader(&[("t1", "v1", &["b"]), ("t2", "v1", &["c"]), ("t3", "v1", &[])]);
        let demand =
            |needed: Option<&str>| ModelDemand { version: needed.map(version), ..waiting_demand() };
        let report = sync_report("x", vec![demand(first), demand(second)]);
        leader.handle_sync(at(1_500), &report);
        let mut loads = 0;
        for ms in [1_500, 1_600, 1_700] {
            let planned = orders(&mut leader, at(ms));
            loads += planned.iter().filter(|order| order.subject.model == model("a")).count();
        }
        assert_eq!(loads, 1, "{first:?}, {second:?}");
    }
}

/// The estimate is for the targets that can serve the requests.
#[test]
fn load_estimates() {
    let mut leader = leader(&[("t1", "v1", &["b"]), ("t2", "v2", &["a"])]);
    assert_eq!(report_waiting(&mut leader, at(2_500), None), Some(0));
    assert_eq!(report_waiting(&mut leader, at(2_510), Some("v2")), Some(0));
    let ready_ms = report_waiting(&mut leader, at(2_520), Some("v1")).unwrap();
    assert!((1_000..20_000).contains(&ready_ms), "{ready_ms}");
}
