//! Nodes and placers under a given load.

use std::time::Duration;

use base::{RequestId, SecretKey, TargetName, Time, TokenCount};
use config::Snapshot;
use node::{
    Action, Event, KeyValue, NewRequest, Node, NodeConfig, PeerMessage, RequestEnd, RequestGoal,
    ServiceEvent, SnapshotDoc,
};
use place::{
    HostState, OrderKind, OrderOutcome, PlaceAction, PlaceConfig, Placer, ReplicaReport,
    TargetReport, WriteOutcome,
};

use super::fixture;
use super::DOMAINS;

const TICK: Duration = Duration::from_millis(20);
/// Replicas on each target.
const REPLICAS: usize = 5;

/// A node that serves requests for loaded models.
pub(super) struct NodeBench {
    node: Node,
    now: Time,
    key: base::KeyHash,
    next: u64,
    target: TargetName,
}

impl NodeBench {
    pub(super) fn new(eighths: usize) -> NodeBench {
        NodeBench::with_teams(eighths, 5)
    }

    pub(super) fn with_teams(eighths: usize, teams: usize) -> NodeBench {
        let snapshot = fixture::snapshot_with(eighths, teams);
        let now = Time::from_millis(1_000);
        let mut node = new_node(now, 0, 0, 1);
        install_snapshot(&mut node, now, &snapshot);
        install_rosters(&mut node, now, &[(0, fixture::roster(0, 1)), (1, fixture::roster(1, 1))]);
        node.handle(now, Event::Tick);
        let replicas: Vec<_> = (0..super::TARGETS / DOMAINS * eighths / 8 * REPLICAS)
            .map(fixture::residency)
            .collect();
        let target = replicas[0].target.clone();
        let view = PeerMessage::View(fixture::view(1, 1, replicas));
        node.handle(now, Event::Peer(fixture::seat(1, 0), view));
        let now = now + Duration::from_secs(10);
        node.handle(now, Event::Tick);
        NodeBench { node, now, key: SecretKey::new(fixture::KEY).hash(), next: 0, target }
    }

    pub(super) fn objects(&self) -> usize {
        self.node.snapshot().objects().count()
    }

    pub(super) fn tick(&mut self) {
        self.now = self.now + TICK;
        self.refresh_head();
        self.node.handle(self.now, Event::Tick);
    }

    /// Serves one request from its arrival to its end.
    pub(super) fn serve_one(&mut self) {
        self.next += 1;
        self.now = self.now + Duration::from_millis(1);
        self.refresh_head();
        let id = RequestId(self.next);
        let model = fixture::residency(0).model;
        let spec = NewRequest {
            id,
            key: Some(self.key),
            goal: RequestGoal::Model(model),
            cost: TokenCount(100),
            deadline: self.now + Duration::from_secs(5),
            priority: 0,
            idempotency: None,
            idempotent: true,
        };
        let actions = self.node.handle(self.now, Event::Arrived(spec));
        let is_dispatched =
            |action: &Action| matches!(action, Action::Dispatch(order) if order.request == id);
        assert!(
            actions.iter().any(is_dispatched),
            "a request for a loaded model was not sent to {}",
            self.target
        );
        let end = RequestEnd::Served(TokenCount(100));
        self.node.handle(self.now, Event::Ended(id, end));
    }

    /// Passes the node the result of a read of the configuration head, which shows that its
    /// configuration is current.
    fn refresh_head(&mut self) {
        let head = head_entry(self.node.snapshot().revision().0);
        let event = ServiceEvent::HeadRead { asked_at: self.now, head: Some(head) };
        self.node.handle(self.now, Event::Service(event));
    }
}

fn new_node(now: Time, domain: usize, seat: usize, domains: usize) -> Node {
    let seat = fixture::seat(domain, seat);
    let name = format!("domain-{domain}").parse().expect("a name");
    let config = NodeConfig::new(seat.address, name).incarnation(seat.incarnation).domains(domains);
    Node::new(now, config)
}

fn install_snapshot(node: &mut Node, now: Time, snapshot: &Snapshot) {
    let message = PeerMessage::Snapshot(SnapshotDoc::from(snapshot));
    node.handle(now, Event::Peer(fixture::seat(0, 1), message));
}

fn head_entry(revision: u64) -> KeyValue {
    let value = format!("{{\"revision\":{revision},\"change\":\"c\"}}").into_bytes();
    KeyValue {
        key: node::HEAD_KEY.to_owned(),
        value,
        revision: fixture::distinct_revision(revision),
    }
}

/// Sends a node the rosters of failure domains.
fn install_rosters(node: &mut Node, now: Time, rosters: &[(usize, grant::Roster)]) {
    let docs = rosters.iter().map(|(domain, roster)| node::RosterDoc {
        domain: format!("domain-{domain}").parse().expect("a name"),
        revision: fixture::distinct_revision(1),
        roster: roster.clone(),
    });
    let message = PeerMessage::Rosters(docs.collect());
    node.handle(now, Event::Peer(fixture::seat(0, 1), message));
}

/// Messages and bytes that a seat sends and receives per second.
pub(super) struct TrafficRate {
    pub(super) messages: f64,
    pub(super) bytes: f64,
}

/// Returns the traffic of an idle seat whose messages are all answered.
pub(super) fn idle_traffic(seats: usize, domains: usize, duration: Duration) -> TrafficRate {
    let mut now = Time::from_millis(1_000);
    let rosters: Vec<_> =
        (0..domains).map(|domain| (domain, fixture::roster(domain, seats))).collect();
    let mut nodes = [new_node(now, 0, seats - 1, domains), new_node(now, 1, 0, domains)];
    for node in &mut nodes {
        install_snapshot(node, now, &fixture::snapshot(1));
        install_rosters(node, now, &rosters);
    }
    let own = fixture::seat(0, seats - 1);
    let [node, other] = &mut nodes;
    let (mut messages, mut bytes) = (0usize, 0usize);
    let end = now + duration;
    while now < end {
        now = now + TICK;
        for action in node.handle(now, Event::Tick) {
            let Action::Send(to, message) = action else { continue };
            messages += 1;
            bytes += peer::encode(&message).len();
            // The second node answers for every peer.
            for answer in other.handle(now, Event::Peer(own.clone(), message)) {
                let Action::Send(_, answer) = answer else { continue };
                messages += 1;
                bytes += peer::encode(&answer).len();
                let from = rosters
                    .iter()
                    .flat_map(|(_, roster)| roster.iter())
                    .find(|seat| seat.address == to);
                if let Some(from) = from {
                    node.handle(now, Event::Peer(from, answer));
                }
            }
        }
    }
    // Peers send this seat as many messages as it sends them, so the traffic is doubled.
    let seconds = duration.as_secs_f64();
    TrafficRate { messages: 2.0 * messages as f64 / seconds, bytes: 2.0 * bytes as f64 / seconds }
}

/// A placer whose targets have `REPLICAS` replicas each.
pub(super) struct PlacerBench {
    placer: Placer,
    snapshot: Snapshot,
    now: Time,
    host: HostState,
    reports: Vec<(TargetName, TargetReport)>,
}

impl PlacerBench {
    pub(super) fn new(targets: usize) -> PlacerBench {
        let now = Time::from_millis(1_000);
        let seat = fixture::seat(0, 0);
        let config = PlaceConfig::default().load_slots(4);
        let domain = "domain-0".parse().expect("a name");
        let mut placer = Placer::new(seat.clone(), domain, config);
        let plans = (0..targets).map(|n| {
            let name = fixture::target_name(n).parse().expect("a name");
            (name, base::Revision(2), fixture::plan(REPLICAS, n * REPLICAS))
        });
        placer.begin_term(now, base::Fence(2), plans);
        let report = |n: usize| {
            let replicas = (0..REPLICAS).map(|r| ReplicaReport {
                model: fixture::model_name((n * REPLICAS + r) % super::MODELS)
                    .parse()
                    .expect("a name"),
                ready: true,
                running: 1,
                served: 1,
            });
            let name = fixture::target_name(n).parse().expect("a name");
            (name, TargetReport { boot: 1, replicas: replicas.collect(), ..Default::default() })
        };
        let host = HostState {
            has_lease: true,
            service_up: true,
            seats: Some(vec![seat]),
            ..HostState::default()
        };
        let reports = (0..targets).map(report).collect();
        let snapshot = fixture::domain_snapshot(targets);
        PlacerBench { placer, snapshot, now, host, reports }
    }

    /// Applies a report of each target and runs one tick.
    pub(super) fn tick(&mut self) {
        self.now = self.now + Duration::from_millis(250);
        for (name, report) in &self.reports {
            self.placer.apply_report(self.now, name, self.now, report.clone());
        }
        let actions = self.placer.tick(self.now, &self.snapshot, &self.host);
        std::hint::black_box(actions.len());
    }
}

/// Returns the mean number of plan writes per load and unload, which run one at a time on one target.
pub(super) fn load_writes(loads: usize) -> f64 {
    let mut bench = LoadBench::new();
    for n in 0..loads {
        bench.load_and_unload(n);
    }
    bench.writes as f64 / loads as f64
}

/// A placer with one target whose orders all succeed.
struct LoadBench {
    placer: Placer,
    snapshot: Snapshot,
    host: HostState,
    now: Time,
    loaded_replicas: Vec<ReplicaReport>,
    writes: usize,
}

impl LoadBench {
    fn new() -> LoadBench {
        let now = Time::from_millis(1_000);
        let seat = fixture::seat(0, 0);
        let idle = place::IdlePolicy::Fixed(Duration::from_secs(1));
        let config = PlaceConfig::default().idle_policy(idle);
        let mut placer = Placer::new(seat.clone(), "domain-0".parse().expect("a name"), config);
        placer.begin_term(now, base::Fence(2), Vec::new());
        let host = HostState {
            has_lease: true,
            service_up: true,
            seats: Some(vec![seat]),
            ..HostState::default()
        };
        let snapshot = fixture::domain_snapshot(1);
        LoadBench { placer, snapshot, host, now, loaded_replicas: Vec::new(), writes: 0 }
    }

    /// Requests a model once and runs the placer until the idle replica is unloaded.
    fn load_and_unload(&mut self, n: usize) {
        let model: base::ModelName = fixture::model_name(n).parse().expect("a name");
        for step in 0..60 {
            self.now = self.now + Duration::from_millis(100);
            if step == 0 {
                let demand = place::ModelDemand {
                    model: model.clone(),
                    time_left: Duration::from_secs(30),
                    waiting: 1,
                    extra: false,
                };
                self.placer.add_demand(self.now, &demand);
            }
            let target: TargetName = fixture::target_name(0).parse().expect("a name");
            let report =
                TargetReport { replicas: self.loaded_replicas.clone(), ..Default::default() };
            self.placer.apply_report(self.now, &target, self.now, report);
            self.run_actions();
        }
    }

    /// Runs a few ticks and executes the actions of each, which lead to further actions.
    fn run_actions(&mut self) {
        for _ in 0..4 {
            for action in self.placer.tick(self.now, &self.snapshot, &self.host) {
                self.execute(action);
            }
        }
    }

    fn execute(&mut self, action: PlaceAction) {
        match action {
            PlaceAction::Record(write) => {
                self.writes += 1;
                let revision = base::Revision(10 + self.writes as u64);
                let outcome = WriteOutcome::Recorded(revision);
                self.placer.finish_write(self.now, &write.target, outcome);
            }
            PlaceAction::ReadPlan(target) => {
                let empty = Some((base::Revision(0), Default::default()));
                self.placer.finish_plan_read(self.now, &target, empty);
            }
            PlaceAction::ReadLedger(model) => {
                let empty = Some((base::Revision(0), Default::default()));
                self.placer.finish_ledger_read(self.now, &model, empty);
            }
            PlaceAction::Send(message) => {
                self.loaded_replicas.retain(|replica| replica.model != message.model);
                if message.kind == OrderKind::Load {
                    let model = message.model.clone();
                    self.loaded_replicas.push(ReplicaReport {
                        model,
                        ready: true,
                        running: 0,
                        served: 0,
                    });
                }
                let (target, id) = (message.target, message.id);
                self.placer.finish_send(self.now, &target, id, OrderOutcome::Accepted);
            }
            _ => {}
        }
    }
}
