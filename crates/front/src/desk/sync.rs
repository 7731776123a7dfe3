//! Reports to the leader and the handling of its replies.

use std::time::Duration;

use base::{Revision, Time};
use fleet::{SyncReply, SyncReport, TargetDeparture};

use super::{Desk, SYNC_INTERVAL, SYNC_PAUSE};
use crate::purse::TeamPurse;
use crate::ticket::Stage;

/// Number of daemons up to which the shorter interval applies; beyond it the interval grows in
/// proportion.
const SYNC_SEATS: u32 = 100;

/// Returns the pause between two reports of a daemon that has requests.
pub(crate) fn sync_pause(seats: u32) -> Duration {
    (SYNC_INTERVAL.0 * seats.max(SYNC_SEATS) / SYNC_SEATS).min(SYNC_INTERVAL.1)
}

/// How long known departures are reported to a new leader: after this time the store no longer
/// lists the targets.
const DEPARTURE_SPAN: Duration = Duration::from_secs(60);

impl Desk {
    /// Returns when the next report to the leader is due.
    pub fn sync_due(&self, now: Time) -> Time {
        if self.wants.is_urgent() || self.purses.values().any(TeamPurse::is_urgent) {
            return self.synced_at + SYNC_PAUSE;
        }
        let active = self.wants.has_waiting()
            || !self.tickets.is_empty()
            || self.purses.values().any(|purse| purse.is_active(now));
        // The leader's work grows with the number of daemons that report.
        let busy = sync_pause(self.seats);
        self.synced_at + if active { busy } else { SYNC_INTERVAL.1 }
    }

    /// Returns the report to the leader. `known` is the revision up to which the store was read.
    pub fn report(&mut self, now: Time, known: Revision) -> SyncReport {
        self.synced_at = now;
        self.sync_number += 1;
        for ticket in self.tickets.values() {
            if let (Stage::Running(target), Some(subject)) = (&ticket.stage, &ticket.model) {
                self.wants.used(target, subject);
            }
        }
        let (demand, used) = self.wants.take(now);
        let draws = self.purses.iter_mut().filter_map(|(team, purse)| {
            let draw = purse.draw(now);
            draw.is_any().then(|| draw.of_team(team.clone()))
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
            runs: self.book.runs(now),
            suspects: self.book.dead(now),
            leaving: self.tell_leaving(),
        }
    }

    /// Returns the departures that no leader has acknowledged yet.
    fn tell_leaving(&mut self) -> Vec<TargetDeparture> {
        let number = self.sync_number;
        self.leaving.iter_mut().for_each(|(_, told)| *told = told.or(Some(number)));
        self.leaving.iter().map(|(departure, _)| departure.clone()).collect()
    }

    /// Applies the leader's reply to a report that was sent at `asked_at`.
    pub fn replied(&mut self, now: Time, asked_at: Time, reply: &SyncReply) {
        if reply.fence < self.fence {
            return;
        }
        self.leaving.retain(|(_, told)| told.is_none_or(|number| number > reply.number));
        if reply.fence > self.fence {
            let known = self.book.departures(now, DEPARTURE_SPAN);
            self.leaving = known.into_iter().map(|departure| (departure, None)).collect();
        }
        for departure in &reply.leaving {
            self.book.departs(now, departure);
        }
        self.fence = reply.fence;
        self.heard_at = self.heard_at.max(asked_at);
        self.acknowledged = reply.number;
        self.set_seats(self.seats.max(reply.seats));
        for grant in &reply.grants {
            if let Some(purse) = self.purses.get_mut(&grant.team) {
                purse.granted(now, asked_at, grant);
            }
        }
        self.book.fleet_told(now, &reply.busy);
        for outlook in &reply.outlooks {
            self.wants.told(now, outlook);
        }
        for (target, model) in &reply.held {
            self.book.note_model(now, target, model, true);
        }
        for (target, model) in &reply.retiring {
            self.book.note_model(now, target, model, false);
        }
    }
}
