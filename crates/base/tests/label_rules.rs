//! Tests of parsing and printing base types, and of matching labels with selectors.

use mango_base::{ByteSize, Labels, Name, Selector, TokenRate};
use proptest::prelude::*;

/// Selector, labels, and whether the selector matches.
const CASES: &[(&str, &str, bool)] = &[
    ("", "", true),
    ("", "a=1", true),
    ("a=1", "a=1", true),
    ("a==1", "a=1", true),
    ("a=1", "a=2", false),
    ("a=1", "", false),
    ("a!=1", "a=2", true),
    ("a!=1", "", true),
    ("a!=1", "a=1", false),
    ("a", "a=", true),
    ("a", "b=1", false),
    ("!a", "b=1", true),
    ("!a", "a=1", false),
    ("a in (1,2)", "a=2", true),
    ("a in (1, 2)", "a=3", false),
    ("a in (1)", "", false),
    ("a notin (1,2)", "a=3", true),
    ("a notin (1,2)", "", true),
    ("a notin (1,2)", "a=1", false),
    ("a=1,b=2", "a=1,b=2", true),
    ("a=1,b=2", "a=1", false),
    ("a in (1,2), !c, b!=4", "a=1,b=3", true),
    ("example.com/tier=gold", "example.com/tier=gold", true),
];

const INVALID_SELECTORS: &[&str] = &[
    "a in 1,2)",
    "a in (1",
    "a within (1)",
    "=1",
    "a b",
    "a=ü",
    "(a)",
    "a in (1))",
    "!",
    "a in ((1)",
];

#[test]
fn selector_matches() {
    for (selector, labels, expected) in CASES {
        let parsed: Selector = selector.parse().unwrap();
        let labels: Labels = labels.parse().unwrap();
        assert_eq!(parsed.matches(&labels), *expected, "{selector:?} on {labels}");
        let reparsed: Selector = parsed.to_string().parse().unwrap();
        assert_eq!(reparsed, parsed, "{selector:?} changes when printed");
    }
}

#[test]
fn invalid_selectors() {
    for text in INVALID_SELECTORS {
        let error = text.parse::<Selector>().expect_err(text);
        assert!(error.to_string().contains("expected"), "{error}");
    }
    assert!("a=1,b".parse::<Labels>().is_err());
}

#[test]
fn sizes_and_rates() {
    for (text, bytes) in [("64MiB", 64 << 20), ("1KiB", 1024), ("7B", 7), ("3GiB", 3 << 30)] {
        let size: ByteSize = text.parse().unwrap();
        assert_eq!(size, ByteSize(bytes));
        assert_eq!(size.to_string(), text);
    }
    for text in ["64", "64MB", "-1B", "1.5GiB", "", "99999999999GiB"] {
        assert!(text.parse::<ByteSize>().is_err(), "{text}");
    }
    assert_eq!("500/s".parse::<TokenRate>().unwrap().to_string(), "500/s");
}

proptest! {
    #[test]
    fn arbitrary_text(text in "\\PC{0,40}") {
        let _ = text.parse::<Selector>();
        let _ = text.parse::<Labels>();
        let _ = text.parse::<Name>();
    }

    #[test]
    fn selector_roundtrip(text in "[a-c!=, ()in]{0,24}") {
        if let Ok(selector) = text.parse::<Selector>() {
            let printed = selector.to_string();
            prop_assert_eq!(printed.parse::<Selector>().unwrap(), selector);
        }
    }
}
