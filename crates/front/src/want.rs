//! Demand for models, and what the leader says of those that no target holds.

use std::time::Duration;

use base::{ModelName, SortedMap, TargetName, Time};
use fleet::{LoadEstimate, ModelDemand, ModelRef};

/// An outlook that is older says nothing any more.
const OUTLOOK_LIFE: Duration = Duration::from_millis(1_500);
/// Uses kept for one report.
const MAX_USES: usize = 256;

/// What is known of one model's demand.
#[derive(Clone, Debug, Default)]
struct ModelWant {
    arrivals: u32,
    tokens: u64,
    waiting: Vec<(u64, Time, u8)>,
    outlook: Option<(Time, Option<Duration>)>,
}

/// Demand by model since the last report, and requests that wait for a load.
#[derive(Clone, Debug, Default)]
pub(crate) struct WantTable {
    wants: SortedMap<ModelName, ModelWant>,
    uses: Vec<(TargetName, ModelRef)>,
    urgent: bool,
}

impl WantTable {
    pub(crate) fn arrived(&mut self, model: &ModelName, tokens: u64) {
        let want = self.wants.entry(model.clone(), ModelWant::default);
        want.arrivals += 1;
        want.tokens += tokens;
    }

    pub(crate) fn used(&mut self, target: &TargetName, subject: &ModelRef) {
        let known = self.uses.iter().any(|(t, s)| t == target && s == subject);
        if !known && self.uses.len() < MAX_USES {
            self.uses.push((target.clone(), subject.clone()));
        }
    }

    /// Notes that a request waits for a model, with its priority.
    pub(crate) fn waits(&mut self, now: Time, model: &ModelName, request: u64, priority: u8) {
        let want = self.wants.entry(model.clone(), ModelWant::default);
        if !want.waiting.iter().any(|(id, ..)| *id == request) {
            want.waiting.push((request, now, priority));
            self.urgent = true;
        }
    }

    pub(crate) fn leaves(&mut self, model: &ModelName, request: u64) {
        if let Some(want) = self.wants.get_mut(model) {
            want.waiting.retain(|(id, ..)| *id != request);
        }
    }

    /// Returns since when a request has waited for a model.
    pub(crate) fn waiting_since(&self, model: &ModelName, request: u64) -> Option<Time> {
        let want = self.wants.get(model)?;
        want.waiting.iter().find(|(id, ..)| *id == request).map(|(_, since, _)| *since)
    }

    pub(crate) fn told(&mut self, now: Time, outlook: &LoadEstimate) {
        let want = self.wants.entry(outlook.model.clone(), ModelWant::default);
        want.outlook = Some((now, outlook.ready_ms.map(Duration::from_millis)));
    }

    /// Returns the time until a model is ready: `None` when the leader has not said yet,
    /// `Some(None)` when it doesn't know the model.
    pub(crate) fn outlook(&self, now: Time, model: &ModelName) -> Option<Option<Duration>> {
        let (at, ready) = self.wants.get(model)?.outlook?;
        let age = now.since(at);
        (age < OUTLOOK_LIFE).then(|| ready.map(|span| span.saturating_sub(age)))
    }

    /// Returns whether something should be reported at once.
    pub(crate) fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Returns whether a request waits for a load.
    pub(crate) fn has_waiting(&self) -> bool {
        self.wants.values().any(|want| !want.waiting.is_empty())
    }

    /// Returns the demand since the last call, and the uses.
    pub(crate) fn take(&mut self, now: Time) -> (Vec<ModelDemand>, Vec<(TargetName, ModelRef)>) {
        self.urgent = false;
        let demand = self.wants.iter_mut().filter_map(|(model, want)| {
            let (arrivals, tokens) = (std::mem::take(&mut want.arrivals), want.tokens);
            want.tokens = 0;
            let oldest = want.waiting.iter().map(|(_, since, _)| *since).min();
            let oldest = oldest.map_or(Duration::ZERO, |since| now.since(since));
            let waiting = u32::try_from(want.waiting.len()).unwrap_or(u32::MAX);
            (arrivals > 0 || waiting > 0).then(|| ModelDemand {
                model: model.clone(),
                arrivals,
                tokens,
                waiting,
                oldest_ms: u64::try_from(oldest.as_millis()).unwrap_or(u64::MAX),
                priority: want.waiting.iter().map(|(.., priority)| *priority).min().unwrap_or(9),
            })
        });
        let demand = demand.collect();
        (demand, std::mem::take(&mut self.uses))
    }
}
