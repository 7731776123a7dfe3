//! Demands for models that no replica can serve at present.

use std::time::Duration;

use base::{ModelName, RequestId, ResultCode, SortedMap, Time};
use config::Snapshot;
use place::{DemandRefusal, ModelDemand};

use super::{Node, OpenWant};
use crate::request::Stage;
use crate::{PeerMessage, RequestGoal};

/// Time between two repetitions of a demand.
const WANT_INTERVAL: Duration = Duration::from_millis(500);
/// How long requests wait for a slot before another replica is asked for, and for a replica
/// before other failure domains are asked.
const WANT_PATIENCE: Duration = Duration::from_millis(1_000);

impl Node {
    /// Refuses the requests that a load can't serve in time.
    pub(super) fn want_answered(&mut self, now: Time, answer: &DemandRefusal) {
        let late: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                matches!(request.stage, Stage::Queue)
                    && request.spec.goal == RequestGoal::Model(answer.model.clone())
                    && now + answer.retry_after / 2 > request.spec.deadline
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.refuse(now, id, ResultCode::NoCapacity, Some(answer.retry_after));
        }
    }

    pub(super) fn add_want(
        &mut self,
        now: Time,
        id: RequestId,
        extra: bool,
        wanted: &mut SortedMap<ModelName, ModelDemand>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let RequestGoal::Model(model) = &request.spec.goal else { return };
        let time_left = request.spec.deadline.since(now);
        let fresh = || ModelDemand { model: model.clone(), time_left, waiting: 0, extra };
        let want = wanted.entry(model.clone(), fresh);
        want.waiting += 1;
        want.time_left = want.time_left.min(time_left);
    }

    pub(super) fn send_wants(&mut self, now: Time, wanted: SortedMap<ModelName, ModelDemand>) {
        self.wants.retain(|model, _| wanted.contains(model));
        let snapshot = self.sync.snapshot().clone();
        for (model, want) in wanted.iter() {
            let fresh = || OpenWant { since: now, sent_at: None };
            let open = self.wants.entry(model.clone(), fresh);
            let waited = now.since(open.since);
            let due = open.sent_at.is_none_or(|at| now.since(at) >= WANT_INTERVAL);
            if !due || (want.extra && waited < WANT_PATIENCE) {
                continue;
            }
            open.sent_at = Some(now);
            self.send_want(now, &snapshot, want, waited);
        }
    }

    /// Sends a demand to the placer of the own failure domain if it may hold the model, and to
    /// those of others if not, or if the own one does not act.
    fn send_want(&mut self, now: Time, snapshot: &Snapshot, want: &ModelDemand, waited: Duration) {
        let mut domains = domains_of(snapshot, &want.model);
        let own = self.config.domain.clone();
        if domains.binary_search(&own).is_ok() && waited < WANT_PATIENCE {
            domains = vec![own];
        }
        for domain in domains {
            let recorded = self.placers.get(&domain).map(|placer| &placer.seat.address);
            // Who does not watch the service, or can't, knows the present placer by its views.
            let told = self.views.placer(&domain);
            let known = if self.watching { recorded.or(told) } else { told.or(recorded) };
            let Some(address) = known.cloned() else { continue };
            if address == self.config.seat.address {
                self.next_place = now;
                self.placer.add_demand(now, want);
            } else {
                self.send(&address, PeerMessage::Want(want.clone()));
            }
        }
    }
}

/// Returns the failure domains that may hold a model, sorted.
fn domains_of(snapshot: &Snapshot, model: &ModelName) -> Vec<base::DomainName> {
    let Some(servable) = snapshot.servable(model) else { return Vec::new() };
    let base = servable.base.unwrap_or(servable.name);
    let targets = snapshot.targets().filter(|target| snapshot.may_place(base, target));
    let mut domains: Vec<_> = targets.map(|target| target.domain.clone()).collect();
    domains.sort();
    domains.dedup();
    domains
}
