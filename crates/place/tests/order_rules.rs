//! Tests when an order counts as resolved, and that its replica stays recorded until then.

use std::time::Duration;

use base::{ByteSize, Fence, Incarnation, ModelName, OrderId, Revision, Seat, TargetName, Time};
use config::{Object, Snapshot, Versioned};
use mango_place::{
    HostState, IdlePolicy, LoadOrder, ModelDemand, OrderKind, OrderMessage, OrderOutcome, Phase,
    PlaceAction, PlaceConfig, Placer, Replica, ReplicaReport, TargetPlan, TargetReport,
    WriteOutcome,
};
use serde_json::json;

/// An order of the previous term, issued by another daemon.
const FORMER_ORDER: OrderId = OrderId(5 << 24 | 1);

fn seat(at: u64) -> Seat {
    let address = format!("10.0.0.{at}:1").parse().unwrap();
    Seat { address, incarnation: Incarnation(at) }
}

fn model() -> ModelName {
    "lace".parse().unwrap()
}

fn target() -> TargetName {
    "t".parse().unwrap()
}

/// A placer with one simulated target. The harness executes the actions at once.
struct Harness {
    placer: Placer,
    snapshot: Snapshot,
    host: HostState,
    now: Time,
    report: TargetReport,
    plan: TargetPlan,
    sent: Vec<OrderMessage>,
    issuer_asks: usize,
    revision: u64,
}

impl Harness {
    /// Creates a placer at the start of a term. The plan has an unresolved load order of a former
    /// issuer.
    fn new(fencing: bool) -> Harness {
        let objects = [
            json!({"kind": "model", "name": "lace", "memory": 60}),
            json!({"kind": "placement", "name": "p", "models": "", "targets": "", "copies": 1}),
            json!({"kind": "target", "name": "t", "domain": "east", "address": "127.0.0.1:1",
                   "memory": 100, "fencing": fencing}),
        ];
        let versioned = |value| Versioned {
            revision: Revision(1),
            object: std::sync::Arc::new(serde_json::from_value::<Object>(value).unwrap()),
        };
        let snapshot = Snapshot::new(Revision(1), None, objects.map(versioned));
        let order = LoadOrder { id: FORMER_ORDER, issuer: seat(1), resolved: false };
        let mut plan = TargetPlan::default();
        plan.replicas.insert(model(), Replica::new(ByteSize(60), Phase::Loading, vec![order]));
        let config = PlaceConfig::default()
            .idle_policy(IdlePolicy::Fixed(Duration::from_secs(3)))
            .order_drain(Duration::from_secs(30));
        let mut placer = Placer::new(seat(2), "east".parse().unwrap(), config);
        let now = Time::from_millis(1_000);
        placer.begin_term(now, Fence(6), [(target(), Revision(7), plan.clone())]);
        let host = HostState {
            has_lease: true,
            service_up: true,
            seats: Some(vec![seat(1), seat(2)]),
            ..HostState::default()
        };
        let report = TargetReport { boot: 1, ..TargetReport::default() };
        let (sent, issuer_asks, revision) = (Vec::new(), 0, 7);
        Harness { placer, snapshot, host, now, report, plan, sent, issuer_asks, revision }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 10 {
            self.now = self.now + Duration::from_millis(100);
            self.placer.apply_report(self.now, &target(), self.now, self.report.clone());
            for action in self.placer.tick(self.now, &self.snapshot, &self.host) {
                self.execute(action);
            }
        }
    }

    fn execute(&mut self, action: PlaceAction) {
        match action {
            PlaceAction::Record(write) => {
                self.revision += 1;
                self.plan = write.plan;
                let outcome = WriteOutcome::Recorded(Revision(self.revision));
                self.placer.finish_write(self.now, &write.target, outcome);
            }
            PlaceAction::ReadLedger(model) => {
                let read = Some((Revision(0), Default::default()));
                self.placer.finish_ledger_read(self.now, &model, read);
            }
            PlaceAction::Send(message) => {
                if message.kind == OrderKind::Load {
                    self.load(message.id);
                } else {
                    self.report.replicas.clear();
                }
                let (target, id) = (message.target.clone(), message.id);
                self.placer.finish_send(self.now, &target, id, OrderOutcome::Accepted);
                self.sent.push(message);
            }
            PlaceAction::AskIssuer(..) => self.issuer_asks += 1,
            _ => {}
        }
    }

    fn load(&mut self, id: OrderId) {
        self.report.orders.push(id);
        let report = ReplicaReport { model: model(), ready: true, running: 0, served: 0 };
        self.report.replicas = vec![report];
    }

    fn demand_model(&mut self) {
        let time_left = Duration::from_secs(60);
        let demand = ModelDemand { model: model(), time_left, waiting: 1, extra: false };
        self.placer.add_demand(self.now, &demand);
    }

    /// Loads the model for a request and runs until it is unloaded as idle.
    fn load_and_unload(&mut self) {
        self.run(3);
        self.demand_model();
        self.run(1);
        assert_eq!(self.sent.len(), 1, "the recorded replica gets a new load order");
        assert_eq!(self.sent[0].kind, OrderKind::Load);
        assert!(self.sent[0].id > FORMER_ORDER);
        self.run(12);
        assert!(self.report.replicas.is_empty(), "an idle replica is unloaded");
    }

    fn is_recorded(&self) -> bool {
        self.plan.replicas.contains(&model())
    }
}

#[test]
fn target_without_fencing() {
    let mut harness = Harness::new(false);
    harness.load_and_unload();
    assert!(harness.is_recorded(), "the former issuer's order may still arrive");
    assert!(harness.issuer_asks > 0, "the issuer is asked");
    // The order arrives late. Its memory was not reused meanwhile.
    harness.load(FORMER_ORDER);
    harness.run(12);
    assert!(!harness.is_recorded(), "the target listed the order, and the replica is gone");
}

#[test]
fn target_with_fencing() {
    let mut harness = Harness::new(true);
    harness.load_and_unload();
    assert!(!harness.is_recorded(), "a later order was acknowledged");
}

#[test]
fn disowned_order() {
    let mut harness = Harness::new(false);
    harness.load_and_unload();
    harness.placer.apply_disowned(harness.now, &seat(3), &[FORMER_ORDER]);
    harness.run(2);
    assert!(harness.is_recorded(), "only the issuer can disown its order");
    harness.placer.apply_disowned(harness.now, &seat(1), &[FORMER_ORDER]);
    harness.run(2);
    assert!(!harness.is_recorded());
}

#[test]
fn gone_issuer() {
    let mut harness = Harness::new(false);
    harness.load_and_unload();
    harness.host.seats = Some(vec![seat(2)]);
    harness.run(20);
    assert!(harness.is_recorded(), "the order may still arrive before the drain time has passed");
    harness.run(20);
    assert!(!harness.is_recorded());
}

#[test]
fn ended_lease() {
    let mut harness = Harness::new(false);
    harness.host.has_lease = false;
    harness.run(3);
    harness.demand_model();
    harness.run(3);
    assert!(harness.sent.is_empty(), "a placer without a lease must not send orders");
}

#[test]
fn repeated_disown() {
    let mut placer = Harness::new(false).placer;
    placer.end_term();
    let order = OrderId(6 << 24 | 9);
    assert_eq!(placer.disown_orders(&[order]), [order]);
    assert_eq!(placer.disown_orders(&[order]), [order]);
}
