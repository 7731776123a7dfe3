//! A target as its placer knows it.

use std::time::Duration;

use base::{ByteSize, ModelName, OrderId, Revision, Seat, SortedMap, TargetName, Time};
use config::Snapshot;

use super::{PlaceConfig, PlaceWrite, SendState};
use crate::order::OrderKind;
use crate::plan::{Phase, TargetPlan};
use crate::policy::KeepAlive;
use crate::report::TargetReport;

/// A report with the moments that bound it.
#[derive(Clone, Debug)]
pub(super) struct HeardReport {
    pub(super) report: TargetReport,
    pub(super) asked_at: Time,
}

/// A target as the placer knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetState {
    /// Revision of the recorded plan; `None` until it is read.
    pub(super) revision: Option<Revision>,
    pub(super) reading: bool,
    pub(super) plan: TargetPlan,
    pub(super) writing: Option<PlaceWrite>,
    pub(super) heard: Option<HeardReport>,
    /// Largest order number that the target acknowledged.
    pub(super) acked: OrderId,
    /// Orders known to be resolved, and since when.
    pub(super) resolved: SortedMap<OrderId, Time>,
    pub(super) keep: SortedMap<ModelName, KeepAlive>,
    /// When the replica was taken out of routing, and when its unload was last sent.
    pub(super) unloading: SortedMap<ModelName, (Time, Option<Time>)>,
    /// When the load was last ordered, or the entry was first seen.
    pub(super) loading_since: SortedMap<ModelName, Time>,
    pub(super) asked_issuer_at: Option<Time>,
    /// Whether the plan or the report changed since it was last settled.
    pub(super) dirty: bool,
}

impl TargetState {
    pub(super) fn set_plan(&mut self, now: Time, plan: TargetPlan) {
        for (model, replica) in plan.replicas.iter() {
            self.keep.entry(model.clone(), || KeepAlive::new(now));
            for order in replica.orders.iter().filter(|order| order.resolved) {
                self.resolved.entry(order.id, || now);
            }
            match replica.phase {
                Phase::Unloading => {
                    self.loading_since.remove(model);
                    self.unloading.entry(model.clone(), || (now, None));
                }
                Phase::Loading => {
                    self.unloading.remove(model);
                    let last = |plan: &TargetPlan| {
                        plan.replicas.get(model).and_then(|r| r.orders.last()).map(|o| o.id)
                    };
                    if last(&self.plan) != last(&plan) {
                        self.loading_since.insert(model.clone(), now);
                    }
                    self.loading_since.entry(model.clone(), || now);
                }
                Phase::Reserved | Phase::Loaded => {
                    self.unloading.remove(model);
                }
            }
        }
        let known = |model: &ModelName| plan.replicas.contains(model);
        self.keep.retain(|model, _| known(model));
        self.unloading.retain(|model, _| known(model));
        self.loading_since.retain(|model, _| known(model));
        let orders: Vec<OrderId> =
            plan.replicas.values().flat_map(|r| r.orders.iter().map(|o| o.id)).collect();
        self.resolved.retain(|id, _| orders.contains(id));
        self.plan = plan;
        self.dirty = true;
    }

    pub(super) fn note_use(&mut self, now: Time, report: &TargetReport) {
        let former = self.heard.as_ref().map(|heard| &heard.report);
        for replica in &report.replicas {
            let before = former.and_then(|report| report.replica(&replica.model));
            let served_before = before.map_or(0, |before| before.served);
            if replica.running > 0 || replica.served != served_before {
                if let Some(keep) = self.keep.get_mut(&replica.model) {
                    keep.used(now);
                }
            }
        }
    }

    /// Returns how long the loads took that a report is the first to show as ready, and the memory
    /// of each.
    pub(super) fn finished_loads(
        &mut self,
        now: Time,
        report: &TargetReport,
    ) -> Vec<(Duration, ByteSize)> {
        let plan = &self.plan;
        let mut finished = Vec::new();
        self.loading_since.retain(|model, since| {
            let ready = report.replica(model).is_some_and(|replica| replica.ready);
            let replica = plan.replicas.get(model).filter(|_| ready);
            if let Some(replica) = replica {
                finished.push((now.since(*since), replica.memory));
            }
            replica.is_none()
        });
        finished
    }

    /// Returns the next recorded load order that this seat has not sent yet.
    pub(super) fn next_load(
        &self,
        name: &TargetName,
        seat: &Seat,
        sends: &SortedMap<OrderId, SendState>,
        snapshot: &Snapshot,
    ) -> Option<(TargetName, OrderKind, OrderId, ModelName)> {
        let loading = |phase| phase == Phase::Loading;
        let replicas = self.plan.replicas.iter().filter(|(_, replica)| loading(replica.phase));
        let mut unsent = replicas
            .flat_map(|(model, replica)| replica.orders.iter().map(move |order| (model, order)));
        let found = unsent.find(|(model, order)| {
            order.issuer == *seat
                && !order.resolved
                && !sends.contains(&order.id)
                && snapshot.servable(model).is_some()
        });
        found.map(|(model, order)| (name.clone(), OrderKind::Load, order.id, model.clone()))
    }

    pub(super) fn next_unload(&self, now: Time, config: &PlaceConfig) -> Option<ModelName> {
        let due = |since: Time, sent_at: Option<Time>| {
            now.since(since) >= config.unload_delay
                && sent_at.is_none_or(|at| now.since(at) > config.unload_delay * 2)
        };
        let heard = self.heard.as_ref()?;
        let idle = |model: &ModelName| heard.report.replica(model).is_some_and(|r| r.running == 0);
        let mut models = self.unloading.iter();
        let found = models.find(|(model, (since, sent_at))| {
            due(*since, *sent_at) && heard.asked_at > *since && idle(model)
        });
        found.map(|(model, _)| model.clone())
    }
}
