//! Records in the key-value service: the plan of a target and the ledger of a model.

use base::{ByteSize, ModelName, OrderId, Seat, SortedMap, TargetName};
use serde::{Deserialize, Serialize};

/// The lifecycle phase of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Planned for an outage of the key-value service, during which its issuer may order the load.
    Reserved,
    /// The load may have been ordered.
    Loading,
    /// The target reported it as ready.
    Loaded,
    /// It gets no new requests. The unload may have been ordered.
    Unloading,
}

/// One load order of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Identifier of the order.
    pub id: OrderId,
    /// The daemon instance that issued the order. No other may send it.
    pub issuer: Seat,
    /// Whether the order can no longer arrive at the target.
    pub resolved: bool,
}

/// A recorded replica. It counts against the memory of its target and the copies of its model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Memory that it occupies on the target.
    pub memory: ByteSize,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Load orders recorded for it.
    pub orders: Vec<LoadOrder>,
}

impl Replica {
    /// Creates a replica.
    pub fn new(memory: ByteSize, phase: Phase, orders: Vec<LoadOrder>) -> Replica {
        Replica { memory, phase, orders }
    }

    /// Returns whether all its load orders are resolved, so that none can still arrive.
    pub fn is_resolved(&self) -> bool {
        self.orders.iter().all(|order| order.resolved)
    }
}

/// The replicas on one target, stored as one value in the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetPlan {
    /// Replicas by model or adapter.
    pub replicas: SortedMap<ModelName, Replica>,
}

impl TargetPlan {
    /// Returns the memory that the recorded replicas occupy, whatever their phase.
    pub fn committed(&self) -> ByteSize {
        self.replicas.values().map(|replica| replica.memory).sum()
    }
}

/// The targets of the whole fleet on which replicas of one base model are recorded.
///
/// The ledger is stored as one value in the key-value service and written in one transaction with
/// the plan that it concerns.
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

    /// Returns a ledger that also has a replica on `target`.
    pub fn with(&self, target: &TargetName) -> CopyLedger {
        let mut targets = self.targets.clone();
        if let Err(at) = targets.binary_search(target) {
            targets.insert(at, target.clone());
        }
        CopyLedger { targets }
    }

    /// Returns a ledger that has no replica on `target`.
    pub fn without(&self, target: &TargetName) -> CopyLedger {
        let targets = self.targets.iter().filter(|other| *other != target).cloned().collect();
        CopyLedger { targets }
    }
}
