//! Model weights that targets have in host memory or on disk.

use std::net::SocketAddr;
use std::time::Duration;

use base::{ModelName, SortedMap, Time};
use fleet::{EngineModel, EngineSpec, HeldModel, WeightCopies};

/// A listed entry may be older than a report by about this much: two heartbeats and their delivery.
const ENTRY_LAG: Duration = Duration::from_millis(2_500);

/// Where a target stores a model's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightTier {
    /// In the memory of its host.
    Memory,
    /// On its disk.
    Disk,
}

impl WeightTier {
    /// Returns the time of a load from this tier.
    pub(crate) fn load_time(self, model: &EngineModel) -> Duration {
        match self {
            WeightTier::Memory => model.memory_load_time,
            WeightTier::Disk => model.disk_load_time,
        }
    }
}

/// Weights on one target.
#[derive(Clone, Debug, Default)]
struct TargetWeights {
    /// Weights that it last reported or listed.
    reported: Option<WeightCopies>,
    /// When the last report with weights was requested.
    reported_at: Option<Time>,
    /// Models that it was seen holding, and when last. Used for targets that report no weights.
    observed: Vec<(ModelName, Time)>,
}

/// Index of the weights on all targets, as they report them or by the models that they have held.
#[derive(Clone, Debug, Default)]
pub struct WeightIndex {
    /// Weights by address, since a target that restarts at an address has the same disk.
    targets: SortedMap<SocketAddr, TargetWeights>,
    /// Addresses by model. Some targets may have dropped the weights since.
    addresses: SortedMap<ModelName, Vec<SocketAddr>>,
}

impl WeightIndex {
    /// Records the models that a target holds.
    pub fn observe(&mut self, now: Time, target: SocketAddr, models: &[HeldModel]) {
        let seen_models = &mut self.targets.entry(target, TargetWeights::default).observed;
        for held in models {
            match seen_models.iter_mut().find(|(name, _)| *name == held.name) {
                Some((_, at)) => *at = now,
                None => {
                    seen_models.push((held.name.clone(), now));
                    add_address(&mut self.addresses, &held.name, target);
                }
            }
        }
    }

    /// Applies the weights in a target's listed entry, unless a report may be newer.
    pub fn update_from_entry(
        &mut self,
        now: Time,
        target: SocketAddr,
        reported: Option<&WeightCopies>,
    ) {
        let weights = self.targets.entry(target, TargetWeights::default);
        let is_newer = weights.reported_at.is_none_or(|at| now.since(at) >= ENTRY_LAG);
        if let Some(reported) =
            reported.filter(|reported| is_newer && weights.reported.as_ref() != Some(reported))
        {
            self.set_reported(target, reported);
        }
    }

    /// Applies the weights in a target's report that was requested at `asked_at`.
    pub fn update_from_report(
        &mut self,
        asked_at: Time,
        target: SocketAddr,
        reported: Option<&WeightCopies>,
    ) {
        if let Some(reported) = reported {
            self.targets.entry(target, TargetWeights::default).reported_at = Some(asked_at);
            self.set_reported(target, reported);
        }
    }

    fn set_reported(&mut self, target: SocketAddr, reported: &WeightCopies) {
        for model in reported.memory.iter().chain(&reported.disk) {
            add_address(&mut self.addresses, model, target);
        }
        self.targets.entry(target, TargetWeights::default).reported = Some(reported.clone());
    }

    /// Returns the addresses that may have a model's weights. [`WeightIndex::tier_of`] returns
    /// whether they do.
    pub(crate) fn addresses(&self, model: &ModelName) -> &[SocketAddr] {
        self.addresses.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns where a target has a model's weights, if it has them.
    ///
    /// If the target reports no weights, a model that it held counts as on disk until as many other
    /// models as fit on the disk have been held since.
    pub fn tier_of(
        &self,
        target: SocketAddr,
        spec: &EngineSpec,
        model: &EngineModel,
    ) -> Option<WeightTier> {
        let weights = self.targets.get(&target)?;
        let Some(reported) = &weights.reported else {
            let (_, at) = weights.observed.iter().find(|(name, _)| *name == model.name)?;
            let newer = weights.observed.iter().filter(|(_, other)| other > at).count();
            let capacity = (spec.disk_mb / model.weight_mb.max(1.0)) as usize;
            return (newer < capacity).then_some(WeightTier::Disk);
        };
        if reported.memory.contains(&model.name) {
            return Some(WeightTier::Memory);
        }
        reported.disk.contains(&model.name).then_some(WeightTier::Disk)
    }
}

fn add_address(
    addresses: &mut SortedMap<ModelName, Vec<SocketAddr>>,
    model: &ModelName,
    target: SocketAddr,
) {
    let holders = addresses.entry(model.clone(), Vec::new);
    if !holders.contains(&target) {
        holders.push(target);
    }
}
