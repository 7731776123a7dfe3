//! Memory use of a daemon with many open streams.

mod common;

use std::time::Duration;

use common::{run, Fleet, Options};
use standin::TargetOptions;

const STREAMS: usize = 5_000;
/// Memory that 5,000 open streams may use in a daemon.
const BOUND_BYTES: u64 = 128 << 20;

#[test]
fn five_thousand_streams() {
    run(async {
        let target =
            TargetOptions { token_interval: Duration::from_secs(2), ..TargetOptions::default() };
        let fleet =
            Fleet::start(Options { domains: vec!["east"], target, ..Options::default() }).await;
        let target = &fleet.targets[0];
        // Replaces the default of 64 slots, which suits engines; the stand-in has no limit.
        let object = serde_json::json!({"kind": "target", "name": target.0, "domain": "east",
            "address": target.1.address().to_string(), "memory": 100, "fencing": true,
            "slots": 10_000});
        let team = serde_json::json!({"kind": "team", "name": "atelier", "labels": "tier=gold",
            "rate": 10_000_000, "burst": 10_000_000});
        let revision = fleet.apply(&[object, team]).await;
        fleet.wait_in_force(revision, 1).await;
        fleet.load_model(0, "lace").await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let before = fleet.daemons[0].resident_bytes();
        let mut open = Vec::new();
        for _ in 0..STREAMS / 50 {
            let calls: Vec<_> = (0..50)
                .map(|_| tokio::spawn(fleet.chat_call(0, "lace", 100, true).send()))
                .collect();
            for call in calls {
                let answer = call.await.unwrap().unwrap();
                assert_eq!(answer.status, 200, "{:?}", answer.code());
                open.push(answer);
            }
        }
        let growth = fleet.daemons[0].resident_bytes().saturating_sub(before);
        eprintln!("{STREAMS} streams cost {} KiB each", growth / 1024 / STREAMS as u64);
        assert!(growth < BOUND_BYTES, "{growth} bytes for {STREAMS} streams");
    });
}
