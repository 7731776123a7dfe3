//! Sends a request to one target and reads its answer.

use std::net::SocketAddr;
use std::time::Duration;

use base::{TargetName, Time};
use buffer::{read_body, skip_body, BodyError, BufferCharge, BufferError, BufferOwner};
use bytes::Bytes;
use daemon::boot_time;
use front::{AttemptEnd, Dispatch, RequestDispatcher};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};
use limit::{ColdNotice, LimitNotice, RequestRate};
use platform::request::{
    answer_headers, forward_headers, read_answer, AddedHeaders, AnswerHead, TargetNotice,
};

use crate::answer::CompleteAnswer;
use crate::conn::{ConnError, PooledConn};
use crate::events::{continue_after, EventSplitter};
use crate::host::{sleep_until, Host};
use crate::logging::LogLine;
use crate::path;

/// How long connecting to a target may take; a live target accepts within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Least time limit after which a connection that isn't open counts as failed.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest answer that is buffered before it is passed on.
const MAX_BUFFERED_BYTES: usize = 8 << 20;
/// Longest body of a refusal that is read so that its connection can be reused, and the time limit
/// of reading it. The rest of a refusal is worth no more than a new connection.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Oldest dispatch decision on which a request is sent. If the process was held up for longer, the
/// target may have left, and the dispatcher decides again.
const MAX_DECISION_AGE: Duration = Duration::from_millis(900);
/// How long a request waits at a time for a fresh list of targets. A call to the store that takes
/// longer has failed.
const MAX_LIST_WAIT: Duration = Duration::from_millis(1_600);
/// Longest idle time after which a connection is reused for a request that may be repeated.
pub(crate) const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Longest idle time after which a connection is reused for a request that may not be repeated. The
/// target must have announced a keep-alive time, and only a part of it is used: if the target
/// closed the connection meanwhile, it would be unknown whether the request ran.
const UNREPEATABLE_IDLE_TIME: Duration = Duration::from_millis(800);

/// A client's request, which can be sent several times.
#[derive(Clone, Debug)]
pub(crate) struct ForwardRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) attempt_id: Option<HeaderValue>,
    pub(crate) is_stream: bool,
}

/// A stream that broke off, and that another target should continue.
pub(crate) struct BrokenStream {
    /// Id of the last event that the client received.
    pub(crate) last_event: String,
    pub(crate) status: StatusCode,
    pub(crate) content_type: Option<HeaderValue>,
}

impl BrokenStream {
    /// Returns whether an answer with this head may be the rest of the stream.
    fn is_continued_by(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        status == self.status && headers.get(CONTENT_TYPE) == self.content_type.as_ref()
    }
}

/// A stream whose first event has arrived.
pub(crate) struct OpenStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) first_events: Option<Bytes>,
    pub(crate) splitter: EventSplitter,
    /// Memory of the event that is incomplete.
    pub(crate) charge: BufferCharge,
    pub(crate) body: Incoming,
    pub(crate) conn: PooledConn,
    pub(crate) address: SocketAddr,
}

/// The outcome of an attempt, or the stream that it started.
pub(crate) enum AttemptOutcome {
    End(AttemptEnd),
    /// The target answered with a server error.
    Failed(CompleteAnswer),
    Complete(CompleteAnswer),
    Stream(Box<OpenStream>),
}

/// Sends a request to its target and waits for the answer, or for the first event of a stream.
pub(crate) async fn run_attempt(
    host: &Host,
    id: u64,
    dispatch: &Dispatch,
    request: &ForwardRequest,
    broken: Option<&BrokenStream>,
) -> AttemptOutcome {
    let decided_at = boot_time();
    if !host.is_list_fresh(decided_at) {
        // The daemon is reading the store, so the list will be fresh soon.
        wait_for_fresh_list(host, decided_at + MAX_LIST_WAIT.min(dispatch.time_left)).await;
        return AttemptOutcome::End(AttemptEnd::Withheld);
    }
    let deadline = decided_at + dispatch.time_left;
    let idle_limit = if dispatch.repeatable { MAX_IDLE_TIME } else { UNREPEATABLE_IDLE_TIME };
    let attempt = request.attempt_id.as_ref();
    let pooled =
        host.conn_pool.borrow_mut().take_for(decided_at, dispatch.address, idle_limit, attempt);
    let pooled = pooled.filter(|conn| dispatch.repeatable || conn.keep_alive.is_some());
    // A request without an attempt id gets a new connection: its answer can't be distinguished from
    // a late answer to an earlier request.
    let pooled = pooled.filter(|_| request.attempt_id.is_some());
    let mut conn = match pooled {
        Some(conn) => conn,
        None => {
            let limit = CONNECT_TIMEOUT.min(dispatch.time_left);
            let conn = PooledConn::open(dispatch.address, limit).await;
            // A short limit says nothing about the target.
            if conn.is_some() || limit >= MIN_CONNECT_TIMEOUT {
                path::record_connection(host, &dispatch.target, conn.is_some());
            }
            match conn {
                Some(conn) => conn,
                None => return AttemptOutcome::End(AttemptEnd::NotSent),
            }
        }
    };
    let now = boot_time();
    // The target may have left or asked for a pause while the connection was opened or the process
    // was held up.
    let may_send = host.is_list_fresh(now)
        && host.dispatcher.borrow().targets().may_send(now, &dispatch.target, dispatch.send_by);
    if now >= deadline || now.since(decided_at) > MAX_DECISION_AGE || !may_send {
        return AttemptOutcome::End(AttemptEnd::Withheld);
    }
    let added_headers = AddedHeaders {
        target: &dispatch.target,
        team: dispatch.team.as_ref(),
        time_left: deadline.since(now),
        urgency: dispatch.urgency,
        last_event: broken.map(|broken| broken.last_event.as_str()),
    };
    let mut out = Request::new(Full::new(request.body.clone()));
    *out.method_mut() = request.method.clone();
    *out.uri_mut() = request.uri.clone();
    *out.headers_mut() = forward_headers(&request.headers, &added_headers);
    let reroute_at = dispatch.reroute_at.unwrap_or(deadline);
    let answer = async {
        let response = match conn.exchange(out).await {
            Ok(response) => response,
            Err(ConnError::NotSent) => return AttemptOutcome::End(AttemptEnd::NotSent),
            Err(ConnError::Lost | ConnError::Silent | ConnError::TooLong) => {
                return AttemptOutcome::End(AttemptEnd::Lost)
            }
        };
        read_response(host, (id, now), dispatch, (request, broken), response, conn).await
    };
    let mut answer = std::pin::pin!(answer);
    let mut limit = reroute_at.min(deadline);
    loop {
        tokio::select! {
            outcome = &mut answer => return outcome,
            () = sleep_until(limit) => {}
        }
        let now = boot_time();
        if now >= deadline || host.dispatcher.borrow_mut().should_reroute(now, id) {
            return AttemptOutcome::End(AttemptEnd::Silent);
        }
        limit = next_check(now, deadline);
    }
}

/// Waits until the list of targets is fresh again.
pub(crate) async fn wait_for_fresh_list(host: &Host, until: Time) {
    LogLine::new("list_outdated").info();
    while !host.is_list_fresh(boot_time()) && boot_time() < until {
        tokio::select! {
            () = host.list_refreshed.notified() => {}
            () = sleep_until(until) => {}
        }
    }
}

/// Returns when to check again whether another target can serve a request whose target has not
/// answered in time.
fn next_check(now: Time, deadline: Time) -> Time {
    const CHECK_INTERVAL: Duration = Duration::from_millis(200);
    (now + CHECK_INTERVAL).min(deadline)
}

/// Reads the answer of a target up to its end, or up to the first event of a stream.
async fn read_response(
    host: &Host,
    (id, sent_at): (u64, Time),
    dispatch: &Dispatch,
    (request, broken): (&ForwardRequest, Option<&BrokenStream>),
    response: Response<Incoming>,
    mut conn: PooledConn,
) -> AttemptOutcome {
    let head = read_answer(response.status(), response.headers(), request.attempt_id.as_ref());
    let sender = head.instance.as_ref().unwrap_or(&dispatch.target);
    // A misdirected status without a server identity may come from another server that now has this
    // address, so it says nothing about the target.
    if head.instance.is_some() || response.status() != StatusCode::MISDIRECTED_REQUEST {
        apply_target_notice(host, sender, head.notice);
        // A late answer to another request, or one that the target did not complete, may lack the
        // limit although it holds.
        let is_complete = head.is_sealed && head.matches_attempt;
        let attempt = request.attempt_id.as_ref().and_then(|value| value.to_str().ok());
        let notice = (head.notice.limit, is_complete);
        record_limit(host, sender, sent_at, notice, attempt.unwrap_or_default());
        record_cold(host, sender, sent_at, head.notice.cold);
    }
    if let Some(end) = classify_answer(&head, response.status(), dispatch, conn.is_used) {
        if end.is_not_run() && end != AttemptEnd::Replaced {
            conn.record_refusal(request.attempt_id.as_ref());
            let skipping = skip_body(response.into_body(), MAX_REFUSAL_BYTES);
            if let Ok(Ok(())) = tokio::time::timeout(REFUSAL_TIMEOUT, skipping).await {
                host.conn_pool.borrow_mut().put(boot_time(), dispatch.address, conn);
            }
        }
        return AttemptOutcome::End(end);
    }
    host.dispatcher.borrow_mut().record_answer_head(boot_time(), id);
    let status = response.status();
    let ends_by_close = !response.headers().contains_key(CONTENT_LENGTH)
        && !response.headers().contains_key(TRANSFER_ENCODING);
    let headers = answer_headers(response.headers());
    if request.is_stream && status.is_success() {
        if broken.is_some_and(|broken| !broken.is_continued_by(status, &headers)) {
            return AttemptOutcome::End(AttemptEnd::Broken);
        }
        let (conn, address) = (conn, dispatch.address);
        return start_stream(
            host,
            (id, broken),
            head,
            (status, headers, response.into_body(), ends_by_close),
            (conn, address),
        )
        .await;
    }
    let buffer = host.request_buffers.open(BufferOwner::Server(dispatch.address));
    let body = match read_body(response.into_body(), MAX_BUFFERED_BYTES, buffer).await {
        Ok(body) => body,
        Err(error) => {
            log_unread(host, "answer_unread", dispatch.address, error);
            return AttemptOutcome::End(AttemptEnd::Broken);
        }
    };
    let now = boot_time();
    host.dispatcher.borrow_mut().record_answer_start(now, id, head.load);
    host.conn_pool.borrow_mut().put(now, dispatch.address, conn);
    let answer = CompleteAnswer { status, headers, body };
    if status.is_server_error() {
        return AttemptOutcome::Failed(answer);
    }
    AttemptOutcome::Complete(answer)
}

/// Logs why a target's answer was not read to its end, with the memory that all buffers take.
pub(crate) fn log_unread(host: &Host, event: &'static str, address: SocketAddr, error: BodyError) {
    LogLine::new(event)
        .text("address", &address)
        .text("error", &error)
        .with("buffered", host.request_buffers.usage().used.0)
        .info();
}

/// Applies what a target asks of this daemon in the headers of an answer of any kind: to send
/// nothing more because the target leaves, or to pause.
pub(crate) fn apply_target_notice(host: &Host, target: &TargetName, notice: TargetNotice) {
    let now = boot_time();
    if notice.is_leaving && host.dispatcher.borrow_mut().record_leaving(now, target) {
        LogLine::new("target_leaves").text("target", target).with("source", "its answer").info();
        crate::orders::update_leader_targets(host);
        host.report_due.notify_one();
    }
    if let Some(span) = notice.retry_after {
        let until = host.dispatcher.borrow_mut().pause_target(now, target, span);
        if let Some(state) = host.leader_state.borrow_mut().as_mut() {
            state.leader.pause_target(target, until);
        }
        LogLine::new("target_spared")
            .text("target", target)
            .with("asked_ms", span.as_millis() as u64)
            .with("until_ms", until.since(now).as_millis() as u64)
            .info();
    }
}

/// Records what the answer to a request that was sent at `sent_at` says about its target's limit.
/// `answer` identifies the answer in the log: the attempt, or the kind of call.
pub(crate) fn record_limit(
    host: &Host,
    target: &TargetName,
    sent_at: Time,
    (notice, is_complete): (LimitNotice, bool),
    answer: &str,
) {
    let mut dispatcher = host.dispatcher.borrow_mut();
    let known = dispatcher.targets().limit(target);
    dispatcher.record_limit(boot_time(), target, sent_at, notice, is_complete);
    if dispatcher.targets().limit(target) != known {
        log_limit(&dispatcher, target, answer);
        host.report_due.notify_one();
    }
}

/// Logs a target's limit after a change.
pub(crate) fn log_limit(dispatcher: &RequestDispatcher, target: &TargetName, source: &str) {
    let rate = dispatcher.targets().limit(target).map(RequestRate::per_second);
    LogLine::new("target_limit")
        .text("target", target)
        .with("per_second", rate)
        .with("request", source)
        .info();
}

/// Records what the answer to a call that was sent at `sent_at` says about how long its target stays
/// cold.
pub(crate) fn record_cold(host: &Host, target: &TargetName, sent_at: Time, notice: ColdNotice) {
    let mut dispatcher = host.dispatcher.borrow_mut();
    match notice {
        ColdNotice::Absent => return,
        ColdNotice::Malformed => {
            if dispatcher.targets_mut().record_bad_cold(target) {
                log_ignored_cold("target", target);
            }
            return;
        }
        ColdNotice::Left(_) => {}
    }
    if dispatcher.record_cold(boot_time(), target, sent_at, notice) {
        host.report_due.notify_one();
    }
    drop(dispatcher);
    log_cold_changes(host);
}

/// Logs the targets that have become cold or warm since the last call.
pub(crate) fn log_cold_changes(host: &Host) {
    let changes = host.dispatcher.borrow_mut().targets_mut().take_cold_changes(boot_time());
    for (target, left) in changes {
        LogLine::new("target_cold")
            .text("target", &target)
            .with("is_cold", left.is_some())
            .with("left_ms", left.map(|left| left.as_millis() as u64))
            .info();
    }
}

/// Logs that a statement of how long targets are cold can't be right. `kind` is `target` or `service`.
pub(crate) fn log_ignored_cold(kind: &'static str, name: &impl ToString) {
    LogLine::new("cold_ignored").text(kind, name).warn();
}

/// Returns how the attempt ended if the answer is not a valid answer to the request. `is_used` is set if
/// the connection has carried earlier requests.
fn classify_answer(
    head: &AnswerHead,
    status: StatusCode,
    dispatch: &Dispatch,
    is_used: bool,
) -> Option<AttemptEnd> {
    // On a connection that was used before, it may be a refusal of another request, once more.
    let may_be_stale = head.has_attempt || is_used;
    if !head.matches_attempt && may_be_stale {
        return Some(AttemptEnd::Broken);
    }
    if status == StatusCode::MISDIRECTED_REQUEST && !head.is_sealed {
        let is_other = head.instance.as_ref().is_some_and(|instance| *instance != dispatch.target);
        return Some(if is_other { AttemptEnd::Replaced } else { AttemptEnd::Lacking });
    }
    if !head.matches_attempt {
        return Some(AttemptEnd::Broken);
    }
    if head.not_run {
        return Some(AttemptEnd::Full(head.load));
    }
    (status.is_success() && !head.is_sealed).then_some(AttemptEnd::Broken)
}

/// Waits for the first event of a stream, or of the rest of a broken one. `ends_by_close` is set if the answer has neither a length nor
/// chunks.
async fn start_stream(
    host: &Host,
    (id, broken): (u64, Option<&BrokenStream>),
    head: AnswerHead,
    (status, headers, mut body, ends_by_close): (StatusCode, HeaderMap, Incoming, bool),
    (conn, address): (PooledConn, SocketAddr),
) -> AttemptOutcome {
    let mut splitter = EventSplitter::default();
    let mut charge = host.request_buffers.charge(BufferOwner::Server(address));
    loop {
        let frame = tokio::select! {
            () = charge.evicted() => {
                log_unread(host, "stream_unread", address, BufferError::Evicted.into());
                return AttemptOutcome::End(AttemptEnd::Broken);
            }
            frame = body.frame() => frame,
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            None if splitter.is_inside_event() || ends_by_close => {
                return AttemptOutcome::End(AttemptEnd::Broken);
            }
            // A stream without events is complete if its length or its chunks say so.
            None => {
                let answer = CompleteAnswer { status, headers, body: splitter.finish() };
                return AttemptOutcome::Complete(answer);
            }
            Some(Err(_)) => return AttemptOutcome::End(AttemptEnd::Broken),
        };
        let events = frame.data_ref().and_then(|data| splitter.push(data));
        if let Err(error) = charge.resize(splitter.capacity()) {
            log_unread(host, "stream_unread", address, error.into());
            return AttemptOutcome::End(AttemptEnd::Broken);
        }
        let Some(events) = events else { continue };
        if broken.is_some_and(|broken| !continue_after(&events, &broken.last_event)) {
            return AttemptOutcome::End(AttemptEnd::Broken);
        }
        let mut dispatcher = host.dispatcher.borrow_mut();
        dispatcher.record_answer_start(boot_time(), id, head.load);
        dispatcher.record_stream_start(id);
        drop(dispatcher);
        let first_events = Some(events);
        let stream =
            OpenStream { status, headers, first_events, splitter, charge, body, conn, address };
        return AttemptOutcome::Stream(Box::new(stream));
    }
}
