//! Schedules the prefill of long prompts on engines, for all daemons together.
//!
//! An engine stalls its running streams while it prefills prompts. One daemon keeps a
//! [`PrefillLedger`] with the time until which each engine is busy with prompts; the others ask it
//! before they send a long prompt. The ledger chooses the engine that finishes first, limits how
//! long an engine prefills without a break, and makes requests wait whose objectives allow it.
//!
//! The crate performs no I/O and reads no clock.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use base::Time;
//! use mango_prefill::{PrefillCandidate, PrefillLedger, PrefillRequest, PrefillVerdict};
//!
//! let prompt = |engine: &str| PrefillRequest {
//!     candidates: vec![PrefillCandidate { target: engine.parse().unwrap(), work_ms: 250, penalty_ms: 0 }],
//!     max_pause_ms: 500,
//!     objective_ms: 800,
//!     patience_ms: 3_000,
//! };
//! let mut ledger = PrefillLedger::default();
//! let now = Time::from_millis(1_000);
//! let send = |wait_ms| PrefillVerdict::Send { target: "engine-1".parse().unwrap(), wait_ms };
//! assert_eq!(ledger.reserve(now, &prompt("engine-1"), |_| Some(1.0)), send(0));
//! // A second prompt would stall streams for 500 ms, so it waits until they have advanced.
//! assert!(matches!(ledger.reserve(now, &prompt("engine-1"), |_| Some(1.0)),
//!     PrefillVerdict::Send { wait_ms, .. } if wait_ms >= 250));
//! ```
//!
//! # When to use it
//!
//! Use it for prompts whose prefill takes a considerable part of the gap that streams accept. Shorter
//! ones cost more to schedule than they stall.
//!
//! # Limits
//!
//! A reservation isn't returned. If its request isn't sent, its engine counts as busy for that long.

mod ledger;
mod message;

pub use ledger::PrefillLedger;
pub use message::{PrefillCandidate, PrefillRequest, PrefillVerdict};
