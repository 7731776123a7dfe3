//! Measurements over loopback sockets: bytes of peer messages, and the time of a target's report.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::Revision;
use gate::TargetClient;
use node::PeerMessage;
use peer::PeerTransport;
use standin::{FaultProxy, TargetOptions, TargetServer};

use super::fixture;
use super::measure::TableRow;

/// Messages or reports for each row.
const MESSAGES: usize = 400;

/// Returns the bytes on the wire per message, for messages with a small and a large payload. The
/// bytes of both directions are added, including RPC framing and RPC answers.
pub(super) fn message_bytes() -> Vec<TableRow> {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let ping = PeerMessage::Ping { nonce: 1, revision: Revision(1), rosters: 1 };
        let replicas = (0..40).map(fixture::residency).collect();
        let view = PeerMessage::View(fixture::view(0, 1, replicas));
        vec![measure(ping).await, measure(view).await]
    })
}

/// Returns the time of one report of a target without replicas, which takes two HTTP exchanges. Both
/// sides run in this process, so this is an upper bound on the client's CPU time.
pub(super) fn report_time() -> Vec<TableRow> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let target = TargetServer::start(TargetOptions::default()).await.expect("a free port");
        let address: base::Name = target.address().to_string().parse().expect("an address");
        let mut times = Vec::new();
        for _ in 0..MESSAGES {
            let started = Instant::now();
            TargetClient.read_report(&address).await.expect("a report");
            times.push(started.elapsed());
        }
        vec![TableRow::from_times(0, times)]
    })
}

async fn measure(message: PeerMessage) -> TableRow {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let to = listener.local_addr().expect("an address");
    let received = Arc::new(AtomicUsize::new(0));
    let counter = received.clone();
    let count = move |_, _| {
        counter.fetch_add(1, Ordering::SeqCst);
    };
    let _receiver = PeerTransport::start(fixture::seat(0, 0), listener, Box::new(count));
    let proxy = FaultProxy::start(to).await.expect("a free port");
    let own_listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let sender = PeerTransport::start(fixture::seat(0, 1), own_listener, Box::new(|_, _| {}));
    let sender = sender.expect("a transport");
    let address: base::Address = proxy.address().to_string().parse().expect("an address");
    for _ in 0..MESSAGES {
        sender.send(address.clone(), message.clone());
        tokio::time::sleep(Duration::from_micros(200)).await;
    }
    while received.load(Ordering::SeqCst) < MESSAGES {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    TableRow::new(peer::encode(&message).len(), proxy.bytes() as f64 / MESSAGES as f64)
}
