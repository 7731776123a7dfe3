//! Demands: requests to the placers for replicas of models that waiting requests need.

use std::time::Duration;

use base::{ModelName, RequestId, ResultCode, SortedMap, Time};
use config::Snapshot;
use place::{DemandRefusal, ModelDemand};

use super::{Node, PendingDemand};
use crate::request::Stage;
use crate::{PeerMessage, RequestGoal};

/// Interval at which a demand is repeated.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);
/// How long requests wait for a slot before an additional replica is requested, and for a replica
/// in this failure domain before other failure domains are asked.
const DEMAND_PATIENCE: Duration = Duration::from_millis(1_000);

impl Node {
    /// Refuses the waiting requests whose deadline comes too early for the load that the placer
    /// announced.
    pub(super) fn handle_demand_refusal(&mut self, now: Time, answer: &DemandRefusal) {
        let late: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                matches!(request.stage, Stage::Queued)
                    && request.spec.goal == RequestGoal::Model(answer.model.clone())
                    && now + answer.retry_after / 2 > request.spec.deadline
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.refuse(now, id, ResultCode::NoCapacity, Some(answer.retry_after));
        }
    }

    /// Counts a waiting request in the demand for its model. `extra` states that replicas exist but
    /// have no free slot.
    pub(super) fn add_demand(
        &mut self,
        now: Time,
        id: RequestId,
        extra: bool,
        demands: &mut SortedMap<ModelName, ModelDemand>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let RequestGoal::Model(model) = &request.spec.goal else { return };
        let time_left = request.spec.deadline.since(now);
        let empty = || ModelDemand { model: model.clone(), time_left, waiting: 0, extra };
        let demand = demands.entry(model.clone(), empty);
        demand.waiting += 1;
        demand.time_left = demand.time_left.min(time_left);
    }

    /// Sends the demands that are due, and drops the pending ones that no request needs any more.
    pub(super) fn send_demands(&mut self, now: Time, demands: SortedMap<ModelName, ModelDemand>) {
        self.pending_demands.retain(|model, _| demands.contains(model));
        let snapshot = self.sync.snapshot().clone();
        for (model, demand) in demands.iter() {
            let empty = || PendingDemand { since: now, sent_at: None };
            let pending = self.pending_demands.entry(model.clone(), empty);
            let waited = now.since(pending.since);
            let is_due = pending.sent_at.is_none_or(|at| now.since(at) >= DEMAND_INTERVAL);
            if !is_due || (demand.extra && waited < DEMAND_PATIENCE) {
                continue;
            }
            pending.sent_at = Some(now);
            self.send_demand(now, &snapshot, demand, waited);
        }
    }

    /// Sends a demand to the placer of this failure domain if the configuration permits the model
    /// here. Otherwise, or if the requests have waited too long, sends it to the placer of every
    /// failure domain where the model is permitted.
    fn send_demand(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        demand: &ModelDemand,
        waited: Duration,
    ) {
        let mut domains = domains_of(snapshot, &demand.model);
        let own = self.config.domain.clone();
        if domains.binary_search(&own).is_ok() && waited < DEMAND_PATIENCE {
            domains = vec![own];
        }
        for domain in domains {
            let recorded = self.placers.get(&domain).map(|placer| &placer.seat.address);
            // A seat that does not watch the service learns of a new placer by a view from it, so
            // the sender of the latest view is preferred there.
            let view_sender = self.views.sender(&domain);
            let placer_address =
                if self.is_watching { recorded.or(view_sender) } else { view_sender.or(recorded) };
            let Some(address) = placer_address.cloned() else { continue };
            if address == self.config.seat.address {
                self.next_place_at = now;
                self.placer.add_demand(now, demand);
            } else {
                self.send(&address, PeerMessage::Want(demand.clone()));
            }
        }
    }
}

/// Returns the failure domains in which the configuration permits a model, sorted.
fn domains_of(snapshot: &Snapshot, model: &ModelName) -> Vec<base::DomainName> {
    let Some(servable) = snapshot.servable(model) else { return Vec::new() };
    let base = servable.base.unwrap_or(servable.name);
    let targets = snapshot.targets().filter(|target| snapshot.may_place(base, target));
    let mut domains: Vec<_> = targets.map(|target| target.domain.clone()).collect();
    domains.sort();
    domains.dedup();
    domains
}
