//! Failure domains that an operator has evacuated.
//!
//! An operator's entry in the store evacuates a failure domain: until the entry is deleted, nothing
//! is sent to the targets of the domain. Each daemon keeps an [`EvacuationTable`] of these entries,
//! from the snapshots and the changes that it reads itself or that the leader relays.
//!
//! The crate performs no I/O and reads no clock.
//!
//! # Example
//!
//! ```
//! use base::{Revision, Time};
//! use mango_evacuate::EvacuationTable;
//!
//! let mut table = EvacuationTable::default();
//! let east: base::DomainName = "east".parse()?;
//! table.put(Time::ZERO, &east, Revision(8));
//! assert!(table.contains(&east));
//! // A change that arrives late doesn't undo a newer one.
//! table.delete(&east, Revision(7));
//! assert!(table.contains(&east));
//! table.delete(&east, Revision(9));
//! assert!(!table.contains(&east));
//! # Ok::<(), base::ParseError>(())
//! ```
//!
//! # When to use it
//!
//! Use it wherever something is sent to a target, in addition to what the target's own entry says.
//! A target that leaves by itself announces that in its entry.
//!
//! # Limits
//!
//! The table holds all entries of the store and 1,024 deleted ones.

mod table;

pub use table::{DomainEvacuation, EvacuationChanges, EvacuationTable};
