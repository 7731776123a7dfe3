//! Request routing: load balancing, fair queueing and retries.
//!
//! * [`LoadTable`] chooses a target. It corrects stale load reports by the requests that this
//!   daemon sent itself, and takes the less loaded of two random targets, so that daemons with the
//!   same stale report don't all choose the same target.
//! * [`FairQueue`] orders waiting requests by team share. Requests that have waited too long go
//!   first.
//! * [`Attempt`] represents one transmission of a request as a typestate. After a failed attempt
//!   the request may be sent again only if it did not run or is idempotent.
//! * [`RetryBudget`] limits retries to a fraction of the requests.
//!
//! # Example
//!
//! ```
//! use base::Time;
//! use mango_route::{LoadTable, TargetCandidate};
//!
//! let mut table = LoadTable::new(1);
//! let candidate = |name: &str| TargetCandidate {
//!     target: name.parse().unwrap(),
//!     slots: 1,
//!     is_local: true,
//! };
//! let candidates = [candidate("a"), candidate("b")];
//! let first = table.choose(Time::ZERO, &candidates).unwrap();
//! table.record_start(&first);
//! let second = table.choose(Time::ZERO, &candidates).unwrap();
//! assert_ne!(first, second);
//! ```
//!
//! # When to use it
//!
//! Use it through `node`. The crate does no I/O and reads no clock; its random numbers come from a
//! seed.
//!
//! # Limits
//!
//! [`FairQueue::order`] sorts all waiting requests on each call, which takes O(n log n) time.

mod attempt;
mod load;
mod queue;

pub use attempt::{Attempt, AttemptEnd, Planned, RetryBudget, Transmitted};
pub use load::{LoadTable, TargetCandidate};
pub use queue::{FairQueue, QueueEntry};
