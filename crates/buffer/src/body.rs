//! Reads HTTP bodies.

use std::time::Duration;

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
    /// Nothing of it arrived for too long.
    #[error("stalled")]
    Stalled,
    /// Its connection ended or failed before its end.
    #[error("broken off")]
    Broken,
}

/// Reads a body of at most `limit` bytes into `buffer`. Each piece is copied and released at once.
///
/// # Errors
///
/// Fails if the body is longer, doesn't arrive completely, or is evicted from the buffer's pool.
pub async fn read_body<B>(body: B, limit: usize, buffer: BodyBuffer) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
{
    read_frames(body, limit, None, buffer).await
}

/// Like [`read_body`], and fails if nothing arrives for as long as `stall`. A body that arrives slowly
/// takes as long as it needs.
///
/// # Errors
///
/// Fails like [`read_body`], and with [`BodyError::Stalled`].
pub async fn read_steady_body<B>(
    body: B,
    limit: usize,
    stall: Duration,
    buffer: BodyBuffer,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
{
    read_frames(body, limit, Some(stall), buffer).await
}

async fn read_frames<B>(
    body: B,
    limit: usize,
    stall: Option<Duration>,
    mut buffer: BodyBuffer,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
{
    let mut body = std::pin::pin!(body);
    loop {
        let stalled = async {
            match stall {
                Some(stall) => tokio::time::sleep(stall).await,
                None => std::future::pending().await,
            }
        };
        let frame = tokio::select! {
            biased;
            () = buffer.evicted() => return Err(BufferError::Evicted.into()),
            frame = body.frame() => frame,
            () = stalled => return Err(BodyError::Stalled),
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
