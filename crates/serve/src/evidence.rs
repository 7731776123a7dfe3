//! The fleet's evidence of crashes, in the store.
//!
//! Each host keeps one record under a lease. All daemons follow the records as they follow the targets, so
//! that the evidence needs no leader and outlives the daemons.

use std::rc::Rc;
use std::time::Duration;

use base::{Name, ParseError, Time};
use daemon::boot_time;
use node::{LeaseId, StoreTxn};
use platform::store::TxnReply;
use serde::{Deserialize, Serialize};
use suspect::{CrashVerdict, EvidenceWire, HostEvidence, EVIDENCE_SPAN};

use crate::host::{sleep_until, Host};
use crate::logging::LogLine;
use crate::store::StoreError;

/// Prefix of the records, by host.
pub(crate) const EVIDENCE_PREFIX: &str = "mango/crash/";
/// Pause after a record could not be written.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Least time between two records of a host.
const WRITE_PAUSE: Duration = Duration::from_millis(100);
/// Least time between two reviews of other hosts' evidence.
const REVIEW_PAUSE: Duration = Duration::from_millis(25);
/// How often leases of records that are in use are renewed, and unused evidence is removed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(120);

/// A host's record.
#[derive(Serialize, Deserialize)]
struct EvidenceRecord {
    /// Lease of the record. Any daemon that uses the evidence renews it.
    lease: i64,
    evidence: EvidenceWire,
}

/// Why a record can't be read.
#[derive(Debug, thiserror::Error)]
enum RecordError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Value(#[from] ParseError),
}

fn parse_record(key: &str, value: &[u8]) -> Result<(Name, LeaseId, HostEvidence), RecordError> {
    let host = key.strip_prefix(EVIDENCE_PREFIX).unwrap_or_default().parse()?;
    let record: EvidenceRecord = serde_json::from_slice(value)?;
    Ok((host, LeaseId(record.lease), HostEvidence::try_from(record.evidence)?))
}

/// Applies a host's record. `is_old` is set if it was read with a snapshot of the store, not as a change.
pub(crate) fn apply_record(host: &Host, key: &str, value: &[u8], is_old: bool) {
    let (name, lease, evidence) = match parse_record(key, value) {
        Ok(record) => record,
        Err(error) => {
            LogLine::new("evidence_unread").with("key", key).text("error", &error).warn();
            return;
        }
    };
    host.evidence_leases.borrow_mut().insert(name.clone(), lease);
    let mut dispatcher = host.dispatcher.borrow_mut();
    let ledger = dispatcher.ledger_mut();
    match is_old {
        true => ledger.apply_old_evidence(boot_time(), &name, &evidence),
        false => ledger.apply_evidence(boot_time(), &name, &evidence),
    }
    drop(dispatcher);
    host.evidence_changed.notify_one();
}

/// Applies all records of a snapshot of the store. If this host's record is missing or an older one, as
/// in a restored store, it is written again.
pub(crate) fn apply_records<'a>(host: &Host, records: impl Iterator<Item = (&'a str, &'a [u8])>) {
    let own_key = format!("{EVIDENCE_PREFIX}{}", host.settings.host);
    let mut own_crashes = 0;
    for (key, value) in records {
        if key == own_key {
            own_crashes = parse_record(key, value).map_or(0, |(_, _, own)| own.crashes.len());
        }
        apply_record(host, key, value, true);
    }
    let known_crashes = host.dispatcher.borrow().ledger().own_evidence().1.crashes.len();
    if own_crashes < known_crashes {
        host.dispatcher.borrow_mut().ledger_mut().mark_lost(boot_time());
        host.evidence_changed.notify_one();
    }
}

/// Publishes this host's evidence when it changes, renews the leases of records that are in use, and
/// logs the verdicts.
pub(crate) async fn maintain_evidence(host: Rc<Host>) {
    let mut lease = None;
    let mut verdicts = Vec::new();
    let mut renew_at = boot_time() + RENEWAL_INTERVAL;
    loop {
        verdicts = log_verdicts(&host, verdicts);
        let now = boot_time();
        if now >= renew_at {
            renew_used(&host, now).await;
            renew_at = now + RENEWAL_INTERVAL;
        }
        let (due, review_due) = {
            let mut dispatcher = host.dispatcher.borrow_mut();
            dispatcher.ledger_mut().update(now);
            (dispatcher.ledger().publish_due(), dispatcher.ledger().review_due())
        };
        let due = due.filter(|_| host.has_listed.get());
        if due.is_some_and(|due| boot_time() >= due) {
            let pause = match publish(&host, lease).await {
                Ok(id) => {
                    lease = id;
                    WRITE_PAUSE
                }
                Err(error) => {
                    LogLine::new("evidence_unwritten").text("error", &error).info();
                    RETRY_PAUSE
                }
            };
            tokio::time::sleep(pause).await;
            continue;
        }
        tokio::select! {
            () = host.evidence_changed.notified() => {}
            () = sleep_until([due, review_due].into_iter().flatten().fold(renew_at, Time::min)) => {}
        }
        let has_own = host.dispatcher.borrow().ledger().publish_due().is_some();
        if !has_own {
            tokio::time::sleep(REVIEW_PAUSE).await;
        }
    }
}

/// Writes this host's evidence under a lease, which is granted if there is none. Returns the lease;
/// `None` if it has ended.
async fn publish(host: &Host, lease: Option<LeaseId>) -> Result<Option<LeaseId>, StoreError> {
    let lease = match lease {
        Some(lease) => lease,
        None => host.store.grant_lease(EVIDENCE_SPAN).await?.0,
    };
    let (number, evidence) = host.dispatcher.borrow().ledger().own_evidence();
    let record = EvidenceRecord { lease: lease.0, evidence: EvidenceWire::from(&evidence) };
    let key = format!("{EVIDENCE_PREFIX}{}", host.settings.host);
    let value = match serde_json::to_vec(&record) {
        Ok(value) => value,
        Err(error) => {
            LogLine::new("evidence_unwritten").text("error", &error).warn();
            return Ok(Some(lease));
        }
    };
    let bytes = value.len();
    match host.store.commit(&StoreTxn::default().put_leased(key, value, lease)).await? {
        TxnReply::Done(revision) => {
            host.dispatcher.borrow_mut().ledger_mut().record_published(number, &evidence);
            LogLine::new("evidence_published")
                .with("crashes", evidence.crashes.len())
                .with("answered", evidence.answered.len())
                .with("bytes", bytes)
                .with("revision", revision.number())
                .info();
            Ok(Some(lease))
        }
        reply => {
            LogLine::new("evidence_unwritten").with("reply", format!("{reply:?}")).info();
            Ok(None)
        }
    }
}

/// Renews the leases of the records whose evidence this daemon has used, and removes old evidence.
async fn renew_used(host: &Host, now: Time) {
    let is_used = {
        let mut dispatcher = host.dispatcher.borrow_mut();
        dispatcher.ledger_mut().expire(now);
        !dispatcher.ledger().used_since(now - RENEWAL_INTERVAL).is_empty()
    };
    if !is_used {
        return;
    }
    let leases: Vec<LeaseId> = host.evidence_leases.borrow().values().copied().collect();
    for lease in leases {
        if let Err(error) = host.store.renew_lease(lease, host.settings.call_timeout).await {
            LogLine::new("evidence_lease_unsure").text("error", &error).info();
        }
    }
}

/// Logs the verdicts that were reached or ended since `known`, and returns the present ones.
fn log_verdicts(host: &Host, known: Vec<CrashVerdict>) -> Vec<CrashVerdict> {
    let verdicts = host.dispatcher.borrow().ledger().verdicts().to_vec();
    let log = |(request_event, part_event), verdict: &CrashVerdict| {
        let teams = verdict.teams.iter().flatten().map(ToString::to_string);
        let line = match verdict.request() {
            Some(digest) => LogLine::new(request_event).text("digest", &digest),
            None => LogLine::new(part_event).with("parts", join(verdict.causes.iter())),
        };
        line.with("teams", teams.collect::<Vec<_>>().join(","))
            .with("crashes", join(verdict.crashes.iter()))
            .info();
    };
    for verdict in verdicts.iter().filter(|verdict| !known.contains(verdict)) {
        log(("request_condemned", "part_condemned"), verdict);
    }
    let has_causes = |list: &[CrashVerdict], verdict: &CrashVerdict| {
        list.iter().any(|other| other.causes == verdict.causes)
    };
    for verdict in known.iter().filter(|verdict| !has_causes(&verdicts, verdict)) {
        log(("request_acquitted", "part_acquitted"), verdict);
    }
    if verdicts != known {
        host.state_changed.notify_waiters();
    }
    verdicts
}

fn join<T: ToString>(items: impl Iterator<Item = T>) -> String {
    items.map(|item| item.to_string()).collect::<Vec<_>>().join(",")
}
