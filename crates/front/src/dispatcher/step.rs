//! Decides what to do next with a request.

use std::time::Duration;

use base::{Name, ResultCode, TargetName, Time};
use fleet::{ModelRef, PermitRequest, REPORT_PAUSE};
use limit::PermitUse;

use super::{condemned_code, RequestDispatcher, RETRY_AFTER, SYNC_PAUSE};
use crate::budget::{ChargeResult, RequestCharge};
use crate::choice::Choice;
use crate::request::{
    Dispatch, OpenRequest, PrefillState, Refusal, RequestStage, Step, VersionScope,
};
use crate::targets::TargetAccess;

/// How long a request waits for the leader's first statement on its model.
const ESTIMATE_PATIENCE: Duration = Duration::from_millis(2_500);
/// Maximum number of adapter fetches for one request.
const MAX_FETCHES: u32 = 8;
/// Longest wait for a load. For a load that ends later, the client does better to retry.
const LOAD_PATIENCE: Duration = Duration::from_secs(14);
/// Retry hint for a model that the leader doesn't know yet.
const LOAD_RETRY_AFTER: Duration = Duration::from_millis(3_000);
/// A request waits for allowance to accrue for at most its objective divided by this.
const ACCRUAL_DIVISOR: u32 = 4;
/// Upper limit of that wait: kinds of requests that wait much longer than others are served much
/// more often.
const ACCRUAL_PATIENCE: Duration = Duration::from_millis(400);
/// Minimum patience with a target that has not begun to answer: for plain requests, and for
/// streams.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1_200));
/// Added to the retry hint for a load, so that the load is complete when the request returns.
const LOAD_SLACK: Duration = Duration::from_millis(250);
/// Retry hint while all targets are evacuated, which an operator ends.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Pause before checking again whether a paused target has answered its probe.
const PROBE_PAUSE: Duration = Duration::from_millis(50);
/// Pause before checking again whether streams may begin at the versions that hold a model.
const VERSION_PAUSE: Duration = Duration::from_millis(100);
/// How long a copy of a suspected request may run before the next one is sent, and the pause before
/// looking at it again.
const TRIAL_PATIENCE: Duration = Duration::from_secs(1);
const TRIAL_PAUSE: Duration = Duration::from_millis(25);
/// Silence after which the leader has probably lost its host or its connections.
const LEADER_LOSS: Duration = Duration::from_millis(1_300);

impl RequestDispatcher {
    pub(super) fn decide(&mut self, now: Time, id: u64) -> Step {
        let Some(request) = self.requests.get(&id) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        if now >= request.deadline {
            return Step::Refuse(request.to_refusal(
                ResultCode::DeadlinePassed,
                RETRY_AFTER,
                "deadline",
            ));
        }
        if !self.check_key(id) {
            let Some(request) = self.requests.get(&id) else {
                return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
            };
            let reason = "key withdrawn";
            return Step::Refuse(match request.may_have_run {
                true => request.to_refusal(ResultCode::KeyRejected, RETRY_AFTER, reason),
                false => Refusal::new(ResultCode::KeyRejected, reason),
            });
        }
        let Some(request) = self.requests.get(&id) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        if let Some(verdict) = self.ledger.condemns(now, &request.suspect) {
            let (code, reason) = condemned_code(verdict);
            let refusal = request.to_refusal(code, Duration::ZERO, reason);
            // The request must not come again.
            return Step::Refuse(Refusal { retry_after: None, ..refusal });
        }
        if now >= request.first_event_by && request.sends == 0 {
            let reason = "waited too long";
            return Step::Refuse(request.to_refusal(ResultCode::NoCapacity, RETRY_AFTER, reason));
        }
        if self.targets.is_service_evacuated(&request.service) {
            let reason = "all targets are evacuated";
            return Step::Refuse(request.to_refusal(
                ResultCode::NoCapacity,
                EVACUATED_RETRY_AFTER,
                reason,
            ));
        }
        if let VersionScope::Only(version) = &request.versions {
            let has_version = version
                .as_ref()
                .is_some_and(|version| self.targets.has_version(&request.service, version));
            if !has_version && request.sends == 0 {
                let reason = "no target of the stream's version";
                let refusal =
                    request.to_refusal(ResultCode::StreamUnavailable, Duration::ZERO, reason);
                return Step::Refuse(Refusal { retry_after: None, ..refusal });
            }
        }
        if self.awaits_trial(now, id, request) {
            return Step::Wait((now + TRIAL_PAUSE).min(request.deadline));
        }
        if !request.is_charged {
            if let Some(step) = self.charge_team(now, id) {
                return step;
            }
        }
        let Some(request) = self.requests.get(&id) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        match request.model.clone().filter(|_| self.has_engines(&request.service)) {
            Some(subject) => self.decide_engine(now, id, &subject),
            None => self.decide_plain(now, id),
        }
    }

    /// Returns whether a request that is suspected of a crash should wait for the end of another copy that
    /// runs: if that crashes its target too, the next one shouldn't.
    pub(super) fn awaits_trial(&self, now: Time, id: u64, request: &OpenRequest) -> bool {
        let digest = request.suspect.digest;
        let is_on_trial = |(other, copy): (&u64, &OpenRequest)| match &copy.stage {
            RequestStage::Running(target) if *other != id && copy.suspect.digest == digest => {
                let sent_at = self.targets.sent_at(target, *other);
                sent_at.is_some_and(|at| now.since(at) < TRIAL_PATIENCE)
            }
            _ => false,
        };
        self.ledger.is_suspect(&request.suspect) && self.requests.iter().any(is_on_trial)
    }

    /// Returns whether a request's key still belongs to its team in the layout in force.
    fn check_key(&mut self, id: u64) -> bool {
        let Some((layout, request)) = self.layout.as_ref().zip(self.requests.get_mut(&id)) else {
            return true;
        };
        if request.checked_version == layout.version() {
            return true;
        }
        request.checked_version = layout.version();
        let Some(key) = &request.key else { return true };
        layout.team_of(key).map(|team| &team.name) == request.team.as_ref()
    }

    /// Returns whether a service's targets serve models.
    pub(super) fn has_engines(&self, service: &Name) -> bool {
        let layout = self.layout.as_ref();
        layout.and_then(|layout| layout.service(service)).is_some_and(|s| s.engine.is_some())
    }

    /// Charges the team. Returns the step to take instead if the request can't go on.
    fn charge_team(&mut self, now: Time, id: u64) -> Option<Step> {
        let request = self.requests.get_mut(&id)?;
        let budget = request.team.as_ref().and_then(|team| self.budgets.get_mut(team));
        // A team whose limit was lifted in the meantime is not charged.
        let Some(budget) = budget else {
            request.is_charged = true;
            request.cost = 0.0;
            return None;
        };
        let objective = request.route.objective.unwrap_or(request.route.timeout);
        let patience = (objective / ACCRUAL_DIVISOR).min(ACCRUAL_PATIENCE);
        let charge = RequestCharge { id, cost: request.cost, patience, draw: request.draw };
        match budget.try_charge(now, &charge, self.leader_heard_at, self.daemons) {
            ChargeResult::Charged => {
                request.is_charged = true;
                None
            }
            ChargeResult::Pending => Some(Step::Wait(now + REPORT_PAUSE.0)),
            ChargeResult::Queued(wait) => Some(Step::Wait(now + wait.max(SYNC_PAUSE))),
            ChargeResult::Exhausted(wait) => Some(Step::Refuse(request.to_refusal(
                ResultCode::RateExceeded,
                wait,
                "allowance used up",
            ))),
        }
    }

    fn decide_plain(&mut self, now: Time, id: u64) -> Step {
        self.targets.expire_other_load(now);
        let choice = self.find_choice(now, id, None);
        let Some(request) = self.requests.get(&id) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        let Some((choice, access)) = choice else {
            if let Some(step) = self.return_step(now, request, None) {
                return step;
            }
            return Step::Refuse(request.to_refusal(
                ResultCode::NoCapacity,
                RETRY_AFTER,
                "no target",
            ));
        };
        if now + choice.note.estimate > request.deadline {
            let wait = choice.note.estimate.saturating_sub(choice.work);
            return Step::Refuse(request.to_refusal(
                ResultCode::NoCapacity,
                wait,
                "queue too long",
            ));
        }
        self.use_choice(now, id, choice, access)
    }

    fn decide_engine(&mut self, now: Time, id: u64, subject: &ModelRef) -> Step {
        self.targets.expire_other_load(now);
        if let Some(step) = self.schedule_prefill(now, id, subject) {
            return step;
        }
        if let Some((choice, access)) = self.find_choice(now, id, Some(subject)) {
            if let Some(request) = self.requests.get(&id) {
                self.demand_table.remove_waiting(&request.model_need(&subject.model), id);
            }
            if choice.lacks_adapter && !access.needs_permit() {
                return self.fetch(id, choice.target, subject);
            }
            return self.use_choice(now, id, choice, access);
        }
        let Some(request) = self.requests.get(&id) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        if let Some(step) = self.return_step(now, request, Some(subject)) {
            return step;
        }
        if let Some(retry_at) = request.failed_fetches.iter().map(|(_, until)| *until).min() {
            let work = self.chooser.reading_time(&subject.model, request.chain.tokens());
            let retry_at = retry_at.max(now + self.leader_wait(now));
            if retry_at > now && retry_at + work < request.first_event_by {
                return Step::Wait(retry_at);
            }
            let reason = "adapter not to be had";
            let wait = retry_at.since(now).max(RETRY_AFTER);
            return Step::Refuse(request.to_refusal(ResultCode::NoCapacity, wait, reason));
        }
        if !request.tried.is_empty() {
            let reason = "no other target";
            return Step::Refuse(request.to_refusal(ResultCode::NoCapacity, RETRY_AFTER, reason));
        }
        if let Some(step) = self.version_step(now, request, subject) {
            return step;
        }
        let need = request.model_need(&subject.model);
        if self.demand_table.waiting_since(&need, id).is_none() {
            self.counts.load_waits += 1;
        }
        self.demand_table.add_waiting(now, &need, id, request.urgency);
        let work = self.chooser.reading_time(&subject.model, request.chain.tokens());
        match self.demand_table.load_estimate(now, &need) {
            Some(Some(ready)) if ready > LOAD_PATIENCE => {
                let reason = "no load in sight";
                Step::Refuse(request.to_refusal(ResultCode::NoCapacity, ready, reason))
            }
            Some(Some(ready)) if now + ready + work > request.first_event_by => {
                let wait = ready + LOAD_SLACK;
                Step::Refuse(request.to_refusal(ResultCode::NoCapacity, wait, "load too late"))
            }
            Some(Some(ready)) => Step::Wait((now + ready).min(request.first_event_by)),
            Some(None) => {
                let reason = "no such model";
                Step::Refuse(request.to_refusal(ResultCode::NoCapacity, LOAD_RETRY_AFTER, reason))
            }
            None => {
                let since = self.demand_table.waiting_since(&need, id).unwrap_or(now);
                let gap = self.leader_wait(now);
                if now + gap + work > request.first_event_by {
                    let reason = "no leader in time";
                    return Step::Refuse(request.to_refusal(ResultCode::NoCapacity, gap, reason));
                }
                if now.since(since) >= ESTIMATE_PATIENCE {
                    let reason = "no word of the leader";
                    return Step::Refuse(request.to_refusal(
                        ResultCode::NoCapacity,
                        RETRY_AFTER,
                        reason,
                    ));
                }
                Step::Wait((since + ESTIMATE_PATIENCE).min(request.first_event_by))
            }
        }
    }

    /// Returns the step for a new stream whose model only targets hold at whose software versions streams
    /// can't begin yet, so that the leader loads it nowhere else.
    fn version_step(&self, now: Time, request: &OpenRequest, subject: &ModelRef) -> Option<Step> {
        if request.versions != VersionScope::Any {
            return None;
        }
        let base = ModelRef { model: subject.model.clone(), adapter: None };
        let mut holders = self
            .targets
            .of_service(now, &request.service)
            .filter(|state| state.holds(now, &base))
            .peekable();
        holders.peek()?;
        if holders.any(|state| self.targets.fits_version(state, request)) {
            return None;
        }
        // Streams may soon begin at the other versions.
        Some(Step::Wait((now + VERSION_PAUSE).min(request.first_event_by)))
    }

    /// Chooses a target, and how the request may use it. Targets without a limit that aren't cold come
    /// first.
    fn find_choice(
        &mut self,
        now: Time,
        id: u64,
        subject: Option<&ModelRef>,
    ) -> Option<(Choice, TargetAccess)> {
        let request = self.requests.get(&id)?;
        let has_limits = self.targets.has_permits(now);
        let may_ask = has_limits && self.leader_wait(now).is_zero();
        let may_probe = may_ask && request.permit_asks == 0 && request.sends == 0;
        let accesses = [
            (TargetAccess::Permitted, has_limits && request.permit.is_some()),
            (TargetAccess::Probe(self.daemons), may_probe),
            (TargetAccess::Unlimited, true),
            (TargetAccess::Limited, may_ask),
        ];
        let mut late = None;
        for (access, is_possible) in accesses {
            let choice = match subject {
                _ if !is_possible => None,
                Some(subject) => {
                    self.chooser.choose_engine(now, request, subject, &self.targets, access)
                }
                None => self.chooser.choose_plain(now, request, &self.targets, access),
            };
            let Some(choice) = choice else { continue };
            // A limited or cold target may be faster than one with a long queue.
            let objective = request.route.objective.unwrap_or(request.route.timeout);
            if !may_ask || access == TargetAccess::Permitted || choice.note.estimate <= objective {
                return Some((choice, access));
            }
            if !matches!(access, TargetAccess::Probe(_)) {
                late = late.or(Some((choice, access)));
            }
        }
        late
    }

    /// Sends a request to its target, or asks for a permit first.
    fn use_choice(&mut self, now: Time, id: u64, choice: Choice, access: TargetAccess) -> Step {
        if !access.needs_permit() {
            return self.send(now, id, choice);
        }
        let statements = self.targets.permit_statements(now, &choice.target);
        let Some((request, (statement, cold))) = self.requests.get_mut(&id).zip(statements) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        request.permit_asks += 1;
        let purpose = match access {
            TargetAccess::Probe(_) => PermitUse::Probe,
            _ => PermitUse::Request,
        };
        self.targets.record_ask(now, &choice.target, purpose);
        request.stage = RequestStage::AwaitingPermit(choice.target, purpose);
        Step::Permit(Box::new(PermitRequest { statement, purpose, cold }))
    }

    /// Returns the step for a request whose targets are all paused or limited: a refusal with a
    /// retry hint, or a wait for the answer to a probe.
    fn return_step(
        &self,
        now: Time,
        request: &OpenRequest,
        subject: Option<&ModelRef>,
    ) -> Option<Step> {
        let leader_wait = self.leader_wait(now);
        let other_wait = self.return_wait(now, &request.service, subject);
        if let Some(cold_wait) = self.targets.cold_wait(now, request, subject, leader_wait) {
            let other_wait = other_wait.map_or(cold_wait, |wait| wait.max(PROBE_PAUSE));
            let wait = cold_wait.min(other_wait).max(SYNC_PAUSE);
            let work = match subject {
                Some(s) => self.chooser.reading_time(&s.model, request.chain.tokens()),
                None => self.chooser.plain_work(&request.service),
            };
            if now + wait + work < request.first_event_by {
                return Some(Step::Wait(now + wait));
            }
            let reason = "targets are cold";
            return Some(Step::Refuse(request.to_refusal(ResultCode::NoCapacity, wait, reason)));
        }
        let wait = other_wait?;
        if wait.is_zero() && request.tried.is_empty() {
            return Some(Step::Wait((now + PROBE_PAUSE).min(request.first_event_by)));
        }
        let wait = wait.max(leader_wait).max(SYNC_PAUSE);
        let refusal =
            request.to_refusal(ResultCode::NoCapacity, wait, "targets are paused or limited");
        Some(Step::Refuse(refusal))
    }

    /// Returns how long it may take until a leader gives orders again, or zero while one is heard.
    pub(super) fn leader_wait(&self, now: Time) -> Duration {
        let silence = now.since(self.leader_heard_at);
        if silence < LEADER_LOSS {
            return Duration::ZERO;
        }
        self.config.leader_gap.saturating_sub(silence).max(RETRY_AFTER)
    }

    fn fetch(&mut self, id: u64, target: TargetName, subject: &ModelRef) -> Step {
        let Some(request) = self.requests.get_mut(&id) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        if request.fetches >= MAX_FETCHES {
            let reason = "adapter not to be had";
            return Step::Refuse(request.to_refusal(ResultCode::NoCapacity, RETRY_AFTER, reason));
        }
        request.fetches += 1;
        request.stage = RequestStage::Fetching(target.clone(), subject.clone());
        Step::Fetch(target, subject.clone())
    }

    fn send(&mut self, now: Time, id: u64, choice: Choice) -> Step {
        let Some(request) = self.requests.get_mut(&id) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        let Some(entry) = self.targets.entry(&choice.target) else {
            return Step::Refuse(request.to_refusal(
                ResultCode::NoCapacity,
                RETRY_AFTER,
                "no target",
            ));
        };
        let address = entry.address;
        request.sent_version = entry.version.clone();
        if request.sends > 0 {
            let retry_budget = self.retry_budgets.get_mut(&request.service);
            if !retry_budget.is_some_and(|retry_budget| retry_budget.take(now, self.daemons)) {
                let reason = "retry budget used up";
                return Step::Refuse(request.to_refusal(
                    ResultCode::NoCapacity,
                    RETRY_AFTER,
                    reason,
                ));
            }
            self.counts.repeats += 1;
        }
        self.counts.sends += 1;
        self.counts.cold_sends += u64::from(self.targets.is_cold(now, &choice.target));
        self.counts.limited_sends += u64::from(self.targets.limit(&choice.target).is_some());
        request.sends += 1;
        if !request.tried.contains(&choice.target) {
            request.tried.push(choice.target.clone());
        }
        request.stage = RequestStage::Running(choice.target.clone());
        request.prefill = PrefillState::default();
        let permit = request.permit.take().filter(|(target, _)| *target == choice.target);
        let estimate = choice.note.estimate;
        self.targets.record_start(now, &choice.target, id, (choice.work, estimate));
        if let Some(state) = self.targets.state_mut(&choice.target) {
            state.record.record_prompt(now, &request.chain);
        }
        if let Some(subject) = &request.model {
            self.demand_table.record_use(&choice.target, subject);
        }
        let repeatable = request.route.kind.is_repeatable();
        let floor = if request.route.kind.is_stream() { PATIENCE.1 } else { PATIENCE.0 };
        let reroute_at = (repeatable && request.has_attempts()).then(|| {
            let half = request.deadline.since(now) / 2;
            now + (estimate * 3).max(floor).min(half)
        });
        Step::Send(Box::new(Dispatch {
            target: choice.target,
            address,
            team: request.team.clone(),
            time_left: request.deadline.since(now),
            urgency: request.model.is_some().then_some(request.urgency),
            repeatable,
            reroute_at,
            send_by: permit.map(|(_, end)| end),
            version: request.sent_version.clone(),
            note: choice.note,
        }))
    }
}
