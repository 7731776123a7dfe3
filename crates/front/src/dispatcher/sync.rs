//! Reports to the leader and the handling of its replies.

use std::time::Duration;

use base::{Revision, TargetName, Time};
use fleet::{report_pause, SyncReply, SyncReport, TargetDeparture, REPORT_PAUSE};
use limit::{ColdStatement, LimitStatement};

use super::{RequestDispatcher, SYNC_PAUSE};
use crate::budget::TeamBudget;
use crate::request::RequestStage;

/// How long known departures are reported to a new leader: after this time the store no longer
/// lists the targets.
const DEPARTURE_SPAN: Duration = Duration::from_secs(60);

/// Most slowdowns in one report; the others follow with the next reports.
const MAX_SLOWDOWNS: usize = 16;

impl RequestDispatcher {
    /// Returns when the next report to the leader is due.
    pub fn sync_due(&self, now: Time) -> Time {
        if self.demand_table.is_urgent()
            || self.changed_limits.iter().any(|(_, first_report)| first_report.is_none())
            || self.changed_cold.iter().any(|(_, first_report)| first_report.is_none())
            || self.budgets.values().any(TeamBudget::is_urgent)
        {
            return self.synced_at + SYNC_PAUSE;
        }
        let active = self.demand_table.has_waiting()
            || !self.requests.is_empty()
            || self.budgets.values().any(|budget| budget.is_active(now));
        // The leader's work grows with the number of daemons that report.
        let busy = report_pause(self.daemons);
        self.synced_at + if active { busy } else { REPORT_PAUSE.1 }
    }

    /// Returns the report to the leader. `known` is the revision up to which the store was read.
    pub fn report(&mut self, now: Time, known: Revision) -> SyncReport {
        self.synced_at = now;
        self.sync_number += 1;
        for request in self.requests.values() {
            if let (RequestStage::Running(target), Some(subject)) = (&request.stage, &request.model)
            {
                self.demand_table.record_use(target, subject);
            }
        }
        let (demand, used) = self.demand_table.take(now);
        let draws = self.budgets.iter_mut().filter_map(|(team, budget)| {
            let draw = budget.take_draw(now);
            draw.has_content().then(|| draw.into_team_draw(team.clone()))
        });
        SyncReport {
            host: self.config.host.clone(),
            incarnation: self.incarnation,
            number: self.sync_number,
            acknowledged: self.acknowledged,
            known,
            draws: draws.collect(),
            demand,
            used,
            runs: self.targets.occupancy(now),
            suspects: self.targets.unreachable(now),
            leaving: self.report_leaving(),
            limits: self.report_limits(now),
            slowdowns: self.targets.take_slowdowns(MAX_SLOWDOWNS),
            cold: self.report_cold(now),
            layout: self.layout.as_ref().map(|layout| layout.version()),
            layout_digest: None,
        }
    }

    /// Returns the departures that no leader has acknowledged yet.
    fn report_leaving(&mut self) -> Vec<TargetDeparture> {
        let number = self.sync_number;
        self.leaving
            .iter_mut()
            .for_each(|(_, first_report)| *first_report = first_report.or(Some(number)));
        self.leaving.iter().map(|(departure, _)| departure.clone()).collect()
    }

    /// Returns the limits that no leader has acknowledged yet.
    fn report_limits(&mut self, now: Time) -> Vec<LimitStatement> {
        let number = self.sync_number;
        self.changed_limits
            .iter_mut()
            .for_each(|(_, first_report)| *first_report = first_report.or(Some(number)));
        let changed = self.changed_limits.iter();
        changed.filter_map(|(target, _)| self.targets.limits().statement(now, target)).collect()
    }

    /// Returns the cold targets that no leader has acknowledged yet.
    fn report_cold(&mut self, now: Time) -> Vec<ColdStatement> {
        let number = self.sync_number;
        self.changed_cold
            .iter_mut()
            .for_each(|(_, first_report)| *first_report = first_report.or(Some(number)));
        let changed = self.changed_cold.iter();
        changed.filter_map(|(target, _)| self.targets.permit_statements(now, target)?.1).collect()
    }

    /// Applies the leader's reply to a report that was sent at `asked_at`. Returns the targets whose
    /// limits have changed.
    pub fn apply_reply(&mut self, now: Time, asked_at: Time, reply: &SyncReply) -> Vec<TargetName> {
        if reply.fence < self.fence {
            return Vec::new();
        }
        self.changed_limits
            .retain(|(_, first_report)| first_report.is_none_or(|number| number > reply.number));
        self.changed_cold
            .retain(|(_, first_report)| first_report.is_none_or(|number| number > reply.number));
        self.leaving
            .retain(|(_, first_report)| first_report.is_none_or(|number| number > reply.number));
        if reply.fence > self.fence {
            let known = self.targets.departures(now, DEPARTURE_SPAN);
            self.leaving = known.into_iter().map(|departure| (departure, None)).collect();
            let limited = self.targets.limits().targets();
            self.changed_limits = limited.map(|target| (target.clone(), None)).collect();
            self.targets.forget_slowdown_reports();
            let cold = self.targets.cold_statements(now).into_iter();
            self.changed_cold = cold.map(|statement| (statement.target, None)).collect();
        }
        for departure in &reply.leaving {
            self.targets.record_departure(now, departure);
        }
        self.fence = reply.fence;
        self.leader_heard_at = self.leader_heard_at.max(asked_at);
        self.acknowledged = reply.number;
        self.set_daemon_count(self.daemons.max(reply.seats));
        for grant in &reply.grants {
            if let Some(budget) = self.budgets.get_mut(&grant.team) {
                budget.apply_grant(now, asked_at, grant);
            }
        }
        self.targets.set_other_load(now, &reply.busy);
        for estimate in &reply.outlooks {
            self.demand_table.set_load_estimate(now, estimate);
        }
        for (target, model) in &reply.held {
            self.targets.record_model(now, target, model, true);
        }
        for (target, model) in &reply.retiring {
            self.targets.record_model(now, target, model, false);
        }
        reply.cold.iter().for_each(|statement| self.targets.apply_cold(now, statement));
        let limits = self.targets.limits_mut();
        let changed = reply.limits.iter().filter(|limit| limits.apply_statement(now, limit));
        changed.map(|limit| limit.target.clone()).collect()
    }
}
