//! The daemon's seat in the store, and the leader's election.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::Revision;
use daemon::boot_time;
use lead::{Lead, LeadConfig, LeadTerm};
use node::{LeaseId, StoreTxn};
use platform::store::{RenewalReply, TxnReply};
use serde::{Deserialize, Serialize};

use crate::host::{sleep_until, Host, LeaderEntry, ROOMY_SHARE};
use crate::orders::{targets_changed, Leading};
use crate::store::StoreError;
use crate::trail::Line;

/// Prefix of the daemons' own keys in the store.
pub(crate) const OWN_PREFIX: &str = "mango/";

/// The leader; it ends with the leader's lease.
pub(crate) const LEADER_KEY: &str = "mango/leader";

/// The host of the latest term; it stays.
const TERM_KEY: &str = "mango/term";

/// Prefix of the seats, by host.
const SEAT_PREFIX: &str = "mango/seat/";

/// Pause after a failed call to the store.
const STORE_PAUSE: Duration = Duration::from_millis(250);

/// The same for a renewal of the leader's lease.
const RENEW_PAUSE: Duration = Duration::from_millis(100);

/// The same for a seat, whose lease is long.
const SEAT_PAUSE: Duration = Duration::from_millis(1_000);

/// A lease is renewed this many times in its length.
const RENEWALS: u32 = 4;

/// Most time by which a daemon delays its claim, by a draw, so that not all claim at once.
const CLAIM_SPREAD_MS: u64 = 120;

/// By how much daemons with less processor time than any fleet needs delay a claim.
const CLAIM_HANDICAP: Duration = Duration::from_millis(400);

/// Cores with which a daemon can't lead a large fleet, and by how much it delays a claim besides:
/// the others should have found out that nobody leads by then.
const SCANT_SHARE: f64 = 0.2;
const SCANT_HANDICAP: Duration = Duration::from_millis(1_200);

/// Departures that a new leader passes on were learnt within this time: the store doesn't list
/// older ones any more.
const DEPARTURE_SPAN: Duration = Duration::from_secs(60);

/// The value of the leader's key.
#[derive(Serialize, Deserialize)]
struct LeaderDoc {
    host: base::Name,
    incarnation: u64,
    address: SocketAddr,
    /// Tells the claims of one process apart: the lease that each has of its own.
    lease: i64,
}

/// Reads the leader's key.
pub(crate) fn read_leader(value: &[u8], revision: Revision) -> Option<LeaderEntry> {
    let doc: LeaderDoc = serde_json::from_slice(value).ok()?;
    let LeaderDoc { host, incarnation, address, lease: _ } = doc;
    Some(LeaderEntry { host, incarnation, address, fence: revision })
}

/// Keeps the daemon's seat. Nothing waits for its end, so that its lease is long.
pub(crate) async fn keep_seat(host: Rc<Host>) {
    let mut lease: Option<LeaseId> = None;
    loop {
        let kept = match lease {
            Some(id) => {
                host.store.keep(id, host.settings.call_timeout).await.map(|reply| match reply {
                    RenewalReply::Renewed(_) => Some(id),
                    RenewalReply::Ended => None,
                })
            }
            None => take_seat(&host).await,
        };
        let pause = match kept {
            Ok(Some(id)) => {
                lease = Some(id);
                host.settings.seat_lease / RENEWALS
            }
            Ok(None) => {
                Line::new("seat_lost").info();
                lease = None;
                STORE_PAUSE
            }
            Err(error) => {
                Line::new("seat_unsure").text("error", &error).info();
                SEAT_PAUSE
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Claims the leader's key when nobody holds it, and keeps its lease while this daemon leads.
pub(crate) async fn keep_term(host: Rc<Host>) {
    let pause = host.settings.lease / RENEWALS;
    let mut lease: Option<LeaseId> = None;
    loop {
        let asked_at = boot_time();
        let leads = host.leading.borrow().is_some();
        match lease.filter(|_| leads) {
            Some(id) => match host.store.keep(id, pause).await {
                Ok(RenewalReply::Renewed(span)) => {
                    if let Some(leading) = host.leading.borrow_mut().as_mut() {
                        leading.lead.renewed(asked_at + span);
                    }
                }
                Ok(RenewalReply::Ended) => {
                    Line::new("lease_lost").info();
                    resign(&host, "lease lost");
                    continue;
                }
                Err(error) => {
                    Line::new("lease_unsure").text("error", &error).info();
                    tokio::time::sleep(RENEW_PAUSE).await;
                    continue;
                }
            },
            None => {
                if host.leader.borrow().is_none() {
                    tokio::time::sleep(claim_delay(&host)).await;
                }
                lease = claim(&host).await;
            }
        }
        let next = asked_at + pause;
        tokio::select! {
            () = sleep_until(next) => {}
            () = host.election.notified() => {
                // A lease is renewed no sooner because others' entries change.
                if host.leading.borrow().is_some() {
                    sleep_until(next).await;
                }
            }
        }
    }
}

/// Returns how long this daemon leaves a claim to others: those with more processor time go first,
/// and not all at once.
fn claim_delay(host: &Host) -> Duration {
    let lacking = (1.0 - host.settings.cpu_share / ROOMY_SHARE).clamp(0.0, 1.0);
    let jitter = Duration::from_millis(rand::random::<u64>() % CLAIM_SPREAD_MS);
    let scant = host.settings.cpu_share < SCANT_SHARE;
    let scant = if scant { SCANT_HANDICAP } else { Duration::ZERO };
    CLAIM_HANDICAP.mul_f64(lacking) + scant + jitter
}

/// Gets a lease and puts the seat's key under it.
async fn take_seat(host: &Host) -> Result<Option<LeaseId>, StoreError> {
    let (id, _) = host.store.lease(host.settings.seat_lease).await?;
    let key = format!("{SEAT_PREFIX}{}", host.settings.host);
    let value = host.settings.peer_listen.to_string().into_bytes();
    match host.store.txn(&StoreTxn::default().put_leased(key, value, id)).await? {
        TxnReply::Done(_) => {
            Line::new("seat_taken").with("lease", id.0).info();
            Ok(Some(id))
        }
        TxnReply::Conflict | TxnReply::LeaseGone | TxnReply::Refused(_) => Ok(None),
    }
}

/// Claims the leader's key if nobody holds it, or if this host does and doesn't lead: by a former
/// process, or by a claim of this one whose answer was lost. Returns the lease of the term that
/// begins.
async fn claim(host: &Host) -> Option<LeaseId> {
    let known = host.leader.borrow().clone();
    let is_stopping = host.stopping.get().is_some();
    if !host.listed.get() || host.leading.borrow().is_some() || is_stopping {
        return None;
    }
    let own = host.settings.host.clone();
    let expected = match &known {
        None => Revision(0),
        Some(entry) if entry.host == own => entry.fence,
        Some(_) => return None,
    };
    let asked = async {
        let term = host.store.key(TERM_KEY).await?;
        let asked_at = boot_time();
        let (lease, span) = host.store.lease(host.settings.lease).await?;
        Ok::<_, StoreError>((term, lease, asked_at + span))
    };
    let (term, lease, until) = match asked.await {
        Ok(asked) => asked,
        Err(error) => {
            Line::new("claim_failed").text("error", &error).info();
            return None;
        }
    };
    let doc = LeaderDoc {
        host: own.clone(),
        incarnation: host.incarnation,
        address: host.settings.peer_listen,
        lease: lease.0,
    };
    let value = serde_json::to_vec(&doc).ok()?;
    // Orders of another host must be over before the first of this one.
    let former = term.as_ref().map(|term| term.value.clone());
    let is_first = former.is_none();
    let same = former.as_ref().is_none_or(|former| *former == own.as_str().as_bytes());
    let term_revision = term.map_or(Revision(0), |term| term.revision);
    let txn = StoreTxn::default()
        .expect(LEADER_KEY, expected)
        .expect(TERM_KEY, term_revision)
        .put_leased(LEADER_KEY, value.clone(), lease)
        .put(TERM_KEY, own.as_str().as_bytes().to_vec());
    let fence = match host.store.txn(&txn).await {
        Ok(TxnReply::Done(revision)) => revision,
        Ok(reply) => {
            Line::new("claim_refused").with("reply", format!("{reply:?}")).info();
            return None;
        }
        // It may have taken effect; the key tells, and a late one fails its conditions.
        Err(error) => {
            Line::new("claim_unsure").text("error", &error).info();
            match host.store.key(LEADER_KEY).await {
                Ok(Some(item)) if item.value == value => item.revision,
                _ => return None,
            }
        }
    };
    let now = boot_time();
    // Targets that check fences refuse what the former leader may still send.
    let turn = host.settings.order_turn;
    let wait = !same && !host.settings.fences_checked;
    let orders_from = if wait { LeadTerm::orders_after(now, turn) } else { now };
    let term = LeadTerm { fence: fence.0, orders_from, until, is_first };
    let config = LeadConfig::new(own).load_window(host.settings.load_window);
    let mut lead = Lead::new(config, term);
    if let Some(layout) = host.desk.borrow().layout() {
        lead.layout_changed(now, layout.clone());
    }
    let departures = host.desk.borrow().targets().departures(now, DEPARTURE_SPAN);
    departures.iter().for_each(|departure| lead.departed(now, departure));
    Line::new("leads")
        .with("fence", fence.0)
        .with("orders_in_ms", orders_from.since(now).as_millis() as u64)
        .info();
    *host.leading.borrow_mut() = Some(Leading { lead });
    *host.leader.borrow_mut() = read_leader(&value, fence);
    targets_changed(host);
    seats_changed(host);
    host.sync.notify_one();
    host.term_lease.set(Some(lease));
    Some(lease)
}

/// Ends this daemon's term and its lease, so that nobody has to wait until that runs out.
pub(crate) async fn end_term(host: &Host) {
    let Some(lease) = host.term_lease.take().filter(|_| host.leading.borrow().is_some()) else {
        return;
    };
    resign(host, "stopping");
    if let Err(error) = host.store.end(lease).await {
        Line::new("lease_unsure").text("error", &error).info();
    }
}

/// Ends this daemon's term.
pub(crate) fn resign(host: &Host, reason: &'static str) {
    if let Some(leading) = host.leading.borrow_mut().take() {
        Line::new("leads_no_more")
            .with("fence", leading.lead.term().fence)
            .with("reason", reason)
            .info();
    }
}

/// Takes the leader's key as the store had it at a revision.
pub(crate) fn leader_changed(host: &Host, revision: Revision, entry: Option<LeaderEntry>) {
    let other = entry.as_ref().is_none_or(|e| e.incarnation != host.incarnation);
    let own_term = host.leading.borrow().as_ref().map(|leading| leading.lead.term());
    if own_term.is_some_and(|term| !term.is_told_by(revision.0)) {
        return;
    }
    if own_term.is_some() && other {
        resign(host, "another leader, or none");
    }
    if *host.leader.borrow() != entry {
        Line::new("leader_changed")
            .with("leader", entry.as_ref().map(|e| e.host.to_string()).unwrap_or_default())
            .with("fence", entry.as_ref().map_or(0, |e| e.fence.0))
            .info();
        *host.leader.borrow_mut() = entry;
        host.election.notify_one();
        host.sync.notify_one();
    }
}

/// Passes the present list of seats on.
pub(crate) fn seats_changed(host: &Host) {
    let now = boot_time();
    let seats = host.seats.borrow();
    host.desk.borrow_mut().set_daemon_count(seats.count(now));
    if let Some(leading) = host.leading.borrow_mut().as_mut() {
        leading.lead.seats_listed(now, &seats);
    }
}

/// Reads the host of a seat from its key.
pub(crate) fn read_seat(key: &str) -> Option<base::Name> {
    let name = key.strip_prefix(SEAT_PREFIX)?;
    match name.parse() {
        Ok(host) => Some(host),
        Err(error) => {
            Line::new("seat_unread").with("key", key).text("error", &error).warn();
            None
        }
    }
}
