//! Replicas that are decided ahead, for outages of the key-value service.
//!
//! A reserved replica is recorded like any other: its copy and its memory are counted, and its
//! load order has a number. Only its issuer may send that order, and it may do so without the
//! service. To everyone else it is an order that may arrive at any time, so a successor keeps the
//! reserve counted until the issuer gives it up or is proved gone.

use base::{Fence, ModelName, TargetName, Time};
use config::Snapshot;

use super::{HostState, PlaceAction, PlaceWrite, Placer, SendState};
use crate::order::OrderKind;
use crate::plan::{LoadOrder, Phase, Replica};

impl Placer {
    /// Returns whether this seat ordered the load of a reserved replica.
    pub(super) fn is_used(&self, replica: &Replica) -> bool {
        replica.orders.iter().any(|order| {
            let state = self.sends.get(&order.id);
            matches!(state, Some(SendState::InFlight | SendState::Ended(_)))
        })
    }

    /// Returns whether this seat may still order the load of a reserved replica.
    pub(super) fn is_usable(&self, replica: &Replica) -> bool {
        let unsent = |order: &LoadOrder| {
            order.issuer == self.seat && !order.resolved && !self.sends.contains(&order.id)
        };
        replica.phase == Phase::Reserved && replica.orders.iter().any(unsent)
    }

    /// Reserves one more replica when there are too few, of the model that was wanted last.
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
        let writing = self.targets.values().any(|state| state.writing.is_some());
        if reserved >= self.config.reserve || writing || !self.demands.is_empty() {
            return;
        }
        for model in self.reserve_order(snapshot) {
            let Some(known) = self.copies.get(&model).cloned() else {
                self.read_copies(&model, actions);
                return;
            };
            // The other failure domains keep a copy each for their own requests.
            let left = (snapshot.copies(&model) as usize).saturating_sub(known.ledger.count());
            if left < self.config.domains {
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

    /// Orders the loads of reserved replicas that are wanted while the service is down.
    pub(super) fn use_reserve(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        actions: &mut Vec<PlaceAction>,
    ) {
        let mut due: Vec<(TargetName, ModelName)> = Vec::new();
        for model in self.demands.keys() {
            let holds = |phase: Phase| phase == Phase::Loaded || phase == Phase::Loading;
            let mut found = None;
            for (target, state) in self.targets.iter() {
                let Some(replica) = state.plan.replicas.get(model) else { continue };
                if holds(replica.phase) || self.is_used(replica) {
                    found = None;
                    break;
                }
                if self.is_usable(replica) {
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

    /// Returns the base models without a replica in this failure domain, the last wanted first.
    fn reserve_order(&self, snapshot: &Snapshot) -> Vec<ModelName> {
        let present = |model: &ModelName| {
            self.targets.values().any(|state| state.plan.replicas.contains(model))
        };
        let models = snapshot.servables().filter(|model| model.base.is_none());
        let mut order: Vec<_> = models
            .filter(|model| !present(model.name))
            .map(|model| (self.wanted_at.get(model.name).copied(), model.name.clone()))
            .collect();
        order.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        // Looking further costs a read each and gains little.
        order.truncate(self.config.reserve * 4);
        order.into_iter().map(|(_, model)| model).collect()
    }
}
