//! Polls targets for their reports and the platform for its host list.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Name, TargetName};
use gate::{NodeLink, TargetClient};
use node::Event;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Minimum polling interval per listed target. It limits a placer to 125 reports per second,
/// however many targets its failure domain has.
const MIN_INTERVAL_PER_TARGET: Duration = Duration::from_millis(8);

/// Names and addresses of the targets that this daemon polls.
pub(crate) type PollList = Vec<(TargetName, Name)>;

/// Polls the listed targets until the list's sender is dropped.
pub(crate) async fn poll_targets(
    link: NodeLink,
    mut list: watch::Receiver<PollList>,
    interval: Duration,
) {
    loop {
        let mut pollers = JoinSet::new();
        let targets = list.borrow_and_update().clone();
        let count = u32::try_from(targets.len()).unwrap_or(u32::MAX);
        let interval = interval.max(MIN_INTERVAL_PER_TARGET * count);
        for (target, address) in targets {
            pollers.spawn(poll_target(link.clone(), target, address, interval));
        }
        if list.changed().await.is_err() {
            return;
        }
    }
}

async fn poll_target(link: NodeLink, target: TargetName, address: Name, interval: Duration) {
    loop {
        let asked_at = link.now();
        if let Some(report) = TargetClient.read_report(&address).await {
            link.send_event(Event::Report(target.clone(), asked_at, report));
        }
        tokio::time::sleep(interval).await;
    }
}

/// Polls the host list until the task is aborted.
pub(crate) async fn poll_hosts(link: NodeLink, address: SocketAddr, interval: Duration) {
    loop {
        if let Some(hosts) = store::read_hosts(address).await {
            link.send_event(Event::Hosts(hosts));
        }
        tokio::time::sleep(interval).await;
    }
}
