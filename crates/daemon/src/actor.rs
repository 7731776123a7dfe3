//! The actor that owns the node.

use std::collections::HashMap;
use std::sync::Arc;

use base::{RequestId, Time};
use config::Snapshot;
use gate::{GateCommand, NodeInput, NodeLink, TargetClient};
use node::{Action, Event, Node, ProposalResult, RequestEnd};
use peer::PeerTransport;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use store::StoreTask;
use tokio::sync::{mpsc, oneshot, watch, Notify};

use crate::poll::PollList;

/// What the node's actions reach.
pub(crate) struct Outlets {
    pub(crate) transport: PeerTransport,
    pub(crate) store: StoreTask,
    pub(crate) snapshots: watch::Sender<Arc<Snapshot>>,
    pub(crate) polls: watch::Sender<PollList>,
    pub(crate) drained: Arc<Notify>,
    pub(crate) link: NodeLink,
    pub(crate) clock: fn() -> Time,
}

/// The actor's state.
pub(crate) struct NodeState {
    node: Node,
    outlets: Outlets,
    requests: HashMap<RequestId, mpsc::UnboundedSender<Box<GateCommand>>>,
    proposals: HashMap<u64, oneshot::Sender<ProposalResult>>,
    last_proposal: u64,
    /// Requests that were to be sent although their callers are gone.
    orphans: Vec<RequestId>,
}

/// Owns the node: each input is handled to its end before the next.
pub(crate) struct NodeActor;

impl Actor for NodeActor {
    type Msg = NodeInput;
    type State = NodeState;
    type Arguments = (Node, Outlets);

    async fn pre_start(
        &self,
        _actor: ActorRef<NodeInput>,
        (node, outlets): (Node, Outlets),
    ) -> Result<NodeState, ActorProcessingErr> {
        Ok(NodeState {
            node,
            outlets,
            requests: HashMap::new(),
            proposals: HashMap::new(),
            last_proposal: 0,
            orphans: Vec::new(),
        })
    }

    async fn handle(
        &self,
        _actor: ActorRef<NodeInput>,
        input: NodeInput,
        state: &mut NodeState,
    ) -> Result<(), ActorProcessingErr> {
        state.take(input);
        Ok(())
    }
}

impl NodeState {
    fn take(&mut self, input: NodeInput) {
        let now = (self.outlets.clock)();
        match input {
            NodeInput::Event(event) => self.event(now, event),
            NodeInput::Request(spec, commands) => {
                self.requests.insert(spec.id, commands);
                self.event(now, Event::Arrived(spec));
            }
            NodeInput::Propose(draft, answer) => {
                self.last_proposal += 1;
                self.proposals.insert(self.last_proposal, answer);
                self.event(now, Event::Propose(self.last_proposal, draft));
            }
            NodeInput::Query(answer) => answer(&self.node, now),
        }
    }

    fn event(&mut self, now: Time, event: Event) {
        let ended = match &event {
            Event::Ended(id, _) | Event::Abandoned(id) => Some(*id),
            _ => None,
        };
        for action in self.node.handle(now, event) {
            self.perform(action);
        }
        // Nobody else would ever end these requests, and their slots would stay taken.
        while let Some(id) = self.orphans.pop() {
            for event in [Event::Ended(id, RequestEnd::NotSent), Event::Abandoned(id)] {
                for action in self.node.handle(now, event) {
                    self.perform(action);
                }
            }
        }
        if let Some(id) = ended.filter(|id| !self.node.has_request(*id)) {
            self.requests.remove(&id);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Dispatch(order) => {
                let id = order.request;
                if !self.command(id, GateCommand::Dispatch(order)) {
                    self.orphans.push(id);
                }
            }
            Action::Refuse(refusal) => {
                let id = refusal.request;
                self.command(id, GateCommand::Refuse(refusal));
                self.requests.remove(&id);
            }
            Action::Cancel(id, code) => {
                self.command(id, GateCommand::Cancel(code));
            }
            Action::Send(to, message) => self.outlets.transport.send(to, message),
            Action::Store(id, op) => self.outlets.store.call(id, op),
            Action::Order(address, message) => {
                let link = self.outlets.link.clone();
                tokio::spawn(async move {
                    let outcome = TargetClient.order(&address, &message).await;
                    link.event(Event::OrderEnded(message.target, message.id, outcome));
                });
            }
            Action::Poll(targets) => {
                self.outlets.polls.send_replace(targets);
            }
            Action::Publish(snapshot) => {
                self.outlets.snapshots.send_replace(snapshot);
            }
            Action::Propose(token, result) => {
                if let Some(answer) = self.proposals.remove(&token) {
                    let _ = answer.send(result);
                }
            }
            Action::Watch(watching) => self.outlets.store.set_watching(watching),
            Action::Log(text) => log::info!("{text}"),
            Action::Drained => self.outlets.drained.notify_one(),
        }
    }

    /// Passes a command to the exchange that carries a request. Returns false when it ended.
    fn command(&self, id: RequestId, command: GateCommand) -> bool {
        self.requests.get(&id).is_some_and(|commands| commands.send(Box::new(command)).is_ok())
    }
}
