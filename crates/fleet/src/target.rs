//! Targets, their state and the models that they hold.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use base::{DomainName, ModelName, Name, ParseError, TargetName};
use limit::ColdNotice;
use serde::{Deserialize, Serialize};

use crate::TargetHoldings;

/// A reference to a model or to one of its adapters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelRef {
    /// The model, or the base model of the adapter.
    pub model: ModelName,
    /// Adapter of the model; `None` refers to the model itself.
    pub adapter: Option<Name>,
}

impl FromStr for ModelRef {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<ModelRef, ParseError> {
        let (model, adapter) = match text.split_once('/') {
            Some((model, adapter)) => (model, Some(adapter.parse()?)),
            None => (text, None),
        };
        Ok(ModelRef { model: model.parse()?, adapter })
    }
}

impl fmt::Display for ModelRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => self.model.fmt(f),
        }
    }
}

/// A model that a target holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// Name of the model.
    pub name: ModelName,
    /// Version of the model's weights.
    pub version: u64,
    /// Adapters of the model that the target holds.
    pub adapters: Vec<Name>,
}

/// Weights that are cached on an engine's host, in addition to those of the models that the engine
/// holds. Loading them does not read from the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightCopies {
    /// Models whose weights are in the host's memory.
    pub memory: Vec<ModelName>,
    /// Models whose weights are on the host's disk.
    pub disk: Vec<ModelName>,
}

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    /// The target accepts new requests.
    Ready,
    /// The target is leaving and accepts no new requests.
    Leaving {
        /// Time until the target stops, even if requests are still running. Set only if it leaves at
        /// short notice.
        left: Option<Duration>,
    },
}

/// A target process that has announced that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDeparture {
    /// Target that is leaving.
    pub target: TargetName,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// A target's entry in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Name of the target.
    pub name: TargetName,
    /// Service to which the target belongs.
    pub service: Name,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Largest number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub phase: TargetPhase,
    /// Start of the process, in milliseconds since the Unix epoch. A target can restart under the
    /// same name.
    pub born_ms: u64,
    /// Number of this entry, counted from the start of the process.
    pub beat: u64,
    /// Models that the target holds.
    pub models: Vec<HeldModel>,
    /// Weights cached on the target's host, if the target reports them.
    pub copies: Option<WeightCopies>,
    /// How long the target stays cold from when the entry was read, if it says so.
    pub cold: ColdNotice,
    /// Version of the target's software; `None` if the entry's value can't be read.
    pub version: Option<SoftwareVersion>,
}

impl TargetEntry {
    /// Returns the holdings of a newer entry if it differs from this one in nothing else. Differences
    /// in the cached weights are ignored.
    pub fn new_holdings(&self, newer: &TargetEntry) -> Option<TargetHoldings> {
        let holdings = TargetHoldings { beat: newer.beat, models: newer.models.clone() };
        let updated = TargetEntry { copies: newer.copies.clone(), ..self.clone() }
            .with_holdings(holdings.clone());
        (updated == *newer).then_some(holdings)
    }

    /// Returns the entry with its holdings replaced. The time for which the target was cold has
    /// passed in part since, so that it isn't kept.
    pub fn with_holdings(self, holdings: TargetHoldings) -> TargetEntry {
        let cold = match self.cold {
            ColdNotice::Left(left) if !left.is_zero() => ColdNotice::Absent,
            cold => cold,
        };
        TargetEntry { beat: holdings.beat, models: holdings.models, cold, ..self }
    }

    /// Returns the entry of a model if the target holds it.
    pub fn held_model(&self, model: &ModelName) -> Option<&HeldModel> {
        self.models.iter().find(|held| held.name == *model)
    }
}

/// Version of a target's software. Versions are equal or not; they have no order that matters.
///
/// A target that states no version has the default one.
///
/// # Example
///
/// ```
/// use mango_fleet::SoftwareVersion;
///
/// let version: SoftwareVersion = "v2-rc.1".parse()?;
/// assert_eq!(version.to_string(), "v2-rc.1");
/// assert_ne!(version, SoftwareVersion::default());
/// assert!("a\nb".parse::<SoftwareVersion>().is_err());
/// # Ok::<(), base::ParseError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(String);

impl SoftwareVersion {
    /// Largest length in bytes that is accepted.
    const MAX_LEN: usize = 200;
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for SoftwareVersion {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<SoftwareVersion, ParseError> {
        let is_valid =
            text.len() <= SoftwareVersion::MAX_LEN && !text.chars().any(char::is_control);
        let version = is_valid.then(|| SoftwareVersion(text.to_owned()));
        version.ok_or_else(|| {
            ParseError::new("version", text, "at most 200 bytes without control characters")
        })
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = ParseError;

    fn try_from(text: String) -> Result<SoftwareVersion, ParseError> {
        text.parse()
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> String {
        version.0
    }
}

/// How long work takes on a target at present, relative to its usual time.
///
/// # Example
///
/// ```
/// use mango_fleet::TargetSlowdown;
///
/// let slowdown: TargetSlowdown = "250".parse()?;
/// assert_eq!((slowdown.factor(), slowdown.to_string()), (2.5, "250".to_owned()));
/// assert!("0".parse::<TargetSlowdown>().is_err());
/// # Ok::<(), base::ParseError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct TargetSlowdown(u32);

impl TargetSlowdown {
    /// Work takes as long as usual.
    pub const NONE: TargetSlowdown = TargetSlowdown(100);
    /// Largest percentage that is accepted.
    const MAX_PERCENT: u32 = 100_000;

    /// Creates a slowdown from a percentage, 100 being usual. Returns `None` outside 1 to 100,000.
    pub fn from_percent(percent: u32) -> Option<TargetSlowdown> {
        (1..=TargetSlowdown::MAX_PERCENT).contains(&percent).then_some(TargetSlowdown(percent))
    }

    /// Returns the percentage.
    pub fn percent(self) -> u32 {
        self.0
    }

    /// Returns the factor on the usual duration of work.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for TargetSlowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for TargetSlowdown {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<TargetSlowdown, ParseError> {
        let number: Option<f64> = text.trim().parse().ok();
        // Casts saturate, and a number that isn't finite becomes 0 or the largest value.
        let percent = number.map(|number| number.round() as u32);
        let slowdown = percent.and_then(TargetSlowdown::from_percent);
        slowdown.ok_or_else(|| ParseError::new("slowdown", text, "a percentage from 1 to 100000"))
    }
}

impl TryFrom<u32> for TargetSlowdown {
    type Error = ParseError;

    fn try_from(percent: u32) -> Result<TargetSlowdown, ParseError> {
        percent.to_string().parse()
    }
}

impl From<TargetSlowdown> for u32 {
    fn from(slowdown: TargetSlowdown) -> u32 {
        slowdown.0
    }
}

/// A target's load, which the target reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Largest number of requests that can run concurrently.
    pub slots: u32,
    /// How long work takes on the target at present; `None` if it doesn't state that.
    pub slowdown: Option<TargetSlowdown>,
}

/// One part of a prompt. Engines cache parts and reuse a cached part if all parts before it are
/// cached too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part's text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}
