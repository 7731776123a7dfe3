//! A stream that shows whether bytes have been read behind the request that is served.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// What is known about a connection's requests. The connection, its requests and its answers share
/// it.
#[derive(Debug, Default)]
pub(crate) struct ConnectionState {
    /// Whether the last byte that was received is held back.
    has_held_byte: AtomicBool,
    /// Number of requests that are being served, until their answers have been written.
    requests: AtomicUsize,
    /// Notified when the connection may have become idle.
    changed: Notify,
}

impl ConnectionState {
    /// Returns whether bytes have been received that the reader has not asked for.
    pub(crate) fn has_unread(&self) -> bool {
        self.has_held_byte.load(Ordering::Relaxed)
    }

    /// Returns whether no request is being served and none has been received.
    pub(crate) fn is_idle(&self) -> bool {
        self.requests.load(Ordering::Relaxed) == 0 && !self.has_unread()
    }

    /// Waits until the connection may have become idle.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Counts a request as being served until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::Relaxed);
        RequestGuard(self.clone())
    }

    fn set_held(&self, has_held_byte: bool) {
        if self.has_held_byte.swap(has_held_byte, Ordering::Relaxed) && !has_held_byte {
            self.changed.notify_one();
        }
    }
}

/// Counts a request as being served until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard(Arc<ConnectionState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
        self.0.changed.notify_one();
    }
}

/// A stream that holds back the last byte it has received until the reader asks for more.
///
/// hyper reads whatever has arrived, and stops reading while it has bytes beyond the request that
/// it serves. A request isn't complete without its last byte, so while a byte is held back, hyper
/// may have read further requests; while none is, it has read no further request completely.
#[derive(Debug)]
pub(crate) struct HoldingStream<S> {
    stream: S,
    held: Option<u8>,
    state: Arc<ConnectionState>,
}

impl<S> HoldingStream<S> {
    pub(crate) fn new(stream: S, state: Arc<ConnectionState>) -> HoldingStream<S> {
        HoldingStream { stream, held: None, state }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HoldingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let this = &mut *self;
        let before = buffer.filled().len();
        let Some(held) = this.held.take() else {
            ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
            // One byte alone is not held back: a read without bytes would mean the end.
            if buffer.filled().len() > before + 1 {
                this.hold_last(buffer);
            }
            return Poll::Ready(Ok(()));
        };
        buffer.put_slice(&[held]);
        if buffer.remaining() > 0 {
            if let Poll::Ready(read) = Pin::new(&mut this.stream).poll_read(context, buffer) {
                read?;
            }
        }
        if buffer.filled().len() > before + 1 {
            this.hold_last(buffer);
        } else {
            this.state.set_held(false);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S> HoldingStream<S> {
    /// Takes the last byte back out of the buffer.
    fn hold_last(&mut self, buffer: &mut ReadBuf<'_>) {
        let filled = buffer.filled();
        self.held = filled.last().copied();
        let length = filled.len().saturating_sub(1);
        buffer.set_filled(length);
        self.state.set_held(self.held.is_some());
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HoldingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
