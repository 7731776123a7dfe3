//! Fleets with configurations that the leader doesn't relay, because they are large.
#![allow(dead_code)]

use std::time::Duration;

use mangodeal::client::HttpCall;

use crate::common::eventually;
use crate::platform_fleet::platform_standin::config;
use crate::platform_fleet::{FrontProcess, PlatformFleet};

/// Model names that make a configuration larger than what the leader relays.
fn many_models() -> Vec<String> {
    (0..60).map(|number| format!("model-{number:04}")).collect()
}

pub fn large_config(version: u64) -> serde_json::Value {
    let models = many_models();
    config(version, &models.iter().map(String::as_str).collect::<Vec<_>>())
}

/// Returns a configuration with many further routes.
pub fn wide_config(version: u64, further_routes: u64) -> serde_json::Value {
    let mut layout = large_config(version);
    let routes = layout["routes"].as_array_mut().unwrap();
    let route = routes[0].clone();
    routes.extend((0..further_routes).map(|number| {
        let mut route = route.clone();
        route["name"] = format!("wide-{number}").into();
        route["prefix"] = format!("/wide/{number}/").into();
        route
    }));
    layout
}

pub async fn start_fleet(daemons: usize) -> PlatformFleet {
    start_fleet_with(daemons, |settings| settings).await
}

pub async fn start_fleet_with(
    daemons: usize,
    change_settings: fn(String) -> String,
) -> PlatformFleet {
    let models = many_models();
    let names: Vec<&str> = models.iter().map(String::as_str).collect();
    let fleet = PlatformFleet::start_with_settings(daemons, &names, &[], change_settings).await;
    eventually(Duration::from_secs(8), "all follow the leader", || async {
        let follows = |front: &FrontProcess| {
            front.log().iter().any(|line| line["event"] == "leads" || line["source"] == "leader")
        };
        fleet.fronts.iter().all(follows)
    })
    .await;
    fleet
}

/// Returns the configuration in force at a daemon.
pub async fn version_of(front: &FrontProcess) -> Option<u64> {
    let answer = HttpCall::get(front.metrics, "/metrics").send().await.ok()?;
    let bytes = answer.bytes().await.ok()?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix("mangodeal_layout_version "))?;
    line.parse().ok()
}
