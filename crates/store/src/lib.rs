//! A client for the platform's key-value service and its host list.
//!
//! [`KvClient`] uses the JSON form of the etcd v3 protocol over HTTP. [`StoreTask`] runs the calls
//! that a node requests, renews its lease, watches keys, and reports all results as events.
//!
//! # Example
//!
//! ```no_run
//! use mango_store::{CallStats, KvClient};
//! # async fn example() {
//! let client = KvClient::new("127.0.0.1:2379".parse().unwrap(), CallStats::default());
//! let entry = client.read("/mangodeal/cfg/head").await;
//! # }
//! ```
//!
//! # When to use it
//!
//! Use it to run a node in a daemon. Tests of a node's decisions call the node directly.
//!
//! # Limits
//!
//! Each call has a timeout of two seconds. A transaction without an answer is reported as unknown;
//! the node decides how to find out whether it took effect.

mod client;
mod host;
mod task;
mod wire;

pub use client::{CallStats, KvClient, KvError};
pub use host::read_hosts;
pub use task::{StoreConfig, StoreTask};
