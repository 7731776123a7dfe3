//! A dispatcher in domain `a` with two targets of one plain service in each of three domains.

use std::sync::Arc;
use std::time::Duration;

use base::{TargetName, Time};
use fleet::{
    FleetLayout, RouteEntry, RouteKind, ServiceEntry, ServiceWeight, TargetEntry, TargetPhase,
};
use mango_front::{Arrival, DispatcherConfig, RequestDispatcher};

pub fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns the names of a domain's targets.
pub fn target_names(domain: &str) -> Vec<TargetName> {
    (0..2).map(|number| format!("{domain}-{number}").parse().unwrap()).collect()
}

pub fn dispatcher() -> RequestDispatcher {
    let config = DispatcherConfig::new("host-1".parse().unwrap(), "a".parse().unwrap()).seed(7);
    let mut dispatcher = RequestDispatcher::new(at(0), config);
    let mut route = RouteEntry::new("safe", "desk.example", "/safe/", RouteKind::Safe);
    route.services = vec![ServiceWeight { service: "plain".parse().unwrap(), weight: 1 }];
    (route.attempts, route.timeout) = (2, Duration::from_secs(5));
    let service = ServiceEntry {
        name: "plain".parse().unwrap(),
        max_connections: 100,
        engine: None,
        cold: Default::default(),
    };
    let layout = FleetLayout::builder(1).route(route).service(service).build();
    dispatcher.apply_layout(at(0), Arc::new(layout));
    let domains = ["a", "b", "c"].into_iter();
    let entries = domains.flat_map(|domain| {
        target_names(domain).into_iter().map(move |name| target_entry(name, domain))
    });
    dispatcher.targets_mut().replace_entries(at(0), entries.collect(), None);
    dispatcher
}

/// Admits a request that may be repeated.
pub fn admit(dispatcher: &mut RequestDispatcher, ms: u64) -> u64 {
    dispatcher.admit(at(ms), &Arrival::new("desk.example", "/safe/x")).unwrap()
}

fn target_entry(name: TargetName, domain: &str) -> TargetEntry {
    TargetEntry {
        name,
        service: "plain".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: domain.parse().unwrap(),
        slots: 8,
        phase: TargetPhase::Ready,
        born_ms: 10,
        beat: 5,
        models: Vec::new(),
        copies: None,
        cold: Default::default(),
        version: Some(Default::default()),
    }
}
