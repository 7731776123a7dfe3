//! The pool, and the buffers that count toward its limit.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::{ByteSize, SortedMap};
use bytes::{Bytes, BytesMut};
use tokio::sync::Notify;

/// Least capacity of a buffer that isn't empty.
const MIN_CAPACITY: usize = 512;

/// On whose behalf a buffer is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BufferOwner {
    /// The server at an address. All its buffers count together.
    Server(SocketAddr),
    /// One request of a client.
    Request(u64),
}

impl std::fmt::Display for BufferOwner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BufferOwner::Server(address) => write!(f, "server {address}"),
            BufferOwner::Request(number) => write!(f, "request {number}"),
        }
    }
}

/// Why a buffer can't take more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BufferError {
    /// The pool is full, and this is the largest buffer of the owner that holds most.
    #[error("evicted from the buffer pool")]
    Evicted,
}

/// Present use of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolUsage {
    /// Bytes of all buffers and finished bodies.
    pub used: ByteSize,
    /// Number of buffers that were evicted since the pool was created.
    pub evictions: u64,
}

/// A buffer that counts toward the limit.
#[derive(Debug)]
struct ChargeEntry {
    owner: BufferOwner,
    bytes: u64,
    /// Whether the buffer may be evicted.
    is_open: bool,
    evicted: Arc<Notify>,
}

#[derive(Debug, Default)]
struct PoolState {
    used: u64,
    evictions: u64,
    next_id: u64,
    charges: SortedMap<u64, ChargeEntry>,
}

impl PoolState {
    /// Returns the largest open buffer of the owner whose open buffers hold most.
    fn choose_victim(&self) -> Option<u64> {
        let mut totals: SortedMap<BufferOwner, u64> = SortedMap::default();
        let open = || self.charges.iter().filter(|(_, charge)| charge.is_open && charge.bytes > 0);
        for (_, charge) in open() {
            *totals.entry(charge.owner, || 0) += charge.bytes;
        }
        let (owner, _) = totals.iter().max_by_key(|(_, total)| **total)?;
        let owned = open().filter(|(_, charge)| charge.owner == *owner);
        owned.max_by_key(|(_, charge)| charge.bytes).map(|(id, _)| *id)
    }

    fn evict(&mut self, id: u64) {
        if let Some(charge) = self.charges.remove(&id) {
            self.used -= charge.bytes;
            self.evictions += 1;
            charge.evicted.notify_one();
        }
    }
}

/// Buffers that share one limit.
#[derive(Clone, Debug)]
pub struct BufferPool {
    limit: ByteSize,
    state: Arc<Mutex<PoolState>>,
}

impl BufferPool {
    /// Creates a pool whose buffers hold at most `limit` together.
    pub fn new(limit: ByteSize) -> BufferPool {
        BufferPool { limit, state: Arc::default() }
    }

    /// Opens an empty buffer.
    pub fn open(&self, owner: BufferOwner) -> BodyBuffer {
        BodyBuffer { data: BytesMut::new(), charge: self.charge(owner) }
    }

    /// Opens a charge of zero bytes, for a buffer that is kept elsewhere.
    pub fn charge(&self, owner: BufferOwner) -> BufferCharge {
        let evicted = Arc::new(Notify::new());
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        let entry = ChargeEntry { owner, bytes: 0, is_open: true, evicted: evicted.clone() };
        state.charges.insert(id, entry);
        drop(state);
        BufferCharge { pool: self.clone(), id, evicted }
    }

    /// Returns the limit.
    pub fn limit(&self) -> ByteSize {
        self.limit
    }

    /// Returns the present use.
    pub fn usage(&self) -> PoolUsage {
        let state = self.lock();
        PoolUsage { used: ByteSize(state.used), evictions: state.evictions }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        // No code panics while it holds the lock.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The share of one buffer in its pool. Dropping it returns the share.
#[derive(Debug)]
pub struct BufferCharge {
    pool: BufferPool,
    id: u64,
    evicted: Arc<Notify>,
}

impl BufferCharge {
    /// Changes the size of the buffer, and evicts larger ones if the pool is full.
    ///
    /// # Errors
    ///
    /// Fails if this buffer has been evicted itself. Its memory must be freed then.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BufferError> {
        let bytes = bytes as u64;
        let mut state = self.pool.lock();
        let Some(charge) = state.charges.get_mut(&self.id) else {
            return Err(BufferError::Evicted);
        };
        let former = std::mem::replace(&mut charge.bytes, bytes);
        state.used = state.used - former + bytes;
        while state.used > self.pool.limit.0 && bytes > former {
            // Finished bodies alone may exceed the limit with this buffer.
            let victim = state.choose_victim().unwrap_or(self.id);
            state.evict(victim);
            if victim == self.id {
                return Err(BufferError::Evicted);
            }
        }
        Ok(())
    }

    /// Waits until the buffer is evicted.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Excludes the buffer from eviction.
    fn close(&mut self) -> Result<(), BufferError> {
        let mut state = self.pool.lock();
        let charge = state.charges.get_mut(&self.id).ok_or(BufferError::Evicted)?;
        charge.is_open = false;
        Ok(())
    }
}

impl Drop for BufferCharge {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        if let Some(charge) = state.charges.remove(&self.id) {
            state.used -= charge.bytes;
        }
    }
}

/// A body that is being received.
#[derive(Debug)]
pub struct BodyBuffer {
    data: BytesMut,
    charge: BufferCharge,
}

impl BodyBuffer {
    /// Appends a copy of `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the buffer has been evicted, now or earlier. Its bytes are lost.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BufferError> {
        let needed = self.data.len() + bytes.len();
        if needed > self.data.capacity() {
            let capacity = needed.max(self.data.capacity() * 2).max(MIN_CAPACITY);
            if let Err(error) = self.charge.resize(capacity) {
                self.data = BytesMut::new();
                return Err(error);
            }
            self.data.reserve(capacity - self.data.len());
        }
        self.data.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Returns whether the buffer has no bytes.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Waits until the buffer is evicted.
    pub async fn evicted(&self) {
        self.charge.evicted().await;
    }

    /// Returns the complete body. It counts toward the limit until it is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the buffer has been evicted.
    pub fn finish(mut self) -> Result<Bytes, BufferError> {
        self.charge.close()?;
        if self.data.is_empty() {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from_owner(FinishedBody { data: self.data, _charge: self.charge }))
    }
}

/// A finished body with its share in the pool.
struct FinishedBody {
    data: BytesMut,
    _charge: BufferCharge,
}

impl AsRef<[u8]> for FinishedBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
