//! Settings of a placer.

use std::time::Duration;

use crate::policy::IdlePolicy;

/// Settings of a placer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceConfig {
    pub(crate) load_slots: usize,
    pub(crate) adapter_slots: usize,
    pub(crate) report_max_age: Duration,
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
            report_max_age: Duration::from_secs(3),
            unload_delay: Duration::from_millis(500),
            order_drain: Duration::from_secs(120),
            idle_policy: IdlePolicy::Fitted,
            reserve: 0,
            domains: 1,
        }
    }
}

impl PlaceConfig {
    /// Sets how many models may load at the same time in this failure domain.
    pub fn load_slots(mut self, slots: usize) -> Self {
        self.load_slots = slots.max(1);
        self
    }

    /// Sets how many adapters may load at the same time in this failure domain.
    pub fn adapter_slots(mut self, slots: usize) -> Self {
        self.adapter_slots = slots.max(1);
        self
    }

    /// Sets the age up to which a target's report counts as current.
    pub fn report_max_age(mut self, max_age: Duration) -> Self {
        self.report_max_age = max_age;
        self
    }

    /// Sets the time between removing a replica from routing and ordering its unload.
    pub fn unload_delay(mut self, delay: Duration) -> Self {
        self.unload_delay = delay;
        self
    }

    /// Sets how long an order may still arrive after its issuer is proved gone.
    pub fn order_drain(mut self, drain: Duration) -> Self {
        self.order_drain = drain;
        self
    }

    /// Sets how long idle replicas are kept.
    pub fn idle_policy(mut self, policy: IdlePolicy) -> Self {
        self.idle_policy = policy;
        self
    }

    /// Sets how many replicas are reserved for outages of the key-value service, and the number of
    /// failure domains in the fleet.
    pub fn reserve(mut self, replicas: usize, domains: usize) -> Self {
        self.reserve = replicas;
        self.domains = domains;
        self
    }
}
