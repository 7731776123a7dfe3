//! The request lifecycle: admission, dispatch, retries and the final answer.

use std::time::Duration;

use base::{ModelName, RequestId, ResultCode, SortedMap, TeamName, Time, TokenCount};
use config::{Snapshot, TargetKind};
use place::ModelDemand;
use route::{Attempt, AttemptEnd, QueueEntry, TargetCandidate};

use super::Node;
use crate::request::{ClaimState, RequestState, Stage, TraceStep};
use crate::token::{TokenOutcome, TokenWaiter, Tokens};
use crate::{Action, DispatchOrder, NewRequest, Refusal, RequestEnd, RequestGoal};

/// Delay before a second or later retry. A target that did not serve a request is excluded for as
/// long.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of transmissions of one request.
const MAX_ATTEMPTS: u32 = 8;
/// Maximum number of lost transmissions after which a request is still retried. A lost
/// transmission may have run.
const MAX_LOST_ATTEMPTS: u32 = 2;
/// `Retry-After` of a refusal whose cause gives no better estimate.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The result of choosing a target for a request.
enum DispatchDecision {
    Target(base::TargetName),
    NoReplica,
    NoSlot,
    Impossible,
}

impl Node {
    pub(super) fn handle_arrival(&mut self, now: Time, spec: NewRequest) {
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

    /// Returns the team to which a request is charged.
    ///
    /// # Errors
    ///
    /// Returns the result code with which to refuse the request if it can't be admitted.
    fn admit(&self, now: Time, spec: &NewRequest) -> Result<Option<TeamName>, ResultCode> {
        if !self.accepts_requests() {
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

    /// Returns whether the configuration was never confirmed as current, or longer ago than the key
    /// grace period. API keys may have been withdrawn since then.
    pub(super) fn are_keys_stale(&self, now: Time) -> bool {
        self.sync.fresh_at().is_none_or(|at| now.since(at) > self.config.key_grace)
    }

    fn accept(&mut self, now: Time, spec: NewRequest, team: Option<TeamName>) {
        self.traces.start(now, &spec, team.clone());
        let (id, cost, deadline) = (spec.id, spec.cost, spec.deadline);
        let state = RequestState {
            spec,
            team: team.clone(),
            arrived_at: now,
            stage: Stage::AwaitingTokens,
            is_charged: false,
            claim: ClaimState::Unrecorded,
            attempts: 0,
            lost_attempts: 0,
            excluded_target: None,
            retry_at: now,
        };
        self.requests.insert(id, state);
        let waiter = TokenWaiter { request: id, cost, deadline };
        match team {
            Some(team) if cost > TokenCount::ZERO => {
                if self.tokens.charge_or_wait(now, &team, waiter) {
                    self.mark_charged(now, id);
                } else {
                    self.traces.add(now, id, TraceStep::WaitsForTokens);
                }
            }
            _ => self.enqueue(id),
        }
    }

    fn mark_charged(&mut self, now: Time, id: RequestId) {
        self.traces.add(now, id, TraceStep::Charged);
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_charged = true;
            self.enqueue(id);
        }
    }

    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queued;
        self.queue.push(QueueEntry {
            request: id,
            team: request.team.clone(),
            arrived: request.arrived_at,
            priority: request.spec.priority,
        });
    }

    /// Advances all waiting requests: charges them, sends them to targets and requests replicas.
    pub(super) fn advance_requests(&mut self, now: Time) {
        let seats = self.members.other_seats(now);
        let peers: Vec<_> = seats
            .into_iter()
            .map(|seat| seat.address)
            .filter(|address| self.members.is_responsive(now, address))
            .collect();
        let mut messages = Vec::new();
        for outcome in self.tokens.advance(now, &peers, &mut messages) {
            match outcome {
                TokenOutcome::Charged(id) => self.mark_charged(now, id),
                TokenOutcome::Refused(id, after) => {
                    self.refuse(now, id, ResultCode::RateExceeded, Some(after));
                }
            }
        }
        for (address, message) in messages {
            self.send(&address, message);
        }
        self.dispatch_waiting(now);
    }

    fn dispatch_waiting(&mut self, now: Time) {
        if self.queue.is_empty() {
            self.pending_demands = SortedMap::default();
            return;
        }
        let mut demands: SortedMap<ModelName, ModelDemand> = SortedMap::default();
        for id in self.queue.order(now) {
            let Some(request) = self.requests.get(&id) else { continue };
            if now < request.retry_at {
                continue;
            }
            match self.choose_target(now, id) {
                DispatchDecision::Target(target) => self.claim_or_send(now, id, target),
                DispatchDecision::NoReplica => {
                    self.traces.add(now, id, TraceStep::WaitsForReplica);
                    self.add_demand(now, id, false, &mut demands);
                }
                DispatchDecision::NoSlot => {
                    self.traces.add(now, id, TraceStep::WaitsForSlot);
                    self.add_demand(now, id, true, &mut demands);
                }
                DispatchDecision::Impossible => {
                    let after = Some(DEFAULT_RETRY_AFTER);
                    self.refuse(now, id, ResultCode::NoCapacity, after);
                }
            }
        }
        self.send_demands(now, demands);
    }

    fn choose_target(&mut self, now: Time, id: RequestId) -> DispatchDecision {
        let Some(request) = self.requests.get(&id) else { return DispatchDecision::Impossible };
        let snapshot = self.sync.snapshot().clone();
        let own_domain = &self.config.domain;
        let leaving = self.members.leaving_targets();
        let excluded_target = request.excluded_target.as_ref().filter(|(_, until)| now < *until);
        let is_usable = |target: &&config::TargetObject| {
            leaving.binary_search(&target.name).is_err()
                && excluded_target.is_none_or(|(other, _)| *other != target.name)
        };
        let to_choice = |target: &config::TargetObject| TargetCandidate {
            target: target.name.clone(),
            slots: target.slots,
            is_local: target.domain == *own_domain,
        };
        let choices: Vec<TargetCandidate> = match &request.spec.goal {
            RequestGoal::Route(name) => {
                let Some(route) = snapshot.route(name) else { return DispatchDecision::Impossible };
                let targets = snapshot.targets().filter(|target| {
                    target.kind == TargetKind::Service && route.targets.matches(&target.labels)
                });
                let targets: Vec<_> = targets.collect();
                if targets.is_empty() {
                    return DispatchDecision::Impossible;
                }
                targets.into_iter().filter(is_usable).map(to_choice).collect()
            }
            RequestGoal::Model(model) => {
                let ready = self.views.replicas(model).iter().filter(|(_, ready)| *ready);
                let targets = ready.filter_map(|(target, _)| snapshot.target(target));
                let choices: Vec<_> = targets.filter(is_usable).map(to_choice).collect();
                if choices.is_empty() {
                    return match is_placeable(&snapshot, model) {
                        true => DispatchDecision::NoReplica,
                        false => DispatchDecision::Impossible,
                    };
                }
                choices
            }
        };
        match self.loads.choose(now, &choices) {
            Some(target) => DispatchDecision::Target(target),
            None => DispatchDecision::NoSlot,
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
        self.outbox.actions.push(Action::Dispatch(order));
    }

    /// Handles the end of a transmission.
    pub(super) fn handle_end(&mut self, now: Time, id: RequestId, end: RequestEnd) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_closed = matches!(end, RequestEnd::Cancelled(_) | RequestEnd::CallerGone(_));
        if !matches!(request.stage, Stage::Running(_)) {
            // The gate ended the exchange while the request was waiting for a retry.
            if is_closed {
                self.abandon(now, id);
            }
            return;
        }
        let Stage::Running(attempt) = std::mem::replace(&mut request.stage, Stage::Queued) else {
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
                // The number of tokens used is unknown, so the full cost is charged.
                let cost = request.spec.cost;
                self.push_refusal(id, ResultCode::TargetTimeout, None);
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

    /// Queues a request again after a transmission that was not served, or refuses it if no further
    /// attempt is allowed.
    fn retry(&mut self, now: Time, id: RequestId, target: &base::TargetName, end: AttemptEnd) {
        let step = match end {
            AttemptEnd::NotRun => TraceStep::NotRun(target.clone()),
            _ => TraceStep::Lost(target.clone()),
        };
        self.traces.add(now, id, step);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_late = now >= request.spec.deadline || request.attempts >= MAX_ATTEMPTS;
        let is_allowed = match end {
            AttemptEnd::NotRun => !is_late,
            AttemptEnd::Repeatable => {
                request.lost_attempts += 1;
                !is_late && request.lost_attempts <= MAX_LOST_ATTEMPTS && self.retries.withdraw(now)
            }
            AttemptEnd::Unknown => {
                request.lost_attempts += 1;
                false
            }
        };
        if is_allowed {
            // The first retry is sent at once if another target can take it. If there is no other
            // target, the same one is retried after the pause.
            request.excluded_target = Some((target.clone(), now + RETRY_PAUSE));
            request.retry_at = if request.attempts > 1 { now + RETRY_PAUSE } else { now };
            self.enqueue(id);
        } else {
            let after = Some(DEFAULT_RETRY_AFTER);
            self.refuse(now, id, ResultCode::TargetUnreachable, after);
        }
    }

    /// Ends a request whose caller disconnected, unless it is running.
    pub(super) fn abandon(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if matches!(request.stage, Stage::Running(_)) {
            return;
        }
        let used = if request.lost_attempts > 0 { request.spec.cost } else { TokenCount::ZERO };
        if request.lost_attempts == 0 {
            self.release_claim(id);
        }
        self.finish(now, id, ResultCode::CallerGone, used);
    }

    /// Ends a request with the result `code`, or with `OutcomeUnknown` if an earlier transmission
    /// may have run.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        id: RequestId,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) {
        let lost = self.requests.get(&id).filter(|request| request.lost_attempts > 0);
        if let Some(cost) = lost.map(|request| request.spec.cost) {
            // The number of tokens used is unknown, so the full cost is charged. The claim is kept
            // so that the call can't run again.
            self.push_refusal(id, ResultCode::OutcomeUnknown, None);
            self.finish(now, id, ResultCode::OutcomeUnknown, cost);
            return;
        }
        self.push_refusal(id, code, retry_after);
        self.release_claim(id);
        self.finish(now, id, code, TokenCount::ZERO);
    }

    fn push_refusal(
        &mut self,
        request: RequestId,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) {
        self.outbox.actions.push(Action::Refuse(Refusal { request, code, retry_after }));
    }

    /// Removes a request, closes its charge and counts its result.
    fn finish(&mut self, now: Time, id: RequestId, code: ResultCode, used: TokenCount) {
        self.traces.add(now, id, TraceStep::Ended(code));
        match code {
            ResultCode::Served => self.stats.served += 1,
            code => *self.stats.refused.entry(code, || 0) += 1,
        }
        let Some(request) = self.requests.remove(&id) else { return };
        self.queue.remove(id);
        if let Stage::Claiming(op) = request.stage {
            self.ignore_answer(op);
        }
        if let Some(team) = &request.team {
            self.tokens.remove_waiter(team, id);
            if request.is_charged {
                let used = used.min(request.spec.cost);
                self.tokens.close_charge(now, team, id, used);
                self.stats.tokens += used.0;
            }
        }
    }

    /// Refuses the waiting requests whose deadline has passed.
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
        let unpermitted: Vec<(RequestId, bool)> = self
            .requests
            .iter()
            .filter(|(_, request)| authorize(&snapshot, &request.spec) != Ok(request.team.clone()))
            .map(|(id, request)| (*id, matches!(request.stage, Stage::Running(_))))
            .collect();
        for (id, is_running) in unpermitted {
            if is_running {
                // The gate reports the tokens used in the event that ends the transmission.
                self.outbox.actions.push(Action::Cancel(id, ResultCode::StreamWithdrawn));
            } else {
                self.refuse(now, id, ResultCode::PermissionEnded, None);
            }
        }
    }
}

/// Returns the team to which a request is charged under `snapshot`, or `None` for a caller without
/// a key on an open route.
///
/// # Errors
///
/// Returns a result code if the key, the model or the route is not permitted.
fn authorize(snapshot: &Snapshot, spec: &NewRequest) -> Result<Option<TeamName>, ResultCode> {
    let team = match &spec.key {
        Some(hash) => Some(snapshot.team_of_key(hash).ok_or(ResultCode::KeyRejected)?.clone()),
        None => None,
    };
    match &spec.goal {
        RequestGoal::Model(model) => {
            let team = team.ok_or(ResultCode::KeyRejected)?;
            if !snapshot.permits(&team, model) {
                // The code is the same whether the model exists or not, so that a team can't probe
                // for models that it may not use.
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

/// Returns whether the configuration permits a replica of a model on at least one target.
fn is_placeable(snapshot: &Snapshot, model: &ModelName) -> bool {
    let Some(servable) = snapshot.servable(model) else { return false };
    let base = servable.base.unwrap_or(servable.name);
    let base_memory =
        servable.base.and_then(|base| snapshot.servable(base)).map(|base| base.memory);
    let needed_memory = servable.memory + base_memory.unwrap_or_default();
    let fits = |target: &config::TargetObject| {
        target.memory >= needed_memory && snapshot.may_place(base, target)
    };
    snapshot.max_copies(base) > 0 && snapshot.targets().any(fits)
}
