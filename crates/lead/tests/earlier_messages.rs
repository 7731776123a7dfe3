//! Messages between daemons of this build and of earlier ones.

use base::{Revision, Time};
use fleet::{
    AdapterReply, AdapterRequest, LayoutRequest, PermitReply, PermitRequest, StoreChange,
    SyncReply, SyncReport, TargetHoldings,
};
use mango_lead::ChangeLog;
use prefill::{PrefillRequest, PrefillVerdict};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{json, Value};

/// Messages of the build 3ad5379, which doesn't know omitted values. Fields that a test doesn't read must
/// be there all the same.
#[allow(dead_code)]
mod before_omission {
    use serde::Deserialize;

    #[derive(Debug, Deserialize)]
    pub struct StoreChange {
        pub key: String,
        pub revision: u64,
        /// Text in base64.
        #[serde(default)]
        pub value: Option<String>,
        #[serde(default)]
        pub holdings: Option<TargetHoldings>,
    }

    #[derive(Debug, Deserialize)]
    pub struct TargetHoldings {
        pub beat: u64,
        pub models: Vec<serde_json::Value>,
    }

    #[derive(Debug, Deserialize)]
    pub struct ChangeBatch {
        pub after: u64,
        pub until: u64,
        pub age_ms: u64,
        pub changes: Vec<StoreChange>,
    }

    #[derive(Debug, Deserialize)]
    pub struct TeamGrant {
        pub team: String,
        pub amount: f64,
        pub wait_ms: u64,
    }

    #[derive(Debug, Deserialize)]
    pub struct ModelOutlook {
        pub model: String,
        pub ready_ms: Option<u64>,
    }

    #[derive(Debug, Deserialize)]
    pub struct SyncReply {
        pub fence: u64,
        pub number: u64,
        pub seats: u32,
        pub grants: Vec<TeamGrant>,
        pub outlooks: Vec<ModelOutlook>,
        pub held: Vec<(String, String)>,
        pub retiring: Vec<(String, String)>,
        pub changes: Option<ChangeBatch>,
    }

    /// What such a daemon does with a change.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Meaning {
        Put,
        Deleted,
        /// New holdings of a known target. For any other key the daemon reads the whole store.
        Holdings,
    }

    impl StoreChange {
        pub fn meaning(&self) -> Meaning {
            match (&self.value, &self.holdings) {
                (_, Some(_)) => Meaning::Holdings,
                (Some(_), None) => Meaning::Put,
                (None, None) => Meaning::Deleted,
            }
        }
    }
}

/// Messages of the builds ceba040 to 0f5f395, with the fields that they require.
#[allow(dead_code)]
mod with_omission {
    use serde::Deserialize;

    #[derive(Debug, Deserialize)]
    pub struct StoreChange {
        pub key: String,
        pub revision: u64,
        #[serde(default)]
        pub value: Option<String>,
        #[serde(default)]
        pub holdings: Option<super::before_omission::TargetHoldings>,
        #[serde(default)]
        pub is_omitted: bool,
    }

    #[derive(Debug, Deserialize)]
    pub struct ChangeBatch {
        pub after: u64,
        pub until: u64,
        pub age_ms: u64,
        pub changes: Vec<StoreChange>,
    }

    #[derive(Debug, Deserialize)]
    pub struct TeamGrant {
        pub team: String,
        pub awards: Vec<(u64, f64)>,
        pub waits: Vec<(u64, u64)>,
        pub amount: f64,
        pub wait_ms: u64,
        pub pressure: f64,
    }

    #[derive(Debug, Deserialize)]
    pub struct TargetDeparture {
        pub target: String,
        pub born_ms: u64,
    }

    #[derive(Debug, Deserialize)]
    pub struct LoadEstimate {
        pub model: String,
        pub ready_ms: Option<u64>,
    }

    #[derive(Debug, Deserialize)]
    pub struct SyncReply {
        pub fence: u64,
        pub number: u64,
        pub seats: u32,
        pub grants: Vec<TeamGrant>,
        pub outlooks: Vec<LoadEstimate>,
        #[serde(default)]
        pub busy: Vec<(String, u32, u32)>,
        pub held: Vec<(String, String)>,
        pub retiring: Vec<(String, String)>,
        #[serde(default)]
        pub leaving: Vec<TargetDeparture>,
        pub changes: Option<ChangeBatch>,
    }

    #[derive(Debug, Deserialize)]
    pub struct TeamDraw {
        pub team: String,
        pub arrived: f64,
        pub ahead: f64,
        pub returned: f64,
    }

    #[derive(Debug, Deserialize)]
    pub struct SyncReport {
        pub host: String,
        pub incarnation: u64,
        pub number: u64,
        pub acknowledged: u64,
        pub known: u64,
        #[serde(default)]
        pub runs: Vec<(String, u32, u32)>,
        pub suspects: Vec<String>,
        #[serde(default)]
        pub leaving: Vec<TargetDeparture>,
        pub draws: Vec<TeamDraw>,
    }

    #[derive(Debug, Deserialize)]
    pub struct LayoutRequest {
        pub revision: u64,
    }

    /// What such a daemon does with a change.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Meaning {
        Put,
        Deleted,
        Holdings,
        /// The daemon reads the key.
        Omitted,
    }

    impl StoreChange {
        pub fn meaning(&self) -> Meaning {
            match (&self.value, &self.holdings) {
                _ if self.is_omitted => Meaning::Omitted,
                (_, Some(_)) => Meaning::Holdings,
                (Some(_), None) => Meaning::Put,
                (None, None) => Meaning::Deleted,
            }
        }
    }
}

fn read<T: DeserializeOwned>(message: &Value) -> T {
    let text = message.to_string();
    serde_json::from_str(&text).unwrap_or_else(|error| panic!("{error}: {text}"))
}

/// Returns a message as a daemon of another build reads it.
fn reread<M: Serialize, T: DeserializeOwned>(message: &M) -> T {
    read(&serde_json::to_value(message).unwrap())
}

fn report(fields: Value) -> Value {
    let mut report = json!({
        "host": "host-1", "incarnation": 7, "number": 3, "acknowledged": 2, "known": 41,
        "demand": [{"model": "a", "arrivals": 2, "tokens": 90, "waiting": 1, "oldest_ms": 40,
                    "priority": 0}],
        "used": [["engine-1", {"model": "a", "adapter": "a1"}]],
        "suspects": ["engine-2"], "draws": []
    });
    report.as_object_mut().unwrap().extend(fields.as_object().unwrap().clone());
    report
}

fn reply(fields: Value) -> Value {
    let mut reply = json!({
        "fence": 9, "number": 3, "seats": 5, "grants": [],
        "outlooks": [{"model": "a", "ready_ms": 120}], "held": [["engine-1", "a"]],
        "retiring": [], "changes": null
    });
    reply.as_object_mut().unwrap().extend(fields.as_object().unwrap().clone());
    reply
}

fn departure() -> Value {
    json!({"target": "engine-3", "born_ms": 1_700_000_000_000_u64})
}

fn limit() -> Value {
    json!({"target": "engine-1", "born_ms": 5, "rate": null, "age_ms": 20})
}

/// What a change in a message means to this build.
#[derive(Debug, PartialEq, Eq)]
enum Meaning {
    Put(Vec<u8>),
    Deleted,
    Holdings(u64),
    Omitted,
}

fn meaning(change: &StoreChange) -> Meaning {
    match (&change.value, &change.holdings) {
        _ if change.is_omitted => Meaning::Omitted,
        (_, Some(holdings)) => Meaning::Holdings(holdings.beat),
        (Some(value), None) => Meaning::Put(value.clone()),
        (None, None) => Meaning::Deleted,
    }
}

/// Guards against a report of an earlier build whose departures, suspects or position are lost.
#[test]
fn earlier_reports() {
    let draw = json!({"team": "atelier", "asks": [{"id": 1, "cost": 10.0, "patience_ms": 900}],
                      "arrived": 10.0, "ahead": 2.0, "returned": 0.0});
    let ceba040 = json!({"runs": [["engine-1", 2, 40]], "leaving": [departure()],
                         "limits": [limit()], "draws": [draw]});
    let mut later = ceba040.clone();
    later["slowdowns"] = json!([["engine-1", 250]]);
    later["cold"] = json!([]);
    for fields in [json!({}), ceba040, later] {
        let report: SyncReport = read(&report(fields.clone()));
        assert_eq!((report.known, report.suspects.len()), (Revision(41), 1));
        assert_eq!(report.leaving.len(), usize::from(fields.get("leaving").is_some()));
        assert_eq!(report.draws.len(), usize::from(fields.get("draws").is_some()));
    }
}

/// Guards against a report of the builds before ceba040 whose needs are read in part. The leader refuses
/// it, so that the daemon reads the store itself.
#[test]
fn reports_of_other_needs() {
    let draw = json!({"team": "atelier", "need": 10.0, "ahead": 2.0, "returned": 0.0});
    let message = report(json!({"draws": [draw]})).to_string();
    assert!(serde_json::from_str::<SyncReport>(&message).is_err());
}

/// Guards against a change of an earlier build that is read as another kind of change.
#[test]
fn earlier_changes() {
    let held = json!({"name": "a", "version": 1, "adapters": ["a1"]});
    let holdings = json!({"beat": 8, "models": [held]});
    let cases = [
        // 37a15f9
        (json!({"key": "op/config", "revision": 42, "value": "AQID"}), Meaning::Put(vec![1, 2, 3])),
        (json!({"key": "servers/engine-1", "revision": 42, "value": null}), Meaning::Deleted),
        // 3ad5379
        (json!({"key": "servers/engine-1", "revision": 42}), Meaning::Deleted),
        (
            json!({"key": "servers/engine-1", "revision": 42, "holdings": holdings}),
            Meaning::Holdings(8),
        ),
        // ceba040 to 0f5f395
        (json!({"key": "op/config", "revision": 42, "is_omitted": true}), Meaning::Omitted),
        // An empty value is a value.
        (json!({"key": "op/evacuate/east", "revision": 42, "value": ""}), Meaning::Put(vec![])),
    ];
    for (change, expected) in cases {
        let batch = json!({"after": 41, "until": 43, "age_ms": 12, "changes": [change]});
        let reply: SyncReply = read(&reply(json!({"changes": batch})));
        let batch = reply.changes.unwrap();
        assert_eq!((batch.after, batch.until, batch.age_ms), (Revision(41), Revision(43), 12));
        assert_eq!(meaning(&batch.changes[0]), expected, "{change}");
    }
}

/// Guards against a reply of an earlier build whose grants or departures are lost.
#[test]
fn earlier_replies() {
    let idle: SyncReply = read(&reply(json!({})));
    assert_eq!((idle.fence, idle.changes), (9, None));
    let grant = json!({"team": "atelier", "awards": [[1, 10.0]], "waits": [], "amount": 5.0,
                       "wait_ms": 0, "pressure": 0.5});
    let ceba040 = json!({"busy": [["engine-1", 2, 40]], "leaving": [departure()],
                         "limits": [limit()], "grants": [grant]});
    let full: SyncReply = read(&reply(ceba040));
    assert_eq!((full.leaving.len(), full.grants.len(), full.cold.len()), (1, 1, 0));
    // A grant of the builds before ceba040 names no requests. The daemon then hears no leader.
    let grant = json!({"team": "atelier", "amount": 5.0, "wait_ms": 0});
    let message = reply(json!({"grants": [grant]})).to_string();
    assert!(serde_json::from_str::<SyncReply>(&message).is_err());
}

/// Guards against requests of an earlier build that the leader can't read, and answers that a daemon
/// can't.
#[test]
fn earlier_requests() {
    let layout: LayoutRequest = read(&json!({"revision": 42}));
    assert_eq!(layout.revision, Revision(42));
    let subject = json!({"model": "a", "adapter": "a1"});
    let adapter: AdapterRequest = read(&json!({"target": "engine-1", "subject": subject}));
    assert_eq!(adapter.subject.adapter.map(|name| name.to_string()), Some("a1".to_owned()));
    let answer: AdapterReply = read(&json!({"ready": false, "wait_ms": 30}));
    assert_eq!(answer.wait_ms, Some(30));
    // ceba040
    let permit: PermitRequest = read(&json!({"statement": limit(), "purpose": "Request"}));
    assert_eq!(permit.cold, None);
    let answer: PermitReply = read(&json!({"fence": 9, "next_ms": 40, "hint_ms": 300}));
    assert!(answer.result().is_err());
    // 83e2ff5
    let prefill: PrefillRequest = read(&json!({"candidates": [["engine-1", 90, 0]],
        "max_pause_ms": 300, "objective_ms": 600, "patience_ms": 5_000}));
    assert_eq!(prefill.candidates.len(), 1);
    let verdict: PrefillVerdict = read(&json!({"Send": {"target": "engine-1", "wait_ms": 0}}));
    assert!(matches!(verdict, PrefillVerdict::Send { wait_ms: 0, .. }));
}

/// Returns this build's reply with changes of a layout that is too large to relay, of a target's holdings,
/// of a small value and of a deleted key.
fn present_reply() -> SyncReply {
    let change = |key: &str, number, value: Option<Vec<u8>>| StoreChange {
        key: key.to_owned(),
        revision: Revision(number),
        value,
        holdings: None,
        is_omitted: false,
    };
    let held = TargetHoldings { beat: 8, models: Vec::new() };
    let holdings =
        StoreChange { holdings: Some(held), ..change("servers/engine-1", 43, Some(vec![1])) };
    let changes = vec![
        change("op/config", 42, Some(vec![b'x'; 10_000])),
        holdings,
        change("op/evacuate/east", 44, Some(vec![])),
        change("servers/engine-2", 45, None),
    ];
    let mut log = ChangeLog::default();
    log.append(Time::ZERO, Revision(41), changes, Revision(46));
    let batch = log.since(Time::from_millis(30), Revision(41));
    let grant = json!({"team": "atelier", "awards": [[1, 10.0]], "waits": [], "amount": 5.0,
                       "wait_ms": 0, "pressure": 0.5});
    let fields = json!({"leaving": [departure()], "limits": [limit()], "grants": [grant]});
    SyncReply { changes: batch, ..read(&reply(fields)) }
}

/// Guards against a change that the builds ceba040 to 0f5f395 read as another one.
#[test]
fn replies_to_earlier_builds() {
    use with_omission::Meaning;
    let reply: with_omission::SyncReply = reread(&present_reply());
    assert_eq!((reply.fence, reply.number, reply.seats), (9, 3, 5));
    assert_eq!((reply.leaving.len(), reply.grants.len()), (1, 1));
    let batch = reply.changes.unwrap();
    assert_eq!((batch.after, batch.until, batch.age_ms), (41, 46, 30));
    let meanings: Vec<_> = batch.changes.iter().map(|change| change.meaning()).collect();
    assert_eq!(meanings, [Meaning::Omitted, Meaning::Holdings, Meaning::Put, Meaning::Deleted]);
    let revisions: Vec<_> = batch.changes.iter().map(|change| change.revision).collect();
    assert_eq!(revisions, [42, 43, 44, 45]);
}

/// Guards against an omitted layout that a daemon without omitted values takes for a deleted one: it then
/// counts the change as read and keeps the old layout.
#[test]
fn omission_to_oldest_build() {
    use before_omission::Meaning;
    let reply: before_omission::SyncReply = reread(&present_reply());
    let batch = reply.changes.unwrap();
    assert_eq!((batch.after, batch.until), (41, 46));
    let meanings: Vec<_> = batch.changes.iter().map(|change| change.meaning()).collect();
    assert_eq!(meanings, [Meaning::Holdings, Meaning::Holdings, Meaning::Put, Meaning::Deleted]);
}

/// Guards against a report whose position, departures or needs an earlier leader can't read.
#[test]
fn reports_to_earlier_builds() {
    let draw = json!({"team": "atelier", "asks": [], "arrived": 10.0, "ahead": 2.0,
                      "returned": 0.0});
    let fields = json!({"runs": [["engine-1", 2, 40]], "leaving": [departure()], "draws": [draw],
                        "slowdowns": [["engine-1", 250]]});
    let present: SyncReport = read(&report(fields));
    let report: with_omission::SyncReport = reread(&present);
    assert_eq!((report.known, report.acknowledged, report.number), (41, 2, 3));
    assert_eq!((report.leaving.len(), report.draws.len(), report.runs.len()), (1, 1, 1));
    assert_eq!(report.suspects, ["engine-2"]);
    let request: with_omission::LayoutRequest = reread(&LayoutRequest { revision: Revision(42) });
    assert_eq!(request.revision, 42);
}
