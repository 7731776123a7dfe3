//! Bodies of requests and responses.

use std::convert::Infallible;
use std::time::Duration;

use base::ResultCode;
use buffer::{BodyBuffer, BodyError};
use bytes::Bytes;
use futures::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame};

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
pub(crate) async fn read_body<B: Body<Data = Bytes>>(
    body: B,
    limit: usize,
    timeout: Duration,
    buffer: BodyBuffer,
) -> Result<Bytes, ResultCode> {
    let reading = buffer::read_body(body, limit, buffer);
    match tokio::time::timeout(timeout, reading).await {
        Err(_) | Ok(Err(BodyError::Stalled)) => Err(ResultCode::CallerTimeout),
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLong)) => Err(ResultCode::TooLarge),
        Ok(Err(BodyError::Evicted(_))) => Err(ResultCode::BuffersFull),
        Ok(Err(BodyError::Broken)) => Err(ResultCode::BadRequest),
    }
}
