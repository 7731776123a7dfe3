//! Bodies of requests and responses.

use std::convert::Infallible;
use std::time::Duration;

use base::ResultCode;
use bytes::Bytes;
use futures::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::{Frame, Incoming};

/// The body of a response.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

pub(crate) fn buffered_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

pub(crate) fn streamed_body<S>(chunks: S) -> ResponseBody
where
    S: Stream<Item = Result<Bytes, std::io::Error>> + Send + 'static,
{
    use futures::StreamExt;
    BodyExt::boxed_unsync(StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))))
}

/// Reads a request's body within a size limit in bytes and a timeout.
pub(crate) async fn read_body(
    body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, ResultCode> {
    let reading = Limited::new(body, limit).collect();
    match tokio::time::timeout(timeout, reading).await {
        Err(_) => Err(ResultCode::CallerTimeout),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ResultCode::TooLarge),
        Ok(Err(_)) => Err(ResultCode::BadRequest),
    }
}
