//! Grants of the teams' allowances.

use std::time::Duration;

use base::Time;
use fleet::{SyncReport, TeamGrant};

use super::{Leader, LeaderEvent};

/// How long a census is used: reports come much more often than it changes.
const CENSUS_INTERVAL: Duration = Duration::from_millis(10);
/// Pause between two events about the same team's shares.
const SETTLED_INTERVAL: Duration = Duration::from_secs(1);

impl Leader {
    /// Processes a report's draws on the teams' allowances.
    pub(super) fn draw_allowances(&mut self, now: Time, report: &SyncReport) -> Vec<TeamGrant> {
        if !report.draws.is_empty() && now.since(self.census_at) >= CENSUS_INTERVAL {
            (self.census, self.census_at) = (self.seats.census(now), now);
        }
        let mut grants = Vec::new();
        for draw in &report.draws {
            if let Some(pool) = self.pools.get_mut(&draw.team) {
                pool.refill(now, &self.census);
                grants.push(pool.draw(now, &report.host, draw));
            }
        }
        if now.since(self.settled_at) >= SETTLED_INTERVAL {
            self.settled_at = now;
            let accounts = self.pools.iter_mut().filter_map(|(team, pool)| {
                pool.take_account().map(|account| (team.clone(), account))
            });
            let events = accounts.map(|(team, account)| LeaderEvent::SharesSettled(team, account));
            self.events.extend(events);
        }
        grants
    }
}
