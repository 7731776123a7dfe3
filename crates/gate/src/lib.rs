//! The HTTP side of a daemon: callers, operators and targets.
//!
//! [`CallerGate`] takes requests of callers and asks the node, over a [`NodeLink`], what becomes
//! of each. [`OperatorGate`] serves operators. [`TargetClient`] talks to targets.
//!
//! # Example
//!
//! The daemon joins the parts:
//!
//! ```no_run
//! use mango_gate::{CallerGate, GateConfig, NodeLink};
//! # async fn example(link: NodeLink, listener: tokio::net::TcpListener) {
//! let gate = CallerGate::new(link, GateConfig::default());
//! gate.serve(listener, std::future::pending()).await;
//! # }
//! ```
//!
//! # When to use it
//!
//! Use it where a node runs in a daemon.
//!
//! # Limits
//!
//! HTTP/1.1 only, without TLS. Each exchange with a target has a connection of its own: an answer
//! that comes late or twice can't reach another request. That costs a connection for each
//! request.

mod body;
mod caller;
mod exchange;
mod link;
mod metrics;
mod operator;
mod parse;
mod reply;
mod sse;
mod target;

pub use caller::{CallerGate, GateConfig};
pub use link::{Answer, GateCommand, NodeInput, NodeLink};
pub use metrics::GateMetrics;
pub use operator::{AuditSource, OperatorConfig, OperatorGate};
pub use parse::{parse_load, LoadFigures};
pub use sse::EventSplitter;
pub use target::TargetClient;
