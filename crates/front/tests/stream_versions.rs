//! Streams at targets of several software versions.

use std::sync::Arc;
use std::time::Duration;

use base::{ResultCode, Revision, Time, TokenCount};
use fleet::{
    EngineSpec, FleetLayout, HeldModel, LoadEstimate, ModelRef, RouteEntry, RouteKind,
    ServiceEntry, ServiceWeight, SoftwareVersion, SyncReply, TargetEntry, TargetPhase,
};
use mango_front::{Arrival, AttemptEnd, DispatcherConfig, NextAction, RequestDispatcher, Step};
use origin::{StreamOrigin, VersionMix};

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
    dispatcher.admit(at(10), &arrival(None)).unwrap()
}

/// Returns a request that continues a stream which began at the given version, or begins one.
fn arrival(begun: Option<&str>) -> Arrival {
    let mut arrival = Arrival::new("desk.example", "/stream/x");
    arrival.model = Some(ModelRef { model: "m".parse().unwrap(), adapter: None });
    arrival.tokens = Some((TokenCount(900), TokenCount(50)));
    arrival.origin = begun.map(|version| StreamOrigin {
        service: "engines".parse().unwrap(),
        version: Some(version).filter(|version| *version != "?").map(parse_version),
    });
    arrival
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

/// Versions of the engines, that of the stream, and where it goes on.
const TAKE_UPS: [(&[&str], &str, Option<&str>); 6] = [
    (&["v1", "v2"], "v1", Some("v1")),
    (&["v1", "v2"], "v2", Some("v2")),
    (&["v2", "v2"], "v1", None),
    (&["v1", "?"], "?", None),
    (&["?"], "v1", None),
    (&["v1", "v2", "v3"], "v3", Some("v3")),
];

/// Guards against a stream that its client takes up and that goes on at a target of another version, or
/// that waits although no target can continue it.
#[test]
fn taken_up_stream() {
    for (versions, begun, expected) in TAKE_UPS {
        let names: Vec<String> = (0..versions.len()).map(|n| format!("e-{n}")).collect();
        let engines: Vec<(&str, &str)> =
            names.iter().map(String::as_str).zip(versions.iter().copied()).collect();
        let mut dispatcher = dispatcher(&engines);
        let id = dispatcher.admit(at(10), &arrival(Some(begun))).unwrap();
        match dispatcher.step(at(11), id) {
            Step::Send(dispatch) => {
                let version = dispatch.version.map(|version| version.to_string());
                assert_eq!(version.as_deref(), expected, "{begun} at {versions:?}");
            }
            Step::Refuse(refusal) => {
                assert_eq!(None, expected, "{begun} at {versions:?}");
                assert_eq!(refusal.code, ResultCode::StreamUnavailable);
                assert_eq!(refusal.retry_after, None);
            }
            other => panic!("{begun} at {versions:?}: {other:?}"),
        }
    }
}

/// Returns the leader's reply to the first report, with the time until model `m` is held at v2.
fn reply(ready_ms: u64) -> SyncReply {
    let estimate = LoadEstimate {
        model: "m".parse().unwrap(),
        version: Some(parse_version("v2")),
        ready_ms: Some(ready_ms),
    };
    SyncReply {
        fence: 1,
        number: 1,
        seats: 1,
        grants: Vec::new(),
        outlooks: vec![estimate],
        busy: Vec::new(),
        held: Vec::new(),
        retiring: Vec::new(),
        leaving: Vec::new(),
        limits: Vec::new(),
        cold: Vec::new(),
        changes: None,
        layout: None,
        layout_update: None,
    }
}

/// A taken-up stream whose model only targets of other versions hold waits for a load at its own, if that
/// can be in time, and goes nowhere else.
#[test]
fn unheld_model() {
    for (ready_ms, is_in_time) in [(900, true), (4_990, false), (60_000, false)] {
        let mut dispatcher = dispatcher(&[("e-0", "v1")]);
        let entry = TargetEntry { models: Vec::new(), ..engine("e-1", "v2") };
        dispatcher.targets_mut().apply_entry(at(1), entry);
        let id = dispatcher.admit(at(10), &arrival(Some("v2"))).unwrap();
        assert!(matches!(dispatcher.step(at(11), id), Step::Wait(_)));
        let report = dispatcher.report(at(12), Revision(1));
        let waiting: Vec<_> = report.demand.iter().filter(|demand| demand.waiting > 0).collect();
        assert_eq!(waiting.len(), 1);
        assert_eq!(waiting[0].version, Some(parse_version("v2")));
        dispatcher.apply_reply(at(20), at(12), &reply(ready_ms));
        match dispatcher.step(at(21), id) {
            Step::Wait(_) if is_in_time => {}
            Step::Refuse(refusal) if !is_in_time => {
                assert_eq!(refusal.code, ResultCode::NoCapacity);
                assert!(refusal.retry_after >= Some(Duration::from_millis(ready_ms - 1)));
                continue;
            }
            other => panic!("{ready_ms}: {other:?}"),
        }
        dispatcher.targets_mut().apply_entry(at(900), engine("e-1", "v2"));
        assert_eq!(next_version(&mut dispatcher, at(901), id).as_deref(), Some("v2"));
    }
}

/// Streams begin only at the versions that the fleet has announced; other requests go anywhere.
#[test]
fn announced_versions() {
    let service = "engines".parse().unwrap();
    let mut dispatcher = dispatcher(&[("e-0", "v2")]);
    let set_mix = |dispatcher: &mut RequestDispatcher, mix, revision| {
        dispatcher.targets_mut().mixes_mut().set(&service, Some(mix), Revision(revision));
    };
    set_mix(&mut dispatcher, VersionMix::Only(parse_version("v1")), 1);
    let id = admit(&mut dispatcher);
    let Step::Wait(until) = dispatcher.step(at(11), id) else { panic!("sent to v2") };
    assert!(until > at(11), "a wait without an end");
    set_mix(&mut dispatcher, VersionMix::Opening(parse_version("v1")), 2);
    assert!(matches!(dispatcher.step(at(200), id), Step::Wait(_)));
    dispatcher.targets_mut().apply_entry(at(201), engine("e-1", "v1"));
    assert_eq!(next_version(&mut dispatcher, at(210), id).as_deref(), Some("v1"));
    set_mix(&mut dispatcher, VersionMix::Any, 3);
    dispatcher.targets_mut().remove_target(at(220), &"e-1".parse().unwrap());
    let id = admit(&mut dispatcher);
    assert_eq!(next_version(&mut dispatcher, at(230), id).as_deref(), Some("v2"));
}
