//! Requests in flight on each target, aggregated from all daemons' reports.

use std::time::Duration;

use base::{Name, SortedMap, TargetName, Time};
use fleet::TargetOccupancy;

/// A daemon that has not reported for this long has probably ended, and its requests are dropped.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Targets with less pending work, in milliseconds, and fewer requests than this count as idle.
const MIN_BUSY_MS: u64 = 80;
const MIN_BUSY_REQUESTS: u64 = 8;
/// Most targets listed in one reply.
const MAX_LISTED: usize = 16;

/// Requests on one target, and its work before it begins to answer a new one, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct RequestTotal {
    running: u64,
    pending_ms: u64,
}

/// Requests by daemon and target, from each daemon's last report.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTable {
    hosts: SortedMap<Name, (Time, Vec<TargetOccupancy>)>,
    totals: SortedMap<TargetName, RequestTotal>,
}

impl RequestTable {
    /// Replaces one daemon's reported requests, and drops those of daemons that ceased to report.
    pub(crate) fn record_report(&mut self, now: Time, host: &Name, occupancy: &[TargetOccupancy]) {
        let silent = self.hosts.iter().filter(|(_, (at, _))| now.since(*at) >= REPORT_TTL);
        let silent: Vec<Name> = silent.map(|(name, _)| name.clone()).collect();
        for expired in silent.iter().chain([host]) {
            if let Some((_, occupancy)) = self.hosts.remove(expired) {
                occupancy.iter().for_each(|run| self.subtract(run));
            }
        }
        for run in occupancy {
            let total = self.totals.entry(run.target.clone(), RequestTotal::default);
            total.running += u64::from(run.running);
            total.pending_ms += u64::from(run.pending_ms);
        }
        self.hosts.insert(host.clone(), (now, occupancy.to_vec()));
    }

    fn subtract(&mut self, run: &TargetOccupancy) {
        let Some(total) = self.totals.get_mut(&run.target) else { return };
        total.running = total.running.saturating_sub(u64::from(run.running));
        total.pending_ms = total.pending_ms.saturating_sub(u64::from(run.pending_ms));
        if total.running == 0 && total.pending_ms == 0 {
            self.totals.remove(&run.target);
        }
    }

    /// Returns the other daemons' requests on the busiest targets, busiest first. `reserved` is the
    /// prefill time that targets still need for the prompts that the leader has scheduled; it is more
    /// recent than the reports.
    pub(crate) fn busiest<'a>(
        &self,
        host: &Name,
        reserved: impl Iterator<Item = (&'a TargetName, Duration)>,
    ) -> Vec<TargetOccupancy> {
        let own = self.hosts.get(host).map_or(&[][..], |(_, occupancy)| occupancy);
        let busy = self.totals.iter().filter_map(|(target, total)| {
            let own = own.iter().find(|run| run.target == *target);
            let (runs, ms) = own.map_or((0, 0), |run| (run.running, run.pending_ms));
            let running = total.running.saturating_sub(u64::from(runs));
            let pending_ms = total.pending_ms.saturating_sub(u64::from(ms));
            (running >= MIN_BUSY_REQUESTS || pending_ms >= MIN_BUSY_MS).then(|| TargetOccupancy {
                target: target.clone(),
                running: u32::try_from(running).unwrap_or(u32::MAX),
                pending_ms: u32::try_from(pending_ms).unwrap_or(u32::MAX),
            })
        });
        let mut busy: Vec<TargetOccupancy> = busy.collect();
        for (target, backlog) in reserved {
            let pending_ms = u32::try_from(backlog.as_millis()).unwrap_or(u32::MAX);
            match busy.iter_mut().find(|run| run.target == *target) {
                Some(run) => run.pending_ms = pending_ms,
                None if u64::from(pending_ms) >= MIN_BUSY_MS => {
                    let total = self.totals.get(target).map_or(0, |total| total.running);
                    let own = own.iter().find(|run| run.target == *target);
                    let own = own.map_or(0, |run| u64::from(run.running));
                    let running = u32::try_from(total.saturating_sub(own)).unwrap_or(u32::MAX);
                    busy.push(TargetOccupancy { target: target.clone(), running, pending_ms });
                }
                None => {}
            }
        }
        busy.sort_by_key(|run| std::cmp::Reverse((run.pending_ms, run.running)));
        busy.truncate(MAX_LISTED);
        busy
    }
}
