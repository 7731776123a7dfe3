//! Client for the orders and reports of targets.

use std::sync::LazyLock;
use std::time::Duration;

use base::{ByteSize, Name};
use buffer::{read_body, BufferOwner, BufferPool};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use place::{OrderKind, OrderMessage, OrderOutcome, TargetReport};
use serde::Serialize;
use tokio::net::TcpStream;

use crate::parse::parse_load;

/// Timeout for an order or a report.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for connecting to a target.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_REPORT_BYTES: usize = 4 << 20;
/// Memory for the reports of all targets and their answers to orders.
static REPORT_BUFFERS: LazyLock<BufferPool> = LazyLock::new(|| BufferPool::new(ByteSize(32 << 20)));

#[derive(Serialize)]
struct OrderJson<'a> {
    order: u64,
    fence: u64,
    model: &'a str,
    base: Option<&'a str>,
    memory: u64,
}

impl<'a> From<&'a OrderMessage> for OrderJson<'a> {
    fn from(message: &'a OrderMessage) -> OrderJson<'a> {
        OrderJson {
            order: message.id.0,
            fence: message.fence.0,
            model: message.model.as_str(),
            base: message.base.as_ref().map(|base| base.as_str()),
            memory: message.memory.0,
        }
    }
}

/// Sends orders to targets and reads their reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetClient;

impl TargetClient {
    /// Sends an order without retrying it.
    pub async fn send_order(&self, address: &Name, message: &OrderMessage) -> OrderOutcome {
        let path = match message.kind {
            OrderKind::Load => "/orders/load",
            OrderKind::Unload => "/orders/unload",
        };
        let body = serde_json::to_vec(&OrderJson::from(message)).unwrap_or_default();
        let Some(stream) = connect(address).await else { return OrderOutcome::NotSent };
        let call = call(stream, address, Method::POST, path, body.into());
        match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Some((200..=299, _))) => OrderOutcome::Accepted,
            Ok(Some((409, _))) => OrderOutcome::Refused,
            _ => OrderOutcome::Unknown,
        }
    }

    /// Reads a target's report. Returns `None` if the target does not respond. A load value that
    /// can't be read counts as zero.
    pub async fn read_report(&self, address: &Name) -> Option<TargetReport> {
        let replicas = self.get(address, "/orders/replicas").await?;
        let mut report: TargetReport = parse_report(&replicas)?;
        if let Some(metrics) = self.get(address, "/metrics").await {
            let load = parse_load(&String::from_utf8_lossy(&metrics));
            (report.running, report.waiting) = (load.running, load.waiting);
        }
        Some(report)
    }

    async fn get(&self, address: &Name, path: &str) -> Option<Bytes> {
        let stream = connect(address).await?;
        let call = call(stream, address, Method::GET, path, Bytes::new());
        match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Some((200, body))) => Some(body),
            _ => None,
        }
    }
}

#[derive(serde::Deserialize)]
struct ReportJson {
    boot: u64,
    replicas: Vec<place::ReplicaReport>,
    orders: Vec<base::OrderId>,
}

fn parse_report(bytes: &[u8]) -> Option<TargetReport> {
    let json: ReportJson = serde_json::from_slice(bytes).ok()?;
    let ReportJson { boot, replicas, orders } = json;
    Some(TargetReport { boot, replicas, orders, running: 0, waiting: 0 })
}

/// Connects to a target within the timeout.
pub(crate) async fn connect(address: &Name) -> Option<TcpStream> {
    let connecting = TcpStream::connect(address.as_str());
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}

async fn call(
    stream: TcpStream,
    address: &Name,
    method: Method,
    path: &str,
    body: Bytes,
) -> Option<(u16, Bytes)> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let _driver = AbortOnDrop(tokio::spawn(async move {
        let _ = connection.await;
    }));
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.as_str())
        .header("content-type", "application/json")
        .body(Full::new(body))
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let server = address.as_str().parse().ok()?;
    let buffer = REPORT_BUFFERS.open(BufferOwner::Server(server));
    let body = read_body(response.into_body(), MAX_REPORT_BYTES, buffer).await;
    let body = body.inspect_err(|error| log::info!("report_unread: {address}: {error}")).ok()?;
    Some((status, body))
}

/// Aborts the task of a connection when the exchange that uses it is dropped.
pub(crate) struct AbortOnDrop(pub(crate) tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
