//! Team allowances: charges requests, and borrows tokens from peers when this seat's share is used
//! up.

use std::time::Duration;

use base::{Address, RequestId, Seat, SortedMap, TeamName, Time, TokenCount};
use config::{Snapshot, TeamObject};
use grant::{Allowance, LoanOffer, LoanSettlement, LoanTerms, MicroTokens, TeamBucket, Units};

use crate::PeerMessage;

/// Number of peers that are asked for a loan at the same time.
const BORROW_BATCH: usize = 4;
/// Maximum number of peers that are asked in one round.
const MAX_BORROW_PEERS: usize = 24;
/// How long to wait for the answer to a loan request.
const BORROW_TIMEOUT: Duration = Duration::from_millis(100);
/// Minimum and maximum pause between rounds.
const MIN_ROUND_PAUSE: Duration = Duration::from_millis(50);
const MAX_ROUND_PAUSE: Duration = Duration::from_millis(1_000);

/// A request that waits for tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenWaiter {
    pub(crate) request: RequestId,
    pub(crate) cost: TokenCount,
    pub(crate) deadline: Time,
}

/// How a request's wait for tokens ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenOutcome {
    /// It was charged.
    Charged(RequestId),
    /// The allowance can't cover it before its deadline, but could after this duration.
    Refused(RequestId, Duration),
}

/// A loan request to a peer that has no answer yet.
#[derive(Clone, Debug)]
struct LoanRequest {
    id: u64,
    peer: Address,
    asked_at: Time,
    wanted: MicroTokens,
}

/// A round of loan requests, sent to the peers in batches.
#[derive(Clone, Debug, Default)]
struct BorrowRound {
    open: Vec<LoanRequest>,
    remaining: Vec<Address>,
}

/// One team's share of its allowance, and its waiting requests, at this seat.
#[derive(Clone, Debug)]
struct TeamEntry {
    bucket: TeamBucket,
    allowance: Allowance,
    waiting: Vec<TokenWaiter>,
    round: Option<BorrowRound>,
    next_round_at: Time,
}

/// The allowances of all teams at this seat.
#[derive(Clone, Debug)]
pub(crate) struct Tokens {
    terms: LoanTerms,
    units: Units,
    teams: SortedMap<TeamName, TeamEntry>,
    /// Teams with waiting requests or borrowed tokens, the only ones that `advance` must visit.
    /// Sorted.
    active_teams: Vec<TeamName>,
    last_loan_request: u64,
}

impl Tokens {
    /// Creates allowances without shares. Loan requests are numbered from `number_base` + 1. The
    /// base must differ between incarnations, so that answers to an earlier process are not
    /// accepted.
    pub(crate) fn new(terms: LoanTerms, number_base: u64) -> Tokens {
        let teams = SortedMap::default();
        Tokens {
            terms,
            units: Units::ZERO,
            teams,
            active_teams: Vec::new(),
            last_loan_request: number_base,
        }
    }

    pub(crate) fn terms(&self) -> LoanTerms {
        self.terms
    }

    /// Sets each team's share from the configuration and the units held. A deleted team keeps its
    /// bucket until nothing is lent or charged, so that recreating the team does not issue the same
    /// tokens twice.
    pub(crate) fn set_shares(&mut self, now: Time, snapshot: &Snapshot, units: Units) {
        self.units = units;
        for team in snapshot.teams() {
            let allowance = Allowance { rate: team.rate, burst: team.burst };
            let terms = self.terms;
            let entry = self.teams.entry(team.name.clone(), || TeamEntry::new(now, terms));
            entry.allowance = allowance;
            entry.bucket.set_share(now, allowance, units);
        }
        for (name, entry) in self.teams.iter_mut() {
            if snapshot.team(name).is_none() {
                entry.allowance = Allowance::default();
                entry.bucket.set_share(now, Allowance::default(), units);
            }
        }
        self.teams.retain(|name, entry| {
            snapshot.team(name).is_some() || !entry.bucket.is_idle() || !entry.waiting.is_empty()
        });
    }

    /// Returns whether `cost` can ever be charged at once. Shares are rounded down, so they may add
    /// up to one token less than the burst.
    pub(crate) fn can_ever_cover(team: &TeamObject, cost: TokenCount) -> bool {
        cost == TokenCount::ZERO || cost < team.burst
    }

    /// Charges a request and returns true, or queues it and returns false.
    pub(crate) fn charge_or_wait(
        &mut self,
        now: Time,
        team: &TeamName,
        waiter: TokenWaiter,
    ) -> bool {
        let terms = self.terms;
        let entry = self.teams.entry(team.clone(), || TeamEntry::new(now, terms));
        if entry.waiting.is_empty() && entry.bucket.charge(now, waiter.request, waiter.cost) {
            return true;
        }
        entry.waiting.push(waiter);
        self.mark_active(team);
        false
    }

    /// Settles a request's charge with the number of tokens that it used.
    pub(crate) fn close_charge(
        &mut self,
        now: Time,
        team: &TeamName,
        request: RequestId,
        used: TokenCount,
    ) {
        if let Some(entry) = self.teams.get_mut(team) {
            entry.bucket.close(now, request, used);
        }
    }

    /// Removes a request from the waiting ones.
    pub(crate) fn remove_waiter(&mut self, team: &TeamName, request: RequestId) {
        if let Some(entry) = self.teams.get_mut(team) {
            entry.waiting.retain(|waiter| waiter.request != request);
        }
    }

    /// Returns a loan for a peer, if any. Lends nothing while requests of the team wait here.
    pub(crate) fn lend(
        &mut self,
        now: Time,
        borrower: &Seat,
        team: &TeamName,
        wanted: MicroTokens,
    ) -> Option<LoanOffer> {
        let entry = self.teams.get_mut(team)?;
        if !entry.waiting.is_empty() {
            return None;
        }
        entry.bucket.lend(now, borrower.clone(), wanted)
    }

    /// Handles a peer's answer to a loan request. Only the first answer counts, so that a repeated
    /// message does not add the loan twice.
    pub(crate) fn record_offer(
        &mut self,
        now: Time,
        lender: &Seat,
        number: u64,
        team: &TeamName,
        offer: Option<LoanOffer>,
    ) {
        let Some(entry) = self.teams.get_mut(team) else { return };
        let Some(round) = &mut entry.round else { return };
        let is_answered = |open: &LoanRequest| open.id == number && open.peer == lender.address;
        let Some(at) = round.open.iter().position(is_answered) else { return };
        let open = round.open.swap_remove(at);
        let Some(offer) = offer else { return };
        if offer.amount >= open.wanted {
            round.remaining.push(open.peer);
        }
        entry.bucket.borrow(now, open.asked_at, lender.clone(), offer);
        self.mark_active(team);
    }

    /// Handles the settlement of a loan by its borrower.
    pub(crate) fn record_settlement(
        &mut self,
        now: Time,
        borrower: &Seat,
        team: &TeamName,
        settlement: LoanSettlement,
    ) {
        if let Some(entry) = self.teams.get_mut(team) {
            entry.bucket.apply_settlement(now, borrower, settlement);
        }
    }

    /// Charges the waiting requests that the bucket covers, requests loans for the others, and
    /// refuses those that can't be covered before their deadline. Also returns used-up or expiring
    /// loans to their lenders.
    pub(crate) fn advance(
        &mut self,
        now: Time,
        peers: &[Address],
        messages: &mut Vec<(Address, PeerMessage)>,
    ) -> Vec<TokenOutcome> {
        let mut outcomes = Vec::new();
        for name in std::mem::take(&mut self.active_teams) {
            let Some(entry) = self.teams.get_mut(&name) else { continue };
            for (lender, settlement) in entry.bucket.settle(now) {
                let (team, address) = (name.clone(), lender.address);
                let lender = lender.incarnation;
                messages.push((address, PeerMessage::Settle { lender, team, settlement }));
            }
            entry.charge_waiting(now, &mut outcomes);
            if !entry.waiting.is_empty() {
                entry.borrow_from_peers(
                    now,
                    &name,
                    peers,
                    &mut self.last_loan_request,
                    messages,
                    &mut outcomes,
                );
            }
            if !entry.waiting.is_empty() || entry.bucket.has_borrowed() {
                self.active_teams.push(name);
            }
        }
        outcomes
    }

    fn mark_active(&mut self, team: &TeamName) {
        if let Err(at) = self.active_teams.binary_search(team) {
            self.active_teams.insert(at, team.clone());
        }
    }
}

impl TeamEntry {
    fn new(now: Time, terms: LoanTerms) -> TeamEntry {
        TeamEntry {
            bucket: TeamBucket::new(now, terms),
            allowance: Allowance::default(),
            waiting: Vec::new(),
            round: None,
            next_round_at: now,
        }
    }

    /// Charges waiting requests in order of arrival, so that small ones can't starve a large one.
    fn charge_waiting(&mut self, now: Time, outcomes: &mut Vec<TokenOutcome>) {
        while let Some(first) = self.waiting.first() {
            if !self.bucket.charge(now, first.request, first.cost) {
                break;
            }
            outcomes.push(TokenOutcome::Charged(first.request));
            self.waiting.remove(0);
        }
        if self.waiting.is_empty() {
            self.round = None;
        }
    }

    /// Sends the next batch of loan requests unless answers are pending. After the last batch, ends
    /// the round and refuses the requests that can't be covered in time.
    fn borrow_from_peers(
        &mut self,
        now: Time,
        team: &TeamName,
        peers: &[Address],
        last_loan_request: &mut u64,
        messages: &mut Vec<(Address, PeerMessage)>,
        outcomes: &mut Vec<TokenOutcome>,
    ) {
        if self.round.is_none() && now < self.next_round_at {
            return;
        }
        let cost: TokenCount = self.waiting.iter().map(|waiter| waiter.cost).sum();
        let shortage = self.bucket.shortage(now, cost);
        let round = self.round.get_or_insert_with(|| BorrowRound {
            open: Vec::new(),
            remaining: peers.iter().take(MAX_BORROW_PEERS).cloned().collect(),
        });
        round.open.retain(|open| now.since(open.asked_at) < BORROW_TIMEOUT);
        if !round.open.is_empty() {
            return;
        }
        let batch: Vec<Address> =
            round.remaining.drain(..round.remaining.len().min(BORROW_BATCH)).collect();
        if batch.is_empty() {
            self.round = None;
            self.refuse_unaffordable(now, outcomes);
            return;
        }
        let wanted = self.bucket.amount_to_borrow(shortage).0.div_ceil(batch.len() as u64);
        let wanted = MicroTokens(wanted);
        for peer in batch {
            *last_loan_request += 1;
            let loan_request =
                PeerMessage::Borrow { draw: *last_loan_request, team: team.clone(), wanted };
            messages.push((peer.clone(), loan_request));
            round.open.push(LoanRequest { id: *last_loan_request, peer, asked_at: now, wanted });
        }
    }

    /// Refuses the requests that can't be covered before their deadline even at the team's full
    /// rate, and schedules the next round for the others.
    fn refuse_unaffordable(&mut self, now: Time, outcomes: &mut Vec<TokenOutcome>) {
        let mut needed = TokenCount::ZERO;
        let mut next = MAX_ROUND_PAUSE;
        let available = self.bucket.available(now);
        let rate = self.allowance.rate.0;
        let mut kept = Vec::new();
        for waiter in std::mem::take(&mut self.waiting) {
            let missing = MicroTokens::from(needed + waiter.cost).0.saturating_sub(available.0);
            let span = Duration::from_micros(missing.checked_div(rate).unwrap_or(u64::MAX / 2));
            if now + span > waiter.deadline {
                outcomes.push(TokenOutcome::Refused(waiter.request, span));
                continue;
            }
            needed += waiter.cost;
            next = next.min(span);
            kept.push(waiter);
        }
        self.waiting = kept;
        self.next_round_at = now + next.clamp(MIN_ROUND_PAUSE, MAX_ROUND_PAUSE);
    }
}
