//! Work of models and engines in uneven services, and the choice of engines and evictions by it.

use std::time::Duration;

use base::{DomainName, ModelName, Name, SortedMap, TargetName, Time};
use fleet::{EngineModel, EngineSpec, FleetLayout, ModelRef};

use super::plan::{LoadCandidate, LoadChoice, LoadPlan, MIN_DEMAND_RATE, RECENT_USE};
use super::Leader;
use crate::target::TargetRecord;
use crate::weights::WeightTier;
use crate::work::{self, Eviction, LoadReason, PlacementRank};

/// A model that was evicted from a target isn't loaded there again within this time, unless requests
/// wait for it, and a loaded one isn't evicted for an additional replica. It exceeds the time constant
/// of the demand's average.
const RELOAD_PAUSE: Duration = Duration::from_secs(5);
/// How long a new leader keeps the replicas that it found: its averages need this time to show the
/// demand, also for models that are requested every ten seconds.
const START_SPAN: Duration = Duration::from_secs(10);
/// Work of an engine after a load, relative to the accepted share of its time, above which it counts as
/// crowded. A rare model beside a hot one is below it; two hot models are above.
const CROWDED_RATIO: f64 = 1.25;
/// Weight of the duration of a load, in seconds, beside the engine's work.
const SPAN_COST: f64 = 0.1;

/// An engine in an uneven service.
#[derive(Clone, Debug)]
struct EngineState {
    slowdown: f64,
    /// What a replica on it counts as, in usual replicas.
    weight: f64,
    /// Factor by which its time may be used more than that of a usual engine.
    share_ratio: f64,
    /// Share of its prefill time that its models take.
    work: f64,
}

/// A model in an uneven service.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelState {
    pub(super) work: f64,
    /// Largest work that one usual replica should take.
    pub(super) share: f64,
    /// Largest share of its time that an engine should spend on prompts beside this model's.
    limit: f64,
    /// What the replicas and loads count as, in usual replicas.
    capacity: f64,
    /// What the replicas count as, less for those on engines that other models use.
    serving: f64,
    /// What the loads from memory or disk count as, in the same way.
    local_loads: f64,
    /// What the loads from the weight store count as. They take so long that a load from memory or
    /// disk is worth its eviction meanwhile.
    store_loads: f64,
    /// Sum of the work of the engines that hold or load it, and their number.
    engine_work: (f64, u32),
    /// Domains that hold or load it.
    domains: Vec<DomainName>,
    /// Whether a domain of its service has none of it.
    misses_domain: bool,
}

impl ModelState {
    /// Returns the work of each usable replica.
    pub(super) fn work_each(&self) -> f64 {
        self.work / self.usable().max(0.1)
    }

    /// Returns what the replicas count as that serve now or within two seconds.
    fn usable(&self) -> f64 {
        self.serving + self.local_loads
    }

    /// Returns whether the replicas are too few for the work, also with the loads from memory or disk.
    pub(super) fn needs_replica(&self, wanted: usize) -> bool {
        work::needs_replica(self.usable(), wanted)
    }

    /// Returns whether the replicas are too few also with the loads from the weight store.
    pub(super) fn needs_store_load(&self, wanted: usize) -> bool {
        work::needs_replica(self.usable() + self.store_loads, wanted)
    }

    /// Returns the part of the wanted replicas that is missing, as work.
    pub(super) fn missing_work(&self, wanted: usize) -> f64 {
        self.work * (1.0 - self.usable() / wanted.max(1) as f64).max(0.0)
    }

    /// Returns whether a domain of the service has none of the model.
    pub(super) fn misses_domain(&self) -> bool {
        self.misses_domain
    }
}

/// The work in all uneven services, for one plan. It is empty if no service is uneven.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkView {
    engines: SortedMap<TargetName, EngineState>,
    models: SortedMap<ModelName, ModelState>,
}

impl WorkView {
    /// Returns a model's state if its service is uneven.
    pub(super) fn model(&self, name: &ModelName) -> Option<&ModelState> {
        self.models.get(name)
    }

    /// Adds the planned load of a model.
    pub(super) fn add_load(&mut self, record: &TargetRecord, model: &ModelName, from_store: bool) {
        let engine = self.engines.get(&record.entry.name);
        let Some((engine, state)) = engine.zip(self.models.get_mut(model)) else { return };
        state.capacity += engine.weight;
        match from_store {
            true => state.store_loads += engine.weight,
            false => state.local_loads += engine.weight,
        }
        if !state.domains.contains(&record.entry.domain) {
            state.domains.push(record.entry.domain.clone());
        }
    }

    /// Removes a replica that is to be evicted.
    pub(super) fn remove_replica(&mut self, target: &TargetName, model: &ModelName) {
        let usable = self.usable_weight(target, model);
        let engine = self.engines.get(target);
        let Some((engine, state)) = engine.zip(self.models.get_mut(model)) else { return };
        state.capacity -= engine.weight;
        state.serving -= usable;
    }

    /// Returns what a replica counts as, less if other models use much of the engine.
    fn usable_weight(&self, target: &TargetName, model: &ModelName) -> f64 {
        let engine = self.engines.get(target);
        let Some((engine, state)) = engine.zip(self.models.get(model)) else { return 0.0 };
        let limit = state.limit * engine.share_ratio;
        engine.weight * (limit / engine.work.max(limit)).min(1.0)
    }

    /// Returns the share of an engine's time that one of a model's replicas takes on it, if the
    /// replicas count as `capacity`.
    fn engine_share(&self, engine: &EngineState, model: &ModelName, capacity: f64) -> f64 {
        let work = self.models.get(model).map_or(0.0, |state| state.work);
        work / capacity.max(engine.weight) * engine.weight * engine.slowdown
    }
}

/// Returns the shortest gap that the stream routes of each service accept.
pub(super) fn accepted_gaps(layout: &FleetLayout) -> SortedMap<Name, Duration> {
    let mut gaps: SortedMap<Name, Duration> = SortedMap::default();
    for route in layout.routes().filter(|route| route.kind.is_stream()) {
        let Some(gap) = route.max_pause else { continue };
        for share in &route.services {
            let shortest = gaps.entry(share.service.clone(), || gap);
            *shortest = gap.min(*shortest);
        }
    }
    gaps
}

impl Leader {
    /// Returns the work in the uneven services: those of which a target has stated a slowdown.
    pub(super) fn work_view(&self, now: Time) -> WorkView {
        let mut view = WorkView::default();
        if self.slowdowns.is_empty() {
            return view;
        }
        let mut stated: SortedMap<&Name, Vec<f64>> = SortedMap::default();
        for (name, record) in self.targets.iter() {
            if let Some(factor) = self.slowdowns.factor(name) {
                stated.entry(&record.entry.service, Vec::new).push(factor);
            }
        }
        let usual = stated.iter().map(|(service, slowdowns)| {
            let slowdown = work::usual_slowdown(slowdowns.iter().copied());
            (*service, slowdown)
        });
        let usual: SortedMap<&Name, f64> = usual.collect();
        let prompts = usual.keys().filter_map(|service| {
            let spec = self.layout.as_ref()?.service(service)?.engine.as_ref()?;
            let tokens = self.demand.typical_prompt(now, spec.models.keys());
            Some((*service, work::prompt_time(tokens)))
        });
        let prompts: SortedMap<&Name, Duration> = prompts.collect();
        let mut domains: SortedMap<&Name, Vec<&DomainName>> = SortedMap::default();
        for (name, record) in self.targets.iter().filter(|(_, record)| record.is_ready()) {
            let service = &record.entry.service;
            let Some(usual) = usual.get(&service) else { continue };
            let slowdown = self.slowdowns.factor(name).unwrap_or(*usual);
            let prompt = prompts.get(&service).copied().unwrap_or_default();
            let gap = self.accepted_gaps.get(service).copied();
            let share_ratio = work::share_ratio(prompt, gap, slowdown, *usual);
            let weight = work::replica_weight(slowdown, *usual, share_ratio);
            view.engines
                .insert(name.clone(), EngineState { slowdown, weight, share_ratio, work: 0.0 });
            let known = domains.entry(service, Vec::new);
            if !known.contains(&&record.entry.domain) {
                known.push(&record.entry.domain);
            }
        }
        for (service, usual) in usual.iter() {
            let entry = self.layout.as_ref().and_then(|layout| layout.service(service));
            let Some(spec) = entry.and_then(|entry| entry.engine.as_ref()) else { continue };
            for model in spec.models.keys() {
                view.models.insert(model.clone(), self.model_state(now, model, service, *usual));
            }
        }
        self.add_replicas(&mut view);
        for (service, domains) in domains.iter() {
            let entry = self.layout.as_ref().and_then(|layout| layout.service(service));
            let Some(spec) = entry.and_then(|entry| entry.engine.as_ref()) else { continue };
            for model in spec.models.keys() {
                if let Some(state) = view.models.get_mut(model) {
                    state.misses_domain = domains.iter().any(|name| !state.domains.contains(name));
                }
            }
        }
        view
    }

    fn model_state(&self, now: Time, model: &ModelName, service: &Name, usual: f64) -> ModelState {
        let stats = self.demand.get(model);
        let (peak, prompt) =
            stats.map_or((0.0, 0.0), |stats| (stats.peak_token_rate(now), stats.typical_prompt()));
        let work = work::model_work(peak);
        let prompt = work::prompt_time(prompt).mul_f64(usual);
        let limit = work::replica_share(prompt, self.accepted_gaps.get(service).copied());
        ModelState { work, limit, share: limit / usual, ..ModelState::default() }
    }

    /// Adds the replicas and loads of all engines.
    fn add_replicas(&self, view: &mut WorkView) {
        let subjects = |record: &'_ TargetRecord| -> Vec<ModelName> {
            let served = record.models().iter().filter(|held| record.serves(&held.name));
            let loading = record.task.as_ref().map(|task| &task.model);
            served.map(|held| &held.name).chain(loading).cloned().collect()
        };
        let placed: Vec<(&TargetName, &TargetRecord, Vec<ModelName>)> = self
            .targets
            .iter()
            .filter(|(name, _)| view.engines.contains(name))
            .map(|(name, record)| (name, record, subjects(record)))
            .collect();
        for (target, record, models) in &placed {
            let Some(weight) = view.engines.get(target).map(|engine| engine.weight) else {
                continue;
            };
            for model in models {
                let Some(state) = view.models.get_mut(model) else { continue };
                state.capacity += weight;
                if !state.domains.contains(&record.entry.domain) {
                    state.domains.push(record.entry.domain.clone());
                }
            }
        }
        for (target, _, models) in &placed {
            let Some(engine) = view.engines.get(target) else { continue };
            let share = |model: &ModelName| {
                let capacity = view.models.get(model).map_or(0.0, |state| state.capacity);
                view.engine_share(engine, model, capacity)
            };
            let total: f64 = models.iter().map(share).sum();
            if let Some(engine) = view.engines.get_mut(target) {
                engine.work = total;
            }
        }
        for (target, record, models) in &placed {
            for model in models {
                let usable = view.usable_weight(target, model);
                let engine_work = view.engines.get(target).map_or(0.0, |engine| engine.work);
                let Some(state) = view.models.get_mut(model) else { continue };
                match record.task.as_ref().filter(|task| task.model == *model) {
                    Some(task) if task.from_store => state.store_loads += usable,
                    Some(_) => state.local_loads += usable,
                    None => state.serving += usable,
                }
                state.engine_work.0 += engine_work;
                state.engine_work.1 += 1;
            }
        }
    }

    /// Returns the replicas wanted and kept of a model in an uneven service.
    pub(super) fn replicas_by_work(
        &self,
        now: Time,
        model: &ModelName,
        state: &ModelState,
    ) -> (usize, usize) {
        let share = state.share.max(f64::EPSILON);
        let lasting = self.demand.get(model).map_or(0.0, |stats| stats.token_rate(now));
        let is_start = self.is_start(now);
        let found = self.initial_replicas.get(model).copied().filter(|_| is_start).unwrap_or(0);
        let wanted = work::wanted_replicas(state.work, share).min(self.targets.len().max(1));
        let kept = work::kept_replicas(work::model_work(lasting), share);
        (wanted, kept.max(wanted).max(found))
    }

    /// Returns whether the leader has heard of the demand only recently.
    fn is_start(&self, now: Time) -> bool {
        self.first_report_at.is_none_or(|at| now.since(at) < START_SPAN)
    }

    /// Returns the load of a candidate on a target of an uneven service, unless its eviction isn't
    /// allowed or the target has no capacity for it.
    pub(super) fn evaluate_by_work(
        &self,
        now: Time,
        candidate: &LoadCandidate,
        record: &TargetRecord,
        (spec, description): (&EngineSpec, &EngineModel),
        tier: Option<WeightTier>,
        plan: &LoadPlan,
    ) -> Option<LoadChoice> {
        let (model, view) = (&candidate.model, &plan.work);
        let engine = view.engines.get(&record.entry.name)?;
        let state = view.model(model)?;
        let is_recent = record.evicted_at(model).is_some_and(|at| now.since(at) < RELOAD_PAUSE);
        if is_recent && !candidate.has_waiting {
            return None;
        }
        let (victim, cost) =
            self.victim_by_work(now, candidate, record, spec, description, plan)?;
        let is_in_demand = self.demand.rate(now, model) >= MIN_DEMAND_RATE;
        let max_cost = match candidate.reason {
            LoadReason::Unserved if candidate.has_waiting => f64::INFINITY,
            LoadReason::Unserved if is_in_demand => candidate.unserved_cost_limit(),
            LoadReason::Unserved | LoadReason::Unrequested => 0.0,
            LoadReason::Work(_) | LoadReason::Domain => f64::INFINITY,
        };
        if cost > max_cost {
            return None;
        }
        let freed = victim.as_ref().map_or(0.0, |victim| {
            let capacity = view.model(victim).map_or(0.0, |state| state.capacity);
            view.engine_share(engine, victim, capacity)
        });
        let own = view.engine_share(engine, model, state.capacity + engine.weight);
        let other_work = (engine.work - freed).max(0.0);
        let engine_work = other_work + own;
        // The own share counts as if the model had all of its replicas.
        let limit = state.limit * engine.share_ratio;
        let is_crowded = other_work + own.min(limit) > CROWDED_RATIO * limit;
        let in_domain = state.domains.contains(&record.entry.domain);
        let (total, count) = state.engine_work;
        let present_work = total / f64::from(count.max(1));
        match candidate.reason {
            // The additional replica would be no faster than the present ones.
            LoadReason::Work(each)
                if is_crowded && engine_work >= present_work.max(each * engine.slowdown) =>
            {
                return None;
            }
            LoadReason::Domain if is_crowded || in_domain => return None,
            _ => {}
        }
        let span = tier.map_or(description.load_time, |tier| tier.load_time(description));
        let adapter_delay =
            if record.adapters.in_demand(now) { span.mul_f64(0.5) } else { Duration::ZERO };
        let cost = cost + engine_work + (span + adapter_delay).as_secs_f64() * SPAN_COST;
        let rank = PlacementRank {
            is_crowded: is_crowded && candidate.is_extra,
            in_domain: in_domain && candidate.is_extra,
            cost,
        };
        Some(LoadChoice { rank, target: record.entry.name.clone(), victim, tier })
    }

    /// Returns the model whose eviction loses the least work, if one must be evicted, and its cost;
    /// `None` if no single eviction that is allowed makes enough room.
    fn victim_by_work(
        &self,
        now: Time,
        candidate: &LoadCandidate,
        record: &TargetRecord,
        spec: &EngineSpec,
        needed: &EngineModel,
        plan: &LoadPlan,
    ) -> Option<(Option<ModelName>, f64)> {
        let load = ModelRef { model: needed.name.clone(), adapter: None };
        if !record.has_stray_room(now, spec, &load) {
            return None;
        }
        let free = record.free_mb(now, &spec.models, spec.weight_mb, Some(&needed.name));
        if free >= needed.weight_mb {
            return Some((None, 0.0));
        }
        let target = &record.entry.name;
        let mut best: Option<(&ModelName, f64)> = None;
        for held in record.models() {
            let model = &held.name;
            // A model that a stray order may load again frees nothing.
            let freed_mb = match record.has_stray_load(now, model) {
                true => 0.0,
                false => spec.models.get(model).map_or(0.0, |m| m.weight_mb),
            };
            if free + freed_mb < needed.weight_mb || self.demand.waiting(now, model) > 0 {
                continue;
            }
            let (count, state) = (plan.counts.get(model), plan.work.model(model));
            let usable = state.map_or(0.0, |state| state.serving);
            let rate = self.demand.rate(now, model);
            let weights = spec.models.get(model);
            let tier = weights.and_then(|m| self.weights.tier_of(record.entry.address, spec, m));
            let eviction = Eviction {
                serving: count.map_or(0, |count| count.serving),
                remaining: (usable - plan.work.usable_weight(target, model)).max(0.0),
                kept: count.map_or(1, |count| count.kept),
                rate,
                has_demand: work::has_demand(rate) || self.is_start(now),
                work: state.map_or(0.0, |state| state.work),
                has_copy: tier.is_some(),
                is_new: record.loaded_at(model).is_some_and(|at| now.since(at) < RELOAD_PAUSE),
                is_recent: record.used_at(model).is_some_and(|at| now.since(at) < RECENT_USE),
            };
            let Some(cost) = work::eviction_cost(&eviction, candidate.reason) else { continue };
            if best.is_none_or(|(_, lowest)| cost < lowest) {
                best = Some((model, cost));
            }
        }
        best.map(|(model, cost)| (Some(model.clone()), cost))
    }
}
