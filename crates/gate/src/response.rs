//! Responses that the daemon itself produces.

use std::time::Duration;

use base::{RequestId, ResultCode};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::{json, Value};

use crate::body::{buffered_body, ResponseBody};

/// Header with the result code's number.
pub(crate) const CODE_HEADER: &str = "x-mangodeal-code";
/// Header that says whether the request ran: `no`, `yes` or `unknown`.
pub(crate) const RAN_HEADER: &str = "x-mangodeal-ran";
/// Header with the request's identifier, which is unique within this daemon.
pub(crate) const REQUEST_HEADER: &str = "x-mangodeal-request";
/// Header with the time after which to retry, in milliseconds; `retry-after` has whole seconds.
const RETRY_HEADER: &str = "x-mangodeal-retry-after-ms";
/// Replaces a status that is not valid. The unregistered status of a disconnected caller, 499, is
/// never sent.
const FALLBACK_STATUS: StatusCode = StatusCode::INTERNAL_SERVER_ERROR;

/// Returns the body of an error response, in the format of the OpenAI API.
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

/// Returns an error response.
pub(crate) fn error(
    code: ResultCode,
    detail: Option<&str>,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
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

/// Returns a JSON response with the status and headers of a result code.
pub(crate) fn with_code<T: Serialize>(code: ResultCode, value: &T) -> Response<ResponseBody> {
    let mut response = json(code.status(), value);
    let headers = response.headers_mut();
    headers.insert(CODE_HEADER, HeaderValue::from(code.number()));
    headers.insert(RAN_HEADER, HeaderValue::from_static(code.ran()));
    response
}

/// Returns a JSON response.
pub(crate) fn json<T: Serialize>(status: u16, value: &T) -> Response<ResponseBody> {
    text(status, "application/json", serde_json::to_vec(value).unwrap_or_default())
}

/// Returns a response with a body of the given content type.
pub(crate) fn text(
    status: u16,
    content_type: &'static str,
    body: impl Into<bytes::Bytes>,
) -> Response<ResponseBody> {
    let mut response = Response::new(buffered_body(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(FALLBACK_STATUS);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Adds the header with the request's identifier.
pub(crate) fn set_request_id(response: &mut Response<ResponseBody>, request: RequestId) {
    response.headers_mut().insert(REQUEST_HEADER, HeaderValue::from(request.0));
}
