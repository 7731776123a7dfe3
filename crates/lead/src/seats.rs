//! The daemons that share the teams' allowances.

use std::time::Duration;

use base::{Name, SortedMap, Time};
use fleet::accrual_delay;

/// A daemon that left the store's list is counted for this long, because a host that is partitioned
/// from the store goes on spending.
const REMOVED_SEAT_TTL: Duration = Duration::from_secs(60);

/// A daemon that may spend its share of the allowances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AbsentSeat {
    /// Host on which the daemon runs.
    pub host: Name,
    /// Time since the last reply that the daemon has acknowledged; [`Duration::MAX`] if it hasn't been
    /// heard in this term.
    pub silence: Duration,
}

impl AbsentSeat {
    /// Returns whether the daemon has been heard in this term.
    pub fn is_known(&self) -> bool {
        self.silence < Duration::MAX
    }
}

/// The hosts with a seat in the store's list, and those whose seat was removed recently.
///
/// Every daemon keeps one, because a new leader must also count seats that were removed before its
/// term.
#[derive(Clone, Debug, Default)]
pub struct SeatRoster {
    /// When each seat was removed from the list; `None` while it is listed.
    seats: SortedMap<Name, Option<Time>>,
}

impl SeatRoster {
    /// Replaces the listed seats with those that the store lists now.
    pub fn replace_seats(&mut self, now: Time, hosts: impl Iterator<Item = Name>) {
        for removed_at in self.seats.values_mut() {
            *removed_at = removed_at.or(Some(now));
        }
        hosts.for_each(|host| self.add_seat(host));
    }

    /// Adds a listed seat.
    pub fn add_seat(&mut self, host: Name) {
        self.seats.insert(host, None);
    }

    /// Marks a seat as removed from the store's list.
    pub fn unlisted(&mut self, now: Time, host: Name) {
        self.seats.insert(host, Some(now));
        self.seats
            .retain(|_, removed_at| removed_at.is_none_or(|at| now.since(at) < REMOVED_SEAT_TTL));
    }

    /// Returns the hosts whose seats are listed or were removed recently.
    pub fn hosts(&self, now: Time) -> impl Iterator<Item = &Name> {
        let is_counted = move |removed_at: &Option<Time>| {
            removed_at.is_none_or(|at| now.since(at) < REMOVED_SEAT_TTL)
        };
        self.seats
            .iter()
            .filter(move |(_, removed_at)| is_counted(removed_at))
            .map(|(host, _)| host)
    }

    /// Returns the number of hosts whose seats are listed or were removed recently.
    pub fn count(&self, now: Time) -> u32 {
        u32::try_from(self.hosts(now).count()).unwrap_or(u32::MAX)
    }
}

/// The daemons that share the allowances at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeatCensus {
    /// Number of daemons.
    pub seats: u32,
    /// Number of daemons that had not heard any leader before this term.
    pub new_seats: u32,
    /// Daemons that have acknowledged no recent reply, and so may spend by themselves.
    pub absent: Vec<AbsentSeat>,
}

/// What the leader records of one daemon.
#[derive(Clone, Copy, Debug, Default)]
struct SeatState {
    incarnation: u64,
    /// Number of the last report that was replied to, and when the reply was sent.
    last_reply: Option<(u64, Time)>,
    /// When the last reply that the daemon acknowledged was sent.
    confirmed_at: Option<Time>,
    /// Whether its host is in the roster.
    is_listed: bool,
    /// Whether its process had not heard any leader before its first report.
    is_new: bool,
}

/// The daemons that may spend allowances.
#[derive(Clone, Debug, Default)]
pub struct SeatTable {
    seats: SortedMap<Name, SeatState>,
}

impl SeatTable {
    /// Applies the roster. Daemons that are not in it are kept while they acknowledge replies.
    pub fn set_roster(&mut self, now: Time, roster: &SeatRoster) {
        self.seats.values_mut().for_each(|seat| seat.is_listed = false);
        for host in roster.hosts(now) {
            self.seats.entry(host.clone(), SeatState::default).is_listed = true;
        }
        self.seats.retain(|_, seat| {
            seat.is_listed || seat.confirmed_at.is_some_and(|at| now.since(at) < REMOVED_SEAT_TTL)
        });
    }

    /// Records a report of a daemon that is replied to now. Returns whether it is the first one of a
    /// process.
    pub fn record_report(
        &mut self,
        now: Time,
        host: &Name,
        incarnation: u64,
        (number, acknowledged): (u64, u64),
    ) -> bool {
        let seat = self.seats.entry(host.clone(), SeatState::default);
        if seat.incarnation != incarnation {
            *seat = SeatState { incarnation, is_listed: seat.is_listed, ..SeatState::default() };
        }
        if let Some((last, at)) = seat.last_reply {
            if acknowledged >= last {
                seat.confirmed_at = seat.confirmed_at.max(Some(at));
            }
        }
        let is_first = seat.last_reply.is_none();
        if is_first {
            // The first report of a process: it spends nothing by itself yet, or no longer.
            seat.confirmed_at = Some(now);
            seat.is_new = acknowledged == 0;
        }
        seat.last_reply = Some((number, now));
        is_first
    }

    /// Returns the number of daemons.
    pub fn count(&self) -> usize {
        self.seats.len()
    }

    /// Returns the daemons at a time.
    pub fn census(&self, now: Time) -> SeatCensus {
        let to_count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let seats = to_count(self.count());
        let limit = accrual_delay(seats);
        let silences = self.seats.iter().map(|(host, seat)| {
            let silence = seat.confirmed_at.map_or(Duration::MAX, |at| now.since(at));
            (host, silence)
        });
        let absent = silences.filter(|(_, silence)| *silence >= limit);
        SeatCensus {
            seats,
            new_seats: to_count(self.seats.values().filter(|seat| seat.is_new).count()),
            absent: absent
                .map(|(host, silence)| AbsentSeat { host: host.clone(), silence })
                .collect(),
        }
    }
}
