//! Fleet-wide token buckets for the teams' allowances, and the daemons that share them.

use std::time::Duration;

use base::{Name, SortedMap, Time};
use fleet::{
    leaderless_rate, Allowance, AllowanceRequest, SpendRate, TeamDraw, TeamGrant, EVEN_SHARE_DELAY,
};

/// A daemon whose last acknowledged reply is older than this counts as absent, and what it may
/// spend by itself is subtracted from the pool. It starts to do so 1.8 s after its last reply.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A daemon that left the store's list is counted for this long, because a host that is partitioned
/// from the store goes on spending.
const REMOVED_SEAT_TTL: Duration = Duration::from_secs(60);

/// A queued request is dropped if its daemon hasn't repeated it for this long.
const QUEUED_ASK_TTL: Duration = Duration::from_millis(1_200);

/// A request that waits until its cost is available.
#[derive(Clone, Debug)]
struct QueuedAsk {
    host: Name,
    id: u64,
    cost: f64,
    /// Time by which it must be paid for.
    deadline: Time,
    last_seen: Time,
}

/// The token bucket of one team's allowance at the leader.
///
/// A request's cost is granted as a whole, earliest deadline first. Partial grants could expire at
/// many daemons without serving any request.
#[derive(Clone, Debug)]
pub struct TokenPool {
    allowance: Allowance,
    balance: f64,
    /// Refill rate per second and capacity of the bucket, without the share of absent daemons.
    rate: f64,
    capacity: f64,
    refilled_at: Time,
    queue: Vec<QueuedAsk>,
    daemons: SortedMap<Name, DaemonState>,
    /// Rate of the costs of all requests that arrived at the daemons.
    demand: SpendRate,
}

/// What a pool records of one daemon.
#[derive(Clone, Copy, Debug, Default)]
struct DaemonState {
    /// Rate at which it is granted tokens, less what it returns.
    spending: SpendRate,
    last_draw_at: Time,
}

impl TokenPool {
    /// Creates an empty pool, because grants of the former leader may still be unspent.
    pub fn new(now: Time, allowance: Allowance) -> TokenPool {
        let (rate, capacity) = (allowance.per_second, allowance.burst);
        TokenPool {
            allowance,
            balance: 0.0,
            rate,
            capacity,
            refilled_at: now,
            queue: Vec::new(),
            daemons: SortedMap::default(),
            demand: SpendRate::default(),
        }
    }

    /// Sets the allowance.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Refills the bucket up to now. The share that `absent` daemons, out of `seats`, may spend by
    /// themselves is left out.
    pub fn refill(&mut self, now: Time, absent: &[Name], seats: usize) {
        let seats = u32::try_from(seats.max(1)).unwrap_or(u32::MAX);
        let reserved_rate = |name: &Name| match self.daemons.get(name) {
            Some(daemon) => {
                // The daemon measures silence from the last reply that it received, which is
                // earlier than its last draw.
                let silence = now.since(daemon.last_draw_at).saturating_sub(PRESENCE_TIMEOUT);
                leaderless_rate(
                    &self.allowance,
                    daemon.spending.at(daemon.last_draw_at),
                    silence,
                    seats,
                )
            }
            None => leaderless_rate(&self.allowance, 0.0, EVEN_SHARE_DELAY, seats),
        };
        let reserved: f64 = absent.iter().map(reserved_rate).sum();
        self.rate = (self.allowance.per_second - reserved).max(0.0);
        self.capacity = self.allowance.burst * self.rate / self.allowance.per_second.max(1.0);
        self.balance = (self.balance + self.rate * now.since(self.refilled_at).as_secs_f64())
            .min(self.capacity);
        self.refilled_at = now;
    }

    /// Processes a daemon's draw and returns its grant.
    pub fn draw(&mut self, now: Time, host: &Name, draw: &TeamDraw) -> TeamGrant {
        self.balance = (self.balance + draw.returned.max(0.0)).min(self.capacity);
        self.update_queue(now, host, &draw.asks);
        let mut remaining = self.balance;
        let (mut awards, mut waits) = (Vec::new(), Vec::new());
        let mut queue = std::mem::take(&mut self.queue);
        queue.retain(|queued| {
            // The cost is capped here: a request above the burst could never be paid in advance.
            let shortfall = queued.cost.min(self.capacity) - remaining;
            if queued.host == *host {
                if shortfall <= 0.0 {
                    awards.push((queued.id, queued.cost));
                    (remaining, self.balance) =
                        (remaining - queued.cost, self.balance - queued.cost);
                    return false;
                }
                let delay_ms = self.refill_ms(shortfall);
                waits.push((queued.id, delay_ms));
                if Duration::from_millis(delay_ms) > queued.deadline.since(now) {
                    return false;
                }
            }
            remaining -= queued.cost;
            true
        });
        self.queue = queue;
        let amount = match self.queue.is_empty() {
            // Half of the rest is left for other daemons' next requests.
            true => draw.ahead.max(0.0).min(remaining.max(0.0) / 2.0),
            false => 0.0,
        };
        self.balance -= amount;
        let spent = awards.iter().map(|(_, cost)| cost).sum::<f64>() + amount - draw.returned;
        let daemon = self.daemons.entry(host.clone(), DaemonState::default);
        daemon.spending.add(now, spent);
        daemon.last_draw_at = now;
        self.demand.add(now, draw.arrived);
        let wait_ms = if remaining < 0.0 { self.refill_ms(-remaining) } else { 0 };
        let (team, pressure) = (draw.team.clone(), self.pressure(now));
        TeamGrant { team, awards, waits, amount, wait_ms, pressure }
    }

    /// Returns the rate of all arriving costs as a fraction of the allowance.
    fn pressure(&self, now: Time) -> f64 {
        self.demand.at(now) / self.allowance.per_second.max(f64::MIN_POSITIVE)
    }

    /// Replaces a daemon's queued requests with `requests`, and drops expired ones of other
    /// daemons.
    fn update_queue(&mut self, now: Time, host: &Name, requests: &[AllowanceRequest]) {
        self.queue.retain(|queued| match queued.host == *host {
            true => requests.iter().any(|request| request.id == queued.id),
            false => now.since(queued.last_seen) < QUEUED_ASK_TTL,
        });
        for request in requests {
            let is_same = |queued: &&mut QueuedAsk| queued.host == *host && queued.id == request.id;
            match self.queue.iter_mut().find(is_same) {
                Some(queued) => queued.last_seen = now,
                None => {
                    let deadline = now + Duration::from_millis(request.patience_ms);
                    let at = self.queue.partition_point(|queued| queued.deadline <= deadline);
                    let (id, cost) = (request.id, request.cost);
                    self.queue.insert(
                        at,
                        QueuedAsk { host: host.clone(), id, cost, deadline, last_seen: now },
                    );
                }
            }
        }
    }

    /// Returns the time until an amount has been refilled, in milliseconds, up to a minute.
    fn refill_ms(&self, amount: f64) -> u64 {
        let wait = amount / self.rate.max(f64::MIN_POSITIVE) * 1_000.0;
        wait.ceil().min(60_000.0) as u64 + 1
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

    /// Records a report of a daemon that is replied to now.
    pub fn record_report(
        &mut self,
        now: Time,
        host: &Name,
        incarnation: u64,
        (number, acknowledged): (u64, u64),
    ) {
        let seat = self.seats.entry(host.clone(), SeatState::default);
        if seat.incarnation != incarnation {
            *seat = SeatState { incarnation, is_listed: seat.is_listed, ..SeatState::default() };
        }
        if let Some((last, at)) = seat.last_reply {
            if acknowledged >= last {
                seat.confirmed_at = seat.confirmed_at.max(Some(at));
            }
        }
        if seat.last_reply.is_none() {
            // The first report of a process: it spends nothing by itself yet, or no longer.
            seat.confirmed_at = Some(now);
        }
        seat.last_reply = Some((number, now));
    }

    /// Returns the number of daemons.
    pub fn count(&self) -> usize {
        self.seats.len()
    }

    /// Returns the daemons that have acknowledged no recent reply, and so may spend by themselves.
    pub fn absent(&self, now: Time) -> Vec<Name> {
        let is_present =
            |seat: &SeatState| seat.confirmed_at.is_some_and(|at| now.since(at) < PRESENCE_TIMEOUT);
        let absent = self.seats.iter().filter(|(_, seat)| !is_present(seat));
        absent.map(|(name, _)| name.clone()).collect()
    }
}
