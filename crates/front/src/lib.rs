//! Decides about the requests of one daemon.
//!
//! A [`RequestDispatcher`] admits requests, chooses targets, decides which requests may be
//! retried and refuses those that can't be served. It does no I/O and reads no clock: the daemon
//! passes in each event with its time, and carries out the [`Step`]s that it returns.
//!
//! # Example
//!
//! ```
//! use std::sync::Arc;
//! use base::Time;
//! use fleet::FleetLayout;
//! use mango_front::{Arrival, RequestDispatcher, DispatcherConfig};
//!
//! let config = DispatcherConfig::new("host-1".parse()?, "east".parse()?);
//! let mut dispatcher = RequestDispatcher::new(Time::ZERO, config);
//! // Without a layout a daemon doesn't know any route, so it refuses requests as not run.
//! assert!(dispatcher.admit(Time::ZERO, &Arrival::new("desk.example", "/orders/1")).is_err());
//! dispatcher.apply_layout(Time::ZERO, Arc::new(FleetLayout::builder(1).build()));
//! assert!(dispatcher.layout().is_some());
//! # Ok::<(), base::ParseError>(())
//! ```
//!
//! # When to use it
//!
//! Use it as the only place where a daemon decides about requests. Decisions that the whole fleet
//! must agree on are made in `lead`.
//!
//! # Limits
//!
//! Choosing a target takes time linear in the number of targets.

mod budget;
mod choice;
mod config;
mod demand;
mod dispatcher;
mod path;
mod record;
mod request;
mod retry;
mod slowdown;
mod stop;
mod targets;

pub use budget::{BudgetDraw, ChargeResult, RequestCharge, ShareEvent, TeamBudget};
pub use config::DispatcherConfig;
pub use dispatcher::{
    CandidatePreview, DispatchCounts, NextAction, PreviewError, PreviewQuery, PreviewVerdict,
    RequestDispatcher, RequestPreview,
};
pub use path::ServicePaths;
pub use request::{Arrival, AttemptEnd, ChoiceNote, Dispatch, FetchEnd, PermitEnd, Refusal, Step};
pub use retry::RetryBudget;
pub use stop::StopSchedule;
pub use targets::{AnswerProgress, TargetHealth, TargetTable};
