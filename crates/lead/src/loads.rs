//! Requests of all daemons by target.

use std::time::Duration;

use base::{Name, SortedMap, TargetName, Time};
use fleet::TargetOccupancy;

/// A daemon that reports nothing for longer has probably ended.
const REPORT_LIFE: Duration = Duration::from_secs(3);
/// Targets with less work and fewer requests before them are as good as idle.
const BUSY_MS: u64 = 80;
const BUSY_RUNS: u64 = 8;
/// Targets told in one answer.
const MAX_TOLD: usize = 16;

/// Requests on one target, and work before its next first event, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct RunTotal {
    running: u64,
    pending_ms: u64,
}

/// What daemons have on targets, by their last reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTable {
    hosts: SortedMap<Name, (Time, Vec<TargetOccupancy>)>,
    totals: SortedMap<TargetName, RunTotal>,
}

impl LoadTable {
    /// Takes one daemon's requests in place of those that it reported before.
    pub(crate) fn reported(&mut self, now: Time, host: &Name, runs: &[TargetOccupancy]) {
        let silent = self.hosts.iter().filter(|(_, (at, _))| now.since(*at) >= REPORT_LIFE);
        let silent: Vec<Name> = silent.map(|(name, _)| name.clone()).collect();
        for gone in silent.iter().chain([host]) {
            if let Some((_, runs)) = self.hosts.remove(gone) {
                runs.iter().for_each(|run| self.forget(run));
            }
        }
        for run in runs {
            let total = self.totals.entry(run.target.clone(), RunTotal::default);
            total.running += u64::from(run.running);
            total.pending_ms += u64::from(run.pending_ms);
        }
        self.hosts.insert(host.clone(), (now, runs.to_vec()));
    }

    fn forget(&mut self, run: &TargetOccupancy) {
        let Some(total) = self.totals.get_mut(&run.target) else { return };
        total.running = total.running.saturating_sub(u64::from(run.running));
        total.pending_ms = total.pending_ms.saturating_sub(u64::from(run.pending_ms));
        if total.running == 0 && total.pending_ms == 0 {
            self.totals.remove(&run.target);
        }
    }

    /// Returns what other daemons have on the targets that have most.
    pub(crate) fn busiest(&self, host: &Name) -> Vec<TargetOccupancy> {
        let own = self.hosts.get(host).map_or(&[][..], |(_, runs)| runs);
        let busy = self.totals.iter().filter_map(|(target, total)| {
            let own = own.iter().find(|run| run.target == *target);
            let (runs, ms) = own.map_or((0, 0), |run| (run.running, run.pending_ms));
            let running = total.running.saturating_sub(u64::from(runs));
            let pending_ms = total.pending_ms.saturating_sub(u64::from(ms));
            (running >= BUSY_RUNS || pending_ms >= BUSY_MS).then(|| TargetOccupancy {
                target: target.clone(),
                running: u32::try_from(running).unwrap_or(u32::MAX),
                pending_ms: u32::try_from(pending_ms).unwrap_or(u32::MAX),
            })
        });
        let mut busy: Vec<TargetOccupancy> = busy.collect();
        busy.sort_by_key(|run| std::cmp::Reverse((run.pending_ms, run.running)));
        busy.truncate(MAX_TOLD);
        busy
    }
}
