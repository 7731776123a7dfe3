//! Reads reports of targets and the host list.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Name, TargetName};
use gate::{NodeLink, TargetClient};
use node::Event;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Shortest time between two reports for each target of the list, so that a placer reads at most
/// 125 reports a second, however many targets its failure domain has.
const SPAN_PER_TARGET: Duration = Duration::from_millis(8);

/// Targets whose reports this daemon reads.
pub(crate) type PollList = Vec<(TargetName, Name)>;

/// Reads reports from the listed targets until the list's sender is dropped.
pub(crate) async fn poll_targets(
    link: NodeLink,
    mut list: watch::Receiver<PollList>,
    interval: Duration,
) {
    loop {
        let mut readers = JoinSet::new();
        let targets = list.borrow_and_update().clone();
        let count = u32::try_from(targets.len()).unwrap_or(u32::MAX);
        let interval = interval.max(SPAN_PER_TARGET * count);
        for (target, address) in targets {
            readers.spawn(poll_target(link.clone(), target, address, interval));
        }
        if list.changed().await.is_err() {
            return;
        }
    }
}

async fn poll_target(link: NodeLink, target: TargetName, address: Name, interval: Duration) {
    loop {
        let asked_at = link.now();
        if let Some(report) = TargetClient.report(&address).await {
            link.event(Event::Report(target.clone(), asked_at, report));
        }
        tokio::time::sleep(interval).await;
    }
}

/// Reads the host list until the task is aborted.
pub(crate) async fn poll_hosts(link: NodeLink, address: SocketAddr, interval: Duration) {
    loop {
        if let Some(hosts) = store::read_hosts(address).await {
            link.event(Event::Hosts(hosts));
        }
        tokio::time::sleep(interval).await;
    }
}
