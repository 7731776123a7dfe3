//! Choice of a target for a request, and what follows when the attempt fails.

use std::sync::Arc;
use std::time::Duration;

use base::{ResultCode, SecretKey, Time, TokenCount};
use fleet::{
    EngineSpec, FleetLayout, HeldModel, ModelRef, PromptPart, RouteEntry, RouteKind, ServiceEntry,
    ServiceWeight, TargetEntry, TargetPhase, TeamEntry,
};
use mango_front::{
    Arrival, AttemptEnd, Dispatch, DispatcherConfig, NextAction, Refusal, RequestDispatcher, Step,
};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn layout() -> Arc<FleetLayout> {
    let route = |name: &str, kind: RouteKind, service: &str, attempts: u32| {
        let mut route = RouteEntry::new(name, "desk.example", &format!("/{name}/"), kind);
        route.services = vec![ServiceWeight { service: service.parse().unwrap(), weight: 1 }];
        route.attempts = attempts;
        route.timeout = Duration::from_secs(5);
        route
    };
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
    let service = |name: &str, engine| ServiceEntry {
        name: name.parse().unwrap(),
        max_connections: 100,
        engine,
        cold: Default::default(),
    };
    let layout = FleetLayout::builder(1)
        .route(route("safe", RouteKind::Safe, "plain", 2))
        .route(route("unsafe", RouteKind::Unsafe, "plain", 1))
        .route(route("stream", RouteKind::Stream { resumable: false }, "engines", 1))
        .service(service("plain", None))
        .service(service("engines", Some(engine)));
    Arc::new(layout.build())
}

fn target(name: &str, service: &str, domain: &str, models: &[&str]) -> TargetEntry {
    let held =
        |name: &&str| HeldModel { name: name.parse().unwrap(), version: 1, adapters: Vec::new() };
    TargetEntry {
        name: name.parse().unwrap(),
        service: service.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: domain.parse().unwrap(),
        slots: 8,
        phase: TargetPhase::Ready,
        born_ms: 10,
        beat: 5,
        models: models.iter().map(held).collect(),
        copies: None,
        cold: Default::default(),
        version: Some(Default::default()),
    }
}

fn dispatcher(targets: Vec<TargetEntry>) -> RequestDispatcher {
    let config = DispatcherConfig::new("host".parse().unwrap(), "east".parse().unwrap());
    let mut dispatcher = RequestDispatcher::new(Time::ZERO, config);
    dispatcher.apply_layout(Time::ZERO, layout());
    for entry in targets {
        dispatcher.targets_mut().apply_entry(Time::ZERO, entry);
    }
    dispatcher
}

fn admit(dispatcher: &mut RequestDispatcher, now: Time, path: &str) -> u64 {
    let mut arrival = Arrival::new("desk.example", path);
    if path.starts_with("/stream/") {
        arrival.model = Some(ModelRef { model: "m".parse().unwrap(), adapter: None });
        arrival.tokens = Some((TokenCount(4_000), TokenCount(50)));
        // No two requests share their first part.
        let part = |id: u64, tokens: u64| PromptPart { id, tokens };
        arrival.parts = vec![part(now.as_micros(), 3_000), part(1, 1_000)];
    }
    dispatcher.admit(now, &arrival).unwrap()
}

fn sent(step: Step) -> Dispatch {
    match step {
        Step::Send(dispatch) => *dispatch,
        other => panic!("{other:?}"),
    }
}

fn refused(after: NextAction) -> Refusal {
    match after {
        NextAction::Final(refusal) => refusal,
        other => panic!("{other:?}"),
    }
}

/// A request that is unsafe to repeat and may have run is neither sent again nor refused as not
/// run.
#[test]
fn lost_unsafe() {
    let ends = [AttemptEnd::Lost, AttemptEnd::Silent, AttemptEnd::Broken];
    for end in ends {
        let mut dispatcher = dispatcher(vec![
            target("t1", "plain", "east", &[]),
            target("t2", "plain", "east", &[]),
        ]);
        let id = admit(&mut dispatcher, at(0), "/unsafe/1");
        sent(dispatcher.step(at(0), id));
        let refusal = refused(dispatcher.finish_attempt(at(10), id, end));
        assert!(refusal.code.status() >= 502 && refusal.code.status() != 503, "{end:?}");
        assert_eq!(refusal.retry_after, None);
    }
}

/// When a full target states that it did not run a request, the request is refused as not run.
#[test]
fn full_target() {
    let mut dispatcher = dispatcher(vec![target("t1", "plain", "east", &[])]);
    let id = admit(&mut dispatcher, at(0), "/unsafe/1");
    sent(dispatcher.step(at(0), id));
    let refusal = refused(dispatcher.finish_attempt(at(10), id, AttemptEnd::Full(None)));
    assert_eq!(refusal.code, ResultCode::NoCapacity);
    assert!(refusal.retry_after.is_some());
}

/// A target whose address another one has taken gets no requests until its entry changes.
#[test]
fn replaced_target() {
    let mut dispatcher =
        dispatcher(vec![target("t1", "plain", "east", &[]), target("t2", "plain", "east", &[])]);
    let id = admit(&mut dispatcher, at(0), "/unsafe/1");
    let first = sent(dispatcher.step(at(0), id)).target;
    assert_eq!(dispatcher.finish_attempt(at(5), id, AttemptEnd::Replaced), NextAction::Retry);
    let second = sent(dispatcher.step(at(5), id)).target;
    assert_ne!(first, second);
    for ms in (100..4_000).step_by(100) {
        let id = admit(&mut dispatcher, at(ms), "/unsafe/1");
        assert_eq!(sent(dispatcher.step(at(ms), id)).target, second);
        dispatcher.finish_attempt(at(ms + 10), id, AttemptEnd::Served);
    }
    assert_eq!(dispatcher.targets().unreachable(at(200)), [first]);
}

/// A failure domain is cut off, and connections to it hang. Once two of its targets are silent, its
/// other targets get no requests either.
#[test]
fn unreachable_domain() {
    let mut entries: Vec<TargetEntry> =
        (0..10).map(|n| target(&format!("w{n}"), "engines", "west", &["m"])).collect();
    entries.extend((0..2).map(|n| target(&format!("e{n}"), "engines", "east", &["m"])));
    let mut dispatcher = dispatcher(entries);
    let mut west = std::collections::BTreeSet::new();
    // About the rate at which one daemon gets requests for a popular model.
    for round in 0..40u64 {
        let now = at(round * 150);
        let id = admit(&mut dispatcher, now, "/stream/1");
        let Step::Send(dispatch) = dispatcher.step(now, id) else { continue };
        if dispatch.target.as_str().starts_with('w') {
            west.insert(dispatch.target);
            continue;
        }
        dispatcher.record_answer_start(now, id, None);
        dispatcher.finish_attempt(now, id, AttemptEnd::Served);
    }
    assert!(west.len() <= 6, "requests went to {west:?}");
}

/// A late entry of an earlier start, or an older entry of the same start, changes nothing.
#[test]
fn late_entry() {
    let mut dispatcher = dispatcher(vec![target("t1", "engines", "east", &["m"])]);
    let mut late = target("t1", "engines", "east", &[]);
    late.beat = 4;
    assert!(!dispatcher.targets_mut().apply_entry(at(1), late.clone()));
    late.beat = 99;
    late.born_ms = 9;
    assert!(!dispatcher.targets_mut().apply_entry(at(2), late.clone()));
    late.born_ms = 11;
    late.beat = 1;
    assert!(dispatcher.targets_mut().apply_entry(at(3), late));
}

/// Targets that are missing from the first list after an outage are kept during the grace period
/// and removed after it.
#[test]
fn lapsed_target() {
    let mut dispatcher = dispatcher(vec![target("t1", "plain", "east", &[])]);
    let grace = Duration::from_secs(2);
    dispatcher.targets_mut().replace_entries(at(100), Vec::new(), Some(grace));
    let id = admit(&mut dispatcher, at(200), "/unsafe/1");
    sent(dispatcher.step(at(200), id));
    assert_eq!(dispatcher.targets_mut().expire(at(2_000)), []);
    assert_eq!(dispatcher.targets_mut().expire(at(2_100)).len(), 1);
    let id = admit(&mut dispatcher, at(2_200), "/unsafe/1");
    assert!(matches!(dispatcher.step(at(2_200), id), Step::Refuse(_)));
}

/// A stream that can't begin in time is refused before its deadline, because its client leaves.
#[test]
fn late_first_event() {
    let mut dispatcher = dispatcher(vec![target("t1", "engines", "east", &["other"])]);
    let id = admit(&mut dispatcher, at(0), "/stream/1");
    let mut now = at(0);
    let refusal = loop {
        match dispatcher.step(now, id) {
            Step::Wait(until) => now = until,
            Step::Refuse(refusal) => break refusal,
            other => panic!("{other:?}"),
        }
    };
    assert!(now <= at(4_000), "{now}");
    assert_eq!(refusal.code.status(), 503);
}

/// An older layout never replaces a newer one.
#[test]
fn older_layout() {
    let mut dispatcher = dispatcher(Vec::new());
    assert!(dispatcher.apply_layout(at(1), Arc::new(FleetLayout::builder(5).build())));
    assert!(!dispatcher.apply_layout(at(2), layout()));
    assert!(dispatcher.admit(at(3), &Arrival::new("desk.example", "/safe/1")).is_err());
}

/// A request that waits while its key is withdrawn is no longer sent, but refused as not run. A
/// request whose key stays valid is sent.
#[test]
fn withdrawn_key() {
    let with_key = |version: u64, key: &str| {
        let team = TeamEntry {
            name: "atelier".parse().unwrap(),
            priority: 0,
            allowance: None,
            keys: vec![SecretKey::new(key).hash()],
        };
        let known = layout();
        let mut builder = FleetLayout::builder(version).team(team);
        for service in known.services() {
            builder = builder.service(service.clone());
        }
        Arc::new(builder.route(known.route("desk.example", "/safe/1").unwrap().clone()).build())
    };
    let mut dispatcher = dispatcher(vec![target("t1", "plain", "east", &[])]);
    dispatcher.apply_layout(at(0), with_key(2, "first"));
    let mut arrival = Arrival::new("desk.example", "/safe/1");
    arrival.key = Some(SecretKey::new("first").hash());
    let stays = dispatcher.admit(at(0), &arrival).unwrap();
    dispatcher.apply_layout(at(5), with_key(3, "first"));
    sent(dispatcher.step(at(10), stays));
    let waits = dispatcher.admit(at(20), &arrival).unwrap();
    dispatcher.apply_layout(at(30), with_key(4, "second"));
    match dispatcher.step(at(40), waits) {
        Step::Refuse(refusal) => assert_eq!(refusal.code, ResultCode::KeyRejected),
        other => panic!("{other:?}"),
    }
}

/// A target that asked for a pause gets one probe after it. If the probe is abandoned without an
/// answer, the next one doesn't follow at once.
#[test]
fn silent_probe() {
    let mut dispatcher = dispatcher(vec![target("t1", "plain", "east", &[])]);
    let name = "t1".parse().unwrap();
    let until = dispatcher.pause_target(at(0), &name, Duration::from_secs(2));
    let probe = admit(&mut dispatcher, until, "/safe/1");
    sent(dispatcher.step(until, probe));
    dispatcher.finish_attempt(until + Duration::from_millis(100), probe, AttemptEnd::Silent);
    let soon = until + Duration::from_millis(110);
    let next = admit(&mut dispatcher, soon, "/safe/2");
    let step = dispatcher.step(soon, next);
    assert!(!matches!(step, Step::Send(_)), "{step:?}");
    let later = until + Duration::from_millis(600);
    let last = admit(&mut dispatcher, later, "/safe/3");
    sent(dispatcher.step(later, last));
}
