//! Counters and status of a node.

use std::time::Duration;

use base::{DomainName, ModelName, Revision, Seat, SortedMap, TargetName};
use grant::Units;
use place::Phase;

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeStats {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were served whole.
    pub served: u64,
    /// Requests that ended otherwise, by result code.
    pub refused: SortedMap<base::ResultCode, u64>,
    /// Transmissions after the first.
    pub retries: u64,
    /// Tokens charged less those given back.
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

/// A seat as this node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeatStatus {
    /// The seat.
    pub seat: Seat,
    /// Its failure domain.
    pub domain: DomainName,
    /// Units that it holds.
    pub units: Units,
    /// Configuration revision that it last stated.
    pub revision: Option<Revision>,
    /// Time since it last answered.
    pub silent: Option<Duration>,
}

/// A replica that this node, as placer, has recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// Target.
    pub target: TargetName,
    /// Model or adapter.
    pub model: ModelName,
    /// Where the replica is in its life.
    pub phase: Phase,
    /// Whether a load order may still arrive.
    pub unresolved: bool,
}
