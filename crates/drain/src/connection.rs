//! Serves one connection until its last request has been answered.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};

use crate::stream::{ConnectionState, HoldingStream, RequestGuard};

/// Serves a connection until it ends.
///
/// While `is_stopping` returns true, an answer closes the connection unless bytes have been read
/// behind its request. Once `close_idle` completes, the connection is closed as soon as no request
/// is being served or has been read.
pub async fn serve_connection<S, H, R, B>(
    builder: &http1::Builder,
    stream: S,
    handle: H,
    is_stopping: impl Fn() -> bool,
    close_idle: impl Future<Output = ()>,
) where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Request<Incoming>) -> R,
    R: Future<Output = Response<B>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let state = Arc::new(ConnectionState::default());
    let is_stopping = &is_stopping;
    let service = service_fn(|request| {
        let (state, guard) = (state.clone(), state.begin_request());
        let answering = handle(request);
        async move {
            let mut response = answering.await;
            // hyper writes the head before it reads again.
            if is_stopping() && !state.has_unread() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| CountedBody { body, _guard: guard }))
        }
    });
    let stream = TokioIo::new(HoldingStream::new(stream, state.clone()));
    let mut connection = pin!(builder.serve_connection(stream, service));
    tokio::select! {
        biased;
        // Errors of the connection need no handling here.
        _ = connection.as_mut() => return,
        () = close_idle => {}
    }
    while !state.is_idle() {
        tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            () = state.changed() => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// The body of an answer. Its request counts as being served until the body has been written.
struct CountedBody<B> {
    body: B,
    _guard: RequestGuard,
}

impl<B: Body + Unpin> Body for CountedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
