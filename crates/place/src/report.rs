//! Reports that a target gives of its state.

use base::{ModelName, OrderId};
use serde::{Deserialize, Serialize};

/// The state of one replica, as its target reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// Model or adapter.
    pub model: ModelName,
    /// Whether it answers requests; false while it loads.
    pub ready: bool,
    /// Number of requests running on it.
    pub running: u32,
    /// Number of requests that it has served since the target started.
    pub served: u64,
}

/// A target's state at some moment between the request for the report and its arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Identifies the target process: the value changes with each start.
    pub boot: u64,
    /// Replicas loaded or loading.
    pub replicas: Vec<ReplicaReport>,
    /// The last few hundred load orders that were executed or refused.
    pub orders: Vec<OrderId>,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued in the target.
    pub waiting: u32,
}

impl TargetReport {
    /// Returns the report of a model's replica, if the target has one.
    pub fn replica(&self, model: &ModelName) -> Option<&ReplicaReport> {
        self.replicas.iter().find(|replica| replica.model == *model)
    }
}
