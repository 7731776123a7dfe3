//! Messages between daemons.

use std::time::Duration;

use base::{ChangeId, DomainName, Fence, Incarnation, OrderId, Revision, TargetName, TeamName};
use config::{Change, Snapshot, Versioned};
use grant::{LoanOffer, LoanSettlement, MicroTokens, Roster};
use place::{DemandRefusal, ModelDemand, Residency};
use serde::{Deserialize, Serialize};

/// A whole snapshot, for a daemon that is too far behind for single changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotDoc {
    /// Revision of the snapshot.
    pub revision: Revision,
    /// Change that made it.
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

/// What a placer tells about the targets of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainView {
    /// Failure domain.
    pub domain: DomainName,
    /// Fencing number of the placer's term.
    pub fence: Fence,
    /// Number of this view within the term.
    pub version: u64,
    /// Replicas that are loading or ready, sorted.
    pub replicas: Vec<Residency>,
    /// Requests running or waiting at each target, by its last report.
    pub loads: Vec<(TargetName, u32)>,
}

/// What changed between two views of one term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewDelta {
    /// Failure domain.
    pub domain: DomainName,
    /// Fencing number of the placer's term.
    pub fence: Fence,
    /// Version to which the change applies.
    pub base: u64,
    /// Version that it makes.
    pub version: u64,
    /// Replicas that are new, or whose readiness changed.
    pub set: Vec<Residency>,
    /// Replicas that are no more.
    pub gone: Vec<Residency>,
    /// Targets whose load changed noticeably.
    pub loads: Vec<(TargetName, u32)>,
}

impl ViewDelta {
    /// Returns what leads from one view to another of the same term.
    pub fn between(from: &DomainView, to: &DomainView) -> ViewDelta {
        let without = |list: &[Residency], other: &[Residency]| -> Vec<Residency> {
            list.iter().filter(|r| other.binary_search(r).is_err()).cloned().collect()
        };
        let set = without(&to.replicas, &from.replicas);
        let mut gone = without(&from.replicas, &to.replicas);
        gone.retain(|old| !set.iter().any(|new| new.is_same_replica(old)));
        let changed = |load: &&(TargetName, u32)| {
            let former = from.loads.binary_search_by(|other| other.0.cmp(&load.0));
            former.map_or(true, |at| is_noticeable(from.loads[at].1, load.1))
        };
        let loads = to.loads.iter().filter(changed).cloned().collect();
        let (base, version) = (from.version, to.version);
        ViewDelta { domain: to.domain.clone(), fence: to.fence, base, version, set, gone, loads }
    }

    /// Returns the view that the change makes of `view`, which must be at its base.
    pub fn apply(&self, view: &DomainView) -> DomainView {
        let mut next = view.clone();
        let touched =
            |r: &Residency| self.set.iter().chain(&self.gone).any(|t| t.is_same_replica(r));
        next.replicas.retain(|replica| !touched(replica));
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

/// Returns whether a change of a target's load is worth a message: a quarter, and at least two.
fn is_noticeable(from: u32, to: u32) -> bool {
    from.abs_diff(to) >= (from / 4).max(2)
}

/// A roster as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterDoc {
    /// Failure domain.
    pub domain: DomainName,
    /// Service revision of its last change.
    pub revision: Revision,
    /// The roster.
    pub roster: Roster,
}

/// A message from one daemon to another. All may be lost, repeated, delayed or reordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// Asks for a sign of life.
    Ping {
        /// Returned in the answer.
        nonce: u64,
        /// Sender's configuration revision.
        revision: Revision,
        /// Sum of the revisions of the rosters that the sender knows.
        rosters: u64,
    },
    /// Answers a ping.
    Pong {
        /// From the ping.
        nonce: u64,
        /// Sender's configuration revision.
        revision: Revision,
        /// Time since the sender's configuration was surely the latest.
        fresh_age: Option<Duration>,
        /// Whether the sender reaches the key-value service.
        service_up: bool,
        /// Sum of the revisions of the rosters that the sender knows.
        rosters: u64,
    },
    /// Rosters as they are stored.
    Rosters(Vec<RosterDoc>),
    /// Asks for the changes from a revision on.
    NeedChanges {
        /// First revision that is missing.
        from: Revision,
    },
    /// Consecutive changes.
    Changes(Vec<Change>),
    /// A whole snapshot.
    Snapshot(SnapshotDoc),
    /// Asks to borrow tokens.
    Borrow {
        /// Number of the question, unique within the sender's incarnation.
        draw: u64,
        /// Team whose tokens are asked for.
        team: TeamName,
        /// Amount.
        wanted: MicroTokens,
    },
    /// Answers a question to borrow.
    Lend {
        /// From the question.
        draw: u64,
        /// Team concerned.
        team: TeamName,
        /// The loan, if there is any.
        offer: Option<LoanOffer>,
    },
    /// Ends a loan.
    Settle {
        /// Incarnation of the lender; another one at its address must not take the message.
        lender: Incarnation,
        /// Team concerned.
        team: TeamName,
        /// The settlement.
        settlement: LoanSettlement,
    },
    /// A demand for a model, to the placer.
    Want(ModelDemand),
    /// The placer's answer to a demand that it can't meet in time.
    WantAnswer(DemandRefusal),
    /// A whole view of a failure domain.
    View(DomainView),
    /// What changed in a view of a failure domain.
    ViewDelta(ViewDelta),
    /// Asks for the whole view of a failure domain.
    NeedView(DomainName),
    /// Asks an issuer which of its orders will never be sent again.
    AskOrders(Vec<OrderId>),
    /// The orders that the sender will never send again.
    Disowned(Vec<OrderId>),
}
