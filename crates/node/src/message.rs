//! Messages between daemons.

use std::time::Duration;

use base::{
    ChangeId, DomainName, Fence, Incarnation, ModelName, OrderId, Revision, TargetName, TeamName,
};
use config::{Change, Snapshot, Versioned};
use grant::{LoanOffer, LoanSettlement, MicroTokens};
use place::{ModelWant, Residency, WantAnswer};
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

/// A message from one daemon to another. All may be lost, repeated, delayed or reordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// Asks for a sign of life.
    Ping {
        /// Returned in the answer.
        nonce: u64,
        /// Sender's configuration revision.
        revision: Revision,
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
    },
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
    Want(ModelWant),
    /// The placer's answer to a demand that it can't meet in time.
    WantAnswer(WantAnswer),
    /// A view of a failure domain.
    View(DomainView),
    /// Asks an issuer which of its orders will never be sent again.
    AskOrders(Vec<OrderId>),
    /// The orders that the sender will never send again.
    Disowned(Vec<OrderId>),
}

impl PeerMessage {
    /// Returns the models that a demand or its answer names, for logs.
    pub fn model(&self) -> Option<&ModelName> {
        match self {
            PeerMessage::Want(want) => Some(&want.model),
            PeerMessage::WantAnswer(answer) => Some(&answer.model),
            _ => None,
        }
    }
}
