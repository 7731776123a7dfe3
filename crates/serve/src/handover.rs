//! Hands requests to other daemons while this one can't reach their targets.
//!
//! A request goes to a peer as the client sent it, with the time that is left, and the peer handles it like
//! its own: it admits and charges it, and answers it. What the peer answers is passed through as it
//! arrives. A request is handed over once, by the daemon that received it from the client, and only
//! if no target can have run it.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{ResultCode, Time};
use bytes::Bytes;
use daemon::boot_time;
use fleet::LayoutVersion;
use front::Refusal;
use futures::StreamExt;
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};
use platform::request::{answer_headers, handover_headers};
use rand::seq::SliceRandom;

use crate::answer::{build_answer, full_body, ReplyBody};
use crate::caller;
use crate::conn::{ConnError, PooledConn};
use crate::exchange::ForwardRequest;
use crate::host::{sleep_until, Host};
use crate::layout;
use crate::logging::LogLine;

/// Version of the layout in force, in requests that are handed over and in the answers to them.
const LAYOUT: HeaderName = HeaderName::from_static("x-mango-layout");
/// Why a peer didn't take a request, in an answer of the peer's own.
const DECLINED: HeaderName = HeaderName::from_static("x-mango-declined");
/// Most peers that are asked to take a request.
const MAX_ASKED: usize = 10;
/// Time limit of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest idle time after which a connection to a peer is reused.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1_000);
/// How much later than a request's deadline the peer's answer may arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(100);

/// Why a daemon doesn't take a request from a peer. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeclineReason {
    /// It can't reach the targets either.
    Path,
    /// Its layout is older than the peer's.
    Layout,
    /// It stops.
    Stopping,
}

impl DeclineReason {
    fn name(self) -> &'static str {
        match self {
            DeclineReason::Path => "path",
            DeclineReason::Layout => "layout",
            DeclineReason::Stopping => "stopping",
        }
    }
}

/// How handing over a request ended.
pub(crate) enum HandoverEnd {
    /// A peer has answered.
    Answered(Response<ReplyBody>),
    /// A peer had the request and didn't answer.
    Unknown(Refusal),
    /// No peer took the request. `is_final` is set if all of them can't reach the targets.
    Declined { is_final: bool },
}

/// What a request is handed over with.
pub(crate) struct Handover<'a> {
    pub(crate) request: &'a ForwardRequest,
    /// Identity of the client's attempt, for the log.
    pub(crate) attempt_id: &'a str,
    pub(crate) deadline: Time,
    /// Whether another peer may get the request after one was lost that had it.
    pub(crate) may_repeat: bool,
}

/// Hands a request to the first peer that takes it.
pub(crate) async fn hand_over(host: &Rc<Host>, handover: &Handover<'_>) -> HandoverEnd {
    let mut peers = host.peer_book.borrow().draw(&host.settings.host, 0, usize::MAX);
    peers.shuffle(&mut rand::rng());
    let peers = host.helper_book.borrow_mut().order(boot_time(), peers);
    let mut is_final = true;
    for address in peers.into_iter().take(MAX_ASKED) {
        if boot_time() >= handover.deadline {
            break;
        }
        match ask_peer(host, address, handover).await {
            Ok((response, conn)) => {
                if let Some(reason) = decline_reason(response.headers()) {
                    is_final &= reason == DeclineReason::Path.name();
                    log_declined(address, handover, &reason);
                    host.helper_book.borrow_mut().record_declined(boot_time(), address);
                    let _ = response.into_body().collect().await;
                    host.conn_pool.borrow_mut().put(boot_time(), address, conn);
                    continue;
                }
                host.helper_book.borrow_mut().record_helped(boot_time(), address);
                return HandoverEnd::Answered(relay(host, handover, address, response, conn));
            }
            Err(error) => {
                host.helper_book.borrow_mut().record_declined(boot_time(), address);
                log_declined(
                    address,
                    handover,
                    if error == ConnError::NotSent { "not sent" } else { "lost" },
                );
                let may_ask_next = error == ConnError::NotSent
                    || handover.may_repeat && boot_time() < handover.deadline;
                if !may_ask_next {
                    let code = match error {
                        ConnError::Silent => ResultCode::TargetTimeout,
                        ConnError::NotSent | ConnError::Lost | ConnError::TooLong => {
                            ResultCode::OutcomeUnknown
                        }
                    };
                    return HandoverEnd::Unknown(Refusal::new(code, "lost at another host"));
                }
            }
        }
    }
    HandoverEnd::Declined { is_final }
}

/// Returns why a peer has declined a request, from its answer. A daemon of a version that knows no handovers
/// takes the request for a message that it can't read.
fn decline_reason(answer: &HeaderMap) -> Option<String> {
    match answer.get(DECLINED) {
        Some(reason) => Some(reason.to_str().unwrap_or_default().to_owned()),
        None if !answer.contains_key(LAYOUT) => Some("earlier version".to_owned()),
        None => None,
    }
}

fn log_declined(address: SocketAddr, handover: &Handover<'_>, reason: &str) {
    LogLine::new("handover_declined")
        .with("request", handover.attempt_id)
        .text("peer", &address)
        .with("reason", reason)
        .info();
}

/// Sends a request to a peer and waits for the head of the answer.
async fn ask_peer(
    host: &Host,
    address: SocketAddr,
    handover: &Handover<'_>,
) -> Result<(Response<Incoming>, PooledConn), ConnError> {
    let pooled = host.conn_pool.borrow_mut().take(boot_time(), address, MAX_IDLE_TIME);
    let mut conn = match pooled {
        Some(conn) => conn,
        None => PooledConn::open(address, CONNECT_TIMEOUT).await.ok_or(ConnError::NotSent)?,
    };
    let request = handover.request;
    let time_left = handover.deadline.since(boot_time());
    let mut out = Request::new(Full::new(request.body.clone()));
    *out.method_mut() = request.method.clone();
    *out.uri_mut() = request.uri.clone();
    *out.headers_mut() = handover_headers(&request.headers, Some(time_left));
    set_layout(out.headers_mut(), host.dispatcher.borrow().version());
    tokio::select! {
        answer = conn.exchange(out) => answer.map(|answer| (answer, conn)),
        () = sleep_until(handover.deadline + ANSWER_SLACK) => Err(ConnError::Silent),
    }
}

/// A peer's answer that is passed on to the client.
struct RelayedAnswer {
    host: Rc<Host>,
    address: SocketAddr,
    body: Incoming,
    /// `None` once the answer has ended.
    conn: Option<PooledConn>,
    deadline: Time,
}

/// Passes a peer's answer on as it arrives.
fn relay(
    host: &Rc<Host>,
    handover: &Handover<'_>,
    address: SocketAddr,
    response: Response<Incoming>,
    conn: PooledConn,
) -> Response<ReplyBody> {
    let (head, body) = response.into_parts();
    LogLine::new("handed_over")
        .with("request", handover.attempt_id)
        .text("peer", &address)
        .with("status", head.status.as_u16())
        .info();
    if read_layout(&head.headers).is_some_and(|at| at > host.dispatcher.borrow().version()) {
        // Requests that follow must not be handled by an older layout than this one.
        tokio::task::spawn_local(layout::fetch_from(host.clone(), address));
    }
    let mut headers = answer_headers(&head.headers);
    headers.remove(LAYOUT);
    let deadline = handover.deadline + ANSWER_SLACK;
    let answer = RelayedAnswer { host: host.clone(), address, body, conn: Some(conn), deadline };
    let frames = futures::stream::unfold(answer, RelayedAnswer::next).boxed_local();
    build_answer(head.status, headers, Either::Right(StreamBody::new(frames)))
}

impl RelayedAnswer {
    /// Returns the next frame for the client, with the answer itself, or `None` at the end.
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, io::Error>, RelayedAnswer)> {
        self.conn.as_ref()?;
        let frame = tokio::select! {
            frame = self.body.frame() => frame.map(|frame| frame.map_err(io::Error::other)),
            () = sleep_until(self.deadline) => Some(Err(io::ErrorKind::TimedOut.into())),
        };
        match frame {
            Some(Ok(frame)) => Some((Ok(frame), self)),
            Some(Err(error)) => {
                self.conn = None;
                Some((Err(error), self))
            }
            None => {
                let conn = self.conn.take()?;
                self.host.conn_pool.borrow_mut().put(boot_time(), self.address, conn);
                None
            }
        }
    }
}

fn set_layout(headers: &mut HeaderMap, version: LayoutVersion) {
    headers.insert(LAYOUT, HeaderValue::from(version.0));
}

fn read_layout(headers: &HeaderMap) -> Option<LayoutVersion> {
    let text = headers.get(LAYOUT)?.to_str().ok()?;
    text.parse().ok().map(LayoutVersion)
}

/// Returns whether a peer hands over the request with these headers.
pub(crate) fn is_handed_over(headers: &HeaderMap) -> bool {
    headers.contains_key(LAYOUT)
}

/// Handles a request that a peer hands over, or declines it.
pub(crate) async fn serve(host: Rc<Host>, request: Request<Incoming>) -> Response<ReplyBody> {
    if !host.accepts_requests(boot_time()) {
        return decline(DeclineReason::Stopping);
    }
    let version = host.dispatcher.borrow().version();
    if read_layout(request.headers()).is_none_or(|needed| needed > version) {
        return decline(DeclineReason::Layout);
    }
    let mut response = match caller::handle_for_peer(host.clone(), request).await {
        Some(response) => response,
        None => decline(DeclineReason::Path),
    };
    set_layout(response.headers_mut(), host.dispatcher.borrow().version());
    response
}

fn decline(reason: DeclineReason) -> Response<ReplyBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(DECLINED, HeaderValue::from_static(reason.name()));
    response
}
