//! Loans of tokens between seats.

use std::time::Duration;

use base::{Seat, Time};
use serde::{Deserialize, Serialize};

use crate::MicroTokens;

/// Two hosts' clocks may drift apart by one part in this many.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// Duration of loans, for borrowers and lenders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanTerms {
    span: Duration,
}

impl LoanTerms {
    /// Creates terms that allow a borrower to use a loan for `span`, counted from before it sent
    /// its request.
    pub fn new(span: Duration) -> LoanTerms {
        LoanTerms { span }
    }

    /// Returns how long the borrower may use a loan, counted from before it sent its request.
    pub fn borrower_span(self) -> Duration {
        self.span
    }

    /// Returns how long the lender treats a loan as unspent, counted from its answer. This is
    /// longer than the borrower's span, to allow for clock drift.
    pub fn lender_span(self) -> Duration {
        self.span + self.span / CLOCK_DRIFT_DIVISOR + Duration::from_millis(10)
    }
}

/// Identifier of a loan, unique within the lender's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LoanId(pub u64);

/// A loan that a lender offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanOffer {
    /// Identifier of the loan.
    pub id: LoanId,
    /// Amount lent.
    pub amount: MicroTokens,
}

/// A borrower's notice that it no longer uses a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanSettlement {
    /// Identifier of the loan.
    pub id: LoanId,
    /// Unspent part, which goes back to the lender.
    pub returned: MicroTokens,
}

/// A loan, as recorded by its lender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LentLoan {
    pub(crate) offer: LoanOffer,
    pub(crate) borrower: Seat,
    pub(crate) expires_at: Time,
}

/// A loan, as recorded by its borrower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BorrowedLoan {
    pub(crate) id: LoanId,
    pub(crate) lender: Seat,
    pub(crate) remaining: MicroTokens,
    pub(crate) deadline: Time,
}
