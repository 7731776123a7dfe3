//! Answers to clients.

use std::io;
use std::time::Duration;

use base::ResultCode;
use bytes::Bytes;
use front::Refusal;
use futures::stream::LocalBoxStream;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

pub(crate) type FrameStream = LocalBoxStream<'static, Result<Frame<Bytes>, io::Error>>;
pub(crate) type ReplyBody = Either<Full<Bytes>, StreamBody<FrameStream>>;

/// A target's complete, buffered answer.
#[derive(Clone, Debug)]
pub(crate) struct CompleteAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl CompleteAnswer {
    pub(crate) fn into_response(self) -> Response<ReplyBody> {
        build_answer(self.status, self.headers, full_body(self.body))
    }
}

pub(crate) fn full_body(body: impl Into<Bytes>) -> ReplyBody {
    Either::Left(Full::new(body.into()))
}

pub(crate) fn build_answer(
    status: StatusCode,
    headers: HeaderMap,
    body: ReplyBody,
) -> Response<ReplyBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Builds the daemon's own answer to a request that it refuses.
pub(crate) fn refusal_answer(
    refusal: Refusal,
    attempt: Option<&HeaderValue>,
) -> Response<ReplyBody> {
    let Refusal { code, retry_after, .. } = refusal;
    let body = json!({"code": code.number(), "message": code.text(), "ran": code.ran()});
    let mut response = Response::new(full_body(body.to_string()));
    *response.status_mut() =
        StatusCode::from_u16(code.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    platform::request::set_attempt_id(headers, attempt);
    if let Some(value) = retry_after.and_then(retry_value) {
        headers.insert(RETRY_AFTER, value);
    }
    response
}

pub(crate) fn refusal_for_code(code: ResultCode) -> Response<ReplyBody> {
    refusal_answer(Refusal::new(code, ""), None)
}

pub(crate) fn with_close(mut response: Response<ReplyBody>) -> Response<ReplyBody> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Formats a `Retry-After` value in seconds, with three decimals.
fn retry_value(span: Duration) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", span.as_secs_f64())).ok()
}
