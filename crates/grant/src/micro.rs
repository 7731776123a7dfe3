//! Token amounts in millionths, so that small shares of small rates are not rounded to zero.

use std::time::Duration;

use base::{TokenCount, TokenRate};
use serde::{Deserialize, Serialize};

use crate::Units;

/// Micro-tokens in a token.
const MICROS_PER_TOKEN: u64 = 1_000_000;

/// A number of millionths of a token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MicroTokens(pub u64);

impl MicroTokens {
    /// Zero tokens.
    pub const ZERO: MicroTokens = MicroTokens(0);

    /// Returns the share of `count` that belongs to `units`, rounded down.
    pub(crate) fn share(count: TokenCount, units: Units) -> MicroTokens {
        MicroTokens(mul_div(
            count.0.saturating_mul(MICROS_PER_TOKEN),
            units.0.into(),
            Units::TOTAL.0.into(),
        ))
    }

    /// Returns what accrues during `span` at the share of `rate` that belongs to `units`.
    pub(crate) fn accrued(rate: TokenRate, units: Units, span: Duration) -> MicroTokens {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        // One token per second is one micro-token per microsecond.
        let full_accrual = rate.0.saturating_mul(micros);
        MicroTokens(mul_div(full_accrual, units.0.into(), Units::TOTAL.0.into()))
    }

    /// Adds, saturating at the maximum.
    pub(crate) fn add(self, other: MicroTokens) -> MicroTokens {
        MicroTokens(self.0.saturating_add(other.0))
    }

    /// Subtracts, saturating at zero.
    pub(crate) fn sub(self, other: MicroTokens) -> MicroTokens {
        MicroTokens(self.0.saturating_sub(other.0))
    }

    /// Returns the number of whole tokens, rounded up.
    pub fn ceil(self) -> TokenCount {
        TokenCount(self.0.div_ceil(MICROS_PER_TOKEN))
    }
}

impl From<TokenCount> for MicroTokens {
    fn from(count: TokenCount) -> MicroTokens {
        MicroTokens(count.0.saturating_mul(MICROS_PER_TOKEN))
    }
}

/// Returns `value * numerator / denominator`, rounded down and saturating.
fn mul_div(value: u64, numerator: u64, denominator: u64) -> u64 {
    let scaled = u128::from(value) * u128::from(numerator) / u128::from(denominator);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
