//! A daemon on the users' platform: sockets, the client of the metadata store, and the wiring of
//! the crates `front` and `lead`.
//!
//! All tasks run on one thread. Decisions are made in `front` and `lead`, which do no I/O.
//! The crate `platform` holds the platform's paths, headers and document formats.
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
//! HTTP/1.1 without TLS. A request's body is held in memory until the answer begins.

mod answer;
mod caller;
mod conn;
mod descriptors;
mod election;
mod events;
mod evidence;
mod exchange;
mod follow;
mod handover;
mod host;
mod layout;
mod logging;
mod metrics;
mod orders;
mod origins;
mod passing;
mod path;
mod peer;
mod run;
mod settings;
mod store;

pub use run::{run, RunError};
pub use settings::FrontSettings;
