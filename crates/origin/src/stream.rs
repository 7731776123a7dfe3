//! Streams and where they began.

use std::fmt;

use base::Name;
use fleet::SoftwareVersion;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Separates these digests from those of other data.
const CONTEXT: &[u8] = b"mangodeal stream id v1";

/// Identity of a stream: a digest of the identifier of the client's attempt that brought its first event.
/// Written in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(u128);

impl StreamId {
    /// Computes the identity from the attempt's identifier as the client sent it.
    pub fn new(attempt: &str) -> StreamId {
        let digest = Sha256::new_with_prefix(CONTEXT).chain_update(attempt).finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        StreamId(u128::from_be_bytes(bytes))
    }
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the target.
    pub service: Name,
    /// Version of the target's software; `None` if it can't be read, so that nothing continues the
    /// stream.
    pub version: Option<SoftwareVersion>,
}
