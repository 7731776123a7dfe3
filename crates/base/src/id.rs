//! Newtypes for identifiers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// A text that does not have the form its type asks for.
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
    /// Creates an error for `text`, which is not a valid `what`.
    pub fn new(what: &'static str, text: &str, expected: &'static str) -> ParseError {
        ParseError { what, text: text.chars().take(64).collect(), expected }
    }
}

/// A checked name: 1 to 128 bytes of `[A-Za-z0-9._:/-]`.
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
        let valid = |b: u8| b.is_ascii_alphanumeric() || b"._:/-".contains(&b);
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(valid) {
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
    /// The name of a model or of an adapter; both share one name space, as callers see it.
    ModelName,
    /// The name of a target.
    TargetName,
    /// The name of a failure domain.
    DomainName,
    /// The address of a daemon's peer port, as `ip:port`.
    Address,
    /// The unique identifier of one configuration change, chosen before the first attempt.
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
    /// The number of a configuration revision; the first accepted change makes revision 1.
    Revision,
    /// A fencing number: grows with each new placer of a failure domain.
    Fence,
    /// Tells two processes apart that used the same address.
    Incarnation,
    /// One order to a target, unique over the fleet.
    OrderId,
    /// One request within one daemon.
    RequestId,
}

/// One daemon process: an address together with the incarnation that uses it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seat {
    /// Peer address of the process.
    pub address: Address,
    /// Incarnation of the process at this address.
    pub incarnation: Incarnation,
}

impl fmt::Display for Seat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.address, self.incarnation.0)
    }
}
