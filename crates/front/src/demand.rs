//! Demand for models, and the leader's load estimates for those that no target holds.

use std::time::Duration;

use base::{ModelName, SortedMap, TargetName, Time};
use fleet::{LoadEstimate, ModelDemand, ModelNeed, ModelRef};

/// How long a load estimate is valid.
const ESTIMATE_VALIDITY: Duration = Duration::from_millis(1_500);
/// Maximum number of model uses in one report.
const MAX_USES: usize = 256;

/// Demand for one model, or for one model at one software version.
#[derive(Clone, Debug, Default)]
struct DemandState {
    arrivals: u32,
    tokens: u64,
    /// Number, start of the wait, and priority of each request that waits for a load.
    waiting: Vec<(u64, Time, u8)>,
    /// When the leader last sent an estimate, and the estimated time until the model is ready.
    load_estimate: Option<(Time, Option<Duration>)>,
}

/// Demand by model since the last report, and requests that wait for a load.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTable {
    needs: SortedMap<ModelNeed, DemandState>,
    uses: Vec<(TargetName, ModelRef)>,
    has_new_waiting: bool,
}

impl DemandTable {
    pub(crate) fn record_arrival(&mut self, model: &ModelName, tokens: u64) {
        let need = ModelNeed::from(model.clone());
        let state = self.needs.entry(need, DemandState::default);
        state.arrivals += 1;
        state.tokens += tokens;
    }

    pub(crate) fn record_use(&mut self, target: &TargetName, subject: &ModelRef) {
        let known = self.uses.iter().any(|(t, s)| t == target && s == subject);
        if !known && self.uses.len() < MAX_USES {
            self.uses.push((target.clone(), subject.clone()));
        }
    }

    /// Adds a request that waits for a model, with its priority.
    pub(crate) fn add_waiting(&mut self, now: Time, need: &ModelNeed, request: u64, priority: u8) {
        let state = self.needs.entry(need.clone(), DemandState::default);
        if !state.waiting.iter().any(|(id, ..)| *id == request) {
            state.waiting.push((request, now, priority));
            self.has_new_waiting = true;
        }
    }

    pub(crate) fn remove_waiting(&mut self, need: &ModelNeed, request: u64) {
        if let Some(state) = self.needs.get_mut(need) {
            state.waiting.retain(|(id, ..)| *id != request);
        }
    }

    /// Returns when a request began to wait for a model.
    pub(crate) fn waiting_since(&self, need: &ModelNeed, request: u64) -> Option<Time> {
        let state = self.needs.get(need)?;
        state.waiting.iter().find(|(id, ..)| *id == request).map(|(_, since, _)| *since)
    }

    pub(crate) fn set_load_estimate(&mut self, now: Time, estimate: &LoadEstimate) {
        let state = self.needs.entry(estimate.need(), DemandState::default);
        state.load_estimate = Some((now, estimate.ready_ms.map(Duration::from_millis)));
    }

    /// Returns the time until a model is ready: `None` when the leader has not stated it yet,
    /// `Some(None)` when the leader doesn't know the model.
    pub(crate) fn load_estimate(&self, now: Time, need: &ModelNeed) -> Option<Option<Duration>> {
        let (at, ready) = self.needs.get(need)?.load_estimate?;
        let age = now.since(at);
        (age < ESTIMATE_VALIDITY).then(|| ready.map(|span| span.saturating_sub(age)))
    }

    /// Returns whether a request has begun to wait since the last report.
    pub(crate) fn is_urgent(&self) -> bool {
        self.has_new_waiting
    }

    /// Returns whether a request waits for a load.
    pub(crate) fn has_waiting(&self) -> bool {
        self.needs.values().any(|state| !state.waiting.is_empty())
    }

    /// Returns the demand and the uses since the last call.
    pub(crate) fn take(&mut self, now: Time) -> (Vec<ModelDemand>, Vec<(TargetName, ModelRef)>) {
        self.has_new_waiting = false;
        let demand = self.needs.iter_mut().filter_map(|(need, state)| {
            let (arrivals, tokens) = (std::mem::take(&mut state.arrivals), state.tokens);
            state.tokens = 0;
            let oldest = state.waiting.iter().map(|(_, since, _)| *since).min();
            let oldest = oldest.map_or(Duration::ZERO, |since| now.since(since));
            let waiting = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
            (arrivals > 0 || waiting > 0).then(|| ModelDemand {
                model: need.model.clone(),
                version: need.version.clone(),
                arrivals,
                tokens,
                waiting,
                oldest_ms: u64::try_from(oldest.as_millis()).unwrap_or(u64::MAX),
                priority: state.waiting.iter().map(|(.., priority)| *priority).min().unwrap_or(9),
            })
        });
        let demand = demand.collect();
        (demand, std::mem::take(&mut self.uses))
    }
}
