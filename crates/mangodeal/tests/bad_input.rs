//! Invalid input gets an error with a result code, and the daemon goes on serving.

mod common;

use std::time::Duration;

use common::{run, Fleet, Options};
use mangodeal::client::HttpCall;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CHAT: &str = "/v1/chat/completions";

#[test]
fn malformed_requests() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        let (caller, key) = (fleet.daemons[0].caller, fleet.key.reveal().to_owned());
        let post = |body: &[u8]| HttpCall::post(caller, CHAT, body.to_vec()).bearer(&key);
        let good = br#"{"model":"lace","messages":[],"max_tokens":1}"#;
        let cases = [
            (post(b""), 1401),
            (post(b"{"), 1401),
            (post(b"[1,2]"), 1401),
            (post(b"{\"model\":\"\xff\xfe\"}"), 1401),
            (post(br#"{"model":"a b"}"#), 1401),
            (post(br#"{"model":"lace","max_tokens":-1}"#), 1401),
            (post(br#"{"model":"lace","max_tokens":99999999999}"#), 1202),
            (post(br#"{"model":"none","messages":[]}"#), 1102),
            (post(&vec![b' '; 9 << 20]), 1402),
            (post(good).header("x-mangodeal-deadline-ms", "soon"), 1401),
            (post(good).header("x-mangodeal-deadline-ms", "99999999"), 1401),
            (post(good).header("x-mangodeal-priority", "1000"), 1401),
            (HttpCall::post(caller, CHAT, good.to_vec()), 1101),
            (HttpCall::post(caller, CHAT, good.to_vec()).header("authorization", "Basic x"), 1101),
            (HttpCall::get(caller, CHAT).bearer(&key), 1401),
            (HttpCall::get(caller, "/nowhere").bearer(&key), 1303),
            (HttpCall::post(caller, "/v1/models", good.to_vec()).bearer(&key), 1303),
        ];
        for (number, (call, code)) in cases.into_iter().enumerate() {
            let answer = call.send().await.unwrap();
            assert_eq!(answer.code(), Some(code), "case {number}");
            assert_eq!(answer.header("x-mangodeal-ran"), Some("no"), "case {number}");
            let body = answer.json().await.unwrap();
            assert_eq!(body["error"]["code"], code, "case {number}");
        }
        assert_eq!(post(good).send().await.unwrap().status, 200);
    });
}

#[test]
fn broken_connections() {
    run(async {
        let extra_settings = "[requests]\nreceive_timeout = 1s\n".to_owned();
        let fleet = Fleet::start(Options { extra_settings, ..Options::default() }).await;
        let caller = fleet.daemons[0].caller;
        let pieces: [&[u8]; 5] = [
            b"\x00\x01\x02\r\n\r\n",
            b"GET / HTTP/1.1\r\nhost",
            b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n",
            b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{",
            b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        ];
        let mut open = Vec::new();
        for piece in pieces {
            let mut stream = TcpStream::connect(caller).await.unwrap();
            stream.write_all(piece).await.unwrap();
            open.push(stream);
        }
        // Each connection is answered or closed; none stays open.
        for mut stream in open {
            let mut answer = Vec::new();
            let read = stream.read_to_end(&mut answer);
            let ended = tokio::time::timeout(Duration::from_secs(10), read).await;
            assert!(ended.is_ok(), "a broken connection stays open");
        }
        fleet.load_model(0, "lace").await;
    });
}

#[test]
fn disconnected_callers() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        fleet.load_model(0, "lace").await;
        for _ in 0..20 {
            let mut answer = fleet.chat_call(0, "lace", 5_000, true).send().await.unwrap();
            answer.next().await.unwrap();
            drop(answer);
        }
        fleet.weights.set_load_time(Duration::from_secs(30));
        for _ in 0..5 {
            let call = fleet.chat_call(0, "tulle", 1, false).timeout(Duration::from_millis(100));
            assert!(call.send().await.is_err());
        }
        common::eventually(Duration::from_secs(10), "no request is open", || async {
            fleet.status(0).await["open_requests"] == 0
        })
        .await;
    });
}

#[test]
fn operator_input() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        let operator = fleet.daemons[0].operator;
        let call = HttpCall::get(operator, "/v1/objects");
        assert_eq!(call.clone().send().await.unwrap().code(), Some(2104));
        assert_eq!(call.bearer("wrong").send().await.unwrap().code(), Some(2104));
        let key = fleet.key.reveal().to_owned();
        let call = HttpCall::get(operator, "/v1/objects").bearer(&key);
        assert_eq!(
            call.send().await.unwrap().code(),
            Some(2104),
            "a caller's key was accepted as an operator's credential"
        );
        for body in ["", "{", "{\"id\":\"a b\"}", "{\"id\":\"x\",\"actor\":\"\",\"wall_ms\":0}"] {
            let call = HttpCall::post(operator, "/v1/changes", body).bearer(common::CREDENTIAL);
            assert_eq!(call.send().await.unwrap().code(), Some(2102), "{body}");
        }
        let (status, body) = fleet.propose_change(0, &[], "empty").await;
        assert_eq!((status, body["error"]["code"].as_u64()), (422, Some(2102)));
        assert_eq!(fleet.delete(0, "team", "none").await.0, 404);
        assert_eq!(fleet.delete(0, "thing", "none").await.0, 422);
    });
}
