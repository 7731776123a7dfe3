//! Target loads, and the choice between targets.

use std::time::Duration;

use base::{SortedMap, TargetName, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// For how long a target that could not be reached is avoided.
const AVOID_SPAN: Duration = Duration::from_millis(1_000);

/// A target that may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChoice {
    /// Name of the target.
    pub target: TargetName,
    /// Most requests that this daemon sends to it at once.
    pub slots: u32,
    /// Whether it is in the daemon's own failure domain.
    pub near: bool,
}

/// One target's load.
#[derive(Clone, Copy, Debug, Default)]
struct TargetLoad {
    own: u32,
    /// Requests of other daemons at the last report.
    others: u32,
    avoid_until: Time,
}

/// The loads of all targets as this daemon knows them.
#[derive(Clone, Debug)]
pub struct LoadTable {
    loads: SortedMap<TargetName, TargetLoad>,
    random: SmallRng,
}

impl LoadTable {
    /// Creates an empty table whose random draws follow `seed`.
    pub fn new(seed: u64) -> LoadTable {
        LoadTable { loads: SortedMap::default(), random: SmallRng::seed_from_u64(seed) }
    }

    /// Notes a report of `total` requests running or waiting on a target. The part that this
    /// daemon sent is known better here, so only the rest is kept.
    pub fn reported(&mut self, target: &TargetName, total: u32) {
        let load = self.loads.entry(target.clone(), TargetLoad::default);
        load.others = total.saturating_sub(load.own);
    }

    /// Notes that a request goes to `target`.
    pub fn started(&mut self, target: &TargetName) {
        self.loads.entry(target.clone(), TargetLoad::default).own += 1;
    }

    /// Notes that a request on `target` ended.
    pub fn ended(&mut self, target: &TargetName) {
        let load = self.loads.entry(target.clone(), TargetLoad::default);
        load.own = load.own.saturating_sub(1);
    }

    /// Notes that `target` could not be reached.
    pub fn failed(&mut self, now: Time, target: &TargetName) {
        self.loads.entry(target.clone(), TargetLoad::default).avoid_until = now + AVOID_SPAN;
    }

    /// Returns the requests that this daemon has on `target`.
    pub fn own(&self, target: &TargetName) -> u32 {
        self.loads.get(target).map_or(0, |load| load.own)
    }

    /// Chooses a target with a free slot: the less loaded of two drawn at random among the near
    /// ones, or among the far ones when no near one is free.
    ///
    /// Source of the method: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
    /// Balancing", IEEE TPDS 12(10), 2001.
    pub fn choose(&mut self, now: Time, choices: &[TargetChoice]) -> Option<TargetName> {
        let loads = &self.loads;
        let free = |choice: &&TargetChoice| {
            let load = loads.get(&choice.target).copied().unwrap_or_default();
            load.own < choice.slots && now >= load.avoid_until
        };
        let free: Vec<&TargetChoice> = choices.iter().filter(free).collect();
        let (near, far): (Vec<&TargetChoice>, Vec<&TargetChoice>) =
            free.into_iter().partition(|choice| choice.near);
        let pool = if near.is_empty() { far } else { near };
        if pool.is_empty() {
            return None;
        }
        let first = pool[self.random.random_range(0..pool.len())];
        let second = pool[self.random.random_range(0..pool.len())];
        let weight = |choice: &TargetChoice| {
            let load = self.loads.get(&choice.target).copied().unwrap_or_default();
            load.own + load.others
        };
        let better = if weight(second) < weight(first) { second } else { first };
        Some(better.target.clone())
    }
}
