//! Teams' allowances over the fleet, handed out in grants that are spent at once or lost.

use std::time::Duration;

use base::{Name, SortedMap, Time};
use fleet::{
    leaderless_rate, Allowance, AllowanceRequest, SpendRate, TeamDraw, TeamGrant, EVEN_SHARE_DELAY,
};

/// A seat whose last reply it confirmed is older has its share taken out: it may have begun to
/// spend an even share by itself. It does so after 1.8 s.
const PRESENT_SPAN: Duration = Duration::from_millis(1_500);
/// A seat that left the store's list counts as possibly spending for this long: a machine that is
/// cut off goes on.
const REMEMBER_SPAN: Duration = Duration::from_secs(60);

/// A request that waits is forgotten when its daemon hasn't asked for it again for this long.
const ASK_LIFE: Duration = Duration::from_millis(1_200);

/// A request that waits for its cost.
#[derive(Clone, Debug)]
struct QueuedAsk {
    host: Name,
    id: u64,
    cost: f64,
    /// By when it is to be paid for.
    due: Time,
    seen: Time,
}

/// One team's allowance at the leader.
///
/// Requests are paid for whole, those that can wait least first: parts of what they cost would expire
/// at many daemons without serving any.
#[derive(Clone, Debug)]
pub struct TokenPool {
    allowance: Allowance,
    level: f64,
    /// What accrues in a second, and the most that may accrue, for the seats that draw.
    rate: f64,
    cap: f64,
    at: Time,
    queue: Vec<QueuedAsk>,
    drawers: SortedMap<Name, DrawerState>,
    /// What all daemons were asked for.
    demand: SpendRate,
}

/// One daemon as a pool knows it.
#[derive(Clone, Copy, Debug, Default)]
struct DrawerState {
    /// What it has spent of the grants.
    spending: SpendRate,
    drew_at: Time,
}

impl TokenPool {
    /// Creates an empty pool: what the former leader granted may be unspent.
    pub fn new(now: Time, allowance: Allowance) -> TokenPool {
        let (rate, cap) = (allowance.per_second, allowance.burst);
        TokenPool {
            allowance,
            level: 0.0,
            rate,
            cap,
            at: now,
            queue: Vec::new(),
            drawers: SortedMap::default(),
            demand: SpendRate::default(),
        }
    }

    /// Sets the allowance.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Accrues until now for the seats that do not spend by themselves, that is for all of `seats`
    /// but those that are absent.
    pub fn accrue(&mut self, now: Time, absent: &[Name], seats: usize) {
        let seats = u32::try_from(seats.max(1)).unwrap_or(u32::MAX);
        let lone = |name: &Name| match self.drawers.get(name) {
            Some(drawer) => {
                // The daemon counts from the last answer that it had, which was earlier.
                let silence = now.since(drawer.drew_at).saturating_sub(PRESENT_SPAN);
                leaderless_rate(&self.allowance, drawer.spending.at(drawer.drew_at), silence, seats)
            }
            None => leaderless_rate(&self.allowance, 0.0, EVEN_SHARE_DELAY, seats),
        };
        let lone: f64 = absent.iter().map(lone).sum();
        self.rate = (self.allowance.per_second - lone).max(0.0);
        self.cap = self.allowance.burst * self.rate / self.allowance.per_second.max(1.0);
        self.level = (self.level + self.rate * now.since(self.at).as_secs_f64()).min(self.cap);
        self.at = now;
    }

    /// Answers a daemon's draw.
    pub fn draw(&mut self, now: Time, host: &Name, draw: &TeamDraw) -> TeamGrant {
        self.level = (self.level + draw.returned.max(0.0)).min(self.cap);
        self.update_queue(now, host, &draw.asks);
        let mut left = self.level;
        let (mut awards, mut waits) = (Vec::new(), Vec::new());
        let mut queue = std::mem::take(&mut self.queue);
        queue.retain(|ask| {
            // What costs more than the burst could never be paid for in advance.
            let lacking = ask.cost.min(self.cap) - left;
            if ask.host == *host {
                if lacking <= 0.0 {
                    awards.push((ask.id, ask.cost));
                    (left, self.level) = (left - ask.cost, self.level - ask.cost);
                    return false;
                }
                let wait = self.accrual(lacking);
                waits.push((ask.id, wait));
                if Duration::from_millis(wait) > ask.due.since(now) {
                    return false;
                }
            }
            left -= ask.cost;
            true
        });
        self.queue = queue;
        let amount = match self.queue.is_empty() {
            // What other daemons' next requests need is left to them.
            true => draw.ahead.max(0.0).min(left.max(0.0) / 2.0),
            false => 0.0,
        };
        self.level -= amount;
        let spent = awards.iter().map(|(_, cost)| cost).sum::<f64>() + amount - draw.returned;
        let drawer = self.drawers.entry(host.clone(), DrawerState::default);
        drawer.spending.add(now, spent);
        drawer.drew_at = now;
        self.demand.add(now, draw.arrived);
        let wait_ms = if left < 0.0 { self.accrual(-left) } else { 0 };
        let (team, pressure) = (draw.team.clone(), self.pressure(now));
        TeamGrant { team, awards, waits, amount, wait_ms, pressure }
    }

    /// Returns what all daemons are asked for, as a part of the allowance.
    fn pressure(&self, now: Time) -> f64 {
        self.demand.at(now) / self.allowance.per_second.max(f64::MIN_POSITIVE)
    }

    /// Takes the requests that wait at a daemon.
    fn update_queue(&mut self, now: Time, host: &Name, asks: &[AllowanceRequest]) {
        self.queue.retain(|queued| match queued.host == *host {
            true => asks.iter().any(|ask| ask.id == queued.id),
            false => now.since(queued.seen) < ASK_LIFE,
        });
        for ask in asks {
            let known = |queued: &&mut QueuedAsk| queued.host == *host && queued.id == ask.id;
            match self.queue.iter_mut().find(known) {
                Some(queued) => queued.seen = now,
                None => {
                    let due = now + Duration::from_millis(ask.patience_ms);
                    let at = self.queue.partition_point(|queued| queued.due <= due);
                    let (id, cost) = (ask.id, ask.cost);
                    self.queue
                        .insert(at, QueuedAsk { host: host.clone(), id, cost, due, seen: now });
                }
            }
        }
    }

    /// Returns the time until an amount has accrued, in milliseconds.
    fn accrual(&self, amount: f64) -> u64 {
        let wait = amount / self.rate.max(f64::MIN_POSITIVE) * 1_000.0;
        wait.ceil().min(60_000.0) as u64 + 1
    }
}

/// The hosts with seats that the store lists, and those that it listed lately. Every daemon keeps
/// one: a new leader must count seats that were gone before its term.
#[derive(Clone, Debug, Default)]
pub struct SeatRoster {
    /// Since when a seat is not listed any more; `None` while it is.
    seats: SortedMap<Name, Option<Time>>,
}

impl SeatRoster {
    /// Takes all seats that the store lists; others are gone.
    pub fn relisted(&mut self, now: Time, hosts: impl Iterator<Item = Name>) {
        for gone in self.seats.values_mut() {
            *gone = gone.or(Some(now));
        }
        hosts.for_each(|host| self.listed(host));
    }

    /// Notes a seat that the store lists.
    pub fn listed(&mut self, host: Name) {
        self.seats.insert(host, None);
    }

    /// Notes a seat that the store lists no more.
    pub fn gone(&mut self, now: Time, host: Name) {
        self.seats.insert(host, Some(now));
        self.seats.retain(|_, gone| gone.is_none_or(|at| now.since(at) < REMEMBER_SPAN));
    }

    /// Returns the hosts whose seats count.
    pub fn hosts(&self, now: Time) -> impl Iterator<Item = &Name> {
        let counts = move |gone: &Option<Time>| gone.is_none_or(|at| now.since(at) < REMEMBER_SPAN);
        self.seats.iter().filter(move |(_, gone)| counts(gone)).map(|(host, _)| host)
    }

    /// Returns how many seats count.
    pub fn count(&self, now: Time) -> u32 {
        u32::try_from(self.hosts(now).count()).unwrap_or(u32::MAX)
    }
}

/// One daemon as the leader knows it.
#[derive(Clone, Copy, Debug, Default)]
struct SeatState {
    incarnation: u64,
    /// Reports that were answered, newest last: number, time of the reply.
    replied: Option<(u64, Time)>,
    /// When the last reply that the daemon confirmed was sent.
    confirmed: Option<Time>,
    /// Whether the roster has it.
    is_listed: bool,
}

/// The daemons of the fleet.
#[derive(Clone, Debug, Default)]
pub struct SeatTable {
    seats: SortedMap<Name, SeatState>,
}

impl SeatTable {
    /// Takes the hosts whose seats count by the roster; others count while they report.
    pub fn listed(&mut self, now: Time, roster: &SeatRoster) {
        self.seats.values_mut().for_each(|seat| seat.is_listed = false);
        for host in roster.hosts(now) {
            self.seats.entry(host.clone(), SeatState::default).is_listed = true;
        }
        self.seats.retain(|_, seat| {
            seat.is_listed || seat.confirmed.is_some_and(|at| now.since(at) < REMEMBER_SPAN)
        });
    }

    /// Notes a report of a daemon, which is answered now.
    pub fn reported(
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
        if let Some((last, at)) = seat.replied {
            if acknowledged >= last {
                seat.confirmed = seat.confirmed.max(Some(at));
            }
        }
        if seat.replied.is_none() {
            // The first report of a process: it has spent nothing by itself yet, or has stopped.
            seat.confirmed = Some(now);
        }
        seat.replied = Some((number, now));
    }

    /// Returns how many daemons there are.
    pub fn count(&self) -> usize {
        self.seats.len()
    }

    /// Returns the daemons that don't draw from the leader.
    pub fn absent(&self, now: Time) -> Vec<Name> {
        let present =
            |seat: &SeatState| seat.confirmed.is_some_and(|at| now.since(at) < PRESENT_SPAN);
        let absent = self.seats.iter().filter(|(_, seat)| !present(seat));
        absent.map(|(name, _)| name.clone()).collect()
    }
}
