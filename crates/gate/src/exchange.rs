//! Sends one request to a target on a connection of its own and receives the response.

use std::time::Duration;

use base::{Name, TokenCount};
use buffer::{read_body, BodyBuffer};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::time::Instant;

use crate::parse::used_tokens;
use crate::sse::EventSplitter;
use crate::target::{connect, AbortOnDrop};

/// Maximum size of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Longest time without data before a streamed response counts as broken.
pub(crate) const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of the read buffer of a connection to a target. A daemon serves thousands of streams with
/// small events; hyper's default of 8 KiB would dominate the memory used per stream.
const READ_BUFFER_BYTES: usize = 1 << 10;
const REQUEST_ID_HEADER: &str = "x-request-id";

/// A request to be sent to a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    /// Headers that are forwarded to the target. They contain no credentials.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Fleet-wide unique identifier. The target may echo it in its response.
    pub(crate) id: String,
    /// Whether the target is a model engine.
    pub(crate) is_engine: bool,
}

/// A response whose body was received completely.
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) content_type: Option<HeaderValue>,
    pub(crate) body: Bytes,
    /// Tokens used, if the response reports them.
    pub(crate) used: Option<TokenCount>,
}

/// A streamed response of which at least one event was received.
pub(crate) struct StreamedResponse {
    pub(crate) content_type: Option<HeaderValue>,
    pub(crate) first_events: Vec<Bytes>,
    pub(crate) splitter: EventSplitter,
    body: Incoming,
    _driver: AbortOnDrop,
}

/// What a read from a streamed response returned.
pub(crate) enum StreamItem {
    Events(Vec<Bytes>),
    /// The end marker of the stream was received.
    Complete,
    /// The stream failed, stalled, or ended without its end marker.
    Broken,
}

impl StreamedResponse {
    /// Waits for the next events or the end of the stream.
    pub(crate) async fn next(&mut self) -> StreamItem {
        if self.splitter.is_done() {
            return StreamItem::Complete;
        }
        next_events(&mut self.body, &mut self.splitter).await
    }
}

/// The outcome of an exchange, before any data is sent to the caller.
pub(crate) enum ExchangeOutcome {
    /// No byte of the request was sent.
    NotSent,
    /// The target reported that it did not run the request.
    Declined,
    /// The exchange failed after bytes of the request may have been sent.
    Lost,
    /// The deadline passed before the response was received.
    TimedOut,
    Buffered(BufferedResponse),
    Streamed(Box<StreamedResponse>),
}

/// Sends a request to a target and returns its response or the kind of failure.
pub(crate) async fn exchange(
    address: &Name,
    request: TargetRequest,
    time_left: Duration,
    buffer: BodyBuffer,
) -> ExchangeOutcome {
    let deadline = Instant::now() + time_left;
    let connected = tokio::time::timeout_at(deadline, connect(address)).await.ok().flatten();
    let Some(stream) = connected else { return ExchangeOutcome::NotSent };
    let builder = http1::Builder::new().read_buf_exact_size(Some(READ_BUFFER_BYTES)).clone();
    let Ok((sender, connection)) = builder.handshake(TokioIo::new(stream)).await else {
        return ExchangeOutcome::NotSent;
    };
    // The deadline may have passed since connecting, for example while the process was suspended.
    if Instant::now() >= deadline {
        return ExchangeOutcome::NotSent;
    }
    let driver = AbortOnDrop(tokio::spawn(async move {
        let _ = connection.await;
    }));
    let response = receive_response(sender, driver, address, request, buffer);
    tokio::time::timeout_at(deadline, response).await.unwrap_or(ExchangeOutcome::TimedOut)
}

async fn receive_response(
    mut sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortOnDrop,
    address: &Name,
    request: TargetRequest,
    buffer: BodyBuffer,
) -> ExchangeOutcome {
    let (id, is_engine) = (request.id.clone(), request.is_engine);
    let Some(request) = to_http(address, request) else { return ExchangeOutcome::NotSent };
    let Ok(response) = sender.send_request(request).await else { return ExchangeOutcome::Lost };
    if is_engine && is_declined(response.status()) {
        return ExchangeOutcome::Declined;
    }
    let is_mismatched =
        response.headers().get(REQUEST_ID_HEADER).is_some_and(|echo| echo != id.as_str());
    let is_server_failure = is_engine && response.status().is_server_error();
    if is_mismatched || is_server_failure {
        return ExchangeOutcome::Lost;
    }
    match is_event_stream(&response) {
        true => start_stream(response, driver).await,
        false => read_buffered(response, buffer).await,
    }
}

/// Returns whether an engine's status means that it did not run the request, because it does not
/// have the model or has no capacity.
fn is_declined(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::NOT_FOUND | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

async fn start_stream(response: Response<Incoming>, driver: AbortOnDrop) -> ExchangeOutcome {
    let content_type = response.headers().get(CONTENT_TYPE).cloned();
    let mut body = response.into_body();
    let mut splitter = EventSplitter::default();
    match next_events(&mut body, &mut splitter).await {
        StreamItem::Events(first_events) => ExchangeOutcome::Streamed(Box::new(StreamedResponse {
            content_type,
            first_events,
            splitter,
            body,
            _driver: driver,
        })),
        StreamItem::Complete | StreamItem::Broken => ExchangeOutcome::Lost,
    }
}

async fn next_events(body: &mut Incoming, splitter: &mut EventSplitter) -> StreamItem {
    loop {
        let frame = tokio::time::timeout(STREAM_IDLE_TIMEOUT, body.frame()).await;
        // A stream without its end marker was truncated, even if the HTTP body ended correctly.
        let Ok(Some(Ok(frame))) = frame else { return StreamItem::Broken };
        let Ok(data) = frame.into_data() else { continue };
        match splitter.push(&data) {
            None => return StreamItem::Broken,
            Some(events) if events.is_empty() => {}
            Some(events) => return StreamItem::Events(events),
        }
    }
}

async fn read_buffered(response: Response<Incoming>, buffer: BodyBuffer) -> ExchangeOutcome {
    let status = response.status();
    let content_type = response.headers().get(CONTENT_TYPE).cloned();
    // hyper reports a body shorter than its Content-Length as an error.
    match read_body(response.into_body(), MAX_RESPONSE_BYTES, buffer).await {
        Ok(body) => {
            let used = used_tokens(&body);
            ExchangeOutcome::Buffered(BufferedResponse { status, content_type, body, used })
        }
        Err(error) => {
            log::info!("answer_unread: {error}");
            ExchangeOutcome::Lost
        }
    }
}

fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}

fn to_http(address: &Name, request: TargetRequest) -> Option<Request<Full<Bytes>>> {
    let mut http = Request::new(Full::new(request.body));
    *http.method_mut() = request.method;
    *http.uri_mut() = request.path.parse().ok()?;
    *http.headers_mut() = request.headers;
    http.headers_mut().insert(HOST, HeaderValue::from_str(address.as_str()).ok()?);
    http.headers_mut().insert(REQUEST_ID_HEADER, HeaderValue::from_str(&request.id).ok()?);
    Some(http)
}
