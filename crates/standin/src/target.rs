//! Stand-in for a target: a model engine or a plain service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::Request;
use serde_json::{json, Value};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use crate::http::{self, Reply};

/// Time that the tokens already sent get to be flushed before a streamed answer is aborted.
const ABORT_DELAY: Duration = Duration::from_millis(50);

/// A weight store that several targets can share; loads beyond its slots wait.
#[derive(Clone)]
pub struct WeightStore {
    slots: Arc<Semaphore>,
    load_time: Arc<Mutex<Duration>>,
}

impl WeightStore {
    /// Creates a store that runs `slots` loads at once, each of which takes `load_time`.
    pub fn new(slots: usize, load_time: Duration) -> WeightStore {
        let load_time = Arc::new(Mutex::new(load_time));
        WeightStore { slots: Arc::new(Semaphore::new(slots)), load_time }
    }

    /// Sets the time that a load takes.
    pub fn set_load_time(&self, time: Duration) {
        *self.load_time.lock().unwrap_or_else(PoisonError::into_inner) = time;
    }

    async fn load(&self) {
        let Ok(_slot) = self.slots.acquire().await else { return };
        let time = *self.load_time.lock().unwrap_or_else(PoisonError::into_inner);
        tokio::time::sleep(time).await;
    }
}

/// Behavior of a target.
#[derive(Clone)]
pub struct TargetOptions {
    /// Memory for replicas, in the unit that load orders use. The target itself doesn't enforce it.
    pub memory: u64,
    /// Whether orders with an outdated fencing token are refused.
    pub fencing: bool,
    /// Time until the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Store that model weights are loaded from.
    pub weights: WeightStore,
    /// Time that an adapter load takes.
    pub adapter_load_time: Duration,
}

impl Default for TargetOptions {
    fn default() -> Self {
        TargetOptions {
            memory: 100,
            fencing: true,
            first_token: Duration::from_millis(5),
            token_interval: Duration::from_millis(1),
            weights: WeightStore::new(4, Duration::from_millis(300)),
            adapter_load_time: Duration::from_millis(10),
        }
    }
}

/// What a target has received and done, for assertions in tests.
#[derive(Clone, Debug, Default)]
pub struct TargetRecord {
    /// Largest memory that its replicas used at once, in the unit that load orders use.
    pub memory_peak: u64,
    /// Loads begun. An order for a replica that exists already begins none.
    pub loads: u64,
    /// Orders refused for their fencing token.
    pub refused_orders: u64,
    /// Model requests that began to run, by their `x-request-id`.
    pub runs: Vec<String>,
    /// Bodies of the calls to plain services.
    pub service_calls: Vec<String>,
    /// Head and body of each request other than orders, reports and metrics reads. Tests look for
    /// leaked keys in them.
    pub request_texts: Vec<String>,
}

struct Replica {
    memory: u64,
    ready: bool,
    running: u32,
    served: u64,
}

#[derive(Default)]
struct State {
    replicas: BTreeMap<String, Replica>,
    /// Numbers of the load orders received since the last restart.
    orders: Vec<u64>,
    /// Largest fencing token of the orders executed.
    fence: u64,
    /// Incremented at each restart. A load that began before the latest restart has no effect.
    boot: u64,
    record: TargetRecord,
    is_frozen: bool,
    abort_after_tokens: Option<usize>,
    lose_order_answers: u32,
    is_declining: bool,
    has_wrong_id: bool,
    delay_orders: Duration,
}

/// A target that runs in this process.
pub struct TargetServer {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl TargetServer {
    /// Starts the stand-in on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be opened.
    pub async fn start(options: TargetOptions) -> std::io::Result<TargetServer> {
        let state = Arc::new(Mutex::new(State { boot: 1, ..State::default() }));
        let shared = state.clone();
        let (address, task) =
            http::serve(move |request| handle(shared.clone(), options.clone(), request)).await?;
        Ok(TargetServer { state, address, task })
    }

    /// Returns the address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what the target has received and done so far.
    pub fn record(&self) -> TargetRecord {
        lock(&self.state).record.clone()
    }

    /// Returns the models whose replicas are loaded or loading.
    pub fn loaded(&self) -> Vec<String> {
        lock(&self.state).replicas.keys().cloned().collect()
    }

    /// Starts or ends a freeze, in which requests wait and connections stay open.
    pub fn set_frozen(&self, is_frozen: bool) {
        lock(&self.state).is_frozen = is_frozen;
    }

    /// Aborts each streamed answer after the given number of tokens, and leaves other requests
    /// without an answer. `None` restores complete answers.
    pub fn abort_after_tokens(&self, tokens: Option<usize>) {
        lock(&self.state).abort_after_tokens = tokens;
    }

    /// Makes the target execute the next `orders` orders but close their connections without an
    /// answer.
    pub fn lose_order_answers(&self, orders: u32) {
        lock(&self.state).lose_order_answers = orders;
    }

    /// Sets the delay before an order is executed.
    pub fn delay_orders(&self, delay: Duration) {
        lock(&self.state).delay_orders = delay;
    }

    /// Starts or ends refusing all model requests before they run.
    pub fn set_declining(&self, is_declining: bool) {
        lock(&self.state).is_declining = is_declining;
    }

    /// Starts or ends labeling answers with the identifier of another request.
    pub fn set_wrong_id(&self, is_wrong: bool) {
        lock(&self.state).has_wrong_id = is_wrong;
    }

    /// Drops all replicas and orders, as a restart of the target does.
    pub fn restart(&self) {
        let mut state = lock(&self.state);
        state.replicas.clear();
        state.orders.clear();
        state.boot += 1;
    }
}

impl Drop for TargetServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(
    state: Arc<Mutex<State>>,
    options: TargetOptions,
    request: Request<Incoming>,
) -> Option<Reply> {
    let head = format!("{} {} {:?}", request.method(), request.uri(), request.headers());
    let path = request.uri().path().to_owned();
    let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    let id = id.unwrap_or_default().to_owned();
    let body = http::read_body(request).await;
    while lock(&state).is_frozen {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    match path.as_str() {
        "/metrics" => Some(metrics_reply(&state)),
        "/orders/replicas" => Some(replicas_reply(&state)),
        "/orders/load" | "/orders/unload" => handle_order(state, options, &path, &body).await,
        _ => {
            let text = String::from_utf8_lossy(&body);
            lock(&state).record.request_texts.push(format!("{head}\n{text}"));
            match path.starts_with("/v1/") {
                true => run_completion(state, options, &path, id, &body).await,
                false => run_service_call(state, options, &text).await,
            }
        }
    }
}

fn metrics_reply(state: &Mutex<State>) -> Reply {
    let running: u32 = lock(state).replicas.values().map(|replica| replica.running).sum();
    let text = format!(
        "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running {running}\n\
         # TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting 0\n"
    );
    http::full(200, "text/plain; version=0.0.4", text)
}

fn replicas_reply(state: &Mutex<State>) -> Reply {
    let state = lock(state);
    let replicas: Vec<Value> = state
        .replicas
        .iter()
        .map(|(model, replica)| {
            json!({"model": model, "ready": replica.ready, "running": replica.running,
                   "served": replica.served})
        })
        .collect();
    http::json(200, &json!({"boot": state.boot, "replicas": replicas, "orders": state.orders}))
}

async fn handle_order(
    state: Arc<Mutex<State>>,
    options: TargetOptions,
    path: &str,
    body: &Bytes,
) -> Option<Reply> {
    let input: Value = serde_json::from_slice(body).unwrap_or_default();
    let model = input["model"].as_str().unwrap_or_default().to_owned();
    let fence = input["fence"].as_u64().unwrap_or(0);
    let delay = lock(&state).delay_orders;
    tokio::time::sleep(delay).await;
    let mut locked = lock(&state);
    if path == "/orders/load" {
        locked.orders.push(input["order"].as_u64().unwrap_or(0));
    }
    if options.fencing && fence < locked.fence {
        locked.record.refused_orders += 1;
        return Some(http::json(409, &json!({"error": "old fencing number"})));
    }
    locked.fence = locked.fence.max(fence);
    if path == "/orders/unload" {
        locked.replicas.remove(&model);
    } else if !locked.replicas.contains_key(&model) {
        let memory = input["memory"].as_u64().unwrap_or(0);
        let replica = Replica { memory, ready: false, running: 0, served: 0 };
        locked.replicas.insert(model.clone(), replica);
        locked.record.loads += 1;
        let total: u64 = locked.replicas.values().map(|replica| replica.memory).sum();
        locked.record.memory_peak = locked.record.memory_peak.max(total);
        let (boot, is_adapter) = (locked.boot, input["base"].is_string());
        tokio::spawn(finish_load(state.clone(), options, model, boot, is_adapter));
    }
    let loses_answer = locked.lose_order_answers > 0;
    locked.lose_order_answers -= u32::from(loses_answer);
    drop(locked);
    (!loses_answer).then(|| http::json(202, &json!({"accepted": true})))
}

async fn finish_load(
    state: Arc<Mutex<State>>,
    options: TargetOptions,
    model: String,
    boot: u64,
    is_adapter: bool,
) {
    match is_adapter {
        true => tokio::time::sleep(options.adapter_load_time).await,
        false => options.weights.load().await,
    }
    let mut state = lock(&state);
    if state.boot == boot {
        if let Some(replica) = state.replicas.get_mut(&model) {
            replica.ready = true;
        }
    }
}

/// A running request, which is counted on its replica until the guard is dropped.
struct RunGuard {
    state: Arc<Mutex<State>>,
    model: String,
}

impl RunGuard {
    fn start(state: &Arc<Mutex<State>>, model: &str, id: &str) -> Option<RunGuard> {
        let mut locked = lock(state);
        if locked.is_declining {
            return None;
        }
        let replica = locked.replicas.get_mut(model).filter(|replica| replica.ready)?;
        replica.running += 1;
        locked.record.runs.push(id.to_owned());
        Some(RunGuard { state: state.clone(), model: model.to_owned() })
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(replica) = lock(&self.state).replicas.get_mut(&self.model) {
            replica.running = replica.running.saturating_sub(1);
            replica.served += 1;
        }
    }
}

async fn run_completion(
    state: Arc<Mutex<State>>,
    options: TargetOptions,
    path: &str,
    id: String,
    body: &Bytes,
) -> Option<Reply> {
    let input: Value = serde_json::from_slice(body).unwrap_or_default();
    let model = input["model"].as_str().unwrap_or_default().to_owned();
    let Some(guard) = RunGuard::start(&state, &model, &id) else {
        return Some(http::json(404, &json!({"error": {"message": "model not loaded"}})));
    };
    let tokens = input["max_tokens"].as_u64().unwrap_or(8) as usize;
    let uses_wrong_id = lock(&state).has_wrong_id;
    let abort_after = lock(&state).abort_after_tokens;
    let reply_id = if uses_wrong_id { "another-request".to_owned() } else { id };
    tokio::time::sleep(options.first_token).await;
    let mut reply = if input["stream"].as_bool() == Some(true) {
        stream_tokens(guard, model, reply_id.clone(), tokens, abort_after, options.token_interval)
    } else {
        tokio::time::sleep(options.token_interval * u32::try_from(tokens).unwrap_or(0)).await;
        if abort_after.is_some() {
            return None;
        }
        drop(guard);
        let text = format!("{reply_id}:{tokens}");
        let usage = json!({"prompt_tokens": 4, "completion_tokens": tokens,
                           "total_tokens": tokens + 4});
        let answer = match path {
            "/v1/embeddings" => json!({"data": [{"embedding": [0.5, 0.25], "index": 0}],
                                       "model": model, "usage": usage}),
            _ => json!({"id": reply_id, "model": model, "usage": usage, "choices": [
                {"index": 0, "message": {"role": "assistant", "content": text}, "text": text,
                 "finish_reason": "stop"}]}),
        };
        http::json(200, &answer)
    };
    if let Ok(value) = reply_id.parse() {
        reply.headers_mut().insert("x-request-id", value);
    }
    Some(reply)
}

fn stream_tokens(
    guard: RunGuard,
    model: String,
    id: String,
    tokens: usize,
    abort_after: Option<usize>,
    gap: Duration,
) -> Reply {
    let chunks = futures::stream::unfold((0, guard), move |(sent, guard)| {
        let (model, id) = (model.clone(), id.clone());
        async move {
            if abort_after == Some(sent) {
                // Lets the tokens sent so far be flushed before the connection closes.
                tokio::time::sleep(gap + ABORT_DELAY).await;
                let error = Err(std::io::Error::other("stream aborted"));
                return Some((error, (usize::MAX - 1, guard)));
            }
            if sent > tokens {
                return None;
            }
            if sent > 0 {
                tokio::time::sleep(gap).await;
            }
            let text = if sent == tokens {
                "data: [DONE]\n\n".to_owned()
            } else {
                let delta = json!({"id": id, "model": model, "choices": [
                    {"index": 0, "delta": {"content": format!("{id}:{sent} ")}}]});
                format!("data: {delta}\n\n")
            };
            Some((Ok(Bytes::from(text)), (sent + 1, guard)))
        }
    });
    http::streamed("text/event-stream", chunks)
}

async fn run_service_call(
    state: Arc<Mutex<State>>,
    options: TargetOptions,
    text: &str,
) -> Option<Reply> {
    tokio::time::sleep(options.first_token).await;
    let mut state = lock(&state);
    state.record.service_calls.push(text.to_owned());
    let is_aborted = state.abort_after_tokens.is_some();
    (!is_aborted).then(|| http::json(200, &json!({"booked": text})))
}
