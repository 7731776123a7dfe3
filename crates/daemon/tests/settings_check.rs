//! All problems in a settings file are reported, each with its line and the valid form.

use mango_daemon::Settings;
use proptest::prelude::*;

const VALID: &str = "[daemon]
domain = east
domains = west, east
caller_listen = 127.0.0.1:8000
operator_listen = 127.0.0.1:8001
peer_listen = 127.0.0.1:7001
[platform]
service = 127.0.0.1:2379
[placement]
load_slots = 4
";

fn messages(text: &str) -> Vec<String> {
    Settings::parse("test.ini", text).map_or_else(|error| error.messages(), |_| Vec::new())
}

#[test]
fn valid_settings() {
    let settings = Settings::parse("test.ini", VALID).unwrap();
    assert_eq!(settings.domains.len(), 2);
    assert_eq!(settings.peer_address.as_str(), "127.0.0.1:7001");
    assert_eq!(settings.domain_slots(4), 2);
    assert_eq!(settings.domain_slots(1), 1);
}

/// A text in the valid settings, its replacement, and parts of the one message that this causes.
const CASES: &[(&str, &str, &[&str])] = &[
    ("service = 127.0.0.1:2379", "service = nowhere", &["line 8", "nowhere", "ip:port"]),
    ("service = 127.0.0.1:2379", "", &["line 7", "service is missing", "ip:port"]),
    ("load_slots = 4", "load_slots = 0", &["line 10", "from 1 on"]),
    ("load_slots = 4", "load_slot = 4", &["line 10", "no key load_slot", "load_slots"]),
    ("[placement]", "[placements]", &["line 9", "unknown section", "placement"]),
    ("load_slots = 4", "unload_delay = 5", &["line 10", "250ms"]),
    ("load_slots = 4", "idle = never", &["line 10", "fitted"]),
    ("load_slots = 4", "[log]\nformat = xml", &["line 11", "text or json"]),
    ("load_slots = 4", "[requests]\nmax_body = 8MB", &["line 11", "MiB"]),
    ("load_slots = 4", "[operators]\nann = secret", &["line 11", "SHA-256"]),
    ("domain = east", "domain = north", &["line 3", "not among domains"]),
    (
        "service = 127.0.0.1:2379",
        "service = 127.0.0.1:2379\nlease = 1s",
        &["line 9", "at least 2s"],
    ),
];

#[test]
fn wrong_settings() {
    for (from, to, parts) in CASES {
        let found = messages(&VALID.replacen(from, to, 1));
        assert_eq!(found.len(), 1, "{to}: {found:?}");
        for part in *parts {
            assert!(found[0].contains(part), "{to}: {found:?}");
        }
    }
}

#[test]
fn several_problems() {
    let text = VALID.replace("east\n", "a b\n").replace("= 4", "= x");
    assert!(messages(&text).len() >= 2);
}

proptest! {
    #[test]
    fn any_text(text in "\\PC{0,120}") {
        let _ = Settings::parse("x", &text);
    }

    #[test]
    fn mangled_settings(position in any::<prop::sample::Index>(), text in "[\\PC\n]{0,6}") {
        let at = position.index(VALID.len());
        let _ = Settings::parse("x", &format!("{}{text}{}", &VALID[..at], &VALID[at..]));
    }
}

#[test]
fn example_file() {
    let text = include_str!("../../../examples/mangodeald.ini");
    let settings = Settings::parse("mangodeald.ini", text).unwrap();
    assert_eq!(settings.operators.len(), 1);
}
