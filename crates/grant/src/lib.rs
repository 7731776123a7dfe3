//! Grants: who may spend what, without asking anyone.
//!
//! A total that must hold over the fleet is divided into grants. A [`Roster`] records, in the
//! key-value service, how many units of a failure domain's part each seat holds. A [`TeamBucket`]
//! is what one seat may spend of one team's allowance with its units. A seat that needs more
//! borrows from a peer for a limited time.
//!
//! # The invariant
//!
//! For each bucket, `level + lent <= cap`, and the caps of all seats add up to at most the team's
//! burst. A loan counts as unspent at the lender until it is settled or has surely expired: the
//! borrower stops using it at a deadline that it counts from before it asked, the lender waits
//! [`LoanTerms::lender_span`] from when it answered. So the tokens charged in any window of
//! length *t* over all seats are at most `burst + rate * t`, whichever seats die, freeze, restart
//! or lose each other.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use base::{RequestId, Time, TokenCount, TokenRate};
//! use mango_grant::{Allowance, LoanTerms, TeamBucket, Units};
//!
//! let terms = LoanTerms::new(Duration::from_secs(2));
//! let allowance = Allowance { rate: TokenRate(10), burst: TokenCount(100) };
//! let mut bucket = TeamBucket::new(Time::ZERO, terms);
//! bucket.set_share(Time::ZERO, allowance, Units::TOTAL);
//! // A bucket starts empty, so that a restart does not mint a second burst.
//! assert!(!bucket.charge(Time::ZERO, RequestId(1), TokenCount(50)));
//! assert!(bucket.charge(Time::from_millis(10_000), RequestId(1), TokenCount(50)));
//! ```
//!
//! # When to use it
//!
//! Use it for totals that are spent at many seats in small amounts. Replicas and target memory
//! are few and large; `place` records each of them on its own.
//!
//! # Limits
//!
//! A request can cost at most one token less than its team's burst, since shares are rounded
//! down.

mod bucket;
mod loan;
mod micro;
mod roster;

pub use bucket::{Allowance, TeamBucket};
pub use loan::{LoanId, LoanOffer, LoanSettlement, LoanTerms};
pub use micro::MicroTokens;
pub use roster::{Roster, RosterStep, SeatEntry, Units};
