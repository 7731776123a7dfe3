//! A caller gets the complete answer to its own request, or an error.

mod common;

use common::{read_json, read_stream, run, Fleet, Options};

#[test]
fn cut_stream() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        fleet.load_model(0, "lace").await;
        for (_, target) in &fleet.targets {
            target.abort_after_tokens(Some(3));
        }
        let answer = fleet.chat_call(0, "lace", 10, true).send().await.unwrap();
        let (text, is_complete) = read_stream(answer).await;
        assert!(!is_complete, "a cut stream looks complete");
        assert!(text.contains("1503"), "{text}");
        assert_eq!(text.matches("delta").count(), 3);
    });
}

#[test]
fn cut_answer() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        fleet.load_model(0, "lace").await;
        for (_, target) in &fleet.targets {
            target.abort_after_tokens(Some(0));
        }
        let answer = fleet.chat_call(0, "lace", 10, false).send().await.unwrap();
        assert_eq!(answer.code(), Some(1501));
        assert_eq!(answer.header("x-mangodeal-ran"), Some("unknown"));
    });
}

#[test]
fn mismatched_answer() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        fleet.load_model(0, "lace").await;
        for (_, target) in &fleet.targets {
            target.set_wrong_id(true);
        }
        for stream in [true, false] {
            let answer = fleet.chat_call(0, "lace", 4, stream).send().await.unwrap();
            assert_eq!(answer.code(), Some(1501), "another request's answer was passed on");
        }
    });
}

#[test]
fn concurrent_requests() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        fleet.load_model(0, "lace").await;
        let mut calls = Vec::new();
        for number in 0..60u64 {
            let call = fleet.chat_call((number % 2) as usize, "lace", number + 1, false);
            calls.push((number + 1, tokio::spawn(call.send())));
        }
        for (tokens, call) in calls {
            let answer = call.await.unwrap().unwrap();
            let request = answer.header("x-mangodeal-request").unwrap().to_owned();
            let (_, body) = read_json(answer).await;
            let text = body["choices"][0]["text"].as_str().unwrap().to_owned();
            assert!(text.ends_with(&format!("-{request}:{tokens}")), "{text}");
        }
    });
}
