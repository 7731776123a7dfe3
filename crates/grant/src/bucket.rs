//! One seat's part of one team's token bucket.

use std::time::Duration;

use base::{RequestId, Seat, SortedMap, Time, TokenCount, TokenRate};

use crate::loan::{BorrowedLoan, LentLoan};
use crate::{LoanId, LoanOffer, LoanSettlement, LoanTerms, MicroTokens, Units};

/// A team's allowance over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Tokens that accrue in a second.
    pub rate: TokenRate,
    /// Most tokens that may be held.
    pub burst: TokenCount,
}

/// A charge whose final amount is not known yet.
#[derive(Clone, Copy, Debug)]
struct OpenCharge {
    /// Largest `level + lent` since the charge. Giving tokens back must not lift any moment
    /// since then above the cap, or a window that starts there could exceed the allowance.
    peak: MicroTokens,
    charged: TokenCount,
}

/// What one seat may spend of one team's allowance.
///
/// All methods that decide take the present time. None panics.
#[derive(Clone, Debug)]
pub struct TeamBucket {
    terms: LoanTerms,
    allowance: Allowance,
    units: Units,
    /// Units that were added, with the time from which they count.
    pending_units: Option<(Units, Time)>,
    level: MicroTokens,
    filled_at: Time,
    lent: Vec<LentLoan>,
    borrowed: Vec<BorrowedLoan>,
    open: SortedMap<RequestId, OpenCharge>,
    last_loan: u64,
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
            filled_at: now,
            lent: Vec::new(),
            borrowed: Vec::new(),
            open: SortedMap::default(),
            last_loan: 0,
            demand: DemandMeter::new(now),
        }
    }

    /// Sets the allowance and the units held.
    ///
    /// Fewer units count at once. More units count only after [`LoanTerms::lender_span`], since
    /// what their former holder lent may be spent until then.
    pub fn set_share(&mut self, now: Time, allowance: Allowance, units: Units) {
        self.refill(now);
        self.allowance = allowance;
        let expected = self.pending_units.map_or(self.units, |(units, _)| units);
        if units < self.units {
            self.units = units;
            self.pending_units = None;
        } else if units != expected {
            self.pending_units = Some((units, now + self.terms.lender_span()));
        }
        self.clamp();
    }

    /// Returns the largest amount that the bucket may hold.
    pub fn cap(&self) -> MicroTokens {
        MicroTokens::share(self.allowance.burst, self.units)
    }

    /// Returns what a request could be charged now.
    pub fn available(&mut self, now: Time) -> MicroTokens {
        self.refill(now);
        let borrowed = self.borrowed.iter().map(|loan| loan.left.0).sum();
        self.level.add(MicroTokens(borrowed))
    }

    /// Returns what is missing for a charge of `cost`.
    pub fn shortage(&mut self, now: Time, cost: TokenCount) -> MicroTokens {
        MicroTokens::from(cost).sub(self.available(now))
    }

    /// Returns what to ask peers for, given a shortage: the shortage and what recent demand
    /// suggests will be needed within half a loan's span, so that steady traffic does not cause a
    /// message for each request.
    pub fn wanted(&self, shortage: MicroTokens) -> MicroTokens {
        let ahead = self.demand.expected(self.terms.borrower_span() / 2);
        shortage.add(MicroTokens(ahead.0.min(self.cap().0)))
    }

    /// Charges `cost` for `request` and returns true, or changes nothing and returns false.
    pub fn charge(&mut self, now: Time, request: RequestId, cost: TokenCount) -> bool {
        let need = MicroTokens::from(cost);
        if self.available(now) < need {
            return false;
        }
        self.demand.add(now, need);
        let mut rest = need;
        // Borrowed tokens go first: they expire.
        for loan in &mut self.borrowed {
            let part = MicroTokens(loan.left.0.min(rest.0));
            loan.left = loan.left.sub(part);
            rest = rest.sub(part);
        }
        self.level = self.level.sub(rest);
        let peak = self.level.add(self.lent_sum());
        self.open.insert(request, OpenCharge { peak, charged: cost });
        true
    }

    /// Closes the charge of `request`, which used `used` tokens, and gives back the rest as far
    /// as the allowance permits. Closing an unknown charge has no effect.
    pub fn close(&mut self, now: Time, request: RequestId, used: TokenCount) {
        self.refill(now);
        let Some(charge) = self.open.remove(&request) else { return };
        let unused = MicroTokens::from(charge.charged.saturating_sub(used));
        let credit = MicroTokens(unused.0.min(self.cap().sub(charge.peak).0));
        self.level = self.level.add(credit);
        self.clamp();
        for other in self.open.values_mut() {
            other.peak = other.peak.add(credit);
        }
    }

    /// Lends up to `wanted` to a peer.
    pub fn lend(&mut self, now: Time, borrower: Seat, wanted: MicroTokens) -> Option<LoanOffer> {
        self.refill(now);
        let amount = MicroTokens(self.level.0.min(wanted.0));
        if amount == MicroTokens::ZERO {
            return None;
        }
        self.last_loan += 1;
        let offer = LoanOffer { id: LoanId(self.last_loan), amount };
        self.level = self.level.sub(amount);
        self.lent.push(LentLoan { offer, borrower, expires: now + self.terms.lender_span() });
        Some(offer)
    }

    /// Takes a loan that was asked for at `asked_at`. A loan that arrives after its deadline is
    /// ignored; the lender counts it until it expires there.
    pub fn borrow(&mut self, now: Time, asked_at: Time, lender: Seat, offer: LoanOffer) {
        let until = asked_at + self.terms.borrower_span();
        if now < until {
            self.borrowed.push(BorrowedLoan { id: offer.id, lender, left: offer.amount, until });
        }
    }

    /// Returns settlements for loans that are used up or about to expire, by lender.
    pub fn settle(&mut self, now: Time) -> Vec<(Seat, LoanSettlement)> {
        let early = self.terms.borrower_span() / 4;
        let (done, kept) = std::mem::take(&mut self.borrowed)
            .into_iter()
            .partition(|loan| loan.left == MicroTokens::ZERO || now + early >= loan.until);
        self.borrowed = kept;
        let done: Vec<BorrowedLoan> = done;
        done.into_iter()
            .map(|loan| {
                let returned = if now < loan.until { loan.left } else { MicroTokens::ZERO };
                (loan.lender, LoanSettlement { id: loan.id, returned })
            })
            .collect()
    }

    /// Takes back what a borrower returns. Unknown, expired and foreign loans have no effect, so
    /// a repeated message is harmless.
    pub fn settled(&mut self, now: Time, borrower: &Seat, settlement: LoanSettlement) {
        self.refill(now);
        let found = self
            .lent
            .iter()
            .position(|loan| loan.offer.id == settlement.id && loan.borrower == *borrower);
        let Some(at) = found else { return };
        let loan = self.lent.swap_remove(at);
        let returned = MicroTokens(settlement.returned.0.min(loan.offer.amount.0));
        self.level = self.level.add(returned);
        self.clamp();
    }

    /// Returns whether loans of peers are to be settled yet.
    pub fn has_borrowed(&self) -> bool {
        !self.borrowed.is_empty()
    }

    /// Returns whether nothing is lent, borrowed or charged.
    pub fn is_idle(&self) -> bool {
        self.lent.is_empty() && self.borrowed.is_empty() && self.open.is_empty()
    }

    fn refill(&mut self, now: Time) {
        if let Some((units, from)) = self.pending_units.filter(|(_, from)| now >= *from) {
            self.accrue(from);
            self.units = units;
            self.pending_units = None;
            self.filled_at = self.filled_at.max(from);
        }
        self.accrue(now);
        self.lent.retain(|loan| now < loan.expires);
        self.borrowed.retain(|loan| now < loan.until || loan.left == MicroTokens::ZERO);
    }

    /// Adds what accrued until `now`. The cap applies with the loans that were outstanding.
    fn accrue(&mut self, now: Time) {
        let span = now.since(self.filled_at);
        let accrued = MicroTokens::accrued(self.allowance.rate, self.units, span);
        // Rounding down must not swallow the accrual of short spans, so the time only advances
        // when something accrued.
        if accrued > MicroTokens::ZERO || self.units == Units::ZERO {
            self.filled_at = self.filled_at.max(now);
            self.level = self.level.add(accrued);
        }
        self.clamp();
        self.note_peak();
    }

    fn clamp(&mut self) {
        let room = self.cap().sub(self.lent_sum());
        self.level = MicroTokens(self.level.0.min(room.0));
    }

    fn note_peak(&mut self) {
        let held = self.level.add(self.lent_sum());
        for charge in self.open.values_mut() {
            charge.peak = charge.peak.max(held);
        }
    }

    fn lent_sum(&self) -> MicroTokens {
        MicroTokens(self.lent.iter().map(|loan| loan.offer.amount.0).sum())
    }
}

/// Estimates the recent rate of charges with an average that halves each second.
#[derive(Clone, Copy, Debug)]
struct DemandMeter {
    sum: u64,
    at: Time,
}

impl DemandMeter {
    const HALF_LIFE: Duration = Duration::from_secs(1);
    /// Steady state of the halving sum, per second of demand: 1 / ln 2, in hundredths.
    const STEADY_PERCENT: u64 = 144;

    fn new(now: Time) -> DemandMeter {
        DemandMeter { sum: 0, at: now }
    }

    fn add(&mut self, now: Time, amount: MicroTokens) {
        let halvings = now.since(self.at).as_secs_f64() / Self::HALF_LIFE.as_secs_f64();
        self.sum = ((self.sum as f64) * 0.5f64.powf(halvings)) as u64;
        self.sum = self.sum.saturating_add(amount.0);
        self.at = now;
    }

    fn expected(&self, span: Duration) -> MicroTokens {
        let per_second = self.sum.saturating_mul(100) / Self::STEADY_PERCENT;
        MicroTokens((per_second as f64 * span.as_secs_f64()) as u64)
    }
}
