//! What one daemon, the leader, decides for the whole fleet: which target holds which model, which
//! orders it gets, and who may spend what of the teams' allowances.
//!
//! A [`Lead`] exists for one term of one host. Its orders carry the term's fencing number and the
//! number of orders that the target is known to have accepted, so that an order that arrives late
//! is void. It is pure: the daemon passes it reports, answers and times, and carries out its
//! [`LeadAction`]s.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use base::Time;
//! use mango_lead::{Lead, LeadConfig, LeadTerm};
//!
//! let until = Time::from_millis(4_000);
//! let term = LeadTerm { fence: 41, orders_from: Time::ZERO, until, is_first: true };
//! let mut lead = Lead::new(LeadConfig::new("host-1".parse()?), term);
//! assert!(lead.may_order(Time::from_millis(1_000)));
//! assert!(!lead.may_order(Time::from_millis(4_000)));
//! # Ok::<(), base::ParseError>(())
//! ```
//!
//! # When to use it
//!
//! Use it for what must not be decided twice. What a single daemon can decide is in `front`.
//!
//! # Limits
//!
//! A plan looks at every model, at the targets that have its weights at hand, and for a dozen models
//! at all targets.

mod adapters;
mod config;
mod demand;
mod leader;
mod pool;
mod relay;
mod requests;
mod target;
mod updates;
mod weights;
mod window;

pub use config::{LeadConfig, LeadTerm};
pub use leader::{AdapterState, Lead, LeadAction, LeadNote, LoadBacklog, LoadEnd, LoadNote};
pub use pool::{SeatRoster, SeatTable, TokenPool};
pub use relay::{ChangeLog, ListVouch, ReadPlan, RelayView, StoreRead};
pub use target::TargetLedger;
pub use weights::{CopyMemory, CopyPlace};
pub use window::LoadWindow;
