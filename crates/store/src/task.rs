//! Runs a node's calls to the key-value service, renews its lease and watches keys.

use std::sync::Arc;
use std::time::Duration;

use base::{Revision, Time};
use bytes::BytesMut;
use http_body_util::BodyExt;
use node::{
    LeaseId, OpId, ServiceEvent, StoreOp, StoreResult, CFG_PREFIX, HEAD_KEY, LIVE_PREFIX,
    PLACER_PREFIX, ROSTER_PREFIX,
};
use rand::Rng;
use tokio::sync::{mpsc, watch, Semaphore};

use crate::client::KvClient;
use crate::wire::{StreamMessage, WatchResponse};

/// Largest number of concurrent calls of a node.
const MAX_CONCURRENT_CALLS: usize = 16;
/// Largest size of one line of a watch.
const MAX_LINE_BYTES: usize = 4 << 20;
/// Factor by which the head interval is longer on a daemon that doesn't watch.
const IDLE_INTERVAL_FACTOR: u32 = 10;
/// Shortest and longest pause before the keys are listed again, in milliseconds.
const RELIST_PAUSE_MS: (u64, u64) = (100, 1_500);

/// Settings of a [`StoreTask`].
#[derive(Clone)]
pub struct StoreConfig {
    /// Time to live of the lease.
    pub lease_ttl: Duration,
    /// Time between two reads of the configuration's head key.
    pub head_interval: Duration,
    /// Reads the host's boot clock.
    pub clock: fn() -> Time,
}

/// The connection of one node to the key-value service.
pub struct StoreTask {
    client: KvClient,
    events: mpsc::UnboundedSender<ServiceEvent>,
    calls: Arc<Semaphore>,
    watching: watch::Sender<bool>,
}

impl StoreTask {
    /// Starts to watch keys and to renew a lease. Events are sent to `events` until its receiver is
    /// dropped.
    pub fn start(
        client: KvClient,
        config: StoreConfig,
        events: mpsc::UnboundedSender<ServiceEvent>,
    ) -> StoreTask {
        let (watching, watching_receiver) = watch::channel(true);
        tokio::spawn(maintain_lease(
            client.clone(),
            config.clone(),
            events.clone(),
            watching_receiver.clone(),
        ));
        tokio::spawn(poll_head(
            client.clone(),
            config.clone(),
            events.clone(),
            watching_receiver.clone(),
        ));
        tokio::spawn(maintain_watch(client.clone(), config, events.clone(), watching_receiver));
        let calls = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
        StoreTask { client, events, calls, watching }
    }

    /// Starts a call. Its result arrives as an event.
    pub fn call(&self, id: OpId, op: StoreOp) {
        let (client, events, calls) =
            (self.client.clone(), self.events.clone(), self.calls.clone());
        tokio::spawn(async move {
            let _permit = calls.acquire().await;
            let result = run_op(&client, op).await;
            let _ = events.send(ServiceEvent::Answered(id, result));
        });
    }

    /// Sets whether this daemon watches keys and renews a lease. If it leaves that to other daemons,
    /// it only reads the head, at longer intervals.
    pub fn set_watching(&self, watching: bool) {
        self.watching.send_replace(watching);
    }
}

async fn run_op(client: &KvClient, op: StoreOp) -> StoreResult {
    match op {
        StoreOp::Txn(txn) => StoreResult::Txn(client.transact(&txn).await),
        StoreOp::Read(key) => StoreResult::Read(client.read(&key).await.ok()),
        StoreOp::Range(from, to) => {
            StoreResult::Range(client.range(&from, &to).await.ok().map(|(_, entries)| entries))
        }
    }
}

/// Holds one lease at a time and renews it. The expiry is computed from the time before the call, so
/// that it is never later than the service's.
async fn maintain_lease(
    client: KvClient,
    config: StoreConfig,
    events: mpsc::UnboundedSender<ServiceEvent>,
    mut watching: watch::Receiver<bool>,
) {
    let mut lease: Option<LeaseId> = None;
    while !events.is_closed() {
        if watching.wait_for(|watching| *watching).await.is_err() {
            return;
        }
        let asked_at = (config.clock)();
        let renewal = match lease {
            Some(id) => client.renew_lease(id).await.map(|time_to_live| (id, time_to_live)),
            None => client.grant_lease(config.lease_ttl).await.map(|id| (id, config.lease_ttl)),
        };
        match renewal {
            Ok((_, Duration::ZERO)) => {
                lease = None;
                let _ = events.send(ServiceEvent::LeaseLost);
                continue;
            }
            Ok((id, time_to_live)) => {
                lease = Some(id);
                let until = asked_at + time_to_live;
                let _ = events.send(ServiceEvent::LeaseRenewed { lease: id, until });
            }
            Err(_) => {}
        }
        tokio::time::sleep(config.lease_ttl / 4).await;
    }
}

/// Reads the head key at regular intervals, which confirms that the configuration is current and
/// reveals a watch that no longer delivers changes.
async fn poll_head(
    client: KvClient,
    config: StoreConfig,
    events: mpsc::UnboundedSender<ServiceEvent>,
    mut watching: watch::Receiver<bool>,
) {
    while !events.is_closed() {
        let asked_at = (config.clock)();
        let event = match client.read(HEAD_KEY).await {
            Ok(head) => ServiceEvent::HeadRead { asked_at, head },
            Err(_) => ServiceEvent::Down,
        };
        let _ = events.send(event);
        let is_watching = *watching.borrow_and_update();
        let pause = if is_watching {
            config.head_interval
        } else {
            config.head_interval * IDLE_INTERVAL_FACTOR
        };
        let _ = tokio::time::timeout(pause, watching.changed()).await;
    }
}

/// Lists and watches keys while watching is on, and starts over when the watch ends.
async fn maintain_watch(
    client: KvClient,
    config: StoreConfig,
    events: mpsc::UnboundedSender<ServiceEvent>,
    mut watching: watch::Receiver<bool>,
) {
    while !events.is_closed() {
        if watching.wait_for(|watching| *watching).await.is_err() {
            return;
        }
        if let Some(start) = list_keys(&client, &config, &events).await {
            tokio::select! {
                () = forward_changes(&client, start, &events) => {}
                _ = watching.wait_for(|watching| !*watching) => {}
            }
        }
        // A random pause, because all daemons lose their watches at once when the service restarts.
        let pause = rand::rng().random_range(RELIST_PAUSE_MS.0..RELIST_PAUSE_MS.1);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Lists the keys and returns the revision from which to watch. That is the revision after the first
/// read's, so that changes between the reads are not missed.
async fn list_keys(
    client: &KvClient,
    config: &StoreConfig,
    events: &mpsc::UnboundedSender<ServiceEvent>,
) -> Option<Revision> {
    let asked_at = (config.clock)();
    let end = |prefix: &str| format!("{}0", prefix.trim_end_matches('/'));
    let (revision, config) = client.range(CFG_PREFIX, &end(CFG_PREFIX)).await.ok()?;
    let (_, rosters) = client.range(ROSTER_PREFIX, &end(ROSTER_PREFIX)).await.ok()?;
    let (_, placers) = client.range(PLACER_PREFIX, &end(PLACER_PREFIX)).await.ok()?;
    let _ = events.send(ServiceEvent::Listed { asked_at, config, rosters, placers });
    Some(Revision(revision.0 + 1))
}

/// Sends watched changes as events until the watch ends.
async fn forward_changes(
    client: &KvClient,
    start: Revision,
    events: &mpsc::UnboundedSender<ServiceEvent>,
) {
    let end = format!("{}0", LIVE_PREFIX.trim_end_matches('/'));
    let Ok(mut body) = client.watch(LIVE_PREFIX, &end, start).await else { return };
    let mut buffer = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else { continue };
        buffer.extend_from_slice(&data);
        while let Some(newline) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(newline + 1);
            let Ok(answer) = serde_json::from_slice::<StreamMessage<WatchResponse>>(&line) else {
                return;
            };
            if answer.result.canceled {
                return;
            }
            let changes = answer.result.into_events();
            if !changes.is_empty() && events.send(ServiceEvent::Watched(changes)).is_err() {
                return;
            }
        }
        if buffer.len() > MAX_LINE_BYTES {
            return;
        }
    }
}
