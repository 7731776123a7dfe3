//! What a target reports about itself.

use base::{ModelName, OrderId};
use serde::{Deserialize, Serialize};

/// One replica as its target reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// Model or adapter.
    pub model: ModelName,
    /// Whether it answers requests; false while it loads.
    pub ready: bool,
    /// Requests running on it.
    pub running: u32,
    /// Requests that it has served since the target started.
    pub served: u64,
}

/// A target's state at one moment between the question and the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Changes with each start of the target.
    pub boot: u64,
    /// Replicas loaded or loading.
    pub replicas: Vec<ReplicaReport>,
    /// Load orders that were executed or refused, the latest few hundred.
    pub orders: Vec<OrderId>,
    /// Requests running.
    pub running: u32,
    /// Requests queued in the target.
    pub waiting: u32,
}

impl TargetReport {
    /// Returns what the target reports about a model.
    pub fn replica(&self, model: &ModelName) -> Option<&ReplicaReport> {
        self.replicas.iter().find(|replica| replica.model == *model)
    }
}
