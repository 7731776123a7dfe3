//! Which software version began a stream.
//!
//! Targets of several software versions may serve side by side, and a stream may go on only at the version
//! that began it: within its answer, and when its client takes it up at any other daemon. Daemons keep
//! nothing over a restart, so what they must know then is in the store.
//!
//! - A [`VersionMix`] for each service says at which versions its streams can have begun. While that is
//!   only one, no stream needs a record.
//! - Otherwise each stream is recorded in the store when it begins. An [`OriginBook`] has the streams of
//!   one daemon and returns those that have no record yet.
//! - The leader changes the mix of a service as its targets change; a [`MixKeeper`] decides when.
//!
//! The crate performs no I/O and reads no clock.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use mango_origin::{ServiceMixes, VersionMix, MAX_MIX_AGE};
//!
//! let mut mixes = ServiceMixes::default();
//! let (service, version): (base::Name, fleet::SoftwareVersion) = ("engines".parse()?, "v1".parse()?);
//! mixes.set(&service, Some(VersionMix::Only(version.clone())), base::Revision(7));
//! assert!(!mixes.needs_records(&service));
//! assert_eq!(mixes.sole_version(&service, Duration::ZERO), Some(&version));
//! // Others may have learned of another version meanwhile.
//! assert_eq!(mixes.sole_version(&service, MAX_MIX_AGE * 2), None);
//! # Ok::<(), base::ParseError>(())
//! ```
//!
//! # When to use it
//!
//! Use it for streams that a client may take up with another request. For other streams, the request itself
//! knows which target began it.
//!
//! # Limits
//!
//! A stream that begins while the store can't be reached, or whose daemon is killed before it was recorded,
//! can't be continued.

mod book;
mod keeper;
mod mix;
mod stream;

pub use book::OriginBook;
pub use keeper::{MixKeeper, ServiceView};
pub use mix::{MixWire, ServiceMixes, VersionMix, MAX_MIX_AGE};
pub use stream::{StreamId, StreamOrigin};
