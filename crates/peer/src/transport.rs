//! The RPC connections between daemons.

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

/// Messages that wait for one peer.
const QUEUE_LENGTH: usize = 1_024;
/// Messages to one peer that are unanswered.
const UNANSWERED: usize = 64;
/// How long connecting or an answer may take.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed connection; messages are dropped meanwhile.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Largest message, in words of eight bytes.
const MAX_WORDS: usize = 4 << 20;

/// Takes received messages. It is called on the transport's thread and must not block.
pub type Receiver = Box<dyn Fn(Seat, PeerMessage) + Send>;

/// Counts what a transport sent.
#[derive(Debug, Default)]
pub struct PeerStats {
    messages: AtomicU64,
    bytes: AtomicU64,
    dropped: AtomicU64,
}

impl PeerStats {
    /// Returns the messages and bytes sent, and the messages dropped.
    pub fn totals(&self) -> [u64; 3] {
        [&self.messages, &self.bytes, &self.dropped].map(|count| count.load(Ordering::Relaxed))
    }
}

/// Sends and receives messages between daemons.
pub struct PeerTransport {
    outbox: mpsc::UnboundedSender<(Address, PeerMessage)>,
    stats: Arc<PeerStats>,
}

impl PeerTransport {
    /// Starts the transport's thread, which runs until the transport is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the listener or the thread can't be set up.
    pub fn start(
        seat: Seat,
        listener: std::net::TcpListener,
        receiver: Receiver,
    ) -> std::io::Result<PeerTransport> {
        listener.set_nonblocking(true)?;
        let (outbox, queue) = mpsc::unbounded_channel();
        let stats = Arc::new(PeerStats::default());
        let shared = stats.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name("peer".to_owned()).spawn(move || {
            LocalSet::new().block_on(&runtime, run(seat, listener, receiver, queue, shared));
        })?;
        Ok(PeerTransport { outbox, stats })
    }

    /// Sends a message, or drops it when the peer can't be reached.
    pub fn send(&self, to: Address, message: PeerMessage) {
        let _ = self.outbox.send((to, message));
    }

    /// Returns the counters.
    pub fn stats(&self) -> &PeerStats {
        &self.stats
    }
}

async fn run(
    seat: Seat,
    listener: std::net::TcpListener,
    receiver: Receiver,
    mut queue: mpsc::UnboundedReceiver<(Address, PeerMessage)>,
    stats: Arc<PeerStats>,
) {
    let receiver: Rc<Receiver> = Rc::new(receiver);
    if let Ok(listener) = TcpListener::from_std(listener) {
        spawn_local(accept(listener, receiver));
    }
    let mut peers: HashMap<Address, mpsc::Sender<PeerMessage>> = HashMap::new();
    while let Some((to, message)) = queue.recv().await {
        let sender = peers.entry(to.clone()).or_insert_with(|| {
            let (sender, messages) = mpsc::channel(QUEUE_LENGTH);
            spawn_local(serve_peer(seat.clone(), to, messages, stats.clone()));
            sender
        });
        if sender.try_send(message).is_err() {
            stats.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn accept(listener: TcpListener, receiver: Rc<Receiver>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let client: peer::Client = capnp_rpc::new_client(Inbox { receiver: receiver.clone() });
        let system = RpcSystem::new(Box::new(network(stream, Side::Server)), Some(client.client));
        spawn_local(async move {
            let _ = system.await;
        });
    }
}

struct Inbox {
    receiver: Rc<Receiver>,
}

impl peer::Server for Inbox {
    async fn deliver(
        self: Rc<Self>,
        params: peer::DeliverParams,
        _results: peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let failed = |error: crate::WireError| capnp::Error::failed(error.to_string());
        let from = read_seat(params.get_from()?).map_err(failed)?;
        let message = read_message(params.get_message()?).map_err(failed)?;
        (self.receiver)(from, message);
        Ok(())
    }
}

/// Sends the messages to one peer, over one connection at a time.
async fn serve_peer(
    seat: Seat,
    to: Address,
    mut messages: mpsc::Receiver<PeerMessage>,
    stats: Arc<PeerStats>,
) {
    while let Some(first) = messages.recv().await {
        let connected = tokio::time::timeout(PEER_TIMEOUT, TcpStream::connect(to.as_str())).await;
        let Ok(Ok(stream)) = connected else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            // What waited for long is stale.
            while messages.try_recv().is_ok() {
                stats.dropped.fetch_add(1, Ordering::Relaxed);
            }
            continue;
        };
        let mut system = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let driver = spawn_local(system);
        let sending = send_all(&seat, first, &client, &mut messages, &stats);
        sending.await;
        driver.abort();
    }
}

/// Sends messages until one stays unanswered.
async fn send_all(
    seat: &Seat,
    first: PeerMessage,
    client: &peer::Client,
    messages: &mut mpsc::Receiver<PeerMessage>,
    stats: &PeerStats,
) {
    let failed = Rc::new(Cell::new(false));
    let slots = Arc::new(Semaphore::new(UNANSWERED));
    let mut next = Some(first);
    while let Some(message) = next {
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        if failed.get() {
            return;
        }
        let mut request = client.deliver_request();
        write_seat(request.get().init_from(), seat);
        write_message(request.get().init_message(), &message);
        let words = request.get().total_size().map_or(0, |size| size.word_count);
        stats.messages.fetch_add(1, Ordering::Relaxed);
        stats.bytes.fetch_add(words * 8, Ordering::Relaxed);
        let (answer, failed) = (request.send().promise, failed.clone());
        spawn_local(async move {
            let answer = tokio::time::timeout(PEER_TIMEOUT, answer).await;
            if !matches!(answer, Ok(Ok(_))) {
                failed.set(true);
            }
            drop(slot);
        });
        next = messages.recv().await;
    }
}

type Network = VatNetwork<tokio_util::compat::Compat<tokio::net::tcp::OwnedReadHalf>>;

fn network(stream: TcpStream, side: Side) -> Network {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_WORDS));
    VatNetwork::new(read.compat(), write.compat_write(), side, options)
}
