//! Messages between the daemons and their leader.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{Revision, TargetName, Time};
use buffer::{read_body, BufferOwner};
use bytes::Bytes;
use daemon::boot_time;
use fleet::{
    AdapterReply, AdapterRequest, LayoutAnswer, LayoutQuery, LayoutRequest, ModelRef, PermitReply,
    PermitRequest, SyncReply, SyncReport,
};
use front::{FetchEnd, PermitEnd, PreviewError, PreviewQuery, RequestPreview, ShareEvent};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lead::AdapterState;
use platform::HttpCall;
use prefill::{PrefillRequest, PrefillVerdict};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::json;

use crate::answer::{full_body, ReplyBody};
use crate::conn::{CallLimits, ConnError, PooledConn};
use crate::exchange::{log_limit, MAX_IDLE_TIME};
use crate::handover;
use crate::host::{sleep_until, Host, RelayedBatch};
use crate::layout;
use crate::logging::LogLine;
use crate::passing;

/// Time limit of connecting to a peer, or to an engine for a control call.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit of a report to the leader.
const SYNC_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest time in which nothing of a layout arrives from a peer, and to its end.
const LAYOUT_TIMEOUT: Duration = Duration::from_millis(1_000);
const MAX_LAYOUT_TIME: Duration = Duration::from_secs(8);
/// How long a request waits for an adapter.
const ADAPTER_TIMEOUT: Duration = Duration::from_millis(350);
/// Time limit of a request for a permit, which is valid for little longer.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit of a request for prefill time. Without an answer the daemon chooses by itself.
const PREFILL_TIMEOUT: Duration = Duration::from_millis(120);
/// Interval at which the state of an adapter is polled. A finished order usually wakes the waiting
/// requests earlier.
const ADAPTER_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Largest message from a peer.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

const SYNC_PATH: &str = "/sync";
const ADAPTER_PATH: &str = "/adapter";
const PERMIT_PATH: &str = "/permit";
const PREFILL_PATH: &str = "/prefill";
/// Path at which daemons ask for a later layout than theirs. Earlier builds only know the other one.
const LAYOUT_QUERY_PATH: &str = "/layout-query";
const LAYOUT_PATH: &str = "/layout";
/// Path at which operators ask where a request would go.
const PREVIEW_PATH: &str = "/preview";

/// The answer to a [`PreviewQuery`].
#[derive(Serialize)]
struct PreviewReply {
    #[serde(flatten)]
    preview: RequestPreview,
    /// Whether the list of targets is recent enough to send; otherwise the request would wait for
    /// the store first.
    is_list_current: bool,
}

/// Sends a report to the leader whenever one is due.
pub(crate) async fn run_sync_loop(host: Rc<Host>) {
    let mut is_leader_heard = true;
    loop {
        let due = host.dispatcher.borrow().sync_due(boot_time());
        if boot_time() < due {
            tokio::select! {
                () = host.report_due.notified() => {}
                () = sleep_until(due) => {}
            }
            continue;
        }
        let asked_at = boot_time();
        let mut report = host.dispatcher.borrow_mut().report(asked_at, host.known_revision.get());
        passing::state_layout(&host, &mut report);
        let mut reply = send_report(&host, &report).await;
        let now = boot_time();
        match &mut reply {
            Some(reply) => {
                if let Some(update) = &reply.layout_update {
                    passing::apply_update(&host, update);
                }
                queue_relayed(&host, asked_at, reply);
            }
            None => record_leader_silence(&host),
        }
        if is_leader_heard != reply.is_some() {
            is_leader_heard = reply.is_some();
            let leader = host.leader_entry.borrow().as_ref().map(|entry| entry.host.to_string());
            let event = if is_leader_heard { "leader_heard" } else { "leader_silent" };
            LogLine::new(event).with("leader", leader.unwrap_or_default()).info();
        }
        if let Some(reply) = reply {
            if let Some(version) = reply.layout {
                layout::record_known_version(&host, version);
            }
            let mut dispatcher = host.dispatcher.borrow_mut();
            for target in dispatcher.apply_reply(now, asked_at, &reply) {
                log_limit(&dispatcher, &target, "leader");
            }
            drop(dispatcher);
            host.state_changed.notify_waiters();
        }
        log_share_events(&host, now);
    }
}

/// Logs the spending of allowances without the leader.
fn log_share_events(host: &Host, now: Time) {
    let (events, heard_at) = {
        let mut dispatcher = host.dispatcher.borrow_mut();
        (dispatcher.take_share_events(), dispatcher.last_leader().1)
    };
    for (team, event) in events {
        match event {
            ShareEvent::Used(share) => LogLine::new("share_used")
                .text("team", &team)
                .with("advance", share.advance)
                .with("per_second", share.per_second)
                .with("leader_heard_ms_ago", now.since(heard_at).as_millis() as u64)
                .info(),
            ShareEvent::Settled(spent) => {
                LogLine::new("share_settled").text("team", &team).with("spent", spent).info();
            }
        }
    }
}

/// Queues the changes that the leader relayed for the follower.
fn queue_relayed(host: &Host, asked_at: Time, reply: &mut SyncReply) {
    let (batch, version) = (reply.changes.take(), reply.layout);
    let mut view = host.relay_view.get();
    view.apply_reply(asked_at, batch.as_ref());
    host.relay_view.set(view);
    let relayed = batch.map(|batch| RelayedBatch { asked_at, batch, version });
    host.relayed_batches.borrow_mut().extend(relayed);
    host.relay_changed.notify_one();
}

/// Records that the leader did not answer. The follower reads the store once the leader's term may
/// have expired; it does so at once if this daemon can lead any fleet, and so should be the next
/// leader.
fn record_leader_silence(host: &Host) {
    layout::record_silence(host);
    let heard_at = host.dispatcher.borrow().last_leader().1;
    let lease = if host.can_lead_any_fleet() { Duration::ZERO } else { host.settings.lease };
    let mut view = host.relay_view.get();
    view.limit_to_lease(heard_at, lease);
    host.relay_view.set(view);
    host.relay_changed.notify_one();
}

/// Sends a report to the leader, which may be this daemon itself.
async fn send_report(host: &Rc<Host>, report: &SyncReport) -> Option<SyncReply> {
    if host.leader_state.borrow().is_some() {
        return apply_report(host, report);
    }
    let address = host.leader_entry.borrow().as_ref().map(|entry| entry.address)?;
    call_peer(host, address, SYNC_PATH, report, SYNC_TIMEOUT).await
}

/// Applies a daemon's report and returns the reply, or `None` if this daemon doesn't lead.
fn apply_report(host: &Rc<Host>, report: &SyncReport) -> Option<SyncReply> {
    let mut state = host.leader_state.borrow_mut();
    let state = state.as_mut()?;
    layout::record_stated_version(host, state, report);
    let mut reply = state.leader.handle_sync(boot_time(), report);
    reply.layout = reply.layout.filter(|_| layout::is_covered(host, reply.changes.as_ref()));
    reply.layout_update = passing::update_for(host, report);
    host.plan_due.notify_one();
    Some(reply)
}

/// Asks the leader to load an adapter on a target and waits until it is ready.
pub(crate) async fn fetch_adapter(
    host: &Host,
    target: &TargetName,
    subject: &ModelRef,
) -> FetchEnd {
    if host.leader_state.borrow().is_some() {
        return load_adapter(host, target, subject).await;
    }
    let Some(address) = host.leader_entry.borrow().as_ref().map(|entry| entry.address) else {
        return FetchEnd::Failed;
    };
    let message = AdapterRequest { target: target.clone(), subject: subject.clone() };
    let limit = ADAPTER_TIMEOUT + SYNC_TIMEOUT / 4;
    let reply: Option<AdapterReply> = call_peer(host, address, ADAPTER_PATH, &message, limit).await;
    match reply {
        Some(AdapterReply { ready: true, .. }) => FetchEnd::Ready,
        Some(AdapterReply { wait_ms: Some(ms), .. }) => FetchEnd::Busy(Duration::from_millis(ms)),
        Some(_) | None => FetchEnd::Failed,
    }
}

/// Asks the leader for a permit to send a request to a limited target. Also returns the fencing
/// token of the leader that answered.
pub(crate) async fn ask_permit(host: &Host, request: &PermitRequest) -> (PermitEnd, Option<u64>) {
    let reply = if host.leader_state.borrow().is_some() {
        issue_permit(host, request)
    } else {
        let address = host.leader_entry.borrow().as_ref().map(|entry| entry.address);
        match address {
            Some(address) => call_peer(host, address, PERMIT_PATH, request, PERMIT_TIMEOUT).await,
            None => None,
        }
    };
    let end = match reply.map(|reply| reply.result()) {
        Some(Ok(())) => PermitEnd::Issued,
        Some(Err(denial)) => PermitEnd::Denied(denial),
        None => PermitEnd::Failed,
    };
    (end, reply.map(|reply| reply.fence))
}

/// Answers a request for a permit, or returns `None` if this daemon doesn't lead.
fn issue_permit(host: &Host, request: &PermitRequest) -> Option<PermitReply> {
    let mut state = host.leader_state.borrow_mut();
    Some(state.as_mut()?.leader.request_permit(boot_time(), request))
}

/// Asks the leader when and where to send a long prompt. Returns `None` if it doesn't answer.
pub(crate) async fn reserve_prefill(
    host: &Host,
    request: &PrefillRequest,
) -> Option<PrefillVerdict> {
    if host.leader_state.borrow().is_some() {
        return schedule_prefill(host, request);
    }
    let address = host.leader_entry.borrow().as_ref().map(|entry| entry.address)?;
    call_peer(host, address, PREFILL_PATH, request, PREFILL_TIMEOUT).await
}

/// Schedules a long prompt as the leader, or returns `None` if this daemon doesn't lead.
fn schedule_prefill(host: &Host, request: &PrefillRequest) -> Option<PrefillVerdict> {
    let mut state = host.leader_state.borrow_mut();
    Some(state.as_mut()?.leader.reserve_prefill(boot_time(), request))
}

/// Orders an adapter as the leader and waits until it is ready.
async fn load_adapter(host: &Host, target: &TargetName, subject: &ModelRef) -> FetchEnd {
    let deadline = boot_time() + ADAPTER_TIMEOUT;
    let mut is_requested = false;
    loop {
        let now = boot_time();
        let adapter = match host.leader_state.borrow_mut().as_mut() {
            None => return FetchEnd::Failed,
            Some(state) if !is_requested => state.leader.request_adapter(now, target, subject),
            Some(state) => state.leader.adapter_state(target, subject),
        };
        is_requested = true;
        match adapter {
            AdapterState::Ready(at) => {
                sleep_until(at).await;
                return FetchEnd::Ready;
            }
            AdapterState::Busy(at) => return FetchEnd::Busy(at.since(now)),
            AdapterState::Ordered if now < deadline => host.plan_due.notify_one(),
            AdapterState::Ordered | AdapterState::Impossible => return FetchEnd::Failed,
        }
        tokio::select! {
            () = host.state_changed.notified() => {}
            () = tokio::time::sleep(ADAPTER_POLL_INTERVAL) => {}
        }
    }
}

/// Sends a message to a peer and returns its answer. Returns `None` if that fails or takes longer
/// than `limit`.
async fn call_peer<M: Serialize, A: DeserializeOwned>(
    host: &Host,
    address: SocketAddr,
    path: &str,
    message: &M,
    limit: Duration,
) -> Option<A> {
    let has_begun = Cell::new(false);
    let limits = CallLimits { silence: limit, total: limit, has_begun: &has_begun };
    let exchange = post_to_peer(host, address, path, message, &limits);
    let body = tokio::time::timeout(limit, exchange).await;
    if body.is_err() {
        host.conn_pool.borrow_mut().remove_all(address);
    }
    serde_json::from_slice(&body.ok()??).ok()
}

/// Asks the leader for a layout of at least this revision.
pub(crate) async fn fetch_layout(host: &Host, revision: Revision) -> Option<Vec<u8>> {
    let address = host.leader_entry.borrow().as_ref().map(|entry| entry.address)?;
    fetch_layout_from(host, address, revision, LAYOUT_TIMEOUT).await
}

/// Asks a daemon for a layout of at least this revision. Fails if nothing arrives for as long as
/// `limit`.
pub(crate) async fn fetch_layout_from(
    host: &Host,
    address: SocketAddr,
    revision: Revision,
    limit: Duration,
) -> Option<Vec<u8>> {
    let message = LayoutRequest { revision };
    let has_begun = Cell::new(false);
    let limits = CallLimits { silence: limit, total: MAX_LAYOUT_TIME, has_begun: &has_begun };
    let body = post_to_peer(host, address, LAYOUT_PATH, &message, &limits).await?;
    Some(body.to_vec())
}

/// Asks a daemon for a later layout than this one's. Returns `None` if it declines, or if nothing arrives
/// for as long as `limit`.
pub(crate) async fn query_layout(
    host: &Host,
    address: SocketAddr,
    query: &LayoutQuery,
    limit: Duration,
) -> Option<LayoutAnswer> {
    let has_begun = Cell::new(false);
    let limits = CallLimits { silence: limit, total: MAX_LAYOUT_TIME, has_begun: &has_begun };
    let body = post_to_peer(host, address, LAYOUT_QUERY_PATH, query, &limits).await?;
    from_json(&body)
}

/// Returns the whole layout for a peer of an earlier build, unless this daemon has only an older one.
fn relay_layout(host: &Host, request: &LayoutRequest) -> Option<Bytes> {
    let history = host.layout_history.borrow();
    history.revision().filter(|revision| *revision >= request.revision)?;
    history.value().map(Bytes::copy_from_slice)
}

/// Sends a message to a peer and returns the body of its answer. Returns `None` if that fails or
/// exceeds `limits`.
async fn post_to_peer<M: Serialize>(
    host: &Host,
    address: SocketAddr,
    path: &str,
    message: &M,
    limits: &CallLimits<'_>,
) -> Option<Bytes> {
    let body = serde_json::to_vec(message).ok()?;
    let call = HttpCall { method: Method::POST, path: path.to_owned(), body };
    let pooled = host.conn_pool.borrow_mut().take(boot_time(), address, MAX_IDLE_TIME);
    let mut conn = match pooled {
        Some(conn) => conn,
        None => {
            let limit = CONNECT_TIMEOUT.min(limits.silence);
            PooledConn::open_reserved(address, limit, &host.descriptors).await?
        }
    };
    let buffers = (MAX_MESSAGE_BYTES, &host.control_buffers);
    match conn.call_steadily(address, &call, limits, buffers).await {
        Ok(answer) => {
            host.conn_pool.borrow_mut().put(boot_time(), address, conn);
            (answer.status() == StatusCode::OK).then(|| answer.into_body())
        }
        Err(ConnError::Silent) => {
            host.conn_pool.borrow_mut().remove_all(address);
            None
        }
        Err(ConnError::NotSent | ConnError::Lost | ConnError::TooLong) => None,
    }
}

/// Answers a request from a peer.
pub(crate) async fn serve_peer(host: Rc<Host>, request: Request<Incoming>) -> Response<ReplyBody> {
    if handover::is_handed_over(request.headers()) {
        return handover::serve(host, request).await;
    }
    let path = request.uri().path().to_owned();
    let buffer = host.control_buffers.open(BufferOwner::Request(host.next_request_number()));
    let body = match read_body(request.into_body(), MAX_MESSAGE_BYTES, buffer).await {
        Ok(body) => body,
        Err(error) => {
            LogLine::new("message_unread").with("path", path.as_str()).text("error", &error).info();
            Bytes::new()
        }
    };
    if path == PREVIEW_PATH {
        return answer_preview(&host, &body);
    }
    let answer = match path.as_str() {
        SYNC_PATH => from_json(&body).and_then(|report| to_json(&apply_report(&host, &report)?)),
        LAYOUT_PATH => from_json(&body).and_then(|ask| relay_layout(&host, &ask)),
        LAYOUT_QUERY_PATH => {
            from_json(&body).and_then(|query| to_json(&passing::answer_query(&host, &query)?))
        }
        PREFILL_PATH => from_json(&body).and_then(|ask| to_json(&schedule_prefill(&host, &ask)?)),
        PERMIT_PATH => from_json(&body).and_then(|ask| to_json(&issue_permit(&host, &ask)?)),
        ADAPTER_PATH => match from_json::<AdapterRequest>(&body) {
            Some(message) if host.leader_state.borrow().is_some() => {
                let end = load_adapter(&host, &message.target, &message.subject).await;
                let wait_ms = match end {
                    FetchEnd::Busy(span) => Some(span.as_millis() as u64),
                    FetchEnd::Ready | FetchEnd::Failed => None,
                };
                to_json(&AdapterReply { ready: end == FetchEnd::Ready, wait_ms })
            }
            _ => None,
        },
        _ => None,
    };
    let mut response = Response::new(full_body(answer.clone().unwrap_or_default()));
    if answer.is_none() {
        // This daemon doesn't lead, or the message is malformed. The peer finds the leader in the
        // store.
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Answers where a request would go, or says why the query can't be answered.
fn answer_preview(host: &Host, body: &[u8]) -> Response<ReplyBody> {
    let (status, answer) = match preview_request(host, body) {
        Ok(reply) => (StatusCode::OK, to_json(&reply)),
        Err(message) => (StatusCode::BAD_REQUEST, to_json(&json!({"error": {"message": message}}))),
    };
    let mut response = Response::new(full_body(answer.unwrap_or_default()));
    *response.status_mut() = status;
    response
}

fn preview_request(host: &Host, body: &[u8]) -> Result<PreviewReply, String> {
    let query: PreviewQuery = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let to_message = |error: PreviewError| error.to_string();
    // The draw of a real request comes from its identifier, which a preview doesn't have.
    let arrival = query.to_arrival(rand::random()).map_err(to_message)?;
    let now = boot_time();
    let preview = host.dispatcher.borrow().preview(now, &arrival, query.team.as_deref());
    let preview = preview.map_err(to_message)?;
    Ok(PreviewReply { preview, is_list_current: host.is_list_fresh(now) })
}

fn from_json<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn to_json<T: Serialize>(value: &T) -> Option<Bytes> {
    serde_json::to_vec(value).ok().map(Bytes::from)
}
