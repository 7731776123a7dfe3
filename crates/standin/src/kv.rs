//! Stand-in for a key-value service with the JSON form of the etcd v3 API.

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

/// Counts of the calls that the service received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Transactions, lease calls and calls with an unknown path.
    pub writes: u64,
    /// Range reads.
    pub reads: u64,
    /// Watches opened.
    pub watches: u64,
    /// Bytes in the requests and answers of reads and writes.
    pub bytes: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Base64 text, as received.
    value: String,
    revision: i64,
    /// Lease that the key is attached to, or 0.
    lease: i64,
}

/// A write or deletion that watches can replay.
#[derive(Clone, Debug)]
struct HistoryEvent {
    revision: i64,
    key: Vec<u8>,
    /// Base64 text, or `None` for a deletion.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    revision: i64,
    keys: BTreeMap<Vec<u8>, Entry>,
    history: Vec<HistoryEvent>,
    /// Latest revision whose history is gone.
    compacted: i64,
    /// Expiry and time to live of each lease.
    leases: BTreeMap<i64, (Instant, Duration)>,
    next_lease: i64,
    counts: CallCounts,
    is_down: bool,
    delay: Duration,
    /// Number of coming transactions whose answers will be dropped.
    lose_answers: u32,
    /// Incremented to end all open watches.
    watch_resets: u64,
}

impl State {
    fn put(&mut self, key: Vec<u8>, value: String, lease: i64, revision: i64) {
        self.history.push(HistoryEvent { revision, key: key.clone(), value: Some(value.clone()) });
        self.keys.insert(key, Entry { value, revision, lease });
    }

    fn delete(&mut self, key: &[u8], revision: i64) {
        if self.keys.remove(key).is_some() {
            self.history.push(HistoryEvent { revision, key: key.to_vec(), value: None });
        }
    }

    /// Ends expired leases and returns whether there were any.
    fn expire_leases(&mut self) -> bool {
        let now = Instant::now();
        let expired = |(_, (expires_at, _)): &(&i64, &(Instant, Duration))| *expires_at <= now;
        let expired: Vec<i64> = self.leases.iter().filter(expired).map(|(id, _)| *id).collect();
        for lease in &expired {
            self.end_lease(*lease);
        }
        !expired.is_empty()
    }

    /// Removes a lease and deletes the keys attached to it.
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

/// A key-value service that runs in this process.
pub struct KeyValueServer {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<i64>,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl KeyValueServer {
    /// Starts the stand-in on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be opened.
    pub async fn start() -> std::io::Result<KeyValueServer> {
        let state = Arc::new(Mutex::new(State { revision: 1, ..State::default() }));
        let (changed, _) = watch::channel(1);
        let (handler_state, handler_changed) = (state.clone(), changed.clone());
        let (address, server) = http::serve(move |request| {
            handle(handler_state.clone(), handler_changed.clone(), request)
        })
        .await?;
        let (lease_state, lease_changed) = (state.clone(), changed.clone());
        let leases = tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(50)).await;
                let mut state = lock(&lease_state);
                if !state.is_down && state.expire_leases() {
                    lease_changed.send_replace(state.revision);
                }
            }
        });
        Ok(KeyValueServer { state, changed, address, tasks: vec![server, leases] })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the calls received so far.
    pub fn calls(&self) -> CallCounts {
        lock(&self.state).counts
    }

    /// Starts or ends an outage, in which every call fails. Either change ends all watches.
    /// Leases do not expire during an outage and get their full time to live at its end.
    pub fn set_down(&self, is_down: bool) {
        let mut state = lock(&self.state);
        if state.is_down && !is_down {
            let now = Instant::now();
            for (expires_at, duration) in state.leases.values_mut() {
                *expires_at = now + *duration;
            }
        }
        state.is_down = is_down;
        state.watch_resets += 1;
        drop(state);
        self.changed.send_modify(|_| {});
    }

    /// Delays each answer.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Makes the service execute the next `transactions` transactions but close their connections
    /// without an answer.
    pub fn lose_answers(&self, transactions: u32) {
        lock(&self.state).lose_answers = transactions;
    }

    /// Ends all watches and discards the history, so that clients must list the keys again.
    pub fn compact(&self) {
        let mut state = lock(&self.state);
        state.compacted = state.revision;
        state.history.clear();
        state.watch_resets += 1;
        drop(state);
        self.changed.send_modify(|_| {});
    }

    /// Returns the value of a key as text, or `None` if the key does not exist or its value is not
    /// UTF-8.
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
    let (is_down, delay) = {
        let state = lock(&state);
        (state.is_down, state.delay)
    };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    if is_down {
        return None;
    }
    let input: Value = serde_json::from_slice(&body).unwrap_or_default();
    if path == "/v3/watch" {
        return Some(open_watch(state, changed.subscribe(), &input));
    }
    let (answer, loses_answer) = {
        let mut state = lock(&state);
        state.expire_leases();
        state.counts.bytes += body.len() as u64;
        let is_read = path == "/v3/kv/range";
        match is_read {
            true => state.counts.reads += 1,
            false => state.counts.writes += 1,
        }
        let answer = execute_call(&mut state, &path, &input);
        let loses_answer = path == "/v3/kv/txn" && state.lose_answers > 0;
        state.lose_answers -= u32::from(loses_answer);
        changed.send_replace(state.revision);
        (answer, loses_answer)
    };
    let Some(answer) = answer else {
        return Some(http::json(400, &json!({"code": 3, "message": "unknown call"})));
    };
    lock(&state).counts.bytes += answer.to_string().len() as u64;
    (!loses_answer).then(|| http::json(200, &answer))
}

/// Returns the answer to a call, or `None` for an unknown path.
fn execute_call(state: &mut State, path: &str, input: &Value) -> Option<Value> {
    match path {
        "/v3/kv/range" => Some(read_range(state, input)),
        "/v3/kv/txn" => Some(transact(state, input)),
        "/v3/lease/grant" => {
            state.next_lease += 1;
            let (id, seconds) = (state.next_lease, parse_integer(&input["TTL"]).max(1));
            let duration = Duration::from_secs(seconds.unsigned_abs());
            state.leases.insert(id, (Instant::now() + duration, duration));
            Some(json!({"ID": id.to_string(), "TTL": seconds.to_string()}))
        }
        "/v3/lease/keepalive" => {
            let id = parse_integer(&input["ID"]);
            let ttl = state.leases.get_mut(&id).map(|(expires_at, duration)| {
                *expires_at = Instant::now() + *duration;
                duration.as_secs()
            });
            Some(json!({"result": {"ID": id.to_string(), "TTL": ttl.unwrap_or(0).to_string()}}))
        }
        "/v3/lease/revoke" => {
            state.end_lease(parse_integer(&input["ID"]));
            Some(json!({}))
        }
        _ => None,
    }
}

fn read_range(state: &State, input: &Value) -> Value {
    let start = decode(&input["key"]);
    let end = decode(&input["range_end"]);
    let kvs: Vec<Value> = if end.is_empty() {
        state.keys.get_key_value(&start).into_iter().map(|(k, e)| to_json(k, e)).collect()
    } else {
        let limit = usize::try_from(parse_integer(&input["limit"])).unwrap_or(0);
        let limit = if limit == 0 { usize::MAX } else { limit };
        state.keys.range(start..end).take(limit).map(|(k, e)| to_json(k, e)).collect()
    };
    json!({"header": {"revision": state.revision.to_string()}, "kvs": kvs})
}

/// Applies a transaction if all its comparisons of modification revisions hold.
fn transact(state: &mut State, input: &Value) -> Value {
    let compares = input["compare"].as_array().cloned().unwrap_or_default();
    let succeeded = compares.iter().all(|compare| {
        let key = decode(&compare["key"]);
        let actual = state.keys.get(&key).map_or(0, |entry| entry.revision);
        actual == parse_integer(&compare["mod_revision"])
    });
    if succeeded {
        let operations = input["success"].as_array().cloned().unwrap_or_default();
        state.revision += i64::from(!operations.is_empty());
        let revision = state.revision;
        for operation in operations {
            let put = &operation["request_put"];
            let delete = &operation["request_delete_range"];
            if put.is_object() {
                let value = put["value"].as_str().unwrap_or_default().to_owned();
                state.put(decode(&put["key"]), value, parse_integer(&put["lease"]), revision);
            } else if delete.is_object() {
                state.delete(&decode(&delete["key"]), revision);
            }
        }
    }
    let mut answer = json!({"header": {"revision": state.revision.to_string()}});
    if succeeded {
        answer["succeeded"] = json!(true);
    }
    answer
}

fn open_watch(state: Arc<Mutex<State>>, changed: watch::Receiver<i64>, input: &Value) -> Reply {
    let create = &input["create_request"];
    let (start, end) = (decode(&create["key"]), decode(&create["range_end"]));
    let from = parse_integer(&create["start_revision"]);
    let resets = {
        let mut state = lock(&state);
        state.counts.watches += 1;
        state.watch_resets
    };
    let watch = WatchStream { state, changed, start, end, next: from, resets, is_created: false };
    let chunks = futures::stream::unfold(watch, |mut watch| async move {
        let chunk = watch.next_chunk().await?;
        Some((chunk, watch))
    });
    http::streamed("application/json", chunks)
}

/// An open watch on the keys from `start` up to, but not including, `end`.
struct WatchStream {
    state: Arc<Mutex<State>>,
    changed: watch::Receiver<i64>,
    start: Vec<u8>,
    end: Vec<u8>,
    /// First revision that was not sent yet.
    next: i64,
    /// Value of `State::watch_resets` when the watch was opened.
    resets: u64,
    is_created: bool,
}

impl WatchStream {
    /// Returns the next line, an error if an injected fault ended the watch, or `None` once the
    /// service has stopped.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if !self.is_created {
            self.is_created = true;
            return Some(Ok(to_line(&json!({"result": {"created": true}}))));
        }
        loop {
            let shared = self.state.clone();
            let batch = {
                let state = lock(&shared);
                if state.watch_resets != self.resets {
                    return Some(Err(std::io::Error::other("watch closed")));
                }
                if self.next <= state.compacted {
                    self.next = i64::MAX;
                    let compacted = state.compacted.to_string();
                    let canceled = json!({"canceled": true, "compact_revision": compacted});
                    return Some(Ok(to_line(&json!({"result": canceled}))));
                }
                self.collect_events(&state)
            };
            if !batch.is_empty() {
                return Some(Ok(to_line(&json!({"result": {"events": batch}}))));
            }
            self.changed.changed().await.ok()?;
        }
    }

    /// Returns the unsent events of the watched keys and marks them as sent.
    fn collect_events(&mut self, state: &State) -> Vec<Value> {
        let matches = |event: &&HistoryEvent| {
            event.revision >= self.next && event.key >= self.start && event.key < self.end
        };
        let first = state.history.partition_point(|event| event.revision < self.next);
        let events = state.history[first..].iter().filter(matches).map(|event| {
            let key = STANDARD.encode(&event.key);
            let revision = event.revision.to_string();
            match &event.value {
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

fn to_line(value: &Value) -> Bytes {
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

/// Parses a 64-bit integer, which etcd writes as a JSON string; 0 when it is missing.
fn parse_integer(value: &Value) -> i64 {
    value.as_i64().or_else(|| value.as_str()?.parse().ok()).unwrap_or(0)
}
