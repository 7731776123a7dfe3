//! mangodeal serves many rarely used models, and accounts for every request.
//!
//! This crate is the façade: the two binaries, the operators' command and the demo. The layers
//! below it can be used on their own:
//!
//! | crate | job |
//! |---|---|
//! | `mango-base` | identifiers, sizes, labels, result codes |
//! | `mango-config` | operators' objects, changes, snapshots |
//! | `mango-grant` | team allowances: seats, shares, loans |
//! | `mango-place` | replicas, memory, load orders |
//! | `mango-route` | target choice, fair queue, at-most-once |
//! | `mango-node` | one host's decisions as a state machine |
//! | `mango-store`, `mango-peer`, `mango-gate` | service, peers, HTTP |
//! | `mango-daemon` | settings, logs, wiring |
//!
//! # Example
//!
//! Run the main job on embedded stand-ins:
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
//! Use the binaries. Use the library for tools that call operators' or callers' interfaces.
//!
//! # Limits
//!
//! The clients speak HTTP/1.1 without TLS.

pub mod bench;
pub mod capacity;
pub mod client;
pub mod command;
pub mod demo;
