//! Replicas that are reserved for outages of the key-value service.
//!
//! A reserved replica is recorded like any other: its copy and its memory are counted, and its
//! load order has an identifier. Only its issuer may send that order, and it may do so while the
//! service is down. All others must assume that the order may arrive at any time. A successor thus
//! keeps the replica counted until the issuer disowns the order or is proved gone.

use base::{Fence, ModelName, TargetName, Time};
use config::Snapshot;

use super::{HostState, PlaceAction, PlaceWrite, Placer, SendState};
use crate::order::OrderKind;
use crate::plan::{LoadOrder, Phase, Replica};

impl Placer {
    /// Returns whether this daemon sent a load order of the replica.
    pub(super) fn is_load_sent(&self, replica: &Replica) -> bool {
        replica.orders.iter().any(|order| {
            let state = self.send_states.get(&order.id);
            matches!(state, Some(SendState::InFlight | SendState::Ended(_)))
        })
    }

    /// Returns whether the replica is reserved and this daemon can still send its load order.
    pub(super) fn is_load_unsent(&self, replica: &Replica) -> bool {
        let is_unsent = |order: &LoadOrder| {
            order.issuer == self.seat && !order.resolved && !self.send_states.contains(&order.id)
        };
        replica.phase == Phase::Reserved && replica.orders.iter().any(is_unsent)
    }

    /// Reserves another replica if there are too few. Prefers the model that was last in demand.
    pub(super) fn choose_reserve(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        host: &HostState,
        fence: Fence,
        actions: &mut Vec<PlaceAction>,
    ) {
        let replicas = self.targets.values().flat_map(|state| state.plan.replicas.values());
        let reserved = replicas.filter(|replica| replica.phase == Phase::Reserved).count();
        let has_pending_write = self.targets.values().any(|state| state.pending_write.is_some());
        if reserved >= self.config.reserve || has_pending_write || !self.demands.is_empty() {
            return;
        }
        for model in self.reserve_candidates(snapshot) {
            let Some(known) = self.ledgers.get(&model).cloned() else {
                self.read_ledger(&model, actions);
                return;
            };
            // Each other failure domain must keep one copy for its own requests.
            let free_copies =
                (snapshot.max_copies(&model) as usize).saturating_sub(known.ledger.count());
            if free_copies < self.config.domains {
                continue;
            }
            let Some(servable) = snapshot.servable(&model) else { continue };
            let candidates = self.candidates(now, snapshot, host, &servable);
            let fitting = candidates.iter().filter(|(_, free, _)| *free >= servable.memory);
            let Some((target, _, _)) = fitting.max_by_key(|(_, free, _)| *free) else { continue };
            let ledger = known.ledger.with(target);
            let copies = vec![(model.clone(), known.revision, ledger)];
            let id = self.next_order(fence);
            let order = LoadOrder { id, issuer: self.seat.clone(), resolved: false };
            let Some(state) = self.targets.get(target) else { return };
            let Some(expected) = state.revision else { return };
            let mut plan = state.plan.clone();
            let replica = Replica::new(servable.memory, Phase::Reserved, vec![order]);
            plan.replicas.insert(model, replica);
            let write = PlaceWrite { target: target.clone(), expected, plan, copies };
            self.record(write, actions);
            return;
        }
    }

    /// Sends the load orders of reserved replicas that are in demand while the service is down.
    pub(super) fn load_reserved(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        actions: &mut Vec<PlaceAction>,
    ) {
        let mut due: Vec<(TargetName, ModelName)> = Vec::new();
        for model in self.demands.keys() {
            let is_held = |phase: Phase| phase == Phase::Loaded || phase == Phase::Loading;
            let mut found = None;
            for (target, state) in self.targets.iter() {
                let Some(replica) = state.plan.replicas.get(model) else { continue };
                if is_held(replica.phase) || self.is_load_sent(replica) {
                    found = None;
                    break;
                }
                if self.is_load_unsent(replica) {
                    found = Some((target.clone(), model.clone()));
                }
            }
            due.extend(found);
        }
        for (target, model) in due {
            let state = self.targets.get(&target);
            let replica = state.and_then(|state| state.plan.replicas.get(&model));
            let order = replica.and_then(|replica| replica.orders.last()).map(|order| order.id);
            if let Some(id) = order {
                self.send_order(now, snapshot, target, OrderKind::Load, id, model, actions);
            }
        }
    }

    /// Returns base models without a replica in this failure domain, the one last in demand first.
    fn reserve_candidates(&self, snapshot: &Snapshot) -> Vec<ModelName> {
        let is_planned = |model: &ModelName| {
            self.targets.values().any(|state| state.plan.replicas.contains(model))
        };
        let models = snapshot.servables().filter(|model| model.base.is_none());
        let mut ranked: Vec<_> = models
            .filter(|model| !is_planned(model.name))
            .map(|model| (self.last_demand_at.get(model.name).copied(), model.name.clone()))
            .collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        // Each further model would cost a read of its ledger and gain little.
        ranked.truncate(self.config.reserve * 4);
        ranked.into_iter().map(|(_, model)| model).collect()
    }
}
