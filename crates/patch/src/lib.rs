//! Patches between versions of a large value, which daemons pass on instead of the value.
//!
//! A value that every daemon reads whole costs its size once for each daemon and each version. A
//! [`ValuePatch`] is the value compressed against the version that the receiver has, so that it costs
//! about the size of the change. A [`ValueHistory`] is what a daemon has of such a value: the latest
//! version, and the patches that lead to it from earlier ones.
//!
//! Versions are identified by the digest of their bytes. A patch names the digests of the versions
//! before and after it, and applies to nothing else.
//!
//! The crate performs no I/O and reads no clock.
//!
//! # Example
//!
//! ```
//! use base::Revision;
//! use mango_patch::ValueHistory;
//!
//! let mut leader = ValueHistory::default();
//! leader.replace(Revision(7), b"a=1 b=2 c=3".to_vec());
//! let mut follower = leader.clone();
//!
//! leader.replace(Revision(9), b"a=1 b=5 c=3".to_vec());
//! let patches = leader.patches_from(follower.digest());
//! let value = follower.preview(&patches)?;
//! assert_eq!(value, b"a=1 b=5 c=3");
//! # Ok::<(), mango_patch::PatchError>(())
//! ```
//!
//! # When to use it
//!
//! Use it for a value that many daemons need and that changes in small parts. For small values the
//! digests cost more than the value.
//!
//! # Limits
//!
//! A value has at most 16 MiB. A history keeps the latest value, and patches of 256 KiB in all that lead
//! through 16 MiB of versions.

mod budget;
mod digest;
mod history;
mod patch;

pub use budget::{ByteRate, TransferBudget};
pub use digest::ValueDigest;
pub use history::ValueHistory;
pub use patch::{PatchError, ValuePatch};
