//! Identifiers, sizes, labels and result codes shared by every mangodeal crate.
//!
//! The crate defines value types and their textual forms. It performs no I/O.
//!
//! # Example
//!
//! ```
//! use mango_base::{Labels, Selector};
//!
//! let selector: Selector = "tier in (gold, silver), !retired".parse()?;
//! let labels: Labels = "tier=gold,site=counter".parse()?;
//! assert!(selector.matches(&labels));
//! # Ok::<(), mango_base::ParseError>(())
//! ```
//!
//! # When to use it
//!
//! Use it for identifiers and quantities that crates exchange. Decisions belong in `grant`,
//! `place`, `route` and `node`.
//!
//! # Limits
//!
//! Names are at most 128 bytes of `[A-Za-z0-9._:/-]`, because they are used without escaping as
//! key-value keys, HTTP header values and log fields.

mod clock;
mod code;
mod id;
mod label;
mod secret;
mod size;
mod sorted;

pub use clock::Time;
pub use code::ResultCode;
pub use id::{
    Address, ChangeId, DomainName, Fence, Incarnation, ModelName, Name, OrderId, ParseError,
    RequestId, Revision, Seat, StoreEra, TargetName, TeamName,
};
pub use label::{Labels, Selector};
pub use secret::{KeyHash, SecretKey};
pub use size::{ByteSize, TokenCount, TokenRate};
pub use sorted::SortedMap;
