//! Sends requests to hosts and transmits them to targets.

use std::time::Duration;

use base::{RequestId, TokenCount};
use mango_node::{Event, NewRequest, RequestEnd, RequestGoal};
use rand::Rng;

use super::{Delivery, SimFleet, KEY, MODELS};

impl SimFleet {
    /// Sends a request for a model to a host.
    pub fn request_model(&mut self, index: usize, model: usize, cost: u64, timeout: Duration) {
        self.send_request(
            index,
            RequestGoal::Model(MODELS[model].parse().unwrap()),
            cost,
            timeout,
            None,
        );
    }

    /// Sends a call of the plain service, which must not run twice, to a host.
    pub fn request_booking(&mut self, index: usize, idempotency: u64) {
        let goal = RequestGoal::Route("booking".parse().unwrap());
        let key = format!("{idempotency:x}");
        self.send_request(index, goal, 0, Duration::from_secs(5), Some(key));
    }

    /// Sends `count` calls of the plain service to a host. They may be repeated and cost tokens.
    pub fn request_burst(&mut self, index: usize, count: usize, cost: u64, timeout: Duration) {
        for _ in 0..count {
            let goal = RequestGoal::Route("booking".parse().unwrap());
            self.send_request(index, goal, cost, timeout, None);
        }
    }

    /// Sends a request to a host, unless the host is killed or frozen.
    pub(super) fn send_request(
        &mut self,
        index: usize,
        goal: RequestGoal,
        cost: u64,
        timeout: Duration,
        idempotency: Option<String>,
    ) {
        if self.hosts[index].node.is_none() || self.hosts[index].is_frozen {
            return;
        }
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let spec = NewRequest {
            id,
            key: Some(base::SecretKey::new(KEY).hash()),
            goal,
            cost: TokenCount(cost),
            deadline: self.now + timeout,
            priority: 0,
            idempotent: idempotency.is_none(),
            idempotency: idempotency.clone(),
        };
        let incarnation = self.hosts[index].incarnation;
        self.oracle.record_sent(id, index, incarnation, self.now, spec.deadline, cost, idempotency);
        self.handle(index, Event::Arrived(spec));
    }

    /// Transmits a request to a target and schedules its end. Like the gate, sends nothing after
    /// the deadline and does not wait beyond it.
    pub(super) fn transmit(&mut self, index: usize, incarnation: u64, id: RequestId, target: &str) {
        let time_left = self.oracle.deadline(id).since(self.now);
        let mut end = if time_left.is_zero() {
            RequestEnd::NotSent
        } else {
            self.run_on_target(index, id, target)
        };
        let mut delay = Duration::from_millis(self.random.random_range(5..300));
        if delay > time_left {
            delay = time_left;
            end = if end == RequestEnd::NotSent { end } else { RequestEnd::TimedOut };
        }
        if let RequestEnd::Served(used) = end {
            self.oracle.record_served(id, used.0, self.now);
        }
        self.schedule(delay, Delivery::ToNode(index, incarnation, Event::Ended(id, end)));
    }

    /// Runs a request on a target, if the target can serve it, and returns how it ended.
    pub(super) fn run_on_target(
        &mut self,
        index: usize,
        id: RequestId,
        target: &str,
    ) -> RequestEnd {
        let is_lost = self.random.random_range(0..100) < self.target_failure_percent;
        if target == "desk" {
            self.oracle.record_run(id);
            let cost = TokenCount(self.oracle.cost(id));
            return if is_lost { RequestEnd::Lost } else { RequestEnd::Served(cost) };
        }
        let node = self.hosts[index].node.as_ref();
        let model = node.and_then(|node| node.trace(id).map(|trace| trace.goal.clone()));
        let model = model.unwrap_or_default().replace("model ", "");
        let serves = self.targets.get_mut(target).is_some_and(|target| target.try_serve(&model));
        if !serves {
            return RequestEnd::Declined;
        }
        self.oracle.record_run(id);
        if is_lost {
            RequestEnd::Lost
        } else {
            RequestEnd::Served(TokenCount(self.oracle.cost(id) / 2))
        }
    }
}
