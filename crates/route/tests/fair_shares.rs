//! Fair sharing, target choice and retry budgets.

use std::time::Duration;

use base::{RequestId, TeamName, Time, TokenCount};
use mango_route::{FairQueue, LoadTable, QueueEntry, RetryBudget, TargetCandidate};

fn team(name: &str) -> Option<TeamName> {
    Some(name.parse().unwrap())
}

fn entry(id: u64, name: &str, arrived: Time, priority: i32) -> QueueEntry {
    QueueEntry { request: RequestId(id), team: team(name), arrived, priority }
}

/// Two teams of equal weight get equal shares, even if one sends ten times as many requests.
#[test]
fn equal_shares() {
    let now = Time::from_millis(10_000);
    let mut queue = FairQueue::default();
    for id in 0..100 {
        queue.push(entry(id, "greedy", now, 0));
    }
    for id in 100..110 {
        queue.push(entry(id, "modest", now, 0));
    }
    let mut modest = 0;
    for _ in 0..20 {
        let next = queue.order(now)[0];
        queue.remove(next);
        let name = if next.0 >= 100 { "modest" } else { "greedy" };
        modest += u32::from(name == "modest");
        queue.record_dispatch(&team(name), TokenCount(10), 1);
    }
    assert_eq!(modest, 10);
}

#[test]
fn weighted_shares() {
    let now = Time::from_millis(10_000);
    let mut queue = FairQueue::default();
    for id in 0..40 {
        queue.push(entry(id, "heavy", now, 0));
        queue.push(entry(100 + id, "light", now, 0));
    }
    let mut heavy = 0;
    for _ in 0..40 {
        let next = queue.order(now)[0];
        queue.remove(next);
        let (name, weight) = if next.0 < 100 { ("heavy", 3) } else { ("light", 1) };
        heavy += u32::from(name == "heavy");
        queue.record_dispatch(&team(name), TokenCount(10), weight);
    }
    assert_eq!(heavy, 30);
}

#[test]
fn aged_requests() {
    let mut queue = FairQueue::default();
    queue.push(entry(1, "a", Time::from_millis(0), -100));
    queue.push(entry(2, "a", Time::from_millis(4_000), 100));
    let order = |millis| queue.order(Time::from_millis(millis));
    assert_eq!(order(4_000)[0], RequestId(1), "an old request goes first despite its low priority");
    let mut queue = FairQueue::default();
    queue.push(entry(1, "a", Time::from_millis(3_999), -100));
    queue.push(entry(2, "a", Time::from_millis(4_000), 100));
    assert_eq!(queue.order(Time::from_millis(4_000))[0], RequestId(2));
}

#[test]
fn local_before_remote() {
    let mut table = LoadTable::new(7);
    let candidate = |name: &str, is_local| TargetCandidate {
        target: name.parse().unwrap(),
        slots: 2,
        is_local,
    };
    let candidates = [candidate("far", false), candidate("near", true)];
    let now = Time::from_millis(1);
    let mut chosen = Vec::new();
    while let Some(target) = table.choose(now, &candidates) {
        table.record_start(&target);
        chosen.push(target.to_string());
    }
    assert_eq!(chosen, ["near", "near", "far", "far"]);
    table.record_end(&"near".parse().unwrap());
    table.record_failure(now, &"near".parse().unwrap());
    assert_eq!(table.choose(now, &candidates), None, "a target that just failed is avoided");
    assert!(table.choose(now + Duration::from_secs(2), &candidates).is_some());
}

#[test]
fn bounded_retries() {
    let now = Time::from_millis(1);
    let mut budget = RetryBudget::new(now);
    let mut allowed = 0;
    for _ in 0..1_000 {
        budget.deposit();
        allowed += u32::from(budget.withdraw(now));
    }
    // The 50 retries of a full budget, plus one for every five requests. The first request earns
    // nothing because the budget is still full.
    assert_eq!(allowed, 249);
}
