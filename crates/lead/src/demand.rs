//! Demand by model, aggregated from all daemons' reports.

use std::time::Duration;

use base::{ModelName, Name, SortedMap, Time};
use fleet::{ModelDemand, ModelNeed, SoftwareVersion};

/// Time constant of the exponential averages, in seconds.
const AVERAGE_SECONDS: f64 = 4.0;
/// Time constant, in seconds, of the average that shows a rise of the demand. Demand moves to other
/// models within 8 s on some days, and the longer average would take half of that to show it.
const RISE_SECONDS: f64 = 1.5;
/// Share of the short average that counts. It varies more than the long one while the demand is
/// constant.
const RISE_SHARE: f64 = 0.9;
/// A daemon's reported number of waiting requests counts for this long.
const WAIT_TTL: Duration = Duration::from_millis(1_500);

/// Requests of one daemon that wait for a model.
#[derive(Clone, Copy, Debug)]
struct WaitReport {
    count: u32,
    since: Time,
    reported_at: Time,
    priority: u8,
}

impl WaitReport {
    fn counts(&self, now: Time) -> bool {
        now.since(self.reported_at) < WAIT_TTL && self.count > 0
    }
}

/// Returns the number of waiting requests, when the oldest began to wait, and the most urgent priority.
fn sum_waits<'a>(now: Time, waits: impl Iterator<Item = &'a WaitReport>) -> (u32, Time, u8) {
    let recent = waits.filter(|wait| wait.counts(now));
    recent.fold((0, now, u8::MAX), |(count, since, priority), wait| {
        (count + wait.count, since.min(wait.since), priority.min(wait.priority))
    })
}

/// Demand for one model.
#[derive(Clone, Debug, Default)]
pub(crate) struct ModelStats {
    rate: f64,
    tokens: f64,
    /// Sum of the squares of the prompts' tokens.
    squares: f64,
    rising_tokens: f64,
    updated_at: Time,
    waits: SortedMap<Name, WaitReport>,
    /// Requests that continue streams, by the version at which these began and by daemon.
    bound_waits: SortedMap<(SoftwareVersion, Name), WaitReport>,
    arrivals: u64,
}

impl ModelStats {
    fn decay(&mut self, now: Time) {
        let factor = (-now.since(self.updated_at).as_secs_f64() / AVERAGE_SECONDS).exp();
        self.rate *= factor;
        self.tokens *= factor;
        self.squares *= factor;
        self.rising_tokens = self.rising_rate(now);
        self.updated_at = now;
    }

    /// Returns the requests per second.
    pub(crate) fn rate(&self, now: Time) -> f64 {
        self.rate * (-now.since(self.updated_at).as_secs_f64() / AVERAGE_SECONDS).exp()
    }

    /// Returns the prompt tokens per second.
    pub(crate) fn token_rate(&self, now: Time) -> f64 {
        self.tokens * (-now.since(self.updated_at).as_secs_f64() / AVERAGE_SECONDS).exp()
    }

    /// Returns the tokens of the prompt that an engine prefills at a random moment, or 0 without
    /// prompts. Long prompts take most of the time, so it exceeds the mean of all prompts.
    pub(crate) fn typical_prompt(&self) -> f64 {
        if self.tokens > 0.0 {
            self.squares / self.tokens
        } else {
            0.0
        }
    }

    fn rising_rate(&self, now: Time) -> f64 {
        self.rising_tokens * (-now.since(self.updated_at).as_secs_f64() / RISE_SECONDS).exp()
    }

    /// Returns the prompt tokens per second, which follows a rise faster than
    /// [`ModelStats::token_rate`].
    pub(crate) fn peak_token_rate(&self, now: Time) -> f64 {
        self.token_rate(now).max(RISE_SHARE * self.rising_rate(now))
    }

    /// Returns the number of waiting requests that any target with the model can serve, when the oldest
    /// began to wait, and the most urgent priority.
    pub(crate) fn waiting(&self, now: Time) -> (u32, Time, u8) {
        sum_waits(now, self.waits.values())
    }

    /// Returns the same of the requests that only targets of this version can serve.
    pub(crate) fn bound_waiting(&self, now: Time, version: &SoftwareVersion) -> (u32, Time, u8) {
        let bound = self.bound_waits.iter().filter(|((bound, _), _)| bound == version);
        sum_waits(now, bound.map(|(_, wait)| wait))
    }

    /// Returns the versions that waiting requests need.
    pub(crate) fn bound_versions(&self, now: Time) -> Vec<SoftwareVersion> {
        let recent = self.bound_waits.iter().filter(|(_, wait)| wait.counts(now));
        let mut versions: Vec<_> = recent.map(|((version, _), _)| version.clone()).collect();
        versions.dedup();
        versions
    }
}

/// Demand by model.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTable {
    models: SortedMap<ModelName, ModelStats>,
    /// Models in each daemon's last report.
    reported_models: SortedMap<Name, Vec<ModelName>>,
    arrivals: u64,
}

impl DemandTable {
    /// Adds one daemon's reported demand and replaces its waiting requests.
    pub(crate) fn record_report(&mut self, now: Time, host: &Name, demand: &[ModelDemand]) {
        let models = demand.iter().map(|entry| entry.model.clone()).collect();
        for model in self.reported_models.insert(host.clone(), models).unwrap_or_default() {
            if let Some(stats) = self.models.get_mut(&model) {
                stats.waits.remove(host);
                stats.bound_waits.retain(|(_, bound), _| bound != host);
            }
        }
        for entry in demand {
            let stats = self.models.entry(entry.model.clone(), ModelStats::default);
            stats.decay(now);
            stats.rate += f64::from(entry.arrivals) / AVERAGE_SECONDS;
            stats.tokens += entry.tokens as f64 / AVERAGE_SECONDS;
            // A report seldom has more than one request for a model, so the mean of its prompts is
            // close to each of them.
            let mean = entry.tokens as f64 / f64::from(entry.arrivals.max(1));
            stats.squares += entry.tokens as f64 * mean / AVERAGE_SECONDS;
            stats.rising_tokens += entry.tokens as f64 / RISE_SECONDS;
            stats.arrivals += u64::from(entry.arrivals);
            self.arrivals += u64::from(entry.arrivals);
            if entry.waiting > 0 {
                let since = now - Duration::from_millis(entry.oldest_ms);
                let (count, priority) = (entry.waiting, entry.priority);
                let wait = WaitReport { count, since, reported_at: now, priority };
                match &entry.version {
                    None => stats.waits.insert(host.clone(), wait),
                    Some(version) => {
                        stats.bound_waits.insert((version.clone(), host.clone()), wait)
                    }
                };
            }
        }
    }

    pub(crate) fn get(&self, model: &ModelName) -> Option<&ModelStats> {
        self.models.get(model)
    }

    pub(crate) fn rate(&self, now: Time, model: &ModelName) -> f64 {
        self.models.get(model).map_or(0.0, |stats| stats.rate(now))
    }

    /// Returns the tokens of the prompt that engines with these models prefill at a random moment.
    pub(crate) fn typical_prompt<'a>(
        &self,
        now: Time,
        models: impl Iterator<Item = &'a ModelName>,
    ) -> f64 {
        let stats = models.filter_map(|model| self.models.get(model));
        let (tokens, squares) = stats.fold((0.0, 0.0), |(tokens, squares), stats| {
            // The averages of a model without requests don't decay by themselves.
            let rate = stats.token_rate(now);
            (tokens + rate, squares + rate * stats.typical_prompt())
        });
        if tokens > 0.0 {
            squares / tokens
        } else {
            0.0
        }
    }

    /// Returns the number of requests that wait for a model, whatever else they need.
    pub(crate) fn waiting(&self, now: Time, model: &ModelName) -> u32 {
        self.models
            .get(model)
            .map_or(0, |stats| stats.waiting(now).0 + sum_waits(now, stats.bound_waits.values()).0)
    }

    /// Returns when the oldest request with a need began to wait; `now` if there is none.
    pub(crate) fn waiting_since(&self, now: Time, need: &ModelNeed) -> Time {
        let Some(stats) = self.models.get(&need.model) else { return now };
        match &need.version {
            None => stats.waiting(now).1,
            Some(version) => stats.bound_waiting(now, version).1,
        }
    }

    /// Returns the number of all requests that arrived so far.
    pub(crate) fn arrivals(&self) -> u64 {
        self.arrivals
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ModelName, &ModelStats)> {
        self.models.iter()
    }
}
