//! The JSON form of the etcd v3 protocol.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use node::{KeyEvent, KeyValue, StoreTxn};
use serde::{Deserialize, Serialize};

/// A 64-bit integer, which is written as a string and read from a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Int(pub(crate) i64);

impl Serialize for Int {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Int, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Int(number)),
            Form::Text(text) => text.parse().map(Int).map_err(serde::de::Error::custom),
        }
    }
}

/// Bytes that are encoded as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Blob(pub(crate) Vec<u8>);

impl Serialize for Blob {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Blob, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Blob).map_err(serde::de::Error::custom)
    }
}

impl From<&str> for Blob {
    fn from(text: &str) -> Blob {
        Blob(text.as_bytes().to_vec())
    }
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct Header {
    #[serde(default)]
    pub(crate) revision: Int,
}

#[derive(Debug, Serialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: Blob,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) range_end: Option<Blob>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct RangeResponse {
    #[serde(default)]
    pub(crate) header: Header,
    #[serde(default)]
    pub(crate) kvs: Vec<Kv>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Kv {
    #[serde(default)]
    pub(crate) key: Blob,
    #[serde(default)]
    pub(crate) value: Blob,
    #[serde(default)]
    pub(crate) mod_revision: Int,
}

impl From<Kv> for KeyValue {
    fn from(kv: Kv) -> KeyValue {
        KeyValue {
            key: String::from_utf8_lossy(&kv.key.0).into_owned(),
            value: kv.value.0,
            revision: to_revision(kv.mod_revision),
        }
    }
}

pub(crate) fn to_revision(int: Int) -> base::Revision {
    base::Revision(u64::try_from(int.0).unwrap_or(0))
}

#[derive(Debug, Serialize)]
pub(crate) struct TxnRequest {
    compare: Vec<CompareJson>,
    success: Vec<Operation>,
}

#[derive(Debug, Serialize)]
struct CompareJson {
    key: Blob,
    target: &'static str,
    result: &'static str,
    mod_revision: Int,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Operation {
    RequestPut(PutJson),
    RequestDeleteRange(DeleteJson),
}

#[derive(Debug, Serialize)]
struct PutJson {
    key: Blob,
    value: Blob,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<Int>,
}

#[derive(Debug, Serialize)]
struct DeleteJson {
    key: Blob,
}

impl From<&StoreTxn> for TxnRequest {
    fn from(txn: &StoreTxn) -> TxnRequest {
        let compare = txn.compares.iter().map(|compare| CompareJson {
            key: compare.key.as_str().into(),
            target: "MOD",
            result: "EQUAL",
            mod_revision: Int(i64::try_from(compare.revision.0).unwrap_or(i64::MAX)),
        });
        let puts = txn.puts.iter().map(|put| {
            Operation::RequestPut(PutJson {
                key: put.key.as_str().into(),
                value: Blob(put.value.clone()),
                lease: put.lease.map(|lease| Int(lease.0)),
            })
        });
        let deletes = txn
            .deletes
            .iter()
            .map(|key| Operation::RequestDeleteRange(DeleteJson { key: key.as_str().into() }));
        TxnRequest { compare: compare.collect(), success: puts.chain(deletes).collect() }
    }
}

#[derive(Debug, Deserialize)]
pub(crate) struct TxnResponse {
    #[serde(default)]
    pub(crate) header: Header,
    #[serde(default)]
    pub(crate) succeeded: bool,
}

#[derive(Debug, Serialize)]
pub(crate) struct LeaseGrantRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl: Int,
}

#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct LeaseMessage {
    #[serde(rename = "ID", default)]
    pub(crate) id: Int,
    #[serde(rename = "TTL", default, skip_serializing)]
    pub(crate) ttl: Int,
}

/// A message of a streaming call, which wraps its content in a `result` field.
#[derive(Debug, Deserialize)]
pub(crate) struct StreamMessage<T> {
    pub(crate) result: T,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchCreate {
    pub(crate) key: Blob,
    pub(crate) range_end: Blob,
    pub(crate) start_revision: Int,
}

#[derive(Debug, Deserialize)]
pub(crate) struct WatchResponse {
    #[serde(default)]
    pub(crate) canceled: bool,
    #[serde(default)]
    events: Vec<EventJson>,
}

impl WatchResponse {
    pub(crate) fn into_events(self) -> Vec<KeyEvent> {
        self.events.into_iter().filter_map(EventJson::into_event).collect()
    }
}

#[derive(Debug, Deserialize)]
struct EventJson {
    #[serde(default, rename = "type")]
    kind: Option<String>,
    kv: Option<Kv>,
}

impl EventJson {
    fn into_event(self) -> Option<KeyEvent> {
        let entry = KeyValue::from(self.kv?);
        match self.kind.as_deref() {
            Some("DELETE") => Some(KeyEvent::Deleted(entry.key, entry.revision)),
            _ => Some(KeyEvent::Put(entry)),
        }
    }
}
