//! A server of the platform: a model server, or a plain one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use futures::StreamExt;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::Request;
use serde_json::{json, Value};
use standin::http::{full, json as reply, read_body, serve, streamed, Reply};
use tokio::task::JoinHandle;

use crate::record::Record;

pub const SLOTS: usize = 64;
pub const ADAPTER_SLOTS: usize = 8;
pub const WEIGHT_MB: f64 = 230_000.0;
pub const MODEL_MB: f64 = 72_700.0;
const LOAD_TIME: Duration = Duration::from_secs(6);
const ADAPTER_TIME: Duration = Duration::from_millis(10);

/// An order that reached the server.
#[derive(Clone, Debug)]
pub struct OrderSeen {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
    pub status: u16,
}

#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// How long a request of a plain service takes.
    pub work: Duration,
    pub events: u64,
    /// Length of the filler behind the answer of a plain service.
    pub filler: usize,
    /// Time before each event of a stream.
    pub pace: Duration,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            work: Duration::from_millis(15),
            events: 5,
            filler: 0,
            pace: Duration::from_millis(20),
        }
    }
}

struct Inner {
    behaviour: Behaviour,
    models: BTreeMap<String, BTreeMap<String, (Instant, usize)>>,
    loading: Option<(String, Instant)>,
    sequence: u64,
    /// Highest fencing token seen; `None` if the server doesn't check them.
    fence: Option<u64>,
    born_ms: u64,
    running: usize,
    orders: Vec<OrderSeen>,
    runs: BTreeMap<String, Vec<Instant>>,
    faults: Vec<String>,
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    record: Record,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts a run until it ends.
struct Running(Arc<Mutex<Inner>>, Option<(String, String)>);

impl Drop for Running {
    fn drop(&mut self) {
        let mut inner = self.0.lock().unwrap();
        inner.running -= 1;
        if let Some((model, adapter)) = &self.1 {
            let held = inner.models.get_mut(model).and_then(|held| held.get_mut(adapter));
            if let Some((_, users)) = held {
                *users -= 1;
            }
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Server {
    pub async fn start(
        id: &str,
        service: &str,
        zone: &str,
        models: &[&str],
        record: &Record,
    ) -> Server {
        let inner = Arc::new(Mutex::new(Inner {
            behaviour: Behaviour::default(),
            models: models.iter().map(|name| ((*name).to_owned(), BTreeMap::new())).collect(),
            loading: None,
            sequence: 0,
            fence: Some(0),
            // The server has been up for a while.
            born_ms: unix_ms() - 120_000,
            running: 0,
            orders: Vec::new(),
            runs: BTreeMap::new(),
            faults: Vec::new(),
        }));
        let (shared, own, log) = (inner.clone(), id.to_owned(), record.clone());
        let handler = move |request| handle(shared.clone(), own.clone(), log.clone(), request);
        let (address, task) = serve(handler).await.unwrap();
        let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
        Server { id, service, zone, address, inner, record: record.clone(), task }
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.inner.lock().unwrap().behaviour = behaviour;
    }

    /// Makes the server accept orders whatever their fencing token.
    pub fn ignore_fences(&self) {
        self.inner.lock().unwrap().fence = None;
    }

    /// Returns the key and the value of the server's entry in the store.
    pub fn entry(&self) -> (String, Value) {
        let mut inner = self.inner.lock().unwrap();
        inner.finish_load();
        let mut entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": SLOTS, "state": "ready", "coldLeftMs": 0,
            "sequence": inner.sequence, "born": inner.born_ms,
        });
        if !inner.models.is_empty() {
            entry["models"] = inner.list_models();
            entry["stage"] = json!("colocated");
        }
        (format!("servers/{}", self.id), entry)
    }

    pub fn orders(&self) -> Vec<OrderSeen> {
        self.inner.lock().unwrap().orders.clone()
    }

    pub fn runs(&self, attempt: &str) -> usize {
        self.inner.lock().unwrap().runs.get(attempt).map_or(0, Vec::len)
    }

    pub fn all_runs(&self) -> BTreeMap<String, Vec<Instant>> {
        self.inner.lock().unwrap().runs.clone()
    }

    pub fn faults(&self) -> Vec<String> {
        self.inner.lock().unwrap().faults.clone()
    }

    pub fn note(&self, text: &str) {
        self.record.line(format!("server {} {text}", self.id));
    }
}

impl Inner {
    fn finish_load(&mut self) {
        let done = self.loading.as_ref().is_some_and(|(_, until)| Instant::now() >= *until);
        if done {
            let (model, _) = self.loading.take().unwrap();
            self.models.insert(model, BTreeMap::new());
        }
    }

    fn list_models(&self) -> Value {
        let now = Instant::now();
        let list = self.models.iter().map(|(name, adapters)| {
            let ready = adapters.iter().filter(|(_, (at, _))| now >= *at);
            let ready: Vec<&String> = ready.map(|(name, _)| name).collect();
            json!({"name": name, "version": 1, "adapters": ready})
        });
        list.collect()
    }

    fn incoming(&self) -> Vec<String> {
        let now = Instant::now();
        let all = self.models.iter().flat_map(|(model, adapters)| {
            adapters.iter().map(move |(name, held)| (model, name, held.0))
        });
        all.filter(|(.., at)| now < *at).map(|(m, a, _)| format!("{m}/{a}@1")).collect()
    }

    fn order(&mut self, body: &Value) -> u16 {
        self.finish_load();
        let (Some(holder), Some(fence)) = (body["holder"].as_str(), body["fenceToken"].as_u64())
        else {
            return 400;
        };
        let status = self.execute(body, fence);
        let seen = OrderSeen { at: Instant::now(), holder: holder.to_owned(), fence, status };
        self.orders.push(seen);
        status
    }

    fn execute(&mut self, body: &Value, fence: u64) -> u16 {
        if let Some(highest) = &mut self.fence {
            if fence < *highest {
                return 412;
            }
            *highest = fence;
        }
        let Some(model) = body["model"].as_str().map(str::to_owned) else { return 400 };
        let is_load = body["opKind"] == "load";
        let adapter = body["adapter"].as_str().map(str::to_owned);
        let held = match &adapter {
            Some(adapter) => self.models.get(&model).is_some_and(|held| held.contains_key(adapter)),
            None => self.models.contains_key(&model),
        };
        if held == is_load {
            return 200;
        }
        let expected = body["expected"].as_u64();
        if expected.is_some_and(|expected| expected != self.sequence) {
            return 409;
        }
        let now = Instant::now();
        let Some(adapter) = adapter else {
            if self.loading.is_some() {
                return 409;
            }
            self.sequence += 1;
            if is_load {
                if (self.models.len() + 1) as f64 * MODEL_MB > WEIGHT_MB {
                    self.faults.push(format!("ordered to load {model} beyond its memory"));
                }
                self.loading = Some((model, now + LOAD_TIME));
            } else {
                self.models.remove(&model);
            }
            return 202;
        };
        if !self.models.contains_key(&model) {
            return 400;
        }
        let count: usize = self.models.values().map(BTreeMap::len).sum();
        let held = self.models.get_mut(&model).unwrap();
        if is_load {
            if count >= ADAPTER_SLOTS {
                self.faults.push(format!("ordered to load {model}/{adapter} beyond its places"));
            }
            held.insert(adapter, (now + ADAPTER_TIME, 0));
            self.sequence += 1;
            return 202;
        }
        if held.get(&adapter).is_some_and(|(_, users)| *users > 0) {
            return 409;
        }
        held.remove(&adapter);
        self.sequence += 1;
        200
    }
}

fn set(answer: &mut Reply, name: &'static str, value: &str) {
    let name = HeaderName::from_static(name);
    answer.headers_mut().insert(name, HeaderValue::from_str(value).unwrap());
}

async fn handle(
    inner: Arc<Mutex<Inner>>,
    id: String,
    record: Record,
    request: Request<Incoming>,
) -> Option<Reply> {
    let expected = request.headers().get("mangodeal-expect-instance").cloned();
    if expected.is_some_and(|expected| expected != id.as_str()) {
        let mut other = reply(421, &json!({}));
        set(&mut other, "mangodeal-instance-id", &id);
        set(&mut other, "mangodeal-not-run", "1");
        return Some(other);
    }
    match request.uri().path() {
        "/api/report" => {
            let mut inner = inner.lock().unwrap();
            inner.finish_load();
            let report = json!({
                "stage": "colocated", "models": inner.list_models(),
                "busy": inner.loading.is_some(), "sequence": inner.sequence, "waiting": 0,
                "running": inner.running, "kvUsed": 1_000, "kvTotal": 262_987, "handles": 0,
                "incoming": inner.incoming(), "born": inner.born_ms,
            });
            Some(reply(200, &report))
        }
        "/api/order" => {
            let body: Value = serde_json::from_slice(&read_body(request).await).unwrap_or_default();
            let status = inner.lock().unwrap().order(&body);
            record.line(format!("server {id} order {body} -> {status}"));
            Some(reply(status, &json!({})))
        }
        "/healthz" => {
            let mut answer = reply(200, &json!({}));
            set(&mut answer, "mangodeal-instance-id", &id);
            Some(answer)
        }
        _ => Some(run(inner, id, record, request).await),
    }
}

async fn run(
    inner: Arc<Mutex<Inner>>,
    id: String,
    record: Record,
    request: Request<Incoming>,
) -> Reply {
    let headers = request.headers().clone();
    let text = |name: &str| {
        headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
    };
    let (attempt, wanted) = (text("mangodeal-attempt-id"), text("mangodeal-model"));
    let _ = read_body(request).await;
    let mut user = None;
    let (running, behaviour) = {
        let mut inner = inner.lock().unwrap();
        inner.finish_load();
        let now = Instant::now();
        let mut is_held = true;
        if !wanted.is_empty() {
            let (model, adapter) = wanted.split_once('/').unwrap_or((&wanted, ""));
            is_held = match inner.models.get_mut(model) {
                None => false,
                Some(_) if adapter.is_empty() => true,
                Some(held) => match held.get_mut(adapter) {
                    Some((at, users)) if now >= *at => {
                        *users += 1;
                        user = Some((model.to_owned(), adapter.to_owned()));
                        true
                    }
                    _ => false,
                },
            };
        }
        if !is_held {
            let load = format!("{},0,{SLOTS}", inner.running);
            drop(inner);
            record.line(format!("server {id} rejects {attempt}: no {wanted}"));
            let mut answer = reply(421, &json!({}));
            set(&mut answer, "mangodeal-attempt-id", &attempt);
            set(&mut answer, "mangodeal-not-run", "1");
            set(&mut answer, "mangodeal-server-load", &load);
            return answer;
        }
        inner.running += 1;
        inner.runs.entry(attempt.clone()).or_default().push(now);
        (inner.running, inner.behaviour)
    };
    record.line(format!("server {id} runs {attempt} {wanted}"));
    let guard = Running(inner.clone(), user);
    let mut answer = if wanted.is_empty() {
        tokio::time::sleep(behaviour.work).await;
        drop(guard);
        let filler = ".".repeat(behaviour.filler);
        full(200, "text/plain", format!("done {attempt} by {id}{filler}"))
    } else {
        let first = text("last-event-id").parse::<u64>().map_or(1, |last| last + 1);
        let pace = behaviour.pace;
        let guard = Arc::new(guard);
        let events = futures::stream::iter(first..=behaviour.events).then(move |number| {
            let guard = guard.clone();
            async move {
                tokio::time::sleep(pace).await;
                let _ = &guard;
                Ok(Bytes::from(format!("id: {number}\ndata: part {number}\n\n")))
            }
        });
        streamed("text/event-stream", events)
    };
    set(&mut answer, "mangodeal-attempt-id", &attempt);
    set(&mut answer, "mangodeal-server-seal", "3e1b.07.5a2.600.0.c9f2a4d1");
    set(&mut answer, "mangodeal-server-load", &format!("{running},0,{SLOTS}"));
    answer
}
