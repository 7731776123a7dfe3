//! Starts and stops a daemon.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use base::{ChangeId, Incarnation, Revision, Seat};
use config::{Change, Snapshot};
use gate::{
    AuditSource, CallerGate, GateConfig, NodeInput, NodeLink, OperatorConfig, OperatorGate,
};
use node::{Event, Node, NodeConfig, ServiceEvent, LOG_PREFIX};
use peer::PeerTransport;
use place::PlaceConfig;
use prometheus_client::registry::Registry;
use ractor::{Actor, ActorRef};
use store::{CallStats, KvClient, StoreConfig, StoreTask};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::task::JoinHandle;

use crate::actor::{ActionSinks, NodeActor};
use crate::clock::{boot_time, wall_ms};
use crate::poll::{poll_hosts, poll_targets};
use crate::settings::Settings;

/// Interval between the node's timer events.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for each step of a shutdown: finishing callers' requests, and draining the node.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);

/// The reason why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Listening on an address failed.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// Setting up the transport between daemons failed.
    #[error("can't start the peer transport: {0}")]
    Transport(std::io::Error),
    /// Starting the node's actor failed.
    #[error("can't start the node: {0}")]
    Actor(String),
}

/// A running daemon.
pub struct Daemon {
    link: NodeLink,
    actor: ActorRef<NodeInput>,
    drained: Arc<Notify>,
    caller_shutdown: oneshot::Sender<()>,
    caller_task: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    drain_delay: Duration,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    call_stats: CallStats,
}

impl Daemon {
    /// Starts a daemon and returns when its sockets are open.
    ///
    /// # Errors
    ///
    /// Fails if listening on an address fails, or if the peer transport or the node's actor can't be
    /// started.
    pub async fn start(settings: Settings) -> Result<Daemon, StartError> {
        let caller_listener = listen(settings.caller_listen).await?;
        let operator_listener = listen(settings.operator_listen).await?;
        let peer_listener = std::net::TcpListener::bind(settings.peer_listen)
            .map_err(|error| StartError::Listen(settings.peer_listen, error))?;
        let (caller_address, operator_address) =
            (local_address(&caller_listener), local_address(&operator_listener));
        let seat = Seat {
            address: settings.peer_address.clone(),
            // Some JSON implementations represent integers exactly up to 53 bits only.
            incarnation: Incarnation(rand::random::<u64>() >> 11),
        };
        let (actor_cell, link, snapshots) = node_link();
        let (event_sender, service_events) = mpsc::unbounded_channel();
        let call_stats = CallStats::default();
        let client = KvClient::new(settings.service, call_stats.clone());
        let audit = audit_source(client.clone());
        let store_config = StoreConfig {
            lease_ttl: settings.lease,
            head_interval: settings.head_interval,
            clock: boot_time,
        };
        let store = StoreTask::start(client, store_config, event_sender);
        let peer_link = link.clone();
        let receiver = move |from, message| peer_link.send_event(Event::Peer(from, message));
        let transport = PeerTransport::start(seat.clone(), peer_listener, Box::new(receiver))
            .map_err(StartError::Transport)?;
        let (poll_lists, poll_list) = watch::channel(Vec::new());
        let drained = Arc::new(Notify::new());
        let sinks = ActionSinks {
            transport,
            store,
            snapshots,
            poll_lists,
            drained: drained.clone(),
            link: link.clone(),
            clock: boot_time,
        };
        let node = Node::new(boot_time(), node_config(&settings, &seat));
        let (actor, _) = Actor::spawn(None, NodeActor, (node, sinks))
            .await
            .map_err(|error| StartError::Actor(error.to_string()))?;
        let _ = actor_cell.set(actor.clone());

        let mut registry = Registry::with_prefix("mangodeal");
        let gate = CallerGate::new(link.clone(), gate_config(&settings, &seat));
        gate.metrics().register(&mut registry);
        let operator_config = OperatorConfig {
            operators: settings.operators.clone(),
            audit,
            registry: Arc::new(registry),
            change_ids: new_change_id,
            wall_ms,
        };
        let operator_gate = OperatorGate::new(link.clone(), operator_config);
        let (caller_shutdown, stopped) = oneshot::channel::<()>();
        let mut tasks = vec![
            tokio::spawn(forward_events(service_events, link.clone())),
            tokio::spawn(send_ticks(link.clone())),
            tokio::spawn(poll_targets(link.clone(), poll_list, settings.report_interval)),
            tokio::spawn(async move { operator_gate.serve(operator_listener).await }),
        ];
        if let Some(hosts) = settings.hosts {
            tasks.push(tokio::spawn(poll_hosts(link.clone(), hosts, settings.hosts_interval)));
        }
        let caller_task = tokio::spawn(async move {
            gate.serve(caller_listener, async { drop(stopped.await) }).await;
        });
        log::info!("seat {seat} in {} accepts requests on {caller_address}", settings.domain);
        Ok(Daemon {
            link,
            actor,
            drained,
            caller_shutdown,
            caller_task,
            tasks,
            drain_delay: settings.drain_delay,
            caller_address,
            operator_address,
            call_stats,
        })
    }

    /// Returns the address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address that operators connect to.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns the link to the node.
    pub fn link(&self) -> &NodeLink {
        &self.link
    }

    /// Returns the counters of calls to the key-value service.
    pub fn call_stats(&self) -> &CallStats {
        &self.call_stats
    }

    /// Shuts down without aborting requests. For the drain delay, the daemon reports that it is not
    /// ready but still accepts requests, until the load balancer stops sending them. Then it finishes
    /// the running requests, returns its units and stops.
    pub async fn shutdown(self) {
        log::info!("shutting down");
        self.link.send_event(Event::Retire);
        tokio::time::sleep(self.drain_delay).await;
        let _ = self.caller_shutdown.send(());
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, self.caller_task).await;
        self.link.send_event(Event::Drain);
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, self.drained.notified()).await;
        self.actor.stop(None);
        for task in &self.tasks {
            task.abort();
        }
        log::info!("shutdown complete");
    }
}

type ActorCell = Arc<OnceLock<ActorRef<NodeInput>>>;

/// Creates a link to an actor that is started later. Inputs are dropped until the cell holds the
/// actor.
fn node_link() -> (ActorCell, NodeLink, watch::Sender<Arc<Snapshot>>) {
    let (snapshots, published) = watch::channel(Arc::default());
    let actor_cell: ActorCell = Arc::default();
    let cell = actor_cell.clone();
    let forward = move |input| {
        if let Some(actor) = cell.get() {
            let _ = actor.cast(input);
        }
    };
    let link = NodeLink::new(Arc::new(forward), published, boot_time);
    (actor_cell, link, snapshots)
}

fn node_config(settings: &Settings, seat: &Seat) -> NodeConfig {
    let place = PlaceConfig::default()
        .load_slots(settings.domain_slots(settings.load_slots))
        .adapter_slots(settings.domain_slots(settings.adapter_slots))
        .unload_delay(settings.unload_delay)
        .order_drain(settings.order_drain)
        .reserve(settings.reserve, settings.domains.len())
        .idle_policy(settings.idle);
    NodeConfig::new(seat.address.clone(), settings.domain.clone())
        .incarnation(seat.incarnation)
        .domains(settings.domains.len())
        .key_grace(settings.key_grace)
        .loan_span(settings.loan)
        .max_waiting(settings.max_waiting)
        .place(place)
}

fn gate_config(settings: &Settings, seat: &Seat) -> GateConfig {
    GateConfig {
        max_body: usize::try_from(settings.max_body.0).unwrap_or(usize::MAX),
        buffers: settings.buffers,
        receive_timeout: settings.receive_timeout,
        deadline: settings.deadline,
        id_prefix: format!("{:x}", seat.incarnation.0),
    }
}

fn audit_source(client: KvClient) -> AuditSource {
    Arc::new(move |from: Revision| {
        let client = client.clone();
        Box::pin(async move {
            let first = format!("{LOG_PREFIX}{:016x}", from.0);
            let end = format!("{}0", LOG_PREFIX.trim_end_matches('/'));
            let (_, entries) = client.range(&first, &end).await.ok()?;
            let parse = |entry: &node::KeyValue| serde_json::from_slice::<Change>(&entry.value);
            Some(entries.iter().filter_map(|entry| parse(entry).ok()).collect())
        })
    })
}

fn new_change_id() -> ChangeId {
    let id = format!("{:016x}", rand::random::<u64>());
    ChangeId(id.parse().expect("hexadecimal digits are a valid name"))
}

async fn forward_events(mut events: mpsc::UnboundedReceiver<ServiceEvent>, link: NodeLink) {
    while let Some(event) = events.recv().await {
        link.send_event(Event::Service(event));
    }
}

async fn send_ticks(link: NodeLink) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        link.send_event(Event::Tick);
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen(address, error))
}

fn local_address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)))
}
