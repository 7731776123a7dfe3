//! mangodeal serves many rarely used models, and accounts for every request.
//!
//! This crate holds the two binaries, the operators' command and the demo. The crates below can be
//! used on their own:
//!
//! | crate | purpose |
//! |---|---|
//! | `mango-base` | identifiers, sizes, labels, result codes |
//! | `mango-config` | objects set by operators, changes, snapshots |
//! | `mango-grant` | team allowances: seats, shares, borrowed tokens |
//! | `mango-place` | replicas, memory, load orders |
//! | `mango-route` | choice of a target, fair queue, at-most-once requests |
//! | `mango-node` | one host's decisions as a state machine |
//! | `mango-store`, `mango-peer`, `mango-gate` | key-value service, peer messages, HTTP |
//! | `mango-daemon` | settings, logs, start and shutdown |
//!
//! # Example
//!
//! Serve requests with embedded stand-ins for the platform and the targets:
//!
//! ```no_run
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! mangodeal::demo::run().await?;
//! # Ok(())
//! # }
//! ```
//!
//! # When to use it
//!
//! Use the binaries. Use the library in tools that call the operators' or the callers' interface.
//!
//! # Limits
//!
//! The clients speak HTTP/1.1 without TLS.

pub mod bench;
pub mod capacity;
pub mod client;
pub mod command;
pub mod demo;
