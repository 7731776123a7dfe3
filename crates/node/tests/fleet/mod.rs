//! A simulated fleet of nodes. Tests make its key-value service, targets and network fail. An oracle
//! records what the fleet does and checks it against the guarantees.
#![allow(dead_code)]

mod host;
mod load;
mod oracle;
mod service;
pub mod step;
mod target;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use base::{Incarnation, Name, RequestId, Seat, Time, TokenCount};
use config::{Draft, DraftItem};
use mango_node::{
    Action, Event, Node, OpId, PeerMessage, RequestEnd, ServiceEvent, StoreOp, TraceStep,
};
use place::OrderMessage;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use oracle::Oracle;
use service::Service;
use target::Target;

/// The team's allowance: tokens per second, and burst in tokens.
pub const RATE: u64 = 100;
pub const BURST: u64 = 400;
/// Maximum number of copies of each model, in the order of [`MODELS`].
pub const COPIES: [usize; 3] = [1, 2, 2];
pub const TARGET_MEMORY: u64 = 100;
pub const MODEL_MEMORY: u64 = 60;
pub const MODELS: [&str; 3] = ["lace", "tulle", "silk"];
pub const DOMAINS: [&str; 2] = ["east", "west"];
pub const KEY: &str = "mk-fuzz";
const TICK: Duration = Duration::from_millis(50);
const LEASE: Duration = Duration::from_secs(3);

/// One entry host and the process on it.
pub struct Host {
    pub domain: &'static str,
    pub node: Option<Node>,
    pub incarnation: u64,
    pub is_frozen: bool,
    /// Whether to freeze after the next event that yields actions, before they are carried out.
    pub is_freeze_pending: bool,
    /// Actions to carry out when the host thaws.
    pending_actions: Vec<Action>,
    /// Events that arrived while the host was frozen.
    pending_events: Vec<Event>,
    /// Whether the host is cut off from the service.
    pub is_service_cut: bool,
    /// Whether the host has read the service's listing since it last lost the watch.
    has_listing: bool,
    /// Service revision up to which watched changes were delivered.
    watched_revision: u64,
    /// Latest configuration revision that the host's process has reached.
    last_revision: u64,
    lease_renewed_at: Time,
    /// How long the current process was frozen in total.
    frozen_span: Duration,
    polled_targets: Vec<(base::TargetName, Name)>,
    is_watching: bool,
}

/// A message, call, poll or transmission in transit. The first two fields are the index of a host
/// and the incarnation of its process. That process receives a `ToNode` and sent the others.
enum Delivery {
    ToNode(usize, u64, Event),
    ToService(usize, u64, OpId, StoreOp),
    ToTarget(usize, u64, OrderMessage),
    Poll(usize, u64, base::TargetName, Time),
    /// Transmits a request to a target.
    Transmit(usize, u64, RequestId, String),
}

/// A delivery with its time and a sequence number, which orders deliveries of the same time.
struct ScheduledDelivery(Time, u64, Delivery);

impl PartialEq for ScheduledDelivery {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledDelivery {}
impl PartialOrd for ScheduledDelivery {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledDelivery {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A simulated fleet.
pub struct SimFleet {
    pub now: Time,
    pub hosts: Vec<Host>,
    pub targets: BTreeMap<String, Target>,
    pub service: Service,
    pub oracle: Oracle,
    queue: BinaryHeap<Reverse<ScheduledDelivery>>,
    sequence: u64,
    random: SmallRng,
    /// Peer messages lost, in percent. Of the others, the same share is duplicated.
    pub loss_percent: u32,
    /// Extra delay of some peer messages and of all orders.
    pub extra_delay: Duration,
    /// Whether peer messages between failure domains are lost.
    pub is_partitioned: bool,
    /// Transmissions that fail at the target, in percent.
    pub target_failure_percent: u32,
    pub fencing: bool,
    /// Entry hosts in the platform's host list.
    listed_hosts: BTreeSet<usize>,
    /// Targets that are being removed.
    pub leaving: BTreeSet<String>,
    last_request: u64,
    last_change: u64,
    last_incarnation: u64,
}

impl SimFleet {
    /// Creates a fleet of four hosts in two failure domains, with two targets, whose random
    /// delays follow `seed`.
    pub fn new(seed: u64, fencing: bool) -> SimFleet {
        let mut targets = BTreeMap::new();
        for domain in DOMAINS {
            targets.insert(format!("helper-{domain}"), Target::new(domain, fencing));
        }
        let mut fleet = SimFleet {
            now: Time::from_millis(1_000_000),
            hosts: Vec::new(),
            targets,
            service: Service::new(),
            oracle: Oracle::default(),
            queue: BinaryHeap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(seed),
            loss_percent: 0,
            extra_delay: Duration::ZERO,
            is_partitioned: false,
            target_failure_percent: 10,
            fencing,
            listed_hosts: BTreeSet::new(),
            leaving: BTreeSet::new(),
            last_request: 0,
            last_change: 0,
            last_incarnation: 0,
        };
        for domain in ["east", "east", "east", "west"] {
            let index = fleet.hosts.len();
            fleet.hosts.push(Host {
                domain,
                node: None,
                incarnation: 0,
                is_frozen: false,
                is_freeze_pending: false,
                pending_actions: Vec::new(),
                pending_events: Vec::new(),
                is_service_cut: false,
                has_listing: false,
                watched_revision: 0,
                last_revision: 0,
                lease_renewed_at: Time::ZERO,
                frozen_span: Duration::ZERO,
                polled_targets: Vec::new(),
                is_watching: true,
            });
            fleet.start(index);
        }
        fleet.advance(Duration::from_secs(2));
        fleet.configure();
        fleet.advance(Duration::from_secs(5));
        fleet
    }

    fn address(index: usize) -> Name {
        format!("10.0.0.{index}:7001").parse().unwrap()
    }

    /// Ends all faults, thaws frozen hosts and restarts killed ones.
    pub fn clear_faults(&mut self) {
        self.loss_percent = 0;
        self.extra_delay = Duration::ZERO;
        self.is_partitioned = false;
        self.target_failure_percent = 0;
        self.service.is_down = false;
        self.service.answers_to_lose = 0;
        self.service.delay = Duration::ZERO;
        self.leaving.clear();
        for index in 0..self.hosts.len() {
            self.hosts[index].is_service_cut = false;
            if self.hosts[index].node.is_none() {
                self.start(index);
            } else {
                self.thaw(index);
            }
        }
        for target in self.targets.values_mut() {
            target.answers_to_lose = 0;
            target.delay = Duration::ZERO;
        }
    }

    /// Advances the time by at least `span`.
    pub fn advance(&mut self, span: Duration) {
        // Advances by whole ticks, because periodic events fire only at multiples of their period.
        let ticks = span.as_millis().div_ceil(TICK.as_millis()) as u32;
        let end = self.now + TICK * ticks;
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            self.deliver_due();
            self.service.expire(self.now);
            for target in self.targets.values_mut() {
                target.advance(self.now);
            }
            for index in 0..self.hosts.len() {
                self.deliver_host_events(index);
                self.handle(index, Event::Tick);
                if self.hosts[index].is_frozen {
                    self.hosts[index].frozen_span += TICK;
                }
            }
        }
    }

    /// Proposes a change at a host: `None` changes the team's label, `Some(true)` sets the key and
    /// `Some(false)` deletes it.
    pub fn propose(&mut self, index: usize, key: Option<bool>) {
        self.last_change += 1;
        let team = serde_json::json!({"kind": "team", "name": "atelier", "rate": RATE,
            "burst": BURST, "labels": format!("change={}", self.last_change)});
        let team: config::Object = serde_json::from_value(team).unwrap();
        let item = match key {
            None => DraftItem::put(team),
            Some(true) => DraftItem::put(key_object()),
            Some(false) => DraftItem::delete(key_object().key()),
        };
        let id: base::ChangeId = format!("change-{}", self.last_change).parse().unwrap();
        let draft = Draft { id, actor: "fuzz".into(), wall_ms: 0, items: vec![item] };
        self.handle(index, Event::Propose(self.last_change, draft));
    }

    /// Proposes a change of the team at a host, on condition that the team is at `revision`.
    pub fn propose_based(&mut self, index: usize, revision: u64) {
        self.last_change += 1;
        let team = serde_json::json!({"kind": "team", "name": "atelier", "rate": RATE,
            "burst": BURST, "labels": format!("change={}", self.last_change)});
        let item = DraftItem::put(serde_json::from_value(team).unwrap());
        let items = vec![item.based_on(base::Revision(revision))];
        let id: base::ChangeId = format!("change-{}", self.last_change).parse().unwrap();
        let draft = Draft { id, actor: "fuzz".into(), wall_ms: 0, items };
        self.handle(index, Event::Propose(self.last_change, draft));
    }

    /// Describes the placement in failure messages.
    pub fn describe(&self) -> String {
        let entries = self.service.range("/mangodeal/copies/", "/mangodeal/plan0");
        let placers = self.service.range("/mangodeal/live/placer/", "/mangodeal/live/roster0");
        let lines = entries.iter().chain(&placers).map(|entry| {
            format!("{} @{} {}\n", entry.key, entry.revision, String::from_utf8_lossy(&entry.value))
        });
        let holders = self.targets.iter().map(|(name, target)| {
            let models: Vec<&str> =
                MODELS.into_iter().filter(|model| target.has_replica(model)).collect();
            format!("{name} holds {models:?}\n")
        });
        let nodes = self.hosts.iter().filter_map(|host| host.node.as_ref()).map(|node| {
            let placer = node.is_placer(self.now);
            format!("{} placer {placer} {:?}\n", node.seat(), node.stats())
        });
        lines.chain(holders).chain(nodes).collect()
    }

    /// Proposes the initial configuration.
    fn configure(&mut self) {
        let mut items = Vec::new();
        let mut put = |value: serde_json::Value| {
            items.push(DraftItem::put(serde_json::from_value(value).unwrap()));
        };
        put(serde_json::json!({"kind": "team", "name": "atelier", "rate": RATE, "burst": BURST}));
        put(serde_json::json!({"kind": "access", "name": "all", "teams": "", "models": ""}));
        for (model, copies) in MODELS.into_iter().zip(COPIES) {
            let labels = format!("name={model}");
            put(serde_json::json!({"kind": "placement", "name": model, "models": labels,
                "targets": "!plain", "copies": copies}));
            put(serde_json::json!({"kind": "model", "name": model, "labels": labels,
                "memory": MODEL_MEMORY}));
        }
        for (name, target) in &self.targets {
            put(serde_json::json!({"kind": "target", "name": name, "address": "127.0.0.1:1",
                "domain": target.domain, "memory": TARGET_MEMORY, "fencing": self.fencing,
                "slots": 8}));
        }
        put(serde_json::json!({"kind": "target", "name": "desk", "address": "127.0.0.1:2",
            "domain": "east", "labels": "plain=yes", "type": "service"}));
        put(serde_json::json!({"kind": "route", "name": "booking", "prefix": "/book/",
            "targets": "plain=yes"}));
        items.push(DraftItem::put(key_object()));
        let id: base::ChangeId = "first".parse().unwrap();
        let draft = Draft { id, actor: "fuzz".into(), wall_ms: 0, items };
        self.handle(0, Event::Propose(0, draft));
    }

    /// Schedules a delivery.
    fn schedule(&mut self, after: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue.push(Reverse(ScheduledDelivery(self.now + after, self.sequence, delivery)));
    }

    /// Makes the deliveries that are due.
    fn deliver_due(&mut self) {
        while self.queue.peek().is_some_and(|entry| entry.0 .0 <= self.now) {
            let Some(Reverse(ScheduledDelivery(_, _, delivery))) = self.queue.pop() else { return };
            match delivery {
                Delivery::ToNode(index, incarnation, event) => {
                    if self.hosts[index].incarnation == incarnation {
                        self.handle(index, event);
                    }
                }
                Delivery::ToService(index, incarnation, id, op) => {
                    if let Some(result) = self.service.execute(&op) {
                        let event = Event::Service(ServiceEvent::Answered(id, result));
                        let delay = self.latency();
                        self.schedule(delay, Delivery::ToNode(index, incarnation, event));
                    }
                }
                Delivery::ToTarget(index, incarnation, message) => {
                    self.execute_order(index, incarnation, &message);
                }
                Delivery::Poll(index, incarnation, name, asked_at) => {
                    if let Some(target) = self.targets.get(name.as_str()) {
                        let event = Event::Report(name, asked_at, target.report());
                        let delay = self.latency();
                        self.schedule(delay, Delivery::ToNode(index, incarnation, event));
                    }
                }
                Delivery::Transmit(index, incarnation, id, target) => {
                    self.transmit(index, incarnation, id, &target);
                }
            }
        }
    }

    fn latency(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(1..20))
    }

    /// Passes an event to a host's node and carries out the actions that it returns. A frozen host
    /// keeps the event for later.
    fn handle(&mut self, index: usize, event: Event) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let Some(node) = &mut host.node else { return };
        if host.is_frozen {
            if !matches!(event, Event::Tick) {
                host.pending_events.push(event);
            }
            return;
        }
        let actions = node.handle(now, event);
        let revision = node.snapshot().revision().0;
        assert!(
            revision >= host.last_revision,
            "the configuration revision of host {index} went back"
        );
        host.last_revision = revision;
        self.oracle.record_charges(index, host.incarnation, node, now);
        if host.is_freeze_pending && !actions.is_empty() {
            host.is_freeze_pending = false;
            host.is_frozen = true;
            host.pending_actions = actions;
            return;
        }
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        let incarnation = self.hosts[index].incarnation;
        match action {
            Action::Send(to, message) => self.send(index, &to.0, message),
            Action::Store(id, op) => self.call_service(index, incarnation, id, op),
            Action::Order(_, message) => {
                let delay = self.latency() + self.extra_delay;
                self.schedule(delay, Delivery::ToTarget(index, incarnation, message));
            }
            Action::Watch(is_watching) => self.hosts[index].is_watching = is_watching,
            Action::Poll(list) => self.hosts[index].polled_targets = list,
            Action::Dispatch(order) => {
                let delay = self.latency();
                let target = order.target.to_string();
                self.schedule(delay, Delivery::Transmit(index, incarnation, order.request, target));
            }
            Action::Refuse(refusal) => {
                let frozen_span = self.hosts[index].frozen_span;
                self.oracle.record_refused(refusal.request, refusal.code, self.now, frozen_span);
            }
            Action::Cancel(id, _) => {
                let event = Event::Ended(id, RequestEnd::Cancelled(TokenCount(1)));
                self.oracle.record_cancelled(id, self.now);
                self.schedule(Duration::ZERO, Delivery::ToNode(index, incarnation, event));
            }
            Action::AnswerProposal(proposal_id, result) => {
                self.oracle.record_proposed(proposal_id, &result, self.now);
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &Name, message: PeerMessage) {
        let Some(index) = (0..self.hosts.len()).find(|i| Self::address(*i) == *to) else { return };
        let is_unreachable =
            self.is_partitioned && self.hosts[from].domain != self.hosts[index].domain;
        if is_unreachable || self.random.random_range(0..100) < self.loss_percent {
            return;
        }
        let seat = Seat {
            address: base::Address(Self::address(from)),
            incarnation: Incarnation(self.hosts[from].incarnation),
        };
        let copies = 1 + usize::from(
            self.loss_percent > 0 && self.random.random_range(0..100) < self.loss_percent,
        );
        for _ in 0..copies {
            let mut delay = self.latency();
            if !self.extra_delay.is_zero() && self.random.random_bool(0.3) {
                delay += self.extra_delay;
            }
            let event = Event::Peer(seat.clone(), message.clone());
            // The message is dropped if a new process starts at the address before it arrives.
            let incarnation = self.hosts[index].incarnation;
            self.schedule(delay, Delivery::ToNode(index, incarnation, event));
        }
    }

    fn call_service(&mut self, index: usize, incarnation: u64, id: OpId, op: StoreOp) {
        let is_cut = self.hosts[index].is_service_cut || self.service.is_down;
        let is_lost = !is_cut && matches!(op, StoreOp::Txn(_)) && self.service.answers_to_lose > 0;
        let event = |result| Event::Service(ServiceEvent::Answered(id, result));
        if is_cut {
            let answer = event(service::unanswered_result(&op, false));
            self.schedule(Duration::from_millis(50), Delivery::ToNode(index, incarnation, answer));
            return;
        }
        let delay = self.latency() + self.service.delay;
        if is_lost {
            // The transaction takes effect, perhaps late. Its answer is lost, because it goes to
            // incarnation `u64::MAX`, which no process has.
            self.service.answers_to_lose -= 1;
            let late = Duration::from_millis(self.random.random_range(0..4_000));
            self.schedule(late, Delivery::ToService(index, u64::MAX, id, op.clone()));
            let answer = event(service::unanswered_result(&op, true));
            self.schedule(Duration::from_secs(2), Delivery::ToNode(index, incarnation, answer));
            return;
        }
        self.schedule(delay, Delivery::ToService(index, incarnation, id, op));
    }

    fn execute_order(&mut self, index: usize, incarnation: u64, message: &OrderMessage) {
        let name = message.target.as_str();
        let is_planned = self.service.is_planned(name, message.model.as_str());
        let Some(target) = self.targets.get_mut(name) else { return };
        let outcome = target.handle_order(self.now, message, is_planned);
        let delay = target.delay;
        let is_lost = target.answers_to_lose > 0;
        target.answers_to_lose -= u32::from(is_lost);
        let outcome = if is_lost { place::OrderOutcome::Unknown } else { outcome };
        let event = Event::OrderEnded(message.target.clone(), message.id, outcome);
        let delay = delay + if is_lost { Duration::from_secs(2) } else { self.latency() };
        self.schedule(delay, Delivery::ToNode(index, incarnation, event));
        self.check_copies();
    }

    /// Checks that no model is loaded more often than its placement allows.
    fn check_copies(&self) {
        for (model, copies) in MODELS.into_iter().zip(COPIES) {
            let holders = self.targets.values().filter(|target| target.has_replica(model)).count();
            assert!(holders <= copies, "{holders} copies of {model} are loaded");
        }
    }
}

fn key_object() -> config::Object {
    let hash = base::SecretKey::new(KEY).hash();
    let key =
        serde_json::json!({"kind": "key", "name": "counter", "team": "atelier", "hash": hash});
    serde_json::from_value(key).unwrap()
}

/// Returns when a request was charged, in microseconds after its arrival, or `None` if it was not.
fn charged_after(node: &Node, id: RequestId) -> Option<u64> {
    let trace = node.trace(id)?;
    trace.steps.iter().find(|(_, step)| *step == TraceStep::Charged).map(|(micros, _)| *micros)
}
