//! How slow a target is, by what it states with its answers.

use std::time::Duration;

use base::Time;
use fleet::TargetSlowdown;

/// How long a statement describes the present. Targets state new ones many times a second.
const STATEMENT_VALIDITY: Duration = Duration::from_millis(200);
/// Weight of one statement in the usual factor. Spikes are short and take part in the average,
/// because most requests run for longer than a spike.
const USUAL_WEIGHT: f64 = 0.1;
/// Share by which the usual factor must differ from the reported one to be reported again.
const REPORT_CHANGE: f64 = 0.2;

/// The slowdown of one target, as this daemon has heard of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowdownRecord {
    latest: Option<(TargetSlowdown, Time)>,
    usual: Option<f64>,
    reported: Option<f64>,
}

impl SlowdownRecord {
    pub(crate) fn record(&mut self, now: Time, slowdown: TargetSlowdown) {
        let usual = self.usual.get_or_insert(slowdown.factor());
        *usual += USUAL_WEIGHT * (slowdown.factor() - *usual);
        self.latest = Some((slowdown, now));
    }

    /// Returns whether the target has stated its slowdown.
    pub(crate) fn is_stated(&self) -> bool {
        self.usual.is_some()
    }

    /// Returns the factor by which work that starts now takes longer: the latest statement while it
    /// is recent, and the usual factor otherwise. Returns 1 for a target that states nothing.
    pub(crate) fn factor(&self, now: Time) -> f64 {
        let usual = self.usual.unwrap_or(1.0);
        match self.latest {
            Some((latest, at)) if now.since(at) < STATEMENT_VALIDITY => latest.factor().max(usual),
            _ => usual,
        }
    }

    /// Returns the usual slowdown if it has changed since it was last returned.
    pub(crate) fn take_change(&mut self) -> Option<TargetSlowdown> {
        let usual = self.usual?;
        let is_known = |known: f64| (usual - known).abs() < REPORT_CHANGE * known;
        if self.reported.is_some_and(is_known) {
            return None;
        }
        self.reported = Some(usual);
        TargetSlowdown::from_percent((usual * 100.0).round() as u32)
    }

    /// Marks the slowdown as not reported, for a new leader.
    pub(crate) fn forget_report(&mut self) {
        self.reported = None;
    }
}
