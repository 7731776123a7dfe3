//! Demand by model, from all daemons' reports.

use std::time::Duration;

use base::{ModelName, Name, SortedMap, Time};
use fleet::ModelDemand;

/// Demand is averaged over about this time.
const AVERAGE_SPAN: f64 = 4.0;
/// What a daemon said of its waiting requests counts for this long.
const WAIT_LIFE: Duration = Duration::from_millis(1_500);

/// Requests of one daemon that wait for a model.
#[derive(Clone, Copy, Debug)]
struct WaitNote {
    count: u32,
    since: Time,
    at: Time,
    priority: u8,
}

/// One model's demand.
#[derive(Clone, Debug, Default)]
pub(crate) struct ModelStats {
    rate: f64,
    tokens: f64,
    at: Time,
    waits: SortedMap<Name, WaitNote>,
    arrivals: u64,
}

impl ModelStats {
    fn decay(&mut self, now: Time) {
        let factor = (-now.since(self.at).as_secs_f64() / AVERAGE_SPAN).exp();
        self.rate *= factor;
        self.tokens *= factor;
        self.at = now;
    }

    /// Returns the requests in a second.
    pub(crate) fn rate(&self, now: Time) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64() / AVERAGE_SPAN).exp()
    }

    /// Returns the prompt tokens in a second.
    pub(crate) fn token_rate(&self, now: Time) -> f64 {
        self.tokens * (-now.since(self.at).as_secs_f64() / AVERAGE_SPAN).exp()
    }

    /// Returns how many requests wait, since when, and their first priority.
    pub(crate) fn waiting(&self, now: Time) -> (u32, Time, u8) {
        let fresh = self.waits.values().filter(|w| now.since(w.at) < WAIT_LIFE && w.count > 0);
        fresh.fold((0, now, u8::MAX), |(count, since, priority), wait| {
            (count + wait.count, since.min(wait.since), priority.min(wait.priority))
        })
    }
}

/// Demand by model.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTable {
    models: SortedMap<ModelName, ModelStats>,
    /// Models that each daemon's last report named.
    named: SortedMap<Name, Vec<ModelName>>,
    arrivals: u64,
}

impl DemandTable {
    /// Takes one daemon's report.
    pub(crate) fn reported(&mut self, now: Time, host: &Name, demand: &[ModelDemand]) {
        let models = demand.iter().map(|entry| entry.model.clone()).collect();
        for model in self.named.insert(host.clone(), models).unwrap_or_default() {
            if let Some(stats) = self.models.get_mut(&model) {
                stats.waits.remove(host);
            }
        }
        for entry in demand {
            let stats = self.models.entry(entry.model.clone(), ModelStats::default);
            stats.decay(now);
            stats.rate += f64::from(entry.arrivals) / AVERAGE_SPAN;
            stats.tokens += entry.tokens as f64 / AVERAGE_SPAN;
            stats.arrivals += u64::from(entry.arrivals);
            self.arrivals += u64::from(entry.arrivals);
            if entry.waiting > 0 {
                let since = now - Duration::from_millis(entry.oldest_ms);
                let (count, priority) = (entry.waiting, entry.priority);
                stats.waits.insert(host.clone(), WaitNote { count, since, at: now, priority });
            }
        }
    }

    pub(crate) fn get(&self, model: &ModelName) -> Option<&ModelStats> {
        self.models.get(model)
    }

    pub(crate) fn rate(&self, now: Time, model: &ModelName) -> f64 {
        self.models.get(model).map_or(0.0, |stats| stats.rate(now))
    }

    pub(crate) fn waiting(&self, now: Time, model: &ModelName) -> u32 {
        self.models.get(model).map_or(0, |stats| stats.waiting(now).0)
    }

    /// Returns all arrivals so far.
    pub(crate) fn arrivals(&self) -> u64 {
        self.arrivals
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ModelName, &ModelStats)> {
        self.models.iter()
    }
}
