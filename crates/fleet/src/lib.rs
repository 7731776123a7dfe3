//! Types that describe a fleet: routes, teams, services, targets, the models that engines hold, and
//! the messages between daemons and their leader.
//!
//! The types don't depend on a platform. An adapter translates a platform's documents into them,
//! and the crates `front` and `lead` base their decisions on these types only.
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
//! Use it in a platform adapter and in the crates that make decisions. It performs no I/O.
//!
//! # Limits
//!
//! A layout is immutable. A new version replaces it as a whole.

mod change;
mod engine;
mod layout;
mod share;
mod sync;
mod target;

pub use change::{ChangeBatch, StoreChange, TargetHoldings};
pub use engine::{EngineOrder, EngineReport, OrderKind, OrderReply, OrderSequence};
pub use layout::{
    Allowance, ClientLimits, ColdSetting, EngineModel, EngineSpec, FleetLayout, LayoutBuilder,
    LayoutVersion, RouteEntry, RouteKind, ServiceEntry, ServiceWeight, TeamEntry,
};
pub use share::{
    accrual_delay, even_rate, report_pause, silence_limit, window_amount, LeaderlessShare,
    SpendRate, TeamUsage, EVEN_SHARE_DELAY, PRESENCE_TIMEOUT, REPORT_PAUSE, SPENDING_WINDOW,
};
pub use sync::{
    AdapterReply, AdapterRequest, AllowanceRequest, LayoutAnswer, LayoutQuery, LayoutRequest,
    LayoutUpdate, LeaderlessState, LoadEstimate, ModelDemand, ModelNeed, PermitReply,
    PermitRequest, SyncReply, SyncReport, TargetOccupancy, TeamDraw, TeamGrant,
};
pub use target::{
    HeldModel, ModelRef, PromptPart, SoftwareVersion, TargetDeparture, TargetEntry, TargetLoad,
    TargetPhase, TargetSlowdown, WeightCopies,
};
