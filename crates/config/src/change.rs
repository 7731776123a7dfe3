//! Drafts of operators and the accepted changes that the log records.

use base::{ChangeId, Revision};
use serde::{Deserialize, Serialize};

use crate::{Object, ObjectKey};

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Draft {
    /// Unique identifier. Repeating a draft with the same identifier has no second effect.
    pub id: ChangeId,
    /// Operator that requests the change.
    pub actor: String,
    /// Wall-clock time for the audit trail, in milliseconds since 1970. No decision depends on it.
    pub wall_ms: u64,
    /// Writes, which are accepted or refused together.
    pub items: Vec<DraftItem>,
}

/// One write of a draft.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DraftItem {
    /// Object to write.
    pub key: ObjectKey,
    /// New value; `None` deletes the object.
    #[serde(default)]
    pub object: Option<Object>,
    /// Revision of the object on which the operator based the write. 0 means that the object must
    /// not exist yet; `None` skips the check.
    #[serde(default)]
    pub based_on: Option<Revision>,
}

impl DraftItem {
    /// Creates an unconditional write of `object`.
    pub fn put(object: Object) -> DraftItem {
        DraftItem { key: object.key(), object: Some(object), based_on: None }
    }

    /// Creates an unconditional deletion.
    pub fn delete(key: ObjectKey) -> DraftItem {
        DraftItem { key, object: None, based_on: None }
    }

    /// Makes the write conditional: it is refused unless the object is at `revision`.
    pub fn based_on(mut self, revision: Revision) -> DraftItem {
        self.based_on = Some(revision);
        self
    }
}

/// One write of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Object that was written.
    pub key: ObjectKey,
    /// Value before the change; `None` when the object did not exist.
    pub before: Option<Object>,
    /// Value after the change; `None` when the object was deleted.
    pub after: Option<Object>,
}

/// An accepted change, as recorded in the log, which is also the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that the change creates.
    pub revision: Revision,
    /// Identifier from the draft.
    pub id: ChangeId,
    /// Operator that requested the change.
    pub actor: String,
    /// Wall-clock time, in milliseconds since 1970.
    pub wall_ms: u64,
    /// Writes that the change consists of.
    pub writes: Vec<Write>,
}

/// The reason why a draft is refused or a change can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The object is not at the revision on which the draft is based.
    #[error("{key} is at revision {actual}, not {expected}")]
    Conflict {
        /// Object to write.
        key: ObjectKey,
        /// Revision on which the draft is based.
        expected: Revision,
        /// Current revision of the object; 0 when it does not exist.
        actual: Revision,
    },
    /// The object to delete does not exist.
    #[error("{0} does not exist")]
    Missing(ObjectKey),
    /// An object is invalid.
    #[error("{key}: {reason}")]
    Invalid {
        /// Object that is invalid.
        key: ObjectKey,
        /// Description of the fault.
        reason: String,
    },
    /// The draft has no items.
    #[error("the change is empty")]
    Empty,
    /// The draft has more items than fit into one transaction of the key-value service.
    #[error("the change has {0} objects; at most 120 fit")]
    TooMany(usize),
    /// The change does not follow the snapshot's revision.
    #[error("change {change} does not follow revision {snapshot}")]
    OutOfOrder {
        /// Revision of the change.
        change: Revision,
        /// Revision of the snapshot.
        snapshot: Revision,
    },
}
