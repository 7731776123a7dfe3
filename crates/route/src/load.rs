//! Load balancing over targets.

use std::time::Duration;

use base::{SortedMap, TargetName, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How long a target is avoided after it could not be reached.
const AVOID_DURATION: Duration = Duration::from_millis(1_000);

/// A target that may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCandidate {
    /// Name of the target.
    pub target: TargetName,
    /// Maximum number of concurrent requests from this daemon.
    pub slots: u32,
    /// Whether it is in the daemon's own failure domain.
    pub is_local: bool,
}

/// Load of one target.
#[derive(Clone, Copy, Debug, Default)]
struct TargetLoad {
    /// Requests from this daemon.
    own_requests: u32,
    /// Requests from other daemons, according to the last report.
    other_requests: u32,
    avoid_until: Time,
}

/// Loads of all targets, from load reports and this daemon's own requests.
#[derive(Clone, Debug)]
pub struct LoadTable {
    loads: SortedMap<TargetName, TargetLoad>,
    rng: SmallRng,
}

impl LoadTable {
    /// Creates an empty table whose random choices are determined by `seed`.
    pub fn new(seed: u64) -> LoadTable {
        LoadTable { loads: SortedMap::default(), rng: SmallRng::seed_from_u64(seed) }
    }

    /// Records a report of `total` requests running or waiting on a target. Stores only the part
    /// from other daemons, because the table counts this daemon's own requests more accurately.
    pub fn record_report(&mut self, target: &TargetName, total: u32) {
        let load = self.loads.entry(target.clone(), TargetLoad::default);
        load.other_requests = total.saturating_sub(load.own_requests);
    }

    /// Records that a request was sent to `target`.
    pub fn record_start(&mut self, target: &TargetName) {
        self.loads.entry(target.clone(), TargetLoad::default).own_requests += 1;
    }

    /// Records that a request on `target` ended.
    pub fn record_end(&mut self, target: &TargetName) {
        let load = self.loads.entry(target.clone(), TargetLoad::default);
        load.own_requests = load.own_requests.saturating_sub(1);
    }

    /// Records that `target` could not be reached, so that it is avoided for a while.
    pub fn record_failure(&mut self, now: Time, target: &TargetName) {
        self.loads.entry(target.clone(), TargetLoad::default).avoid_until = now + AVOID_DURATION;
    }

    /// Returns the number of this daemon's requests on `target`.
    pub fn own_requests(&self, target: &TargetName) -> u32 {
        self.loads.get(target).map_or(0, |load| load.own_requests)
    }

    /// Chooses the less loaded of two random targets among those that have a free slot and are not
    /// avoided. Targets in other failure domains are considered only if no such target is in the
    /// daemon's own domain.
    ///
    /// The method is described in M. Mitzenmacher, "The Power of Two Choices in Randomized Load
    /// Balancing", IEEE TPDS 12(10), 2001.
    pub fn choose(&mut self, now: Time, candidates: &[TargetCandidate]) -> Option<TargetName> {
        let loads = &self.loads;
        let is_available = |candidate: &&TargetCandidate| {
            let load = loads.get(&candidate.target).copied().unwrap_or_default();
            load.own_requests < candidate.slots && now >= load.avoid_until
        };
        let available: Vec<&TargetCandidate> = candidates.iter().filter(is_available).collect();
        let (local, remote): (Vec<&TargetCandidate>, Vec<&TargetCandidate>) =
            available.into_iter().partition(|candidate| candidate.is_local);
        let preferred = if local.is_empty() { remote } else { local };
        if preferred.is_empty() {
            return None;
        }
        let first = preferred[self.rng.random_range(0..preferred.len())];
        let second = preferred[self.rng.random_range(0..preferred.len())];
        let total_load = |candidate: &TargetCandidate| {
            let load = self.loads.get(&candidate.target).copied().unwrap_or_default();
            load.own_requests + load.other_requests
        };
        let chosen = if total_load(second) < total_load(first) { second } else { first };
        Some(chosen.target.clone())
    }
}
