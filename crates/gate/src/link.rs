//! Connects the HTTP servers with the node.

use std::sync::Arc;

use base::{RequestId, ResultCode, Time};
use config::{Draft, Snapshot};
use node::{DispatchOrder, Event, NewRequest, Node, ProposalResult, Refusal};
use tokio::sync::{mpsc, oneshot, watch};

/// A command from the node to the task that handles a request.
#[derive(Clone, Debug)]
pub enum GateCommand {
    /// Send the request to a target.
    Dispatch(DispatchOrder),
    /// Respond to the caller with an error.
    Refuse(Refusal),
    /// Abort the exchange with the target.
    Cancel(ResultCode),
}

/// Reads the node's state at the present time.
pub type NodeQuery = Box<dyn FnOnce(&Node, Time) + Send>;

/// An input to the node's actor.
pub enum NodeInput {
    /// An event for the node.
    Event(Event),
    /// A new request and the channel for commands to its task.
    Request(NewRequest, mpsc::UnboundedSender<Box<GateCommand>>),
    /// A configuration change proposed by an operator, and the channel for the result.
    Propose(Draft, oneshot::Sender<ProposalResult>),
    /// A query, which does not change the node.
    Query(NodeQuery),
}

/// Handle through which the HTTP servers use the node.
#[derive(Clone)]
pub struct NodeLink {
    input_sink: Arc<dyn Fn(NodeInput) + Send + Sync>,
    snapshots: watch::Receiver<Arc<Snapshot>>,
    clock: fn() -> Time,
    last_id: Arc<std::sync::atomic::AtomicU64>,
}

impl NodeLink {
    /// Creates a link from a function that sends inputs to the node's actor, the published
    /// configuration snapshots and the host's clock.
    pub fn new(
        input_sink: Arc<dyn Fn(NodeInput) + Send + Sync>,
        snapshots: watch::Receiver<Arc<Snapshot>>,
        clock: fn() -> Time,
    ) -> NodeLink {
        NodeLink { input_sink, snapshots, clock, last_id: Arc::default() }
    }

    /// Returns the present time of the host's clock.
    pub fn now(&self) -> Time {
        (self.clock)()
    }

    /// Returns the latest configuration snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshots.borrow().clone()
    }

    /// Returns a new request identifier, unique within this daemon.
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.last_id.fetch_add(1, std::sync::atomic::Ordering::Relaxed) + 1)
    }

    /// Sends an event to the node.
    pub fn send_event(&self, event: Event) {
        (self.input_sink)(NodeInput::Event(event));
    }

    /// Submits a request to the node and returns the receiver of its commands. The commands are
    /// boxed, because a channel allocates space for 32 messages at once and each of thousands of
    /// streams has a channel.
    pub fn submit_request(&self, spec: NewRequest) -> mpsc::UnboundedReceiver<Box<GateCommand>> {
        let (sender, receiver) = mpsc::unbounded_channel();
        (self.input_sink)(NodeInput::Request(spec, sender));
        receiver
    }

    /// Proposes a configuration change. Returns `None` if the daemon stops before the result.
    pub async fn propose(&self, draft: Draft) -> Option<ProposalResult> {
        let (sender, receiver) = oneshot::channel();
        (self.input_sink)(NodeInput::Propose(draft, sender));
        receiver.await.ok()
    }

    /// Reads the node's state. Returns `None` if the daemon stops before the read.
    pub async fn query<T: Send + 'static>(
        &self,
        read: impl FnOnce(&Node, Time) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let node_query = move |node: &Node, now: Time| {
            let _ = sender.send(read(node, now));
        };
        (self.input_sink)(NodeInput::Query(Box::new(node_query)));
        receiver.await.ok()
    }
}
