//! A small HTTP server for the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use futures::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Body of a reply.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;
/// Reply of a stand-in.
pub type Reply = Response<Body>;

/// Returns a reply whose body is sent at once. An invalid status becomes 500.
///
/// # Panics
///
/// Panics if `content_type` is not a valid header value.
pub fn full(status: u16, content_type: &str, body: impl Into<Bytes>) -> Reply {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed_unsync();
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let builder = Response::builder().status(status).header("content-type", content_type);
    builder.body(body).expect("a valid response")
}

/// Returns a JSON reply.
pub fn json(status: u16, value: &serde_json::Value) -> Reply {
    full(status, "application/json", value.to_string())
}

/// Returns a reply with status 200 whose body arrives in chunks.
///
/// # Panics
///
/// Panics if `content_type` is not a valid header value.
pub fn streamed<S>(content_type: &str, chunks: S) -> Reply
where
    S: Stream<Item = Result<Bytes, std::io::Error>> + Send + 'static,
{
    use futures::StreamExt;
    let body = BodyExt::boxed_unsync(StreamBody::new(chunks.map(|c| c.map(Frame::data))));
    Response::builder().header("content-type", content_type).body(body).expect("a valid response")
}

/// Listens on a free loopback port and serves until the returned task is aborted. When the
/// handler returns `None`, the connection is closed without an answer.
///
/// # Errors
///
/// Fails if the listener can't be opened.
pub async fn serve<H, F>(handler: H) -> std::io::Result<(SocketAddr, JoinHandle<()>)>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<Reply>> + Send + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            connections.spawn(async move {
                let service = service_fn(move |request| {
                    let reply = handler(request);
                    async move { reply.await.ok_or_else(|| std::io::Error::other("connection closed")) }
                });
                let mut builder = hyper::server::conn::http1::Builder::new();
                builder.timer(TokioTimer::new());
                let _ = builder.serve_connection(TokioIo::new(stream), service).await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok((address, task))
}

/// Returns the whole body of a request, or an empty body if the connection fails.
pub async fn read_body(request: Request<Incoming>) -> Bytes {
    request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default()
}
