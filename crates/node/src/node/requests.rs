//! The life of requests.

use std::time::Duration;

use base::{ModelName, RequestId, ResultCode, SortedMap, TeamName, Time, TokenCount};
use config::{Snapshot, TargetKind};
use place::ModelDemand;
use route::{Attempt, AttemptEnd, QueueEntry, TargetCandidate};

use super::Node;
use crate::request::{ClaimState, RequestState, Stage, TraceStep};
use crate::token::{TokenVerdict, TokenWait, Tokens};
use crate::{Action, DispatchOrder, NewRequest, Refusal, RequestEnd, RequestGoal};

/// Pause before a request that was declined goes out again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Most transmissions of one request.
const MAX_ATTEMPTS: u32 = 8;
/// Most transmissions of one request after which it may have run, but for the last.
const MAX_LOST: u32 = 2;
/// When to come back after a refusal whose cause gives no better estimate.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether a target can take a request now.
enum Choice {
    Target(base::TargetName),
    NoReplica,
    NoSlot,
    Impossible,
}

impl Node {
    pub(super) fn arrived(&mut self, now: Time, spec: NewRequest) {
        self.stats.arrived += 1;
        self.retries.deposit();
        match self.admit(now, &spec) {
            Err(code) => {
                self.traces.start(now, &spec, None);
                self.refuse(now, spec.id, code, None);
            }
            Ok(team) => self.accept(now, spec, team),
        }
    }

    /// Returns the team for which a request may run.
    fn admit(&self, now: Time, spec: &NewRequest) -> Result<Option<TeamName>, ResultCode> {
        if !self.takes_requests() {
            return Err(ResultCode::NotReady);
        }
        if self.queue.len() >= self.config.max_waiting {
            return Err(ResultCode::QueueFull);
        }
        let team = authorize(self.sync.snapshot(), spec)?;
        if team.is_some() && self.are_keys_stale(now) {
            return Err(ResultCode::KeysStale);
        }
        if now >= spec.deadline {
            return Err(ResultCode::DeadlinePassed);
        }
        let object = team.as_ref().and_then(|team| self.sync.snapshot().team(team));
        if object.is_some_and(|team| !Tokens::can_ever_cover(team, spec.cost)) {
            return Err(ResultCode::CostTooLarge);
        }
        Ok(team)
    }

    /// Returns whether the configuration may have changed too long ago without this host
    /// learning of it.
    pub(super) fn are_keys_stale(&self, now: Time) -> bool {
        self.sync.fresh_at().is_none_or(|at| now.since(at) > self.config.key_grace)
    }

    fn accept(&mut self, now: Time, spec: NewRequest, team: Option<TeamName>) {
        self.traces.start(now, &spec, team.clone());
        let (id, cost, deadline) = (spec.id, spec.cost, spec.deadline);
        let state = RequestState {
            spec,
            team: team.clone(),
            arrived: now,
            stage: Stage::Tokens,
            charged: false,
            claim: ClaimState::Open,
            attempts: 0,
            lost: 0,
            passed_over: None,
            retry_at: now,
        };
        self.requests.insert(id, state);
        let wait = TokenWait { request: id, cost, deadline };
        match team {
            Some(team) if cost > TokenCount::ZERO => {
                if self.tokens.charge(now, &team, wait) {
                    self.charged(now, id);
                } else {
                    self.traces.add(now, id, TraceStep::WaitsForTokens);
                }
            }
            _ => self.enqueue(id),
        }
    }

    fn charged(&mut self, now: Time, id: RequestId) {
        self.traces.add(now, id, TraceStep::Charged);
        if let Some(request) = self.requests.get_mut(&id) {
            request.charged = true;
            self.enqueue(id);
        }
    }

    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queue;
        self.queue.push(QueueEntry {
            request: id,
            team: request.team.clone(),
            arrived: request.arrived,
            priority: request.spec.priority,
        });
    }

    /// Moves requests on: charges them, sends them to targets, and asks for replicas.
    pub(super) fn pump(&mut self, now: Time) {
        let seats = self.members.others(now);
        let peers: Vec<_> = seats
            .into_iter()
            .map(|seat| seat.address)
            .filter(|address| self.members.is_responsive(now, address))
            .collect();
        let mut messages = Vec::new();
        for verdict in self.tokens.pump(now, &peers, &mut messages) {
            match verdict {
                TokenVerdict::Charged(id) => self.charged(now, id),
                TokenVerdict::Refused(id, after) => {
                    self.refuse(now, id, ResultCode::RateExceeded, Some(after));
                }
            }
        }
        for (address, message) in messages {
            self.send(&address, message);
        }
        self.send_waiting(now);
    }

    fn send_waiting(&mut self, now: Time) {
        if self.queue.is_empty() {
            self.wants = SortedMap::default();
            return;
        }
        let mut wanted: SortedMap<ModelName, ModelDemand> = SortedMap::default();
        for id in self.queue.order(now) {
            let Some(request) = self.requests.get(&id) else { continue };
            if now < request.retry_at {
                continue;
            }
            match self.choose(now, id) {
                Choice::Target(target) => self.claim_or_send(now, id, target),
                Choice::NoReplica => {
                    self.traces.add(now, id, TraceStep::WaitsForReplica);
                    self.add_want(now, id, false, &mut wanted);
                }
                Choice::NoSlot => {
                    self.traces.add(now, id, TraceStep::WaitsForSlot);
                    self.add_want(now, id, true, &mut wanted);
                }
                Choice::Impossible => {
                    let after = Some(DEFAULT_RETRY_AFTER);
                    self.refuse(now, id, ResultCode::NoCapacity, after);
                }
            }
        }
        self.send_wants(now, wanted);
    }

    fn choose(&mut self, now: Time, id: RequestId) -> Choice {
        let Some(request) = self.requests.get(&id) else { return Choice::Impossible };
        let snapshot = self.sync.snapshot().clone();
        let own_domain = &self.config.domain;
        let leaving = self.members.leaving();
        let passed_over = request.passed_over.as_ref().filter(|(_, until)| now < *until);
        let usable = |target: &&config::TargetObject| {
            leaving.binary_search(&target.name).is_err()
                && passed_over.is_none_or(|(other, _)| *other != target.name)
        };
        let to_choice = |target: &config::TargetObject| TargetCandidate {
            target: target.name.clone(),
            slots: target.slots,
            is_local: target.domain == *own_domain,
        };
        let choices: Vec<TargetCandidate> = match &request.spec.goal {
            RequestGoal::Route(name) => {
                let Some(route) = snapshot.route(name) else { return Choice::Impossible };
                let targets = snapshot.targets().filter(|target| {
                    target.kind == TargetKind::Service && route.targets.matches(&target.labels)
                });
                let targets: Vec<_> = targets.collect();
                if targets.is_empty() {
                    return Choice::Impossible;
                }
                targets.into_iter().filter(usable).map(to_choice).collect()
            }
            RequestGoal::Model(model) => {
                let ready = self.views.replicas(model).iter().filter(|(_, ready)| *ready);
                let targets = ready.filter_map(|(target, _)| snapshot.target(target));
                let choices: Vec<_> = targets.filter(usable).map(to_choice).collect();
                if choices.is_empty() {
                    return match can_ever_run(&snapshot, model) {
                        true => Choice::NoReplica,
                        false => Choice::Impossible,
                    };
                }
                choices
            }
        };
        match self.loads.choose(now, &choices) {
            Some(target) => Choice::Target(target),
            None => Choice::NoSlot,
        }
    }

    pub(super) fn dispatch(&mut self, now: Time, id: RequestId, target: base::TargetName) {
        let snapshot = self.sync.snapshot().clone();
        let Some(object) = snapshot.target(&target) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempts += 1;
        if request.attempts > 1 {
            self.stats.retries += 1;
        }
        let attempt = Attempt::plan(target.clone(), request.spec.idempotent);
        request.stage = Stage::Running(attempt.transmit());
        let (team, cost) = (request.team.clone(), request.spec.cost);
        self.queue.remove(id);
        let weight = self.team_weight(&team);
        self.queue.record_dispatch(&team, cost, weight);
        self.loads.record_start(&target);
        self.traces.add(now, id, TraceStep::Sent(target.clone()));
        let order = DispatchOrder { request: id, target, address: object.address.clone() };
        self.out.actions.push(Action::Dispatch(order));
    }

    pub(super) fn ended(&mut self, now: Time, id: RequestId, end: RequestEnd) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let gone = matches!(end, RequestEnd::Cancelled(_) | RequestEnd::CallerGone(_));
        if !matches!(request.stage, Stage::Running(_)) {
            // The gate ended the exchange while this node was about to repeat it.
            if gone {
                self.abandoned(now, id);
            }
            return;
        }
        let Stage::Running(attempt) = std::mem::replace(&mut request.stage, Stage::Queue) else {
            return;
        };
        let target = attempt.target().clone();
        self.loads.record_end(&target);
        match end {
            RequestEnd::Served(used) => self.finish(now, id, ResultCode::Served, used),
            RequestEnd::Broken(used) => self.finish(now, id, ResultCode::BrokenAnswer, used),
            RequestEnd::CallerGone(used) => self.finish(now, id, ResultCode::CallerGone, used),
            RequestEnd::Cancelled(used) => self.finish(now, id, ResultCode::StreamWithdrawn, used),
            RequestEnd::TimedOut => {
                // What it used is unknown, so the whole charge stands.
                let cost = request.spec.cost;
                self.answer(id, ResultCode::TargetTimeout, None);
                self.finish(now, id, ResultCode::TargetTimeout, cost);
            }
            RequestEnd::NotSent => {
                self.loads.record_failure(now, &target);
                self.retry(now, id, &target, attempt.end_not_run());
            }
            RequestEnd::Declined => self.retry(now, id, &target, attempt.end_not_run()),
            RequestEnd::Lost => {
                self.loads.record_failure(now, &target);
                self.retry(now, id, &target, attempt.end_lost());
            }
        }
    }

    fn retry(&mut self, now: Time, id: RequestId, target: &base::TargetName, end: AttemptEnd) {
        let step = match end {
            AttemptEnd::NotRun => TraceStep::NotRun(target.clone()),
            _ => TraceStep::Lost(target.clone()),
        };
        self.traces.add(now, id, step);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let late = now >= request.spec.deadline || request.attempts >= MAX_ATTEMPTS;
        let allowed = match end {
            AttemptEnd::NotRun => !late,
            AttemptEnd::Repeatable => {
                request.lost += 1;
                !late && request.lost <= MAX_LOST && self.retries.withdraw(now)
            }
            AttemptEnd::Unknown => {
                request.lost += 1;
                false
            }
        };
        if allowed {
            // The first retry goes out at once if another target can take it; a target that is
            // alone is asked again after the pause.
            request.passed_over = Some((target.clone(), now + RETRY_PAUSE));
            request.retry_at = if request.attempts > 1 { now + RETRY_PAUSE } else { now };
            self.enqueue(id);
        } else {
            let after = Some(DEFAULT_RETRY_AFTER);
            self.refuse(now, id, ResultCode::TargetUnreachable, after);
        }
    }

    pub(super) fn abandoned(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if matches!(request.stage, Stage::Running(_)) {
            return;
        }
        let used = if request.lost > 0 { request.spec.cost } else { TokenCount::ZERO };
        if request.lost == 0 {
            self.release_claim(id);
        }
        self.finish(now, id, ResultCode::CallerGone, used);
    }

    /// Gives a request its final answer: `code`, or that its outcome is unknown when an earlier
    /// transmission of it may have run.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        id: RequestId,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) {
        let lost = self.requests.get(&id).filter(|request| request.lost > 0);
        if let Some(cost) = lost.map(|request| request.spec.cost) {
            // What it used is unknown, so the whole charge stands, as does the claim.
            self.answer(id, ResultCode::OutcomeUnknown, None);
            self.finish(now, id, ResultCode::OutcomeUnknown, cost);
            return;
        }
        self.answer(id, code, retry_after);
        self.release_claim(id);
        self.finish(now, id, code, TokenCount::ZERO);
    }

    fn answer(&mut self, request: RequestId, code: ResultCode, retry_after: Option<Duration>) {
        self.out.actions.push(Action::Refuse(Refusal { request, code, retry_after }));
    }

    /// Forgets a request and closes its charge.
    fn finish(&mut self, now: Time, id: RequestId, code: ResultCode, used: TokenCount) {
        self.traces.add(now, id, TraceStep::Ended(code));
        match code {
            ResultCode::Served => self.stats.served += 1,
            code => *self.stats.refused.entry(code, || 0) += 1,
        }
        let Some(request) = self.requests.remove(&id) else { return };
        self.queue.remove(id);
        if let Stage::Claiming(op) = request.stage {
            self.forget_call(op);
        }
        if let Some(team) = &request.team {
            self.tokens.forget(team, id);
            if request.charged {
                let used = used.min(request.spec.cost);
                self.tokens.close(now, team, id, used);
                self.stats.tokens += used.0;
            }
        }
    }

    /// Refuses the waiting requests whose deadlines passed.
    pub(super) fn expire_requests(&mut self, now: Time) {
        let late: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                now >= request.spec.deadline && !matches!(request.stage, Stage::Running(_))
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.refuse(now, id, ResultCode::DeadlinePassed, Some(DEFAULT_RETRY_AFTER));
        }
    }

    /// Ends the requests that the configuration no longer permits.
    pub(super) fn end_unpermitted(&mut self, now: Time) {
        let snapshot = self.sync.snapshot().clone();
        let ended: Vec<(RequestId, bool)> = self
            .requests
            .iter()
            .filter(|(_, request)| authorize(&snapshot, &request.spec) != Ok(request.team.clone()))
            .map(|(id, request)| (*id, matches!(request.stage, Stage::Running(_))))
            .collect();
        for (id, running) in ended {
            if running {
                // The gate tells by an event how many tokens were used.
                self.out.actions.push(Action::Cancel(id, ResultCode::StreamWithdrawn));
            } else {
                self.refuse(now, id, ResultCode::PermissionEnded, None);
            }
        }
    }
}

/// Returns the team for which a request may run under `snapshot`; `None` stands for a caller
/// without a key on an open route.
fn authorize(snapshot: &Snapshot, spec: &NewRequest) -> Result<Option<TeamName>, ResultCode> {
    let team = match &spec.key {
        Some(hash) => Some(snapshot.team_of_key(hash).ok_or(ResultCode::KeyRejected)?.clone()),
        None => None,
    };
    match &spec.goal {
        RequestGoal::Model(model) => {
            let team = team.ok_or(ResultCode::KeyRejected)?;
            if !snapshot.permits(&team, model) {
                // A team learns nothing about models that it may not use.
                return Err(ResultCode::NotPermitted);
            }
            Ok(Some(team))
        }
        RequestGoal::Route(name) => {
            let route = snapshot.route(name).ok_or(ResultCode::NotFound)?;
            match (snapshot.permits_route(team.as_ref(), route), &team) {
                (true, _) => Ok(team),
                (false, None) => Err(ResultCode::KeyRejected),
                (false, Some(_)) => Err(ResultCode::NotPermitted),
            }
        }
    }
}

/// Returns whether the configuration lets a model run anywhere.
fn can_ever_run(snapshot: &Snapshot, model: &ModelName) -> bool {
    let Some(servable) = snapshot.servable(model) else { return false };
    let base = servable.base.unwrap_or(servable.name);
    let extra = servable.base.and_then(|base| snapshot.servable(base)).map(|base| base.memory);
    let need = servable.memory + extra.unwrap_or_default();
    let fits =
        |target: &config::TargetObject| target.memory >= need && snapshot.may_place(base, target);
    snapshot.copies(base) > 0 && snapshot.targets().any(fits)
}
