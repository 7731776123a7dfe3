//! Whether a daemon is cut off from the targets of a service, and which requests others carry then.

mod plain_fleet;

use base::{Name, TargetName};
use mango_front::{AttemptEnd, RequestDispatcher, Step};
use plain_fleet::{admit, at, dispatcher, target_names};

fn fail_all(dispatcher: &mut RequestDispatcher, ms: u64, names: &[TargetName]) -> Option<Name> {
    names.iter().filter_map(|name| dispatcher.record_unreached(at(ms), name)).last()
}

/// Guards against a daemon that hands everything to others because one failure domain is cut off, or
/// because some targets have failed.
#[test]
fn other_domains() {
    let mut dispatcher = dispatcher();
    let away = [target_names("b"), target_names("c")].concat();
    assert_eq!(fail_all(&mut dispatcher, 100, &away), None, "its own domain may be reachable");
    let own = target_names("a");
    assert_eq!(fail_all(&mut dispatcher, 200, &own[..1]), None, "one target may have failed");
    let id = admit(&mut dispatcher, 210);
    assert!(!dispatcher.should_hand_over(id));
    assert!(fail_all(&mut dispatcher, 300, &own[1..]).is_some());
    assert!(dispatcher.should_hand_over(id));
}

/// Guards against a path that counts as cut because all targets of its service are leaving.
#[test]
fn leaving_targets() {
    let all = [target_names("a"), target_names("b"), target_names("c")].concat();
    let mut dispatcher = dispatcher();
    assert!(all.iter().all(|name| dispatcher.record_leaving(at(50), name)));
    assert_eq!(fail_all(&mut dispatcher, 100, &all), None);
}

/// Evidence from another time doesn't count, and one success outweighs it.
#[test]
fn old_failures() {
    let all = [target_names("a"), target_names("b"), target_names("c")].concat();
    let mut dispatcher = dispatcher();
    fail_all(&mut dispatcher, 100, &all[1..]);
    assert_eq!(fail_all(&mut dispatcher, 4_000, &all[..1]), None);
    fail_all(&mut dispatcher, 4_100, &all[1..3]);
    dispatcher.record_reached(at(4_200), &all[4]);
    assert_eq!(fail_all(&mut dispatcher, 4_300, &all[3..]), None);
}

/// Guards against targets that are still avoided after a cut of the daemon's own path to them.
#[test]
fn path_restored() {
    let all = [target_names("a"), target_names("b"), target_names("c")].concat();
    let mut dispatcher = dispatcher();
    for number in 0..all.len() as u64 {
        let id = admit(&mut dispatcher, 100 + number);
        let Step::Send(dispatch) = dispatcher.step(at(100 + number), id) else { break };
        dispatcher.finish_attempt(at(700 + number), id, AttemptEnd::NotSent);
        dispatcher.record_unreached(at(700 + number), &dispatch.target);
    }
    fail_all(&mut dispatcher, 800, &all);
    assert!(dispatcher.paths().is_cut(&"plain".parse().unwrap()));
    let service = dispatcher.record_reached(at(2_000), &all[0]);
    assert!(service.is_some());
    let id = admit(&mut dispatcher, 2_001);
    assert!(!dispatcher.should_hand_over(id));
    assert!(matches!(dispatcher.step(at(2_001), id), Step::Send(_)));
    assert!(all.iter().all(|name| {
        dispatcher.targets().health(at(2_001), name).is_some_and(|health| health.failures == 0)
    }));
}

/// Guards against a request that another daemon runs although a target of this one may run it.
#[test]
fn sent_requests() {
    let all = [target_names("a"), target_names("b"), target_names("c")].concat();
    let mut dispatcher = dispatcher();
    let running = admit(&mut dispatcher, 100);
    assert!(matches!(dispatcher.step(at(100), running), Step::Send(_)));
    let lost = admit(&mut dispatcher, 101);
    assert!(matches!(dispatcher.step(at(101), lost), Step::Send(_)));
    dispatcher.finish_attempt(at(300), lost, AttemptEnd::Lost);
    fail_all(&mut dispatcher, 400, &all);
    assert!(!dispatcher.should_hand_over(running));
    assert!(!dispatcher.should_hand_over(lost));
    let unsent = admit(&mut dispatcher, 401);
    assert!(dispatcher.should_hand_over(unsent));
    dispatcher.hand_over(at(402), unsent);
    assert!(!dispatcher.should_hand_over(unsent));
}
