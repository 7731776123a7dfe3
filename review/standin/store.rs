//! A stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{answer, listen, Conn, Message};
use crate::json::{base64, Json};

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Clone)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    history: Vec<(i64, String, Option<Item>)>,
    leases: BTreeMap<i64, (Instant, Duration)>,
    last_lease: i64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }
    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }
    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        for key in keys.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.delete(&key);
        }
    }
    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (until, _))| now >= *until);
        for lease in ended.map(|(lease, _)| *lease).collect::<Vec<_>>() {
            self.end_lease(lease);
        }
    }
    fn row(key: &str, item: &Item) -> Json {
        Json::map(vec![
            ("key", Json::str(key)),
            ("value", Json::str(item.value.clone())),
            ("revision", Json::Int(item.revision)),
            ("created", Json::Int(item.created)),
            ("lease", Json::Int(item.lease)),
        ])
    }
}

impl Store {
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let state = State {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
        };
        let store = Arc::new(Store { state: Mutex::new(state), changed: Condvar::new() });
        let served = store.clone();
        let address = listen("127.0.0.1", move |mut conn: Conn| {
            while let Some(request) = conn.message(false) {
                let (status, body) = served.answer(&request);
                let headers = [("Content-Type", "application/json")];
                if !conn.send(&answer(status, &headers, body.to_string().as_bytes())) {
                    return;
                }
            }
        });
        (store, address)
    }

    /// Writes an item as the operator or a server does.
    pub fn put(&self, key: &str, value: &Json) {
        let value = base64(value.to_string().as_bytes());
        self.state.lock().unwrap().put(key, value, 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        self.state.lock().unwrap().delete(key);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message) -> (u16, Json) {
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        if request.path() == "/api/kv-watch" {
            let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or(0));
            return self.watch(&prefix, after.parse().unwrap_or(0), wait);
        }
        let mut state = self.state.lock().unwrap();
        state.expire();
        let body = Json::parse(&request.body);
        let reply = match (request.method(), request.path()) {
            ("GET", "/api/kv-key") => match state.items.get(&request.query("key")) {
                Some(item) => (200, State::row(&request.query("key"), item)),
                None => (404, Json::map(vec![])),
            },
            ("GET", "/api/kv-range") => {
                let rows = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let mut rows =
                    rows.filter(|(key, _)| after.is_empty() || key.as_str() > after.as_str());
                let page = rows.by_ref().take(500).map(|(k, item)| State::row(k, item)).collect();
                let has_more = rows.next().is_some();
                (
                    200,
                    Json::map(vec![
                        ("items", Json::List(page)),
                        ("hasMore", Json::Bool(has_more)),
                        ("currentRev", Json::Int(state.revision)),
                    ]),
                )
            }
            ("POST", "/api/kv-txn") => Store::txn(&mut state, &body),
            ("POST", "/api/kv-lease") => {
                state.last_lease += 1;
                let (lease, ttl) = (state.last_lease, body.get("ttlMs").int().max(1_000));
                let span = Duration::from_millis(ttl as u64);
                state.leases.insert(lease, (Instant::now() + span, span));
                (200, Json::map(vec![("lease", Json::Int(lease)), ("ttlMs", Json::Int(ttl))]))
            }
            (_, path) => {
                let (call, id) = path.rsplit_once('/').unwrap_or((path, ""));
                let id = id.parse().unwrap_or(0);
                match (call, state.leases.get_mut(&id)) {
                    ("/api/kv-keep", Some((until, span))) => {
                        *until = Instant::now() + *span;
                        (200, Json::map(vec![("ttlMs", Json::Int(span.as_millis() as i64))]))
                    }
                    ("/api/kv-lease-end", Some(_)) => {
                        state.end_lease(id);
                        (200, Json::map(vec![]))
                    }
                    _ => (404, Json::map(vec![])),
                }
            }
        };
        self.changed.notify_all();
        reply
    }

    fn txn(state: &mut State, body: &Json) -> (u16, Json) {
        for row in body.get("expected").list() {
            let current = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            if current != row.get("revision").int() {
                return (412, Json::map(vec![("items", Json::List(vec![]))]));
            }
        }
        for row in body.get("puts").list() {
            let lease = row.get("lease").int();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, Json::map(vec![]));
            }
        }
        for row in body.get("puts").list() {
            let value = row.get("value").text().to_owned();
            state.put(row.get("key").text(), value, row.get("lease").int());
        }
        for key in body.get("deletes").list() {
            state.delete(key.text());
        }
        (200, Json::map(vec![("revision", Json::Int(state.revision))]))
    }

    fn watch(&self, prefix: &str, after: i64, wait: Duration) -> (u16, Json) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            state.expire();
            if after > state.revision {
                return (410, Json::map(vec![]));
            }
            let changes =
                state.history.iter().filter(|(r, key, _)| *r > after && key.starts_with(prefix));
            let events: Vec<Json> = changes
                .map(|(revision, key, item)| match item {
                    Some(item) => State::row(key, item),
                    None => Json::map(vec![
                        ("key", Json::str(key.clone())),
                        ("revision", Json::Int(*revision)),
                        ("tombstone", Json::Bool(true)),
                    ]),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                return (
                    200,
                    Json::map(vec![
                        ("events", Json::List(events)),
                        ("currentRev", Json::Int(state.revision)),
                    ]),
                );
            }
            // Leases end while nothing else happens.
            let pause = (end - now).min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, pause).unwrap().0;
        }
    }
}
