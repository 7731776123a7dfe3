//! Experiments on embedded fleets: daemons, stand-ins and callers in one process.
//!
//! `latency` compares the latency through a daemon with that of a target called directly.
//! `idle` sends the same requests for rarely used models under several policies for idle replicas
//! and reports cold starts, refusals and idle replica time.

mod fleet;
mod histogram;
mod idle;
mod latency;

pub use idle::{compare_idle, IdleOptions};
pub use latency::compare_latency;
