//! Digests that identify versions of a value.

use std::fmt;
use std::str::FromStr;

use base::ParseError;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const DIGEST_BYTES: usize = 16;

/// The SHA-256 digest of a value's bytes, shortened to 128 bits.
///
/// # Example
///
/// ```
/// use mango_patch::ValueDigest;
///
/// let digest = ValueDigest::of(b"abc");
/// assert_eq!(digest.to_string(), "ba7816bf8f01cfea414140de5dae2223");
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ValueDigest([u8; DIGEST_BYTES]);

impl ValueDigest {
    /// Computes the digest of a value.
    pub fn of(value: &[u8]) -> ValueDigest {
        let full: [u8; 32] = Sha256::digest(value).into();
        ValueDigest(std::array::from_fn(|at| full[at]))
    }
}

impl fmt::Display for ValueDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ValueDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ValueDigest({self})")
    }
}

impl FromStr for ValueDigest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<ValueDigest, ParseError> {
        let error = || ParseError::new("value digest", text, "32 hexadecimal digits");
        let number = u128::from_str_radix(text, 16).map_err(|_| error())?;
        let is_whole = text.len() == DIGEST_BYTES * 2 && !text.starts_with('+');
        is_whole.then_some(ValueDigest(number.to_be_bytes())).ok_or_else(error)
    }
}

impl TryFrom<String> for ValueDigest {
    type Error = ParseError;

    fn try_from(text: String) -> Result<ValueDigest, ParseError> {
        text.parse()
    }
}

impl From<ValueDigest> for String {
    fn from(digest: ValueDigest) -> String {
        digest.to_string()
    }
}
