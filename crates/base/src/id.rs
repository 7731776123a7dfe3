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
    /// An era of a store, which rises when the store returns from an older copy. 0: it has no eras.
    StoreEra,
}

/// Number of bits of a revision below its era. Together with the era, a revision stays exact as a JSON
/// number for 8,192 eras.
const NUMBER_BITS: u32 = 40;

/// Revisions of a store contain its era, so that any revision of a later era is greater. The parts are
/// only needed where calls to the store are built and answers read.
///
/// # Example
///
/// ```
/// use mango_base::{Revision, StoreEra};
///
/// let (before, after) = (Revision::in_era(StoreEra(1), 117), Revision::in_era(StoreEra(2), 88));
/// assert!(after > before);
/// assert_eq!((after.era(), after.number()), (StoreEra(2), 88));
/// assert_eq!(Revision::in_era(StoreEra(0), 7), Revision(7));
/// ```
impl Revision {
    /// Creates the revision with this number in an era. The number 0, before the first revision, is the
    /// same in all eras.
    pub fn in_era(era: StoreEra, number: u64) -> Revision {
        if number == 0 {
            return Revision(0);
        }
        Revision((era.0 << NUMBER_BITS) + number)
    }

    /// Returns the era of the store's revision.
    pub fn era(self) -> StoreEra {
        StoreEra(self.0 >> NUMBER_BITS)
    }

    /// Returns the number of the store's revision within its era.
    pub fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
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
