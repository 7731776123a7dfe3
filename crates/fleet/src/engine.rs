//! Orders to engines and their reports.

use std::fmt;

use base::{ModelName, Name, TargetName};

use crate::{HeldModel, ModelRef, WeightCopies};

/// The number of orders that an engine has accepted since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderSequence(pub u64);

impl fmt::Display for OrderSequence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model or an adapter.
    Load,
    /// Unload it.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Target.
    pub target: TargetName,
    /// What to do.
    pub kind: OrderKind,
    /// Model or adapter.
    pub subject: ModelRef,
    /// The order is void unless the engine has accepted exactly so many orders.
    pub expected: OrderSequence,
    /// Host that gives the order.
    pub issuer: Name,
    /// Fencing number of the issuer's term.
    pub fence: u64,
}

/// How an order was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already, or was done at once.
    Done,
    /// Another order is in progress, or the sequence differs.
    Conflict,
    /// An order with a higher fencing number was accepted before.
    Fenced,
    /// The engine finds the order invalid.
    Invalid,
    /// Another target has the address.
    Misdirected,
    /// Nothing was sent.
    NotSent,
    /// No answer arrived: it may have been accepted, or be accepted later.
    Unknown,
}

/// An engine's report of itself. Its values lag by some hundred milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Models held.
    pub models: Vec<HeldModel>,
    /// Weights that it has at hand, if it tells.
    pub copies: Option<WeightCopies>,
    /// Adapters on their way.
    pub incoming: Vec<ModelRef>,
    /// Whether an order for a model is in progress.
    pub busy: bool,
    /// Orders accepted.
    pub sequence: OrderSequence,
    /// Start of the process in milliseconds since 1970, where the report tells it.
    pub born_ms: Option<u64>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

impl EngineReport {
    /// Returns whether a model is held.
    pub fn holds(&self, model: &ModelName) -> bool {
        self.models.iter().any(|held| held.name == *model)
    }
}
