//! HTTP API for operators.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use base::{ByteSize, ChangeId, KeyHash, ModelName, RequestId, ResultCode, Revision, SecretKey};
use buffer::{BufferOwner, BufferPool};
use config::{Change, Draft, DraftItem, Kind, Object, ObjectKey, Versioned};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, AUTHORIZATION, IF_MATCH};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use node::{Event, Node, ProposalResult};
use prometheus_client::registry::Registry;
use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::body::{read_body, ResponseBody};
use crate::link::NodeLink;
use crate::response;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Memory for the bodies of all operators' requests.
const OPERATOR_BUFFERS: ByteSize = ByteSize(16 << 20);
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of changes in a response.
const AUDIT_PAGE: usize = 100;
/// Header with the change's identifier. It makes a call whose response was lost safe to repeat.
const CHANGE_HEADER: &str = "x-mangodeal-change";

type AuditFuture = Pin<Box<dyn Future<Output = Option<Vec<Change>>> + Send>>;

/// Reads the changes since a revision, including that revision. Returns `None` if the key-value
/// service does not respond.
pub type AuditSource = Arc<dyn Fn(Revision) -> AuditFuture + Send + Sync>;

/// Settings of an [`OperatorGate`].
#[derive(Clone)]
pub struct OperatorConfig {
    /// Names of the operators and hashes of their credentials.
    pub operators: Vec<(String, KeyHash)>,
    /// Reads the log of changes.
    pub audit: AuditSource,
    /// Metrics that are exposed at `/metrics`.
    pub registry: Arc<Registry>,
    /// Creates an identifier for a change that was sent without one.
    pub change_ids: fn() -> ChangeId,
    /// Returns the wall-clock time for the log of changes, in milliseconds since 1970.
    pub wall_ms: fn() -> u64,
}

/// Serves the HTTP API for operators.
#[derive(Clone)]
pub struct OperatorGate {
    link: NodeLink,
    config: Arc<OperatorConfig>,
    buffers: BufferPool,
    received_count: Arc<AtomicU64>,
}

type OperatorResponse = Response<ResponseBody>;

impl OperatorGate {
    /// Creates a gate that reads and changes the node through a link.
    pub fn new(link: NodeLink, config: OperatorConfig) -> OperatorGate {
        let buffers = BufferPool::new(OPERATOR_BUFFERS);
        OperatorGate { link, config: Arc::new(config), buffers, received_count: Arc::default() }
    }

    /// Serves connections until the future is dropped.
    pub async fn serve(&self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let gate = self.clone();
            let service = service_fn(move |request| {
                let gate = gate.clone();
                async move { Ok::<_, Infallible>(gate.handle(request).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(RECEIVE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move {
                let _ = connection.await;
            });
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> OperatorResponse {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').splitn(4, '/').collect();
        match (&head.method, parts.as_slice()) {
            (&Method::GET, ["metrics"]) => return self.encode_metrics().await,
            (&Method::GET, ["healthz"]) => return response::text(200, "text/plain", "ok\n"),
            _ => {}
        }
        let Some(actor) = self.authenticate(&head.headers) else {
            return response::error(ResultCode::OperatorRejected, None, None);
        };
        let number = self.received_count.fetch_add(1, Ordering::Relaxed);
        let buffer = self.buffers.open(BufferOwner::Request(number));
        let body = match read_body(body, MAX_BODY_BYTES, RECEIVE_TIMEOUT, buffer).await {
            Ok(body) => body,
            Err(code) => return response::error(code, None, None),
        };
        let query = head.uri.query().unwrap_or_default();
        match (&head.method, parts.as_slice()) {
            (&Method::GET, ["v1", "objects"]) => self.list_objects(query),
            (&Method::GET, ["v1", "objects", kind, name]) => self.read_object(kind, name),
            (&Method::PUT, ["v1", "objects", kind, name]) => {
                let object = serde_json::from_slice::<Object>(&body);
                match object {
                    Ok(object) => {
                        self.write_object(&actor, &head.headers, kind, name, Some(object)).await
                    }
                    Err(error) => invalid(&error.to_string()),
                }
            }
            (&Method::DELETE, ["v1", "objects", kind, name]) => {
                self.write_object(&actor, &head.headers, kind, name, None).await
            }
            (&Method::POST, ["v1", "changes"]) => match serde_json::from_slice::<Draft>(&body) {
                Ok(draft) => {
                    self.propose_change(&actor, draft, query.contains("dry_run=true")).await
                }
                Err(error) => invalid(&error.to_string()),
            },
            (&Method::GET, ["v1", "changes"]) => self.list_changes(query).await,
            (&Method::GET, ["v1", "status"]) => self.read_status().await,
            (&Method::GET, ["v1", "force"]) => self.check_revision(query).await,
            (&Method::GET, ["v1", "explain", "request", id]) => self.explain_request(id).await,
            (&Method::GET, ["v1", "explain", "model", name]) => self.explain_model(name).await,
            _ => response::error(ResultCode::NotFound, Some("no such operator call"), None),
        }
    }

    /// Returns the name of the operator whose credential a request carries.
    fn authenticate(&self, headers: &HeaderMap) -> Option<String> {
        let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
        let hash = SecretKey::new(text.strip_prefix("Bearer ")?.trim()).hash();
        let mut operators = self.config.operators.iter();
        operators.find(|(_, known)| known.matches(&hash)).map(|(name, _)| name.clone())
    }

    async fn encode_metrics(&self) -> OperatorResponse {
        let stats = self.link.query(|node, _| node.stats().clone()).await;
        let mut text = String::new();
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.config.registry);
        let text =
            text.trim_end_matches("# EOF\n").to_owned() + &stats_text(&stats.unwrap_or_default());
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        response::text(200, content_type, text + "# EOF\n")
    }

    fn list_objects(&self, query: &str) -> OperatorResponse {
        let snapshot = self.link.snapshot();
        let objects: Vec<&Versioned> = match query_parameter(query, "kind") {
            Some(kind) => match kind.parse::<Kind>() {
                Ok(kind) => snapshot.objects_of_kind(kind).collect(),
                Err(error) => return invalid(&error.to_string()),
            },
            None => snapshot.objects().collect(),
        };
        let body = json!({"revision": snapshot.revision(), "objects": objects});
        response::json(200, &body)
    }

    fn read_object(&self, kind: &str, name: &str) -> OperatorResponse {
        let snapshot = self.link.snapshot();
        match object_key(kind, name).map(|key| snapshot.get(&key)) {
            Ok(Some(versioned)) => response::json(200, versioned),
            Ok(None) => response::error(ResultCode::ObjectMissing, None, None),
            Err(reason) => invalid(&reason),
        }
    }

    async fn write_object(
        &self,
        actor: &str,
        headers: &HeaderMap,
        kind: &str,
        name: &str,
        object: Option<Object>,
    ) -> OperatorResponse {
        let key = match object_key(kind, name) {
            Ok(key) => key,
            Err(reason) => return invalid(&reason),
        };
        let mut item = DraftItem { key, object, based_on: None };
        if let Some(value) = headers.get(IF_MATCH) {
            let revision = value.to_str().ok().and_then(|t| t.trim_matches('"').parse().ok());
            match revision {
                Some(revision) => item = item.based_on(Revision(revision)),
                None => return invalid("If-Match must be a revision number"),
            }
        }
        let id = match headers.get(CHANGE_HEADER) {
            Some(value) => match value.to_str().unwrap_or_default().parse() {
                Ok(id) => id,
                Err(error) => return invalid(&base::ParseError::to_string(&error)),
            },
            None => (self.config.change_ids)(),
        };
        let draft = Draft { id, actor: String::new(), wall_ms: 0, items: vec![item] };
        self.propose_change(actor, draft, false).await
    }

    async fn propose_change(
        &self,
        actor: &str,
        mut draft: Draft,
        dry_run: bool,
    ) -> OperatorResponse {
        draft.actor = actor.to_owned();
        draft.wall_ms = (self.config.wall_ms)();
        if dry_run {
            return match self.link.snapshot().plan(&draft) {
                Ok(change) => response::with_code(ResultCode::ChangeAccepted, &change),
                Err(error) => {
                    response::error(ResultCode::ChangeInvalid, Some(&error.to_string()), None)
                }
            };
        }
        let id = draft.id.clone();
        match self.link.propose(draft).await {
            Some(ProposalResult::Accepted(change)) => {
                response::with_code(ResultCode::ChangeAccepted, &change)
            }
            Some(ProposalResult::Repeated(revision)) => response::with_code(
                ResultCode::ChangeAccepted,
                &json!({"revision": revision, "id": id, "repeated": true}),
            ),
            Some(ProposalResult::Refused(code, reason, current)) => {
                let mut body = response::error_json(code, Some(&reason));
                body["current"] = serde_json::to_value(current).unwrap_or(Value::Null);
                body["change"] = json!(id);
                response::with_code(code, &body)
            }
            None => response::error(ResultCode::NotReady, None, None),
        }
    }

    async fn list_changes(&self, query: &str) -> OperatorResponse {
        let from = query_parameter(query, "from").and_then(|text| text.parse().ok()).unwrap_or(1);
        let object = query_parameter(query, "object");
        let Some(changes) = (self.config.audit)(Revision(from)).await else {
            return response::error(ResultCode::ChangeUnavailable, None, None);
        };
        let matches_object = |change: &Change| {
            object.is_none_or(|name| change.writes.iter().any(|w| w.key.to_string() == name))
        };
        let page: Vec<Change> =
            changes.into_iter().filter(matches_object).take(AUDIT_PAGE).collect();
        response::json(200, &json!({"changes": page}))
    }

    async fn read_status(&self) -> OperatorResponse {
        match self.link.query(status_json).await {
            Some(status) => response::json(200, &status),
            None => response::error(ResultCode::NotReady, None, None),
        }
    }

    /// Reports which daemons have not applied a revision yet, as far as this daemon knows.
    async fn check_revision(&self, query: &str) -> OperatorResponse {
        let revision = query_parameter(query, "revision").and_then(|text| text.parse().ok());
        let Some(revision) = revision.map(Revision) else {
            return invalid("the parameter revision is missing");
        };
        self.link.send_event(Event::Probe(revision));
        let answer = self.link.query(move |node, now| {
            let is_local_current = node.snapshot().revision() >= revision;
            let seats = node.seats(now);
            let behind = seats.iter().filter(|status| {
                let is_remote = status.seat != *node.seat();
                let has_revision = status.revision.is_some_and(|current| current >= revision);
                if is_remote {
                    !has_revision
                } else {
                    !is_local_current
                }
            });
            let behind: Vec<Value> = behind
                .map(|status| {
                    json!({"seat": status.seat.to_string(), "domain": status.domain,
                           "revision": status.revision,
                           "silent_ms": status.silent_for.map(|span| span.as_millis())})
                })
                .collect();
            json!({"revision": revision, "seats": seats.len(), "behind": behind,
                   "in_force": is_local_current && behind.is_empty()})
        });
        match answer.await {
            Some(answer) => response::json(200, &answer),
            None => response::error(ResultCode::NotReady, None, None),
        }
    }

    async fn explain_request(&self, id: &str) -> OperatorResponse {
        let Ok(id) = id.parse::<RequestId>() else { return invalid("not a request identifier") };
        let trace = self.link.query(move |node, _| node.trace(id).cloned()).await.flatten();
        let Some(trace) = trace else {
            return response::error(ResultCode::ObjectMissing, Some("no trace is kept"), None);
        };
        let steps: Vec<Value> = trace
            .steps
            .iter()
            .map(|(micros, step)| json!({"after_us": micros, "step": format!("{step:?}")}))
            .collect();
        response::json(
            200,
            &json!({"request": trace.request, "team": trace.team, "goal": trace.goal,
                    "steps": steps}),
        )
    }

    async fn explain_model(&self, name: &str) -> OperatorResponse {
        let Ok(model) = name.parse::<ModelName>() else { return invalid("not a model name") };
        match self.link.query(move |node, _| model_json(node, &model)).await {
            Some(answer) => response::json(200, &answer),
            None => response::error(ResultCode::NotReady, None, None),
        }
    }
}

fn model_json(node: &Node, model: &ModelName) -> Value {
    let snapshot = node.snapshot();
    let Some(servable) = snapshot.servable(model) else {
        return json!({"model": model, "why": "there is no such model"});
    };
    let base = servable.base.unwrap_or(servable.name);
    let eligible: Vec<&str> = snapshot
        .targets()
        .filter(|target| snapshot.may_place(base, target))
        .map(|target| target.name.as_str())
        .collect();
    let replicas: Vec<Value> = node
        .views()
        .flat_map(|view| view.replicas.iter().map(move |replica| (view, replica)))
        .filter(|(_, replica)| replica.model == *model)
        .map(|(view, replica)| {
            json!({"target": replica.target, "domain": view.domain, "ready": replica.ready})
        })
        .collect();
    let copies = snapshot.max_copies(base);
    let why = match (eligible.is_empty(), copies, replicas.is_empty()) {
        (true, _, _) => "no target is selected by a placement",
        (_, 0, _) => "the placements allow no copy",
        (_, _, true) => "no replica is loaded; one is loaded when a request arrives",
        _ => "replicas are loaded or loading",
    };
    json!({"model": model, "base": servable.base, "memory": servable.memory, "copies": copies,
           "eligible": eligible, "replicas": replicas, "why": why})
}

fn status_json(node: &Node, now: base::Time) -> Value {
    let seats: Vec<Value> = node
        .seats(now)
        .iter()
        .map(|status| {
            json!({"seat": status.seat.to_string(), "domain": status.domain,
                   "units": status.units, "revision": status.revision,
                   "silent_ms": status.silent_for.map(|span| span.as_millis())})
        })
        .collect();
    let planned_replicas: Vec<Value> = node
        .planned_replicas()
        .iter()
        .map(|replica| {
            json!({"target": replica.target, "model": replica.model, "phase": replica.phase,
                   "unresolved": replica.is_unresolved})
        })
        .collect();
    let replicas: Vec<Value> = node
        .views()
        .flat_map(|view| view.replicas.iter())
        .map(|replica| {
            json!({"target": replica.target, "model": replica.model, "ready": replica.ready})
        })
        .collect();
    let stats = node.stats();
    json!({
        "seat": node.seat().to_string(),
        "revision": node.snapshot().revision(),
        "ready": node.is_ready(now),
        "placer": node.is_placer(now),
        "open_requests": node.open_requests(),
        "arrived": stats.arrived,
        "served": stats.served,
        "seats": seats,
        "placed": planned_replicas,
        "replicas": replicas,
    })
}

fn stats_text(stats: &node::NodeStats) -> String {
    let mut text = String::new();
    let totals = [
        ("requests", stats.arrived),
        ("served", stats.served),
        ("retries", stats.retries),
        ("tokens", stats.tokens),
        ("peer_messages", stats.peer_messages),
        ("service_calls", stats.service_calls),
        ("load_orders", stats.loads),
        ("unload_orders", stats.unloads),
    ];
    for (name, total) in totals {
        text += &format!("# TYPE mangodeal_{name} counter\nmangodeal_{name}_total {total}\n");
    }
    text += "# TYPE mangodeal_refused counter\n";
    for (code, count) in stats.refused.iter() {
        text += &format!("mangodeal_refused_total{{code=\"{}\"}} {count}\n", code.number());
    }
    text
}

fn object_key(kind: &str, name: &str) -> Result<ObjectKey, String> {
    let kind = kind.parse().map_err(|error: base::ParseError| error.to_string())?;
    Ok(ObjectKey { kind, name: name.to_owned() })
}

fn invalid(reason: &str) -> OperatorResponse {
    response::error(ResultCode::ChangeInvalid, Some(reason), None)
}

fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
