//! Events that a node handles and actions that it asks for.

use std::sync::Arc;
use std::time::Duration;

use base::{
    Address, DomainName, KeyHash, ModelName, Name, OrderId, RequestId, ResultCode, Seat,
    TargetName, Time, TokenCount,
};
use config::{Change, Draft, Snapshot, Versioned};
use place::{OrderMessage, OrderOutcome, TargetReport};

use crate::{OpId, PeerMessage, ServiceEvent, StoreOp};

/// What a request is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestGoal {
    /// A model or adapter.
    Model(ModelName),
    /// A plain-service route.
    Route(Name),
}

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewRequest {
    /// Identifier, unique within the daemon.
    pub id: RequestId,
    /// Hash of the caller's key.
    pub key: Option<KeyHash>,
    /// What it is for.
    pub goal: RequestGoal,
    /// Most tokens that it may use.
    pub cost: TokenCount,
    /// When it must be answered.
    pub deadline: Time,
    /// Larger goes first within its team.
    pub priority: i32,
    /// Hash of the caller's idempotency key, in hexadecimal.
    pub idempotency: Option<String>,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
}

/// How one transmission of a request ended, as the gate saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The whole answer was passed on; these tokens were used.
    Served(TokenCount),
    /// No byte was sent to the target.
    NotSent,
    /// The target states that it did not run the request: it is full or lacks the model.
    Declined,
    /// The target failed after bytes were sent; the caller has seen nothing yet.
    Lost,
    /// The target did not answer before the deadline.
    TimedOut,
    /// The answer broke off after a part of it was passed on; these tokens were used.
    Broken(TokenCount),
    /// The caller disconnected; these tokens were used.
    CallerGone(TokenCount),
    /// The transmission was cancelled by [`Action::Cancel`]; these tokens were used.
    Cancelled(TokenCount),
}

/// The role of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRole {
    /// A daemon's host.
    Entry,
    /// A target.
    Target,
}

/// One host of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Role of the host.
    pub role: HostRole,
    /// Peer address of an entry host, or name of a target.
    pub name: Name,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The platform's host list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostsReport {
    /// All live and leaving hosts.
    pub hosts: Vec<HostEntry>,
}

/// Something that happened to the host.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A request arrived.
    Arrived(NewRequest),
    /// A transmission ended.
    Ended(RequestId, RequestEnd),
    /// A waiting request's caller disconnected.
    Abandoned(RequestId),
    /// A message from a peer.
    Peer(Seat, PeerMessage),
    /// Something from the key-value service.
    Service(ServiceEvent),
    /// The platform's host list.
    Hosts(HostsReport),
    /// A target's report, asked for at the given time.
    Report(TargetName, Time, TargetReport),
    /// An order to a target ended.
    OrderEnded(TargetName, OrderId, OrderOutcome),
    /// An operator proposes a change.
    Propose(u64, Draft),
    /// An operator asks where a revision is in force.
    Probe(base::Revision),
    /// The daemon will shut down: it goes on, but tells the balancer that it is not ready.
    Retire,
    /// The daemon shuts down: it takes no more requests and finishes those that it has.
    Drain,
}

/// A request to send to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Request.
    pub request: RequestId,
    /// Target.
    pub target: TargetName,
    /// `ip:port` of the target.
    pub address: Name,
}

/// A final answer to a request that was not served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Request.
    pub request: RequestId,
    /// Result.
    pub code: ResultCode,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// The answer to an operator's proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// The change is recorded.
    Accepted(Change),
    /// A repetition of a change that was recorded before, at this revision.
    Repeated(base::Revision),
    /// The change was refused, with the reason and, on a conflict, the current object.
    Refused(ResultCode, String, Option<Versioned>),
}

/// Something that the host does.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a target.
    Dispatch(DispatchOrder),
    /// Give a request its final answer.
    Refuse(Refusal),
    /// Break a transmission off and end the caller's answer with a result.
    Cancel(RequestId, ResultCode),
    /// Send a message to a peer.
    Send(Address, PeerMessage),
    /// Call the key-value service.
    Store(OpId, StoreOp),
    /// Send an order to the target at the given address.
    Order(Name, OrderMessage),
    /// Read reports from these targets, and from no others, from now on.
    Poll(Vec<(TargetName, Name)>),
    /// A new configuration is in force on this host.
    Publish(Arc<Snapshot>),
    /// Answer an operator's proposal.
    Propose(u64, ProposalResult),
    /// Watch the service and keep a lease from now on, or leave that to others.
    Watch(bool),
    /// Note a change of state in the log.
    Note(String),
    /// Nothing is left to do before the daemon ends.
    Drained,
}
