//! The layout in force, and the task that keeps it current when the leader and the follower of the
//! store can't.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::{Revision, Time};
use daemon::boot_time;
use fleet::{ChangeBatch, ColdSetting, FleetLayout, LayoutVersion, SyncReport};
use futures::stream::{FuturesUnordered, StreamExt};
use lead::{LayoutSender, LayoutVerdict, PeerBook, ValueClass};
use node::{KeyEvent, KeyValue};
use platform::document::{read_layout, LAYOUT_KEY};
use platform::store::WatchReply;
use rand::seq::SliceRandom;

use crate::exchange::log_ignored_cold;
use crate::follow::NO_WAIT;
use crate::host::{sleep_until, Host};
use crate::logging::LogLine;
use crate::orders::{self, LeaderState};
use crate::passing;
use crate::peer;
use crate::store::StoreError;

/// Number of daemons that are asked for a newer layout if the store doesn't answer a check.
const PEERS_PER_CHECK: usize = 4;
/// Number of daemons whose checks go to the store: this many, and one more for so many daemons. The others
/// ask some of them, so that a large layout isn't read by the whole fleet at once.
const MIN_READERS: usize = 3;
const DAEMONS_PER_READER: usize = 32;
const READERS_PER_CHECK: usize = 2;

/// Largest answer with one change of the layout, as a multiple of the layout in force, which is encoded in
/// four thirds of its size and may have grown; and the least value.
const ENCODED_FACTOR: usize = 2;
const MIN_CHANGE_BYTES: usize = 16 << 10;

/// How a daemon got a layout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LayoutSource {
    /// With everything else in the store.
    Snapshot,
    /// With a change, from the daemon's own watch or from the leader.
    Change,
    /// By a read of the value, because the leader left it out or nothing confirmed the former one.
    Read,
    /// From the leader, because the store didn't return the value.
    Leader,
    /// From another daemon, because the store didn't answer a check.
    Peer,
    /// With the leader's reply to a report, as a patch.
    Patch,
}

impl LayoutSource {
    /// Returns the name of the source in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            LayoutSource::Snapshot => "snapshot",
            LayoutSource::Change => "change",
            LayoutSource::Read => "store",
            LayoutSource::Leader => "leader",
            LayoutSource::Peer => "peer",
            LayoutSource::Patch => "patch",
        }
    }

    fn sender(self) -> LayoutSender {
        match self {
            // The leader relays values of the store.
            LayoutSource::Snapshot | LayoutSource::Change | LayoutSource::Read => {
                LayoutSender::Store
            }
            LayoutSource::Leader | LayoutSource::Peer | LayoutSource::Patch => LayoutSender::Daemon,
        }
    }
}

/// Applies a layout if it is newer than the present one, and returns what it was.
pub(crate) fn apply_layout(host: &Host, item: &KeyValue, source: LayoutSource) -> LayoutVerdict {
    let layout = read_layout(&item.value);
    let in_force = host.dispatcher.borrow().layout().map(|layout| layout.version());
    let found = layout.as_ref().ok().map(FleetLayout::version);
    let verdict = LayoutVerdict::of(source.sender(), in_force, found);
    if verdict.is_relayed() && found >= in_force {
        host.layout_history.borrow_mut().replace(item.revision, item.value.clone());
    }
    match layout {
        Ok(layout) if verdict == LayoutVerdict::Newer => put_in_force(host, layout, item, source),
        Ok(_) if verdict.is_read() => {}
        Ok(layout) => LogLine::new("layout_rejected")
            .with("version", layout.version().0)
            .with("source", source.name())
            .info(),
        Err(error) => LogLine::new("layout_unread")
            .text("error", &error)
            .with("revision", item.revision.number())
            .with("source", source.name())
            .with("bytes", item.value.len())
            .warn(),
    }
    verdict
}

fn put_in_force(host: &Host, layout: FleetLayout, item: &KeyValue, source: LayoutSource) {
    let layout = Arc::new(layout);
    for service in layout.services().filter(|s| s.cold == ColdSetting::Malformed) {
        log_ignored_cold("service", &service.name);
    }
    let (now, version) = (boot_time(), layout.version());
    host.dispatcher.borrow_mut().apply_layout(now, layout.clone());
    if let Some(state) = host.leader_state.borrow_mut().as_mut() {
        state.leader.apply_layout(now, layout);
    }
    let mut lag = host.layout_lag.get();
    let behind = lag.behind(now);
    lag.record_in_force(version);
    host.layout_lag.set(lag);
    let age = host.layout_freshness.get().age(now);
    LogLine::new("layout_taken")
        .with("version", version.0)
        .with("revision", item.revision.number())
        .with("source", source.name())
        .with("bytes", item.value.len())
        .with("age_ms", age.map(|age| age.as_millis() as u64))
        .with("behind_ms", behind.map(|behind| behind.as_millis() as u64))
        .with("allowances", team_allowances(host))
        .info();
}

/// Returns whether the layout was read at this revision or a later one.
pub(crate) fn has_read(host: &Host, revision: Revision) -> bool {
    host.layout_history.borrow().revision().is_some_and(|known| known >= revision)
}

/// Records the version that the leader has, and logs from time to time that it isn't in force here.
pub(crate) fn record_known_version(host: &Host, version: LayoutVersion) {
    let (now, in_force) = (boot_time(), host.dispatcher.borrow().version());
    let mut lag = host.layout_lag.get();
    lag.record_known(now, version, in_force);
    if let Some((latest, behind)) = lag.take_report(now) {
        let unread = host.unread_values.borrow().unread_since(ValueClass::Layout);
        LogLine::new("layout_behind")
            .with("version", in_force.0)
            .with("latest", latest.0)
            .with("behind_ms", behind.as_millis() as u64)
            .with("unread_ms", unread.map(|at| now.since(at).as_millis() as u64))
            .warn();
    }
    host.layout_lag.set(lag);
}

/// Records the version that a daemon states in its report to this leader, and logs from time to time
/// which ones have an older one.
pub(crate) fn record_stated_version(host: &Host, state: &mut LeaderState, report: &SyncReport) {
    let (now, in_force) = (boot_time(), host.dispatcher.borrow().version());
    let Some(version) = report.layout else { return };
    state.layouts.record(now, &report.host, version, in_force);
    if let Some(stragglers) = state.layouts.take_report(now, host.settings.apply) {
        LogLine::new("layouts_behind")
            .with("daemons", stragglers.daemons)
            .with("oldest", stragglers.oldest.0)
            .with("latest", in_force.0)
            .with("longest_ms", stragglers.longest.as_millis() as u64)
            .warn();
    }
}

/// Records that the leader left a report unanswered on whose changes the daemon relies.
pub(crate) fn record_silence(host: &Host) {
    let mut freshness = host.layout_freshness.get();
    freshness.record_silence();
    host.layout_freshness.set(freshness);
    host.layout_check_due.notify_one();
}

/// Checks the layout whenever nothing else has confirmed it for too long. It runs beside the follower,
/// whose calls for everything else may take longer than a layout may be late.
pub(crate) async fn keep_current(host: Rc<Host>) {
    loop {
        let due = host.layout_freshness.get().next_check();
        if due.is_none_or(|due| boot_time() < due) {
            let sleep = async {
                match due {
                    Some(due) => sleep_until(due).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = host.layout_check_due.notified() => {}
                () = sleep => {}
            }
            continue;
        }
        let asked_at = boot_time();
        let age = host.layout_freshness.get().age(asked_at).unwrap_or_default();
        let mut steps = CheckSteps::default();
        let result = check_layout(&host, &mut steps).await;
        let now = boot_time();
        let to_millis = |span: Option<Duration>| span.map(|span| span.as_millis() as u64);
        let line = LogLine::new("layout_checked")
            .with("age_ms", age.as_millis() as u64)
            .with("took_ms", now.since(asked_at).as_millis() as u64)
            .with("readers_ms", to_millis(steps.readers))
            .with("changes_ms", to_millis(steps.changes))
            .with("read_ms", to_millis(steps.read))
            .with("peers_ms", to_millis(steps.peers))
            .with("turn_ms", measure_turn().await.as_millis() as u64);
        let mut freshness = host.layout_freshness.get();
        freshness.end_check(now, result.is_err());
        host.layout_freshness.set(freshness);
        match result {
            Ok(is_new) => line.with("is_new", is_new).info(),
            Err(error) => line.text("error", &error).info(),
        }
    }
}

/// How long the steps of a check took; `None` for a step that was not taken.
#[derive(Clone, Copy, Debug, Default)]
struct CheckSteps {
    /// Waiting for daemons that check for the others, and asking them.
    readers: Option<Duration>,
    /// Waiting for changes of the layout.
    changes: Option<Duration>,
    /// Reading the whole layout.
    read: Option<Duration>,
    /// Asking other daemons for it, the last time.
    peers: Option<Duration>,
}

/// Returns how long all other tasks that are ready need before a task is its turn again. Each message
/// that arrives waits for so long.
async fn measure_turn() -> Duration {
    let begun_at = boot_time();
    tokio::task::yield_now().await;
    boot_time().since(begun_at)
}

/// Finds out whether there is a newer layout and applies it. Returns whether there was one.
async fn check_layout(host: &Host, steps: &mut CheckSteps) -> Result<bool, StoreError> {
    let begun_at = boot_time();
    if host.is_receiving_changes.get() {
        sleep_until(begun_at + host.layout_freshness.get().reader_pause()).await;
        return Ok(false);
    }
    let result = match check_at_readers(host).await {
        Some(is_new) => {
            steps.readers = Some(boot_time().since(begun_at));
            Ok(is_new)
        }
        None => {
            host.is_checking_layout.set(true);
            check_at_store(host, steps).await
        }
    };
    host.is_checking_layout.set(false);
    result
}

/// Asks the store whether there is a newer layout and applies it. Returns whether there was one.
async fn check_at_store(host: &Host, steps: &mut CheckSteps) -> Result<bool, StoreError> {
    let is_unread = host.unread_values.borrow().unread_since(ValueClass::Layout).is_some();
    let freshness = host.layout_freshness.get();
    let limit = freshness.change_timeout();
    if !is_unread && !freshness.has_failed() {
        let asked_at = boot_time();
        let read = host.layout_history.borrow().revision().unwrap_or_default();
        let known = freshness.covered().max(read);
        let limits = (limit, max_change_bytes(host));
        let reply = host.store.watch_within(LAYOUT_KEY, known, NO_WAIT, limits).await;
        steps.changes = Some(boot_time().since(asked_at));
        // Any failure, also a history that is gone, leaves the value itself to be read.
        if let Ok(WatchReply::Changes(events, until)) = reply {
            let latest = events.into_iter().rev().find_map(|event| match event {
                KeyEvent::Put(item) if item.key == LAYOUT_KEY => Some(item),
                KeyEvent::Put(_) | KeyEvent::Deleted(..) => None,
            });
            let verdict = latest.map(|item| apply_checked(host, &item, LayoutSource::Read));
            confirm_layout(host, until, asked_at);
            return Ok(verdict == Some(LayoutVerdict::Newer));
        }
    }
    let (asked_at, known) = (boot_time(), host.known_revision.get());
    let has_begun = Cell::new(false);
    let timeout = host.settings.call_timeout;
    let mut read = std::pin::pin!(host.store.read_key_within(LAYOUT_KEY, timeout, &has_begun));
    let mut ask_at = if freshness.has_failed() { asked_at } else { asked_at + limit };
    // Other daemons are asked while the store doesn't begin to answer, and after a read that fails. Their
    // answers would take up the link on which one arrives.
    let item = loop {
        let ask = async {
            sleep_until(ask_at).await;
            if has_begun.get() {
                std::future::pending::<()>().await;
            }
            let begun_at = boot_time();
            ask_peers(host).await;
            boot_time().since(begun_at)
        };
        tokio::select! {
            item = &mut read => break item,
            took = ask => steps.peers = Some(took),
        }
        ask_at = boot_time() + freshness.peer_pause();
    };
    steps.read = Some(boot_time().since(asked_at));
    if item.is_err() && steps.peers.is_none() {
        ask_peers(host).await;
    }
    let verdict = item?.map(|item| apply_checked(host, &item, LayoutSource::Read));
    confirm_layout(host, known, asked_at);
    Ok(verdict == Some(LayoutVerdict::Newer))
}

/// Asks daemons that check for the others whether there is a newer layout, and applies it. Returns whether
/// there was one; `None` if this daemon must check itself.
async fn check_at_readers(host: &Host) -> Option<bool> {
    let freshness = host.layout_freshness.get();
    if freshness.has_failed() {
        return None;
    }
    let (pause, begun_at) = (freshness.reader_pause(), boot_time());
    let (mut is_new, mut is_checked_elsewhere) = (false, false);
    // A reader checks as soon as nobody before it does. The first one waits for the leader, which must not
    // wait for it in turn.
    let is_leading = host.leader_state.borrow().is_some();
    host.is_checking_layout.set(own_rank(host).is_some() && !is_leading);
    while let Some((readers, patience)) = other_readers(host) {
        // A read that is in progress arrives sooner than one that begins now.
        let patience = if is_checked_elsewhere { host.settings.apply } else { patience };
        if boot_time().since(begun_at) >= patience {
            break;
        }
        sleep_until(boot_time() + pause).await;
        is_checked_elsewhere = false;
        let asked_at = boot_time();
        let ask = |address| passing::query(host, address, pause);
        let mut answers: FuturesUnordered<_> = readers.into_iter().map(ask).collect();
        while let Some(answer) = answers.next().await {
            let Some(answer) = answer else { continue };
            is_checked_elsewhere |= answer.is_checking;
            let verdict = answer.item.map(|item| apply_checked(host, &item, LayoutSource::Peer));
            is_new |= verdict == Some(LayoutVerdict::Newer);
            let checked_at = answer.age.map(|age| asked_at - age);
            let is_recent = |at: &Time| host.layout_freshness.get().is_recent(boot_time(), *at);
            let Some(checked_at) = checked_at.filter(is_recent) else { continue };
            confirm_layout(host, answer.covered, checked_at);
            if host.unread_values.borrow().unread_since(ValueClass::Layout).is_none() {
                return Some(is_new);
            }
        }
    }
    None
}

fn count_readers(book: &PeerBook) -> usize {
    MIN_READERS + book.count() / DAEMONS_PER_READER
}

/// Returns the number of readers before this daemon; `None` if it isn't one.
fn own_rank(host: &Host) -> Option<usize> {
    let book = host.peer_book.borrow();
    let readers = book.readers(count_readers(&book));
    readers.iter().position(|(name, _)| **name == host.settings.host)
}

/// Returns daemons that check for this one, and for how long to rely on them; `None` if it must check
/// first. A leader that is heard reads for all; without one, each reader relies on those before it.
fn other_readers(host: &Host) -> Option<(Vec<SocketAddr>, Duration)> {
    let (book, freshness) = (host.peer_book.borrow(), host.layout_freshness.get());
    let is_leading = host.leader_state.borrow().is_some();
    let leader = host.leader_entry.borrow().as_ref().map(|entry| entry.address);
    let leader = leader.filter(|_| !is_leading && !freshness.is_leader_silent());
    let mut readers = book.readers(count_readers(&book));
    let patience = match own_rank(host) {
        Some(rank) => {
            readers.truncate(rank);
            freshness.reader_pause()
        }
        None => {
            readers.shuffle(&mut rand::rng());
            readers.truncate(READERS_PER_CHECK);
            freshness.reader_patience()
        }
    };
    let readers = readers.into_iter().map(|(_, address)| address);
    let asked: Vec<SocketAddr> = leader.into_iter().chain(readers).collect();
    (!asked.is_empty()).then_some((asked, patience))
}

/// Returns the size of an answer with one change of the layout. An answer with several repeats the whole
/// layout for each, so that reading the value is shorter.
pub(crate) fn max_change_bytes(host: &Host) -> usize {
    let known = host.layout_history.borrow().value().map_or(0, <[u8]>::len);
    MIN_CHANGE_BYTES + known * ENCODED_FACTOR
}

/// Asks other daemons for a newer layout. None of their answers confirms that there is no later one.
async fn ask_peers(host: &Host) {
    let own = &host.settings.host;
    let peers = host.peer_book.borrow().draw(own, rand::random(), PEERS_PER_CHECK);
    let mut asked: FuturesUnordered<_> =
        peers.into_iter().map(|address| fetch_later(host, address)).collect();
    while let Some(answer) = asked.next().await {
        let Some(item) = answer else { continue };
        if apply_checked(host, &item, LayoutSource::Peer).is_read() {
            break;
        }
    }
}

/// Gets a later layout from another daemon, if that has one.
async fn fetch_later(host: &Host, address: SocketAddr) -> Option<KeyValue> {
    let limit = host.layout_freshness.get().peer_timeout();
    match passing::query(host, address, limit).await {
        Some(answer) => answer.item,
        // It may be of an earlier build.
        None => {
            let known = host.layout_history.borrow().revision()?;
            let revision = Revision(known.0.saturating_add(1));
            let value = peer::fetch_layout_from(host, address, revision, limit).await?;
            Some(KeyValue { key: LAYOUT_KEY.to_owned(), value, revision })
        }
    }
}

/// Gets a newer layout from a daemon that is known to have one.
pub(crate) async fn fetch_from(host: Rc<Host>, address: SocketAddr) {
    if host.is_fetching_layout.replace(true) {
        return;
    }
    if let Some(item) = fetch_later(&host, address).await {
        apply_checked(&host, &item, LayoutSource::Peer);
    }
    host.is_fetching_layout.set(false);
}

/// Applies a layout that a check has found, and returns what it was.
pub(crate) fn apply_checked(host: &Host, item: &KeyValue, source: LayoutSource) -> LayoutVerdict {
    let verdict = apply_layout(host, item, source);
    if verdict.is_read() {
        host.unread_values.borrow_mut().resolve(LAYOUT_KEY, item.revision);
    }
    if verdict == LayoutVerdict::Newer {
        orders::update_leader_targets(host);
        host.state_changed.notify_waiters();
    }
    verdict
}

/// Records that the daemon knows all changes of the layout up to a revision, which the store had at the
/// time `at` or later.
pub(crate) fn confirm_layout(host: &Host, until: Revision, at: Time) {
    let mut freshness = host.layout_freshness.get();
    freshness.cover(until);
    host.layout_freshness.set(freshness);
    confirm_at(host, at);
}

/// Records that the daemon knows all changes of the store after one revision up to another, which the
/// store had at the time `at` or later.
pub(crate) fn extend_layout(host: &Host, (after, until): (Revision, Revision), at: Time) {
    let mut freshness = host.layout_freshness.get();
    let is_complete = freshness.extend(after, until);
    host.layout_freshness.set(freshness);
    if is_complete {
        confirm_at(host, at);
    }
}

/// Returns whether the layout in force is the latest one up to the end of a batch that this leader relays.
/// It may have left out changes before its term, as the other daemons have.
pub(crate) fn is_covered(host: &Host, batch: Option<&ChangeBatch>) -> bool {
    let is_read = host.unread_values.borrow().unread_since(ValueClass::Layout).is_none();
    let covered = host.layout_freshness.get().covered();
    is_read && batch.is_none_or(|batch| covered >= batch.until)
}

fn confirm_at(host: &Host, at: Time) {
    // A layout that was left out of the changes and not read yet is not in force.
    if host.unread_values.borrow().unread_since(ValueClass::Layout).is_none() {
        let mut freshness = host.layout_freshness.get();
        let is_first = freshness.next_check().is_none();
        freshness.confirm(at);
        host.layout_freshness.set(freshness);
        if is_first {
            host.layout_check_due.notify_one();
        }
    }
}

/// Returns the teams' token allowances for the log, as rate per second and burst by team.
fn team_allowances(host: &Host) -> serde_json::Value {
    let dispatcher = host.dispatcher.borrow();
    let teams = dispatcher.layout().into_iter().flat_map(|layout| layout.teams());
    let limited = teams.filter_map(|team| {
        let allowance = team.allowance?;
        Some((team.name.to_string(), serde_json::json!([allowance.per_second, allowance.burst])))
    });
    serde_json::Value::Object(limited.collect())
}
