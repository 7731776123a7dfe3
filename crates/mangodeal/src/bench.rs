//! Experiments on embedded fleets: daemons, stand-ins and load in one process.
//!
//! `latency` compares answers through a daemon with those that come from a target directly.
//! `idle` replays requests for rarely used models under two policies for idle replicas, with the
//! same seed, and reports cold starts, refusals and idle replica time.

mod fleet;
mod idle;
mod latency;
mod report;

pub use idle::{compare_idle, IdleOptions};
pub use latency::compare_latency;
