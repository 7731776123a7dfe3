//! Digests that identify a request when it comes again.

use std::fmt;
use std::str::FromStr;

use base::{ParseError, TeamName};
use sha2::{Digest, Sha256};

/// Separates these digests from those of other data.
const CONTEXT: &[u8] = b"mangodeal request digest v1";

/// Digest of what a request asks for: its method, its path with the query, and its body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentDigest([u8; 32]);

impl ContentDigest {
    /// Computes the digest of a request. `path` includes the query.
    pub fn new(method: &str, path: &str, body: &[u8]) -> ContentDigest {
        let mut hasher = Sha256::new_with_prefix(CONTEXT);
        for text in [method, path] {
            hasher.update((text.len() as u64).to_be_bytes());
            hasher.update(text);
        }
        hasher.update(body);
        ContentDigest(hasher.finalize().into())
    }
}

/// Identity of a request: its content and its caller. It is the same at every daemon, and reveals
/// neither the body nor a key. Written in hexadecimal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Computes the identity of a request of a team; `None` is a caller without a key. A team may have
    /// several keys, and replaces them, so that the key is no part of the identity.
    pub fn new(content: &ContentDigest, team: Option<&TeamName>) -> RequestDigest {
        let mut hasher = Sha256::new_with_prefix(content.0);
        if let Some(team) = team {
            hasher.update([1]);
            hasher.update(team.as_str());
        }
        let digest = hasher.finalize();
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&digest[..8]);
        RequestDigest(u64::from_be_bytes(bytes))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<RequestDigest, ParseError> {
        let digest = u64::from_str_radix(text, 16);
        digest
            .map(RequestDigest)
            .map_err(|_| ParseError::new("request digest", text, "a hexadecimal number"))
    }
}
