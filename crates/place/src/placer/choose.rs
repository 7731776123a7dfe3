//! Chooses the replicas to load, their targets, and the replicas to evict for them.

use std::time::Duration;

use base::{ByteSize, Fence, ModelName, TargetName, Time};
use config::{Servable, Snapshot, TargetObject};

use super::{HostState, PlaceAction, PlaceWrite, Placer, TargetState};
use crate::demand::{Demand, DemandRefusal};
use crate::plan::{LoadOrder, Phase, Replica};

/// Time after which a recorded replica that does not appear on its target may get a new load order.
const RELOAD_AFTER: Duration = Duration::from_secs(2);
/// Time after which a ledger without a free copy is read again.
const FULL_LEDGER_TTL: Duration = Duration::from_millis(500);
/// Time after which an unfinished load no longer counts as occupying a slot of the weight store.
const SLOT_TIMEOUT: Duration = Duration::from_secs(60);

impl Placer {
    /// Chooses a load, an eviction or a refusal for each demand that is not yet met.
    pub(super) fn choose_loads(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        host: &HostState,
        fence: Fence,
        actions: &mut Vec<PlaceAction>,
    ) {
        let mut queue: Vec<(ModelName, Demand)> =
            self.demands.iter().map(|(model, demand)| (model.clone(), demand.clone())).collect();
        // Earliest deadline first, then the most waiting requests first.
        queue.sort_by_key(|(_, demand)| (demand.deadline, std::cmp::Reverse(demand.waiting)));
        let mut ahead = 0;
        for (model, demand) in queue {
            let Some(servable) = snapshot.servable(&model) else { continue };
            let base = servable.base.filter(|base| !self.is_loaded(base));
            let servable = base.and_then(|base| snapshot.servable(base)).unwrap_or(servable);
            if self.is_pending(servable.name, demand.extra) {
                continue;
            }
            if self.refuse_late(now, &model, &servable, &demand, ahead, actions) {
                continue;
            }
            ahead += 1;
            if self.free_slots(now, snapshot, servable.base.is_some()) > 0 {
                self.choose_load(now, snapshot, host, fence, &servable, &demand, actions);
            }
        }
    }

    /// Returns whether a replica of `model` is recorded as loaded on some target.
    fn is_loaded(&self, model: &ModelName) -> bool {
        self.targets.values().any(|state| {
            let phase = state.plan.replicas.get(model).map(|replica| replica.phase);
            phase == Some(Phase::Loaded)
        })
    }

    /// Returns whether a load of `model` is in progress, or a replica is loaded and no extra one is
    /// needed.
    fn is_pending(&self, model: &ModelName, extra: bool) -> bool {
        self.targets.values().any(|state| {
            if state.pending_write.as_ref().is_some_and(|write| write.plan.replicas.contains(model))
            {
                return true;
            }
            match state.plan.replicas.get(model).map(|replica| replica.phase) {
                Some(Phase::Loading) => !state.needs_reload(model),
                Some(Phase::Loaded) => !extra,
                _ => false,
            }
        })
    }

    /// Refuses the demand for `model` if the load of `servable` (the model or its base) can't end in
    /// time, given `ahead` loads before it. Returns whether it refused.
    fn refuse_late(
        &self,
        now: Time,
        model: &ModelName,
        servable: &Servable<'_>,
        demand: &Demand,
        ahead: usize,
        actions: &mut Vec<PlaceAction>,
    ) -> bool {
        // Adapter loads take milliseconds and never make a request late.
        let Some(mean) = self.load_times.expected(now).filter(|_| servable.base.is_none()) else {
            return false;
        };
        let rounds = u32::try_from(ahead / self.config.load_slots + 1).unwrap_or(u32::MAX);
        let expected = mean.saturating_mul(rounds);
        // Only half of the expected time must fit before the deadline. The estimate may be too
        // high, and a wrong refusal should be rarer than a late one.
        if now + expected / 2 <= demand.deadline || demand.extra {
            return false;
        }
        let refusal = DemandRefusal { model: model.clone(), retry_after: expected };
        actions.push(PlaceAction::RefuseDemand(refusal));
        true
    }

    /// Returns the number of free load slots, for adapters or for base models.
    fn free_slots(&self, now: Time, snapshot: &Snapshot, is_adapter: bool) -> usize {
        let slots = if is_adapter { self.config.adapter_slots } else { self.config.load_slots };
        let is_same_kind = |model: &ModelName| {
            snapshot.servable(model).is_some_and(|servable| servable.base.is_some() == is_adapter)
        };
        let occupies_slot = |state: &TargetState, model: &ModelName| {
            let since = state.loading_since.get(model);
            // A load that is still being recorded occupies its slot already.
            !state.plan.replicas.contains(model)
                || since.is_some_and(|since| now.since(*since) < SLOT_TIMEOUT)
        };
        let used: usize = self
            .targets
            .values()
            .map(|state| {
                let plan = state.pending_write.as_ref().map_or(&state.plan, |write| &write.plan);
                let loading = plan.replicas.iter().filter(|(_, r)| r.phase == Phase::Loading);
                loading.filter(|(m, _)| is_same_kind(m) && occupies_slot(state, m)).count()
            })
            .sum();
        slots.saturating_sub(used)
    }

    /// Loads `servable` on the best target, or evicts idle replicas for it.
    #[expect(clippy::too_many_arguments)]
    fn choose_load(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        host: &HostState,
        fence: Fence,
        servable: &Servable<'_>,
        demand: &Demand,
        actions: &mut Vec<PlaceAction>,
    ) {
        if let Some(target) = self.reserved_target(servable.name) {
            self.promote_reserved(&target, servable.name, actions);
            return;
        }
        if let Some(target) = self.reload_target(now, servable.name) {
            self.record_load(&target, fence, servable, None, actions);
            return;
        }
        let mut copies = None;
        if servable.base.is_none() {
            let Some(known) = self.ledgers.get(servable.name).cloned() else {
                self.read_ledger(servable.name, actions);
                return;
            };
            let is_remote = host.remote_models.binary_search(servable.name).is_ok();
            if known.ledger.count() > 0 && is_remote && !demand.extra {
                return;
            }
            if known.ledger.count() >= snapshot.max_copies(servable.name) as usize {
                // Another failure domain may remove a copy at any time, so the ledger is read again.
                if now.since(known.read_at) > FULL_LEDGER_TTL {
                    self.ledgers.remove(servable.name);
                }
                return;
            }
            copies = Some((known.revision, known.ledger));
        }
        let candidates = self.candidates(now, snapshot, host, servable);
        let fitting = candidates
            .iter()
            .filter(|(_, free, _)| *free >= servable.memory)
            .max_by_key(|(_, free, _)| *free);
        match fitting {
            Some((target, _, _)) => {
                let copies = copies.map(|(revision, ledger)| {
                    (servable.name.clone(), revision, ledger.with(target))
                });
                self.record_load(&target.clone(), fence, servable, copies, actions);
            }
            None => self.evict_for(now, servable, &candidates, actions),
        }
    }

    /// Returns a target with a reserved replica of `model` whose load this daemon can still order.
    fn reserved_target(&self, model: &ModelName) -> Option<TargetName> {
        let found = self.targets.iter().find(|(_, state)| {
            let replica = state.plan.replicas.get(model);
            let is_writable = state.revision.is_some() && state.pending_write.is_none();
            is_writable && replica.is_some_and(|replica| self.is_load_unsent(replica))
        });
        found.map(|(name, _)| name.clone())
    }

    /// Moves a reserved replica to the loading phase, so that its order is sent.
    fn promote_reserved(
        &mut self,
        target: &TargetName,
        model: &ModelName,
        actions: &mut Vec<PlaceAction>,
    ) {
        let Some(state) = self.targets.get(target) else { return };
        let Some(expected) = state.revision else { return };
        let mut plan = state.plan.clone();
        if let Some(replica) = plan.replicas.get_mut(model) {
            replica.phase = Phase::Loading;
        }
        let write = PlaceWrite { target: target.clone(), expected, plan, copies: Vec::new() };
        self.record(write, actions);
    }

    /// Returns a target whose recorded replica of `model` is missing and may get a new load order.
    fn reload_target(&self, now: Time, model: &ModelName) -> Option<TargetName> {
        let found = self.targets.iter().find(|(_, state)| {
            let is_writable = state.revision.is_some() && state.pending_write.is_none();
            is_writable && state.needs_reload(model) && state.is_current(now, self.report_max_age())
        });
        found.map(|(name, _)| name.clone())
    }

    /// Returns the targets on which `servable` may be loaded, each with its free memory and the
    /// memory that unloading replicas will free.
    pub(super) fn candidates(
        &self,
        now: Time,
        snapshot: &Snapshot,
        host: &HostState,
        servable: &Servable<'_>,
    ) -> Vec<(TargetName, ByteSize, ByteSize)> {
        let base = servable.base.unwrap_or(servable.name);
        let may_hold = |target: &TargetObject, state: &TargetState| {
            let plan = &state.plan.replicas;
            let is_base_loaded = plan.get(base).is_some_and(|r| r.phase == Phase::Loaded);
            !plan.contains(servable.name)
                && (servable.base.is_none() || is_base_loaded)
                && snapshot.may_place(base, target)
        };
        let is_usable = |target: &TargetObject, state: &TargetState| {
            state.revision.is_some()
                && state.pending_write.is_none()
                && state.is_current(now, self.report_max_age())
                && host.leaving.binary_search(&target.name).is_err()
        };
        self.targets
            .iter()
            .filter_map(|(name, state)| {
                let target = snapshot.target(name)?;
                if !is_usable(target, state) || !may_hold(target, state) {
                    return None;
                }
                let free = target.memory.saturating_sub(state.plan.committed());
                let unloading = state.plan.replicas.values();
                let unloading = unloading.filter(|r| r.phase == Phase::Unloading);
                Some((name.clone(), free, unloading.map(|r| r.memory).sum()))
            })
            .collect()
    }

    /// Records a new load order for `servable` on `target`.
    fn record_load(
        &mut self,
        target: &TargetName,
        fence: Fence,
        servable: &Servable<'_>,
        copies: Option<(ModelName, base::Revision, crate::CopyLedger)>,
        actions: &mut Vec<PlaceAction>,
    ) {
        let id = self.next_order(fence);
        let order = LoadOrder { id, issuer: self.seat.clone(), resolved: false };
        let Some(state) = self.targets.get_mut(target) else { return };
        let Some(expected) = state.revision else { return };
        state.idle_trackers.remove(servable.name);
        let mut plan = state.plan.clone();
        let empty = || Replica::new(servable.memory, Phase::Loading, Vec::new());
        let replica = plan.replicas.entry(servable.name.clone(), empty);
        replica.phase = Phase::Loading;
        replica.orders.push(order);
        state.mark_resolved(replica);
        let copies = copies.into_iter().collect();
        self.record(PlaceWrite { target: target.clone(), expected, plan, copies }, actions);
    }

    /// Removes idle replicas from routing on one target, to make room for `servable`.
    ///
    /// Chooses the target on which the most recently used of these replicas has been idle longest.
    /// Does nothing if enough memory is already being freed on some target.
    fn evict_for(
        &mut self,
        now: Time,
        servable: &Servable<'_>,
        candidates: &[(TargetName, ByteSize, ByteSize)],
        actions: &mut Vec<PlaceAction>,
    ) {
        let needed = servable.memory;
        if candidates.iter().any(|(_, free, freeing)| *free + *freeing >= needed) {
            return;
        }
        let choices = candidates.iter().filter_map(|(name, free, freeing)| {
            let missing = needed.saturating_sub(*free + *freeing);
            let (victims, idle) = self.choose_victims(now, name, servable, missing)?;
            Some((name.clone(), victims, idle))
        });
        let Some((name, victims, _)) = choices.max_by_key(|(_, _, idle)| *idle) else { return };
        let Some(state) = self.targets.get(&name) else { return };
        let Some(expected) = state.revision else { return };
        let mut plan = state.plan.clone();
        for model in victims {
            if let Some(replica) = plan.replicas.get_mut(&model) {
                replica.phase = Phase::Unloading;
            }
        }
        let write = PlaceWrite { target: name, expected, plan, copies: Vec::new() };
        self.record(write, actions);
    }

    /// Returns the longest idle replicas of a target that together free `missing`, and the shortest
    /// idle time among them. Returns `None` if they can't free that much.
    fn choose_victims(
        &self,
        now: Time,
        name: &TargetName,
        servable: &Servable<'_>,
        missing: ByteSize,
    ) -> Option<(Vec<ModelName>, Duration)> {
        let state = self.targets.get(name)?;
        let mut idle: Vec<(Duration, ModelName, ByteSize)> = state
            .plan
            .replicas
            .iter()
            .filter(|(model, replica)| {
                let is_evictable = replica.phase == Phase::Loaded
                    && replica.is_resolved()
                    && Some(*model) != servable.base
                    && state.is_idle(model);
                (is_evictable || self.is_load_unsent(replica)) && !self.demands.contains(model)
            })
            .map(|(model, replica)| {
                let idle = state
                    .idle_trackers
                    .get(model)
                    .map_or(Duration::ZERO, |tracker| tracker.idle_time(now));
                (idle, model.clone(), replica.memory)
            })
            .collect();
        idle.sort_by(|a, b| b.cmp(a));
        let (mut victims, mut freed, mut min_idle) = (Vec::new(), ByteSize::ZERO, Duration::MAX);
        for (idle_for, model, memory) in idle {
            if freed >= missing {
                break;
            }
            victims.push(model);
            freed += memory;
            min_idle = idle_for;
        }
        (freed >= missing).then_some((victims, min_idle))
    }
}

impl TargetState {
    /// Returns whether the last report is at most `max_age` old.
    fn is_current(&self, now: Time, max_age: Duration) -> bool {
        self.last_report
            .as_ref()
            .is_some_and(|received| now.since(received.requested_at) <= max_age)
    }

    /// Returns whether a replica is recorded but missing in the target's report, so that it may get
    /// a new load order.
    ///
    /// Either its load has had no effect for some time, or it was unloaded and stays recorded
    /// because an order is unresolved. Its memory and its copy are counted already.
    fn needs_reload(&self, model: &ModelName) -> bool {
        let Some(replica) = self.plan.replicas.get(model) else { return false };
        let Some(received) = &self.last_report else { return false };
        let is_after = |since: &Time, span: Duration| received.requested_at > *since + span;
        let is_overdue = match replica.phase {
            Phase::Loading => {
                self.loading_since.get(model).is_some_and(|since| is_after(since, RELOAD_AFTER))
            }
            Phase::Unloading => {
                self.unloading.get(model).is_some_and(|(since, _)| is_after(since, RELOAD_AFTER))
            }
            // Reserved by a former placer. Its order may still arrive, but loads the same model.
            Phase::Reserved => true,
            Phase::Loaded => false,
        };
        is_overdue && received.report.replica(model).is_none()
    }
}
