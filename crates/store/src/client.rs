//! A client of the key-value service.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use base::{ByteSize, Revision};
use buffer::{read_body, BufferOwner, BufferPool};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use node::{KeyValue, LeaseId, StoreTxn, TxnOutcome};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::wire::{
    to_revision, Int, LeaseGrantRequest, LeaseMessage, RangeRequest, RangeResponse, StreamMessage,
    TxnRequest, TxnResponse, WatchCreate, WatchRequest,
};

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer that the client reads.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvError {
    /// The call was not sent.
    NotSent,
    /// No valid answer arrived; the call may have taken effect.
    Unknown,
}

/// Counters of the calls to the key-value service and of their bytes.
#[derive(Clone, Debug, Default)]
pub struct CallStats {
    counts: Arc<[AtomicU64; 4]>,
}

impl CallStats {
    /// Returns the numbers of writes, reads, watches and bytes so far.
    pub fn totals(&self) -> [u64; 4] {
        std::array::from_fn(|index| self.counts[index].load(Ordering::Relaxed))
    }

    fn add(&self, index: usize, count: u64) {
        self.counts[index].fetch_add(count, Ordering::Relaxed);
    }
}

/// A client of the key-value service.
#[derive(Clone)]
pub struct KvClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    stats: CallStats,
    /// Memory for answers; all clones of the client share it.
    buffers: BufferPool,
}

impl KvClient {
    /// Creates a client for the service at `address`.
    pub fn new(address: SocketAddr, stats: CallStats) -> KvClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .build(connector);
        let buffers = BufferPool::new(ByteSize(MAX_ANSWER_BYTES as u64));
        KvClient { client, address, stats, buffers }
    }

    /// Runs a transaction.
    pub async fn transact(&self, txn: &StoreTxn) -> TxnOutcome {
        self.stats.add(0, 1);
        match self.call::<_, TxnResponse>("/v3/kv/txn", &TxnRequest::from(txn)).await {
            Ok(answer) if answer.succeeded => TxnOutcome::Done(to_revision(answer.header.revision)),
            Ok(_) => TxnOutcome::Conflict,
            Err(KvError::NotSent) => TxnOutcome::NotSent,
            Err(KvError::Unknown) => TxnOutcome::Unknown,
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails if no valid answer arrives in time.
    pub async fn read(&self, key: &str) -> Result<Option<KeyValue>, KvError> {
        let (_, entries) = self.read_range(key, None).await?;
        Ok(entries.into_iter().next())
    }

    /// Reads the keys from `from`, inclusive, to `to`, exclusive, and returns them with the revision
    /// at which all of them were read.
    ///
    /// # Errors
    ///
    /// Fails if no valid answer arrives in time.
    pub async fn range(&self, from: &str, to: &str) -> Result<(Revision, Vec<KeyValue>), KvError> {
        self.read_range(from, Some(to)).await
    }

    /// Creates a lease with the given time to live.
    ///
    /// # Errors
    ///
    /// Fails if no valid answer arrives in time.
    pub async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, KvError> {
        self.stats.add(0, 1);
        let ttl = Int(i64::try_from(time_to_live.as_secs()).unwrap_or(i64::MAX));
        let answer: LeaseMessage = self.call("/v3/lease/grant", &LeaseGrantRequest { ttl }).await?;
        Ok(LeaseId(answer.id.0))
    }

    /// Renews a lease and returns its time to live, which is zero if the lease has ended.
    ///
    /// # Errors
    ///
    /// Fails if no valid answer arrives in time.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<Duration, KvError> {
        self.stats.add(0, 1);
        let message = LeaseMessage { id: Int(lease.0), ttl: Int(0) };
        let answer: StreamMessage<LeaseMessage> =
            self.call("/v3/lease/keepalive", &message).await?;
        Ok(Duration::from_secs(u64::try_from(answer.result.ttl.0).unwrap_or(0)))
    }

    /// Ends a lease.
    ///
    /// # Errors
    ///
    /// Fails if no valid answer arrives in time.
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.stats.add(0, 1);
        let message = LeaseMessage { id: Int(lease.0), ttl: Int(0) };
        self.call::<_, serde_json::Value>("/v3/lease/revoke", &message).await.map(drop)
    }

    /// Opens a watch from revision `start` and returns the response body, which has one JSON message
    /// per line.
    pub(crate) async fn watch(
        &self,
        from: &str,
        to: &str,
        start: Revision,
    ) -> Result<Incoming, KvError> {
        self.stats.add(2, 1);
        let start_revision = Int(i64::try_from(start.0).unwrap_or(i64::MAX));
        let create_request = WatchCreate { key: from.into(), range_end: to.into(), start_revision };
        let response = self.post("/v3/watch", &WatchRequest { create_request }).await?;
        Ok(response.into_body())
    }

    async fn read_range(
        &self,
        key: &str,
        end: Option<&str>,
    ) -> Result<(Revision, Vec<KeyValue>), KvError> {
        self.stats.add(1, 1);
        let request = RangeRequest { key: key.into(), range_end: end.map(Into::into) };
        let answer: RangeResponse = self.call("/v3/kv/range", &request).await?;
        let entries = answer.kvs.into_iter().map(KeyValue::from).collect();
        Ok((to_revision(answer.header.revision), entries))
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<A, KvError> {
        let exchange = async {
            let response = self.post(path, request).await?;
            let buffer = self.buffers.open(BufferOwner::Server(self.address));
            let body = read_body(response.into_body(), MAX_ANSWER_BYTES, buffer).await;
            let body = body.map_err(|_| KvError::Unknown)?;
            self.stats.add(3, body.len() as u64);
            serde_json::from_slice(&body).map_err(|_| KvError::Unknown)
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange).await.unwrap_or(Err(KvError::Unknown))
    }

    async fn post<Q: Serialize>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<Response<Incoming>, KvError> {
        let body = serde_json::to_vec(request).map_err(|_| KvError::NotSent)?;
        self.stats.add(3, body.len() as u64);
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| KvError::NotSent)?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                KvError::NotSent
            } else {
                KvError::Unknown
            }
        })?;
        if !response.status().is_success() {
            return Err(KvError::Unknown);
        }
        Ok(response)
    }
}
