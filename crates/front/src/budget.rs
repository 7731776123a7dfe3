//! One daemon's budget for one team: the share of the team's allowance that it may spend.

use std::time::Duration;

use base::{TeamName, Time};
use fleet::{leaderless_rate, Allowance, AllowanceRequest, SpendRate, TeamDraw, TeamGrant};

use crate::dispatcher::sync_pause;

/// How long a grant may be spent. Within a window, spending can exceed the allowance by what
/// accrues in this time, but not in the long run.
pub const GRANT_SPAN: Duration = Duration::from_millis(500);
/// A daemon that has had no reply from a leader for this long relies on its own even share alone.
/// The leader stops granting a silent daemon's share to others before that.
pub const LEADERLESS_AFTER: Duration = Duration::from_millis(1_800);
/// Retry hint while there is no leader: by then there is probably one.
const LEADERLESS_RETRY: Duration = Duration::from_millis(1_500);
/// The leader counts as silent when it was not heard for the pause between two reports plus this
/// time. The daemon then spends its own share in advance.
const LEADER_SILENCE: Duration = Duration::from_millis(250);
/// Seconds of its allowance, including its burst, that a team may use in a window, and the length
/// of the window in seconds. The part that a team doesn't use may be spent in advance.
const WINDOW_SECONDS: (f64, f64) = (9.0, 8.0);
/// Lower and upper limit of what a daemon spends in advance, in seconds of its own spending.
const ADVANCE_SECONDS: (f64, f64) = (0.8, 8.0);
/// Fraction of a daemon's own spending rate at which the amount to spend in advance refills while
/// the leader is heard.
const ADVANCE_REFILL: f64 = 0.5;
/// Fraction of the allowance that all daemons together aim to spend without a leader.
const LEADERLESS_PART: f64 = 0.9;
/// Time constant of the average arrival rate, in seconds.
const ARRIVAL_SPAN: f64 = 1.0;

/// The result of charging a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeResult {
    /// The cost was charged.
    Charged,
    /// The budget is too low; the leader is asked for more.
    Pending,
    /// The cost can be charged after about this time, in the order in which all daemons asked.
    Queued(Duration),
    /// The allowance is used up; enough will have accrued after this time.
    Exhausted(Duration),
}

/// A charge for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestCharge {
    /// Identifies the request within the daemon.
    pub id: u64,
    /// Cost of the request, in units of the allowance.
    pub cost: f64,
    /// How long the request may wait to be charged.
    pub patience: Duration,
    /// Uniformly distributed over all values. Decides whether the request is charged when the
    /// daemon's share covers only part of its cost.
    pub draw: u64,
}

impl RequestCharge {
    /// Returns a uniformly distributed number from 0 to 1 that is the same on all daemons.
    fn chance(&self) -> f64 {
        (self.draw >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What a daemon asks of the leader for one team, and what it gives back.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetDraw {
    /// Requests that wait to be charged.
    pub asks: Vec<AllowanceRequest>,
    /// Further amount that the next grant span is expected to need.
    pub ahead: f64,
    /// Amount that is given back; it is no longer in the budget.
    pub returned: f64,
    /// Cost of the requests that arrived since the last draw.
    pub arrived: f64,
}

impl BudgetDraw {
    /// Returns whether there is anything to ask for, to give back or to report.
    pub fn has_content(&self) -> bool {
        !self.asks.is_empty() || self.ahead > 1.0 || self.returned > 0.0 || self.arrived > 0.0
    }

    /// Converts it into a report's entry for a team.
    pub fn into_team_draw(self, team: TeamName) -> TeamDraw {
        let BudgetDraw { asks, ahead, returned, arrived } = self;
        TeamDraw { team, asks, arrived, ahead, returned }
    }
}

/// A request that waits to be charged.
#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    id: u64,
    cost: f64,
    /// When its patience ends.
    due: Time,
    /// Whether a report to the leader included it.
    is_sent: bool,
    /// When the leader last estimated the remaining wait, and its estimate.
    wait_estimate: Option<(Time, Duration)>,
    /// When the amount that the leader reserved for it expires.
    reserved_until: Option<Time>,
}

/// One daemon's budget for one team.
#[derive(Clone, Debug)]
pub struct TeamBudget {
    allowance: Allowance,
    granted: f64,
    granted_until: Time,
    /// Time of the last reply that reported waiting requests, and how long a further one would
    /// wait.
    backlog_wait: Option<(Time, Duration)>,
    /// What may be spent without the leader, and when that was last updated.
    leaderless_level: f64,
    leaderless_at: Time,
    /// Demand on all daemons as a fraction of the allowance.
    demand_ratio: f64,
    requests: Vec<PendingAsk>,
    /// Granted amount that was certainly not spent; the next report gives it back.
    returnable: f64,
    /// Rate at which the leader's grants were spent.
    spend_rate: SpendRate,
    arrival_rate: f64,
    rate_at: Time,
    /// Cost of the requests that arrived since the last draw.
    arrived: f64,
}

impl TeamBudget {
    /// Creates an empty budget.
    pub fn new(now: Time, allowance: Allowance) -> TeamBudget {
        TeamBudget {
            allowance,
            granted: 0.0,
            granted_until: now,
            backlog_wait: None,
            // The first update lowers this to the limit of what is spent in advance.
            leaderless_level: f64::INFINITY,
            leaderless_at: now,
            demand_ratio: LEADERLESS_PART,
            requests: Vec::new(),
            returnable: 0.0,
            spend_rate: SpendRate::default(),
            arrival_rate: 0.0,
            rate_at: now,
            arrived: 0.0,
        }
    }

    /// Sets the allowance, and limits the unspent grant to its burst.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        if self.allowance != allowance {
            self.allowance = allowance;
            self.granted = self.granted.min(allowance.burst);
        }
    }

    /// Records the arrival of a request with this cost.
    pub fn add_arrival(&mut self, now: Time, cost: f64) {
        self.arrival_rate = self.current_rate(now) + cost / ARRIVAL_SPAN;
        self.rate_at = now;
        self.arrived += cost;
    }

    /// Removes an uncharged request that no longer waits. An amount reserved for it is given back.
    pub fn cancel(&mut self, id: u64) {
        if let Some(at) = self.requests.iter().position(|request| request.id == id) {
            let request = self.requests.swap_remove(at);
            self.returnable += request.reserved_until.map_or(0.0, |_| request.cost);
        }
    }

    /// Charges a request if the budget or, while the leader is silent, this daemon's share covers
    /// it.
    pub fn try_charge(
        &mut self,
        now: Time,
        charge: &RequestCharge,
        leader_heard_at: Time,
        daemons: u32,
    ) -> ChargeResult {
        self.expire(now);
        let position = self.requests.iter().position(|request| request.id == charge.id);
        let is_reserved = position.is_some_and(|at| self.requests[at].reserved_until.is_some());
        if is_reserved || self.granted >= charge.cost {
            self.spend_rate.add(now, charge.cost);
            if is_reserved {
                self.requests.retain(|request| request.id != charge.id);
            } else {
                self.granted -= charge.cost;
                self.cancel(charge.id);
            }
            return ChargeResult::Charged;
        }
        let silence = now.since(leader_heard_at);
        if silence >= sync_pause(daemons) + LEADER_SILENCE {
            if self.charge_leaderless(now, charge, leader_heard_at, daemons) {
                self.cancel(charge.id);
                return ChargeResult::Charged;
            }
            if silence >= LEADERLESS_AFTER {
                self.cancel(charge.id);
                return ChargeResult::Exhausted(LEADERLESS_RETRY);
            }
        }
        match position {
            Some(at) => self.waiting_result(now, at),
            None => self.request_grant(now, charge),
        }
    }

    /// Charges a request to this daemon's share. A team that asks for more than its allowance gets
    /// only a part of its requests charged, selected by `draw`. Those of other teams are charged as
    /// long as this daemon's spending doesn't rise.
    fn charge_leaderless(
        &mut self,
        now: Time,
        charge: &RequestCharge,
        leader_heard_at: Time,
        daemons: u32,
    ) -> bool {
        let silence = now.since(leader_heard_at);
        let rate =
            leaderless_rate(&self.allowance, self.spend_rate.at(leader_heard_at), silence, daemons);
        self.accrue_leaderless(now, rate, rate);
        let is_partial = self.leaderless_level < charge.cost;
        let part = if is_partial { self.leaderless_level / charge.cost } else { 1.0 };
        if charge.chance() < part.min(LEADERLESS_PART / self.demand_ratio.max(f64::MIN_POSITIVE)) {
            self.leaderless_level -= charge.cost;
            return true;
        }
        if is_partial {
            self.leaderless_level = self.leaderless_level.min(self.leaderless_level * 0.6);
        }
        false
    }

    /// Updates what may be spent without the leader: it accrues at `rate`, up to some seconds of
    /// `share`.
    fn accrue_leaderless(&mut self, now: Time, rate: f64, share: f64) {
        let (window, span) = WINDOW_SECONDS;
        let ahead = window / self.demand_ratio.max(f64::MIN_POSITIVE) - span;
        let cap = share * ahead.clamp(ADVANCE_SECONDS.0, ADVANCE_SECONDS.1);
        let accrued = rate * now.since(self.leaderless_at).as_secs_f64();
        self.leaderless_level = (self.leaderless_level + accrued).min(cap);
        self.leaderless_at = now;
    }

    /// Returns the result for a waiting request, by the leader's last estimate.
    fn waiting_result(&mut self, now: Time, at: usize) -> ChargeResult {
        let request = &mut self.requests[at];
        let Some((estimated_at, wait)) = request.wait_estimate else {
            return ChargeResult::Pending;
        };
        if estimated_at + wait > request.due {
            self.requests.swap_remove(at);
            return ChargeResult::Exhausted(wait);
        }
        let left = wait.saturating_sub(now.since(estimated_at));
        if left.is_zero() {
            (request.wait_estimate, request.is_sent) = (None, false);
            return ChargeResult::Pending;
        }
        ChargeResult::Queued(left)
    }

    /// Adds a request to those that the leader is asked for, unless the known wait exceeds its
    /// patience.
    fn request_grant(&mut self, now: Time, charge: &RequestCharge) -> ChargeResult {
        let wait = self
            .backlog_wait
            .map_or(Duration::ZERO, |(at, wait)| wait.saturating_sub(now.since(at)));
        if wait > charge.patience {
            return ChargeResult::Exhausted(wait);
        }
        let RequestCharge { id, cost, .. } = *charge;
        let due = now + charge.patience;
        self.requests.push(PendingAsk {
            id,
            cost,
            due,
            is_sent: false,
            wait_estimate: None,
            reserved_until: None,
        });
        ChargeResult::Pending
    }

    /// Gives back the cost of a request that certainly did not run.
    pub fn refund(&mut self, now: Time, cost: f64) {
        self.expire(now);
        if now < self.granted_until {
            self.granted += cost;
        } else {
            self.returnable += cost;
        }
    }

    /// Applies a grant that was asked for at `asked_at`.
    pub fn apply_grant(&mut self, now: Time, asked_at: Time, grant: &TeamGrant) {
        self.expire(now);
        let until = asked_at + GRANT_SPAN;
        let is_fresh = now < until;
        for (id, cost) in &grant.awards {
            match self.requests.iter_mut().find(|request| request.id == *id && is_fresh) {
                Some(request) => request.reserved_until = Some(until),
                None => self.returnable += cost,
            }
        }
        for (id, wait_ms) in &grant.waits {
            if let Some(request) = self.requests.iter_mut().find(|request| request.id == *id) {
                request.wait_estimate = Some((now, Duration::from_millis(*wait_ms)));
            }
        }
        if is_fresh {
            // Older parts expire with the new one; the leader relies on that.
            self.granted += grant.amount;
            self.granted_until = until;
        } else {
            self.returnable += grant.amount;
        }
        let own = self.spend_rate.at(now);
        self.accrue_leaderless(now, ADVANCE_REFILL * own, own);
        self.demand_ratio = grant.pressure;
        let wait = Duration::from_millis(grant.wait_ms);
        self.backlog_wait = (grant.wait_ms > 0).then_some((now, wait));
    }

    /// Returns what to ask the leader for, and takes what is given back out of the budget.
    pub fn take_draw(&mut self, now: Time) -> BudgetDraw {
        self.expire(now);
        let waiting = self.requests.iter_mut().filter(|request| request.reserved_until.is_none());
        let requests = waiting.map(|request| {
            request.is_sent = true;
            let patience_ms = u64::try_from(request.due.since(now).as_millis()).unwrap_or(u64::MAX);
            AllowanceRequest { id: request.id, cost: request.cost, patience_ms }
        });
        let requests = requests.collect();
        let ahead = self.current_rate(now) * GRANT_SPAN.as_secs_f64();
        let spare = (self.granted - ahead).max(0.0);
        self.granted -= spare;
        let returned = spare + std::mem::take(&mut self.returnable);
        BudgetDraw {
            asks: requests,
            ahead: (ahead - self.granted).max(0.0),
            returned,
            arrived: std::mem::take(&mut self.arrived),
        }
    }

    /// Returns whether a draw would ask for something or give something back.
    pub fn is_active(&self, now: Time) -> bool {
        !self.requests.is_empty() || self.returnable > 0.0 || self.current_rate(now) > 1.0
    }

    /// Returns whether a waiting request must be reported to the leader, for the first time or
    /// again.
    pub fn is_urgent(&self) -> bool {
        self.requests.iter().any(|request| !request.is_sent)
    }

    fn current_rate(&self, now: Time) -> f64 {
        let age = now.since(self.rate_at).as_secs_f64();
        self.arrival_rate * (-age / ARRIVAL_SPAN).exp()
    }

    fn expire(&mut self, now: Time) {
        if now >= self.granted_until {
            self.returnable += std::mem::take(&mut self.granted);
        }
        for request in &mut self.requests {
            if request.reserved_until.is_some_and(|until| now >= until) {
                self.returnable += request.cost;
                (request.reserved_until, request.wait_estimate, request.is_sent) =
                    (None, None, false);
            }
        }
    }
}
