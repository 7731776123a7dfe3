//! Handles clients' requests: admission, attempts on targets, and streaming of the answer.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use base::{ResultCode, Time};
use buffer::{read_body, skip_body, BodyError, BufferError, BufferOwner};
use bytes::Bytes;
use daemon::{boot_time, wall_ms};
use fleet::PromptPart;
use front::{Arrival, AttemptEnd, NextAction, Refusal, Step};
use futures::StreamExt;
use http_body_util::{BodyExt, Either, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Request, Response};
use limit::RequestRate;
use platform::request::read_head;
use suspect::{ContentDigest, RequestDigest, UnixMillis};

use crate::answer::{
    build_answer, full_body, refusal_answer, refusal_for_code, with_close, CompleteAnswer,
    ReplyBody,
};
use crate::conn::is_refused;
use crate::events::PauseRecord;
use crate::exchange::{
    log_unread, run_attempt, AttemptOutcome, BrokenStream, ForwardRequest, OpenStream,
};
use crate::handover::{self, Handover, HandoverEnd};
use crate::host::{sleep_until, Host};
use crate::logging::LogLine;
use crate::origins::{self, OriginSearch};
use crate::{path, peer};

/// Longest time to receive the body of a request. An earlier deadline shortens it.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest body that is read before the first layout.
const MIN_BODY_LIMIT: usize = 64 << 10;
/// How long a request waits for a process that has just started to read its configuration.
const MAX_LAYOUT_WAIT: Duration = Duration::from_millis(1_200);
/// Retry-after time that clients get while this daemon stops; another daemon can serve them at
/// once.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(50);

/// How long the body of a request is read that is refused because the daemon stops.
const REFUSED_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Retry-after time of a stream whose beginning the store could not be asked for.
const LOOKUP_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-after time of a request whose targets no daemon reaches.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-after time of a request whose body didn't fit into the daemon's memory.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time limit of finding out whether a target's process has ended.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Most parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Abandons a request in the dispatcher when its client disconnects, which drops the handler's
/// future or the answer's body.
struct RequestGuard {
    host: Rc<Host>,
    id: u64,
    /// Identity of the request, for the log.
    digest: RequestDigest,
    /// Identity of the client's attempt, for the log.
    attempt_id: String,
    received_at: Time,
    /// When the first event of a stream arrived.
    first_event_at: Option<Time>,
    /// Whether the dispatcher has finished the request.
    is_done: bool,
    /// Whether a peer has handed the request over. It isn't handed on.
    is_from_peer: bool,
}

impl RequestGuard {
    fn log_line(&self, event: &'static str) -> LogLine {
        let ms = boot_time().since(self.received_at).as_millis();
        LogLine::new(event)
            .with("request", self.attempt_id.as_str())
            .with("after_ms", u64::try_from(ms).unwrap_or(u64::MAX))
    }

    /// Checks whether the target crashed when it was about to answer the request. If so, records the
    /// crash and returns [`AttemptEnd::Crashed`], and the given end otherwise.
    async fn check_crash(&self, end: AttemptEnd) -> AttemptEnd {
        if !matches!(end, AttemptEnd::Lost | AttemptEnd::Broken) {
            return end;
        }
        let address = self.host.dispatcher.borrow().suspect_address(boot_time(), self.id);
        let Some(address) = address else {
            self.log_line("crash_unchecked").text("digest", &self.digest).info();
            return end;
        };
        if !is_refused(address, CRASH_CHECK_TIMEOUT).await || self.is_cut_off().await {
            self.log_line("crash_excluded").text("digest", &self.digest).info();
            return end;
        }
        let mut dispatcher = self.host.dispatcher.borrow_mut();
        let Some(crash) = dispatcher.record_crash(boot_time(), UnixMillis(wall_ms()), self.id)
        else {
            return end;
        };
        self.log_line("crash_suspect").text("crash", &crash).text("digest", &self.digest).info();
        drop(dispatcher);
        self.host.evidence_changed.notify_one();
        AttemptEnd::Crashed
    }

    /// Returns whether this daemon reaches no target near the request's either, so that the refused
    /// connection says nothing about that one.
    async fn is_cut_off(&self) -> bool {
        let running =
            self.host.dispatcher.borrow().running_on(self.id).map(|(name, _)| name.clone());
        let Some(target) = running else { return false };
        path::record_connection(&self.host, &target, false);
        path::is_cut_off(&self.host, &target).await
    }

    /// Records how the current attempt ended and returns what to do next.
    fn end_attempt(&mut self, end: AttemptEnd) -> NextAction {
        let now = boot_time();
        let mut dispatcher = self.host.dispatcher.borrow_mut();
        let running = dispatcher.running_on(self.id);
        let target = running.map(|(target, _)| target.to_string()).unwrap_or_default();
        let progress = running.map(|(_, progress)| progress).unwrap_or_default();
        let action = dispatcher.finish_attempt(now, self.id, end);
        drop(dispatcher);
        self.host.metrics.count_attempt_end(end_name(end));
        self.is_done = action != NextAction::Retry;
        if end != AttemptEnd::Served {
            let next = match action {
                NextAction::Retry => "again",
                NextAction::PassOn => "pass_on",
                NextAction::Final(_) => "final",
            };
            self.log_line("attempt_ended")
                .with("end", end_name(end))
                .with("next", next)
                .with("target", target)
                .with("answer", progress.name())
                .with("answer_age_ms", progress.age(now).map(|age| age.as_millis() as u64))
                .info();
        }
        action
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.is_done {
            self.host.dispatcher.borrow_mut().abandon(boot_time(), self.id);
            self.log_line("caller_gone").info();
        }
    }
}

/// Returns the name of an attempt's end in logs and metrics.
fn end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::NotSent => "not_sent",
        AttemptEnd::Withheld => "withheld",
        AttemptEnd::Full(_) => "full",
        AttemptEnd::Lacking => "lacking",
        AttemptEnd::Replaced => "replaced",
        AttemptEnd::Lost => "lost",
        AttemptEnd::Silent => "silent",
        AttemptEnd::Broken => "broken",
        AttemptEnd::Crashed => "crashed",
        AttemptEnd::Failed => "failed",
        AttemptEnd::Served => "served",
        AttemptEnd::Abandoned => "abandoned",
    }
}

/// Answers one request of a client.
pub(crate) async fn handle(host: Rc<Host>, request: Request<Incoming>) -> Response<ReplyBody> {
    let response = if host.accepts_requests(boot_time()) {
        match receive(host.clone(), request, false).await {
            Some(response) => response,
            None => refusal_for_code(ResultCode::TargetUnreachable),
        }
    } else {
        refuse_late(&host, request).await
    };
    host.metrics.count_answer(response.status().as_u16());
    response
}

/// Answers a request that a peer hands over. Returns `None` if its targets can't be reached from here
/// either.
pub(crate) async fn handle_for_peer(
    host: Rc<Host>,
    request: Request<Incoming>,
) -> Option<Response<ReplyBody>> {
    receive(host, request, true).await
}

/// Refuses a request that arrives too late in a planned stop. Its body is skipped, because requests
/// behind it may have been read and need answers as well.
async fn refuse_late(host: &Host, request: Request<Incoming>) -> Response<ReplyBody> {
    let attempt = read_head(request.headers()).attempt;
    let limit = body_limit(host);
    let skipping = skip_body(request.into_body(), limit.max(MIN_BODY_LIMIT));
    let skipped = tokio::time::timeout(REFUSED_BODY_TIMEOUT, skipping).await;
    let response = refuse_while_stopping(attempt.as_ref());
    // Without the end of the body there is no request behind it.
    if matches!(skipped, Ok(Ok(()))) {
        response
    } else {
        with_close(response)
    }
}

/// Returns the largest body that the layout allows, zero before the first layout.
fn body_limit(host: &Host) -> usize {
    let dispatcher = host.dispatcher.borrow();
    let limit = dispatcher.layout().map_or(0, |layout| layout.limits().body.0);
    usize::try_from(limit).unwrap_or(usize::MAX)
}

/// Refuses a request that has not run because the daemon stops.
fn refuse_while_stopping(attempt: Option<&HeaderValue>) -> Response<ReplyBody> {
    let refused = Refusal::new(ResultCode::NotReady, "stopping").after(STOP_RETRY_AFTER);
    refusal_answer(refused, attempt)
}

/// Receives a request's body, admits the request and answers it. Returns `None` for a request from a peer
/// whose targets can't be reached.
async fn receive(
    host: Rc<Host>,
    request: Request<Incoming>,
    is_from_peer: bool,
) -> Option<Response<ReplyBody>> {
    let received_at = boot_time();
    let (head, body) = request.into_parts();
    let request_head = read_head(&head.headers);
    let limit = body_limit(&host);
    if limit > 0 && body.size_hint().lower() > limit as u64 {
        return Some(with_close(refusal_for_code(ResultCode::TooLarge)));
    }
    let body_timeout = request_head.time_left.map_or(BODY_TIMEOUT, |left| left.min(BODY_TIMEOUT));
    let number = host.next_request_number();
    let buffer = host.request_buffers.open(BufferOwner::Request(number));
    let reading = read_body(body, limit.max(MIN_BODY_LIMIT), buffer);
    let reading = tokio::time::timeout(body_timeout, reading);
    let body = tokio::select! {
        body = reading => body,
        () = host.last_answer_due() => {
            return Some(with_close(refuse_while_stopping(request_head.attempt.as_ref())));
        }
    };
    let body = match body {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLong)) => {
            return Some(with_close(refusal_for_code(ResultCode::TooLarge)));
        }
        Ok(Err(BodyError::Broken)) => {
            return Some(with_close(refusal_for_code(ResultCode::BadRequest)));
        }
        Ok(Err(BodyError::Evicted(error))) => {
            let buffered = host.request_buffers.usage().used.0;
            LogLine::new("body_unread").text("error", &error).with("buffered", buffered).info();
            let refused = Refusal::new(ResultCode::BuffersFull, "buffers are full");
            let refused = refused.after(FULL_RETRY_AFTER);
            return Some(with_close(refusal_answer(refused, request_head.attempt.as_ref())));
        }
        Ok(Err(BodyError::Stalled)) | Err(_) => {
            return Some(with_close(refusal_for_code(ResultCode::CallerTimeout)));
        }
    };
    let attempt_id = request_head.attempt.as_ref().and_then(|value| value.to_str().ok());
    let attempt_id = attempt_id.unwrap_or_default().to_owned();
    let mut hasher = DefaultHasher::new();
    attempt_id.hash(&mut hasher);
    wait_for_layout(&host, received_at + MAX_LAYOUT_WAIT.min(body_timeout)).await;
    // The body may have arrived long after the head.
    if !host.accepts_requests(boot_time()) {
        return Some(refuse_while_stopping(request_head.attempt.as_ref()));
    }
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut arrival = Arrival {
        host: host_name(&head),
        path: head.uri.path().to_owned(),
        key: request_head.key.as_ref().map(base::SecretKey::hash),
        time_left: None,
        model: request_head.model,
        tokens: request_head.tokens,
        parts: request_head.parts,
        content: ContentDigest::new(head.method.as_str(), path, &body),
        draw: hasher.finish(),
        origin: None,
    };
    let search = match request_head.is_continuation {
        true => {
            let resumes = request_head.resumes.as_deref();
            origins::find_origin(&host, &arrival, resumes, &attempt_id).await
        }
        false => OriginSearch::NotNeeded,
    };
    let unavailable = |reason| Refusal::new(ResultCode::StreamUnavailable, reason);
    let refused = match search {
        OriginSearch::NotNeeded => None,
        OriginSearch::Found(origin) => {
            arrival.origin = Some(origin);
            None
        }
        OriginSearch::Unknown => Some(unavailable("stream of an unknown version")),
        OriginSearch::Unavailable => {
            Some(unavailable("stream can't be looked up").after(LOOKUP_RETRY_AFTER))
        }
    };
    arrival.time_left =
        request_head.time_left.map(|left| left.saturating_sub(boot_time().since(received_at)));
    let digest = host.dispatcher.borrow().digest_of(&arrival);
    let admitted = match refused {
        Some(refused) => Err(refused),
        None => host.dispatcher.borrow_mut().admit(boot_time(), &arrival),
    };
    let id = match admitted {
        Ok(id) => id,
        Err(refused) => {
            LogLine::new("refused")
                .with("request", attempt_id)
                .with("code", refused.code.number())
                .with("reason", refused.reason)
                .with("path", arrival.path)
                .text("digest", &digest)
                .with("parts", shared_parts(&arrival.parts))
                .with("layout", host.dispatcher.borrow().version().0)
                .info();
            host.metrics.count_refusal(refused.code.number());
            return Some(refusal_answer(refused, request_head.attempt.as_ref()));
        }
    };
    // Parsing can't fail: the path comes from a request that hyper has parsed.
    let uri = path.parse().unwrap_or_default();
    let is_stream =
        host.dispatcher.borrow().route_of(id).is_some_and(|route| route.kind.is_stream());
    let forward = ForwardRequest {
        method: head.method,
        uri,
        headers: head.headers,
        body,
        attempt_id: request_head.attempt,
        is_stream,
    };
    let guard = RequestGuard {
        host: host.clone(),
        id,
        digest,
        attempt_id,
        received_at,
        first_event_at: None,
        is_done: false,
        is_from_peer,
    };
    let route = host.dispatcher.borrow().route_of(id).map(|route| route.name.clone());
    let parts = shared_parts(&arrival.parts);
    let charge =
        host.dispatcher.borrow().charge_of(id).map(|(team, cost)| (team.to_string(), cost));
    let (team, cost) = charge.unwrap_or_default();
    guard
        .log_line("admitted")
        .with("route", route.unwrap_or_default())
        .with("team", team)
        .with("cost", cost)
        .with("model", arrival.model.map(|model| model.to_string()).unwrap_or_default())
        .text("digest", &digest)
        .with("parts", parts)
        .with("layout", host.dispatcher.borrow().version().0)
        .with("is_from_peer", is_from_peer)
        .info();
    host.report_due.notify_one();
    respond(guard, forward).await
}

/// Waits until the first layout has been read. A process that has just started reads one soon.
async fn wait_for_layout(host: &Host, until: Time) {
    while host.dispatcher.borrow().layout().is_none() && boot_time() < until {
        tokio::select! {
            () = host.state_changed.notified() => {}
            () = sleep_until(until) => {}
        }
    }
}

/// Returns the ids of a prompt's parts for the log, without the last one, which is the request's own.
fn shared_parts(parts: &[PromptPart]) -> String {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let ids = shared.iter().take(MAX_LOGGED_PARTS).map(|part| format!("{:x}", part.id));
    ids.collect::<Vec<_>>().join(",")
}

fn host_name(head: &hyper::http::request::Parts) -> String {
    let header = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let name = head.uri.host().or(header).unwrap_or_default();
    // A host name contains no colon, so a colon starts the port.
    name.split(':').next().unwrap_or_default().to_owned()
}

/// The result of a request: a target's answer or a refusal.
enum RequestResult {
    Complete(CompleteAnswer),
    Stream(Box<OpenStream>),
    Refused(Refusal),
    /// A peer's answer.
    HandedOver(Response<ReplyBody>),
    /// A peer's request whose targets can't be reached.
    Declined,
}

/// Runs an admitted request and builds the answer to the client.
async fn respond(mut guard: RequestGuard, forward: ForwardRequest) -> Option<Response<ReplyBody>> {
    let host = guard.host.clone();
    let response = match run_attempts(&mut guard, &forward, None).await {
        RequestResult::Complete(answer) => {
            host.metrics.observe_answer_time(boot_time().since(guard.received_at));
            guard.log_line("answered").with("status", answer.status.as_u16()).info();
            answer.into_response()
        }
        RequestResult::Stream(mut stream) => {
            origins::record_begin(&host, guard.id, &guard.attempt_id).await;
            host.metrics.observe_first_byte(boot_time().since(guard.received_at));
            let headers = std::mem::take(&mut stream.headers);
            let deadline = host.dispatcher.borrow().deadline(guard.id);
            let status = stream.status;
            guard.first_event_at = Some(boot_time());
            let relay = StreamRelay {
                deadline: deadline.unwrap_or_else(boot_time),
                content_type: headers.get(CONTENT_TYPE).cloned(),
                guard,
                forward,
                stream: Some(*stream),
                pauses: PauseRecord::default(),
            };
            let frames = futures::stream::unfold(relay, StreamRelay::next).boxed_local();
            build_answer(status, headers, Either::Right(StreamBody::new(frames)))
        }
        RequestResult::Refused(refused) => {
            host.metrics.count_refusal(refused.code.number());
            let after = refused.retry_after.map(|span| span.as_millis() as u64);
            let now = boot_time();
            let (heard_at, version) = {
                let dispatcher = host.dispatcher.borrow();
                (dispatcher.last_leader().1, dispatcher.version().0)
            };
            guard
                .log_line("refused")
                .with("layout", version)
                .with("leader_heard_ms_ago", now.since(heard_at).as_millis() as u64)
                .with("code", refused.code.number())
                .with("reason", refused.reason)
                .with("retry_after_ms", after.unwrap_or(0))
                .info();
            refusal_answer(refused, forward.attempt_id.as_ref())
        }
        RequestResult::HandedOver(response) => response,
        RequestResult::Declined => return None,
    };
    Some(response)
}

/// Carries out the dispatcher's steps until a target answers or the request is refused.
async fn run_attempts(
    guard: &mut RequestGuard,
    forward: &ForwardRequest,
    broken: Option<&BrokenStream>,
) -> RequestResult {
    let (host, id) = (guard.host.clone(), guard.id);
    loop {
        // Created before the step, so that a notification between the step and the wait is not
        // lost.
        let changed = host.state_changed.notified();
        if !host.accepts_requests(boot_time()) {
            return withdraw(guard);
        }
        if broken.is_none() && host.dispatcher.borrow().should_hand_over(id) {
            if let Some(result) = hand_over(guard, forward).await {
                return result;
            }
        }
        let step = host.dispatcher.borrow_mut().step(boot_time(), id);
        let dispatch = match step {
            Step::Send(dispatch) => dispatch,
            Step::Fetch(target, subject) => {
                let end = peer::fetch_adapter(&host, &target, &subject).await;
                host.dispatcher.borrow_mut().finish_fetch(boot_time(), id, end);
                guard
                    .log_line("adapter_asked")
                    .text("target", &target)
                    .text("adapter", &subject)
                    .with("end", format!("{end:?}"))
                    .info();
                continue;
            }
            Step::Permit(request) => {
                let asked_at = boot_time();
                let (end, fence) = peer::ask_permit(&host, &request).await;
                host.dispatcher.borrow_mut().finish_permit(boot_time(), asked_at, id, end);
                let statement = &request.statement;
                guard
                    .log_line("permit")
                    .text("target", &statement.target)
                    .with("per_second", statement.rate.map(RequestRate::per_second))
                    .with("cold_ms", request.cold.as_ref().map(|cold| cold.left_ms))
                    .with("purpose", format!("{:?}", request.purpose))
                    .with("end", format!("{end:?}"))
                    .with("fence", fence)
                    .info();
                continue;
            }
            Step::Reserve(request) => {
                let verdict = peer::reserve_prefill(&host, &request).await;
                host.dispatcher.borrow_mut().finish_reserve(boot_time(), id, verdict.as_ref());
                guard
                    .log_line("prefill_asked")
                    .with("candidates", request.candidates.len())
                    .with("objective_ms", request.objective_ms)
                    .with("verdict", format!("{verdict:?}"))
                    .info();
                continue;
            }
            Step::Wait(until) => {
                let wait_end = host.stop_schedule.get().map(|schedule| schedule.wait_until());
                if wait_end.is_some_and(|wait_end| boot_time() >= wait_end) {
                    return withdraw(guard);
                }
                host.report_due.notify_one();
                tokio::select! {
                    () = changed => {}
                    () = sleep_until(wait_end.map_or(until, |wait_end| until.min(wait_end))) => {}
                }
                continue;
            }
            Step::Refuse(refused) => {
                guard.is_done = true;
                return RequestResult::Refused(refused);
            }
        };
        let note = dispatch.note;
        guard
            .log_line("sent")
            .text("target", &dispatch.target)
            .with("candidates", note.candidates)
            .with("estimate_ms", note.estimate.as_millis() as u64)
            .with("kept_tokens", note.kept_tokens)
            .with("slowdown", note.slowdown_percent)
            .with("version", dispatch.version.as_ref().map(ToString::to_string))
            .with("listing_age_ms", note.listing_age.as_millis() as u64)
            .info();
        let outcome = tokio::select! {
            outcome = run_attempt(&host, id, &dispatch, forward, broken) => outcome,
            () = host.last_answer_due() => return end_unfinished(guard),
        };
        let (end, failed) = match outcome {
            AttemptOutcome::Stream(stream) => return RequestResult::Stream(stream),
            AttemptOutcome::Complete(answer) => {
                guard.end_attempt(AttemptEnd::Served);
                return RequestResult::Complete(answer);
            }
            AttemptOutcome::Failed(answer) => (AttemptEnd::Failed, Some(answer)),
            AttemptOutcome::End(end) => (guard.check_crash(end).await, None),
        };
        match (guard.end_attempt(end), failed) {
            (NextAction::Retry, _) => {}
            (NextAction::PassOn, Some(answer)) => return RequestResult::Complete(answer),
            (NextAction::Final(refused), _) => return RequestResult::Refused(refused),
            (NextAction::PassOn, None) => {
                let code = ResultCode::OutcomeUnknown;
                return RequestResult::Refused(Refusal::new(code, "no answer to pass on"));
            }
        }
    }
}

/// Hands a request to a daemon that reaches its targets. Returns `None` if this daemon should go on with
/// the request itself.
async fn hand_over(guard: &mut RequestGuard, forward: &ForwardRequest) -> Option<RequestResult> {
    let (host, id) = (guard.host.clone(), guard.id);
    if guard.is_from_peer {
        guard.is_done = true;
        host.dispatcher.borrow_mut().hand_over(boot_time(), id);
        return Some(RequestResult::Declined);
    }
    let deadline = host.dispatcher.borrow().deadline(id)?;
    let may_repeat = host.dispatcher.borrow().may_repeat(id);
    let handover =
        Handover { request: forward, attempt_id: &guard.attempt_id, deadline, may_repeat };
    let end = tokio::select! {
        end = handover::hand_over(&host, &handover) => end,
        () = host.last_answer_due() => {
            let code = ResultCode::OutcomeUnknown;
            HandoverEnd::Unknown(Refusal::new(code, "the daemon stops"))
        }
    };
    let now = boot_time();
    match end {
        HandoverEnd::Answered(response) => {
            host.dispatcher.borrow_mut().hand_over(now, id);
            guard.is_done = true;
            host.metrics.count_handover();
            Some(RequestResult::HandedOver(response))
        }
        HandoverEnd::Unknown(refused) => {
            // The peer accounts for the request, if it has it.
            host.dispatcher.borrow_mut().hand_over(now, id);
            guard.is_done = true;
            Some(RequestResult::Refused(refused))
        }
        HandoverEnd::Declined { is_final: false } => None,
        HandoverEnd::Declined { is_final: true } => {
            host.dispatcher.borrow_mut().hand_over(now, id);
            guard.is_done = true;
            let refused = Refusal::new(ResultCode::TargetUnreachable, "no host reaches a target");
            Some(RequestResult::Refused(refused.after(UNREACHABLE_RETRY_AFTER)))
        }
    }
}

/// Ends a request that no target is running because the daemon stops.
fn withdraw(guard: &mut RequestGuard) -> RequestResult {
    guard.is_done = true;
    let refused = guard.host.dispatcher.borrow_mut().withdraw(boot_time(), guard.id);
    RequestResult::Refused(refused)
}

/// Ends a request that a target may still be running because the daemon exits soon. It is unknown
/// whether the request runs, and its client gets an answer that says so.
fn end_unfinished(guard: &mut RequestGuard) -> RequestResult {
    guard.log_line("unfinished").info();
    match guard.end_attempt(AttemptEnd::Silent) {
        NextAction::Final(refused) => RequestResult::Refused(refused),
        NextAction::Retry => withdraw(guard),
        NextAction::PassOn => {
            let code = ResultCode::OutcomeUnknown;
            RequestResult::Refused(Refusal::new(code, "the daemon stops"))
        }
    }
}

/// Relays a stream from its target to the client.
struct StreamRelay {
    guard: RequestGuard,
    forward: ForwardRequest,
    deadline: Time,
    /// Content type of the client's answer, which is that of the first target.
    content_type: Option<HeaderValue>,
    /// `None` once the stream has ended.
    stream: Option<OpenStream>,
    pauses: PauseRecord,
}

type FrameResult = Result<Frame<Bytes>, io::Error>;

impl StreamRelay {
    /// Returns the next frame for the client, with the relay itself, or `None` at the end.
    async fn next(mut self) -> Option<(FrameResult, StreamRelay)> {
        loop {
            let stream = self.stream.as_mut()?;
            if let Some(first_events) = stream.first_events.take() {
                self.pauses.record_event(boot_time());
                return Some((Ok(Frame::data(first_events)), self));
            }
            let (host, id) = (&self.guard.host, self.guard.id);
            let is_resumable = stream.splitter.last_id().is_some()
                && !stream.splitter.is_split()
                && host
                    .dispatcher
                    .borrow()
                    .route_of(id)
                    .is_some_and(|route| route.kind.is_repeatable());
            // The timer is created anew for each frame, and never fires while the next one is ready.
            let is_late = boot_time() >= self.deadline;
            let end = tokio::select! {
                biased;
                () = std::future::ready(()), if is_late => AttemptEnd::Silent,
                () = stream.charge.evicted() => {
                    let error = BufferError::Evicted.into();
                    log_unread(host, "stream_unread", stream.address, error);
                    AttemptEnd::Broken
                }
                frame = stream.body.frame() => match frame {
                    Some(Ok(frame)) => {
                        let events = frame.data_ref().and_then(|data| stream.splitter.push(data));
                        let charged = stream.charge.resize(stream.splitter.capacity());
                        match events {
                            _ if charged.is_err() => AttemptEnd::Broken,
                            Some(events) => {
                                self.pauses.record_event(boot_time());
                                return Some((Ok(Frame::data(events)), self));
                            }
                            None => continue,
                        }
                    }
                    // The connection may have ended with the target rather than with the answer.
                    None if stream.splitter.is_inside_event() => AttemptEnd::Broken,
                    None => return self.finish(),
                    Some(Err(_)) => AttemptEnd::Broken,
                },
                // A pause alone doesn't end the attempt: the target may still be running the
                // request, and a second target would run it in parallel. Keep-alive probes detect a
                // dead connection.
                () = sleep_until(self.deadline) => {
                    if boot_time() < self.deadline {
                        continue;
                    }
                    AttemptEnd::Silent
                }
            };
            if !self.resume(end, is_resumable).await {
                let error = io::Error::other("the target broke off");
                return Some((Err(error), self));
            }
        }
    }

    /// Finishes a stream that has arrived completely.
    fn finish(mut self) -> Option<(FrameResult, StreamRelay)> {
        let stream = self.stream.take()?;
        self.guard.end_attempt(AttemptEnd::Served);
        self.guard.host.metrics.observe_answer_time(boot_time().since(self.guard.received_at));
        let first = self
            .guard
            .first_event_at
            .map_or(0, |at| at.since(self.guard.received_at).as_millis() as u64);
        let line = self.guard.log_line("answered").with("status", stream.status.as_u16());
        line.with("first_ms", first)
            .with("max_pause_ms", self.pauses.longest().as_millis() as u64)
            .info();
        let mut splitter = stream.splitter;
        let rest = splitter.finish();
        self.guard.host.conn_pool.borrow_mut().put(boot_time(), stream.address, stream.conn);
        (!rest.is_empty()).then(|| (Ok(Frame::data(rest)), self))
    }

    /// Resumes the stream on another target. Returns false if that is not possible.
    async fn resume(&mut self, end: AttemptEnd, is_resumable: bool) -> bool {
        let Some(stream) = self.stream.take() else { return false };
        let status = stream.status;
        let last = stream.splitter.last_id().map(str::to_owned);
        drop(stream);
        let end = self.guard.check_crash(end).await;
        let action = self.guard.end_attempt(end);
        if action != NextAction::Retry || !is_resumable {
            if action == NextAction::Retry {
                self.guard.is_done = false;
            }
            return false;
        }
        let Some(last_event) = last else { return false };
        let content_type = self.content_type.clone();
        let broken = BrokenStream { last_event, status, content_type };
        match run_attempts(&mut self.guard, &self.forward, Some(&broken)).await {
            RequestResult::Stream(stream) => {
                self.stream = Some(*stream);
                true
            }
            RequestResult::Complete(_)
            | RequestResult::Refused(_)
            | RequestResult::HandedOver(_)
            | RequestResult::Declined => false,
        }
    }
}

/// Answers the balancer's readiness probes and requests for metrics.
pub(crate) fn answer_probe(host: &Host, path: &str) -> Response<ReplyBody> {
    if path == platform::READY_PATH {
        if host.is_ready() {
            return Response::new(full_body("ready\n"));
        }
        return refusal_for_code(ResultCode::NotReady);
    }
    let mut response = Response::new(full_body(host.metrics_text()));
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, HeaderValue::from_static("text/plain; version=1.0.0"));
    response
}
