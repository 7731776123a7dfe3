//! Reconciles the recorded plans with the targets' reports and the configuration.

use std::time::Duration;

use base::{ModelName, OrderId, Revision, TargetName, Time};
use config::Snapshot;

use super::{HostState, PlaceAction, PlaceWrite, Placer, ReceivedReport, SendState, TargetState};
use crate::order::OrderOutcome;
use crate::plan::{Phase, Replica, TargetPlan};

/// Number of rounds in which each unchanged target is reconciled once.
const RECONCILE_ROUNDS: usize = 8;
/// Minimum interval between requests to the issuers of a target's unresolved orders.
const ISSUER_ASK_INTERVAL: Duration = Duration::from_secs(1);

impl Placer {
    /// Reconciles the targets that changed, and some of the others in turn.
    pub(super) fn reconcile_targets(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        host: &HostState,
        actions: &mut Vec<PlaceAction>,
    ) {
        self.round += 1;
        let round = self.round;
        // Unchanged targets are due in turn: replicas become idle, orders drain, targets leave.
        let due_targets = self.targets.iter_mut().enumerate().filter_map(|(at, (name, state))| {
            let is_due = (at + round).is_multiple_of(RECONCILE_ROUNDS);
            (std::mem::take(&mut state.is_dirty) || is_due || state.has_changing_replica())
                .then(|| name.clone())
        });
        for name in due_targets.collect::<Vec<TargetName>>() {
            self.resolve_orders(now, &name, host, snapshot, actions);
            self.reconcile_target(now, &name, snapshot, host, actions);
        }
    }

    /// Finds out which orders of a target are resolved, and asks the issuers of the others.
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
        let (gone_issuers, send_states) = (&mut self.gone_issuers, &mut self.send_states);
        let Some(state) = self.targets.get_mut(name) else { return };
        let mut unresolved = Vec::new();
        let replicas = state.plan.replicas.values();
        let orders = replicas.flat_map(|r| r.orders.iter().map(|order| (r.phase, order)));
        for (phase, order) in orders {
            if state.resolved_at.contains(&order.id) {
                continue;
            }
            if order.issuer == self.seat {
                let is_needed = matches!(phase, Phase::Reserved | Phase::Loading);
                let is_resolved = match send_states.get(&order.id) {
                    // The order was not sent and is no longer needed, so it never will be sent.
                    None if !is_needed => {
                        send_states.insert(order.id, SendState::Disowned);
                        true
                    }
                    // An earlier term sent the order and received its outcome.
                    Some(SendState::Ended(outcome)) => *outcome != OrderOutcome::Unknown,
                    Some(SendState::Disowned) => true,
                    None | Some(SendState::InFlight) => false,
                };
                if is_resolved {
                    state.resolved_at.insert(order.id, now);
                    continue;
                }
            }
            let is_fenced = fencing && order.id < state.acked_order;
            let is_present = |seats: &Vec<base::Seat>| seats.binary_search(&order.issuer).is_ok();
            let is_issuer_gone = host.seats.as_ref().is_some_and(|seats| !is_present(seats));
            let is_drained = is_issuer_gone
                && now.since(*gone_issuers.entry(order.issuer.clone(), || now)) > drain;
            if is_fenced || is_drained {
                state.resolved_at.insert(order.id, now);
            } else if order.issuer != self.seat {
                unresolved.push(order.clone());
            }
        }
        let may_ask = state.issuer_asked_at.is_none_or(|at| now.since(at) >= ISSUER_ASK_INTERVAL);
        if !unresolved.is_empty() && may_ask {
            state.issuer_asked_at = Some(now);
            for order in unresolved {
                actions.push(PlaceAction::AskIssuer(order.issuer, vec![order.id]));
            }
        }
    }

    /// Updates the plan of a target from its last report and the configuration.
    fn reconcile_target(
        &mut self,
        now: Time,
        name: &TargetName,
        snapshot: &Snapshot,
        host: &HostState,
        actions: &mut Vec<PlaceAction>,
    ) {
        let is_leaving = host.leaving.binary_search(name).is_ok();
        let Some(state) = self.targets.get(name) else { return };
        let (Some(expected), None, Some(received)) =
            (state.revision, &state.pending_write, &state.last_report)
        else {
            return;
        };
        let mut plan = state.plan.clone();
        let mut removed = Vec::new();
        for (model, replica) in state.plan.replicas.iter() {
            if state.is_removable(model, replica, received) {
                plan.replicas.remove(model);
                removed.push(model.clone());
                continue;
            }
            let is_ready = received.report.replica(model).is_some_and(|report| report.ready);
            let Some(entry) = plan.replicas.get_mut(model) else { continue };
            entry.phase = match replica.phase {
                Phase::Reserved if is_ready => Phase::Loaded,
                Phase::Reserved if self.is_load_sent(replica) => Phase::Loading,
                Phase::Reserved if !self.is_allowed(snapshot, name, model) => Phase::Unloading,
                Phase::Loading if is_ready => Phase::Loaded,
                Phase::Loading if snapshot.servable(model).is_none() => Phase::Unloading,
                // The target lost the replica. It stays counted while an order is unresolved.
                Phase::Loaded if received.report.replica(model).is_none() => Phase::Unloading,
                Phase::Loaded
                    if self.should_unload(now, snapshot, state, name, model, is_leaving) =>
                {
                    Phase::Unloading
                }
                phase => phase,
            };
        }
        self.write_plan(name, expected, plan, &removed, snapshot, actions);
    }

    /// Records `plan` if it differs from the recorded one, together with the ledgers of the removed
    /// base models.
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
        // The plan also records which orders are resolved. A successor can't learn this from the
        // target if the target restarts.
        for replica in plan.replicas.values_mut() {
            state.mark_resolved(replica);
        }
        if plan == state.plan {
            return;
        }
        let mut copies = Vec::new();
        for model in removed {
            if snapshot.servable(model).is_some_and(|servable| servable.base.is_some()) {
                continue;
            }
            // The ledger must be read before the replica can be removed from it.
            let Some(known) = self.ledgers.get(model) else {
                self.read_ledger(model, actions);
                return;
            };
            copies.push((model.clone(), known.revision, known.ledger.without(name)));
        }
        self.record(PlaceWrite { target: name.clone(), expected, plan, copies }, actions);
    }

    /// Requests a write and blocks other writes of the same plan until its result is known.
    pub(super) fn record(&mut self, write: PlaceWrite, actions: &mut Vec<PlaceAction>) {
        if let Some(state) = self.targets.get_mut(&write.target) {
            state.pending_write = Some(write.clone());
            actions.push(PlaceAction::Record(write));
        }
    }

    /// Requests a read of the ledger of `model`, unless one is in progress.
    pub(super) fn read_ledger(&mut self, model: &ModelName, actions: &mut Vec<PlaceAction>) {
        if !self.pending_ledger_reads.contains(model) {
            self.pending_ledger_reads.push(model.clone());
            actions.push(PlaceAction::ReadLedger(model.clone()));
        }
    }

    /// Returns whether the configuration still allows a base model on a target.
    fn is_allowed(&self, snapshot: &Snapshot, name: &TargetName, model: &ModelName) -> bool {
        let target = snapshot.target(name);
        target.is_some_and(|target| snapshot.may_place(model, target))
    }

    /// Returns whether a loaded replica must leave the target, or has been idle for too long.
    fn should_unload(
        &self,
        now: Time,
        snapshot: &Snapshot,
        state: &TargetState,
        name: &TargetName,
        model: &ModelName,
        is_leaving: bool,
    ) -> bool {
        let Some(servable) = snapshot.servable(model) else { return true };
        let base = servable.base.unwrap_or(model);
        let is_placeable =
            snapshot.target(name).is_some_and(|target| snapshot.may_place(base, target));
        let is_adapter_of_model = |other: &ModelName| {
            snapshot.servable(other).is_some_and(|other| other.base == Some(model))
        };
        // A base model is unloaded after its adapters.
        if state.plan.replicas.keys().any(is_adapter_of_model) {
            return false;
        }
        if !is_placeable || is_leaving {
            return true;
        }
        let is_in_demand = self.demands.contains(model);
        let is_expired = state
            .idle_trackers
            .get(model)
            .is_some_and(|tracker| tracker.is_expired(now, self.config.idle_policy));
        is_expired && !is_in_demand && state.is_idle(model)
    }
}

impl TargetState {
    /// Returns whether a replica of the target is loading or unloading.
    fn has_changing_replica(&self) -> bool {
        let is_changing = |phase| matches!(phase, Phase::Loading | Phase::Unloading);
        self.plan.replicas.values().any(|replica| is_changing(replica.phase))
    }

    /// Returns whether a replica can be removed from the plan: the report does not show it, and
    /// reflects all its load orders.
    fn is_removable(
        &self,
        model: &ModelName,
        replica: &Replica,
        received: &ReceivedReport,
    ) -> bool {
        if received.report.replica(model).is_some() {
            return false;
        }
        replica.orders.iter().all(|order| self.is_reflected(order.id, received))
    }

    /// Returns whether a report reflects the order's final effect: it lists the order, or was
    /// requested after the order was resolved.
    fn is_reflected(&self, id: OrderId, received: &ReceivedReport) -> bool {
        let is_listed = received.report.orders.contains(&id);
        is_listed || self.resolved_at.get(&id).is_some_and(|at| received.requested_at > *at)
    }

    /// Marks the resolved orders of a replica, and drops those that the last report reflects.
    ///
    /// A resolved order that the report does not reflect yet is kept, and so is the latest order.
    pub(super) fn mark_resolved(&self, replica: &mut Replica) {
        for order in &mut replica.orders {
            order.resolved |= self.resolved_at.contains(&order.id);
        }
        let last = replica.orders.last().map(|order| order.id);
        replica.orders.retain(|order| {
            let is_reflected = self
                .last_report
                .as_ref()
                .is_some_and(|received| self.is_reflected(order.id, received));
            !order.resolved || !is_reflected || Some(order.id) == last
        });
    }

    /// Returns whether the last report shows the replica without running requests.
    pub(super) fn is_idle(&self, model: &ModelName) -> bool {
        let report = self.last_report.as_ref().and_then(|received| received.report.replica(model));
        report.is_some_and(|report| report.running == 0)
    }
}
