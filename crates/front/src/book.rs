//! The targets, as listed and as seen by this daemon.

use std::time::Duration;

use base::{DomainName, ModelName, Name, SortedMap, TargetName, Time};
use fleet::{ModelRef, TargetDeparture, TargetEntry, TargetLoad, TargetOccupancy, TargetPhase};

use crate::record::PartRecord;
use crate::ticket::AttemptEnd;

/// First and longest pause before a target that failed is tried again.
const AVOID_SPAN: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(4));
/// A target whose address another one has is gone; its entry follows within a few beats.
const REPLACED_SPAN: Duration = Duration::from_secs(5);
/// What a target said of its load counts for this long.
const LOAD_LIFE: Duration = Duration::from_millis(1_000);
/// What the leader says of other daemons' requests counts for this long: two answers may be lost.
const FLEET_LIFE: Duration = Duration::from_millis(2_000);
/// What the leader says of a target's holdings goes before an older listing for this long: a
/// target lists changes with its next beat or two, and the leader passes a listing on within a
/// report's interval.
const NOTE_LIFE: Duration = Duration::from_millis(4_000);
/// A failure domain with so many targets seems to be cut off when so many of them are dead or
/// silent and none has answered for this long.
const DOMAIN_TARGETS: usize = 3;
const DOMAIN_SILENT: usize = 2;
const DOMAIN_SILENCE: Duration = Duration::from_millis(400);
/// Weight of one outcome in a target's share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Targets that left by their own word and are remembered.
const MAX_DEPARTED: usize = 4_096;
/// A target that asked to be spared gets one request in this time until it has begun to answer one.
const TRIAL_SPAN: Duration = Duration::from_millis(500);
/// Time by which a run may exceed twice its estimate before its target counts as silent.
const SILENCE_SLACK: Duration = Duration::from_millis(250);

/// One request that this daemon has on a target.
#[derive(Clone, Copy, Debug)]
struct OwnRun {
    request: u64,
    since: Time,
    /// Estimated time that the target spends on it before its first event or its answer.
    work: Duration,
    /// Estimated time to its first event or its answer, with what is before it.
    estimate: Duration,
    begun: bool,
}

/// Something known of a target's holdings beside its listing.
#[derive(Clone, Debug)]
struct HoldingNote {
    subject: ModelRef,
    held: bool,
    at: Time,
}

/// A target's state for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetHealth {
    /// Requests of this daemon on it.
    pub own: usize,
    /// Consecutive failures.
    pub failures: u32,
    /// Recent share of failed requests.
    pub failure_share: f64,
    /// Whether it is avoided at present.
    pub avoided: bool,
}

/// A target with what this daemon saw of it.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub(crate) entry: TargetEntry,
    listed_at: Time,
    /// Set while the target is missing from the list only because the store was away.
    lapsed_until: Option<Time>,
    runs: Vec<OwnRun>,
    load: Option<(TargetLoad, Time, u32)>,
    /// Other daemons' requests, by the leader: their number, and the work before them.
    fleet: Option<(u32, Duration)>,
    failures: u32,
    failure_share: f64,
    avoid_until: Time,
    /// Until when nothing is sent, since nothing can arrive.
    dead_until: Time,
    /// Until when the target wants nothing from this daemon, by its own word.
    spared_until: Time,
    /// Set since the target asked to be spared, until it answers again.
    on_trial: bool,
    /// When it got its last request meanwhile.
    tried_at: Option<Time>,
    notes: Vec<HoldingNote>,
    pub(crate) record: PartRecord,
}

impl TargetState {
    fn new(now: Time, entry: TargetEntry) -> TargetState {
        TargetState {
            entry,
            listed_at: now,
            lapsed_until: None,
            runs: Vec::new(),
            load: None,
            fleet: None,
            failures: 0,
            failure_share: 0.0,
            avoid_until: now,
            dead_until: now,
            spared_until: now,
            on_trial: false,
            tried_at: None,
            notes: Vec::new(),
            record: PartRecord::default(),
        }
    }

    /// Returns whether the target may get new work.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        self.entry.phase == TargetPhase::Ready
            && self.lapsed_until.is_none_or(|until| now < until)
            && now >= self.dead_until
            && now >= self.spared_until
            && !self.is_tried(now)
    }

    /// Returns whether the target has not answered yet since it asked to be spared, and just got a
    /// request.
    fn is_tried(&self, now: Time) -> bool {
        self.on_trial && self.tried_at.is_some_and(|at| now.since(at) < TRIAL_SPAN)
    }

    /// Returns when a target that would take requests but wants to be spared will take some; now
    /// for one that has its first request since.
    fn spare_end(&self, now: Time) -> Option<Time> {
        let waits = now < self.spared_until || self.is_tried(now);
        let stays = self.entry.phase == TargetPhase::Ready && now >= self.dead_until;
        (waits && stays).then(|| self.spared_until.max(now))
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
            .noted(now, &base)
            .unwrap_or_else(|| self.entry.held_model(&subject.model).is_some())
        {
            return false;
        }
        let Some(adapter) = &subject.adapter else { return true };
        self.noted(now, subject).unwrap_or_else(|| {
            self.entry
                .held_model(&subject.model)
                .is_some_and(|held| held.adapters.contains(adapter))
        })
    }

    fn noted(&self, now: Time, subject: &ModelRef) -> Option<bool> {
        let note = self.notes.iter().find(|note| note.subject == *subject)?;
        (now.since(note.at) < NOTE_LIFE).then_some(note.held)
    }

    fn note(&mut self, now: Time, subject: &ModelRef, held: bool) {
        self.notes.retain(|note| note.subject != *subject && now.since(note.at) < NOTE_LIFE);
        self.notes.push(HoldingNote { subject: subject.clone(), held, at: now });
    }

    /// Returns the requests of this daemon on the target.
    pub(crate) fn own(&self) -> usize {
        self.runs.len()
    }

    /// Returns the requests of other daemons, by the target's last answer and by the leader.
    pub(crate) fn others(&self, now: Time) -> u32 {
        let told = match self.load {
            Some((load, at, own)) if now.since(at) < LOAD_LIFE => {
                (load.running + load.waiting).saturating_sub(own)
            }
            _ => 0,
        };
        told.max(self.fleet.map_or(0, |(running, _)| running))
    }

    /// Returns the work that the target has for other daemons before it begins with another request.
    pub(crate) fn others_work(&self) -> Duration {
        self.fleet.map_or(Duration::ZERO, |(_, pending)| pending)
    }

    /// Returns how many requests waited there, by the target's last answer.
    pub(crate) fn waiting(&self, now: Time) -> u32 {
        match self.load {
            Some((load, at, _)) if now.since(at) < LOAD_LIFE => load.waiting,
            _ => 0,
        }
    }

    /// Returns the estimated time until the target has begun all requests of this daemon.
    pub(crate) fn backlog(&self, now: Time) -> Duration {
        let pending = self.runs.iter().filter(|run| !run.begun);
        let work: Duration = pending.clone().map(|run| run.work).sum();
        let oldest = pending.map(|run| now.since(run.since)).max().unwrap_or_default();
        work.saturating_sub(oldest)
    }

    /// Returns by how much the slowest request without an answer exceeds what was expected.
    pub(crate) fn overdue(&self, now: Time) -> Duration {
        let pending = self.runs.iter().filter(|run| !run.begun);
        let over = pending
            .map(|run| now.since(run.since).saturating_sub(run.estimate * 2 + SILENCE_SLACK));
        over.max().unwrap_or_default()
    }
}

/// All targets by name.
#[derive(Clone, Debug, Default)]
pub struct TargetBook {
    targets: SortedMap<TargetName, TargetState>,
    /// When a target of a failure domain last began to answer.
    heard: SortedMap<DomainName, Time>,
    /// Targets that left by their own word, with their starts and when that was learnt.
    departed: SortedMap<TargetName, (u64, Time)>,
    /// When the leader last told of other daemons' requests.
    fleet_at: Option<Time>,
}

impl TargetBook {
    /// Takes a target's entry. Returns whether it changes where requests can go.
    ///
    /// An entry of an earlier start of the same target, or an earlier one of the same start, is
    /// ignored.
    pub fn listed(&mut self, now: Time, mut entry: TargetEntry) -> bool {
        // A target's own word goes before its entry, which may be older.
        if self.has_departed(&entry.name, entry.born_ms) && entry.phase == TargetPhase::Ready {
            entry.phase = TargetPhase::Leaving { left: None };
        }
        let Some(state) = self.targets.get_mut(&entry.name) else {
            self.targets.insert(entry.name.clone(), TargetState::new(now, entry));
            return true;
        };
        if entry.born_ms < state.entry.born_ms {
            return false;
        }
        let same = entry.born_ms == state.entry.born_ms && entry.address == state.entry.address;
        if same && entry.beat < state.entry.beat {
            return false;
        }
        if entry.born_ms > state.entry.born_ms || entry.address != state.entry.address {
            *state = TargetState::new(now, entry);
            return true;
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

    /// Removes a target that is gone or names no usable server any more.
    pub fn removed(&mut self, name: &TargetName) -> bool {
        self.targets.remove(name).is_some()
    }

    /// Takes a whole list, read after the store was away when `grace` is given: targets that are
    /// missing from it then count as present for that long.
    pub fn relisted(&mut self, now: Time, entries: Vec<TargetEntry>, grace: Option<Duration>) {
        let names: SortedMap<TargetName, ()> =
            entries.iter().map(|entry| (entry.name.clone(), ())).collect();
        match grace {
            None => self.targets.retain(|name, _| names.contains(name)),
            Some(grace) => {
                for (name, state) in self.targets.iter_mut() {
                    if !names.contains(name) {
                        state.lapsed_until.get_or_insert(now + grace);
                    }
                }
            }
        }
        for entry in entries {
            self.listed(now, entry);
        }
    }

    /// Marks a target as missing because the store was away.
    pub fn lapsed(&mut self, now: Time, name: &TargetName, grace: Duration) {
        if let Some(state) = self.targets.get_mut(name) {
            state.lapsed_until.get_or_insert(now + grace);
        }
    }

    /// Drops targets that did not come back in time, and returns their names.
    pub fn expire(&mut self, now: Time) -> Vec<TargetName> {
        let expired = |state: &TargetState| state.lapsed_until.is_some_and(|until| now >= until);
        let gone: Vec<TargetName> = self
            .targets
            .iter()
            .filter(|(_, state)| expired(state))
            .map(|(name, _)| name.clone())
            .collect();
        self.targets.retain(|_, state| !expired(state));
        gone
    }

    /// Takes a target's own word that it leaves. The same start of it gets nothing new from then
    /// on, whatever is listed later. Returns its start if that was not known, as is a start that is
    /// older than the one that is listed.
    pub fn leaves(&mut self, now: Time, name: &TargetName) -> Option<TargetDeparture> {
        let born_ms = self.targets.get(name)?.entry.born_ms;
        let departure = TargetDeparture { target: name.clone(), born_ms };
        self.departs(now, &departure).then_some(departure)
    }

    /// Takes another daemon's word that a target leaves. Returns whether it is new.
    pub fn departs(&mut self, now: Time, departure: &TargetDeparture) -> bool {
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
            let is_it = state.entry.born_ms <= *born_ms;
            if is_it && state.entry.phase == TargetPhase::Ready {
                state.entry.phase = TargetPhase::Leaving { left: None };
            }
        }
        true
    }

    fn has_departed(&self, name: &TargetName, born_ms: u64) -> bool {
        self.departed.get(name).is_some_and(|(born, _)| born_ms <= *born)
    }

    /// Returns the targets whose own word that they leave was learnt within a time.
    pub fn departures(&self, now: Time, within: Duration) -> Vec<TargetDeparture> {
        let recent = self.departed.iter().filter(|(_, (_, at))| now.since(*at) < within);
        let departure = |(target, (born_ms, _)): (&TargetName, &(u64, Time))| TargetDeparture {
            target: target.clone(),
            born_ms: *born_ms,
        };
        recent.map(departure).collect()
    }

    /// Takes a target's word that it wants nothing from this daemon until a moment.
    pub fn spare(&mut self, name: &TargetName, until: Time) {
        if let Some(state) = self.targets.get_mut(name) {
            state.spared_until = state.spared_until.max(until);
            (state.on_trial, state.tried_at) = (true, None);
        }
    }

    /// Returns this daemon's requests by target.
    pub fn runs(&self, now: Time) -> Vec<TargetOccupancy> {
        let used = self.targets.iter().filter(|(_, state)| !state.runs.is_empty());
        let runs = used.map(|(target, state)| TargetOccupancy {
            target: target.clone(),
            running: u32::try_from(state.runs.len()).unwrap_or(u32::MAX),
            pending_ms: u32::try_from(state.backlog(now).as_millis()).unwrap_or(u32::MAX),
        });
        runs.collect()
    }

    /// Takes the leader's word on other daemons' requests; targets that it doesn't name have few.
    pub fn fleet_told(&mut self, now: Time, busy: &[TargetOccupancy]) {
        self.targets.values_mut().for_each(|state| state.fleet = None);
        for runs in busy {
            if let Some(state) = self.targets.get_mut(&runs.target) {
                let pending = Duration::from_millis(u64::from(runs.pending_ms));
                state.fleet = Some((runs.running, pending));
            }
        }
        self.fleet_at = Some(now);
    }

    /// Forgets the leader's word on other daemons' requests once it is old.
    pub(crate) fn expire_fleet(&mut self, now: Time) {
        if self.fleet_at.take_if(|at| now.since(*at) >= FLEET_LIFE).is_some() {
            self.targets.values_mut().for_each(|state| state.fleet = None);
        }
    }

    /// Returns when the first of a service's targets that want to be spared will take requests, if
    /// there is one that could serve a model.
    pub(crate) fn spare_end(
        &self,
        now: Time,
        service: &Name,
        subject: Option<&ModelRef>,
    ) -> Option<Time> {
        let fits = |state: &&TargetState| {
            let base = |s: &ModelRef| ModelRef { model: s.model.clone(), adapter: None };
            state.entry.service == *service && subject.is_none_or(|s| state.holds(now, &base(s)))
        };
        self.targets.values().filter(fits).filter_map(|state| state.spare_end(now)).min()
    }

    /// Returns whether bytes of a request for a target may leave now, after time has passed since
    /// it was chosen.
    pub fn may_send(&self, now: Time, name: &TargetName) -> bool {
        self.targets.get(name).is_some_and(|state| {
            state.entry.phase == TargetPhase::Ready
                && state.lapsed_until.is_none_or(|until| now < until)
                && now >= state.spared_until
        })
    }

    /// Returns the targets that nothing can be sent to.
    pub fn dead(&self, now: Time) -> Vec<TargetName> {
        let dead = self.targets.iter().filter(|(_, state)| now < state.dead_until);
        dead.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the entry of a target that the store lists, so that all daemons know it.
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

    /// Returns what was seen of a target.
    pub fn health(&self, now: Time, name: &TargetName) -> Option<TargetHealth> {
        self.targets.get(name).map(|state| TargetHealth {
            own: state.own(),
            failures: state.failures,
            failure_share: state.failure_share,
            avoided: state.is_avoided(now),
        })
    }

    /// Notes that a target holds, or no longer holds, a model or an adapter.
    pub fn note_holding(&mut self, now: Time, name: &TargetName, subject: &ModelRef, held: bool) {
        if let Some(state) = self.targets.get_mut(name) {
            state.note(now, subject, held);
            if !held && subject.adapter.is_none() {
                state.record.clear();
            }
        }
    }

    /// Notes the leader's word on a whole model.
    pub fn note_model(&mut self, now: Time, name: &TargetName, model: &ModelName, held: bool) {
        let subject = ModelRef { model: model.clone(), adapter: None };
        self.note_holding(now, name, &subject, held);
    }

    pub(crate) fn of_service<'a>(
        &'a self,
        now: Time,
        service: &'a Name,
    ) -> impl Iterator<Item = &'a TargetState> {
        let silent = self.silent_domains(now);
        let fits = move |state: &&TargetState| {
            state.entry.service == *service && !silent.contains(&&state.entry.domain)
        };
        self.targets.values().filter(fits).filter(move |state| state.is_ready(now))
    }

    /// Returns the failure domains that seem to be cut off: several of their targets are dead or
    /// silent, and none has answered for a while.
    fn silent_domains(&self, now: Time) -> Vec<&DomainName> {
        let mut domains: SortedMap<&DomainName, (usize, usize)> = SortedMap::default();
        for state in self.targets.values() {
            let counts = domains.entry(&state.entry.domain, || (0, 0));
            counts.0 += 1;
            let silent = now < state.dead_until || state.overdue(now) > Duration::ZERO;
            counts.1 += usize::from(silent);
        }
        let is_silent = |(domain, (all, silent)): &(&&DomainName, &(usize, usize))| {
            let heard = self.heard.get(domain).copied().unwrap_or_default();
            *all >= DOMAIN_TARGETS && *silent >= DOMAIN_SILENT && now.since(heard) > DOMAIN_SILENCE
        };
        domains.iter().filter(is_silent).map(|(domain, _)| *domain).collect()
    }

    pub(crate) fn state_mut(&mut self, name: &TargetName) -> Option<&mut TargetState> {
        self.targets.get_mut(name)
    }

    pub(crate) fn started(
        &mut self,
        now: Time,
        name: &TargetName,
        request: u64,
        (work, estimate): (Duration, Duration),
    ) {
        if let Some(state) = self.targets.get_mut(name) {
            state.runs.push(OwnRun { request, since: now, work, estimate, begun: false });
            state.tried_at = state.on_trial.then_some(now);
        }
    }

    /// Notes the first event of a request's answer; returns how long it took and what had been
    /// expected.
    pub(crate) fn begun(
        &mut self,
        now: Time,
        name: &TargetName,
        request: u64,
    ) -> Option<(Duration, Duration)> {
        let state = self.targets.get_mut(name)?;
        let run = state.runs.iter_mut().find(|run| run.request == request && !run.begun)?;
        run.begun = true;
        state.on_trial = false;
        self.heard.insert(state.entry.domain.clone(), now);
        Some((now.since(run.since), run.estimate))
    }

    pub(crate) fn load_told(&mut self, now: Time, name: &TargetName, load: TargetLoad) {
        if let Some(state) = self.targets.get_mut(name) {
            let own = u32::try_from(state.runs.len()).unwrap_or(u32::MAX);
            state.load = Some((load, now, own));
        }
    }

    /// Notes how a request on a target ended. Returns true when the target is avoided from now
    /// on.
    pub(crate) fn ended(
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
            | AttemptEnd::Failed => Some(true),
            AttemptEnd::Full(load) => {
                if let Some(load) = load {
                    let own = u32::try_from(state.runs.len()).unwrap_or(u32::MAX);
                    state.load = Some((load, now, own));
                }
                None
            }
            AttemptEnd::Lacking
            | AttemptEnd::Replaced
            | AttemptEnd::Withheld
            | AttemptEnd::Abandoned => None,
        };
        if end == AttemptEnd::Replaced {
            state.dead_until = now + REPLACED_SPAN;
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
        // A target that fails some requests by itself is left by its share of failures, not all
        // at once.
        if matches!(end, AttemptEnd::Failed | AttemptEnd::Broken) && state.failures < 3 {
            return false;
        }
        let span = AVOID_SPAN.0 * 2u32.saturating_pow(state.failures.min(8) - 1);
        let until = now + span.min(AVOID_SPAN.1);
        match end {
            AttemptEnd::NotSent => state.dead_until = until,
            _ => state.avoid_until = until,
        }
        true
    }
}
