//! Records what the fleet did and checks it against the guarantees.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::{RequestId, ResultCode, Time};
use mango_node::{Node, ProposalResult};

use super::{charged_after, BURST, RATE};

/// Maximum time between the deadline of a waiting request and its refusal. Covers two ticks. The
/// time for which the host was frozen is added to it.
const REFUSAL_SLACK: Duration = Duration::from_millis(150);

/// What is known of one request.
#[derive(Clone, Debug)]
struct RequestRecord {
    host: usize,
    incarnation: u64,
    sent_at: Time,
    deadline: Time,
    cost: u64,
    idempotency: Option<String>,
    charged_at: Option<Time>,
    used: Option<u64>,
    runs: u32,
    /// Whether the request ran, as its answer states it (see [`ResultCode::ran`]).
    answer: Option<&'static str>,
    /// Whether the host's process ended before it answered.
    is_lost: bool,
    /// Whether the node cancelled the transmission. Later refusals no longer reach the caller.
    is_cancelled: bool,
}

/// The requests and changes of a run.
#[derive(Default)]
pub struct Oracle {
    requests: BTreeMap<RequestId, RequestRecord>,
    open: BTreeSet<RequestId>,
    runs_by_key: BTreeMap<String, u32>,
    accepted: Vec<String>,
    rejected: Vec<String>,
    pub served: u64,
    pub refused: u64,
}

impl Oracle {
    #[allow(clippy::too_many_arguments)]
    pub fn record_sent(
        &mut self,
        id: RequestId,
        host: usize,
        incarnation: u64,
        sent_at: Time,
        deadline: Time,
        cost: u64,
        idempotency: Option<String>,
    ) {
        let record = RequestRecord {
            host,
            incarnation,
            sent_at,
            deadline,
            cost,
            idempotency,
            charged_at: None,
            used: None,
            runs: 0,
            answer: None,
            is_lost: false,
            is_cancelled: false,
        };
        self.requests.insert(id, record);
        self.open.insert(id);
    }

    pub fn cost(&self, id: RequestId) -> u64 {
        self.requests.get(&id).map_or(0, |request| request.cost)
    }

    pub fn deadline(&self, id: RequestId) -> Time {
        self.requests.get(&id).map_or(Time::ZERO, |request| request.deadline)
    }

    /// Records which open requests of a process are charged by now.
    pub fn record_charges(&mut self, host: usize, incarnation: u64, node: &Node, now: Time) {
        for id in &self.open {
            let Some(request) = self.requests.get_mut(id) else { continue };
            let is_own = request.host == host && request.incarnation == incarnation;
            if is_own && request.charged_at.is_none() && charged_after(node, *id).is_some() {
                request.charged_at = Some(now);
            }
        }
    }

    pub fn record_run(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.runs += 1;
        assert_ne!(request.answer, Some("no"), "a request ran after it was refused as not run");
        if let Some(key) = &request.idempotency {
            let runs = self.runs_by_key.entry(key.clone()).or_default();
            *runs += 1;
            assert_eq!(*runs, 1, "a call that must not run twice ran twice");
        }
    }

    pub fn record_served(&mut self, id: RequestId, used: u64, _now: Time) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.used = Some(used.min(request.cost));
            request.answer = Some("yes");
            self.open.remove(&id);
            self.served += 1;
        }
    }

    pub fn record_cancelled(&mut self, id: RequestId, now: Time) {
        self.record_served(id, 1, now);
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_cancelled = true;
        }
    }

    pub fn record_refused(
        &mut self,
        id: RequestId,
        code: ResultCode,
        now: Time,
        frozen_span: Duration,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.is_cancelled {
            return;
        }
        assert_eq!(request.answer, None, "a request was answered twice");
        if code.ran() == "no" {
            assert_eq!(request.runs, 0, "{code}: the request ran, but is refused as not run");
            request.used = Some(0);
        }
        let late = now.since(request.deadline);
        let allowed = REFUSAL_SLACK + frozen_span;
        assert!(
            late <= allowed || code.ran() != "no",
            "{code}: refused {late:?} after the deadline"
        );
        request.answer = Some(code.ran());
        self.open.remove(&id);
        self.refused += 1;
    }

    pub fn record_killed(&mut self, host: usize, incarnation: u64) {
        for (id, request) in &mut self.requests {
            if request.host == host && request.incarnation == incarnation {
                request.is_lost |= request.answer.is_none();
                self.open.remove(id);
            }
        }
    }

    pub fn record_proposed(&mut self, proposal_id: u64, result: &ProposalResult, _now: Time) {
        let change = format!("change-{proposal_id}");
        match result {
            ProposalResult::Accepted(_) | ProposalResult::Repeated(_) if proposal_id > 0 => {
                self.accepted.push(change);
            }
            ProposalResult::Refused(code, ..) if code.ran() == "no" => self.rejected.push(change),
            _ => {}
        }
    }

    /// Checks that each request is answered, except those of killed processes.
    pub fn check_answers(&self) {
        for (id, request) in &self.requests {
            assert!(
                request.answer.is_some() || request.is_lost,
                "request {id} of host {} from {} has no answer",
                request.host,
                request.sent_at
            );
        }
    }

    /// Checks that each accepted change is recorded, and that no change is recorded that was
    /// refused as having no effect.
    pub fn check_changes(&self, recorded: &[String]) {
        for change in &self.rejected {
            assert!(!recorded.contains(change), "refused {change} is recorded");
        }
        for change in &self.accepted {
            assert!(recorded.contains(change), "accepted {change} is not recorded");
        }
    }

    /// Checks that the charges in each time window are at most burst + rate × length. Uses a leaky
    /// bucket: charges fill it, it drains at the rate, and its level must not exceed the burst.
    pub fn check_allowance(&self) {
        let mut charges: Vec<(Time, u64)> = self
            .requests
            .values()
            .filter_map(|r| r.charged_at.map(|at| (at, r.used.unwrap_or(r.cost))))
            .collect();
        charges.sort();
        let (mut level, mut last) = (0u64, Time::ZERO);
        for (at, tokens) in charges {
            let drained = RATE * at.since(last).as_micros() as u64;
            level = level.saturating_sub(drained) + tokens * 1_000_000;
            last = at;
            assert!(
                level <= BURST * 1_000_000,
                "{} tokens over the allowance at {at}",
                level / 1_000_000 - BURST
            );
        }
    }
}
