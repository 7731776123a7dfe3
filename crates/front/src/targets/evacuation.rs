//! Targets in evacuated failure domains.

use base::{DomainName, Name, TargetName, Time};
use evacuate::{EvacuationChanges, EvacuationTable};

use super::{TargetState, TargetTable};

impl TargetTable {
    /// Applies a change to the evacuated domains, and takes the targets of restored domains into use
    /// again.
    pub fn change_evacuations(
        &mut self,
        now: Time,
        change: impl FnOnce(&mut EvacuationTable) -> EvacuationChanges,
    ) -> EvacuationChanges {
        let changes = change(&mut self.evacuations);
        for restored in &changes.ended {
            self.restore_domain(now, &restored.domain);
        }
        changes
    }

    /// Takes the targets of a domain into use again after its evacuation. Their failures before it say
    /// nothing about them now, and they count as cold for their service's cold time, because they got
    /// no requests for a while.
    pub fn restore_domain(&mut self, now: Time, domain: &DomainName) {
        for state in self.targets.values_mut().filter(|state| state.entry.domain == *domain) {
            (state.failures, state.avoid_until) = (0, now);
            if let Some(spec) = self.cold_specs.get(&state.entry.service) {
                let target = (&state.entry.name, state.entry.born_ms);
                self.cold.record_return(now, target, *spec);
            }
        }
    }

    /// Returns the evacuated domains.
    pub fn evacuations(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// Returns whether a target is in an evacuated domain.
    pub fn is_evacuated(&self, name: &TargetName) -> bool {
        self.targets.get(name).is_some_and(|state| self.has_evacuated(state))
    }

    pub(super) fn has_evacuated(&self, state: &TargetState) -> bool {
        self.evacuations.contains(&state.entry.domain)
    }

    /// Returns whether a service has targets, all of them in evacuated domains.
    pub(crate) fn is_service_evacuated(&self, service: &Name) -> bool {
        if self.evacuations.is_empty() {
            return false;
        }
        let mut targets =
            self.targets.values().filter(|state| state.entry.service == *service).peekable();
        targets.peek().is_some() && targets.all(|state| self.has_evacuated(state))
    }

    /// Returns the number of this daemon's requests that still run on targets of evacuated domains.
    pub fn evacuated_runs(&self) -> usize {
        let evacuated = self.targets.values().filter(|state| self.has_evacuated(state));
        evacuated.map(TargetState::run_count).sum()
    }

    /// Returns whether a target of the domain is listed.
    pub fn has_domain(&self, domain: &DomainName) -> bool {
        self.targets.values().any(|state| state.entry.domain == *domain)
    }
}
