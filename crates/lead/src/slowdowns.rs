//! Slowdowns of targets, as daemons report them.

use base::{Name, SortedMap, TargetName};
use fleet::TargetSlowdown;

/// Most statements on one target that count. Older ones are from daemons that have not seen a change
/// since, or that have ended.
const MAX_STATEMENTS: usize = 16;

/// The latest statements on each target, one of each reporting daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowdownTable {
    targets: SortedMap<TargetName, Vec<(Name, f64)>>,
}

impl SlowdownTable {
    /// Records what one daemon states on a target.
    pub(crate) fn record(&mut self, host: &Name, target: &TargetName, slowdown: TargetSlowdown) {
        let statements = self.targets.entry(target.clone(), Vec::new);
        statements.retain(|(name, _)| name != host);
        if statements.len() >= MAX_STATEMENTS {
            statements.remove(0);
        }
        statements.push((host.clone(), slowdown.factor()));
    }

    /// Returns the mean of the statements on a target, if there are any.
    pub(crate) fn factor(&self, target: &TargetName) -> Option<f64> {
        let statements = self.targets.get(target)?;
        let sum: f64 = statements.iter().map(|(_, factor)| factor).sum();
        Some(sum / statements.len() as f64)
    }

    /// Drops the statements on targets that aren't listed any more.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&TargetName) -> bool) {
        self.targets.retain(|target, _| is_listed(target));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
