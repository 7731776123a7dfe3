//! Changes: drafts by operators and accepted entries of the log.

use base::{ChangeId, Revision};
use serde::{Deserialize, Serialize};

use crate::{Object, ObjectKey};

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Draft {
    /// Unique identifier; repeating a draft with the same identifier has no second effect.
    pub id: ChangeId,
    /// Who asks for the change.
    pub actor: String,
    /// Wall-clock time for the audit trail, in milliseconds since 1970; never used to decide.
    pub wall_ms: u64,
    /// The writes, all accepted or all refused.
    pub items: Vec<DraftItem>,
}

/// One write of a draft.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DraftItem {
    /// Object concerned.
    pub key: ObjectKey,
    /// New value; `None` deletes the object.
    #[serde(default)]
    pub object: Option<Object>,
    /// Revision at which the operator saw the object; 0 means that it must not exist yet, and
    /// `None` skips the check.
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

    /// Makes the write depend on the object's revision.
    pub fn based_on(mut self, revision: Revision) -> DraftItem {
        self.based_on = Some(revision);
        self
    }
}

/// One write of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Object concerned.
    pub key: ObjectKey,
    /// Value before the change.
    pub before: Option<Object>,
    /// Value after the change; `None` when it was deleted.
    pub after: Option<Object>,
}

/// An accepted change: an entry of the log and of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that the change makes.
    pub revision: Revision,
    /// Identifier chosen by the one who asked.
    pub id: ChangeId,
    /// Who asked.
    pub actor: String,
    /// Wall-clock time, in milliseconds since 1970.
    pub wall_ms: u64,
    /// The writes.
    pub writes: Vec<Write>,
}

/// Why a draft was refused, or a change can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The object is not at the revision on which the draft is based.
    #[error("{key} is at revision {actual}, not {expected}")]
    Conflict {
        /// Object concerned.
        key: ObjectKey,
        /// Revision that the draft names.
        expected: Revision,
        /// Revision of the object; 0 when it does not exist.
        actual: Revision,
    },
    /// The object to delete does not exist.
    #[error("{0} does not exist")]
    Missing(ObjectKey),
    /// A value is not acceptable.
    #[error("{key}: {reason}")]
    Invalid {
        /// Object concerned.
        key: ObjectKey,
        /// What is wrong with it.
        reason: String,
    },
    /// The draft has no item.
    #[error("the change is empty")]
    Empty,
    /// The draft has more items than one transaction of the service holds.
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
