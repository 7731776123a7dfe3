//! The placer's state of a target.

use std::time::Duration;

use base::{ByteSize, ModelName, OrderId, Revision, Seat, SortedMap, TargetName, Time};
use config::Snapshot;

use super::{PlaceConfig, PlaceWrite, SendState};
use crate::order::OrderKind;
use crate::plan::{Phase, TargetPlan};
use crate::policy::IdleTracker;
use crate::report::TargetReport;

/// A report, with the time at which it was requested.
#[derive(Clone, Debug)]
pub(super) struct ReceivedReport {
    pub(super) report: TargetReport,
    pub(super) requested_at: Time,
}

/// The placer's state of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetState {
    /// Revision of the recorded plan; `None` until it is read.
    pub(super) revision: Option<Revision>,
    /// Whether a read of the plan is in progress.
    pub(super) is_reading: bool,
    pub(super) plan: TargetPlan,
    pub(super) pending_write: Option<PlaceWrite>,
    pub(super) last_report: Option<ReceivedReport>,
    /// Largest identifier of an order that the target acknowledged.
    pub(super) acked_order: OrderId,
    /// Resolved orders, with the time at which this became known.
    pub(super) resolved_at: SortedMap<OrderId, Time>,
    pub(super) idle_trackers: SortedMap<ModelName, IdleTracker>,
    /// When each unloading replica was removed from routing, and when its unload order was last
    /// sent.
    pub(super) unloading: SortedMap<ModelName, (Time, Option<Time>)>,
    /// When the load of each replica was last ordered, or its plan entry first seen.
    pub(super) loading_since: SortedMap<ModelName, Time>,
    pub(super) issuer_asked_at: Option<Time>,
    /// Whether the plan or the report changed since the target was last reconciled.
    pub(super) is_dirty: bool,
}

impl TargetState {
    /// Replaces the plan and updates the state that is derived from it.
    pub(super) fn set_plan(&mut self, now: Time, plan: TargetPlan) {
        for (model, replica) in plan.replicas.iter() {
            self.idle_trackers.entry(model.clone(), || IdleTracker::new(now));
            for order in replica.orders.iter().filter(|order| order.resolved) {
                self.resolved_at.entry(order.id, || now);
            }
            match replica.phase {
                Phase::Unloading => {
                    self.loading_since.remove(model);
                    self.unloading.entry(model.clone(), || (now, None));
                }
                Phase::Loading => {
                    self.unloading.remove(model);
                    let last_order = |plan: &TargetPlan| {
                        plan.replicas.get(model).and_then(|r| r.orders.last()).map(|o| o.id)
                    };
                    if last_order(&self.plan) != last_order(&plan) {
                        self.loading_since.insert(model.clone(), now);
                    }
                    self.loading_since.entry(model.clone(), || now);
                }
                Phase::Reserved | Phase::Loaded => {
                    self.unloading.remove(model);
                }
            }
        }
        let is_planned = |model: &ModelName| plan.replicas.contains(model);
        self.idle_trackers.retain(|model, _| is_planned(model));
        self.unloading.retain(|model, _| is_planned(model));
        self.loading_since.retain(|model, _| is_planned(model));
        let orders: Vec<OrderId> =
            plan.replicas.values().flat_map(|r| r.orders.iter().map(|o| o.id)).collect();
        self.resolved_at.retain(|id, _| orders.contains(id));
        self.plan = plan;
        self.is_dirty = true;
    }

    /// Records a use of each replica that is serving or has served requests since the last report.
    pub(super) fn record_uses(&mut self, now: Time, report: &TargetReport) {
        let previous = self.last_report.as_ref().map(|received| &received.report);
        for replica in &report.replicas {
            let before = previous.and_then(|report| report.replica(&replica.model));
            let served_before = before.map_or(0, |before| before.served);
            if replica.running > 0 || replica.served != served_before {
                if let Some(tracker) = self.idle_trackers.get_mut(&replica.model) {
                    tracker.record_use(now);
                }
            }
        }
    }

    /// Returns the duration and the memory of each load that has finished by this report, and stops
    /// timing it.
    pub(super) fn take_finished_loads(
        &mut self,
        now: Time,
        report: &TargetReport,
    ) -> Vec<(Duration, ByteSize)> {
        let plan = &self.plan;
        let mut finished = Vec::new();
        self.loading_since.retain(|model, since| {
            let is_ready = report.replica(model).is_some_and(|replica| replica.ready);
            let replica = plan.replicas.get(model).filter(|_| is_ready);
            if let Some(replica) = replica {
                finished.push((now.since(*since), replica.memory));
            }
            replica.is_none()
        });
        finished
    }

    /// Returns the next recorded load order that `seat` issued and has not sent yet.
    pub(super) fn next_load(
        &self,
        name: &TargetName,
        seat: &Seat,
        send_states: &SortedMap<OrderId, SendState>,
        snapshot: &Snapshot,
    ) -> Option<(TargetName, OrderKind, OrderId, ModelName)> {
        let is_loading = |phase| phase == Phase::Loading;
        let replicas = self.plan.replicas.iter().filter(|(_, replica)| is_loading(replica.phase));
        let mut unsent = replicas
            .flat_map(|(model, replica)| replica.orders.iter().map(move |order| (model, order)));
        let found = unsent.find(|(model, order)| {
            order.issuer == *seat
                && !order.resolved
                && !send_states.contains(&order.id)
                && snapshot.servable(model).is_some()
        });
        found.map(|(model, order)| (name.clone(), OrderKind::Load, order.id, model.clone()))
    }

    /// Returns the model of a replica whose unload order is due: the replica was removed from
    /// routing long enough ago, and a later report shows no request on it.
    pub(super) fn next_unload(&self, now: Time, config: &PlaceConfig) -> Option<ModelName> {
        let is_due = |since: Time, sent_at: Option<Time>| {
            now.since(since) >= config.unload_delay
                && sent_at.is_none_or(|at| now.since(at) > config.unload_delay * 2)
        };
        let received = self.last_report.as_ref()?;
        let is_idle =
            |model: &ModelName| received.report.replica(model).is_some_and(|r| r.running == 0);
        let mut models = self.unloading.iter();
        let found = models.find(|(model, (since, sent_at))| {
            is_due(*since, *sent_at) && received.requested_at > *since && is_idle(model)
        });
        found.map(|(model, _)| model.clone())
    }
}
