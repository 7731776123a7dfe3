//! Tests of the JSON form of objects and changes, and of their validation.

use mango_config::{Change, Draft, DraftItem, Kind, Object, ObjectKey, Snapshot, Versioned};
use proptest::prelude::*;
use serde_json::{json, Value};

fn examples() -> Vec<Value> {
    vec![
        json!({"kind": "team", "name": "atelier", "labels": "tier=gold", "rate": 5, "burst": 9}),
        json!({"kind": "key", "name": "counter", "team": "atelier", "hash": "0".repeat(64)}),
        json!({"kind": "model", "name": "lace", "memory": 60}),
        json!({"kind": "adapter", "name": "lace/veil", "base": "lace", "memory": 1}),
        json!({"kind": "access", "name": "all", "teams": "", "models": ""}),
        json!({"kind": "placement", "name": "all", "models": "", "targets": "", "copies": 2}),
        json!({"kind": "target", "name": "t", "address": "127.0.0.1:1", "domain": "east",
               "type": "service"}),
        json!({"kind": "route", "name": "desk", "prefix": "/desk/", "targets": "desk"}),
    ]
}

fn draft(objects: &[Value]) -> Draft {
    let items = objects
        .iter()
        .map(|object| DraftItem::put(serde_json::from_value(object.clone()).unwrap()));
    Draft { id: "c".parse().unwrap(), actor: "o".into(), wall_ms: 0, items: items.collect() }
}

/// Checks that every kind of object can be read back. This failed when a target had a field called
/// `kind` like the tag of the object: a change with such a target could be written but not read.
#[test]
fn kind_roundtrip() {
    let change = Snapshot::default().plan(&draft(&examples())).unwrap();
    let text = serde_json::to_string(&change).unwrap();
    assert_eq!(serde_json::from_str::<Change>(&text).unwrap(), change);
    let kinds: Vec<Kind> = change.writes.iter().map(|write| write.key.kind).collect();
    assert_eq!(kinds, Kind::ALL);
    let snapshot = Snapshot::default().apply(&change).unwrap();
    for versioned in snapshot.objects() {
        let text = serde_json::to_string(versioned).unwrap();
        assert_eq!(&serde_json::from_str::<Versioned>(&text).unwrap(), versioned);
    }
}

#[test]
fn invalid_objects() {
    let invalid = [
        (json!({"kind": "team", "name": "a", "rate": 1, "burst": 0}), "burst"),
        (json!({"kind": "key", "name": "k", "team": "none", "hash": "0".repeat(64)}), "team"),
        (json!({"kind": "adapter", "name": "a", "base": "none", "memory": 1}), "base"),
        (json!({"kind": "model", "name": "m", "memory": 0}), "memory"),
        (json!({"kind": "target", "name": "t", "address": "x:1", "domain": "d"}), "ip:port"),
        (json!({"kind": "route", "name": "r", "prefix": "desk", "targets": ""}), "slash"),
        (json!({"kind": "route", "name": "r", "prefix": "/v1/x/", "targets": ""}), "/v1/"),
        (
            json!({"kind": "placement", "name": "p", "models": "", "targets": "",
                "copies": 10_001}),
            "copies",
        ),
    ];
    for (object, expected) in invalid {
        let error = Snapshot::default().plan(&draft(&[object])).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
    for text in [
        r#"{"kind":"team","name":"a b","rate":1,"burst":1}"#,
        r#"{"kind":"team","name":"a","rate":-1,"burst":1}"#,
        r#"{"kind":"team","name":"a","rate":1,"burst":1,"extra":1}"#,
        r#"{"kind":"access","name":"a","teams":"x in (","models":""}"#,
        r#"{"kind":"thing","name":"a"}"#,
    ] {
        assert!(serde_json::from_str::<Object>(text).is_err(), "{text}");
    }
}

#[test]
fn atomic_changes() {
    let objects = [
        json!({"kind": "team", "name": "a", "rate": 1, "burst": 1}),
        json!({"kind": "key", "name": "k", "team": "missing", "hash": "0".repeat(64)}),
    ];
    assert!(Snapshot::default().plan(&draft(&objects)).is_err());
    let key = ObjectKey { kind: Kind::Team, name: "missing".into() };
    let delete = Draft { items: vec![DraftItem::delete(key)], ..draft(&[]) };
    assert!(Snapshot::default().plan(&delete).is_err());
    assert!(Snapshot::default().plan(&draft(&[])).is_err());
    let team = |n: usize| json!({"kind": "team", "name": format!("t{n}"), "rate": 1, "burst": 1});
    let many = |count: usize| draft(&(0..count).map(team).collect::<Vec<_>>());
    assert!(Snapshot::default().plan(&many(120)).is_ok());
    assert!(Snapshot::default().plan(&many(121)).is_err());
}

proptest! {
    #[test]
    fn arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..80)) {
        let _ = serde_json::from_slice::<Draft>(&bytes);
        let _ = serde_json::from_slice::<Change>(&bytes);
    }

    #[test]
    fn corrupted_objects(index in 0usize..8, position in 0usize..200, byte in any::<u8>()) {
        let mut text = examples()[index].to_string().into_bytes();
        let position = position % text.len();
        text[position] = byte;
        if let Ok(object) = serde_json::from_slice::<Object>(&text) {
            let serialized = serde_json::to_vec(&object).unwrap();
            prop_assert_eq!(serde_json::from_slice::<Object>(&serialized).unwrap(), object);
        }
    }
}

#[test]
fn example_file() {
    let text = include_str!("../../../examples/fleet.json");
    let objects: Vec<Value> = serde_json::from_str(text).unwrap();
    assert!(Snapshot::default().plan(&draft(&objects)).is_ok());
}
