//! Decides what to do next with a request.

use std::time::Duration;

use base::{Name, ResultCode, TargetName, Time};
use fleet::ModelRef;

use super::{Desk, RETRY_AFTER, SYNC_INTERVAL, SYNC_PAUSE};
use crate::choose::Choice;
use crate::purse::{PayVerdict, PayWish};
use crate::ticket::{Dispatch, Refusal, Stage, Step, Ticket};

/// How long a request waits for the leader's first statement on its model.
const WORD_PATIENCE: Duration = Duration::from_millis(2_500);
/// Most adapter fetches for one request.
const MAX_FETCHES: u32 = 8;
/// Longest wait for a load. For a load that ends later, the client does better to retry.
const LOAD_PATIENCE: Duration = Duration::from_secs(14);
/// Retry hint for a model that the leader doesn't know yet.
const LOAD_RETRY_AFTER: Duration = Duration::from_millis(3_000);
/// A request may wait for allowance to accrue for its objective divided by this.
const ACCRUAL_PART: u32 = 4;
/// Upper limit of that wait: kinds of requests that wait much longer than others are served much
/// more often.
const ACCRUAL_PATIENCE: Duration = Duration::from_millis(400);
/// Minimum patience with a target that has not begun to answer: for plain requests, and for
/// streams.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1_200));
/// Added to the retry hint for a load, so that the load is complete when the request returns.
const LOAD_SLACK: Duration = Duration::from_millis(250);
/// Pause before checking again whether a paused target has answered its probe.
const TRIAL_LOOK: Duration = Duration::from_millis(50);
/// Silence after which the leader has probably lost its host or its connections.
const LEADER_SILENCE: Duration = Duration::from_millis(1_300);

impl Desk {
    pub(super) fn decide(&mut self, now: Time, id: u64) -> Step {
        let Some(ticket) = self.tickets.get(&id) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        if now >= ticket.deadline {
            return Step::Refuse(ticket.give_up(
                ResultCode::DeadlinePassed,
                RETRY_AFTER,
                "deadline",
            ));
        }
        if !self.judge_key(id) {
            let Some(ticket) = self.tickets.get(&id) else {
                return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
            };
            let reason = "key withdrawn";
            return Step::Refuse(match ticket.may_have_run {
                true => ticket.give_up(ResultCode::KeyRejected, RETRY_AFTER, reason),
                false => Refusal::new(ResultCode::KeyRejected, reason),
            });
        }
        let Some(ticket) = self.tickets.get(&id) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        if now >= ticket.first_by && ticket.sends == 0 {
            let reason = "waited too long";
            return Step::Refuse(ticket.give_up(ResultCode::NoCapacity, RETRY_AFTER, reason));
        }
        if !ticket.paid {
            if let Some(step) = self.pay(now, id) {
                return step;
            }
        }
        let Some(ticket) = self.tickets.get(&id) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        match ticket.model.clone().filter(|_| self.is_engine(&ticket.service)) {
            Some(subject) => self.decide_engine(now, id, &subject),
            None => self.decide_plain(now, id),
        }
    }

    /// Returns whether a request's key still belongs to its team in the layout in force.
    fn judge_key(&mut self, id: u64) -> bool {
        let Some((layout, ticket)) = self.layout.as_ref().zip(self.tickets.get_mut(&id)) else {
            return true;
        };
        if ticket.judged_by == layout.version() {
            return true;
        }
        ticket.judged_by = layout.version();
        let Some(key) = &ticket.key else { return true };
        layout.team_of(key).map(|team| &team.name) == ticket.team.as_ref()
    }

    fn is_engine(&self, service: &Name) -> bool {
        let layout = self.layout.as_ref();
        layout.and_then(|layout| layout.service(service)).is_some_and(|s| s.engine.is_some())
    }

    /// Charges the team. Returns the step to take instead if the request can't go on.
    fn pay(&mut self, now: Time, id: u64) -> Option<Step> {
        let ticket = self.tickets.get_mut(&id)?;
        let purse = ticket.team.as_ref().and_then(|team| self.purses.get_mut(team));
        // A team whose limit was lifted in the meantime is not charged.
        let Some(purse) = purse else {
            ticket.paid = true;
            ticket.cost = 0.0;
            return None;
        };
        let objective = ticket.route.objective.unwrap_or(ticket.route.timeout);
        let patience = (objective / ACCRUAL_PART).min(ACCRUAL_PATIENCE);
        let wish = PayWish { id, cost: ticket.cost, patience, draw: ticket.draw };
        match purse.pay(now, &wish, self.heard_at, self.seats) {
            PayVerdict::Paid => {
                ticket.paid = true;
                None
            }
            PayVerdict::Short => Some(Step::Wait(now + SYNC_INTERVAL.0)),
            PayVerdict::Queued(wait) => Some(Step::Wait(now + wait.max(SYNC_PAUSE))),
            PayVerdict::Exhausted(wait) => Some(Step::Refuse(ticket.give_up(
                ResultCode::RateExceeded,
                wait,
                "allowance used up",
            ))),
        }
    }

    fn decide_plain(&mut self, now: Time, id: u64) -> Step {
        let Some(ticket) = self.tickets.get(&id) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        self.book.expire_fleet(now);
        let Some(choice) = self.chooser.plain(now, ticket, &self.book) else {
            if let Some(step) = self.spare(now, ticket, None) {
                return step;
            }
            return Step::Refuse(ticket.give_up(ResultCode::NoCapacity, RETRY_AFTER, "no target"));
        };
        if now + choice.note.estimate > ticket.deadline {
            let wait = choice.note.estimate.saturating_sub(choice.work);
            return Step::Refuse(ticket.give_up(ResultCode::NoCapacity, wait, "queue too long"));
        }
        self.send(now, id, choice)
    }

    fn decide_engine(&mut self, now: Time, id: u64, subject: &ModelRef) -> Step {
        let Some(ticket) = self.tickets.get(&id) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        self.book.expire_fleet(now);
        let choice = self.chooser.engine(now, ticket, subject, &self.book);
        if let Some(choice) = choice {
            self.wants.leaves(&subject.model, id);
            if choice.lacks_adapter {
                return self.fetch(id, choice.target, subject);
            }
            return self.send(now, id, choice);
        }
        if let Some(step) = self.spare(now, ticket, Some(subject)) {
            return step;
        }
        if let Some(open) = ticket.failed_fetch.iter().map(|(_, until)| *until).min() {
            let work = self.chooser.reading(&subject.model, ticket.chain.tokens());
            let open = open.max(now + self.leaderless(now));
            if open > now && open + work < ticket.first_by {
                return Step::Wait(open);
            }
            let reason = "adapter not to be had";
            let wait = open.since(now).max(RETRY_AFTER);
            return Step::Refuse(ticket.give_up(ResultCode::NoCapacity, wait, reason));
        }
        if !ticket.tried.is_empty() {
            let reason = "no other target";
            return Step::Refuse(ticket.give_up(ResultCode::NoCapacity, RETRY_AFTER, reason));
        }
        if self.wants.waiting_since(&subject.model, id).is_none() {
            self.counts.load_waits += 1;
        }
        self.wants.waits(now, &subject.model, id, ticket.urgency);
        let work = self.chooser.reading(&subject.model, ticket.chain.tokens());
        match self.wants.outlook(now, &subject.model) {
            Some(Some(ready)) if ready > LOAD_PATIENCE => {
                let reason = "no load in sight";
                Step::Refuse(ticket.give_up(ResultCode::NoCapacity, ready, reason))
            }
            Some(Some(ready)) if now + ready + work > ticket.first_by => {
                let wait = ready + LOAD_SLACK;
                Step::Refuse(ticket.give_up(ResultCode::NoCapacity, wait, "load too late"))
            }
            Some(Some(ready)) => Step::Wait((now + ready).min(ticket.first_by)),
            Some(None) => {
                let reason = "no such model";
                Step::Refuse(ticket.give_up(ResultCode::NoCapacity, LOAD_RETRY_AFTER, reason))
            }
            None => {
                let since = self.wants.waiting_since(&subject.model, id).unwrap_or(now);
                let gap = self.leaderless(now);
                if now + gap + work > ticket.first_by {
                    let reason = "no leader in time";
                    return Step::Refuse(ticket.give_up(ResultCode::NoCapacity, gap, reason));
                }
                if now.since(since) >= WORD_PATIENCE {
                    let reason = "no word of the leader";
                    return Step::Refuse(ticket.give_up(
                        ResultCode::NoCapacity,
                        RETRY_AFTER,
                        reason,
                    ));
                }
                Step::Wait((since + WORD_PATIENCE).min(ticket.first_by))
            }
        }
    }

    /// Returns the step for a request whose targets are all paused: a refusal with a retry hint, or
    /// a wait for the answer to a probe.
    fn spare(&self, now: Time, ticket: &Ticket, subject: Option<&ModelRef>) -> Option<Step> {
        let wait = self.spared_for(now, &ticket.service, subject)?;
        if wait.is_zero() && ticket.tried.is_empty() {
            return Some(Step::Wait((now + TRIAL_LOOK).min(ticket.first_by)));
        }
        let wait = wait.max(SYNC_PAUSE);
        let refusal = ticket.give_up(ResultCode::NoCapacity, wait, "targets ask to be spared");
        Some(Step::Refuse(refusal))
    }

    /// Returns how long it may take until a leader gives orders again, or zero while one is heard.
    fn leaderless(&self, now: Time) -> Duration {
        let silence = now.since(self.heard_at);
        if silence < LEADER_SILENCE {
            return Duration::ZERO;
        }
        self.config.leader_gap.saturating_sub(silence).max(RETRY_AFTER)
    }

    fn fetch(&mut self, id: u64, target: TargetName, subject: &ModelRef) -> Step {
        let Some(ticket) = self.tickets.get_mut(&id) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        if ticket.fetches >= MAX_FETCHES {
            let reason = "adapter not to be had";
            return Step::Refuse(ticket.give_up(ResultCode::NoCapacity, RETRY_AFTER, reason));
        }
        ticket.fetches += 1;
        ticket.stage = Stage::Fetching(target.clone(), subject.clone());
        Step::Fetch(target, subject.clone())
    }

    fn send(&mut self, now: Time, id: u64, choice: Choice) -> Step {
        let Some(ticket) = self.tickets.get_mut(&id) else {
            return Step::Refuse(Refusal::new(ResultCode::OutcomeUnknown, "no such request"));
        };
        let Some(address) = self.book.entry(&choice.target).map(|entry| entry.address) else {
            return Step::Refuse(ticket.give_up(ResultCode::NoCapacity, RETRY_AFTER, "no target"));
        };
        if ticket.sends > 0 {
            let ledger = self.retries.get_mut(&ticket.service);
            if !ledger.is_some_and(|ledger| ledger.take(now, self.seats)) {
                let reason = "retry budget used up";
                return Step::Refuse(ticket.give_up(ResultCode::NoCapacity, RETRY_AFTER, reason));
            }
            self.counts.repeats += 1;
        }
        self.counts.sends += 1;
        ticket.sends += 1;
        if !ticket.tried.contains(&choice.target) {
            ticket.tried.push(choice.target.clone());
        }
        ticket.stage = Stage::Running(choice.target.clone());
        let estimate = choice.note.estimate;
        self.book.started(now, &choice.target, id, (choice.work, estimate));
        if let Some(state) = self.book.state_mut(&choice.target) {
            state.record.read(now, &ticket.chain);
        }
        if let Some(subject) = &ticket.model {
            self.wants.used(&choice.target, subject);
        }
        let repeatable = ticket.route.kind.is_repeatable();
        let floor = if ticket.route.kind.is_stream() { PATIENCE.1 } else { PATIENCE.0 };
        let patience = (repeatable && ticket.has_attempts()).then(|| {
            let half = ticket.deadline.since(now) / 2;
            now + (estimate * 3).max(floor).min(half)
        });
        Step::Send(Box::new(Dispatch {
            target: choice.target,
            address,
            team: ticket.team.clone(),
            time_left: ticket.deadline.since(now),
            urgency: ticket.model.is_some().then_some(ticket.urgency),
            repeatable,
            patience,
            note: choice.note,
        }))
    }
}
