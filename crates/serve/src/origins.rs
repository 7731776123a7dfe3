//! Records in the store where streams begin, and looks up where a stream began that a client takes up.

use std::rc::Rc;
use std::time::Duration;

use base::{Name, Revision, Time};
use daemon::boot_time;
use fleet::SoftwareVersion;
use front::Arrival;
use node::{KeyValue, LeaseId, StoreTxn};
use origin::{MixKeeper, MixWire, ServiceView, StreamId, StreamOrigin, VersionMix};
use platform::store::TxnReply;

use crate::host::{sleep_until, Host};
use crate::logging::LogLine;
use crate::orders;
use crate::store::StoreError;

/// Prefix of the versions at which the streams of each service can have begun, by service.
pub(crate) const MIX_PREFIX: &str = "mango/versions/";
/// Prefix of the records of streams. All other keys precede it, so that a snapshot need not include
/// the records.
pub(crate) const RECORD_PREFIX: &str = "streams/";
/// Most records in one transaction.
const MAX_RECORDS: usize = 32;
/// How long the first event of a stream waits for its record. After that a client of a daemon that is
/// killed can't take the stream up.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(150);
/// Time limit of one call that looks up a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which records are written under the same lease.
const LEASE_SPAN: Duration = Duration::from_secs(30);
/// Longest time to live of a lease.
const MAX_LEASE: Duration = Duration::from_secs(600);
/// Pause after a transaction that has failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Oldest list of targets by which the leader decides about the versions.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_000);
/// Interval at which the leader decides about the versions.
const KEEPER_INTERVAL: Duration = Duration::from_millis(250);

/// The result of looking up where a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OriginSearch {
    /// The request doesn't continue a stream that other targets could continue.
    NotNeeded,
    /// The stream began here.
    Found(StreamOrigin),
    /// Nobody knows where the stream began.
    Unknown,
    /// The store can't be asked at present.
    Unavailable,
}

/// Finds out where the stream began that a request continues. `first_attempt` is the client's attempt
/// that brought its first event, and `attempt` that of the request.
pub(crate) async fn find_origin(
    host: &Host,
    arrival: &Arrival,
    first_attempt: Option<&str>,
    attempt: &str,
) -> OriginSearch {
    let service = host.dispatcher.borrow().resumable_service(arrival).cloned();
    let Some(service) = service else { return OriginSearch::NotNeeded };
    let id = first_attempt.map(StreamId::new);
    let now = boot_time();
    let (search, source) = match known_origin(host, now, &service, id) {
        Some(origin) => (OriginSearch::Found(origin), "memory"),
        None => (look_up(host, &service, id).await, "store"),
    };
    let (service, version) = match &search {
        OriginSearch::Found(origin) => (&origin.service, origin.version.as_ref()),
        OriginSearch::NotNeeded | OriginSearch::Unknown | OriginSearch::Unavailable => {
            (&service, None)
        }
    };
    LogLine::new("stream_taken_up")
        .with("request", attempt)
        .with("resumes", first_attempt.unwrap_or_default())
        .text("service", service)
        .with("version", version.map(ToString::to_string))
        .with("is_known", matches!(search, OriginSearch::Found(_)))
        .with("source", source)
        .with("took_ms", boot_time().since(now).as_millis() as u64)
        .info();
    search
}

/// Returns where a stream began as far as this daemon knows without asking the store.
fn known_origin(
    host: &Host,
    now: Time,
    service: &Name,
    id: Option<StreamId>,
) -> Option<StreamOrigin> {
    let book = host.origin_book.borrow();
    if let Some(origin) = id.and_then(|id| book.find(now, id)) {
        return Some(origin.clone());
    }
    let age = now.since(host.changes_at.get());
    let dispatcher = host.dispatcher.borrow();
    let version = dispatcher.targets().mixes().sole_version(service, age)?;
    Some(StreamOrigin { service: service.clone(), version: Some(version.clone()) })
}

/// Asks the store where a stream began.
async fn look_up(host: &Host, service: &Name, id: Option<StreamId>) -> OriginSearch {
    let read = |key: String| async move {
        let call = host.store.read_key(&key);
        tokio::time::timeout(LOOKUP_TIMEOUT, call).await.unwrap_or(Err(StoreError::Lost))
    };
    // Read before the record: a stream can begin at another version only after the mix has changed.
    let mix = match read(format!("{MIX_PREFIX}{service}")).await {
        Ok(item) => item.and_then(|item| parse_mix(host, &item)),
        Err(_) => return OriginSearch::Unavailable,
    };
    if let Some(version) = mix.as_ref().and_then(VersionMix::implied_version) {
        let version = Some(version.clone());
        return OriginSearch::Found(StreamOrigin { service: service.clone(), version });
    }
    let Some(id) = id else { return OriginSearch::Unknown };
    match read(format!("{RECORD_PREFIX}{id}")).await {
        Ok(Some(item)) => match serde_json::from_slice(&item.value) {
            Ok(origin) => OriginSearch::Found(origin),
            Err(_) => OriginSearch::Unknown,
        },
        Ok(None) => OriginSearch::Unknown,
        Err(_) => OriginSearch::Unavailable,
    }
}

/// Notes where a stream began whose first event is about to be passed on, and waits for its record if it
/// needs one.
pub(crate) async fn record_begin(host: &Host, request: u64, attempt: &str) {
    if attempt.is_empty() {
        return;
    }
    let Some((origin, lifetime)) = host.dispatcher.borrow().begun_origin(request) else { return };
    let (now, id) = (boot_time(), StreamId::new(attempt));
    let needs_record = host.dispatcher.borrow().targets().mixes().needs_records(&origin.service);
    host.origin_book.borrow_mut().begin(now, id, origin, now + lifetime);
    if !needs_record {
        return;
    }
    host.origins_due.notify_one();
    let until = now + MAX_RECORD_WAIT;
    loop {
        let recorded = host.origins_recorded.notified();
        if host.origin_book.borrow().is_recorded(id) || boot_time() >= until {
            return;
        }
        tokio::select! {
            () = recorded => {}
            () = sleep_until(until) => {}
        }
    }
}

/// Writes the records of streams that have begun at this daemon.
pub(crate) async fn write_records(host: Rc<Host>) {
    let mut lease: Option<(LeaseId, Time)> = None;
    loop {
        let now = boot_time();
        let due = {
            let dispatcher = host.dispatcher.borrow();
            let mixes = dispatcher.targets().mixes();
            host.origin_book.borrow().unrecorded(now, mixes, MAX_RECORDS)
        };
        if due.is_empty() {
            host.origins_due.notified().await;
            continue;
        }
        lease = lease.filter(|(_, granted_at)| now.since(*granted_at) < LEASE_SPAN);
        match write_batch(&host, &mut lease, &due).await {
            Ok(()) => {
                let ids: Vec<StreamId> = due.iter().map(|(id, _)| *id).collect();
                host.origin_book.borrow_mut().mark_recorded(&ids);
                host.origins_recorded.notify_waiters();
            }
            Err(error) => {
                lease = None;
                LogLine::new("streams_unrecorded")
                    .with("streams", due.len())
                    .text("error", &error)
                    .info();
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Why streams could not be recorded.
#[derive(Debug, thiserror::Error)]
enum RecordError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("refused: {0:?}")]
    Refused(TxnReply),
}

async fn write_batch(
    host: &Host,
    lease: &mut Option<(LeaseId, Time)>,
    due: &[(StreamId, StreamOrigin)],
) -> Result<(), RecordError> {
    let (id, _) = match *lease {
        Some(lease) => lease,
        None => {
            let lifetimes = host.dispatcher.borrow().resumable_services();
            let longest = lifetimes.values().max().copied().unwrap_or_default();
            let span = (longest + LEASE_SPAN).min(MAX_LEASE);
            *lease.insert((host.store.grant_lease(span).await?.0, boot_time()))
        }
    };
    let mut txn = StoreTxn::default();
    for (stream, origin) in due {
        let value = serde_json::to_vec(origin)?;
        txn = txn.put_leased(format!("{RECORD_PREFIX}{stream}"), value, id);
    }
    match host.store.commit(&txn).await? {
        TxnReply::Done(_) => Ok(()),
        reply => Err(RecordError::Refused(reply)),
    }
}

/// Applies the mixes of a snapshot of the store.
pub(crate) fn apply_mixes<'a>(host: &Host, items: impl Iterator<Item = &'a KeyValue>) {
    let items: Vec<&KeyValue> = items.collect();
    let is_stored = |service: &Name| {
        items.iter().any(|item| item.key.strip_prefix(MIX_PREFIX) == Some(service.as_str()))
    };
    host.dispatcher.borrow_mut().targets_mut().mixes_mut().retain(is_stored);
    for item in items {
        apply_mix(host, &item.key, Some(item), item.revision);
    }
}

/// Applies the versions at which the streams of a service can have begun; `None` is a deleted value.
pub(crate) fn apply_mix(host: &Host, key: &str, item: Option<&KeyValue>, revision: Revision) {
    let Some(Ok(service)) = key.strip_prefix(MIX_PREFIX).map(str::parse::<Name>) else {
        LogLine::new("versions_unread").with("key", key).warn();
        return;
    };
    let mix = item.and_then(|item| parse_mix(host, item));
    let mut dispatcher = host.dispatcher.borrow_mut();
    let mixes = dispatcher.targets_mut().mixes_mut();
    if mixes.get(&service) != mix.as_ref() {
        LogLine::new("versions_changed")
            .text("service", &service)
            .text("mix", mix.as_ref().unwrap_or(&VersionMix::Any))
            .with("revision", revision.number())
            .info();
    }
    mixes.set(&service, mix, revision);
    drop(dispatcher);
    host.origins_due.notify_one();
}

/// Parses the value of a mix. One of an earlier era of the store says nothing about what followed it.
fn parse_mix(host: &Host, item: &KeyValue) -> Option<VersionMix> {
    let wire: Option<MixWire> = serde_json::from_slice(&item.value).ok();
    let wire = wire.filter(|wire| wire.is_of_era(host.store.era().0));
    VersionMix::try_from(wire?).ok()
}

/// Changes the versions at which streams can begin, while this daemon leads.
pub(crate) async fn keep_mixes(host: Rc<Host>) {
    let mut keeper: Option<(u64, MixKeeper)> = None;
    loop {
        tokio::time::sleep(KEEPER_INTERVAL).await;
        let term = host.leader_state.borrow().as_ref().map(|state| state.leader.term());
        let Some(term) = term else {
            keeper = None;
            continue;
        };
        let is_same_term = keeper.as_ref().is_some_and(|(fence, _)| *fence == term.fence);
        if !is_same_term {
            keeper = Some((term.fence, MixKeeper::new(term.is_first)));
        }
        let Some((_, keeper)) = keeper.as_mut() else { continue };
        if !has_current_list(&host) {
            continue;
        }
        for (service, mix) in due_mixes(&host, keeper) {
            if let Err(error) = write_mix(&host, &service, &mix).await {
                LogLine::new("versions_unwritten")
                    .text("service", &service)
                    .text("error", &error)
                    .info();
            }
        }
    }
}

/// Returns whether this daemon certainly leads and knows the present targets.
fn has_current_list(host: &Host) -> bool {
    let now = boot_time();
    let state = host.leader_state.borrow();
    let may_lead = state.as_ref().is_some_and(|state| state.leader.may_order(now));
    may_lead && now.since(host.changes_at.get()) <= MAX_LIST_AGE
}

/// Returns the mixes that have to be written.
fn due_mixes(host: &Host, keeper: &mut MixKeeper) -> Vec<(Name, VersionMix)> {
    let now = boot_time();
    let dispatcher = host.dispatcher.borrow();
    let targets = dispatcher.targets();
    let mut due = Vec::new();
    for (service, lifetime) in dispatcher.resumable_services().iter() {
        let of_service = targets.entries().filter(|entry| entry.service == *service);
        let listed: Vec<Option<&SoftwareVersion>> =
            of_service.map(|entry| entry.version.as_ref()).collect();
        let mix = targets.mixes().get(service);
        let view = ServiceView { listed: &listed, mix, lifetime: *lifetime };
        due.extend(keeper.next_mix(now, service, view).map(|mix| (service.clone(), mix)));
    }
    due
}

/// Writes a mix unless it has changed meanwhile.
async fn write_mix(host: &Host, service: &Name, mix: &VersionMix) -> Result<(), RecordError> {
    let key = format!("{MIX_PREFIX}{service}");
    let value = serde_json::to_vec(&MixWire::new(mix, host.store.era().0))?;
    let known = host.dispatcher.borrow().targets().mixes().revision(service);
    let txn = StoreTxn::default().expect(&key, known).put(&key, value.clone());
    match host.store.commit(&txn).await? {
        TxnReply::Done(revision) => {
            let item = KeyValue { key: key.clone(), value, revision };
            apply_mix(host, &key, Some(&item), revision);
            orders::update_leader_targets(host);
            host.state_changed.notify_waiters();
            Ok(())
        }
        // The change that conflicts is about to be read.
        TxnReply::Conflict => Ok(()),
        reply => Err(RecordError::Refused(reply)),
    }
}
