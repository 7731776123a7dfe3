//! Regression tests: runs of the simulated fleet that failed once.

mod fleet;

use std::time::Duration;

use fleet::step::Step;
use fleet::step::Step::*;
use fleet::SimFleet;

fn replay(seed: u64, fencing: bool, steps: Vec<Step>) {
    let mut fleet = SimFleet::new(seed, fencing);
    for step in steps {
        fleet.run_step(step);
    }
    fleet.finish();
}

/// A target restarts after the answer to a load order was lost.
#[test]
fn lost_order_answer() {
    let steps = vec![
        LoseServiceAnswers(1),
        Advance(21001),
        Propose { host: 0, key: None },
        Book { host: 0, key: 0 },
        Request { host: 0, model: 0, cost: 34, timeout_ms: 651 },
        Request { host: 0, model: 0, cost: 67, timeout_ms: 200 },
        ServiceDown(true),
        LoseServiceAnswers(3),
        Freeze { host: 2, before_actions: false },
        Advance(551),
        DelayMessages(36),
        CutService { host: 0, cut: true },
        Request { host: 1, model: 0, cost: 98, timeout_ms: 5001 },
        PartitionDomains(true),
        Advance(51),
        Advance(151),
        Advance(51),
        LoseServiceAnswers(2),
        Advance(1103),
        Advance(2994),
        DelayMessages(4234),
        Request { host: 0, model: 1, cost: 76, timeout_ms: 5318 },
        ServiceDelay(989),
        Advance(964),
        Advance(2633),
        LoseMessages(55),
        Thaw(2),
        Advance(965),
        Advance(2886),
        Request { host: 1, model: 2, cost: 84, timeout_ms: 1217 },
        Advance(9771),
        Advance(485),
        Request { host: 0, model: 1, cost: 170, timeout_ms: 4560 },
        Advance(9983),
        LoseOrderAnswers { target: 0, count: 2 },
        Advance(527),
        Kill(2),
        LoseMessages(10),
        ServiceDown(false),
        Advance(273),
        DelayMessages(2038),
        Request { host: 1, model: 2, cost: 144, timeout_ms: 6004 },
        DelayMessages(1497),
        Start(2),
        Advance(89),
        Advance(17713),
        Book { host: 1, key: 10 },
        Advance(1247),
        Book { host: 1, key: 6 },
        Propose { host: 1, key: None },
        Advance(9080),
        Advance(1585),
        Book { host: 1, key: 3 },
        Advance(2800),
        PartitionDomains(false),
        Advance(722),
        Request { host: 2, model: 0, cost: 169, timeout_ms: 5084 },
        Advance(1741),
        Advance(944),
        Advance(2543),
        Freeze { host: 1, before_actions: false },
        Advance(19885),
        Advance(7563),
        Advance(303),
        Thaw(1),
        ServiceDown(true),
        Advance(2103),
        RestartTarget(0),
    ];
    replay(6139430659668705106, false, steps);
}

/// Load orders take longer than the time after which a load is ordered again.
#[test]
fn slow_orders() {
    let steps = vec![
        CutService { host: 1, cut: true },
        Request { host: 1, model: 0, cost: 1, timeout_ms: 4951 },
        Request { host: 0, model: 0, cost: 148, timeout_ms: 1601 },
        Advance(951),
        DelayMessages(4503),
        Advance(5951),
        LoseMessages(9),
        Request { host: 0, model: 1, cost: 1, timeout_ms: 1139 },
        Advance(2451),
        Thaw(0),
        RestartTarget(1),
        Request { host: 2, model: 1, cost: 1, timeout_ms: 2914 },
        Advance(3000),
    ];
    replay(2871910468315135112, false, steps);
}

/// A request for a model that a former placer had reserved arrives at a host that does not watch
/// the service.
#[test]
fn reserve_of_former_placer() {
    let is_placer = |fleet: &SimFleet, index: usize| {
        fleet.hosts[index].node.as_ref().is_some_and(|node| node.is_placer(fleet.now))
    };
    // The host that claims first becomes the placer. Uses a run in which that is not the
    // third host.
    let mut fleets = (0..40).map(|seed| SimFleet::new(seed, true));
    let mut fleet = fleets
        .find(|fleet| !is_placer(fleet, 2))
        .expect("a run in which the third host is not the placer");
    let placer = (0..2)
        .find(|index| is_placer(&fleet, *index))
        .expect("the first or second host is the placer");
    // The first two hosts watch the service, so the third does not.
    fleet.kill(placer);
    fleet.advance(Duration::from_secs(8));
    assert!(
        is_placer(&fleet, 1 - placer) || is_placer(&fleet, 2),
        "no other host became the placer"
    );
    fleet.start(placer);
    fleet.advance(Duration::from_secs(8));
    // After one second, a demand is also sent to other failure domains. The host's own failure
    // domain must meet this demand before that.
    fleet.request_model(2, 1, 1, Duration::from_secs(5));
    fleet.advance(Duration::from_millis(900));
    let is_loaded = fleet.targets["helper-east"].has_replica(fleet::MODELS[1]);
    assert!(is_loaded, "the demanded model was not loaded\n{}", fleet.describe());
}
