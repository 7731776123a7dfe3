//! A fleet of nodes with a key-value service, targets and a network that fail on command, and an
//! oracle that only adds up.
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

pub const RATE: u64 = 100;
pub const BURST: u64 = 400;
/// Most copies of each model; the first may run only once.
pub const COPIES: [usize; 3] = [1, 2, 2];
pub const TARGET_MEMORY: u64 = 100;
pub const MODEL_MEMORY: u64 = 60;
pub const MODELS: [&str; 3] = ["lace", "tulle", "silk"];
pub const DOMAINS: [&str; 2] = ["east", "west"];
pub const KEY: &str = "mk-fuzz";
const TICK: Duration = Duration::from_millis(50);
const LEASE: Duration = Duration::from_secs(3);

/// One entry host.
pub struct Host {
    pub domain: &'static str,
    pub node: Option<Node>,
    pub incarnation: u64,
    pub frozen: bool,
    /// Freeze after the next event, with its actions not yet carried out.
    pub freeze_next: bool,
    held: Vec<Action>,
    inbox: Vec<Event>,
    /// Whether the host reaches the service.
    pub service_cut: bool,
    listed: bool,
    seen: u64,
    last_revision: u64,
    last_lease: Time,
    frozen_span: Duration,
    polls: Vec<(base::TargetName, Name)>,
    watching: bool,
}

/// Something on its way.
enum Delivery {
    ToNode(usize, u64, Event),
    ToService(usize, u64, OpId, StoreOp),
    ToTarget(usize, u64, OrderMessage),
    Poll(usize, u64, base::TargetName, Time),
    Run(usize, u64, RequestId, String),
}

struct Entry(Time, u64, Delivery);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// The whole fleet.
pub struct World {
    pub now: Time,
    pub hosts: Vec<Host>,
    pub targets: BTreeMap<String, Target>,
    pub service: Service,
    pub oracle: Oracle,
    queue: BinaryHeap<Reverse<Entry>>,
    sequence: u64,
    random: SmallRng,
    /// Peer messages lost, in percent.
    pub loss: u32,
    /// Extra delay of peer messages and orders.
    pub slow: Duration,
    pub cut_domains: bool,
    /// Targets that break off, in percent of transmissions.
    pub flaky: u32,
    pub fencing: bool,
    listed_hosts: BTreeSet<usize>,
    pub leaving: BTreeSet<String>,
    next_request: u64,
    next_change: u64,
    next_incarnation: u64,
}

impl World {
    /// Creates a fleet of four hosts in two failure domains, with two targets, whose random
    /// delays follow `seed`.
    pub fn new(seed: u64, fencing: bool) -> World {
        let mut targets = BTreeMap::new();
        for domain in DOMAINS {
            targets.insert(format!("helper-{domain}"), Target::new(domain, fencing));
        }
        let mut world = World {
            now: Time::from_millis(1_000_000),
            hosts: Vec::new(),
            targets,
            service: Service::new(),
            oracle: Oracle::default(),
            queue: BinaryHeap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(seed),
            loss: 0,
            slow: Duration::ZERO,
            cut_domains: false,
            flaky: 10,
            fencing,
            listed_hosts: BTreeSet::new(),
            leaving: BTreeSet::new(),
            next_request: 0,
            next_change: 0,
            next_incarnation: 0,
        };
        for domain in ["east", "east", "east", "west"] {
            let at = world.hosts.len();
            world.hosts.push(Host {
                domain,
                node: None,
                incarnation: 0,
                frozen: false,
                freeze_next: false,
                held: Vec::new(),
                inbox: Vec::new(),
                service_cut: false,
                listed: false,
                seen: 0,
                last_revision: 0,
                last_lease: Time::ZERO,
                frozen_span: Duration::ZERO,
                polls: Vec::new(),
                watching: true,
            });
            world.start(at);
        }
        world.advance(Duration::from_secs(2));
        world.configure();
        world.advance(Duration::from_secs(5));
        world
    }

    fn address(at: usize) -> Name {
        format!("10.0.0.{at}:7001").parse().unwrap()
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.loss = 0;
        self.slow = Duration::ZERO;
        self.cut_domains = false;
        self.flaky = 0;
        self.service.down = false;
        self.service.lose = 0;
        self.service.delay = Duration::ZERO;
        self.leaving.clear();
        for at in 0..self.hosts.len() {
            self.hosts[at].service_cut = false;
            if self.hosts[at].node.is_none() {
                self.start(at);
            } else {
                self.thaw(at);
            }
        }
        for target in self.targets.values_mut() {
            target.lose = 0;
            target.delay = Duration::ZERO;
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, span: Duration) {
        // Whole ticks, so that what is done every so often keeps its rhythm.
        let ticks = span.as_millis().div_ceil(TICK.as_millis()) as u32;
        let end = self.now + TICK * ticks;
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            self.deliver();
            self.service.expire(self.now);
            for target in self.targets.values_mut() {
                target.advance(self.now);
            }
            for at in 0..self.hosts.len() {
                self.serve_host(at);
                self.handle(at, Event::Tick);
                if self.hosts[at].frozen {
                    self.hosts[at].frozen_span += TICK;
                }
            }
        }
    }

    /// Proposes a change at a host: `None` creates the next label, `Some` sets or deletes the key.
    pub fn propose(&mut self, at: usize, key: Option<bool>) {
        self.next_change += 1;
        let team = serde_json::json!({"kind": "team", "name": "atelier", "rate": RATE,
            "burst": BURST, "labels": format!("change={}", self.next_change)});
        let team: config::Object = serde_json::from_value(team).unwrap();
        let item = match key {
            None => DraftItem::put(team),
            Some(true) => DraftItem::put(key_object()),
            Some(false) => DraftItem::delete(key_object().key()),
        };
        let id: base::ChangeId = format!("change-{}", self.next_change).parse().unwrap();
        let draft = Draft { id, actor: "fuzz".into(), wall_ms: 0, items: vec![item] };
        self.handle(at, Event::Propose(self.next_change, draft));
    }

    /// Proposes a change of the team at a host, if the team is at a revision.
    pub fn propose_based(&mut self, at: usize, revision: u64) {
        self.next_change += 1;
        let team = serde_json::json!({"kind": "team", "name": "atelier", "rate": RATE,
            "burst": BURST, "labels": format!("change={}", self.next_change)});
        let item = DraftItem::put(serde_json::from_value(team).unwrap());
        let items = vec![item.based_on(base::Revision(revision))];
        let id: base::ChangeId = format!("change-{}", self.next_change).parse().unwrap();
        let draft = Draft { id, actor: "fuzz".into(), wall_ms: 0, items };
        self.handle(at, Event::Propose(self.next_change, draft));
    }

    /// Describes the placement, for failure messages.
    pub fn describe(&self) -> String {
        let entries = self.service.range("/mangodeal/copies/", "/mangodeal/plan0");
        let placers = self.service.range("/mangodeal/live/placer/", "/mangodeal/live/roster0");
        let lines = entries.iter().chain(&placers).map(|entry| {
            format!("{} @{} {}\n", entry.key, entry.revision, String::from_utf8_lossy(&entry.value))
        });
        let holders = self.targets.iter().map(|(name, target)| {
            let held: Vec<&str> = MODELS.into_iter().filter(|model| target.holds(model)).collect();
            format!("{name} holds {held:?}\n")
        });
        let nodes = self.hosts.iter().filter_map(|host| host.node.as_ref()).map(|node| {
            let placer = node.is_placer(self.now);
            format!("{} placer {placer} {:?}\n", node.seat(), node.stats())
        });
        lines.chain(holders).chain(nodes).collect()
    }

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

    fn push(&mut self, after: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue.push(Reverse(Entry(self.now + after, self.sequence, delivery)));
    }

    fn deliver(&mut self) {
        while self.queue.peek().is_some_and(|entry| entry.0 .0 <= self.now) {
            let Some(Reverse(Entry(_, _, delivery))) = self.queue.pop() else { return };
            match delivery {
                Delivery::ToNode(at, incarnation, event) => {
                    if self.hosts[at].incarnation == incarnation {
                        self.handle(at, event);
                    }
                }
                Delivery::ToService(at, incarnation, id, op) => {
                    if let Some(result) = self.service.execute(&op) {
                        let event = Event::Service(ServiceEvent::Answered(id, result));
                        let delay = self.latency();
                        self.push(delay, Delivery::ToNode(at, incarnation, event));
                    }
                }
                Delivery::ToTarget(at, incarnation, message) => {
                    self.execute_order(at, incarnation, &message);
                }
                Delivery::Poll(at, incarnation, name, asked_at) => {
                    if let Some(target) = self.targets.get(name.as_str()) {
                        let event = Event::Report(name, asked_at, target.report());
                        let delay = self.latency();
                        self.push(delay, Delivery::ToNode(at, incarnation, event));
                    }
                }
                Delivery::Run(at, incarnation, id, target) => {
                    self.run(at, incarnation, id, &target);
                }
            }
        }
    }

    fn latency(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(1..20))
    }

    fn handle(&mut self, at: usize, event: Event) {
        let now = self.now;
        let host = &mut self.hosts[at];
        let Some(node) = &mut host.node else { return };
        if host.frozen {
            if !matches!(event, Event::Tick) {
                host.inbox.push(event);
            }
            return;
        }
        let actions = node.handle(now, event);
        let revision = node.snapshot().revision().0;
        assert!(revision >= host.last_revision, "the configuration of host {at} reverted");
        host.last_revision = revision;
        self.oracle.observe(at, host.incarnation, node, now);
        if host.freeze_next && !actions.is_empty() {
            host.freeze_next = false;
            host.frozen = true;
            host.held = actions;
            return;
        }
        for action in actions {
            self.perform(at, action);
        }
    }

    fn perform(&mut self, at: usize, action: Action) {
        let incarnation = self.hosts[at].incarnation;
        match action {
            Action::Send(to, message) => self.send(at, &to.0, message),
            Action::Store(id, op) => self.call_service(at, incarnation, id, op),
            Action::Order(_, message) => {
                let delay = self.latency() + self.slow;
                self.push(delay, Delivery::ToTarget(at, incarnation, message));
            }
            Action::Watch(watching) => self.hosts[at].watching = watching,
            Action::Poll(list) => self.hosts[at].polls = list,
            Action::Dispatch(order) => {
                let delay = self.latency();
                let target = order.target.to_string();
                self.push(delay, Delivery::Run(at, incarnation, order.request, target));
            }
            Action::Refuse(refusal) => {
                let frozen = self.hosts[at].frozen_span;
                self.oracle.refused(refusal.request, refusal.code, self.now, frozen);
            }
            Action::Cancel(id, _) => {
                let event = Event::Ended(id, RequestEnd::Cancelled(TokenCount(1)));
                self.oracle.cancelled(id, self.now);
                self.push(Duration::ZERO, Delivery::ToNode(at, incarnation, event));
            }
            Action::AnswerProposal(token, result) => {
                self.oracle.proposed(token, &result, self.now);
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &Name, message: PeerMessage) {
        let Some(at) = (0..self.hosts.len()).find(|at| Self::address(*at) == *to) else { return };
        let apart = self.cut_domains && self.hosts[from].domain != self.hosts[at].domain;
        if apart || self.random.random_range(0..100) < self.loss {
            return;
        }
        let seat = Seat {
            address: base::Address(Self::address(from)),
            incarnation: Incarnation(self.hosts[from].incarnation),
        };
        let copies = 1 + usize::from(self.loss > 0 && self.random.random_range(0..100) < self.loss);
        for _ in 0..copies {
            let mut delay = self.latency();
            if !self.slow.is_zero() && self.random.random_bool(0.3) {
                delay += self.slow;
            }
            let event = Event::Peer(seat.clone(), message.clone());
            // A message reaches whatever process is at the address when it arrives.
            let incarnation = self.hosts[at].incarnation;
            self.push(delay, Delivery::ToNode(at, incarnation, event));
        }
    }

    fn call_service(&mut self, at: usize, incarnation: u64, id: OpId, op: StoreOp) {
        let cut = self.hosts[at].service_cut || self.service.down;
        let lost = !cut && matches!(op, StoreOp::Txn(_)) && self.service.lose > 0;
        let event = |result| Event::Service(ServiceEvent::Answered(id, result));
        if cut {
            let answer = event(service::no_answer(&op, false));
            self.push(Duration::from_millis(50), Delivery::ToNode(at, incarnation, answer));
            return;
        }
        let delay = self.latency() + self.service.delay;
        if lost {
            // It takes effect, perhaps late, but the caller learns nothing.
            self.service.lose -= 1;
            let late = Duration::from_millis(self.random.random_range(0..4_000));
            self.push(late, Delivery::ToService(at, u64::MAX, id, op.clone()));
            let answer = event(service::no_answer(&op, true));
            self.push(Duration::from_secs(2), Delivery::ToNode(at, incarnation, answer));
            return;
        }
        self.push(delay, Delivery::ToService(at, incarnation, id, op));
    }

    fn execute_order(&mut self, at: usize, incarnation: u64, message: &OrderMessage) {
        let name = message.target.as_str();
        let planned = self.service.is_planned(name, message.model.as_str());
        let Some(target) = self.targets.get_mut(name) else { return };
        let outcome = target.order(self.now, message, planned);
        let delay = target.delay;
        let lost = target.lose > 0;
        target.lose -= u32::from(lost);
        let outcome = if lost { place::OrderOutcome::Unknown } else { outcome };
        let event = Event::OrderEnded(message.target.clone(), message.id, outcome);
        let delay = delay + if lost { Duration::from_secs(2) } else { self.latency() };
        self.push(delay, Delivery::ToNode(at, incarnation, event));
        self.check_copies();
    }

    fn check_copies(&self) {
        for (model, copies) in MODELS.into_iter().zip(COPIES) {
            let holders = self.targets.values().filter(|target| target.holds(model)).count();
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

/// Returns when a request was charged, in microseconds after its arrival.
fn charged_after(node: &Node, id: RequestId) -> Option<u64> {
    let trace = node.trace(id)?;
    trace.steps.iter().find(|(_, step)| *step == TraceStep::Charged).map(|(micros, _)| *micros)
}
