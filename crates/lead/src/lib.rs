//! Fleet-wide decisions of the leader: model placement, load and unload orders for targets, and
//! grants from the teams' allowances.
//!
//! A [`Leader`] lives for one term of one host. Its orders carry the term's fencing token and the
//! number of orders that the target is known to have accepted, so that a target rejects an order
//! that arrives late. The crate does no I/O and reads no clock: the daemon passes in reports,
//! replies and times, and carries out the returned [`LeaderAction`]s.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use base::Time;
//! use mango_lead::{Leader, LeaderConfig, LeaderTerm};
//!
//! let until = Time::from_millis(4_000);
//! let term = LeaderTerm { fence: 41, orders_from: Time::ZERO, until, is_first: true };
//! let mut leader = Leader::new(LeaderConfig::new("host-1".parse()?), term);
//! assert!(leader.may_order(Time::from_millis(1_000)));
//! assert!(!leader.may_order(Time::from_millis(4_000)));
//! # Ok::<(), base::ParseError>(())
//! ```
//!
//! # When to use it
//!
//! Use it for decisions that only one daemon of the fleet may make at a time. Decisions that each
//! daemon makes by itself are in `front`.
//!
//! # Limits
//!
//! The cost of a plan grows with the number of models and of targets that have their weights in
//! memory or on disk. A plan searches all targets for at most twelve models. In services whose
//! targets state a slowdown, it also sums up the [`work`] of each engine.

mod adapters;
mod config;
mod demand;
mod helpers;
mod lag;
mod layout;
mod leader;
mod overflow;
mod peers;
mod pool;
mod relay;
mod requests;
mod seats;
mod slowdowns;
mod stray;
mod target;
mod term;
mod unread;
mod updates;
mod verdict;
mod weights;
mod window;
pub mod work;

pub use config::{LeaderConfig, LeaderTerm};
pub use helpers::HelperBook;
pub use lag::{LayoutCensus, LayoutLag, LayoutStragglers};
pub use layout::LayoutFreshness;
pub use leader::{
    AdapterState, Leader, LeaderAction, LeaderEvent, LoadBacklog, LoadDecision, LoadResult,
};
pub use peers::PeerBook;
pub use pool::{ShareAccount, TokenPool};
pub use relay::{ChangeLog, ListValidity, ReadPlan, RelayView, StoreRead};
pub use seats::{AbsentSeat, SeatCensus, SeatRoster, SeatTable};
pub use target::TargetRecord;
pub use term::TermRecord;
pub use unread::{UnreadValues, ValueClass, ValueRead};
pub use verdict::{LayoutSender, LayoutVerdict};
pub use weights::{WeightIndex, WeightTier};
pub use window::LoadWindow;
