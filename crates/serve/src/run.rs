//! Starts, runs and stops a daemon on the platform.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use daemon::{boot_time, TaskEnd, TaskGroup};
use drain::{serve_connection, StallLimit};
use front::StopSchedule;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

use crate::answer::ReplyBody;
use crate::descriptors::is_exhausted;
use crate::exchange::MAX_IDLE_TIME;
use crate::host::{sleep_until, Host, MAX_LOOP_PAUSE};
use crate::logging::{init_logging, LogLine};
use crate::metrics::Metrics;
use crate::{
    caller, conn, election, evidence, follow, layout, orders, origins, path, peer, FrontSettings,
};

/// How long a new connection may wait for its first request while the daemon stops. Clients send it
/// at once.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit of ending the leader's term when the daemon stops.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a connection could not be accepted, for example because file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Largest read buffer of an incoming connection.
const BUFFER_BYTES: usize = 128 << 10;
/// Longest time in which a client takes nothing of an answer. Its request's own limits are usually shorter.
const STALL_LIMIT: Duration = Duration::from_secs(30);
/// Time limit of reading a request's head until a layout sets the clients' limits.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(16);

/// Why a daemon could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An address can't be listened on.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The runtime or a signal handler can't be set up.
    #[error("can't start: {0}")]
    Start(#[from] std::io::Error),
    /// A task ended without which the daemon can't go on.
    #[error(transparent)]
    Task(#[from] TaskEnd),
}

/// Runs a daemon until SIGTERM or SIGINT. At SIGHUP it reads its settings from `file` again: the
/// log level changes at once, everything else at the next start.
///
/// # Errors
///
/// Fails when an address is taken, when the runtime can't be set up, or after a planned stop because a task
/// has panicked that must run for as long as the daemon.
pub fn run(settings: FrontSettings, file: &Path) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, serve(settings, file))
}

async fn serve(settings: FrontSettings, file: &Path) -> Result<(), RunError> {
    let dropped_lines = init_logging(settings.log_level, settings.log_lines);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let caller_listener = listen(settings.caller_listen).await?;
    let ready_listener = listen(settings.ready_listen).await?;
    let peer_listener = listen(settings.peer_listen).await?;
    let metrics_listener = listen(settings.metrics_listen).await?;
    let host = Rc::new(Host::new(settings, Metrics::new(), dropped_lines));
    LogLine::new("started")
        .text("host", &host.settings.host)
        .text("domain", &host.settings.domain)
        .with("incarnation", host.incarnation)
        .info();
    let mut tasks = TaskGroup::default();
    tasks.spawn_local("follow", follow::follow(host.clone()));
    tasks.spawn_local("layout_checks", layout::keep_current(host.clone()));
    tasks.spawn_local("path_probes", path::keep_probing(host.clone()));
    tasks.spawn_local("origin_records", origins::write_records(host.clone()));
    tasks.spawn_local("origin_mixes", origins::keep_mixes(host.clone()));
    tasks.spawn_local("registration", election::maintain_registration(host.clone()));
    tasks.spawn_local("election", election::run_election(host.clone()));
    tasks.spawn_local("reports", peer::run_sync_loop(host.clone()));
    tasks.spawn_local("plan", orders::run_plan_loop(host.clone()));
    tasks.spawn_local("evidence", evidence::maintain_evidence(host.clone()));
    tasks.spawn_local("idle_conns", expire_idle_conns(host.clone()));
    let (stop, stopped) = watch::channel(false);
    let open_conns = Rc::new(Cell::new(0));
    let callers = accept_conns(
        host.clone(),
        caller_listener,
        caller::handle,
        Some(stopped),
        open_conns.clone(),
    );
    tasks.spawn_local("callers", callers);
    // Peers and probes are answered until the process exits.
    let peers = accept_conns(host.clone(), peer_listener, peer::serve_peer, None, Rc::default());
    tasks.spawn_local("peers", peers);
    for (name, listener) in [("readiness", ready_listener), ("metrics", metrics_listener)] {
        let probes = accept_conns(host.clone(), listener, serve_probe, None, Rc::default());
        tasks.spawn_local(name, probes);
    }
    let task_end = loop {
        tokio::select! {
            _ = terminate.recv() => break None,
            _ = interrupt.recv() => break None,
            end = tasks.next_end() => break Some(end),
            _ = hangup.recv() => reload(&host, file).await,
        }
    };
    if let Some(end) = &task_end {
        LogLine::new("task_ended")
            .with("task", end.name)
            .with("reason", end.reason.as_str())
            .error();
    }
    drain_and_stop(&host, &stop, &open_conns).await;
    task_end.map_or(Ok(()), |end| Err(end.into()))
}

/// Reads the settings again and applies the log level. Invalid settings change nothing.
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
    LogLine::new("reload").with("outcome", outcome).info();
}

/// Drains the daemon: waits for running requests to finish, and ends before SIGKILL arrives.
async fn drain_and_stop(host: &Host, stop: &watch::Sender<bool>, open_conns: &Cell<usize>) {
    let schedule = StopSchedule::new(boot_time(), host.settings.grace);
    host.stop_schedule.set(Some(schedule));
    // Waiting requests recompute how long they may still wait.
    host.state_changed.notify_waiters();
    LogLine::new("stopping").with("open", host.dispatcher.borrow().open_count()).info();
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let now = boot_time();
        if schedule.closes_idle(now) {
            stop.send_replace(true);
        }
        host.send_last_answers(now);
        let is_idle = host.dispatcher.borrow().open_count() == 0 && open_conns.get() == 0;
        if schedule.exits(now, is_idle) {
            break;
        }
    }
    // Ending the term lets another daemon lead at once.
    let _ = tokio::time::timeout(RESIGN_TIMEOUT, election::end_term(host, "stopping")).await;
    LogLine::new("stopped").with("open", host.dispatcher.borrow().open_count()).info();
    // Gives the log's writer thread time to write the last lines.
    tokio::time::sleep(Duration::from_millis(10)).await;
}

/// Drops connections that have been idle for too long.
async fn expire_idle_conns(host: Rc<Host>) {
    loop {
        tokio::time::sleep(MAX_LOOP_PAUSE).await;
        host.conn_pool.borrow_mut().expire(boot_time(), MAX_IDLE_TIME);
        host.report_conn_pool.borrow_mut().expire(boot_time(), MAX_IDLE_TIME);
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).await.map_err(|error| RunError::Listen(address, error))
}

async fn serve_probe(host: Rc<Host>, request: Request<Incoming>) -> Response<ReplyBody> {
    caller::answer_probe(&host, request.uri().path())
}

/// Counts a connection as open until it is dropped.
struct ConnGuard(Rc<Cell<usize>>);

impl Drop for ConnGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections and serves their requests. With `stopped`, they are those of clients, which leave
/// the reserve of file descriptors alone and end in a planned stop: answers close them, and idle ones are
/// closed when it becomes true.
async fn accept_conns<F, R>(
    host: Rc<Host>,
    listener: TcpListener,
    handle: F,
    stopped: Option<watch::Receiver<bool>>,
    open_conns: Rc<Cell<usize>>,
) where
    F: Fn(Rc<Host>, Request<Incoming>) -> R + Copy + 'static,
    R: Future<Output = Response<ReplyBody>> + 'static,
{
    let has_clients = stopped.is_some();
    loop {
        let refilled = if has_clients { host.descriptors.refill() } else { Ok(()) };
        let accepted = match refilled {
            Ok(()) => listener.accept().await,
            Err(error) => Err(error),
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                LogLine::new("accept_failed").text("error", &error).warn();
                let is_freed = !has_clients && is_exhausted(&error) && host.descriptors.release();
                if !is_freed {
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
                continue;
            }
        };
        if has_clients {
            conn::configure_client(&stream);
        } else {
            conn::configure(&stream);
        }
        let stream = StallLimit::new(stream, STALL_LIMIT);
        let client_idle_timeout =
            host.dispatcher.borrow().layout().map(|layout| layout.limits().idle_timeout);
        let accepted_at = boot_time();
        open_conns.set(open_conns.get() + 1);
        let guard = ConnGuard(open_conns.clone());
        let (host, mut stopped) = (host.clone(), stopped.clone());
        spawn_local(async move {
            let _guard = guard;
            // hyper uses one timer for the idle time and for reading the head that follows, so the
            // longer limit applies.
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(
                    client_idle_timeout.unwrap_or(DEFAULT_HEAD_TIMEOUT) + MAX_LOOP_PAUSE,
                )
                .max_buf_size(BUFFER_BYTES);
            let ends_at_stop = stopped.is_some();
            let close_idle = async {
                match &mut stopped {
                    Some(stopped) => drop(stopped.wait_for(|stopped| *stopped).await),
                    None => std::future::pending().await,
                }
                // A request may be in flight on a connection that was just accepted.
                sleep_until(accepted_at + FIRST_REQUEST_TIMEOUT).await;
            };
            let respond = |request| handle(host.clone(), request);
            let is_stopping = || ends_at_stop && host.stop_schedule.get().is_some();
            serve_connection(&builder, stream, respond, is_stopping, close_idle).await;
        });
    }
}
