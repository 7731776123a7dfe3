//! Routing: which target serves a request, in which order waiting requests go, and what may be
//! repeated.
//!
//! * [`LoadTable`] corrects targets' lagging load reports by what this daemon sent itself, and
//!   chooses the better of two targets drawn at random, so that all daemons reading the same
//!   stale report don't choose the same target.
//! * [`FairQueue`] orders waiting requests by team share, with ageing.
//! * [`Attempt`] is the life of one transmission as a typestate; only an attempt of which no byte
//!   was sent, or one of an idempotent request, yields the permission to try again.
//!
//! # Example
//!
//! ```
//! use base::Time;
//! use mango_route::{LoadTable, TargetChoice};
//!
//! let mut table = LoadTable::new(1);
//! let choice = |name: &str| TargetChoice { target: name.parse().unwrap(), slots: 1, near: true };
//! let choices = [choice("a"), choice("b")];
//! let first = table.choose(Time::ZERO, &choices).unwrap();
//! table.started(&first);
//! let second = table.choose(Time::ZERO, &choices).unwrap();
//! assert_ne!(first, second);
//! ```
//!
//! # When to use it
//!
//! Use it through `node`. The crate is pure; its randomness comes from a seed.
//!
//! # Limits
//!
//! [`FairQueue::order`] sorts all waiting requests: O(n log n) for each pass.

mod attempt;
mod load;
mod queue;

pub use attempt::{Attempt, AttemptEnd, Planned, RetryBudget, Transmitted};
pub use load::{LoadTable, TargetChoice};
pub use queue::{FairQueue, QueueEntry};
