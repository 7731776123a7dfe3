//! Daemons that have passed on as much of a configuration as their link allows.

mod common;
mod layout_fleet;
mod platform_fleet;

use std::time::Duration;

use common::{eventually, run};
use layout_fleet::{start_fleet_with, version_of, wide_config};
use mangodeal::client::HttpCall;

/// A link so narrow that one configuration uses up what may be passed on.
const NARROW_LINK: &str = "[front]\nlink_mbps = 0.01\n";

/// Guards against daemons that ask for the whole configuration because the patches to it were declined.
#[test]
fn declined_patches() {
    run(async {
        let fleet = start_fleet_with(1, |text| text.replacen("[front]\n", NARROW_LINK, 1)).await;
        let front = &fleet.fronts[0];
        fleet.store.put("op/config", &wide_config(10, 4_000));
        eventually(Duration::from_secs(8), "the configuration is in force", || async {
            version_of(front).await == Some(10)
        })
        .await;
        let query = || HttpCall::post(front.peer, "/layout-query", "{\"version\":1}").send();
        let answer = query().await.unwrap();
        assert_eq!(answer.status, 200);
        let update = answer.json().await.unwrap()["update"].clone();
        assert_eq!(update["version"], 10);
        let declined = query().await.unwrap();
        assert_eq!(declined.status, 200, "an earlier build answers with another status");
        let declined = declined.json().await.unwrap();
        assert!(declined["update"].is_null() && declined["age_ms"].is_null(), "{declined}");
    });
}
