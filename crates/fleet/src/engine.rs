//! Load and unload orders to engines, and reports from engines.

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

/// An order to load or unload a model or an adapter on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Target whose engine receives the order.
    pub target: TargetName,
    /// Whether to load or to unload.
    pub kind: OrderKind,
    /// Model or adapter to load or unload.
    pub subject: ModelRef,
    /// The engine refuses the order unless it has accepted exactly this number of orders.
    pub expected: OrderSequence,
    /// Host that issues the order.
    pub issuer: Name,
    /// Fencing token of the issuer's term.
    pub fence: u64,
    /// Start of the engine for which the order was decided, in Unix milliseconds.
    pub born_ms: u64,
}

/// The result of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The engine accepted the order and is executing it.
    Accepted,
    /// The requested state was already in place, or was reached immediately.
    Done,
    /// Another order is in progress, or `expected` differs from the engine's count.
    Conflict,
    /// The engine has accepted an order with a higher fencing token.
    Fenced,
    /// The engine rejected the order as invalid.
    Invalid,
    /// A different target now listens at the address.
    Misdirected,
    /// The order was not sent.
    NotSent,
    /// No answer arrived. The engine may have accepted the order, or may still accept it.
    Unknown,
}

/// An engine's report of its state. Its values lag by a few hundred milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Models that the engine holds.
    pub models: Vec<HeldModel>,
    /// Weights cached on the engine's host, if the engine reports them.
    pub copies: Option<WeightCopies>,
    /// Adapters that are being loaded.
    pub incoming: Vec<ModelRef>,
    /// Whether the engine is executing an order for a model.
    pub busy: bool,
    /// Number of orders accepted since the engine started.
    pub sequence: OrderSequence,
    /// Start of the process in milliseconds since the Unix epoch, if reported.
    pub born_ms: Option<u64>,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

impl EngineReport {
    /// Returns whether the engine holds a model.
    pub fn holds(&self, model: &ModelName) -> bool {
        self.models.iter().any(|held| held.name == *model)
    }
}
