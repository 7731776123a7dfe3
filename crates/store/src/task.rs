//! Runs a node's calls, keeps its lease and watches.

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
use crate::wire::{WatchResponse, Wrapped};

/// Calls of the node that run at once.
const CALLS_AT_ONCE: usize = 16;
/// Largest line of a watch.
const MAX_LINE_BYTES: usize = 4 << 20;
/// How many times more seldom a daemon reads the head that leaves watching to others.
const IDLE_FACTOR: u32 = 10;
/// Shortest and longest pause before listing again, in milliseconds.
const RELIST_PAUSE_MS: (u64, u64) = (100, 1_500);

/// Settings of a [`StoreTask`].
#[derive(Clone)]
pub struct StoreConfig {
    /// Time to live of the lease.
    pub lease_span: Duration,
    /// Time between two reads of the head.
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
    /// Starts watching and keeping a lease. Events go to `events` until its receiver is dropped.
    pub fn start(
        client: KvClient,
        config: StoreConfig,
        events: mpsc::UnboundedSender<ServiceEvent>,
    ) -> StoreTask {
        let (watching, watched) = watch::channel(true);
        tokio::spawn(keep_lease(client.clone(), config.clone(), events.clone(), watched.clone()));
        tokio::spawn(read_head(client.clone(), config.clone(), events.clone(), watched.clone()));
        tokio::spawn(keep_watch(client.clone(), config, events.clone(), watched));
        let calls = Arc::new(Semaphore::new(CALLS_AT_ONCE));
        StoreTask { client, events, calls, watching }
    }

    /// Runs a call; its answer arrives as an event.
    pub fn call(&self, id: OpId, op: StoreOp) {
        let (client, events, calls) =
            (self.client.clone(), self.events.clone(), self.calls.clone());
        tokio::spawn(async move {
            let _permit = calls.acquire().await;
            let result = run(&client, op).await;
            let _ = events.send(ServiceEvent::Answered(id, result));
        });
    }

    /// Watches and keeps a lease from now on, or leaves that to other daemons and only reads the
    /// head now and then.
    pub fn set_watching(&self, watching: bool) {
        self.watching.send_replace(watching);
    }
}

async fn run(client: &KvClient, op: StoreOp) -> StoreResult {
    match op {
        StoreOp::Txn(txn) => StoreResult::Txn(client.transact(&txn).await),
        StoreOp::Read(key) => StoreResult::Read(client.read(&key).await.ok()),
        StoreOp::Range(from, to) => {
            StoreResult::Range(client.range(&from, &to).await.ok().map(|(_, entries)| entries))
        }
    }
}

/// Keeps one lease at a time. Its end is counted from before the call that renewed it.
async fn keep_lease(
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
        let kept = match lease {
            Some(id) => client.keep_lease(id).await.map(|span| (id, span)),
            None => client.grant_lease(config.lease_span).await.map(|id| (id, config.lease_span)),
        };
        match kept {
            Ok((_, Duration::ZERO)) => {
                lease = None;
                let _ = events.send(ServiceEvent::LeaseLost);
                continue;
            }
            Ok((id, span)) => {
                lease = Some(id);
                let until = asked_at + span;
                let _ = events.send(ServiceEvent::LeaseRenewed { lease: id, until });
            }
            Err(_) => {}
        }
        tokio::time::sleep(config.lease_span / 4).await;
    }
}

/// Reads the head regularly: the proof that the configuration is the latest, and the way to find
/// out that a watch is stuck.
async fn read_head(
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
        let watched = *watching.borrow_and_update();
        let pause = if watched { config.head_interval } else { config.head_interval * IDLE_FACTOR };
        let _ = tokio::time::timeout(pause, watching.changed()).await;
    }
}

async fn keep_watch(
    client: KvClient,
    config: StoreConfig,
    events: mpsc::UnboundedSender<ServiceEvent>,
    mut watching: watch::Receiver<bool>,
) {
    while !events.is_closed() {
        if watching.wait_for(|watching| *watching).await.is_err() {
            return;
        }
        if let Some(start) = list(&client, &config, &events).await {
            tokio::select! {
                () = follow(&client, start, &events) => {}
                _ = watching.wait_for(|watching| !*watching) => {}
            }
        }
        // All daemons lose their watches at once when the service restarts.
        let pause = rand::rng().random_range(RELIST_PAUSE_MS.0..RELIST_PAUSE_MS.1);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Lists and returns the revision from which to watch: that of the first read, so that no change
/// between the reads is missed.
async fn list(
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

/// Passes watched changes on until the watch ends.
async fn follow(client: &KvClient, start: Revision, events: &mpsc::UnboundedSender<ServiceEvent>) {
    let end = format!("{}0", LIVE_PREFIX.trim_end_matches('/'));
    let Ok(mut body) = client.watch(LIVE_PREFIX, &end, start).await else { return };
    let mut buffer = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else { continue };
        buffer.extend_from_slice(&data);
        while let Some(at) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(at + 1);
            let Ok(answer) = serde_json::from_slice::<Wrapped<WatchResponse>>(&line) else {
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
