//! The leader's state and decisions during one term.

mod allowances;
mod plan;
mod replicas;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{DomainName, ModelName, Name, Revision, SortedMap, TargetName, TeamName, Time};
use fleet::{
    EngineModel, EngineOrder, EngineReport, EngineSpec, FleetLayout, ModelNeed, ModelRef,
    OrderReply, PermitReply, PermitRequest, StoreChange, SyncReply, SyncReport, TargetDeparture,
    TargetEntry, TargetPhase,
};

use limit::{
    ColdStatement, ColdTable, LimitStatement, LimitTable, PermitDenial, PermitTable, PermitUse,
    RequestRate,
};

use prefill::{PrefillLedger, PrefillRequest, PrefillVerdict};

use crate::config::{LeaderConfig, LeaderTerm};
use crate::demand::DemandTable;
use crate::pool::{ShareAccount, TokenPool};
use crate::relay::ChangeLog;
use crate::requests::RequestTable;
use crate::seats::{SeatCensus, SeatRoster, SeatTable};
use crate::slowdowns::SlowdownTable;
use crate::stray::{StrayOrders, ORDER_LIFETIME};
use crate::target::{LoadTask, TargetRecord};
use crate::updates::{TargetUpdate, UpdateLog};
use crate::weights::WeightIndex;
use crate::window::LoadWindow;

/// Number of arrived requests from which measured demand alone sets the replica counts. Before
/// that, the replicas found at the start of the term count as well.
const MIN_ARRIVALS: u64 = 40;

/// When a daemon should ask again for a permit that can't be issued at this point of the term.
const TERM_PAUSE: Duration = Duration::from_millis(250);

/// A call that the daemon makes for the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderAction {
    /// Send an order to a target and pass its reply to [`Leader::handle_order_reply`].
    Order(EngineOrder),
    /// Request a report from a target and pass it to [`Leader::handle_engine_report`].
    Report(TargetName),
}

/// A load that the leader planned, and the demand behind it, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadDecision {
    /// Model.
    pub model: ModelName,
    /// Target that loads it.
    pub target: TargetName,
    /// Model that is evicted to make room.
    pub victim: Option<ModelName>,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// Requests waiting for the model.
    pub waiting: u32,
    /// Requests for the model per second.
    pub rate: f64,
    /// Number of replicas that the demand calls for.
    pub wanted: usize,
    /// Work of the model and the largest part of it that one replica should take, in engine seconds
    /// per second; `None` if its service isn't uneven.
    pub work: Option<(f64, f64)>,
}

/// A load that completed or was abandoned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadResult {
    /// Model.
    pub model: ModelName,
    /// Target.
    pub target: TargetName,
    /// Whether the weights came from the weight store.
    pub from_store: bool,
    /// Whether another target held or loaded the model when the load was planned.
    pub is_extra: bool,
    /// Whether the target holds the model now. If not, the load was abandoned.
    pub is_held: bool,
    /// Time since the load was planned.
    pub took: Duration,
}

/// Models without a replica that a plan left without a load, and where their weights are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadBacklog {
    /// Number of queued models that have neither a replica nor a load.
    pub models: usize,
    /// Requests waiting for these models.
    pub waiting: u32,
    /// Models whose weights are in memory or on disk at an idle target.
    pub on_idle_disk: usize,
    /// Models whose weights are in memory or on disk at busy targets only.
    pub on_busy_disk: usize,
    /// Loads from the weight store in progress.
    pub store_loads: usize,
    /// Those of them that add a replica to a model that is served already.
    pub store_growth: usize,
}

/// An event in the planning of loads, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderEvent {
    /// A load was planned.
    Planned(LoadDecision),
    /// A load completed or was abandoned.
    Ended(LoadResult),
    /// Some models without a replica have no load.
    Backlog(LoadBacklog),
    /// A target has named a limit, changed it or, if there is no rate, ended it.
    Limited(TargetName, Option<RequestRate>),
    /// Daemons have accounted for what they spent of a team's allowance without the leader.
    SharesSettled(TeamName, ShareAccount),
}

/// State of a requested adapter on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdapterState {
    /// The target holds the adapter from this time on.
    Ready(Time),
    /// The load order has not been sent yet.
    Ordered,
    /// The target is executing another order, probably until this time.
    Busy(Time),
    /// The target can't hold the adapter at present.
    Impossible,
}

/// A leader during one term.
#[derive(Clone, Debug)]
pub struct Leader {
    config: LeaderConfig,
    term: LeaderTerm,
    layout: Option<Arc<FleetLayout>>,
    targets: SortedMap<TargetName, TargetRecord>,
    /// Domains to whose targets nothing is sent.
    evacuated: Vec<DomainName>,
    /// Whether this daemon is cut off from the targets.
    is_cut_off: bool,
    /// Orders without a reply to targets that are no longer listed.
    unlisted_orders: SortedMap<TargetName, StrayOrders>,
    weights: WeightIndex,
    /// The target that registered last at each address.
    targets_by_address: SortedMap<SocketAddr, TargetName>,
    initial_replicas: SortedMap<ModelName, usize>,
    demand: DemandTable,
    /// Usual slowdowns of targets. A service is uneven if one of its targets has one.
    /// The shortest gap that the stream routes of each service accept.
    accepted_gaps: SortedMap<Name, Duration>,
    /// When another daemon last reported requests on targets of a service.
    reached: SortedMap<Name, Time>,
    /// Time of the first report in this term.
    first_report_at: Option<Time>,
    requests: RequestTable,
    window: LoadWindow,
    seats: SeatTable,
    /// The latest census of the seats, and its time.
    census: SeatCensus,
    census_at: Time,
    pools: SortedMap<TeamName, TokenPool>,
    /// When events about shares were last made.
    settled_at: Time,
    changes: ChangeLog,
    updates: UpdateLog,
    limits: LimitTable,
    /// Cold targets, by the statements of all daemons.
    cold: ColdTable,
    permits: PermitTable,
    prefill: PrefillLedger,
    slowdowns: SlowdownTable,
    /// When a target last appeared in the list for the first time.
    target_added_at: Time,
    /// Models without a replica, in the order in which they are to be loaded.
    load_queue: Vec<ModelNeed>,
    /// Time of the last plan of loads.
    last_plan_at: Option<Time>,
    /// When a plan last searched all targets for additional replicas in uneven services.
    last_search_at: Option<Time>,
    /// Time of the last backlog event.
    last_backlog_at: Option<Time>,
    events: Vec<LeaderEvent>,
}

impl Leader {
    /// Creates the leader of a new term.
    pub fn new(config: LeaderConfig, term: LeaderTerm) -> Leader {
        Leader {
            window: LoadWindow::new(config.load_window),
            target_added_at: Time::ZERO,
            load_queue: Vec::new(),
            config,
            term,
            layout: None,
            targets: SortedMap::default(),
            evacuated: Vec::new(),
            is_cut_off: false,
            unlisted_orders: SortedMap::default(),
            weights: WeightIndex::default(),
            targets_by_address: SortedMap::default(),
            initial_replicas: SortedMap::default(),
            demand: DemandTable::default(),
            accepted_gaps: SortedMap::default(),
            reached: SortedMap::default(),
            first_report_at: None,
            requests: RequestTable::default(),
            seats: SeatTable::default(),
            census: SeatCensus::default(),
            census_at: Time::ZERO,
            settled_at: Time::ZERO,
            pools: SortedMap::default(),
            changes: ChangeLog::default(),
            updates: UpdateLog::default(),
            limits: LimitTable::default(),
            cold: ColdTable::default(),
            permits: PermitTable::default(),
            prefill: PrefillLedger::default(),
            slowdowns: SlowdownTable::default(),
            last_plan_at: None,
            last_search_at: None,
            last_backlog_at: None,
            events: Vec::new(),
        }
    }

    /// Replaces the index of weights on targets.
    pub fn set_weights(&mut self, weights: WeightIndex) {
        self.weights = weights;
    }

    /// Returns the term.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Records a renewal of the lease. It ends at `until`, measured from when the renewal was sent.
    pub fn renew_lease(&mut self, until: Time) {
        self.term.until = self.term.until.max(until);
    }

    /// Returns whether orders may be sent now.
    pub fn may_order(&self, now: Time) -> bool {
        self.term.may_order(now)
    }

    /// Sets whether this daemon is cut off from the targets while others reach them. It plans no orders
    /// then.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        self.is_cut_off = is_cut_off;
    }

    /// Returns whether orders may be planned now.
    fn may_plan_orders(&self, now: Time) -> bool {
        self.may_order(now) && !self.is_cut_off
    }

    /// Applies a new layout.
    pub fn apply_layout(&mut self, now: Time, layout: Arc<FleetLayout>) {
        let allowance_of = |name: &TeamName| layout.team(name).and_then(|team| team.allowance);
        self.pools.retain(|name, _| allowance_of(name).is_some());
        let is_first = self.layout.is_none();
        for team in layout.teams() {
            let Some(allowance) = team.allowance else { continue };
            let pool = self.pools.entry(team.name.clone(), || match is_first {
                true => TokenPool::new(now, allowance),
                false => TokenPool::for_new_team(now, allowance),
            });
            pool.set_allowance(allowance);
        }
        self.accepted_gaps = replicas::accepted_gaps(&layout);
        self.layout = Some(layout);
    }

    /// Updates the seats from the store's list, which includes recently removed ones.
    pub fn update_seats(&mut self, now: Time, roster: &SeatRoster) {
        self.seats.set_roster(now, roster);
    }

    /// Records the result of a watch on the store after a revision, to relay it to other daemons.
    pub fn record_changes(
        &mut self,
        asked_at: Time,
        after: Revision,
        changes: Vec<StoreChange>,
        until: Revision,
    ) {
        self.changes.append(asked_at, after, changes, until);
    }

    /// Replaces the list of targets with the store's. Targets that are not in it are removed.
    pub fn update_targets(&mut self, now: Time, entries: &[TargetEntry]) {
        let listed: SortedMap<&TargetName, ()> =
            entries.iter().map(|entry| (&entry.name, ())).collect();
        let is_missing = |name: &TargetName| !listed.contains(&name);
        let missing: Vec<TargetName> =
            self.targets.iter().map(|(name, _)| name.clone()).filter(is_missing).collect();
        for name in missing {
            self.updates.remove_limit(&name);
            if let Some(record) = self.targets.remove(&name) {
                let address = record.entry.address;
                self.unlisted_orders.insert(name.clone(), record.into_stray_orders(now));
                if self.targets_by_address.get(&address) == Some(&name) {
                    self.targets_by_address.remove(&address);
                }
            }
        }
        self.unlisted_orders.retain(|_, orders| !orders.is_empty(now));
        self.slowdowns.retain(|name| listed.contains(&name));
        for entry in entries {
            if self.engine_spec(entry).is_none() {
                continue;
            }
            self.weights.observe(now, entry.address, &entry.models);
            if self.targets.get(&entry.name).is_none_or(|record| record.entry != *entry) {
                self.weights.update_from_entry(now, entry.address, entry.copies.as_ref());
            }
            match self.targets.get_mut(&entry.name) {
                Some(record) if record.entry == *entry => {}
                Some(record) => {
                    self.targets_by_address.insert(entry.address, entry.name.clone());
                    record.update_entry(now, entry.clone());
                    record.set_evacuated(now, self.evacuated.contains(&entry.domain));
                    record.is_limited = self.limits.rate(&entry.name, entry.born_ms).is_some();
                    let is_cold = self.cold.statement(now, &entry.name).is_some();
                    if !record.is_limited && !is_cold {
                        self.permits.set_limit(now, &entry.name, None);
                    }
                }
                None => {
                    if self.demand.arrivals() < MIN_ARRIVALS {
                        for held in &entry.models {
                            *self.initial_replicas.entry(held.name.clone(), || 0) += 1;
                        }
                    }
                    self.target_added_at = now;
                    self.targets_by_address.insert(entry.address, entry.name.clone());
                    let strays = self.unlisted_orders.remove(&entry.name).unwrap_or_default();
                    let mut record = TargetRecord::with_strays(now, entry.clone(), strays);
                    record.is_limited = self.limits.rate(&entry.name, entry.born_ms).is_some();
                    record.set_evacuated(now, self.evacuated.contains(&entry.domain));
                    if self.config.unchecked_since_ms.is_some() {
                        let until = self.term.orders_from + ORDER_LIFETIME;
                        let is_recent = self.config.has_recent_start(entry.born_ms, ORDER_LIFETIME);
                        record.set_former_orders(until, is_recent);
                    }
                    self.targets.insert(entry.name.clone(), record);
                }
            }
        }
    }

    /// Replaces the evacuated domains. Their targets get no orders, and the models that they hold
    /// count as not served.
    pub fn update_evacuations(&mut self, now: Time, domains: Vec<DomainName>) {
        if self.evacuated == domains {
            return;
        }
        self.evacuated = domains;
        let mut tasks = Vec::new();
        for (name, record) in self.targets.iter_mut() {
            tasks.push((name.clone(), record.task.clone()));
            record.set_evacuated(now, self.evacuated.contains(&record.entry.domain));
        }
        for (name, task) in tasks {
            self.record_load_end(now, &name, task);
        }
    }

    /// Ends the loads on evacuated targets that must be over by now.
    fn end_evacuated_loads(&mut self, now: Time) {
        if self.evacuated.is_empty() {
            return;
        }
        let mut tasks = Vec::new();
        for (name, record) in self.targets.iter_mut() {
            tasks.extend(record.end_evacuated_load(now).map(|task| (name.clone(), task)));
        }
        for (name, task) in tasks {
            self.record_load_end(now, &name, Some(task));
        }
    }

    /// Returns whether nothing may be sent to a target because its domain is evacuated.
    fn is_evacuated(&self, target: &TargetName) -> bool {
        let record = self.targets.get(target);
        record.is_some_and(|record| self.evacuated.contains(&record.entry.domain))
    }

    /// Marks a target as leaving after its own notice to one daemon, and relays this to the others.
    pub fn mark_leaving(&mut self, now: Time, departure: &TargetDeparture) {
        self.updates.push(now, TargetUpdate::Leaving(departure.clone()));
        let record = self.targets.get_mut(&departure.target);
        if let Some(record) = record.filter(|record| record.entry.born_ms <= departure.born_ms) {
            record.entry.phase = TargetPhase::Leaving { left: None };
        }
    }

    /// Sends nothing to a target until the given time, because the target asked for it.
    pub fn pause_target(&mut self, target: &TargetName, until: Time) {
        if let Some(record) = self.targets.get_mut(target) {
            record.set_backoff(until);
        }
    }

    /// Applies what a target has said about its limit, and relays it to the daemons.
    fn apply_limit(&mut self, now: Time, statement: &LimitStatement) {
        let LimitStatement { target, born_ms, .. } = statement;
        if !self.limits.apply_statement(now, statement) {
            return;
        }
        let rate = self.limits.rate(target, *born_ms);
        self.update_pool(now, target, rate);
        if let Some(record) = self.targets.get_mut(target) {
            record.is_limited = self.limits.rate(target, record.entry.born_ms).is_some();
        }
        self.updates.push(now, TargetUpdate::Limit(target.clone()));
        self.events.push(LeaderEvent::Limited(target.clone(), rate));
    }

    /// Applies what a daemon knows of a cold target, and relays it to the others.
    pub fn apply_cold(&mut self, now: Time, statement: &ColdStatement) {
        let target = &statement.target;
        if self.cold.apply_statement(now, statement) {
            self.updates.push(now, TargetUpdate::Cold(target.clone()));
        }
        self.update_pool(now, target, self.stated_limit(target));
        // Notes that the target is cold, so that the end is noticed.
        self.end_cold(now);
    }

    /// Ends the pools of targets that are no longer cold.
    fn end_cold(&mut self, now: Time) {
        for (target, left) in self.cold.take_changes(now) {
            if left.is_none() {
                self.updates.remove_cold(&target);
                self.update_pool(now, &target, self.stated_limit(&target));
            }
        }
    }

    /// Returns the limit that the listed start of a target has named.
    fn stated_limit(&self, target: &TargetName) -> Option<RequestRate> {
        let statement = self.limits.statement(Time::ZERO, target)?;
        let listed = self.targets.get(target).map(|record| record.entry.born_ms);
        statement.rate.filter(|_| listed.is_none_or(|born_ms| born_ms == statement.born_ms))
    }

    /// Sets the rate of a target's pool of permits: the lower of its limit and of what it tolerates
    /// while it is cold.
    fn update_pool(&mut self, now: Time, target: &TargetName, limit: Option<RequestRate>) {
        // A daemon that doesn't know a restart yet may ask for the former start of the target.
        let rates = [limit, self.cold.statement(now, target).map(|statement| statement.rate)];
        let lowest = rates.into_iter().flatten().reduce(|a, b| if b < a { b } else { a });
        self.permits.set_limit(now, target, lowest);
    }

    /// Answers a daemon that needs a permit to send a request to a limited or cold target.
    pub fn request_permit(&mut self, now: Time, request: &PermitRequest) -> PermitReply {
        self.end_cold(now);
        self.apply_limit(now, &request.statement);
        if let Some(statement) = &request.cold {
            self.apply_cold(now, statement);
        }
        let may_issue = self.may_order(now) && !self.is_evacuated(&request.statement.target);
        let result = match may_issue {
            true => self.permits.take(now, &request.statement.target, request.purpose),
            // Permits of the former leader may still be in use, this term may be over, or the
            // daemon hasn't learned yet that the target's domain is evacuated.
            false => Err(PermitDenial { next: TERM_PAUSE, hint: TERM_PAUSE }),
        };
        PermitReply::new(self.term.fence, result)
    }

    /// Decides when and to which engine a daemon sends a long prompt.
    pub fn reserve_prefill(&mut self, now: Time, request: &PrefillRequest) -> PrefillVerdict {
        self.prefill.reserve(now, request, |target| self.slowdowns.factor(target))
    }

    fn engine_spec(&self, entry: &TargetEntry) -> Option<&EngineSpec> {
        self.layout.as_ref()?.service(&entry.service)?.engine.as_ref()
    }

    fn find_model(&self, name: &ModelName) -> Option<(&EngineSpec, &EngineModel)> {
        let specs = self.layout.as_ref()?.services().filter_map(|s| s.engine.as_ref());
        specs.into_iter().find_map(|spec| Some((spec, spec.models.get(name)?)))
    }

    /// Returns when another daemon last reported requests on targets of a service, which it therefore
    /// seems to reach.
    pub fn reached_at(&self, service: &Name) -> Option<Time> {
        self.reached.get(service).copied()
    }

    fn record_reached(&mut self, now: Time, report: &SyncReport) {
        if report.host == self.config.host {
            return;
        }
        for run in &report.runs {
            if let Some(record) = self.targets.get(&run.target) {
                self.reached.insert(record.entry.service.clone(), now);
            }
        }
    }

    /// Processes a daemon's report and returns the reply.
    pub fn handle_sync(&mut self, now: Time, report: &SyncReport) -> SyncReply {
        let numbers = (report.number, report.acknowledged);
        if self.seats.record_report(now, &report.host, report.incarnation, numbers) {
            self.pools.values_mut().for_each(|pool| pool.remove_daemon(&report.host));
        }
        self.demand.record_report(now, &report.host, &report.demand);
        self.requests.record_report(now, &report.host, &report.runs);
        self.first_report_at.get_or_insert(now);
        self.record_reached(now, report);
        for (target, slowdown) in &report.slowdowns {
            self.slowdowns.record(&report.host, target, *slowdown);
        }
        for (target, subject) in &report.used {
            if let Some(record) = self.targets.get_mut(target) {
                record.record_use(now, subject);
            }
        }
        for target in &report.suspects {
            if let Some(record) = self.targets.get_mut(target) {
                record.mark_suspected(now);
            }
        }
        let grants = self.draw_allowances(now, report);
        self.plan_loads(now);
        let waiting = report.demand.iter().filter(|entry| entry.waiting > 0);
        let estimates = waiting.map(|entry| self.load_estimate(now, &entry.need())).collect();
        for (name, record) in self.targets.iter_mut() {
            for (model, is_held) in record.replica_changes.drain(..) {
                let update = match is_held {
                    true => TargetUpdate::Held(name.clone(), model),
                    false => TargetUpdate::Retiring(name.clone(), model),
                };
                self.updates.push(now, update);
            }
        }
        report.leaving.iter().for_each(|departure| self.mark_leaving(now, departure));
        report.limits.iter().for_each(|statement| self.apply_limit(now, statement));
        report.cold.iter().for_each(|statement| self.apply_cold(now, statement));
        let (mut held, mut retiring, mut leaving) = (Vec::new(), Vec::new(), Vec::new());
        let (mut limits, mut cold) = (Vec::new(), Vec::new());
        for update in self.updates.take_unseen(now, report) {
            match update {
                TargetUpdate::Held(target, model) => held.push((target, model)),
                TargetUpdate::Retiring(target, model) => retiring.push((target, model)),
                TargetUpdate::Leaving(departure) => leaving.push(departure),
                TargetUpdate::Limit(target) => match self.limits.statement(now, &target) {
                    Some(statement) => limits.push(statement),
                    None => self.updates.remove_limit(&target),
                },
                TargetUpdate::Cold(target) => cold.extend(self.cold.statement(now, &target)),
            }
        }
        SyncReply {
            fence: self.term.fence,
            number: report.number,
            seats: u32::try_from(self.seats.count()).unwrap_or(u32::MAX),
            grants,
            outlooks: estimates,
            busy: self.requests.busiest(&report.host, self.prefill.backlogs(now)),
            held,
            retiring,
            leaving,
            limits,
            cold,
            changes: self.changes.since(now, report.known),
            layout: self.layout.as_ref().map(|layout| layout.version()),
            layout_update: None,
        }
    }

    /// Returns the reports to request and the orders to send now.
    pub fn plan(&mut self, now: Time) -> Vec<LeaderAction> {
        self.end_cold(now);
        self.plan_loads(now);
        let may_order = self.may_plan_orders(now);
        let mut actions = Vec::new();
        let layout = self.layout.clone();
        for (name, record) in self.targets.iter_mut() {
            if record.poll_at().is_some_and(|at| now >= at) {
                let next = self.permits.time_to_next(now, name, PermitUse::Report);
                if !next.is_zero() {
                    record.delay_poll(now + next);
                } else if record.take_poll(now) {
                    self.permits.take(now, name, PermitUse::Report).ok();
                    actions.push(LeaderAction::Report(name.clone()));
                }
            }
            if !may_order {
                continue;
            }
            let next = self.permits.time_to_next(now, name, PermitUse::Order);
            if !next.is_zero() {
                record.delay_order(now + next);
                continue;
            }
            let service = layout.as_ref().and_then(|layout| layout.service(&record.entry.service));
            let Some(spec) = service.and_then(|service| service.engine.as_ref()) else { continue };
            if let Some((kind, subject, expected)) = record.take_order(now, spec) {
                self.permits.take(now, name, PermitUse::Order).ok();
                actions.push(LeaderAction::Order(EngineOrder {
                    target: name.clone(),
                    kind,
                    subject,
                    expected,
                    issuer: self.config.host.clone(),
                    fence: self.term.fence,
                    born_ms: record.entry.born_ms,
                }));
            }
        }
        actions
    }

    /// Returns the events since the last call and clears them.
    pub fn take_events(&mut self) -> Vec<LeaderEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns when [`Leader::plan`] should be called next if no report or reply arrives before.
    pub fn next_plan_at(&self, now: Time) -> Option<Time> {
        let has_waiting = self.demand.iter().any(|(model, _)| self.demand.waiting(now, model) > 0);
        let next_check = has_waiting.then_some(now + Duration::from_millis(100));
        let next_poll = self.targets.values().filter_map(TargetRecord::poll_at).min();
        let next_unload = self.targets.values().filter_map(TargetRecord::unload_at).min();
        let next_unload = next_unload.filter(|_| !self.is_cut_off);
        let term_start = (now < self.term.orders_from).then_some(self.term.orders_from);
        [next_check, next_poll, next_unload, term_start].into_iter().flatten().min()
    }

    /// Processes a target's report that was requested at `asked_at`; `None` if the call failed.
    pub fn handle_engine_report(
        &mut self,
        now: Time,
        target: &TargetName,
        asked_at: Time,
        report: Option<&EngineReport>,
    ) {
        if let Some(record) = self.targets.get_mut(target) {
            let task = record.task.clone();
            record.handle_report(now, asked_at, report);
            let address = record.entry.address;
            self.weights.observe(now, address, record.models());
            self.weights.update_from_report(
                asked_at,
                address,
                report.and_then(|r| r.copies.as_ref()),
            );
            self.record_load_end(now, target, task);
        }
    }

    /// Records the end of a load if the target no longer has a load of that model. `before` is the
    /// target's load before its state changed.
    fn record_load_end(&mut self, now: Time, target: &TargetName, before: Option<LoadTask>) {
        let Some((task, record)) = before.zip(self.targets.get(target)) else { return };
        if record.task.as_ref().is_none_or(|current| current.model != task.model) {
            self.events.push(LeaderEvent::Ended(LoadResult {
                is_held: record.holds(&task.model),
                took: now.since(task.planned_at),
                model: task.model,
                target: target.clone(),
                from_store: task.from_store,
                is_extra: task.is_extra,
            }));
        }
    }

    /// Processes the reply to an order. Returns false if the term is over, because the target has
    /// accepted orders with a higher fencing token.
    pub fn handle_order_reply(
        &mut self,
        now: Time,
        order: &EngineOrder,
        reply: OrderReply,
    ) -> bool {
        if let Some(record) = self.targets.get_mut(&order.target) {
            let task = record.task.clone();
            match record.is_order_of_start(order) {
                true => record.handle_reply(now, reply),
                false => record.handle_former_reply(order, reply),
            }
            self.record_load_end(now, &order.target, task);
        }
        reply != OrderReply::Fenced
    }

    /// Requests an adapter on a target for a request that waits for it, and returns its state.
    pub fn request_adapter(
        &mut self,
        now: Time,
        target: &TargetName,
        subject: &ModelRef,
    ) -> AdapterState {
        if self.is_evacuated(target) {
            return AdapterState::Impossible;
        }
        let Some(record) = self.targets.get_mut(target) else { return AdapterState::Impossible };
        if let Some(at) = record.adapters.ready_at(subject) {
            record.record_use(now, subject);
            return AdapterState::Ready(at);
        }
        let free_at = record.next_order_at(now);
        if free_at > now {
            return AdapterState::Busy(free_at);
        }
        if record.request_adapter(subject) {
            return AdapterState::Ordered;
        }
        AdapterState::Impossible
    }

    /// Returns the state of an adapter that was requested before.
    pub fn adapter_state(&self, target: &TargetName, subject: &ModelRef) -> AdapterState {
        if self.is_evacuated(target) {
            return AdapterState::Impossible;
        }
        let Some(record) = self.targets.get(target) else { return AdapterState::Impossible };
        match record.adapters.ready_at(subject) {
            Some(at) => AdapterState::Ready(at),
            None if record.adapters.is_requested(subject) => AdapterState::Ordered,
            None => AdapterState::Impossible,
        }
    }

    /// Returns the models that a target holds, as far as known to the leader.
    pub fn holdings(&self, target: &TargetName) -> Vec<ModelName> {
        let models = self.targets.get(target).into_iter().flat_map(TargetRecord::models);
        models.map(|held| held.name.clone()).collect()
    }

    /// Returns the planned and running loads, and whether each is from the weight store, for logs
    /// and tests.
    pub fn loads(&self) -> Vec<(TargetName, ModelName, bool)> {
        let tasks = self.targets.iter().filter_map(|(name, record)| {
            record.task.as_ref().map(|task| (name.clone(), task.model.clone(), task.from_store))
        });
        tasks.collect()
    }
}
