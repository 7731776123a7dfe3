//! Leader election, and the daemon's registration in the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{Revision, Time};
use daemon::{boot_time, wall_ms};
use lead::{LayoutCensus, Leader, LeaderConfig, LeaderTerm, TermRecord};
use node::{KeyValue, LeaseId, StoreTxn};
use platform::store::{RenewalReply, TxnReply};
use serde::{Deserialize, Serialize};

use crate::host::{sleep_until, Host, LeaderEntry, ANY_FLEET_CPU_SHARE};
use crate::logging::LogLine;
use crate::orders::{update_leader_targets, LeaderState};
use crate::store::StoreError;

/// Prefix of the keys that daemons write to the store.
pub(crate) const DAEMON_PREFIX: &str = "mango/";

/// Key of the current leader. It is deleted when the leader's lease ends.
pub(crate) const LEADER_KEY: &str = "mango/leader";

/// Key of the [`TermRecord`]. It has no lease.
const TERM_KEY: &str = "mango/term";

/// Prefix of the registrations of daemons, by host.
const REGISTRATION_PREFIX: &str = "mango/seat/";

/// Pause before the daemon registers again after its lease was lost or the store refused it.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a failed renewal of the leader's lease.
const RENEW_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a failed call for the registration, whose lease is long.
const REGISTRATION_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// Number of renewals within the time to live of a lease.
const RENEWALS_PER_LEASE: u32 = 4;

/// Largest random delay of a claim in milliseconds, so that not all daemons claim at once.
const CLAIM_JITTER_MS: u64 = 120;

/// Largest delay of a claim by a daemon with less than `ANY_FLEET_CPU_SHARE` cores; it grows with
/// the missing share.
const CPU_SHARE_DELAY: Duration = Duration::from_millis(400);

/// A daemon with fewer cores than this can't lead a large fleet. It delays a claim by another
/// `LOW_CPU_DELAY`, in which the other daemons should notice that there is no leader.
const LOW_CPU_SHARE: f64 = 0.2;
const LOW_CPU_DELAY: Duration = Duration::from_millis(1_200);

/// A new leader takes over the departures of targets that this daemon learnt of within this time.
/// Targets that departed earlier are no longer listed in the store.
const DEPARTURE_WINDOW: Duration = Duration::from_secs(60);

/// A leader that can't reach the engines ends its term after this time, if another daemon has reported
/// requests on them within `REACHED_SPAN`. Connections that hang at the beginning of a cut are still
/// reported as such requests.
const YIELD_SPAN: Duration = Duration::from_millis(1_500);
const REACHED_SPAN: Duration = Duration::from_millis(1_000);

/// A daemon that can't reach the engines delays a claim by this time.
const CUT_DELAY: Duration = Duration::from_millis(2_000);

/// The value of the leader key.
#[derive(Serialize, Deserialize)]
struct LeaderRecord {
    host: base::Name,
    incarnation: u64,
    address: SocketAddr,
    /// Lease of the claim. Each claim has its own, which distinguishes the claims of one process.
    lease: i64,
}

/// Parses the value of the leader key.
pub(crate) fn parse_leader(value: &[u8], revision: Revision) -> Option<LeaderEntry> {
    let record: LeaderRecord = serde_json::from_slice(value).ok()?;
    let LeaderRecord { host, incarnation, address, lease: _ } = record;
    Some(LeaderEntry { host, incarnation, address, fence: revision })
}

/// Registers the daemon in the store and renews the lease of the registration. The lease is long
/// because nothing waits for it to end.
pub(crate) async fn maintain_registration(host: Rc<Host>) {
    let mut lease: Option<LeaseId> = None;
    let mut era = host.store.era();
    loop {
        // A restored store may lack the registration, or have given the lease to another daemon.
        let is_restored = era != host.store.era();
        era = host.store.era();
        let renewal = match lease.filter(|_| !is_restored) {
            Some(id) => {
                host.store.renew_lease(id, host.settings.call_timeout).await.map(
                    |reply| match reply {
                        RenewalReply::Renewed(_) => Some(id),
                        RenewalReply::Ended => None,
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

/// Claims the leader key when there is no leader, and renews its lease while this daemon leads.
pub(crate) async fn run_election(host: Rc<Host>) {
    let pause = host.settings.lease / RENEWALS_PER_LEASE;
    let mut lease: Option<LeaseId> = None;
    loop {
        let asked_at = boot_time();
        let is_leading = host.leader_state.borrow().is_some();
        match lease.filter(|_| is_leading) {
            Some(id) => match host.store.renew_lease(id, pause).await {
                Ok(RenewalReply::Renewed(span)) => {
                    if let Some(state) = host.leader_state.borrow_mut().as_mut() {
                        state.leader.renew_lease(asked_at + span);
                    }
                    if should_yield_term(&host, boot_time()) {
                        end_term(&host, "can't reach the engines").await;
                        continue;
                    }
                    // The lease is renewed meanwhile as often as otherwise.
                    let _ = tokio::time::timeout(pause, record_orders(&host)).await;
                }
                Ok(RenewalReply::Ended) => {
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
                if host.leader_entry.borrow().is_none() {
                    tokio::time::sleep(claim_delay(&host)).await;
                }
                lease = claim_leadership(&host).await;
            }
        }
        let next = asked_at + pause;
        tokio::select! {
            () = sleep_until(next) => {}
            () = host.leader_changed.notified() => {
                // Changes of the leader key don't make a renewal due earlier.
                if host.leader_state.borrow().is_some() {
                    sleep_until(next).await;
                }
            }
        }
    }
}

/// Returns how long this daemon delays a claim: daemons with more processor time claim first, and
/// not all at once.
fn claim_delay(host: &Host) -> Duration {
    let missing_share = (1.0 - host.settings.cpu_share / ANY_FLEET_CPU_SHARE).clamp(0.0, 1.0);
    let jitter = Duration::from_millis(rand::random::<u64>() % CLAIM_JITTER_MS);
    let has_low_cpu = host.settings.cpu_share < LOW_CPU_SHARE;
    let low_cpu_delay = if has_low_cpu { LOW_CPU_DELAY } else { Duration::ZERO };
    let cut_delay = if engine_cut(host).is_some() { CUT_DELAY } else { Duration::ZERO };
    CPU_SHARE_DELAY.mul_f64(missing_share) + low_cpu_delay + cut_delay + jitter
}

/// Returns the first service with engines that this daemon can't reach, and since when.
fn engine_cut(host: &Host) -> Option<(base::Name, Time)> {
    let dispatcher = host.dispatcher.borrow();
    let layout = dispatcher.layout()?;
    let has_engines = |name: &base::Name| layout.service(name).is_some_and(|s| s.engine.is_some());
    let mut cut = dispatcher.paths().cut_services().filter(|(name, _)| has_engines(name));
    cut.next().map(|(name, since)| (name.clone(), since))
}

/// Returns since when this daemon can't reach the engines while others can. Another one should lead then,
/// and this one sends no more orders.
pub(crate) fn cut_since(host: &Host, now: Time) -> Option<Time> {
    let (service, since) = engine_cut(host)?;
    let state = host.leader_state.borrow();
    let reached_at = state.as_ref().and_then(|state| state.leader.reached_at(&service))?;
    (now.since(reached_at) < REACHED_SPAN).then_some(since)
}

/// Returns whether this daemon should end its term. The next leader doesn't wait for the orders of this
/// one where targets check fencing tokens, so that the last order must be far enough in the past.
fn should_yield_term(host: &Host, now: Time) -> bool {
    let has_ended_orders = !host.settings.fences_checked
        || host.ordered_at.get().is_none_or(|at| now.since(at) >= host.settings.order_turn);
    has_ended_orders && cut_since(host, now).is_some_and(|since| now.since(since) >= YIELD_SPAN)
}

/// Writes the daemon's registration under a new lease. Returns `None` if the store refuses it.
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

/// Claims the leader key if nobody holds it, or if this host holds it without leading: the key is
/// then from an earlier process, or from a claim of this process whose answer was lost. Returns the
/// lease of the new term.
async fn claim_leadership(host: &Host) -> Option<LeaseId> {
    let current = host.leader_entry.borrow().clone();
    let is_stopping = host.stop_schedule.get().is_some();
    if !host.has_listed.get() || host.leader_state.borrow().is_some() || is_stopping {
        return None;
    }
    let own_host = host.settings.host.clone();
    let expected = match &current {
        None => Revision(0),
        // The term that this daemon has just ended may still be listed.
        Some(_) if engine_cut(host).is_some() => return None,
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
    // If another host sent orders in the previous term, they must be over before this host's first order.
    // A restored store may lack the latest terms.
    let has_heard_leader = host.dispatcher.borrow().last_leader().0 > 0;
    let is_first = term.is_none() && !has_heard_leader;
    let own_record = TermRecord::new(own_host.clone(), host.store.era());
    let former = term.as_ref().and_then(|term| parse_term(&term.value));
    let has_own_orders =
        is_first || former.as_ref().is_some_and(|former| own_record.follows_own_orders(former));
    // Targets that check fencing tokens refuse orders that the previous leader still sends, so that
    // no wait is needed.
    let must_wait = !has_own_orders && !host.settings.fences_checked;
    let record = if must_wait { own_record.waiting() } else { own_record };
    let term_revision = term.map_or(Revision(0), |term| term.revision);
    let txn = StoreTxn::default()
        .expect(LEADER_KEY, expected)
        .expect(TERM_KEY, term_revision)
        .put_leased(LEADER_KEY, value.clone(), lease)
        .put(TERM_KEY, record.to_string().into_bytes());
    let fence = match host.store.commit(&txn).await {
        Ok(TxnReply::Done(revision)) => revision,
        Ok(reply) => {
            LogLine::new("claim_refused").with("reply", format!("{reply:?}")).info();
            return None;
        }
        // The transaction may have been committed, so read the key to find out. One that arrives
        // late fails its conditions.
        Err(error) => {
            LogLine::new("claim_unsure").text("error", &error).info();
            match host.store.read_key(LEADER_KEY).await {
                Ok(Some(item)) if item.value == value => item.revision,
                _ => return None,
            }
        }
    };
    let now = boot_time();
    let order_gap = host.settings.order_turn;
    let orders_from = if must_wait { LeaderTerm::first_order_at(now, order_gap) } else { now };
    let term = LeaderTerm { fence: fence.0, orders_from, until, is_first };
    let config = LeaderConfig::new(own_host).load_window(host.settings.load_window);
    let config = match host.settings.fences_checked {
        true => config,
        false => config.unchecked_fences(wall_ms()),
    };
    let mut leader = Leader::new(config, term);
    if let Some(layout) = host.dispatcher.borrow().layout() {
        leader.apply_layout(now, layout.clone());
    }
    let departures = host.dispatcher.borrow().targets().departures(now, DEPARTURE_WINDOW);
    departures.iter().for_each(|departure| leader.mark_leaving(now, departure));
    LogLine::new("leads")
        .with("fence", fence.0)
        .with("orders_in_ms", orders_from.since(now).as_millis() as u64)
        .info();
    *host.leader_state.borrow_mut() =
        Some(LeaderState { leader, layouts: LayoutCensus::default() });
    *host.leader_entry.borrow_mut() = parse_leader(&value, fence);
    update_leader_targets(host);
    update_registered_hosts(host);
    host.report_due.notify_one();
    host.term_lease.set(Some(lease));
    host.has_recorded_orders.set(!must_wait);
    Some(lease)
}

/// Parses the value of the term key. One that can't be read counts as that of another host.
fn parse_term(value: &[u8]) -> Option<TermRecord> {
    let text = std::str::from_utf8(value).ok()?;
    match text.parse() {
        Ok(record) => Some(record),
        Err(error) => {
            LogLine::new("term_unread").text("error", &error).warn();
            None
        }
    }
}

/// Records that this daemon may send orders, once it no longer waits for those of another host. Until
/// then its own next process would have to wait as well.
async fn record_orders(host: &Host) {
    let is_recorded = host.has_recorded_orders.get();
    let term = host.leader_state.borrow().as_ref().map(|state| state.leader.term());
    let Some(term) = term.filter(|term| !is_recorded && boot_time() >= term.orders_from) else {
        return;
    };
    let fence = Revision(term.fence);
    let record = TermRecord::new(host.settings.host.clone(), host.store.era());
    let txn = StoreTxn::default()
        .expect(LEADER_KEY, fence)
        .expect(TERM_KEY, fence)
        .put(TERM_KEY, record.to_string().into_bytes());
    match host.store.commit(&txn).await {
        // After a conflict the record is another term's, or this one's write took effect unnoticed.
        Ok(TxnReply::Done(_) | TxnReply::Conflict) => host.has_recorded_orders.set(true),
        Ok(reply) => LogLine::new("term_unwritten").with("reply", format!("{reply:?}")).info(),
        Err(error) => LogLine::new("term_unwritten").text("error", &error).info(),
    }
}

/// Ends this daemon's term and revokes its lease, so that the next leader need not wait for it to
/// expire.
pub(crate) async fn end_term(host: &Host, reason: &'static str) {
    let Some(lease) = host.term_lease.take().filter(|_| host.leader_state.borrow().is_some())
    else {
        return;
    };
    resign(host, reason);
    if let Err(error) = host.store.revoke_lease(lease).await {
        LogLine::new("lease_unsure").text("error", &error).info();
    }
}

/// Ends this daemon's term.
pub(crate) fn resign(host: &Host, reason: &'static str) {
    if let Some(state) = host.leader_state.borrow_mut().take() {
        LogLine::new("leads_no_more")
            .with("fence", state.leader.term().fence)
            .with("reason", reason)
            .info();
    }
}

/// Applies the state of the leader key at a revision of the store.
pub(crate) fn apply_leader(host: &Host, revision: Revision, entry: Option<LeaderEntry>) {
    let is_other = entry.as_ref().is_none_or(|e| e.incarnation != host.incarnation);
    let own_term = host.leader_state.borrow().as_ref().map(|state| state.leader.term());
    if own_term.is_some_and(|term| !term.is_covered_by(revision.0)) {
        return;
    }
    if own_term.is_some() && is_other {
        resign(host, "another leader, or none");
    }
    if *host.leader_entry.borrow() != entry {
        LogLine::new("leader_changed")
            .with("leader", entry.as_ref().map(|e| e.host.to_string()).unwrap_or_default())
            .with("fence", entry.as_ref().map_or(0, |e| e.fence.0))
            .info();
        *host.leader_entry.borrow_mut() = entry;
        host.leader_changed.notify_one();
        host.report_due.notify_one();
    }
}

/// Passes the list of registered daemons to the dispatcher and, while this daemon leads, to its
/// leader state.
pub(crate) fn update_registered_hosts(host: &Host) {
    let now = boot_time();
    let registered = host.registered_hosts.borrow();
    host.dispatcher.borrow_mut().set_daemon_count(registered.count(now));
    if let Some(state) = host.leader_state.borrow_mut().as_mut() {
        state.leader.update_seats(now, &registered);
    }
}

/// Parses a registration: the host, and the address at which its daemon answers peers. Returns `None`
/// for other keys and for a value that can't be read.
pub(crate) fn parse_peer(item: &KeyValue) -> Option<(base::Name, SocketAddr)> {
    let host = item.key.strip_prefix(REGISTRATION_PREFIX)?.parse().ok()?;
    Some((host, std::str::from_utf8(&item.value).ok()?.parse().ok()?))
}

/// Parses the host out of the key of a registration.
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
