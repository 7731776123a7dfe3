//! The state machine of an entry host.

mod claims;
mod demands;
mod peers;
mod placing;
mod requests;
mod service;

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
    Action, DomainView, Event, NodeStats, OpId, PeerMessage, ReplicaStatus, RequestTrace,
    SeatStatus, StoreOp,
};

/// Maximum time between two runs of the placer. A report alone does not trigger a run, because a
/// large failure domain produces hundreds of reports per second.
const PLACE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between ping rounds.
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
    /// Creates default settings for a node with a peer address in a failure domain.
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

    /// Sets the incarnation, which must differ from that of every earlier process at the address.
    pub fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.seat.incarnation = incarnation;
        self
    }

    /// Sets the number of failure domains that share each team's allowance.
    pub fn domains(mut self, domains: usize) -> Self {
        self.domains = domains.max(1);
        self
    }

    /// Sets how long API keys are accepted after the configuration was last confirmed as current.
    pub fn key_grace(mut self, grace: Duration) -> Self {
        self.key_grace = grace;
        self
    }

    /// Sets how long borrowed tokens may be used.
    pub fn loan_span(mut self, span: Duration) -> Self {
        self.loan_span = span;
        self
    }

    /// Sets the maximum number of waiting requests.
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

/// The purpose of a call to the key-value service, which decides how its answer is handled.
#[derive(Clone, Debug)]
enum OpPurpose {
    LogRead,
    ProposalLog(u64),
    ProposalTxn(u64),
    ProposalKey(u64),
    RosterWrite,
    RosterRead,
    RosterLeave,
    PlacerClaim,
    PlacerRead,
    PlanList(PlacerEntry),
    PlanWrite(base::TargetName),
    PlanRead(base::TargetName),
    CopiesRead(ModelName),
    ClaimWrite(RequestId),
    ClaimRead(RequestId),
    Ignored,
}

/// The actions produced by the current event, and the service calls that await answers.
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

    fn log(&mut self, text: impl Into<String>) {
        self.actions.push(Action::Log(text.into()));
    }
}

/// A demand for a model, kept while requests wait for it.
#[derive(Clone, Copy, Debug)]
struct PendingDemand {
    since: Time,
    sent_at: Option<Time>,
}

/// The decision state of one entry host.
pub struct Node {
    config: NodeConfig,
    sync: ConfigSync,
    members: Members,
    tokens: Tokens,
    views: Views,
    placer: Placer,
    placers: SortedMap<DomainName, PlacerEntry>,
    lease: ServiceLease,
    is_listing_plans: bool,
    is_claiming_placer: bool,
    requests: SortedMap<RequestId, RequestState>,
    queue: FairQueue,
    loads: LoadTable,
    retries: RetryBudget,
    pending_demands: SortedMap<ModelName, PendingDemand>,
    traces: TraceLog,
    stats: NodeStats,
    outbox: Outbox,
    random: SmallRng,
    is_service_up: bool,
    is_catching_up: bool,
    has_listing: bool,
    is_watching: bool,
    is_retiring: bool,
    is_draining: bool,
    is_drained: bool,
    next_ping_at: Time,
    pings: SortedMap<u64, Time>,
    last_nonce: u64,
    /// Whether the placer must run at the end of this event.
    is_placing_due: bool,
    next_place_at: Time,
    view_version: u64,
    last_view: Option<(DomainView, Time)>,
    polled_targets: Vec<(base::TargetName, base::Name)>,
}

impl Node {
    /// Creates a node without configuration or members.
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
            is_listing_plans: false,
            is_claiming_placer: false,
            requests: SortedMap::default(),
            queue: FairQueue::default(),
            loads: LoadTable::new(seed),
            retries: RetryBudget::new(now),
            pending_demands: SortedMap::default(),
            traces: TraceLog::default(),
            stats: NodeStats::default(),
            outbox: Outbox::default(),
            random: SmallRng::seed_from_u64(seed),
            is_service_up: false,
            is_catching_up: false,
            has_listing: false,
            is_watching: true,
            is_retiring: false,
            is_draining: false,
            is_drained: false,
            next_ping_at: now,
            pings: SortedMap::default(),
            last_nonce: seed,
            is_placing_due: false,
            next_place_at: now,
            view_version: 0,
            last_view: None,
            polled_targets: Vec::new(),
            config,
        }
    }

    /// Handles an event and returns the actions that the host must carry out, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Arrived(spec) => self.handle_arrival(now, spec),
            Event::Ended(request, end) => self.handle_end(now, request, end),
            Event::Abandoned(request) => self.abandon(now, request),
            Event::Peer(seat, message) => self.handle_peer_message(now, seat, message),
            Event::Service(event) => self.handle_service_event(now, event),
            Event::Hosts(hosts) => self.members.update_hosts(hosts),
            Event::Report(target, asked_at, report) => {
                self.loads.record_report(&target, report.running + report.waiting);
                self.placer.apply_report(now, &target, asked_at, report);
            }
            Event::OrderEnded(target, id, outcome) => {
                self.is_placing_due = true;
                self.placer.finish_send(now, &target, id, outcome);
            }
            Event::Propose(proposal_id, draft) => {
                let op = self.sync.propose(now, proposal_id, draft);
                self.call(OpPurpose::ProposalLog(proposal_id), op);
            }
            Event::Probe(revision) => self.ping_outdated_seats(now, revision),
            Event::Retire => self.is_retiring = true,
            Event::Drain => self.is_draining = true,
        }
        if self.is_placing_due || now >= self.next_place_at {
            self.is_placing_due = false;
            self.next_place_at = now + PLACE_INTERVAL;
            self.run_placer(now);
        }
        self.advance_requests(now);
        self.finish_drain();
        std::mem::take(&mut self.outbox.actions)
    }

    /// Returns the configuration in force on this host.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        self.sync.snapshot()
    }

    /// Returns whether the load balancer may send requests to this host.
    pub fn is_ready(&self, now: Time) -> bool {
        self.accepts_requests() && !self.is_retiring && !self.are_keys_stale(now)
    }

    /// Returns whether a request is waiting or running in this node.
    pub fn has_request(&self, request: RequestId) -> bool {
        self.requests.contains(&request)
    }

    fn accepts_requests(&self) -> bool {
        self.sync.is_known() && !self.is_draining
    }

    /// Returns the counters.
    pub fn stats(&self) -> &NodeStats {
        &self.stats
    }

    /// Returns this node's seat.
    pub fn seat(&self) -> &Seat {
        &self.config.seat
    }

    /// Returns the number of requests that are waiting or running in this node.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether this node is its failure domain's placer.
    pub fn is_placer(&self, now: Time) -> bool {
        self.holds_placer_lease(now)
    }

    /// Returns the status of every known seat.
    pub fn seats(&self, now: Time) -> Vec<SeatStatus> {
        self.members.seat_statuses(now)
    }

    /// Returns the replicas in the plans that this node has recorded as placer.
    pub fn planned_replicas(&self) -> Vec<ReplicaStatus> {
        let plans = self.placer.plans();
        let replicas = plans.flat_map(|(target, plan)| {
            plan.replicas.iter().map(|(model, replica)| ReplicaStatus {
                target: target.clone(),
                model: model.clone(),
                phase: replica.phase,
                is_unresolved: !replica.is_resolved(),
            })
        });
        replicas.collect()
    }

    /// Iterates over the latest view of each failure domain.
    pub fn views(&self) -> impl Iterator<Item = &DomainView> {
        self.views.iter()
    }

    /// Returns the trace of a recent request.
    pub fn trace(&self, request: RequestId) -> Option<&RequestTrace> {
        self.traces.get(request)
    }

    fn tick(&mut self, now: Time) {
        if now >= self.next_ping_at {
            self.next_ping_at = now + PING_INTERVAL;
            self.ping_peers(now);
            self.confirm_config_in_outage(now);
            self.update_watching(now);
        }
        self.write_roster(now);
        self.claim_placer(now);
        self.expire_requests(now);
        if !self.sync.is_known() && !self.is_service_up {
            self.request_config(now);
        }
        // Shares also change with time alone: new units count only after a delay, and the bucket
        // of a deleted team is dropped once it is idle.
        let snapshot = self.sync.snapshot().clone();
        self.tokens.set_shares(now, &snapshot, self.members.usable_units());
    }

    /// Puts a new configuration into force: publishes it, recomputes the token shares and ends the
    /// requests that it no longer permits.
    fn publish_config(&mut self, now: Time) {
        let snapshot = self.sync.snapshot().clone();
        self.outbox.actions.push(Action::Publish(snapshot.clone()));
        self.tokens.set_shares(now, &snapshot, self.members.usable_units());
        self.end_unpermitted(now);
    }

    /// Completes the drain once no request is left: leaves the roster, then reports it.
    fn finish_drain(&mut self) {
        if !self.is_draining || self.is_drained || !self.requests.is_empty() {
            return;
        }
        self.is_drained = true;
        match self.members.leave_txn().filter(|_| self.is_service_up) {
            Some(txn) => {
                self.call(OpPurpose::RosterLeave, StoreOp::Txn(txn));
            }
            None => self.outbox.actions.push(Action::Drained),
        }
    }

    fn call(&mut self, purpose: OpPurpose, op: StoreOp) -> OpId {
        self.stats.service_calls += 1;
        self.outbox.call(purpose, op)
    }

    fn send(&mut self, to: &Address, message: PeerMessage) {
        self.stats.peer_messages += 1;
        self.outbox.send(to, message);
    }

    fn jitter(&mut self, low_ms: u64, high_ms: u64) -> Duration {
        Duration::from_millis(self.random.random_range(low_ms..high_ms))
    }

    fn team_weight(&self, team: &Option<TeamName>) -> u32 {
        let team = team.as_ref().and_then(|team| self.sync.snapshot().team(team));
        team.map_or(1, |team| team.weight)
    }
}
