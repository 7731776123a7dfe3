//! The placer: decides placement for one failure domain.

mod choose;
mod estimate;
mod reconcile;
mod reserve;
mod settings;
mod target;

use std::time::Duration;

use base::{DomainName, Fence, ModelName, OrderId, Revision, Seat, SortedMap, TargetName, Time};
use config::Snapshot;

use self::estimate::LoadTimes;
pub use self::settings::PlaceConfig;
use self::target::{ReceivedReport, TargetState};
use crate::demand::{Demand, DemandRefusal, ModelDemand};
use crate::order::{Order, OrderKind, OrderMessage, OrderOutcome};
use crate::plan::{CopyLedger, Phase, TargetPlan};
use crate::report::TargetReport;

/// Number of order identifiers available to each term.
const ORDERS_PER_TERM: u64 = 1 << 24;
/// Age up to which a report counts as current, per target of the failure domain. It is three times
/// the time in which a daemon reads one report.
const REPORT_MAX_AGE_PER_TARGET: Duration = Duration::from_millis(24);
/// Time after which a demand that is not repeated expires.
const DEMAND_TTL: Duration = Duration::from_secs(2);

/// The state of the system outside the placer, as its host sees it.
#[derive(Clone, Debug, Default)]
pub struct HostState {
    /// Whether the lease is certainly still valid.
    pub has_lease: bool,
    /// Whether the key-value service answers.
    pub service_up: bool,
    /// Daemon instances (seats) of the failure domain, sorted; `None` while they are unknown. An
    /// instance is removed only by itself or after proof that it is gone.
    pub seats: Option<Vec<Seat>>,
    /// Targets that the list of hosts shows as leaving, sorted.
    pub leaving: Vec<TargetName>,
    /// Models with a loading or ready replica in another reachable failure domain, sorted.
    pub remote_models: Vec<ModelName>,
}

/// A write of one target's plan, with the ledgers of the models whose copies change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceWrite {
    /// Target whose plan is written.
    pub target: TargetName,
    /// Expected revision of the stored plan; 0 if there must be none.
    pub expected: Revision,
    /// The new plan.
    pub plan: TargetPlan,
    /// Models whose copies change, each with the expected revision and the new value of its ledger.
    pub copies: Vec<(ModelName, Revision, CopyLedger)>,
}

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect at this revision.
    Recorded(Revision),
    /// An expected revision did not match. The write has no effect.
    Conflict,
    /// There was no answer. The write may take effect at any time.
    Unknown,
}

/// An action that the placer requests from its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlaceAction {
    /// Write a plan to the key-value service, if this daemon still holds the lease.
    Record(PlaceWrite),
    /// Read the plan of a target.
    ReadPlan(TargetName),
    /// Read the ledger of a model.
    ReadLedger(ModelName),
    /// Send an order to its target.
    Send(OrderMessage),
    /// Ask the issuer of these orders to disown them.
    AskIssuer(Seat, Vec<OrderId>),
    /// Tell the gateways that a replica can't be ready in time.
    RefuseDemand(DemandRefusal),
}

/// One replica that requests may use or wait for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Residency {
    /// Target that holds it.
    pub target: TargetName,
    /// Model or adapter.
    pub model: ModelName,
    /// Whether it answers requests; false while it loads.
    pub ready: bool,
}

impl Residency {
    /// Returns whether both name the same model on the same target.
    pub fn is_same_replica(&self, other: &Residency) -> bool {
        (&self.target, &self.model) == (&other.target, &other.model)
    }
}

/// The state of a load order that this daemon sent or disowned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendState {
    /// Sent; the outcome is pending.
    InFlight,
    /// Sent, with this outcome.
    Ended(OrderOutcome),
    /// Not sent, and never to be sent in the future.
    Disowned,
}

/// A model's ledger as it was last read or written.
#[derive(Clone, Debug)]
struct CachedLedger {
    revision: Revision,
    ledger: CopyLedger,
    read_at: Time,
}

/// Decides placement for one failure domain.
///
/// A placer lasts for many terms. It remembers the orders that it sent, because an order must not
/// be sent twice, even if the lease is lost and acquired again in between.
#[derive(Clone, Debug)]
pub struct Placer {
    seat: Seat,
    domain: DomainName,
    config: PlaceConfig,
    /// Fencing token of the current term.
    fence: Option<Fence>,
    /// Number of orders created in the current term.
    order_count: u64,
    targets: SortedMap<TargetName, TargetState>,
    ledgers: SortedMap<ModelName, CachedLedger>,
    pending_ledger_reads: Vec<ModelName>,
    demands: SortedMap<ModelName, Demand>,
    /// When each model was last in demand.
    last_demand_at: SortedMap<ModelName, Time>,
    send_states: SortedMap<OrderId, SendState>,
    /// Issuers that are gone but have unresolved orders, with the time at which this was first seen.
    gone_issuers: SortedMap<Seat, Time>,
    load_times: LoadTimes,
    /// Number of reconcile rounds. It selects which unchanged targets are reconciled.
    round: usize,
}

impl Placer {
    /// Creates a placer that holds no lease.
    pub fn new(seat: Seat, domain: DomainName, config: PlaceConfig) -> Placer {
        Placer {
            seat,
            domain,
            config,
            fence: None,
            order_count: 0,
            targets: SortedMap::default(),
            ledgers: SortedMap::default(),
            pending_ledger_reads: Vec::new(),
            demands: SortedMap::default(),
            last_demand_at: SortedMap::default(),
            send_states: SortedMap::default(),
            gone_issuers: SortedMap::default(),
            load_times: LoadTimes::default(),
            round: 0,
        }
    }

    /// Returns the fencing token of the current term, or `None` without a lease.
    pub fn fence(&self) -> Option<Fence> {
        self.fence
    }

    /// Starts a term with the plans that were read after the lease was acquired.
    pub fn begin_term(
        &mut self,
        now: Time,
        fence: Fence,
        plans: impl IntoIterator<Item = (TargetName, Revision, TargetPlan)>,
    ) {
        self.fence = Some(fence);
        self.order_count = 0;
        self.ledgers = SortedMap::default();
        self.pending_ledger_reads.clear();
        let old_targets = std::mem::take(&mut self.targets);
        for (name, revision, plan) in plans {
            let mut state = TargetState { revision: Some(revision), ..TargetState::default() };
            state.last_report = old_targets.get(&name).and_then(|state| state.last_report.clone());
            state.set_plan(now, plan);
            if let Some(received) = &state.last_report {
                for id in &received.report.orders {
                    state.resolved_at.entry(*id, || received.requested_at);
                }
            }
            self.targets.insert(name, state);
        }
    }

    /// Ends the term. Recorded orders that were not sent wait for the next term.
    pub fn end_term(&mut self) {
        self.fence = None;
        self.demands = SortedMap::default();
    }

    /// Adds a gateway's demand for a model to that of other gateways, or renews it.
    pub fn add_demand(&mut self, now: Time, update: &ModelDemand) {
        let deadline = now + update.time_left;
        self.last_demand_at.insert(update.model.clone(), now);
        let new_demand = || Demand { seen_at: now, deadline, waiting: 0, extra: false };
        let demand = self.demands.entry(update.model.clone(), new_demand);
        if now.since(demand.seen_at) > DEMAND_TTL {
            *demand = new_demand();
        }
        demand.seen_at = now;
        demand.deadline =
            if now >= demand.deadline { deadline } else { demand.deadline.min(deadline) };
        demand.waiting = update.waiting;
        demand.extra = update.extra;
    }

    /// Processes a target's report that was requested at `requested_at`.
    pub fn apply_report(
        &mut self,
        now: Time,
        target: &TargetName,
        requested_at: Time,
        report: TargetReport,
    ) {
        let state = self.targets.entry(target.clone(), TargetState::default);
        if state.last_report.as_ref().is_some_and(|received| received.requested_at > requested_at) {
            return;
        }
        state.record_uses(now, &report);
        for (duration, memory) in state.take_finished_loads(now, &report) {
            self.load_times.add(now, duration, memory);
        }
        for id in &report.orders {
            state.resolved_at.entry(*id, || requested_at);
        }
        let is_unchanged = |received: &ReceivedReport| {
            let ready = |report: &TargetReport| -> Vec<(ModelName, bool)> {
                report.replicas.iter().map(|r| (r.model.clone(), r.ready)).collect()
            };
            received.report.orders == report.orders && ready(&received.report) == ready(&report)
        };
        state.is_dirty |= !state.last_report.as_ref().is_some_and(is_unchanged);
        state.last_report = Some(ReceivedReport { report, requested_at });
    }

    /// Processes the result of a write of the target's plan.
    pub fn finish_write(&mut self, now: Time, target: &TargetName, outcome: WriteOutcome) {
        let Some(state) = self.targets.get_mut(target) else { return };
        let Some(write) = state.pending_write.take() else { return };
        match outcome {
            WriteOutcome::Recorded(revision) => {
                state.revision = Some(revision);
                state.set_plan(now, write.plan);
                for (model, _, ledger) in write.copies {
                    self.ledgers.insert(model, CachedLedger { revision, ledger, read_at: now });
                }
            }
            // Without a revision the plan is read again. If the write takes effect after that read,
            // the next write conflicts on its revision and so can't overwrite it.
            WriteOutcome::Conflict | WriteOutcome::Unknown => {
                state.revision = None;
                for (model, _, _) in &write.copies {
                    self.ledgers.remove(model);
                }
            }
        }
    }

    /// Processes a plan that was read. Revision 0 means that there is no plan; `None` means that
    /// the read failed.
    pub fn finish_plan_read(
        &mut self,
        now: Time,
        target: &TargetName,
        read: Option<(Revision, TargetPlan)>,
    ) {
        let state = self.targets.entry(target.clone(), TargetState::default);
        state.is_reading = false;
        if let Some((revision, plan)) = read {
            if state.pending_write.is_none() {
                state.revision = Some(revision);
                state.set_plan(now, plan);
            }
        }
    }

    /// Processes a ledger that was read. Revision 0 means that there is no ledger; `None` means that
    /// the read failed.
    pub fn finish_ledger_read(
        &mut self,
        now: Time,
        model: &ModelName,
        read: Option<(Revision, CopyLedger)>,
    ) {
        self.pending_ledger_reads.retain(|other| other != model);
        if let Some((revision, ledger)) = read {
            self.ledgers.insert(model.clone(), CachedLedger { revision, ledger, read_at: now });
        }
    }

    /// Processes the outcome of an order that this daemon sent.
    pub fn finish_send(
        &mut self,
        now: Time,
        target: &TargetName,
        id: OrderId,
        outcome: OrderOutcome,
    ) {
        if let Some(state) = self.send_states.get_mut(&id) {
            *state = SendState::Ended(outcome);
        }
        let state = self.targets.entry(target.clone(), TargetState::default);
        state.is_dirty = true;
        if outcome != OrderOutcome::Unknown {
            state.resolved_at.entry(id, || now);
        }
        if outcome == OrderOutcome::Accepted {
            state.acked_order = state.acked_order.max(id);
        }
    }

    /// Marks those of `orders` that were not sent as never to be sent.
    ///
    /// Returns the orders that can no longer arrive: they were not sent, or their outcome is known.
    /// Orders of the current term are left out.
    pub fn disown_orders(&mut self, orders: &[OrderId]) -> Vec<OrderId> {
        let mut disowned = Vec::new();
        for id in orders {
            let is_current_term = self.fence.is_some_and(|fence| order_fence(*id) == fence);
            let state = *self.send_states.entry(*id, || SendState::Disowned);
            let is_resolved = match state {
                SendState::Disowned => true,
                SendState::Ended(outcome) => outcome != OrderOutcome::Unknown,
                SendState::InFlight => false,
            };
            if is_resolved && !is_current_term {
                disowned.push(*id);
            }
        }
        disowned
    }

    /// Processes an issuer's statement that these orders can no longer arrive. Orders of other
    /// issuers are ignored.
    pub fn apply_disowned(&mut self, now: Time, issuer: &Seat, orders: &[OrderId]) {
        for state in self.targets.values_mut() {
            let recorded = state.plan.replicas.values().flat_map(|replica| &replica.orders);
            let matching = recorded.filter(|o| o.issuer == *issuer && orders.contains(&o.id));
            for id in matching.map(|order| order.id).collect::<Vec<_>>() {
                state.resolved_at.entry(id, || now);
            }
        }
    }

    /// Returns the actions to execute next. Without a lease there are none.
    pub fn tick(&mut self, now: Time, snapshot: &Snapshot, host: &HostState) -> Vec<PlaceAction> {
        let Some(fence) = self.fence else { return Vec::new() };
        let mut actions = Vec::new();
        self.demands.retain(|_, demand| now.since(demand.seen_at) <= DEMAND_TTL);
        self.add_targets(snapshot);
        self.read_plans(&mut actions);
        if host.has_lease && host.service_up {
            self.reconcile_targets(now, snapshot, host, &mut actions);
            self.choose_loads(now, snapshot, host, fence, &mut actions);
            self.choose_reserve(now, snapshot, host, fence, &mut actions);
        }
        if !host.service_up {
            self.load_reserved(now, snapshot, &mut actions);
        }
        self.send_orders(now, snapshot, host, &mut actions);
        actions
    }

    /// Returns the replicas that requests may use or wait for.
    pub fn residency(&self, now: Time, host: &HostState) -> Vec<Residency> {
        let mut residency = Vec::new();
        for (target, state) in self.targets.iter() {
            let Some(received) = state.last_report.as_ref() else { continue };
            let is_current = now.since(received.requested_at) <= self.report_max_age();
            if !is_current || host.leaving.binary_search(target).is_ok() {
                continue;
            }
            for (model, replica) in state.plan.replicas.iter() {
                let is_servable = match replica.phase {
                    Phase::Loading | Phase::Loaded => true,
                    Phase::Reserved => self.is_load_sent(replica),
                    Phase::Unloading => false,
                };
                if !is_servable {
                    continue;
                }
                let ready = received.report.replica(model).is_some_and(|r| r.ready);
                residency.push(Residency { target: target.clone(), model: model.clone(), ready });
            }
        }
        residency
    }

    /// Returns the number of running and waiting requests of each target, from its last report.
    pub fn target_loads(&self) -> Vec<(TargetName, u32)> {
        let last_report = |state: &TargetState| {
            state.last_report.as_ref().map(|received| received.report.clone())
        };
        let loads = self.targets.iter().filter_map(|(name, state)| {
            let report = last_report(state)?;
            Some((name.clone(), report.running + report.waiting))
        });
        loads.collect()
    }

    /// Returns an iterator over the recorded plans, for status pages.
    pub fn plans(&self) -> impl Iterator<Item = (&TargetName, &TargetPlan)> {
        self.targets.iter().map(|(name, state)| (name, &state.plan))
    }

    fn add_targets(&mut self, snapshot: &Snapshot) {
        for target in snapshot.targets().filter(|target| target.domain == self.domain) {
            if target.kind == config::TargetKind::Engine {
                // A plan that was not read at the start of the term does not exist.
                let missing = || TargetState { revision: Some(Revision(0)), ..Default::default() };
                self.targets.entry(target.name.clone(), missing);
            }
        }
    }

    fn read_plans(&mut self, actions: &mut Vec<PlaceAction>) {
        for (name, state) in self.targets.iter_mut() {
            if state.revision.is_none() && !state.is_reading && state.pending_write.is_none() {
                state.is_reading = true;
                actions.push(PlaceAction::ReadPlan(name.clone()));
            }
        }
    }

    /// Returns the age up to which a report counts as current. It grows with the failure domain,
    /// since with more targets each one reports less often.
    fn report_max_age(&self) -> Duration {
        let targets = u32::try_from(self.targets.len()).unwrap_or(u32::MAX);
        self.config.report_max_age.max(REPORT_MAX_AGE_PER_TARGET * targets)
    }

    fn next_order(&mut self, fence: Fence) -> OrderId {
        self.order_count += 1;
        OrderId(fence.0 * ORDERS_PER_TERM + self.order_count)
    }

    fn send_orders(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        host: &HostState,
        actions: &mut Vec<PlaceAction>,
    ) {
        let Some(fence) = self.fence.filter(|_| host.has_lease) else { return };
        let mut due = Vec::new();
        for (name, state) in self.targets.iter() {
            if state.revision.is_none() || state.pending_write.is_some() {
                continue;
            }
            let send_states = &self.send_states;
            let mut orders = state.plan.replicas.values().flat_map(|replica| &replica.orders);
            if orders.any(|order| send_states.get(&order.id) == Some(&SendState::InFlight)) {
                continue;
            }
            if let Some(order) = state.next_load(name, &self.seat, send_states, snapshot) {
                due.push(order);
            } else if let Some(model) = state.next_unload(now, &self.config) {
                due.push((name.clone(), OrderKind::Unload, OrderId(0), model));
            }
        }
        for (target, kind, id, model) in due {
            let id = if kind == OrderKind::Load { id } else { self.next_order(fence) };
            self.send_order(now, snapshot, target, kind, id, model, actions);
        }
    }

    #[expect(clippy::too_many_arguments)]
    fn send_order(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        target: TargetName,
        kind: OrderKind,
        id: OrderId,
        model: ModelName,
        actions: &mut Vec<PlaceAction>,
    ) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        let Some(replica) = state.plan.replicas.get(&model) else { return };
        let base = snapshot.servable(&model).and_then(|servable| servable.base.cloned());
        let order = Order::decide(target, kind, id, model.clone()).with_size(replica.memory, base);
        let (message, order) = order.into_recorded().dispatch(Fence(id.0));
        match kind {
            OrderKind::Load => {
                self.send_states.insert(order.id(), SendState::InFlight);
                state.loading_since.insert(model, now);
            }
            OrderKind::Unload => {
                if let Some((_, sent_at)) = state.unloading.get_mut(&model) {
                    *sent_at = Some(now);
                }
            }
        }
        actions.push(PlaceAction::Send(message));
    }
}

/// Returns the fencing token of the term in which an order was created.
fn order_fence(id: OrderId) -> Fence {
    Fence(id.0 / ORDERS_PER_TERM)
}
