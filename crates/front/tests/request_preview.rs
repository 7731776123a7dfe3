//! Previews of where requests would go.

use std::sync::Arc;
use std::time::Duration;

use base::{ResultCode, Revision, SecretKey, Time, TokenCount};
use fleet::{
    Allowance, EngineSpec, FleetLayout, HeldModel, PromptPart, RouteEntry, RouteKind, ServiceEntry,
    ServiceWeight, TargetEntry, TargetLoad, TargetPhase, TargetSlowdown, TeamEntry,
};
use limit::LimitNotice;
use mango_front::{
    Arrival, AttemptEnd, DispatcherConfig, PreviewVerdict, RequestDispatcher, RequestPreview, Step,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const KEY: &str = "a key that no preview shows";

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn layout(has_allowance: bool) -> FleetLayout {
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
    let mut builder = FleetLayout::builder(1);
    let kinds = [("plain", RouteKind::Safe), ("engines", RouteKind::Stream { resumable: false })];
    for (name, kind) in kinds {
        let mut route = RouteEntry::new(name, "desk.example", &format!("/{name}/"), kind);
        route.services = vec![ServiceWeight { service: name.parse().unwrap(), weight: 1 }];
        route.max_pause = Some(Duration::from_millis(500));
        route.attempts = 2;
        builder = builder.route(route).service(ServiceEntry {
            name: name.parse().unwrap(),
            max_connections: 100,
            engine: (name == "engines").then(|| engine.clone()),
            cold: Default::default(),
        });
    }
    // So small that some requests exceed it.
    let allowance =
        Allowance { per_second: 20.0, burst: 20.0, in_tokens: false, default_cost: 1.0 };
    let team = TeamEntry {
        name: "atelier".parse().unwrap(),
        priority: 1,
        allowance: has_allowance.then_some(allowance),
        keys: vec![SecretKey::new(KEY).hash()],
    };
    builder.team(team).build()
}

/// Returns a daemon with two targets of each service. Both engines hold the model `lace`, and
/// `engines-east` also holds `felt`.
fn dispatcher(seed: u64, has_allowance: bool) -> RequestDispatcher {
    let config = DispatcherConfig::new("host".parse().unwrap(), "east".parse().unwrap());
    let mut dispatcher = RequestDispatcher::new(at(0), config.seed(seed));
    dispatcher.apply_layout(at(0), Arc::new(layout(has_allowance)));
    for (service, domain, models) in [
        ("plain", "east", &[][..]),
        ("plain", "west", &[][..]),
        ("engines", "east", &["lace", "felt"][..]),
        ("engines", "west", &["lace"][..]),
    ] {
        let held = |name: &&str| HeldModel {
            name: name.parse().unwrap(),
            version: 1,
            adapters: Vec::new(),
        };
        let entry = TargetEntry {
            name: format!("{service}-{domain}").parse().unwrap(),
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
        };
        dispatcher.targets_mut().apply_entry(at(0), entry);
    }
    dispatcher
}

fn change_evacuation(dispatcher: &mut RequestDispatcher, now: Time, name: &str, evacuated: bool) {
    let (domain, revision) = (name.parse().unwrap(), Revision(now.as_micros()));
    dispatcher.targets_mut().change_evacuations(now, |table| match evacuated {
        true => table.put(now, &domain, revision),
        false => table.delete(&domain, revision),
    });
}

fn arrival(path: &str, model: Option<&str>, tokens: u64) -> Arrival {
    Arrival {
        key: Some(SecretKey::new(KEY).hash()),
        model: model.map(|model| model.parse().unwrap()),
        tokens: Some((TokenCount(tokens), TokenCount(20))),
        parts: vec![PromptPart { id: tokens, tokens }],
        ..Arrival::new("desk.example", path)
    }
}

/// Returns the preview of a request by the name of its team.
fn show(dispatcher: &RequestDispatcher, now: Time, arrival: &Arrival) -> RequestPreview {
    let without_key = Arrival { key: None, ..arrival.clone() };
    dispatcher.preview(now, &without_key, Some("atelier")).unwrap()
}

/// Returns the verdict of a preview by the team's name and that of the request itself.
fn compare(dispatcher: &mut RequestDispatcher, now: Time, arrival: &Arrival) -> PreviewVerdict {
    let verdict = show(dispatcher, now, arrival).verdict;
    let id = dispatcher.admit(now, arrival).unwrap();
    assert_eq!(verdict, PreviewVerdict::new(now, &dispatcher.step(now, id)));
    verdict
}

fn refusal(verdict: &PreviewVerdict) -> (u16, Option<u64>) {
    let PreviewVerdict::Refuse { code, retry_after_ms, .. } = verdict else {
        panic!("{verdict:?}")
    };
    (*code, *retry_after_ms)
}

/// Applies random events, and returns a log of what was decided. With `previews`, each request is
/// previewed before, several times, and each verdict must be what is decided then.
fn run_script(seed: u64, previews: bool) -> Vec<String> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut dispatcher = dispatcher(seed, true);
    // In a large fleet the choice depends on the random draw, and not on the lowest estimate only.
    dispatcher.set_daemon_count([100, 1][(seed % 2) as usize]);
    let mut running = Vec::new();
    let mut log = Vec::new();
    for ms in (10..3_000).step_by(20) {
        let now = at(ms);
        let domain = if random.random_bool(0.5) { "east" } else { "west" };
        match random.random_range(0..20) {
            0 => change_evacuation(&mut dispatcher, now, domain, true),
            1..=3 => change_evacuation(&mut dispatcher, now, domain, false),
            4 => {
                let notice = LimitNotice::Named("5".parse().unwrap());
                let target = format!("plain-{domain}").parse().unwrap();
                dispatcher.record_limit(now, &target, now, notice, true);
            }
            5..=8 if !running.is_empty() => {
                let id = running.swap_remove(random.random_range(0..running.len()));
                let slowdown = TargetSlowdown::from_percent(random.random_range(50..300));
                let load = TargetLoad { running: 3, waiting: 1, slots: 8, slowdown };
                dispatcher.record_answer_start(now, id, Some(load));
                let ends = [AttemptEnd::Served, AttemptEnd::Lost, AttemptEnd::Full(None)];
                let next = dispatcher.finish_attempt(now, id, ends[random.random_range(0..3)]);
                log.push(format!("{next:?}"));
                dispatcher.abandon(now, id);
            }
            _ => {}
        }
        let tokens = [500, 800, 9_000][random.random_range(0..3)];
        let models = [Some("lace"), Some("lace/trim"), Some("felt"), Some("linen"), None];
        let model = models[random.random_range(0..5)];
        let path = if model.is_some() { "/engines/1" } else { "/plain/1" };
        let arrival = arrival(path, model, tokens);
        let rounds = if previews { 3 } else { 0 };
        let shown: Vec<_> = (0..rounds).map(|_| show(&dispatcher, now, &arrival).verdict).collect();
        let id = dispatcher.admit(now, &arrival).unwrap();
        let step = dispatcher.step(now, id);
        let verdict = PreviewVerdict::new(now, &step);
        assert!(shown.iter().all(|shown| *shown == verdict), "seed {seed}, {ms} ms: {shown:?}");
        match &step {
            Step::Send(_) => running.push(id),
            Step::Refuse(_) => {}
            _ => dispatcher.abandon(now, id),
        }
        log.push(format!("{step:?}"));
        if ms % 200 == 10 {
            log.push(format!("{:?}", dispatcher.report(now, Revision(1))));
        }
    }
    log.push(format!("{dispatcher:?}"));
    log
}

/// Guards against a preview that charges a team, counts demand, learns or draws a random number, so
/// that later requests are decided differently, and against one that shows another verdict.
#[test]
fn unchanged_decisions() {
    let mut lines = Vec::new();
    for seed in 0..60 {
        let (with, without) = (run_script(seed, true), run_script(seed, false));
        for (number, (with, without)) in with.iter().zip(&without).enumerate() {
            assert!(with == without, "seed {seed}, line {number}:\n{with}\n{without}");
        }
        lines.extend(with);
    }
    // The scripts must lead to all kinds of steps.
    for action in ["Send", "Fetch", "Permit", "Reserve", "Wait", "Refuse"] {
        assert!(lines.iter().any(|line| line.starts_with(action)), "no step {action}");
    }
}

/// Guards against a preview that overlooks evacuated or full targets, or a model that none holds.
#[test]
fn unusable_targets() {
    let mut dispatcher = dispatcher(1, false);
    let plain = arrival("/plain/1", None, 500);
    change_evacuation(&mut dispatcher, at(1), "west", true);
    let verdict = compare(&mut dispatcher, at(2), &plain);
    assert!(
        matches!(verdict, PreviewVerdict::Send { target, .. } if target.as_str() == "plain-east")
    );
    let preview = show(&dispatcher, at(2), &arrival("/engines/1", Some("felt"), 500));
    let west = preview.candidates.iter().find(|c| c.target.as_str() == "engines-west").unwrap();
    assert_eq!((west.is_evacuated, west.holds_model), (true, Some(false)));

    let missing = compare(&mut dispatcher, at(3), &arrival("/engines/1", Some("linen"), 500));
    assert!(matches!(missing, PreviewVerdict::Wait { wait_ms: 1.. }), "{missing:?}");

    let id = dispatcher.admit(at(4), &plain).unwrap();
    assert!(matches!(dispatcher.step(at(4), id), Step::Send(_)));
    let load = TargetLoad { running: 8, waiting: 50_000, slots: 8, slowdown: None };
    dispatcher.finish_attempt(at(5), id, AttemptEnd::Full(Some(load)));
    dispatcher.abandon(at(5), id);
    let full = compare(&mut dispatcher, at(6), &plain);
    let no_capacity = ResultCode::NoCapacity.number();
    assert!(matches!(refusal(&full), (code, Some(_)) if code == no_capacity));

    change_evacuation(&mut dispatcher, at(7), "east", true);
    let evacuated = compare(&mut dispatcher, at(8), &plain);
    assert_eq!(refusal(&evacuated), (no_capacity, Some(3_000)));
}

/// Guards against a preview that doesn't say what a request waits for, or where it would go then.
#[test]
fn waiting_requests() {
    let preview = show(&dispatcher(1, true), at(2), &arrival("/plain/1", None, 500));
    assert_eq!(preview.waits_for, Some("the team's allowance"));
    assert!(matches!(preview.verdict_if_granted, Some(PreviewVerdict::Send { .. })));
    let missing = arrival("/engines/1", Some("linen"), 500);
    let preview = show(&dispatcher(1, false), at(2), &missing);
    assert_eq!(
        (preview.waits_for, preview.verdict_if_granted),
        (Some("a load of the model"), None)
    );
}

/// Guards against queries that are answered for no team or route, and against a way past the check of
/// keys: a request without a key is refused, also where a preview of the team is not.
#[test]
fn unknown_names() {
    let mut dispatcher = dispatcher(1, false);
    let query = Arrival { key: None, ..arrival("/plain/1", None, 500) };
    let unknown = dispatcher.preview(at(1), &query, Some("nobody")).unwrap_err();
    assert_eq!(unknown.to_string(), "no team \"nobody\"; teams: atelier");
    let elsewhere = dispatcher.preview(at(1), &Arrival::new("desk.example", "/x"), None);
    let message = elsewhere.unwrap_err().to_string();
    assert!(message.contains("no route") && message.contains("desk.example/plain/"), "{message}");
    let refused = dispatcher.preview(at(1), &query, None).unwrap().verdict;
    let key_rejected = ResultCode::KeyRejected;
    assert_eq!(refusal(&refused).0, key_rejected.number());
    assert!(dispatcher.preview(at(1), &query, Some("atelier")).is_ok());
    assert_eq!(dispatcher.admit(at(1), &query).unwrap_err().code, key_rejected);
}
