//! Answers that the daemon gives itself.

use std::time::Duration;

use base::{RequestId, ResultCode};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::{json, Value};

use crate::body::{full, ReplyBody};

/// Header with the numbered result code.
pub(crate) const CODE_HEADER: &str = "x-mangodeal-code";
/// Header that says whether the request ran: `no`, `yes` or `unknown`.
pub(crate) const RAN_HEADER: &str = "x-mangodeal-ran";
/// Header with the identifier of the request in this daemon.
pub(crate) const REQUEST_HEADER: &str = "x-mangodeal-request";
/// Header with the exact time to come back, in milliseconds.
const RETRY_HEADER: &str = "x-mangodeal-retry-after-ms";
/// The status for a caller who disconnected exists in no register; it is never sent.
const FALLBACK_STATUS: StatusCode = StatusCode::INTERNAL_SERVER_ERROR;

/// Returns the body of an error, in the shape that OpenAI clients read.
pub(crate) fn error_json(code: ResultCode, detail: Option<&str>) -> Value {
    let message = match detail {
        Some(detail) => format!("{}: {detail}", code.text()),
        None => code.text().to_owned(),
    };
    let kind = match code.status() {
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    json!({"error": {"message": message, "type": kind, "code": code.number(), "ran": code.ran()}})
}

/// Returns an error answer.
pub(crate) fn error(
    code: ResultCode,
    detail: Option<&str>,
    retry_after: Option<Duration>,
) -> Response<ReplyBody> {
    let mut response = with_code(code, &error_json(code, detail));
    if let Some(span) = retry_after {
        let seconds = span.as_secs() + u64::from(span.subsec_nanos() > 0);
        let millis = span.as_millis().min(u128::from(u64::MAX));
        let headers = response.headers_mut();
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        headers.insert(RETRY_HEADER, HeaderValue::from(u64::try_from(millis).unwrap_or(u64::MAX)));
    }
    response
}

/// Returns a JSON answer under a result code.
pub(crate) fn with_code<T: Serialize>(code: ResultCode, value: &T) -> Response<ReplyBody> {
    let mut response = json_reply(code.status(), value);
    let headers = response.headers_mut();
    headers.insert(CODE_HEADER, HeaderValue::from(code.number()));
    headers.insert(RAN_HEADER, HeaderValue::from_static(code.ran()));
    response
}

/// Returns a JSON answer.
pub(crate) fn json_reply<T: Serialize>(status: u16, value: &T) -> Response<ReplyBody> {
    text_reply(status, "application/json", serde_json::to_vec(value).unwrap_or_default())
}

/// Returns an answer with a body of the given type.
pub(crate) fn text_reply(
    status: u16,
    content_type: &'static str,
    body: impl Into<bytes::Bytes>,
) -> Response<ReplyBody> {
    let mut response = Response::new(full(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(FALLBACK_STATUS);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

pub(crate) fn mark(response: &mut Response<ReplyBody>, request: RequestId) {
    response.headers_mut().insert(REQUEST_HEADER, HeaderValue::from(request.0));
}
