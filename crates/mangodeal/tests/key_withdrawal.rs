//! A withdrawn key stops working within seconds, also for open connections.

mod common;

use std::time::{Duration, Instant};

use common::{eventually, read_stream, run, Fleet, Options, CHANGE_BOUND};
use serde_json::json;

/// Opens a long stream at each daemon.
async fn open_streams(fleet: &Fleet) -> Vec<tokio::task::JoinHandle<(String, bool)>> {
    let mut streams = Vec::new();
    for at in 0..fleet.daemons.len() {
        let answer = fleet.chat_call(at, "lace", 20_000, true).send().await.unwrap();
        assert_eq!(answer.status, 200);
        streams.push(tokio::spawn(read_stream(answer)));
    }
    streams
}

/// Checks that each stream ends within `bound` with the code for a withdrawn permission.
async fn check_ended(streams: Vec<tokio::task::JoinHandle<(String, bool)>>, bound: Duration) {
    let started = Instant::now();
    for stream in streams {
        let ended = tokio::time::timeout(bound.saturating_sub(started.elapsed()), stream).await;
        let (text, is_complete) = ended.expect("the stream did not end").unwrap();
        assert!(!is_complete);
        assert!(text.contains("1104"), "the stream ended without the code 1104");
    }
}

#[test]
fn withdrawn_key() {
    run(async {
        let fleet = Fleet::start(Options { daemons_per_domain: 2, ..Options::default() }).await;
        let streams = open_streams(&fleet).await;
        // One daemon can't reach the service and learns of the withdrawal from its peers.
        fleet.daemons[1].service.set_disconnected(true);
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(fleet.delete(3, "key", "counter").await.0, 200);
        check_ended(streams, CHANGE_BOUND).await;
        for at in 0..fleet.daemons.len() {
            let answer = fleet.chat_call(at, "lace", 1, false).send().await.unwrap();
            assert_eq!(answer.code(), Some(1101));
        }
    });
}

#[test]
fn narrowed_selector() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        let streams = open_streams(&fleet).await;
        let rule = json!({"kind": "access", "name": "design", "teams": "tier=platinum",
                          "models": "use=design"});
        fleet.apply(&[rule]).await;
        check_ended(streams, CHANGE_BOUND).await;
    });
}

#[test]
fn isolated_daemon() {
    run(async {
        let extra_settings = "[requests]\nkey_grace = 3s\n".to_owned();
        let fleet = Fleet::start(Options { extra_settings, ..Options::default() }).await;
        fleet.load_model(1, "lace").await;
        fleet.daemons[1].set_isolated(true);
        fleet.daemons[0].inbound.set_disconnected(true);
        assert_eq!(fleet.delete(0, "key", "counter").await.0, 200);
        // The isolated daemon can't learn of the withdrawal. It must stop accepting keys when the grace
        // period for unverified keys ends.
        eventually(Duration::from_secs(8), "the daemon stops accepting keys", || async {
            fleet.chat_call(1, "lace", 1, false).send().await.unwrap().code() == Some(1105)
        })
        .await;
        fleet.daemons[1].set_isolated(false);
        fleet.daemons[0].inbound.set_disconnected(false);
        eventually(Duration::from_secs(10), "the daemon learns of the withdrawal", || async {
            fleet.chat_call(1, "lace", 1, false).send().await.unwrap().code() == Some(1101)
        })
        .await;
    });
}

#[test]
fn service_outage() {
    run(async {
        let extra_settings = "[requests]\nkey_grace = 5s\n".to_owned();
        let fleet = Fleet::start(Options {
            domains: vec!["east", "north", "west"],
            daemons_per_domain: 2,
            extra_settings,
            ..Options::default()
        })
        .await;
        fleet.load_model(0, "lace").await;
        fleet.service.set_down(true);
        // No seat reaches the service, so no withdrawal can have been accepted: keys stay valid.
        for _ in 0..60 {
            let answer = fleet.chat_call(0, "lace", 1, false).send().await.unwrap();
            assert_eq!(answer.status, 200, "{:?}", answer.code());
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    });
}
