//! Replicas and memory stay within their limits when the placer fails.

mod common;

use std::time::Duration;

use common::{eventually, read_json, run, Fleet, Options};
use standin::{TargetOptions, WeightStore};

const MODELS: [&str; 3] = ["lace", "tulle", "silk"];

/// Returns the options of a fleet whose targets load slowly.
fn slow_loads(fencing: bool) -> Options {
    let target = TargetOptions {
        fencing,
        weights: WeightStore::new(4, Duration::from_millis(1_500)),
        ..Default::default()
    };
    let extra_settings = "[placement]\norder_drain = 4s\nidle = 2s\n".to_owned();
    let checks_fencing = fencing;
    let domains = vec!["east"];
    Options {
        domains,
        daemons_per_domain: 2,
        target,
        extra_settings,
        checks_fencing,
        ..Default::default()
    }
}

fn check_limits(fleet: &Fleet) {
    assert!(fleet.peak_memory() <= 100, "{} of 100 units of memory were used", fleet.peak_memory());
    for model in MODELS {
        assert!(fleet.holder_count(model) <= 2);
    }
}

/// Sends a request for each model to a daemon, without waiting for answers.
fn request_all(fleet: &Fleet, at: usize) {
    for model in MODELS {
        tokio::spawn(fleet.chat_call(at, model, 1, false).send());
    }
}

#[test]
fn killed_placer() {
    run(async {
        for fencing in [true, false] {
            let mut fleet = Fleet::start(slow_loads(fencing)).await;
            let placer = fleet.placer("east").await.unwrap();
            let other = 1 - placer;
            request_all(&fleet, other);
            tokio::time::sleep(Duration::from_millis(400)).await;
            fleet.daemons[placer].kill();
            request_all(&fleet, other);
            eventually(Duration::from_secs(60), "the other daemon serves each model", || async {
                let mut served = 0;
                for model in MODELS {
                    let answer = fleet.chat_call(other, model, 1, false).send().await.unwrap();
                    served += usize::from(read_json(answer).await.0 == 200);
                    check_limits(&fleet);
                }
                served == MODELS.len()
            })
            .await;
        }
    });
}

#[test]
fn frozen_placer() {
    run(async {
        let fleet = Fleet::start(slow_loads(false)).await;
        let placer = fleet.placer("east").await.unwrap();
        let other = 1 - placer;
        for (_, target) in &fleet.targets {
            target.lose_order_answers(1);
        }
        request_all(&fleet, placer);
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.daemons[placer].suspend();
        eventually(Duration::from_secs(20), "another daemon is the placer", || async {
            fleet.status(other).await["placer"] == true
        })
        .await;
        request_all(&fleet, other);
        tokio::time::sleep(Duration::from_secs(4)).await;
        check_limits(&fleet);
        fleet.daemons[placer].resume();
        for _ in 0..20 {
            request_all(&fleet, placer);
            tokio::time::sleep(Duration::from_millis(200)).await;
            check_limits(&fleet);
        }
    });
}

#[test]
fn request_burst() {
    run(async {
        let options =
            Options { targets_per_domain: 2, daemons_per_domain: 2, ..Options::default() };
        let fleet = Fleet::start(options).await;
        let mut calls = Vec::new();
        for at in 0..fleet.daemons.len() {
            for _ in 0..10 {
                calls.push(tokio::spawn(fleet.chat_call(at, "lace", 1, false).send()));
            }
        }
        for call in calls {
            assert_eq!(call.await.unwrap().unwrap().status, 200);
        }
        let loads: u64 = fleet.targets.iter().map(|(_, target)| target.record().loads).sum();
        assert!(loads <= 2, "{loads} loads for one burst, and two copies were allowed");
        check_limits(&fleet);
    });
}
