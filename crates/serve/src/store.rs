//! Calls to the metadata store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use base::{Revision, Time};
use bytes::Bytes;
use daemon::boot_time;
use node::{KeyValue, LeaseId, StoreTxn};
use platform::store::{self, RangePage, RenewalReply, TxnReply, WatchReply};
use platform::{FormatError, HttpCall};

use crate::link::{Link, LinkError, LinkPool};

/// How long a connection to the store may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(800);
/// How long an idle connection to the store is reused. Every call can be repeated or resolved, so
/// that a connection that the store closes meanwhile costs one more call.
const IDLE_LIMIT: Duration = Duration::from_secs(8);
/// Time by which a watch may exceed its wait.
const WATCH_SLACK: Duration = Duration::from_millis(900);

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreError {
    /// No byte of it was sent.
    #[error("not sent")]
    NotSent,
    /// It was sent, and no answer arrived.
    #[error("no answer")]
    Lost,
    /// The answer has an unexpected form or status.
    #[error(transparent)]
    Form(#[from] FormatError),
}

/// The daemon's only client of the store.
pub(crate) struct StoreClient {
    address: SocketAddr,
    timeout: Duration,
    pool: RefCell<LinkPool>,
    calls: Cell<u64>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> StoreClient {
        StoreClient { address, timeout, pool: RefCell::default(), calls: Cell::new(0) }
    }

    /// Returns the number of calls so far.
    pub(crate) fn calls(&self) -> u64 {
        self.calls.get()
    }

    pub(crate) async fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<RangePage, StoreError> {
        let (status, body) = self.call(&store::range_call(prefix, after), self.timeout).await?;
        Ok(store::range_reply(status, &body)?)
    }

    /// Reads all pages of a prefix. The revision is that of the first page: changes after it are
    /// to be watched, whether a later page shows them or not.
    pub(crate) async fn range_all(
        &self,
        prefix: &str,
    ) -> Result<(Vec<KeyValue>, Revision), StoreError> {
        let first = self.range(prefix, None).await?;
        let (mut items, mut more, revision) = (first.items, first.has_more, first.revision);
        while more {
            let after = items.last().map(|item| item.key.clone());
            let page = self.range(prefix, after.as_deref()).await?;
            more = page.has_more && !page.items.is_empty();
            items.extend(page.items);
        }
        Ok((items, revision))
    }

    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchReply, StoreError> {
        let call = store::watch_call(prefix, after, wait);
        let limit = (wait + WATCH_SLACK).max(self.timeout);
        let (status, body) = self.call(&call, limit).await?;
        Ok(store::watch_reply(status, &body)?)
    }

    pub(crate) async fn key(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        let (status, body) = self.call(&store::key_call(key), self.timeout).await?;
        Ok(store::key_reply(status, &body)?)
    }

    pub(crate) async fn txn(&self, txn: &StoreTxn) -> Result<TxnReply, StoreError> {
        let (status, body) = self.call(&store::txn_call(txn), self.timeout).await?;
        Ok(store::txn_reply(status, &body)?)
    }

    pub(crate) async fn lease(&self, span: Duration) -> Result<(LeaseId, Duration), StoreError> {
        let (status, body) = self.call(&store::lease_call(span), self.timeout).await?;
        Ok(store::lease_reply(status, &body)?)
    }

    /// Renews a lease. The answer is waited for no longer than `limit`, so that a lost one leaves the
    /// time for another try.
    pub(crate) async fn keep(
        &self,
        lease: LeaseId,
        limit: Duration,
    ) -> Result<RenewalReply, StoreError> {
        let limit = limit.min(self.timeout);
        let (status, body) = self.call(&store::renew_call(lease), limit).await?;
        Ok(store::renew_reply(status, &body)?)
    }

    pub(crate) async fn end(&self, lease: LeaseId) -> Result<(), StoreError> {
        let (status, _) = self.call(&store::revoke_call(lease), self.timeout).await?;
        Ok(store::revoke_reply(status)?)
    }

    async fn call(&self, call: &HttpCall, limit: Duration) -> Result<(u16, Bytes), StoreError> {
        self.calls.set(self.calls.get() + 1);
        let now: Time = boot_time();
        let kept = self.pool.borrow_mut().take(now, self.address, IDLE_LIMIT);
        let mut link = match kept {
            Some(link) => link,
            None => Link::open(self.address, CONNECT_LIMIT).await.ok_or(StoreError::NotSent)?,
        };
        let answer = tokio::time::timeout(limit, link.call(self.address, call, None)).await;
        match answer {
            Ok(Ok(answer)) => {
                self.pool.borrow_mut().put(boot_time(), self.address, link);
                Ok((answer.status().as_u16(), answer.into_body()))
            }
            Ok(Err(LinkError::NotSent)) => Err(StoreError::NotSent),
            Ok(Err(LinkError::Lost)) => Err(StoreError::Lost),
            Err(_) => {
                // The other idle connections have probably gone silent as well.
                self.pool.borrow_mut().forget(self.address);
                Err(StoreError::Lost)
            }
        }
    }
}
