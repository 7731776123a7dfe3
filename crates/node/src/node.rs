//! The state machine that joins all parts.

mod claims;
mod peers;
mod placing;
mod requests;
mod storing;
mod wants;

use std::sync::Arc;
use std::time::Duration;

use base::{
    Address, DomainName, Incarnation, ModelName, RequestId, Seat, SortedMap, TeamName, Time,
};
use config::Snapshot;
use grant::{LoanTerms, Units};
use place::{PlaceConfig, Placer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::{FairQueue, LoadTable, RetryBudget};

use crate::config_sync::ConfigSync;
use crate::lease::{PlacerEntry, ServiceLease};
use crate::member::Members;
use crate::request::{RequestState, TraceLog};
use crate::token::Tokens;
use crate::view::Views;
use crate::{
    Action, DomainView, Event, NodeStats, OpId, PeerMessage, RequestTrace, SeatStatus, StoreOp,
    TargetStatus,
};

/// Longest time between two decisions of the placer. Reports don't cause one each: there are
/// hundreds a second in a large failure domain.
const PLACE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two rounds of pings.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub(crate) seat: Seat,
    pub(crate) domain: DomainName,
    pub(crate) domains: usize,
    pub(crate) key_grace: Duration,
    pub(crate) loan_span: Duration,
    pub(crate) max_waiting: usize,
    pub(crate) place: PlaceConfig,
}

impl NodeConfig {
    /// Creates settings for a node at a peer address in a failure domain.
    pub fn new(address: Address, domain: DomainName) -> NodeConfig {
        NodeConfig {
            seat: Seat { address, incarnation: Incarnation(1) },
            domain,
            domains: 1,
            key_grace: Duration::from_secs(600),
            loan_span: Duration::from_secs(2),
            max_waiting: 4096,
            place: PlaceConfig::default(),
        }
    }

    /// Sets the incarnation; it must differ from that of any former process at the address.
    pub fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.seat.incarnation = incarnation;
        self
    }

    /// Sets the number of failure domains among which allowances are divided.
    pub fn domains(mut self, domains: usize) -> Self {
        self.domains = domains.max(1);
        self
    }

    /// Sets how long keys are accepted without any path to the configuration.
    pub fn key_grace(mut self, grace: Duration) -> Self {
        self.key_grace = grace;
        self
    }

    /// Sets how long borrowed tokens may be used.
    pub fn loan_span(mut self, span: Duration) -> Self {
        self.loan_span = span;
        self
    }

    /// Sets how many requests may wait.
    pub fn max_waiting(mut self, requests: usize) -> Self {
        self.max_waiting = requests;
        self
    }

    /// Sets the placer's settings.
    pub fn place(mut self, place: PlaceConfig) -> Self {
        self.place = place;
        self
    }
}

/// What a call to the service was made for.
#[derive(Clone, Debug)]
enum OpPurpose {
    CatchUp,
    ProposalLog(u64),
    ProposalTxn(u64),
    ProposalKey(u64),
    Roster,
    RosterRead,
    Leave,
    PlacerClaim,
    PlacerRead,
    PlanList(PlacerEntry),
    Plan(base::TargetName),
    PlanRead(base::TargetName),
    CopiesRead(ModelName),
    Claim(RequestId),
    ClaimRead(RequestId),
    Forgotten,
}

/// The actions of one event, and the calls that await answers.
#[derive(Debug, Default)]
struct Outbox {
    actions: Vec<Action>,
    pending: SortedMap<OpId, OpPurpose>,
    last_op: u64,
}

impl Outbox {
    fn call(&mut self, purpose: OpPurpose, op: StoreOp) -> OpId {
        self.last_op += 1;
        let id = OpId(self.last_op);
        self.pending.insert(id, purpose);
        self.actions.push(Action::Store(id, op));
        id
    }

    fn send(&mut self, to: &Address, message: PeerMessage) {
        self.actions.push(Action::Send(to.clone(), message));
    }

    fn note(&mut self, text: impl Into<String>) {
        self.actions.push(Action::Note(text.into()));
    }
}

/// Demands of waiting requests for one model.
#[derive(Clone, Copy, Debug)]
struct OpenWant {
    since: Time,
    sent_at: Option<Time>,
}

/// One entry host's whole decision state.
pub struct Node {
    config: NodeConfig,
    sync: ConfigSync,
    members: Members,
    tokens: Tokens,
    views: Views,
    placer: Placer,
    placers: SortedMap<DomainName, PlacerEntry>,
    lease: ServiceLease,
    listing_plans: bool,
    claiming_placer: bool,
    requests: SortedMap<RequestId, RequestState>,
    queue: FairQueue,
    loads: LoadTable,
    retries: RetryBudget,
    wants: SortedMap<ModelName, OpenWant>,
    traces: TraceLog,
    stats: NodeStats,
    out: Outbox,
    random: SmallRng,
    service_up: bool,
    catching_up: bool,
    listed: bool,
    watching: bool,
    retiring: bool,
    draining: bool,
    drained: bool,
    next_ping: Time,
    pings: SortedMap<u64, Time>,
    last_nonce: u64,
    /// Whether something happened on which the placer should act at once.
    place_soon: bool,
    next_place: Time,
    view_version: u64,
    view_sent: Option<(DomainView, Time)>,
    polled: Vec<(base::TargetName, base::Name)>,
}

impl Node {
    /// Creates a node that knows nothing yet.
    pub fn new(now: Time, config: NodeConfig) -> Node {
        let seed = config.seat.incarnation.0;
        let seat = config.seat.clone();
        let terms = LoanTerms::new(config.loan_span);
        let total = Units::per_domain(config.domains);
        Node {
            sync: ConfigSync::default(),
            members: Members::new(seat.clone(), config.domain.clone(), total),
            tokens: Tokens::new(terms, seed),
            views: Views::default(),
            placer: Placer::new(seat, config.domain.clone(), config.place.clone()),
            placers: SortedMap::default(),
            lease: ServiceLease::default(),
            listing_plans: false,
            claiming_placer: false,
            requests: SortedMap::default(),
            queue: FairQueue::default(),
            loads: LoadTable::new(seed),
            retries: RetryBudget::new(now),
            wants: SortedMap::default(),
            traces: TraceLog::default(),
            stats: NodeStats::default(),
            out: Outbox::default(),
            random: SmallRng::seed_from_u64(seed),
            service_up: false,
            catching_up: false,
            listed: false,
            watching: true,
            retiring: false,
            draining: false,
            drained: false,
            next_ping: now,
            pings: SortedMap::default(),
            last_nonce: seed,
            place_soon: false,
            next_place: now,
            view_version: 0,
            view_sent: None,
            polled: Vec::new(),
            config,
        }
    }

    /// Handles an event and returns what the host must do.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Arrived(spec) => self.arrived(now, spec),
            Event::Ended(request, end) => self.ended(now, request, end),
            Event::Abandoned(request) => self.abandoned(now, request),
            Event::Peer(seat, message) => self.peer_message(now, seat, message),
            Event::Service(event) => self.service_event(now, event),
            Event::Hosts(hosts) => self.members.hosts_seen(hosts),
            Event::Report(target, asked_at, report) => {
                self.loads.record_report(&target, report.running + report.waiting);
                self.placer.apply_report(now, &target, asked_at, report);
            }
            Event::OrderEnded(target, id, outcome) => {
                self.place_soon = true;
                self.placer.finish_send(now, &target, id, outcome);
            }
            Event::Propose(token, draft) => {
                let op = self.sync.propose(now, token, draft);
                self.call(OpPurpose::ProposalLog(token), op);
            }
            Event::Probe(revision) => self.probe(now, revision),
            Event::Retire => self.retiring = true,
            Event::Drain => self.draining = true,
        }
        if self.place_soon || now >= self.next_place {
            self.place_soon = false;
            self.next_place = now + PLACE_INTERVAL;
            self.place(now);
        }
        self.pump(now);
        self.finish_drain();
        std::mem::take(&mut self.out.actions)
    }

    /// Returns the configuration in force on this host.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        self.sync.snapshot()
    }

    /// Returns whether the balancer may send requests to the host.
    pub fn is_ready(&self, now: Time) -> bool {
        self.takes_requests() && !self.retiring && !self.are_keys_stale(now)
    }

    /// Returns whether the node holds a request.
    pub fn has_request(&self, request: RequestId) -> bool {
        self.requests.contains(&request)
    }

    fn takes_requests(&self) -> bool {
        self.sync.is_known() && !self.draining
    }

    /// Returns the counters.
    pub fn stats(&self) -> &NodeStats {
        &self.stats
    }

    /// Returns this node's seat.
    pub fn seat(&self) -> &Seat {
        &self.config.seat
    }

    /// Returns the number of requests in the node.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether this node is its failure domain's placer.
    pub fn is_placer(&self, now: Time) -> bool {
        self.is_leased(now)
    }

    /// Returns the status of all known seats.
    pub fn seats(&self, now: Time) -> Vec<SeatStatus> {
        self.members.status(now)
    }

    /// Returns the replicas that this node has recorded as placer.
    pub fn placed(&self) -> Vec<TargetStatus> {
        let plans = self.placer.plans();
        let replicas = plans.flat_map(|(target, plan)| {
            plan.replicas.iter().map(|(model, replica)| TargetStatus {
                target: target.clone(),
                model: model.clone(),
                phase: replica.phase,
                unresolved: !replica.is_resolved(),
            })
        });
        replicas.collect()
    }

    /// Returns the latest view of each failure domain.
    pub fn views(&self) -> impl Iterator<Item = &DomainView> {
        self.views.iter()
    }

    /// Returns the trace of a recent request.
    pub fn trace(&self, request: RequestId) -> Option<&RequestTrace> {
        self.traces.get(request)
    }

    fn tick(&mut self, now: Time) {
        if now >= self.next_ping {
            self.next_ping = now + PING_INTERVAL;
            self.ping_peers(now);
            self.confirm_outage(now);
            self.choose_watching(now);
        }
        self.write_roster(now);
        self.claim_placer(now);
        self.expire_requests(now);
        if !self.sync.is_known() && !self.service_up {
            self.ask_for_config(now);
        }
        // Pending units and deleted teams change shares with time alone.
        let snapshot = self.sync.snapshot().clone();
        self.tokens.set_shares(now, &snapshot, self.members.usable_units());
    }

    /// Acts on a new configuration: publishes it, tells peers and ends what it no longer permits.
    fn config_changed(&mut self, now: Time) {
        let snapshot = self.sync.snapshot().clone();
        self.out.actions.push(Action::Publish(snapshot.clone()));
        self.tokens.set_shares(now, &snapshot, self.members.usable_units());
        self.end_unpermitted(now);
    }

    fn finish_drain(&mut self) {
        if !self.draining || self.drained || !self.requests.is_empty() {
            return;
        }
        self.drained = true;
        match self.members.leave_txn().filter(|_| self.service_up) {
            Some(txn) => {
                self.call(OpPurpose::Leave, StoreOp::Txn(txn));
            }
            None => self.out.actions.push(Action::Drained),
        }
    }

    fn call(&mut self, purpose: OpPurpose, op: StoreOp) -> OpId {
        self.stats.service_calls += 1;
        self.out.call(purpose, op)
    }

    fn send(&mut self, to: &Address, message: PeerMessage) {
        self.stats.peer_messages += 1;
        self.out.send(to, message);
    }

    fn jitter(&mut self, low_ms: u64, high_ms: u64) -> Duration {
        Duration::from_millis(self.random.random_range(low_ms..high_ms))
    }

    fn team_weight(&self, team: &Option<TeamName>) -> u32 {
        let team = team.as_ref().and_then(|team| self.sync.snapshot().team(team));
        team.map_or(1, |team| team.weight)
    }
}
