//! Finds out whether this daemon is cut off from the targets of a service.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{Name, TargetName};
use daemon::boot_time;
use futures::future::join_all;

use crate::conn::PooledConn;
use crate::host::{sleep_until, Host, MAX_LOOP_PAUSE};
use crate::logging::LogLine;

/// Time limit of a probe; a live target accepts within a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// A service to which a connection succeeded within this time isn't probed.
const REACHED_SPAN: Duration = Duration::from_millis(100);

/// Records whether a target could be connected to. After a failure other targets of its service are
/// probed.
pub(crate) fn record_connection(host: &Host, target: &TargetName, is_reached: bool) {
    let now = boot_time();
    let mut dispatcher = host.dispatcher.borrow_mut();
    if is_reached {
        if let Some(service) = dispatcher.record_reached(now, target) {
            drop(dispatcher);
            LogLine::new("path_restored").text("service", &service).text("target", target).info();
            drop_connections(host, &service);
            host.state_changed.notify_waiters();
            host.plan_due.notify_one();
        }
        return;
    }
    let cut = dispatcher.record_unreached(now, target);
    let service = dispatcher.targets().entry(target).map(|entry| entry.service.clone());
    drop(dispatcher);
    if let Some(service) = cut {
        LogLine::new("path_cut").text("service", &service).text("target", target).info();
        drop_connections(host, &service);
        // Waiting requests go to other daemons.
        host.state_changed.notify_waiters();
    }
    if let Some(service) = service {
        doubt_path(host, &service);
    }
}

/// Has targets of a service probed, unless the path to it is cut anyway or was in use just now.
pub(crate) fn doubt_path(host: &Host, service: &Name) {
    let is_known = {
        let dispatcher = host.dispatcher.borrow();
        let paths = dispatcher.paths();
        paths.is_cut(service) || paths.was_reached(boot_time(), service, REACHED_SPAN)
    };
    let mut doubted = host.doubted_paths.borrow_mut();
    if !is_known && !doubted.contains(service) {
        doubted.push(service.clone());
        host.path_doubted.notify_one();
    }
}

/// Probes services whose paths are in doubt or cut, for as long as the daemon runs.
pub(crate) async fn keep_probing(host: Rc<Host>) {
    loop {
        let doubted = std::mem::take(&mut *host.doubted_paths.borrow_mut());
        for service in doubted {
            let targets = host.dispatcher.borrow_mut().targets_in_doubt(&service);
            probe(&host, targets).await;
        }
        let now = boot_time();
        let due = host.dispatcher.borrow_mut().paths_mut().begin_probes(now);
        for service in due {
            let target = host.dispatcher.borrow_mut().probe_target(&service);
            probe(&host, target).await;
        }
        let next = host.dispatcher.borrow().paths().next_probe();
        let next = next.unwrap_or(now + MAX_LOOP_PAUSE).min(now + MAX_LOOP_PAUSE);
        tokio::select! {
            () = host.path_doubted.notified() => {}
            () = sleep_until(next) => {}
        }
    }
}

/// Connects to targets. Returns whether any could be reached.
async fn probe(host: &Host, targets: impl IntoIterator<Item = (TargetName, SocketAddr)>) -> bool {
    let probes = targets.into_iter().map(|(target, address)| async move {
        let conn = PooledConn::open(address, PROBE_TIMEOUT).await;
        let is_reached = conn.is_some();
        record_connection(host, &target, is_reached);
        if let Some(conn) = conn {
            host.conn_pool.borrow_mut().put(boot_time(), address, conn);
        }
        is_reached
    });
    join_all(probes).await.contains(&true)
}

/// Returns whether this daemon reaches no target near one that has refused a connection, so that it is
/// cut off from them rather than this one has ended.
pub(crate) async fn is_cut_off(host: &Host, target: &TargetName) -> bool {
    let neighbours = host.dispatcher.borrow_mut().targets_near(target);
    !neighbours.is_empty() && !probe(host, neighbours).await
}

/// Drops the idle connections to a service's targets, which can't be used any more or may be dead.
fn drop_connections(host: &Host, service: &Name) {
    let dispatcher = host.dispatcher.borrow();
    let entries = dispatcher.targets().entries().filter(|entry| entry.service == *service);
    let mut pool = host.conn_pool.borrow_mut();
    entries.for_each(|entry| pool.remove_all(entry.address));
}
