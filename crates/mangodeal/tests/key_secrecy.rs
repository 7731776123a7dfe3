//! A caller's key never reaches a target, a log or an operator's answer, and gives access only to
//! what its team may use.

mod common;

use common::{read_json, run, Fleet, Options, CREDENTIAL};
use mangodeal::client::HttpCall;
use serde_json::json;

#[test]
fn no_key_leaks() {
    run(async {
        let mut fleet = Fleet::start(Options::default()).await;
        fleet.add_service(false).await;
        let key = fleet.key.reveal().to_owned();
        for extra in ["x-api-key", "cookie", "proxy-authorization", "x-forwarded-authorization"] {
            let call = fleet.chat_call(0, "lace", 1, true).header(extra, &key);
            assert_eq!(call.send().await.unwrap().status, 200);
        }
        assert_eq!(fleet.service_call(0, "b1", "sleeve").send().await.unwrap().status, 200);
        let caller = fleet.daemons[0].caller;
        for path in
            [format!("/desk/x?api_key={key}"), format!("/desk/x?q={key}"), format!("/desk/{key}")]
        {
            let answer = HttpCall::get(caller, path).bearer(&key).send().await.unwrap();
            assert_eq!(answer.code(), Some(1106));
        }
        let body = json!({"model": "lace", "messages": [], "user": key}).to_string();
        let call = HttpCall::post(caller, "/v1/chat/completions", body).bearer(&key);
        assert_eq!(call.send().await.unwrap().code(), Some(1401));

        let mut texts: Vec<String> = Vec::new();
        for (_, target) in &fleet.targets {
            assert!(target
                .record()
                .request_texts
                .iter()
                .all(|text| !text.contains("authorization")));
            texts.extend(target.record().request_texts);
        }
        for path in ["/v1/status", "/v1/objects", "/v1/changes?from=1"] {
            texts.push(fleet.operator_get(0, path).await.to_string());
        }
        let metrics = HttpCall::get(fleet.daemons[0].operator, "/metrics").send().await.unwrap();
        texts.push(String::from_utf8_lossy(&metrics.bytes().await.unwrap()).into_owned());
        texts.extend(fleet.daemons.iter().map(|daemon| daemon.log()));
        texts.extend(fleet.service.list("/").into_iter().map(|(_, value)| value));
        assert!(texts.len() > 10);
        assert!(texts.iter().all(|text| !text.contains(&key)), "a key leaked");
        assert!(texts.iter().all(|text| !text.contains(CREDENTIAL)), "a credential leaked");
    });
}

#[test]
fn own_team_only() {
    run(async {
        let mut fleet = Fleet::start(Options::default()).await;
        let target = fleet.add_service(false).await;
        let other = base::SecretKey::generate();
        let objects = [
            json!({"kind": "team", "name": "rival", "labels": "tier=none", "rate": 1000,
                   "burst": 1000}),
            json!({"kind": "key", "name": "rival", "team": "rival", "hash": other.hash()}),
            json!({"kind": "route", "name": "desk", "prefix": "/desk/", "targets": "desk=yes",
                   "teams": "tier=gold"}),
        ];
        let revision = fleet.apply(&objects).await;
        fleet.wait_in_force(revision, 2).await;
        for at in 0..2 {
            let caller = fleet.daemons[at].caller;
            let body = json!({"model": "lace", "messages": []}).to_string();
            let call = HttpCall::post(caller, "/v1/chat/completions", body.clone());
            assert_eq!(call.bearer(other.reveal()).send().await.unwrap().code(), Some(1102));
            let call = HttpCall::post(caller, "/v1/chat/completions", body);
            assert_eq!(call.send().await.unwrap().code(), Some(1101));
            let call = HttpCall::post(caller, "/desk/book", "x").bearer(other.reveal());
            assert_eq!(call.send().await.unwrap().code(), Some(1102));
            let call = HttpCall::get(caller, "/v1/models").bearer(other.reveal());
            let (_, models) = read_json(call.send().await.unwrap()).await;
            assert_eq!(models["data"].as_array().unwrap().len(), 0);
        }
        assert!(fleet.targets[target].1.record().service_calls.is_empty());
    });
}

#[test]
fn open_route() {
    run(async {
        let mut fleet = Fleet::start(Options::default()).await;
        fleet.add_service(true).await;
        let call = HttpCall::get(fleet.daemons[1].caller, "/desk/hours");
        assert_eq!(call.send().await.unwrap().status, 200);
    });
}
