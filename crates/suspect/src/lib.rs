//! Finds requests and prompt parts that crash targets, and condemns them.
//!
//! Such a request crashes each target that begins to run it, and comes again at any daemon; or different
//! requests have a part in common that does. No daemon sees more than a crash or two. Each reports to the
//! whole fleet which of its requests were about to be answered when a target crashed, and which suspects
//! have been answered since. A [`CrashLedger`] collects these reports. It reaches the same verdicts on
//! every daemon, without a leader.
//!
//! Two crashes are independent evidence if the request of the later one was sent after the earlier one.
//! The repeats of a request are evidence against that request, and together one crash against its parts.
//!
//! The crate performs no I/O and reads no clock.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use base::Time;
//! use mango_suspect::{ContentDigest, CrashId, CrashLedger, RequestDigest};
//! use mango_suspect::{SuspectRequest, UnixMillis};
//!
//! let mut ledger = CrashLedger::new("host-1".parse()?, 1);
//! let team = Some("atelier".parse()?);
//! let content = ContentDigest::new("POST", "/orders/7", b"a body that crashes targets");
//! let digest = RequestDigest::new(&content, team.as_ref());
//! let request = SuspectRequest { team, digest, parts: Vec::new() };
//! for number in 0..3 {
//!     let crash = CrashId { target: format!("orders-{number}").parse()?, born_ms: 7 };
//!     let crashed_at = UnixMillis(1_000 * (number + 1));
//!     let sent_at = crashed_at.before(Duration::from_millis(20));
//!     let now = Time::from_millis(crashed_at.0);
//!     ledger.record_crash(now, &crash, crashed_at, request.clone(), sent_at);
//! }
//! let now = Time::from_millis(3_000);
//! assert!(ledger.condemns(now, &request).is_some());
//! // An answer to a copy that was under way takes the verdict back.
//! ledger.record_answer(now, &request, Duration::ZERO);
//! assert!(ledger.condemns(now, &request).is_none());
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
//! A verdict on a part needs [`MIN_CRASHES`] independent crashes; one on a request as many lost copies, in two
//! independent crashes at least, or in three if it was answered before. A request must crash every target, since one answer clears it; a part must crash at least a third of the targets that begin to answer it. A request's last
//! part is its own and never condemned. The ledger remembers 256 crashes. Their order is that of the hosts'
//! times of day: a host whose clock is wrong by seconds may hide one independent crash or add one.

mod answered;
mod crash;
mod digest;
mod evidence;
mod ledger;
mod verdict;
mod witness;

pub use crash::{CrashCause, CrashId, PartId, SuspectRequest, SuspectRun, UnixMillis, MAX_PARTS};
pub use digest::{ContentDigest, RequestDigest};
pub use evidence::{CrashReport, EvidenceWire, HostEvidence};
pub use ledger::{CrashLedger, EVIDENCE_SPAN};
pub use verdict::{CrashVerdict, MIN_CRASHES};
