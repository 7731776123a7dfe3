//! The targets, as the store lists them and as this daemon has observed them.

mod cold;
mod evacuation;
mod versions;

use std::time::Duration;

use base::{DomainName, ModelName, Name, SortedMap, TargetName, Time};
use evacuate::EvacuationTable;
use fleet::{
    ModelRef, TargetDeparture, TargetEntry, TargetLoad, TargetOccupancy, TargetPhase,
    TargetSlowdown,
};
use limit::{ColdSpec, ColdTable, LimitNotice, LimitTable, RequestRate};
use origin::ServiceMixes;

use crate::record::PartRecord;
use crate::request::{AttemptEnd, OpenRequest};
use crate::slowdown::SlowdownRecord;

/// First and longest backoff before a target that failed is tried again.
const FAILURE_BACKOFF: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(4));
/// How long nothing is sent to a target whose address another one has taken. The target is gone,
/// and its entry is removed within a few heartbeats.
const REPLACED_SPAN: Duration = Duration::from_secs(5);
/// How long a target's statement of its load is valid.
const LOAD_VALIDITY: Duration = Duration::from_millis(1_000);
/// How long the leader's report of other daemons' requests is valid: two replies may be lost.
const OTHER_LOAD_VALIDITY: Duration = Duration::from_millis(2_000);
/// How long the leader's statement of a target's holdings takes precedence over an older listing. A
/// target lists changes with its next heartbeat or two, and the leader passes a listing on within
/// the interval of the reports.
const NOTE_VALIDITY: Duration = Duration::from_millis(4_000);
/// A failure domain with at least `DOMAIN_TARGETS` targets counts as cut off when `DOMAIN_SILENT`
/// of them are unreachable or silent and none has answered for `DOMAIN_SILENCE`.
const DOMAIN_TARGETS: usize = 3;
const DOMAIN_SILENT: usize = 2;
const DOMAIN_SILENCE: Duration = Duration::from_millis(400);
/// Weight of one outcome in a target's failure share.
const FAILURE_WEIGHT: f64 = 0.15;
/// How long the entry of a removed target isn't taken for a new one. A store that returns from an older
/// copy still lists the target, until it expires there.
const REMOVED_SPAN: Duration = Duration::from_secs(60);
/// Maximum number of departed targets that are remembered.
const MAX_DEPARTED: usize = 4_096;
/// Interval of probes. A target that asked for a pause gets one request per interval until it has
/// begun to answer one.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest retry hint for a request whose targets are limited.
const MIN_LIMIT_WAIT: Duration = Duration::from_millis(50);
/// Time by which a run may exceed twice its estimate before its target counts as silent.
const SILENCE_SLACK: Duration = Duration::from_millis(250);

/// Factor on the estimate of a target that started recently. It is assumed, not measured.
const START_FACTOR: f64 = 2.0;
/// Maximum number of permits that are asked for one request.
const MAX_PERMIT_ASKS: u32 = 3;
/// The same where cold targets are among those that could serve it: requests queue for those.
const MAX_COLD_ASKS: u32 = 16;

/// How a request may use a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetAccess {
    /// The target has no limit and isn't cold.
    Unlimited,
    /// The request has a permit for it.
    Permitted,
    /// A permit should be asked for, to learn whether the limit still holds. The value is the number
    /// of daemons.
    Probe(u32),
    /// A permit may be asked for.
    Limited,
}

impl TargetAccess {
    pub(crate) fn needs_permit(self) -> bool {
        matches!(self, TargetAccess::Probe(_) | TargetAccess::Limited)
    }
}

/// A request of this daemon that runs on a target.
#[derive(Clone, Copy, Debug)]
struct OwnRun {
    request: u64,
    since: Time,
    /// Estimated time that the target spends on it before its first event or its answer.
    work: Duration,
    /// Estimated time to its first event or its answer, including the work queued before it.
    estimate: Duration,
    has_begun: bool,
    progress: AnswerProgress,
}

/// How far the answer to a request has arrived, and when the latest step was reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerProgress {
    /// Nothing has arrived.
    #[default]
    Pending,
    /// The head has arrived at this time, but no complete event.
    Head(Time),
    /// The first event arrived at this time.
    Events(Time),
}

impl AnswerProgress {
    /// Returns the name of the step in logs.
    pub fn name(self) -> &'static str {
        match self {
            AnswerProgress::Pending => "pending",
            AnswerProgress::Head(_) => "head",
            AnswerProgress::Events(_) => "events",
        }
    }

    /// Returns how long ago the step was reached.
    pub fn age(self, now: Time) -> Option<Duration> {
        match self {
            AnswerProgress::Pending => None,
            AnswerProgress::Head(at) | AnswerProgress::Events(at) => Some(now.since(at)),
        }
    }
}

/// A statement of a target's holdings that doesn't come from its listing.
#[derive(Clone, Debug)]
struct HoldingNote {
    subject: ModelRef,
    held: bool,
    at: Time,
}

/// A target's state for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetHealth {
    /// Requests of this daemon that run on it.
    pub own_runs: usize,
    /// Consecutive failures.
    pub failures: u32,
    /// Recent share of failed requests.
    pub failure_share: f64,
    /// Whether it is avoided at present.
    pub avoided: bool,
}

/// A target's entry, and what this daemon has observed of the target.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub(crate) entry: TargetEntry,
    listed_at: Time,
    /// Set while the target is missing from the list only because the store was unavailable. The
    /// target counts as present until then.
    lapsed_until: Option<Time>,
    runs: Vec<OwnRun>,
    /// The target's last statement of its load, when it arrived, and the number of this daemon's
    /// requests at that time.
    load: Option<(TargetLoad, Time, u32)>,
    /// Other daemons' requests, as the leader reports them: their number and their pending work.
    other_load: Option<(u32, Duration)>,
    other_load_at: Time,
    failures: u32,
    failure_share: f64,
    avoid_until: Time,
    /// Nothing is sent until then, because nothing can reach the target.
    unreachable_until: Time,
    /// Nothing is sent until then, because the target asked this daemon for a pause.
    paused_until: Time,
    /// Set when the target asks for a pause, and cleared when it begins to answer again.
    is_half_open: bool,
    /// When the last probe was sent, that is a request while `is_half_open` is set.
    probed_at: Option<Time>,
    notes: Vec<HoldingNote>,
    /// Whether a malformed statement of how long it is cold was reported.
    has_bad_cold: bool,
    pub(crate) record: PartRecord,
    slowdown: SlowdownRecord,
}

impl TargetState {
    fn new(now: Time, entry: TargetEntry) -> TargetState {
        TargetState {
            entry,
            listed_at: now,
            lapsed_until: None,
            runs: Vec::new(),
            load: None,
            other_load: None,
            other_load_at: now,
            failures: 0,
            failure_share: 0.0,
            avoid_until: now,
            unreachable_until: now,
            paused_until: now,
            is_half_open: false,
            probed_at: None,
            notes: Vec::new(),
            has_bad_cold: false,
            record: PartRecord::default(),
            slowdown: SlowdownRecord::default(),
        }
    }

    /// Returns whether new requests may be sent to the target.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        self.entry.phase == TargetPhase::Ready
            && self.lapsed_until.is_none_or(|until| now < until)
            && now >= self.unreachable_until
            && now >= self.paused_until
            && !self.is_probing(now)
    }

    /// Returns whether a probe was sent within the last interval and has had no answer yet.
    fn is_probing(&self, now: Time) -> bool {
        self.is_half_open && self.probed_at.is_some_and(|at| now.since(at) < PROBE_INTERVAL)
    }

    /// Returns when a paused target that is otherwise ready takes requests again. Returns `now` if
    /// the pause is over and a probe has had no answer yet.
    fn pause_end(&self, now: Time) -> Option<Time> {
        let is_waiting = now < self.paused_until || self.is_probing(now);
        let is_available = self.entry.phase == TargetPhase::Ready && now >= self.unreachable_until;
        (is_waiting && is_available).then(|| self.paused_until.max(now))
    }

    pub(crate) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    pub(crate) fn avoided_until(&self) -> Time {
        self.avoid_until
    }

    pub(crate) fn failure_share(&self) -> f64 {
        self.failure_share
    }

    pub(crate) fn listing_age(&self, now: Time) -> Duration {
        now.since(self.listed_at)
    }

    /// Returns whether the target holds a model, by its listing and by newer notes.
    pub(crate) fn holds(&self, now: Time, subject: &ModelRef) -> bool {
        let base = ModelRef { model: subject.model.clone(), adapter: None };
        if !self
            .noted_holding(now, &base)
            .unwrap_or_else(|| self.entry.held_model(&subject.model).is_some())
        {
            return false;
        }
        let Some(adapter) = &subject.adapter else { return true };
        self.noted_holding(now, subject).unwrap_or_else(|| {
            self.entry
                .held_model(&subject.model)
                .is_some_and(|held| held.adapters.contains(adapter))
        })
    }

    fn noted_holding(&self, now: Time, subject: &ModelRef) -> Option<bool> {
        let note = self.notes.iter().find(|note| note.subject == *subject)?;
        (now.since(note.at) < NOTE_VALIDITY).then_some(note.held)
    }

    fn add_note(&mut self, now: Time, subject: &ModelRef, held: bool) {
        self.notes.retain(|note| note.subject != *subject && now.since(note.at) < NOTE_VALIDITY);
        self.notes.push(HoldingNote { subject: subject.clone(), held, at: now });
    }

    fn set_load(&mut self, now: Time, load: TargetLoad) {
        let own = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        self.load = Some((load, now, own));
        if let Some(slowdown) = load.slowdown {
            self.slowdown.record(now, slowdown);
        }
    }

    /// Returns the age of the target's last statement of its load.
    pub(crate) fn load_age(&self, now: Time) -> Option<Duration> {
        self.load.map(|(_, at, _)| now.since(at))
    }

    /// Returns the factor by which work that the target begins now takes longer than usual.
    pub(crate) fn slowdown(&self, now: Time) -> f64 {
        self.slowdown.factor(now)
    }

    /// Returns whether the target has stated its slowdown.
    pub(crate) fn states_slowdown(&self) -> bool {
        self.slowdown.is_stated()
    }

    /// Returns the number of this daemon's requests on the target.
    pub(crate) fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of other daemons' requests, by the target's last statement and by the
    /// leader.
    pub(crate) fn other_runs(&self, now: Time) -> u32 {
        let stated = match self.load {
            Some((load, at, own)) if now.since(at) < LOAD_VALIDITY => {
                (load.running + load.waiting).saturating_sub(own)
            }
            _ => 0,
        };
        stated.max(self.other_load.map_or(0, |(running, _)| running))
    }

    /// Returns the work that the target does for other daemons before it begins another request.
    pub(crate) fn other_work(&self, now: Time) -> Duration {
        let pending = self.other_load.map_or(Duration::ZERO, |(_, pending)| pending);
        match self.states_slowdown() {
            // The leader's figure counts down until the next one arrives.
            true => pending.saturating_sub(now.since(self.other_load_at)),
            false => pending,
        }
    }

    /// Returns the number of requests that waited at the target, by its last statement.
    pub(crate) fn waiting(&self, now: Time) -> u32 {
        match self.load {
            Some((load, at, _)) if now.since(at) < LOAD_VALIDITY => load.waiting,
            _ => 0,
        }
    }

    /// Returns the estimated time until the target has begun to answer all requests of this daemon.
    pub(crate) fn backlog(&self, now: Time) -> Duration {
        let pending = self.runs.iter().filter(|run| !run.has_begun);
        let work: Duration = pending.clone().map(|run| run.work).sum();
        let oldest = pending.map(|run| now.since(run.since)).max().unwrap_or_default();
        work.saturating_sub(oldest)
    }

    /// Returns by how much the slowest unanswered request exceeds its expected time.
    pub(crate) fn overdue(&self, now: Time) -> Duration {
        let pending = self.runs.iter().filter(|run| !run.has_begun);
        let over = pending
            .map(|run| now.since(run.since).saturating_sub(run.estimate * 2 + SILENCE_SLACK));
        over.max().unwrap_or_default()
    }
}

/// All known targets by name.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    targets: SortedMap<TargetName, TargetState>,
    /// When a target of each failure domain last began to answer.
    answered_at: SortedMap<DomainName, Time>,
    /// Targets that announced their departure, with the time of their start in milliseconds and
    /// when the departure was learnt.
    departed: SortedMap<TargetName, (u64, Time)>,
    /// The last known entry of targets that were removed: the time of their start, its number, and when
    /// they were removed.
    removed: SortedMap<TargetName, (u64, u64, Time)>,
    /// Domains to whose targets nothing is sent.
    evacuations: EvacuationTable,
    /// Limits that targets have named.
    limits: LimitTable,
    /// Until when targets are cold, and the services whose targets can be.
    cold: ColdTable,
    cold_specs: SortedMap<Name, ColdSpec>,
    mixes: ServiceMixes,
    /// Set once a whole list was applied. Starts that are listed later happened during operation.
    has_list: bool,
    /// When the leader last reported other daemons' requests.
    other_load_at: Option<Time>,
}

impl TargetTable {
    /// Creates an empty table. The seed differs between daemons.
    pub fn new(seed: u64) -> TargetTable {
        TargetTable { limits: LimitTable::new(seed), ..TargetTable::default() }
    }

    /// Applies a target's entry. Returns whether it changes where requests can go.
    ///
    /// An entry of an earlier start of the same target, or an older entry of the same start, is
    /// ignored.
    pub fn apply_entry(&mut self, now: Time, mut entry: TargetEntry) -> bool {
        // A target's own announcement takes precedence over its entry, which may be older.
        if self.has_departed(&entry.name, entry.born_ms) && entry.phase == TargetPhase::Ready {
            entry.phase = TargetPhase::Leaving { left: None };
        }
        let Some(state) = self.targets.get_mut(&entry.name) else {
            if self.was_removed(now, &entry) {
                return false;
            }
            self.record_listed_start(now, &entry);
            self.targets.insert(entry.name.clone(), TargetState::new(now, entry));
            return true;
        };
        if entry.born_ms < state.entry.born_ms {
            return false;
        }
        let is_same = entry.born_ms == state.entry.born_ms && entry.address == state.entry.address;
        if is_same && entry.beat < state.entry.beat {
            return false;
        }
        if entry.born_ms > state.entry.born_ms || entry.address != state.entry.address {
            let is_new_start = entry.born_ms > state.entry.born_ms;
            *state = TargetState::new(now, entry.clone());
            // The leader may have stated that the new start is cold before it was listed here.
            let early = self.cold.statement(now, &entry.name);
            let early =
                early.filter(|statement| is_new_start && statement.born_ms == entry.born_ms);
            self.cold.remove(&entry.name);
            self.record_listed_start(now, &entry);
            if let Some(statement) = early {
                self.cold.apply_statement(now, &statement);
            }
            return true;
        }
        // An entry that is read again says nothing new.
        if entry.beat > state.entry.beat {
            if let Some(spec) = self.cold_specs.get(&entry.service) {
                self.cold.apply_listing(now, (&entry.name, entry.born_ms), *spec, entry.cold);
            }
        }
        let changed = state.entry != entry || state.lapsed_until.is_some();
        if state.entry.models.iter().any(|held| entry.held_model(&held.name).is_none()) {
            state.record.clear();
        }
        state.entry = entry;
        state.listed_at = now;
        state.lapsed_until = None;
        changed
    }

    /// Removes a target whose entry no longer names a usable server. Returns whether it was known.
    pub fn forget_target(&mut self, name: &TargetName) -> bool {
        self.targets.remove(name).is_some()
    }

    /// Removes a target that is gone. The entry that it had is not taken for a new one. Returns whether
    /// the target was known.
    pub fn remove_target(&mut self, now: Time, name: &TargetName) -> bool {
        let state = self.targets.remove(name);
        state.as_ref().inspect(|state| self.record_removal(now, &state.entry)).is_some()
    }

    fn record_removal(&mut self, now: Time, entry: &TargetEntry) {
        self.removed.retain(|_, (_, _, at)| now.since(*at) < REMOVED_SPAN);
        if self.removed.len() < MAX_DEPARTED {
            self.removed.insert(entry.name.clone(), (entry.born_ms, entry.beat, now));
        }
    }

    /// Returns whether an entry of an unknown target is one that it had before it was removed.
    fn was_removed(&self, now: Time, entry: &TargetEntry) -> bool {
        self.removed.get(&entry.name).is_some_and(|(born_ms, beat, at)| {
            now.since(*at) < REMOVED_SPAN && (entry.born_ms, entry.beat) <= (*born_ms, *beat)
        })
    }

    /// Replaces the whole list. If `grace` is given, the store was unavailable before the list was
    /// read, and targets that are missing from it count as present for that long.
    pub fn replace_entries(
        &mut self,
        now: Time,
        entries: Vec<TargetEntry>,
        grace: Option<Duration>,
    ) {
        let names: SortedMap<TargetName, ()> =
            entries.iter().map(|entry| (entry.name.clone(), ())).collect();
        match grace {
            None => {
                let missing = self.targets.keys().filter(|name| !names.contains(name));
                for name in missing.cloned().collect::<Vec<_>>() {
                    self.remove_target(now, &name);
                }
            }
            Some(grace) => {
                for (name, state) in self.targets.iter_mut() {
                    if !names.contains(name) {
                        state.lapsed_until.get_or_insert(now + grace);
                    }
                }
            }
        }
        for entry in entries {
            self.apply_entry(now, entry);
        }
        self.has_list = true;
    }

    /// Marks a target as missing because the store was unavailable. It counts as present for
    /// `grace`.
    pub fn mark_missing(&mut self, now: Time, name: &TargetName, grace: Duration) {
        if let Some(state) = self.targets.get_mut(name) {
            state.lapsed_until.get_or_insert(now + grace);
        }
    }

    /// Removes targets that did not return within their grace, and returns their names.
    pub fn expire(&mut self, now: Time) -> Vec<TargetName> {
        let expired = |state: &TargetState| state.lapsed_until.is_some_and(|until| now >= until);
        let gone: Vec<TargetName> = self
            .targets
            .iter()
            .filter(|(_, state)| expired(state))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.remove_target(now, name);
        }
        gone
    }

    /// Records a target's own announcement that it leaves. From then on, the same start of it gets
    /// no new requests, whatever is listed later. Returns the departure, unless it is known that
    /// this start or a later one leaves.
    pub fn record_announcement(&mut self, now: Time, name: &TargetName) -> Option<TargetDeparture> {
        let born_ms = self.targets.get(name)?.entry.born_ms;
        let departure = TargetDeparture { target: name.clone(), born_ms };
        self.record_departure(now, &departure).then_some(departure)
    }

    /// Records a departure that another daemon reported. Returns whether it is new.
    pub fn record_departure(&mut self, now: Time, departure: &TargetDeparture) -> bool {
        let TargetDeparture { target, born_ms } = departure;
        if self.has_departed(target, *born_ms) {
            return false;
        }
        if self.departed.len() >= MAX_DEPARTED {
            let oldest = self.departed.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.departed.remove(&name);
            }
        }
        self.departed.insert(target.clone(), (*born_ms, now));
        if let Some(state) = self.targets.get_mut(target) {
            let is_departed_start = state.entry.born_ms <= *born_ms;
            if is_departed_start && state.entry.phase == TargetPhase::Ready {
                state.entry.phase = TargetPhase::Leaving { left: None };
            }
        }
        true
    }

    fn has_departed(&self, name: &TargetName, born_ms: u64) -> bool {
        self.departed.get(name).is_some_and(|(born, _)| born_ms <= *born)
    }

    /// Returns the departures that were learnt within the given time.
    pub fn departures(&self, now: Time, within: Duration) -> Vec<TargetDeparture> {
        let recent = self.departed.iter().filter(|(_, (_, at))| now.since(*at) < within);
        let departure = |(target, (born_ms, _)): (&TargetName, &(u64, Time))| TargetDeparture {
            target: target.clone(),
            born_ms: *born_ms,
        };
        recent.map(departure).collect()
    }

    /// Records what the answer to a request that was sent at `sent_at` says about its target's
    /// limit; see [`LimitTable::record_notice`]. Returns whether it has changed.
    pub fn record_limit(
        &mut self,
        now: Time,
        name: &TargetName,
        sent_at: Time,
        notice: LimitNotice,
        is_complete: bool,
    ) -> bool {
        let Some(born_ms) = self.targets.get(name).map(|state| state.entry.born_ms) else {
            return false;
        };
        self.limits.record_notice(now, (name, born_ms), sent_at, notice, is_complete)
    }

    /// Returns the limit that a target has named, if it has one.
    pub fn limit(&self, name: &TargetName) -> Option<RequestRate> {
        self.limits.rate(name, self.targets.get(name)?.entry.born_ms)
    }

    /// Returns the limits of all targets.
    pub fn limits(&self) -> &LimitTable {
        &self.limits
    }

    pub(crate) fn limits_mut(&mut self) -> &mut LimitTable {
        &mut self.limits
    }

    /// Returns whether a request may use a target in the given way.
    pub(crate) fn allows(
        &self,
        now: Time,
        state: &TargetState,
        request: &OpenRequest,
        access: TargetAccess,
    ) -> bool {
        if !self.fits_version(state, request) {
            return false;
        }
        let name = &state.entry.name;
        let is_limited = self.limits.rate(name, state.entry.born_ms).is_some();
        let is_cold = self.cold.rate(now, name, state.entry.born_ms).is_some();
        let needs_permit = is_limited || is_cold;
        let may_ask = || {
            let max_asks = if is_cold { MAX_COLD_ASKS } else { MAX_PERMIT_ASKS };
            request.permit_asks < max_asks
                && (!is_limited || self.limits.may_ask(now, name))
                && (!is_cold || self.cold.may_ask(now, name))
        };
        match access {
            TargetAccess::Unlimited => !needs_permit,
            TargetAccess::Permitted => needs_permit && request.permit_end(now, name).is_some(),
            TargetAccess::Probe(daemons) => is_limited && self.limits.may_probe(now, name, daemons),
            TargetAccess::Limited => needs_permit && may_ask(),
        }
    }

    /// Sends nothing to a target until the given time, because it asked for a pause.
    pub fn pause(&mut self, name: &TargetName, until: Time) {
        if let Some(state) = self.targets.get_mut(name) {
            state.paused_until = state.paused_until.max(until);
            (state.is_half_open, state.probed_at) = (true, None);
        }
    }

    /// Returns the estimated work of this daemon's requests that targets of some services have yet to
    /// begin to answer, summed over these targets.
    pub(crate) fn pending_work(&self, now: Time, is_counted: impl Fn(&Name) -> bool) -> Duration {
        let counted = self.targets.values().filter(|state| is_counted(&state.entry.service));
        counted.map(|state| state.backlog(now)).sum()
    }

    /// Returns this daemon's requests by target.
    pub fn occupancy(&self, now: Time) -> Vec<TargetOccupancy> {
        let used = self.targets.iter().filter(|(_, state)| !state.runs.is_empty());
        let occupancy = used.map(|(target, state)| TargetOccupancy {
            target: target.clone(),
            running: u32::try_from(state.runs.len()).unwrap_or(u32::MAX),
            pending_ms: u32::try_from(state.backlog(now).as_millis()).unwrap_or(u32::MAX),
        });
        occupancy.collect()
    }

    /// Returns up to `most` targets whose usual slowdown has changed since this was last called.
    pub fn take_slowdowns(&mut self, most: usize) -> Vec<(TargetName, TargetSlowdown)> {
        let changed = self.targets.iter_mut().filter_map(|(name, state)| {
            state.slowdown.take_change().map(|slowdown| (name.clone(), slowdown))
        });
        changed.take(most).collect()
    }

    /// Makes [`TargetTable::take_slowdowns`] return all slowdowns again, for a new leader.
    pub fn forget_slowdown_reports(&mut self) {
        self.targets.values_mut().for_each(|state| state.slowdown.forget_report());
    }

    /// Sets other daemons' requests, as the leader reports them; targets that it doesn't name have
    /// few.
    pub fn set_other_load(&mut self, now: Time, busy: &[TargetOccupancy]) {
        self.targets.values_mut().for_each(|state| state.other_load = None);
        for occupancy in busy {
            if let Some(state) = self.targets.get_mut(&occupancy.target) {
                let pending = Duration::from_millis(u64::from(occupancy.pending_ms));
                state.other_load = Some((occupancy.running, pending));
                state.other_load_at = now;
            }
        }
        self.other_load_at = Some(now);
    }

    /// Discards the leader's report of other daemons' requests once it is too old.
    pub(crate) fn expire_other_load(&mut self, now: Time) {
        if self.other_load_at.take_if(|at| now.since(*at) >= OTHER_LOAD_VALIDITY).is_some() {
            self.targets.values_mut().for_each(|state| state.other_load = None);
        }
    }

    /// Returns when the first of a service's paused or limited targets takes requests again, if one
    /// of them could serve the model.
    pub(crate) fn return_time(
        &self,
        now: Time,
        service: &Name,
        subject: Option<&ModelRef>,
    ) -> Option<Time> {
        let fits = |state: &&TargetState| {
            let base = |s: &ModelRef| ModelRef { model: s.model.clone(), adapter: None };
            state.entry.service == *service
                && subject.is_none_or(|s| state.holds(now, &base(s)))
                && !self.has_evacuated(state)
        };
        let limit_end = |state: &TargetState| {
            let name = &state.entry.name;
            let is_limited = self.limits.rate(name, state.entry.born_ms).is_some();
            let wait = self.limits.return_wait(now, name).max(MIN_LIMIT_WAIT);
            (is_limited && state.is_ready(now)).then(|| now + wait)
        };
        let ends = self.targets.values().filter(fits);
        ends.filter_map(|state| state.pause_end(now).or_else(|| limit_end(state))).min()
    }

    /// Returns whether a request may still be sent to its target, after time has passed since the
    /// target was chosen. `send_by` is the end of the request's permit, if it has one.
    pub fn may_send(&self, now: Time, name: &TargetName, send_by: Option<Time>) -> bool {
        self.targets.get(name).is_some_and(|state| {
            state.entry.phase == TargetPhase::Ready
                && !self.has_evacuated(state)
                && state.lapsed_until.is_none_or(|until| now < until)
                && now >= state.paused_until
                && (send_by.is_some_and(|end| now < end) || !self.needs_permit(now, name))
        })
    }

    /// Returns the targets that can't be reached at present.
    pub fn unreachable(&self, now: Time) -> Vec<TargetName> {
        let unreachable = self.targets.iter().filter(|(_, state)| now < state.unreachable_until);
        unreachable.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the entry of a target if the store lists it at present, so that all daemons know it.
    pub fn listed_entry(&self, name: &TargetName) -> Option<&TargetEntry> {
        let state = self.targets.get(name)?;
        state.lapsed_until.is_none().then_some(&state.entry)
    }

    /// Returns the entry of a target.
    pub fn entry(&self, name: &TargetName) -> Option<&TargetEntry> {
        self.targets.get(name).map(|state| &state.entry)
    }

    /// Iterates over all entries.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values().map(|state| &state.entry)
    }

    /// Returns what this daemon has observed of a target.
    pub fn health(&self, now: Time, name: &TargetName) -> Option<TargetHealth> {
        self.targets.get(name).map(|state| TargetHealth {
            own_runs: state.run_count(),
            failures: state.failures,
            failure_share: state.failure_share,
            avoided: state.is_avoided(now),
        })
    }

    /// Records that a target holds, or no longer holds, a model or an adapter.
    pub fn record_holding(&mut self, now: Time, name: &TargetName, subject: &ModelRef, held: bool) {
        if let Some(state) = self.targets.get_mut(name) {
            state.add_note(now, subject, held);
            if !held && subject.adapter.is_none() {
                state.record.clear();
            }
        }
    }

    /// Forgets the failures of a service's targets, which had another reason than these targets.
    pub(crate) fn clear_failures(&mut self, now: Time, service: &Name) {
        for state in self.targets.values_mut().filter(|state| state.entry.service == *service) {
            (state.failures, state.failure_share) = (0, 0.0);
            (state.avoid_until, state.unreachable_until) = (now, now);
        }
    }

    /// Records the leader's statement of whether a target holds a model.
    pub fn record_model(&mut self, now: Time, name: &TargetName, model: &ModelName, held: bool) {
        let subject = ModelRef { model: model.clone(), adapter: None };
        self.record_holding(now, name, &subject, held);
    }

    pub(crate) fn of_service<'a>(
        &'a self,
        now: Time,
        service: &'a Name,
    ) -> impl Iterator<Item = &'a TargetState> {
        let silent = self.silent_domains(now);
        let fits = move |state: &&TargetState| {
            state.entry.service == *service
                && !silent.contains(&&state.entry.domain)
                && !self.has_evacuated(state)
        };
        self.targets.values().filter(fits).filter(move |state| state.is_ready(now))
    }

    /// Iterates over all targets of a service, also over those that get no requests.
    pub(crate) fn all_of_service<'a>(
        &'a self,
        service: &'a Name,
    ) -> impl Iterator<Item = &'a TargetState> {
        self.targets.values().filter(move |state| state.entry.service == *service)
    }

    /// Returns the failure domains that seem to be cut off: several of their targets are
    /// unreachable or silent, and none has answered for a while.
    fn silent_domains(&self, now: Time) -> Vec<&DomainName> {
        let mut domains: SortedMap<&DomainName, (usize, usize)> = SortedMap::default();
        for state in self.targets.values() {
            let counts = domains.entry(&state.entry.domain, || (0, 0));
            counts.0 += 1;
            let silent = now < state.unreachable_until || state.overdue(now) > Duration::ZERO;
            counts.1 += usize::from(silent);
        }
        let is_silent = |(domain, (all, silent)): &(&&DomainName, &(usize, usize))| {
            let answered_at = self.answered_at.get(domain).copied().unwrap_or_default();
            *all >= DOMAIN_TARGETS
                && *silent >= DOMAIN_SILENT
                && now.since(answered_at) > DOMAIN_SILENCE
        };
        domains.iter().filter(is_silent).map(|(domain, _)| *domain).collect()
    }

    pub(crate) fn state(&self, name: &TargetName) -> Option<&TargetState> {
        self.targets.get(name)
    }

    /// Returns whether a target of a service has stated its slowdown.
    pub(crate) fn is_uneven(&self, service: &Name) -> bool {
        let mut targets = self.targets.values();
        targets.any(|state| state.states_slowdown() && state.entry.service == *service)
    }

    pub(crate) fn state_mut(&mut self, name: &TargetName) -> Option<&mut TargetState> {
        self.targets.get_mut(name)
    }

    pub(crate) fn record_start(
        &mut self,
        now: Time,
        name: &TargetName,
        request: u64,
        (work, estimate): (Duration, Duration),
    ) {
        if let Some(state) = self.targets.get_mut(name) {
            state.runs.push(OwnRun {
                request,
                since: now,
                work,
                estimate,
                has_begun: false,
                progress: AnswerProgress::Pending,
            });
            state.probed_at = state.is_half_open.then_some(now);
        }
    }

    /// Returns when a request that runs on a target was sent there.
    pub(crate) fn sent_at(&self, name: &TargetName, request: u64) -> Option<Time> {
        let runs = &self.targets.get(name)?.runs;
        runs.iter().find(|run| run.request == request).map(|run| run.since)
    }

    /// Records that the head of a request's answer has arrived.
    pub(crate) fn record_head(&mut self, now: Time, name: &TargetName, request: u64) {
        let state = self.targets.get_mut(name);
        let mut runs = state.into_iter().flat_map(|state| state.runs.iter_mut());
        if let Some(run) = runs.find(|run| run.request == request) {
            if run.progress == AnswerProgress::Pending {
                run.progress = AnswerProgress::Head(now);
            }
        }
    }

    /// Returns how far the answer to a request that runs on a target has arrived.
    pub(crate) fn progress(&self, name: &TargetName, request: u64) -> AnswerProgress {
        let runs = self.targets.get(name).into_iter().flat_map(|state| &state.runs);
        let mut runs = runs.filter(|run| run.request == request);
        runs.next().map_or(AnswerProgress::Pending, |run| run.progress)
    }

    /// Records the first event of a request's answer. Returns how long it took and how long was
    /// expected.
    pub(crate) fn record_first_event(
        &mut self,
        now: Time,
        name: &TargetName,
        request: u64,
    ) -> Option<(Duration, Duration)> {
        let state = self.targets.get_mut(name)?;
        let run = state.runs.iter_mut().find(|run| run.request == request && !run.has_begun)?;
        run.has_begun = true;
        run.progress = AnswerProgress::Events(now);
        state.is_half_open = false;
        self.answered_at.insert(state.entry.domain.clone(), now);
        Some((now.since(run.since), run.estimate))
    }

    pub(crate) fn set_load(&mut self, now: Time, name: &TargetName, load: TargetLoad) {
        if let Some(state) = self.targets.get_mut(name) {
            state.set_load(now, load);
        }
    }

    /// Records how a request on a target ended. Returns whether the target is avoided from now on.
    pub(crate) fn record_end(
        &mut self,
        now: Time,
        name: &TargetName,
        request: u64,
        end: AttemptEnd,
    ) -> bool {
        let Some(state) = self.targets.get_mut(name) else { return false };
        state.runs.retain(|run| run.request != request);
        let failed = match end {
            AttemptEnd::Served => Some(false),
            AttemptEnd::NotSent
            | AttemptEnd::Lost
            | AttemptEnd::Silent
            | AttemptEnd::Broken
            | AttemptEnd::Crashed
            | AttemptEnd::Failed => Some(true),
            AttemptEnd::Full(load) => {
                if let Some(load) = load {
                    state.set_load(now, load);
                }
                None
            }
            AttemptEnd::Lacking
            | AttemptEnd::Replaced
            | AttemptEnd::Withheld
            | AttemptEnd::Abandoned => None,
        };
        if end == AttemptEnd::Replaced {
            state.unreachable_until = now + REPLACED_SPAN;
            return true;
        }
        let Some(failed) = failed else { return false };
        let outcome = if failed { 1.0 } else { 0.0 };
        state.failure_share += FAILURE_WEIGHT * (outcome - state.failure_share);
        if !failed {
            state.failures = 0;
            return false;
        }
        state.failures += 1;
        // A target that itself fails some requests loses rank by its failure share; it is not
        // avoided at once.
        if matches!(end, AttemptEnd::Failed | AttemptEnd::Broken) && state.failures < 3 {
            return false;
        }
        let span = FAILURE_BACKOFF.0 * 2u32.saturating_pow(state.failures.min(8) - 1);
        let until = now + span.min(FAILURE_BACKOFF.1);
        match end {
            // Nothing listens at the address, or nothing can reach it.
            AttemptEnd::NotSent | AttemptEnd::Crashed => state.unreachable_until = until,
            _ => state.avoid_until = until,
        }
        true
    }
}
