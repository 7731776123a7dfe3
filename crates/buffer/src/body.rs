//! Reads HTTP bodies.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::{BodyBuffer, BufferError};

/// Why a body can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than its limit.
    #[error("longer than its limit")]
    TooLong,
    /// The buffers of the process are full, and this one is among the largest.
    #[error(transparent)]
    Evicted(#[from] BufferError),
    /// Its connection ended or failed before its end.
    #[error("broken off")]
    Broken,
}

/// Reads a body of at most `limit` bytes into `buffer`. Each piece is copied and released at once.
///
/// # Errors
///
/// Fails if the body is longer, doesn't arrive completely, or is evicted from the buffer's pool.
pub async fn read_body<B>(body: B, limit: usize, mut buffer: BodyBuffer) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
{
    let mut body = std::pin::pin!(body);
    loop {
        let frame = tokio::select! {
            biased;
            () = buffer.evicted() => return Err(BufferError::Evicted.into()),
            frame = body.frame() => frame,
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return Err(BodyError::Broken),
            None => return Ok(buffer.finish()?),
        };
        let Some(data) = frame.data_ref() else { continue };
        if data.len() > limit - buffer.len() {
            return Err(BodyError::TooLong);
        }
        buffer.push(data)?;
    }
}

/// Reads a body of at most `limit` bytes and discards it.
///
/// # Errors
///
/// Fails if the body is longer or doesn't arrive completely.
pub async fn skip_body<B>(body: B, limit: usize) -> Result<(), BodyError>
where
    B: Body<Data = Bytes>,
{
    let mut body = std::pin::pin!(body);
    let mut left = limit;
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let length = frame.data_ref().map_or(0, Bytes::len);
                left = left.checked_sub(length).ok_or(BodyError::TooLong)?;
            }
            Some(Err(_)) => return Err(BodyError::Broken),
            None => return Ok(()),
        }
    }
}
