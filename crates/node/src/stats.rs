//! Counters and status of a node.

use std::time::Duration;

use base::{DomainName, ModelName, Revision, Seat, SortedMap, TargetName};
use grant::Units;
use place::Phase;

/// Counters since the start of the node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeStats {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were served completely.
    pub served: u64,
    /// Requests that ended with any other result, by result code.
    pub refused: SortedMap<base::ResultCode, u64>,
    /// Transmissions to targets after the first of each request.
    pub retries: u64,
    /// Tokens charged to teams for requests that have ended.
    pub tokens: u64,
    /// Messages sent to peers.
    pub peer_messages: u64,
    /// Calls to the key-value service.
    pub service_calls: u64,
    /// Load orders sent.
    pub loads: u64,
    /// Unload orders sent.
    pub unloads: u64,
}

/// The status of a seat, as known to this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeatStatus {
    /// The seat.
    pub seat: Seat,
    /// Its failure domain.
    pub domain: DomainName,
    /// Units that it holds.
    pub units: Units,
    /// Configuration revision that it last reported.
    pub revision: Option<Revision>,
    /// Time since its last message.
    pub silent_for: Option<Duration>,
}

/// The status of a replica in a plan that this node has recorded as placer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Target.
    pub target: TargetName,
    /// Model or adapter.
    pub model: ModelName,
    /// Phase of the replica's lifecycle.
    pub phase: Phase,
    /// Whether a load order may still arrive.
    pub is_unresolved: bool,
}
