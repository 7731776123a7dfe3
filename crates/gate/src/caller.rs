//! HTTP interface for callers.

mod headers;
mod stream;

use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use base::{ByteSize, Name, RequestId, ResultCode, SecretKey, TokenCount};
use buffer::{skip_body, BodyBuffer, BufferOwner, BufferPool};
use config::Snapshot;
use drain::serve_connection;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioTimer;
use node::{Event, NewRequest, RequestEnd, RequestGoal};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use self::headers::{
    bearer_key, forwarded_headers, hash_idempotency_key, parse_deadline, parse_priority,
};
use self::stream::forward_stream;
use crate::body::{read_body, streamed_body, ResponseBody};
use crate::exchange::{
    exchange, BufferedResponse, ExchangeOutcome, StreamedResponse, TargetRequest,
};
use crate::link::{GateCommand, NodeLink};
use crate::metrics::GateMetrics;
use crate::parse::{contains, has_key_parameter, ModelRequest};
use crate::response;

/// Paths whose requests are sent to model engines.
const MODEL_PATHS: [&str; 3] = ["/v1/chat/completions", "/v1/completions", "/v1/embeddings"];
/// How long the body of a refused request is read.
const REFUSED_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of events that are queued for a slow caller.
const STREAM_QUEUE_EVENTS: usize = 16;

/// Settings of a [`CallerGate`].
#[derive(Clone, Debug)]
pub struct GateConfig {
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Most memory for buffered bodies of requests and responses.
    pub buffers: ByteSize,
    /// Timeout for receiving a request's head, and again for its body.
    pub receive_timeout: Duration,
    /// Deadline of model requests that specify none.
    pub deadline: Duration,
    /// Prefix that makes request identifiers unique across the fleet.
    pub id_prefix: String,
}

impl Default for GateConfig {
    fn default() -> Self {
        GateConfig {
            max_body: 8 << 20,
            buffers: ByteSize(64 << 20),
            receive_timeout: Duration::from_secs(10),
            deadline: Duration::from_secs(30),
            id_prefix: "local".to_owned(),
        }
    }
}

/// Serves callers' requests.
#[derive(Clone)]
pub struct CallerGate {
    link: NodeLink,
    config: Arc<GateConfig>,
    metrics: GateMetrics,
    buffers: BufferPool,
    received_count: Arc<AtomicU64>,
}

/// A valid request, as the node and as the target receive it.
struct ParsedRequest {
    spec: NewRequest,
    target: TargetRequest,
}

/// Refusal of a request before it was submitted to the node, with a detail for the caller.
struct EarlyRefusal(ResultCode, Option<String>);

impl From<ResultCode> for EarlyRefusal {
    fn from(code: ResultCode) -> EarlyRefusal {
        EarlyRefusal(code, None)
    }
}

impl CallerGate {
    /// Creates a gate that submits requests to the node through a link.
    pub fn new(link: NodeLink, config: GateConfig) -> CallerGate {
        CallerGate {
            link,
            metrics: GateMetrics::default(),
            buffers: BufferPool::new(config.buffers),
            received_count: Arc::default(),
            config: Arc::new(config),
        }
    }

    /// Opens a buffer for a body that this request sends, or that the server at `address` does.
    fn open_buffer(&self, address: Option<&Name>) -> BodyBuffer {
        let number = self.received_count.fetch_add(1, Ordering::Relaxed);
        let server = address.and_then(|address| address.as_str().parse().ok());
        self.buffers.open(server.map_or(BufferOwner::Request(number), BufferOwner::Server))
    }

    /// Returns the metrics of this gate.
    pub fn metrics(&self) -> &GateMetrics {
        &self.metrics
    }

    /// Serves connections until `shutdown` completes, then finishes the running requests.
    pub async fn serve(&self, listener: TcpListener, shutdown: impl Future<Output = ()>) {
        let (stop, stopped) = watch::channel(false);
        let mut shutdown = std::pin::pin!(shutdown);
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => {
                        // Probably out of file descriptors; closed connections free some.
                        tokio::time::sleep(Duration::from_millis(50)).await;
                        continue;
                    }
                },
                () = &mut shutdown => break,
            };
            let _ = stream.set_nodelay(true);
            let gate = self.clone();
            let stopped = stopped.clone();
            tokio::spawn(async move {
                let mut builder = http1::Builder::new();
                builder.timer(TokioTimer::new()).header_read_timeout(gate.config.receive_timeout);
                let handle = |request| {
                    let gate = gate.clone();
                    // Boxed to free the future's state once the response begins. A streamed response
                    // lives on after that.
                    Box::pin(async move { gate.handle(request).await })
                };
                let mut stop_signal = stopped.clone();
                let close_idle =
                    async { drop(stop_signal.wait_for(|is_stopped| *is_stopped).await) };
                let is_stopping = || *stopped.borrow();
                serve_connection(&builder, stream, handle, is_stopping, close_idle).await;
            });
        }
        drop(listener);
        drop(stopped);
        stop.send_replace(true);
        // Each connection holds a receiver until it ends.
        stop.closed().await;
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let started = std::time::Instant::now();
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET && (path == "/healthz" || path == "/readyz") {
            return self.check_health(&path).await;
        }
        let (head, mut body) = request.into_parts();
        let (response, id) = match self.parse_request(head, &mut body).await {
            Ok(RequestAction::Respond(response)) => return response,
            Ok(RequestAction::Forward(parsed)) => {
                let id = parsed.spec.id;
                (self.run_request(*parsed).await, Some(id))
            }
            Err(EarlyRefusal(code, detail)) => {
                // Requests behind a body that has arrived can be read only if the body is.
                let skipping = skip_body(body, self.config.max_body);
                let _ = tokio::time::timeout(REFUSED_BODY_TIMEOUT, skipping).await;
                (response::error(code, detail.as_deref(), None), None)
            }
        };
        let mut response = response;
        if let Some(id) = id {
            response::set_request_id(&mut response, id);
        }
        self.metrics.record_response(response.status().as_u16(), started.elapsed());
        response
    }

    async fn check_health(&self, path: &str) -> Response<ResponseBody> {
        let ready = self.link.query(|node, now| node.is_ready(now)).await;
        match (path, ready) {
            ("/healthz", Some(_)) | ("/readyz", Some(true)) => {
                response::text(200, "text/plain", "ok\n")
            }
            _ => response::error(ResultCode::NotReady, None, None),
        }
    }

    async fn parse_request(
        &self,
        head: hyper::http::request::Parts,
        body: &mut Incoming,
    ) -> Result<RequestAction, EarlyRefusal> {
        let query = head.uri.query().unwrap_or_default();
        let key = bearer_key(&head.headers)?;
        let uri = head.uri.to_string();
        let key_text = key.as_ref().map_or("", SecretKey::reveal);
        if has_key_parameter(query) || contains(uri.as_bytes(), key_text.as_bytes()) {
            return Err(ResultCode::KeyInUrl.into());
        }
        let snapshot = self.link.snapshot();
        let path = head.uri.path().to_owned();
        if path == "/v1/models" && head.method == Method::GET {
            return Ok(RequestAction::Respond(list_models(&snapshot, key.as_ref())));
        }
        let is_engine = MODEL_PATHS.contains(&path.as_str());
        if is_engine && head.method != Method::POST {
            return Err(EarlyRefusal(ResultCode::BadRequest, Some("use POST".to_owned())));
        }
        let route = if is_engine { None } else { snapshot.match_route(&path) };
        if !is_engine && route.is_none() {
            return Err(ResultCode::NotFound.into());
        }
        let headers = forwarded_headers(&head.headers);
        let buffer = self.open_buffer(None);
        let timeout = self.config.receive_timeout;
        let body = read_body(body, self.config.max_body, timeout, buffer).await?;
        let contains_key = |bytes: &[u8]| contains(bytes, key_text.as_bytes());
        if contains_key(&body) || headers.values().any(|value| contains_key(value.as_bytes())) {
            let detail = "the request repeats its key outside the Authorization header";
            return Err(EarlyRefusal(ResultCode::BadRequest, Some(detail.to_owned())));
        }
        let mut target_path = head.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
        let is_safe = matches!(head.method, Method::GET | Method::HEAD | Method::OPTIONS);
        let (goal, cost, idempotent, default_deadline) = match route {
            Some(route) => {
                target_path = format!("/{}", &target_path[route.prefix.len()..]);
                let cost = if route.open { TokenCount::ZERO } else { route.cost };
                let deadline = Duration::from_millis(route.deadline_ms);
                (
                    RequestGoal::Route(route.name.clone()),
                    cost,
                    route.idempotent || is_safe,
                    deadline,
                )
            }
            None => {
                let model_request: ModelRequest =
                    serde_json::from_slice(&body).map_err(|error| {
                        EarlyRefusal(ResultCode::BadRequest, Some(error.to_string()))
                    })?;
                let cost = model_request.cost(&path, body.len());
                (RequestGoal::Model(model_request.model), cost, true, self.config.deadline)
            }
        };
        let id = self.link.next_request_id();
        let spec = NewRequest {
            id,
            key: key.as_ref().map(SecretKey::hash),
            goal,
            cost,
            deadline: self.link.now() + parse_deadline(&head.headers, default_deadline)?,
            priority: parse_priority(&head.headers)?,
            idempotency: if idempotent { None } else { hash_idempotency_key(&head.headers)? },
            idempotent,
        };
        let target = TargetRequest {
            method: head.method,
            path: target_path,
            headers,
            body,
            id: format!("{}-{id}", self.config.id_prefix),
            is_engine,
        };
        Ok(RequestAction::Forward(Box::new(ParsedRequest { spec, target })))
    }

    /// Follows the node's commands until there is a response for the caller.
    async fn run_request(&self, parsed: ParsedRequest) -> Response<ResponseBody> {
        let ParsedRequest { spec, target } = parsed;
        let (deadline, cost) = (spec.deadline, spec.cost);
        let mut guard = RequestGuard::new(self.link.clone(), spec.id, cost);
        let mut commands = self.link.submit_request(spec);
        while let Some(command) = commands.recv().await {
            let order = match *command {
                GateCommand::Dispatch(order) => order,
                GateCommand::Refuse(refusal) => {
                    guard.disarm();
                    return response::error(refusal.code, None, refusal.retry_after);
                }
                GateCommand::Cancel(code) => {
                    guard.end_request(RequestEnd::Cancelled(cost));
                    return response::error(code, None, None);
                }
            };
            guard.is_dispatched = true;
            let time_left = deadline.since(self.link.now());
            let buffer = self.open_buffer(Some(&order.address));
            let exchange = exchange(&order.address, target.clone(), time_left, buffer);
            let outcome = tokio::select! {
                outcome = exchange => outcome,
                code = wait_for_cancel(&mut commands) => {
                    guard.end_request(RequestEnd::Cancelled(cost));
                    return response::error(code, None, None);
                }
            };
            match outcome {
                ExchangeOutcome::NotSent => guard.end_attempt(RequestEnd::NotSent),
                ExchangeOutcome::Declined => guard.end_attempt(RequestEnd::Declined),
                ExchangeOutcome::Lost => guard.end_attempt(RequestEnd::Lost),
                ExchangeOutcome::TimedOut => guard.end_attempt(RequestEnd::TimedOut),
                ExchangeOutcome::Buffered(received) => {
                    guard.end_request(RequestEnd::Served(received.used.unwrap_or(cost)));
                    return buffered_response(received);
                }
                ExchangeOutcome::Streamed(received) => {
                    return self.streamed_response(*received, guard, commands, target.body.len());
                }
            }
        }
        guard.disarm();
        response::error(ResultCode::NotReady, None, None)
    }

    fn streamed_response(
        &self,
        received: StreamedResponse,
        guard: RequestGuard,
        commands: mpsc::UnboundedReceiver<Box<GateCommand>>,
        body_bytes: usize,
    ) -> Response<ResponseBody> {
        let content_type = received.content_type.clone();
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE_EVENTS);
        tokio::spawn(forward_stream(received, guard, commands, sender, body_bytes));
        let chunks = futures::stream::unfold(receiver, |mut receiver| async move {
            receiver.recv().await.map(|chunk| (Ok(chunk), receiver))
        });
        let mut response = Response::new(streamed_body(chunks));
        if let Some(content_type) = content_type {
            response.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        set_served_headers(&mut response);
        response
    }
}

/// How a caller's request is answered.
enum RequestAction {
    /// Send this response; the node is not involved.
    Respond(Response<ResponseBody>),
    /// Submit the request to the node.
    Forward(Box<ParsedRequest>),
}

/// Reports the end of a request to the node, even if the caller disconnects: hyper then drops the
/// request's future and with it this guard.
struct RequestGuard {
    link: NodeLink,
    id: RequestId,
    cost: TokenCount,
    /// Whether an exchange with a target is running.
    is_dispatched: bool,
    /// Whether the node knows that the request has ended.
    is_finished: bool,
}

impl RequestGuard {
    fn new(link: NodeLink, id: RequestId, cost: TokenCount) -> RequestGuard {
        RequestGuard { link, id, cost, is_dispatched: false, is_finished: false }
    }

    /// Reports the end of one attempt. The node decides whether to retry the request.
    fn end_attempt(&mut self, end: RequestEnd) {
        self.is_dispatched = false;
        self.link.send_event(Event::Ended(self.id, end));
    }

    /// Reports the end of the last attempt, which ends the request.
    fn end_request(&mut self, end: RequestEnd) {
        self.is_finished = true;
        self.link.send_event(Event::Ended(self.id, end));
    }

    /// Marks the request as ended by the node, so that dropping the guard reports nothing.
    fn disarm(&mut self) {
        self.is_finished = true;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        // The node may meanwhile have queued the request again or dispatched it. The guard can't
        // know, so during an exchange it reports both ends. The node ignores the event that does
        // not apply.
        if self.is_dispatched {
            self.link.send_event(Event::Ended(self.id, RequestEnd::CallerGone(self.cost)));
        }
        self.link.send_event(Event::Abandoned(self.id));
    }
}

/// Waits until the node cancels the request and returns the result code.
async fn wait_for_cancel(commands: &mut mpsc::UnboundedReceiver<Box<GateCommand>>) -> ResultCode {
    loop {
        match commands.recv().await.map(|command| *command) {
            Some(GateCommand::Cancel(code)) => return code,
            Some(_) => {}
            // The daemon is stopping. Let the exchange finish.
            None => std::future::pending::<()>().await,
        }
    }
}

fn buffered_response(received: BufferedResponse) -> Response<ResponseBody> {
    let mut response = Response::new(crate::body::buffered_body(received.body));
    *response.status_mut() = received.status;
    if let Some(content_type) = received.content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    set_served_headers(&mut response);
    response
}

fn set_served_headers(response: &mut Response<ResponseBody>) {
    let headers = response.headers_mut();
    headers.insert(response::CODE_HEADER, ResultCode::Served.number().into());
    headers.insert(
        response::RAN_HEADER,
        hyper::header::HeaderValue::from_static(ResultCode::Served.ran()),
    );
}

/// Returns a response that lists the models permitted for the caller's team.
fn list_models(snapshot: &Snapshot, key: Option<&SecretKey>) -> Response<ResponseBody> {
    let team = key.and_then(|key| snapshot.team_of_key(&key.hash()));
    let Some(team) = team else { return response::error(ResultCode::KeyRejected, None, None) };
    let permitted = snapshot.servables().filter(|model| snapshot.permits(team, model.name));
    let data: Vec<_> = permitted
        .map(|model| json!({"id": model.name, "object": "model", "owned_by": "mangodeal"}))
        .collect();
    response::json(200, &json!({"object": "list", "data": data}))
}
