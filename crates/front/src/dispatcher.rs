//! Holds all requests of a daemon and decides about them.

mod paths;
mod preview;
mod schedule;
mod step;
mod sync;

pub use preview::{CandidatePreview, PreviewError, PreviewQuery, PreviewVerdict, RequestPreview};

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{Name, ResultCode, SortedMap, TargetName, TeamName, Time};
use fleet::{
    FleetLayout, LayoutVersion, ModelRef, TargetDeparture, TargetLoad, TargetPhase, TeamEntry,
};

use limit::{ColdNotice, LimitNotice, PERMIT_VALIDITY};
use origin::StreamOrigin;
use suspect::{
    CrashId, CrashLedger, CrashVerdict, PartId, RequestDigest, SuspectRequest, UnixMillis,
};

use crate::budget::{ShareEvent, TeamBudget};
use crate::choice::TargetChooser;
use crate::demand::DemandTable;
use crate::path::ServicePaths;
use crate::record::PromptChain;
use crate::request::{
    Arrival, AttemptEnd, FetchEnd, OpenRequest, PermitEnd, PrefillState, Refusal, RequestStage,
    Step, VersionScope,
};
use crate::retry::RetryBudget;
use crate::targets::{AnswerProgress, TargetTable};
use crate::DispatcherConfig;

/// Minimum pause between two reports, so that several needs share one report.
const SYNC_PAUSE: Duration = Duration::from_millis(8);
/// Minimum pause before an adapter is requested again for a target that could not load it.
const FETCH_PAUSE: Duration = Duration::from_millis(30);
/// Maximum number of connections that may fail for one request.
const MAX_UNSENT: u32 = 4;
/// Retry hint of a refusal whose cause gives no better estimate.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// How long clients wait for a stream to begin: the longest of a fixed time, this many times the
/// objective, and this many times the longest pause.
const FIRST_PATIENCE: (Duration, u32, u32) = (Duration::from_millis(1_950), 4, 8);
/// Jitter of a target's pause. Each daemon extends the pause by a random part of this fraction, so
/// that they don't all return at once.
const PAUSE_JITTER: f64 = 0.25;
/// A request whose first event arrived at most this long before its target crashed may be the one that
/// crashed it.
const BEGUN_SPAN: Duration = Duration::from_millis(50);
/// How much longer than its route's time-out a client may take up a stream.
const TAKE_UP_SLACK: Duration = Duration::from_secs(5);
/// Weight of a team's priority relative to that of a route.
const TEAM_WEIGHT: u8 = 3;

/// What to do after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Call [`RequestDispatcher::step`] again.
    Retry,
    /// Pass the target's own answer to the caller.
    PassOn,
    /// Give the caller this final answer.
    Final(Refusal),
}

/// Counters of a [`RequestDispatcher`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatchCounts {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests sent to targets, each attempt counted.
    pub sends: u64,
    /// Attempts beyond the first of a request.
    pub repeats: u64,
    /// Requests sent to targets that had named a limit.
    pub limited_sends: u64,
    /// Requests sent to cold targets.
    pub cold_sends: u64,
    /// Requests that waited for a model to be loaded.
    pub load_waits: u64,
    /// Times that a request was made to wait for prefill time on an engine.
    pub prefill_waits: u64,
}

/// Decides about all requests of a daemon.
#[derive(Clone, Debug)]
pub struct RequestDispatcher {
    config: DispatcherConfig,
    layout: Option<Arc<FleetLayout>>,
    targets: TargetTable,
    chooser: TargetChooser,
    retry_budgets: SortedMap<Name, RetryBudget>,
    budgets: SortedMap<TeamName, TeamBudget>,
    demand_table: DemandTable,
    requests: SortedMap<u64, OpenRequest>,
    counts: DispatchCounts,
    last_request: u64,
    incarnation: u64,
    daemons: u32,
    leader_heard_at: Time,
    fence: u64,
    sync_number: u64,
    acknowledged: u64,
    synced_at: Time,
    /// Targets that announced their departure to this daemon, with the number of the first report
    /// that included it. Each is kept until a leader has answered that report.
    leaving: Vec<(TargetDeparture, Option<u64>)>,
    /// Targets whose limits the leader should learn, likewise.
    changed_limits: Vec<(TargetName, Option<u64>)>,
    /// Targets that have become cold, likewise.
    changed_cold: Vec<(TargetName, Option<u64>)>,
    ledger: CrashLedger,
    paths: ServicePaths,
    /// The leader isn't asked for prefill time before this time, because it didn't answer.
    prefill_from: Time,
}

impl RequestDispatcher {
    /// Creates a dispatcher without a layout and without targets.
    pub fn new(now: Time, config: DispatcherConfig) -> RequestDispatcher {
        RequestDispatcher {
            chooser: TargetChooser::new(config.domain.clone(), config.seed),
            incarnation: config.seed,
            layout: None,
            targets: TargetTable::new(config.seed),
            retry_budgets: SortedMap::default(),
            budgets: SortedMap::default(),
            demand_table: DemandTable::default(),
            requests: SortedMap::default(),
            counts: DispatchCounts::default(),
            last_request: 0,
            daemons: 1,
            leader_heard_at: now,
            fence: 0,
            sync_number: 0,
            acknowledged: 0,
            synced_at: now,
            ledger: CrashLedger::new(config.host.clone(), config.seed),
            paths: ServicePaths::default(),
            config,
            prefill_from: now,
            leaving: Vec::new(),
            changed_limits: Vec::new(),
            changed_cold: Vec::new(),
        }
    }

    /// Records a target's own announcement that it leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, now: Time, target: &TargetName) -> bool {
        let departure = self.targets.record_announcement(now, target);
        let is_new = departure.is_some();
        self.leaving.extend(departure.map(|departure| (departure, None)));
        is_new
    }

    /// Records what an answer says about its target's limit; see [`TargetTable::record_limit`].
    pub fn record_limit(
        &mut self,
        now: Time,
        target: &TargetName,
        sent_at: Time,
        notice: LimitNotice,
        is_complete: bool,
    ) {
        if self.targets.record_limit(now, target, sent_at, notice, is_complete) {
            self.changed_limits.retain(|(changed, _)| changed != target);
            self.changed_limits.push((target.clone(), None));
        }
    }

    /// Records what an answer says about how long its target stays cold; see
    /// [`TargetTable::record_cold`]. Returns whether the target has become cold, so that the leader
    /// should learn it.
    pub fn record_cold(
        &mut self,
        now: Time,
        target: &TargetName,
        sent_at: Time,
        notice: ColdNotice,
    ) -> bool {
        let is_new = self.targets.record_cold(now, target, sent_at, notice);
        if is_new {
            self.changed_cold.retain(|(changed, _)| changed != target);
            self.changed_cold.push((target.clone(), None));
        }
        is_new
    }

    /// Pauses a target that asked this daemon for it. Returns when the pause ends.
    pub fn pause_target(&mut self, now: Time, target: &TargetName, span: Duration) -> Time {
        let until = now + span + span.mul_f64(PAUSE_JITTER * self.chooser.random_fraction());
        self.targets.pause(target, until);
        until
    }

    /// Returns how long all targets that could serve a request are paused or limited; `None` when
    /// another one takes requests, or when none is.
    fn return_wait(
        &self,
        now: Time,
        service: &Name,
        subject: Option<&ModelRef>,
    ) -> Option<Duration> {
        let mut ready = self.targets.of_service(now, service);
        let has_ready = ready.any(|state| {
            subject.is_none_or(|subject| state.holds(now, subject))
                && !self.targets.needs_permit(now, &state.entry.name)
        });
        let end = self.targets.return_time(now, service, subject).filter(|_| !has_ready);
        end.map(|end| end.since(now))
    }

    /// Applies a layout, unless it is older than the present one. Returns whether it was applied.
    pub fn apply_layout(&mut self, now: Time, layout: Arc<FleetLayout>) -> bool {
        if self.layout.as_ref().is_some_and(|known| known.version() >= layout.version()) {
            return false;
        }
        let allowance_of = |name: &TeamName| layout.team(name).and_then(|team| team.allowance);
        self.budgets.retain(|name, _| allowance_of(name).is_some());
        for team in layout.teams() {
            let Some(allowance) = team.allowance else { continue };
            let budget = self.budgets.entry(team.name.clone(), || TeamBudget::new(now, allowance));
            budget.set_allowance(allowance);
        }
        self.targets.set_cold_specs(&layout);
        self.layout = Some(layout);
        true
    }

    /// Returns the layout in force.
    pub fn layout(&self) -> Option<&Arc<FleetLayout>> {
        self.layout.as_ref()
    }

    /// Returns the version of the layout in force, or 0 without one.
    pub fn version(&self) -> LayoutVersion {
        self.layout.as_ref().map_or(LayoutVersion(0), |layout| layout.version())
    }

    /// Returns the targets.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Returns the targets mutably.
    pub fn targets_mut(&mut self) -> &mut TargetTable {
        &mut self.targets
    }

    /// Returns how long targets that are missing from the first list after an outage count as
    /// present.
    pub fn return_grace(&self) -> Duration {
        self.config.return_grace
    }

    /// Returns the counters.
    pub fn counts(&self) -> DispatchCounts {
        self.counts
    }

    /// Refuses a waiting request because the daemon stops before the request could be served.
    pub fn withdraw(&mut self, now: Time, id: u64) -> Refusal {
        let refusal = match self.requests.get(&id) {
            Some(request) => request.to_refusal(ResultCode::NotReady, SYNC_PAUSE, "stopping"),
            None => Refusal::new(ResultCode::OutcomeUnknown, "no such request"),
        };
        self.close(now, id, true);
        refusal
    }

    /// Returns the estimated time that engines need for the prompts which this daemon has sent and they
    /// haven't begun to answer, summed over all engines.
    pub fn pending_prefill(&self, now: Time) -> Duration {
        self.targets.pending_work(now, |service| self.has_engines(service))
    }

    /// Returns the number of open requests.
    pub fn open_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the events in teams' spending without the leader since the last call, and clears them.
    pub fn take_share_events(&mut self) -> Vec<(TeamName, ShareEvent)> {
        let budgets = self.budgets.iter_mut();
        let events = budgets.flat_map(|(team, budget)| {
            budget.take_events().into_iter().map(|event| (team.clone(), event))
        });
        events.collect()
    }

    /// Returns what was spent of all allowances without the leader since the daemon's start.
    pub fn leaderless_spent(&self) -> f64 {
        self.budgets.values().map(TeamBudget::leaderless_spent).sum()
    }

    /// Sets the number of daemons, as the store lists them.
    pub fn set_daemon_count(&mut self, daemons: u32) {
        self.daemons = daemons.max(1);
        self.chooser.daemons = self.daemons;
    }

    /// Returns the fencing token of the last leader that was heard, and when it was heard.
    pub fn last_leader(&self) -> (u64, Time) {
        (self.fence, self.leader_heard_at)
    }

    /// Admits a request or refuses it at once. Returns the number that identifies it from then on.
    ///
    /// # Errors
    ///
    /// Returns the final answer when the request is not allowed or no layout is known yet.
    pub fn admit(&mut self, now: Time, arrival: &Arrival) -> Result<u64, Refusal> {
        let layout = self
            .layout
            .clone()
            .ok_or_else(|| Refusal::new(ResultCode::NotReady, "no layout").after(RETRY_AFTER))?;
        let team = arrival.key.as_ref().and_then(|key| layout.team_of(key));
        self.admit_for(now, arrival, &layout, team)
    }

    /// Admits a request of the given team, or an anonymous one, or refuses it at once.
    fn admit_for(
        &mut self,
        now: Time,
        arrival: &Arrival,
        layout: &FleetLayout,
        team: Option<&TeamEntry>,
    ) -> Result<u64, Refusal> {
        let route = layout
            .route(&arrival.host, &arrival.path)
            .ok_or_else(|| Refusal::new(ResultCode::NotFound, "no route"))?;
        if team.is_none() && layout.has_teams() && !route.allows_anonymous {
            return Err(Refusal::new(ResultCode::KeyRejected, "unknown key"));
        }
        let origin = arrival.origin.as_ref().filter(|_| route.kind.is_resumable());
        let service = match origin {
            None => route.choose_service(arrival.draw),
            Some(origin) => {
                let mut services = route.services.iter().map(|entry| &entry.service);
                let service = services.find(|service| **service == origin.service);
                Some(service.ok_or_else(|| {
                    Refusal::new(ResultCode::StreamUnavailable, "stream of another service")
                })?)
            }
        };
        let service = service.ok_or_else(|| Refusal::new(ResultCode::NotFound, "no service"))?;
        let suspect = SuspectRequest::new(
            team.map(|team| team.name.clone()),
            RequestDigest::new(&arrival.content, team.map(|team| &team.name)),
            arrival.parts.iter().map(|part| PartId(part.id)),
        );
        if let Some(verdict) = self.ledger.condemns(now, &suspect) {
            let (code, reason) = condemned_code(verdict);
            return Err(Refusal::new(code, reason));
        }
        let tokens = arrival.tokens.map(|(prompt, output)| prompt.0 + output.0);
        let cost = team.and_then(|team| team.allowance).map_or(0.0, |allowance| {
            match tokens.filter(|_| allowance.in_tokens) {
                Some(tokens) => tokens as f64,
                None if allowance.in_tokens => allowance.default_cost,
                None => 1.0,
            }
        });
        let max_wait = arrival.time_left.unwrap_or(route.timeout).min(route.timeout);
        let prompt = arrival.tokens.map_or(0, |(prompt, _)| prompt.0);
        let chain = match &arrival.model {
            Some(model) => PromptChain::new(model, &arrival.parts, prompt),
            None => PromptChain::default(),
        };
        let team_priority = team.map_or(0, |team| team.priority);
        let request = OpenRequest {
            service: service.clone(),
            team: team.map(|team| team.name.clone()),
            key: arrival.key.filter(|_| team.is_some()),
            checked_version: layout.version(),
            urgency: team_priority
                .saturating_mul(TEAM_WEIGHT)
                .saturating_add(route.priority)
                .min(9),
            cost,
            is_charged: cost <= 0.0,
            draw: arrival.draw,
            model: arrival.model.clone(),
            chain,
            suspect,
            is_cleared: false,
            admitted_at: now,
            deadline: now + max_wait,
            first_event_by: now + max_wait.min(first_patience(route)),
            tried: Vec::new(),
            sent_version: None,
            versions: origin
                .map_or(VersionScope::Any, |origin| VersionScope::Only(origin.version.clone())),
            sends: 0,
            fetches: 0,
            permit: None,
            permit_asks: 0,
            prefill: PrefillState::default(),
            lost_reservations: 0,
            failed_fetches: Vec::new(),
            may_have_run: false,
            last_end: None,
            stage: RequestStage::Waiting,
            route: route.clone(),
        };
        if let Some(model) = &request.model {
            self.demand_table.record_arrival(&model.model, request.chain.tokens());
        }
        if let Some(budget) = request.team.as_ref().and_then(|team| self.budgets.get_mut(team)) {
            budget.add_arrival(now, cost);
        }
        let config = &self.config;
        let retry_budget = self.retry_budgets.entry(service.clone(), || {
            RetryBudget::new(config.retry_ratio, config.retry_extra, config.retry_window)
        });
        retry_budget.record_request(now);
        self.counts.admitted += 1;
        self.last_request += 1;
        self.requests.insert(self.last_request, request);
        Ok(self.last_request)
    }

    /// Returns the identity of a request that arrives, by the teams of the layout in force.
    pub fn digest_of(&self, arrival: &Arrival) -> RequestDigest {
        let team = self.layout.as_ref().zip(arrival.key.as_ref());
        let team = team.and_then(|(layout, key)| layout.team_of(key));
        RequestDigest::new(&arrival.content, team.map(|team| &team.name))
    }

    /// Returns the service of a request that arrives, if its answer is a stream that clients may take up
    /// and its caller may ask for it.
    pub fn resumable_service(&self, arrival: &Arrival) -> Option<&Name> {
        let layout = self.layout.as_ref()?;
        let route = layout.route(&arrival.host, &arrival.path)?;
        let has_team = arrival.key.as_ref().is_some_and(|key| layout.team_of(key).is_some());
        let is_allowed = has_team || route.allows_anonymous || !layout.has_teams();
        let service = route.choose_service(arrival.draw)?;
        (is_allowed && route.kind.is_resumable()).then_some(service)
    }

    /// Returns where the stream began that a request's client receives, and for how long the client may
    /// take it up; `None` if it can't do so or nothing has arrived.
    pub fn begun_origin(&self, id: u64) -> Option<(StreamOrigin, Duration)> {
        let request = self.requests.get(&id).filter(|request| request.is_resumable())?;
        let VersionScope::Only(version) = &request.versions else { return None };
        let origin = StreamOrigin { service: request.service.clone(), version: version.clone() };
        Some((origin, request.route.timeout + TAKE_UP_SLACK))
    }

    /// Returns the services whose streams clients may take up, each with the longest time from the
    /// beginning of a stream until then.
    pub fn resumable_services(&self) -> SortedMap<Name, Duration> {
        let mut services = SortedMap::default();
        let routes = self.layout.iter().flat_map(|layout| layout.routes());
        for route in routes.filter(|route| route.kind.is_resumable()) {
            for entry in &route.services {
                let lifetime = services.entry(entry.service.clone(), Duration::default);
                *lifetime = (*lifetime).max(route.timeout + TAKE_UP_SLACK);
            }
        }
        services
    }

    /// Returns the route of a request.
    pub fn route_of(&self, id: u64) -> Option<&fleet::RouteEntry> {
        self.requests.get(&id).map(|request| &request.route)
    }

    /// Returns the team of a request, and its cost in units of the team's allowance.
    pub fn charge_of(&self, id: u64) -> Option<(&TeamName, f64)> {
        let request = self.requests.get(&id)?;
        request.team.as_ref().map(|team| (team, request.cost))
    }

    /// Returns the deadline of a request's answer.
    pub fn deadline(&self, id: u64) -> Option<Time> {
        self.requests.get(&id).map(|request| request.deadline)
    }

    /// Returns what to do next with a request. A refusal removes the request.
    pub fn step(&mut self, now: Time, id: u64) -> Step {
        let step = self.decide(now, id);
        if let Step::Refuse(refusal) = step {
            self.close(now, id, refusal.code.status() != ResultCode::OutcomeUnknown.status());
        }
        step
    }

    /// Records the leader's answer to a [`Step::Fetch`].
    pub fn finish_fetch(&mut self, now: Time, id: u64, end: FetchEnd) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let RequestStage::Fetching(target, subject) =
            std::mem::replace(&mut request.stage, RequestStage::Waiting)
        else {
            return;
        };
        request.failed_fetches.retain(|(name, _)| *name != target);
        match end {
            FetchEnd::Ready => self.targets.record_holding(now, &target, &subject, true),
            FetchEnd::Busy(span) => {
                request.failed_fetches.push((target, now + span.max(FETCH_PAUSE)))
            }
            FetchEnd::Failed => request.failed_fetches.push((target, now + RETRY_AFTER)),
        }
    }

    /// Records the leader's answer to a [`Step::Permit`] that was asked for at `asked_at`.
    pub fn finish_permit(&mut self, now: Time, asked_at: Time, id: u64, end: PermitEnd) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let RequestStage::AwaitingPermit(target, purpose) =
            std::mem::replace(&mut request.stage, RequestStage::Waiting)
        else {
            return;
        };
        match end {
            PermitEnd::Issued => {
                self.targets.record_issue(now, &target);
                request.permit = Some((target, asked_at + PERMIT_VALIDITY));
            }
            PermitEnd::Denied(denial) => {
                self.targets.record_denial(now, &target, purpose, denial);
            }
            PermitEnd::Failed => self.targets.record_silence(now, &target),
        }
    }

    /// Returns whether a request whose target has not begun to answer should go to another target.
    pub fn should_reroute(&mut self, now: Time, id: u64) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let RequestStage::Running(target) = &request.stage else { return false };
        let others = self.targets.of_service(now, &request.service).filter(|state| {
            let name = &state.entry.name;
            let holds = request.model.as_ref().is_none_or(|subject| state.holds(now, subject));
            let needs_permit = self.targets.needs_permit(now, name);
            name != target
                && !request.tried.contains(name)
                && !state.is_avoided(now)
                && self.targets.fits_version(state, request)
                && holds
                && !needs_permit
        });
        let daemons = self.daemons;
        others.count() > 0
            && self
                .retry_budgets
                .get_mut(&request.service)
                .is_some_and(|l| l.can_take(now, daemons))
    }

    /// Records that the head of a target's answer has arrived.
    pub fn record_answer_head(&mut self, now: Time, id: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        if let RequestStage::Running(target) = &request.stage {
            self.targets.record_head(now, target, id);
        }
    }

    /// Returns the target that a request runs on, and how far its answer has arrived.
    pub fn running_on(&self, id: u64) -> Option<(&TargetName, AnswerProgress)> {
        match &self.requests.get(&id)?.stage {
            RequestStage::Running(target) => Some((target, self.targets.progress(target, id))),
            _ => None,
        }
    }

    /// Records that a target has begun to answer.
    pub fn record_answer_start(&mut self, now: Time, id: u64, load: Option<TargetLoad>) {
        let Some(request) = self.requests.get(&id) else { return };
        let RequestStage::Running(target) = &request.stage else { return };
        if let Some(load) = load {
            self.targets.set_load(now, target, load);
        }
        if let Some((took, estimate)) = self.targets.record_first_event(now, target, id) {
            // Draws only where the delay matters, so that choices of targets don't depend on it.
            let delay = match self.ledger.is_suspected(&request.suspect) {
                true => CrashLedger::answers_delay(self.daemons, self.chooser.random_fraction()),
                false => Duration::ZERO,
            };
            self.ledger.record_answer(now, &request.suspect, delay);
            match &request.model {
                Some(subject) => self.chooser.learn_factor(&subject.model, took, estimate),
                None => self.chooser.learn_work(&request.service, took),
            }
        }
    }

    /// Records that the first event of a stream is about to be passed on. From then on only targets
    /// with the same software version may continue it.
    pub fn record_stream_start(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            if request.versions == VersionScope::Any {
                request.versions = VersionScope::Only(request.sent_version.clone());
            }
        }
    }

    /// Returns the address of the target that a request runs on, if the request may be the reason when
    /// the target has crashed: its answer has not begun, or only just.
    pub fn suspect_address(&self, now: Time, id: u64) -> Option<SocketAddr> {
        let (target, progress) = self.running_on(id)?;
        let has_begun = match progress {
            AnswerProgress::Events(at) => now.since(at) > BEGUN_SPAN,
            AnswerProgress::Pending | AnswerProgress::Head(_) => false,
        };
        let entry = self.targets.entry(target)?;
        // The end of a leaving target is no crash.
        let is_ready = entry.phase == TargetPhase::Ready;
        (is_ready && !has_begun).then_some(entry.address)
    }

    /// Records that the target crashed which a request runs on, and that the request is suspected.
    /// `time_of_day` is the present time.
    pub fn record_crash(&mut self, now: Time, time_of_day: UnixMillis, id: u64) -> Option<CrashId> {
        let target = self.running_on(id)?.0;
        let born_ms = self.targets.entry(target)?.born_ms;
        let sent_at = time_of_day.before(now.since(self.targets.sent_at(target, id)?));
        let crash = CrashId { target: target.clone(), born_ms };
        let request = self.requests.get_mut(&id)?;
        request.is_cleared = self.ledger.may_resend(now, &crash, &request.suspect);
        let suspect = request.suspect.clone();
        self.ledger.record_crash(now, &crash, time_of_day, suspect, sent_at);
        Some(crash)
    }

    /// Returns the evidence of crashes.
    pub fn ledger(&self) -> &CrashLedger {
        &self.ledger
    }

    /// Returns the evidence of crashes mutably.
    pub fn ledger_mut(&mut self) -> &mut CrashLedger {
        &mut self.ledger
    }

    /// Records how an attempt ended, and returns what to do next.
    pub fn finish_attempt(&mut self, now: Time, id: u64, end: AttemptEnd) -> NextAction {
        let Some(request) = self.requests.get_mut(&id) else { return NextAction::PassOn };
        let RequestStage::Running(target) =
            std::mem::replace(&mut request.stage, RequestStage::Waiting)
        else {
            return NextAction::PassOn;
        };
        self.targets.record_end(now, &target, id, end);
        request.last_end = Some(end);
        if matches!(end, AttemptEnd::NotSent | AttemptEnd::Withheld | AttemptEnd::Replaced) {
            // Nothing reached the chosen target.
            request.tried.retain(|tried| *tried != target);
        }
        if matches!(end, AttemptEnd::NotSent | AttemptEnd::Withheld) {
            request.sends -= 1;
            request.fetches += 1;
        }
        if !end.is_not_run() {
            request.may_have_run = true;
        }
        if end == AttemptEnd::Lacking {
            if let Some(subject) = &request.model {
                self.targets.record_holding(now, &target, subject, false);
            }
        }
        let may_retry = request.route.kind.is_repeatable()
            && request.versions != VersionScope::Only(None)
            && request.has_attempts()
            && (end != AttemptEnd::Crashed || request.is_cleared);
        let should_retry = match end {
            AttemptEnd::Served | AttemptEnd::Abandoned => {
                self.close(now, id, false);
                return NextAction::PassOn;
            }
            AttemptEnd::NotSent | AttemptEnd::Withheld => request.fetches <= MAX_UNSENT,
            AttemptEnd::Replaced | AttemptEnd::Lacking => true,
            AttemptEnd::Full(_) => request.has_attempts(),
            AttemptEnd::Lost
            | AttemptEnd::Silent
            | AttemptEnd::Broken
            | AttemptEnd::Crashed
            | AttemptEnd::Failed => {
                let daemons = self.daemons;
                may_retry
                    && self
                        .retry_budgets
                        .get_mut(&request.service)
                        .is_some_and(|l| l.can_take(now, daemons))
            }
        };
        if should_retry && now < request.deadline {
            return NextAction::Retry;
        }
        if end == AttemptEnd::Failed {
            self.close(now, id, false);
            return NextAction::PassOn;
        }
        let (service, subject) = (request.service.clone(), request.model.clone());
        let wait = self.return_wait(now, &service, subject.as_ref()).unwrap_or(RETRY_AFTER);
        let Some(request) = self.requests.get(&id) else { return NextAction::PassOn };
        let refusal = request.to_refusal(ResultCode::NoCapacity, wait, "attempts used up");
        let not_run = !request.may_have_run;
        self.close(now, id, not_run);
        NextAction::Final(refusal)
    }

    /// Removes a request whose caller has disconnected.
    pub fn abandon(&mut self, now: Time, id: u64) {
        if let Some(RequestStage::Running(target)) = self.requests.get(&id).map(|t| t.stage.clone())
        {
            self.targets.record_end(now, &target, id, AttemptEnd::Abandoned);
        }
        self.close(now, id, false);
    }

    /// Removes a request, and refunds its cost if it certainly did not run.
    fn close(&mut self, now: Time, id: u64, not_run: bool) {
        let Some(request) = self.requests.remove(&id) else { return };
        if let Some(subject) = &request.model {
            self.demand_table.remove_waiting(&request.model_need(&subject.model), id);
        }
        let budget = request.team.as_ref().and_then(|team| self.budgets.get_mut(team));
        if let Some(budget) = budget.filter(|_| request.cost > 0.0) {
            if !request.is_charged {
                budget.cancel(id);
            } else if not_run && !request.may_have_run {
                budget.refund(now, request.cost);
            }
        }
    }
}

/// Returns the code and the reason of a refusal because of a verdict.
fn condemned_code(verdict: &CrashVerdict) -> (ResultCode, &'static str) {
    match verdict.request() {
        Some(_) => (ResultCode::RequestCondemned, "condemned request"),
        None => (ResultCode::PartCondemned, "condemned prompt part"),
    }
}

/// Returns how long a client waits for an answer to begin.
fn first_patience(route: &fleet::RouteEntry) -> Duration {
    if !route.kind.is_stream() {
        return route.timeout;
    }
    let (least, objectives, pauses) = FIRST_PATIENCE;
    let objective = route.objective.unwrap_or(route.timeout);
    let max_pause = route.max_pause.unwrap_or(route.timeout);
    least.max(objective * objectives).max(max_pause * pauses)
}
