//! Targets as they describe themselves.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use base::{DomainName, ModelName, Name, ParseError, TargetName};
use serde::{Deserialize, Serialize};

use crate::TargetHoldings;

/// A model, or an adapter of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelRef {
    /// Model whose weights are needed.
    pub model: ModelName,
    /// Adapter of that model.
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
    /// Name.
    pub name: ModelName,
    /// Version of its weights.
    pub version: u64,
    /// Adapters of it that are held.
    pub adapters: Vec<Name>,
}

/// Weights that an engine has at hand beside those of the models that it holds: a load of them needs
/// nothing from the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightCopies {
    /// Models whose weights are in its host's memory.
    pub memory: Vec<ModelName>,
    /// Models whose weights are on its disk.
    pub disk: Vec<ModelName>,
}

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    /// It takes work.
    Ready,
    /// It leaves and takes no new work.
    Leaving {
        /// Time until it is gone whatever it runs, if it leaves at short notice.
        left: Option<Duration>,
    },
}

/// A start of a target that leaves by its own word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDeparture {
    /// Target.
    pub target: TargetName,
    /// Start of its process, in milliseconds since 1970.
    pub born_ms: u64,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Identity of one start of the target.
    pub name: TargetName,
    /// Service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub phase: TargetPhase,
    /// Start of the process, in milliseconds since 1970. A target can start again under its name.
    pub born_ms: u64,
    /// Number of this entry among those of its start.
    pub beat: u64,
    /// Models that it holds.
    pub models: Vec<HeldModel>,
    /// Weights that it has at hand, if it tells.
    pub copies: Option<WeightCopies>,
}

impl TargetEntry {
    /// Returns the part of a newer entry that differs from this one, if that is only what the target
    /// holds.
    pub fn new_holdings(&self, newer: &TargetEntry) -> Option<TargetHoldings> {
        let held = TargetHoldings { beat: newer.beat, models: newer.models.clone() };
        let same = TargetEntry { copies: newer.copies.clone(), ..self.clone() }.with(held.clone());
        (same == *newer).then_some(held)
    }

    /// Returns the entry with other holdings.
    pub fn with(self, holdings: TargetHoldings) -> TargetEntry {
        TargetEntry { beat: holdings.beat, models: holdings.models, ..self }
    }

    /// Returns what the target holds of a model.
    pub fn held(&self, model: &ModelName) -> Option<&HeldModel> {
        self.models.iter().find(|held| held.name == *model)
    }
}

/// A target's load as it tells with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// One part of a prompt. Engines keep parts and don't read them again when all parts before them
/// are kept too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of its text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}
