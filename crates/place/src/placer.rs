//! The placer of one failure domain.

mod choose;
mod estimate;
mod reserve;
mod setting;
mod settle;
mod target;

use std::time::Duration;

use base::{DomainName, Fence, ModelName, OrderId, Revision, Seat, SortedMap, TargetName, Time};
use config::Snapshot;

use self::estimate::LoadTimes;
pub use self::setting::PlaceConfig;
use self::target::{HeardReport, TargetState};
use crate::order::{Order, OrderKind, OrderMessage, OrderOutcome};
use crate::plan::{CopyLedger, Phase, TargetPlan};
use crate::report::TargetReport;
use crate::want::{Demand, ModelWant, WantAnswer};

/// Orders that one placer term can number.
const ORDERS_PER_TERM: u64 = 1 << 24;
/// Time for which a report counts as current, for each target of the failure domain; three times
/// that in which a daemon reads one.
const REPORT_SPAN_PER_TARGET: Duration = Duration::from_millis(24);
/// How long a demand counts after its last repetition.
const WANT_SPAN: Duration = Duration::from_secs(2);

/// What the placer learns from its host about the rest of the system.
#[derive(Clone, Debug, Default)]
pub struct HostState {
    /// Whether the lease certainly still holds.
    pub leased: bool,
    /// Whether the key-value service answers.
    pub service_up: bool,
    /// The present seats of the failure domain, sorted; `None` while they are not known. A seat
    /// leaves only by its own act or with proof that it is gone.
    pub seats: Option<Vec<Seat>>,
    /// Targets that the host list shows as leaving, sorted.
    pub leaving: Vec<TargetName>,
    /// Models with a replica loading or ready in another failure domain that can be reached,
    /// sorted.
    pub remote: Vec<ModelName>,
}

/// A write of one target's plan, with the ledger of a model whose copies change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceWrite {
    /// Target concerned.
    pub target: TargetName,
    /// Revision of the plan on which the write depends; 0 when it must not exist.
    pub expected: Revision,
    /// The new plan.
    pub plan: TargetPlan,
    /// Models whose copies change, with the revision on which the write depends.
    pub copies: Vec<(ModelName, Revision, CopyLedger)>,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect at this revision.
    Recorded(Revision),
    /// Something on which it depends had changed; it has no effect.
    Conflict,
    /// The answer was lost or no answer came; it may take effect at any time.
    Unknown,
}

/// What a placer asks its host to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlaceAction {
    /// Record a write, if this seat still holds the lease.
    Record(PlaceWrite),
    /// Read the plan of a target.
    ReadPlan(TargetName),
    /// Read the ledger of a model.
    ReadCopies(ModelName),
    /// Send an order to its target.
    Send(OrderMessage),
    /// Ask issuers whether these orders will never be sent.
    AskIssuer(Seat, Vec<OrderId>),
    /// Tell the gateways that a load can't be ready in time.
    Answer(WantAnswer),
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
    /// Returns whether both are about the same model on the same target.
    pub fn is_same_place(&self, other: &Residency) -> bool {
        (&self.target, &self.model) == (&other.target, &other.model)
    }
}

/// One load order that this seat sent or gave up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendState {
    InFlight,
    Ended(OrderOutcome),
    Disowned,
}

/// A model's ledger as it was last read or written.
#[derive(Clone, Debug)]
struct KnownLedger {
    revision: Revision,
    ledger: CopyLedger,
    read_at: Time,
}

/// Decides placement for one failure domain.
///
/// The placer outlives its terms: it remembers the orders that it sent, because an order must not
/// go out twice, even across a lost and regained lease.
#[derive(Clone, Debug)]
pub struct Placer {
    seat: Seat,
    domain: DomainName,
    config: PlaceConfig,
    fence: Option<Fence>,
    orders_made: u64,
    targets: SortedMap<TargetName, TargetState>,
    copies: SortedMap<ModelName, KnownLedger>,
    reading_copies: Vec<ModelName>,
    demands: SortedMap<ModelName, Demand>,
    /// When each model was last wanted.
    wanted_at: SortedMap<ModelName, Time>,
    sends: SortedMap<OrderId, SendState>,
    /// Issuers of unresolved orders that are no longer seated, and since when that is known.
    gone: SortedMap<Seat, Time>,
    load_times: LoadTimes,
    /// Counts the rounds in which unchanged targets are settled in turn.
    turn: usize,
}

impl Placer {
    /// Creates a placer that holds no lease.
    pub fn new(seat: Seat, domain: DomainName, config: PlaceConfig) -> Placer {
        Placer {
            seat,
            domain,
            config,
            fence: None,
            orders_made: 0,
            targets: SortedMap::default(),
            copies: SortedMap::default(),
            reading_copies: Vec::new(),
            demands: SortedMap::default(),
            wanted_at: SortedMap::default(),
            sends: SortedMap::default(),
            gone: SortedMap::default(),
            load_times: LoadTimes::default(),
            turn: 0,
        }
    }

    /// Returns the fencing number of the present term.
    pub fn fence(&self) -> Option<Fence> {
        self.fence
    }

    /// Starts a term with the plans that were read after the lease was acquired.
    pub fn begin(
        &mut self,
        now: Time,
        fence: Fence,
        plans: impl IntoIterator<Item = (TargetName, Revision, TargetPlan)>,
    ) {
        self.fence = Some(fence);
        self.orders_made = 0;
        self.copies = SortedMap::default();
        self.reading_copies.clear();
        let old = std::mem::take(&mut self.targets);
        for (name, revision, plan) in plans {
            let mut state = TargetState { revision: Some(revision), ..TargetState::default() };
            state.heard = old.get(&name).and_then(|state| state.heard.clone());
            state.set_plan(now, plan);
            if let Some(heard) = &state.heard {
                for id in &heard.report.orders {
                    state.resolved.entry(*id, || heard.asked_at);
                }
            }
            self.targets.insert(name, state);
        }
    }

    /// Ends the term. Recorded orders that were not sent stay unsent until the next term.
    pub fn end(&mut self) {
        self.fence = None;
        self.demands = SortedMap::default();
    }

    /// Takes a gateway's demand.
    pub fn want(&mut self, now: Time, want: &ModelWant) {
        let deadline = now + want.time_left;
        self.wanted_at.insert(want.model.clone(), now);
        let fresh = || Demand { seen_at: now, deadline, waiting: 0, extra: false };
        let demand = self.demands.entry(want.model.clone(), fresh);
        if now.since(demand.seen_at) > WANT_SPAN {
            *demand = fresh();
        }
        demand.seen_at = now;
        demand.deadline =
            if now >= demand.deadline { deadline } else { demand.deadline.min(deadline) };
        demand.waiting = want.waiting;
        demand.extra = want.extra;
    }

    /// Takes a target's report, which was asked for at `asked_at`.
    pub fn report(&mut self, now: Time, target: &TargetName, asked_at: Time, report: TargetReport) {
        let state = self.targets.entry(target.clone(), TargetState::default);
        if state.heard.as_ref().is_some_and(|heard| heard.asked_at > asked_at) {
            return;
        }
        state.note_use(now, &report);
        for (span, bytes) in state.finished_loads(now, &report) {
            self.load_times.add(now, span, bytes);
        }
        for id in &report.orders {
            state.resolved.entry(*id, || asked_at);
        }
        let same = |heard: &HeardReport| {
            let ready = |report: &TargetReport| -> Vec<(ModelName, bool)> {
                report.replicas.iter().map(|r| (r.model.clone(), r.ready)).collect()
            };
            heard.report.orders == report.orders && ready(&heard.report) == ready(&report)
        };
        state.dirty |= !state.heard.as_ref().is_some_and(same);
        state.heard = Some(HeardReport { report, asked_at });
    }

    /// Takes the end of a write.
    pub fn written(&mut self, now: Time, target: &TargetName, outcome: WriteOutcome) {
        let Some(state) = self.targets.get_mut(target) else { return };
        let Some(write) = state.writing.take() else { return };
        match outcome {
            WriteOutcome::Recorded(revision) => {
                state.revision = Some(revision);
                state.set_plan(now, write.plan);
                for (model, _, ledger) in write.copies {
                    self.copies.insert(model, KnownLedger { revision, ledger, read_at: now });
                }
            }
            // The plan is read again. A write that takes effect after that read makes the next
            // write fail on its revision, so it can't be overwritten unseen.
            WriteOutcome::Conflict | WriteOutcome::Unknown => {
                state.revision = None;
                for (model, _, _) in &write.copies {
                    self.copies.remove(model);
                }
            }
        }
    }

    /// Takes a plan that was read; revision 0 stands for none. `None` means that reading failed.
    pub fn plan_read(
        &mut self,
        now: Time,
        target: &TargetName,
        read: Option<(Revision, TargetPlan)>,
    ) {
        let state = self.targets.entry(target.clone(), TargetState::default);
        state.reading = false;
        if let Some((revision, plan)) = read {
            if state.writing.is_none() {
                state.revision = Some(revision);
                state.set_plan(now, plan);
            }
        }
    }

    /// Takes a ledger that was read; revision 0 stands for none. `None` means that reading failed.
    pub fn copies_read(
        &mut self,
        now: Time,
        model: &ModelName,
        read: Option<(Revision, CopyLedger)>,
    ) {
        self.reading_copies.retain(|other| other != model);
        if let Some((revision, ledger)) = read {
            self.copies.insert(model.clone(), KnownLedger { revision, ledger, read_at: now });
        }
    }

    /// Takes the end of an order that this seat sent.
    pub fn sent(&mut self, now: Time, target: &TargetName, id: OrderId, outcome: OrderOutcome) {
        if let Some(send) = self.sends.get_mut(&id) {
            *send = SendState::Ended(outcome);
        }
        let state = self.targets.entry(target.clone(), TargetState::default);
        state.dirty = true;
        if outcome != OrderOutcome::Unknown {
            state.resolved.entry(id, || now);
        }
        if outcome == OrderOutcome::Accepted {
            state.acked = state.acked.max(id);
        }
    }

    /// Returns which of `orders` this seat will never send again, and keeps to that.
    pub fn disown(&mut self, orders: &[OrderId]) -> Vec<OrderId> {
        let mut disowned = Vec::new();
        for id in orders {
            let leased = self.fence.is_some_and(|fence| order_fence(*id) == fence);
            let state = *self.sends.entry(*id, || SendState::Disowned);
            let resolved = match state {
                SendState::Disowned => true,
                SendState::Ended(outcome) => outcome != OrderOutcome::Unknown,
                SendState::InFlight => false,
            };
            if resolved && !leased {
                disowned.push(*id);
            }
        }
        disowned
    }

    /// Takes an issuer's statement that it will never send these orders again.
    /// Statements about orders of other issuers have no effect.
    pub fn disowned(&mut self, now: Time, issuer: &Seat, orders: &[OrderId]) {
        for state in self.targets.values_mut() {
            let recorded = state.plan.replicas.values().flat_map(|replica| &replica.orders);
            let named = recorded.filter(|o| o.issuer == *issuer && orders.contains(&o.id));
            for id in named.map(|order| order.id).collect::<Vec<_>>() {
                state.resolved.entry(id, || now);
            }
        }
    }

    /// Decides what to do next.
    pub fn tick(&mut self, now: Time, snapshot: &Snapshot, host: &HostState) -> Vec<PlaceAction> {
        let Some(fence) = self.fence else { return Vec::new() };
        let mut actions = Vec::new();
        self.demands.retain(|_, demand| now.since(demand.seen_at) <= WANT_SPAN);
        self.add_targets(snapshot);
        self.read_plans(&mut actions);
        if host.leased && host.service_up {
            self.settle_targets(now, snapshot, host, &mut actions);
            self.choose_loads(now, snapshot, host, fence, &mut actions);
            self.choose_reserve(now, snapshot, host, fence, &mut actions);
        }
        if !host.service_up {
            self.use_reserve(now, snapshot, &mut actions);
        }
        self.send_orders(now, snapshot, host, &mut actions);
        actions
    }

    /// Returns the replicas that requests may use or wait for.
    pub fn residency(&self, now: Time, host: &HostState) -> Vec<Residency> {
        let mut residency = Vec::new();
        for (target, state) in self.targets.iter() {
            let Some(heard) = state.heard.as_ref() else { continue };
            let fresh = now.since(heard.asked_at) <= self.report_span();
            if !fresh || host.leaving.binary_search(target).is_ok() {
                continue;
            }
            for (model, replica) in state.plan.replicas.iter() {
                let used = match replica.phase {
                    Phase::Loading | Phase::Loaded => true,
                    Phase::Reserved => self.is_used(replica),
                    Phase::Unloading => false,
                };
                if !used {
                    continue;
                }
                let ready = heard.report.replica(model).is_some_and(|r| r.ready);
                residency.push(Residency { target: target.clone(), model: model.clone(), ready });
            }
        }
        residency
    }

    /// Returns the requests running or waiting at each target, by its last report.
    pub fn loads(&self) -> Vec<(TargetName, u32)> {
        let heard = |state: &TargetState| state.heard.as_ref().map(|heard| heard.report.clone());
        let loads = self.targets.iter().filter_map(|(name, state)| {
            let report = heard(state)?;
            Some((name.clone(), report.running + report.waiting))
        });
        loads.collect()
    }

    /// Iterates over the recorded plans, for status pages.
    pub fn plans(&self) -> impl Iterator<Item = (&TargetName, &TargetPlan)> {
        self.targets.iter().map(|(name, state)| (name, &state.plan))
    }

    fn add_targets(&mut self, snapshot: &Snapshot) {
        for target in snapshot.targets().filter(|target| target.domain == self.domain) {
            if target.kind == config::TargetKind::Engine {
                // A plan that was not listed at the start of the term does not exist.
                let missing = || TargetState { revision: Some(Revision(0)), ..Default::default() };
                self.targets.entry(target.name.clone(), missing);
            }
        }
    }

    fn read_plans(&mut self, actions: &mut Vec<PlaceAction>) {
        for (name, state) in self.targets.iter_mut() {
            if state.revision.is_none() && !state.reading && state.writing.is_none() {
                state.reading = true;
                actions.push(PlaceAction::ReadPlan(name.clone()));
            }
        }
    }

    /// Returns for how long a report counts as current: in a large failure domain each target
    /// reports more seldom.
    fn report_span(&self) -> Duration {
        let targets = u32::try_from(self.targets.len()).unwrap_or(u32::MAX);
        self.config.report_span.max(REPORT_SPAN_PER_TARGET * targets)
    }

    fn next_order(&mut self, fence: Fence) -> OrderId {
        self.orders_made += 1;
        OrderId(fence.0 * ORDERS_PER_TERM + self.orders_made)
    }

    fn send_orders(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        host: &HostState,
        actions: &mut Vec<PlaceAction>,
    ) {
        let Some(fence) = self.fence.filter(|_| host.leased) else { return };
        let mut due = Vec::new();
        for (name, state) in self.targets.iter() {
            if state.revision.is_none() || state.writing.is_some() {
                continue;
            }
            let sends = &self.sends;
            let mut orders = state.plan.replicas.values().flat_map(|replica| &replica.orders);
            if orders.any(|order| sends.get(&order.id) == Some(&SendState::InFlight)) {
                continue;
            }
            if let Some(order) = state.next_load(name, &self.seat, sends, snapshot) {
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
        let order = Order::decide(target, kind, id, model.clone()).sized(replica.memory, base);
        let (message, order) = order.recorded().dispatch(Fence(id.0));
        match kind {
            OrderKind::Load => {
                self.sends.insert(order.id(), SendState::InFlight);
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

/// Returns the fencing number of the term in which an order was made.
fn order_fence(id: OrderId) -> Fence {
    Fence(id.0 / ORDERS_PER_TERM)
}
