//! Demand for models that no replica can serve at present.

use std::time::Duration;

use base::{ModelName, Time};

/// A gateway's demand for a model. The gateway repeats it while requests wait; it expires
/// otherwise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelDemand {
    /// Model or adapter.
    pub model: ModelName,
    /// Time until the earliest deadline of the waiting requests.
    pub time_left: Duration,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Whether replicas exist but are saturated, so that another one is needed.
    pub extra: bool,
}

/// The placer's refusal of a demand that it can't meet before the deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandRefusal {
    /// Model or adapter.
    pub model: ModelName,
    /// Estimated time until a replica could be ready.
    pub retry_after: Duration,
}

/// The demand for one model, merged from all gateways.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    /// When a gateway last sent the demand.
    pub(crate) seen_at: Time,
    /// Earliest deadline of the waiting requests.
    pub(crate) deadline: Time,
    /// Number of waiting requests at the gateway that last sent the demand.
    pub(crate) waiting: u32,
    /// Whether that gateway needs another replica although replicas exist.
    pub(crate) extra: bool,
}
