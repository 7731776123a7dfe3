//! One seat's share of one team's token bucket.

use std::time::Duration;

use base::{RequestId, Seat, SortedMap, Time, TokenCount, TokenRate};

use crate::loan::{BorrowedLoan, LentLoan};
use crate::{LoanId, LoanOffer, LoanSettlement, LoanTerms, MicroTokens, Units};

/// A team's rate limit over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Tokens that accrue per second.
    pub rate: TokenRate,
    /// Maximum number of tokens that can accumulate.
    pub burst: TokenCount,
}

/// A charge whose final amount is not known yet.
#[derive(Clone, Copy, Debug)]
struct OpenCharge {
    /// Largest sum of level and loans since the charge. When the charge is closed, the peak plus
    /// the returned tokens must not exceed the cap. Otherwise the charges in a window that starts
    /// at the peak could exceed the allowance.
    peak: MicroTokens,
    charged: TokenCount,
}

/// One seat's token bucket for one team.
///
/// Methods that depend on time take the current time. None panics.
#[derive(Clone, Debug)]
pub struct TeamBucket {
    terms: LoanTerms,
    allowance: Allowance,
    units: Units,
    /// New number of units, with the time from which it applies.
    pending_units: Option<(Units, Time)>,
    level: MicroTokens,
    refilled_at: Time,
    lent_loans: Vec<LentLoan>,
    borrowed_loans: Vec<BorrowedLoan>,
    open_charges: SortedMap<RequestId, OpenCharge>,
    last_loan_id: u64,
    demand: DemandMeter,
}

impl TeamBucket {
    /// Creates an empty bucket without a share.
    pub fn new(now: Time, terms: LoanTerms) -> TeamBucket {
        TeamBucket {
            terms,
            allowance: Allowance::default(),
            units: Units::ZERO,
            pending_units: None,
            level: MicroTokens::ZERO,
            refilled_at: now,
            lent_loans: Vec::new(),
            borrowed_loans: Vec::new(),
            open_charges: SortedMap::default(),
            last_loan_id: 0,
            demand: DemandMeter::new(now),
        }
    }

    /// Sets the allowance and the units held.
    ///
    /// A decrease of units applies at once. An increase applies only after
    /// [`LoanTerms::lender_span`], because tokens lent by the units' former holder may be spent
    /// until then.
    pub fn set_share(&mut self, now: Time, allowance: Allowance, units: Units) {
        self.refill(now);
        self.allowance = allowance;
        let latest_units = self.pending_units.map_or(self.units, |(units, _)| units);
        if units < self.units {
            self.units = units;
            self.pending_units = None;
        } else if units != latest_units {
            self.pending_units = Some((units, now + self.terms.lender_span()));
        }
        self.clamp_level();
    }

    /// Returns the maximum amount that the bucket may hold.
    pub fn cap(&self) -> MicroTokens {
        MicroTokens::share(self.allowance.burst, self.units)
    }

    /// Returns the amount that a request could be charged now.
    pub fn available(&mut self, now: Time) -> MicroTokens {
        self.refill(now);
        let borrowed = self.borrowed_loans.iter().map(|loan| loan.remaining.0).sum();
        self.level.add(MicroTokens(borrowed))
    }

    /// Returns the amount that is missing for a charge of `cost`.
    pub fn shortage(&mut self, now: Time, cost: TokenCount) -> MicroTokens {
        MicroTokens::from(cost).sub(self.available(now))
    }

    /// Returns the amount to request from peers in a shortage: the shortage plus the expected
    /// demand during half a loan's span, so that steady traffic does not cause a message for each
    /// request.
    pub fn amount_to_borrow(&self, shortage: MicroTokens) -> MicroTokens {
        let expected_demand = self.demand.expected_tokens(self.terms.borrower_span() / 2);
        shortage.add(MicroTokens(expected_demand.0.min(self.cap().0)))
    }

    /// Charges `cost` for `request` and returns true. Returns false and charges nothing if less is
    /// available.
    pub fn charge(&mut self, now: Time, request: RequestId, cost: TokenCount) -> bool {
        let need = MicroTokens::from(cost);
        if self.available(now) < need {
            return false;
        }
        self.demand.add(now, need);
        let mut rest = need;
        // Borrowed tokens are spent first because they expire.
        for loan in &mut self.borrowed_loans {
            let part = MicroTokens(loan.remaining.0.min(rest.0));
            loan.remaining = loan.remaining.sub(part);
            rest = rest.sub(part);
        }
        self.level = self.level.sub(rest);
        let peak = self.level.add(self.lent_total());
        self.open_charges.insert(request, OpenCharge { peak, charged: cost });
        true
    }

    /// Closes the charge of `request`, which used `used` tokens, and returns the rest to the bucket
    /// as far as the allowance permits. Closing an unknown charge has no effect.
    pub fn close(&mut self, now: Time, request: RequestId, used: TokenCount) {
        self.refill(now);
        let Some(charge) = self.open_charges.remove(&request) else { return };
        let unused = MicroTokens::from(charge.charged.saturating_sub(used));
        let credit = MicroTokens(unused.0.min(self.cap().sub(charge.peak).0));
        self.level = self.level.add(credit);
        self.clamp_level();
        for other in self.open_charges.values_mut() {
            other.peak = other.peak.add(credit);
        }
    }

    /// Lends up to the wanted amount to a peer. Returns `None` if there is nothing to lend.
    pub fn lend(&mut self, now: Time, borrower: Seat, wanted: MicroTokens) -> Option<LoanOffer> {
        self.refill(now);
        let amount = MicroTokens(self.level.0.min(wanted.0));
        if amount == MicroTokens::ZERO {
            return None;
        }
        self.last_loan_id += 1;
        let offer = LoanOffer { id: LoanId(self.last_loan_id), amount };
        self.level = self.level.sub(amount);
        self.lent_loans.push(LentLoan {
            offer,
            borrower,
            expires_at: now + self.terms.lender_span(),
        });
        Some(offer)
    }

    /// Adds a loan that was requested at `asked_at`. A loan that arrives after its deadline is
    /// ignored; the lender counts it as lent until it expires there.
    pub fn borrow(&mut self, now: Time, asked_at: Time, lender: Seat, offer: LoanOffer) {
        let deadline = asked_at + self.terms.borrower_span();
        if now < deadline {
            self.borrowed_loans.push(BorrowedLoan {
                id: offer.id,
                lender,
                remaining: offer.amount,
                deadline,
            });
        }
    }

    /// Ends the borrowed loans that are used up or about to expire. Returns the settlement to send
    /// to each lender.
    pub fn settle(&mut self, now: Time) -> Vec<(Seat, LoanSettlement)> {
        let margin = self.terms.borrower_span() / 4;
        let (ending, kept) = std::mem::take(&mut self.borrowed_loans)
            .into_iter()
            .partition(|loan| loan.remaining == MicroTokens::ZERO || now + margin >= loan.deadline);
        self.borrowed_loans = kept;
        let ending: Vec<BorrowedLoan> = ending;
        ending
            .into_iter()
            .map(|loan| {
                let returned = if now < loan.deadline { loan.remaining } else { MicroTokens::ZERO };
                (loan.lender, LoanSettlement { id: loan.id, returned })
            })
            .collect()
    }

    /// Ends a lent loan and adds the returned tokens to the bucket. A settlement of an unknown or
    /// expired loan, or of another borrower's loan, has no effect; so a repeated message is
    /// harmless.
    pub fn apply_settlement(&mut self, now: Time, borrower: &Seat, settlement: LoanSettlement) {
        self.refill(now);
        let found = self
            .lent_loans
            .iter()
            .position(|loan| loan.offer.id == settlement.id && loan.borrower == *borrower);
        let Some(index) = found else { return };
        let loan = self.lent_loans.swap_remove(index);
        let returned = MicroTokens(settlement.returned.0.min(loan.offer.amount.0));
        self.level = self.level.add(returned);
        self.clamp_level();
    }

    /// Returns whether borrowed loans are still to be settled.
    pub fn has_borrowed(&self) -> bool {
        !self.borrowed_loans.is_empty()
    }

    /// Returns whether there are no loans and no open charges.
    pub fn is_idle(&self) -> bool {
        self.lent_loans.is_empty() && self.borrowed_loans.is_empty() && self.open_charges.is_empty()
    }

    /// Advances the bucket to `now`: applies pending units, adds what accrued, and drops expired
    /// loans.
    fn refill(&mut self, now: Time) {
        if let Some((units, from)) = self.pending_units.filter(|(_, from)| now >= *from) {
            self.accrue(from);
            self.units = units;
            self.pending_units = None;
            self.refilled_at = self.refilled_at.max(from);
        }
        self.accrue(now);
        self.lent_loans.retain(|loan| now < loan.expires_at);
        self.borrowed_loans
            .retain(|loan| now < loan.deadline || loan.remaining == MicroTokens::ZERO);
    }

    /// Adds what accrued until `now`, up to the cap less the loans. Loans that expired since the
    /// last refill still count.
    fn accrue(&mut self, now: Time) {
        let span = now.since(self.refilled_at);
        let accrued = MicroTokens::accrued(self.allowance.rate, self.units, span);
        // The accrual of a short span can be rounded down to zero. The refill time advances only
        // when something accrued, so that such spans add up.
        if accrued > MicroTokens::ZERO || self.units == Units::ZERO {
            self.refilled_at = self.refilled_at.max(now);
            self.level = self.level.add(accrued);
        }
        self.clamp_level();
        self.record_peak();
    }

    /// Limits the level to the cap less the loans.
    fn clamp_level(&mut self) {
        let max_level = self.cap().sub(self.lent_total());
        self.level = MicroTokens(self.level.0.min(max_level.0));
    }

    /// Updates the peak of each open charge.
    fn record_peak(&mut self) {
        let held = self.level.add(self.lent_total());
        for charge in self.open_charges.values_mut() {
            charge.peak = charge.peak.max(held);
        }
    }

    fn lent_total(&self) -> MicroTokens {
        MicroTokens(self.lent_loans.iter().map(|loan| loan.offer.amount.0).sum())
    }
}

/// Estimates the recent rate of charges with an exponentially decaying sum.
#[derive(Clone, Copy, Debug)]
struct DemandMeter {
    decayed_sum: u64,
    updated_at: Time,
}

impl DemandMeter {
    const HALF_LIFE: Duration = Duration::from_secs(1);
    /// Steady state of the sum, in percent of the demand per second: 1 / ln 2.
    const STEADY_PERCENT: u64 = 144;

    fn new(now: Time) -> DemandMeter {
        DemandMeter { decayed_sum: 0, updated_at: now }
    }

    fn add(&mut self, now: Time, amount: MicroTokens) {
        let elapsed_half_lives =
            now.since(self.updated_at).as_secs_f64() / Self::HALF_LIFE.as_secs_f64();
        self.decayed_sum = ((self.decayed_sum as f64) * 0.5f64.powf(elapsed_half_lives)) as u64;
        self.decayed_sum = self.decayed_sum.saturating_add(amount.0);
        self.updated_at = now;
    }

    fn expected_tokens(&self, span: Duration) -> MicroTokens {
        let per_second = self.decayed_sum.saturating_mul(100) / Self::STEADY_PERCENT;
        MicroTokens((per_second as f64 * span.as_secs_f64()) as u64)
    }
}
