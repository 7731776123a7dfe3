//! The client of the platform's key-value service and of its host list.
//!
//! [`KvClient`] speaks the etcd v3 JSON form over HTTP. [`StoreTask`] runs the calls that a node
//! asks for, keeps the lease, watches, and reports everything as events.
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
//! Use it where a node runs in a daemon. Tests of decisions drive the node directly.
//!
//! # Limits
//!
//! Each call has a timeout of two seconds. A transaction without an answer is reported as
//! unknown; the node decides how to find out what became of it.

mod client;
mod host;
mod task;
mod wire;

pub use client::{CallStats, KvClient, KvError};
pub use host::read_hosts;
pub use task::{StoreConfig, StoreTask};
