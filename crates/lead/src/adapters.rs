//! Adapters on one target: those that it holds or loads, and those that are requested.

use std::time::Duration;

use base::{ModelName, SortedMap, Time};
use fleet::{EngineModel, HeldModel, ModelRef, OrderKind};

/// Time of an adapter load after its order was accepted, while few adapters load at once.
const ADAPTER_LOAD: Duration = Duration::from_millis(16);
/// Concurrent adapter loads on one target.
const MAX_ADAPTER_LOADS: usize = 4;
/// An adapter that was used more recently than this is not unloaded.
const MIN_ADAPTER_IDLE: Duration = Duration::from_millis(700);
/// An adapter whose load order was accepted more recently than this may be missing from the
/// target's reports.
const ADAPTER_REPORT_LAG: Duration = Duration::from_millis(1_800);
/// A target on which an adapter was used within this time will probably get further adapter orders.
const ADAPTER_DEMAND_SPAN: Duration = Duration::from_millis(2_000);

/// An adapter that a target holds or loads.
#[derive(Clone, Debug)]
struct AdapterEntry {
    subject: ModelRef,
    used_at: Time,
    ready_at: Time,
    /// Whether the target has accepted the load since its last report, or the report lists the adapter.
    is_confirmed: bool,
}

/// The adapters of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdapterTable {
    entries: Vec<AdapterEntry>,
    requested: Vec<ModelRef>,
}

impl AdapterTable {
    /// Replaces the adapters with those that a target reports. Recently loaded ones, which the
    /// report may not show yet, are kept.
    pub(crate) fn update(&mut self, now: Time, models: &[HeldModel]) {
        let mut entries = Vec::new();
        for held in models {
            for adapter in &held.adapters {
                let subject = ModelRef { model: held.name.clone(), adapter: Some(adapter.clone()) };
                let known = self.find_entry(&subject);
                let used_at = known.map_or(now - MIN_ADAPTER_IDLE, |entry| entry.used_at);
                entries.push(AdapterEntry { subject, used_at, ready_at: now, is_confirmed: true });
            }
        }
        for entry in std::mem::take(&mut self.entries) {
            let is_reported = entries.iter().any(|other| other.subject == entry.subject);
            let is_model_held = models.iter().any(|held| held.name == entry.subject.model);
            if !is_reported && is_model_held && now.since(entry.ready_at) < ADAPTER_REPORT_LAG {
                entries.push(AdapterEntry { is_confirmed: false, ..entry });
            }
        }
        self.entries = entries;
    }

    /// Records that a request uses an adapter.
    pub(crate) fn touch(&mut self, now: Time, subject: &ModelRef) {
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.subject == *subject) {
            entry.used_at = now;
        }
    }

    /// Adds an adapter whose load the target has accepted, and cancels its request.
    pub(crate) fn add(&mut self, now: Time, subject: ModelRef) {
        self.cancel_request(&subject);
        if self.find_entry(&subject).is_some() {
            self.touch(now, &subject);
        } else {
            let ready_at = now + ADAPTER_LOAD;
            self.entries.push(AdapterEntry { subject, used_at: now, ready_at, is_confirmed: true });
        }
    }

    /// Removes an adapter that was unloaded.
    pub(crate) fn remove(&mut self, subject: &ModelRef) {
        self.entries.retain(|entry| entry.subject != *subject);
    }

    /// Requests an adapter.
    pub(crate) fn request(&mut self, subject: &ModelRef) {
        if !self.is_requested(subject) {
            self.requested.push(subject.clone());
        }
    }

    /// Cancels the request of an adapter.
    pub(crate) fn cancel_request(&mut self, subject: &ModelRef) {
        self.requested.retain(|requested| requested != subject);
    }

    /// Cancels the requests of all adapters.
    pub(crate) fn cancel_all_requests(&mut self) {
        self.requested.clear();
    }

    pub(crate) fn is_requested(&self, subject: &ModelRef) -> bool {
        self.requested.contains(subject)
    }

    /// Returns when an adapter is ready; `None` until the target has accepted its load.
    pub(crate) fn ready_at(&self, subject: &ModelRef) -> Option<Time> {
        self.find_entry(subject).map(|entry| entry.ready_at)
    }

    /// Returns whether the target is known to hold an adapter, so that an unload takes effect.
    pub(crate) fn is_confirmed(&self, subject: &ModelRef) -> bool {
        self.find_entry(subject).is_some_and(|entry| entry.is_confirmed)
    }

    /// Returns whether adapters were used recently.
    pub(crate) fn in_demand(&self, now: Time) -> bool {
        self.entries.iter().any(|entry| now.since(entry.used_at) < ADAPTER_DEMAND_SPAN)
    }

    /// Returns the memory of all adapters, in megabytes.
    pub(crate) fn size_mb(&self, models: &SortedMap<ModelName, EngineModel>) -> f64 {
        let size = |entry: &AdapterEntry| {
            models.get(&entry.subject.model).map_or(0.0, |model| model.adapter_mb)
        };
        self.entries.iter().map(size).sum()
    }

    /// Returns the next requested adapter that isn't loaded, of a model that the target holds.
    pub(crate) fn next_request(&mut self, models: &[HeldModel]) -> Option<ModelRef> {
        let next = self.requested.iter().find(|requested| self.find_entry(requested).is_none());
        let is_held = |next: &&ModelRef| models.iter().any(|held| held.name == next.model);
        let next = next.filter(is_held).cloned();
        if next.is_none() {
            self.requested.clear();
        }
        next
    }

    /// Returns the load order of a requested adapter if the target has a place and memory for it, or the
    /// unload order that makes room for it, if one can be sent now.
    pub(crate) fn next_order(
        &mut self,
        now: Time,
        next: ModelRef,
        places: usize,
        has_memory: bool,
    ) -> Option<(OrderKind, ModelRef)> {
        let loading = self.entries.iter().filter(|entry| now < entry.ready_at).count();
        if loading >= MAX_ADAPTER_LOADS {
            return None;
        }
        if self.entries.len() < places && has_memory {
            return Some((OrderKind::Load, next));
        }
        let idle = self.entries.iter().filter(|entry| now.since(entry.used_at) >= MIN_ADAPTER_IDLE);
        match idle.min_by_key(|entry| entry.used_at) {
            Some(oldest) => Some((OrderKind::Unload, oldest.subject.clone())),
            None => {
                self.requested.clear();
                None
            }
        }
    }

    fn find_entry(&self, subject: &ModelRef) -> Option<&AdapterEntry> {
        self.entries.iter().find(|entry| entry.subject == *subject)
    }
}
