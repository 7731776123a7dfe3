//! What a daemon does with requests while targets are cold.

use std::sync::Arc;
use std::time::Duration;

use base::{TargetName, Time};
use fleet::{
    ColdSetting, FleetLayout, PermitRequest, RouteEntry, RouteKind, ServiceEntry, ServiceWeight,
    SyncReply, TargetEntry, TargetPhase,
};
use limit::{ColdNotice, ColdSpec, ColdStatement, PermitDenial};
use mango_front::{Arrival, DispatcherConfig, PermitEnd, RequestDispatcher, Step};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn layout(version: u64, cold: ColdSetting) -> Arc<FleetLayout> {
    let service: base::Name = "plain".parse().unwrap();
    let mut route = RouteEntry::new("r", "desk.example", "/r/", RouteKind::Safe);
    route.services = vec![ServiceWeight { service: service.clone(), weight: 1 }];
    route.timeout = Duration::from_secs(1);
    let service = ServiceEntry { name: service, max_connections: 100, engine: None, cold };
    Arc::new(FleetLayout::builder(version).route(route).service(service).build())
}

fn cold() -> ColdSetting {
    let spec = ColdSpec::new(Duration::from_secs(3), "7.5".parse().unwrap());
    ColdSetting::Set(spec.unwrap())
}

fn entry(name: &str, cold: ColdNotice) -> TargetEntry {
    TargetEntry {
        name: name.parse().unwrap(),
        service: "plain".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "east".parse().unwrap(),
        slots: 8,
        phase: TargetPhase::Ready,
        born_ms: 10,
        beat: 1,
        models: Vec::new(),
        copies: None,
        cold,
        version: Some(Default::default()),
    }
}

fn daemon(setting: ColdSetting, first: Vec<TargetEntry>) -> RequestDispatcher {
    let config = DispatcherConfig::new("host-1".parse().unwrap(), "east".parse().unwrap());
    let mut daemon = RequestDispatcher::new(Time::ZERO, config.seed(7));
    daemon.apply_layout(Time::ZERO, layout(1, setting));
    daemon.targets_mut().replace_entries(Time::ZERO, first, None);
    daemon
}

fn admit(daemon: &mut RequestDispatcher, now: Time) -> u64 {
    daemon.admit(now, &Arrival::new("desk.example", "/r/1")).unwrap()
}

fn asked(step: Step) -> Box<PermitRequest> {
    match step {
        Step::Permit(request) => request,
        step => panic!("{step:?}"),
    }
}

/// Guards against a target that counts as cold after its daemon's start, or where its service has no
/// cold rate, and against one that doesn't count as cold after its own start.
#[test]
fn cold_states() {
    let (none, left) = (ColdNotice::Absent, ColdNotice::Left(Duration::from_millis(700)));
    let zero = ColdNotice::Left(Duration::ZERO);
    // The setting, what the entry states, whether it is in the first list, and how long it is cold.
    let cases = [
        (cold(), none, true, 0),
        (cold(), none, false, 3_000),
        (cold(), ColdNotice::Malformed, false, 3_000),
        (cold(), left, true, 700),
        (cold(), left, false, 700),
        (cold(), zero, false, 0),
        (ColdSetting::Never, left, false, 0),
        (ColdSetting::Malformed, none, false, 0),
    ];
    for (setting, notice, is_first, span) in cases {
        let target: TargetName = "t-1".parse().unwrap();
        let first = if is_first { vec![entry("t-1", notice)] } else { Vec::new() };
        let mut daemon = daemon(setting, first);
        daemon.targets_mut().apply_entry(Time::ZERO, entry("t-1", notice));
        let end = (0..4_000).find(|ms| !daemon.targets().is_cold(at(*ms), &target));
        assert_eq!(end, Some(span), "{setting:?} {notice:?} {is_first}");
    }
}

/// Guards against a cold target that is chosen although another one can serve, and against one that
/// is used without a permit.
#[test]
fn warm_first() {
    let mut daemon = daemon(cold(), vec![entry("t-1", ColdNotice::Absent)]);
    let second = "t-2".parse().unwrap();
    daemon.targets_mut().apply_entry(at(10), entry("t-2", ColdNotice::Absent));
    for _ in 0..20 {
        let id = admit(&mut daemon, at(20));
        let Step::Send(dispatch) = daemon.step(at(20), id) else { panic!("not sent") };
        assert_eq!(dispatch.target.as_str(), "t-1");
    }
    assert!(!daemon.targets().may_send(at(20), &second, None));
    assert!(daemon.targets().may_send(at(20), &second, Some(at(30))));
    assert!(daemon.targets().may_send(at(3_010), &second, None), "warm");
    // A layout without the rate ends the state.
    daemon.apply_layout(at(40), layout(2, ColdSetting::Never));
    assert!(daemon.targets().may_send(at(40), &second, None));
}

/// Guards against a request that is refused although a permit comes in time, and against one that
/// waits for a permit which comes too late.
#[test]
fn queued_requests() {
    for (hint_ms, is_late) in [(300, false), (5_000, true)] {
        let mut daemon = daemon(cold(), Vec::new());
        daemon.targets_mut().apply_entry(at(0), entry("t-1", ColdNotice::Absent));
        let id = admit(&mut daemon, at(10));
        let request = asked(daemon.step(at(10), id));
        let known = request.cold.unwrap();
        assert_eq!((known.left_ms, known.rate.per_second()), (2_990, 7.5));
        let (next, hint) = (Duration::from_millis(140), Duration::from_millis(hint_ms));
        let denial = PermitDenial { next, hint };
        daemon.finish_permit(at(20), at(10), id, PermitEnd::Denied(denial));
        match (daemon.step(at(20), id), is_late) {
            (Step::Wait(until), false) => {
                assert_eq!(until, at(320));
                asked(daemon.step(until, id));
                daemon.finish_permit(at(330), at(320), id, PermitEnd::Issued);
                let Step::Send(dispatch) = daemon.step(at(330), id) else { panic!("not sent") };
                assert_eq!(dispatch.send_by, Some(at(570)));
                assert_eq!(daemon.counts().cold_sends, 1);
            }
            (Step::Refuse(refusal), true) => {
                // The target is warm before a permit is available.
                assert_eq!(refusal.retry_after, Some(Duration::from_millis(2_980)));
            }
            (step, _) => panic!("{step:?}"),
        }
    }
}

/// Guards against a cold target that gets requests while no leader is heard.
#[test]
fn silent_leader() {
    let mut daemon = daemon(cold(), Vec::new());
    daemon.targets_mut().apply_entry(at(1_900), entry("t-1", ColdNotice::Absent));
    let id = admit(&mut daemon, at(2_000));
    assert!(matches!(daemon.step(at(2_000), id), Step::Refuse(_) | Step::Wait(_)));
    let id = admit(&mut daemon, at(4_900));
    assert!(matches!(daemon.step(at(4_900), id), Step::Send(_)), "warm");
}

/// Guards against a target that gets as many requests as others in the seconds after its start, in
/// which it is slow, and against other estimates where no service has a cold rate.
#[test]
fn slow_start() {
    let cases = [
        (cold(), false, 100, 2),
        (cold(), false, 3_100, 1),
        (cold(), true, 100, 1),
        (ColdSetting::Never, false, 100, 1),
    ];
    for (setting, is_first, ms, factor) in cases {
        let started = entry("t-1", ColdNotice::Left(Duration::ZERO));
        let first = if is_first { vec![started.clone()] } else { Vec::new() };
        let mut daemon = daemon(setting, first);
        daemon.targets_mut().apply_entry(at(0), started);
        let id = admit(&mut daemon, at(ms));
        let Step::Send(dispatch) = daemon.step(at(ms), id) else { panic!("not sent") };
        assert_eq!(dispatch.note.estimate, Duration::from_millis(20) * factor, "{setting:?}");
    }
}

/// Guards against a domain that gets its share of all requests at once when it returns.
#[test]
fn restored_domain() {
    let mut daemon = daemon(cold(), vec![entry("t-1", ColdNotice::Absent)]);
    let target: TargetName = "t-1".parse().unwrap();
    daemon.targets_mut().restore_domain(at(1_000), &"west".parse().unwrap());
    assert!(!daemon.targets().is_cold(at(1_000), &target));
    daemon.targets_mut().restore_domain(at(1_000), &"east".parse().unwrap());
    assert!(daemon.targets().is_cold(at(3_999), &target));
    assert!(!daemon.targets().is_cold(at(4_000), &target));
    // An entry that was written later says that the target isn't cold.
    let later = TargetEntry { beat: 2, ..entry("t-1", ColdNotice::Left(Duration::ZERO)) };
    daemon.targets_mut().apply_entry(at(2_600), later);
    assert!(!daemon.targets().is_cold(at(2_600), &target));
}

/// Guards against a daemon that drops the leader's statement on a start that it hasn't listed yet.
#[test]
fn early_statement() {
    let target: TargetName = "t-1".parse().unwrap();
    let mut daemon = daemon(cold(), vec![entry("t-1", ColdNotice::Absent)]);
    let rate = "7.5".parse().unwrap();
    let statement = ColdStatement { target: target.clone(), born_ms: 20, left_ms: 2_000, rate };
    let reply = SyncReply {
        fence: 1,
        number: 1,
        seats: 1,
        grants: Vec::new(),
        outlooks: Vec::new(),
        busy: Vec::new(),
        held: Vec::new(),
        retiring: Vec::new(),
        leaving: Vec::new(),
        limits: Vec::new(),
        cold: vec![statement],
        changes: None,
        layout: None,
        layout_update: None,
    };
    daemon.apply_reply(at(100), at(90), &reply);
    // The entry was written before the target became cold.
    let zero = ColdNotice::Left(Duration::ZERO);
    daemon.targets_mut().apply_entry(at(200), TargetEntry { born_ms: 20, ..entry("t-1", zero) });
    assert!(daemon.targets().is_cold(at(2_050), &target));
    assert!(!daemon.targets().is_cold(at(2_150), &target));
}
