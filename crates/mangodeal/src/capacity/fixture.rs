//! Configurations, messages and stored documents of a given size.

use std::sync::Arc;

use base::{ByteSize, Incarnation, ModelName, OrderId, Revision, Seat, TargetName};
use config::{Change, Draft, DraftItem, Object, Snapshot, Versioned};
use grant::{Roster, RosterStep, SeatEntry, Units};
use node::{DomainView, PeerMessage, ViewDelta};
use place::{LoadOrder, Phase, Replica, Residency, TargetPlan};
use serde_json::{json, Value};

use super::{ADAPTERS, DOMAINS, MODELS, TARGETS};

/// Key of the team `team-0`.
pub(super) const KEY: &str = "mk-capacity";
/// Memory of a target and of a model; five models fit a target.
pub(super) const TARGET_MEMORY: u64 = 500;
pub(super) const MODEL_MEMORY: u64 = 100;
const EIGHTHS: usize = 8;

/// Returns a snapshot with the given eighths of the full configuration and five teams.
pub(super) fn snapshot(eighths: usize) -> Snapshot {
    snapshot_with(eighths, 5)
}

/// Returns a snapshot with the given eighths of the full configuration.
pub(super) fn snapshot_with(eighths: usize, teams: usize) -> Snapshot {
    let scaled = |full: usize| full * eighths / EIGHTHS;
    let mut objects: Vec<Value> = vec![
        json!({"kind": "access", "name": "all", "teams": "", "models": ""}),
        json!({"kind": "placement", "name": "all", "models": "", "targets": "", "copies": 100}),
        json!({"kind": "key", "name": "k", "team": "team-0",
               "hash": base::SecretKey::new(KEY).hash()}),
    ];
    objects.extend((0..teams).map(|n| {
        json!({"kind": "team", "name": format!("team-{n}"), "rate": 1_000_000_000u64,
               "burst": 1_000_000_000u64})
    }));
    objects.extend((0..scaled(MODELS)).map(|n| {
        json!({"kind": "model", "name": model_name(n), "labels": "use=design",
               "memory": MODEL_MEMORY})
    }));
    objects.extend((0..scaled(ADAPTERS)).map(|n| {
        json!({"kind": "adapter", "name": format!("adapter-{n}"),
               "base": model_name(n % scaled(MODELS)), "memory": 1})
    }));
    objects.extend((0..scaled(TARGETS)).map(|n| {
        json!({"kind": "target", "name": target_name(n), "domain": format!("domain-{}", n % DOMAINS),
               "address": "127.0.0.1:9", "memory": TARGET_MEMORY})
    }));
    build(objects)
}

/// Returns a snapshot with the targets of one failure domain and all models.
pub(super) fn domain_snapshot(targets: usize) -> Snapshot {
    let mut objects: Vec<Value> =
        vec![json!({"kind": "placement", "name": "all", "models": "", "targets": "",
                    "copies": 10_000})];
    objects.extend(
        (0..MODELS)
            .map(|n| json!({"kind": "model", "name": model_name(n), "memory": MODEL_MEMORY})),
    );
    objects.extend((0..targets).map(|n| {
        json!({"kind": "target", "name": target_name(n), "domain": "domain-0",
               "address": "127.0.0.1:9", "memory": TARGET_MEMORY, "fencing": true})
    }));
    build(objects)
}

fn build(objects: Vec<Value>) -> Snapshot {
    let parse = |value| serde_json::from_value::<Object>(value).expect("a valid object");
    let versioned = |object| Versioned { revision: Revision(1), object: Arc::new(object) };
    let objects = objects.into_iter().map(parse).map(versioned);
    Snapshot::new(Revision(1), None, objects)
}

/// Returns a change of one team that follows `snapshot`.
pub(super) fn next_change(snapshot: &Snapshot) -> Change {
    let team = json!({"kind": "team", "name": "team-1", "rate": 7, "burst": 7});
    let object = serde_json::from_value(team).expect("a valid object");
    let draft = Draft {
        id: "next".parse().expect("a name"),
        actor: "capacity".to_owned(),
        wall_ms: 0,
        items: vec![DraftItem::put(object)],
    };
    snapshot.plan(&draft).expect("a valid change")
}

pub(super) fn model_name(n: usize) -> String {
    format!("model-{n:04}")
}

pub(super) fn target_name(n: usize) -> String {
    format!("target-{n:04}")
}

pub(super) fn residency(n: usize) -> Residency {
    Residency {
        target: target_name(n % TARGETS).parse::<TargetName>().expect("a name"),
        model: model_name(n % MODELS).parse::<ModelName>().expect("a name"),
        ready: true,
    }
}

/// Returns a view of one failure domain.
pub(super) fn view(domain: usize, version: u64, replicas: Vec<Residency>) -> DomainView {
    DomainView {
        domain: format!("domain-{domain}").parse().expect("a name"),
        fence: base::Fence(1),
        version,
        replicas,
        loads: Vec::new(),
    }
}

/// Returns the bytes of a message that adds one replica to a view.
pub(super) fn view_delta_bytes(replicas: usize) -> usize {
    let mut list: Vec<Residency> = (0..replicas).map(residency).collect();
    list.sort();
    let before = view(0, 1, list[1..].to_vec());
    let after = view(0, 2, list);
    peer::encode(&PeerMessage::ViewDelta(ViewDelta::between(&before, &after))).len()
}

/// Returns the bytes of the stored plan of a target.
pub(super) fn plan_bytes(replicas: usize) -> usize {
    serde_json::to_vec(&plan(replicas, 0)).map_or(0, |bytes| bytes.len())
}

/// Returns a plan with loaded replicas, starting at the model number `first`.
pub(super) fn plan(replicas: usize, first: usize) -> TargetPlan {
    let issuer = seat(0, 0);
    let entry = |n: usize| {
        let id = OrderId(1 << 24 | (first + n) as u64);
        let order = LoadOrder { id, issuer: issuer.clone(), resolved: true };
        let replica = Replica::new(ByteSize(MODEL_MEMORY), Phase::Loaded, vec![order]);
        (model_name((first + n) % MODELS).parse().expect("a name"), replica)
    };
    TargetPlan { replicas: (0..replicas).map(entry).collect() }
}

/// Returns the seat number `n` of a failure domain.
pub(super) fn seat(domain: usize, n: usize) -> Seat {
    Seat {
        address: format!("10.{domain}.0.{n}:7001").parse().expect("an address"),
        incarnation: Incarnation((domain * 1_000 + n + 1) as u64),
    }
}

/// Returns a roster whose seats have equal shares.
pub(super) fn roster(domain: usize, seats: usize) -> Roster {
    let mut roster = Roster::new(Units::per_domain(DOMAINS));
    for n in 0..seats {
        roster = roster.apply(&RosterStep::Join(seat(domain, n))).unwrap_or_default();
    }
    let fair = roster.fair_share();
    let entries = roster.seats.iter().map(|(address, entry)| {
        (address.clone(), SeatEntry { incarnation: entry.incarnation, units: fair })
    });
    Roster { total: roster.total, seats: entries.collect() }
}

pub(super) fn roster_bytes(seats: usize) -> usize {
    serde_json::to_vec(&roster(0, seats)).map_or(0, |bytes| bytes.len())
}

/// Returns a key-value revision that differs from all configuration revisions.
pub(super) fn distinct_revision(revision: u64) -> Revision {
    Revision(revision + 1_000_000)
}
