//! Paths to the targets, and requests that another daemon should carry.

use std::net::SocketAddr;

use base::{DomainName, Name, SortedMap, TargetName, Time};
use fleet::TargetPhase;

use super::RequestDispatcher;
use crate::path::ServicePaths;
use crate::request::RequestStage;
use crate::targets::TargetState;

/// Number of targets of the daemon's own failure domain that must be out of reach, if there are as many,
/// before the path to their service counts as cut. Of each other domain it is one.
const OWN_TARGETS: usize = 2;

/// Number of targets that are probed when a target near them has refused a connection.
const NEAR_TARGETS: usize = 3;

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
        let counts = self.count_domains(&service);
        let targets = &self.targets;
        let domain_of = |name: &TargetName| targets.entry(name).map(|entry| &entry.domain);
        let own = &self.config.domain;
        let needed = |domain: &DomainName, count: usize| match domain == own {
            true => count.min(OWN_TARGETS),
            false => 1,
        };
        let is_missed = |failed: &[TargetName], domain: &DomainName, count: usize| {
            let of_domain = failed.iter().filter(|name| domain_of(name) == Some(domain));
            of_domain.count() >= needed(domain, count)
        };
        let are_enough = |failed: &[TargetName]| {
            let mut domains = counts.iter();
            !counts.is_empty() && domains.all(|(domain, count)| is_missed(failed, domain, *count))
        };
        let is_cut = self.paths.record_failure(now, &service, target, are_enough);
        is_cut.then_some(service)
    }

    /// Returns the number of ready targets of a service by failure domain.
    fn count_domains(&self, service: &Name) -> SortedMap<DomainName, usize> {
        let mut counts = SortedMap::default();
        for state in self.ready_targets(service) {
            *counts.entry(state.entry.domain.clone(), || 0) += 1;
        }
        counts
    }

    fn ready_targets<'a>(&'a self, service: &'a Name) -> impl Iterator<Item = &'a TargetState> {
        let of_service = self.targets.all_of_service(service);
        of_service.filter(|state| state.entry.phase == TargetPhase::Ready)
    }

    /// Returns targets of a service whose connections show whether the path to it is cut: some of each
    /// failure domain, chosen at random among those that have not failed.
    pub fn targets_in_doubt(&mut self, service: &Name) -> Vec<(TargetName, SocketAddr)> {
        let drawn = self.draw_targets(service);
        let mut taken: SortedMap<DomainName, usize> = SortedMap::default();
        let mut chosen = Vec::new();
        for (has_failed, name, address, domain) in drawn {
            let most = if domain == self.config.domain { OWN_TARGETS } else { 1 };
            let count = taken.entry(domain, || 0);
            if !has_failed && *count < most {
                *count += 1;
                chosen.push((name, address));
            }
        }
        chosen
    }

    /// Returns some other targets of a target's service and failure domain, or of its service if there are
    /// none.
    pub fn targets_near(&mut self, target: &TargetName) -> Vec<(TargetName, SocketAddr)> {
        let Some(entry) = self.targets.entry(target) else { return Vec::new() };
        let (service, domain) = (entry.service.clone(), entry.domain.clone());
        let mut others = self.draw_targets(&service);
        others.retain(|(_, name, ..)| name != target);
        others.sort_by_key(|(.., other_domain)| *other_domain != domain);
        let has_neighbours = others.first().is_some_and(|(.., first)| *first == domain);
        let near = others.into_iter().filter(|(.., other)| !has_neighbours || *other == domain);
        near.map(|(_, name, address, _)| (name, address)).take(NEAR_TARGETS).collect()
    }

    /// Returns one target of a service, chosen at random.
    pub fn probe_target(&mut self, service: &Name) -> Option<(TargetName, SocketAddr)> {
        let drawn = self.draw_targets(service).into_iter();
        drawn.map(|(_, name, address, _)| (name, address)).next()
    }

    /// Returns the ready targets of a service, beginning with a random one, and whether each has failed.
    fn draw_targets(&mut self, service: &Name) -> Vec<(bool, TargetName, SocketAddr, DomainName)> {
        let random = self.chooser.random_fraction();
        let ready = self.ready_targets(service).map(|state| {
            let entry = &state.entry;
            let has_failed = self.paths.has_failed(service, &entry.name);
            (has_failed, entry.name.clone(), entry.address, entry.domain.clone())
        });
        let mut drawn: Vec<_> = ready.collect();
        // A rotation instead of a shuffle: names are in no order that matters.
        let first = (random * drawn.len() as f64) as usize;
        let length = drawn.len().max(1);
        drawn.rotate_left(first % length);
        drawn
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
