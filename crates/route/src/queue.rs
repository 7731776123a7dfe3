//! The order in which waiting requests go.

use std::time::Duration;

use base::{RequestId, SortedMap, TeamName, Time, TokenCount};

/// A request that waited for longer than this goes before all younger ones.
const AGE_LIMIT: Duration = Duration::from_secs(2);
/// Resolution of virtual time, per token and weight.
const VIRTUAL_SCALE: u64 = 1_000;

/// A waiting request.
#[derive(Clone, Debug)]
pub struct QueueEntry {
    /// Identifier of the request.
    pub request: RequestId,
    /// Team, or `None` on a route that is open to all.
    pub team: Option<TeamName>,
    /// When it arrived.
    pub arrived: Time,
    /// Priority of the caller; larger goes first within its team.
    pub priority: i32,
}

/// Shares a daemon's capacity among teams by the tokens that they were served, by weight.
///
/// Each team has a virtual time that advances by `tokens / weight` when a request of it goes out;
/// the team that is furthest behind goes first. A team that was idle starts at the virtual time
/// of the least served active one, so that idling earns nothing. Source of the method: P. Goyal,
/// H. Vin, H. Cheng, "Start-time Fair Queueing", ACM SIGCOMM 1996.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    served: SortedMap<Option<TeamName>, u64>,
    floor: u64,
    waiting: Vec<QueueEntry>,
}

impl FairQueue {
    /// Adds a waiting request.
    pub fn push(&mut self, entry: QueueEntry) {
        let floor = self.floor;
        let served = self.served.entry(entry.team.clone(), || floor);
        *served = (*served).max(floor);
        self.waiting.push(entry);
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, request: RequestId) {
        self.waiting.retain(|entry| entry.request != request);
    }

    /// Notes that a request of `team` goes out.
    pub fn served(&mut self, team: &Option<TeamName>, cost: TokenCount, weight: u32) {
        let floor = self.floor;
        let served = self.served.entry(team.clone(), || floor);
        *served += (cost.0.max(1) * VIRTUAL_SCALE) / u64::from(weight.max(1));
        let active = self.waiting.iter().filter_map(|entry| self.served.get(&entry.team));
        if let Some(least) = active.min() {
            self.floor = self.floor.max(*least);
        }
    }

    /// Returns the waiting requests in the order in which they should go.
    pub fn order(&self, now: Time) -> Vec<RequestId> {
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|entry| {
                let young = now.since(entry.arrived) <= AGE_LIMIT;
                let served = if young { self.served.get(&entry.team).copied() } else { None };
                let priority = if young { -i64::from(entry.priority) } else { 0 };
                (young, served, priority, entry.arrived, entry.request)
            })
            .collect();
        order.sort();
        order.into_iter().map(|(.., request)| request).collect()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
