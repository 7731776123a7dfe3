//! When an order is resolved, and what stays counted until then.

use std::time::Duration;

use base::{ByteSize, Fence, Incarnation, ModelName, OrderId, Revision, Seat, TargetName, Time};
use config::{Object, Snapshot, Versioned};
use mango_place::{
    HostState, IdlePolicy, LoadOrder, ModelWant, OrderKind, OrderMessage, OrderOutcome, Phase,
    PlaceAction, PlaceConfig, Placer, Replica, ReplicaReport, TargetPlan, TargetReport,
    WriteOutcome,
};
use serde_json::json;

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

/// A placer with one target, driven action by action.
struct Bench {
    placer: Placer,
    snapshot: Snapshot,
    host: HostState,
    now: Time,
    report: TargetReport,
    plan: TargetPlan,
    sent: Vec<OrderMessage>,
    asked: usize,
    revision: u64,
}

impl Bench {
    /// A placer in its first term, over a plan in which a former seat's load is unresolved.
    fn new(fencing: bool) -> Bench {
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
        placer.begin(now, Fence(6), [(target(), Revision(7), plan.clone())]);
        let host = HostState {
            leased: true,
            service_up: true,
            seats: Some(vec![seat(1), seat(2)]),
            ..HostState::default()
        };
        let report = TargetReport { boot: 1, ..TargetReport::default() };
        let (sent, asked, revision) = (Vec::new(), 0, 7);
        Bench { placer, snapshot, host, now, report, plan, sent, asked, revision }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 10 {
            self.now = self.now + Duration::from_millis(100);
            self.placer.report(self.now, &target(), self.now, self.report.clone());
            for action in self.placer.tick(self.now, &self.snapshot, &self.host) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: PlaceAction) {
        match action {
            PlaceAction::Record(write) => {
                self.revision += 1;
                self.plan = write.plan;
                let outcome = WriteOutcome::Recorded(Revision(self.revision));
                self.placer.written(self.now, &write.target, outcome);
            }
            PlaceAction::ReadCopies(model) => {
                let read = Some((Revision(0), Default::default()));
                self.placer.copies_read(self.now, &model, read);
            }
            PlaceAction::Send(message) => {
                if message.kind == OrderKind::Load {
                    self.load(message.id);
                } else {
                    self.report.replicas.clear();
                }
                let (target, id) = (message.target.clone(), message.id);
                self.placer.sent(self.now, &target, id, OrderOutcome::Accepted);
                self.sent.push(message);
            }
            PlaceAction::AskIssuer(..) => self.asked += 1,
            _ => {}
        }
    }

    fn load(&mut self, id: OrderId) {
        self.report.orders.push(id);
        let report = ReplicaReport { model: model(), ready: true, running: 0, served: 0 };
        self.report.replicas = vec![report];
    }

    fn want(&mut self) {
        let time_left = Duration::from_secs(60);
        let want = ModelWant { model: model(), time_left, waiting: 1, extra: false };
        self.placer.want(self.now, &want);
    }

    /// Loads the model for a request and lets it fall idle.
    fn use_once(&mut self) {
        self.run(3);
        self.want();
        self.run(1);
        assert_eq!(self.sent.len(), 1, "the recorded replica is ordered anew");
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
fn ignored_fence() {
    let mut bench = Bench::new(false);
    bench.use_once();
    assert!(bench.is_recorded(), "the former seat's order may still arrive");
    assert!(bench.asked > 0, "the issuer is asked");
    // The order arrives late; its memory was never given away.
    bench.load(FORMER_ORDER);
    bench.run(12);
    assert!(!bench.is_recorded(), "the target listed the order, and the replica is gone");
}

#[test]
fn checked_fence() {
    let mut bench = Bench::new(true);
    bench.use_once();
    assert!(!bench.is_recorded(), "a later order was acknowledged");
}

#[test]
fn disowned_order() {
    let mut bench = Bench::new(false);
    bench.use_once();
    bench.placer.disowned(bench.now, &seat(3), &[FORMER_ORDER]);
    bench.run(2);
    assert!(bench.is_recorded(), "another seat speaks for the issuer");
    bench.placer.disowned(bench.now, &seat(1), &[FORMER_ORDER]);
    bench.run(2);
    assert!(!bench.is_recorded());
}

#[test]
fn gone_issuer() {
    let mut bench = Bench::new(false);
    bench.use_once();
    bench.host.seats = Some(vec![seat(2)]);
    bench.run(20);
    assert!(bench.is_recorded(), "the order may still be on the wire");
    bench.run(20);
    assert!(!bench.is_recorded());
}

#[test]
fn ended_lease() {
    let mut bench = Bench::new(false);
    bench.host.leased = false;
    bench.run(3);
    bench.want();
    bench.run(3);
    assert!(bench.sent.is_empty(), "a placer without a lease sends orders");
}

#[test]
fn disowned_for_good() {
    let mut placer = Bench::new(false).placer;
    placer.end();
    let order = OrderId(6 << 24 | 9);
    assert_eq!(placer.disown(&[order]), [order]);
    assert_eq!(placer.disown(&[order]), [order]);
}
