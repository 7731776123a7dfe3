//! Secret keys of callers and operators, and their hashes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::ParseError;

/// Number of random bytes in a generated key.
const KEY_BYTES: usize = 32;
const KEY_PREFIX: &str = "mk-";

/// A secret key in plain text.
///
/// It does not implement `Display`, and its `Debug` output hides the text, so that a key isn't
/// logged by accident.
#[derive(Clone)]
pub struct SecretKey(String);

impl SecretKey {
    /// Creates a key from the text that a caller or operator sent.
    pub fn new(text: impl Into<String>) -> SecretKey {
        SecretKey(text.into())
    }

    /// Generates a key with 256 random bits.
    pub fn generate() -> SecretKey {
        let bytes: [u8; KEY_BYTES] = rand::random();
        SecretKey(format!("{KEY_PREFIX}{}", to_hex(&bytes)))
    }

    /// Returns the key in plain text, to be shown to its owner once.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns the hash under which the key is stored and looked up.
    pub fn hash(&self) -> KeyHash {
        KeyHash(Sha256::digest(self.0.as_bytes()).into())
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretKey(..)")
    }
}

/// The SHA-256 digest of a key.
///
/// Generated keys have 256 random bits, so a plain digest resists guessing, and a slow password
/// hash would only delay each request. A binary search for a hash leaks timing information about
/// the digest, but the key can't be derived from the digest. [`KeyHash::matches`] nevertheless
/// compares in constant time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &KeyHash) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&to_hex(&self.0))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({}..)", &to_hex(&self.0[..4]))
    }
}

impl FromStr for KeyHash {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<KeyHash, ParseError> {
        let error = || ParseError::new("key hash", text, "64 hexadecimal digits");
        if text.len() != 64 || !text.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).map_err(|_| error())?;
        }
        Ok(KeyHash(bytes))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = ParseError;

    fn try_from(text: String) -> Result<KeyHash, ParseError> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        hash.to_string()
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
