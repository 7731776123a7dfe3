//! A restarted daemon uses no server that has left and accepts no withdrawn key.

mod common;
mod platform_fleet;

use std::time::Duration;

use common::run;
use mangodeal::client::HttpCall;
use platform_fleet::platform_standin::{config, StoreMode, HOST};
use platform_fleet::{request, PlatformFleet};

/// Restarts one daemon, then both, then both while the store doesn't answer.
#[test]
fn no_stale_state() {
    run(async {
        let mut fleet = PlatformFleet::start(2).await;
        let mut next = config(7, &["a", "b", "c"]);
        next["tenants"][0]["apiKeys"] = serde_json::json!(["another key"]);
        fleet.store.put("op/config", &next);
        fleet.store.delete("servers/orders-1");
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet.store.compact();
        let before = fleet.server("orders-1").arrivals().len();
        for (restarted, outage) in [(&[0][..], false), (&[0, 1][..], false), (&[0, 1][..], true)] {
            let mode = if outage { StoreMode::Silent } else { StoreMode::Up };
            fleet.store.set_mode(mode);
            for number in restarted {
                fleet.fronts[*number].kill();
                fleet.fronts[*number].spawn();
            }
            for round in 0..30 {
                for number in 0..2 {
                    let attempt = format!("r{round}-{number}-{outage}-{}", restarted.len());
                    let front = fleet.fronts[number].caller;
                    let result = request(front, "/unsafe/1", &attempt, 500).send().await;
                    // A daemon that has no configuration yet answers 503.
                    if let Ok(answer) = result {
                        assert!([401, 503].contains(&answer.status.as_u16()), "{attempt}");
                    }
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
                if round == 15 {
                    fleet.store.set_mode(StoreMode::Up);
                }
            }
            fleet.wait_ready(0).await;
            let call = HttpCall::post(fleet.fronts[0].caller, "/unsafe/1", "x")
                .header("host", HOST)
                .header("authorization", "Token another key")
                .header("mangodeal-attempt-id", format!("new-{outage}-{}", restarted.len()));
            assert_eq!(call.send().await.unwrap().status, 200);
        }
        assert_eq!(fleet.server("orders-1").arrivals().len(), before);
    });
}
