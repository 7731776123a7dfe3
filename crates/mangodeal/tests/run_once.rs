//! A request that isn't idempotent runs at most once, and never after an answer says that it did
//! not run.

mod common;

use std::time::Duration;

use common::{read_json, run, Fleet, Options};

#[test]
fn repeated_calls() {
    run(async {
        let mut fleet = Fleet::start(Options::default()).await;
        let target = fleet.add_service(false).await;
        fleet.service.lose_answers(1);
        let (status, body) =
            read_json(fleet.service_call(0, "k1", "veil").send().await.unwrap()).await;
        assert_eq!(status, 200, "{body}");
        for at in [0, 1, 1, 0] {
            let answer = fleet.service_call(at, "k1", "veil").send().await.unwrap();
            assert_eq!(answer.code(), Some(1601));
        }
        assert_eq!(fleet.targets[target].1.record().service_calls, ["veil"]);
    });
}

#[test]
fn concurrent_calls() {
    run(async {
        let mut fleet = Fleet::start(Options::default()).await;
        let target = fleet.add_service(false).await;
        for round in 0..10 {
            let key = format!("race-{round}");
            let calls: Vec<_> = (0..6)
                .map(|n| tokio::spawn(fleet.service_call(n % 2, &key, &key).send()))
                .collect();
            for call in calls {
                let code = call.await.unwrap().unwrap().code();
                assert!(matches!(code, Some(1000 | 1601)), "{code:?}");
            }
            let record = fleet.targets[target].1.record();
            let runs = record.service_calls.iter().filter(|body| **body == key).count();
            assert_eq!(runs, 1);
        }
    });
}

#[test]
fn unknown_outcome() {
    run(async {
        let mut fleet = Fleet::start(Options::default()).await;
        let target = fleet.add_service(false).await;
        fleet.targets[target].1.abort_after_tokens(Some(0));
        let answer = fleet.service_call(0, "k2", "pickup").send().await.unwrap();
        assert_eq!(answer.code(), Some(1501));
        assert_eq!(answer.header("x-mangodeal-ran"), Some("unknown"));
        let answer = fleet.service_call(1, "k2", "pickup").send().await.unwrap();
        assert_eq!(answer.code(), Some(1601));
        assert_eq!(fleet.targets[target].1.record().service_calls, ["pickup"]);
    });
}

#[test]
fn unreachable_target() {
    run(async {
        let mut fleet = Fleet::start(Options::default()).await;
        let target = fleet.add_service(false).await;
        drop(fleet.targets.remove(target));
        let answer =
            fleet.service_call(0, "k3", "x").header("x-mangodeal-deadline-ms", "600").send().await;
        let answer = answer.unwrap();
        assert_eq!(answer.header("x-mangodeal-ran"), Some("no"), "{:?}", answer.code());
        assert!(answer.header("retry-after").is_some());
    });
}

#[test]
fn service_down() {
    run(async {
        let mut fleet = Fleet::start(Options::default()).await;
        let target = fleet.add_service(false).await;
        fleet.service.set_down(true);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let answer = fleet.service_call(0, "k4", "x").send().await.unwrap();
        assert_eq!(answer.code(), Some(1602));
        assert!(fleet.targets[target].1.record().service_calls.is_empty());
        fleet.service.set_down(false);
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(fleet.service_call(0, "k4", "x").send().await.unwrap().status, 200);
        assert_eq!(fleet.targets[target].1.record().service_calls.len(), 1);
    });
}

#[test]
fn killed_daemon() {
    run(async {
        let mut fleet = Fleet::start(Options::default()).await;
        let target = fleet.add_service(false).await;
        fleet.targets[target].1.set_frozen(true);
        let call = tokio::spawn(fleet.service_call(0, "k5", "veil").send());
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.daemons[0].kill();
        fleet.targets[target].1.set_frozen(false);
        let _ = call.await;
        let answer = fleet.service_call(1, "k5", "veil").send().await.unwrap();
        assert_eq!(answer.code(), Some(1601));
        assert!(fleet.targets[target].1.record().service_calls.len() <= 1);
    });
}
