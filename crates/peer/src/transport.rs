//! RPC connections between daemons.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use base::{Address, Seat};
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::RpcSystem;
use node::PeerMessage;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::task::{spawn_local, LocalSet};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::convert::{read_message, read_seat, write_message, write_seat};
use crate::peer_capnp::peer;

/// Maximum number of messages queued for one peer.
const MAX_QUEUED: usize = 1_024;
/// Maximum number of messages to one peer that await an acknowledgement.
const MAX_UNACKNOWLEDGED: usize = 64;
/// Timeout for connecting to a peer, and for the acknowledgement of a message.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a connection could not be made or accepted. When connecting fails, the messages
/// queued for that peer until the end of the pause are dropped.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Maximum size of a message, in words of eight bytes.
const MAX_WORDS: usize = 4 << 20;

/// A callback that takes the sender of a received message, and the message. It is called on the
/// transport's thread and must not block.
pub type MessageHandler = Box<dyn Fn(Seat, PeerMessage) + Send>;

/// Counters of the messages that a transport sent or dropped.
#[derive(Debug, Default)]
pub struct PeerStats {
    messages: AtomicU64,
    bytes: AtomicU64,
    dropped: AtomicU64,
}

impl PeerStats {
    /// Returns the number of messages sent, of bytes sent, and of messages dropped.
    pub fn totals(&self) -> [u64; 3] {
        [&self.messages, &self.bytes, &self.dropped].map(|count| count.load(Ordering::Relaxed))
    }
}

/// Sends and receives messages between daemons.
pub struct PeerTransport {
    queue: mpsc::UnboundedSender<(Address, PeerMessage)>,
    stats: Arc<PeerStats>,
}

impl PeerTransport {
    /// Starts the transport's thread. It runs until the transport is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the listener or the thread can't be set up.
    pub fn start(
        seat: Seat,
        listener: std::net::TcpListener,
        handler: MessageHandler,
    ) -> std::io::Result<PeerTransport> {
        listener.set_nonblocking(true)?;
        let (queue, outgoing) = mpsc::unbounded_channel();
        let stats = Arc::new(PeerStats::default());
        let thread_stats = stats.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name("peer".to_owned()).spawn(move || {
            LocalSet::new()
                .block_on(&runtime, run(seat, listener, handler, outgoing, thread_stats));
        })?;
        Ok(PeerTransport { queue, stats })
    }

    /// Queues a message for sending. The message is dropped when the peer can't be reached or when
    /// too many messages are queued for it.
    pub fn send(&self, to: Address, message: PeerMessage) {
        let _ = self.queue.send((to, message));
    }

    /// Returns the counters of sent and dropped messages.
    pub fn stats(&self) -> &PeerStats {
        &self.stats
    }
}

async fn run(
    seat: Seat,
    listener: std::net::TcpListener,
    handler: MessageHandler,
    mut outgoing: mpsc::UnboundedReceiver<(Address, PeerMessage)>,
    stats: Arc<PeerStats>,
) {
    let handler: Rc<MessageHandler> = Rc::new(handler);
    if let Ok(listener) = TcpListener::from_std(listener) {
        spawn_local(accept(listener, handler));
    }
    let mut peers: HashMap<Address, mpsc::Sender<PeerMessage>> = HashMap::new();
    while let Some((to, message)) = outgoing.recv().await {
        let sender = peers.entry(to.clone()).or_insert_with(|| {
            let (sender, messages) = mpsc::channel(MAX_QUEUED);
            spawn_local(send_to_peer(seat.clone(), to, messages, stats.clone()));
            sender
        });
        if sender.try_send(message).is_err() {
            stats.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn accept(listener: TcpListener, handler: Rc<MessageHandler>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let client: peer::Client = capnp_rpc::new_client(PeerServer { handler: handler.clone() });
        let system =
            RpcSystem::new(Box::new(new_network(stream, Side::Server)), Some(client.client));
        spawn_local(async move {
            let _ = system.await;
        });
    }
}

struct PeerServer {
    handler: Rc<MessageHandler>,
}

impl peer::Server for PeerServer {
    async fn deliver(
        self: Rc<Self>,
        params: peer::DeliverParams,
        _results: peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let to_rpc_error = |error: crate::WireError| capnp::Error::failed(error.to_string());
        let from = read_seat(params.get_from()?).map_err(to_rpc_error)?;
        let message = read_message(params.get_message()?).map_err(to_rpc_error)?;
        (self.handler)(from, message);
        Ok(())
    }
}

/// Sends messages to one peer over one connection at a time; reconnects after a failure.
async fn send_to_peer(
    seat: Seat,
    to: Address,
    mut messages: mpsc::Receiver<PeerMessage>,
    stats: Arc<PeerStats>,
) {
    while let Some(first) = messages.recv().await {
        let connected = tokio::time::timeout(PEER_TIMEOUT, TcpStream::connect(to.as_str())).await;
        let Ok(Ok(stream)) = connected else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            // The queued messages are stale by now.
            while messages.try_recv().is_ok() {
                stats.dropped.fetch_add(1, Ordering::Relaxed);
            }
            continue;
        };
        let mut system = RpcSystem::new(Box::new(new_network(stream, Side::Client)), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let rpc_task = spawn_local(system);
        let sending = send_all(&seat, first, &client, &mut messages, &stats);
        sending.await;
        rpc_task.abort();
    }
}

/// Sends messages over one connection until one fails or is not acknowledged in time.
async fn send_all(
    seat: &Seat,
    first: PeerMessage,
    client: &peer::Client,
    messages: &mut mpsc::Receiver<PeerMessage>,
    stats: &PeerStats,
) {
    let has_failed = Rc::new(Cell::new(false));
    let permits = Arc::new(Semaphore::new(MAX_UNACKNOWLEDGED));
    let mut next = Some(first);
    while let Some(message) = next {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        if has_failed.get() {
            return;
        }
        let mut request = client.deliver_request();
        write_seat(request.get().init_from(), seat);
        write_message(request.get().init_message(), &message);
        let words = request.get().total_size().map_or(0, |size| size.word_count);
        stats.messages.fetch_add(1, Ordering::Relaxed);
        stats.bytes.fetch_add(words * 8, Ordering::Relaxed);
        let (ack, has_failed) = (request.send().promise, has_failed.clone());
        spawn_local(async move {
            let ack = tokio::time::timeout(PEER_TIMEOUT, ack).await;
            if !matches!(ack, Ok(Ok(_))) {
                has_failed.set(true);
            }
            drop(permit);
        });
        next = messages.recv().await;
    }
}

type Network = VatNetwork<tokio_util::compat::Compat<tokio::net::tcp::OwnedReadHalf>>;

fn new_network(stream: TcpStream, side: Side) -> Network {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_WORDS));
    VatNetwork::new(read.compat(), write.compat_write(), side, options)
}
