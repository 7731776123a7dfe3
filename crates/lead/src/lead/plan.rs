//! Which target loads which model, and when that will be done.

use std::time::Duration;

use base::{ModelName, SortedMap, TargetName, Time};
use fleet::{EngineModel, EngineSpec, LoadEstimate};

use super::{Lead, LeadNote, LoadBacklog, LoadNote, KNOWN_ARRIVALS};
use crate::copies::CopyPlace;
use crate::ledger::{LoadGoal, TargetLedger, UNLOAD_SPAN};

/// Pause between taking a replica in demand out of use and its unload, so that daemons learn of
/// it first.
const RETIRE_PAUSE: Duration = Duration::from_millis(250);
/// A replica that was used more recently may have a request on its way.
const USE_SPAN: Duration = Duration::from_millis(1_000);
/// Requests in a second from which on a model counts as in demand.
const DEMAND_FLOOR: f64 = 0.6;
/// Prompt tokens that an engine reads in a second.
const READ_TOKENS: f64 = 40_000.0;
/// Share of an engine's reading time that one model's copy is to take at most.
const COPY_SHARE: f64 = 0.35;
/// Requests that arrive in this many seconds count for a load as those that wait do.
const HORIZON: f64 = 8.0;
/// Part of a prompt that must be read although earlier requests share parts of it.
const UNSHARED: f64 = 0.7;
/// Time between two plans of loads, for each twenty targets.
const PLAN_PAUSE: Duration = Duration::from_millis(20);
/// Least pause between two notes of the models that have no load.
const BACKLOG_PAUSE: Duration = Duration::from_millis(1_000);
/// Models for which one plan looks at all targets for room.
const MAX_SEARCHES: usize = 12;
/// Demand by which copies are kept, as a factor on the demand by which they are loaded.
const KEEP_FACTOR: f64 = 1.6;
/// Part of what another copy is worth that its victim may cost.
const GROWTH_BOUND: f64 = 0.3;
/// With so many models without any copy, they get all loads but one.
const MANY_UNSERVED: usize = 16;
/// Loads from disk at once on the way for one waiting model.
const LOADS_OF_MODEL: usize = 1;
/// A wait for a busy target that has the model on its disk, rather than a load from the store.
const DISK_PATIENCE: Duration = Duration::from_millis(2_500);
/// Rounds of loads over which an outlook is told; demand will have changed by then.
const MAX_ROUNDS: u32 = 16;
/// Loads that nobody asked for wait until no new target has been listed for this long: a model that
/// seems to have no copy may be on a target that isn't listed yet.
const LIST_QUIET: Duration = Duration::from_millis(2_000);
/// Part of what a model without a copy is worth that its victim may cost.
const UNSERVED_BOUND: f64 = 0.15;
/// What it costs, in seconds, to unload a model that no other target holds, beside its demand.
const SOLE_COST: f64 = 0.15;
/// What it costs, in seconds, to unload a model that was just used.
const USED_COST: f64 = 1.5;

/// What is known of one model's copies.
#[derive(Clone, Debug, Default)]
struct CopyCount {
    serving: usize,
    loading: usize,
    wanted: usize,
    /// Copies that are kept once they are there.
    kept: usize,
}

/// A load that is worth its cost.
struct Candidate {
    model: ModelName,
    worth: f64,
    /// Requests wait for it.
    waiting: bool,
    /// Other copies serve it.
    grows: bool,
}

/// A load that could be decided.
struct LoadChoice {
    /// Its time and what it costs others, in seconds.
    total: f64,
    target: TargetName,
    victim: Option<ModelName>,
    /// Where the target has the weights, if it has them.
    copy: Option<CopyPlace>,
}

impl LoadChoice {
    fn better(best: Option<LoadChoice>, other: Option<LoadChoice>) -> Option<LoadChoice> {
        match (best, other) {
            (Some(best), Some(other)) if best.total <= other.total => Some(best),
            (best, other) => other.or(best),
        }
    }
}

impl Lead {
    pub(super) fn outlook(&self, now: Time, model: &ModelName) -> LoadEstimate {
        let ready = self.ready_time(now, model).map(|at| at.since(now));
        let ready_ms = ready.map(|span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX));
        LoadEstimate { model: model.clone(), ready_ms }
    }

    /// Returns when a model will be held, by what is loading and by its place among those that
    /// wait.
    fn ready_time(&self, now: Time, model: &ModelName) -> Option<Time> {
        let serving = self.targets.values().any(|ledger| ledger.serves(model));
        if serving {
            return Some(now);
        }
        let loading = self.targets.values().filter_map(|ledger| ledger.load_ready(now, model));
        if let Some(at) = loading.min() {
            return Some(at);
        }
        let (shape, description) = self.model(model)?;
        let copies = self.copy_holders(shape, description);
        let copied = copies.iter().filter_map(|(ledger, copy)| {
            let open_at = ledger.soon_open(now)?;
            Some(open_at + RETIRE_PAUSE + UNLOAD_SPAN + copy.load_time(description))
        });
        if let Some(at) = copied.min() {
            return Some(at);
        }
        let waited = self.demand.get(model).map_or(now, |stats| stats.waiting(now).1);
        let until = waited + DISK_PATIENCE;
        if !copies.is_empty() && until > now {
            return Some(until);
        }
        let ahead = self.queue.iter().take_while(|other| *other != model);
        let place = ahead.count() + self.store_loads();
        let rounds = u32::try_from(place / self.config.loads_at_once + 1).unwrap_or(u32::MAX);
        Some(now + UNLOAD_SPAN + description.load_time * rounds.min(MAX_ROUNDS))
    }

    /// Returns the targets in use that have a model's weights at hand.
    fn copy_holders(
        &self,
        shape: &EngineSpec,
        model: &EngineModel,
    ) -> Vec<(&TargetLedger, CopyPlace)> {
        let holders = self.copies.holders(&model.name).iter().filter_map(|address| {
            let ledger = self.targets.get(self.addresses.get(address)?)?;
            let copy = self.copies.place(*address, shape, model)?;
            ledger.is_ready().then_some((ledger, copy))
        });
        holders.collect()
    }

    fn store_loads(&self) -> usize {
        let loads = |ledger: &&TargetLedger| {
            ledger.goal.as_ref().is_some_and(|goal| goal.from_store)
                || ledger.goal.is_none() && ledger.is_busy()
        };
        self.targets.values().filter(loads).count()
    }

    /// Returns how many copies of a model are to be held, by its demand.
    fn wanted_copies(&self, now: Time, model: &ModelName, factor: f64) -> usize {
        let stats = self.demand.get(model);
        let rate = stats.map_or(0.0, |stats| stats.rate(now)) * factor;
        let tokens = stats.map_or(0.0, |stats| stats.token_rate(now)) * factor;
        let by_load = (tokens * UNSHARED / READ_TOKENS / COPY_SHARE).ceil() as usize;
        let by_rate = if rate >= 2.0 { 2 } else { 1 };
        let known = by_load.max(by_rate).max(1);
        if self.demand.arrivals() < KNOWN_ARRIVALS {
            // Copies that are found say which models are in demand; a later term keeps them all
            // until it knows better.
            let found = self.initial.get(model).copied().unwrap_or(0);
            return known.max(if self.term.is_first { (found * 2).div_ceil(3) } else { found });
        }
        known
    }

    fn counts(&self, now: Time) -> SortedMap<ModelName, CopyCount> {
        let mut counts: SortedMap<ModelName, CopyCount> = SortedMap::default();
        for ledger in self.targets.values().filter(|ledger| ledger.is_ready()) {
            for held in ledger.models() {
                if ledger.serves(&held.name) {
                    counts.entry(held.name.clone(), CopyCount::default).serving += 1;
                }
            }
            if let Some(goal) = &ledger.goal {
                counts.entry(goal.model.clone(), CopyCount::default).loading += 1;
            }
        }
        let shapes = self.layout.iter().flat_map(|layout| layout.services());
        for name in shapes.filter_map(|s| s.engine.as_ref()).flat_map(|shape| shape.models.keys()) {
            counts.entry(name.clone(), CopyCount::default);
        }
        for (model, count) in counts.iter_mut() {
            count.wanted = self.wanted_copies(now, model, 1.0);
            count.kept = self.wanted_copies(now, model, KEEP_FACTOR);
        }
        counts
    }

    /// Returns the least time between two plans: they cost more in a larger fleet.
    fn plan_pause(&self) -> Duration {
        PLAN_PAUSE * u32::try_from(self.targets.len() / 20).unwrap_or(u32::MAX)
    }

    /// Plans loads for models that requests wait for, for those whose copies don't suffice, and
    /// for those that nobody holds.
    pub(super) fn plan_loads(&mut self, now: Time) {
        let soon = self.planned_at.is_some_and(|at| now.since(at) < self.plan_pause());
        if soon || !self.may_order(now) || !self.targets.values().any(|ledger| ledger.is_idle(now))
        {
            return;
        }
        self.planned_at = Some(now);
        let mut counts = self.counts(now);
        let is_settled = now.since(self.listed_at) >= LIST_QUIET;
        let mut candidates: Vec<Candidate> = Vec::new();
        for (model, count) in counts.iter() {
            let all = count.serving + count.loading;
            let stats = self.demand.get(model);
            let (waiting, since, priority) =
                stats.map_or((0, now, u8::MAX), |stats| stats.waiting(now));
            let rate = self.demand.rate(now, model);
            let coming = rate * HORIZON;
            if waiting > 0 && count.serving == 0 && count.loading < LOADS_OF_MODEL {
                let urgency = 1.0 + f64::from(9 - priority.min(9)) * 0.1;
                let age = now.since(since).as_secs_f64();
                let worth = f64::from(waiting) * urgency + coming + age * 0.1;
                let model = model.clone();
                candidates.push(Candidate { model, worth, waiting: true, grows: false });
            } else if all == 0 && (is_settled || rate >= DEMAND_FLOOR) {
                let worth = 0.2 + coming;
                let model = model.clone();
                candidates.push(Candidate { model, worth, waiting: false, grows: false });
            } else if all < count.wanted && rate >= DEMAND_FLOOR {
                // What the copies can't take is late rather than lost.
                let short = 1.0 - all as f64 / count.wanted as f64;
                let worth = 0.5 * coming * short;
                let model = model.clone();
                candidates.push(Candidate { model, worth, waiting: false, grows: true });
            }
        }
        candidates.sort_by(|a, b| b.worth.total_cmp(&a.worth).then_with(|| a.model.cmp(&b.model)));
        let unserved = candidates.iter().filter(|candidate| !candidate.grows);
        self.queue = unserved.map(|candidate| candidate.model.clone()).collect();
        let waits = candidates.iter().any(|candidate| candidate.waiting);
        let growth = match (self.queue.len() >= MANY_UNSERVED, waits) {
            (true, _) => 1,
            (false, true) => self.config.loads_at_once / 2,
            (false, false) => self.config.loads_at_once,
        };
        // Loads of weights at hand go first: they are short and wait for one target only, whatever
        // other models must wait for.
        candidates.retain(|candidate| !self.plan_copy(now, candidate, &mut counts));
        let mut searches = 0;
        for candidate in candidates {
            // More copies of what is served don't take all loads from what nobody holds.
            let grows = |ledger: &&TargetLedger| {
                ledger.goal.as_ref().is_some_and(|goal| goal.grows && goal.from_store)
            };
            if candidate.grows && self.targets.values().filter(grows).count() >= growth {
                continue;
            }
            searches += usize::from(self.plan_fetch(now, &candidate, &mut counts));
            if searches >= MAX_SEARCHES {
                break;
            }
        }
        self.note_backlog(now);
    }

    /// Notes which models in the queue have no load, and where their weights are.
    fn note_backlog(&mut self, now: Time) {
        if self.backlog_at.is_some_and(|at| now.since(at) < BACKLOG_PAUSE) {
            return;
        }
        let mut backlog = LoadBacklog { store_loads: self.store_loads(), ..LoadBacklog::default() };
        let goals = || self.targets.values().filter_map(|ledger| ledger.goal.as_ref());
        backlog.store_growth = goals().filter(|goal| goal.from_store && goal.grows).count();
        for model in &self.queue {
            if goals().any(|goal| goal.model == *model) {
                continue;
            }
            backlog.models += 1;
            backlog.waiting += self.demand.waiting(now, model);
            let Some((shape, description)) = self.model(model) else { continue };
            let holders = self.copy_holders(shape, description);
            match holders.iter().map(|(ledger, _)| ledger.is_idle(now)).max() {
                Some(true) => backlog.on_idle_disk += 1,
                Some(false) => backlog.on_busy_disk += 1,
                None => {}
            }
        }
        if backlog.models > 0 {
            self.backlog_at = Some(now);
            self.notes.push(LeadNote::Backlog(backlog));
        }
    }

    /// Plans a load of weights that a target has at hand. Returns whether nothing is left to do for
    /// the candidate: that is planned, or such a target will soon be open.
    fn plan_copy(
        &mut self,
        now: Time,
        candidate: &Candidate,
        counts: &mut SortedMap<ModelName, CopyCount>,
    ) -> bool {
        let model = &candidate.model;
        let Some((shape, description)) = self.model(model) else { return true };
        let mut is_busy = false;
        let mut best: Option<LoadChoice> = None;
        for (ledger, copy) in self.copy_holders(shape, description) {
            if ledger.holds(model) {
                continue;
            }
            if !ledger.is_idle(now) {
                is_busy = true;
                continue;
            }
            let choice =
                self.choose(now, candidate, ledger, (shape, description), Some(copy), counts);
            best = LoadChoice::better(best, choice);
        }
        if let Some(choice) = best {
            let description = description.clone();
            self.begin_load(now, candidate, &description, choice, counts);
            return true;
        }
        let waited = self.demand.get(model).map_or(now, |stats| stats.waiting(now).1);
        is_busy && now.since(waited) < DISK_PATIENCE
    }

    /// Plans a load from the weight store. Returns whether targets were searched for room.
    fn plan_fetch(
        &mut self,
        now: Time,
        candidate: &Candidate,
        counts: &mut SortedMap<ModelName, CopyCount>,
    ) -> bool {
        let model = &candidate.model;
        let Some((shape, description)) = self.model(model) else { return false };
        let (shape, description) = (shape.clone(), description.clone());
        if self.store_loads() >= self.config.loads_at_once
            || !self.window.has_room(now, shape.loads_per_second)
        {
            return false;
        }
        let mut best: Option<LoadChoice> = None;
        for ledger in self.targets.values().filter(|ledger| ledger.is_idle(now)) {
            let fits = self.shape(&ledger.entry).is_some_and(|s| s.models.contains(model));
            if fits && !ledger.holds(model) {
                let choice =
                    self.choose(now, candidate, ledger, (&shape, &description), None, counts);
                best = LoadChoice::better(best, choice);
            }
        }
        if let Some(choice) = best {
            self.begin_load(now, candidate, &description, choice, counts);
        }
        true
    }

    /// Returns what a load on a target would cost, unless that is more than it brings.
    fn choose(
        &self,
        now: Time,
        candidate: &Candidate,
        ledger: &TargetLedger,
        (shape, description): (&EngineSpec, &EngineModel),
        copy: Option<CopyPlace>,
        counts: &SortedMap<ModelName, CopyCount>,
    ) -> Option<LoadChoice> {
        let (victim, cost) = self.victim(now, ledger, shape, description.weight_mb, counts)?;
        let is_asked = self.demand.rate(now, &candidate.model) >= DEMAND_FLOOR;
        // Without anyone waiting, one model that is seldom asked for must not displace another.
        let bound = match (candidate.grows, is_asked) {
            (true, _) => candidate.worth * GROWTH_BOUND,
            (false, true) => candidate.worth * UNSERVED_BOUND,
            (false, false) => 0.0,
        };
        if !candidate.waiting && cost > bound {
            return None;
        }
        let span = copy.map_or(description.load_time, |copy| copy.load_time(description));
        let blocked =
            if ledger.adapters.in_demand(now) { span.mul_f64(0.5) } else { Duration::ZERO };
        let total = (span + blocked).as_secs_f64() + cost;
        Some(LoadChoice { total, target: ledger.entry.name.clone(), victim, copy })
    }

    fn begin_load(
        &mut self,
        now: Time,
        candidate: &Candidate,
        description: &EngineModel,
        choice: LoadChoice,
        counts: &mut SortedMap<ModelName, CopyCount>,
    ) {
        let LoadChoice { target, victim, copy, .. } = choice;
        let (model, from_store) = (&candidate.model, copy.is_none());
        let span = match copy {
            Some(copy) => copy.load_time(description),
            None => {
                let slowed = (self.store_loads() as f64 + 1.0) / self.config.loads_at_once as f64;
                self.window.began(now);
                description.load_time.mul_f64(slowed.max(1.0))
            }
        };
        if let Some(count) = counts.get_mut(model) {
            count.loading += 1;
        }
        self.notes.push(LeadNote::Planned(LoadNote {
            model: model.clone(),
            target: target.clone(),
            victim: victim.clone(),
            from_store,
            waiting: self.demand.waiting(now, model),
            rate: self.demand.rate(now, model),
            wanted: counts.get(model).map_or(0, |count| count.wanted),
        }));
        let victim_rate = victim.as_ref().map_or(0.0, |victim| self.demand.rate(now, victim));
        let Some(ledger) = self.targets.get_mut(&target) else { return };
        if let Some(victim) = victim {
            if let Some(count) = counts.get_mut(&victim) {
                count.serving = count.serving.saturating_sub(1);
            }
            let recent = ledger.used_at(&victim).is_some_and(|at| now.since(at) < USE_SPAN);
            let pause =
                if recent || victim_rate >= DEMAND_FLOOR { RETIRE_PAUSE } else { Duration::ZERO };
            ledger.news.push((victim.clone(), false));
            ledger.retiring = Some((victim, now + pause));
        }
        ledger.goal = Some(LoadGoal {
            model: model.clone(),
            span,
            least: span.min(description.disk_load_time),
            from_store,
            grows: candidate.grows,
            decided_at: now,
            ready_at: now + UNLOAD_SPAN + span,
        });
    }

    /// Returns the model that makes room on a target, if one must, and what its loss costs in
    /// seconds; `None` when there can be no room.
    fn victim(
        &self,
        now: Time,
        ledger: &TargetLedger,
        shape: &EngineSpec,
        needed_mb: f64,
        counts: &SortedMap<ModelName, CopyCount>,
    ) -> Option<(Option<ModelName>, f64)> {
        let free = ledger.free_mb(&shape.models, shape.weight_mb);
        if free >= needed_mb {
            return Some((None, 0.0));
        }
        let mut best: Option<(ModelName, f64)> = None;
        for held in ledger.models() {
            let model = &held.name;
            let weight = shape.models.get(model).map_or(0.0, |m| m.weight_mb);
            if free + weight < needed_mb || self.demand.waiting(now, model) > 0 {
                continue;
            }
            let count = counts.get(model).cloned().unwrap_or_default();
            let rate = self.demand.rate(now, model);
            let cost = if count.serving > count.kept.max(1) {
                0.0
            } else if count.serving > 1 {
                0.3 * rate
            } else {
                SOLE_COST + 2.0 * rate
            };
            let recent = ledger.used_at(model).is_some_and(|at| now.since(at) < USE_SPAN);
            let cost = cost + if recent { USED_COST } else { 0.0 };
            if best.as_ref().is_none_or(|(_, least)| cost < *least) {
                best = Some((model.clone(), cost));
            }
        }
        best.map(|(model, cost)| (Some(model), cost))
    }
}
