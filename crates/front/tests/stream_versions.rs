//! Streams at targets of several software versions.

use std::sync::Arc;
use std::time::Duration;

use base::{Time, TokenCount};
use fleet::{
    EngineSpec, FleetLayout, HeldModel, ModelRef, RouteEntry, RouteKind, ServiceEntry,
    ServiceWeight, SoftwareVersion, TargetEntry, TargetPhase,
};
use mango_front::{Arrival, AttemptEnd, DispatcherConfig, NextAction, RequestDispatcher, Step};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn layout() -> Arc<FleetLayout> {
    let kind = RouteKind::Stream { resumable: true };
    let mut route = RouteEntry::new("stream", "desk.example", "/stream/", kind);
    route.services = vec![ServiceWeight { service: "engines".parse().unwrap(), weight: 1 }];
    route.attempts = 3;
    route.timeout = Duration::from_secs(5);
    let engine = EngineSpec {
        slots: 8,
        token_capacity: TokenCount(100_000),
        weight_mb: 230.0,
        max_adapters: 2,
        loads_per_second: 3.0,
        host_mb: 200.0,
        disk_mb: 800.0,
        models: Default::default(),
    };
    let service = ServiceEntry {
        name: "engines".parse().unwrap(),
        max_connections: 100,
        engine: Some(engine),
        cold: Default::default(),
    };
    Arc::new(FleetLayout::builder(1).route(route).service(service).build())
}

/// Returns the entry of an engine; `version` is `?` for one that can't be read.
fn engine(name: &str, version: &str) -> TargetEntry {
    TargetEntry {
        name: name.parse().unwrap(),
        service: "engines".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "east".parse().unwrap(),
        slots: 8,
        phase: TargetPhase::Ready,
        born_ms: 10,
        beat: 5,
        models: vec![HeldModel { name: "m".parse().unwrap(), version: 1, adapters: Vec::new() }],
        copies: None,
        cold: Default::default(),
        version: Some(version).filter(|version| *version != "?").map(parse_version),
    }
}

fn parse_version(text: &str) -> SoftwareVersion {
    text.parse().unwrap()
}

fn dispatcher(engines: &[(&str, &str)]) -> RequestDispatcher {
    let config = DispatcherConfig::new("host".parse().unwrap(), "east".parse().unwrap());
    let mut dispatcher = RequestDispatcher::new(Time::ZERO, config);
    dispatcher.apply_layout(Time::ZERO, layout());
    for (name, version) in engines {
        dispatcher.targets_mut().apply_entry(Time::ZERO, engine(name, version));
    }
    dispatcher
}

fn admit(dispatcher: &mut RequestDispatcher) -> u64 {
    let mut arrival = Arrival::new("desk.example", "/stream/x");
    arrival.model = Some(ModelRef { model: "m".parse().unwrap(), adapter: None });
    arrival.tokens = Some((TokenCount(900), TokenCount(50)));
    dispatcher.admit(at(10), &arrival).unwrap()
}

/// Returns the version that the request is sent to next, or `None` if it is refused.
fn next_version(dispatcher: &mut RequestDispatcher, now: Time, id: u64) -> Option<String> {
    match dispatcher.step(now, id) {
        Step::Send(dispatch) => {
            Some(dispatch.version.map_or("?".to_owned(), |version| version.to_string()))
        }
        Step::Refuse(_) => None,
        other => panic!("{other:?}"),
    }
}

/// Versions of the engines, and the versions at which a stream may go on that began at the first.
const CASES: [(&[&str], &[&str]); 6] = [
    (&["v1", "v1"], &["v1"]),
    (&["v1", "v2"], &[]),
    (&["v1", "v2", "v1"], &["v1"]),
    (&["v2", "v1", "v1", "v2"], &["v2"]),
    (&["v1", "?"], &[]),
    (&["?", "?"], &[]),
];

/// Guards against a stream that breaks off and goes on at a target of another software version.
#[test]
fn broken_stream() {
    for (versions, expected) in CASES {
        for seed in 0..10 {
            let names: Vec<String> = (0..versions.len()).map(|n| format!("e-{n}")).collect();
            let engines: Vec<(&str, &str)> =
                names.iter().map(String::as_str).zip(versions.iter().copied()).collect();
            // Only the first engine is there at first.
            let mut dispatcher = dispatcher(&engines[..1]);
            let id = admit(&mut dispatcher);
            assert_eq!(next_version(&mut dispatcher, at(11), id).as_deref(), Some(versions[0]));
            for (name, version) in &engines[1..] {
                dispatcher.targets_mut().apply_entry(at(12), engine(name, version));
            }
            dispatcher.record_answer_start(at(80), id, None);
            dispatcher.record_stream_start(id);
            let action = dispatcher.finish_attempt(at(90 + seed), id, AttemptEnd::Broken);
            let next = match action {
                NextAction::Retry => next_version(&mut dispatcher, at(91 + seed), id),
                NextAction::Final(_) => None,
                NextAction::PassOn => panic!("{versions:?}"),
            };
            let next: Vec<&str> = next.iter().map(String::as_str).collect();
            assert_eq!(next, expected, "{versions:?}, seed {seed}");
        }
    }
}

/// Before its first event a stream may go to a target of any version.
#[test]
fn unbegun_stream() {
    let mut dispatcher = dispatcher(&[("e-0", "v1")]);
    let id = admit(&mut dispatcher);
    assert_eq!(next_version(&mut dispatcher, at(11), id).as_deref(), Some("v1"));
    dispatcher.targets_mut().apply_entry(at(12), engine("e-1", "v2"));
    assert_eq!(dispatcher.finish_attempt(at(50), id, AttemptEnd::Broken), NextAction::Retry);
    assert_eq!(next_version(&mut dispatcher, at(51), id).as_deref(), Some("v2"));
}
