//! Entries of another writer among those of the servers: malformed ones, and numbers that can't be right.

mod common;
mod platform_fleet;

use std::time::Duration;

use common::{eventually, run, CHANGE_BOUND};
use platform_fleet::{model_request, request, PlatformFleet};
use serde_json::{json, Value};

/// Number of nested lists that would exhaust the stack of a recursive parser.
const DEPTH: usize = 200_000;

/// Returns values that name no usable server. `entry` is that of a sound server.
fn odd_values(entry: &Value) -> Vec<(&'static str, Vec<u8>)> {
    let with = |field: &str, value: &str| {
        let text = entry.to_string();
        let sound = format!("\"{field}\":{}", entry[field]);
        assert!(text.contains(&sound), "{field}");
        text.replace(&sound, &format!("\"{field}\":{value}")).into_bytes()
    };
    let nested = "[".repeat(DEPTH);
    let closed = format!("{nested}{}", "]".repeat(DEPTH));
    let mut extended = entry.to_string().into_bytes();
    extended.pop();
    extended.extend(format!(",\"note\":{closed}").bytes());
    vec![
        ("nothing", Vec::new()),
        ("no text", vec![0xff, 0xfe, 0x00, 0x80]),
        ("half a document", b"{\"service\":\"orders\",".to_vec()),
        ("another type", b"7".to_vec()),
        ("deeply nested", nested.into_bytes()),
        ("deeply nested and closed", closed.clone().into_bytes()),
        ("deeply nested in an unknown field, not closed", extended),
        ("deeply nested in a known field", with("models", &closed)),
        ("slots too large", with("slots", "4294967296")),
        ("slots beyond all numbers", with("slots", "1e999")),
        ("negative sequence", with("sequence", "-1")),
        ("sequence beyond 64 bits", with("sequence", "18446744073709551616")),
        ("start beyond 64 bits", with("born", "1e40")),
        ("port out of range", with("address", "\"127.0.0.1:70000\"")),
        ("port 0", with("address", "\"127.0.0.1:0\"")),
        ("no address", with("address", "\"desk.example\"")),
        ("unknown state", with("state", "\"thinking\"")),
        ("long name", with("service", &format!("\"{}\"", "x".repeat(100_000)))),
    ]
}

/// Writes an entry for each odd value, under ids of their own.
fn write_odd_entries(fleet: &PlatformFleet, start: &str) {
    let (_, entry) = fleet.server("orders-1").entry("ready", 1);
    for (number, (_, value)) in odd_values(&entry).iter().enumerate() {
        fleet.store.put_bytes(&format!("servers/{start}-{number}"), value);
    }
}

async fn is_served(fleet: &PlatformFleet, number: usize, attempt: &str) -> bool {
    let front = fleet.fronts[number].caller;
    let plain = request(front, "/safe/1", &format!("{attempt}-plain"), 1_000).send().await;
    let model = model_request(front, &format!("{attempt}-model"), "a").send().await;
    [plain, model].into_iter().all(|answer| answer.is_ok_and(|answer| answer.status == 200))
}

/// Guards against readers of the list that end or stop following it because of one entry: in the list that
/// they read at their start, and in a change.
#[test]
fn odd_values_beside_sound_ones() {
    run(async {
        let mut fleet = PlatformFleet::start(2).await;
        write_odd_entries(&fleet, "watched");
        // One daemon reads them as a list.
        fleet.fronts[1].kill();
        fleet.fronts[1].spawn();
        fleet.wait_ready(1).await;
        for number in 0..2 {
            assert!(is_served(&fleet, number, &format!("a{number}")).await, "daemon {number}");
        }
        // Both still follow the list.
        fleet.add_server("orders-9", "orders").await;
        for number in 0..2 {
            eventually(CHANGE_BOUND, "the new server is used", || async {
                is_served(&fleet, number, &format!("b{number}")).await;
                let arrivals = fleet.server("orders-9").arrivals();
                arrivals.iter().any(|arrival| arrival.attempt.starts_with(&format!("b{number}")))
            })
            .await;
        }
        for front in &mut fleet.fronts {
            assert!(!front.has_exited());
            assert!(front.log().iter().filter(|line| line["event"] == "target_unread").count() > 9);
        }
    });
}

/// Guards against an entry of a known server whose start or number can't be right, and after which the
/// server's own entries would count as older for good.
#[test]
fn numbers_near_the_top() {
    run(async {
        let mut fleet = PlatformFleet::start(2).await;
        let odd = [
            ("orders-1", "sequence", json!(u64::MAX)),
            ("orders-2", "born", json!(u64::MAX)),
            ("engine-1", "sequence", json!(u64::MAX - 1)),
            ("engine-2", "born", json!(i64::MAX)),
        ];
        for (id, field, value) in &odd {
            let (key, mut entry) = fleet.server(id).entry("ready", 1);
            entry[*field] = value.clone();
            fleet.store.put(&key, &entry);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        // Their own next entries say that the first two leave.
        fleet.write_heartbeats();
        fleet.add_server("orders-9", "orders").await;
        for id in ["orders-1", "orders-2"] {
            let (key, entry) = fleet.server(id).entry("draining", 100);
            fleet.store.put(&key, &entry);
        }
        tokio::time::sleep(CHANGE_BOUND).await;
        let count = |fleet: &PlatformFleet| {
            let leaving = ["orders-1", "orders-2"].map(|id| fleet.server(id).arrivals().len());
            leaving.iter().sum::<usize>()
        };
        let before = count(&fleet);
        for number in 0..20 {
            assert!(is_served(&fleet, number % 2, &format!("c{number}")).await, "request {number}");
        }
        assert_eq!(count(&fleet), before, "requests were sent to leaving servers");
        assert!(fleet.fronts.iter_mut().all(|front| !front.has_exited()));
    });
}
