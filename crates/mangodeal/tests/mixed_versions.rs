//! Streams at servers of two software versions, with real daemons.

mod common;
mod platform_fleet;

use std::time::Duration;

use common::{eventually, run};
use mangodeal::client::HttpAnswer;
use platform_fleet::platform_standin::ServerMode;
use platform_fleet::{has_two_versions, model_request, read_events, FrontProcess, PlatformFleet};

/// Replaces `engine-2` by a server of another version and waits until all daemons list it. Before that
/// the leader has stated that there is one version only: otherwise it has nothing to announce.
async fn mix_versions(fleet: &mut PlatformFleet) {
    wait_mix(fleet, "only v1").await;
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

/// Guards against an answer that is joined from two software versions, because the server that began it
/// breaks off.
#[test]
fn broken_stream() {
    run(async {
        let mut fleet = PlatformFleet::start_with(1, &["a", "b"]).await;
        mix_versions(&mut fleet).await;
        for server in &fleet.servers {
            server.set_mode(ServerMode::BrokenStreams);
        }
        for mix in ["opening v1", "any"] {
            wait_mix(&fleet, mix).await;
            for number in 0..12 {
                let attempt = format!("{mix}-{number}");
                let call = model_request(fleet.fronts[0].caller, &attempt, "a");
                let (text, _) = read_events(call.send().await.unwrap()).await;
                assert!(!has_two_versions(&text), "{attempt}: {text}");
            }
        }
    });
}

/// Waits until all daemons have logged these versions at which streams can have begun.
async fn wait_mix(fleet: &PlatformFleet, mix: &str) {
    eventually(Duration::from_secs(10), mix, || async {
        let is_stated =
            |line: &serde_json::Value| line["event"] == "versions_changed" && line["mix"] == mix;
        fleet.fronts.iter().all(|front| front.log().iter().any(is_stated))
    })
    .await;
}

/// Begins a stream at `first` that breaks off after two events.
async fn begin_stream(fleet: &PlatformFleet, attempt: &str, first: &str) -> String {
    for server in ["engine-1", "engine-2"] {
        let mode = if server == first { ServerMode::BrokenStreams } else { ServerMode::Full };
        fleet.server(server).set_mode(mode);
    }
    let answer = model_request(fleet.fronts[0].caller, attempt, "a").send().await.unwrap();
    assert_eq!(answer.status, 200, "{attempt}");
    let (text, is_complete) = read_events(answer).await;
    assert!(!is_complete && text.contains("part 2") && !text.contains("part 3"), "{text}");
    for server in ["engine-1", "engine-2"] {
        fleet.server(server).set_mode(ServerMode::Healthy);
    }
    text
}

/// Takes a stream up after its second event.
async fn take_up(front: &FrontProcess, attempt: &str, resumes: Option<&str>) -> HttpAnswer {
    let call = model_request(front.caller, attempt, "a").header("last-event-id", "2");
    match resumes {
        Some(first) => call.header("resumes", first.to_owned()),
        None => call,
    }
    .send()
    .await
    .unwrap()
}

async fn restart_all(fleet: &mut PlatformFleet) {
    fleet.fronts.iter_mut().for_each(|front| front.kill());
    fleet.fronts.iter_mut().for_each(|front| front.spawn());
    for number in 0..fleet.fronts.len() {
        fleet.wait_ready(number).await;
    }
}

/// Takes streams of both versions up at each daemon, also after all daemons were killed at once. None
/// goes on at another version, and each ends complete.
async fn check_take_ups(fleet: &mut PlatformFleet) {
    for is_killed in [false, true] {
        for first in ["engine-1", "engine-2"] {
            let attempt = format!("s-{first}-{is_killed}");
            let begun = begin_stream(fleet, &attempt, first).await;
            if is_killed {
                restart_all(fleet).await;
            }
            for front in &fleet.fronts {
                let second = format!("{attempt}-{}", front.name);
                let answer = take_up(front, &second, Some(&attempt)).await;
                assert_eq!(answer.status, 200, "{second}");
                let (rest, is_complete) = read_events(answer).await;
                let text = begun.clone() + &rest;
                assert!(!has_two_versions(&text), "{second}: {text}");
                assert!(is_complete && rest.contains("part 6"), "{second}: {rest}");
            }
        }
    }
}

/// Guards against a stream that its client takes up and that goes on at another software version, at
/// each daemon, also after all daemons were killed at once.
#[test]
fn taken_up_stream() {
    run(async {
        let mut fleet = PlatformFleet::start_with(2, &["a", "b"]).await;
        mix_versions(&mut fleet).await;
        wait_mix(&fleet, "any").await;
        check_take_ups(&mut fleet).await;
    });
}

/// Guards against joined streams of a fleet that found servers of two versions when it started, so that
/// no change of the versions was ever announced.
#[test]
fn mixed_start() {
    run(async {
        let mut fleet = PlatformFleet::start_with(0, &["a", "b"]).await;
        fleet.server("engine-2").set_version("v2");
        fleet.write_heartbeats();
        fleet.add_fronts(2).await;
        check_take_ups(&mut fleet).await;
        let is_announced = |line: &serde_json::Value| line["event"] == "versions_changed";
        assert!(!fleet.fronts.iter().any(|front| front.log().iter().any(is_announced)));
    });
}

/// Guards against a stream that goes on at another version, or is held, because no server of its version
/// is left, or because nobody knows where it began.
#[test]
fn lost_origin() {
    run(async {
        let mut fleet = PlatformFleet::start_with(2, &["a", "b"]).await;
        mix_versions(&mut fleet).await;
        wait_mix(&fleet, "any").await;
        begin_stream(&fleet, "s-gone", "engine-2").await;
        fleet.store.delete("servers/engine-2");
        eventually(Duration::from_secs(10), "the server is gone", || async {
            fleet.fronts.iter().all(|front| {
                let log = front.log();
                let lines = log.iter().filter(|line| line["event"] == "target_gone");
                lines.filter(|line| line["target"] == "engine-2").count() == 2
            })
        })
        .await;
        for (name, resumes) in
            [("gone", Some("s-gone")), ("unknown", Some("nobody")), ("unnamed", None)]
        {
            for front in &fleet.fronts {
                let began_at = std::time::Instant::now();
                let answer = take_up(front, &format!("{name}-{}", front.name), resumes).await;
                assert_eq!(answer.status, 503, "{name}");
                assert!(answer.header("retry-after").is_none(), "{name}");
                assert!(began_at.elapsed() < Duration::from_secs(1), "{name}");
                let attempt = format!("{name}-{}", front.name);
                let is_refusal = |line: &serde_json::Value| {
                    line["event"] == "refused" && line["request"] == attempt.as_str()
                };
                eventually(Duration::from_secs(2), "the refusal is logged", || async {
                    let log = front.log();
                    log.iter().any(|line| is_refusal(line) && line["code"] == 1309)
                })
                .await;
            }
        }
    });
}

/// While a service has one version only, each stream can be taken up and none is recorded.
#[test]
fn single_version() {
    run(async {
        let mut fleet = PlatformFleet::start_with(2, &["a", "b"]).await;
        wait_mix(&fleet, "only v1").await;
        begin_stream(&fleet, "s-1", "engine-1").await;
        restart_all(&mut fleet).await;
        for front in &fleet.fronts {
            let answer = take_up(front, &format!("t-{}", front.name), Some("s-1")).await;
            assert_eq!(answer.status, 200);
            let (rest, is_complete) = read_events(answer).await;
            assert!(is_complete && rest.contains("part 6"), "{rest}");
        }
        assert!(fleet.store.keys("streams/").is_empty());
    });
}

/// Guards against a stream that goes on at another software version at a daemon that stood still while
/// servers of that version joined and the stream began elsewhere.
#[test]
fn out_of_step() {
    run(async {
        for is_suspended in [true, false] {
            let mut fleet = PlatformFleet::start_with(3, &["a", "b"]).await;
            wait_mix(&fleet, "only v1").await;
            // The daemon that began the streams is cut off later; the leader isn't the one out of step.
            let leads =
                |front: &FrontProcess| front.log().iter().any(|line| line["event"] == "leads");
            let late = (1..3).find(|number| !leads(&fleet.fronts[*number])).unwrap();
            match is_suspended {
                true => fleet.fronts[late].suspend(),
                false => fleet.fronts[late].store.set_frozen(true),
            }
            fleet.store.delete("servers/engine-2");
            tokio::time::sleep(Duration::from_millis(600)).await;
            fleet.server("engine-2").set_version("v2");
            fleet.write_heartbeats();
            let knows = |front: &FrontProcess| front.log().iter().any(|line| line["mix"] == "any");
            eventually(Duration::from_secs(10), "streams begin at both versions", || async {
                knows(&fleet.fronts[0])
            })
            .await;
            for first in ["engine-1", "engine-2"] {
                let attempt = format!("out-{first}-{is_suspended}");
                let begun = begin_stream(&fleet, &attempt, first).await;
                if is_suspended {
                    fleet.fronts[late].resume();
                }
                let mut went_on = 0;
                // At once after its return, and with a list that may be older than the new version.
                for number in 0..6 {
                    let second = format!("{attempt}-{number}");
                    let answer = take_up(&fleet.fronts[late], &second, Some(&attempt)).await;
                    if answer.status != 200 {
                        continue;
                    }
                    went_on += 1;
                    let (rest, _) = read_events(answer).await;
                    let text = begun.clone() + &rest;
                    assert!(!has_two_versions(&text), "{second}: {text}");
                }
                if is_suspended {
                    assert!(went_on > 0, "{attempt}: none went on");
                    fleet.fronts[late].suspend();
                }
            }
            fleet.fronts[late].resume();
        }
    });
}
