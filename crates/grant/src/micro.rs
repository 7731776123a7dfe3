//! Millionths of a token, so that small shares of small rates don't vanish in rounding.

use std::time::Duration;

use base::{TokenCount, TokenRate};
use serde::{Deserialize, Serialize};

use crate::Units;

/// Micro-tokens in a token.
const SCALE: u64 = 1_000_000;

/// A number of millionths of a token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MicroTokens(pub u64);

impl MicroTokens {
    /// Nothing.
    pub const ZERO: MicroTokens = MicroTokens(0);

    /// Returns the part of `count` that `units` stand for, rounded down.
    pub(crate) fn share(count: TokenCount, units: Units) -> MicroTokens {
        MicroTokens(scale(count.0.saturating_mul(SCALE), units.0.into(), Units::TOTAL.0.into()))
    }

    /// Returns what accrues in `span` at the part of `rate` that `units` stand for.
    pub(crate) fn accrued(rate: TokenRate, units: Units, span: Duration) -> MicroTokens {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        // One token per second is one micro-token per microsecond.
        let whole = rate.0.saturating_mul(micros);
        MicroTokens(scale(whole, units.0.into(), Units::TOTAL.0.into()))
    }

    pub(crate) fn add(self, other: MicroTokens) -> MicroTokens {
        MicroTokens(self.0.saturating_add(other.0))
    }

    pub(crate) fn sub(self, other: MicroTokens) -> MicroTokens {
        MicroTokens(self.0.saturating_sub(other.0))
    }

    /// Returns the whole tokens, rounded up.
    pub fn ceil(self) -> TokenCount {
        TokenCount(self.0.div_ceil(SCALE))
    }
}

impl From<TokenCount> for MicroTokens {
    fn from(count: TokenCount) -> MicroTokens {
        MicroTokens(count.0.saturating_mul(SCALE))
    }
}

fn scale(value: u64, numerator: u64, denominator: u64) -> u64 {
    let scaled = u128::from(value) * u128::from(numerator) / u128::from(denominator);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
