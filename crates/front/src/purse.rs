//! What this daemon may spend of one team's allowance.

use std::time::Duration;

use base::{TeamName, Time};
use fleet::{leaderless_rate, Allowance, AllowanceRequest, SpendRate, TeamDraw, TeamGrant};

use crate::desk::sync_pause;

/// How long a grant may be spent: the allowance can be exceeded in a window by what accrues in
/// this time, and never in the long run.
pub const GRANT_SPAN: Duration = Duration::from_millis(500);
/// A daemon that has heard nothing from a leader for this long spends its own even share. The
/// leader stops counting a silent daemon's share as its own before that.
pub const ALONE_AFTER: Duration = Duration::from_millis(1_800);
/// When to come back to a daemon without a leader: by then there is probably one.
const ALONE_PAUSE: Duration = Duration::from_millis(1_500);
/// A leader that was not heard for longer than the pause between two reports and this is silent: a
/// daemon spends ahead of its own share.
const SILENT_AFTER: Duration = Duration::from_millis(250);
/// Seconds of its allowance that a team may have in eight of them, with its burst: what it uses less
/// may be spent ahead.
const WINDOW_SECONDS: (f64, f64) = (9.0, 8.0);
/// Least and most that a daemon spends ahead, in seconds of its own spending.
const AHEAD_SECONDS: (f64, f64) = (0.8, 8.0);
/// Part of a daemon's own spending that may be spent ahead accrues at, while the leader is heard.
const REFILL_PART: f64 = 0.5;
/// Part of the allowance that all daemons together aim at without a leader.
const LONE_AIM: f64 = 0.9;
/// Demand is averaged over about this time.
const DEMAND_SPAN: f64 = 1.0;

/// The answer to a wish to spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PayVerdict {
    /// It was spent.
    Paid,
    /// The purse is short; the leader is asked.
    Short,
    /// It will be paid for in about this time, in the order in which all daemons asked.
    Queued(Duration),
    /// The allowance is used up; it will have accrued after this time.
    Exhausted(Duration),
}

/// A request that is to be paid for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PayWish {
    /// Tells the daemon's requests apart.
    pub id: u64,
    /// What it costs.
    pub cost: f64,
    /// How long it may wait for that.
    pub patience: Duration,
    /// Uniform over all values: decides where a share covers a part of the cost.
    pub draw: u64,
}

impl PayWish {
    /// Returns a uniform chance from 0 to 1, the same for all daemons.
    fn chance(&self) -> f64 {
        (self.draw >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What a purse asks the leader for.
#[derive(Clone, Debug, PartialEq)]
pub struct PurseDraw {
    /// Requests that wait.
    pub asks: Vec<AllowanceRequest>,
    /// What the next grant span will need besides.
    pub ahead: f64,
    /// What is given back; it is no longer in the purse.
    pub returned: f64,
    /// What requests cost that arrived since the last draw.
    pub arrived: f64,
}

impl PurseDraw {
    /// Returns whether it asks for anything or gives anything back.
    pub fn is_any(&self) -> bool {
        !self.asks.is_empty() || self.ahead > 1.0 || self.returned > 0.0 || self.arrived > 0.0
    }

    /// Returns it as a part of a report.
    pub fn of_team(self, team: TeamName) -> TeamDraw {
        let PurseDraw { asks, ahead, returned, arrived } = self;
        TeamDraw { team, asks, arrived, ahead, returned }
    }
}

/// A request that waits for its cost.
#[derive(Clone, Copy, Debug)]
struct OpenAsk {
    id: u64,
    cost: f64,
    /// By when it is to be paid for.
    due: Time,
    /// Whether a report to the leader has it.
    is_sent: bool,
    /// When the leader said how long it must wait, and that.
    told: Option<(Time, Duration)>,
    /// Until when the leader has paid for it.
    award: Option<Time>,
}

/// One daemon's part of one team's allowance.
#[derive(Clone, Debug)]
pub struct TeamPurse {
    allowance: Allowance,
    granted: f64,
    granted_until: Time,
    /// Time of the last reply by which requests waited, and how long a further one would.
    empty: Option<(Time, Duration)>,
    /// What may be spent without the leader, and when that was reckoned.
    lone_level: f64,
    lone_at: Time,
    /// What all daemons were asked for, as a part of the allowance.
    pressure: f64,
    asks: Vec<OpenAsk>,
    /// What was granted and surely not spent: the next report gives it back.
    unspent: f64,
    /// What was spent of the leader's grants.
    spending: SpendRate,
    demand: f64,
    demand_at: Time,
    /// What requests cost that arrived since the last draw.
    arrived: f64,
}

impl TeamPurse {
    /// Creates an empty purse.
    pub fn new(now: Time, allowance: Allowance) -> TeamPurse {
        TeamPurse {
            allowance,
            granted: 0.0,
            granted_until: now,
            empty: None,
            // As much as is ever spent ahead, once that is known.
            lone_level: f64::INFINITY,
            lone_at: now,
            pressure: LONE_AIM,
            asks: Vec::new(),
            unspent: 0.0,
            spending: SpendRate::default(),
            demand: 0.0,
            demand_at: now,
            arrived: 0.0,
        }
    }

    /// Sets the allowance.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        if self.allowance != allowance {
            self.allowance = allowance;
            self.granted = self.granted.min(allowance.burst);
        }
    }

    /// Notes that a request of this cost arrived.
    pub fn arrived(&mut self, now: Time, cost: f64) {
        self.demand = self.rate(now) + cost / DEMAND_SPAN;
        self.demand_at = now;
        self.arrived += cost;
    }

    /// Notes that an unpaid request no longer waits.
    pub fn left(&mut self, id: u64) {
        if let Some(at) = self.asks.iter().position(|ask| ask.id == id) {
            let ask = self.asks.swap_remove(at);
            self.unspent += ask.award.map_or(0.0, |_| ask.cost);
        }
    }

    /// Spends what a request costs, if the purse or, without a leader, this daemon's share covers it.
    pub fn pay(&mut self, now: Time, wish: &PayWish, heard_at: Time, seats: u32) -> PayVerdict {
        self.expire(now);
        let ask = self.asks.iter().position(|ask| ask.id == wish.id);
        let is_awarded = ask.is_some_and(|at| self.asks[at].award.is_some());
        if is_awarded || self.granted >= wish.cost {
            self.spending.add(now, wish.cost);
            if is_awarded {
                self.asks.retain(|ask| ask.id != wish.id);
            } else {
                self.granted -= wish.cost;
                self.left(wish.id);
            }
            return PayVerdict::Paid;
        }
        let silence = now.since(heard_at);
        if silence >= sync_pause(seats) + SILENT_AFTER {
            if self.pay_alone(now, wish, heard_at, seats) {
                self.left(wish.id);
                return PayVerdict::Paid;
            }
            if silence >= ALONE_AFTER {
                self.left(wish.id);
                return PayVerdict::Exhausted(ALONE_PAUSE);
            }
        }
        match ask {
            Some(at) => self.look_again(now, at),
            None => self.ask(now, wish),
        }
    }

    /// Pays by this daemon's share. Teams that ask for more than their allowance get a part of their
    /// requests, by the draw; the others' go on, as far as this daemon's spending doesn't rise.
    fn pay_alone(&mut self, now: Time, wish: &PayWish, heard_at: Time, seats: u32) -> bool {
        let silence = now.since(heard_at);
        let rate = leaderless_rate(&self.allowance, self.spending.at(heard_at), silence, seats);
        self.accrue_alone(now, rate, rate);
        let is_staked = self.lone_level < wish.cost;
        let part = if is_staked { self.lone_level / wish.cost } else { 1.0 };
        if wish.chance() < part.min(LONE_AIM / self.pressure.max(f64::MIN_POSITIVE)) {
            self.lone_level -= wish.cost;
            return true;
        }
        if is_staked {
            self.lone_level = self.lone_level.min(self.lone_level * 0.6);
        }
        false
    }

    /// Reckons what may be spent without the leader: it accrues at a rate, up to some seconds of this
    /// daemon's share.
    fn accrue_alone(&mut self, now: Time, rate: f64, share: f64) {
        let (window, span) = WINDOW_SECONDS;
        let ahead = window / self.pressure.max(f64::MIN_POSITIVE) - span;
        let cap = share * ahead.clamp(AHEAD_SECONDS.0, AHEAD_SECONDS.1);
        let accrued = rate * now.since(self.lone_at).as_secs_f64();
        self.lone_level = (self.lone_level + accrued).min(cap);
        self.lone_at = now;
    }

    /// Returns what the leader has said of a request that waits.
    fn look_again(&mut self, now: Time, at: usize) -> PayVerdict {
        let ask = &mut self.asks[at];
        let Some((told_at, wait)) = ask.told else { return PayVerdict::Short };
        if told_at + wait > ask.due {
            self.asks.swap_remove(at);
            return PayVerdict::Exhausted(wait);
        }
        let left = wait.saturating_sub(now.since(told_at));
        if left.is_zero() {
            (ask.told, ask.is_sent) = (None, false);
            return PayVerdict::Short;
        }
        PayVerdict::Queued(left)
    }

    /// Has the leader asked for a request's cost, unless others are known to wait for too long.
    fn ask(&mut self, now: Time, wish: &PayWish) -> PayVerdict {
        let wait =
            self.empty.map_or(Duration::ZERO, |(at, wait)| wait.saturating_sub(now.since(at)));
        if wait > wish.patience {
            return PayVerdict::Exhausted(wait);
        }
        let PayWish { id, cost, .. } = *wish;
        let due = now + wish.patience;
        self.asks.push(OpenAsk { id, cost, due, is_sent: false, told: None, award: None });
        PayVerdict::Short
    }

    /// Gives back what was paid for a request that surely did not run.
    pub fn refund(&mut self, now: Time, cost: f64) {
        self.expire(now);
        if now < self.granted_until {
            self.granted += cost;
        } else {
            self.unspent += cost;
        }
    }

    /// Takes a grant that was asked for at `asked_at`.
    pub fn granted(&mut self, now: Time, asked_at: Time, grant: &TeamGrant) {
        self.expire(now);
        let until = asked_at + GRANT_SPAN;
        let is_fresh = now < until;
        for (id, cost) in &grant.awards {
            match self.asks.iter_mut().find(|ask| ask.id == *id && is_fresh) {
                Some(ask) => ask.award = Some(until),
                None => self.unspent += cost,
            }
        }
        for (id, wait_ms) in &grant.waits {
            if let Some(ask) = self.asks.iter_mut().find(|ask| ask.id == *id) {
                ask.told = Some((now, Duration::from_millis(*wait_ms)));
            }
        }
        if is_fresh {
            // Older parts expire with the new one; the leader counts on that.
            self.granted += grant.amount;
            self.granted_until = until;
        } else {
            self.unspent += grant.amount;
        }
        let own = self.spending.at(now);
        self.accrue_alone(now, REFILL_PART * own, own);
        self.pressure = grant.pressure;
        let wait = Duration::from_millis(grant.wait_ms);
        self.empty = (grant.wait_ms > 0).then_some((now, wait));
    }

    /// Returns what the leader is asked for.
    pub fn draw(&mut self, now: Time) -> PurseDraw {
        self.expire(now);
        let waiting = self.asks.iter_mut().filter(|ask| ask.award.is_none());
        let asks = waiting.map(|ask| {
            ask.is_sent = true;
            let patience_ms = u64::try_from(ask.due.since(now).as_millis()).unwrap_or(u64::MAX);
            AllowanceRequest { id: ask.id, cost: ask.cost, patience_ms }
        });
        let asks = asks.collect();
        let ahead = self.rate(now) * GRANT_SPAN.as_secs_f64();
        let spare = (self.granted - ahead).max(0.0);
        self.granted -= spare;
        let returned = spare + std::mem::take(&mut self.unspent);
        PurseDraw {
            asks,
            ahead: (ahead - self.granted).max(0.0),
            returned,
            arrived: std::mem::take(&mut self.arrived),
        }
    }

    /// Returns whether a draw would ask for something or give something back.
    pub fn is_active(&self, now: Time) -> bool {
        !self.asks.is_empty() || self.unspent > 0.0 || self.rate(now) > 1.0
    }

    /// Returns whether a request waits of which the leader doesn't know, or not any more.
    pub fn is_urgent(&self) -> bool {
        self.asks.iter().any(|ask| !ask.is_sent)
    }

    fn rate(&self, now: Time) -> f64 {
        let age = now.since(self.demand_at).as_secs_f64();
        self.demand * (-age / DEMAND_SPAN).exp()
    }

    fn expire(&mut self, now: Time) {
        if now >= self.granted_until {
            self.unspent += std::mem::take(&mut self.granted);
        }
        for ask in &mut self.asks {
            if ask.award.is_some_and(|until| now >= until) {
                self.unspent += ask.cost;
                (ask.award, ask.told, ask.is_sent) = (None, None, false);
            }
        }
    }
}
