//! The requests in a daemon, and a trace of what was decided for each.

use std::collections::VecDeque;

use base::{RequestId, ResultCode, SortedMap, TargetName, TeamName, Time};
use route::{Attempt, Transmitted};

use crate::{NewRequest, OpId};

/// Traces kept for explanations.
const TRACES_KEPT: usize = 512;

/// Where a request is.
#[derive(Debug)]
pub(crate) enum Stage {
    /// It waits for its team's allowance.
    Tokens,
    /// It waits for a target.
    Queue,
    /// Its idempotency key is being recorded, before it goes to the target.
    Claiming(OpId),
    /// It may have reached a target.
    Running(Attempt<Transmitted>),
}

/// Whether the request's idempotency key is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// There is none, or it is not recorded.
    Open,
    /// It may be recorded.
    Uncertain,
    /// It is recorded at this service revision.
    Recorded(base::Revision),
}

/// A request in the daemon.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) spec: NewRequest,
    pub(crate) team: Option<TeamName>,
    pub(crate) arrived: Time,
    pub(crate) stage: Stage,
    pub(crate) charged: bool,
    pub(crate) claim: ClaimState,
    pub(crate) attempts: u32,
    /// Transmissions after which it may have run. From the first on, it can't be refused as not
    /// run any more.
    pub(crate) lost: u32,
    /// The target that did not serve it, and until when it is passed over.
    pub(crate) passed_over: Option<(TargetName, Time)>,
    pub(crate) retry_at: Time,
}

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TraceStep {
    /// It waits for its team's allowance.
    WaitsForTokens,
    /// Its tokens were charged.
    Charged,
    /// It waits for a replica to be loaded.
    WaitsForReplica,
    /// It waits for a free slot on a target.
    WaitsForSlot,
    /// Its idempotency key is being recorded.
    Claims,
    /// It was sent to a target.
    Sent(TargetName),
    /// The target did not run it.
    NotRun(TargetName),
    /// The target failed while it may have been running.
    Lost(TargetName),
    /// It ended.
    Ended(ResultCode),
}

/// The decisions about one request, with the microseconds since it arrived.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// Request.
    pub request: RequestId,
    /// Team.
    pub team: Option<TeamName>,
    /// Model or route.
    pub goal: String,
    /// Decisions in their order.
    pub steps: Vec<(u64, TraceStep)>,
    started: Time,
}

/// The latest traces.
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
        self.traces.insert(request, RequestTrace { request, team, goal, steps, started: now });
        self.order.push_back(request);
        if self.order.len() > TRACES_KEPT {
            if let Some(oldest) = self.order.pop_front() {
                self.traces.remove(&oldest);
            }
        }
    }

    pub(crate) fn add(&mut self, now: Time, request: RequestId, step: TraceStep) {
        let Some(trace) = self.traces.get_mut(&request) else { return };
        if trace.steps.last().is_none_or(|(_, last)| *last != step) {
            let micros = now.since(trace.started).as_micros();
            trace.steps.push((u64::try_from(micros).unwrap_or(u64::MAX), step));
        }
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&RequestTrace> {
        self.traces.get(&request)
    }
}
