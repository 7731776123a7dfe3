//! Prefill time that the leader reserves for long prompts on uneven targets.

use std::time::Duration;

use base::{ResultCode, Time};
use fleet::ModelRef;
use prefill::{PrefillRequest, PrefillVerdict};

use super::{RequestDispatcher, RETRY_AFTER};
use crate::choice::usable_engines;
use crate::request::{PrefillState, RequestStage, Step};
use crate::targets::TargetAccess;

/// A prompt is scheduled by the leader if its prefill takes at least this part of the gap that streams
/// accept. Shorter ones don't stall streams noticeably.
const LONG_PROMPT_DIVISOR: u32 = 8;
/// How long no reservation is asked for after the leader didn't answer.
const SILENCE_PAUSE: Duration = Duration::from_millis(300);
/// Least time before the leader is asked again. Leaders state longer ones; a wrong one must not make
/// the daemon ask without a pause.
const MIN_ASK_PAUSE: Duration = Duration::from_millis(50);
/// Reservations that one request may lose because their engines can't be used any more. After these the
/// daemon chooses by itself.
const MAX_LOST_RESERVATIONS: u32 = 3;

impl RequestDispatcher {
    /// Returns the step by which a request gets prefill time on an engine, or `None` if it goes on
    /// without, or with the time that it has.
    pub(super) fn schedule_prefill(
        &mut self,
        now: Time,
        id: u64,
        subject: &ModelRef,
    ) -> Option<Step> {
        let request = self.requests.get(&id)?;
        if !self.config.schedules_prefill && !self.targets.is_uneven(&request.service) {
            return None;
        }
        // A stream that is resumed has no first event to be in time for, and a request whose client has
        // left is rejected elsewhere.
        if request.may_have_run || now >= request.first_event_by {
            return None;
        }
        let mut lost_reservations = request.lost_reservations;
        match &request.prefill {
            PrefillState::Unscheduled => return None,
            PrefillState::AskFrom(at) if now < *at => {
                return Some(Step::Wait((*at).min(request.first_event_by)));
            }
            PrefillState::Rejected(wait) => {
                let reason = "no prefill capacity in time";
                let wait = (*wait).max(RETRY_AFTER);
                return Some(Step::Refuse(request.to_refusal(
                    ResultCode::NoCapacity,
                    wait,
                    reason,
                )));
            }
            PrefillState::Reserved(_, at) => {
                // With a reservation, a request may try no other engine.
                let access = TargetAccess::Unlimited;
                if !usable_engines(now, request, subject, &self.targets, access).is_empty() {
                    return (now < *at).then(|| Step::Wait((*at).min(request.first_event_by)));
                }
                lost_reservations += 1;
            }
            PrefillState::Unasked | PrefillState::AskFrom(_) => {}
        }
        let is_leader_silent = now < self.prefill_from || !self.leader_wait(now).is_zero();
        let request = self.requests.get_mut(&id)?;
        request.prefill = PrefillState::Unscheduled;
        request.lost_reservations = lost_reservations;
        if is_leader_silent || lost_reservations > MAX_LOST_RESERVATIONS {
            return None;
        }
        let layout = self.layout.as_ref()?;
        let max_pause = layout.shortest_pause(&request.service)?;
        let candidates = self.chooser.prefill_candidates(now, request, subject, &self.targets);
        let Some(least_work) = candidates.iter().map(|candidate| candidate.work_ms).min() else {
            // The request is scheduled once an engine holds its model.
            request.prefill = PrefillState::Unasked;
            return None;
        };
        let to_millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        if least_work < to_millis(max_pause) / LONG_PROMPT_DIVISOR {
            return None;
        }
        let objective = request.route.objective.unwrap_or(request.route.timeout);
        request.stage = RequestStage::AwaitingPrefill;
        self.demand_table.remove_waiting(&request.model_need(&subject.model), id);
        Some(Step::Reserve(Box::new(PrefillRequest {
            candidates,
            max_pause_ms: to_millis(max_pause),
            objective_ms: to_millis((request.admitted_at + objective).since(now)),
            patience_ms: to_millis(request.first_event_by.since(now)),
        })))
    }

    /// Records the leader's answer to a [`Step::Reserve`]; `None` if it didn't answer.
    pub fn finish_reserve(&mut self, now: Time, id: u64, verdict: Option<&PrefillVerdict>) {
        let millis = |ms: u32| Duration::from_millis(u64::from(ms));
        if verdict.is_none() {
            self.prefill_from = now + SILENCE_PAUSE;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.stage != RequestStage::AwaitingPrefill {
            return;
        }
        request.stage = RequestStage::Waiting;
        request.prefill = match verdict {
            Some(PrefillVerdict::Send { target, wait_ms }) => {
                self.counts.prefill_waits += u64::from(*wait_ms > 0);
                PrefillState::Reserved(target.clone(), now + millis(*wait_ms))
            }
            Some(PrefillVerdict::AskAgain { wait_ms }) => {
                self.counts.prefill_waits += 1;
                PrefillState::AskFrom(now + millis(*wait_ms).max(MIN_ASK_PAUSE))
            }
            Some(PrefillVerdict::Reject { wait_ms }) => PrefillState::Rejected(millis(*wait_ms)),
            None => PrefillState::Unscheduled,
        };
    }
}
