//! The decision state of one entry host, as a deterministic state machine.
//!
//! [`Node::handle`] takes an [`Event`] and the current time and returns the [`Action`]s that the
//! host must carry out. A node has no other input or output: it performs no I/O and reads no clock,
//! so the same code runs in the daemon, under stateful fuzzing and in the capacity measurements.
//!
//! # Example
//!
//! ```
//! use base::Time;
//! use mango_node::{Action, Event, Node, NodeConfig};
//!
//! let config = NodeConfig::new("127.0.0.1:7001".parse()?, "east".parse()?);
//! let mut node = Node::new(Time::ZERO, config);
//! let actions = node.handle(Time::ZERO, Event::Tick);
//! assert!(actions.iter().all(|action| !matches!(action, Action::Dispatch(_))));
//! # Ok::<(), base::ParseError>(())
//! ```
//!
//! # When to use it
//!
//! Use a node for every decision of a host that depends on shared state. Code that only looks up
//! the configuration reads the snapshot in [`Action::Publish`] instead.
//!
//! # Limits
//!
//! Handling an event takes O(waiting requests + replicas of the requested models) time. A node
//! holds the configuration, the rosters and the views of all failure domains in memory.

mod config_sync;
mod event;
mod keys;
mod lease;
mod member;
mod message;
mod node;
mod request;
mod service;
mod stats;
mod token;
mod view;

pub use event::{
    Action, DispatchOrder, Event, HostEntry, HostList, HostRole, NewRequest, ProposalResult,
    Refusal, RequestEnd, RequestGoal,
};
pub use keys::{
    claim_key, copies_key, placer_key, plan_key, roster_key, CFG_PREFIX, HEAD_KEY, LIVE_PREFIX,
    LOG_PREFIX, PLACER_PREFIX, ROSTER_PREFIX,
};
pub use message::{DomainView, PeerMessage, RosterDoc, SnapshotDoc, ViewDelta};
pub use node::{Node, NodeConfig};
pub use request::{RequestTrace, TraceStep};
pub use service::{
    Compare, KeyEvent, KeyValue, LeaseId, OpId, ServiceEvent, StoreOp, StorePut, StoreResult,
    StoreTxn, TxnOutcome,
};
pub use stats::{NodeStats, ReplicaStatus, SeatStatus};
