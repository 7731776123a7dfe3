//! Fleet-wide token buckets for the teams' allowances.

use std::time::Duration;

use base::{Name, SortedMap, Time};
use fleet::{
    accrual_delay, even_rate, window_amount, Allowance, AllowanceRequest, LeaderlessShare,
    LeaderlessState, SpendRate, TeamDraw, TeamGrant, TeamUsage, EVEN_SHARE_DELAY, PRESENCE_TIMEOUT,
    SPENDING_WINDOW,
};

use crate::overflow::OverflowLog;
use crate::seats::{AbsentSeat, SeatCensus};

/// After this silence a daemon certainly spends an even share. The leader hears of a daemon's silence
/// earlier than it begins, by the age of the last acknowledged reply.
const EVEN_SHARE_CERTAIN: Duration = Duration::from_secs(10);
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
    /// Refill rate per second and capacity of the bucket, without the shares of absent daemons.
    rate: f64,
    capacity: f64,
    refilled_at: Time,
    /// What could not be added to the full bucket lately.
    overflow: OverflowLog,
    queue: Vec<QueuedAsk>,
    daemons: SortedMap<Name, DaemonState>,
    /// Number of daemons, and of those that spend an even share.
    seats: u32,
    even_seats: u32,
    /// Until when daemons that haven't been heard may spend shares of a former leader.
    inherited_until: Time,
    /// Amount per second of the former leader's shares that daemons held when they were first heard of,
    /// and the number of these daemons.
    surrendered: f64,
    surrendered_seats: u32,
    /// Sums of the shares that were sent last, as amounts per second and as amounts per window.
    promised: (f64, f64),
    /// Rate of the costs of all requests that arrived at the daemons.
    demand: SpendRate,
    /// Rate of all spending.
    spending: SpendRate,
    /// What daemons have spent without the leader, until it is taken for the log.
    account: ShareAccount,
}

/// What some daemons have spent of a team's allowance without the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareAccount {
    /// Number of reports by which daemons accounted for it.
    pub reports: u32,
    /// Amount that they spent.
    pub spent: f64,
    /// Amount that the leader had left out of the bucket for it.
    pub reserved: f64,
    /// Amount that accrued meanwhile and could not be added to the full bucket.
    pub covered: f64,
}

/// What a pool records of one daemon.
#[derive(Clone, Copy, Debug, Default)]
struct DaemonState {
    /// Rate at which it spends.
    spending: SpendRate,
    last_draw_at: Time,
    /// Largest amounts that it may spend without the leader: it holds the share that it stated with its
    /// last draw, or the one in the reply.
    share: LeaderlessShare,
    /// Share that it was sent last.
    stated: LeaderlessShare,
    /// What it has spent without the leader until its last draw, by its own count.
    spent: Option<f64>,
    /// Amount that was left out of the bucket for its share since its last draw.
    reserved: f64,
    /// Whether it was absent since its last draw, and not only late.
    is_absent: bool,
}

impl TokenPool {
    /// Creates an empty pool, because grants of the former leader may still be unspent. Daemons may also
    /// hold shares of that leader.
    pub fn new(now: Time, allowance: Allowance) -> TokenPool {
        let (rate, capacity) = (allowance.per_second, allowance.burst);
        TokenPool {
            allowance,
            balance: 0.0,
            rate,
            capacity,
            refilled_at: now,
            overflow: OverflowLog::default(),
            queue: Vec::new(),
            daemons: SortedMap::default(),
            seats: 1,
            even_seats: 0,
            inherited_until: now + EVEN_SHARE_CERTAIN,
            surrendered: 0.0,
            surrendered_seats: 0,
            promised: (0.0, 0.0),
            demand: SpendRate::default(),
            spending: SpendRate::default(),
            account: ShareAccount::default(),
        }
    }

    /// Creates an empty pool for a team that no former leader has stated shares of.
    pub fn for_new_team(now: Time, allowance: Allowance) -> TokenPool {
        TokenPool { inherited_until: now, ..TokenPool::new(now, allowance) }
    }

    /// Sets the allowance.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Removes what is known of a daemon whose process has ended. What was reserved for it stays spent.
    pub fn remove_daemon(&mut self, host: &Name) {
        if let Some(daemon) = self.daemons.remove(host) {
            self.replace_promise(daemon.stated, LeaderlessShare::default());
        }
    }

    /// Refills the bucket up to now. What absent daemons may spend by themselves is left out.
    pub fn refill(&mut self, now: Time, census: &SeatCensus) {
        self.seats = census.seats.max(1);
        let span = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.even_seats = 0;
        let mut reserved_rate = self.inherited_rate(now, census);
        let mut reserved_capacity = reserved_rate;
        for seat in census.absent.iter().filter(|seat| seat.is_known()) {
            let rate = self.reserve_share(now, seat, span);
            reserved_rate += rate;
            // The capacity isn't reduced for a daemon that is only late: it would lose the bucket's content.
            if seat.silence >= PRESENCE_TIMEOUT {
                reserved_capacity += rate;
            }
        }
        let per_second = self.allowance.per_second;
        self.rate = (per_second - reserved_rate).max(0.0);
        let capacity_part = 1.0 - reserved_capacity / per_second.max(1.0);
        self.capacity = self.allowance.burst * capacity_part.max(0.0);
        let balance = self.balance + self.rate * span;
        self.balance = balance.min(self.capacity);
        self.overflow.add(now, balance - self.balance);
    }

    /// Returns the rate at which daemons that haven't been heard in this term may spend. A former leader's
    /// shares add up to the allowance, so that these daemons may hold all that the heard ones don't. The
    /// shares of processes that have ended meanwhile are taken for even ones.
    fn inherited_rate(&self, now: Time, census: &SeatCensus) -> f64 {
        let unheard = census.absent.iter().filter(|seat| !seat.is_known()).count();
        let even_part = even_rate(&self.allowance, self.seats);
        let even = even_part * f64::from(u32::try_from(unheard).unwrap_or(u32::MAX));
        if unheard == 0 || now >= self.inherited_until {
            return even;
        }
        let ended = even_part * f64::from(census.new_seats);
        let heard = self.seats.saturating_sub(u32::try_from(unheard).unwrap_or(u32::MAX));
        let idle_seats = heard.saturating_sub(census.new_seats + self.surrendered_seats);
        let idle = self.idle_rate() * f64::from(idle_seats);
        even.max(self.allowance.per_second - self.surrendered - ended - idle)
    }

    /// Returns the rate at which a daemon may spend that has spent nothing.
    fn idle_rate(&self) -> f64 {
        LeaderlessShare::idle(&self.allowance, self.seats).per_second
    }

    /// Reserves what an absent daemon may spend in `span` seconds, and returns its rate.
    fn reserve_share(&mut self, now: Time, seat: &AbsentSeat, span: f64) -> f64 {
        let even = even_rate(&self.allowance, self.seats);
        let is_even = seat.silence >= EVEN_SHARE_CERTAIN;
        self.even_seats += u32::from(is_even);
        let is_late = seat.silence < PRESENCE_TIMEOUT;
        let Some(daemon) = self.daemons.get_mut(&seat.host) else {
            return if is_late { 0.0 } else { even };
        };
        let share = daemon.share;
        // An idle daemon reports seldom, and its draws could not release what is reserved.
        if is_late && share.is_idle(&self.allowance, self.seats) {
            return 0.0;
        }
        let mut rate = match seat.silence >= EVEN_SHARE_DELAY {
            true if is_even => even,
            true => even.max(share.per_second),
            false => share.per_second,
        };
        if seat.silence < SPENDING_WINDOW + accrual_delay(self.seats) {
            rate += share.advance / SPENDING_WINDOW.as_secs_f64();
        }
        daemon.reserved += rate * span;
        daemon.is_absent |= !is_late;
        // One that draws has been sent another share, which it holds if it hears the reply.
        if is_even && now.since(daemon.last_draw_at) >= EVEN_SHARE_CERTAIN {
            daemon.share = LeaderlessShare::default();
            let stated = std::mem::take(&mut daemon.stated);
            self.replace_promise(stated, LeaderlessShare::default());
        }
        rate
    }

    /// Takes account of what a daemon has spent without the leader since its last draw.
    fn settle_share(&mut self, now: Time, host: &Name, state: Option<&LeaderlessState>) {
        let idle_rate = self.idle_rate();
        let daemon = self.daemons.entry(host.clone(), DaemonState::default);
        let reserved = std::mem::take(&mut daemon.reserved);
        let is_absent = std::mem::take(&mut daemon.is_absent);
        let former = std::mem::replace(&mut daemon.spent, state.map(|state| state.spent));
        if let (None, Some(state)) = (former, state) {
            let rate = state.share.window_amount() / SPENDING_WINDOW.as_secs_f64();
            self.surrendered += rate.max(idle_rate);
            self.surrendered_seats += 1;
        }
        let (Some(former), Some(state)) = (former, state) else { return };
        let spent = (state.spent - former).max(0.0);
        daemon.spending.add(now, spent);
        self.spending.add(now, spent);
        // Spending in the time in which the bucket was full is paid for by what could not be added.
        let excess = (spent - reserved).max(0.0);
        let covered = self.overflow.take(daemon.last_draw_at, excess);
        if spent > 0.0 {
            self.account.reports += 1;
            self.account.spent += spent;
            self.account.reserved += reserved;
            self.account.covered += covered;
        }
        // Requests that an absent daemon has charged may only run now.
        let released = if is_absent { 0.0 } else { (reserved - spent).max(0.0) };
        self.balance = (self.balance + released - excess + covered).min(self.capacity);
    }

    /// Returns the share that a daemon may spend without the leader from now on, and records it.
    fn update_share(
        &mut self,
        now: Time,
        host: &Name,
        state: Option<&LeaderlessState>,
    ) -> LeaderlessShare {
        let pressure = self.pressure(now);
        let daemon = self.daemons.entry(host.clone(), DaemonState::default);
        let held = state.map_or(daemon.share, |state| state.share);
        let usage =
            TeamUsage { rate: self.spending.at(now), demand: pressure, balance: self.balance };
        // A daemon of an earlier build may spend a larger advance than others.
        let cost = state.map_or(f64::INFINITY, |state| state.request_cost);
        let recent_rate = daemon.spending.at(now);
        let mut share =
            LeaderlessShare::of_spending(&self.allowance, &usage, recent_rate, cost, self.seats);
        // Averages of different times may add up to more than the allowance.
        let present_part = 1.0 - f64::from(self.even_seats) / f64::from(self.seats);
        let other_rates = self.promised.0 - daemon.stated.per_second;
        let other_amounts = self.promised.1 - daemon.stated.window_amount();
        let window = SPENDING_WINDOW.as_secs_f64();
        let rate_left = self.allowance.per_second * present_part - other_rates;
        let amount_left = window_amount(&self.allowance) * present_part - other_amounts;
        share.per_second = share.per_second.min(rate_left.min(amount_left / window).max(0.0));
        share.advance = share.advance.min((amount_left - share.per_second * window).max(0.0));
        let stated = std::mem::replace(&mut daemon.stated, share);
        daemon.share = held.max(share);
        self.replace_promise(stated, share);
        share
    }

    fn replace_promise(&mut self, former: LeaderlessShare, share: LeaderlessShare) {
        self.promised.0 += share.per_second - former.per_second;
        self.promised.1 += share.window_amount() - former.window_amount();
    }

    /// Returns what daemons have spent without the leader since the last call, if anything.
    pub fn take_account(&mut self) -> Option<ShareAccount> {
        Some(std::mem::take(&mut self.account)).filter(|account| account.reports > 0)
    }

    /// Processes a daemon's draw and returns its grant.
    pub fn draw(&mut self, now: Time, host: &Name, draw: &TeamDraw) -> TeamGrant {
        self.settle_share(now, host, draw.leaderless.as_ref());
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
        self.spending.add(now, spent);
        self.demand.add(now, draw.arrived);
        let share = self.update_share(now, host, draw.leaderless.as_ref());
        let wait_ms = if remaining < 0.0 { self.refill_ms(-remaining) } else { 0 };
        let (team, pressure) = (draw.team.clone(), self.pressure(now));
        TeamGrant { team, awards, waits, amount, wait_ms, pressure, share: Some(share) }
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
