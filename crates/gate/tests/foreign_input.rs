//! Tests the parsers of data that targets send.

use mango_gate::{parse_load, EngineLoad, EventSplitter};
use proptest::prelude::*;

const METRICS: &[(&str, u32, u32)] = &[
    ("", 0, 0),
    ("vllm:num_requests_running 2\nvllm:num_requests_waiting 3", 2, 3),
    ("vllm:num_requests_running{model_name=\"a b\"} 2.0\n", 2, 0),
    ("num_requests_running 1\nnum_requests_running 2", 3, 0),
    ("# vllm:num_requests_running 9\n", 0, 0),
    ("vllm:num_requests_running NaN\nvllm:num_requests_waiting -4", 0, 0),
    ("vllm:num_requests_running 1e300", u32::MAX, 0),
    ("vllm:num_requests_running", 0, 0),
];

#[test]
fn load_table() {
    for (text, running, waiting) in METRICS {
        let expected = EngineLoad { running: *running, waiting: *waiting };
        assert_eq!(parse_load(text), expected, "{text}");
    }
}

#[test]
fn events_after_end() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"data: [DONE]\n\ndata: x\n\n").is_none());
}

proptest! {
    #[test]
    fn any_metrics(text in "\\PC{0,200}") {
        let _ = parse_load(&text);
    }

    /// The events do not depend on how the stream is split into chunks.
    #[test]
    fn any_chunks(
        events in proptest::collection::vec("data: [a-z ]{0,12}\n\n", 0..12),
        cuts in proptest::collection::vec(1usize..9, 0..40),
    ) {
        let stream = events.concat();
        let (mut splitter, mut out, mut rest) = (EventSplitter::default(), Vec::new(), stream.as_bytes());
        for cut in cuts {
            let (chunk, left) = rest.split_at(cut.min(rest.len()));
            out.extend(splitter.push(chunk).unwrap());
            rest = left;
        }
        out.extend(splitter.push(rest).unwrap());
        let out: Vec<String> = out.iter().map(|e| String::from_utf8_lossy(e).into_owned()).collect();
        prop_assert_eq!(out, events);
        prop_assert!(!splitter.is_partial());
    }
}
