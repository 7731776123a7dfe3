//! A leaving target gets no new requests, and a graceful shutdown interrupts no request.

mod common;

use std::time::Duration;

use common::{read_stream, run, Fleet, Options, CHANGE_BOUND};

#[test]
fn leaving_target() {
    run(async {
        let fleet = Fleet::start(Options { targets_per_domain: 2, ..Options::default() }).await;
        fleet.load_model(0, "lace").await;
        fleet.load_model(1, "lace").await;
        let holds =
            |model: &str, at: usize| fleet.targets[at].1.loaded().iter().any(|m| m == model);
        let leaving = (0..fleet.targets.len()).find(|at| holds("lace", *at)).unwrap();
        let (name, target) = &fleet.targets[leaving];
        let domain = name.split('-').nth(1).unwrap();
        fleet.hosts.list("target", name, domain, "leaving");
        tokio::time::sleep(CHANGE_BOUND).await;
        let before = target.record();
        for round in 0..10 {
            let answer = fleet.chat_call(round % 2, "lace", 1, false).send().await.unwrap();
            assert_eq!(answer.status, 200, "{:?}", answer.code());
        }
        let after = target.record();
        assert_eq!(after.runs.len(), before.runs.len(), "a leaving target got a new request");
        assert_eq!(after.loads, before.loads, "a leaving target got a load");
    });
}

#[test]
fn graceful_shutdown() {
    run(async {
        for outage in [false, true] {
            let mut fleet = Fleet::start(Options::default()).await;
            fleet.load_model(0, "lace").await;
            let mut calls = Vec::new();
            for _ in 0..20 {
                let answer = fleet.chat_call(0, "lace", 2_000, true).send().await.unwrap();
                assert_eq!(answer.status, 200);
                calls.push(tokio::spawn(read_stream(answer)));
            }
            fleet.service.set_down(outage);
            fleet.daemons[0].terminate();
            tokio::time::sleep(Duration::from_millis(200)).await;
            // The daemon accepts requests until the load balancer has noticed the shutdown.
            let answer = fleet.chat_call(0, "lace", 1, false).send().await.unwrap();
            assert_eq!(answer.status, 200);
            assert!(fleet.daemons[0].wait_exit().await, "the daemon failed");
            for call in calls {
                let (text, is_complete) = call.await.unwrap();
                assert!(
                    is_complete,
                    "a stream was cut: {}",
                    &text[text.len().saturating_sub(200)..]
                );
            }
        }
    });
}
