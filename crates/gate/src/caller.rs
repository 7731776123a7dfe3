//! Callers' interface.

mod head;
mod stream;

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use base::{RequestId, ResultCode, SecretKey, TokenCount};
use config::Snapshot;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use node::{Event, NewRequest, RequestEnd, RequestGoal};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use self::head::{deadline, idempotency, passed_headers, presented_key, priority};
use self::stream::pass_stream;
use crate::body::{read, streamed, ReplyBody};
use crate::exchange::{exchange, ExchangeEnd, StreamAnswer, TargetRequest, WholeAnswer};
use crate::link::{GateCommand, NodeLink};
use crate::metrics::GateMetrics;
use crate::parse::{contains, has_key_parameter, ModelRequest};
use crate::reply;

/// Paths that go to model engines.
const MODEL_PATHS: [&str; 3] = ["/v1/chat/completions", "/v1/completions", "/v1/embeddings"];
/// Events of a stream that wait for a slow caller.
const STREAM_QUEUE: usize = 16;

/// Settings of a [`CallerGate`].
#[derive(Clone, Debug)]
pub struct GateConfig {
    /// Largest request body.
    pub max_body: usize,
    /// Longest time for receiving a request's head, and its body.
    pub receive_timeout: Duration,
    /// Deadline of model requests that name none.
    pub deadline: Duration,
    /// Text that makes request identifiers unique over the fleet.
    pub id_prefix: String,
}

impl Default for GateConfig {
    fn default() -> Self {
        GateConfig {
            max_body: 8 << 20,
            receive_timeout: Duration::from_secs(10),
            deadline: Duration::from_secs(30),
            id_prefix: "local".to_owned(),
        }
    }
}

/// Serves callers.
#[derive(Clone)]
pub struct CallerGate {
    link: NodeLink,
    config: Arc<GateConfig>,
    metrics: GateMetrics,
}

/// A request that was read and understood.
struct ReadRequest {
    spec: NewRequest,
    target: TargetRequest,
}

/// A refusal before the node was asked, with a detail for the caller.
struct EarlyRefusal(ResultCode, Option<String>);

impl From<ResultCode> for EarlyRefusal {
    fn from(code: ResultCode) -> EarlyRefusal {
        EarlyRefusal(code, None)
    }
}

impl CallerGate {
    /// Creates a gate.
    pub fn new(link: NodeLink, config: GateConfig) -> CallerGate {
        CallerGate { link, config: Arc::new(config), metrics: GateMetrics::default() }
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &GateMetrics {
        &self.metrics
    }

    /// Serves connections until `shutdown` ends, then finishes the requests that are running.
    pub async fn serve(&self, listener: TcpListener, shutdown: impl Future<Output = ()>) {
        let graceful = GracefulShutdown::new();
        let mut shutdown = std::pin::pin!(shutdown);
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => {
                        // Out of file descriptors: connections that end free some.
                        tokio::time::sleep(Duration::from_millis(50)).await;
                        continue;
                    }
                },
                () = &mut shutdown => break,
            };
            let _ = stream.set_nodelay(true);
            let gate = self.clone();
            let service = service_fn(move |request| {
                let gate = gate.clone();
                // Boxed, so that its state is freed when the answer begins: a stream outlives it.
                Box::pin(async move { Ok::<_, Infallible>(gate.handle(request).await) })
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(self.config.receive_timeout)
                .serve_connection(TokioIo::new(stream), service);
            let connection = graceful.watch(connection);
            tokio::spawn(async move {
                let _ = connection.await;
            });
        }
        drop(listener);
        graceful.shutdown().await;
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let started = std::time::Instant::now();
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET && (path == "/healthz" || path == "/readyz") {
            return self.health(&path).await;
        }
        let (response, id) = match self.read(request).await {
            Ok(Read::Models(response)) => return response,
            Ok(Read::Request(read)) => {
                let id = read.spec.id;
                (self.run(*read).await, Some(id))
            }
            Err(EarlyRefusal(code, detail)) => (reply::error(code, detail.as_deref(), None), None),
        };
        let mut response = response;
        if let Some(id) = id {
            reply::mark(&mut response, id);
        }
        self.metrics.answered(response.status().as_u16(), started.elapsed());
        response
    }

    async fn health(&self, path: &str) -> Response<ReplyBody> {
        let ready = self.link.query(|node, now| node.is_ready(now)).await;
        match (path, ready) {
            ("/healthz", Some(_)) | ("/readyz", Some(true)) => {
                reply::text_reply(200, "text/plain", "ok\n")
            }
            _ => reply::error(ResultCode::NotReady, None, None),
        }
    }

    async fn read(&self, request: Request<Incoming>) -> Result<Read, EarlyRefusal> {
        let (head, body) = request.into_parts();
        let query = head.uri.query().unwrap_or_default();
        let key = presented_key(&head.headers)?;
        let uri = head.uri.to_string();
        let key_text = key.as_ref().map_or("", SecretKey::reveal);
        if has_key_parameter(query) || contains(uri.as_bytes(), key_text.as_bytes()) {
            return Err(ResultCode::KeyInUrl.into());
        }
        let snapshot = self.link.snapshot();
        let path = head.uri.path().to_owned();
        if path == "/v1/models" && head.method == Method::GET {
            return Ok(Read::Models(models(&snapshot, key.as_ref())));
        }
        let engine = MODEL_PATHS.contains(&path.as_str());
        if engine && head.method != Method::POST {
            return Err(EarlyRefusal(ResultCode::BadRequest, Some("use POST".to_owned())));
        }
        let route = if engine { None } else { snapshot.match_route(&path) };
        if !engine && route.is_none() {
            return Err(ResultCode::NotFound.into());
        }
        let headers = passed_headers(&head.headers);
        let body = read(body, self.config.max_body, self.config.receive_timeout).await?;
        let leaks = |bytes: &[u8]| contains(bytes, key_text.as_bytes());
        if leaks(&body) || headers.values().any(|value| leaks(value.as_bytes())) {
            let detail = "the request repeats its key outside the Authorization header";
            return Err(EarlyRefusal(ResultCode::BadRequest, Some(detail.to_owned())));
        }
        let mut target_path = head.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
        let safe = matches!(head.method, Method::GET | Method::HEAD | Method::OPTIONS);
        let (goal, cost, idempotent, default) = match route {
            Some(route) => {
                target_path = format!("/{}", &target_path[route.prefix.len()..]);
                let cost = if route.open { TokenCount::ZERO } else { route.cost };
                let span = Duration::from_millis(route.deadline_ms);
                (RequestGoal::Route(route.name.clone()), cost, route.idempotent || safe, span)
            }
            None => {
                let model: ModelRequest = serde_json::from_slice(&body).map_err(|error| {
                    EarlyRefusal(ResultCode::BadRequest, Some(error.to_string()))
                })?;
                let cost = model.cost(&path, body.len());
                (RequestGoal::Model(model.model), cost, true, self.config.deadline)
            }
        };
        let id = self.link.next_request();
        let spec = NewRequest {
            id,
            key: key.as_ref().map(SecretKey::hash),
            goal,
            cost,
            deadline: self.link.now() + deadline(&head.headers, default)?,
            priority: priority(&head.headers)?,
            idempotency: if idempotent { None } else { idempotency(&head.headers)? },
            idempotent,
        };
        let target = TargetRequest {
            method: head.method,
            path: target_path,
            headers,
            body,
            id: format!("{}-{id}", self.config.id_prefix),
            engine,
        };
        Ok(Read::Request(Box::new(ReadRequest { spec, target })))
    }

    /// Follows the node's commands until the request has its answer.
    async fn run(&self, read: ReadRequest) -> Response<ReplyBody> {
        let ReadRequest { spec, target } = read;
        let (deadline, cost) = (spec.deadline, spec.cost);
        let mut guard = RequestGuard::new(self.link.clone(), spec.id, cost);
        let mut commands = self.link.request(spec);
        while let Some(command) = commands.recv().await {
            let order = match *command {
                GateCommand::Dispatch(order) => order,
                GateCommand::Refuse(refusal) => {
                    guard.done();
                    return reply::error(refusal.code, None, refusal.retry_after);
                }
                GateCommand::Cancel(code) => {
                    guard.end(RequestEnd::Cancelled(cost));
                    return reply::error(code, None, None);
                }
            };
            guard.running = true;
            let time_left = deadline.since(self.link.now());
            let exchange = exchange(&order.address, target.clone(), time_left);
            let end = tokio::select! {
                end = exchange => end,
                code = cancelled(&mut commands) => {
                    guard.end(RequestEnd::Cancelled(cost));
                    return reply::error(code, None, None);
                }
            };
            match end {
                ExchangeEnd::NotSent => guard.retry(RequestEnd::NotSent),
                ExchangeEnd::Declined => guard.retry(RequestEnd::Declined),
                ExchangeEnd::Lost => guard.retry(RequestEnd::Lost),
                ExchangeEnd::TimedOut => guard.retry(RequestEnd::TimedOut),
                ExchangeEnd::Whole(answer) => {
                    guard.end(RequestEnd::Served(answer.used.unwrap_or(cost)));
                    return whole_reply(answer);
                }
                ExchangeEnd::Stream(answer) => {
                    return self.stream_reply(*answer, guard, commands, target.body.len());
                }
            }
        }
        guard.done();
        reply::error(ResultCode::NotReady, None, None)
    }

    fn stream_reply(
        &self,
        answer: StreamAnswer,
        guard: RequestGuard,
        commands: mpsc::UnboundedReceiver<Box<GateCommand>>,
        body_bytes: usize,
    ) -> Response<ReplyBody> {
        let content_type = answer.content_type.clone();
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
        tokio::spawn(pass_stream(answer, guard, commands, sender, body_bytes));
        let chunks = futures::stream::unfold(receiver, |mut receiver| async move {
            receiver.recv().await.map(|chunk| (Ok(chunk), receiver))
        });
        let mut response = Response::new(streamed(chunks));
        if let Some(content_type) = content_type {
            response.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        set_served(&mut response);
        response
    }
}

/// What a caller asked for.
enum Read {
    Models(Response<ReplyBody>),
    Request(Box<ReadRequest>),
}

/// Tells the node when a request's exchange ends, even by the caller's disconnection, which drops
/// the exchange.
struct RequestGuard {
    link: NodeLink,
    id: RequestId,
    cost: TokenCount,
    running: bool,
    finished: bool,
}

impl RequestGuard {
    fn new(link: NodeLink, id: RequestId, cost: TokenCount) -> RequestGuard {
        RequestGuard { link, id, cost, running: false, finished: false }
    }

    /// The transmission ended, and the node decides what follows.
    fn retry(&mut self, end: RequestEnd) {
        self.running = false;
        self.link.event(Event::Ended(self.id, end));
    }

    /// The transmission ended for good.
    fn end(&mut self, end: RequestEnd) {
        self.finished = true;
        self.link.event(Event::Ended(self.id, end));
    }

    /// The node itself ended the request.
    fn done(&mut self) {
        self.finished = true;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        // The request may have moved between the node's queue and a target meanwhile, so both
        // are told; the node ignores the one that does not apply.
        if self.running {
            self.link.event(Event::Ended(self.id, RequestEnd::CallerGone(self.cost)));
        }
        self.link.event(Event::Abandoned(self.id));
    }
}

async fn cancelled(commands: &mut mpsc::UnboundedReceiver<Box<GateCommand>>) -> ResultCode {
    loop {
        match commands.recv().await.map(|command| *command) {
            Some(GateCommand::Cancel(code)) => return code,
            Some(_) => {}
            // The daemon ends; the exchange is left to finish by itself.
            None => std::future::pending::<()>().await,
        }
    }
}

fn whole_reply(answer: WholeAnswer) -> Response<ReplyBody> {
    let mut response = Response::new(crate::body::full(answer.body));
    *response.status_mut() = answer.status;
    if let Some(content_type) = answer.content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    set_served(&mut response);
    response
}

fn set_served(response: &mut Response<ReplyBody>) {
    let headers = response.headers_mut();
    headers.insert(reply::CODE_HEADER, ResultCode::Served.number().into());
    headers.insert(
        reply::RAN_HEADER,
        hyper::header::HeaderValue::from_static(ResultCode::Served.ran()),
    );
}

/// Returns the models that the caller's team may use.
fn models(snapshot: &Snapshot, key: Option<&SecretKey>) -> Response<ReplyBody> {
    let team = key.and_then(|key| snapshot.team_of_key(&key.hash()));
    let Some(team) = team else { return reply::error(ResultCode::KeyRejected, None, None) };
    let permitted = snapshot.servables().filter(|model| snapshot.permits(team, model.name));
    let data: Vec<_> = permitted
        .map(|model| json!({"id": model.name, "object": "model", "owned_by": "mangodeal"}))
        .collect();
    reply::json_reply(200, &json!({"object": "list", "data": data}))
}
