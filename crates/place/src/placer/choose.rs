//! Chooses what to load where, and what to evict for it.

use std::time::Duration;

use base::{ByteSize, Fence, ModelName, TargetName, Time};
use config::{Servable, Snapshot, TargetObject};

use super::{HostState, PlaceAction, PlaceWrite, Placer, TargetState};
use crate::plan::{LoadOrder, Phase, Replica};
use crate::want::{Demand, WantAnswer};

/// How long a replica that does not appear on its target is waited for before its load is
/// ordered anew.
const REORDER_AFTER: Duration = Duration::from_secs(2);
/// How long a ledger without a free copy is believed.
const LEDGER_SPAN: Duration = Duration::from_millis(500);
/// How long a load counts as occupying a slot of the weight store.
const SLOT_SPAN: Duration = Duration::from_secs(60);

impl Placer {
    pub(super) fn choose_loads(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        host: &HostState,
        fence: Fence,
        actions: &mut Vec<PlaceAction>,
    ) {
        let mut wants: Vec<(ModelName, Demand)> =
            self.demands.iter().map(|(model, demand)| (model.clone(), demand.clone())).collect();
        // Earliest deadline first; of equal deadlines the one with more waiting requests.
        wants.sort_by_key(|(_, demand)| (demand.deadline, std::cmp::Reverse(demand.waiting)));
        let mut ahead = 0;
        for (model, demand) in wants {
            let Some(servable) = snapshot.servable(&model) else { continue };
            let base = servable.base.filter(|base| !self.is_present(base));
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

    /// Returns whether a replica of `model` is ready on some target.
    fn is_present(&self, model: &ModelName) -> bool {
        self.targets.values().any(|state| {
            let phase = state.plan.replicas.get(model).map(|replica| replica.phase);
            phase == Some(Phase::Loaded)
        })
    }

    /// Returns whether a load of `model` is under way, or a replica exists and no other is asked
    /// for.
    fn is_pending(&self, model: &ModelName, extra: bool) -> bool {
        self.targets.values().any(|state| {
            if state.writing.as_ref().is_some_and(|write| write.plan.replicas.contains(model)) {
                return true;
            }
            match state.plan.replicas.get(model).map(|replica| replica.phase) {
                Some(Phase::Loading) => !state.needs_order(model),
                Some(Phase::Loaded) => !extra,
                _ => false,
            }
        })
    }

    /// Answers a demand that can't be met in time. Returns whether it did.
    fn refuse_late(
        &self,
        now: Time,
        wanted: &ModelName,
        servable: &Servable<'_>,
        demand: &Demand,
        ahead: usize,
        actions: &mut Vec<PlaceAction>,
    ) -> bool {
        // Loads of adapters take milliseconds and are never the reason for being late.
        let Some(mean) = self.load_times.expected(now).filter(|_| servable.base.is_none()) else {
            return false;
        };
        let rounds = u32::try_from(ahead / self.config.load_slots + 1).unwrap_or(u32::MAX);
        let expected = mean.saturating_mul(rounds);
        // Half of the expected time is granted as the estimate's error, so that a wrong refusal
        // is rarer than a late one.
        if now + expected / 2 <= demand.deadline || demand.extra {
            return false;
        }
        let answer = WantAnswer { model: wanted.clone(), retry_after: expected };
        actions.push(PlaceAction::Answer(answer));
        true
    }

    fn free_slots(&self, now: Time, snapshot: &Snapshot, adapter: bool) -> usize {
        let slots = if adapter { self.config.adapter_slots } else { self.config.load_slots };
        let same_kind = |model: &ModelName| {
            snapshot.servable(model).is_some_and(|servable| servable.base.is_some() == adapter)
        };
        let occupies = |state: &TargetState, model: &ModelName| {
            let since = state.loading_since.get(model);
            // A load that is being recorded will take its slot at once.
            !state.plan.replicas.contains(model)
                || since.is_some_and(|since| now.since(*since) < SLOT_SPAN)
        };
        let used: usize = self
            .targets
            .values()
            .map(|state| {
                let plan = state.writing.as_ref().map_or(&state.plan, |write| &write.plan);
                let loading = plan.replicas.iter().filter(|(_, r)| r.phase == Phase::Loading);
                loading.filter(|(m, _)| same_kind(m) && occupies(state, m)).count()
            })
            .sum();
        slots.saturating_sub(used)
    }

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
            self.promote(&target, servable.name, actions);
            return;
        }
        if let Some(target) = self.reorder_target(now, servable.name) {
            self.load_on(&target, fence, servable, None, actions);
            return;
        }
        let mut copies = None;
        if servable.base.is_none() {
            let Some(known) = self.copies.get(servable.name).cloned() else {
                self.read_copies(servable.name, actions);
                return;
            };
            let remote = host.remote.binary_search(servable.name).is_ok();
            if known.ledger.count() > 0 && remote && !demand.extra {
                return;
            }
            if known.ledger.count() >= snapshot.copies(servable.name) as usize {
                // Another failure domain may give a copy up at any time.
                if now.since(known.read_at) > LEDGER_SPAN {
                    self.copies.remove(servable.name);
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
                self.load_on(&target.clone(), fence, servable, copies, actions);
            }
            None => self.evict_for(now, servable, &candidates, actions),
        }
    }

    /// Returns a target on which this seat reserved a replica of `model`.
    fn reserved_target(&self, model: &ModelName) -> Option<TargetName> {
        let found = self.targets.iter().find(|(_, state)| {
            let replica = state.plan.replicas.get(model);
            let ready = state.revision.is_some() && state.writing.is_none();
            ready && replica.is_some_and(|replica| self.is_usable(replica))
        });
        found.map(|(name, _)| name.clone())
    }

    /// Turns a reserved replica into one that is loaded.
    fn promote(&mut self, target: &TargetName, model: &ModelName, actions: &mut Vec<PlaceAction>) {
        let Some(state) = self.targets.get(target) else { return };
        let Some(expected) = state.revision else { return };
        let mut plan = state.plan.clone();
        if let Some(replica) = plan.replicas.get_mut(model) {
            replica.phase = Phase::Loading;
        }
        let write = PlaceWrite { target: target.clone(), expected, plan, copies: Vec::new() };
        self.record(write, actions);
    }

    /// Returns a target whose recorded replica of `model` never appeared and may be ordered anew.
    fn reorder_target(&self, now: Time, model: &ModelName) -> Option<TargetName> {
        let found = self.targets.iter().find(|(_, state)| {
            let ready = state.revision.is_some() && state.writing.is_none();
            ready && state.needs_order(model) && state.is_fresh(now, self.report_span())
        });
        found.map(|(name, _)| name.clone())
    }

    /// Returns targets on which `servable` may be loaded, with their free memory and the memory
    /// that is being freed.
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
            let base_ready = plan.get(base).is_some_and(|r| r.phase == Phase::Loaded);
            !plan.contains(servable.name)
                && (servable.base.is_none() || base_ready)
                && snapshot.may_place(base, target)
        };
        let usable = |target: &TargetObject, state: &TargetState| {
            state.revision.is_some()
                && state.writing.is_none()
                && state.is_fresh(now, self.report_span())
                && host.leaving.binary_search(&target.name).is_err()
        };
        self.targets
            .iter()
            .filter_map(|(name, state)| {
                let target = snapshot.target(name)?;
                if !usable(target, state) || !may_hold(target, state) {
                    return None;
                }
                let free = target.memory.saturating_sub(state.plan.committed());
                let unloading = state.plan.replicas.values();
                let unloading = unloading.filter(|r| r.phase == Phase::Unloading);
                Some((name.clone(), free, unloading.map(|r| r.memory).sum()))
            })
            .collect()
    }

    fn load_on(
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
        state.keep.remove(servable.name);
        let mut plan = state.plan.clone();
        let empty = || Replica::new(servable.memory, Phase::Loading, Vec::new());
        let replica = plan.replicas.entry(servable.name.clone(), empty);
        replica.phase = Phase::Loading;
        replica.orders.push(order);
        state.note_resolved(replica);
        let copies = copies.into_iter().collect();
        self.record(PlaceWrite { target: target.clone(), expected, plan, copies }, actions);
    }

    /// Takes idle replicas out of routing on the target where the most recently used of them has
    /// been idle for longest.
    fn evict_for(
        &mut self,
        now: Time,
        servable: &Servable<'_>,
        candidates: &[(TargetName, ByteSize, ByteSize)],
        actions: &mut Vec<PlaceAction>,
    ) {
        let need = servable.memory;
        if candidates.iter().any(|(_, free, freeing)| *free + *freeing >= need) {
            return;
        }
        let choices = candidates.iter().filter_map(|(name, free, freeing)| {
            let missing = need.saturating_sub(*free + *freeing);
            let (victims, idle) = self.victims(now, name, servable, missing)?;
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

    /// Returns the longest idle replicas of a target that together free `missing`, and how long
    /// the last of them has been idle.
    fn victims(
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
                let idle = replica.phase == Phase::Loaded
                    && replica.is_resolved()
                    && Some(*model) != servable.base
                    && state.is_idle(model);
                (idle || self.is_usable(replica)) && !self.demands.contains(model)
            })
            .map(|(model, replica)| {
                let idle = state.keep.get(model).map_or(Duration::ZERO, |keep| keep.idle(now));
                (idle, model.clone(), replica.memory)
            })
            .collect();
        idle.sort_by(|a, b| b.cmp(a));
        let (mut victims, mut freed, mut least) = (Vec::new(), ByteSize::ZERO, Duration::MAX);
        for (span, model, memory) in idle {
            if freed >= missing {
                break;
            }
            victims.push(model);
            freed += memory;
            least = span;
        }
        (freed >= missing).then_some((victims, least))
    }
}

impl TargetState {
    fn is_fresh(&self, now: Time, span: Duration) -> bool {
        self.heard.as_ref().is_some_and(|heard| now.since(heard.asked_at) <= span)
    }

    /// Returns whether a replica is recorded but, by the target's own report, not there: its load
    /// has had no effect for long, or it was unloaded and an older order keeps it recorded. Its
    /// memory and copy are counted, so another order may make use of them.
    fn needs_order(&self, model: &ModelName) -> bool {
        let Some(replica) = self.plan.replicas.get(model) else { return false };
        let Some(heard) = &self.heard else { return false };
        let after = |since: &Time, span: Duration| heard.asked_at > *since + span;
        let overdue = match replica.phase {
            Phase::Loading => {
                self.loading_since.get(model).is_some_and(|since| after(since, REORDER_AFTER))
            }
            Phase::Unloading => {
                self.unloading.get(model).is_some_and(|(since, _)| after(since, REORDER_AFTER))
            }
            // A former placer's reserve: its order may still arrive, and loads the same model.
            Phase::Reserved => true,
            Phase::Loaded => false,
        };
        overdue && heard.report.replica(model).is_none()
    }
}
