//! Demand for models that no replica can serve at present.

use std::time::Duration;

use base::{ModelName, Time};

/// A gateway's demand for a model. It is repeated while requests wait, and lapses otherwise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelWant {
    /// Model or adapter.
    pub model: ModelName,
    /// Time left until the earliest deadline of the waiting requests.
    pub time_left: Duration,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Whether replicas exist but are saturated.
    pub extra: bool,
}

/// The placer's answer to a demand that it can't meet in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantAnswer {
    /// Model or adapter.
    pub model: ModelName,
    /// When a load could be ready.
    pub retry_after: Duration,
}

/// The merged demand for one model.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    pub(crate) seen_at: Time,
    pub(crate) deadline: Time,
    pub(crate) waiting: u32,
    pub(crate) extra: bool,
}
