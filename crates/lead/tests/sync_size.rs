//! Size of the leader's replies.
//!
//! A large fleet, whose engines load and unload models many times per second, has its leader on a
//! host with a slow link.

mod common;

use std::time::Duration;

use base::{Revision, Time};
use common::{at, entry, layout_of, leader_of, model, orders, report, sync_report};
use fleet::{
    HeldModel, ModelDemand, OrderKind, OrderReply, StoreChange, SyncReport, TargetHoldings,
    WeightCopies,
};

const DAEMONS: u64 = 85;
const ENGINES: usize = 140;
const LOADS_PER_SECOND: u64 = 12;
/// Half of the slowest link of the users' large deployments, 10 Mbit/s, in bytes per second.
const BYTES_PER_SECOND: u64 = 10_000_000 / 8 / 2;
/// Size of an engine's entry on the platform with three models and twelve names of local weights.
const ENTRY_BYTES: usize = 700;

fn holdings(beat: u64) -> TargetHoldings {
    let models = (0..3).map(|n| HeldModel {
        name: model(&format!("model{}{n}", 10_000 + beat)),
        version: 1,
        adapters: Vec::new(),
    });
    TargetHoldings { beat, models: models.collect() }
}

/// Guards against replies that saturate the leader's link, so that daemons lose their leader. Each
/// load is relayed to each daemon once, and of an engine's entry only the changed part.
#[test]
fn leader_bytes() {
    let names: Vec<String> = (0..ENGINES).map(|n| format!("i-{n:010}")).collect();
    let models: Vec<String> = (0..ENGINES * 3).map(|n| format!("model{n:05}")).collect();
    let mut leader = leader_of(layout_of(&models), &[]);
    // Each engine holds two of its three models, as many as fit in its memory.
    let mut engines: Vec<(&str, Vec<&str>)> = Vec::new();
    let mut entries = Vec::new();
    for ((name, own), port) in names.iter().zip(models.chunks(3)).zip(2_000..) {
        let held: Vec<&str> = own[1..].iter().map(String::as_str).collect();
        let disk = own.iter().map(|name| model(name)).collect();
        let mut entry = entry(name, &held);
        entry.address.set_port(port);
        entry.copies = Some(WeightCopies { disk, ..WeightCopies::default() });
        entries.push(entry);
        engines.push((name, held));
    }
    leader.update_targets(Time::ZERO, &entries);
    leader.plan(at(30));
    for (name, held) in &engines {
        leader.handle_engine_report(
            at(40),
            &name.parse().unwrap(),
            at(35),
            Some(&report(0, false, held)),
        );
    }
    // Number and revision of the last reply that each daemon has.
    let mut daemons = vec![(0, 0); DAEMONS as usize];
    let (mut revision, mut bytes, mut requested, mut loads) = (0, 0, 0, 0);
    const END_MS: u64 = 8_000;
    for ms in (100..END_MS).step_by(20) {
        let now = Time::from_millis(ms);
        while requested < ms * LOADS_PER_SECOND / 1_000 {
            // A model that its engine doesn't hold now.
            let at = requested as usize * 37 % ENGINES;
            let own = &models[at * 3..at * 3 + 3];
            let cold = own.iter().find(|name| !engines[at].1.contains(&name.as_str())).unwrap();
            requested += 1;
            let demand = ModelDemand {
                model: model(cold),
                version: None,
                arrivals: 1,
                tokens: 9_000,
                waiting: 1,
                oldest_ms: 0,
                priority: 1,
            };
            leader.handle_sync(now, &sync_report(&format!("x{requested}"), vec![demand]));
        }
        for order in orders(&mut leader, now) {
            leader.handle_order_reply(now, &order, OrderReply::Accepted);
            let at = names.iter().position(|name| *name == order.target.as_str()).unwrap();
            let subject = models.iter().find(|name| **name == *order.subject.model.as_str());
            let held = &mut engines[at].1;
            match order.kind {
                OrderKind::Unload => held.retain(|name| Some(*name) != subject.map(String::as_str)),
                OrderKind::Load => held.extend(subject.map(String::as_str)),
            }
            loads += u64::from(order.kind == OrderKind::Load);
            let later = now + Duration::from_millis(200);
            let engine_report = report(order.expected.0 + 1, false, held);
            leader.handle_engine_report(later, &order.target, later, Some(&engine_report));
            // The target writes its entry after each completed unload and load.
            revision += 1;
            let change = StoreChange {
                key: format!("servers/{}", order.target),
                revision: Revision(revision),
                value: Some(vec![b'x'; ENTRY_BYTES]),
                holdings: Some(holdings(revision)),
                is_omitted: false,
            };
            leader.record_changes(now, Revision(revision - 1), vec![change], Revision(revision));
        }
        for daemon in 0..DAEMONS {
            if (ms / 20 + daemon) % 20 != 0 {
                continue;
            }
            let (acknowledged, known) = daemons[daemon as usize];
            let report = SyncReport {
                number: ms,
                acknowledged,
                known: Revision(known),
                ..sync_report(&format!("{daemon}"), Vec::new())
            };
            let reply = leader.handle_sync(now, &report);
            daemons[daemon as usize] = (ms, revision);
            if ms >= 1_000 {
                bytes += serde_json::to_vec(&reply).unwrap().len() as u64;
            }
        }
    }
    assert!(loads * 10 >= requested * 9, "{loads} loads of {requested}");
    let rate = bytes * 1_000 / (END_MS - 1_000);
    assert!(rate <= BYTES_PER_SECOND, "{rate} bytes a second");
}
