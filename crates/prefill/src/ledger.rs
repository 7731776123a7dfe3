//! Until when engines prefill prompts, and the decision about the next one.

use std::time::Duration;

use base::{SortedMap, TargetName, Time};

use crate::{PrefillRequest, PrefillVerdict};

/// Share of the gap that streams accept which an engine may prefill without a break. The rest is for the
/// steps of the streams themselves.
const STALL_SHARE: f64 = 0.85;
/// The same for an engine that states a slowdown: it may become twice as slow meanwhile.
const UNEVEN_STALL_SHARE: f64 = 0.5;
/// Break between two series of prompts in which streams produce at least one event.
const STREAM_BREAK: Duration = Duration::from_millis(60);
/// A request whose objective leaves at least this much time beyond its own prefill can wait for more
/// urgent ones.
const FREE_SLACK: Duration = Duration::from_millis(1_000);
/// A request that can wait joins an engine whose queue is shorter than this.
const FREE_QUEUE: Duration = Duration::from_millis(150);
/// Limits of the wait before a request that can wait asks again.
const ASK_PAUSE: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));
/// Longest wait that is reserved ahead. Later plans would rest on estimates that no longer hold.
const MAX_AHEAD: Duration = Duration::from_secs(4);
/// Longest time for which an engine counts as busy. A wrong figure of one daemon must not keep all
/// prompts from an engine for longer.
const MAX_BUSY: Duration = Duration::from_secs(10);

/// An engine's series of prompts.
#[derive(Clone, Copy, Debug)]
struct PrefillQueue {
    /// When the present series of prompts without a break began or will begin.
    series_since: Time,
    /// When the engine will have finished all reserved prompts.
    busy_until: Time,
}

/// When a request would be sent to an engine, and how the engine's queue would change.
#[derive(Clone, Copy, Debug)]
struct PrefillSlot {
    send_at: Time,
    queue: PrefillQueue,
}

/// The reserved prefill time of all engines.
#[derive(Clone, Debug, Default)]
pub struct PrefillLedger {
    queues: SortedMap<TargetName, PrefillQueue>,
}

impl PrefillLedger {
    /// Decides when and where a request is sent, and reserves the time. `slowdown` returns the factor by
    /// which an engine's work takes longer than usual.
    pub fn reserve(
        &mut self,
        now: Time,
        request: &PrefillRequest,
        slowdown: impl Fn(&TargetName) -> Option<f64>,
    ) -> PrefillVerdict {
        self.queues.retain(|_, queue| now < queue.busy_until + STREAM_BREAK);
        let slots = request.candidates.iter().map(|candidate| {
            let work = Duration::from_millis(u64::from(candidate.work_ms));
            let slowdown = slowdown(&candidate.target);
            let share = if slowdown.is_some() { UNEVEN_STALL_SHARE } else { STALL_SHARE };
            let stall = request.max_pause().mul_f64(share);
            let work = work.mul_f64(slowdown.unwrap_or(1.0));
            let slot = self.next_slot(now, &candidate.target, work, stall);
            let penalty = Duration::from_millis(u64::from(candidate.penalty_ms));
            (slot.queue.busy_until + penalty, candidate, slot)
        });
        let Some((_, candidate, slot)) = slots.min_by_key(|(score, ..)| *score) else {
            return PrefillVerdict::Reject { wait_ms: 0 };
        };
        let wait = slot.send_at.since(now);
        let took = slot.queue.busy_until.since(now);
        if took > request.patience() || wait > MAX_AHEAD {
            let excess = took.saturating_sub(request.patience()).max(wait / 2);
            return PrefillVerdict::Reject { wait_ms: to_millis(excess) };
        }
        if let Some(pause) = yield_pause(request, took, self.backlog(now, &candidate.target)) {
            return PrefillVerdict::AskAgain { wait_ms: to_millis(pause) };
        }
        let target = candidate.target.clone();
        let busy_until = slot.queue.busy_until.min(slot.send_at.max(now) + MAX_BUSY);
        self.queues.insert(target.clone(), PrefillQueue { busy_until, ..slot.queue });
        PrefillVerdict::Send { target, wait_ms: to_millis(wait) }
    }

    /// Returns the next time at which an engine can take a prompt without stalling its streams for longer
    /// than `stall`.
    fn next_slot(
        &self,
        now: Time,
        target: &TargetName,
        work: Duration,
        stall: Duration,
    ) -> PrefillSlot {
        let at = |start: Time| PrefillSlot {
            send_at: start,
            queue: PrefillQueue { series_since: start, busy_until: start + work },
        };
        let Some(queue) = self.queues.get(target) else { return at(now) };
        if now >= queue.busy_until + STREAM_BREAK {
            return at(now);
        }
        let begin = queue.busy_until.max(now);
        let until = begin + work;
        if until.since(queue.series_since) <= stall {
            // The engine queues the prompt behind the others of the series.
            let send_at = queue.series_since.max(now);
            return PrefillSlot { send_at, queue: PrefillQueue { busy_until: until, ..*queue } };
        }
        at(queue.busy_until + STREAM_BREAK)
    }

    /// Returns the time that an engine still needs for the reserved prompts.
    pub fn backlog(&self, now: Time, target: &TargetName) -> Duration {
        self.queues.get(target).map_or(Duration::ZERO, |queue| queue.busy_until.since(now))
    }

    /// Iterates over the engines with reserved prompts, and the time that they need for them.
    pub fn backlogs(&self, now: Time) -> impl Iterator<Item = (&TargetName, Duration)> {
        let busy = self.queues.iter().filter(move |(_, queue)| now < queue.busy_until);
        busy.map(move |(target, queue)| (target, queue.busy_until.since(now)))
    }
}

/// Returns how long a request should wait before it asks again, if more urgent requests should go
/// first: its objective leaves time, or can't be met any more. `took` is the time until its prompt would be
/// finished.
fn yield_pause(request: &PrefillRequest, took: Duration, backlog: Duration) -> Option<Duration> {
    if backlog <= FREE_QUEUE {
        return None;
    }
    let slack = request.objective().saturating_sub(took);
    let is_late = took > request.objective();
    let rest = if is_late { request.patience().saturating_sub(took) } else { slack };
    (rest > FREE_SLACK).then(|| (backlog / 2).min(rest / 4).clamp(ASK_PAUSE.0, ASK_PAUSE.1))
}

fn to_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
