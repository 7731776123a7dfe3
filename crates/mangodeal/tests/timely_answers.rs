//! Each request gets an answer or a refusal in time; none is dropped.

mod common;

use std::time::{Duration, Instant};

use common::{run, Fleet, Options};

/// Time by which a refusal may exceed the deadline on a busy machine.
const REFUSAL_SLACK: Duration = Duration::from_millis(1_500);

#[test]
fn failing_targets() {
    run(async {
        let fleet = Fleet::start(Options { targets_per_domain: 2, ..Options::default() }).await;
        fleet.load_model(0, "lace").await;
        fleet.load_model(1, "lace").await;
        let mut calls = Vec::new();
        for number in 0..200usize {
            let at = number % 2;
            let call = fleet.chat_call(at, "lace", 5, number % 3 == 0);
            let call = call.header("x-mangodeal-deadline-ms", "2000");
            calls.push(tokio::spawn(async move {
                let started = Instant::now();
                (call.send().await, started.elapsed())
            }));
            match number {
                50 => fleet.targets[0].1.set_frozen(true),
                80 => fleet.targets[1].1.restart(),
                120 => fleet.targets[2].1.set_declining(true),
                150 => fleet.targets[0].1.set_frozen(false),
                _ => {}
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let mut served = 0;
        for call in calls {
            let (answer, elapsed) = call.await.unwrap();
            let answer = answer.expect("a request was dropped");
            assert!(answer.code().is_some(), "an answer without a result code");
            assert!(elapsed < Duration::from_secs(2) + REFUSAL_SLACK, "answered after {elapsed:?}");
            served += u32::from(answer.status == 200);
        }
        assert!(served > 100, "only {served} of 200 were served");
    });
}

#[test]
fn unservable_model() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        let objects = [serde_json::json!({"kind": "model", "name": "huge", "labels": "use=design",
                                          "memory": 1_000})];
        let revision = fleet.apply(&objects).await;
        fleet.wait_in_force(revision, 2).await;
        let started = Instant::now();
        let answer = fleet.chat_call(0, "huge", 1, false).send().await.unwrap();
        assert_eq!(answer.code(), Some(1301));
        assert!(answer.header("retry-after").is_some());
        assert!(
            started.elapsed() < Duration::from_secs(5),
            "a request that can't be served was queued"
        );
    });
}

#[test]
fn deadline_exceeded() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        fleet.weights.set_load_time(Duration::from_secs(20));
        let started = Instant::now();
        let call = fleet.chat_call(0, "lace", 1, false).header("x-mangodeal-deadline-ms", "800");
        let answer = call.send().await.unwrap();
        assert_eq!(answer.header("x-mangodeal-ran"), Some("no"));
        assert!(started.elapsed() < Duration::from_millis(800) + REFUSAL_SLACK);
    });
}
