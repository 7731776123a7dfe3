//! Loans of tokens between seats.

use std::time::Duration;

use base::{Seat, Time};
use serde::{Deserialize, Serialize};

use crate::MicroTokens;

/// One part in so many by which two hosts' clocks may run apart.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// How long loans last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanTerms {
    span: Duration,
}

impl LoanTerms {
    /// Creates terms under which a borrower may use a loan for `span` from before it asked.
    pub fn new(span: Duration) -> LoanTerms {
        LoanTerms { span }
    }

    /// Returns how long the borrower may use a loan, counted from before it asked.
    pub fn borrower_span(self) -> Duration {
        self.span
    }

    /// Returns how long the lender counts a loan as unspent, counted from its answer. It is
    /// longer than the borrower's span by what their clocks may run apart.
    pub fn lender_span(self) -> Duration {
        self.span + self.span / CLOCK_DRIFT_DIVISOR + Duration::from_millis(10)
    }
}

/// A loan's number, unique within the lender's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LoanId(pub u64);

/// What a lender grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanOffer {
    /// Number of the loan.
    pub id: LoanId,
    /// Amount lent.
    pub amount: MicroTokens,
}

/// A borrower's message that it won't use a loan any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanSettlement {
    /// Number of the loan.
    pub id: LoanId,
    /// Part that was not spent and goes back to the lender.
    pub returned: MicroTokens,
}

/// A loan as its lender keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LentLoan {
    pub(crate) offer: LoanOffer,
    pub(crate) borrower: Seat,
    pub(crate) expires: Time,
}

/// A loan as its borrower keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BorrowedLoan {
    pub(crate) id: LoanId,
    pub(crate) lender: Seat,
    pub(crate) left: MicroTokens,
    pub(crate) until: Time,
}
