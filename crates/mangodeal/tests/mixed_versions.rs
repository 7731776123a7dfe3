//! Streams at servers of two software versions, with real daemons.

mod common;
mod platform_fleet;

use std::time::Duration;

use common::{eventually, run};
use mangodeal::client::HttpAnswer;
use platform_fleet::platform_standin::ServerMode;
use platform_fleet::{model_request, PlatformFleet};

/// Replaces `engine-2` by a server of another version and waits until all daemons list it.
async fn mix_versions(fleet: &mut PlatformFleet) {
    fleet.store.delete("servers/engine-2");
    wait_logged(fleet, "target_gone").await;
    fleet.server("engine-2").set_version("v2");
    fleet.write_heartbeats();
    wait_logged(fleet, "target_listed").await;
}

/// Waits until each daemon has logged an event about `engine-2`.
async fn wait_logged(fleet: &PlatformFleet, event: &str) {
    eventually(Duration::from_secs(10), event, || async {
        let is_logged =
            |line: &serde_json::Value| line["event"] == event && line["target"] == "engine-2";
        fleet.fronts.iter().all(|front| front.log().iter().any(is_logged))
    })
    .await;
}

/// Reads a stream as far as it comes. Also returns whether it ended as complete.
async fn read_events(mut answer: HttpAnswer) -> (String, bool) {
    let mut text = String::new();
    loop {
        match answer.next().await {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => return (text, true),
            Err(_) => return (text, false),
        }
    }
}

/// Returns whether a text has parts of both versions.
fn is_mixed(text: &str) -> bool {
    let parts: Vec<&str> = text.lines().filter(|line| line.starts_with("data:")).collect();
    let second = parts.iter().filter(|line| line.ends_with("v2")).count();
    second > 0 && second < parts.len()
}

/// Guards against an answer that is joined from two software versions, because the server that began it
/// breaks off.
#[test]
fn broken_stream() {
    run(async {
        let mut fleet = PlatformFleet::start(1).await;
        mix_versions(&mut fleet).await;
        for server in &fleet.servers {
            server.set_mode(ServerMode::BrokenStreams);
        }
        for number in 0..12 {
            let call = model_request(fleet.fronts[0].caller, &format!("s-{number}"), "a");
            let (text, _) = read_events(call.send().await.unwrap()).await;
            assert!(!is_mixed(&text), "{text}");
        }
    });
}
