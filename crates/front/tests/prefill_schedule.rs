//! Long prompts that the leader schedules.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use base::{ResultCode, Revision, Time, TokenCount};
use fleet::{
    ColdSetting, EngineSpec, FleetLayout, HeldModel, PromptPart, RouteEntry, RouteKind,
    ServiceEntry, ServiceWeight, SyncReply, TargetEntry, TargetLoad, TargetPhase, TargetSlowdown,
};
use limit::{ColdNotice, ColdSpec};
use mango_front::{
    Arrival, AttemptEnd, DispatcherConfig, FetchEnd, NextAction, RequestDispatcher, Step,
};
use prefill::{PrefillRequest, PrefillVerdict};

const LONG: u64 = 9_000;
const SHORT: u64 = 800;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn layout() -> Arc<FleetLayout> {
    let kind = RouteKind::Stream { resumable: true };
    let mut route = RouteEntry::new("stream", "desk.example", "/stream/", kind);
    route.services = vec![ServiceWeight { service: "engines".parse().unwrap(), weight: 1 }];
    route.max_pause = Some(Duration::from_millis(500));
    route.attempts = 2;
    route.timeout = Duration::from_secs(60);
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
    let mut plain_route = RouteEntry::new("plain", "desk.example", "/plain/", RouteKind::Safe);
    plain_route.services = vec![ServiceWeight { service: "plain".parse().unwrap(), weight: 1 }];
    let plain = ServiceEntry {
        name: "plain".parse().unwrap(),
        max_connections: 100,
        engine: None,
        cold: Default::default(),
    };
    let service = ServiceEntry {
        name: "engines".parse().unwrap(),
        max_connections: 100,
        engine: Some(engine),
        cold: ColdSetting::Set(
            ColdSpec::new(Duration::from_secs(3), "7.5".parse().unwrap()).unwrap(),
        ),
    };
    Arc::new(
        FleetLayout::builder(1)
            .route(route)
            .route(plain_route)
            .service(service)
            .service(plain)
            .build(),
    )
}

fn target(name: &str, domain: &str) -> TargetEntry {
    TargetEntry {
        name: name.parse().unwrap(),
        service: "engines".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: domain.parse().unwrap(),
        slots: 8,
        phase: TargetPhase::Ready,
        born_ms: 10,
        beat: 5,
        models: vec![HeldModel { name: "lace".parse().unwrap(), version: 1, adapters: Vec::new() }],
        copies: None,
        cold: Default::default(),
        version: Some(Default::default()),
    }
}

/// Returns a dispatcher with two engines. If `slowdown` is given, one of them has stated it.
fn dispatcher(always: bool, slowdown: Option<u32>) -> RequestDispatcher {
    let mut dispatcher = dispatcher_with(always, &[("engine-1", "east"), ("engine-2", "east")]);
    if let Some(percent) = slowdown {
        let id = admit(&mut dispatcher, SHORT);
        assert!(matches!(dispatcher.step(at(1), id), Step::Send(_)));
        let slowdown = TargetSlowdown::from_percent(percent);
        let load = TargetLoad { running: 1, waiting: 0, slots: 8, slowdown };
        dispatcher.record_answer_start(at(20), id, Some(load));
        dispatcher.abandon(at(21), id);
    }
    dispatcher
}

/// Returns a dispatcher with engines in failure domains.
fn dispatcher_with(always: bool, engines: &[(&str, &str)]) -> RequestDispatcher {
    let config = DispatcherConfig::new("host".parse().unwrap(), "east".parse().unwrap());
    let mut dispatcher = RequestDispatcher::new(at(0), config.schedules_prefill(always));
    dispatcher.apply_layout(at(0), layout());
    for (name, domain) in engines {
        dispatcher.targets_mut().apply_entry(at(0), target(name, domain));
    }
    dispatcher
}

/// Makes the dispatcher hear the leader, which it asks for prefill time otherwise only for a short time.
fn hear_leader(dispatcher: &mut RequestDispatcher, now: Time) {
    let reply = SyncReply {
        fence: 1,
        number: dispatcher.report(now, Revision(1)).number,
        seats: 1,
        grants: Vec::new(),
        outlooks: Vec::new(),
        busy: Vec::new(),
        held: Vec::new(),
        retiring: Vec::new(),
        leaving: Vec::new(),
        limits: Vec::new(),
        cold: Vec::new(),
        changes: None,
        layout: None,
        layout_update: None,
    };
    dispatcher.apply_reply(now, now, &reply);
}

fn arrival(dispatcher: &RequestDispatcher, tokens: u64) -> Arrival {
    let mut arrival = Arrival::new("desk.example", "/stream/1");
    arrival.model = Some("lace".parse().unwrap());
    arrival.tokens = Some((TokenCount(tokens), TokenCount(50)));
    // No two requests share a part, so nothing of them is cached.
    arrival.parts = vec![PromptPart { id: dispatcher.counts().admitted, tokens }];
    arrival
}

fn admit(dispatcher: &mut RequestDispatcher, tokens: u64) -> u64 {
    let arrival = arrival(dispatcher, tokens);
    dispatcher.admit(at(1), &arrival).unwrap()
}

fn ask(dispatcher: &mut RequestDispatcher, now: Time, id: u64) -> Box<PrefillRequest> {
    match dispatcher.step(now, id) {
        Step::Reserve(request) => request,
        step => panic!("the request should be scheduled: {step:?}"),
    }
}

fn send_verdict(target: &str, wait_ms: u32) -> PrefillVerdict {
    PrefillVerdict::Send { target: target.parse().unwrap(), wait_ms }
}

/// Guards against a change for deployments whose targets state no slowdown, and for short prompts.
#[test]
fn unscheduled_requests() {
    for (always, slowdown, tokens, is_scheduled) in [
        (false, None, LONG, false),
        (false, None, SHORT, false),
        (false, Some(120), SHORT, false),
        (true, None, SHORT, false),
        (false, Some(120), LONG, true),
        (true, None, LONG, true),
    ] {
        let mut dispatcher = dispatcher(always, slowdown);
        let id = admit(&mut dispatcher, tokens);
        let step = dispatcher.step(at(100), id);
        let case = (always, slowdown, tokens);
        assert_eq!(matches!(step, Step::Reserve(_)), is_scheduled, "{case:?}: {step:?}");
        assert!(is_scheduled || matches!(step, Step::Send(_)), "{case:?}: {step:?}");
    }
}

/// Guards against a prompt that is sent before its time or to another engine than the reserved one.
#[test]
fn reserved_engine() {
    for engine in ["engine-1", "engine-2"] {
        let mut dispatcher = dispatcher(true, None);
        let id = admit(&mut dispatcher, LONG);
        let request = ask(&mut dispatcher, at(100), id);
        assert_eq!((request.candidates.len(), request.max_pause_ms), (2, 500));
        assert!(request.candidates.iter().all(|candidate| candidate.work_ms > 200));
        dispatcher.finish_reserve(at(104), id, Some(&send_verdict(engine, 200)));
        assert_eq!(dispatcher.step(at(200), id), Step::Wait(at(304)));
        match dispatcher.step(at(304), id) {
            Step::Send(dispatch) => assert_eq!(dispatch.target.as_str(), engine),
            step => panic!("{step:?}"),
        }
    }
}

/// Guards against requests that wait for a leader that doesn't answer.
#[test]
fn silent_leader() {
    let mut dispatcher = dispatcher(true, None);
    let id = admit(&mut dispatcher, LONG);
    ask(&mut dispatcher, at(100), id);
    dispatcher.finish_reserve(at(220), id, None);
    assert!(matches!(dispatcher.step(at(220), id), Step::Send(_)));
    // For a while the next ones don't even ask.
    let next = admit(&mut dispatcher, LONG);
    assert!(matches!(dispatcher.step(at(221), next), Step::Send(_)));
    let later = admit(&mut dispatcher, LONG);
    ask(&mut dispatcher, at(900), later);
}

/// Guards against a reservation that outlives its engine.
#[test]
fn lost_engine() {
    let mut dispatcher = dispatcher(true, None);
    let id = admit(&mut dispatcher, LONG);
    ask(&mut dispatcher, at(100), id);
    dispatcher.finish_reserve(at(104), id, Some(&send_verdict("engine-1", 200)));
    dispatcher.targets_mut().remove_target(at(150), &"engine-1".parse().unwrap());
    let request = ask(&mut dispatcher, at(160), id);
    assert_eq!(request.candidates.len(), 1);
    dispatcher.finish_reserve(at(164), id, Some(&send_verdict("engine-2", 0)));
    assert!(matches!(dispatcher.step(at(165), id), Step::Send(_)));
}

/// Guards against a request that stays bound to its reserved engine, and so is refused or held up,
/// after the engine's domain was evacuated or the engine became cold, while another engine could serve
/// it.
#[test]
fn unusable_engine() {
    for is_evacuated in [true, false] {
        for reserved in ["engine-1", "engine-2"] {
            let mut dispatcher = dispatcher(true, None);
            let mut west = target("engine-2", "west");
            west.beat = 6;
            dispatcher.targets_mut().apply_entry(at(0), west);
            let id = admit(&mut dispatcher, LONG);
            ask(&mut dispatcher, at(100), id);
            dispatcher.finish_reserve(at(104), id, Some(&send_verdict(reserved, 200)));
            let (domain, other) = match reserved {
                "engine-1" => ("east".parse().unwrap(), "engine-2"),
                _ => ("west".parse().unwrap(), "engine-1"),
            };
            let targets = dispatcher.targets_mut();
            if is_evacuated {
                targets
                    .change_evacuations(at(150), |table| table.put(at(150), &domain, Revision(8)));
            } else {
                let notice = ColdNotice::Left(Duration::from_secs(3));
                targets.record_cold(at(150), &reserved.parse().unwrap(), at(140), notice);
            }
            let request = ask(&mut dispatcher, at(160), id);
            assert_eq!(request.candidates.len(), 1);
            dispatcher.finish_reserve(at(164), id, Some(&send_verdict(other, 0)));
            match dispatcher.step(at(165), id) {
                Step::Send(dispatch) => assert_eq!(dispatch.target.as_str(), other),
                step => panic!("{step:?}"),
            }
        }
    }
}

/// Guards against requests that are held until their deadline although no engine has time for them.
#[test]
fn rejected_prompt() {
    let mut dispatcher = dispatcher(true, None);
    let id = admit(&mut dispatcher, LONG);
    ask(&mut dispatcher, at(100), id);
    dispatcher.finish_reserve(at(104), id, Some(&PrefillVerdict::AskAgain { wait_ms: 90 }));
    assert_eq!(dispatcher.step(at(110), id), Step::Wait(at(194)));
    ask(&mut dispatcher, at(194), id);
    dispatcher.finish_reserve(at(198), id, Some(&PrefillVerdict::Reject { wait_ms: 1_700 }));
    match dispatcher.step(at(198), id) {
        Step::Refuse(refusal) => {
            assert_eq!(refusal.code, ResultCode::NoCapacity);
            assert_eq!(refusal.retry_after, Some(Duration::from_millis(1_700)));
        }
        step => panic!("{step:?}"),
    }
}

/// Guards against a request that keeps a reservation on an engine that it may not use any more, although
/// another engine holds the model.
#[test]
fn evacuated_engine() {
    let mut dispatcher = dispatcher_with(true, &[("engine-1", "west"), ("engine-2", "east")]);
    let id = admit(&mut dispatcher, LONG);
    ask(&mut dispatcher, at(100), id);
    dispatcher.finish_reserve(at(104), id, Some(&send_verdict("engine-1", 200)));
    dispatcher.targets_mut().change_evacuations(at(150), |table| {
        table.put(at(150), &"west".parse().unwrap(), Revision(7))
    });
    let request = ask(&mut dispatcher, at(160), id);
    let names: Vec<&str> = request.candidates.iter().map(|c| c.target.as_str()).collect();
    assert_eq!(names, ["engine-2"]);
}

/// Guards against a reservation on an engine that can't get the request's adapter.
#[test]
fn missing_adapter() {
    let mut dispatcher = dispatcher(true, None);
    let mut arrival = arrival(&dispatcher, LONG);
    arrival.model = Some("lace/a1".parse().unwrap());
    let id = dispatcher.admit(at(1), &arrival).unwrap();
    ask(&mut dispatcher, at(100), id);
    dispatcher.finish_reserve(at(104), id, Some(&send_verdict("engine-1", 0)));
    assert!(matches!(dispatcher.step(at(104), id), Step::Fetch(..)));
    dispatcher.finish_fetch(at(150), id, FetchEnd::Failed);
    let request = ask(&mut dispatcher, at(150), id);
    let names: Vec<&str> = request.candidates.iter().map(|c| c.target.as_str()).collect();
    assert_eq!(names, ["engine-2"]);
}

/// Guards against a leader that names an engine which can't be used, again and again: the daemon asks a
/// few times and then chooses by itself.
#[test]
fn unusable_reservations() {
    let mut dispatcher = dispatcher(true, None);
    let id = admit(&mut dispatcher, LONG);
    for asks in 1..=20 {
        match dispatcher.step(at(100 + asks), id) {
            Step::Reserve(_) => {
                let verdict = send_verdict("engine-9", 0);
                dispatcher.finish_reserve(at(100 + asks), id, Some(&verdict));
            }
            step => return assert!(matches!(step, Step::Send(_)), "{step:?}"),
        }
    }
    panic!("the daemon asks without an end");
}

/// Guards against waits that a leader states wrongly: one past the client's patience holds the request up,
/// and one of no time makes the daemon ask without a pause.
#[test]
fn odd_waits() {
    let wait_end = |verdict: PrefillVerdict| {
        let mut dispatcher = dispatcher(true, None);
        let id = admit(&mut dispatcher, LONG);
        let request = ask(&mut dispatcher, at(100), id);
        dispatcher.finish_reserve(at(100), id, Some(&verdict));
        match dispatcher.step(at(100), id) {
            Step::Wait(until) => (until, at(100 + u64::from(request.patience_ms))),
            step => panic!("{verdict:?}: {step:?}"),
        }
    };
    for verdict in
        [send_verdict("engine-1", u32::MAX), PrefillVerdict::AskAgain { wait_ms: u32::MAX }]
    {
        let (until, patience) = wait_end(verdict);
        assert_eq!(until, patience);
    }
    let (until, _) = wait_end(PrefillVerdict::AskAgain { wait_ms: 0 });
    assert!(until >= at(150), "asks again at {until:?}");
}

/// Guards against prompts that go unscheduled to an engine because they arrived before it held the model.
#[test]
fn prompt_before_load() {
    let mut dispatcher = dispatcher_with(true, &[]);
    let id = admit(&mut dispatcher, LONG);
    let step = dispatcher.step(at(100), id);
    assert!(matches!(step, Step::Wait(_)), "{step:?}");
    dispatcher.targets_mut().apply_entry(at(150), target("engine-1", "east"));
    ask(&mut dispatcher, at(160), id);
    assert!(dispatcher.report(at(161), Revision(1)).demand.iter().all(|entry| entry.waiting == 0));
}

/// Guards against a stream that is refused instead of resumed: its first event was due long ago.
#[test]
fn broken_stream() {
    let mut dispatcher = dispatcher(true, None);
    let id = admit(&mut dispatcher, LONG);
    let request = ask(&mut dispatcher, at(100), id);
    dispatcher.finish_reserve(at(104), id, Some(&send_verdict("engine-1", 0)));
    assert!(matches!(dispatcher.step(at(104), id), Step::Send(_)));
    dispatcher.record_answer_start(at(400), id, None);
    let later = at(100 + u64::from(request.patience_ms) + 500);
    hear_leader(&mut dispatcher, later);
    assert_eq!(dispatcher.finish_attempt(later, id, AttemptEnd::Broken), NextAction::Retry);
    match dispatcher.step(later, id) {
        Step::Send(dispatch) => assert_eq!(dispatch.target.as_str(), "engine-2"),
        step => panic!("{step:?}"),
    }
}

/// Guards against figures for operators that don't show prompts which engines have yet to prefill, or
/// requests that were made to wait.
#[test]
fn pending_prompts() {
    let mut dispatcher = dispatcher(true, None);
    let mut plain = target("plain-1", "east");
    plain.service = "plain".parse().unwrap();
    dispatcher.targets_mut().apply_entry(at(0), plain);
    let mut requests = Vec::new();
    for (engine, wait_ms) in [("engine-1", 0), ("engine-2", 80)] {
        let id = admit(&mut dispatcher, LONG);
        let request = ask(&mut dispatcher, at(100), id);
        let work = request.candidates.iter().find(|c| c.target.as_str() == engine).unwrap().work_ms;
        dispatcher.finish_reserve(at(100), id, Some(&send_verdict(engine, wait_ms)));
        requests.push((id, work));
    }
    assert_eq!(dispatcher.counts().prefill_waits, 1);
    assert_eq!(dispatcher.pending_prefill(at(180)), Duration::ZERO);
    for (id, _) in &requests {
        assert!(matches!(dispatcher.step(at(180), *id), Step::Send(_)));
    }
    let works: Vec<u64> = requests.iter().map(|(_, work)| u64::from(*work)).collect();
    let pending =
        |dispatcher: &RequestDispatcher, ms| dispatcher.pending_prefill(at(ms)).as_millis() as u64;
    assert_eq!(pending(&dispatcher, 180), works[0] + works[1]);
    assert_eq!(pending(&dispatcher, 280), works[0] + works[1] - 200);
    dispatcher.record_answer_start(at(280), requests[0].0, None);
    assert_eq!(pending(&dispatcher, 280), works[1] - 100);
    dispatcher.record_answer_start(at(290), requests[1].0, None);
    assert_eq!(pending(&dispatcher, 290), 0);
    // A plain service has no prompts.
    let plain = Arrival::new("desk.example", "/plain/1");
    let id = dispatcher.admit(at(290), &plain).unwrap();
    assert!(matches!(dispatcher.step(at(290), id), Step::Send(_)));
    assert_eq!(pending(&dispatcher, 290), 0);
}

/// Guards against a target that is reserved for short prompts in a service whose targets state a slowdown,
/// because the holders of one model haven't stated any yet.
#[test]
fn unreserved_targets() {
    for (is_uneven, expected) in [(false, 1), (true, 2)] {
        let mut dispatcher = dispatcher_with(false, &[("engine-1", "east")]);
        if is_uneven {
            let id = admit(&mut dispatcher, SHORT);
            assert!(matches!(dispatcher.step(at(1), id), Step::Send(_)));
            let slowdown = TargetSlowdown::from_percent(100);
            let load = TargetLoad { running: 0, waiting: 0, slots: 8, slowdown };
            dispatcher.record_answer_start(at(20), id, Some(load));
            dispatcher.abandon(at(21), id);
        }
        for name in ["engine-2", "engine-3"] {
            let mut engine = target(name, "east");
            engine.models[0].name = "silk".parse().unwrap();
            dispatcher.targets_mut().apply_entry(at(30), engine);
        }
        let mut used = BTreeSet::new();
        for number in 0..32 {
            let mut arrival = arrival(&dispatcher, SHORT);
            arrival.model = Some("silk".parse().unwrap());
            // The first part decides which target is preferred among equal ones.
            arrival.parts.insert(0, PromptPart { id: 1_000 + number, tokens: 10 });
            let id = dispatcher.admit(at(40), &arrival).unwrap();
            match dispatcher.step(at(40), id) {
                Step::Send(dispatch) => used.insert(dispatch.target),
                step => panic!("{step:?}"),
            };
            dispatcher.abandon(at(40), id);
        }
        assert_eq!(used.len(), expected, "uneven: {is_uneven}, {used:?}");
    }
}
