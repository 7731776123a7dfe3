//! Weights that targets have at hand.

use std::net::SocketAddr;
use std::time::Duration;

use base::{ModelName, SortedMap, Time};
use fleet::{EngineModel, EngineSpec, HeldModel, WeightCopies};

/// An entry may be older than a report by about this much: two beats and their way.
const ENTRY_LAG: Duration = Duration::from_millis(2_500);

/// Where a target has a model's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyPlace {
    /// In its host's memory.
    Memory,
    /// On its disk.
    Disk,
}

impl CopyPlace {
    /// Returns how long a load from there takes.
    pub(crate) fn load_time(self, model: &EngineModel) -> Duration {
        match self {
            CopyPlace::Memory => model.memory_load_time,
            CopyPlace::Disk => model.disk_load_time,
        }
    }
}

/// What one target has at hand.
#[derive(Clone, Debug, Default)]
struct TargetCopies {
    /// What it told.
    told: Option<WeightCopies>,
    /// When it told so in a report.
    reported_at: Option<Time>,
    /// What it was seen to hold, and when last; all that is known where a target doesn't tell.
    seen: Vec<(ModelName, Time)>,
}

/// What each target has at hand, by its own word or by what it has held.
#[derive(Clone, Debug, Default)]
pub struct CopyMemory {
    /// By address: a target that starts again there has the disk that it had.
    targets: SortedMap<SocketAddr, TargetCopies>,
    /// Addresses where a model has been; some may have dropped it since.
    holders: SortedMap<ModelName, Vec<SocketAddr>>,
}

impl CopyMemory {
    /// Notes what a target holds.
    pub fn seen(&mut self, now: Time, target: SocketAddr, models: &[HeldModel]) {
        let copies = &mut self.targets.entry(target, TargetCopies::default).seen;
        for held in models {
            match copies.iter_mut().find(|(name, _)| *name == held.name) {
                Some((_, at)) => *at = now,
                None => {
                    copies.push((held.name.clone(), now));
                    note_holder(&mut self.holders, &held.name, target);
                }
            }
        }
    }

    /// Takes what a target tells in its entry, unless a newer report told it.
    pub fn listed(&mut self, now: Time, target: SocketAddr, told: Option<&WeightCopies>) {
        let copies = self.targets.entry(target, TargetCopies::default);
        let is_newer = copies.reported_at.is_none_or(|at| now.since(at) >= ENTRY_LAG);
        if let Some(told) = told.filter(|told| is_newer && copies.told.as_ref() != Some(told)) {
            self.told(target, told);
        }
    }

    /// Takes what a target tells in a report that was asked for at `asked_at`.
    pub fn reported(&mut self, asked_at: Time, target: SocketAddr, told: Option<&WeightCopies>) {
        if let Some(told) = told {
            self.targets.entry(target, TargetCopies::default).reported_at = Some(asked_at);
            self.told(target, told);
        }
    }

    fn told(&mut self, target: SocketAddr, told: &WeightCopies) {
        for model in told.memory.iter().chain(&told.disk) {
            note_holder(&mut self.holders, model, target);
        }
        self.targets.entry(target, TargetCopies::default).told = Some(told.clone());
    }

    /// Returns the addresses where a model may be at hand; [`CopyMemory::place`] tells whether.
    pub(crate) fn holders(&self, model: &ModelName) -> &[SocketAddr] {
        self.holders.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns where a target has a model's weights, if it has them.
    pub fn place(
        &self,
        target: SocketAddr,
        shape: &EngineSpec,
        model: &EngineModel,
    ) -> Option<CopyPlace> {
        let copies = self.targets.get(&target)?;
        let Some(told) = &copies.told else {
            let (_, at) = copies.seen.iter().find(|(name, _)| *name == model.name)?;
            let newer = copies.seen.iter().filter(|(_, other)| other > at).count();
            let places = (shape.disk_mb / model.weight_mb.max(1.0)) as usize;
            return (newer < places).then_some(CopyPlace::Disk);
        };
        if told.memory.contains(&model.name) {
            return Some(CopyPlace::Memory);
        }
        told.disk.contains(&model.name).then_some(CopyPlace::Disk)
    }
}

fn note_holder(
    holders: &mut SortedMap<ModelName, Vec<SocketAddr>>,
    model: &ModelName,
    target: SocketAddr,
) {
    let known = holders.entry(model.clone(), Vec::new);
    if !known.contains(&target) {
        known.push(target);
    }
}
