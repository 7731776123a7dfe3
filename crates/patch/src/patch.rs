//! One patch, and how it is computed and applied.

use std::fmt;
use std::io::{self, Read, Write};

use base64::prelude::{Engine, BASE64_STANDARD};
use serde::{Deserialize, Serialize};
use zstd::stream::{read, write};

use crate::ValueDigest;

/// Largest value that a patch may lead to.
const MAX_VALUE_BYTES: u64 = 16 << 20;
/// Fast, and for most values within a tenth of the best size.
const COMPRESSION_LEVEL: i32 = 3;
/// Window of the compression, as a power of two. It covers the whole former version and the new one.
const WINDOW_LOG: u32 = 24;

/// Why a patch can't be computed or applied.
#[derive(Debug, thiserror::Error)]
pub enum PatchError {
    /// The patch is for another version than the one at hand.
    #[error("the patch is for version {0:?}, not for the one at hand")]
    OtherBase(Option<ValueDigest>),
    /// The value is larger than any value can be, or the versions that lead to it are too large in all.
    #[error("the value, or the versions that lead to it, are too large")]
    TooLarge,
    /// What the patch leads to isn't the version that it names.
    #[error("the patch leads to another version than it names")]
    OtherResult,
    /// The data of the patch is malformed.
    #[error("malformed patch: {0}")]
    Malformed(#[from] io::Error),
}

/// A version of a value, compressed against an earlier one or by itself.
///
/// Its `Debug` output hides the data, since values may hold secrets.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValuePatch {
    /// Version to which the patch applies; `None` for a patch that holds the whole value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    base: Option<ValueDigest>,
    /// Version to which the patch leads.
    digest: ValueDigest,
    #[serde(with = "base64_text")]
    data: Vec<u8>,
}

impl ValuePatch {
    /// Computes the patch that leads from one version of a value to another.
    ///
    /// # Errors
    ///
    /// Fails if `value` has more than 16 MiB or can't be compressed for want of memory.
    pub fn between(base: &[u8], value: &[u8]) -> Result<ValuePatch, PatchError> {
        ValuePatch::compress(Some(base), value)
    }

    /// Computes a patch that holds the whole value.
    ///
    /// # Errors
    ///
    /// As for [`between`](Self::between).
    pub fn whole(value: &[u8]) -> Result<ValuePatch, PatchError> {
        ValuePatch::compress(None, value)
    }

    fn compress(base: Option<&[u8]>, value: &[u8]) -> Result<ValuePatch, PatchError> {
        if value.len() as u64 > MAX_VALUE_BYTES {
            return Err(PatchError::TooLarge);
        }
        let known = base.unwrap_or_default();
        let mut encoder = write::Encoder::with_ref_prefix(Vec::new(), COMPRESSION_LEVEL, known)?;
        let needed = (known.len() + value.len()).next_power_of_two().trailing_zeros();
        encoder.window_log(needed.clamp(10, WINDOW_LOG))?;
        encoder.long_distance_matching(true)?;
        encoder.set_pledged_src_size(Some(value.len() as u64))?;
        encoder.write_all(value)?;
        let (digest, data) = (ValueDigest::of(value), encoder.finish()?);
        Ok(ValuePatch { base: base.map(ValueDigest::of), digest, data })
    }

    /// Returns the version to which the patch applies; `None` if it holds the whole value.
    pub fn base(&self) -> Option<ValueDigest> {
        self.base
    }

    /// Returns the version to which the patch leads.
    pub fn digest(&self) -> ValueDigest {
        self.digest
    }

    /// Returns the size of the patch in bytes.
    pub fn size(&self) -> usize {
        self.data.len()
    }

    /// Applies the patch to the version `known` and returns the version to which it leads.
    ///
    /// # Errors
    ///
    /// Fails if the patch is for another version, or if it doesn't lead to the one that it names.
    pub fn apply(&self, known: &[u8]) -> Result<Vec<u8>, PatchError> {
        self.apply_to(ValueDigest::of(known), known)
    }

    /// Like [`apply`](Self::apply), to a version whose digest is known.
    pub(crate) fn apply_to(
        &self,
        digest: ValueDigest,
        known: &[u8],
    ) -> Result<Vec<u8>, PatchError> {
        if self.base.is_some_and(|base| base != digest) {
            return Err(PatchError::OtherBase(self.base));
        }
        let known = if self.base.is_some() { known } else { &[] };
        let mut decoder = read::Decoder::with_ref_prefix(&self.data[..], known)?;
        decoder.window_log_max(WINDOW_LOG)?;
        let mut value = Vec::new();
        decoder.take(MAX_VALUE_BYTES + 1).read_to_end(&mut value)?;
        if value.len() as u64 > MAX_VALUE_BYTES {
            return Err(PatchError::TooLarge);
        }
        let is_named = ValueDigest::of(&value) == self.digest;
        is_named.then_some(value).ok_or(PatchError::OtherResult)
    }
}

impl fmt::Debug for ValuePatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ValuePatch")
            .field("base", &self.base)
            .field("digest", &self.digest)
            .field("size", &self.size())
            .finish()
    }
}

/// Serializes bytes as base64 text.
mod base64_text {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{Engine, BASE64_STANDARD};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        BASE64_STANDARD.encode(bytes).serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        BASE64_STANDARD.decode(String::deserialize(deserializer)?).map_err(D::Error::custom)
    }
}
