//! A target of the simulated fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use base::{OrderId, Time};
use place::{OrderKind, OrderMessage, OrderOutcome, ReplicaReport, TargetReport};

use super::TARGET_MEMORY;

const LOAD_TIME: Duration = Duration::from_millis(400);

struct LoadedReplica {
    memory: u64,
    ready_at: Time,
    served: u64,
}

pub struct Target {
    pub domain: &'static str,
    fencing: bool,
    /// Highest fencing token received.
    fence: u64,
    boot: u64,
    replicas: BTreeMap<String, LoadedReplica>,
    /// Load orders received since the last restart.
    orders: Vec<OrderId>,
    now: Time,
    /// Number of orders, from now on, whose answers are lost.
    pub answers_to_lose: u32,
    /// Delay of answers to orders.
    pub delay: Duration,
}

impl Target {
    pub fn new(domain: &'static str, fencing: bool) -> Target {
        Target {
            domain,
            fencing,
            fence: 0,
            boot: 1,
            replicas: BTreeMap::new(),
            orders: Vec::new(),
            now: Time::ZERO,
            answers_to_lose: 0,
            delay: Duration::ZERO,
        }
    }

    pub fn advance(&mut self, now: Time) {
        self.now = now;
    }

    pub fn has_replica(&self, model: &str) -> bool {
        self.replicas.contains_key(model)
    }

    /// Executes an order.
    ///
    /// # Panics
    ///
    /// Panics if a model is loaded without a plan entry or the memory is exceeded: both break a
    /// guarantee.
    pub fn handle_order(
        &mut self,
        now: Time,
        message: &OrderMessage,
        is_planned: bool,
    ) -> OrderOutcome {
        if message.kind == OrderKind::Load {
            self.orders.push(message.id);
        }
        if self.fencing && message.fence.0 < self.fence {
            return OrderOutcome::Refused;
        }
        self.fence = self.fence.max(message.fence.0);
        let model = message.model.as_str();
        match message.kind {
            OrderKind::Unload => {
                self.replicas.remove(model);
            }
            OrderKind::Load if self.has_replica(model) => {}
            OrderKind::Load => {
                assert!(is_planned, "{model} is loaded without a plan entry");
                let memory = message.memory.0;
                let replica = LoadedReplica { memory, ready_at: now + LOAD_TIME, served: 0 };
                self.replicas.insert(model.to_owned(), replica);
                let used: u64 = self.replicas.values().map(|replica| replica.memory).sum();
                assert!(used <= TARGET_MEMORY, "{used} of {TARGET_MEMORY} memory is used");
            }
        }
        OrderOutcome::Accepted
    }

    /// Serves a request if the model's replica is ready. Returns whether it did.
    pub fn try_serve(&mut self, model: &str) -> bool {
        let now = self.now;
        let replica = self.replicas.get_mut(model).filter(|replica| replica.ready_at <= now);
        replica.map(|replica| replica.served += 1).is_some()
    }

    /// Restarts the target, which loses its replicas.
    pub fn restart(&mut self) {
        self.replicas.clear();
        self.orders.clear();
        self.boot += 1;
    }

    pub fn report(&self) -> TargetReport {
        let replicas = self.replicas.iter().map(|(model, replica)| ReplicaReport {
            model: model.parse().unwrap(),
            ready: replica.ready_at <= self.now,
            running: 0,
            served: replica.served,
        });
        let orders = self.orders.clone();
        TargetReport {
            boot: self.boot,
            replicas: replicas.collect(),
            orders,
            running: 0,
            waiting: 0,
        }
    }
}
