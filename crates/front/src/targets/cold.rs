//! Targets that are cold.

use std::time::Duration;

use base::{TargetName, Time};
use fleet::{FleetLayout, ModelRef, TargetEntry};
use limit::{ColdNotice, ColdStatement, LimitStatement, LimitTable, PermitDenial, PermitUse};

use super::{TargetState, TargetTable, MAX_COLD_ASKS, MIN_LIMIT_WAIT, START_FACTOR};
use crate::request::OpenRequest;

impl TargetTable {
    /// Records the start of a target that is listed for the first time, or again.
    pub(super) fn record_listed_start(&mut self, now: Time, entry: &TargetEntry) {
        let Some(spec) = self.cold_specs.get(&entry.service) else { return };
        let left = match entry.cold {
            // The first list may state for each target that it isn't cold.
            ColdNotice::Left(left) => (self.has_list || !left.is_zero()).then_some(left),
            ColdNotice::Absent | ColdNotice::Malformed => self.has_list.then_some(spec.span),
        };
        let target = (&entry.name, entry.born_ms);
        if !self.cold.record_start(now, target, *spec, left) {
            self.cold.apply_listing(now, target, *spec, entry.cold);
        }
    }

    /// Takes over from a layout which services have targets that can be cold.
    pub(crate) fn set_cold_specs(&mut self, layout: &FleetLayout) {
        let specs = layout.services().filter_map(|s| Some((s.name.clone(), s.cold.spec()?)));
        self.cold_specs = specs.collect();
        let (targets, specs) = (&self.targets, &self.cold_specs);
        self.cold.retain(|name| {
            targets.get(name).is_none_or(|state| specs.contains(&state.entry.service))
        });
    }

    /// Records what the answer to a request that was sent at `sent_at` says about how long its target
    /// stays cold. Returns whether the target has become cold.
    pub fn record_cold(
        &mut self,
        now: Time,
        name: &TargetName,
        sent_at: Time,
        notice: ColdNotice,
    ) -> bool {
        let Some(state) = self.targets.get(name) else { return false };
        let Some(spec) = self.cold_specs.get(&state.entry.service) else { return false };
        self.cold.apply_notice(now, (name, state.entry.born_ms), *spec, notice, sent_at)
    }

    /// Applies another daemon's statement that a target is cold.
    pub(crate) fn apply_cold(&mut self, now: Time, statement: &ColdStatement) {
        let state = self.targets.get(&statement.target);
        if state.is_some_and(|state| self.cold_specs.contains(&state.entry.service)) {
            self.cold.apply_statement(now, statement);
        }
    }

    /// Records a malformed statement of how long a target is cold. Returns whether it is the first
    /// since the target's start.
    pub fn record_bad_cold(&mut self, name: &TargetName) -> bool {
        let state = self.targets.get_mut(name);
        state.is_some_and(|state| !std::mem::replace(&mut state.has_bad_cold, true))
    }

    /// Returns what is known of the targets that are cold.
    pub fn cold_statements(&self, now: Time) -> Vec<ColdStatement> {
        let names = self.cold.targets(now);
        names.filter_map(|name| self.cold.statement(now, name)).collect()
    }

    /// Returns the targets that became cold, with the time left, or warm since the last call.
    pub fn take_cold_changes(&mut self, now: Time) -> Vec<(TargetName, Option<Duration>)> {
        self.cold.take_changes(now)
    }

    /// Returns whether a target is cold.
    pub fn is_cold(&self, now: Time, name: &TargetName) -> bool {
        let state = self.targets.get(name);
        state.is_some_and(|state| self.cold.rate(now, name, state.entry.born_ms).is_some())
    }

    /// Returns the number of cold targets that are listed.
    pub fn cold_count(&self, now: Time) -> usize {
        self.cold.targets(now).filter(|name| self.is_cold(now, name)).count()
    }

    /// Returns whether requests to a target need permits.
    pub(crate) fn needs_permit(&self, now: Time, name: &TargetName) -> bool {
        self.limit(name).is_some() || self.is_cold(now, name)
    }

    /// Returns whether any target needs permits.
    pub(crate) fn has_permits(&self, now: Time) -> bool {
        !self.limits.is_empty() || !self.cold.is_empty(now)
    }

    /// Returns the estimate of an attempt on a target, which is slow at first after its start.
    pub(crate) fn slowed(&self, now: Time, state: &TargetState, estimate: Duration) -> Duration {
        match self.cold.is_slow(now, &state.entry.name, state.entry.born_ms) {
            true => estimate.mul_f64(START_FACTOR),
            false => estimate,
        }
    }

    /// Returns what the leader should know to issue a permit for a target.
    pub(crate) fn permit_statements(
        &self,
        now: Time,
        name: &TargetName,
    ) -> Option<(LimitStatement, Option<ColdStatement>)> {
        let born_ms = self.targets.get(name)?.entry.born_ms;
        let limit = self.limits.statement(now, name);
        let cold = self.cold.statement(now, name).filter(|cold| cold.born_ms == born_ms);
        Some((limit.unwrap_or_else(|| LimitTable::empty_statement(name, born_ms)), cold))
    }

    /// Records that a permit was asked for.
    pub(crate) fn record_ask(&mut self, now: Time, name: &TargetName, purpose: PermitUse) {
        self.limits.record_ask(now, name, purpose);
        self.cold.record_ask(now, name);
    }

    /// Records that the leader issued a permit.
    pub(crate) fn record_issue(&mut self, now: Time, name: &TargetName) {
        self.cold.record_issue(now, name);
    }

    /// Records the leader's answer that a permit is not available.
    pub(crate) fn record_denial(
        &mut self,
        now: Time,
        name: &TargetName,
        purpose: PermitUse,
        denial: PermitDenial,
    ) {
        self.limits.record_denial(now, name, purpose, denial);
        self.cold.record_denial(now, name, denial);
    }

    /// Records that the leader did not answer.
    pub(crate) fn record_silence(&mut self, now: Time, name: &TargetName) {
        self.limits.record_silence(now, name);
        self.cold.record_silence(now, name);
    }

    /// Returns how long a request should wait for the first of the cold targets that it may be sent
    /// to: until a permit may be had or the target is warm. `leader_wait` is how long no leader issues
    /// permits. Returns `None` if no such target is cold.
    pub(crate) fn cold_wait(
        &self,
        now: Time,
        request: &OpenRequest,
        subject: Option<&ModelRef>,
        leader_wait: Duration,
    ) -> Option<Duration> {
        if self.cold.is_empty(now) {
            return None;
        }
        let base = subject.map(|s| ModelRef { model: s.model.clone(), adapter: None });
        let wait = |state: &TargetState| {
            let name = &state.entry.name;
            let warm_in = self.cold.until(now, name, state.entry.born_ms)?.since(now);
            let permit_in = self.cold.return_wait(now, name).max(leader_wait).max(MIN_LIMIT_WAIT);
            Some(match self.limit(name) {
                Some(_) => permit_in.max(self.limits.return_wait(now, name)),
                None => permit_in.min(warm_in),
            })
        };
        let usable = self.of_service(now, &request.service).filter(|state| {
            base.as_ref().is_none_or(|base| state.holds(now, base))
                && request.may_try(&state.entry)
                && self.fits_version(state, request)
                && request.permit_asks < MAX_COLD_ASKS
        });
        usable.filter_map(wait).min()
    }
}
