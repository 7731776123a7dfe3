//! The daemon process: its settings, its logs, and the connections between sockets and the node.
//!
//! # Example
//!
//! ```no_run
//! use mango_daemon::{Daemon, Settings};
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let text = std::fs::read_to_string("mangodeald.ini")?;
//! let settings = Settings::parse("mangodeald.ini", &text)?;
//! let daemon = Daemon::start(settings).await?;
//! daemon.shutdown().await;
//! # Ok(())
//! # }
//! ```
//!
//! # When to use it
//!
//! Use it to run a daemon within a process. The binary `mangodeald` only wraps this crate; the demo
//! runs several daemons in one process.
//!
//! # Limits
//!
//! A daemon stores nothing on disk. Its state is kept in the key-value service and by its peers.

mod actor;
mod clock;
mod logging;
mod poll;
mod reader;
mod run;
mod settings;
mod tasks;

pub use clock::{boot_time, wall_ms};
pub use logging::{init_log, LogError};
pub use reader::{
    parse_address, parse_duration, IniReader, KnownSection, SettingsError, ADDRESS_FORM, SIZE_FORM,
};
pub use run::{Daemon, StartError};
pub use settings::{LogFormat, Settings};
pub use tasks::{TaskEnd, TaskGroup};
