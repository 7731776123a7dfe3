//! Places model replicas on the targets of one failure domain.
//!
//! Each failure domain has one [`Placer`]. It acts under a lease whose fencing token grows with
//! each term. It records a decision in the key-value service before it sends an order: a replica
//! is in the recorded [`TargetPlan`] before any load order for it exists. The replica stays there
//! until the target reports that it is gone *and* no load order for it can still arrive. Until
//! then it counts against the memory of the target and as one of the copies (replicas) that the
//! model may have in the fleet. A successor therefore never reuses the memory or the copy of an
//! unresolved order.
//!
//! # When an order is resolved
//!
//! An order is resolved when it can no longer arrive at the target. Its issuer is the daemon
//! instance (seat) that created it. One of these conditions suffices:
//!
//! * The target answered it, or lists it among the orders that it executed or refused.
//! * The target checks fencing tokens and acknowledged a later order.
//! * Its issuer disowns the order: it will never send it, or knows the outcome of sending it.
//! * Its issuer is proved gone, and [`PlaceConfig::order_drain`] has passed since.
//!
//! Each order is sent once, since a target may ignore fencing tokens. A retry is a new order in
//! the same plan entry.
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
//! Use it through `node`, which executes the actions. This crate does no I/O and reads no clock.
//!
//! # Limits
//!
//! [`Placer::tick`] visits each target of its failure domain and each model in demand. It takes
//! O(targets + replicas + demands × targets) time.

mod demand;
mod order;
mod placer;
mod plan;
mod policy;
mod report;

pub use demand::{DemandRefusal, ModelDemand};
pub use order::{Decided, Dispatched, Order, OrderKind, OrderMessage, OrderOutcome, Recorded};
pub use placer::{
    HostState, PlaceAction, PlaceConfig, PlaceWrite, Placer, Residency, WriteOutcome,
};
pub use plan::{CopyLedger, LoadOrder, Phase, Replica, TargetPlan};
pub use policy::{IdlePolicy, IdleTracker};
pub use report::{ReplicaReport, TargetReport};
