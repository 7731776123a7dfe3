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

use crate::host::{sleep_until, Host};
use crate::orders;
use crate::seat::{self, LEADER_KEY, OWN_PREFIX};
use crate::store::StoreError;
use crate::trail::Line;

/// Pause after a failed call, doubled with each further one up to the second value.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(600));
/// Least time between two answers of a watch while nobody leads, so that few claim.
const VACANT_PAUSE: Duration = Duration::from_millis(100);
/// The store counts as having been away when nothing was heard from it for longer than this.
const AWAY_AFTER: Duration = Duration::from_millis(1_500);
/// A leader's watch waits this long, so that the others can tell a store that is silent from one
/// in which nothing changes; so does every watch after a failed call, to find the store soon.
const SHORT_WAIT: Duration = Duration::from_millis(200);
/// Time by which a watch is answered or fails later than its wait, its pause and its limit add up to.
const VOUCH_SLACK: Duration = Duration::from_millis(1_000);
/// A watch that only finds out what has changed already.
const NO_WAIT: Duration = Duration::from_millis(1);
/// Least time between two answers of a leader's watch: all others wait for it.
const LEADER_PAUSE: Duration = Duration::from_millis(300);
/// Prefix of all that is followed.
const ALL_PREFIX: &str = "";

/// Where the follower is in the store's history.
struct Follower {
    host: Rc<Host>,
    revision: Revision,
    heard_at: Time,
    /// Until when targets that vanish count as present, after the store was away.
    grace_until: Time,
    down: bool,
    /// Whether the leader passes changes on.
    is_relayed: bool,
    /// Whether the next watch only finds out what is missing since the leader's last word.
    is_behind: bool,
    /// Keys whose values the leader did not pass on, and when one was read last.
    unread: Vec<String>,
    omitted_at: Time,
    plan: ReadPlan,
}

/// Follows the store for as long as the daemon runs.
pub(crate) async fn follow(host: Rc<Host>) {
    let now = boot_time();
    let mut follower = Follower {
        host,
        revision: Revision(0),
        heard_at: now,
        grace_until: now,
        down: false,
        is_relayed: false,
        is_behind: false,
        unread: Vec::new(),
        omitted_at: Time::ZERO,
        plan: ReadPlan::new(now),
    };
    let mut pause = RETRY_PAUSE.0;
    loop {
        let relayed_until = match follower.plan.has_snapshot() {
            true => follower.relayed_until(),
            false => None,
        };
        let step = match (relayed_until, follower.plan.next(boot_time())) {
            (_, StoreRead::Changes) if follower.may_read_omitted() => {
                follower.read_omitted().await;
                Ok(())
            }
            (Some(until), _) => {
                follower.follow_leader(until).await;
                Ok(())
            }
            (None, StoreRead::Snapshot) => follower.list().await,
            (None, StoreRead::Changes) => follower.watch().await,
        };
        match step {
            Ok(()) => pause = RETRY_PAUSE.0,
            Err(error) => {
                follower.lost(&error);
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(RETRY_PAUSE.1);
            }
        }
        follower.expire();
    }
}

impl Follower {
    /// Reads everything.
    async fn list(&mut self) -> Result<(), StoreError> {
        let host = self.host.clone();
        let (items, revision) = host.store.range_all(ALL_PREFIX).await?;
        let now = boot_time();
        let grace = self.was_away(now).then(|| host.desk.borrow().return_grace());
        if let Some(grace) = grace {
            self.grace_until = now + grace;
        }
        self.revision = revision;
        host.known.set(self.revision);
        let of = |prefix| items.iter().filter(move |item: &&KeyValue| item.key.starts_with(prefix));
        for item in of(LAYOUT_KEY) {
            self.take_layout(item);
        }
        let entries = of(TARGET_PREFIX).filter_map(read_entry).collect();
        host.desk.borrow_mut().book_mut().relisted(now, entries, grace);
        host.listed.set(true);
        self.unread.clear();
        self.plan.listed(now);
        self.vouch();
        let seats = of(OWN_PREFIX).filter_map(|item| seat::read_seat(&item.key));
        host.seats.borrow_mut().relisted(now, seats);
        seat::seats_changed(&host);
        let leader = of(OWN_PREFIX).find(|item| item.key == LEADER_KEY);
        let leader = leader.and_then(|item| seat::read_leader(&item.value, item.revision));
        seat::leader_changed(&host, revision, leader);
        host.election.notify_one();
        self.heard();
        Line::new("listed")
            .with("revision", self.revision.0)
            .with("targets", of(TARGET_PREFIX).count())
            .with("after_outage", grace.is_some())
            .info();
        self.changed();
        Ok(())
    }

    /// Returns until when the leader's word on the store suffices; `None` for the leader itself.
    fn relayed_until(&mut self) -> Option<Time> {
        let view = self.host.relay.get();
        let leads = self.host.leading.borrow().is_some();
        let until = if leads { None } else { view.fresh_until(boot_time()) };
        if let Some(until) = until {
            self.host.vouch_until(until);
        }
        if self.is_relayed != until.is_some() {
            self.is_relayed = until.is_some();
            self.is_behind = !self.is_relayed;
            let source = if self.is_relayed { "leader" } else { "store" };
            Line::new("follows").with("source", source).with("revision", self.revision.0).info();
        }
        until
    }

    /// Waits for changes that the leader passes on and takes them.
    async fn follow_leader(&mut self, until: Time) {
        let host = self.host.clone();
        let due = match self.unread.is_empty() {
            true => until,
            false => until.min(self.omitted_at + host.settings.watch_pause),
        };
        tokio::select! {
            () = host.relay_changed.notified() => {}
            () = sleep_until(due) => {}
        }
        self.take_relayed();
    }

    /// Takes what the leader has passed on.
    fn take_relayed(&mut self) {
        let batches = std::mem::take(&mut *self.host.relayed.borrow_mut());
        let now = boot_time();
        // A leader that doesn't hear the store itself passes on what it knew before.
        let fresh_until = self.host.relay.get().fresh_until(now);
        for batch in batches {
            let until = batch.until;
            // One that begins later is asked for again by the next report.
            if let Some(changes) = batch.since(self.revision) {
                self.take_all(now, changes.into_iter().map(KnownChange::from).collect(), until);
            }
        }
        if let Some(until) = fresh_until {
            self.heard();
            self.host.vouch_until(until);
        }
    }

    /// Returns whether a value that the leader did not pass on is to be read now: of one that changes
    /// quickly, not each state is of use.
    fn may_read_omitted(&self) -> bool {
        let pause = self.host.settings.watch_pause;
        !self.unread.is_empty() && boot_time().since(self.omitted_at) >= pause
    }

    /// Reads a value that the leader did not pass on.
    async fn read_omitted(&mut self) {
        let Some(key) = self.unread.last().cloned() else { return };
        let host = self.host.clone();
        self.omitted_at = boot_time();
        let mut call = std::pin::pin!(host.store.key(&key));
        let item = loop {
            tokio::select! {
                item = &mut call => break item,
                // The store may be out of reach for this daemon only.
                () = host.relay_changed.notified() => self.take_relayed(),
            }
        };
        let item = match item {
            Ok(item) => item,
            Err(error) => {
                // It is read again after a pause; what the leader passes on holds meanwhile.
                Line::new("value_unread").with("key", key.as_str()).text("error", &error).info();
                return;
            }
        };
        self.unread.retain(|unread| *unread != key);
        if item.is_some_and(|item| self.take(boot_time(), KeyEvent::Put(item))) {
            self.changed();
        }
    }

    /// Notes that the daemon's own reads of the store tell which targets leave.
    fn vouch(&mut self) {
        self.is_behind = false;
        let settings = &self.host.settings;
        let span = settings.watch_wait + settings.watch_pause + settings.call_timeout;
        let mut vouch = self.host.vouch.get();
        vouch.set_read_until(boot_time() + span + VOUCH_SLACK);
        self.host.vouch.set(vouch);
        self.host.vouched.notify_waiters();
    }

    /// Waits for changes and takes them.
    async fn watch(&mut self) -> Result<(), StoreError> {
        let host = self.host.clone();
        let leads = host.leading.borrow().is_some();
        let (wait, pause) = match leads {
            true => (SHORT_WAIT, LEADER_PAUSE),
            false if self.is_behind => (NO_WAIT, host.settings.watch_pause),
            false if self.down => (SHORT_WAIT, host.settings.watch_pause),
            false => (host.settings.watch_wait, host.settings.watch_pause),
        };
        let (asked_at, after) = (boot_time(), self.revision);
        let mut call = std::pin::pin!(host.store.watch(ALL_PREFIX, after, wait));
        let reply = loop {
            tokio::select! {
                reply = &mut call => break reply?,
                // The store may be silent for this daemon only.
                () = host.relay_changed.notified() => self.take_relayed(),
            }
        };
        let (events, revision) = match reply {
            WatchReply::Changes(events, revision) => (events, revision),
            WatchReply::Compacted => {
                Line::new("history_gone").with("revision", self.revision.0).info();
                self.plan.forget();
                return Ok(());
            }
        };
        if let Some(leading) = host.leading.borrow_mut().as_mut() {
            let changes = events.iter().map(|event| self.to_change(event)).collect();
            leading.lead.record_changes(asked_at, after, changes, revision);
        }
        let now = boot_time();
        let is_any = !events.is_empty();
        self.take_all(now, events.into_iter().map(KnownChange::Event).collect(), revision);
        self.heard();
        self.vouch();
        if is_any {
            let is_vacant = host.leader.borrow().is_none();
            sleep_until(now + if is_vacant { VACANT_PAUSE.min(pause) } else { pause }).await;
        }
        Ok(())
    }

    /// Takes all changes up to a revision.
    fn take_all(&mut self, now: Time, changes: Vec<KnownChange>, until: Revision) {
        if self.was_away(now) {
            self.grace_until = now + self.host.desk.borrow().return_grace();
        }
        let mut relevant = false;
        // What the leader passed on meanwhile may be newer.
        let known = self.revision;
        for change in changes.into_iter().filter(|change| change.revision() > known) {
            relevant |= match change {
                KnownChange::Event(event) => self.take(now, event),
                KnownChange::Omitted(key, _) => {
                    if !self.unread.contains(&key) {
                        self.unread.push(key);
                    }
                    false
                }
                KnownChange::Holdings(key, _, holdings) => self.take_holdings(now, &key, holdings),
            };
        }
        self.revision = self.revision.max(until);
        self.host.known.set(self.revision);
        if relevant {
            self.changed();
        }
    }

    /// Takes one change. Returns whether anything depends on it.
    fn take(&mut self, now: Time, event: KeyEvent) -> bool {
        let key = key_of(&event).to_owned();
        match event {
            KeyEvent::Put(item) if key == LAYOUT_KEY => self.take_layout(&item),
            event if key.starts_with(TARGET_PREFIX) => self.take_target(now, &key, event),
            event if key.starts_with(OWN_PREFIX) => self.take_own(&key, event),
            _ => false,
        }
    }

    fn take_layout(&self, item: &KeyValue) -> bool {
        let layout = match read_layout(&item.value) {
            Ok(layout) => Arc::new(layout),
            Err(error) => {
                Line::new("layout_unread").text("error", &error).warn();
                return false;
            }
        };
        let (now, version) = (boot_time(), layout.version());
        let taken = self.host.desk.borrow_mut().layout_changed(now, layout.clone());
        if taken {
            if let Some(leading) = self.host.leading.borrow_mut().as_mut() {
                leading.lead.layout_changed(now, layout);
            }
            let line = Line::new("layout_taken").with("version", version.0);
            line.with("allowances", allowances(&self.host)).info();
        }
        taken
    }

    fn take_target(&mut self, now: Time, key: &str, event: KeyEvent) -> bool {
        let Some(name) = target_name(key) else { return false };
        let entry = match &event {
            KeyEvent::Put(item) => read_entry(item),
            KeyEvent::Deleted(..) => None,
        };
        let mut desk = self.host.desk.borrow_mut();
        match (entry, event) {
            (Some(entry), _) => {
                let phase = entry.phase;
                let former = desk.book().entry(&name).map(|entry| entry.phase);
                let changed = desk.book_mut().listed(now, entry);
                if former != Some(phase) {
                    Line::new("target_listed")
                        .text("target", &name)
                        .with("phase", format!("{phase:?}"))
                        .info();
                }
                changed
            }
            (None, KeyEvent::Deleted(..)) if now < self.grace_until => {
                let grace = self.grace_until.since(now);
                desk.book_mut().lapsed(now, &name, grace);
                Line::new("target_lapsed").text("target", &name).info();
                true
            }
            (None, _) => {
                let address = desk.book().entry(&name).map(|entry| entry.address);
                if let Some(address) = address {
                    self.host.pool.borrow_mut().forget(address);
                    self.host.report_pool.borrow_mut().forget(address);
                }
                Line::new("target_gone").text("target", &name).info();
                desk.book_mut().removed(&name)
            }
        }
    }

    /// Takes what a target holds now. The leader passes on nothing else of an entry that is known.
    fn take_holdings(&mut self, now: Time, key: &str, holdings: TargetHoldings) -> bool {
        let host = self.host.clone();
        let mut desk = host.desk.borrow_mut();
        let Some(entry) = target_name(key).and_then(|name| desk.book().entry(&name).cloned())
        else {
            Line::new("target_missing").text("key", &key).info();
            self.plan.forget();
            return false;
        };
        desk.book_mut().listed(now, entry.with(holdings))
    }

    /// Returns a change as the leader passes it on.
    fn to_change(&self, event: &KeyEvent) -> StoreChange {
        let (key, revision) = (key_of(event).to_owned(), revision_of(event));
        let KeyEvent::Put(item) = event else {
            return StoreChange { key, revision, value: None, holdings: None, is_omitted: false };
        };
        let desk = self.host.desk.borrow();
        let known = target_name(&key).and_then(|name| desk.book().listed_entry(&name));
        let holdings = known.and_then(|known| known.new_holdings(&read_entry(item)?));
        let value = Some(item.value.clone());
        StoreChange { key, revision, value, holdings, is_omitted: false }
    }

    fn take_own(&self, key: &str, event: KeyEvent) -> bool {
        if key == LEADER_KEY {
            let revision = revision_of(&event);
            let entry = match &event {
                KeyEvent::Put(item) => seat::read_leader(&item.value, item.revision),
                KeyEvent::Deleted(..) => None,
            };
            seat::leader_changed(&self.host, revision, entry);
            return false;
        }
        let Some(seat) = seat::read_seat(key) else { return false };
        match event {
            KeyEvent::Put(_) => self.host.seats.borrow_mut().listed(seat),
            KeyEvent::Deleted(..) => self.host.seats.borrow_mut().unlisted(boot_time(), seat),
        }
        seat::seats_changed(&self.host);
        false
    }

    /// Tells everyone who depends on the layout or the targets.
    fn changed(&self) {
        orders::targets_changed(&self.host);
        self.host.changed.notify_waiters();
    }

    /// Drops targets that did not come back after an outage.
    fn expire(&mut self) {
        let gone = self.host.desk.borrow_mut().book_mut().expire(boot_time());
        if !gone.is_empty() {
            for name in &gone {
                Line::new("target_gone").text("target", name).with("reason", "not back").info();
            }
            self.changed();
        }
    }

    fn was_away(&self, now: Time) -> bool {
        let usual = self.host.settings.watch_wait + self.host.settings.watch_pause;
        self.down && now.since(self.heard_at) > AWAY_AFTER.max(usual)
    }

    fn heard(&mut self) {
        self.heard_at = boot_time();
        self.plan.heard(self.heard_at);
        if std::mem::take(&mut self.down) {
            Line::new("store_regained").info();
        }
    }

    fn lost(&mut self, error: &StoreError) {
        self.plan.lost();
        // Without the store the last list holds.
        let mut vouch = self.host.vouch.get();
        vouch.clear_limit();
        self.host.vouch.set(vouch);
        self.host.vouched.notify_waiters();
        if !self.down {
            self.down = true;
            let age = boot_time().since(self.heard_at).as_millis();
            Line::new("store_lost")
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
enum KnownChange {
    Event(KeyEvent),
    /// Only what a target holds has changed.
    Holdings(String, Revision, TargetHoldings),
    /// The leader did not pass the value on.
    Omitted(String, Revision),
}

impl KnownChange {
    fn revision(&self) -> Revision {
        match self {
            KnownChange::Event(event) => revision_of(event),
            KnownChange::Holdings(_, revision, _) | KnownChange::Omitted(_, revision) => *revision,
        }
    }
}

impl From<StoreChange> for KnownChange {
    fn from(change: StoreChange) -> KnownChange {
        let StoreChange { key, revision, value, holdings, is_omitted } = change;
        match (value, holdings) {
            _ if is_omitted => KnownChange::Omitted(key, revision),
            (_, Some(holdings)) => KnownChange::Holdings(key, revision, holdings),
            (Some(value), None) => {
                KnownChange::Event(KeyEvent::Put(KeyValue { key, value, revision }))
            }
            (None, None) => KnownChange::Event(KeyEvent::Deleted(key, revision)),
        }
    }
}

/// Returns the teams' allowances for the log, as rate and burst by name.
fn allowances(host: &Host) -> serde_json::Value {
    let desk = host.desk.borrow();
    let teams = desk.layout().into_iter().flat_map(|layout| layout.teams());
    let limited = teams.filter_map(|team| {
        let allowance = team.allowance?;
        Some((team.name.to_string(), serde_json::json!([allowance.per_second, allowance.burst])))
    });
    serde_json::Value::Object(limited.collect())
}

/// Reads a target's entry; one that can't be read names no target.
fn read_entry(item: &KeyValue) -> Option<fleet::TargetEntry> {
    let id = item.key.strip_prefix(TARGET_PREFIX)?;
    match read_target(id, &item.value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            Line::new("target_unread").with("target", id).text("error", &error).info();
            None
        }
    }
}
