//! Starts and stops a daemon on the platform.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use daemon::boot_time;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

use crate::answer::ReplyBody;
use crate::exchange::IDLE_LIMIT;
use crate::host::{sleep_until, Host, LOOP_PAUSE};
use crate::metrics::Metrics;
use crate::trail::{init_trail, Line};
use crate::{caller, follow, link, orders, peer, seat, FrontSettings};

/// Least time from SIGTERM to the end: the balancer looks twice, a second apart, before it sends
/// connections elsewhere.
const LEAST_STOP: Duration = Duration::from_millis(3_600);
/// Time before SIGKILL at which the process ends whatever it is doing.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Time after SIGTERM at which idle connections are closed. Until then a client's request on a
/// kept connection is still answered.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(3_300);
/// A new connection brings its request within this time: clients send it at once.
const FIRST_REQUEST_SPAN: Duration = Duration::from_millis(400);
/// How long the end of a leader's lease at a stop may take.
const RESIGN_LIMIT: Duration = Duration::from_millis(300);
/// Pause after a connection can't be accepted for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Largest buffer of a client's connection.
const BUFFER_BYTES: usize = 128 << 10;
/// Header time-out before a layout tells the clients' limits.
const HEAD_LIMIT: Duration = Duration::from_secs(16);

/// Why a daemon could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An address can't be listened on.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The runtime or a signal handler can't be set up.
    #[error("can't start: {0}")]
    Start(#[from] std::io::Error),
}

/// Runs a daemon until SIGTERM or SIGINT. At SIGHUP it reads its settings from `file` again: the log
/// level changes at once, everything else at the next start.
///
/// # Errors
///
/// Fails when an address is taken or the runtime can't be set up.
pub fn run(settings: FrontSettings, file: &Path) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, file))
}

async fn serve(settings: FrontSettings, file: &Path) -> Result<(), RunError> {
    let dropped = init_trail(settings.log_level, settings.log_lines);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let callers = listen(settings.caller_listen).await?;
    let ready = listen(settings.ready_listen).await?;
    let peers = listen(settings.peer_listen).await?;
    let metrics = listen(settings.metrics_listen).await?;
    let host = Rc::new(Host::new(settings, Metrics::new(), dropped));
    Line::new("started")
        .text("host", &host.settings.host)
        .text("domain", &host.settings.domain)
        .with("incarnation", host.incarnation)
        .info();
    spawn_local(follow::follow(host.clone()));
    spawn_local(seat::keep_seat(host.clone()));
    spawn_local(seat::keep_term(host.clone()));
    spawn_local(peer::sync_loop(host.clone()));
    spawn_local(orders::plan_loop(host.clone()));
    spawn_local(tidy(host.clone()));
    let (stop, stopped) = watch::channel(false);
    let open = Rc::new(Cell::new(0));
    spawn_local(accept(host.clone(), callers, caller::handle, stopped.clone(), open.clone()));
    // Peers and probes are answered until the end.
    let (_keep, never) = watch::channel(false);
    spawn_local(accept(host.clone(), peers, peer::serve_peer, never.clone(), Rc::default()));
    for listener in [ready, metrics] {
        spawn_local(accept(host.clone(), listener, probe, never.clone(), Rc::default()));
    }
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&host, file).await,
        }
    }
    stop_serving(&host, &stop, &open).await;
    Ok(())
}

/// Reads the settings again. Settings that are wrong change nothing.
async fn reload(host: &Host, file: &Path) {
    let name = file.display().to_string();
    let outcome = match tokio::fs::read_to_string(file).await {
        Err(error) => format!("can't be read: {error}"),
        Ok(text) => match FrontSettings::parse(&name, &text) {
            Err(error) => format!("refused: {}", error.messages().join("; ")),
            Ok(settings) if settings == host.settings => "unchanged".to_owned(),
            Ok(settings) => {
                log::set_max_level(settings.log_level);
                "log level taken, the rest at the next start".to_owned()
            }
        },
    };
    Line::new("reload").with("outcome", outcome).info();
}

/// Finishes what is running, within the time that SIGKILL leaves.
async fn stop_serving(host: &Host, stop: &watch::Sender<bool>, open: &Cell<usize>) {
    let since = boot_time();
    host.stopping.set(Some(since));
    // Waiting requests look at how long they may still wait.
    host.changed.notify_waiters();
    Line::new("stopping").with("open", host.desk.borrow().open_count()).info();
    let last = host.settings.grace.saturating_sub(KILL_MARGIN);
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let age = boot_time().since(since);
        if age >= CLOSE_IDLE_AFTER {
            stop.send_replace(true);
        }
        let idle = host.desk.borrow().open_count() == 0 && open.get() == 0;
        if age >= last || age >= LEAST_STOP && idle {
            break;
        }
    }
    // Another daemon can lead at once.
    let _ = tokio::time::timeout(RESIGN_LIMIT, seat::end_term(host)).await;
    Line::new("stopped").with("open", host.desk.borrow().open_count()).info();
    // The log's thread writes what is left.
    tokio::time::sleep(Duration::from_millis(10)).await;
}

/// Drops idle connections that nobody needs any more.
async fn tidy(host: Rc<Host>) {
    loop {
        tokio::time::sleep(LOOP_PAUSE).await;
        host.pool.borrow_mut().expire(boot_time(), IDLE_LIMIT);
        host.report_pool.borrow_mut().expire(boot_time(), IDLE_LIMIT);
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).await.map_err(|error| RunError::Listen(address, error))
}

async fn probe(
    host: Rc<Host>,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Infallible> {
    Ok(caller::probe(&host, request.uri().path()))
}

/// Counts a connection for as long as it is open.
struct OpenCount(Rc<Cell<usize>>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections and serves their requests.
async fn accept<F, R>(
    host: Rc<Host>,
    listener: TcpListener,
    handle: F,
    stopped: watch::Receiver<bool>,
    open: Rc<Cell<usize>>,
) where
    F: Fn(Rc<Host>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Result<Response<ReplyBody>, Infallible>> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                Line::new("accept_failed").text("error", &error).warn();
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        link::tune(&stream);
        let idle = host.desk.borrow().layout().map(|layout| layout.limits().idle_timeout);
        let served = host.clone();
        let service = service_fn(move |request| handle(served.clone(), request));
        // The same timer covers a head and the idle time before it, so that it is the longer one.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle.unwrap_or(HEAD_LIMIT) + LOOP_PAUSE)
            .max_buf_size(BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let accepted_at = boot_time();
        open.set(open.get() + 1);
        let count = OpenCount(open.clone());
        let mut stopped = stopped.clone();
        spawn_local(async move {
            let _count = count;
            let mut connection = std::pin::pin!(connection);
            tokio::select! {
                // How a client's connection ends is of no interest here.
                _ = connection.as_mut() => return,
                _ = stopped.wait_for(|stopped| *stopped) => {}
            }
            // A request may be on its way on a connection that was just made.
            tokio::select! {
                _ = connection.as_mut() => return,
                () = sleep_until(accepted_at + FIRST_REQUEST_SPAN) => {}
            }
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        });
    }
}
