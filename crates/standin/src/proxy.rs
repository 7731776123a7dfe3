//! A TCP proxy that injects faults.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

#[derive(Default)]
struct Faults {
    cut: AtomicBool,
    /// Bytes pass neither way, but connections stay open.
    frozen: AtomicBool,
    delay_ms: AtomicU64,
    bytes: AtomicU64,
    reset: Notify,
}

/// Forwards connections to one address and can cut, freeze or delay them.
pub struct FaultProxy {
    faults: Arc<Faults>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy on a free loopback port that forwards to `to`.
    pub async fn start(to: SocketAddr) -> std::io::Result<FaultProxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        FaultProxy::on(listener, to)
    }

    /// Starts a proxy on a listener that forwards to `to`.
    pub fn on(listener: TcpListener, to: SocketAddr) -> std::io::Result<FaultProxy> {
        let address = listener.local_addr()?;
        let faults = Arc::new(Faults::default());
        let shared = faults.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(forward(stream, to, shared.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(FaultProxy { faults, address, task })
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes forwarded in both directions.
    pub fn bytes(&self) -> u64 {
        self.faults.bytes.load(Ordering::SeqCst)
    }

    /// Breaks all connections and refuses new ones, or ends that.
    pub fn set_cut(&self, cut: bool) {
        self.faults.cut.store(cut, Ordering::SeqCst);
        self.faults.reset.notify_waiters();
    }

    /// Holds all bytes back without closing connections, or ends that.
    pub fn set_frozen(&self, frozen: bool) {
        self.faults.frozen.store(frozen, Ordering::SeqCst);
    }

    /// Delays each piece of data in both directions.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.faults.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Breaks all present connections once.
    pub fn reset(&self) {
        self.faults.reset.notify_waiters();
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(client: TcpStream, to: SocketAddr, faults: Arc<Faults>) {
    if faults.cut.load(Ordering::SeqCst) {
        return;
    }
    let Ok(server) = TcpStream::connect(to).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let both = async {
        tokio::join!(
            copy(client_read, server_write, &faults),
            copy(server_read, client_write, &faults)
        )
    };
    tokio::select! {
        _ = both => {}
        () = faults.reset.notified() => {}
    }
}

async fn copy<R, W>(mut from: R, mut to: W, faults: &Faults)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        faults.bytes.fetch_add(count as u64, Ordering::SeqCst);
        let delay = faults.delay_ms.load(Ordering::SeqCst);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        while faults.frozen.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
