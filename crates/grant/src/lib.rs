//! Distributed rate limits: each seat charges requests to its own share of a team's allowance,
//! without asking other seats.
//!
//! A limit for the whole fleet is divided into units. A [`Roster`], stored in the key-value
//! service, records how many of a failure domain's units each seat holds. A [`TeamBucket`] is one
//! seat's token bucket for one team; its size follows from the seat's units. A seat that needs more
//! tokens borrows them from a peer for a limited time.
//!
//! # The invariant
//!
//! For each bucket, `level + lent <= cap`, where `lent` is the sum of its outstanding loans. The
//! caps of all seats add up to at most the team's burst. The lender treats a loan as unspent until
//! it is settled or has certainly expired at the borrower. The borrower stops using it at a
//! deadline that is counted from before it sent its request; the lender waits for
//! [`LoanTerms::lender_span`] after its answer. Hence all seats together charge at most
//! `burst + rate * t` tokens in any window of length *t*, even if seats crash, freeze, restart or
//! can't reach each other.
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
//! // A bucket starts empty, so that a restart does not grant a second burst.
//! assert!(!bucket.charge(Time::ZERO, RequestId(1), TokenCount(50)));
//! assert!(bucket.charge(Time::from_millis(10_000), RequestId(1), TokenCount(50)));
//! ```
//!
//! # When to use it
//!
//! Use it for limits that many seats consume in small amounts. Replicas and target memory are few
//! and large, so `place` records each of them individually.
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
