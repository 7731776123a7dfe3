//! Request rates, as targets name them.

use std::fmt;
use std::str::FromStr;

use base::ParseError;
use serde::{Deserialize, Serialize};

/// A number of requests per second, finite and not negative.
///
/// # Example
///
/// ```
/// use mango_limit::RequestRate;
///
/// let rate: RequestRate = "2.5".parse()?;
/// assert_eq!((rate.per_second(), rate.to_string()), (2.5, "2.5".to_owned()));
/// assert!("-1".parse::<RequestRate>().is_err());
/// # Ok::<(), base::ParseError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate. Returns `None` if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<RequestRate> {
        // Adding zero turns a negative zero into a positive one.
        (per_second.is_finite() && per_second >= 0.0).then_some(RequestRate(per_second + 0.0))
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<RequestRate, ParseError> {
        let number = text.trim().parse().ok().and_then(RequestRate::new);
        number.ok_or_else(|| ParseError::new("request rate", text, "a decimal number, 0 or more"))
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = ParseError;

    fn try_from(per_second: f64) -> Result<RequestRate, ParseError> {
        RequestRate::new(per_second).ok_or_else(|| {
            ParseError::new("request rate", &per_second.to_string(), "a finite number, 0 or more")
        })
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> f64 {
        rate.0
    }
}

/// What one answer of a target says about the target's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// Nothing: the target has no limit.
    #[default]
    Absent,
    /// A value that is not a rate. It changes nothing.
    Malformed,
    /// All daemons together may send this many requests.
    Named(RequestRate),
}
