//! A daemon on the users' platform: sockets, the store's client, and the wiring to `front` and
//! `lead`.
//!
//! All tasks run on one thread; the decisions are in the pure crates, and what the platform calls
//! things is in `platform`.
//!
//! # Example
//!
//! ```no_run
//! use mango_serve::{run, FrontSettings};
//! # fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let file = std::path::Path::new("front.ini");
//! let settings = FrontSettings::parse("front.ini", &std::fs::read_to_string(file)?)?;
//! run(settings, file)?;
//! # Ok(())
//! # }
//! ```
//!
//! # When to use it
//!
//! `mangodeald` starts it when its settings have a `[front]` section.
//!
//! # Limits
//!
//! HTTP/1.1 without TLS. A request's body is held in memory until its answer begins.

mod answer;
mod caller;
mod conn;
mod election;
mod events;
mod exchange;
mod follow;
mod host;
mod logging;
mod metrics;
mod orders;
mod peer;
mod run;
mod settings;
mod store;

pub use run::{run, RunError};
pub use settings::FrontSettings;
