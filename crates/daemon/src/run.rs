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

use crate::actor::{NodeActor, Outlets};
use crate::clock::{boot_time, wall_ms};
use crate::poll::{poll_hosts, poll_targets};
use crate::settings::Settings;

/// Time between two ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a daemon that shuts down waits for the node to finish.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address can't be listened on.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The transport between daemons can't be set up.
    #[error("can't start the peer transport: {0}")]
    Transport(std::io::Error),
    /// The node's actor can't be started.
    #[error("can't start the node: {0}")]
    Actor(String),
}

/// A running daemon.
pub struct Daemon {
    link: NodeLink,
    actor: ActorRef<NodeInput>,
    drained: Arc<Notify>,
    stop_callers: oneshot::Sender<()>,
    callers: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    drain_delay: Duration,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    calls: CallStats,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Fails when an address is taken or a part can't be set up.
    pub async fn start(settings: Settings) -> Result<Daemon, StartError> {
        let callers = listen(settings.caller_listen).await?;
        let operators = listen(settings.operator_listen).await?;
        let peers = std::net::TcpListener::bind(settings.peer_listen)
            .map_err(|error| StartError::Listen(settings.peer_listen, error))?;
        let (caller_address, operator_address) = (local(&callers), local(&operators));
        let seat = Seat {
            address: settings.peer_address.clone(),
            // 53 bits survive every JSON implementation.
            incarnation: Incarnation(rand::random::<u64>() >> 11),
        };
        let (inputs, link, snapshots) = node_link();
        let (events, service_events) = mpsc::unbounded_channel();
        let calls = CallStats::default();
        let client = KvClient::new(settings.service, calls.clone());
        let audit = audit_source(client.clone());
        let store_config = StoreConfig {
            lease_ttl: settings.lease,
            head_interval: settings.head_interval,
            clock: boot_time,
        };
        let store = StoreTask::start(client, store_config, events);
        let received = link.clone();
        let receiver = move |from, message| received.event(Event::Peer(from, message));
        let transport = PeerTransport::start(seat.clone(), peers, Box::new(receiver))
            .map_err(StartError::Transport)?;
        let (polls, poll_list) = watch::channel(Vec::new());
        let drained = Arc::new(Notify::new());
        let outlets = Outlets {
            transport,
            store,
            snapshots,
            polls,
            drained: drained.clone(),
            link: link.clone(),
            clock: boot_time,
        };
        let node = Node::new(boot_time(), node_config(&settings, &seat));
        let (actor, _) = Actor::spawn(None, NodeActor, (node, outlets))
            .await
            .map_err(|error| StartError::Actor(error.to_string()))?;
        let _ = inputs.set(actor.clone());

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
        let (stop_callers, stopped) = oneshot::channel::<()>();
        let mut tasks = vec![
            tokio::spawn(pass_events(service_events, link.clone())),
            tokio::spawn(tick(link.clone())),
            tokio::spawn(poll_targets(link.clone(), poll_list, settings.report_interval)),
            tokio::spawn(async move { operator_gate.serve(operators).await }),
        ];
        if let Some(hosts) = settings.hosts {
            tasks.push(tokio::spawn(poll_hosts(link.clone(), hosts, settings.hosts_interval)));
        }
        let callers = tokio::spawn(async move {
            gate.serve(callers, async { drop(stopped.await) }).await;
        });
        log::info!("seat {seat} in {} takes requests on {caller_address}", settings.domain);
        Ok(Daemon {
            link,
            actor,
            drained,
            stop_callers,
            callers,
            tasks,
            drain_delay: settings.drain_delay,
            caller_address,
            operator_address,
            calls,
        })
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns the link to the node.
    pub fn link(&self) -> &NodeLink {
        &self.link
    }

    /// Returns the counters of calls to the key-value service.
    pub fn calls(&self) -> &CallStats {
        &self.calls
    }

    /// Shuts down without cutting a request: goes on for the drain delay, so that the balancer
    /// notices, then finishes what is running, gives its units back and ends.
    pub async fn shutdown(self) {
        log::info!("shutting down");
        self.link.event(Event::Retire);
        tokio::time::sleep(self.drain_delay).await;
        let _ = self.stop_callers.send(());
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, self.callers).await;
        self.link.event(Event::Drain);
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, self.drained.notified()).await;
        self.actor.stop(None);
        for task in &self.tasks {
            task.abort();
        }
        log::info!("shut down");
    }
}

type Inputs = Arc<OnceLock<ActorRef<NodeInput>>>;

/// Creates the link before the actor exists; inputs before that are dropped.
fn node_link() -> (Inputs, NodeLink, watch::Sender<Arc<Snapshot>>) {
    let (snapshots, published) = watch::channel(Arc::default());
    let inputs: Inputs = Arc::default();
    let target = inputs.clone();
    let pass = move |input| {
        if let Some(actor) = target.get() {
            let _ = actor.cast(input);
        }
    };
    let link = NodeLink::new(Arc::new(pass), published, boot_time);
    (inputs, link, snapshots)
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

async fn pass_events(mut events: mpsc::UnboundedReceiver<ServiceEvent>, link: NodeLink) {
    while let Some(event) = events.recv().await {
        link.event(Event::Service(event));
    }
}

async fn tick(link: NodeLink) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        link.event(Event::Tick);
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen(address, error))
}

fn local(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)))
}
