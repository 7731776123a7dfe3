//! Newtypes for quantities.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

macro_rules! quantity_type {
    ($(#[$doc:meta] $type:ident),* $(,)?) => {$(
        #[$doc]
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub u64);

        impl $type {
            /// Zero.
            pub const ZERO: $type = $type(0);

            /// Subtracts `other`; returns zero instead of a negative result.
            pub fn saturating_sub(self, other: $type) -> $type {
                $type(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $type {
            type Output = $type;

            fn add(self, other: $type) -> $type {
                $type(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $type {
            fn add_assign(&mut self, other: $type) {
                *self = *self + other;
            }
        }

        impl Sub for $type {
            type Output = $type;

            fn sub(self, other: $type) -> $type {
                $type(self.0 - other.0)
            }
        }

        impl SubAssign for $type {
            fn sub_assign(&mut self, other: $type) {
                *self = *self - other;
            }
        }

        impl Sum for $type {
            fn sum<I: Iterator<Item = $type>>(values: I) -> $type {
                values.fold($type::ZERO, Add::add)
            }
        }
    )*};
}

quantity_type! {
    /// A number of tokens.
    TokenCount,
    /// A number of bytes.
    ByteSize,
    /// A rate in tokens per second.
    TokenRate,
}

/// Unit suffixes of a byte size and their factors.
const BYTE_UNITS: [(&str, u64); 4] =
    [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("B", 1)];

impl FromStr for ByteSize {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<ByteSize, ParseError> {
        let error =
            || ParseError::new("size", text, "a number with B, KiB, MiB or GiB, as in 64MiB");
        let (unit, factor) =
            BYTE_UNITS.iter().find(|(u, _)| text.ends_with(u)).ok_or_else(error)?;
        let digits = text[..text.len() - unit.len()].trim();
        let number: u64 = digits.parse().map_err(|_| error())?;
        number.checked_mul(*factor).map(ByteSize).ok_or_else(error)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides_evenly =
            |(_, factor): &&(&str, u64)| self.0 >= *factor && self.0.is_multiple_of(*factor);
        let unit = BYTE_UNITS[..3].iter().rev().find(divides_evenly).unwrap_or(&BYTE_UNITS[3]);
        write!(f, "{}{}", self.0 / unit.1, unit.0)
    }
}

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for TokenCount {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<TokenCount, ParseError> {
        let error = |_| ParseError::new("token count", text, "an unsigned integer");
        text.parse().map(TokenCount).map_err(error)
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for TokenRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<TokenRate, ParseError> {
        let error =
            |_| ParseError::new("token rate", text, "a number of tokens per second, as in 500/s");
        text.trim_end_matches("/s").parse().map(TokenRate).map_err(error)
    }
}
