//! What a fleet of daemons knows about the world that it serves: routes, teams, services, targets
//! and what engines hold.
//!
//! The types are the product's own. An adapter for a platform translates that platform's documents
//! into them, and `front` and `lead` decide on nothing else.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use mango_fleet::{FleetLayout, RouteEntry, RouteKind};
//!
//! let mut route = RouteEntry::new("orders", "desk.example", "/orders/", RouteKind::Unsafe);
//! route.timeout = Duration::from_millis(600);
//! let layout = FleetLayout::builder(7).route(route).build();
//! assert!(layout.route("desk.example", "/orders/42").is_some());
//! assert!(layout.route("desk.example", "/orders").is_none());
//! ```
//!
//! # When to use it
//!
//! Use it between an adapter and the deciding crates. It performs no I/O.
//!
//! # Limits
//!
//! A layout is immutable; a new version replaces it whole.

mod change;
mod engine;
mod layout;
mod share;
mod sync;
mod target;

pub use change::{ChangeBatch, StoreChange, TargetHoldings};
pub use engine::{EngineOrder, EngineReport, OrderKind, OrderReply, OrderSequence};
pub use layout::{
    Allowance, ClientLimits, EngineModel, EngineShape, FleetLayout, LayoutBuilder, LayoutVersion,
    RouteEntry, RouteKind, ServiceEntry, ServiceWeight, TeamEntry,
};
pub use share::{lone_rate, SpendRate, OWN_SPAN};
pub use sync::{
    AdapterAsk, AdapterReply, CostAsk, ModelDemand, ModelOutlook, SyncReply, SyncReport,
    TargetRuns, TeamDraw, TeamGrant,
};
pub use target::{
    HeldModel, ModelRef, PromptPart, TargetDeparture, TargetEntry, TargetLoad, TargetPhase,
    WeightCopies,
};
