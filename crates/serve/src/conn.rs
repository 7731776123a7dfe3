//! Outgoing HTTP connections and the connection pool.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use base::{SortedMap, Time};
use buffer::{read_body, read_steady_body, BodyError, BufferOwner, BufferPool};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use platform::HttpCall;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::descriptors::{is_exhausted, DescriptorReserve};
use crate::logging::LogLine;

/// Keep-alive probes: the idle time before the first one and the interval between them, and their
/// number. A dead connection is noticed within three seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_COUNT: u32 = 2;
/// How long sent bytes may stay unacknowledged before the connection fails.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Size of the read buffer; events and most answers are smaller.
const READ_BYTES: usize = 4 << 10;
/// Most idle connections to one address.
const MAX_IDLE: usize = 8;
/// Most refusals on a connection that is used again.
const MAX_REFUSED: usize = 16;

/// Sets the options of a TCP connection to a target, the store or another daemon: those of
/// [`configure_client`], and a limit for unacknowledged data.
pub(crate) fn configure(stream: &TcpStream) {
    configure_client(stream);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
}

/// Sets the options of a client's TCP connection: no delay, and keep-alive probes. A limit for
/// unacknowledged data would also end the connection of a client that is alive and doesn't read for as
/// long, and so lose the rest of its answer.
pub(crate) fn configure_client(stream: &TcpStream) {
    // Errors are ignored: a connection without these options works, but fails later when its peer
    // is dead.
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    let _ = socket.set_tcp_keepalive(&probes);
}

/// Returns whether an address refuses connections, because no process listens there. Returns false if
/// that isn't known within `limit`.
pub(crate) async fn is_refused(address: SocketAddr, limit: Duration) -> bool {
    match tokio::time::timeout(limit, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// An HTTP connection that carries one exchange at a time.
pub(crate) struct PooledConn {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// How long the server keeps the connection open while it is idle, if it says so.
    pub(crate) keep_alive: Option<Duration>,
    /// Whether the connection has carried an exchange before the present one.
    pub(crate) is_used: bool,
    /// Attempts that the server refused on this connection. A faulty server may write a refusal again.
    refused: Vec<HeaderValue>,
}

impl Drop for PooledConn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request failed before the head of its answer arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnError {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have reached the server.
    Lost,
    /// The same, and nothing arrived for too long.
    Silent,
    /// The answer is longer than its limit.
    TooLong,
}

/// Time limits of a call whose answer may be large.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallLimits<'a> {
    /// Longest time in which nothing of the answer arrives.
    pub(crate) silence: Duration,
    /// Longest time from the head of the answer to its end.
    pub(crate) total: Duration,
    /// Set once the head of the answer has arrived.
    pub(crate) has_begun: &'a Cell<bool>,
}

impl PooledConn {
    /// Connects to an address. Returns `None` if that fails or takes longer than `limit`.
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> Option<PooledConn> {
        PooledConn::open_by(TcpStream::connect(address), limit).await
    }

    /// Like [`open`](Self::open), with a descriptor of the reserve if there is no other one.
    pub(crate) async fn open_reserved(
        address: SocketAddr,
        limit: Duration,
        reserve: &DescriptorReserve,
    ) -> Option<PooledConn> {
        let connect = async {
            match TcpStream::connect(address).await {
                Err(error) if is_exhausted(&error) && reserve.release() => {
                    TcpStream::connect(address).await
                }
                result => result,
            }
        };
        PooledConn::open_by(connect, limit).await
    }

    async fn open_by(
        connect: impl Future<Output = io::Result<TcpStream>>,
        limit: Duration,
    ) -> Option<PooledConn> {
        let stream = tokio::time::timeout(limit, connect).await.ok()?.ok()?;
        configure(&stream);
        let mut builder = http1::Builder::new();
        builder.read_buf_exact_size(Some(READ_BYTES));
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::task::spawn_local(async move {
            // The exchange that uses the connection reports its errors.
            let _ = connection.await;
        });
        Some(PooledConn { sender, driver, keep_alive: None, is_used: false, refused: Vec::new() })
    }

    /// Records that the server refused an attempt on this connection.
    pub(crate) fn record_refusal(&mut self, attempt: Option<&HeaderValue>) {
        self.refused.extend(attempt.cloned());
    }

    fn has_refused(&self, attempt: Option<&HeaderValue>) -> bool {
        attempt.is_some_and(|attempt| self.refused.contains(attempt))
    }

    /// Returns whether another request can be sent.
    pub(crate) fn is_open(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.keep_alive = parse_keep_alive(response.headers());
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(ConnError::NotSent),
                None => Err(ConnError::Lost),
            },
        }
    }

    /// Makes a call and reads the complete answer, of at most `limit` bytes.
    pub(crate) async fn call(
        &mut self,
        address: SocketAddr,
        call: &HttpCall,
        extra: Option<(HeaderName, HeaderValue)>,
        (limit, buffers): (usize, &BufferPool),
    ) -> Result<Response<Bytes>, ConnError> {
        let request = to_request(address, call, extra).ok_or(ConnError::NotSent)?;
        let (head, body) = self.exchange(request).await?.into_parts();
        let buffer = buffers.open(BufferOwner::Server(address));
        let body = read_body(body, limit, buffer).await;
        Ok(Response::from_parts(head, body.map_err(|error| log_unread(address, error))?))
    }

    /// Like [`call`](Self::call), with time limits by progress, so that a large answer may arrive over a
    /// narrow link.
    pub(crate) async fn call_steadily(
        &mut self,
        address: SocketAddr,
        call: &HttpCall,
        limits: &CallLimits<'_>,
        (limit, buffers): (usize, &BufferPool),
    ) -> Result<Response<Bytes>, ConnError> {
        let request = to_request(address, call, None).ok_or(ConnError::NotSent)?;
        let exchange = tokio::time::timeout(limits.silence, self.exchange(request));
        let (head, body) = exchange.await.map_err(|_| ConnError::Silent)??.into_parts();
        limits.has_begun.set(true);
        if body.size_hint().lower() > limit as u64 {
            return Err(ConnError::TooLong);
        }
        let buffer = buffers.open(BufferOwner::Server(address));
        let reading = read_steady_body(body, limit, limits.silence, buffer);
        match tokio::time::timeout(limits.total, reading).await {
            Ok(Ok(body)) => Ok(Response::from_parts(head, body)),
            Ok(Err(BodyError::Stalled)) | Err(_) => Err(ConnError::Silent),
            Ok(Err(BodyError::TooLong)) => Err(ConnError::TooLong),
            Ok(Err(error)) => Err(log_unread(address, error)),
        }
    }
}

/// Logs why an answer was not read to its end.
fn log_unread(address: SocketAddr, error: BodyError) -> ConnError {
    LogLine::new("answer_unread").text("address", &address).text("error", &error).info();
    ConnError::Lost
}

fn to_request(
    address: SocketAddr,
    call: &HttpCall,
    extra: Option<(HeaderName, HeaderValue)>,
) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(call.path.as_str())
        .header(HOST, address.to_string());
    if call.method == Method::POST {
        builder = builder.header(CONTENT_TYPE, "application/json");
    }
    if let Some((name, value)) = extra {
        builder = builder.header(name, value);
    }
    builder.body(Full::new(Bytes::from(call.body.clone()))).ok()
}

/// Reads how long the server keeps an idle connection, from its `Keep-Alive` header.
fn parse_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// An idle connection in the pool.
struct IdleConn {
    conn: PooledConn,
    idle_since: Time,
}

/// A pool of idle connections, by address.
#[derive(Default)]
pub(crate) struct ConnPool {
    idle: SortedMap<SocketAddr, Vec<IdleConn>>,
}

impl ConnPool {
    /// Takes a connection that has been idle for less than `limit`, and for less than half of the
    /// keep-alive time that the server announced.
    pub(crate) fn take(
        &mut self,
        now: Time,
        address: SocketAddr,
        limit: Duration,
    ) -> Option<PooledConn> {
        self.take_for(now, address, limit, None)
    }

    /// Like [`take`](Self::take), and leaves connections on which the server has refused `attempt`.
    pub(crate) fn take_for(
        &mut self,
        now: Time,
        address: SocketAddr,
        limit: Duration,
        attempt: Option<&HeaderValue>,
    ) -> Option<PooledConn> {
        let idle = self.idle.get_mut(&address)?;
        idle.retain(|entry| entry.conn.is_open());
        let at = idle.iter().rposition(|IdleConn { conn, idle_since }| {
            let idle_limit = conn.keep_alive.map_or(limit, |announced| limit.min(announced / 2));
            now.since(*idle_since) < idle_limit && !conn.has_refused(attempt)
        })?;
        Some(idle.remove(at).conn)
    }

    /// Returns a connection to the pool after an exchange.
    pub(crate) fn put(&mut self, now: Time, address: SocketAddr, mut conn: PooledConn) {
        if conn.refused.len() > MAX_REFUSED {
            return;
        }
        conn.is_used = true;
        let idle = self.idle.entry(address, Vec::new);
        idle.push(IdleConn { conn, idle_since: now });
        if idle.len() > MAX_IDLE {
            idle.remove(0);
        }
    }

    /// Drops connections that have been idle for at least `limit`.
    pub(crate) fn expire(&mut self, now: Time, limit: Duration) {
        for idle in self.idle.values_mut() {
            idle.retain(|entry| now.since(entry.idle_since) < limit && entry.conn.is_open());
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Drops all idle connections to an address.
    pub(crate) fn remove_all(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }
}
