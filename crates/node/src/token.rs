//! Team allowances: charging requests, and borrowing from peers when this seat's part is empty.

use std::time::Duration;

use base::{Address, RequestId, Seat, SortedMap, TeamName, Time, TokenCount};
use config::{Snapshot, TeamObject};
use grant::{Allowance, LoanOffer, LoanSettlement, LoanTerms, MicroTokens, TeamBucket, Units};

use crate::PeerMessage;

/// Peers asked at once.
const DRAW_WAVE: usize = 4;
/// Peers asked in one round.
const DRAW_PEERS: usize = 24;
/// How long an answer to a question to borrow is waited for.
const DRAW_TIMEOUT: Duration = Duration::from_millis(100);
/// Shortest and longest pause between rounds.
const RETRY_MIN: Duration = Duration::from_millis(50);
const RETRY_MAX: Duration = Duration::from_millis(1_000);

/// A request that waits for tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenWait {
    pub(crate) request: RequestId,
    pub(crate) cost: TokenCount,
    pub(crate) deadline: Time,
}

/// What became of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenVerdict {
    /// It was charged.
    Charged(RequestId),
    /// The allowance can't cover it in time; it could after this span.
    Refused(RequestId, Duration),
}

/// A question to borrow that has no answer yet.
#[derive(Clone, Debug)]
struct OpenDraw {
    id: u64,
    peer: Address,
    asked_at: Time,
    wanted: MicroTokens,
}

/// A round of questions to peers.
#[derive(Clone, Debug, Default)]
struct DrawRound {
    open: Vec<OpenDraw>,
    remaining: Vec<Address>,
}

/// One team's allowance at this seat.
#[derive(Clone, Debug)]
struct TeamEntry {
    bucket: TeamBucket,
    allowance: Allowance,
    waiting: Vec<TokenWait>,
    round: Option<DrawRound>,
    retry_at: Time,
}

/// The allowances of all teams at this seat.
#[derive(Clone, Debug)]
pub(crate) struct Tokens {
    terms: LoanTerms,
    units: Units,
    teams: SortedMap<TeamName, TeamEntry>,
    /// Teams with waiting requests or borrowed tokens; only these need attention over time.
    active: Vec<TeamName>,
    next_draw: u64,
}

impl Tokens {
    /// Creates allowances without shares. Question numbers start at `first_draw`, which must
    /// differ between incarnations.
    pub(crate) fn new(terms: LoanTerms, first_draw: u64) -> Tokens {
        let teams = SortedMap::default();
        Tokens { terms, units: Units::ZERO, teams, active: Vec::new(), next_draw: first_draw }
    }

    pub(crate) fn terms(&self) -> LoanTerms {
        self.terms
    }

    /// Sets the configuration and the units held. A team that was deleted keeps its bucket
    /// until nothing is lent or charged, so that creating it anew mints nothing.
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

    /// Returns whether `cost` can ever be charged at once. Shares are rounded down, so the last
    /// token of a burst can't be gathered.
    pub(crate) fn can_ever_cover(team: &TeamObject, cost: TokenCount) -> bool {
        cost == TokenCount::ZERO || cost < team.burst
    }

    /// Charges a request, or lets it wait.
    pub(crate) fn charge(&mut self, now: Time, team: &TeamName, wait: TokenWait) -> bool {
        let terms = self.terms;
        let entry = self.teams.entry(team.clone(), || TeamEntry::new(now, terms));
        if entry.waiting.is_empty() && entry.bucket.charge(now, wait.request, wait.cost) {
            return true;
        }
        entry.waiting.push(wait);
        self.activate(team);
        false
    }

    /// Closes a request's charge with what it used.
    pub(crate) fn close(
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

    /// Forgets a waiting request.
    pub(crate) fn forget(&mut self, team: &TeamName, request: RequestId) {
        if let Some(entry) = self.teams.get_mut(team) {
            entry.waiting.retain(|wait| wait.request != request);
        }
    }

    /// Answers a peer that asks to borrow. Requests that wait here go first.
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

    /// Takes a peer's answer. Only the first answer to a question counts; a repeated one must not
    /// be spent twice.
    pub(crate) fn lent(
        &mut self,
        now: Time,
        lender: &Seat,
        draw: u64,
        team: &TeamName,
        offer: Option<LoanOffer>,
    ) {
        let Some(entry) = self.teams.get_mut(team) else { return };
        let Some(round) = &mut entry.round else { return };
        let known = |open: &OpenDraw| open.id == draw && open.peer == lender.address;
        let Some(at) = round.open.iter().position(known) else { return };
        let open = round.open.swap_remove(at);
        let Some(offer) = offer else { return };
        if offer.amount >= open.wanted {
            round.remaining.push(open.peer);
        }
        entry.bucket.borrow(now, open.asked_at, lender.clone(), offer);
        self.activate(team);
    }

    /// Takes the end of a loan.
    pub(crate) fn settled(
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

    /// Charges what can be charged, asks peers for what is missing, and refuses what can't be
    /// covered in time.
    pub(crate) fn pump(
        &mut self,
        now: Time,
        peers: &[Address],
        messages: &mut Vec<(Address, PeerMessage)>,
    ) -> Vec<TokenVerdict> {
        let mut verdicts = Vec::new();
        for name in std::mem::take(&mut self.active) {
            let Some(entry) = self.teams.get_mut(&name) else { continue };
            for (lender, settlement) in entry.bucket.settle(now) {
                let (team, address) = (name.clone(), lender.address);
                let lender = lender.incarnation;
                messages.push((address, PeerMessage::Settle { lender, team, settlement }));
            }
            entry.charge_waiting(now, &mut verdicts);
            if !entry.waiting.is_empty() {
                entry.draw(now, &name, peers, &mut self.next_draw, messages, &mut verdicts);
            }
            if !entry.waiting.is_empty() || entry.bucket.has_borrowed() {
                self.active.push(name);
            }
        }
        verdicts
    }

    fn activate(&mut self, team: &TeamName) {
        if let Err(at) = self.active.binary_search(team) {
            self.active.insert(at, team.clone());
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
            retry_at: now,
        }
    }

    /// Charges waiting requests in the order of their arrival, so that large ones are not
    /// overtaken for ever.
    fn charge_waiting(&mut self, now: Time, verdicts: &mut Vec<TokenVerdict>) {
        while let Some(first) = self.waiting.first() {
            if !self.bucket.charge(now, first.request, first.cost) {
                break;
            }
            verdicts.push(TokenVerdict::Charged(first.request));
            self.waiting.remove(0);
        }
        if self.waiting.is_empty() {
            self.round = None;
        }
    }

    fn draw(
        &mut self,
        now: Time,
        team: &TeamName,
        peers: &[Address],
        next_draw: &mut u64,
        messages: &mut Vec<(Address, PeerMessage)>,
        verdicts: &mut Vec<TokenVerdict>,
    ) {
        if self.round.is_none() && now < self.retry_at {
            return;
        }
        let cost: TokenCount = self.waiting.iter().map(|wait| wait.cost).sum();
        let shortage = self.bucket.shortage(now, cost);
        let round = self.round.get_or_insert_with(|| DrawRound {
            open: Vec::new(),
            remaining: peers.iter().take(DRAW_PEERS).cloned().collect(),
        });
        round.open.retain(|open| now.since(open.asked_at) < DRAW_TIMEOUT);
        if !round.open.is_empty() {
            return;
        }
        let wave: Vec<Address> =
            round.remaining.drain(..round.remaining.len().min(DRAW_WAVE)).collect();
        if wave.is_empty() {
            self.round = None;
            self.refuse_late(now, verdicts);
            return;
        }
        let wanted = self.bucket.amount_to_borrow(shortage).0.div_ceil(wave.len() as u64);
        let wanted = MicroTokens(wanted);
        for peer in wave {
            *next_draw += 1;
            let question = PeerMessage::Borrow { draw: *next_draw, team: team.clone(), wanted };
            messages.push((peer.clone(), question));
            round.open.push(OpenDraw { id: *next_draw, peer, asked_at: now, wanted });
        }
    }

    /// Refuses the requests that can't be covered before their deadlines even if all of the
    /// team's rate came here, and sets the time of the next round for the others.
    fn refuse_late(&mut self, now: Time, verdicts: &mut Vec<TokenVerdict>) {
        let mut needed = TokenCount::ZERO;
        let mut next = RETRY_MAX;
        let available = self.bucket.available(now);
        let rate = self.allowance.rate.0;
        let mut kept = Vec::new();
        for wait in std::mem::take(&mut self.waiting) {
            let missing = MicroTokens::from(needed + wait.cost).0.saturating_sub(available.0);
            let span = Duration::from_micros(missing.checked_div(rate).unwrap_or(u64::MAX / 2));
            if now + span > wait.deadline {
                verdicts.push(TokenVerdict::Refused(wait.request, span));
                continue;
            }
            needed += wait.cost;
            next = next.min(span);
            kept.push(wait);
        }
        self.waiting = kept;
        self.retry_at = now + next.clamp(RETRY_MIN, RETRY_MAX);
    }
}
