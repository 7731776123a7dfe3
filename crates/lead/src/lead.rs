//! One term of a leader.

mod plan;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{ModelName, Revision, SortedMap, TargetName, TeamName, Time};
use fleet::{
    EngineModel, EngineOrder, EngineReport, EngineSpec, FleetLayout, ModelRef, OrderReply,
    StoreChange, SyncReply, SyncReport, TargetDeparture, TargetEntry, TargetPhase,
};

use crate::config::{LeadConfig, LeadTerm};
use crate::copies::CopyMemory;
use crate::demand::DemandTable;
use crate::ledger::{LoadGoal, TargetLedger};
use crate::loads::LoadTable;
use crate::news::{NewsLog, TargetNews};
use crate::pool::{SeatRoster, SeatTable, TokenPool};
use crate::relay::ChangeLog;
use crate::window::LoadWindow;

/// Arrivals from which on demand is known well enough to change the copies found at the start.
const KNOWN_ARRIVALS: u64 = 40;

/// Something that the leader does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeadAction {
    /// Give an order, and tell [`Lead::answered`].
    Order(EngineOrder),
    /// Ask for a report, and tell [`Lead::reported`].
    Report(TargetName),
}

/// A load that was decided, with what decided it, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadNote {
    /// Model.
    pub model: ModelName,
    /// Target that loads it.
    pub target: TargetName,
    /// Model that makes room for it.
    pub victim: Option<ModelName>,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// Requests that wait for the model.
    pub waiting: u32,
    /// Requests for it in a second.
    pub rate: f64,
    /// Copies that are wanted.
    pub wanted: usize,
}

/// A load that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadEnd {
    /// Model.
    pub model: ModelName,
    /// Target.
    pub target: TargetName,
    /// Whether the weights came from the weight store.
    pub from_store: bool,
    /// Whether the target holds the model now; otherwise the load was given up.
    pub is_held: bool,
    /// Time since it was decided.
    pub took: Duration,
}

/// Models that lack a copy, and why no load of them was decided in a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadBacklog {
    /// Models in use or asked for that lack a copy and have no load.
    pub models: usize,
    /// Requests that wait for them.
    pub waiting: u32,
    /// Of the models, those on the disk of a target that has nothing to do.
    pub on_idle_disk: usize,
    /// Of the models, those on the disks of targets that are busy only.
    pub on_busy_disk: usize,
    /// Loads from the weight store that are under way.
    pub store_loads: usize,
    /// Of those, further copies of models that are served already.
    pub store_growth: usize,
}

/// What a leader decided or saw of loads, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LeadNote {
    /// A load was decided.
    Planned(LoadNote),
    /// A load ended.
    Ended(LoadEnd),
    /// Models are left without a load.
    Backlog(LoadBacklog),
}

/// Where a wanted adapter is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdapterState {
    /// It is held from this moment on.
    Ready(Time),
    /// Its order is still to be given.
    Ordered,
    /// The target carries out another order, probably until this moment.
    Busy(Time),
    /// The target can't hold it at present.
    Impossible,
}

/// A term of a leader.
#[derive(Clone, Debug)]
pub struct Lead {
    config: LeadConfig,
    term: LeadTerm,
    layout: Option<Arc<FleetLayout>>,
    targets: SortedMap<TargetName, TargetLedger>,
    copies: CopyMemory,
    /// The target that listed itself last at an address.
    addresses: SortedMap<SocketAddr, TargetName>,
    initial: SortedMap<ModelName, usize>,
    demand: DemandTable,
    loads: LoadTable,
    window: LoadWindow,
    seats: SeatTable,
    pools: SortedMap<TeamName, TokenPool>,
    changes: ChangeLog,
    news: NewsLog,
    /// When a target was listed for the first time, last.
    listed_at: Time,
    /// Models without a copy, in the order in which they are to be loaded.
    queue: Vec<ModelName>,
    /// When loads were planned last.
    planned_at: Option<Time>,
    /// When the backlog was noted last.
    backlog_at: Option<Time>,
    notes: Vec<LeadNote>,
}

impl Lead {
    /// Begins a term.
    pub fn new(config: LeadConfig, term: LeadTerm) -> Lead {
        Lead {
            window: LoadWindow::new(config.load_window),
            listed_at: Time::ZERO,
            queue: Vec::new(),
            config,
            term,
            layout: None,
            targets: SortedMap::default(),
            copies: CopyMemory::default(),
            addresses: SortedMap::default(),
            initial: SortedMap::default(),
            demand: DemandTable::default(),
            loads: LoadTable::default(),
            seats: SeatTable::default(),
            pools: SortedMap::default(),
            changes: ChangeLog::default(),
            news: NewsLog::default(),
            planned_at: None,
            backlog_at: None,
            notes: Vec::new(),
        }
    }

    /// Takes what is known of the targets' disks.
    pub fn remember(&mut self, copies: CopyMemory) {
        self.copies = copies;
    }

    /// Returns the term.
    pub fn term(&self) -> LeadTerm {
        self.term
    }

    /// Notes that the lease was renewed by a call that was sent before `until` less its length.
    pub fn renewed(&mut self, until: Time) {
        self.term.until = self.term.until.max(until);
    }

    /// Returns whether an order may leave now.
    pub fn may_order(&self, now: Time) -> bool {
        self.term.may_order(now)
    }

    /// Takes a layout.
    pub fn layout_changed(&mut self, now: Time, layout: Arc<FleetLayout>) {
        let limited = |name: &TeamName| layout.team(name).and_then(|team| team.allowance);
        self.pools.retain(|name, _| limited(name).is_some());
        for team in layout.teams() {
            let Some(allowance) = team.allowance else { continue };
            let pool = self.pools.entry(team.name.clone(), || TokenPool::new(now, allowance));
            pool.set_allowance(allowance);
        }
        self.layout = Some(layout);
    }

    /// Takes the seats that the store lists, or listed lately.
    pub fn seats_listed(&mut self, now: Time, roster: &SeatRoster) {
        self.seats.listed(now, roster);
    }

    /// Takes the answer to a watch of the store from a revision, for the other daemons.
    pub fn store_watched(
        &mut self,
        asked_at: Time,
        after: Revision,
        changes: Vec<StoreChange>,
        until: Revision,
    ) {
        self.changes.watched(asked_at, after, changes, until);
    }

    /// Takes all targets of the store's list; others are gone.
    pub fn targets_listed(&mut self, now: Time, entries: &[TargetEntry]) {
        let names: SortedMap<&TargetName, ()> =
            entries.iter().map(|entry| (&entry.name, ())).collect();
        let gone = |name: &TargetName| !names.contains(&name);
        let missing: Vec<TargetName> =
            self.targets.iter().map(|(name, _)| name.clone()).filter(gone).collect();
        for name in missing {
            if let Some(ledger) = self.targets.remove(&name) {
                let address = ledger.entry.address;
                if self.addresses.get(&address) == Some(&name) {
                    self.addresses.remove(&address);
                }
            }
        }
        for entry in entries {
            if self.shape(entry).is_none() {
                continue;
            }
            self.copies.seen(now, entry.address, &entry.models);
            if self.targets.get(&entry.name).is_none_or(|ledger| ledger.entry != *entry) {
                self.copies.listed(now, entry.address, entry.copies.as_ref());
            }
            match self.targets.get_mut(&entry.name) {
                Some(ledger) if ledger.entry == *entry => {}
                Some(ledger) => {
                    self.addresses.insert(entry.address, entry.name.clone());
                    ledger.listed(now, entry.clone());
                }
                None => {
                    if self.demand.arrivals() < KNOWN_ARRIVALS {
                        for held in &entry.models {
                            *self.initial.entry(held.name.clone(), || 0) += 1;
                        }
                    }
                    self.listed_at = now;
                    self.addresses.insert(entry.address, entry.name.clone());
                    let ledger = TargetLedger::new(now, entry.clone());
                    self.targets.insert(entry.name.clone(), ledger);
                }
            }
        }
    }

    /// Takes a target's own word that it leaves, as one daemon has it, for the others.
    pub fn departed(&mut self, now: Time, departure: &TargetDeparture) {
        self.news.push(now, TargetNews::Leaving(departure.clone()));
        let ledger = self.targets.get_mut(&departure.target);
        if let Some(ledger) = ledger.filter(|l| l.entry.born_ms <= departure.born_ms) {
            ledger.entry.phase = TargetPhase::Leaving { left: None };
        }
    }

    /// Takes a target's word that it wants nothing from this host until a moment.
    pub fn spared(&mut self, target: &TargetName, until: Time) {
        if let Some(ledger) = self.targets.get_mut(target) {
            ledger.spared(until);
        }
    }

    fn shape(&self, entry: &TargetEntry) -> Option<&EngineSpec> {
        self.layout.as_ref()?.service(&entry.service)?.engine.as_ref()
    }

    fn model(&self, name: &ModelName) -> Option<(&EngineSpec, &EngineModel)> {
        let shapes = self.layout.as_ref()?.services().filter_map(|s| s.engine.as_ref());
        shapes.into_iter().find_map(|shape| Some((shape, shape.models.get(name)?)))
    }

    /// Answers a daemon's report.
    pub fn synced(&mut self, now: Time, report: &SyncReport) -> SyncReply {
        let numbers = (report.number, report.acknowledged);
        self.seats.reported(now, &report.host, report.incarnation, numbers);
        self.demand.reported(now, &report.host, &report.demand);
        self.loads.reported(now, &report.host, &report.runs);
        for (target, subject) in &report.used {
            if let Some(ledger) = self.targets.get_mut(target) {
                ledger.note_use(now, subject);
            }
        }
        for target in &report.suspects {
            if let Some(ledger) = self.targets.get_mut(target) {
                ledger.suspected(now);
            }
        }
        let seats = self.seats.count();
        let absent = match report.draws.is_empty() {
            true => Vec::new(),
            false => self.seats.absent(now),
        };
        let mut grants = Vec::new();
        for draw in &report.draws {
            if let Some(pool) = self.pools.get_mut(&draw.team) {
                pool.accrue(now, &absent, seats);
                grants.push(pool.draw(now, &report.host, draw));
            }
        }
        self.plan_loads(now);
        let waiting = report.demand.iter().filter(|entry| entry.waiting > 0);
        let outlooks = waiting.map(|entry| self.outlook(now, &entry.model)).collect();
        for (name, ledger) in self.targets.iter_mut() {
            for (model, is_held) in ledger.news.drain(..) {
                let news = match is_held {
                    true => TargetNews::Held(name.clone(), model),
                    false => TargetNews::Retiring(name.clone(), model),
                };
                self.news.push(now, news);
            }
        }
        report.leaving.iter().for_each(|departure| self.departed(now, departure));
        let (mut held, mut retiring, mut leaving) = (Vec::new(), Vec::new(), Vec::new());
        for news in self.news.tell(now, report) {
            match news {
                TargetNews::Held(target, model) => held.push((target, model)),
                TargetNews::Retiring(target, model) => retiring.push((target, model)),
                TargetNews::Leaving(departure) => leaving.push(departure),
            }
        }
        SyncReply {
            fence: self.term.fence,
            number: report.number,
            seats: u32::try_from(seats).unwrap_or(u32::MAX),
            grants,
            outlooks,
            busy: self.loads.busiest(&report.host),
            held,
            retiring,
            leaving,
            changes: self.changes.since(now, report.known),
        }
    }

    /// Returns what is to be done now.
    pub fn plan(&mut self, now: Time) -> Vec<LeadAction> {
        self.plan_loads(now);
        let may_order = self.may_order(now);
        let mut actions = Vec::new();
        let places: Vec<usize> = self
            .targets
            .values()
            .map(|ledger| self.shape(&ledger.entry).map_or(0, |shape| shape.max_adapters))
            .collect();
        for ((name, ledger), places) in self.targets.iter_mut().zip(places) {
            if ledger.take_poll(now) {
                actions.push(LeadAction::Report(name.clone()));
            }
            if !may_order {
                continue;
            }
            if let Some((kind, subject, expected)) = ledger.take_order(now, places) {
                actions.push(LeadAction::Order(EngineOrder {
                    target: name.clone(),
                    kind,
                    subject,
                    expected,
                    issuer: self.config.host.clone(),
                    fence: self.term.fence,
                }));
            }
        }
        actions
    }

    /// Returns what was decided and seen of loads since the last call.
    pub fn take_notes(&mut self) -> Vec<LeadNote> {
        std::mem::take(&mut self.notes)
    }

    /// Returns when [`Lead::plan`] may have something to do without any new event.
    pub fn plan_at(&self, now: Time) -> Option<Time> {
        let waits = self.demand.iter().any(|(_, stats)| stats.waiting(now).0 > 0);
        let soon = waits.then_some(now + Duration::from_millis(100));
        let polls = self.targets.values().filter_map(TargetLedger::poll_at).min();
        let retires = self.targets.values().filter_map(|l| l.retiring.as_ref().map(|r| r.1)).min();
        let opens = (now < self.term.orders_from).then_some(self.term.orders_from);
        [soon, polls, retires, opens].into_iter().flatten().min()
    }

    /// Takes a target's report, or its failure.
    pub fn reported(
        &mut self,
        now: Time,
        target: &TargetName,
        asked_at: Time,
        report: Option<&EngineReport>,
    ) {
        if let Some(ledger) = self.targets.get_mut(target) {
            let goal = ledger.goal.clone();
            ledger.reported(now, asked_at, report);
            let address = ledger.entry.address;
            self.copies.seen(now, address, ledger.models());
            self.copies.reported(asked_at, address, report.and_then(|r| r.copies.as_ref()));
            self.note_end(now, target, goal);
        }
    }

    /// Notes the end of a load that was under way before the target's state changed.
    fn note_end(&mut self, now: Time, target: &TargetName, before: Option<LoadGoal>) {
        let Some((goal, ledger)) = before.zip(self.targets.get(target)) else { return };
        if ledger.goal.as_ref().is_none_or(|current| current.model != goal.model) {
            self.notes.push(LeadNote::Ended(LoadEnd {
                is_held: ledger.holds(&goal.model),
                took: now.since(goal.decided_at),
                model: goal.model,
                target: target.clone(),
                from_store: goal.from_store,
            }));
        }
    }

    /// Takes the answer to an order. Returns false when the term is over, since another leader has
    /// given orders with a higher fencing number.
    pub fn answered(&mut self, now: Time, order: &EngineOrder, reply: OrderReply) -> bool {
        if let Some(ledger) = self.targets.get_mut(&order.target) {
            let goal = ledger.goal.clone();
            ledger.answered(now, reply);
            self.note_end(now, &order.target, goal);
        }
        reply != OrderReply::Fenced
    }

    /// Wants an adapter on a target, for a request that waits for it.
    pub fn want_adapter(
        &mut self,
        now: Time,
        target: &TargetName,
        subject: &ModelRef,
    ) -> AdapterState {
        let Some(ledger) = self.targets.get_mut(target) else { return AdapterState::Impossible };
        if let Some(at) = ledger.adapters.ready_at(subject) {
            ledger.note_use(now, subject);
            return AdapterState::Ready(at);
        }
        let open_at = ledger.open_at(now);
        if open_at > now {
            return AdapterState::Busy(open_at);
        }
        if ledger.want_adapter(subject) {
            return AdapterState::Ordered;
        }
        AdapterState::Impossible
    }

    /// Returns where an adapter is that was wanted before.
    pub fn adapter_state(&self, target: &TargetName, subject: &ModelRef) -> AdapterState {
        let Some(ledger) = self.targets.get(target) else { return AdapterState::Impossible };
        match ledger.adapters.ready_at(subject) {
            Some(at) => AdapterState::Ready(at),
            None if ledger.adapters.is_wanted(subject) => AdapterState::Ordered,
            None => AdapterState::Impossible,
        }
    }

    /// Returns the models that a target holds, as far as the leader knows.
    pub fn holdings(&self, target: &TargetName) -> Vec<ModelName> {
        let models = self.targets.get(target).into_iter().flat_map(TargetLedger::models);
        models.map(|held| held.name.clone()).collect()
    }

    /// Returns the planned or running loads, for logs and tests.
    pub fn loads(&self) -> Vec<(TargetName, ModelName, bool)> {
        let goals = self.targets.iter().filter_map(|(name, ledger)| {
            ledger.goal.as_ref().map(|g| (name.clone(), g.model.clone(), g.from_store))
        });
        goals.collect()
    }
}
