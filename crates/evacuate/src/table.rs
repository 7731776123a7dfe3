//! The evacuated domains, in the order of the store's revisions.

use std::time::Duration;

use base::{DomainName, Revision, SortedMap, Time};

/// Most deleted entries that are remembered until the next snapshot.
const MAX_WITHDRAWN: usize = 1_024;

/// An evacuation of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainEvacuation {
    /// The evacuated domain.
    pub domain: DomainName,
    /// Revision of the entry, or of the change that ended the evacuation.
    pub revision: Revision,
    /// When this daemon learned that the domain is evacuated.
    pub since: Time,
}

/// The evacuations that a change has begun and ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChanges {
    /// Domains that are evacuated from now on.
    pub begun: Vec<DomainEvacuation>,
    /// Domains that are no longer evacuated.
    pub ended: Vec<DomainEvacuation>,
}

impl EvacuationChanges {
    /// Returns whether no evacuation has begun or ended.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}

/// An entry of the store that evacuates a domain.
#[derive(Clone, Copy, Debug)]
struct EvacuationEntry {
    revision: Revision,
    since: Time,
    /// Set if a restored store lacks the entry. The evacuation is in force until then, so that the
    /// operator can write the entry again.
    lapses_at: Option<Time>,
}

/// The evacuated domains by name.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    entries: SortedMap<DomainName, EvacuationEntry>,
    /// Revisions at which entries were deleted. Older changes may still arrive.
    withdrawn: SortedMap<DomainName, Revision>,
    /// Revision of the last snapshot, which includes all changes up to it.
    snapshot: Revision,
}

impl EvacuationTable {
    /// Returns whether a domain is evacuated.
    pub fn contains(&self, domain: &DomainName) -> bool {
        self.entries.contains(domain)
    }

    /// Iterates over the evacuated domains by name.
    pub fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.entries.keys()
    }

    /// Returns the number of evacuated domains.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that the entry of a domain was written at `revision`.
    pub fn put(&mut self, now: Time, domain: &DomainName, revision: Revision) -> EvacuationChanges {
        let mut changes = EvacuationChanges::default();
        if revision > self.known_revision(domain).max(self.snapshot) {
            self.insert(now, domain, revision, &mut changes);
        }
        changes
    }

    /// Records that the entry of a domain was deleted at `revision`.
    pub fn delete(&mut self, domain: &DomainName, revision: Revision) -> EvacuationChanges {
        let mut changes = EvacuationChanges::default();
        if revision > self.known_revision(domain).max(self.snapshot) {
            self.remove(domain, revision, &mut changes);
            self.withdrawn.insert(domain.clone(), revision);
            if self.withdrawn.len() > MAX_WITHDRAWN {
                let oldest = self.withdrawn.iter().min_by_key(|(_, revision)| **revision);
                if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                    self.withdrawn.remove(&name);
                }
            }
        }
        changes
    }

    /// Replaces the table with the entries of a snapshot at `revision`, each with its own revision.
    /// What changed after the snapshot was taken is kept. If `grace` is given, the store has
    /// returned from an older copy, and entries that it lacks remain in force for that long.
    pub fn replace(
        &mut self,
        now: Time,
        revision: Revision,
        listed: &[(DomainName, Revision)],
        grace: Option<Duration>,
    ) -> EvacuationChanges {
        let mut changes = EvacuationChanges::default();
        self.snapshot = revision;
        self.withdrawn.retain(|_, withdrawn_at| *withdrawn_at > revision);
        let is_listed = |name: &DomainName| listed.iter().any(|(domain, _)| domain == name);
        let mut gone = Vec::new();
        for (name, entry) in self.entries.iter_mut() {
            match grace {
                _ if is_listed(name) || entry.revision > revision => {}
                Some(grace) => {
                    entry.lapses_at.get_or_insert(now + grace);
                }
                // A later snapshot of the restored store lacks the entry as well.
                None if entry.lapses_at.is_some() => {}
                None => gone.push(name.clone()),
            }
        }
        gone.iter().for_each(|name| self.remove(name, revision, &mut changes));
        for (domain, written_at) in listed {
            let is_withdrawn = self.withdrawn.get(domain).is_some_and(|at| at > written_at);
            if !is_withdrawn {
                self.insert(now, domain, *written_at, &mut changes);
            }
        }
        changes
    }

    /// Ends the evacuations that a restored store lacked and whose grace is over.
    pub fn expire(&mut self, now: Time) -> EvacuationChanges {
        let mut changes = EvacuationChanges::default();
        let is_over = |entry: &EvacuationEntry| entry.lapses_at.is_some_and(|at| now >= at);
        let over = self.entries.iter().filter(|(_, entry)| is_over(entry));
        let over: Vec<DomainName> = over.map(|(name, _)| name.clone()).collect();
        let snapshot = self.snapshot;
        over.iter().for_each(|name| self.remove(name, snapshot, &mut changes));
        changes
    }

    /// Returns when the first evacuation that a restored store lacked ends.
    pub fn next_end(&self) -> Option<Time> {
        self.entries.values().filter_map(|entry| entry.lapses_at).min()
    }

    /// Returns the revision of the last change of a domain's entry.
    fn known_revision(&self, domain: &DomainName) -> Revision {
        let written_at = self.entries.get(domain).map(|entry| entry.revision);
        written_at.max(self.withdrawn.get(domain).copied()).unwrap_or_default()
    }

    fn insert(
        &mut self,
        now: Time,
        domain: &DomainName,
        revision: Revision,
        changes: &mut EvacuationChanges,
    ) {
        self.withdrawn.remove(domain);
        if let Some(entry) = self.entries.get_mut(domain) {
            entry.revision = entry.revision.max(revision);
            entry.lapses_at = None;
            return;
        }
        let entry = EvacuationEntry { revision, since: now, lapses_at: None };
        self.entries.insert(domain.clone(), entry);
        let domain = domain.clone();
        changes.begun.push(DomainEvacuation { domain, revision, since: now });
    }

    fn remove(&mut self, domain: &DomainName, revision: Revision, changes: &mut EvacuationChanges) {
        if let Some(EvacuationEntry { since, .. }) = self.entries.remove(domain) {
            let domain = domain.clone();
            changes.ended.push(DomainEvacuation { domain, revision, since });
        }
    }
}
