//! Follows the store: the configuration, the targets, the leader and the registered daemons.
//! Changes come from the daemon's own watch, or from the leader, which relays them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use base::{DomainName, Revision, TargetName, Time};
use daemon::boot_time;
use evacuate::{EvacuationChanges, EvacuationTable};
use fleet::{StoreChange, TargetEntry, TargetHoldings};
use lead::{LayoutVerdict, ReadPlan, StoreRead, ValueClass, ValueRead};
use limit::ColdNotice;
use node::{KeyEvent, KeyValue};
use platform::document::{
    read_evacuation, read_target, EVACUATION_PREFIX, LAYOUT_KEY, TARGET_PREFIX,
};
use platform::store::WatchReply;

use crate::election::{self, DAEMON_PREFIX, LEADER_KEY};
use crate::evidence::{self, EVIDENCE_PREFIX};
use crate::exchange::{log_cold_changes, log_ignored_cold};
use crate::host::{sleep_until, Host};
use crate::layout::{self, apply_layout, confirm_layout, extend_layout, LayoutSource};
use crate::logging::LogLine;
use crate::origins::{self, MIX_PREFIX, RECORD_PREFIX};
use crate::passing;
use crate::store::StoreError;
use crate::{orders, peer};

/// First and longest pause after a failed call; the pause doubles with each further failure.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(600));
/// Least time between two answers of a watch while there is no leader. It is short, so that daemons
/// learn of a new leader before they claim as well.
const NO_LEADER_PAUSE: Duration = Duration::from_millis(100);
/// The store had an outage if nothing was received from it for longer than this.
const OUTAGE_AFTER: Duration = Duration::from_millis(1_500);
/// Wait of the leader's watch. Short answers let the other daemons distinguish an unreachable store
/// from one without changes. Every watch after a failed call has the same wait, to notice soon that
/// the store is back.
const SHORT_WAIT: Duration = Duration::from_millis(200);
/// A watch is answered or fails at most this much later than the sum of its wait, its pause and its
/// time-out.
const FRESHNESS_SLACK: Duration = Duration::from_millis(1_000);
/// Wait of a watch that only reads changes that have already happened.
pub(crate) const NO_WAIT: Duration = Duration::from_millis(1);
/// Least time between two answers of the leader's watch. It is short because all other daemons
/// depend on it.
const LEADER_PAUSE: Duration = Duration::from_millis(300);
/// How long nothing of a layout may arrive from the store before the daemon asks the leader for it.
const LAYOUT_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Prefix of all keys that are followed.
const ALL_PREFIX: &str = "";

/// Size of a layout from which daemons that don't lead watch the other keys by themselves.
const LARGE_LAYOUT_BYTES: usize = 64 << 10;
/// Largest answer of the watch of all keys, in which each change of the layout repeats it. A leader's may be
/// as large as one change.
const MAX_CHANGES_BYTES: usize = 256 << 10;

/// Changes of the store.
struct FollowedReply {
    reply: WatchReply,
    /// Whether those of the layout are among them.
    has_layout: bool,
}

/// Marks that an answer arrives until the call ends, also one that is given up.
struct ReceivingMark<'a>(&'a Cell<bool>);

impl ReceivingMark<'_> {
    fn new(has_begun: &Cell<bool>) -> ReceivingMark<'_> {
        has_begun.set(false);
        ReceivingMark(has_begun)
    }
}

impl Drop for ReceivingMark<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// Watches the store for changes of all keys. Where each change of the layout would be sent to every daemon
/// at once, those of the layout are left out: its own check gets it at less cost. A leader, which has to
/// relay it, reads the latest one instead of several.
async fn watch_store(
    host: &Host,
    after: Revision,
    wait: Duration,
) -> Result<FollowedReply, StoreError> {
    let is_leading = host.leader_state.borrow().is_some();
    let has_large_layout =
        host.layout_history.borrow().value().is_some_and(|value| value.len() >= LARGE_LAYOUT_BYTES);
    if is_leading || !has_large_layout {
        let one_change = if is_leading { layout::max_change_bytes(host) } else { 0 };
        let limits = (host.store.watch_limit(wait), MAX_CHANGES_BYTES.max(one_change));
        let has_begun = ReceivingMark::new(&host.is_receiving_changes);
        let reply = host.store.watch_noting(ALL_PREFIX, after, wait, limits, has_begun.0).await;
        drop(has_begun);
        match reply {
            Err(StoreError::TooLong) => {}
            reply => return Ok(FollowedReply { reply: reply?, has_layout: true }),
        }
    }
    // The other keys are read once the targets' changes are, so a change of the leader must not wait long.
    let wait = if is_leading { NO_WAIT } else { wait.min(SHORT_WAIT) };
    let mut reply = host.store.watch(TARGET_PREFIX, after, wait).await?;
    for prefix in [DAEMON_PREFIX, EVACUATION_PREFIX] {
        reply = merge_replies(reply, host.store.watch(prefix, after, NO_WAIT).await?);
    }
    if let (true, WatchReply::Changes(events, _)) = (is_leading, &mut reply) {
        let limit = host.settings.call_timeout;
        let has_begun = ReceivingMark::new(&host.is_receiving_changes);
        let layout = host.store.read_key_within(LAYOUT_KEY, limit, has_begun.0).await?;
        events.extend(layout.filter(|item| item.revision > after).map(KeyEvent::Put));
    }
    Ok(FollowedReply { reply, has_layout: is_leading })
}

/// Joins the changes of keys with two prefixes, up to the revision to which both are known. Later ones come
/// with the next watch.
fn merge_replies(first: WatchReply, second: WatchReply) -> WatchReply {
    match (first, second) {
        (WatchReply::Changes(mut events, until), WatchReply::Changes(more, more_until)) => {
            let until = until.min(more_until);
            events.extend(more);
            events.retain(|event| revision_of(event) <= until);
            events.sort_by_key(revision_of);
            WatchReply::Changes(events, until)
        }
        (WatchReply::Compacted, _) | (_, WatchReply::Compacted) => WatchReply::Compacted,
    }
}

/// State of a daemon that follows the store.
struct StoreFollower {
    host: Rc<Host>,
    /// Revision up to which all changes have been applied.
    revision: Revision,
    /// When the store or the leader last answered.
    last_contact: Time,
    /// Until this time after an outage of the store, targets that are deleted still count as
    /// present.
    grace_until: Time,
    is_store_down: bool,
    /// Whether the daemon relies on changes that the leader relays.
    is_relayed: bool,
    /// Whether the next watch only reads the changes since the last relayed batch, without waiting.
    is_behind: bool,
    /// Decides whether to read the complete state or only changes.
    plan: ReadPlan,
}

/// Follows the store for as long as the daemon runs.
pub(crate) async fn follow(host: Rc<Host>) {
    let now = boot_time();
    let mut follower = StoreFollower {
        host,
        revision: Revision(0),
        last_contact: now,
        grace_until: now,
        is_store_down: false,
        is_relayed: false,
        is_behind: false,
        plan: ReadPlan::new(now),
    };
    let mut pause = RETRY_PAUSE.0;
    loop {
        let relay_fresh_until = match follower.plan.has_snapshot() {
            true => follower.relay_fresh_until(),
            false => None,
        };
        let step = match (relay_fresh_until, follower.plan.next(boot_time())) {
            (_, StoreRead::Changes) if follower.has_due_read() => {
                follower.read_unread_value().await;
                Ok(())
            }
            (Some(until), _) => {
                follower.follow_leader(until).await;
                Ok(())
            }
            (None, StoreRead::Snapshot) => follower.list_all().await,
            (None, StoreRead::Changes) => follower.watch_changes().await,
        };
        match step {
            Ok(()) => pause = RETRY_PAUSE.0,
            Err(error) => {
                follower.record_failure(&error);
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(RETRY_PAUSE.1);
            }
        }
        follower.expire_targets();
        follower.expire_evacuations();
    }
}

impl StoreFollower {
    /// Reads the complete state of the store.
    async fn list_all(&mut self) -> Result<(), StoreError> {
        let host = self.host.clone();
        let asked_at = boot_time();
        let (items, revision) = host.store.range_before(RECORD_PREFIX).await?;
        let now = boot_time();
        let is_restored = self.revision.0 > 0 && revision.era() > self.revision.era();
        // A restored store lacks the targets that were added since its copy, until they write again.
        let has_grace = is_restored || self.had_outage(now);
        let grace = has_grace.then(|| host.dispatcher.borrow().return_grace());
        if let Some(grace) = grace {
            self.grace_until = now + grace;
        }
        self.revision = revision;
        host.known_revision.set(self.revision);
        let with_prefix =
            |prefix| items.iter().filter(move |item: &&KeyValue| item.key.starts_with(prefix));
        if let Some(item) = items.iter().find(|item| item.key == LAYOUT_KEY) {
            apply_layout(&host, item, LayoutSource::Snapshot);
        }
        let entries: Vec<_> = with_prefix(TARGET_PREFIX).filter_map(parse_entry).collect();
        entries.iter().for_each(|entry| log_bad_cold(&host, entry));
        host.dispatcher.borrow_mut().targets_mut().replace_entries(now, entries, grace);
        let evacuated: Vec<(DomainName, Revision)> = with_prefix(EVACUATION_PREFIX)
            .filter_map(|item| Some((evacuated_domain(&item.key)?, item.revision)))
            .collect();
        // Operators' entries don't lapse, so only a restored store may lack them without a
        // withdrawal.
        let evacuation_grace = grace.filter(|_| is_restored);
        self.change_evacuations(now, now.since(asked_at), |table| {
            table.replace(now, revision, &evacuated, evacuation_grace)
        });
        host.has_listed.set(true);
        host.unread_values.borrow_mut().clear();
        confirm_layout(&host, revision, asked_at);
        host.confirm_changes(asked_at);
        self.plan.record_snapshot(now);
        self.mark_list_fresh(asked_at);
        let hosts =
            with_prefix(DAEMON_PREFIX).filter_map(|item| election::parse_registration(&item.key));
        host.registered_hosts.borrow_mut().replace_seats(now, hosts);
        let peers = with_prefix(DAEMON_PREFIX).filter_map(election::parse_peer);
        host.peer_book.borrow_mut().replace(peers);
        election::update_registered_hosts(&host);
        if is_restored {
            host.origin_book.borrow_mut().forget_records();
        }
        origins::apply_mixes(&host, with_prefix(MIX_PREFIX));
        let records = with_prefix(EVIDENCE_PREFIX);
        evidence::apply_records(&host, records.map(|item| (item.key.as_str(), &item.value[..])));
        let leader = with_prefix(DAEMON_PREFIX).find(|item| item.key == LEADER_KEY);
        let leader = leader.and_then(|item| election::parse_leader(&item.value, item.revision));
        election::apply_leader(&host, revision, leader);
        host.leader_changed.notify_one();
        self.record_contact();
        LogLine::new("listed")
            .with("revision", self.revision.number())
            .with("era", self.revision.era().0)
            .with("targets", with_prefix(TARGET_PREFIX).count())
            .with("after_outage", grace.is_some())
            .info();
        self.notify_changed();
        Ok(())
    }

    /// Returns until when the changes that the leader relays are fresh enough. Returns `None` if
    /// they are not, or if this daemon leads.
    fn relay_fresh_until(&mut self) -> Option<Time> {
        let view = self.host.relay_view.get();
        let is_leading = self.host.leader_state.borrow().is_some();
        let until = if is_leading { None } else { view.fresh_until(boot_time()) };
        if let Some(until) = until {
            self.host.extend_list_validity(until);
        }
        if self.is_relayed != until.is_some() {
            self.is_relayed = until.is_some();
            self.is_behind = !self.is_relayed;
            let source = if self.is_relayed { "leader" } else { "store" };
            LogLine::new("follows")
                .with("source", source)
                .with("revision", self.revision.number())
                .info();
        }
        until
    }

    /// Waits for changes that the leader relays and applies them.
    async fn follow_leader(&mut self, until: Time) {
        let host = self.host.clone();
        let next_read = host.unread_values.borrow().next_at();
        let due = next_read.map_or(until, |next_read| until.min(next_read));
        tokio::select! {
            () = host.relay_changed.notified() => {}
            () = sleep_until(due) => {}
        }
        self.apply_relayed();
    }

    /// Applies the batches that the leader has relayed.
    fn apply_relayed(&mut self) {
        let batches = std::mem::take(&mut *self.host.relayed_batches.borrow_mut());
        let now = boot_time();
        // A leader that can't reach the store relays old state, which must not count as fresh.
        let fresh_until = self.host.relay_view.get().fresh_until(now);
        for relayed in batches {
            let read_at = relayed.read_at();
            let batch = relayed.batch;
            let (until, batch_age_ms) = (batch.until, batch.age_ms);
            let known = self.revision;
            // A batch that begins after this revision leaves a gap; the next report asks for it
            // again.
            if let Some(changes) = batch.since(self.revision) {
                let age = Duration::from_millis(batch_age_ms);
                self.apply_changes(
                    now,
                    age,
                    changes.into_iter().map(FollowedChange::from).collect(),
                    until,
                );
                // A leader with the same layout also knows the changes that this daemon has left out.
                if relayed.version == Some(self.host.dispatcher.borrow().version()) {
                    confirm_layout(&self.host, until, read_at);
                } else {
                    extend_layout(&self.host, (known, until), read_at);
                }
                self.host.confirm_changes(read_at);
            }
        }
        if let Some(until) = fresh_until {
            self.record_contact();
            self.host.extend_list_validity(until);
        }
    }

    /// Returns whether to read a value now that the leader left out.
    fn has_due_read(&self) -> bool {
        self.host.unread_values.borrow().next_at().is_some_and(|at| boot_time() >= at)
    }

    /// Reads one value that the leader left out, unless a more urgent one becomes due meanwhile.
    async fn read_unread_value(&mut self) {
        let host = self.host.clone();
        let Some(read) = host.unread_values.borrow_mut().begin_read(boot_time()) else { return };
        let is_layout = read.class == ValueClass::Layout;
        let (asked_at, known) = (boot_time(), self.revision);
        let limit = if is_layout { LAYOUT_READ_TIMEOUT } else { host.settings.call_timeout };
        let has_begun = Cell::new(false);
        let call = async {
            if is_layout {
                // The leader sends the change only, the store the whole value.
                if let Some(item) = passing::fetch_from_leader(&host, read.revision).await {
                    return Ok((Some(item), LayoutSource::Leader));
                }
            }
            let item = host.store.read_key_within(&read.key, limit, &has_begun).await?;
            Ok::<_, StoreError>((item, LayoutSource::Read))
        };
        let mut call = std::pin::pin!(call);
        let item = loop {
            tokio::select! {
                item = &mut call => break item,
                // The store may be unreachable for this daemon only, so relayed changes are still
                // applied.
                () = host.relay_changed.notified() => self.apply_relayed(),
            }
            let unread = host.unread_values.borrow();
            // A value may have arrived by another way meanwhile.
            let is_needed = unread.unread_since(read.class).is_some();
            if !is_needed || unread.is_overtaken(boot_time(), &read) {
                return;
            }
        };
        match item {
            Ok((item, source)) => self.apply_read(&read, (known, asked_at), item, source),
            Err(error) => {
                let key = read.key.as_str();
                LogLine::new("value_unread").with("key", key).text("error", &error).info();
                host.unread_values.borrow_mut().fail_read(boot_time(), &read);
                let relayed = match is_layout {
                    true => peer::fetch_layout(&host, read.revision).await,
                    false => None,
                };
                if let Some(value) = relayed {
                    let key = read.key.clone();
                    let item = KeyValue { key, value, revision: read.revision };
                    self.apply_read(&read, (known, asked_at), Some(item), LayoutSource::Leader);
                }
            }
        }
    }

    /// Applies a value that the leader left out. It was asked for when all changes up to the revision
    /// `known` had been applied.
    fn apply_read(
        &mut self,
        read: &ValueRead,
        (known, asked_at): (Revision, Time),
        item: Option<KeyValue>,
        source: LayoutSource,
    ) {
        let now = boot_time();
        let found = item.as_ref().map(|item| item.revision);
        if read.class != ValueClass::Evidence {
            LogLine::new("value_read")
                .with("key", read.key.as_str())
                .with("revision", found.map(Revision::number))
                .with("noted_ms_ago", now.since(read.noted_at).as_millis() as u64)
                .with("source", source.name())
                .info();
        }
        let layout = item.as_ref().filter(|_| read.class == ValueClass::Layout);
        let verdict = layout.map(|item| apply_layout(&self.host, item, source));
        if verdict.is_some_and(|verdict| !verdict.is_read()) {
            return;
        }
        self.host.unread_values.borrow_mut().finish_read(now, read, found);
        let is_relevant = match (verdict, item) {
            (Some(verdict), _) => verdict == LayoutVerdict::Newer,
            (None, Some(item)) => self.apply_event(now, KeyEvent::Put(item)),
            (None, None) => false,
        };
        if is_relevant {
            self.notify_changed();
        }
        // The leader has at least the revision that was noted, but maybe not the latest one.
        if read.class == ValueClass::Layout && source == LayoutSource::Read {
            confirm_layout(&self.host, known, asked_at);
        }
    }

    /// Marks the list of targets as fresh after the daemon's own read of the store, which shows its
    /// state at `read_at` or later.
    fn mark_list_fresh(&mut self, read_at: Time) {
        self.is_behind = false;
        let settings = &self.host.settings;
        let span = settings.watch_wait + settings.watch_pause + settings.call_timeout;
        let mut validity = self.host.list_validity.get();
        let read_until = boot_time() + span + FRESHNESS_SLACK;
        validity.set_read_until(match self.host.settings.max_list_age() {
            Some(max_age) => read_until.min(read_at + max_age),
            None => read_until,
        });
        self.host.list_validity.set(validity);
        self.host.list_refreshed.notify_waiters();
    }

    /// Watches the store for changes and applies them.
    async fn watch_changes(&mut self) -> Result<(), StoreError> {
        let host = self.host.clone();
        let is_leading = host.leader_state.borrow().is_some();
        let (wait, pause) = match is_leading {
            true => (SHORT_WAIT, LEADER_PAUSE),
            false if self.is_behind => (NO_WAIT, host.settings.watch_pause),
            false if self.is_store_down => (SHORT_WAIT, host.settings.watch_pause),
            false => (host.settings.watch_wait, host.settings.watch_pause),
        };
        let (asked_at, after) = (boot_time(), self.revision);
        let mut call = std::pin::pin!(watch_store(&host, after, wait));
        let reply = loop {
            tokio::select! {
                reply = &mut call => break reply?,
                // The store may be unreachable for this daemon only, so relayed changes are still
                // applied.
                () = host.relay_changed.notified() => self.apply_relayed(),
            }
            // The reply may lack a value that was noted meanwhile.
            if self.has_due_read() {
                return Ok(());
            }
        };
        let FollowedReply { reply, has_layout } = reply;
        let (events, revision) = match reply {
            WatchReply::Changes(events, revision) => (events, revision),
            WatchReply::Compacted => {
                LogLine::new("history_gone").with("revision", self.revision.number()).info();
                self.plan.discard_snapshot();
                return Ok(());
            }
        };
        // A term may have begun while those of the layout were left out. Others must not count them as known.
        if let Some(state) = host.leader_state.borrow_mut().as_mut().filter(|_| has_layout) {
            // Daemons read single records of streams when they need them.
            let relayed = events.iter().filter(|event| !key_of(event).starts_with(RECORD_PREFIX));
            let changes = relayed.map(|event| self.to_store_change(event)).collect();
            state.leader.record_changes(asked_at, after, changes, revision);
        }
        let now = boot_time();
        let has_events = !events.is_empty();
        let changes = events.into_iter().map(FollowedChange::Event).collect();
        self.apply_changes(now, Duration::ZERO, changes, revision);
        self.record_contact();
        // The store answers a watch without changes at the end of its wait.
        let has_waited = !has_events && now.since(asked_at) >= wait;
        let read_at = if has_waited { asked_at + wait } else { asked_at };
        if has_layout {
            extend_layout(&host, (after, revision), read_at);
        }
        host.confirm_changes(read_at);
        self.mark_list_fresh(read_at);
        if has_events {
            let has_no_leader = host.leader_entry.borrow().is_none();
            sleep_until(now + if has_no_leader { NO_LEADER_PAUSE.min(pause) } else { pause }).await;
        }
        Ok(())
    }

    /// Applies all changes up to the revision `until`, which were read from the store `age` ago.
    fn apply_changes(
        &mut self,
        now: Time,
        age: Duration,
        changes: Vec<FollowedChange>,
        until: Revision,
    ) {
        if self.had_outage(now) {
            self.grace_until = now + self.host.dispatcher.borrow().return_grace();
        }
        let mut is_relevant = false;
        // Relayed changes that were applied meanwhile may be newer.
        let applied = self.revision;
        let unread = self.host.unread_values.borrow();
        // A change that was applied without its value is new if it comes with the value.
        let is_new = |change: &FollowedChange| {
            change.revision() > applied
                || matches!(change, FollowedChange::Event(event)
                    if unread.is_unread(key_of(event), revision_of(event)))
        };
        let (new, known): (Vec<_>, Vec<_>) = changes.into_iter().partition(is_new);
        drop(unread);
        if !known.is_empty() {
            LogLine::new("changes_known")
                .with("changes", known.len())
                .with("until", until.number())
                .with("revision", applied.number())
                .info();
        }
        for change in new {
            is_relevant |= match change {
                change if change.key().starts_with(EVACUATION_PREFIX) => {
                    self.apply_evacuation(now, age, &change)
                }
                FollowedChange::Event(event) => {
                    let (key, revision) = (key_of(&event), revision_of(&event));
                    self.host.unread_values.borrow_mut().resolve(key, revision);
                    self.apply_event(now, event)
                }
                FollowedChange::Omitted(key, revision)
                    if key == LAYOUT_KEY && layout::has_read(&self.host, revision) =>
                {
                    false
                }
                FollowedChange::Omitted(key, revision) => {
                    let class = class_of(&key);
                    self.host.unread_values.borrow_mut().note(now, class, &key, revision);
                    if class == ValueClass::Layout {
                        LogLine::new("layout_noted").with("revision", revision.number()).info();
                    }
                    false
                }
                FollowedChange::Holdings(key, _, holdings) => {
                    self.apply_holdings(now, &key, holdings)
                }
            };
        }
        self.revision = self.revision.max(until);
        self.host.known_revision.set(self.revision);
        if is_relevant {
            self.notify_changed();
        }
    }

    /// Applies one change. Returns whether requests or the leader's plan depend on it.
    fn apply_event(&mut self, now: Time, event: KeyEvent) -> bool {
        let key = key_of(&event).to_owned();
        match event {
            KeyEvent::Put(item) if key == LAYOUT_KEY => {
                apply_layout(&self.host, &item, LayoutSource::Change) == LayoutVerdict::Newer
            }
            event if key.starts_with(TARGET_PREFIX) => self.apply_target(now, &key, event),
            event if key.starts_with(DAEMON_PREFIX) => self.apply_daemon_key(&key, event),
            _ => false,
        }
    }

    fn apply_target(&mut self, now: Time, key: &str, event: KeyEvent) -> bool {
        let Some(name) = target_name(key) else { return false };
        let entry = match &event {
            KeyEvent::Put(item) => parse_entry(item),
            KeyEvent::Deleted(..) => None,
        };
        let is_deleted = matches!(event, KeyEvent::Deleted(..));
        entry.iter().for_each(|entry| log_bad_cold(&self.host, entry));
        let mut dispatcher = self.host.dispatcher.borrow_mut();
        match (entry, event) {
            (Some(entry), _) => {
                let phase = entry.phase;
                let former = dispatcher.targets().entry(&name).map(|entry| entry.phase);
                let has_changed = dispatcher.targets_mut().apply_entry(now, entry);
                if former != Some(phase) {
                    LogLine::new("target_listed")
                        .text("target", &name)
                        .with("phase", format!("{phase:?}"))
                        .info();
                }
                has_changed
            }
            (None, KeyEvent::Deleted(..)) if now < self.grace_until => {
                let grace = self.grace_until.since(now);
                dispatcher.targets_mut().mark_missing(now, &name, grace);
                LogLine::new("target_lapsed").text("target", &name).info();
                true
            }
            (None, _) => {
                let address = dispatcher.targets().entry(&name).map(|entry| entry.address);
                if let Some(address) = address {
                    self.host.conn_pool.borrow_mut().remove_all(address);
                    self.host.report_conn_pool.borrow_mut().remove_all(address);
                }
                LogLine::new("target_gone").text("target", &name).info();
                match is_deleted {
                    true => dispatcher.targets_mut().remove_target(now, &name),
                    false => dispatcher.targets_mut().forget_target(&name),
                }
            }
        }
    }

    /// Applies a change of a target's holdings. For an entry that is already known, the leader
    /// relays only these.
    fn apply_holdings(&mut self, now: Time, key: &str, holdings: TargetHoldings) -> bool {
        let host = self.host.clone();
        let mut dispatcher = host.dispatcher.borrow_mut();
        let Some(entry) =
            target_name(key).and_then(|name| dispatcher.targets().entry(&name).cloned())
        else {
            LogLine::new("target_missing").text("key", &key).info();
            self.plan.discard_snapshot();
            return false;
        };
        dispatcher.targets_mut().apply_entry(now, entry.with_holdings(holdings))
    }

    /// Converts a change into the form in which the leader relays it.
    fn to_store_change(&self, event: &KeyEvent) -> StoreChange {
        let (key, revision) = (key_of(event).to_owned(), revision_of(event));
        let KeyEvent::Put(item) = event else {
            return StoreChange { key, revision, value: None, holdings: None, is_omitted: false };
        };
        let dispatcher = self.host.dispatcher.borrow();
        let previous = target_name(&key).and_then(|name| dispatcher.targets().listed_entry(&name));
        let holdings = previous.and_then(|previous| previous.new_holdings(&parse_entry(item)?));
        let value = Some(item.value.clone());
        StoreChange { key, revision, value, holdings, is_omitted: false }
    }

    fn apply_daemon_key(&self, key: &str, event: KeyEvent) -> bool {
        if key == LEADER_KEY {
            let revision = revision_of(&event);
            let entry = match &event {
                KeyEvent::Put(item) => election::parse_leader(&item.value, item.revision),
                KeyEvent::Deleted(..) => None,
            };
            election::apply_leader(&self.host, revision, entry);
            return false;
        }
        if key.starts_with(MIX_PREFIX) {
            let item = match &event {
                KeyEvent::Put(item) => Some(item),
                KeyEvent::Deleted(..) => None,
            };
            origins::apply_mix(&self.host, key, item, revision_of(&event));
            return true;
        }
        if key.starts_with(EVIDENCE_PREFIX) {
            // Evidence ends by its age, not with its record.
            if let KeyEvent::Put(item) = event {
                evidence::apply_record(&self.host, key, &item.value, false);
            }
            return false;
        }
        let Some(registered_host) = election::parse_registration(key) else { return false };
        match event {
            KeyEvent::Put(item) => {
                if let Some((name, address)) = election::parse_peer(&item) {
                    self.host.peer_book.borrow_mut().insert(name, address);
                }
                self.host.registered_hosts.borrow_mut().add_seat(registered_host);
            }
            KeyEvent::Deleted(..) => {
                self.host.peer_book.borrow_mut().remove(&registered_host);
                self.host.registered_hosts.borrow_mut().unlisted(boot_time(), registered_host)
            }
        }
        election::update_registered_hosts(&self.host);
        false
    }

    /// Notifies everything that depends on the layout or the targets.
    fn notify_changed(&self) {
        orders::update_leader_targets(&self.host);
        self.host.state_changed.notify_waiters();
    }

    /// Applies a change to an operator's evacuation. Its value is of no importance, so the leader may
    /// have left it out. Returns whether an evacuation has begun or ended.
    fn apply_evacuation(&mut self, now: Time, age: Duration, change: &FollowedChange) -> bool {
        let Some(domain) = evacuated_domain(change.key()) else { return false };
        let revision = change.revision();
        self.change_evacuations(now, age, |table| match change {
            FollowedChange::Event(KeyEvent::Deleted(..)) => table.delete(&domain, revision),
            _ => table.put(now, &domain, revision),
        })
    }

    /// Changes the evacuated domains by information that is `age` old. Returns whether an evacuation
    /// has begun or ended.
    fn change_evacuations(
        &self,
        now: Time,
        age: Duration,
        change: impl FnOnce(&mut EvacuationTable) -> EvacuationChanges,
    ) -> bool {
        let mut dispatcher = self.host.dispatcher.borrow_mut();
        let changes = dispatcher.targets_mut().change_evacuations(now, change);
        let age_ms = age.as_millis() as u64;
        for begun in &changes.begun {
            LogLine::new("domain_evacuated")
                .text("domain", &begun.domain)
                .with("revision", begun.revision.number())
                .with("age_ms", age_ms)
                .info();
            if !dispatcher.targets().has_domain(&begun.domain) {
                LogLine::new("evacuation_unknown_domain").text("domain", &begun.domain).warn();
            }
        }
        for ended in &changes.ended {
            LogLine::new("domain_restored")
                .text("domain", &ended.domain)
                .with("revision", ended.revision.number())
                .with("age_ms", age_ms)
                .with("lasted_ms", now.since(ended.since).as_millis() as u64)
                .info();
        }
        !changes.is_empty()
    }

    /// Ends the evacuations that a restored store lacked and whose grace is over.
    fn expire_evacuations(&mut self) {
        let now = boot_time();
        let next_end = self.host.dispatcher.borrow().targets().evacuations().next_end();
        let is_due = next_end.is_some_and(|at| now >= at);
        if is_due && self.change_evacuations(now, Duration::ZERO, |table| table.expire(now)) {
            self.notify_changed();
        }
    }

    /// Removes targets that did not return after an outage of the store.
    fn expire_targets(&mut self) {
        log_cold_changes(&self.host);
        let gone = self.host.dispatcher.borrow_mut().targets_mut().expire(boot_time());
        if !gone.is_empty() {
            for name in &gone {
                LogLine::new("target_gone").text("target", name).with("reason", "not back").info();
            }
            self.notify_changed();
        }
    }

    fn had_outage(&self, now: Time) -> bool {
        let watch_cycle = self.host.settings.watch_wait + self.host.settings.watch_pause;
        self.is_store_down && now.since(self.last_contact) > OUTAGE_AFTER.max(watch_cycle)
    }

    fn record_contact(&mut self) {
        self.last_contact = boot_time();
        self.plan.record_changes(self.last_contact);
        if std::mem::take(&mut self.is_store_down) {
            LogLine::new("store_regained").info();
        }
    }

    fn record_failure(&mut self, error: &StoreError) {
        self.plan.record_failure();
        // While the store is unreachable, the last list stays valid.
        let mut validity = self.host.list_validity.get();
        validity.clear_limit();
        self.host.list_validity.set(validity);
        self.host.list_refreshed.notify_waiters();
        if !self.is_store_down {
            self.is_store_down = true;
            let age = boot_time().since(self.last_contact).as_millis();
            LogLine::new("store_lost")
                .text("error", error)
                .with("heard_ms_ago", u64::try_from(age).unwrap_or(u64::MAX))
                .info();
        }
    }
}

fn revision_of(event: &KeyEvent) -> Revision {
    match event {
        KeyEvent::Put(item) => item.revision,
        KeyEvent::Deleted(_, revision) => *revision,
    }
}

fn key_of(event: &KeyEvent) -> &str {
    match event {
        KeyEvent::Put(item) => &item.key,
        KeyEvent::Deleted(key, _) => key,
    }
}

/// Returns how urgent the value of a key is.
fn class_of(key: &str) -> ValueClass {
    if key == LAYOUT_KEY {
        ValueClass::Layout
    } else if key.starts_with(TARGET_PREFIX) {
        ValueClass::Target
    } else {
        ValueClass::Evidence
    }
}

fn target_name(key: &str) -> Option<TargetName> {
    key.strip_prefix(TARGET_PREFIX)?.parse().ok()
}

/// Parses the domain of an operator's evacuation. A malformed key is logged and ignored.
fn evacuated_domain(key: &str) -> Option<DomainName> {
    match read_evacuation(key.strip_prefix(EVACUATION_PREFIX)?) {
        Ok(domain) => Some(domain),
        Err(error) => {
            LogLine::new("evacuation_ignored").with("key", key).text("error", &error).warn();
            None
        }
    }
}

/// A change of the store, from the daemon's own watch or from the leader.
enum FollowedChange {
    Event(KeyEvent),
    /// Only a target's holdings have changed.
    Holdings(String, Revision, TargetHoldings),
    /// The key has changed, but the leader left the value out.
    Omitted(String, Revision),
}

impl FollowedChange {
    fn key(&self) -> &str {
        match self {
            FollowedChange::Event(event) => key_of(event),
            FollowedChange::Holdings(key, ..) | FollowedChange::Omitted(key, _) => key,
        }
    }

    fn revision(&self) -> Revision {
        match self {
            FollowedChange::Event(event) => revision_of(event),
            FollowedChange::Holdings(_, revision, _) | FollowedChange::Omitted(_, revision) => {
                *revision
            }
        }
    }
}

impl From<StoreChange> for FollowedChange {
    fn from(change: StoreChange) -> FollowedChange {
        let StoreChange { key, revision, value, holdings, is_omitted } = change;
        match (value, holdings) {
            _ if is_omitted => FollowedChange::Omitted(key, revision),
            (_, Some(holdings)) => FollowedChange::Holdings(key, revision, holdings),
            (Some(value), None) => {
                FollowedChange::Event(KeyEvent::Put(KeyValue { key, value, revision }))
            }
            (None, None) => FollowedChange::Event(KeyEvent::Deleted(key, revision)),
        }
    }
}

/// Logs an entry's statement of how long its target is cold if it can't be right, once in a row.
fn log_bad_cold(host: &Host, entry: &TargetEntry) {
    let dispatcher = host.dispatcher.borrow();
    let known = dispatcher.targets().entry(&entry.name).map(|known| known.cold);
    if entry.cold == ColdNotice::Malformed && known != Some(ColdNotice::Malformed) {
        log_ignored_cold("target", &entry.name);
    }
}

/// Parses a target's entry. An entry that can't be parsed is logged and ignored.
fn parse_entry(item: &KeyValue) -> Option<fleet::TargetEntry> {
    let id = item.key.strip_prefix(TARGET_PREFIX)?;
    match read_target(id, &item.value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            LogLine::new("target_unread").with("target", id).text("error", &error).info();
            None
        }
    }
}
