//! Operator configuration: objects, changes, and snapshots by revision.
//!
//! A [`Snapshot`] holds all objects at one revision. A [`Change`] turns revision *n* into revision
//! *n + 1*; the sequence of changes is the audit trail. The crate validates a [`Draft`] and turns
//! it into a change. It performs no I/O: the caller records the change in the key-value service.
//!
//! # Example
//!
//! ```
//! use mango_config::{Draft, DraftItem, Object, Snapshot, TeamObject};
//!
//! let snapshot = Snapshot::default();
//! let team = TeamObject {
//!     name: "atelier".parse()?,
//!     labels: "tier=gold".parse()?,
//!     rate: "500/s".parse()?,
//!     burst: "2000".parse()?,
//!     weight: 1,
//! };
//! let draft = Draft {
//!     id: "change-1".parse()?,
//!     actor: "ingrid".into(),
//!     wall_ms: 0,
//!     items: vec![DraftItem::put(Object::Team(team))],
//! };
//! let change = snapshot.plan(&draft)?;
//! let snapshot = snapshot.apply(&change)?;
//! assert_eq!(snapshot.revision().0, 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! # When to use it
//!
//! Use it to check requests and changes against one revision. Each request is checked against a
//! single snapshot, so labels and selectors of different revisions never mix.
//!
//! # Limits
//!
//! Applying a change copies the vector of object pointers. This takes O(objects) time, about a
//! millisecond for 10,000 objects.

mod change;
mod object;
mod snapshot;

pub use change::{Change, ChangeError, Draft, DraftItem, Write};
pub use object::{
    AccessObject, AdapterObject, KeyObject, Kind, ModelObject, Object, ObjectKey, PlacementObject,
    RouteObject, TargetKind, TargetObject, TeamObject,
};
pub use snapshot::{Servable, Snapshot, Versioned};
