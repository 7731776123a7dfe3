//! Chooses a target by the estimated time to its answer or first event.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use base::{ModelName, Name, SortedMap, TargetName, Time};
use fleet::ModelRef;
use prefill::PrefillCandidate;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::request::{ChoiceNote, OpenRequest};
use crate::targets::{TargetAccess, TargetState, TargetTable};

/// Prompt tokens that an engine reads per millisecond, until observations correct it.
const READ_TOKENS_PER_MS: f64 = 40.0;
/// Time of one engine step, which passes before any first event.
const ENGINE_STEP_TIME: Duration = Duration::from_millis(10);
/// Time to fetch an adapter through the leader: two calls and a load of up to 14 ms.
pub(crate) const ADAPTER_FETCH_TIME: Duration = Duration::from_millis(45);
/// Penalty for each place further down the order of preference. Among targets with about equal
/// load, requests go to those that have read the same prompt parts.
const PREFERENCE_PENALTY: Duration = Duration::from_millis(12);
/// Longest prompt, in tokens, that an engine reads in one piece. Such prompts barely delay the
/// tokens of other requests.
const SHORT_PROMPT: u64 = 2_048;
/// Penalty for sending a long prompt to the target that is reserved for short ones, or a short
/// prompt elsewhere. Several long prompts in a row stop a target's streams for longer than clients
/// accept.
const ROLE_PENALTY: Duration = Duration::from_millis(60);
/// Assumed work of each request that waits at a target.
const WAITING_WORK: Duration = Duration::from_millis(60);
/// Penalty for a target that fails every request, relative to one that fails none.
const FAILURE_PENALTY: Duration = Duration::from_millis(1_500);
/// Round-trip time to a target in another failure domain.
const DOMAIN_ROUND_TRIP: Duration = Duration::from_millis(2);
/// Work of a request to a plain service until there are observations.
const PLAIN_WORK: Duration = Duration::from_millis(20);
/// Targets are sampled with weights that are inverse powers of their scores. The exponent is the
/// first value plus the second divided by the number of daemons.
const MIN_EXPONENT: f64 = 2.5;
const SHARED_EXPONENT: f64 = 160.0;
/// Added to each score, so that differences below it matter little.
const SCORE_FLOOR: Duration = Duration::from_millis(10);
/// Weight of one observation in a learned time.
const LEARN_WEIGHT: f64 = 0.1;
/// Lower and upper limit of the factor by which a model's reading time differs from the common one.
const FACTOR_RANGE: (f64, f64) = (0.05, 4.0);

/// A chosen target.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Choice {
    pub(crate) target: TargetName,
    /// Time that the target spends on the request before it begins to answer.
    pub(crate) work: Duration,
    pub(crate) note: ChoiceNote,
    /// Whether the adapter must be fetched first.
    pub(crate) lacks_adapter: bool,
}

/// Chooses targets by times that it learns from their answers.
#[derive(Clone, Debug)]
pub(crate) struct TargetChooser {
    domain: base::DomainName,
    /// Factors on the common reading time, by model.
    time_factors: SortedMap<ModelName, f64>,
    /// Average work of a request, by plain service.
    average_work: SortedMap<Name, Duration>,
    /// Number of daemons in the fleet.
    pub(crate) daemons: u32,
    random: SmallRng,
}

impl TargetChooser {
    pub(crate) fn new(domain: base::DomainName, seed: u64) -> TargetChooser {
        TargetChooser {
            domain,
            time_factors: SortedMap::default(),
            average_work: SortedMap::default(),
            daemons: 1,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns a uniformly distributed random number from 0 to 1.
    pub(crate) fn random_fraction(&mut self) -> f64 {
        self.random.random()
    }

    /// Adjusts a model's factor by a first event that took `took` where `estimate` was expected.
    pub(crate) fn learn_factor(&mut self, model: &ModelName, took: Duration, estimate: Duration) {
        let factor = self.time_factors.entry(model.clone(), || 1.0);
        let ratio = took.as_secs_f64() / estimate.as_secs_f64().max(0.001);
        let seen = (*factor * ratio).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
        *factor += LEARN_WEIGHT * (seen - *factor);
    }

    /// Adjusts the average work of a plain service by an answer that took `took`.
    pub(crate) fn learn_work(&mut self, service: &Name, took: Duration) {
        let work = self.average_work.entry(service.clone(), || PLAIN_WORK);
        let mean = work.as_secs_f64();
        *work = Duration::from_secs_f64(mean + LEARN_WEIGHT * (took.as_secs_f64() - mean));
    }

    /// Returns the time to read a prompt of which a target has cached nothing.
    pub(crate) fn reading_time(&self, model: &ModelName, tokens: u64) -> Duration {
        let factor = self.time_factors.get(model).copied().unwrap_or(1.0);
        Duration::from_secs_f64(tokens as f64 / READ_TOKENS_PER_MS / 1_000.0 * factor)
            + ENGINE_STEP_TIME
    }

    /// Returns the average work of a request to a plain service.
    pub(crate) fn plain_work(&self, service: &Name) -> Duration {
        self.average_work.get(service).copied().unwrap_or(PLAIN_WORK)
    }

    /// Chooses among the targets of a plain service, that is one without engines.
    pub(crate) fn choose_plain(
        &mut self,
        now: Time,
        request: &OpenRequest,
        targets: &TargetTable,
        access: TargetAccess,
    ) -> Option<Choice> {
        let work = self.plain_work(&request.service);
        let mut scored = Vec::new();
        for state in targets
            .of_service(now, &request.service)
            .filter(|s| request.may_try(&s.entry) && targets.allows(now, s, request, access))
        {
            let (estimate, occupied) = self.plain_estimate(now, request, targets, state);
            let slots = state.entry.slots.max(1);
            // A target that is nearly full works slower, so free slots count a little.
            let crowding = work.mul_f64(0.3 * f64::from(occupied.min(slots)) / f64::from(slots));
            let score = estimate + crowding + self.penalty(now, state);
            scored.push((score, state, estimate, 0));
        }
        self.sample_choice(now, scored, work, |_| false)
    }

    /// Chooses among the targets that hold a request's model.
    pub(crate) fn choose_engine(
        &mut self,
        now: Time,
        request: &OpenRequest,
        subject: &ModelRef,
        targets: &TargetTable,
        access: TargetAccess,
    ) -> Option<Choice> {
        let base = ModelRef { model: subject.model.clone(), adapter: None };
        let mut holders = usable_engines(now, request, subject, targets, access);
        holders.sort_by_key(|state| request.chain.preference(&state.entry.name));
        // Where targets state their speed, the leader schedules long prompts instead.
        let reserved = match targets.is_uneven(&request.service) {
            true => None,
            false => short_prompt_target(now, &request.service, &base, targets),
        };
        let is_short = request.chain.tokens() <= SHORT_PROMPT;
        let mut scored = Vec::new();
        for (rank, state) in holders.into_iter().enumerate() {
            let (estimate, cached) = self.engine_estimate(now, request, subject, targets, state);
            let rank = u32::try_from(rank.min(4)).unwrap_or(4);
            let is_reserved = reserved.as_ref() == Some(&state.entry.name);
            let is_misplaced = reserved.is_some() && is_reserved != is_short;
            let role = if is_misplaced { ROLE_PENALTY } else { Duration::ZERO };
            let score = estimate + role + PREFERENCE_PENALTY * rank + self.penalty(now, state);
            scored.push((score, state, estimate, cached));
        }
        let uncached = |cached: u64| request.chain.tokens().saturating_sub(cached);
        let work =
            scored.iter().min_by_key(|(score, ..)| *score).map(|(.., cached)| uncached(*cached));
        let work = self.reading_time(&subject.model, work.unwrap_or(0));
        let choice = self.sample_choice(now, scored, work, |state| !state.holds(now, subject))?;
        let slowdown = targets.state(&choice.target).map_or(1.0, |state| state.slowdown(now));
        Some(Choice { work: choice.work.mul_f64(slowdown), ..choice })
    }

    /// Returns the estimated time until a target of a plain service answers a request, and the number
    /// of requests on it.
    pub(crate) fn plain_estimate(
        &self,
        now: Time,
        request: &OpenRequest,
        targets: &TargetTable,
        state: &TargetState,
    ) -> (Duration, u32) {
        let work = self.plain_work(&request.service);
        let own = u32::try_from(state.run_count()).unwrap_or(u32::MAX);
        let occupied = own.saturating_add(state.other_runs(now));
        let slots = state.entry.slots.max(1);
        let queued = (occupied + 1).saturating_sub(slots);
        let wait = work.mul_f64(f64::from(queued) / f64::from(slots));
        (targets.slowed(now, state, wait + work), occupied)
    }

    /// Returns the estimated time until the first event of a request on an engine, and the prompt
    /// tokens that the engine has probably cached.
    pub(crate) fn engine_estimate(
        &self,
        now: Time,
        request: &OpenRequest,
        subject: &ModelRef,
        targets: &TargetTable,
        state: &TargetState,
    ) -> (Duration, u64) {
        let cached = state.record.cached(now, &request.chain);
        let uncached = request.chain.tokens().saturating_sub(cached);
        let waiting = WAITING_WORK * state.waiting(now).min(100);
        let waiting = waiting.max(state.other_work(now));
        let own = u32::try_from(state.run_count()).unwrap_or(u32::MAX);
        let running = own.saturating_add(state.other_runs(now));
        let batch = Duration::from_micros(150) * running.min(1_000);
        let adapter = if state.holds(now, subject) { Duration::ZERO } else { ADAPTER_FETCH_TIME };
        let estimate = state.backlog(now)
            + waiting
            + batch
            + adapter
            + self.reading_time(&subject.model, uncached).mul_f64(state.slowdown(now));
        (targets.slowed(now, state, estimate), cached)
    }

    /// Returns the engines that can serve a request, with the time that each needs for the prompt.
    /// Engines that are avoided are left out while another one isn't.
    pub(crate) fn prefill_candidates(
        &self,
        now: Time,
        request: &OpenRequest,
        subject: &ModelRef,
        targets: &TargetTable,
    ) -> Vec<PrefillCandidate> {
        let mut holders = usable_engines(now, request, subject, targets, TargetAccess::Unlimited);
        if holders.iter().any(|state| !state.is_avoided(now)) {
            holders.retain(|state| !state.is_avoided(now));
        }
        holders.sort_by_key(|state| request.chain.preference(&state.entry.name));
        let candidate = |(rank, state): (usize, &TargetState)| {
            let uncached =
                request.chain.tokens().saturating_sub(state.record.cached(now, &request.chain));
            let work = self.reading_time(&subject.model, uncached);
            let adapter =
                if state.holds(now, subject) { Duration::ZERO } else { ADAPTER_FETCH_TIME };
            let rank = u32::try_from(rank.min(4)).unwrap_or(4);
            let penalty = adapter + PREFERENCE_PENALTY * rank + self.penalty(now, state);
            let to_millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
            PrefillCandidate {
                target: state.entry.name.clone(),
                work_ms: to_millis(work),
                penalty_ms: to_millis(penalty),
            }
        };
        holders.into_iter().enumerate().map(candidate).collect()
    }

    /// Samples the index of a score; low scores are more likely. The fewer of a target's requests
    /// come from this daemon, the less it should rely on the lowest score: all daemons would choose
    /// the same target.
    fn sample_by_score(&mut self, scores: &[Duration]) -> Option<usize> {
        let exponent = MIN_EXPONENT + SHARED_EXPONENT / f64::from(self.daemons.max(1));
        let least = scores.iter().min()?.as_secs_f64() + SCORE_FLOOR.as_secs_f64();
        let weight = |score: &Duration| {
            let score = score.as_secs_f64() + SCORE_FLOOR.as_secs_f64();
            (least / score).powf(exponent)
        };
        let mut rest = self.random_fraction() * scores.iter().map(weight).sum::<f64>();
        let drawn = scores.iter().position(|score| {
            rest -= weight(score);
            rest <= 0.0
        });
        Some(drawn.unwrap_or(scores.len() - 1))
    }

    /// Returns what a target's failures, silence and distance add to its estimate.
    pub(crate) fn penalty(&self, now: Time, state: &TargetState) -> Duration {
        let is_remote = state.entry.domain != self.domain;
        FAILURE_PENALTY.mul_f64(state.failure_share())
            + state.overdue(now) * 3
            + if is_remote { DOMAIN_ROUND_TRIP } else { Duration::ZERO }
    }

    /// Samples a target that isn't avoided. If all are avoided, returns the one whose avoidance
    /// ends first.
    fn sample_choice(
        &mut self,
        now: Time,
        scored: Vec<(Duration, &TargetState, Duration, u64)>,
        work: Duration,
        lacks_adapter: impl Fn(&TargetState) -> bool,
    ) -> Option<Choice> {
        let candidates = scored.len();
        let usable: Vec<_> =
            scored.iter().filter(|(_, state, ..)| !state.is_avoided(now)).collect();
        let scores: Vec<Duration> = usable.iter().map(|(score, ..)| *score).collect();
        let (_, state, estimate, cached) = match self.sample_by_score(&scores) {
            None => scored.iter().min_by_key(|(_, state, ..)| state.avoided_until())?,
            Some(at) => usable[at],
        };
        Some(Choice {
            target: state.entry.name.clone(),
            work,
            lacks_adapter: lacks_adapter(state),
            note: ChoiceNote {
                candidates,
                estimate: *estimate,
                kept_tokens: *cached,
                listing_age: state.listing_age(now),
                slowdown_percent: (state.slowdown(now) * 100.0).round() as u32,
            },
        })
    }
}

/// Returns the targets that may serve a request for a model. A target that lacks the adapter is left out
/// after a failed fetch.
pub(crate) fn usable_engines<'a>(
    now: Time,
    request: &'a OpenRequest,
    subject: &ModelRef,
    targets: &'a TargetTable,
    access: TargetAccess,
) -> Vec<&'a TargetState> {
    let base = ModelRef { model: subject.model.clone(), adapter: None };
    let holders = targets
        .of_service(now, &request.service)
        .filter(|s| s.holds(now, &base) && request.may_try(&s.entry))
        .filter(|s| targets.allows(now, s, request, access));
    let has_failed = |name: &TargetName| {
        request.failed_fetches.iter().any(|(failed, until)| failed == name && now < *until)
    };
    holders.filter(|s| s.holds(now, subject) || !has_failed(&s.entry.name)).collect()
}

/// Returns the target that is reserved for short prompts, if two or more hold the model. All
/// daemons with the same list select the same one.
fn short_prompt_target(
    now: Time,
    service: &Name,
    model: &ModelRef,
    targets: &TargetTable,
) -> Option<TargetName> {
    let holders: Vec<&TargetName> = targets
        .of_service(now, service)
        .filter(|state| state.holds(now, model))
        .map(|state| &state.entry.name)
        .collect();
    if holders.len() < 2 {
        return None;
    }
    holders.into_iter().min_by_key(|name| target_hash(&model.model, name)).cloned()
}

fn target_hash(model: &ModelName, target: &TargetName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (model, target).hash(&mut hasher);
    hasher.finish()
}
