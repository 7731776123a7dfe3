//! Placement: which target loads and evicts which model.

mod common;

use std::time::Duration;

use base::Time;
use common::{at, entry, leader, model, orders, report, sync_report};
use fleet::{ModelDemand, OrderKind, OrderReply};
use mango_lead::Leader;

/// Has a daemon report requests that arrived for a model, and the number that wait.
fn demand(leader: &mut Leader, now: Time, name: &str, arrivals: u32, waiting: u32) {
    let entry = ModelDemand {
        model: model(name),
        version: None,
        arrivals,
        tokens: u64::from(arrivals) * 6_000,
        waiting,
        oldest_ms: 0,
        priority: 1,
    };
    leader.handle_sync(now, &sync_report(name, vec![entry]));
}

/// More models than fit on the engines, each requested every few seconds. Replacing one by another
/// while no request waits would only keep engines from serving.
#[test]
fn no_churn() {
    let mut leader = leader(&[("t1", &["a", "b"]), ("t2", &["c", "d"])]);
    for ms in (0..20_000).step_by(500) {
        let name = common::MODELS[usize::try_from(ms / 500).unwrap() % 6];
        demand(&mut leader, at(100 + ms), name, 1, 0);
        assert_eq!(orders(&mut leader, at(110 + ms)), [], "at {ms}");
    }
}

/// Demand moves to a model that one engine holds. Replicas are added in place of idle models, and
/// stay while the demand oscillates around the value at which they were added.
#[test]
fn replicas_grow() {
    let mut leader = leader(&[("t1", &["a", "b"]), ("t2", &["c", "d"]), ("t3", &["e", "f"])]);
    let (mut now, mut grown, mut unloaded) = (at(100), 0, 0);
    for round in 0..60 {
        now = now + Duration::from_millis(500);
        demand(&mut leader, now, "a", if round % 2 == 0 { 4 } else { 2 }, 0);
        for order in orders(&mut leader, now) {
            leader.handle_order_reply(now, &order, OrderReply::Accepted);
            let mut held = leader.holdings(&order.target);
            match order.kind {
                OrderKind::Load => {
                    grown += usize::from(order.subject.model == model("a"));
                    held.push(order.subject.model.clone());
                }
                OrderKind::Unload => {
                    unloaded += usize::from(order.subject.model == model("a"));
                    held.retain(|name| *name != order.subject.model);
                }
            }
            let held: Vec<&str> = held.iter().map(|name| name.as_str()).collect();
            let sequence = order.expected.0 + 1;
            let later = now + Duration::from_millis(250);
            leader.handle_engine_report(
                later,
                &order.target,
                later,
                Some(&report(sequence, false, &held)),
            );
        }
    }
    assert!(grown >= 1, "no replica was added");
    assert_eq!(unloaded, 0, "an added replica was unloaded");
}

/// A model that requests wait for is loaded on the engine that has it on disk.
#[test]
fn weights_on_disk() {
    let mut leader = leader(&[("t1", &["a", "b"]), ("t2", &["c", "d"])]);
    // The second engine held `e` earlier.
    leader.update_targets(
        at(20),
        &[common::entry("t1", &["a", "b"]), common::entry("t2", &["c", "e"])],
    );
    leader.update_targets(
        at(30),
        &[common::entry("t1", &["a", "b"]), common::entry("t2", &["c", "d"])],
    );
    demand(&mut leader, at(100), "e", 1, 1);
    let first = orders(&mut leader, at(110));
    assert_eq!((first.len(), first[0].target.as_str()), (1, "t2"));
    assert!(!leader.loads()[0].2, "no load from the weight store is needed");
}

/// A model is on the disk of a target that is busy for a long time. Each report repeats that
/// requests wait for it. The estimated time to readiness counts down and doesn't start again.
#[test]
fn estimate_countdown() {
    let mut leader = leader(&[("t1", &["a", "d"])]);
    leader.handle_engine_report(
        at(50),
        &"t1".parse().unwrap(),
        at(45),
        Some(&report(0, false, &["a", "b"])),
    );
    // The only engine is busy with another load for a long time.
    demand(&mut leader, at(100), "c", 1, 1);
    let unload = orders(&mut leader, at(110));
    leader.handle_order_reply(at(115), &unload[0], OrderReply::Accepted);
    let estimate_ms = |leader: &mut Leader, now: u64| {
        let entry = ModelDemand {
            model: model("d"),
            version: None,
            arrivals: 0,
            tokens: 0,
            waiting: 1,
            oldest_ms: now - 200,
            priority: 1,
        };
        leader.handle_sync(at(now), &sync_report("d", vec![entry])).outlooks[0].ready_ms
    };
    let first = estimate_ms(&mut leader, 200).unwrap();
    assert!(first < 6_000, "a load from disk: {first}");
    assert_eq!(estimate_ms(&mut leader, 1_200), Some(first - 1_000));
    let store = estimate_ms(&mut leader, 200 + first + 1).unwrap();
    assert!(store >= 6_000, "a load from the store behind another one: {store}");
}

/// In a large fleet daemons report hundreds of times per second. The interval between plans grows
/// with the number of targets, so that a leader with little processor time keeps up with its
/// watches.
#[test]
fn spaced_plans() {
    for (count, is_spaced) in [(10, false), (40, true)] {
        let names: Vec<String> = (0..count).map(|index| format!("t{index}")).collect();
        let pairs: [&[&str]; 2] = [&["a", "b"], &["c", "d"]];
        let mut targets: Vec<(&str, &[&str])> =
            names.iter().zip(pairs.iter().cycle()).map(|(n, p)| (n.as_str(), *p)).collect();
        targets.push(("u0", &["e", "f"]));
        let mut leader = leader(&targets);
        assert_eq!(orders(&mut leader, at(100)), []);
        // The only target that holds two of the models leaves, and one of them is requested.
        targets.pop();
        let left: Vec<_> = targets.iter().map(|(name, models)| entry(name, models)).collect();
        leader.update_targets(at(105), &left);
        demand(&mut leader, at(106), "f", 1, 1);
        assert_eq!(orders(&mut leader, at(110)).is_empty(), is_spaced, "{count} targets");
        assert!(!orders(&mut leader, at(141)).is_empty() || !is_spaced, "{count} targets");
    }
}

/// A target that a daemon suspects to be dead and whose poll fails gets no loads until it reports
/// again.
#[test]
fn suspected_target() {
    let mut leader = leader(&[("t1", &["a", "b"]), ("t2", &["c", "d"])]);
    let mut report = sync_report("x", Vec::new());
    report.suspects = vec!["t1".parse().unwrap()];
    leader.handle_sync(at(1_000), &report);
    leader.plan(at(1_001));
    leader.handle_engine_report(at(1_100), &"t1".parse().unwrap(), at(1_001), None);
    demand(&mut leader, at(1_200), "e", 1, 1);
    let first = orders(&mut leader, at(1_210));
    assert!(first.iter().all(|order| order.target.as_str() == "t2"), "{first:?}");
    assert!(!first.is_empty());
}

/// Engines register one after the other at the start, so that a model seems to have no replica
/// while its target isn't listed yet. Loading it then would evict another model for nothing.
#[test]
fn growing_list() {
    let mut leader = leader(&[("t1", &["a", "b"])]);
    let mut entries = vec![entry("t1", &["a", "b"])];
    leader.update_targets(at(20), &entries);
    for (step, (name, models)) in
        [("t2", ["c", "d"]), ("t3", ["a", "b"]), ("t4", ["e", "f"])].iter().enumerate()
    {
        let now = at(1_000 * (step as u64 + 1));
        entries.push(entry(name, models));
        leader.update_targets(now, &entries);
        let name = name.parse().unwrap();
        leader.handle_engine_report(now, &name, now, Some(&report(0, false, models)));
        assert_eq!(orders(&mut leader, now + Duration::from_millis(500)), [], "after {step}");
    }
    assert_eq!(leader.loads(), []);
}

/// An engine with the only replica of a model in demand is lost, and every request for the model is
/// rejected at once, since its load would take too long. The model is loaded although no request
/// waits: a rarely used model is evicted for it, and it goes before extra replicas of other models.
#[test]
fn refused_model() {
    let mut leader = leader(&[("t1", &["a", "b"]), ("t2", &["c", "d"]), ("t3", &["a", "f"])]);
    for round in 0..16 {
        let now = at(100 + round * 250);
        demand(&mut leader, now, "e", 2, 0);
        demand(&mut leader, now, "a", 4, 0);
        demand(&mut leader, now, "c", 1, 0);
    }
    orders(&mut leader, at(4_200));
    let loads = leader.loads();
    assert!(loads.iter().any(|(_, name, _)| *name == model("e")), "{loads:?}");
}
