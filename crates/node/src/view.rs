//! Where replicas are, as the placers of all failure domains tell.

use base::{Address, DomainName, ModelName, SortedMap, TargetName, Time};

use crate::{DomainView, ViewDelta};

/// A view that is older than this does not keep another failure domain from loading.
const VIEW_SPAN: std::time::Duration = std::time::Duration::from_secs(75);

/// What became of a view's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeltaOutcome {
    /// It was applied.
    Taken,
    /// It is older than what is known.
    Known,
    /// An earlier change is missing.
    Gap,
}

/// A view with its arrival.
#[derive(Clone, Debug)]
struct HeldView {
    view: DomainView,
    at: Time,
    /// The seat that sent it; others only pass it on.
    placer: Option<Address>,
}

/// The views of all failure domains, indexed by model.
#[derive(Clone, Debug, Default)]
pub(crate) struct Views {
    domains: SortedMap<DomainName, HeldView>,
    by_model: SortedMap<ModelName, Vec<(TargetName, bool)>>,
}

impl Views {
    /// Takes a view unless a later one is known. Returns whether it was taken.
    pub(crate) fn take(&mut self, now: Time, view: DomainView, placer: Option<Address>) -> bool {
        let order = |view: &DomainView| (view.fence, view.version);
        let known = self.domains.get(&view.domain);
        if known.is_some_and(|known| order(&known.view) >= order(&view)) {
            return false;
        }
        let same = known.is_some_and(|known| known.view.replicas == view.replicas);
        let domain = view.domain.clone();
        self.domains.insert(domain, HeldView { view, at: now, placer });
        if !same {
            self.rebuild();
        }
        true
    }

    /// Takes the change of a view, or tells why it can't.
    pub(crate) fn take_delta(
        &mut self,
        now: Time,
        delta: &ViewDelta,
        from: &Address,
    ) -> DeltaOutcome {
        let Some(held) = self.domains.get_mut(&delta.domain) else { return DeltaOutcome::Gap };
        let known = (held.view.fence, held.view.version);
        if known >= (delta.fence, delta.version) {
            return DeltaOutcome::Known;
        }
        if known != (delta.fence, delta.base) {
            return DeltaOutcome::Gap;
        }
        held.view = delta.apply(&held.view);
        held.at = now;
        held.placer = Some(from.clone());
        if !delta.set.is_empty() || !delta.gone.is_empty() {
            self.rebuild();
        }
        DeltaOutcome::Taken
    }

    /// Returns the address from which a failure domain's latest view came.
    pub(crate) fn placer(&self, domain: &DomainName) -> Option<&Address> {
        self.domains.get(domain)?.placer.as_ref()
    }

    /// Returns the targets that hold or load a model, with whether it is ready there.
    pub(crate) fn replicas(&self, model: &ModelName) -> &[(TargetName, bool)] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the models that other failure domains than `own` lately had loading or ready,
    /// sorted.
    pub(crate) fn remote(&self, now: Time, own: &DomainName) -> Vec<ModelName> {
        let fresh = |held: &&HeldView| held.view.domain != *own && now.since(held.at) < VIEW_SPAN;
        let views = self.domains.values().filter(fresh);
        let mut models: Vec<ModelName> =
            views.flat_map(|held| held.view.replicas.iter().map(|r| r.model.clone())).collect();
        models.sort();
        models.dedup();
        models
    }

    /// Iterates over all views.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &DomainView> {
        self.domains.values().map(|held| &held.view)
    }

    fn rebuild(&mut self) {
        let mut pairs: Vec<(ModelName, (TargetName, bool))> = self
            .domains
            .values()
            .flat_map(|held| &held.view.replicas)
            .map(|replica| (replica.model.clone(), (replica.target.clone(), replica.ready)))
            .collect();
        pairs.sort();
        let mut index: SortedMap<ModelName, Vec<(TargetName, bool)>> = SortedMap::default();
        for (model, place) in pairs {
            index.entry(model, Vec::new).push(place);
        }
        self.by_model = index;
    }
}
