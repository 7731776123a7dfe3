//! Requests, from callers to targets and back.

use std::time::Duration;

use base::{RequestId, TokenCount};
use mango_node::{Event, NewRequest, RequestEnd, RequestGoal};
use rand::Rng;

use super::{Delivery, World, KEY, MODELS};

impl World {
    /// Sends a request for a model to a host.
    pub fn request(&mut self, at: usize, model: usize, cost: u64, patience: Duration) {
        self.send_request(
            at,
            RequestGoal::Model(MODELS[model].parse().unwrap()),
            cost,
            patience,
            None,
        );
    }

    /// Sends a call of a plain service, which must not run twice, to a host.
    pub fn book(&mut self, at: usize, idempotency: u64) {
        let goal = RequestGoal::Route("booking".parse().unwrap());
        let key = format!("{idempotency:x}");
        self.send_request(at, goal, 0, Duration::from_secs(5), Some(key));
    }

    /// Sends calls of the plain service that may be repeated and cost tokens.
    pub fn burst(&mut self, at: usize, count: usize, cost: u64, patience: Duration) {
        for _ in 0..count {
            let goal = RequestGoal::Route("booking".parse().unwrap());
            self.send_request(at, goal, cost, patience, None);
        }
    }

    pub(super) fn send_request(
        &mut self,
        at: usize,
        goal: RequestGoal,
        cost: u64,
        patience: Duration,
        idempotency: Option<String>,
    ) {
        if self.hosts[at].node.is_none() || self.hosts[at].frozen {
            return;
        }
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let spec = NewRequest {
            id,
            key: Some(base::SecretKey::new(KEY).hash()),
            goal,
            cost: TokenCount(cost),
            deadline: self.now + patience,
            priority: 0,
            idempotent: idempotency.is_none(),
            idempotency: idempotency.clone(),
        };
        let incarnation = self.hosts[at].incarnation;
        self.oracle.sent(id, at, incarnation, self.now, spec.deadline, cost, idempotency);
        self.handle(at, Event::Arrived(spec));
    }

    /// Carries a request to a target and back, as the gate does: nothing is sent after the
    /// deadline, and nothing is waited for beyond it.
    pub(super) fn run(&mut self, at: usize, incarnation: u64, id: RequestId, target: &str) {
        let time_left = self.oracle.deadline(id).since(self.now);
        let mut end = if time_left.is_zero() {
            RequestEnd::NotSent
        } else {
            self.run_on_target(at, id, target)
        };
        let mut delay = Duration::from_millis(self.random.random_range(5..300));
        if delay > time_left {
            delay = time_left;
            end = if end == RequestEnd::NotSent { end } else { RequestEnd::TimedOut };
        }
        if let RequestEnd::Served(used) = end {
            self.oracle.ended(id, used.0, self.now);
        }
        self.push(delay, Delivery::ToNode(at, incarnation, Event::Ended(id, end)));
    }

    pub(super) fn run_on_target(&mut self, at: usize, id: RequestId, target: &str) -> RequestEnd {
        let lost = self.random.random_range(0..100) < self.flaky;
        if target == "desk" {
            self.oracle.ran(id);
            let cost = TokenCount(self.oracle.cost(id));
            return if lost { RequestEnd::Lost } else { RequestEnd::Served(cost) };
        }
        let node = self.hosts[at].node.as_ref();
        let model = node.and_then(|node| node.trace(id).map(|trace| trace.goal.clone()));
        let model = model.unwrap_or_default().replace("model ", "");
        let serves = self.targets.get_mut(target).is_some_and(|target| target.serves(&model));
        if !serves {
            return RequestEnd::Declined;
        }
        self.oracle.ran(id);
        if lost {
            RequestEnd::Lost
        } else {
            RequestEnd::Served(TokenCount(self.oracle.cost(id) / 2))
        }
    }
}
