//! Finds prompt parts that crash targets, and condemns them.
//!
//! A request whose prompt holds such a part crashes each target that begins to answer it, so that no
//! daemon sees more than a crash or two. Each daemon reports to the whole fleet which of its requests
//! were about to be answered when a target crashed, and which suspected parts have been answered since. A
//! [`CrashLedger`] collects these reports. It reaches the same verdicts on every daemon, without a
//! leader.
//!
//! The crate performs no I/O and reads no clock.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use base::Time;
//! use mango_suspect::{CrashId, CrashLedger, PartId, SuspectRequest};
//!
//! let mut ledger = CrashLedger::new("host-1".parse()?, 1);
//! let (common, guilty) = (PartId(0x5c1e), PartId(0xdead));
//! let request = SuspectRequest { team: Some("atelier".parse()?), parts: vec![common, guilty] };
//! for number in 0..3 {
//!     let crash = CrashId { target: format!("engine-{number}").parse()?, born_ms: 7 };
//!     ledger.record_crash(Time::from_millis(number), &crash, request.clone());
//!     // Other requests with the common part are answered.
//!     ledger.record_answer(Time::from_millis(number), &[common], Duration::ZERO);
//! }
//! let now = Time::from_millis(2_000);
//! assert!(ledger.condemns(now, &request).is_some());
//! let sound = SuspectRequest { parts: vec![common], ..request };
//! assert!(ledger.condemns(now, &sound).is_none());
//! # Ok::<(), base::ParseError>(())
//! ```
//!
//! # When to use it
//!
//! Use it before requests are sent to targets whose processes end by what a request holds. A target
//! that fails requests without crashing is a matter of its failure share, which `front` keeps.
//!
//! # Limits
//!
//! A part needs [`MIN_CRASHES`] crashes, and must crash at least a third of the targets that begin to
//! answer it. A request's last part is its own and never condemned. The ledger remembers 256 crashes.

mod answered;
mod crash;
mod digest;
mod evidence;
mod ledger;
mod verdict;

pub use crash::{CrashId, PartId, SuspectRequest, MAX_PARTS};
pub use digest::{ContentDigest, RequestDigest};
pub use evidence::{CrashReport, EvidenceWire, HostEvidence};
pub use ledger::{CrashLedger, EVIDENCE_SPAN};
pub use verdict::{PartVerdict, MIN_CRASHES};
