//! A TCP proxy that injects faults.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

#[derive(Default)]
struct Faults {
    is_disconnected: AtomicBool,
    /// Whether data is held back while connections stay open.
    is_frozen: AtomicBool,
    delay_ms: AtomicU64,
    /// Bytes per second that all connections together carry to clients; 0 without a limit.
    rate: AtomicU64,
    /// When the last byte that was taken leaves at that rate.
    busy_until: Mutex<Option<Instant>>,
    /// Bytes forwarded in both directions.
    bytes: AtomicU64,
    /// Wakes all connections, which then close.
    reset: Notify,
}

/// Forwards connections to one address and can break, freeze or delay them.
pub struct FaultProxy {
    faults: Arc<Faults>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy on a free loopback port that forwards to `destination`.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be opened.
    pub async fn start(destination: SocketAddr) -> std::io::Result<FaultProxy> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        FaultProxy::with_listener(listener, destination)
    }

    /// Starts a proxy on the given listener that forwards to `destination`.
    ///
    /// # Errors
    ///
    /// Fails if the listener's address can't be read.
    pub fn with_listener(
        listener: TcpListener,
        destination: SocketAddr,
    ) -> std::io::Result<FaultProxy> {
        let address = listener.local_addr()?;
        let faults = Arc::new(Faults::default());
        let shared = faults.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(forward(stream, destination, shared.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(FaultProxy { faults, address, task })
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of bytes forwarded, both directions added.
    pub fn bytes(&self) -> u64 {
        self.faults.bytes.load(Ordering::SeqCst)
    }

    /// Starts or ends a disconnection: open connections are closed and new ones are closed at
    /// once.
    pub fn set_disconnected(&self, is_disconnected: bool) {
        self.faults.is_disconnected.store(is_disconnected, Ordering::SeqCst);
        self.faults.reset.notify_waiters();
    }

    /// Starts or ends holding back all data; connections stay open.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.faults.is_frozen.store(is_frozen, Ordering::SeqCst);
    }

    /// Sets the delay of each chunk of data, in both directions.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.faults.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Limits the bytes per second that all connections together carry to clients, like a narrow link.
    pub fn set_rate(&self, bytes_per_second: u64) {
        self.faults.rate.store(bytes_per_second, Ordering::SeqCst);
    }

    /// Closes all open connections; new ones are accepted.
    pub fn reset(&self) {
        self.faults.reset.notify_waiters();
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(client: TcpStream, destination: SocketAddr, faults: Arc<Faults>) {
    if faults.is_disconnected.load(Ordering::SeqCst) {
        return;
    }
    let Ok(server) = TcpStream::connect(destination).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let transfers = async {
        tokio::join!(
            copy(client_read, server_write, &faults, false),
            copy(server_read, client_write, &faults, true)
        )
    };
    tokio::select! {
        _ = transfers => {}
        () = faults.reset.notified() => {}
    }
}

/// Waits until `count` bytes have crossed the narrow link, behind those of other connections.
async fn cross_link(faults: &Faults, count: usize) {
    let rate = faults.rate.load(Ordering::SeqCst);
    if rate == 0 {
        return;
    }
    let until = {
        let mut busy_until = faults.busy_until.lock().unwrap_or_else(|error| error.into_inner());
        let begun_at = busy_until.unwrap_or_else(Instant::now).max(Instant::now());
        let until = begun_at + Duration::from_secs_f64(count as f64 / rate as f64);
        *busy_until = Some(until);
        until
    };
    tokio::time::sleep_until(until.into()).await;
}

async fn copy<R, W>(mut from: R, mut destination: W, faults: &Faults, is_to_client: bool)
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
        while faults.is_frozen.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        if is_to_client {
            cross_link(faults, count).await;
        }
        if destination.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = destination.shutdown().await;
}
