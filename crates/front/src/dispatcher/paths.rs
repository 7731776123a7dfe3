//! Paths to the targets, and requests that another daemon should carry.

use std::net::SocketAddr;

use base::{Name, TargetName, Time};
use fleet::TargetPhase;

use super::RequestDispatcher;
use crate::path::ServicePaths;
use crate::request::RequestStage;

impl RequestDispatcher {
    /// Returns the paths to the services.
    pub fn paths(&self) -> &ServicePaths {
        &self.paths
    }

    /// Returns the paths to the services mutably.
    pub fn paths_mut(&mut self) -> &mut ServicePaths {
        &mut self.paths
    }

    /// Records that a connection to a target succeeded. Returns the target's service if that ends a cut
    /// of the path to it. What failed during the cut then says nothing about its targets.
    pub fn record_reached(&mut self, now: Time, target: &TargetName) -> Option<Name> {
        let service = self.targets.entry(target)?.service.clone();
        if !self.paths.record_success(now, &service) {
            return None;
        }
        self.targets.clear_failures(now, &service);
        Some(service)
    }

    /// Records that a target could not be connected to. Returns the target's service if the path to it
    /// counts as cut from now on.
    pub fn record_unreached(&mut self, now: Time, target: &TargetName) -> Option<Name> {
        let service = self.targets.entry(target)?.service.clone();
        let is_ready = |phase: TargetPhase| phase == TargetPhase::Ready;
        let of_service = self.targets.all_of_service(&service);
        let listed = of_service.filter(|state| is_ready(state.entry.phase)).count();
        let is_cut = self.paths.record_failure(now, &service, target, listed.max(1));
        is_cut.then_some(service)
    }

    /// Returns up to `count` targets of a service, chosen at random, to find out whether any can be
    /// reached. Those whose connections have failed come last.
    pub fn probe_targets(&mut self, service: &Name, count: usize) -> Vec<(TargetName, SocketAddr)> {
        let of_service = self.targets.all_of_service(service);
        let ready = of_service.filter(|state| state.entry.phase == TargetPhase::Ready);
        let mut drawn: Vec<_> = ready
            .map(|state| {
                let name = &state.entry.name;
                let has_failed = self.paths.has_failed(service, name);
                (has_failed, name.clone(), state.entry.address)
            })
            .collect();
        // A random rotation instead of a shuffle: names are in no order that matters.
        let first = (self.chooser.random_fraction() * drawn.len() as f64) as usize;
        let length = drawn.len().max(1);
        drawn.rotate_left(first % length);
        drawn.sort_by_key(|(has_failed, ..)| *has_failed);
        drawn.into_iter().take(count).map(|(_, name, address)| (name, address)).collect()
    }

    /// Returns whether another daemon should carry a request: the path to its service is cut, and no
    /// target can have run it.
    pub fn should_hand_over(&self, id: u64) -> bool {
        self.requests.get(&id).is_some_and(|request| {
            request.sends == 0
                && !request.may_have_run
                && !matches!(request.stage, RequestStage::Running(_))
                && self.paths.is_cut(&request.service)
        })
    }

    /// Returns the service of a request.
    pub fn service_of(&self, id: u64) -> Option<&Name> {
        self.requests.get(&id).map(|request| &request.service)
    }

    /// Returns whether another daemon may be asked again to carry a request after one was lost that had
    /// it.
    pub fn may_repeat(&self, id: u64) -> bool {
        let request = self.requests.get(&id);
        request.is_some_and(|request| request.route.kind.is_repeatable())
    }

    /// Removes a request that another daemon carries. That daemon charges its cost.
    pub fn hand_over(&mut self, now: Time, id: u64) {
        self.close(now, id, true);
    }
}
