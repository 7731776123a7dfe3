//! The events that a node handles and the actions that it returns.

use std::sync::Arc;
use std::time::Duration;

use base::{
    Address, DomainName, KeyHash, ModelName, Name, OrderId, RequestId, ResultCode, Seat,
    TargetName, Time, TokenCount,
};
use config::{Change, Draft, Snapshot, Versioned};
use place::{OrderMessage, OrderOutcome, TargetReport};

use crate::{OpId, PeerMessage, ServiceEvent, StoreOp};

/// The resource that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestGoal {
    /// A model or adapter.
    Model(ModelName),
    /// A route to a plain service.
    Route(Name),
}

/// A request that has arrived from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewRequest {
    /// Identifier, unique within the daemon.
    pub id: RequestId,
    /// Hash of the caller's API key, if it sent one.
    pub key: Option<KeyHash>,
    /// Model or route that it asks for.
    pub goal: RequestGoal,
    /// Maximum number of tokens that it may use.
    pub cost: TokenCount,
    /// Time by which it must be answered.
    pub deadline: Time,
    /// Requests with a larger value are served first within their team.
    pub priority: i32,
    /// Hash of the caller's idempotency key, in hexadecimal.
    pub idempotency: Option<String>,
    /// Whether it may safely run more than once.
    pub idempotent: bool,
}

/// How one transmission of a request to a target ended, as observed by the gate. Token counts are
/// the tokens used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The complete answer was forwarded to the caller.
    Served(TokenCount),
    /// No byte was sent to the target.
    NotSent,
    /// The target stated that it did not run the request, because it is full or lacks the model.
    Declined,
    /// The target failed after bytes were sent to it, and nothing was forwarded to the caller.
    Lost,
    /// The target did not answer before the deadline.
    TimedOut,
    /// The answer was cut off after a part of it was forwarded.
    Broken(TokenCount),
    /// The caller disconnected.
    CallerGone(TokenCount),
    /// The transmission was cancelled by [`Action::Cancel`].
    Cancelled(TokenCount),
}

/// The role of a host in the platform's host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRole {
    /// An entry host, which runs a daemon.
    Entry,
    /// A target.
    Target,
}

/// One entry of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Role of the host.
    pub role: HostRole,
    /// Peer address of an entry host, or name of a target.
    pub name: Name,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether it is being removed.
    pub leaving: bool,
}

/// The platform's host list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostList {
    /// All hosts, including those that are leaving.
    pub hosts: Vec<HostEntry>,
}

/// An input to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A request arrived.
    Arrived(NewRequest),
    /// A transmission of a request ended.
    Ended(RequestId, RequestEnd),
    /// A waiting request's caller disconnected.
    Abandoned(RequestId),
    /// A message from a peer.
    Peer(Seat, PeerMessage),
    /// An event from the key-value service.
    Service(ServiceEvent),
    /// The platform's host list.
    Hosts(HostList),
    /// A target's report, with the time at which it was requested.
    Report(TargetName, Time, TargetReport),
    /// An order to a target ended.
    OrderEnded(TargetName, OrderId, OrderOutcome),
    /// An operator proposes a change. The number identifies the proposal in its result.
    Propose(u64, Draft),
    /// An operator asks which seats have reached a revision.
    Probe(base::Revision),
    /// The daemon will shut down soon: it keeps taking requests, but reports to the load balancer
    /// that it is not ready.
    Retire,
    /// The daemon shuts down: it takes no new requests and finishes those that it has.
    Drain,
}

/// An order to send a request to a target.
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
    /// How long the caller should wait before it retries.
    pub retry_after: Option<Duration>,
}

/// The result of an operator's proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// The change is recorded.
    Accepted(Change),
    /// The change was already recorded before, at this revision.
    Repeated(base::Revision),
    /// The change was not recorded: result code, reason and, on a conflict, the current object.
    Refused(ResultCode, String, Option<Versioned>),
}

/// An output of a node, which the host must carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a target.
    Dispatch(DispatchOrder),
    /// Give a request its final answer.
    Refuse(Refusal),
    /// Cancel a transmission and end the caller's answer with a result.
    Cancel(RequestId, ResultCode),
    /// Send a message to a peer.
    Send(Address, PeerMessage),
    /// Call the key-value service.
    Store(OpId, StoreOp),
    /// Send an order to the target at the given address.
    Order(Name, OrderMessage),
    /// From now on, poll exactly these targets for reports. Each comes with its address.
    Poll(Vec<(TargetName, Name)>),
    /// Put a new configuration into force on this host.
    Publish(Arc<Snapshot>),
    /// Answer an operator's proposal.
    AnswerProposal(u64, ProposalResult),
    /// Start (true) or stop (false) watching the service and keeping a lease in it.
    Watch(bool),
    /// Write a message about a state change to the log.
    Log(String),
    /// The drain is complete: the daemon may exit.
    Drained,
}
