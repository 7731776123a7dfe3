//! Adds up what the fleet did and compares it with the promises.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use base::{RequestId, ResultCode, Time};
use mango_node::{Node, ProposalResult};

use super::{charged_after, BURST, RATE};

/// How much later than its deadline a waiting request may be refused: two ticks.
const REFUSAL_SLACK: Duration = Duration::from_millis(150);

#[derive(Clone, Debug)]
struct Sent {
    host: usize,
    incarnation: u64,
    at: Time,
    deadline: Time,
    cost: u64,
    idempotency: Option<String>,
    charged_at: Option<Time>,
    used: Option<u64>,
    runs: u32,
    answer: Option<&'static str>,
    lost: bool,
    /// The gate ended the exchange; what the node says later reaches nobody.
    cancelled: bool,
}

#[derive(Default)]
pub struct Oracle {
    requests: BTreeMap<RequestId, Sent>,
    open: BTreeSet<RequestId>,
    runs_by_key: BTreeMap<String, u32>,
    accepted: Vec<String>,
    rejected: Vec<String>,
    pub served: u64,
    pub refused: u64,
}

impl Oracle {
    #[allow(clippy::too_many_arguments)]
    pub fn sent(
        &mut self,
        id: RequestId,
        host: usize,
        incarnation: u64,
        at: Time,
        deadline: Time,
        cost: u64,
        idempotency: Option<String>,
    ) {
        let sent = Sent {
            host,
            incarnation,
            at,
            deadline,
            cost,
            idempotency,
            charged_at: None,
            used: None,
            runs: 0,
            answer: None,
            lost: false,
            cancelled: false,
        };
        self.requests.insert(id, sent);
        self.open.insert(id);
    }

    pub fn cost(&self, id: RequestId) -> u64 {
        self.requests.get(&id).map_or(0, |request| request.cost)
    }

    pub fn deadline(&self, id: RequestId) -> Time {
        self.requests.get(&id).map_or(Time::ZERO, |request| request.deadline)
    }

    /// Notes which requests were charged by now.
    pub fn observe(&mut self, host: usize, incarnation: u64, node: &Node, now: Time) {
        for id in &self.open {
            let Some(request) = self.requests.get_mut(id) else { continue };
            let here = request.host == host && request.incarnation == incarnation;
            if here && request.charged_at.is_none() && charged_after(node, *id).is_some() {
                request.charged_at = Some(now);
            }
        }
    }

    pub fn ran(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.runs += 1;
        assert_ne!(request.answer, Some("no"), "a request that was refused as not run runs");
        if let Some(key) = &request.idempotency {
            let runs = self.runs_by_key.entry(key.clone()).or_default();
            *runs += 1;
            assert_eq!(*runs, 1, "a call that must not run twice ran twice");
        }
    }

    pub fn ended(&mut self, id: RequestId, used: u64, _now: Time) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.used = Some(used.min(request.cost));
            request.answer = Some("yes");
            self.open.remove(&id);
            self.served += 1;
        }
    }

    pub fn cancelled(&mut self, id: RequestId, now: Time) {
        self.ended(id, 1, now);
        if let Some(request) = self.requests.get_mut(&id) {
            request.cancelled = true;
        }
    }

    pub fn refused(&mut self, id: RequestId, code: ResultCode, now: Time, frozen: Duration) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.cancelled {
            return;
        }
        assert_eq!(request.answer, None, "a request has two answers");
        if code.ran() == "no" {
            assert_eq!(request.runs, 0, "{code}: the request ran");
            request.used = Some(0);
        }
        let late = now.since(request.deadline);
        let allowed = REFUSAL_SLACK + frozen;
        assert!(
            late <= allowed || code.ran() != "no",
            "{code}: refused {late:?} after the deadline"
        );
        request.answer = Some(code.ran());
        self.open.remove(&id);
        self.refused += 1;
    }

    pub fn killed(&mut self, host: usize, incarnation: u64) {
        for (id, request) in &mut self.requests {
            if request.host == host && request.incarnation == incarnation {
                request.lost |= request.answer.is_none();
                self.open.remove(id);
            }
        }
    }

    pub fn proposed(&mut self, token: u64, result: &ProposalResult, _now: Time) {
        let change = format!("change-{token}");
        match result {
            ProposalResult::Accepted(_) | ProposalResult::Repeated(_) if token > 0 => {
                self.accepted.push(change);
            }
            ProposalResult::Refused(code, ..) if code.ran() == "no" => self.rejected.push(change),
            _ => {}
        }
    }

    /// Checks that every request of a living process has an answer.
    pub fn check_answers(&self) {
        for (id, request) in &self.requests {
            assert!(
                request.answer.is_some() || request.lost,
                "request {id} of host {} from {} has no answer",
                request.host,
                request.at
            );
        }
    }

    /// Checks that no accepted change was lost, and that none was refused that took effect.
    pub fn check_changes(&self, recorded: &[String]) {
        for change in &self.rejected {
            assert!(!recorded.contains(change), "refused {change} is recorded");
        }
        for change in &self.accepted {
            assert!(recorded.contains(change), "accepted {change} is not recorded");
        }
    }

    /// Checks that in each window the charges stay within burst + rate × length: the sum of
    /// charges, drained at the rate, never exceeds the burst.
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
