//! The state of the requests in a daemon, and a trace of the decisions about each.

use std::collections::VecDeque;

use base::{RequestId, ResultCode, SortedMap, TargetName, TeamName, Time};
use route::{Attempt, Transmitted};

use crate::{NewRequest, OpId};

/// Maximum number of traces kept for operators.
const MAX_TRACES: usize = 512;

/// The stage of a request in its lifecycle.
#[derive(Debug)]
pub(crate) enum Stage {
    /// It waits for its team's allowance.
    AwaitingTokens,
    /// It waits for a target.
    Queued,
    /// Its idempotency key is being recorded, before it goes to the target.
    Claiming(OpId),
    /// It was sent to a target and may be running there.
    Running(Attempt<Transmitted>),
}

/// Whether the request's idempotency key is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// The request has no idempotency key, or the key is not recorded.
    Unrecorded,
    /// A write was sent, so that the key may be recorded.
    Uncertain,
    /// The key is recorded at this service revision.
    Recorded(base::Revision),
}

/// A request that is waiting or running.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) spec: NewRequest,
    pub(crate) team: Option<TeamName>,
    pub(crate) arrived_at: Time,
    pub(crate) stage: Stage,
    pub(crate) is_charged: bool,
    pub(crate) claim: ClaimState,
    pub(crate) attempts: u32,
    /// Number of transmissions after which it may have run. If there is one, the request can no
    /// longer be refused as not run.
    pub(crate) lost_attempts: u32,
    /// The last target that did not serve it, and the time until which it is not chosen again.
    pub(crate) excluded_target: Option<(TargetName, Time)>,
    pub(crate) retry_at: Time,
}

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TraceStep {
    /// It waits for its team's allowance.
    WaitsForTokens,
    /// Its tokens were charged.
    Charged,
    /// It waits until a replica is loaded.
    WaitsForReplica,
    /// It waits for a free slot on a target.
    WaitsForSlot,
    /// Its idempotency key is being recorded.
    Claims,
    /// It was sent to a target.
    Sent(TargetName),
    /// The target certainly did not run it.
    NotRun(TargetName),
    /// The target failed and may have run it.
    Lost(TargetName),
    /// It ended.
    Ended(ResultCode),
}

/// The decisions about one request.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// Request.
    pub request: RequestId,
    /// Team.
    pub team: Option<TeamName>,
    /// Model or route.
    pub goal: String,
    /// Decisions in order, each with the time since the request arrived in microseconds.
    pub steps: Vec<(u64, TraceStep)>,
    started_at: Time,
}

/// The traces of the latest requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct TraceLog {
    order: VecDeque<RequestId>,
    traces: SortedMap<RequestId, RequestTrace>,
}

impl TraceLog {
    pub(crate) fn start(&mut self, now: Time, spec: &NewRequest, team: Option<TeamName>) {
        let goal = match &spec.goal {
            crate::RequestGoal::Model(model) => format!("model {model}"),
            crate::RequestGoal::Route(route) => format!("route {route}"),
        };
        let (request, steps) = (spec.id, Vec::new());
        self.traces.insert(request, RequestTrace { request, team, goal, steps, started_at: now });
        self.order.push_back(request);
        if self.order.len() > MAX_TRACES {
            if let Some(oldest) = self.order.pop_front() {
                self.traces.remove(&oldest);
            }
        }
    }

    pub(crate) fn add(&mut self, now: Time, request: RequestId, step: TraceStep) {
        let Some(trace) = self.traces.get_mut(&request) else { return };
        if trace.steps.last().is_none_or(|(_, last)| *last != step) {
            let micros = now.since(trace.started_at).as_micros();
            trace.steps.push((u64::try_from(micros).unwrap_or(u64::MAX), step));
        }
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&RequestTrace> {
        self.traces.get(&request)
    }
}
