//! Request rates that targets accept from all daemons together.
//!
//! Each daemon records the limits that targets name in a [`LimitTable`]. To send a request to a
//! limited target it needs a permit, which one daemon issues for the whole fleet from its
//! [`PermitTable`]. Without that daemon nothing is sent to limited targets, so that the limit holds
//! whatever is cut off, restarted or paused.
//!
//! Targets that are cold need permits too, from the same pools; the [`ColdTable`] of a daemon says until
//! when they are.
//!
//! The crate performs no I/O and reads no clock.
//!
//! # Example
//!
//! ```
//! use base::Time;
//! use mango_limit::{LimitNotice, LimitTable, PermitTable, PermitUse};
//!
//! let target = "engine-1".parse()?;
//! let mut limits = LimitTable::default();
//! let notice = LimitNotice::Named("2.5".parse()?);
//! assert!(limits.record_notice(Time::ZERO, (&target, 7), Time::ZERO, notice, true));
//! // A later start of the target has no limit until it names one.
//! assert_eq!((limits.rate(&target, 7).is_some(), limits.rate(&target, 8)), (true, None));
//!
//! let mut permits = PermitTable::default();
//! permits.set_limit(Time::ZERO, &target, limits.rate(&target, 7));
//! assert!(permits.take(Time::from_millis(500), &target, PermitUse::Request).is_ok());
//! assert!(permits.take(Time::from_millis(500), &target, PermitUse::Request).is_err());
//! # Ok::<(), base::ParseError>(())
//! ```
//!
//! # When to use it
//!
//! Use it where a target's own statement limits what the whole fleet may send. Limits on what a
//! team may ask for are in `lead`.
//!
//! # Limits
//!
//! A limit below one request in ten seconds is exceeded by one request in ten seconds, because
//! nothing else shows that it has ended. A table remembers 4,096 targets.

mod cold;
mod permit;
mod rate;
mod table;

pub use cold::{ColdNotice, ColdSpec, ColdStatement, ColdTable};
pub use permit::{
    PermitDenial, PermitPool, PermitTable, PermitUse, PERMIT_VALIDITY, PROBE_INTERVAL,
};
pub use rate::{LimitNotice, RequestRate};
pub use table::{LimitStatement, LimitTable};
