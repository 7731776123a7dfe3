//! Requests from a caller through a daemon process to a target and back.

mod common;

use common::{read_json, read_stream, run, Fleet, Options};

#[test]
fn streamed_answer() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        let answer = fleet.chat_call(1, "lace", 5, true).send().await.unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(answer.code(), Some(1000));
        let (text, is_complete) = read_stream(answer).await;
        assert!(is_complete, "{text}");
        assert_eq!(text.matches("delta").count(), 5);
    });
}

#[test]
fn plain_answer() {
    run(async {
        let fleet = Fleet::start(Options::default()).await;
        let (status, body) =
            read_json(fleet.chat_call(0, "tulle", 3, false).send().await.unwrap()).await;
        assert_eq!(status, 200, "{body}");
        assert_eq!(body["usage"]["completion_tokens"], 3);
    });
}
