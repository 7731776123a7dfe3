//! Store changes in the form in which daemons forward them to each other.

use base::Revision;
use serde::{Deserialize, Serialize};

use crate::HeldModel;

/// A change to one key of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChange {
    /// The changed key.
    pub key: String,
    /// Store revision of the change.
    pub revision: Revision,
    /// The new value; `None` if the key was deleted, if `holdings` is set, or if the value is
    /// omitted.
    #[serde(with = "base64_text", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Vec<u8>>,
    /// Set if the key holds a target's entry and only this part of the entry changed. Empty if the value
    /// is omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holdings: Option<TargetHoldings>,
    /// Set if the value is too large to send; the receiving daemon reads the key from the store.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_omitted: bool,
}

/// The part of a target's entry that changes with each load of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetHoldings {
    /// Number of the entry, counted from the start of the target's process.
    pub beat: u64,
    /// Models that the target holds.
    pub models: Vec<HeldModel>,
}

/// All store changes between two revisions. If a key changed several times, the batch may contain
/// only its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// Start of the range, exclusive: the batch contains the changes after this revision.
    pub after: Revision,
    /// End of the range, inclusive.
    pub until: Revision,
    /// Time since the store was read, in milliseconds. Later changes may be missing.
    pub age_ms: u64,
    /// Changes in order of revision.
    pub changes: Vec<StoreChange>,
}

impl ChangeBatch {
    /// Returns the changes after `known`, the revision up to which the caller has all changes.
    /// Returns `None` if the batch begins after `known`, which would leave a gap.
    pub fn since(self, known: Revision) -> Option<Vec<StoreChange>> {
        let newer = |change: &StoreChange| change.revision > known;
        (self.after <= known).then(|| self.changes.into_iter().filter(newer).collect())
    }
}

/// Serializes values as base64 text, because they may hold arbitrary bytes.
mod base64_text {
    use base64::prelude::{Engine, BASE64_STANDARD};
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(super) fn serialize<S: Serializer>(
        value: &Option<Vec<u8>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        value.as_ref().map(|bytes| BASE64_STANDARD.encode(bytes)).serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Vec<u8>>, D::Error> {
        let text = Option::<String>::deserialize(deserializer)?;
        text.map(|text| BASE64_STANDARD.decode(text).map_err(D::Error::custom)).transpose()
    }
}
