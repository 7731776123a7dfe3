//! The desk: all requests of a daemon, and what becomes of them.

mod step;
mod sync;

pub(crate) use sync::sync_pause;

use std::sync::Arc;
use std::time::Duration;

use base::{Name, ResultCode, SortedMap, TargetName, TeamName, Time};
use fleet::{FleetLayout, LayoutVersion, ModelRef, TargetDeparture, TargetLoad};

use crate::book::TargetBook;
use crate::choose::Chooser;
use crate::purse::TeamPurse;
use crate::record::PromptChain;
use crate::retry::RetryLedger;
use crate::ticket::{Arrival, AttemptEnd, FetchEnd, Refusal, Stage, Step, Ticket};
use crate::want::WantTable;
use crate::DeskConfig;

/// Pause between two reports to the leader while requests arrive, and while none do. A leader counts
/// a daemon's share of allowances as its own while one of the last two replies was surely heard
/// within 1.5 s.
const SYNC_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(700));
/// Least pause between two reports, so that several needs share one.
const SYNC_PAUSE: Duration = Duration::from_millis(8);
/// Least pause before a target that could not be given an adapter is tried again.
const FETCH_PAUSE: Duration = Duration::from_millis(30);
/// Connections that may fail for one request.
const MAX_UNSENT: u32 = 4;
/// When to come back after a refusal whose cause gives no better estimate.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Clients leave a stream that does not begin for the longest of this time, so many times the
/// objective, and so many times the longest pause.
const FIRST_PATIENCE: (Duration, u32, u32) = (Duration::from_millis(1_950), 4, 8);
/// Part of the time for which a target asked to be spared by which daemons stay away longer, each by
/// a draw, so that they don't all come back at once.
const SPARE_SPREAD: f64 = 0.25;
/// Factor of a team's priority over that of a route.
const TEAM_RANK: u8 = 3;

/// What follows the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterEnd {
    /// Ask [`Desk::step`] again.
    Again,
    /// The target's own answer goes to the caller.
    PassOn,
    /// This is the final answer.
    Final(Refusal),
}

/// Counters of a desk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeskCounts {
    /// Requests admitted.
    pub admitted: u64,
    /// Transmissions to targets.
    pub sends: u64,
    /// Transmissions beyond the first of a request.
    pub repeats: u64,
    /// Requests that waited for a load.
    pub load_waits: u64,
}

/// All requests of a daemon.
#[derive(Debug)]
pub struct Desk {
    config: DeskConfig,
    layout: Option<Arc<FleetLayout>>,
    book: TargetBook,
    chooser: Chooser,
    retries: SortedMap<Name, RetryLedger>,
    purses: SortedMap<TeamName, TeamPurse>,
    wants: WantTable,
    tickets: SortedMap<u64, Ticket>,
    counts: DeskCounts,
    last_ticket: u64,
    incarnation: u64,
    seats: u32,
    heard_at: Time,
    fence: u64,
    sync_number: u64,
    acknowledged: u64,
    synced_at: Time,
    /// Targets that told this daemon that they leave, with the number of the first report that said
    /// so, until a leader has answered it.
    leaving: Vec<(TargetDeparture, Option<u64>)>,
}

impl Desk {
    /// Creates a desk that knows nothing yet.
    pub fn new(now: Time, config: DeskConfig) -> Desk {
        Desk {
            chooser: Chooser::new(config.domain.clone(), config.seed),
            incarnation: config.seed,
            config,
            layout: None,
            book: TargetBook::default(),
            retries: SortedMap::default(),
            purses: SortedMap::default(),
            wants: WantTable::default(),
            tickets: SortedMap::default(),
            counts: DeskCounts::default(),
            last_ticket: 0,
            seats: 1,
            heard_at: now,
            fence: 0,
            sync_number: 0,
            acknowledged: 0,
            synced_at: now,
            leaving: Vec::new(),
        }
    }

    /// Takes a target's own word that it leaves. Returns whether that is new.
    pub fn target_leaves(&mut self, now: Time, target: &TargetName) -> bool {
        let departure = self.book.leaves(now, target);
        let is_new = departure.is_some();
        self.leaving.extend(departure.map(|departure| (departure, None)));
        is_new
    }

    /// Takes a target's word that it wants nothing from this daemon for a time. Returns until when
    /// it gets nothing.
    pub fn target_spared(&mut self, now: Time, target: &TargetName, span: Duration) -> Time {
        let until = now + span + span.mul_f64(SPARE_SPREAD * self.chooser.draw());
        self.book.spare(target, until);
        until
    }

    /// Returns how long all targets that could serve a request want to be spared; `None` when one of
    /// them takes requests, or none of them will.
    fn spared_for(
        &self,
        now: Time,
        service: &Name,
        subject: Option<&ModelRef>,
    ) -> Option<Duration> {
        let mut open = self.book.of_service(now, service);
        let is_open = open.any(|state| subject.is_none_or(|subject| state.holds(now, subject)));
        let end = self.book.spare_end(now, service, subject).filter(|_| !is_open);
        end.map(|end| end.since(now))
    }

    /// Takes a layout, unless it is older than the present one. Returns whether it was taken.
    pub fn layout_changed(&mut self, now: Time, layout: Arc<FleetLayout>) -> bool {
        if self.layout.as_ref().is_some_and(|known| known.version() >= layout.version()) {
            return false;
        }
        let limited = |name: &TeamName| layout.team(name).and_then(|team| team.allowance);
        self.purses.retain(|name, _| limited(name).is_some());
        for team in layout.teams() {
            let Some(allowance) = team.allowance else { continue };
            let purse = self.purses.entry(team.name.clone(), || TeamPurse::new(now, allowance));
            purse.set_allowance(allowance);
        }
        self.layout = Some(layout);
        true
    }

    /// Returns the layout in force.
    pub fn layout(&self) -> Option<&Arc<FleetLayout>> {
        self.layout.as_ref()
    }

    /// Returns the version in force.
    pub fn version(&self) -> LayoutVersion {
        self.layout.as_ref().map_or(LayoutVersion(0), |layout| layout.version())
    }

    /// Returns the targets.
    pub fn book(&self) -> &TargetBook {
        &self.book
    }

    /// Returns the targets for changing them.
    pub fn book_mut(&mut self) -> &mut TargetBook {
        &mut self.book
    }

    /// Returns how long targets that a first list after an outage lacks count as present.
    pub fn return_grace(&self) -> Duration {
        self.config.return_grace
    }

    /// Returns the counters.
    pub fn counts(&self) -> DeskCounts {
        self.counts
    }

    /// Refuses a request that waits, because the daemon ends before it could be served.
    pub fn withdraw(&mut self, now: Time, id: u64) -> Refusal {
        let refusal = match self.tickets.get(&id) {
            Some(ticket) => ticket.give_up(ResultCode::NotReady, SYNC_PAUSE, "stopping"),
            None => Refusal::new(ResultCode::OutcomeUnknown, "no such request"),
        };
        self.close(now, id, true);
        refusal
    }

    /// Returns the number of requests in the desk.
    pub fn open(&self) -> usize {
        self.tickets.len()
    }

    /// Sets the number of daemons, by the store's list of them.
    pub fn set_seats(&mut self, seats: u32) {
        self.seats = seats.max(1);
        self.chooser.seats = self.seats;
    }

    /// Returns the fencing number of the leader that was heard last, and when.
    pub fn leader_heard(&self) -> (u64, Time) {
        (self.fence, self.heard_at)
    }

    /// Takes a request, or refuses it at once. The number identifies it from then on.
    ///
    /// # Errors
    ///
    /// Fails with the final answer when the request is not allowed or nothing is known yet.
    pub fn admit(&mut self, now: Time, arrival: &Arrival) -> Result<u64, Refusal> {
        let layout = self
            .layout
            .clone()
            .ok_or_else(|| Refusal::new(ResultCode::NotReady, "no layout").after(RETRY_AFTER))?;
        let route = layout
            .route(&arrival.host, &arrival.path)
            .ok_or_else(|| Refusal::new(ResultCode::NotFound, "no route"))?;
        let team = arrival.key.as_ref().and_then(|key| layout.team_of(key));
        if team.is_none() && layout.has_teams() && !route.allows_anonymous {
            return Err(Refusal::new(ResultCode::KeyRejected, "unknown key"));
        }
        let service = route
            .service(arrival.draw)
            .ok_or_else(|| Refusal::new(ResultCode::NotFound, "no service"))?;
        let tokens = arrival.tokens.map(|(prompt, output)| prompt.0 + output.0);
        let cost = team.and_then(|team| team.allowance).map_or(0.0, |allowance| {
            match tokens.filter(|_| allowance.in_tokens) {
                Some(tokens) => tokens as f64,
                None if allowance.in_tokens => allowance.default_cost,
                None => 1.0,
            }
        });
        let waits = arrival.time_left.unwrap_or(route.timeout).min(route.timeout);
        let prompt = arrival.tokens.map_or(0, |(prompt, _)| prompt.0);
        let chain = match &arrival.model {
            Some(model) => PromptChain::new(model, &arrival.parts, prompt),
            None => PromptChain::default(),
        };
        let rank = team.map_or(0, |team| team.priority);
        let ticket = Ticket {
            service: service.clone(),
            team: team.map(|team| team.name.clone()),
            key: arrival.key.filter(|_| team.is_some()),
            judged_by: layout.version(),
            urgency: rank.saturating_mul(TEAM_RANK).saturating_add(route.priority).min(9),
            cost,
            paid: cost <= 0.0,
            draw: arrival.draw,
            model: arrival.model.clone(),
            chain,
            deadline: now + waits,
            first_by: now + waits.min(first_patience(route)),
            tried: Vec::new(),
            sends: 0,
            fetches: 0,
            failed_fetch: Vec::new(),
            may_have_run: false,
            last_end: None,
            stage: Stage::Waiting,
            route: route.clone(),
        };
        if let Some(model) = &ticket.model {
            self.wants.arrived(&model.model, ticket.chain.tokens());
        }
        if let Some(purse) = ticket.team.as_ref().and_then(|team| self.purses.get_mut(team)) {
            purse.arrived(now, cost);
        }
        let config = &self.config;
        let ledger = self.retries.entry(service.clone(), || {
            RetryLedger::new(config.retry_ratio, config.retry_extra, config.retry_window)
        });
        ledger.request(now);
        self.counts.admitted += 1;
        self.last_ticket += 1;
        self.tickets.insert(self.last_ticket, ticket);
        Ok(self.last_ticket)
    }

    /// Returns the route of a request.
    pub fn route_of(&self, id: u64) -> Option<&fleet::RouteEntry> {
        self.tickets.get(&id).map(|ticket| &ticket.route)
    }

    /// Returns the team of a request, and what it costs of the team's allowance.
    pub fn charge_of(&self, id: u64) -> Option<(&TeamName, f64)> {
        let ticket = self.tickets.get(&id)?;
        ticket.team.as_ref().map(|team| (team, ticket.cost))
    }

    /// Returns when a request must have its answer.
    pub fn deadline(&self, id: u64) -> Option<Time> {
        self.tickets.get(&id).map(|ticket| ticket.deadline)
    }

    /// Returns what to do next with a request. A refusal ends it.
    pub fn step(&mut self, now: Time, id: u64) -> Step {
        let step = self.decide(now, id);
        if let Step::Refuse(refusal) = step {
            self.close(now, id, refusal.code.status() != ResultCode::OutcomeUnknown.status());
        }
        step
    }

    /// Takes the leader's answer to a [`Step::Fetch`].
    pub fn fetched(&mut self, now: Time, id: u64, end: FetchEnd) {
        let Some(ticket) = self.tickets.get_mut(&id) else { return };
        let Stage::Fetching(target, subject) = std::mem::replace(&mut ticket.stage, Stage::Waiting)
        else {
            return;
        };
        ticket.failed_fetch.retain(|(name, _)| *name != target);
        match end {
            FetchEnd::Ready => self.book.note_holding(now, &target, &subject, true),
            FetchEnd::Busy(span) => ticket.failed_fetch.push((target, now + span.max(FETCH_PAUSE))),
            FetchEnd::Failed => ticket.failed_fetch.push((target, now + RETRY_AFTER)),
        }
    }

    /// Returns whether a request whose target has not begun to answer should go elsewhere.
    pub fn is_impatient(&mut self, now: Time, id: u64) -> bool {
        let Some(ticket) = self.tickets.get(&id) else { return false };
        let Stage::Running(target) = &ticket.stage else { return false };
        let others = self.book.of_service(now, &ticket.service).filter(|state| {
            let name = &state.entry.name;
            let holds = ticket.model.as_ref().is_none_or(|subject| state.holds(now, subject));
            name != target && !ticket.tried.contains(name) && !state.is_avoided(now) && holds
        });
        let seats = self.seats;
        others.count() > 0
            && self.retries.get_mut(&ticket.service).is_some_and(|l| l.can_take(now, seats))
    }

    /// Notes that a target begins to answer.
    pub fn begun(&mut self, now: Time, id: u64, load: Option<TargetLoad>) {
        let Some(ticket) = self.tickets.get(&id) else { return };
        let Stage::Running(target) = &ticket.stage else { return };
        if let Some(load) = load {
            self.book.load_told(now, target, load);
        }
        if let Some((took, estimate)) = self.book.begun(now, target, id) {
            match &ticket.model {
                Some(subject) => self.chooser.learn_pace(&subject.model, took, estimate),
                None => self.chooser.learn_work(&ticket.service, took),
            }
        }
    }

    /// Notes how an attempt ended, and says what follows.
    pub fn ended(&mut self, now: Time, id: u64, end: AttemptEnd) -> AfterEnd {
        let Some(ticket) = self.tickets.get_mut(&id) else { return AfterEnd::PassOn };
        let Stage::Running(target) = std::mem::replace(&mut ticket.stage, Stage::Waiting) else {
            return AfterEnd::PassOn;
        };
        self.book.ended(now, &target, id, end);
        ticket.last_end = Some(end);
        if matches!(end, AttemptEnd::NotSent | AttemptEnd::Withheld | AttemptEnd::Replaced) {
            // Nothing reached the chosen target.
            ticket.tried.retain(|tried| *tried != target);
        }
        if matches!(end, AttemptEnd::NotSent | AttemptEnd::Withheld) {
            ticket.sends -= 1;
            ticket.fetches += 1;
        }
        if !end.is_not_run() {
            ticket.may_have_run = true;
        }
        if end == AttemptEnd::Lacking {
            if let Some(subject) = &ticket.model {
                self.book.note_holding(now, &target, subject, false);
            }
        }
        let may_repeat = ticket.route.kind.is_repeatable() && ticket.has_attempts();
        let again = match end {
            AttemptEnd::Served | AttemptEnd::Abandoned => {
                self.close(now, id, false);
                return AfterEnd::PassOn;
            }
            AttemptEnd::NotSent | AttemptEnd::Withheld => ticket.fetches <= MAX_UNSENT,
            AttemptEnd::Replaced | AttemptEnd::Lacking => true,
            AttemptEnd::Full(_) => ticket.has_attempts(),
            AttemptEnd::Lost | AttemptEnd::Silent | AttemptEnd::Broken | AttemptEnd::Failed => {
                let seats = self.seats;
                may_repeat
                    && self.retries.get_mut(&ticket.service).is_some_and(|l| l.can_take(now, seats))
            }
        };
        if again && now < ticket.deadline {
            return AfterEnd::Again;
        }
        if end == AttemptEnd::Failed {
            self.close(now, id, false);
            return AfterEnd::PassOn;
        }
        let (service, subject) = (ticket.service.clone(), ticket.model.clone());
        let wait = self.spared_for(now, &service, subject.as_ref()).unwrap_or(RETRY_AFTER);
        let Some(ticket) = self.tickets.get(&id) else { return AfterEnd::PassOn };
        let refusal = ticket.give_up(ResultCode::NoCapacity, wait, "attempts used up");
        let not_run = !ticket.may_have_run;
        self.close(now, id, not_run);
        AfterEnd::Final(refusal)
    }

    /// Notes that a caller left.
    pub fn abandoned(&mut self, now: Time, id: u64) {
        if let Some(Stage::Running(target)) = self.tickets.get(&id).map(|t| t.stage.clone()) {
            self.book.ended(now, &target, id, AttemptEnd::Abandoned);
        }
        self.close(now, id, false);
    }

    /// Removes a request; what it paid is given back if it surely did not run.
    fn close(&mut self, now: Time, id: u64, not_run: bool) {
        let Some(ticket) = self.tickets.remove(&id) else { return };
        if let Some(subject) = &ticket.model {
            self.wants.leaves(&subject.model, id);
        }
        let purse = ticket.team.as_ref().and_then(|team| self.purses.get_mut(team));
        if let Some(purse) = purse.filter(|_| ticket.cost > 0.0) {
            if !ticket.paid {
                purse.left(id);
            } else if not_run && !ticket.may_have_run {
                purse.refund(now, ticket.cost);
            }
        }
    }
}

/// Returns how long a client waits for the beginning of an answer.
fn first_patience(route: &fleet::RouteEntry) -> Duration {
    if !route.kind.is_stream() {
        return route.timeout;
    }
    let (least, objectives, pauses) = FIRST_PATIENCE;
    let objective = route.objective.unwrap_or(route.timeout);
    let max_pause = route.max_pause.unwrap_or(route.timeout);
    least.max(objective * objectives).max(max_pause * pauses)
}
