//! Settings of a placer.

use std::time::Duration;

use crate::policy::IdlePolicy;

/// Settings of a placer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceConfig {
    pub(crate) load_slots: usize,
    pub(crate) adapter_slots: usize,
    pub(crate) report_span: Duration,
    pub(crate) unload_delay: Duration,
    pub(crate) order_drain: Duration,
    pub(crate) idle_policy: IdlePolicy,
    pub(crate) reserve: usize,
    pub(crate) domains: usize,
}

impl Default for PlaceConfig {
    fn default() -> Self {
        PlaceConfig {
            load_slots: 4,
            adapter_slots: 30,
            report_span: Duration::from_secs(3),
            unload_delay: Duration::from_millis(500),
            order_drain: Duration::from_secs(120),
            idle_policy: IdlePolicy::Fitted,
            reserve: 0,
            domains: 1,
        }
    }
}

impl PlaceConfig {
    /// Sets how many models this failure domain loads at once.
    pub fn load_slots(mut self, slots: usize) -> Self {
        self.load_slots = slots.max(1);
        self
    }

    /// Sets how many adapters this failure domain loads at once.
    pub fn adapter_slots(mut self, slots: usize) -> Self {
        self.adapter_slots = slots.max(1);
        self
    }

    /// Sets for how long a target's report counts as current.
    pub fn report_span(mut self, span: Duration) -> Self {
        self.report_span = span;
        self
    }

    /// Sets the time between taking a replica out of routing and ordering its unload.
    pub fn unload_delay(mut self, delay: Duration) -> Self {
        self.unload_delay = delay;
        self
    }

    /// Sets how long after its issuer is proved gone an order may still arrive.
    pub fn order_drain(mut self, drain: Duration) -> Self {
        self.order_drain = drain;
        self
    }

    /// Sets when idle replicas are unloaded.
    pub fn idle_policy(mut self, policy: IdlePolicy) -> Self {
        self.idle_policy = policy;
        self
    }

    /// Sets how many replicas are decided ahead for outages of the key-value service, in a fleet
    /// of so many failure domains.
    pub fn reserve(mut self, replicas: usize, domains: usize) -> Self {
        self.reserve = replicas;
        self.domains = domains;
        self
    }
}
