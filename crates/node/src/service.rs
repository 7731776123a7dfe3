//! Calls to the key-value service, and events from it.

use base::{Revision, Time};

/// Identifies a call to the service within one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);

/// Identifies a lease of the service.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct LeaseId(pub i64);

/// A key with its value and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Service revision of the last change.
    pub revision: Revision,
}

/// A change of a key, as delivered by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyEvent {
    /// The key was set.
    Put(KeyValue),
    /// The key was deleted or its lease expired, at this revision.
    Deleted(String, Revision),
}

/// A condition: the key was last changed at a revision, or does not exist if the revision is 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    /// Key.
    pub key: String,
    /// Expected revision.
    pub revision: Revision,
}

/// A key to set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StorePut {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease with which the key expires.
    pub lease: Option<LeaseId>,
}

/// A transaction, which makes all writes if all conditions hold and none otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreTxn {
    /// Conditions.
    pub compares: Vec<Compare>,
    /// Keys to set.
    pub puts: Vec<StorePut>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

impl StoreTxn {
    /// Adds a condition.
    pub fn expect(mut self, key: impl Into<String>, revision: Revision) -> StoreTxn {
        self.compares.push(Compare { key: key.into(), revision });
        self
    }

    /// Adds a key to set.
    pub fn put(mut self, key: impl Into<String>, value: Vec<u8>) -> StoreTxn {
        self.puts.push(StorePut { key: key.into(), value, lease: None });
        self
    }

    /// Adds a key to set under a lease.
    pub fn put_leased(mut self, key: impl Into<String>, value: Vec<u8>, lease: LeaseId) -> Self {
        self.puts.push(StorePut { key: key.into(), value, lease: Some(lease) });
        self
    }

    /// Adds a key to delete.
    pub fn delete(mut self, key: impl Into<String>) -> StoreTxn {
        self.deletes.push(key.into());
        self
    }
}

/// A call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOp {
    /// A transaction.
    Txn(StoreTxn),
    /// A read of one key.
    Read(String),
    /// A read of all keys from the first (inclusive) to the second (exclusive).
    Range(String, String),
}

/// How a transaction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TxnOutcome {
    /// It took effect at this revision.
    Done(Revision),
    /// A condition did not hold, so it has no effect.
    Conflict,
    /// No answer was received. It may have taken effect, or may still do so later.
    Unknown,
    /// It was not sent.
    NotSent,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResult {
    /// Answer to a transaction.
    Txn(TxnOutcome),
    /// Answer to a read of one key: `None` if the service did not answer, `Some(None)` if the key
    /// does not exist.
    Read(Option<Option<KeyValue>>),
    /// Answer to a read of several keys: `None` if the service did not answer.
    Range(Option<Vec<KeyValue>>),
}

/// An event from the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceEvent {
    /// The answer to a call.
    Answered(OpId, StoreResult),
    /// Configuration, rosters and placers, read one after another.
    Listed {
        /// Time just before the first read was sent.
        asked_at: Time,
        /// The keys under [`crate::CFG_PREFIX`], read at a single revision.
        config: Vec<KeyValue>,
        /// The keys under [`crate::ROSTER_PREFIX`].
        rosters: Vec<KeyValue>,
        /// The keys under [`crate::PLACER_PREFIX`].
        placers: Vec<KeyValue>,
    },
    /// Changes under [`crate::LIVE_PREFIX`].
    Watched(Vec<KeyEvent>),
    /// The head of the configuration.
    HeadRead {
        /// Time just before the read was sent.
        asked_at: Time,
        /// The head, or `None` before the first change.
        head: Option<KeyValue>,
    },
    /// The service does not answer.
    Down,
    /// The lease was granted or renewed.
    LeaseRenewed {
        /// The lease.
        lease: LeaseId,
        /// Expiry of the lease by this host's clock, counted from before the renewal was sent.
        until: Time,
    },
    /// The lease ended.
    LeaseLost,
}
