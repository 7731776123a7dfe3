//! Settings of the dispatcher.

use std::time::Duration;

use base::{DomainName, Name};

/// Settings of a [`crate::RequestDispatcher`].
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    pub(crate) host: Name,
    pub(crate) domain: DomainName,
    pub(crate) seed: u64,
    pub(crate) retry_ratio: f64,
    pub(crate) retry_extra: f64,
    pub(crate) retry_window: Duration,
    pub(crate) return_grace: Duration,
    pub(crate) leader_gap: Duration,
    pub(crate) schedules_prefill: bool,
}

impl DispatcherConfig {
    /// Creates settings for a daemon on a host in a failure domain.
    pub fn new(host: Name, domain: DomainName) -> DispatcherConfig {
        DispatcherConfig {
            host,
            domain,
            seed: 1,
            retry_ratio: 0.2,
            retry_extra: 50.0,
            retry_window: Duration::from_secs(10),
            return_grace: Duration::from_millis(2_200),
            leader_gap: Duration::from_secs(6),
            schedules_prefill: false,
        }
    }

    /// Sets the seed of random draws.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the fleet's retry budget for each service: `ratio` times its requests plus `extra`, in
    /// any `window`.
    pub fn retry_budget(mut self, ratio: f64, extra: f64, window: Duration) -> Self {
        (self.retry_ratio, self.retry_extra, self.retry_window) = (ratio, extra, window);
        self
    }

    /// Sets the longest time from the last message of a leader to the first order of the next one.
    pub fn leader_gap(mut self, gap: Duration) -> Self {
        self.leader_gap = gap;
        self
    }

    /// Sets whether the leader schedules long prompts in all services. It always does so in services
    /// whose targets state a slowdown.
    pub fn schedules_prefill(mut self, always: bool) -> Self {
        self.schedules_prefill = always;
        self
    }

    /// Sets how long a target that is missing from the first list after an outage of the store
    /// counts as present.
    pub fn return_grace(mut self, grace: Duration) -> Self {
        self.return_grace = grace;
        self
    }
}
