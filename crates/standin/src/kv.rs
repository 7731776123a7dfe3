//! A key-value service that speaks the etcd v3 JSON form.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::Request;
use serde_json::{json, Value};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http::{self, Reply};

/// Calls that the service received, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Transactions, puts and lease calls.
    pub writes: u64,
    /// Range reads.
    pub reads: u64,
    /// Watches opened.
    pub watches: u64,
    /// Bytes in requests and answers of reads and writes.
    pub bytes: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    value: String,
    revision: i64,
    lease: i64,
}

#[derive(Clone, Debug)]
struct Past {
    revision: i64,
    key: Vec<u8>,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    revision: i64,
    keys: BTreeMap<Vec<u8>, Entry>,
    history: Vec<Past>,
    compacted: i64,
    leases: BTreeMap<i64, (Instant, Duration)>,
    next_lease: i64,
    counts: CallCounts,
    down: bool,
    delay: Duration,
    lose_answers: u32,
    watch_cuts: u64,
}

impl State {
    fn put(&mut self, key: Vec<u8>, value: String, lease: i64, revision: i64) {
        self.history.push(Past { revision, key: key.clone(), value: Some(value.clone()) });
        self.keys.insert(key, Entry { value, revision, lease });
    }

    fn delete(&mut self, key: &[u8], revision: i64) {
        if self.keys.remove(key).is_some() {
            self.history.push(Past { revision, key: key.to_vec(), value: None });
        }
    }

    fn expire_leases(&mut self) -> bool {
        let now = Instant::now();
        let ended = |(_, (until, _)): &(&i64, &(Instant, Duration))| *until <= now;
        let ended: Vec<i64> = self.leases.iter().filter(ended).map(|(id, _)| *id).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let attached = self.keys.iter().filter(|(_, entry)| entry.lease == lease);
        let keys: Vec<Vec<u8>> = attached.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key, self.revision);
        }
    }
}

/// The key-value stand-in.
pub struct KeyValueServer {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<i64>,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl KeyValueServer {
    /// Starts the stand-in on a free loopback port.
    pub async fn start() -> std::io::Result<KeyValueServer> {
        let state = Arc::new(Mutex::new(State { revision: 1, ..State::default() }));
        let (changed, _) = watch::channel(1);
        let (for_handler, for_changes) = (state.clone(), changed.clone());
        let (address, server) =
            http::serve(move |request| handle(for_handler.clone(), for_changes.clone(), request))
                .await?;
        let (for_leases, lease_changes) = (state.clone(), changed.clone());
        let leases = tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(50)).await;
                let mut state = lock(&for_leases);
                if !state.down && state.expire_leases() {
                    lease_changes.send_replace(state.revision);
                }
            }
        });
        Ok(KeyValueServer { state, changed, address, tasks: vec![server, leases] })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the calls received so far.
    pub fn calls(&self) -> CallCounts {
        lock(&self.state).counts
    }

    /// Makes the service fail every call and cut its watches, or ends that. Leases do not run
    /// out during an outage.
    pub fn set_down(&self, down: bool) {
        let mut state = lock(&self.state);
        if state.down && !down {
            let now = Instant::now();
            for (until, span) in state.leases.values_mut() {
                *until = now + *span;
            }
        }
        state.down = down;
        state.watch_cuts += 1;
        drop(state);
        self.changed.send_modify(|_| {});
    }

    /// Delays each answer.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Executes the next transactions but breaks their answers off.
    pub fn lose_answers(&self, transactions: u32) {
        lock(&self.state).lose_answers = transactions;
    }

    /// Cuts all watches and forgets the history, so that they must list again.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.compacted = state.revision;
        state.history.clear();
        state.watch_cuts += 1;
        drop(state);
        self.changed.send_modify(|_| {});
    }

    /// Returns the value of a key as text.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = lock(&self.state);
        let value = &state.keys.get(key.as_bytes())?.value;
        String::from_utf8(STANDARD.decode(value).ok()?).ok()
    }

    /// Returns the keys that start with `prefix`, with their values.
    pub fn list(&self, prefix: &str) -> Vec<(String, String)> {
        let state = lock(&self.state);
        let matching = state.keys.iter().filter(|(key, _)| key.starts_with(prefix.as_bytes()));
        let decode = |value: &str| {
            String::from_utf8_lossy(&STANDARD.decode(value).unwrap_or_default()).into_owned()
        };
        matching
            .map(|(key, entry)| (String::from_utf8_lossy(key).into_owned(), decode(&entry.value)))
            .collect()
    }
}

impl Drop for KeyValueServer {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(
    state: Arc<Mutex<State>>,
    changed: watch::Sender<i64>,
    request: Request<Incoming>,
) -> Option<Reply> {
    let path = request.uri().path().to_owned();
    let body = http::read_body(request).await;
    let (down, delay) = {
        let state = lock(&state);
        (state.down, state.delay)
    };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    if down {
        return None;
    }
    let input: Value = serde_json::from_slice(&body).unwrap_or_default();
    if path == "/v3/watch" {
        return Some(open_watch(state, changed.subscribe(), &input));
    }
    let (answer, lost) = {
        let mut state = lock(&state);
        state.expire_leases();
        state.counts.bytes += body.len() as u64;
        let is_read = path == "/v3/kv/range";
        match is_read {
            true => state.counts.reads += 1,
            false => state.counts.writes += 1,
        }
        let answer = answer(&mut state, &path, &input);
        let lost = path == "/v3/kv/txn" && state.lose_answers > 0;
        state.lose_answers -= u32::from(lost);
        changed.send_replace(state.revision);
        (answer, lost)
    };
    let Some(answer) = answer else {
        return Some(http::json(400, &json!({"code": 3, "message": "unknown call"})));
    };
    lock(&state).counts.bytes += answer.to_string().len() as u64;
    (!lost).then(|| http::json(200, &answer))
}

fn answer(state: &mut State, path: &str, input: &Value) -> Option<Value> {
    match path {
        "/v3/kv/range" => Some(range(state, input)),
        "/v3/kv/txn" => Some(transact(state, input)),
        "/v3/lease/grant" => {
            state.next_lease += 1;
            let (id, seconds) = (state.next_lease, number(&input["TTL"]).max(1));
            let span = Duration::from_secs(seconds.unsigned_abs());
            state.leases.insert(id, (Instant::now() + span, span));
            Some(json!({"ID": id.to_string(), "TTL": seconds.to_string()}))
        }
        "/v3/lease/keepalive" => {
            let id = number(&input["ID"]);
            let ttl = state.leases.get_mut(&id).map(|(until, span)| {
                *until = Instant::now() + *span;
                span.as_secs()
            });
            Some(json!({"result": {"ID": id.to_string(), "TTL": ttl.unwrap_or(0).to_string()}}))
        }
        "/v3/lease/revoke" => {
            state.end_lease(number(&input["ID"]));
            Some(json!({}))
        }
        _ => None,
    }
}

fn range(state: &State, input: &Value) -> Value {
    let start = decode(&input["key"]);
    let end = decode(&input["range_end"]);
    let kvs: Vec<Value> = if end.is_empty() {
        state.keys.get_key_value(&start).into_iter().map(|(k, e)| to_json(k, e)).collect()
    } else {
        let limit = usize::try_from(number(&input["limit"])).unwrap_or(0);
        let limit = if limit == 0 { usize::MAX } else { limit };
        state.keys.range(start..end).take(limit).map(|(k, e)| to_json(k, e)).collect()
    };
    json!({"header": {"revision": state.revision.to_string()}, "kvs": kvs})
}

fn transact(state: &mut State, input: &Value) -> Value {
    let compares = input["compare"].as_array().cloned().unwrap_or_default();
    let holds = compares.iter().all(|compare| {
        let key = decode(&compare["key"]);
        let actual = state.keys.get(&key).map_or(0, |entry| entry.revision);
        actual == number(&compare["mod_revision"])
    });
    if holds {
        let operations = input["success"].as_array().cloned().unwrap_or_default();
        state.revision += i64::from(!operations.is_empty());
        let revision = state.revision;
        for operation in operations {
            let put = &operation["request_put"];
            let delete = &operation["request_delete_range"];
            if put.is_object() {
                let value = put["value"].as_str().unwrap_or_default().to_owned();
                state.put(decode(&put["key"]), value, number(&put["lease"]), revision);
            } else if delete.is_object() {
                state.delete(&decode(&delete["key"]), revision);
            }
        }
    }
    let mut answer = json!({"header": {"revision": state.revision.to_string()}});
    if holds {
        answer["succeeded"] = json!(true);
    }
    answer
}

fn open_watch(state: Arc<Mutex<State>>, changed: watch::Receiver<i64>, input: &Value) -> Reply {
    let create = &input["create_request"];
    let (start, end) = (decode(&create["key"]), decode(&create["range_end"]));
    let from = number(&create["start_revision"]);
    let cuts = {
        let mut state = lock(&state);
        state.counts.watches += 1;
        state.watch_cuts
    };
    let watch = WatchStream { state, changed, start, end, next: from, cuts, created: false };
    let chunks = futures::stream::unfold(watch, |mut watch| async move {
        let chunk = watch.next_chunk().await?;
        Some((chunk, watch))
    });
    http::streamed("application/json", chunks)
}

struct WatchStream {
    state: Arc<Mutex<State>>,
    changed: watch::Receiver<i64>,
    start: Vec<u8>,
    end: Vec<u8>,
    next: i64,
    cuts: u64,
    created: bool,
}

impl WatchStream {
    /// Returns the next line, an error when the watch was cut, or `None` at its regular end.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if !self.created {
            self.created = true;
            return Some(Ok(line(&json!({"result": {"created": true}}))));
        }
        loop {
            let shared = self.state.clone();
            let found = {
                let state = lock(&shared);
                if state.watch_cuts != self.cuts {
                    return Some(Err(std::io::Error::other("cut")));
                }
                if self.next <= state.compacted {
                    self.next = i64::MAX;
                    let compacted = state.compacted.to_string();
                    let canceled = json!({"canceled": true, "compact_revision": compacted});
                    return Some(Ok(line(&json!({"result": canceled}))));
                }
                self.collect(&state)
            };
            if !found.is_empty() {
                return Some(Ok(line(&json!({"result": {"events": found}}))));
            }
            self.changed.changed().await.ok()?;
        }
    }

    fn collect(&mut self, state: &State) -> Vec<Value> {
        let matches = |past: &&Past| {
            past.revision >= self.next && past.key >= self.start && past.key < self.end
        };
        let first = state.history.partition_point(|past| past.revision < self.next);
        let events = state.history[first..].iter().filter(matches).map(|past| {
            let key = STANDARD.encode(&past.key);
            let revision = past.revision.to_string();
            match &past.value {
                Some(value) => {
                    json!({"kv": {"key": key, "value": value, "mod_revision": revision}})
                }
                None => json!({"type": "DELETE", "kv": {"key": key, "mod_revision": revision}}),
            }
        });
        let events = events.collect();
        self.next = self.next.max(state.revision + 1);
        events
    }
}

fn line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}

fn to_json(key: &[u8], entry: &Entry) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": entry.value,
        "mod_revision": entry.revision.to_string(),
    })
}

fn decode(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default()
}

/// Reads a 64-bit integer, which JSON carries as a string.
fn number(value: &Value) -> i64 {
    value.as_i64().or_else(|| value.as_str()?.parse().ok()).unwrap_or(0)
}
