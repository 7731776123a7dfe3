//! The lease that makes one seat the placer of its failure domain.

use std::time::Duration;

use base::{Fence, Seat, Time};
use serde::{Deserialize, Serialize};

use crate::config_sync::{parse, to_json};
use crate::{KeyValue, LeaseId, StoreTxn};

/// How long before its expiry a lease is treated as expired.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// The stored record of a placer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PlacerDoc {
    seat: Seat,
    lease: LeaseId,
}

/// A failure domain's recorded placer, with the fencing token of its term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlacerEntry {
    pub(crate) seat: Seat,
    pub(crate) lease: LeaseId,
    pub(crate) fence: Fence,
}

impl PlacerEntry {
    /// Parses a stored placer record. The fencing token is the revision of the record.
    pub(crate) fn parse(entry: &KeyValue) -> Option<PlacerEntry> {
        let doc: PlacerDoc = parse(entry)?;
        Some(PlacerEntry { seat: doc.seat, lease: doc.lease, fence: Fence(entry.revision.0) })
    }
}

/// Returns the transaction that records `seat` as placer under `key`, if there is none yet.
pub(crate) fn claim_txn(key: &str, seat: &Seat, lease: LeaseId) -> StoreTxn {
    let doc = PlacerDoc { seat: seat.clone(), lease };
    StoreTxn::default().expect(key, base::Revision(0)).put_leased(key, to_json(&doc), lease)
}

/// This daemon's lease in the key-value service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceLease {
    held: Option<(LeaseId, Time)>,
}

impl ServiceLease {
    pub(crate) fn renew(&mut self, lease: LeaseId, until: Time) {
        self.held = Some((lease, until));
    }

    pub(crate) fn clear(&mut self) {
        self.held = None;
    }

    /// Returns the lease unless it expires within [`LEASE_MARGIN`] of `now`.
    pub(crate) fn current(&self, now: Time) -> Option<LeaseId> {
        self.held.filter(|(_, until)| now + LEASE_MARGIN < *until).map(|(lease, _)| lease)
    }
}
