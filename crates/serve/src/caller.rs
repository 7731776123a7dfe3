//! Clients' requests.

use std::convert::Infallible;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use base::{ResultCode, Time};
use bytes::Bytes;
use daemon::boot_time;
use front::{Arrival, AttemptEnd, NextAction, Refusal, Step};
use futures::StreamExt;
use http_body_util::{BodyExt, Either, Limited, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, Response};
use platform::request::read_head;

use crate::answer::{closing, full, plain, refusal, with_head, ReplyBody, WholeAnswer};
use crate::exchange::{attempt, OpenStream, OutRequest, Outcome};
use crate::host::{sleep_until, Host};
use crate::peer;
use crate::trail::Line;

/// How long after SIGTERM requests are still taken: the balancer needs two looks, a second apart.
const LATE_AFTER: Duration = Duration::from_millis(3_000);
/// How long after SIGTERM requests may wait for a load or an allowance: what is sent later could
/// not end before the process does.
const WAIT_AFTER_STOP: Duration = Duration::from_millis(2_500);
/// Longest time for receiving a body that names no deadline.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// How long a request waits for a process that has just started to know what exists.
const LAYOUT_WAIT: Duration = Duration::from_millis(1_200);
/// When to come back to another daemon while this one stops.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Ends a request in the desk when its client goes away, which drops the future or the body.
struct RequestGuard {
    host: Rc<Host>,
    id: u64,
    attempt: String,
    since: Time,
    /// When a stream's first event arrived.
    first: Option<Time>,
    done: bool,
}

impl RequestGuard {
    fn line(&self, event: &'static str) -> Line {
        let ms = boot_time().since(self.since).as_millis();
        Line::new(event)
            .with("request", self.attempt.as_str())
            .with("after_ms", u64::try_from(ms).unwrap_or(u64::MAX))
    }

    /// Notes how the present attempt ended.
    fn ended(&mut self, end: AttemptEnd) -> NextAction {
        let after = self.host.desk.borrow_mut().ended(boot_time(), self.id, end);
        self.host.metrics.attempt_ended(end_name(end));
        self.done = after != NextAction::Retry;
        if end != AttemptEnd::Served {
            let next = match after {
                NextAction::Retry => "again",
                NextAction::PassOn => "pass_on",
                NextAction::Final(_) => "final",
            };
            self.line("attempt_ended").with("end", end_name(end)).with("next", next).info();
        }
        after
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.done {
            self.host.desk.borrow_mut().abandon(boot_time(), self.id);
            self.line("caller_gone").info();
        }
    }
}

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
        AttemptEnd::Failed => "failed",
        AttemptEnd::Served => "served",
        AttemptEnd::Abandoned => "abandoned",
    }
}

/// Answers one request.
pub(crate) async fn handle(
    host: Rc<Host>,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Infallible> {
    let stopping = host.stopping.get();
    let response = if stopping.is_some_and(|at| boot_time().since(at) > LATE_AFTER) {
        let attempt = read_head(request.headers()).attempt;
        let refused = Refusal::new(ResultCode::NotReady, "stopping").after(STOP_RETRY_AFTER);
        refusal(refused, attempt.as_ref())
    } else {
        answer(host.clone(), request).await
    };
    host.metrics.answered(response.status().as_u16());
    Ok(if stopping.is_some() { closing(response) } else { response })
}

async fn answer(host: Rc<Host>, request: Request<Incoming>) -> Response<ReplyBody> {
    let since = boot_time();
    let (head, body) = request.into_parts();
    let said = read_head(&head.headers);
    let limit = match host.desk.borrow().layout() {
        Some(layout) => usize::try_from(layout.limits().body.0).unwrap_or(usize::MAX),
        None => 0,
    };
    if limit > 0 && body.size_hint().lower() > limit as u64 {
        return closing(plain(ResultCode::TooLarge));
    }
    let receiving = said.time_left.map_or(BODY_LIMIT, |left| left.min(BODY_LIMIT));
    let reading = Limited::new(body, limit.max(64 << 10)).collect();
    let body = match tokio::time::timeout(receiving, reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return closing(plain(ResultCode::TooLarge));
        }
        Ok(Err(_)) => return closing(plain(ResultCode::BadRequest)),
        Err(_) => return closing(plain(ResultCode::CallerTimeout)),
    };
    let attempt = said.attempt.as_ref().and_then(|value| value.to_str().ok());
    let attempt = attempt.unwrap_or_default().to_owned();
    let mut hasher = DefaultHasher::new();
    attempt.hash(&mut hasher);
    wait_layout(&host, since + LAYOUT_WAIT.min(receiving)).await;
    let arrival = Arrival {
        host: host_name(&head),
        path: head.uri.path().to_owned(),
        key: said.key.as_ref().map(base::SecretKey::hash),
        time_left: said.time_left.map(|left| left.saturating_sub(boot_time().since(since))),
        model: said.model,
        tokens: said.tokens,
        parts: said.parts,
        draw: hasher.finish(),
    };
    let admitted = host.desk.borrow_mut().admit(boot_time(), &arrival);
    let id = match admitted {
        Ok(id) => id,
        Err(refused) => {
            Line::new("refused")
                .with("request", attempt)
                .with("code", refused.code.number())
                .with("reason", refused.reason)
                .with("path", arrival.path)
                .with("layout", host.desk.borrow().version().0)
                .info();
            host.metrics.refused(refused.code.number());
            return refusal(refused, said.attempt.as_ref());
        }
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    // The path was parsed out of the request's own head.
    let uri = path.parse().unwrap_or_default();
    let stream = host.desk.borrow().route_of(id).is_some_and(|route| route.kind.is_stream());
    let out = OutRequest {
        method: head.method,
        uri,
        headers: head.headers,
        body,
        attempt: said.attempt,
        stream,
    };
    let guard = RequestGuard { host: host.clone(), id, attempt, since, first: None, done: false };
    let route = host.desk.borrow().route_of(id).map(|route| route.name.clone());
    let charge = host.desk.borrow().charge_of(id).map(|(team, cost)| (team.to_string(), cost));
    let (team, cost) = charge.unwrap_or_default();
    guard
        .line("admitted")
        .with("route", route.unwrap_or_default())
        .with("team", team)
        .with("cost", cost)
        .with("model", arrival.model.map(|model| model.to_string()).unwrap_or_default())
        .with("layout", host.desk.borrow().version().0)
        .info();
    host.sync.notify_one();
    serve(guard, out).await
}

/// Waits for a layout: a process that has just started has one soon, and then serves.
async fn wait_layout(host: &Host, until: Time) {
    while host.desk.borrow().layout().is_none() && boot_time() < until {
        tokio::select! {
            () = host.changed.notified() => {}
            () = sleep_until(until) => {}
        }
    }
}

fn host_name(head: &hyper::http::request::Parts) -> String {
    let header = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let name = head.uri.host().or(header).unwrap_or_default();
    // Names of hosts hold no colon; what follows one is the port.
    name.split(':').next().unwrap_or_default().to_owned()
}

/// What came of a request: a target's answer, or a refusal.
enum Found {
    Whole(WholeAnswer),
    Stream(Box<OpenStream>),
    Refused(Refusal),
}

async fn serve(mut guard: RequestGuard, out: OutRequest) -> Response<ReplyBody> {
    let host = guard.host.clone();
    match find(&mut guard, &out, None).await {
        Found::Whole(answer) => {
            host.metrics.whole_answer(boot_time().since(guard.since));
            guard.line("answered").with("status", answer.status.as_u16()).info();
            answer.into_response()
        }
        Found::Stream(mut open) => {
            host.metrics.first_byte(boot_time().since(guard.since));
            let headers = std::mem::take(&mut open.headers);
            let deadline = host.desk.borrow().deadline(guard.id);
            let status = open.status;
            guard.first = Some(boot_time());
            let flow = StreamFlow {
                deadline: deadline.unwrap_or_else(boot_time),
                guard,
                out,
                open: Some(*open),
            };
            let pieces = futures::stream::unfold(flow, StreamFlow::next).boxed_local();
            with_head(status, headers, Either::Right(StreamBody::new(pieces)))
        }
        Found::Refused(refused) => {
            host.metrics.refused(refused.code.number());
            let after = refused.retry_after.map(|span| span.as_millis() as u64);
            let now = boot_time();
            let (heard_at, version) = {
                let desk = host.desk.borrow();
                (desk.last_leader().1, desk.version().0)
            };
            guard
                .line("refused")
                .with("layout", version)
                .with("leader_heard_ms_ago", now.since(heard_at).as_millis() as u64)
                .with("code", refused.code.number())
                .with("reason", refused.reason)
                .with("retry_after_ms", after.unwrap_or(0))
                .info();
            refusal(refused, out.attempt.as_ref())
        }
    }
}

/// Carries out the desk's steps until a target answers or the request is refused.
async fn find(guard: &mut RequestGuard, out: &OutRequest, last_event: Option<&str>) -> Found {
    let (host, id) = (guard.host.clone(), guard.id);
    loop {
        // A notification between the step and the wait must not be missed.
        let changed = host.changed.notified();
        let step = host.desk.borrow_mut().step(boot_time(), id);
        let dispatch = match step {
            Step::Send(dispatch) => dispatch,
            Step::Fetch(target, subject) => {
                let end = peer::fetch(&host, &target, &subject).await;
                host.desk.borrow_mut().finish_fetch(boot_time(), id, end);
                guard
                    .line("adapter_asked")
                    .text("target", &target)
                    .text("adapter", &subject)
                    .with("end", format!("{end:?}"))
                    .info();
                continue;
            }
            Step::Wait(until) => {
                let stop = host.stopping.get().map(|at| at + WAIT_AFTER_STOP);
                if stop.is_some_and(|stop| boot_time() >= stop) {
                    guard.done = true;
                    return Found::Refused(host.desk.borrow_mut().withdraw(boot_time(), id));
                }
                host.sync.notify_one();
                tokio::select! {
                    () = changed => {}
                    () = sleep_until(stop.map_or(until, |stop| until.min(stop))) => {}
                }
                continue;
            }
            Step::Refuse(refused) => {
                guard.done = true;
                return Found::Refused(refused);
            }
        };
        let note = dispatch.note;
        guard
            .line("sent")
            .text("target", &dispatch.target)
            .with("candidates", note.candidates)
            .with("estimate_ms", note.estimate.as_millis() as u64)
            .with("kept_tokens", note.kept_tokens)
            .with("listing_age_ms", note.listing_age.as_millis() as u64)
            .info();
        let outcome = attempt(&host, id, &dispatch, out, last_event).await;
        let (end, failed) = match outcome {
            Outcome::Stream(open) => return Found::Stream(open),
            Outcome::Whole(answer) => {
                guard.ended(AttemptEnd::Served);
                return Found::Whole(answer);
            }
            Outcome::Failed(answer) => (AttemptEnd::Failed, Some(answer)),
            Outcome::End(end) => (end, None),
        };
        match (guard.ended(end), failed) {
            (NextAction::Retry, _) => {}
            (NextAction::PassOn, Some(answer)) => return Found::Whole(answer),
            (NextAction::Final(refused), _) => return Found::Refused(refused),
            (NextAction::PassOn, None) => {
                let code = ResultCode::OutcomeUnknown;
                return Found::Refused(Refusal::new(code, "no answer to pass on"));
            }
        }
    }
}

/// A stream on its way to a client.
struct StreamFlow {
    guard: RequestGuard,
    out: OutRequest,
    deadline: Time,
    /// None once the stream has ended.
    open: Option<OpenStream>,
}

type Piece = Result<Frame<Bytes>, io::Error>;

impl StreamFlow {
    async fn next(mut self) -> Option<(Piece, StreamFlow)> {
        loop {
            let open = self.open.as_mut()?;
            if let Some(first) = open.first.take() {
                return Some((Ok(Frame::data(first)), self));
            }
            let (host, id) = (&self.guard.host, self.guard.id);
            let resumable = open.cutter.last_id().is_some()
                && host.desk.borrow().route_of(id).is_some_and(|route| route.kind.is_repeatable());
            let end = tokio::select! {
                frame = open.body.frame() => match frame {
                    Some(Ok(frame)) => {
                        let events = frame.data_ref().and_then(|data| open.cutter.push(data));
                        match events {
                            Some(events) => return Some((Ok(Frame::data(events)), self)),
                            None => continue,
                        }
                    }
                    None => return self.finish(),
                    Some(Err(_)) => AttemptEnd::Broken,
                },
                // A pause is no reason to leave a target that may still be at work: it would go on
                // beside the next one. A dead connection ends by its own probes.
                () = sleep_until(self.deadline) => {
                    if boot_time() < self.deadline {
                        continue;
                    }
                    AttemptEnd::Silent
                }
            };
            if !self.resume(end, resumable).await {
                let error = io::Error::other("the target broke off");
                return Some((Err(error), self));
            }
        }
    }

    /// Ends a stream that is whole.
    fn finish(mut self) -> Option<(Piece, StreamFlow)> {
        let open = self.open.take()?;
        self.guard.ended(AttemptEnd::Served);
        self.guard.host.metrics.whole_answer(boot_time().since(self.guard.since));
        let first = self.guard.first.map_or(0, |at| at.since(self.guard.since).as_millis() as u64);
        let line = self.guard.line("answered").with("status", open.status.as_u16());
        line.with("first_ms", first).info();
        let mut cutter = open.cutter;
        let rest = cutter.finish();
        self.guard.host.pool.borrow_mut().put(boot_time(), open.address, open.link);
        (!rest.is_empty()).then(|| (Ok(Frame::data(rest)), self))
    }

    /// Goes on with the stream at another target. Returns false when that is not possible.
    async fn resume(&mut self, end: AttemptEnd, resumable: bool) -> bool {
        let Some(open) = self.open.take() else { return false };
        let last = open.cutter.last_id().map(str::to_owned);
        drop(open);
        let after = self.guard.ended(end);
        if after != NextAction::Retry || !resumable {
            if after == NextAction::Retry {
                self.guard.done = false;
            }
            return false;
        }
        match find(&mut self.guard, &self.out, last.as_deref()).await {
            Found::Stream(mut open) => {
                // Until the new target sends events, the last one that the client has counts.
                if let Some(last) = last {
                    open.cutter.start_after(last);
                }
                self.open = Some(*open);
                true
            }
            Found::Whole(_) | Found::Refused(_) => false,
        }
    }
}

/// Answers what the balancer and scrapers ask.
pub(crate) fn probe(host: &Host, path: &str) -> Response<ReplyBody> {
    if path == platform::READY_PATH {
        if host.is_ready() {
            return Response::new(full("ready\n"));
        }
        return plain(ResultCode::NotReady);
    }
    let mut response = Response::new(full(host.metrics_text()));
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, HeaderValue::from_static("text/plain; version=1.0.0"));
    response
}
