//! The daemon's seat in the store, and the leader's election.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::Revision;
use daemon::boot_time;
use lead::{Lead, LeadConfig, LeadTerm};
use node::{LeaseId, StoreTxn};
use platform::store::{KeepReply, TxnReply};
use serde::{Deserialize, Serialize};

use crate::host::{sleep_until, Host, LeaderEntry, ANY_FLEET_CPU_SHARE};
use crate::logging::LogLine;
use crate::orders::{update_lead_targets, LeaderState};
use crate::store::StoreError;

/// Prefix of the daemons' own keys in the store.
pub(crate) const DAEMON_PREFIX: &str = "mango/";

/// The leader; it ends with the leader's lease.
pub(crate) const LEADER_KEY: &str = "mango/leader";

/// The host of the latest term; it stays.
const TERM_KEY: &str = "mango/term";

/// Prefix of the seats, by host.
const REGISTRATION_PREFIX: &str = "mango/seat/";

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The same for a renewal of the leader's lease.
const RENEW_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The same for a seat, whose lease is long.
const REGISTRATION_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// A lease is renewed this many times in its length.
const RENEWALS_PER_LEASE: u32 = 4;

/// Most time by which a daemon delays its claim, by a draw, so that not all claim at once.
const CLAIM_JITTER_MS: u64 = 120;

/// By how much daemons with less processor time than any fleet needs delay a claim.
const MAX_SHARE_DELAY: Duration = Duration::from_millis(400);

/// Cores with which a daemon can't lead a large fleet, and by how much it delays a claim besides:
/// the others should have found out that nobody leads by then.
const LOW_CPU_SHARE: f64 = 0.2;
const LOW_SHARE_DELAY: Duration = Duration::from_millis(1_200);

/// Departures that a new leader passes on were learnt within this time: the store doesn't list
/// older ones any more.
const DEPARTURE_WINDOW: Duration = Duration::from_secs(60);

/// The value of the leader's key.
#[derive(Serialize, Deserialize)]
struct LeaderRecord {
    host: base::Name,
    incarnation: u64,
    address: SocketAddr,
    /// Tells the claims of one process apart: the lease that each has of its own.
    lease: i64,
}

/// Reads the leader's key.
pub(crate) fn parse_leader(value: &[u8], revision: Revision) -> Option<LeaderEntry> {
    let record: LeaderRecord = serde_json::from_slice(value).ok()?;
    let LeaderRecord { host, incarnation, address, lease: _ } = record;
    Some(LeaderEntry { host, incarnation, address, fence: revision })
}

/// Keeps the daemon's seat. Nothing waits for its end, so that its lease is long.
pub(crate) async fn maintain_registration(host: Rc<Host>) {
    let mut lease: Option<LeaseId> = None;
    loop {
        let renewal = match lease {
            Some(id) => {
                host.store.renew_lease(id, host.settings.call_timeout).await.map(
                    |reply| match reply {
                        KeepReply::Kept(_) => Some(id),
                        KeepReply::Gone => None,
                    },
                )
            }
            None => register(&host).await,
        };
        let pause = match renewal {
            Ok(Some(id)) => {
                lease = Some(id);
                host.settings.seat_lease / RENEWALS_PER_LEASE
            }
            Ok(None) => {
                LogLine::new("seat_lost").info();
                lease = None;
                RETRY_PAUSE
            }
            Err(error) => {
                LogLine::new("seat_unsure").text("error", &error).info();
                REGISTRATION_RETRY_PAUSE
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Claims the leader's key when nobody holds it, and keeps its lease while this daemon leads.
pub(crate) async fn run_election(host: Rc<Host>) {
    let pause = host.settings.lease / RENEWALS_PER_LEASE;
    let mut lease: Option<LeaseId> = None;
    loop {
        let asked_at = boot_time();
        let is_leading = host.leader_state.borrow().is_some();
        match lease.filter(|_| is_leading) {
            Some(id) => match host.store.renew_lease(id, pause).await {
                Ok(KeepReply::Kept(span)) => {
                    if let Some(state) = host.leader_state.borrow_mut().as_mut() {
                        state.lead.renewed(asked_at + span);
                    }
                }
                Ok(KeepReply::Gone) => {
                    LogLine::new("lease_lost").info();
                    resign(&host, "lease lost");
                    continue;
                }
                Err(error) => {
                    LogLine::new("lease_unsure").text("error", &error).info();
                    tokio::time::sleep(RENEW_RETRY_PAUSE).await;
                    continue;
                }
            },
            None => {
                if host.leader.borrow().is_none() {
                    tokio::time::sleep(claim_delay(&host)).await;
                }
                lease = claim_leadership(&host).await;
            }
        }
        let next = asked_at + pause;
        tokio::select! {
            () = sleep_until(next) => {}
            () = host.leader_changed.notified() => {
                // A lease is renewed no sooner because others' entries change.
                if host.leader_state.borrow().is_some() {
                    sleep_until(next).await;
                }
            }
        }
    }
}

/// Returns how long this daemon leaves a claim to others: those with more processor time go first,
/// and not all at once.
fn claim_delay(host: &Host) -> Duration {
    let missing_share = (1.0 - host.settings.cpu_share / ANY_FLEET_CPU_SHARE).clamp(0.0, 1.0);
    let jitter = Duration::from_millis(rand::random::<u64>() % CLAIM_JITTER_MS);
    let low_share_delay = host.settings.cpu_share < LOW_CPU_SHARE;
    let low_share_delay = if low_share_delay { LOW_SHARE_DELAY } else { Duration::ZERO };
    MAX_SHARE_DELAY.mul_f64(missing_share) + low_share_delay + jitter
}

/// Gets a lease and puts the seat's key under it.
async fn register(host: &Host) -> Result<Option<LeaseId>, StoreError> {
    let (id, _) = host.store.grant_lease(host.settings.seat_lease).await?;
    let key = format!("{REGISTRATION_PREFIX}{}", host.settings.host);
    let value = host.settings.peer_listen.to_string().into_bytes();
    match host.store.commit(&StoreTxn::default().put_leased(key, value, id)).await? {
        TxnReply::Done(_) => {
            LogLine::new("seat_taken").with("lease", id.0).info();
            Ok(Some(id))
        }
        TxnReply::Conflict | TxnReply::LeaseGone | TxnReply::Refused(_) => Ok(None),
    }
}

/// Claims the leader's key if nobody holds it, or if this host does and doesn't lead: by a former
/// process, or by a claim of this one whose answer was lost. Returns the lease of the term that
/// begins.
async fn claim_leadership(host: &Host) -> Option<LeaseId> {
    let current = host.leader.borrow().clone();
    let is_stopping = host.stopping_since.get().is_some();
    if !host.has_listed.get() || host.leader_state.borrow().is_some() || is_stopping {
        return None;
    }
    let own_host = host.settings.host.clone();
    let expected = match &current {
        None => Revision(0),
        Some(entry) if entry.host == own_host => entry.fence,
        Some(_) => return None,
    };
    let prepared = async {
        let term = host.store.read_key(TERM_KEY).await?;
        let asked_at = boot_time();
        let (lease, span) = host.store.grant_lease(host.settings.lease).await?;
        Ok::<_, StoreError>((term, lease, asked_at + span))
    };
    let (term, lease, until) = match prepared.await {
        Ok(prepared) => prepared,
        Err(error) => {
            LogLine::new("claim_failed").text("error", &error).info();
            return None;
        }
    };
    let record = LeaderRecord {
        host: own_host.clone(),
        incarnation: host.incarnation,
        address: host.settings.peer_listen,
        lease: lease.0,
    };
    let value = serde_json::to_vec(&record).ok()?;
    // Orders of another host must be over before the first of this one.
    let former = term.as_ref().map(|term| term.value.clone());
    let is_first = former.is_none();
    let is_same_host = former.as_ref().is_none_or(|former| *former == own_host.as_str().as_bytes());
    let term_revision = term.map_or(Revision(0), |term| term.revision);
    let txn = StoreTxn::default()
        .expect(LEADER_KEY, expected)
        .expect(TERM_KEY, term_revision)
        .put_leased(LEADER_KEY, value.clone(), lease)
        .put(TERM_KEY, own_host.as_str().as_bytes().to_vec());
    let fence = match host.store.commit(&txn).await {
        Ok(TxnReply::Done(revision)) => revision,
        Ok(reply) => {
            LogLine::new("claim_refused").with("reply", format!("{reply:?}")).info();
            return None;
        }
        // It may have taken effect; the key tells, and a late one fails its conditions.
        Err(error) => {
            LogLine::new("claim_unsure").text("error", &error).info();
            match host.store.read_key(LEADER_KEY).await {
                Ok(Some(item)) if item.value == value => item.revision,
                _ => return None,
            }
        }
    };
    let now = boot_time();
    // Targets that check fences refuse what the former leader may still send.
    let order_gap = host.settings.order_turn;
    let must_wait = !is_same_host && !host.settings.fences_checked;
    let orders_from = if must_wait { LeadTerm::orders_after(now, order_gap) } else { now };
    let term = LeadTerm { fence: fence.0, orders_from, until, is_first };
    let config = LeadConfig::new(own_host).load_window(host.settings.load_window);
    let mut lead = Lead::new(config, term);
    if let Some(layout) = host.dispatcher.borrow().layout() {
        lead.layout_changed(now, layout.clone());
    }
    let departures = host.dispatcher.borrow().book().departures(now, DEPARTURE_WINDOW);
    departures.iter().for_each(|departure| lead.departed(now, departure));
    LogLine::new("leads")
        .with("fence", fence.0)
        .with("orders_in_ms", orders_from.since(now).as_millis() as u64)
        .info();
    *host.leader_state.borrow_mut() = Some(LeaderState { lead });
    *host.leader.borrow_mut() = parse_leader(&value, fence);
    update_lead_targets(host);
    update_registered(host);
    host.report_due.notify_one();
    host.term_lease.set(Some(lease));
    Some(lease)
}

/// Ends this daemon's term and its lease, so that nobody has to wait until that runs out.
pub(crate) async fn end_term(host: &Host) {
    let Some(lease) = host.term_lease.take().filter(|_| host.leader_state.borrow().is_some())
    else {
        return;
    };
    resign(host, "stopping");
    if let Err(error) = host.store.revoke_lease(lease).await {
        LogLine::new("lease_unsure").text("error", &error).info();
    }
}

/// Ends this daemon's term.
pub(crate) fn resign(host: &Host, reason: &'static str) {
    if let Some(state) = host.leader_state.borrow_mut().take() {
        LogLine::new("leads_no_more")
            .with("fence", state.lead.term().fence)
            .with("reason", reason)
            .info();
    }
}

/// Takes the leader's key as the store had it at a revision.
pub(crate) fn apply_leader(host: &Host, revision: Revision, entry: Option<LeaderEntry>) {
    let is_other = entry.as_ref().is_none_or(|e| e.incarnation != host.incarnation);
    let own_term = host.leader_state.borrow().as_ref().map(|state| state.lead.term());
    if own_term.is_some_and(|term| !term.is_told_by(revision.0)) {
        return;
    }
    if own_term.is_some() && is_other {
        resign(host, "another leader, or none");
    }
    if *host.leader.borrow() != entry {
        LogLine::new("leader_changed")
            .with("leader", entry.as_ref().map(|e| e.host.to_string()).unwrap_or_default())
            .with("fence", entry.as_ref().map_or(0, |e| e.fence.0))
            .info();
        *host.leader.borrow_mut() = entry;
        host.leader_changed.notify_one();
        host.report_due.notify_one();
    }
}

/// Passes the present list of seats on.
pub(crate) fn update_registered(host: &Host) {
    let now = boot_time();
    let registered = host.registered.borrow();
    host.dispatcher.borrow_mut().set_seats(registered.count(now));
    if let Some(state) = host.leader_state.borrow_mut().as_mut() {
        state.lead.seats_listed(now, &registered);
    }
}

/// Reads the host of a seat from its key.
pub(crate) fn parse_registration(key: &str) -> Option<base::Name> {
    let name = key.strip_prefix(REGISTRATION_PREFIX)?;
    match name.parse() {
        Ok(host) => Some(host),
        Err(error) => {
            LogLine::new("seat_unread").with("key", key).text("error", &error).warn();
            None
        }
    }
}
