//! Plans loads of models on targets and estimates when models become ready.

use std::time::Duration;

use base::{ModelName, SortedMap, TargetName, Time};
use fleet::{EngineModel, EngineSpec, LoadEstimate, ModelNeed, ModelRef, SoftwareVersion};

use super::replicas::{ModelState, WorkView};
use super::{Leader, LeaderEvent, LoadBacklog, LoadDecision, MIN_ARRIVALS};
use crate::target::{LoadTask, TargetRecord, UNLOAD_SPAN};
use crate::weights::WeightTier;
use crate::work::{self, LoadReason, PlacementRank, PREFILL_RATE, UNCACHED_SHARE};

/// Delay between retiring a replica in demand and its unload, so that daemons stop sending to it
/// first.
const RETIRE_DELAY: Duration = Duration::from_millis(250);
/// A replica that was used more recently than this may have a request in flight.
pub(super) const RECENT_USE: Duration = Duration::from_millis(1_000);
/// Requests per second from which a model counts as in demand.
pub(super) const MIN_DEMAND_RATE: f64 = 0.6;
/// How long a target has been limited before its models are loaded elsewhere.
const MIN_LIMIT_SPAN: Duration = Duration::from_secs(2);
/// Requests per second from which a model on a limited target is loaded elsewhere.
const MIN_COPY_RATE: f64 = 0.05;
/// Largest share of an engine's prompt processing time that one replica should take.
const MAX_REPLICA_SHARE: f64 = 0.35;
/// Requests expected within this many seconds add to the value of a load as waiting ones do.
const FORECAST_SECONDS: f64 = 8.0;
/// Least time between two plans of loads, for each full twenty targets.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);
/// Least time between two backlog events.
const BACKLOG_INTERVAL: Duration = Duration::from_millis(1_000);
/// Models for which one plan searches all targets for room.
const MAX_SEARCHES: usize = 12;
/// Factor on the demand when counting the replicas to keep, so that a small drop in demand evicts
/// none.
const KEEP_FACTOR: f64 = 1.6;
/// Largest eviction cost of a load that adds a replica, as a share of the load's value.
const EXTRA_COST_RATIO: f64 = 0.3;
/// With this many models without a replica, only one store load at a time may add replicas to
/// served models.
const MANY_UNSERVED: usize = 16;
/// Weight of a request that continues a stream, relative to one that begins one: its client has received
/// a part that is lost otherwise.
const CONTINUED_WEIGHT: f64 = 6.0;
/// Concurrent loads of one model that requests wait for.
const MAX_MODEL_LOADS: usize = 1;
/// How long a model waits for a busy target that has its weights in memory or on disk before it is
/// loaded from the store.
const MAX_LOCAL_WAIT: Duration = Duration::from_millis(2_500);
/// Most rounds of store loads that an estimate covers; demand will have changed by then.
const MAX_ROUNDS: u32 = 16;
/// Models without demand are loaded only after no new target has been listed for this long: a model
/// that seems to have no replica may be on a target that isn't listed yet.
const LIST_SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// Largest eviction cost of a load of a model without a replica, as a share of the load's value.
const UNSERVED_COST_RATIO: f64 = 0.15;
/// Cost, in seconds, of unloading a model's last replica, in addition to the cost of its demand.
const LAST_REPLICA_COST: f64 = 0.15;
/// Cost, in seconds, of unloading a model that was used recently.
const RECENT_USE_COST: f64 = 1.5;
/// Loads from memory or disk in one plan that add replicas in uneven services. An engine is busy for
/// up to 1.3 s with such a load, and models without a replica come first.
const MAX_EXTRA_LOADS: usize = 3;
/// Least time between two searches of all targets for additional replicas in uneven services, and of
/// domains without a model. The loads that they bring are not urgent, and the searches are long.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Models for which one plan looks for an engine in a domain that has none of them.
const MAX_DOMAIN_LOADS: usize = 24;

/// Replica counts of one model.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaCount {
    pub(super) serving: usize,
    loading: usize,
    wanted: usize,
    /// Number of replicas above which evicting one costs nothing.
    pub(super) kept: usize,
}

/// The state of one plan.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadPlan {
    pub(super) counts: SortedMap<ModelName, ReplicaCount>,
    pub(super) work: WorkView,
    /// Loads from memory or disk that add replicas in uneven services.
    extra_loads: usize,
}

/// A model that may be loaded.
pub(super) struct LoadCandidate {
    pub(super) model: ModelName,
    /// Software version of the targets that may load it; `None` if all may.
    version: Option<SoftwareVersion>,
    value: f64,
    /// Whether requests wait for the model.
    pub(super) has_waiting: bool,
    /// Whether the load adds a replica to a model that already has a replica or a load.
    pub(super) is_extra: bool,
    /// Decides what may be evicted in uneven services.
    pub(super) reason: LoadReason,
}

impl LoadCandidate {
    /// Returns what the requests need for which the model is loaded.
    fn need(&self) -> ModelNeed {
        ModelNeed { model: self.model.clone(), version: self.version.clone() }
    }

    /// Returns the largest eviction cost for a model without a replica that no request waits for.
    pub(super) fn unserved_cost_limit(&self) -> f64 {
        self.value * UNSERVED_COST_RATIO
    }
}

/// A possible load of a candidate on one target.
pub(super) struct LoadChoice {
    /// In even services, only the cost counts: load time plus the cost of the eviction, in seconds.
    pub(super) rank: PlacementRank,
    pub(super) target: TargetName,
    pub(super) victim: Option<ModelName>,
    /// Where the target has the weights; `None` for a load from the weight store.
    pub(super) tier: Option<WeightTier>,
}

impl LoadChoice {
    fn cheaper(best: Option<LoadChoice>, other: Option<LoadChoice>) -> Option<LoadChoice> {
        match (best, other) {
            (Some(best), Some(other)) if best.rank.order(&other.rank).is_le() => Some(best),
            (best, other) => other.or(best),
        }
    }
}

/// Returns the load that adds a replica in an uneven service, if one is needed.
fn extra_candidate(
    model: &ModelName,
    rate: f64,
    count: &ReplicaCount,
    state: &ModelState,
) -> Option<LoadCandidate> {
    if rate < MIN_DEMAND_RATE {
        return None;
    }
    let (value, reason) = if state.needs_replica(count.wanted) {
        (state.missing_work(count.wanted), LoadReason::Work(state.work_each()))
    } else if state.misses_domain() {
        // Below every load for work, highest work first.
        (state.work - 1_000.0, LoadReason::Domain)
    } else {
        return None;
    };
    let (model, version) = (model.clone(), None);
    Some(LoadCandidate { model, version, value, has_waiting: false, is_extra: true, reason })
}

impl Leader {
    pub(super) fn load_estimate(&self, now: Time, need: &ModelNeed) -> LoadEstimate {
        let ready = self.ready_time(now, need).map(|at| at.since(now));
        let ready_ms = ready.map(|span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX));
        let ModelNeed { model, version } = need.clone();
        LoadEstimate { model, version, ready_ms }
    }

    /// Returns when a model is expected to be held where it is needed, by the loads in progress and its
    /// position in the queue.
    fn ready_time(&self, now: Time, need: &ModelNeed) -> Option<Time> {
        let model = &need.model;
        let suited = || self.targets.values().filter(|record| record.meets(need));
        let is_served = suited().any(|record| record.serves(model));
        if is_served {
            return Some(now);
        }
        let loading = suited().filter_map(|record| record.load_ready_at(now, model));
        if let Some(at) = loading.min() {
            return Some(at);
        }
        let (spec, description) = self.find_model(model)?;
        let mut sources = self.weight_holders(spec, description);
        sources.retain(|(record, _)| record.meets(need));
        let local_ready = sources.iter().filter_map(|(record, tier)| {
            let free_at = record.next_load_at(now)?;
            Some(free_at + RETIRE_DELAY + UNLOAD_SPAN + tier.load_time(description))
        });
        if let Some(at) = local_ready.min() {
            return Some(at);
        }
        let until = self.demand.waiting_since(now, need) + MAX_LOCAL_WAIT;
        if !sources.is_empty() && until > now {
            return Some(until);
        }
        let ahead = self.load_queue.iter().take_while(|other| *other != need);
        let position = ahead.count() + self.store_loads();
        let rounds = u32::try_from(position / self.config.loads_at_once + 1).unwrap_or(u32::MAX);
        Some(now + UNLOAD_SPAN + description.load_time * rounds.min(MAX_ROUNDS))
    }

    /// Returns the ready targets that have a model's weights in memory or on disk.
    fn weight_holders(
        &self,
        spec: &EngineSpec,
        model: &EngineModel,
    ) -> Vec<(&TargetRecord, WeightTier)> {
        let holders = self.weights.addresses(&model.name).iter().filter_map(|address| {
            let record = self.targets.get(self.targets_by_address.get(address)?)?;
            let tier = self.weights.tier_of(*address, spec, model)?;
            record.is_ready().then_some((record, tier))
        });
        holders.collect()
    }

    fn store_loads(&self) -> usize {
        let is_store_load = |record: &&TargetRecord| {
            record.task.as_ref().is_some_and(|task| task.from_store)
                || record.task.is_none() && record.is_busy()
        };
        self.targets.values().filter(is_store_load).count()
    }

    /// Returns the number of replicas that a model needs at `factor` times its demand.
    fn wanted_replicas(&self, now: Time, model: &ModelName, factor: f64) -> usize {
        let stats = self.demand.get(model);
        let rate = stats.map_or(0.0, |stats| stats.rate(now)) * factor;
        let tokens = stats.map_or(0.0, |stats| stats.token_rate(now)) * factor;
        let by_load = (tokens * UNCACHED_SHARE / PREFILL_RATE / MAX_REPLICA_SHARE).ceil() as usize;
        let by_rate = if rate >= 2.0 { 2 } else { 1 };
        let needed = by_load.max(by_rate).max(1);
        if self.demand.arrivals() < MIN_ARRIVALS {
            // Too few samples: the replicas found at the start show which models are in demand. A
            // later term keeps all of them until it has measured the demand.
            let found = self.initial_replicas.get(model).copied().unwrap_or(0);
            return needed.max(if self.term.is_first { (found * 2).div_ceil(3) } else { found });
        }
        needed
    }

    fn replica_counts(&self, now: Time, work: &WorkView) -> SortedMap<ModelName, ReplicaCount> {
        let mut counts: SortedMap<ModelName, ReplicaCount> = SortedMap::default();
        for record in self.targets.values().filter(|record| record.is_ready()) {
            for held in record.models() {
                if record.serves(&held.name) {
                    counts.entry(held.name.clone(), ReplicaCount::default).serving += 1;
                }
            }
            if let Some(task) = &record.task {
                counts.entry(task.model.clone(), ReplicaCount::default).loading += 1;
            }
        }
        let services = self.layout.iter().flat_map(|layout| layout.services());
        for name in services.filter_map(|s| s.engine.as_ref()).flat_map(|spec| spec.models.keys()) {
            counts.entry(name.clone(), ReplicaCount::default);
        }
        self.discount_limited(now, &mut counts);
        for (model, count) in counts.iter_mut() {
            (count.wanted, count.kept) = match work.model(model) {
                Some(state) if self.demand.arrivals() >= MIN_ARRIVALS => {
                    self.replicas_by_work(now, model, state)
                }
                _ => (
                    self.wanted_replicas(now, model, 1.0),
                    self.wanted_replicas(now, model, KEEP_FACTOR),
                ),
            };
        }
        counts
    }

    /// Leaves out the replicas in demand on targets whose limits are too low for the requests that
    /// they would get, so that these models are loaded elsewhere too.
    fn discount_limited(&self, now: Time, counts: &mut SortedMap<ModelName, ReplicaCount>) {
        for (name, record) in self.targets.iter().filter(|(_, record)| record.is_limited) {
            let born_ms = record.entry.born_ms;
            let lasts = |since: Time| now.since(since) >= MIN_LIMIT_SPAN;
            let rate = self.limits.rate(name, born_ms);
            let Some(rate) =
                rate.filter(|_| self.limits.limited_since(name, born_ms).is_some_and(lasts))
            else {
                continue;
            };
            let served = record.models().iter().filter(|held| record.serves(&held.name));
            let served: Vec<&ModelName> = served.map(|held| &held.name).collect();
            let share = |model: &&ModelName| {
                let serving = counts.get(model).map_or(1, |count| count.serving.max(1));
                self.demand.rate(now, model) / serving as f64
            };
            if served.iter().map(share).sum::<f64>() <= rate.per_second() {
                continue;
            }
            for model in served {
                let count = counts.get_mut(model);
                if let Some(count) = count.filter(|_| self.demand.rate(now, model) >= MIN_COPY_RATE)
                {
                    count.serving = count.serving.saturating_sub(1);
                }
            }
        }
    }

    /// Returns the least time between two plans, which cost more in a larger fleet.
    fn plan_interval(&self) -> Duration {
        PLAN_INTERVAL * u32::try_from(self.targets.len() / 20).unwrap_or(u32::MAX)
    }

    /// Plans loads of models that requests wait for, of models without a replica and of models with
    /// too few replicas.
    pub(super) fn plan_loads(&mut self, now: Time) {
        self.end_evacuated_loads(now);
        let is_too_soon = self.last_plan_at.is_some_and(|at| now.since(at) < self.plan_interval());
        if is_too_soon
            || !self.may_plan_orders(now)
            || !self.targets.values().any(|record| record.is_idle(now))
        {
            return;
        }
        self.last_plan_at = Some(now);
        let work = self.work_view(now);
        let counts = self.replica_counts(now, &work);
        let mut plan = LoadPlan { counts, work, extra_loads: 0 };
        let is_search_due = self.last_search_at.is_none_or(|at| now.since(at) >= SEARCH_INTERVAL);
        if is_search_due {
            self.last_search_at = Some(now);
        }
        let is_settled = now.since(self.target_added_at) >= LIST_SETTLE_TIME;
        let mut candidates: Vec<LoadCandidate> = Vec::new();
        for (model, count) in plan.counts.iter() {
            let replicas = count.serving + count.loading;
            let stats = self.demand.get(model);
            let (waiting, since, priority) =
                stats.map_or((0, now, u8::MAX), |stats| stats.waiting(now));
            let rate = self.demand.rate(now, model);
            let expected = rate * FORECAST_SECONDS;
            let state = plan.work.model(model);
            if waiting > 0 && count.serving == 0 && count.loading < MAX_MODEL_LOADS {
                let urgency = 1.0 + f64::from(9 - priority.min(9)) * 0.1;
                let age = now.since(since).as_secs_f64();
                let value = f64::from(waiting) * urgency + expected + age * 0.1;
                let model = model.clone();
                let reason = LoadReason::Unserved;
                candidates.push(LoadCandidate {
                    model,
                    version: None,
                    value,
                    has_waiting: true,
                    is_extra: false,
                    reason,
                });
            } else if replicas == 0 && (is_settled || rate >= MIN_DEMAND_RATE) {
                let value = 0.2 + expected;
                let model = model.clone();
                candidates.push(LoadCandidate {
                    model,
                    version: None,
                    value,
                    has_waiting: false,
                    is_extra: false,
                    reason: match work::has_demand(rate) {
                        true => LoadReason::Unserved,
                        false => LoadReason::Unrequested,
                    },
                });
            } else if let Some(state) = state {
                candidates.extend(extra_candidate(model, rate, count, state));
            } else if replicas < count.wanted && rate >= MIN_DEMAND_RATE {
                // Requests beyond what the replicas can take are late rather than lost, so an extra
                // replica has less value.
                let shortfall = 1.0 - replicas as f64 / count.wanted as f64;
                let value = 0.5 * expected * shortfall;
                let model = model.clone();
                let reason = LoadReason::Work(0.0);
                candidates.push(LoadCandidate {
                    model,
                    version: None,
                    value,
                    has_waiting: false,
                    is_extra: true,
                    reason,
                });
            }
        }
        let bound = self.bound_candidates(now);
        let is_bound = |model: &ModelName| bound.iter().any(|other| other.model == *model);
        candidates.retain(|candidate| candidate.has_waiting || !is_bound(&candidate.model));
        candidates.extend(bound);
        let is_last = |candidate: &LoadCandidate| {
            candidate.is_extra && plan.work.model(&candidate.model).is_some()
        };
        candidates.sort_by(|a, b| {
            let by_value = b.value.total_cmp(&a.value).then_with(|| a.model.cmp(&b.model));
            is_last(a).cmp(&is_last(b)).then(by_value)
        });
        let mut domain_loads = 0;
        candidates.retain(|candidate| {
            domain_loads += usize::from(candidate.reason == LoadReason::Domain);
            candidate.reason != LoadReason::Domain
                || is_search_due && domain_loads <= MAX_DOMAIN_LOADS
        });
        let unserved = candidates.iter().filter(|candidate| !candidate.is_extra);
        self.load_queue = unserved.map(LoadCandidate::need).collect();
        let any_waiting = candidates.iter().any(|candidate| candidate.has_waiting);
        let max_extra_loads = match (self.load_queue.len() >= MANY_UNSERVED, any_waiting) {
            (true, _) => 1,
            (false, true) => self.config.loads_at_once / 2,
            (false, false) => self.config.loads_at_once,
        };
        // Loads from memory or disk go first: they are short and need only a target that has the
        // weights, while store loads also compete for the store.
        candidates.retain(|candidate| !self.plan_local_load(now, candidate, &mut plan));
        let mut searches = 0;
        for candidate in candidates {
            // Extra replicas must not take all store loads from models without a replica.
            let is_extra_load = |record: &&TargetRecord| {
                record.task.as_ref().is_some_and(|task| task.is_extra && task.from_store)
            };
            if candidate.is_extra
                && self.targets.values().filter(is_extra_load).count() >= max_extra_loads
            {
                continue;
            }
            // Models without a replica need the store more than domains need replicas of their own.
            if candidate.reason == LoadReason::Domain && self.store_loads() > 0 {
                continue;
            }
            let can_wait = plan.work.model(&candidate.model).is_some_and(|state| {
                let wanted = plan.counts.get(&candidate.model).map_or(1, |count| count.wanted);
                matches!(candidate.reason, LoadReason::Work(_))
                    && (!is_search_due || !state.needs_store_load(wanted))
            });
            if can_wait {
                continue;
            }
            searches += usize::from(self.plan_store_load(now, &candidate, &mut plan));
            if searches >= MAX_SEARCHES {
                break;
            }
        }
        self.record_backlog(now);
    }

    /// Returns the loads for requests that continue streams, where no target of their version holds or
    /// loads the model.
    fn bound_candidates(&self, now: Time) -> Vec<LoadCandidate> {
        let mut candidates = Vec::new();
        for (model, stats) in self.demand.iter() {
            for version in stats.bound_versions(now) {
                let need = ModelNeed { model: model.clone(), version: Some(version) };
                let mut suited = self.targets.values().filter(|record| record.meets(&need));
                let is_held = |record: &TargetRecord| {
                    record.serves(model) || record.load_ready_at(now, model).is_some()
                };
                let Some(version) = need.version.clone().filter(|_| !suited.any(is_held)) else {
                    continue;
                };
                let (waiting, since, priority) = stats.bound_waiting(now, &version);
                let urgency = 1.0 + f64::from(9 - priority.min(9)) * 0.1;
                let age = now.since(since).as_secs_f64();
                candidates.push(LoadCandidate {
                    model: model.clone(),
                    version: Some(version),
                    value: f64::from(waiting) * urgency * CONTINUED_WEIGHT + age * 0.1,
                    has_waiting: true,
                    is_extra: false,
                    reason: LoadReason::Unserved,
                });
            }
        }
        candidates
    }

    /// Records an event with the queued models that have no load and where their weights are.
    fn record_backlog(&mut self, now: Time) {
        if self.last_backlog_at.is_some_and(|at| now.since(at) < BACKLOG_INTERVAL) {
            return;
        }
        let mut backlog = LoadBacklog { store_loads: self.store_loads(), ..LoadBacklog::default() };
        let tasks = || self.targets.values().filter_map(|record| record.task.as_ref());
        backlog.store_growth = tasks().filter(|task| task.from_store && task.is_extra).count();
        for ModelNeed { model, .. } in &self.load_queue {
            if tasks().any(|task| task.model == *model) {
                continue;
            }
            backlog.models += 1;
            backlog.waiting += self.demand.waiting(now, model);
            let Some((spec, description)) = self.find_model(model) else { continue };
            let holders = self.weight_holders(spec, description);
            match holders.iter().map(|(record, _)| record.is_idle(now)).max() {
                Some(true) => backlog.on_idle_disk += 1,
                Some(false) => backlog.on_busy_disk += 1,
                None => {}
            }
        }
        if backlog.models > 0 {
            self.last_backlog_at = Some(now);
            self.events.push(LeaderEvent::Backlog(backlog));
        }
    }

    /// Returns whether a load that was begun in the same plan also serves the requests that wait for a
    /// candidate.
    fn is_covered(&self, now: Time, candidate: &LoadCandidate, plan: &LoadPlan) -> bool {
        if candidate.version.is_none() {
            let loading = plan.counts.get(&candidate.model).map_or(0, |count| count.loading);
            return candidate.has_waiting && loading >= MAX_MODEL_LOADS;
        }
        let need = candidate.need();
        let mut suited = self.targets.values().filter(|record| record.meets(&need));
        suited.any(|record| record.load_ready_at(now, &candidate.model).is_some())
    }

    /// Plans a load on a target that has the weights in memory or on disk. Returns whether the
    /// candidate needs no store load: its load is planned, or such a target should be free soon.
    fn plan_local_load(
        &mut self,
        now: Time,
        candidate: &LoadCandidate,
        plan: &mut LoadPlan,
    ) -> bool {
        let model = &candidate.model;
        if self.is_covered(now, candidate, plan) {
            return true;
        }
        let Some((spec, description)) = self.find_model(model) else { return true };
        let is_extra = candidate.is_extra && plan.work.model(model).is_some();
        if is_extra && plan.extra_loads >= MAX_EXTRA_LOADS {
            return true;
        }
        let mut is_busy = false;
        let mut best: Option<LoadChoice> = None;
        let need = candidate.need();
        for (record, tier) in self.weight_holders(spec, description) {
            if record.holds(model) || !record.meets(&need) {
                continue;
            }
            if !record.is_idle(now) {
                is_busy = true;
                continue;
            }
            let choice =
                self.evaluate_load(now, candidate, record, (spec, description), Some(tier), plan);
            best = LoadChoice::cheaper(best, choice);
        }
        if let Some(choice) = best {
            let description = description.clone();
            self.begin_load(now, candidate, &description, choice, plan);
            plan.extra_loads += usize::from(is_extra);
            return true;
        }
        is_busy && now.since(self.demand.waiting_since(now, &need)) < MAX_LOCAL_WAIT
    }

    /// Plans a load from the weight store. Returns whether all targets were searched for room.
    fn plan_store_load(
        &mut self,
        now: Time,
        candidate: &LoadCandidate,
        plan: &mut LoadPlan,
    ) -> bool {
        let model = &candidate.model;
        let Some((spec, description)) = self.find_model(model) else { return false };
        let (spec, description) = (spec.clone(), description.clone());
        if self.is_covered(now, candidate, plan)
            || self.store_loads() >= self.config.loads_at_once
            || !self.window.has_room(now, spec.loads_per_second)
        {
            return false;
        }
        let mut best: Option<LoadChoice> = None;
        let need = candidate.need();
        for record in self.targets.values().filter(|record| record.is_idle(now)) {
            let is_supported =
                self.engine_spec(&record.entry).is_some_and(|s| s.models.contains(model));
            if is_supported && !record.holds(model) && record.meets(&need) {
                let choice =
                    self.evaluate_load(now, candidate, record, (&spec, &description), None, plan);
                best = LoadChoice::cheaper(best, choice);
            }
        }
        if let Some(choice) = best {
            self.begin_load(now, candidate, &description, choice, plan);
        }
        true
    }

    /// Returns the load of a candidate on a target, unless its eviction would cost too much.
    fn evaluate_load(
        &self,
        now: Time,
        candidate: &LoadCandidate,
        record: &TargetRecord,
        (spec, description): (&EngineSpec, &EngineModel),
        tier: Option<WeightTier>,
        plan: &LoadPlan,
    ) -> Option<LoadChoice> {
        if plan.work.model(&candidate.model).is_some() {
            return self.evaluate_by_work(now, candidate, record, (spec, description), tier, plan);
        }
        let (victim, cost) = self.choose_victim(now, record, spec, description, &plan.counts)?;
        let is_in_demand = self.demand.rate(now, &candidate.model) >= MIN_DEMAND_RATE;
        // A rarely used model that no request waits for may evict only where that costs nothing.
        let max_cost = match (candidate.is_extra, is_in_demand) {
            (true, _) => candidate.value * EXTRA_COST_RATIO,
            (false, true) => candidate.unserved_cost_limit(),
            (false, false) => 0.0,
        };
        if !candidate.has_waiting && cost > max_cost {
            return None;
        }
        let span = tier.map_or(description.load_time, |tier| tier.load_time(description));
        let adapter_delay =
            if record.adapters.in_demand(now) { span.mul_f64(0.5) } else { Duration::ZERO };
        let cost = (span + adapter_delay).as_secs_f64() + cost;
        let rank = PlacementRank { is_crowded: false, in_domain: false, cost };
        Some(LoadChoice { rank, target: record.entry.name.clone(), victim, tier })
    }

    fn begin_load(
        &mut self,
        now: Time,
        candidate: &LoadCandidate,
        description: &EngineModel,
        choice: LoadChoice,
        plan: &mut LoadPlan,
    ) {
        let LoadChoice { target, victim, tier, .. } = choice;
        let (model, from_store) = (&candidate.model, tier.is_none());
        let span = match tier {
            Some(tier) => tier.load_time(description),
            None => {
                let slowdown = (self.store_loads() as f64 + 1.0) / self.config.loads_at_once as f64;
                self.window.record_start(now);
                description.load_time.mul_f64(slowdown.max(1.0))
            }
        };
        if let Some(count) = plan.counts.get_mut(model) {
            count.loading += 1;
        }
        self.events.push(LeaderEvent::Planned(LoadDecision {
            model: model.clone(),
            target: target.clone(),
            victim: victim.clone(),
            from_store,
            waiting: self.demand.waiting(now, model),
            rate: self.demand.rate(now, model),
            wanted: plan.counts.get(model).map_or(0, |count| count.wanted),
            work: plan.work.model(model).map(|state| (state.work, state.share)),
        }));
        let victim_rate = victim.as_ref().map_or(0.0, |victim| self.demand.rate(now, victim));
        let Some(record) = self.targets.get_mut(&target) else { return };
        plan.work.add_load(record, model, from_store);
        if let Some(victim) = victim {
            plan.work.remove_replica(&target, &victim);
            if let Some(count) = plan.counts.get_mut(&victim) {
                count.serving = count.serving.saturating_sub(1);
            }
            let is_recent = record.used_at(&victim).is_some_and(|at| now.since(at) < RECENT_USE);
            // Rare requests count too where additional replicas evict models often.
            let is_used = victim_rate >= MIN_DEMAND_RATE
                || plan.work.model(&victim).is_some() && work::has_demand(victim_rate);
            let delay = if is_recent || is_used { RETIRE_DELAY } else { Duration::ZERO };
            record.retire(now, victim, now + delay);
        }
        record.task = Some(LoadTask {
            model: model.clone(),
            span,
            min_span: span.min(description.disk_load_time),
            from_store,
            is_extra: candidate.is_extra,
            planned_at: now,
            ready_at: now + UNLOAD_SPAN + span,
        });
    }

    /// Returns the model to evict from a target, if one must be, and the cost of that in seconds;
    /// `None` if no single eviction makes enough room.
    fn choose_victim(
        &self,
        now: Time,
        record: &TargetRecord,
        spec: &EngineSpec,
        needed: &EngineModel,
        counts: &SortedMap<ModelName, ReplicaCount>,
    ) -> Option<(Option<ModelName>, f64)> {
        let load = ModelRef { model: needed.name.clone(), adapter: None };
        if !record.has_stray_room(now, spec, &load) {
            return None;
        }
        let needed_mb = needed.weight_mb;
        let free = record.free_mb(now, &spec.models, spec.weight_mb, Some(&needed.name));
        if free >= needed_mb {
            return Some((None, 0.0));
        }
        let mut best: Option<(ModelName, f64)> = None;
        for held in record.models() {
            let model = &held.name;
            // A model that a stray order may load again frees nothing.
            let freed_mb = match record.has_stray_load(now, model) {
                true => 0.0,
                false => spec.models.get(model).map_or(0.0, |m| m.weight_mb),
            };
            if free + freed_mb < needed_mb || self.demand.waiting(now, model) > 0 {
                continue;
            }
            let count = counts.get(model).cloned().unwrap_or_default();
            let rate = self.demand.rate(now, model);
            let cost = if count.serving > count.kept.max(1) {
                0.0
            } else if count.serving > 1 {
                0.3 * rate
            } else {
                LAST_REPLICA_COST + 2.0 * rate
            };
            let is_recent = record.used_at(model).is_some_and(|at| now.since(at) < RECENT_USE);
            let cost = cost + if is_recent { RECENT_USE_COST } else { 0.0 };
            if best.as_ref().is_none_or(|(_, lowest)| cost < *lowest) {
                best = Some((model.clone(), cost));
            }
        }
        best.map(|(model, cost)| (Some(model), cost))
    }
}
