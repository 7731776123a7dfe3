//! Small stand-ins for the systems around mangodeal, for tests, the demo and experiments.
//!
//! Each stand-in listens on loopback, speaks the published protocol and can inject faults:
//! [`KeyValueServer`] (etcd v3 JSON), [`TargetServer`] (OpenAI HTTP, Prometheus text and orders),
//! [`HostServer`] (host list) and [`FaultProxy`] (TCP with disconnections and delays).
//!
//! # Example
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
//! let server = mango_standin::KeyValueServer::start().await.unwrap();
//! assert_eq!(server.calls().writes, 0);
//! # });
//! ```
//!
//! # When to use it
//!
//! Only in tests, demos and experiments: nothing is stored on disk, and there is neither
//! authentication nor encryption.
//!
//! # Limits
//!
//! The key-value stand-in keeps its whole history in memory.

mod host;
pub mod http;
mod kv;
mod proxy;
mod target;

pub use host::HostServer;
pub use kv::{CallCounts, KeyValueServer};
pub use proxy::FaultProxy;
pub use target::{TargetOptions, TargetRecord, TargetServer, WeightStore};
