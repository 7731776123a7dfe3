//! Replicas by work: how many replicas a model needs, what an engine may take, and what an eviction
//! costs, in services whose targets state a slowdown.
//!
//! Work is engine time for prompts: engine seconds per second on an engine of usual speed. The
//! functions keep no state and read no clock.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use mango_lead::work;
//!
//! // Two requests a second with prompts of 9,190 tokens, and streams that may pause for 600 ms.
//! let model = work::model_work(18_380.0);
//! let prompt = Duration::from_millis(240);
//! let share = work::replica_share(prompt, Some(Duration::from_millis(600)));
//! assert!((0.15..0.20).contains(&share));
//! assert_eq!(work::wanted_replicas(model, share), 2);
//! ```

use std::cmp::Ordering;
use std::time::Duration;

/// Prompt tokens that an engine processes per second.
pub(crate) const PREFILL_RATE: f64 = 40_000.0;
/// Share of a prompt's tokens that an engine must process although earlier requests share a prefix.
pub(crate) const UNCACHED_SHARE: f64 = 0.7;
/// Accepted probability that the prompts queued at an engine take longer than the accepted gap.
const LATE_PROBABILITY: f64 = 0.05;
/// Bounds of the share of an engine's time that one replica may take. The upper one is the share in
/// even services; below the lower one the wanted replicas would fill the fleet for a few long prompts.
const SHARE_RANGE: (f64, f64) = (0.05, 0.35);
/// Steps of the bisection; the result is exact to 0.001.
const BISECTIONS: u32 = 10;
/// Part of a replica by which the need may exceed a number of replicas without calling for one more.
const NEED_MARGIN: f64 = 0.1;
/// Factor on the need when counting the replicas to keep, so that a drop in demand evicts none.
const KEEP_FACTOR: f64 = 1.6;
/// Missing part of a replica that calls for another one. One engine that is a third slower than usual
/// doesn't if prompts are short: it counts as 0.75. With prompts of 230 ms, it counts as less than half.
const MIN_SHORTFALL: f64 = 0.5;
/// Missing part of the replicas to keep up to which a replica counts as surplus.
const MAX_KEEP_GAP: f64 = 0.25;
/// Bounds of the part of a usual replica that one on a slow or fast engine counts as.
const WEIGHT_RANGE: (f64, f64) = (0.3, 4.0);
/// Requests per second below which a model has no demand: it was last requested about ten seconds
/// ago.
const IDLE_RATE: f64 = 0.02;
/// Largest load of the victim's replicas after an eviction for another replica, relative to the load
/// of the model that gets it. Below 1, so that the exchange isn't undone by the next plan.
const EXCHANGE_RATIO: f64 = 0.6;
/// Cost of unloading the last replica of a model, in addition to the cost of its demand.
const LAST_REPLICA_COST: f64 = 0.15;
/// Further cost if the model has demand: the next request for it would evict another model in turn.
const REQUESTED_COST: f64 = 0.35;
/// Cost, per request and second, of unloading the last replica of a model.
const LAST_RATE_COST: f64 = 2.0;
/// Cost of unloading weights that the next load must fetch from the weight store.
const STORE_COST: f64 = 1.0;
/// Cost of unloading a model that may have requests in flight, whose end the unload waits for.
const RECENT_USE_COST: f64 = 0.1;

/// Returns the work of a model's requests by their prompt tokens per second.
pub fn model_work(token_rate: f64) -> f64 {
    token_rate * UNCACHED_SHARE / PREFILL_RATE
}

/// Returns the time that an engine of usual speed needs for a prompt of which nothing is cached.
pub fn prompt_time(tokens: f64) -> Duration {
    // Casts and divisions of rates that are almost 0 may give numbers that aren't finite.
    Duration::try_from_secs_f64(tokens / PREFILL_RATE).unwrap_or_default()
}

/// Returns the largest share of an engine's prefill time that one replica should take, if a usual
/// prompt takes `prompt` on that engine and streams accept pauses of `max_gap`.
///
/// The probability that queued prompts take longer than the gap is about
/// `share * exp(-(1 - share) * (max_gap - prompt) / prompt)`; the result keeps it at 5%.
pub fn replica_share(prompt: Duration, max_gap: Option<Duration>) -> f64 {
    let (mut low, mut high) = SHARE_RANGE;
    let Some(max_gap) = max_gap.filter(|_| !prompt.is_zero()) else { return high };
    let slack = (max_gap.as_secs_f64() - prompt.as_secs_f64()) / prompt.as_secs_f64();
    let late = |share: f64| share * (-(1.0 - share) * slack.max(0.0)).exp();
    if late(high) <= LATE_PROBABILITY {
        return high;
    }
    if late(low) >= LATE_PROBABILITY {
        return low;
    }
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        match late(middle) > LATE_PROBABILITY {
            true => high = middle,
            false => low = middle,
        }
    }
    low
}

/// Returns the number of replicas that a model's work calls for.
pub fn wanted_replicas(work: f64, share: f64) -> usize {
    ((work / share - NEED_MARGIN).ceil() as usize).max(1)
}

/// Returns the number of replicas above which one of them may be evicted at no cost. It exceeds
/// [`wanted_replicas`], so that a replica isn't loaded and evicted in turn while the demand varies.
pub fn kept_replicas(work: f64, share: f64) -> usize {
    wanted_replicas(work * KEEP_FACTOR, share)
}

/// Returns by which factor an engine's prefill time may be used more than that of a usual engine. A slow
/// engine takes longer for each prompt, so a second one that arrives meanwhile stalls its streams for
/// longer than they accept; `prompt` is the time of a prompt at usual speed.
pub fn share_ratio(
    prompt: Duration,
    max_gap: Option<Duration>,
    slowdown: f64,
    usual_slowdown: f64,
) -> f64 {
    replica_share(prompt.mul_f64(slowdown), max_gap)
        / replica_share(prompt.mul_f64(usual_slowdown), max_gap)
}

/// Returns what a replica on an engine counts as, compared with one on a usual engine, if
/// `share_ratio` times as much of its time may be used.
pub fn replica_weight(slowdown: f64, usual_slowdown: f64, share_ratio: f64) -> f64 {
    (share_ratio * usual_slowdown / slowdown).clamp(WEIGHT_RANGE.0, WEIGHT_RANGE.1)
}

/// Returns whether replicas that count as `capacity` usual ones are too few.
pub fn needs_replica(capacity: f64, wanted: usize) -> bool {
    capacity <= wanted as f64 - MIN_SHORTFALL
}

/// Returns the usual slowdown of engines, by their mean speed. Slow engines do less of the work, so
/// they count less than in the mean of the slowdowns.
pub fn usual_slowdown(slowdowns: impl IntoIterator<Item = f64>) -> f64 {
    let (speeds, count) = slowdowns
        .into_iter()
        .fold((0.0, 0_u32), |(speeds, count), slowdown| (speeds + 1.0 / slowdown, count + 1));
    if count == 0 {
        1.0
    } else {
        f64::from(count) / speeds
    }
}

/// Returns whether a model has demand, by its requests per second.
pub fn has_demand(rate: f64) -> bool {
    rate >= IDLE_RATE
}

/// Why a model is loaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadReason {
    /// It has no replica, and requests wait for it or arrive for it.
    Unserved,
    /// It has no replica, and nothing asks for it.
    Unrequested,
    /// Its replicas are too few for its work. The figure is the work of each of them.
    Work(f64),
    /// A failure domain has no replica of it.
    Domain,
}

/// What the eviction of a replica takes away.
#[derive(Clone, Copy, Debug)]
pub struct Eviction {
    /// Number of serving replicas, with this one.
    pub serving: usize,
    /// What the other replicas count as, in usual replicas.
    pub remaining: f64,
    /// Number of replicas above which evicting one costs nothing.
    pub kept: usize,
    /// Requests for the model per second.
    pub rate: f64,
    /// Whether requests for the model arrive, or may do so as far as the leader knows.
    pub has_demand: bool,
    /// Work of the model.
    pub work: f64,
    /// Whether the engine's host keeps the weights in its memory or on its disk.
    pub has_copy: bool,
    /// Whether the replica was loaded so recently that its model's demand may still be rising.
    pub is_new: bool,
    /// Whether the replica was used so recently that requests may be in flight.
    pub is_recent: bool,
}

/// Returns the cost of an eviction; `None` if it isn't allowed for a load for this reason.
pub fn eviction_cost(eviction: &Eviction, reason: LoadReason) -> Option<f64> {
    let Eviction { serving, remaining, kept, rate, has_demand, work, .. } = *eviction;
    if eviction.is_new && reason != LoadReason::Unserved {
        return None;
    }
    let recent_cost = if eviction.is_recent { RECENT_USE_COST } else { 0.0 };
    let store_cost = if eviction.has_copy { 0.0 } else { STORE_COST };
    if serving <= 1 {
        let is_allowed = match reason {
            LoadReason::Unserved => true,
            // Two models without demand would replace each other in turn.
            LoadReason::Unrequested => false,
            LoadReason::Work(_) | LoadReason::Domain => !has_demand && eviction.has_copy,
        };
        let requested_cost = if has_demand { REQUESTED_COST } else { 0.0 };
        let cost = LAST_REPLICA_COST + LAST_RATE_COST * rate + requested_cost;
        return is_allowed.then_some(cost + store_cost + recent_cost);
    }
    let is_surplus = remaining + MAX_KEEP_GAP >= kept as f64;
    // The work that the other replicas take over.
    let moved = work / remaining.max(WEIGHT_RANGE.0);
    let is_allowed = match reason {
        LoadReason::Unserved => true,
        LoadReason::Unrequested | LoadReason::Domain => !has_demand,
        LoadReason::Work(each) => is_surplus || moved <= EXCHANGE_RATIO * each,
    };
    let moved_cost = if is_surplus { 0.0 } else { moved };
    is_allowed.then_some(moved_cost + recent_cost)
}

/// The rank of an engine for a load; the lowest is the best.
///
/// An engine with capacity comes before one without it, so that two hot models don't share an engine.
/// Then come domains that have none of the model, and then the engine with the least work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRank {
    /// Whether the engine's work exceeds what streams on it accept.
    pub is_crowded: bool,
    /// Whether the engine's domain has the model already.
    pub in_domain: bool,
    /// Cost of the eviction, duration of the load and work of the engine after it.
    pub cost: f64,
}

impl PlacementRank {
    /// Compares two ranks; a cost that isn't a number comes last.
    pub fn order(&self, other: &PlacementRank) -> Ordering {
        (self.is_crowded, self.in_domain)
            .cmp(&(other.is_crowded, other.in_domain))
            .then(self.cost.total_cmp(&other.cost))
    }
}
