//! The locations of replicas, from the views that the placers of all failure domains send.

use base::{Address, DomainName, ModelName, SortedMap, TargetName, Time};

use crate::{DomainView, ViewDelta};

/// Age from which another failure domain's view is ignored when this one decides what to load.
const VIEW_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(75);

/// The outcome of applying a view delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeltaOutcome {
    /// It was applied.
    Applied,
    /// It is not newer than the stored view.
    Outdated,
    /// An earlier delta is missing.
    Gap,
}

/// A view with the time at which it was received.
#[derive(Clone, Debug)]
struct StoredView {
    view: DomainView,
    received_at: Time,
    /// Address of the peer from which it was received, or `None` for this node's own view.
    sender: Option<Address>,
}

/// The views of all failure domains, indexed by model.
#[derive(Clone, Debug, Default)]
pub(crate) struct Views {
    domains: SortedMap<DomainName, StoredView>,
    by_model: SortedMap<ModelName, Vec<(TargetName, bool)>>,
}

impl Views {
    /// Stores a view unless the stored one is at least as new. Returns whether it was stored.
    pub(crate) fn insert(&mut self, now: Time, view: DomainView, sender: Option<Address>) -> bool {
        let order = |view: &DomainView| (view.fence, view.version);
        let known = self.domains.get(&view.domain);
        if known.is_some_and(|known| order(&known.view) >= order(&view)) {
            return false;
        }
        let is_same = known.is_some_and(|known| known.view.replicas == view.replicas);
        let domain = view.domain.clone();
        self.domains.insert(domain, StoredView { view, received_at: now, sender });
        if !is_same {
            self.rebuild();
        }
        true
    }

    /// Applies a delta to the stored view of its failure domain.
    pub(crate) fn apply_delta(
        &mut self,
        now: Time,
        delta: &ViewDelta,
        from: &Address,
    ) -> DeltaOutcome {
        let Some(stored) = self.domains.get_mut(&delta.domain) else { return DeltaOutcome::Gap };
        let known = (stored.view.fence, stored.view.version);
        if known >= (delta.fence, delta.version) {
            return DeltaOutcome::Outdated;
        }
        if known != (delta.fence, delta.base) {
            return DeltaOutcome::Gap;
        }
        stored.view = delta.apply(&stored.view);
        stored.received_at = now;
        stored.sender = Some(from.clone());
        if !delta.set.is_empty() || !delta.gone.is_empty() {
            self.rebuild();
        }
        DeltaOutcome::Applied
    }

    /// Returns the address of the peer from which a failure domain's latest view was received.
    pub(crate) fn sender(&self, domain: &DomainName) -> Option<&Address> {
        self.domains.get(domain)?.sender.as_ref()
    }

    /// Returns the targets on which a model is loading or ready, with true if it is ready.
    pub(crate) fn replicas(&self, model: &ModelName) -> &[(TargetName, bool)] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the models that are loading or ready in failure domains other than `own` by a recent
    /// view, sorted.
    pub(crate) fn remote_models(&self, now: Time, own: &DomainName) -> Vec<ModelName> {
        let is_recent = |stored: &&StoredView| {
            stored.view.domain != *own && now.since(stored.received_at) < VIEW_TIMEOUT
        };
        let views = self.domains.values().filter(is_recent);
        let mut models: Vec<ModelName> =
            views.flat_map(|stored| stored.view.replicas.iter().map(|r| r.model.clone())).collect();
        models.sort();
        models.dedup();
        models
    }

    /// Iterates over all views.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &DomainView> {
        self.domains.values().map(|stored| &stored.view)
    }

    /// Rebuilds the index of replicas by model.
    fn rebuild(&mut self) {
        let mut pairs: Vec<(ModelName, (TargetName, bool))> = self
            .domains
            .values()
            .flat_map(|stored| &stored.view.replicas)
            .map(|replica| (replica.model.clone(), (replica.target.clone(), replica.ready)))
            .collect();
        pairs.sort();
        let mut index: SortedMap<ModelName, Vec<(TargetName, bool)>> = SortedMap::default();
        for (model, replica) in pairs {
            index.entry(model, Vec::new).push(replica);
        }
        self.by_model = index;
    }
}
