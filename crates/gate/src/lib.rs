//! HTTP servers and clients of a daemon.
//!
//! [`CallerGate`] accepts callers' requests, submits each to the node through a [`NodeLink`] and
//! follows the node's commands. [`OperatorGate`] serves operators. [`TargetClient`] sends orders to
//! targets and reads their reports.
//!
//! # Example
//!
//! The daemon connects a gate with its node:
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
//! Use it in a daemon that runs a node.
//!
//! # Limits
//!
//! The crate supports HTTP/1.1 without TLS only. Each request to a target uses a connection of its
//! own, so that a late or duplicate response can't be taken for the response to another request.
//! This costs one connection setup per request.

mod body;
mod caller;
mod exchange;
mod link;
mod metrics;
mod operator;
mod parse;
mod response;
mod sse;
mod target;

pub use caller::{CallerGate, GateConfig};
pub use link::{GateCommand, NodeInput, NodeLink, NodeQuery};
pub use metrics::GateMetrics;
pub use operator::{AuditSource, OperatorConfig, OperatorGate};
pub use parse::{parse_load, EngineLoad};
pub use sse::EventSplitter;
pub use target::TargetClient;
