//! Client of the metadata store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{Revision, StoreEra, Time};
use buffer::BufferPool;
use bytes::Bytes;
use daemon::boot_time;
use node::{KeyEvent, KeyValue, LeaseId, StoreTxn};
use platform::store::{self, RangePage, RenewalReply, TxnReply, WatchReply};
use platform::{FormatError, HttpCall};

use crate::conn::{CallLimits, ConnError, ConnPool, PooledConn};
use crate::descriptors::DescriptorReserve;
use crate::logging::LogLine;

/// Time limit of connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest idle time after which a connection to the store is reused. If the store has closed it,
/// the cost is one more call: every call can be repeated, or its outcome found out.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);
/// Largest answer of the store.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Longest time to read an answer that keeps arriving.
const MAX_READ_TIME: Duration = Duration::from_secs(8);
/// How much longer than its wait a watch may take.
const WATCH_SLACK: Duration = Duration::from_millis(900);

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreError {
    /// No byte of the call was sent.
    #[error("not sent")]
    NotSent,
    /// The call may have been sent, but no answer arrived.
    #[error("no answer")]
    Lost,
    /// The answer is longer than its limit.
    #[error("answer too long")]
    TooLong,
    /// The answer is from an earlier era of the store, so what it says is undone.
    #[error("answer of an earlier era")]
    Outdated,
    /// The answer has an unexpected form or status.
    #[error(transparent)]
    Form(#[from] FormatError),
}

/// Era, status and body of an answer.
type Answer = (StoreEra, u16, Bytes);

fn value_in_era(era: StoreEra, item: KeyValue) -> KeyValue {
    KeyValue { revision: Revision::in_era(era, item.revision.0), ..item }
}

fn event_in_era(era: StoreEra, event: KeyEvent) -> KeyEvent {
    match event {
        KeyEvent::Put(item) => KeyEvent::Put(value_in_era(era, item)),
        KeyEvent::Deleted(key, revision) => {
            KeyEvent::Deleted(key, Revision::in_era(era, revision.0))
        }
    }
}

/// The daemon's only client of the store.
pub(crate) struct StoreClient {
    address: SocketAddr,
    timeout: Duration,
    pool: RefCell<ConnPool>,
    buffers: BufferPool,
    descriptors: Rc<DescriptorReserve>,
    calls: Cell<u64>,
    /// Latest era of the store that an answer named; `None` before the first answer.
    era: Cell<Option<StoreEra>>,
}

impl StoreClient {
    pub(crate) fn new(
        address: SocketAddr,
        timeout: Duration,
        buffers: BufferPool,
        descriptors: Rc<DescriptorReserve>,
    ) -> StoreClient {
        StoreClient {
            address,
            timeout,
            pool: RefCell::default(),
            buffers,
            descriptors,
            calls: Cell::new(0),
            era: Cell::new(None),
        }
    }

    /// Returns the number of calls so far.
    pub(crate) fn call_count(&self) -> u64 {
        self.calls.get()
    }

    /// Returns the store's era, as far as known.
    pub(crate) fn era(&self) -> StoreEra {
        self.era.get().unwrap_or_default()
    }

    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<RangePage, StoreError> {
        let call = store::range_call(prefix, after);
        let (era, status, body) = self.call(&call, self.timeout).await?;
        let page = store::range_reply(status, &body)?;
        Ok(RangePage {
            items: page.items.into_iter().map(|item| value_in_era(era, item)).collect(),
            revision: Revision::in_era(era, page.revision.0),
            ..page
        })
    }

    /// Reads all keys that precede `end`. Returns the revision of the first page: the caller watches
    /// from there, since later pages may or may not show changes after it.
    pub(crate) async fn range_before(
        &self,
        end: &str,
    ) -> Result<(Vec<KeyValue>, Revision), StoreError> {
        let first = self.range("", None).await?;
        let (mut items, mut has_more_pages, revision) =
            (first.items, first.has_more, first.revision);
        let is_before_end =
            |items: &[KeyValue]| items.last().is_none_or(|item: &KeyValue| item.key.as_str() < end);
        while has_more_pages && is_before_end(&items) {
            let after = items.last().map(|item| item.key.clone());
            let page = self.range("", after.as_deref()).await?;
            if page.revision.era() != revision.era() {
                return Err(StoreError::Outdated);
            }
            has_more_pages = page.has_more;
            items.extend(page.items);
        }
        items.retain(|item| item.key.as_str() < end);
        Ok((items, revision))
    }

    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchReply, StoreError> {
        self.watch_within(prefix, after, wait, (self.watch_limit(wait), MAX_ANSWER_BYTES)).await
    }

    /// Returns how long nothing may arrive of a watch.
    pub(crate) fn watch_limit(&self, wait: Duration) -> Duration {
        (wait + WATCH_SLACK).max(self.timeout)
    }

    /// Like [`watch`](Self::watch), and fails if nothing arrives for as long as `silence`, or if the
    /// answer is longer than `max_bytes`.
    pub(crate) async fn watch_within(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
        limits: (Duration, usize),
    ) -> Result<WatchReply, StoreError> {
        self.watch_noting(prefix, after, wait, limits, &Cell::new(false)).await
    }

    /// Like [`watch_within`](Self::watch_within). Sets `has_begun` once the answer begins to arrive.
    pub(crate) async fn watch_noting(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
        (silence, max_bytes): (Duration, usize),
        has_begun: &Cell<bool>,
    ) -> Result<WatchReply, StoreError> {
        let call = store::watch_call(prefix, after, wait);
        let limits = CallLimits { silence, total: MAX_READ_TIME, has_begun };
        let (era, status, body) = self.call_within(&call, &limits, max_bytes).await?;
        match store::watch_reply(status, &body)? {
            // The changes since another revision with the same number.
            WatchReply::Changes(..) if after.era() != era => Ok(WatchReply::Compacted),
            WatchReply::Changes(events, revision) => {
                let events = events.into_iter().map(|event| event_in_era(era, event));
                Ok(WatchReply::Changes(events.collect(), Revision::in_era(era, revision.0)))
            }
            WatchReply::Compacted => Ok(WatchReply::Compacted),
        }
    }

    pub(crate) async fn read_key(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        self.read_key_within(key, self.timeout, &Cell::new(false)).await
    }

    /// Like [`read_key`](Self::read_key), and fails if nothing arrives for as long as `limit`. Sets
    /// `has_begun` once the answer begins to arrive.
    pub(crate) async fn read_key_within(
        &self,
        key: &str,
        limit: Duration,
        has_begun: &Cell<bool>,
    ) -> Result<Option<KeyValue>, StoreError> {
        let limits = CallLimits { silence: limit, total: MAX_READ_TIME, has_begun };
        let (era, status, body) =
            self.call_within(&store::key_call(key), &limits, MAX_ANSWER_BYTES).await?;
        let item = store::key_reply(status, &body)?;
        Ok(item.map(|item| value_in_era(era, item)))
    }

    /// Runs a transaction. One that compares with revisions of an earlier era conflicts: the store may
    /// have given out the same numbers again.
    pub(crate) async fn commit(&self, txn: &StoreTxn) -> Result<TxnReply, StoreError> {
        let is_outdated = |revision: Revision| revision.0 > 0 && revision.era() != self.era();
        if txn.compares.iter().any(|compare| is_outdated(compare.revision)) {
            return Ok(TxnReply::Conflict);
        }
        let (era, status, body) = self.call(&store::txn_call(txn), self.timeout).await?;
        Ok(match store::txn_reply(status, &body)? {
            TxnReply::Done(revision) => TxnReply::Done(Revision::in_era(era, revision.0)),
            reply => reply,
        })
    }

    pub(crate) async fn grant_lease(
        &self,
        span: Duration,
    ) -> Result<(LeaseId, Duration), StoreError> {
        let (_, status, body) = self.call(&store::lease_call(span), self.timeout).await?;
        Ok(store::lease_reply(status, &body)?)
    }

    /// Renews a lease. Waits no longer than `limit` for the answer, so that time for another try
    /// remains when it is lost.
    pub(crate) async fn renew_lease(
        &self,
        lease: LeaseId,
        limit: Duration,
    ) -> Result<RenewalReply, StoreError> {
        let limit = limit.min(self.timeout);
        let (_, status, body) = self.call(&store::renew_call(lease), limit).await?;
        Ok(store::renew_reply(status, &body)?)
    }

    pub(crate) async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let (_, status, _) = self.call(&store::revoke_call(lease), self.timeout).await?;
        Ok(store::revoke_reply(status)?)
    }

    /// Records the era of an answer.
    fn record_era(&self, era: StoreEra) -> Result<(), StoreError> {
        let known = self.era.get();
        if known.is_some_and(|known| era < known) {
            return Err(StoreError::Outdated);
        }
        self.era.set(Some(era));
        if let Some(former) = known.filter(|known| *known != era) {
            LogLine::new("store_era").with("era", era.0).with("former", former.0).warn();
        }
        Ok(())
    }

    async fn call(&self, call: &HttpCall, limit: Duration) -> Result<Answer, StoreError> {
        let has_begun = Cell::new(false);
        let limits = CallLimits { silence: limit, total: MAX_READ_TIME, has_begun: &has_begun };
        self.call_within(call, &limits, MAX_ANSWER_BYTES).await
    }

    async fn call_within(
        &self,
        call: &HttpCall,
        limits: &CallLimits<'_>,
        max_bytes: usize,
    ) -> Result<Answer, StoreError> {
        self.calls.set(self.calls.get() + 1);
        let now: Time = boot_time();
        let pooled = self.pool.borrow_mut().take(now, self.address, MAX_IDLE_TIME);
        let mut conn = match pooled {
            Some(conn) => conn,
            None => {
                let limit = CONNECT_TIMEOUT.min(limits.silence);
                PooledConn::open_reserved(self.address, limit, &self.descriptors)
                    .await
                    .ok_or(StoreError::NotSent)?
            }
        };
        let buffers = (max_bytes, &self.buffers);
        match conn.call_steadily(self.address, call, limits, buffers).await {
            Ok(answer) => {
                self.pool.borrow_mut().put(boot_time(), self.address, conn);
                let era = store::read_era(answer.headers())?;
                self.record_era(era)?;
                Ok((era, answer.status().as_u16(), answer.into_body()))
            }
            Err(ConnError::NotSent) => Err(StoreError::NotSent),
            Err(ConnError::Lost) => Err(StoreError::Lost),
            Err(ConnError::TooLong) => Err(StoreError::TooLong),
            Err(ConnError::Silent) => {
                // The other idle connections are probably dead as well.
                self.pool.borrow_mut().remove_all(self.address);
                Err(StoreError::Lost)
            }
        }
    }
}
