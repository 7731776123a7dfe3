//! Follows the store: the configuration, the targets, the leader and the seats.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::{Revision, TargetName, Time};
use daemon::boot_time;
use fleet::{StoreChange, TargetHoldings};
use lead::{ReadPlan, StoreRead};
use node::{KeyEvent, KeyValue};
use platform::document::{read_layout, read_target, LAYOUT_KEY, TARGET_PREFIX};
use platform::store::WatchReply;

use crate::election::{self, DAEMON_PREFIX, LEADER_KEY};
use crate::host::{sleep_until, Host};
use crate::logging::LogLine;
use crate::orders;
use crate::store::StoreError;

/// Pause after a failed call, doubled with each further one up to the second value.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(600));
/// Least time between two answers of a watch while nobody leads, so that few claim.
const NO_LEADER_PAUSE: Duration = Duration::from_millis(100);
/// The store counts as having been away when nothing was heard from it for longer than this.
const OUTAGE_AFTER: Duration = Duration::from_millis(1_500);
/// A leader's watch waits this long, so that the others can tell a store that is silent from one
/// in which nothing changes; so does every watch after a failed call, to find the store soon.
const SHORT_WAIT: Duration = Duration::from_millis(200);
/// Time by which a watch is answered or fails later than its wait, its pause and its limit add up to.
const FRESHNESS_SLACK: Duration = Duration::from_millis(1_000);
/// A watch that only finds out what has changed already.
const NO_WAIT: Duration = Duration::from_millis(1);
/// Least time between two answers of a leader's watch: all others wait for it.
const LEADER_PAUSE: Duration = Duration::from_millis(300);
/// Prefix of all that is followed.
const ALL_PREFIX: &str = "";

/// Where the follower is in the store's history.
struct StoreFollower {
    host: Rc<Host>,
    revision: Revision,
    last_contact: Time,
    /// Until when targets that vanish count as present, after the store was away.
    grace_until: Time,
    is_store_down: bool,
    /// Whether the leader passes changes on.
    is_relayed: bool,
    /// Whether the next watch only finds out what is missing since the leader's last word.
    is_behind: bool,
    /// Keys whose values the leader did not pass on, and when one was read last.
    unread_keys: Vec<String>,
    omitted_read_at: Time,
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
        unread_keys: Vec::new(),
        omitted_read_at: Time::ZERO,
        plan: ReadPlan::new(now),
    };
    let mut pause = RETRY_PAUSE.0;
    loop {
        let relay_fresh_until = match follower.plan.is_listed() {
            true => follower.relay_fresh_until(),
            false => None,
        };
        let step = match (relay_fresh_until, follower.plan.next(boot_time())) {
            (_, StoreRead::Changes) if follower.is_omitted_read_due() => {
                follower.read_omitted_value().await;
                Ok(())
            }
            (Some(until), _) => {
                follower.follow_leader(until).await;
                Ok(())
            }
            (None, StoreRead::State) => follower.list_all().await,
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
    }
}

impl StoreFollower {
    /// Reads everything.
    async fn list_all(&mut self) -> Result<(), StoreError> {
        let host = self.host.clone();
        let (items, revision) = host.store.range_all(ALL_PREFIX).await?;
        let now = boot_time();
        let grace = self.had_outage(now).then(|| host.dispatcher.borrow().return_grace());
        if let Some(grace) = grace {
            self.grace_until = now + grace;
        }
        self.revision = revision;
        host.known_revision.set(self.revision);
        let with_prefix =
            |prefix| items.iter().filter(move |item: &&KeyValue| item.key.starts_with(prefix));
        for item in with_prefix(LAYOUT_KEY) {
            self.apply_layout(item);
        }
        let entries = with_prefix(TARGET_PREFIX).filter_map(parse_entry).collect();
        host.dispatcher.borrow_mut().book_mut().relisted(now, entries, grace);
        host.has_listed.set(true);
        self.unread_keys.clear();
        self.plan.listed(now);
        self.mark_list_fresh();
        let seats =
            with_prefix(DAEMON_PREFIX).filter_map(|item| election::parse_registration(&item.key));
        host.registered.borrow_mut().relisted(now, seats);
        election::update_registered(&host);
        let leader = with_prefix(DAEMON_PREFIX).find(|item| item.key == LEADER_KEY);
        let leader = leader.and_then(|item| election::parse_leader(&item.value, item.revision));
        election::apply_leader(&host, revision, leader);
        host.leader_changed.notify_one();
        self.record_contact();
        LogLine::new("listed")
            .with("revision", self.revision.0)
            .with("targets", with_prefix(TARGET_PREFIX).count())
            .with("after_outage", grace.is_some())
            .info();
        self.notify_changed();
        Ok(())
    }

    /// Returns until when the leader's word on the store suffices; `None` for the leader itself.
    fn relay_fresh_until(&mut self) -> Option<Time> {
        let view = self.host.relay_view.get();
        let is_leading = self.host.leader_state.borrow().is_some();
        let until = if is_leading { None } else { view.fresh_until(boot_time()) };
        if let Some(until) = until {
            self.host.extend_list_freshness(until);
        }
        if self.is_relayed != until.is_some() {
            self.is_relayed = until.is_some();
            self.is_behind = !self.is_relayed;
            let source = if self.is_relayed { "leader" } else { "store" };
            LogLine::new("follows").with("source", source).with("revision", self.revision.0).info();
        }
        until
    }

    /// Waits for changes that the leader passes on and takes them.
    async fn follow_leader(&mut self, until: Time) {
        let host = self.host.clone();
        let due = match self.unread_keys.is_empty() {
            true => until,
            false => until.min(self.omitted_read_at + host.settings.watch_pause),
        };
        tokio::select! {
            () = host.relay_changed.notified() => {}
            () = sleep_until(due) => {}
        }
        self.apply_relayed();
    }

    /// Takes what the leader has passed on.
    fn apply_relayed(&mut self) {
        let batches = std::mem::take(&mut *self.host.relayed_batches.borrow_mut());
        let now = boot_time();
        // A leader that doesn't hear the store itself passes on what it knew before.
        let fresh_until = self.host.relay_view.get().fresh_until(now);
        for batch in batches {
            let until = batch.until;
            // One that begins later is asked for again by the next report.
            if let Some(changes) = batch.since(self.revision) {
                self.apply_changes(
                    now,
                    changes.into_iter().map(FollowedChange::from).collect(),
                    until,
                );
            }
        }
        if let Some(until) = fresh_until {
            self.record_contact();
            self.host.extend_list_freshness(until);
        }
    }

    /// Returns whether a value that the leader did not pass on is to be read now: of one that changes
    /// quickly, not each state is of use.
    fn is_omitted_read_due(&self) -> bool {
        let pause = self.host.settings.watch_pause;
        !self.unread_keys.is_empty() && boot_time().since(self.omitted_read_at) >= pause
    }

    /// Reads a value that the leader did not pass on.
    async fn read_omitted_value(&mut self) {
        let Some(key) = self.unread_keys.last().cloned() else { return };
        let host = self.host.clone();
        self.omitted_read_at = boot_time();
        let mut call = std::pin::pin!(host.store.read_key(&key));
        let item = loop {
            tokio::select! {
                item = &mut call => break item,
                // The store may be out of reach for this daemon only.
                () = host.relay_changed.notified() => self.apply_relayed(),
            }
        };
        let item = match item {
            Ok(item) => item,
            Err(error) => {
                // It is read again after a pause; what the leader passes on holds meanwhile.
                LogLine::new("value_unread").with("key", key.as_str()).text("error", &error).info();
                return;
            }
        };
        self.unread_keys.retain(|unread| *unread != key);
        if item.is_some_and(|item| self.apply_event(boot_time(), KeyEvent::Put(item))) {
            self.notify_changed();
        }
    }

    /// Notes that the daemon's own reads of the store tell which targets leave.
    fn mark_list_fresh(&mut self) {
        self.is_behind = false;
        let settings = &self.host.settings;
        let span = settings.watch_wait + settings.watch_pause + settings.call_timeout;
        let mut freshness = self.host.list_freshness.get();
        freshness.own_read(boot_time() + span + FRESHNESS_SLACK);
        self.host.list_freshness.set(freshness);
        self.host.list_refreshed.notify_waiters();
    }

    /// Waits for changes and takes them.
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
        let mut call = std::pin::pin!(host.store.watch(ALL_PREFIX, after, wait));
        let reply = loop {
            tokio::select! {
                reply = &mut call => break reply?,
                // The store may be silent for this daemon only.
                () = host.relay_changed.notified() => self.apply_relayed(),
            }
        };
        let (events, revision) = match reply {
            WatchReply::Changes(events, revision) => (events, revision),
            WatchReply::Compacted => {
                LogLine::new("history_gone").with("revision", self.revision.0).info();
                self.plan.forget();
                return Ok(());
            }
        };
        if let Some(state) = host.leader_state.borrow_mut().as_mut() {
            let changes = events.iter().map(|event| self.to_store_change(event)).collect();
            state.lead.store_watched(asked_at, after, changes, revision);
        }
        let now = boot_time();
        let has_events = !events.is_empty();
        self.apply_changes(now, events.into_iter().map(FollowedChange::Event).collect(), revision);
        self.record_contact();
        self.mark_list_fresh();
        if has_events {
            let has_no_leader = host.leader.borrow().is_none();
            sleep_until(now + if has_no_leader { NO_LEADER_PAUSE.min(pause) } else { pause }).await;
        }
        Ok(())
    }

    /// Takes all changes up to a revision.
    fn apply_changes(&mut self, now: Time, changes: Vec<FollowedChange>, until: Revision) {
        if self.had_outage(now) {
            self.grace_until = now + self.host.dispatcher.borrow().return_grace();
        }
        let mut is_relevant = false;
        // What the leader passed on meanwhile may be newer.
        let applied = self.revision;
        for change in changes.into_iter().filter(|change| change.revision() > applied) {
            is_relevant |= match change {
                FollowedChange::Event(event) => self.apply_event(now, event),
                FollowedChange::Omitted(key, _) => {
                    if !self.unread_keys.contains(&key) {
                        self.unread_keys.push(key);
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

    /// Takes one change. Returns whether anything depends on it.
    fn apply_event(&mut self, now: Time, event: KeyEvent) -> bool {
        let key = key_of(&event).to_owned();
        match event {
            KeyEvent::Put(item) if key == LAYOUT_KEY => self.apply_layout(&item),
            event if key.starts_with(TARGET_PREFIX) => self.apply_target(now, &key, event),
            event if key.starts_with(DAEMON_PREFIX) => self.apply_daemon_key(&key, event),
            _ => false,
        }
    }

    fn apply_layout(&self, item: &KeyValue) -> bool {
        let layout = match read_layout(&item.value) {
            Ok(layout) => Arc::new(layout),
            Err(error) => {
                LogLine::new("layout_unread").text("error", &error).warn();
                return false;
            }
        };
        let (now, version) = (boot_time(), layout.version());
        let is_new = self.host.dispatcher.borrow_mut().layout_changed(now, layout.clone());
        if is_new {
            if let Some(state) = self.host.leader_state.borrow_mut().as_mut() {
                state.lead.layout_changed(now, layout);
            }
            let line = LogLine::new("layout_taken").with("version", version.0);
            line.with("allowances", team_allowances(&self.host)).info();
        }
        is_new
    }

    fn apply_target(&mut self, now: Time, key: &str, event: KeyEvent) -> bool {
        let Some(name) = target_name(key) else { return false };
        let entry = match &event {
            KeyEvent::Put(item) => parse_entry(item),
            KeyEvent::Deleted(..) => None,
        };
        let mut dispatcher = self.host.dispatcher.borrow_mut();
        match (entry, event) {
            (Some(entry), _) => {
                let phase = entry.phase;
                let former = dispatcher.book().entry(&name).map(|entry| entry.phase);
                let has_changed = dispatcher.book_mut().listed(now, entry);
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
                dispatcher.book_mut().lapsed(now, &name, grace);
                LogLine::new("target_lapsed").text("target", &name).info();
                true
            }
            (None, _) => {
                let address = dispatcher.book().entry(&name).map(|entry| entry.address);
                if let Some(address) = address {
                    self.host.conn_pool.borrow_mut().remove_all(address);
                    self.host.report_conn_pool.borrow_mut().remove_all(address);
                }
                LogLine::new("target_gone").text("target", &name).info();
                dispatcher.book_mut().removed(&name)
            }
        }
    }

    /// Takes what a target holds now. The leader passes on nothing else of an entry that is known.
    fn apply_holdings(&mut self, now: Time, key: &str, holdings: TargetHoldings) -> bool {
        let host = self.host.clone();
        let mut dispatcher = host.dispatcher.borrow_mut();
        let Some(entry) = target_name(key).and_then(|name| dispatcher.book().entry(&name).cloned())
        else {
            LogLine::new("target_missing").text("key", &key).info();
            self.plan.forget();
            return false;
        };
        dispatcher.book_mut().listed(now, entry.with(holdings))
    }

    /// Returns a change as the leader passes it on.
    fn to_store_change(&self, event: &KeyEvent) -> StoreChange {
        let (key, revision) = (key_of(event).to_owned(), revision_of(event));
        let KeyEvent::Put(item) = event else {
            return StoreChange { key, revision, value: None, holdings: None, is_omitted: false };
        };
        let dispatcher = self.host.dispatcher.borrow();
        let previous = target_name(&key).and_then(|name| dispatcher.book().listed_entry(&name));
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
        let Some(registered_host) = election::parse_registration(key) else { return false };
        match event {
            KeyEvent::Put(_) => self.host.registered.borrow_mut().listed(registered_host),
            KeyEvent::Deleted(..) => {
                self.host.registered.borrow_mut().gone(boot_time(), registered_host)
            }
        }
        election::update_registered(&self.host);
        false
    }

    /// Tells everyone who depends on the layout or the targets.
    fn notify_changed(&self) {
        orders::update_lead_targets(&self.host);
        self.host.state_changed.notify_waiters();
    }

    /// Drops targets that did not come back after an outage.
    fn expire_targets(&mut self) {
        let gone = self.host.dispatcher.borrow_mut().book_mut().expire(boot_time());
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
        self.plan.heard(self.last_contact);
        if std::mem::take(&mut self.is_store_down) {
            LogLine::new("store_regained").info();
        }
    }

    fn record_failure(&mut self, error: &StoreError) {
        self.plan.lost();
        // Without the store the last list holds.
        let mut freshness = self.host.list_freshness.get();
        freshness.out_of_reach();
        self.host.list_freshness.set(freshness);
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

fn target_name(key: &str) -> Option<TargetName> {
    key.strip_prefix(TARGET_PREFIX)?.parse().ok()
}

/// A change of the store, from the store itself or from the leader.
enum FollowedChange {
    Event(KeyEvent),
    /// Only what a target holds has changed.
    Holdings(String, Revision, TargetHoldings),
    /// The leader did not pass the value on.
    Omitted(String, Revision),
}

impl FollowedChange {
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

/// Returns the teams' allowances for the log, as rate and burst by name.
fn team_allowances(host: &Host) -> serde_json::Value {
    let dispatcher = host.dispatcher.borrow();
    let teams = dispatcher.layout().into_iter().flat_map(|layout| layout.teams());
    let limited = teams.filter_map(|team| {
        let allowance = team.allowance?;
        Some((team.name.to_string(), serde_json::json!([allowance.per_second, allowance.burst])))
    });
    serde_json::Value::Object(limited.collect())
}

/// Reads a target's entry; one that can't be read names no target.
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
