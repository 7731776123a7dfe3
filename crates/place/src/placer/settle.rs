//! Brings the recorded plans in line with what targets report and what is configured.

use std::time::Duration;

use base::{ModelName, OrderId, Revision, TargetName, Time};
use config::Snapshot;

use super::{HeardReport, HostState, PlaceAction, PlaceWrite, Placer, SendState, TargetState};
use crate::order::OrderOutcome;
use crate::plan::{Phase, Replica, TargetPlan};

/// Rounds in which each unchanged target is settled once.
const SETTLE_TURNS: usize = 8;
/// How often an issuer is asked about its unresolved orders.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

impl Placer {
    pub(super) fn settle_targets(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        host: &HostState,
        actions: &mut Vec<PlaceAction>,
    ) {
        self.turn += 1;
        let turn = self.turn;
        // Time alone can make a change due as well: idleness, drained orders, a leaving target.
        let due = self.targets.iter_mut().enumerate().filter_map(|(at, (name, state))| {
            let due = (at + turn).is_multiple_of(SETTLE_TURNS);
            (std::mem::take(&mut state.dirty) || due || state.is_unsettled()).then(|| name.clone())
        });
        for name in due.collect::<Vec<TargetName>>() {
            self.resolve_orders(now, &name, host, snapshot, actions);
            self.settle_target(now, &name, snapshot, host, actions);
        }
    }

    fn resolve_orders(
        &mut self,
        now: Time,
        name: &TargetName,
        host: &HostState,
        snapshot: &Snapshot,
        actions: &mut Vec<PlaceAction>,
    ) {
        let fencing = snapshot.target(name).is_some_and(|target| target.fencing);
        let drain = self.config.order_drain;
        let (gone, sends) = (&mut self.gone, &mut self.sends);
        let Some(state) = self.targets.get_mut(name) else { return };
        let mut open = Vec::new();
        let replicas = state.plan.replicas.values();
        let orders = replicas.flat_map(|r| r.orders.iter().map(|order| (r.phase, order)));
        for (phase, order) in orders {
            if state.resolved.contains(&order.id) {
                continue;
            }
            if order.issuer == self.seat {
                let purpose = matches!(phase, Phase::Reserved | Phase::Loading);
                let ended = match sends.get(&order.id) {
                    // It lost its purpose before it was sent, and now never will be.
                    None if !purpose => {
                        sends.insert(order.id, SendState::Disowned);
                        true
                    }
                    // An earlier term sent it and learned its end.
                    Some(SendState::Ended(outcome)) => *outcome != OrderOutcome::Unknown,
                    Some(SendState::Disowned) => true,
                    None | Some(SendState::InFlight) => false,
                };
                if ended {
                    state.resolved.insert(order.id, now);
                    continue;
                }
            }
            let fenced = fencing && order.id < state.acked;
            let seated = |seats: &Vec<base::Seat>| seats.binary_search(&order.issuer).is_ok();
            let unseated = host.seats.as_ref().is_some_and(|seats| !seated(seats));
            let drained = unseated && now.since(*gone.entry(order.issuer.clone(), || now)) > drain;
            if fenced || drained {
                state.resolved.insert(order.id, now);
            } else if order.issuer != self.seat {
                open.push(order.clone());
            }
        }
        let may_ask = state.asked_issuer_at.is_none_or(|at| now.since(at) >= ASK_INTERVAL);
        if !open.is_empty() && may_ask {
            state.asked_issuer_at = Some(now);
            for order in open {
                actions.push(PlaceAction::AskIssuer(order.issuer, vec![order.id]));
            }
        }
    }

    fn settle_target(
        &mut self,
        now: Time,
        name: &TargetName,
        snapshot: &Snapshot,
        host: &HostState,
        actions: &mut Vec<PlaceAction>,
    ) {
        let leaving = host.leaving.binary_search(name).is_ok();
        let Some(state) = self.targets.get(name) else { return };
        let (Some(expected), None, Some(heard)) = (state.revision, &state.writing, &state.heard)
        else {
            return;
        };
        let mut plan = state.plan.clone();
        let mut removed = Vec::new();
        for (model, replica) in state.plan.replicas.iter() {
            if state.is_removable(model, replica, heard) {
                plan.replicas.remove(model);
                removed.push(model.clone());
                continue;
            }
            let ready = heard.report.replica(model).is_some_and(|report| report.ready);
            let Some(entry) = plan.replicas.get_mut(model) else { continue };
            entry.phase = match replica.phase {
                Phase::Reserved if ready => Phase::Loaded,
                Phase::Reserved if self.is_used(replica) => Phase::Loading,
                Phase::Reserved if !self.is_allowed(snapshot, name, model) => Phase::Unloading,
                Phase::Loading if ready => Phase::Loaded,
                Phase::Loading if snapshot.servable(model).is_none() => Phase::Unloading,
                // The target lost it; it stays counted while an order is unresolved.
                Phase::Loaded if heard.report.replica(model).is_none() => Phase::Unloading,
                Phase::Loaded if self.should_unload(now, snapshot, state, name, model, leaving) => {
                    Phase::Unloading
                }
                phase => phase,
            };
        }
        self.write_plan(name, expected, plan, &removed, snapshot, actions);
    }

    /// Records `plan` when it differs from the recorded one, together with the ledgers of the
    /// removed base models.
    pub(super) fn write_plan(
        &mut self,
        name: &TargetName,
        expected: Revision,
        mut plan: TargetPlan,
        removed: &[ModelName],
        snapshot: &Snapshot,
        actions: &mut Vec<PlaceAction>,
    ) {
        let Some(state) = self.targets.get(name) else { return };
        // A successor can't learn from the target any more what this placer knows, if the target
        // restarts meanwhile.
        for replica in plan.replicas.values_mut() {
            state.note_resolved(replica);
        }
        if plan == state.plan {
            return;
        }
        let mut copies = Vec::new();
        for model in removed {
            if snapshot.servable(model).is_some_and(|servable| servable.base.is_some()) {
                continue;
            }
            // The ledger must be known before the replica leaves it.
            let Some(known) = self.copies.get(model) else {
                self.read_copies(model, actions);
                return;
            };
            copies.push((model.clone(), known.revision, known.ledger.without(name)));
        }
        self.record(PlaceWrite { target: name.clone(), expected, plan, copies }, actions);
    }

    pub(super) fn record(&mut self, write: PlaceWrite, actions: &mut Vec<PlaceAction>) {
        if let Some(state) = self.targets.get_mut(&write.target) {
            state.writing = Some(write.clone());
            actions.push(PlaceAction::Record(write));
        }
    }

    pub(super) fn read_copies(&mut self, model: &ModelName, actions: &mut Vec<PlaceAction>) {
        if !self.reading_copies.contains(model) {
            self.reading_copies.push(model.clone());
            actions.push(PlaceAction::ReadCopies(model.clone()));
        }
    }

    /// Returns whether the configuration still lets a base model run on a target.
    fn is_allowed(&self, snapshot: &Snapshot, name: &TargetName, model: &ModelName) -> bool {
        let target = snapshot.target(name);
        target.is_some_and(|target| snapshot.may_place(model, target))
    }

    fn should_unload(
        &self,
        now: Time,
        snapshot: &Snapshot,
        state: &TargetState,
        name: &TargetName,
        model: &ModelName,
        leaving: bool,
    ) -> bool {
        let Some(servable) = snapshot.servable(model) else { return true };
        let base = servable.base.unwrap_or(model);
        let placed = snapshot.target(name).is_some_and(|target| snapshot.may_place(base, target));
        let is_base = |other: &ModelName| {
            snapshot.servable(other).is_some_and(|other| other.base == Some(model))
        };
        // A base model goes after its adapters.
        if state.plan.replicas.keys().any(is_base) {
            return false;
        }
        if !placed || leaving {
            return true;
        }
        let wanted = self.demands.contains(model);
        let expired =
            state.keep.get(model).is_some_and(|keep| keep.is_expired(now, self.config.idle_policy));
        expired && !wanted && state.is_idle(model)
    }
}

impl TargetState {
    /// Returns whether a replica is on its way in or out.
    fn is_unsettled(&self) -> bool {
        let moving = |phase| matches!(phase, Phase::Loading | Phase::Unloading);
        self.plan.replicas.values().any(|replica| moving(replica.phase))
    }

    /// Returns whether the replica is gone for good: the target reported so after every load
    /// order for it was resolved.
    fn is_removable(&self, model: &ModelName, replica: &Replica, heard: &HeardReport) -> bool {
        if heard.report.replica(model).is_some() {
            return false;
        }
        replica.orders.iter().all(|order| self.is_settled(order.id, heard))
    }

    /// Returns whether a report was made after an order was resolved.
    fn is_settled(&self, id: OrderId, heard: &HeardReport) -> bool {
        let executed = heard.report.orders.contains(&id);
        executed || self.resolved.get(&id).is_some_and(|at| heard.asked_at > *at)
    }

    /// Marks the orders of a replica that are resolved, and drops those that no longer matter.
    /// One that was resolved after the last report was asked for still does: the report does not
    /// show its effect.
    pub(super) fn note_resolved(&self, replica: &mut Replica) {
        for order in &mut replica.orders {
            order.resolved |= self.resolved.contains(&order.id);
        }
        let last = replica.orders.last().map(|order| order.id);
        replica.orders.retain(|order| {
            let settled = self.heard.as_ref().is_some_and(|heard| self.is_settled(order.id, heard));
            !order.resolved || !settled || Some(order.id) == last
        });
    }

    /// Returns whether the target's last report shows no request on the replica.
    pub(super) fn is_idle(&self, model: &ModelName) -> bool {
        let report = self.heard.as_ref().and_then(|heard| heard.report.replica(model));
        report.is_some_and(|report| report.running == 0)
    }
}
