//! One attempt on a target.

use std::net::SocketAddr;
use std::time::Duration;

use base::{TargetName, Time};
use bytes::Bytes;
use daemon::boot_time;
use front::{AttemptEnd, Dispatch};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use platform::request::{
    answer_headers, forward_headers, read_answer, AddedHeaders, AnswerHead, TargetNotice,
};

use crate::answer::WholeAnswer;
use crate::events::EventCutter;
use crate::host::{sleep_until, Host};
use crate::link::{Link, LinkError};
use crate::trail::Line;

/// How long a connection to a target may take; a live one answers within a few milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);
/// Largest answer that is held whole before it is passed on.
const MAX_WHOLE_BYTES: usize = 8 << 20;
/// A decision that is older when its bytes would leave is taken again: the process was held up,
/// and the target may have left meanwhile.
const DECISION_LIFE: Duration = Duration::from_millis(900);
/// How long a request waits at a time for a recent list of targets: a call to the store that takes
/// longer has failed.
const VOUCH_LIMIT: Duration = Duration::from_millis(1_600);
/// How long an idle connection is used again for requests that may be repeated.
pub(crate) const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// The same for requests that may not. Only connections whose target says how long it keeps them
/// are used, and only for a part of that time: a target that closes meanwhile would leave it open
/// whether the request ran.
const SURE_IDLE_LIMIT: Duration = Duration::from_millis(800);

/// A client's request, ready to be sent as often as needed.
#[derive(Clone, Debug)]
pub(crate) struct OutRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) attempt: Option<HeaderValue>,
    pub(crate) stream: bool,
}

/// A stream whose first event has arrived.
pub(crate) struct OpenStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) first: Option<Bytes>,
    pub(crate) cutter: EventCutter,
    pub(crate) body: Incoming,
    pub(crate) link: Link,
    pub(crate) address: SocketAddr,
}

/// How an attempt ended, or went on.
pub(crate) enum Outcome {
    End(AttemptEnd),
    /// The target failed the request itself.
    Failed(WholeAnswer),
    Whole(WholeAnswer),
    Stream(Box<OpenStream>),
}

/// Sends a request to its target and waits for the answer, or for a stream's first event.
pub(crate) async fn attempt(
    host: &Host,
    id: u64,
    dispatch: &Dispatch,
    request: &OutRequest,
    last_event: Option<&str>,
) -> Outcome {
    let decided = boot_time();
    if !host.is_vouched(decided) {
        // The daemon is reading the store, and knows soon.
        wait_vouched(host, decided + VOUCH_LIMIT.min(dispatch.time_left)).await;
        return Outcome::End(AttemptEnd::Withheld);
    }
    let deadline = decided + dispatch.time_left;
    let idle = if dispatch.repeatable { IDLE_LIMIT } else { SURE_IDLE_LIMIT };
    let kept = host.pool.borrow_mut().take(decided, dispatch.address, idle);
    let kept = kept.filter(|link| dispatch.repeatable || link.keep_alive.is_some());
    // The answer to a request without an identity can't be told from a late copy of another one.
    let kept = kept.filter(|_| request.attempt.is_some());
    let mut link = match kept {
        Some(link) => link,
        None => {
            let limit = CONNECT_LIMIT.min(dispatch.time_left);
            match Link::open(dispatch.address, limit).await {
                Some(link) => link,
                None => return Outcome::End(AttemptEnd::NotSent),
            }
        }
    };
    let now = boot_time();
    // The target may have left, or asked to be spared, while the connection was made or the process
    // was held up.
    let may_send =
        host.is_vouched(now) && host.desk.borrow().targets().may_send(now, &dispatch.target);
    if now >= deadline || now.since(decided) > DECISION_LIFE || !may_send {
        return Outcome::End(AttemptEnd::Withheld);
    }
    let marks = AddedHeaders {
        target: &dispatch.target,
        team: dispatch.team.as_ref(),
        time_left: deadline.since(now),
        urgency: dispatch.urgency,
        last_event,
    };
    let mut out = Request::new(Full::new(request.body.clone()));
    *out.method_mut() = request.method.clone();
    *out.uri_mut() = request.uri.clone();
    *out.headers_mut() = forward_headers(&request.headers, &marks);
    let patience = dispatch.patience.unwrap_or(deadline);
    let answer = async {
        let response = match link.exchange(out).await {
            Ok(response) => response,
            Err(LinkError::NotSent) => return Outcome::End(AttemptEnd::NotSent),
            Err(LinkError::Lost) => return Outcome::End(AttemptEnd::Lost),
        };
        read(host, id, dispatch, request, response, link).await
    };
    let mut answer = std::pin::pin!(answer);
    let mut limit = patience.min(deadline);
    loop {
        tokio::select! {
            outcome = &mut answer => return outcome,
            () = sleep_until(limit) => {}
        }
        let now = boot_time();
        if now >= deadline || host.desk.borrow_mut().should_reroute(now, id) {
            return Outcome::End(AttemptEnd::Silent);
        }
        limit = next_look(now, deadline);
    }
}

/// Waits until the list of targets is recent again.
async fn wait_vouched(host: &Host, until: Time) {
    Line::new("list_outdated").info();
    while !host.is_vouched(boot_time()) && boot_time() < until {
        tokio::select! {
            () = host.vouched.notified() => {}
            () = sleep_until(until) => {}
        }
    }
}

/// Returns when to look again at an attempt whose patience is over while no other target could
/// serve the request.
fn next_look(now: Time, deadline: Time) -> Time {
    const LOOK_PAUSE: Duration = Duration::from_millis(200);
    (now + LOOK_PAUSE).min(deadline)
}

async fn read(
    host: &Host,
    id: u64,
    dispatch: &Dispatch,
    request: &OutRequest,
    response: Response<Incoming>,
    link: Link,
) -> Outcome {
    let head = read_answer(response.status(), response.headers(), request.attempt.as_ref());
    let teller = head.instance.as_ref().unwrap_or(&dispatch.target);
    // Another server at the address, which need not tell who it is, refuses with this status.
    if head.instance.is_some() || response.status() != StatusCode::MISDIRECTED_REQUEST {
        take_word(host, teller, head.notice);
    }
    if let Some(end) = judge(&head, response.status(), dispatch) {
        if end.is_not_run() && end != AttemptEnd::Replaced {
            // A refusal is short; its connection can be used again once it is read.
            if Limited::new(response.into_body(), MAX_WHOLE_BYTES).collect().await.is_ok() {
                host.pool.borrow_mut().put(boot_time(), dispatch.address, link);
            }
        }
        return Outcome::End(end);
    }
    let status = response.status();
    let headers = answer_headers(response.headers());
    if request.stream && status.is_success() {
        let (link, address) = (link, dispatch.address);
        return start_stream(
            host,
            id,
            head,
            (status, headers, response.into_body()),
            (link, address),
        )
        .await;
    }
    let Ok(body) = Limited::new(response.into_body(), MAX_WHOLE_BYTES).collect().await else {
        return Outcome::End(AttemptEnd::Broken);
    };
    let now = boot_time();
    host.desk.borrow_mut().record_answer_start(now, id, head.load);
    host.pool.borrow_mut().put(now, dispatch.address, link);
    let answer = WholeAnswer { status, headers, body: body.to_bytes() };
    if status.is_server_error() {
        return Outcome::Failed(answer);
    }
    Outcome::Whole(answer)
}

/// Takes what a target asks of this daemon with any of its answers.
pub(crate) fn take_word(host: &Host, target: &TargetName, word: TargetNotice) {
    let now = boot_time();
    if word.is_leaving && host.desk.borrow_mut().record_leaving(now, target) {
        Line::new("target_leaves").text("target", target).with("source", "its answer").info();
        crate::orders::targets_changed(host);
        host.sync.notify_one();
    }
    if let Some(span) = word.retry_after {
        let until = host.desk.borrow_mut().pause_target(now, target, span);
        if let Some(leading) = host.leading.borrow_mut().as_mut() {
            leading.lead.spared(target, until);
        }
        Line::new("target_spared")
            .text("target", target)
            .with("asked_ms", span.as_millis() as u64)
            .with("until_ms", until.since(now).as_millis() as u64)
            .info();
    }
}

/// Returns how the attempt ended if the answer isn't the request's.
fn judge(head: &AnswerHead, status: StatusCode, dispatch: &Dispatch) -> Option<AttemptEnd> {
    if status == StatusCode::MISDIRECTED_REQUEST && !head.is_sealed {
        let other = head.instance.as_ref().is_some_and(|instance| *instance != dispatch.target);
        return Some(if other { AttemptEnd::Replaced } else { AttemptEnd::Lacking });
    }
    if !head.matches_attempt {
        return Some(AttemptEnd::Broken);
    }
    if head.not_run {
        return Some(AttemptEnd::Full(head.load));
    }
    (status.is_success() && !head.is_sealed).then_some(AttemptEnd::Broken)
}

async fn start_stream(
    host: &Host,
    id: u64,
    head: AnswerHead,
    (status, headers, mut body): (StatusCode, HeaderMap, Incoming),
    (link, address): (Link, SocketAddr),
) -> Outcome {
    let mut cutter = EventCutter::default();
    loop {
        let frame = match body.frame().await {
            Some(Ok(frame)) => frame,
            // A stream without any event is whole if its framing says so.
            None => {
                let answer = WholeAnswer { status, headers, body: cutter.finish() };
                return Outcome::Whole(answer);
            }
            Some(Err(_)) => return Outcome::End(AttemptEnd::Broken),
        };
        let Some(events) = frame.data_ref().and_then(|data| cutter.push(data)) else { continue };
        host.desk.borrow_mut().record_answer_start(boot_time(), id, head.load);
        let first = Some(events);
        let open = OpenStream { status, headers, first, cutter, body, link, address };
        return Outcome::Stream(Box::new(open));
    }
}
