//! One daemon's decisions about the requests that it carries.
//!
//! A [`Desk`] admits requests, chooses targets, says what may be repeated and refuses what can't
//! be served. It is pure: the daemon tells it what happened and when, and carries out the
//! [`Step`]s that it returns.
//!
//! # Example
//!
//! ```
//! use std::sync::Arc;
//! use base::Time;
//! use fleet::FleetLayout;
//! use mango_front::{Arrival, Desk, DeskConfig};
//!
//! let config = DeskConfig::new("host-1".parse()?, "east".parse()?);
//! let mut desk = Desk::new(Time::ZERO, config);
//! // Without a layout a daemon can't tell what exists, so that it refuses as not run.
//! assert!(desk.admit(Time::ZERO, &Arrival::new("desk.example", "/orders/1")).is_err());
//! desk.layout_changed(Time::ZERO, Arc::new(FleetLayout::builder(1).build()));
//! assert!(desk.layout().is_some());
//! # Ok::<(), base::ParseError>(())
//! ```
//!
//! # When to use it
//!
//! Use it as the only place where a daemon decides about requests. What the whole fleet must agree
//! on is in `lead`.
//!
//! # Limits
//!
//! A choice looks at every target of the service: O(targets).

mod book;
mod choose;
mod config;
mod desk;
mod purse;
mod record;
mod retry;
mod ticket;
mod want;

pub use book::{TargetBook, TargetHealth};
pub use config::DeskConfig;
pub use desk::{AfterEnd, Desk, DeskCounts};
pub use purse::{PayVerdict, PayWish, PurseDraw, TeamPurse};
pub use retry::RetryLedger;
pub use ticket::{Arrival, AttemptEnd, ChoiceNote, Dispatch, FetchEnd, Refusal, Step};
