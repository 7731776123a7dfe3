//! Request rates that targets accept from all daemons together.
//!
//! The crate performs no I/O and reads no clock.
//!
//! # Example
//!
//! ```
//! use base::Time;
//! use mango_limit::LimitTable;
//!
//! let mut limits = LimitTable::default();
//! let target = "engine-1".parse()?;
//! assert!(limits.record_rate(Time::ZERO, &target, 7, "2.5".parse()?));
//! assert_eq!(limits.rate(&target, 7), Some("2.5".parse()?));
//! // A later start of the target has no limit until it names one.
//! assert_eq!(limits.rate(&target, 8), None);
//! # Ok::<(), base::ParseError>(())
//! ```
//!
//! # When to use it
//!
//! Use it wherever a target's own statement limits what the whole fleet may send.
//!
//! # Limits
//!
//! A table remembers 4,096 targets; the one that was heard longest ago is dropped first.

mod rate;
mod table;

pub use rate::{LimitNotice, RequestRate};
pub use table::LimitTable;
