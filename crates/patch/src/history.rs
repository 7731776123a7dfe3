//! The latest version of a value, and how to get there from earlier ones.

use std::collections::VecDeque;
use std::fmt;

use base::Revision;

use crate::{PatchError, ValueDigest, ValuePatch};

/// Size of the patches that a history keeps. Who has an earlier version gets the whole value.
const MAX_PATCH_BYTES: usize = 256 << 10;
/// Size of the values to which a history's patches lead, one after the other. Unpacking them keeps the
/// receiver from everything else.
const MAX_UNPACKED_BYTES: usize = 16 << 20;

/// One version of a value.
#[derive(Clone)]
struct ValueVersion {
    revision: Revision,
    digest: ValueDigest,
    value: Vec<u8>,
}

/// The latest version of a value that a daemon has, and the patches that lead to it.
///
/// Its `Debug` output hides the value, which may hold secrets.
///
/// The revision of a version is that of the store, or a lower one if the value came from another
/// daemon. It never exceeds that of the store, so that a later version is never taken for known.
#[derive(Clone, Default)]
pub struct ValueHistory {
    latest: Option<ValueVersion>,
    /// Each patch applies to the version to which the one before it leads.
    patches: VecDeque<ValuePatch>,
    /// The latest version as a whole, once someone has asked for it.
    whole: Option<ValuePatch>,
}

impl fmt::Debug for ValueHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ValueHistory")
            .field("revision", &self.revision())
            .field("digest", &self.digest())
            .field("patches", &self.patches)
            .finish()
    }
}

impl ValueHistory {
    /// Returns the latest version's revision.
    pub fn revision(&self) -> Option<Revision> {
        self.latest.as_ref().map(|latest| latest.revision)
    }

    /// Returns the latest version's digest.
    pub fn digest(&self) -> Option<ValueDigest> {
        self.latest.as_ref().map(|latest| latest.digest)
    }

    /// Returns the latest version.
    pub fn value(&self) -> Option<&[u8]> {
        self.latest.as_ref().map(|latest| &latest.value[..])
    }

    /// Records the latest version, and the store's revision of it or a lower one.
    pub fn replace(&mut self, revision: Revision, value: Vec<u8>) {
        let digest = ValueDigest::of(&value);
        if let Some(latest) = self.latest.as_mut().filter(|latest| latest.digest == digest) {
            latest.revision = latest.revision.max(revision);
            return;
        }
        let former = self.latest.take();
        let revision = former.as_ref().map_or(revision, |former| former.revision.max(revision));
        let patch = former.and_then(|former| ValuePatch::between(&former.value, &value).ok());
        match patch {
            Some(patch) => self.push(patch, value.len()),
            None => self.patches.clear(),
        }
        self.whole = None;
        self.latest = Some(ValueVersion { revision, digest, value });
    }

    /// Returns the version to which patches lead from the latest one, and leaves the history as it is.
    ///
    /// # Errors
    ///
    /// Fails if the patches don't apply, or if the versions to which they lead are too large in all.
    pub fn preview(&self, patches: &[ValuePatch]) -> Result<Vec<u8>, PatchError> {
        let Some((first, others)) = patches.split_first() else {
            return Ok(self.value().unwrap_or_default().to_vec());
        };
        let value = match &self.latest {
            Some(latest) => first.apply_to(latest.digest, &latest.value)?,
            None => first.apply(&[])?,
        };
        let mut unpacked = value.len();
        let (mut digest, mut value) = (first.digest(), value);
        for patch in others {
            // Former versions may have been larger than the last one, by which the sender judges.
            if unpacked > 2 * MAX_UNPACKED_BYTES {
                return Err(PatchError::TooLarge);
            }
            value = patch.apply_to(digest, &value)?;
            unpacked += value.len();
            digest = patch.digest();
        }
        Ok(value)
    }

    /// Returns the patches that lead from the version `base` to the latest one, if the history reaches
    /// back to it.
    pub fn chain_from(&self, base: ValueDigest) -> Option<Vec<ValuePatch>> {
        if self.digest() == Some(base) {
            return Some(Vec::new());
        }
        let first = self.patches.iter().rposition(|patch| patch.base() == Some(base))?;
        Some(self.patches.range(first..).cloned().collect())
    }

    /// Returns patches that lead from the version `base` to the latest one. They hold the whole value if
    /// the history doesn't reach back to `base`.
    pub fn patches_from(&mut self, base: Option<ValueDigest>) -> Vec<ValuePatch> {
        let Some(latest) = &self.latest else { return Vec::new() };
        if let Some(chain) = base.and_then(|base| self.chain_from(base)) {
            return chain;
        }
        if self.whole.is_none() {
            self.whole = ValuePatch::whole(&latest.value).ok();
        }
        self.whole.clone().into_iter().collect()
    }

    /// Adds the patch to a version of `length` bytes.
    fn push(&mut self, patch: ValuePatch, length: usize) {
        self.patches.push_back(patch);
        let mut bytes: usize = self.patches.iter().map(ValuePatch::size).sum();
        while bytes > MAX_PATCH_BYTES || self.patches.len() * length > MAX_UNPACKED_BYTES {
            let Some(oldest) = self.patches.pop_front() else { break };
            bytes -= oldest.size();
        }
    }
}
