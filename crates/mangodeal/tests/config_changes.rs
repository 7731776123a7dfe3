//! An accepted configuration is in force on all daemons within seconds and is never reverted.

mod common;

use std::time::Duration;

use common::{run, Fleet, Options, CHANGE_BOUND};
use serde_json::json;

fn team(name: &str, rate: u64) -> serde_json::Value {
    json!({"kind": "team", "name": name, "rate": rate, "burst": 100})
}

#[test]
fn concurrent_changes() {
    run(async {
        let fleet = Fleet::start(Options { daemons_per_domain: 2, ..Options::default() }).await;
        fleet.service.lose_answers(2);
        let mut accepted = Vec::new();
        for round in 0..8u64 {
            let id = |at: usize| format!("race-{round}-{at}");
            let objects: Vec<_> = (0..4).map(|at| [team(&format!("t{at}"), round + 1)]).collect();
            let ids: Vec<String> = (0..4).map(id).collect();
            let (a, b, c, d) = tokio::join!(
                fleet.propose_change(0, &objects[0], &ids[0]),
                fleet.propose_change(1, &objects[1], &ids[1]),
                fleet.propose_change(2, &objects[2], &ids[2]),
                fleet.propose_change(3, &objects[3], &ids[3]),
            );
            for (status, body) in [a, b, c, d] {
                assert_eq!(status, 200, "{body}");
                accepted.push(body["revision"].as_u64().unwrap());
            }
        }
        accepted.sort();
        let distinct = accepted.len();
        accepted.dedup();
        assert_eq!(accepted.len(), distinct, "two changes were accepted as one revision");
        for at in 0..4 {
            fleet.wait_revision(at, *accepted.last().unwrap(), CHANGE_BOUND).await;
            let team = fleet.operator_get(at, &format!("/v1/objects/team/t{at}")).await;
            assert_eq!(team["object"]["rate"], 8);
        }
    });
}

#[test]
fn stale_revision() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        fleet.apply(&[team("a", 1)]).await;
        let outdated = fleet.operator_get(0, "/v1/objects/team/a").await;
        fleet.apply(&[team("a", 2)]).await;
        let item = json!({"key": {"kind": "team", "name": "a"}, "object": team("a", 3),
                          "based_on": outdated["revision"]});
        let draft = json!({"id": "late", "actor": "", "wall_ms": 0, "items": [item]}).to_string();
        let call =
            mangodeal::client::HttpCall::post(fleet.daemons[1].operator, "/v1/changes", draft);
        let answer = call.bearer(common::CREDENTIAL).send().await.unwrap();
        assert_eq!(answer.code(), Some(2101));
        let body = answer.json().await.unwrap();
        assert_eq!(body["current"]["object"]["rate"], 2);
    });
}

#[test]
fn repeated_change() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        let (_, first) = fleet.propose_change(0, &[team("a", 1)], "same").await;
        fleet.propose_change(0, &[team("a", 2)], "later").await;
        let (status, again) = fleet.propose_change(1, &[team("a", 1)], "same").await;
        assert_eq!(status, 200);
        assert_eq!(again["revision"], first["revision"]);
        let team = fleet.operator_get(0, "/v1/objects/team/a").await;
        assert_eq!(team["object"]["rate"], 2, "a repeated change reverted a later one");
    });
}

#[test]
fn compacted_watch() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        fleet.daemons[1].set_isolated(true);
        for rate in 1..5 {
            fleet.apply(&[team("a", rate)]).await;
        }
        fleet.service.compact();
        fleet.daemons[1].set_isolated(false);
        let revision = fleet.apply(&[team("a", 9)]).await;
        fleet.wait_revision(1, revision, CHANGE_BOUND).await;
    });
}

#[test]
fn change_from_peers() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        fleet.daemons[1].service.set_disconnected(true);
        let revision = fleet.apply(&[team("a", 1)]).await;
        fleet.wait_revision(1, revision, CHANGE_BOUND).await;
    });
}

#[test]
fn start_in_outage() {
    run(async {
        let mut fleet = Fleet::start(Options::default()).await;
        fleet.load_model(0, "lace").await;
        fleet.service.set_down(true);
        let revision = fleet.status(0).await["revision"].as_u64().unwrap();
        let at = fleet.add_daemon("east").await;
        fleet.wait_daemon(&fleet.daemons[at]).await;
        fleet.wait_revision(at, revision, Duration::from_secs(10)).await;
        let answer = fleet.chat_call(at, "lace", 1, false).send().await.unwrap();
        assert_eq!(answer.status, 200, "{:?}", answer.code());
    });
}

#[test]
fn refused_in_outage() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        fleet.service.set_down(true);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let (status, body) = fleet.propose_change(0, &[team("a", 1)], "outage").await;
        assert_eq!(status, 503, "{body}");
        fleet.service.set_down(false);
        tokio::time::sleep(Duration::from_secs(3)).await;
        let team = fleet.operator_get(0, "/v1/objects/team/a").await;
        assert_eq!(team["error"]["code"], 2103, "a refused change is in force");
    });
}
