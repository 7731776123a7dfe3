//! Placement and calls while a target limits the requests of all daemons.

mod common;

use std::time::Duration;

use base::{TargetName, Time};
use common::{at, entry, leader, model, orders, sync_report};
use fleet::{EngineOrder, ModelDemand, TargetPhase};
use limit::{LimitStatement, PermitUse, RequestRate};
use mango_lead::{Leader, LeaderAction};

fn statement(target: &str, limit: Option<f64>) -> LimitStatement {
    let rate = limit.map(|limit| RequestRate::new(limit).unwrap());
    LimitStatement { target: target.parse().unwrap(), born_ms: 1, rate, age_ms: 0 }
}

/// Has a daemon report requests for a model, and a limit.
fn report(leader: &mut Leader, now: Time, name: &str, arrivals: u32, limit: &LimitStatement) {
    let demand = ModelDemand {
        model: model(name),
        version: None,
        arrivals,
        tokens: u64::from(arrivals) * 900,
        waiting: 0,
        oldest_ms: 0,
        priority: 1,
    };
    let mut report = sync_report("2", vec![demand]);
    report.number = 1 + now.as_micros() / 1_000;
    report.limits = vec![limit.clone()];
    leader.handle_sync(now, &report);
}

/// Reports demand once a second and returns the orders.
fn run(leader: &mut Leader, rate: u32, limit: &LimitStatement, seconds: u64) -> Vec<EngineOrder> {
    let mut sent = Vec::new();
    for step in 1..seconds * 10 {
        let now = at(step * 100);
        if step % 10 == 0 {
            report(leader, now, "a", rate, limit);
        }
        sent.extend(orders(leader, now));
    }
    sent
}

/// Guards against a model in demand that stays only on a target which takes too few requests for
/// it, and against loads onto such a target.
#[test]
fn copy_elsewhere() {
    let cases = [
        ("too low a limit", Some(0.2), 1, true),
        ("a limit above the demand", Some(9.0), 1, false),
        ("no limit", None, 1, false),
        ("no demand", Some(0.0), 0, false),
    ];
    for (name, limit, rate, expected) in cases {
        let mut leader = leader(&[("t1", &["a", "b"]), ("t2", &["c", "d"]), ("t3", &["e", "f"])]);
        let sent = run(&mut leader, rate, &statement("t1", limit), 12);
        let unloads = sent.iter().filter(|order| order.target.as_str() != "t1");
        // The targets are full, so that a load begins with an unload.
        assert_eq!(unloads.count() > 0, expected, "{name}: {sent:?}");
        assert!(
            limit.is_none() || sent.iter().all(|order| order.target.as_str() != "t1"),
            "{name}"
        );
    }
}

/// Guards against reports that a limited target gets in addition to its limit.
#[test]
fn limited_reports() {
    let mut leader = leader(&[("t1", &["a"]), ("t2", &["b"])]);
    let target: TargetName = "t1".parse().unwrap();
    report(&mut leader, at(100), "a", 1, &statement("t1", Some(1.0)));
    // A lost report is requested again until one arrives.
    leader.handle_engine_report(at(200), &target, at(150), None);
    let mut reports = 0;
    for step in 0..1_000u64 {
        let now = at(200 + step * 10);
        for action in leader.plan(now) {
            if action == LeaderAction::Report(target.clone()) {
                reports += 1;
                leader.handle_engine_report(now, &target, now, None);
            }
        }
        assert!(leader.next_plan_at(now).is_none_or(|next| next > now), "the plan is always due");
    }
    assert!(reports <= 11, "{reports} in 10 s at a limit of 1 a second");
}

/// Guards against permits from a leader whose term is over or has not begun.
#[test]
fn permits_by_term() {
    let mut leader = leader(&[("t1", &["a"])]);
    let request = fleet::PermitRequest {
        statement: statement("t1", Some(10.0)),
        purpose: PermitUse::Request,
        cold: None,
    };
    assert!(leader.request_permit(at(0), &request).result().is_err(), "starts empty");
    assert!(leader.request_permit(at(1_000), &request).result().is_ok());
    let term_end = common::TERM_END;
    let late = term_end - Duration::from_millis(200);
    assert!(leader.request_permit(late, &request).result().is_err());
    // A restarted target has no limit until it names one.
    let mut restarted = entry("t1", &["a"]);
    (restarted.born_ms, restarted.phase) = (2, TargetPhase::Ready);
    leader.update_targets(at(2_000), &[restarted]);
    let request = fleet::PermitRequest {
        statement: LimitStatement { born_ms: 2, ..statement("t1", Some(10.0)) },
        purpose: PermitUse::Request,
        cold: None,
    };
    assert!(leader.request_permit(at(2_500), &request).result().is_err(), "starts empty");
    assert!(leader.request_permit(at(2_700), &request).result().is_ok());
}
