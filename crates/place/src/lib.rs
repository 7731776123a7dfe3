//! Placement: which replicas run on which targets of one failure domain.
//!
//! One [`Placer`] decides for a failure domain, under a lease with a fencing number that only
//! grows. It decides, has the decision recorded, and only then orders: a replica is in the
//! recorded [`TargetPlan`] before any load order for it exists, and it stays there, counted in
//! copies and memory, until the target reports it gone *and* no load order for it can still
//! arrive. A successor therefore never gives the memory or the copy of an unresolved order to
//! anything else.
//!
//! # When an order is resolved
//!
//! * The target answered it, or lists it among the orders that it executed or refused.
//! * The target checks fencing numbers and acknowledged a later one.
//! * Its issuer states that it was never sent and never will be.
//! * Its issuer is proved gone, and [`PlaceConfig::order_drain`] passed since.
//!
//! To a target that ignores fencing numbers each order goes out once; a repetition is a new order
//! in the same plan entry.
//!
//! # Example
//!
//! ```
//! use base::{ByteSize, ModelName, SortedMap};
//! use mango_place::{LoadOrder, Phase, Replica, TargetPlan};
//!
//! let mut plan = TargetPlan::default();
//! let model: ModelName = "lace-7b".parse()?;
//! plan.replicas.insert(model, Replica::new(ByteSize(100), Phase::Loading, Vec::<LoadOrder>::new()));
//! assert_eq!(plan.committed(), ByteSize(100));
//! # Ok::<(), base::ParseError>(())
//! ```
//!
//! # When to use it
//!
//! Use it through `node`, which carries out the actions. The crate is pure.
//!
//! # Limits
//!
//! [`Placer::tick`] visits each target and each wanted model of its failure domain: O(targets +
//! replicas + wants × targets).

mod order;
mod placer;
mod plan;
mod policy;
mod report;
mod want;

pub use order::{Decided, Dispatched, Order, OrderKind, OrderMessage, OrderOutcome, Recorded};
pub use placer::{
    HostState, PlaceAction, PlaceConfig, PlaceWrite, Placer, Residency, WriteOutcome,
};
pub use plan::{CopyLedger, LoadOrder, Phase, Replica, TargetPlan};
pub use policy::{IdlePolicy, KeepAlive};
pub use report::{ReplicaReport, TargetReport};
pub use want::{ModelWant, WantAnswer};
