//! What is recorded about one target and about one model.

use base::{ByteSize, ModelName, OrderId, Seat, SortedMap, TargetName};
use serde::{Deserialize, Serialize};

/// Where a replica is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Decided ahead; its issuer may order the load while the key-value service is down.
    Reserved,
    /// The load may have been ordered.
    Loading,
    /// The target reported it ready.
    Loaded,
    /// No new request goes to it; the unload may have been ordered.
    Unloading,
}

/// One load order of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Number of the order.
    pub id: OrderId,
    /// The only seat that may send it.
    pub issuer: Seat,
    /// Whether it can no longer arrive at the target.
    pub resolved: bool,
}

/// A replica that counts as loaded on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Memory that it takes on the target.
    pub memory: ByteSize,
    /// Where it is in its life.
    pub phase: Phase,
    /// Load orders recorded for it.
    pub orders: Vec<LoadOrder>,
}

impl Replica {
    /// Creates a replica.
    pub fn new(memory: ByteSize, phase: Phase, orders: Vec<LoadOrder>) -> Replica {
        Replica { memory, phase, orders }
    }

    /// Returns whether no load order for it can still arrive.
    pub fn is_resolved(&self) -> bool {
        self.orders.iter().all(|order| order.resolved)
    }
}

/// The replicas on one target: one value in the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetPlan {
    /// Replicas by model or adapter.
    pub replicas: SortedMap<ModelName, Replica>,
}

impl TargetPlan {
    /// Returns the memory that the recorded replicas take, whatever their phase.
    pub fn committed(&self) -> ByteSize {
        self.replicas.values().map(|replica| replica.memory).sum()
    }
}

/// The targets on which replicas of one base model are recorded, over the whole fleet: one value
/// in the key-value service. It is written together with the plan, in one transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CopyLedger {
    targets: Vec<TargetName>,
}

impl CopyLedger {
    /// Returns the number of recorded replicas.
    pub fn count(&self) -> usize {
        self.targets.len()
    }

    /// Returns the ledger with a replica on `target`.
    pub fn with(&self, target: &TargetName) -> CopyLedger {
        let mut targets = self.targets.clone();
        if let Err(at) = targets.binary_search(target) {
            targets.insert(at, target.clone());
        }
        CopyLedger { targets }
    }

    /// Returns the ledger without a replica on `target`.
    pub fn without(&self, target: &TargetName) -> CopyLedger {
        let targets = self.targets.iter().filter(|other| *other != target).cloned().collect();
        CopyLedger { targets }
    }
}
