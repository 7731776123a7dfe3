//! Parsing and filtering of request headers.

use std::time::Duration;

use base::{ResultCode, SecretKey};
use hyper::header::{HeaderMap, HeaderName, AUTHORIZATION};

use super::EarlyRefusal;

/// Headers that are forwarded to targets. All others are removed, including credentials.
const FORWARDED_HEADERS: [&str; 6] = [
    "content-type",
    "accept",
    "accept-language",
    "idempotency-key",
    "traceparent",
    "x-mangodeal-priority",
];
const DEADLINE_HEADER: &str = "x-mangodeal-deadline-ms";
const PRIORITY_HEADER: &str = "x-mangodeal-priority";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Longest deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);
/// Maximum length of an idempotency key.
const MAX_IDEMPOTENCY_BYTES: usize = 256;

/// Returns the key in the `Authorization` header, or `None` without that header.
pub(super) fn bearer_key(headers: &HeaderMap) -> Result<Option<SecretKey>, EarlyRefusal> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        let detail = "more than one Authorization header".to_owned();
        return Err(EarlyRefusal(ResultCode::BadRequest, Some(detail)));
    }
    let text = value.to_str().map_err(|_| ResultCode::KeyRejected)?;
    let (scheme, key) = text.split_once(' ').ok_or(ResultCode::KeyRejected)?;
    if !scheme.eq_ignore_ascii_case("bearer") || key.trim().is_empty() {
        return Err(ResultCode::KeyRejected.into());
    }
    Ok(Some(SecretKey::new(key.trim())))
}

pub(super) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in FORWARDED_HEADERS {
        if let Some(value) = headers.get(name) {
            forwarded.insert(HeaderName::from_static(name), value.clone());
        }
    }
    forwarded
}

pub(super) fn parse_deadline(
    headers: &HeaderMap,
    default: Duration,
) -> Result<Duration, EarlyRefusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(default) };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let deadline = millis.map(Duration::from_millis).filter(|span| *span <= MAX_DEADLINE);
    deadline.ok_or_else(|| {
        let detail = format!("{DEADLINE_HEADER} must be a number of milliseconds up to 3600000");
        EarlyRefusal(ResultCode::BadRequest, Some(detail))
    })
}

pub(super) fn parse_priority(headers: &HeaderMap) -> Result<i32, EarlyRefusal> {
    let Some(value) = headers.get(PRIORITY_HEADER) else { return Ok(0) };
    let number = value.to_str().ok().and_then(|text| text.parse::<i32>().ok());
    number.filter(|number| (-100..=100).contains(number)).ok_or_else(|| {
        let detail = format!("{PRIORITY_HEADER} must be an integer from -100 to 100");
        EarlyRefusal(ResultCode::BadRequest, Some(detail))
    })
}

/// Returns the hash of the caller's idempotency key, since the key itself may be sensitive.
pub(super) fn hash_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, EarlyRefusal> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else { return Ok(None) };
    if value.is_empty() || value.len() > MAX_IDEMPOTENCY_BYTES {
        let detail = format!("{IDEMPOTENCY_HEADER} must have 1 to {MAX_IDEMPOTENCY_BYTES} bytes");
        return Err(EarlyRefusal(ResultCode::BadRequest, Some(detail)));
    }
    let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
    Ok(Some(SecretKey::new(text).hash().to_string()))
}
