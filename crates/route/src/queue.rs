//! Fair queueing of waiting requests.

use std::time::Duration;

use base::{RequestId, SortedMap, TeamName, Time, TokenCount};

/// A request that has waited for longer than this is dispatched before all younger ones.
const AGE_LIMIT: Duration = Duration::from_secs(2);
/// Units of virtual time for one token at weight 1.
const VIRTUAL_SCALE: u64 = 1_000;

/// A waiting request.
#[derive(Clone, Debug)]
pub struct QueueEntry {
    /// Identifier of the request.
    pub request: RequestId,
    /// Team, or `None` on a route that is open to all callers.
    pub team: Option<TeamName>,
    /// Time of arrival.
    pub arrived: Time,
    /// Priority given by the caller. Within a team, larger values go first.
    pub priority: i32,
}

/// Shares a daemon's capacity among teams in proportion to their weights, in tokens served.
///
/// Each team has a virtual time, which advances by `tokens / weight` when one of its requests is
/// dispatched. The team with the smallest virtual time goes first. A team that was idle starts at
/// the smallest virtual time of the active teams, so that it gains no credit while idle. The method
/// is described in P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", ACM SIGCOMM 1996.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    virtual_times: SortedMap<Option<TeamName>, u64>,
    /// Smallest virtual time at which a team can become active.
    virtual_floor: u64,
    waiting: Vec<QueueEntry>,
}

impl FairQueue {
    /// Adds a waiting request.
    pub fn push(&mut self, entry: QueueEntry) {
        let floor = self.virtual_floor;
        let virtual_time = self.virtual_times.entry(entry.team.clone(), || floor);
        *virtual_time = (*virtual_time).max(floor);
        self.waiting.push(entry);
    }

    /// Removes a request from the queue.
    pub fn remove(&mut self, request: RequestId) {
        self.waiting.retain(|entry| entry.request != request);
    }

    /// Records the dispatch of a request of `team` that is charged `cost`.
    pub fn record_dispatch(&mut self, team: &Option<TeamName>, cost: TokenCount, weight: u32) {
        let floor = self.virtual_floor;
        let virtual_time = self.virtual_times.entry(team.clone(), || floor);
        *virtual_time += (cost.0.max(1) * VIRTUAL_SCALE) / u64::from(weight.max(1));
        let active = self.waiting.iter().filter_map(|entry| self.virtual_times.get(&entry.team));
        if let Some(least) = active.min() {
            self.virtual_floor = self.virtual_floor.max(*least);
        }
    }

    /// Returns the waiting requests in the order in which they should be dispatched.
    pub fn order(&self, now: Time) -> Vec<RequestId> {
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|entry| {
                let is_young = now.since(entry.arrived) <= AGE_LIMIT;
                let virtual_time =
                    if is_young { self.virtual_times.get(&entry.team).copied() } else { None };
                let priority = if is_young { -i64::from(entry.priority) } else { 0 };
                (is_young, virtual_time, priority, entry.arrived, entry.request)
            })
            .collect();
        order.sort();
        order.into_iter().map(|(.., request)| request).collect()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
