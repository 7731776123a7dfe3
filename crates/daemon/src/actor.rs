//! The actor that owns the node and performs its actions.

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

/// Destinations of the node's actions.
pub(crate) struct ActionSinks {
    pub(crate) transport: PeerTransport,
    pub(crate) store: StoreTask,
    pub(crate) snapshots: watch::Sender<Arc<Snapshot>>,
    pub(crate) poll_lists: watch::Sender<PollList>,
    pub(crate) drained: Arc<Notify>,
    pub(crate) link: NodeLink,
    pub(crate) clock: fn() -> Time,
}

/// The actor's state.
pub(crate) struct NodeState {
    node: Node,
    sinks: ActionSinks,
    requests: HashMap<RequestId, mpsc::UnboundedSender<Box<GateCommand>>>,
    proposals: HashMap<u64, oneshot::Sender<ProposalResult>>,
    last_proposal: u64,
    /// Requests that the node dispatched although their tasks had ended.
    orphaned_requests: Vec<RequestId>,
}

/// Owns the node and processes its inputs one at a time.
pub(crate) struct NodeActor;

impl Actor for NodeActor {
    type Msg = NodeInput;
    type State = NodeState;
    type Arguments = (Node, ActionSinks);

    async fn pre_start(
        &self,
        _actor: ActorRef<NodeInput>,
        (node, sinks): (Node, ActionSinks),
    ) -> Result<NodeState, ActorProcessingErr> {
        Ok(NodeState {
            node,
            sinks,
            requests: HashMap::new(),
            proposals: HashMap::new(),
            last_proposal: 0,
            orphaned_requests: Vec::new(),
        })
    }

    async fn handle(
        &self,
        _actor: ActorRef<NodeInput>,
        input: NodeInput,
        state: &mut NodeState,
    ) -> Result<(), ActorProcessingErr> {
        state.handle_input(input);
        Ok(())
    }
}

impl NodeState {
    fn handle_input(&mut self, input: NodeInput) {
        let now = (self.sinks.clock)();
        match input {
            NodeInput::Event(event) => self.handle_event(now, event),
            NodeInput::Request(spec, commands) => {
                self.requests.insert(spec.id, commands);
                self.handle_event(now, Event::Arrived(spec));
            }
            NodeInput::Propose(draft, result_sender) => {
                self.last_proposal += 1;
                self.proposals.insert(self.last_proposal, result_sender);
                self.handle_event(now, Event::Propose(self.last_proposal, draft));
            }
            NodeInput::Query(query) => query(&self.node, now),
        }
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        let ended_request = match &event {
            Event::Ended(id, _) | Event::Abandoned(id) => Some(*id),
            _ => None,
        };
        for action in self.node.handle(now, event) {
            self.perform_action(action);
        }
        // The tasks of these requests are gone and can't report an end. Without these events the
        // requests would occupy their slots forever.
        while let Some(id) = self.orphaned_requests.pop() {
            for event in [Event::Ended(id, RequestEnd::NotSent), Event::Abandoned(id)] {
                for action in self.node.handle(now, event) {
                    self.perform_action(action);
                }
            }
        }
        if let Some(id) = ended_request.filter(|id| !self.node.has_request(*id)) {
            self.requests.remove(&id);
        }
    }

    fn perform_action(&mut self, action: Action) {
        match action {
            Action::Dispatch(order) => {
                let id = order.request;
                if !self.send_command(id, GateCommand::Dispatch(order)) {
                    self.orphaned_requests.push(id);
                }
            }
            Action::Refuse(refusal) => {
                let id = refusal.request;
                self.send_command(id, GateCommand::Refuse(refusal));
                self.requests.remove(&id);
            }
            Action::Cancel(id, code) => {
                self.send_command(id, GateCommand::Cancel(code));
            }
            Action::Send(to, message) => self.sinks.transport.send(to, message),
            Action::Store(id, op) => self.sinks.store.call(id, op),
            Action::Order(address, message) => {
                let link = self.sinks.link.clone();
                tokio::spawn(async move {
                    let outcome = TargetClient.send_order(&address, &message).await;
                    link.send_event(Event::OrderEnded(message.target, message.id, outcome));
                });
            }
            Action::Poll(targets) => {
                self.sinks.poll_lists.send_replace(targets);
            }
            Action::Publish(snapshot) => {
                self.sinks.snapshots.send_replace(snapshot);
            }
            Action::AnswerProposal(proposal_id, result) => {
                if let Some(result_sender) = self.proposals.remove(&proposal_id) {
                    let _ = result_sender.send(result);
                }
            }
            Action::Watch(watching) => self.sinks.store.set_watching(watching),
            Action::Log(text) => log::info!("{text}"),
            Action::Drained => self.sinks.drained.notify_one(),
        }
    }

    /// Sends a command to the task that handles a request. Returns false if that task has ended.
    fn send_command(&self, id: RequestId, command: GateCommand) -> bool {
        self.requests.get(&id).is_some_and(|commands| commands.send(Box::new(command)).is_ok())
    }
}
