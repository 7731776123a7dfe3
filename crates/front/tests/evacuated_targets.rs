//! Requests while the domains of targets are evacuated.

use std::sync::Arc;

use base::{ResultCode, Revision, TargetName, Time};
use fleet::{
    FleetLayout, RouteEntry, RouteKind, ServiceEntry, ServiceWeight, TargetEntry, TargetPhase,
};
use mango_front::{Arrival, AttemptEnd, DispatcherConfig, NextAction, RequestDispatcher, Step};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns a daemon with a target in each of two domains, both named after their domains.
fn dispatcher() -> RequestDispatcher {
    let service: base::Name = "plain".parse().unwrap();
    let mut route = RouteEntry::new("safe", "desk.example", "/", RouteKind::Safe);
    route.services = vec![ServiceWeight { service: service.clone(), weight: 1 }];
    route.attempts = 3;
    let service = ServiceEntry {
        name: service,
        max_connections: 100,
        engine: None,
        cold: Default::default(),
    };
    let layout = FleetLayout::builder(1).route(route).service(service).build();
    let config = DispatcherConfig::new("host".parse().unwrap(), "east".parse().unwrap());
    let mut dispatcher = RequestDispatcher::new(Time::ZERO, config);
    dispatcher.apply_layout(Time::ZERO, Arc::new(layout));
    add_target(&mut dispatcher, "east");
    add_target(&mut dispatcher, "west");
    dispatcher
}

fn add_target(dispatcher: &mut RequestDispatcher, name: &str) {
    let entry = TargetEntry {
        name: name.parse().unwrap(),
        service: "plain".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: name.parse().unwrap(),
        slots: 8,
        phase: TargetPhase::Ready,
        born_ms: 10,
        beat: 5,
        models: Vec::new(),
        copies: None,
        cold: Default::default(),
        version: Some(Default::default()),
    };
    dispatcher.targets_mut().apply_entry(Time::ZERO, entry);
}

/// Writes (true) or deletes the operator's entry of a domain.
fn change(dispatcher: &mut RequestDispatcher, now: Time, name: &str, is_evacuated: bool) {
    let (domain, revision) = (name.parse().unwrap(), Revision(now.as_micros()));
    dispatcher.targets_mut().change_evacuations(now, |table| match is_evacuated {
        true => table.put(now, &domain, revision),
        false => table.delete(&domain, revision),
    });
}

fn step(dispatcher: &mut RequestDispatcher, now: Time) -> (u64, Step) {
    let id = dispatcher.admit(now, &Arrival::new("desk.example", "/1")).unwrap();
    (id, dispatcher.step(now, id))
}

fn target_of(step: Step) -> TargetName {
    let Step::Send(dispatch) = step else { panic!("{step:?}") };
    dispatch.target
}

/// Guards against a request that is sent to a target of an evacuated domain: a new one, one whose
/// target was chosen before, a second attempt, and one that is rerouted.
#[test]
fn avoided_domain() {
    let mut dispatcher = dispatcher();
    let (early, first) = step(&mut dispatcher, at(1));
    let chosen = target_of(first);
    change(&mut dispatcher, at(2), chosen.as_str(), true);
    assert!(!dispatcher.targets().may_send(at(3), &chosen, None));
    assert_eq!(dispatcher.targets().evacuated_runs(), 1);
    assert_eq!(dispatcher.finish_attempt(at(3), early, AttemptEnd::Withheld), NextAction::Retry);
    let other = target_of(dispatcher.step(at(3), early));
    assert_ne!(other, chosen);
    for ms in 4..60 {
        let (id, sent) = step(&mut dispatcher, at(ms));
        assert_eq!(target_of(sent), other);
        assert!(!dispatcher.should_reroute(at(ms), id), "there is no other target");
        dispatcher.finish_attempt(at(ms), id, AttemptEnd::Abandoned);
    }
    assert_eq!(dispatcher.finish_attempt(at(70), early, AttemptEnd::Full(None)), NextAction::Retry);
    assert!(matches!(dispatcher.step(at(70), early), Step::Refuse(_)));
    change(&mut dispatcher, at(80), chosen.as_str(), false);
    assert!(dispatcher.targets().may_send(at(80), &chosen, None));
}

/// Guards against requests that wait while all domains are evacuated, also one of which a target is
/// listed later, and against restored targets that are avoided because they failed before.
#[test]
fn all_evacuated() {
    let mut dispatcher = dispatcher();
    change(&mut dispatcher, at(1), "west", true);
    let (id, sent) = step(&mut dispatcher, at(2));
    let failed = target_of(sent);
    dispatcher.finish_attempt(at(3), id, AttemptEnd::Lost);
    let health = |dispatcher: &RequestDispatcher| dispatcher.targets().health(at(5), &failed);
    assert!(health(&dispatcher).unwrap().avoided);
    for name in ["east", "north"] {
        change(&mut dispatcher, at(4), name, true);
    }
    add_target(&mut dispatcher, "north");
    let (_, Step::Refuse(refusal)) = step(&mut dispatcher, at(4)) else { panic!("no refusal") };
    assert_eq!(refusal.code, ResultCode::NoCapacity);
    assert!(refusal.retry_after.is_some());
    change(&mut dispatcher, at(5), "east", false);
    assert!(!health(&dispatcher).unwrap().avoided);
    assert_eq!(target_of(step(&mut dispatcher, at(5)).1), failed);
}
