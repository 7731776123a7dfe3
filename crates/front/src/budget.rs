//! One daemon's budget for one team: the share of the team's allowance that it may spend.

use std::time::Duration;

use base::{TeamName, Time};
use fleet::{
    accrual_delay, silence_limit, Allowance, AllowanceRequest, LeaderlessShare, LeaderlessState,
    SpendRate, TeamDraw, TeamGrant, TeamUsage, EVEN_SHARE_DELAY,
};

/// How long a grant may be spent. Within a window, spending can exceed the allowance by what
/// accrues in this time, but not in the long run.
pub const GRANT_SPAN: Duration = Duration::from_millis(500);
/// Time without a reply after which requests no longer wait for the leader.
pub const LEADERLESS_AFTER: Duration = Duration::from_millis(1_800);
/// Retry hint while there is no leader: by then there is probably one.
const LEADERLESS_RETRY: Duration = Duration::from_millis(1_500);
/// Fraction of the allowance that all daemons together aim to spend without a leader.
const LEADERLESS_PART: f64 = 0.9;
/// Time constant of the average arrival rate, in seconds.
const ARRIVAL_SPAN: f64 = 1.0;
/// Weight of a request in the mean cost of the daemon's requests.
const COST_WEIGHT: f64 = 0.125;

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
    /// What is spent without the leader.
    pub leaderless: LeaderlessState,
    /// Whether the leader should know `leaderless` although there is nothing else to report.
    pub is_share_due: bool,
}

impl BudgetDraw {
    /// Returns whether there is anything to ask for, to give back or to report.
    pub fn has_content(&self) -> bool {
        !self.asks.is_empty()
            || self.ahead > 1.0
            || self.returned > 0.0
            || self.arrived > 0.0
            || self.is_share_due
    }

    /// Converts it into a report's entry for a team.
    pub fn into_team_draw(self, team: TeamName) -> TeamDraw {
        let BudgetDraw { asks, ahead, returned, arrived, leaderless, .. } = self;
        TeamDraw { team, asks, arrived, ahead, returned, leaderless: Some(leaderless) }
    }
}

/// An event in a daemon's spending without the leader, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShareEvent {
    /// The daemon has begun to spend this share.
    Used(LeaderlessShare),
    /// A leader has taken account of this amount.
    Settled(f64),
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
    /// Share that the leader stated last, and when its reply arrived.
    share: Option<LeaderlessShare>,
    share_at: Time,
    /// What is left of the share, and when that was last updated.
    leaderless_level: f64,
    leaderless_at: Time,
    /// Amount spent without the leader in all, and the parts that the last report and the last report
    /// with a reply contained.
    leaderless_spent: f64,
    reported_spent: f64,
    settled_spent: f64,
    /// Whether the daemon has spent its share since the last grant.
    is_leaderless: bool,
    events: Vec<ShareEvent>,
    /// Number of daemons when a request was last charged.
    daemons: u32,
    /// Mean cost of recent requests.
    request_cost: f64,
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
            share: None,
            share_at: now,
            // The first update lowers this to what may accumulate.
            leaderless_level: f64::INFINITY,
            leaderless_at: now,
            leaderless_spent: 0.0,
            reported_spent: 0.0,
            settled_spent: 0.0,
            is_leaderless: false,
            events: Vec::new(),
            daemons: 1,
            request_cost: 0.0,
            demand_ratio: LEADERLESS_PART,
            requests: Vec::new(),
            returnable: 0.0,
            spend_rate: SpendRate::default(),
            arrival_rate: 0.0,
            rate_at: now,
            arrived: 0.0,
        }
    }

    /// Sets the allowance, and limits the unspent grant to its burst. A lower allowance lowers the share,
    /// too.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        if self.allowance != allowance {
            let ratio = allowance.per_second / self.allowance.per_second.max(f64::MIN_POSITIVE);
            self.share = self.share.map(|share| share.scaled(ratio.min(1.0)));
            self.leaderless_level *= ratio.min(1.0);
            self.allowance = allowance;
            self.granted = self.granted.min(allowance.burst);
        }
    }

    /// Records the arrival of a request with this cost.
    pub fn add_arrival(&mut self, now: Time, cost: f64) {
        self.arrival_rate = self.current_rate(now) + cost / ARRIVAL_SPAN;
        self.rate_at = now;
        self.arrived += cost;
        self.request_cost = match self.request_cost > 0.0 {
            true => self.request_cost + (cost - self.request_cost) * COST_WEIGHT,
            false => cost,
        };
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
        self.daemons = daemons;
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
        if silence >= silence_limit(daemons) {
            if self.charge_leaderless(now, charge, leader_heard_at) {
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
    /// long as this daemon's share covers them.
    fn charge_leaderless(
        &mut self,
        now: Time,
        charge: &RequestCharge,
        leader_heard_at: Time,
    ) -> bool {
        self.accrue_leaderless(now, leader_heard_at);
        let is_partial = self.leaderless_level < charge.cost;
        let part = if is_partial { self.leaderless_level / charge.cost } else { 1.0 };
        if charge.chance() < part.min(LEADERLESS_PART / self.demand_ratio.max(f64::MIN_POSITIVE)) {
            self.leaderless_level -= charge.cost;
            self.leaderless_spent += charge.cost;
            if !self.is_leaderless {
                self.is_leaderless = true;
                let share = self.share.unwrap_or_else(|| self.idle_share());
                self.events.push(ShareEvent::Used(share));
            }
            return true;
        }
        if is_partial {
            self.leaderless_level = self.leaderless_level.min(self.leaderless_level * 0.6);
        }
        false
    }

    /// Updates what is left of the share. It accrues from some time after the leader's last reply, and
    /// is even after a longer time.
    fn accrue_leaderless(&mut self, now: Time, leader_heard_at: Time) {
        let begin = leader_heard_at.max(self.share_at) + accrual_delay(self.daemons);
        let even_from = leader_heard_at + EVEN_SHARE_DELAY;
        let share = self.share.unwrap_or_else(|| self.idle_share());
        self.accrue_share(begin, now.min(even_from), share);
        if now >= even_from {
            let (demand, cost) = (self.demand_ratio, self.request_cost);
            let even = LeaderlessShare::even(&self.allowance, demand, cost, self.daemons);
            self.accrue_share(begin.max(even_from), now, even);
        }
    }

    fn accrue_share(&mut self, begin: Time, end: Time, share: LeaderlessShare) {
        let span = end.since(self.leaderless_at.max(begin));
        let accrued = share.per_second * span.as_secs_f64();
        let capacity = share.capacity(&self.allowance);
        self.leaderless_level = (self.leaderless_level + accrued).min(capacity);
        self.leaderless_at = self.leaderless_at.max(end);
    }

    /// Returns the share of a daemon that has spent nothing.
    fn idle_share(&self) -> LeaderlessShare {
        LeaderlessShare::idle(&self.allowance, self.daemons)
    }

    /// Returns this daemon's share by its own measurement, for replies of leaders that state none.
    fn estimated_share(&self, now: Time) -> LeaderlessShare {
        let recent_rate = self.spend_rate.at(now);
        let demand = self.demand_ratio;
        let rate = recent_rate.max(demand * self.allowance.per_second);
        let usage = TeamUsage { rate, demand, balance: 0.0 };
        LeaderlessShare::of_spending(&self.allowance, &usage, recent_rate, 0.0, self.daemons)
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
        self.demand_ratio = grant.pressure;
        let share = grant.share.unwrap_or_else(|| self.estimated_share(now));
        (self.share, self.share_at, self.leaderless_at) = (Some(share), now, now);
        // The leader has taken account of what the report contained, but not of what was spent since.
        self.leaderless_level = share.advance - (self.leaderless_spent - self.reported_spent);
        if self.reported_spent > self.settled_spent {
            self.events.push(ShareEvent::Settled(self.reported_spent - self.settled_spent));
        }
        self.settled_spent = self.reported_spent;
        self.is_leaderless = false;
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
        self.reported_spent = self.leaderless_spent;
        let share = self.share.unwrap_or_default();
        let is_settled = self.settled_spent == self.leaderless_spent;
        BudgetDraw {
            leaderless: LeaderlessState {
                share,
                spent: self.leaderless_spent,
                request_cost: self.request_cost,
            },
            is_share_due: !is_settled || !share.is_idle(&self.allowance, self.daemons),
            asks: requests,
            ahead: (ahead - self.granted).max(0.0),
            returned,
            arrived: std::mem::take(&mut self.arrived),
        }
    }

    /// Returns the amount spent without the leader since the daemon's start.
    pub fn leaderless_spent(&self) -> f64 {
        self.leaderless_spent
    }

    /// Returns the events since the last call and clears them.
    pub fn take_events(&mut self) -> Vec<ShareEvent> {
        std::mem::take(&mut self.events)
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
