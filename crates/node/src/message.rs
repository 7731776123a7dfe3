//! Messages between daemons.

use std::time::Duration;

use base::{ChangeId, DomainName, Fence, Incarnation, OrderId, Revision, TargetName, TeamName};
use config::{Change, Snapshot, Versioned};
use grant::{LoanOffer, LoanSettlement, MicroTokens, Roster};
use place::{DemandRefusal, ModelDemand, Residency};
use serde::{Deserialize, Serialize};

/// A complete configuration snapshot, for a daemon that is too far behind to apply changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotDoc {
    /// Revision of the snapshot.
    pub revision: Revision,
    /// Identifier of the last change.
    pub last_change: Option<ChangeId>,
    /// All objects.
    pub objects: Vec<Versioned>,
}

impl From<&Snapshot> for SnapshotDoc {
    fn from(snapshot: &Snapshot) -> SnapshotDoc {
        SnapshotDoc {
            revision: snapshot.revision(),
            last_change: snapshot.last_change().cloned(),
            objects: snapshot.objects().cloned().collect(),
        }
    }
}

impl From<SnapshotDoc> for Snapshot {
    fn from(doc: SnapshotDoc) -> Snapshot {
        Snapshot::new(doc.revision, doc.last_change, doc.objects)
    }
}

/// A placer's view of the targets in its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainView {
    /// Failure domain.
    pub domain: DomainName,
    /// Fencing token of the placer's term.
    pub fence: Fence,
    /// Version of this view within the term.
    pub version: u64,
    /// Replicas that are loading or ready, sorted.
    pub replicas: Vec<Residency>,
    /// Number of requests running or waiting at each target by its last report, sorted by target.
    pub loads: Vec<(TargetName, u32)>,
}

/// The difference between two views of one term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewDelta {
    /// Failure domain.
    pub domain: DomainName,
    /// Fencing token of the placer's term.
    pub fence: Fence,
    /// Version of the view to which the delta applies.
    pub base: u64,
    /// Version of the resulting view.
    pub version: u64,
    /// Replicas that are new or whose readiness changed.
    pub set: Vec<Residency>,
    /// Replicas that were removed.
    pub gone: Vec<Residency>,
    /// New load of each target whose load changed noticeably.
    pub loads: Vec<(TargetName, u32)>,
}

impl ViewDelta {
    /// Returns the delta from one view to a later one of the same term.
    pub fn between(from: &DomainView, to: &DomainView) -> ViewDelta {
        let difference = |list: &[Residency], other: &[Residency]| -> Vec<Residency> {
            list.iter().filter(|r| other.binary_search(r).is_err()).cloned().collect()
        };
        let set = difference(&to.replicas, &from.replicas);
        let mut gone = difference(&from.replicas, &to.replicas);
        gone.retain(|old| !set.iter().any(|new| new.is_same_replica(old)));
        let has_changed = |load: &&(TargetName, u32)| {
            let former = from.loads.binary_search_by(|other| other.0.cmp(&load.0));
            former.map_or(true, |at| is_noticeable(from.loads[at].1, load.1))
        };
        let loads = to.loads.iter().filter(has_changed).cloned().collect();
        let (base, version) = (from.version, to.version);
        ViewDelta { domain: to.domain.clone(), fence: to.fence, base, version, set, gone, loads }
    }

    /// Returns the view that results from applying the delta to `view`, whose version must be
    /// [`base`](Self::base).
    pub fn apply(&self, view: &DomainView) -> DomainView {
        let mut next = view.clone();
        let is_replaced =
            |r: &Residency| self.set.iter().chain(&self.gone).any(|t| t.is_same_replica(r));
        next.replicas.retain(|replica| !is_replaced(replica));
        next.replicas.extend(self.set.iter().cloned());
        next.replicas.sort();
        for (target, total) in &self.loads {
            match next.loads.binary_search_by(|other| other.0.cmp(target)) {
                Ok(at) => next.loads[at].1 = *total,
                Err(at) => next.loads.insert(at, (target.clone(), *total)),
            }
        }
        next.version = self.version;
        next
    }
}

/// Returns whether a target's load changed enough to be sent: by a quarter, and at least by 2.
fn is_noticeable(from: u32, to: u32) -> bool {
    from.abs_diff(to) >= (from / 4).max(2)
}

/// A failure domain's roster with the revision at which it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterDoc {
    /// Failure domain.
    pub domain: DomainName,
    /// Service revision of its last change.
    pub revision: Revision,
    /// The roster.
    pub roster: Roster,
}

/// A message from one daemon to another. Any message may be lost, repeated, delayed or reordered.
/// Variants and fields are named as in the peer schema.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// Checks whether a peer is alive, and announces the sender's revisions.
    Ping {
        /// Repeated in the answer; 0 if no answer is requested.
        nonce: u64,
        /// Sender's configuration revision.
        revision: Revision,
        /// Sum of the revisions of the rosters that the sender knows.
        rosters: u64,
    },
    /// Answers a ping.
    Pong {
        /// Nonce of the ping.
        nonce: u64,
        /// Sender's configuration revision.
        revision: Revision,
        /// Time since the sender's configuration was last confirmed as current.
        fresh_age: Option<Duration>,
        /// Whether the sender reaches the key-value service.
        service_up: bool,
        /// Sum of the revisions of the rosters that the sender knows.
        rosters: u64,
    },
    /// Rosters with their revisions.
    Rosters(Vec<RosterDoc>),
    /// Asks for the changes from a revision on.
    NeedChanges {
        /// First revision that is missing.
        from: Revision,
    },
    /// Consecutive changes.
    Changes(Vec<Change>),
    /// A complete snapshot.
    Snapshot(SnapshotDoc),
    /// Asks to borrow tokens.
    Borrow {
        /// Number of the loan request, unique within the sender's incarnation.
        draw: u64,
        /// Team whose tokens are requested.
        team: TeamName,
        /// Requested amount.
        wanted: MicroTokens,
    },
    /// Answers a loan request.
    Lend {
        /// Number of the loan request.
        draw: u64,
        /// Team concerned.
        team: TeamName,
        /// The loan, or `None` if the sender lends nothing.
        offer: Option<LoanOffer>,
    },
    /// Ends a loan.
    Settle {
        /// Incarnation of the lender. A later incarnation at its address ignores the message.
        lender: Incarnation,
        /// Team concerned.
        team: TeamName,
        /// The settlement.
        settlement: LoanSettlement,
    },
    /// A demand for replicas of a model, sent to a placer.
    Want(ModelDemand),
    /// The placer's answer to a demand that it can't meet in time.
    WantAnswer(DemandRefusal),
    /// The full view of a failure domain.
    View(DomainView),
    /// The difference to the previous view of a failure domain.
    ViewDelta(ViewDelta),
    /// Asks for the full view of a failure domain.
    NeedView(DomainName),
    /// Asks the seat that issued these orders which of them it will never send again.
    AskOrders(Vec<OrderId>),
    /// Answers `AskOrders` with the orders that the sender will never send again.
    Disowned(Vec<OrderId>),
}
