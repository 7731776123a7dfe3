//! Newtypes for names and numeric identifiers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// An error in parsing a value from text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid {what} {text:?}: expected {expected}")]
pub struct ParseError {
    /// The kind of value that was parsed.
    pub what: &'static str,
    /// The rejected text, shortened to 64 characters.
    pub text: String,
    /// A description of the valid form.
    pub expected: &'static str,
}

impl ParseError {
    /// Creates an error for `text`, which is not a valid value of the kind `what`.
    pub fn new(what: &'static str, text: &str, expected: &'static str) -> ParseError {
        ParseError { what, text: text.chars().take(64).collect(), expected }
    }
}

/// A validated name: 1 to 128 bytes of `[A-Za-z0-9._:/-]`.
///
/// # Example
///
/// ```
/// use mango_base::Name;
/// assert!("veil-helper/7b".parse::<Name>().is_ok());
/// assert!("has space".parse::<Name>().is_err());
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl Name {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Name {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Name, ParseError> {
        let is_valid = |b: u8| b.is_ascii_alphanumeric() || b"._:/-".contains(&b);
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(is_valid) {
            return Err(ParseError::new("name", text, "1 to 128 characters of A-Za-z0-9._:/-"));
        }
        Ok(Name(text.into()))
    }
}

impl TryFrom<String> for Name {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Name, ParseError> {
        text.parse()
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.as_ref().to_owned()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}

macro_rules! name_type {
    ($(#[$doc:meta] $type:ident),* $(,)?) => {$(
        #[$doc]
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(pub Name);

        impl $type {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<$type, ParseError> {
                text.parse().map($type)
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

name_type! {
    /// The name of a team.
    TeamName,
    /// The name of a model or adapter. Both share one namespace, since callers use them alike.
    ModelName,
    /// The name of a target.
    TargetName,
    /// The name of a failure domain.
    DomainName,
    /// The address of a daemon's peer port, as `ip:port`.
    Address,
    /// The unique identifier of a configuration change, chosen before the first attempt to make it.
    ChangeId,
}

macro_rules! number_type {
    ($(#[$doc:meta] $type:ident),* $(,)?) => {$(
        #[$doc]
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub u64);

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<$type, ParseError> {
                text.parse()
                    .map($type)
                    .map_err(|_| ParseError::new(stringify!($type), text, "an unsigned integer"))
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

number_type! {
    /// The number of a configuration revision. The first accepted change creates revision 1.
    Revision,
    /// A fencing token. It increases with each new placer of a failure domain.
    Fence,
    /// Distinguishes the processes that successively use the same address.
    Incarnation,
    /// The identifier of an order to a target, unique in the fleet.
    OrderId,
    /// The identifier of a request, unique within one daemon.
    RequestId,
}

/// A daemon instance: the address of a daemon and the incarnation that uses it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seat {
    /// Peer address of the daemon.
    pub address: Address,
    /// Incarnation of the daemon at this address.
    pub incarnation: Incarnation,
}

impl fmt::Display for Seat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.address, self.incarnation.0)
    }
}
