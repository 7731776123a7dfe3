//! Targets that are cold: since a recent start they tolerate only a low rate of requests.

use std::time::Duration;

use base::{SortedMap, TargetName, Time};
use serde::{Deserialize, Serialize};

use crate::{PermitDenial, RequestRate};

/// Longest time for which a target can be said to be cold.
const MAX_COLD: Duration = Duration::from_secs(600);
/// Largest number of targets that are remembered.
const MAX_RECORDS: usize = 4_096;
/// Age that a listing may have when it is read: relayed changes are at most 1.2 s old.
const LISTING_DELAY: Duration = Duration::from_millis(1_500);
/// Time limit of one request for a permit, and the pause after the leader did not answer. Each daemon
/// has one such request open for each cold target, so that its queue doesn't load the leader.
const ASK_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after a denial. Denied callers of many daemons return later than this; without the
/// limit, permits would stay unused when some of them have left.
const MAX_DENIAL_PAUSE: Duration = Duration::from_secs(1);

/// How long targets of a service are cold after a start, and what they tolerate meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSpec {
    /// Time after a start.
    pub span: Duration,
    /// Requests per second from all daemons together.
    pub rate: RequestRate,
}

impl ColdSpec {
    /// Creates a spec. Returns `None` if the time or the rate is zero: such targets are never cold.
    pub fn new(span: Duration, rate: RequestRate) -> Option<ColdSpec> {
        (!span.is_zero() && rate.per_second() > 0.0).then_some(ColdSpec { span, rate })
    }
}

/// What an entry or an answer says about how long its target stays cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ColdNotice {
    /// Nothing.
    #[default]
    Absent,
    /// A value that can't be right. It changes nothing.
    Malformed,
    /// The target stays cold for this long; zero if it isn't cold.
    Left(Duration),
}

impl ColdNotice {
    /// Creates a notice from milliseconds. It is malformed if they are negative, not finite or more
    /// than ten minutes.
    pub fn from_millis(ms: f64) -> ColdNotice {
        let span = Duration::try_from_secs_f64(ms / 1_000.0).ok();
        span.filter(|span| *span <= MAX_COLD).map_or(ColdNotice::Malformed, ColdNotice::Left)
    }
}

/// What one daemon tells another of a cold target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStatement {
    /// Target that is cold.
    pub target: TargetName,
    /// Start of the target's process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Time for which the target stays cold, in milliseconds.
    pub left_ms: u64,
    /// Requests per second that the target tolerates meanwhile.
    pub rate: RequestRate,
}

/// What is known of one target process.
#[derive(Clone, Copy, Debug)]
struct ColdRecord {
    born_ms: u64,
    rate: RequestRate,
    until: Time,
    /// When `until` was last set. Only a later statement can end the state.
    stated_at: Time,
    /// The target is slow until then, because it has started recently.
    slow_until: Time,
    /// No permit is asked for before this time.
    ask_from: Time,
    /// When a refused caller should return.
    return_at: Time,
    /// Whether [`ColdTable::take_changes`] last returned the target as cold.
    was_cold: bool,
}

/// Until when targets are cold, for one daemon.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use base::Time;
/// use mango_limit::{ColdSpec, ColdTable};
///
/// let spec = ColdSpec::new(Duration::from_secs(3), "7.5".parse()?).unwrap();
/// let (target, mut table) = ("engine-1".parse()?, ColdTable::default());
/// table.record_start(Time::ZERO, (&target, 7), spec, Some(spec.span));
/// assert!(table.rate(Time::from_millis(2_900), &target, 7).is_some());
/// assert!(table.rate(Time::from_millis(3_000), &target, 7).is_none());
/// # Ok::<(), base::ParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct ColdTable {
    records: SortedMap<TargetName, ColdRecord>,
    /// No target is cold from this time on.
    latest_end: Time,
}

impl ColdTable {
    /// Records a start that is listed for the first time. `left` is how long the target is cold;
    /// `None` if it started before this daemon did. Returns whether the start was unknown.
    pub fn record_start(
        &mut self,
        now: Time,
        (target, born_ms): (&TargetName, u64),
        spec: ColdSpec,
        left: Option<Duration>,
    ) -> bool {
        if self.records.get(target).is_some_and(|record| record.born_ms >= born_ms) {
            return false;
        }
        let mut record = ColdRecord::new(now, born_ms, spec.rate);
        if left.is_some() {
            record.slow_until = now + spec.span;
        }
        self.insert(target, record);
        self.extend(now, (target, born_ms), spec.rate, left.unwrap_or_default());
        true
    }

    /// Treats a target as cold and slow for the time after a start, although it has not started.
    pub fn record_return(&mut self, now: Time, target: (&TargetName, u64), spec: ColdSpec) {
        self.extend(now, target, spec.rate, spec.span);
        if let Some(record) = self.records.get_mut(target.0) {
            record.slow_until = record.slow_until.max(now + spec.span);
        }
    }

    /// Applies a target's own statement, which it made after `stated_after`. A shorter time doesn't
    /// replace a longer one, but a statement that the target isn't cold ends what was stated
    /// earlier. Returns whether the target has become cold.
    pub fn apply_notice(
        &mut self,
        now: Time,
        (target, born_ms): (&TargetName, u64),
        spec: ColdSpec,
        notice: ColdNotice,
        stated_after: Time,
    ) -> bool {
        let ColdNotice::Left(left) = notice else { return false };
        if !left.is_zero() {
            return self.extend(now, (target, born_ms), spec.rate, left);
        }
        let record = self.records.get_mut(target);
        if let Some(record) = record.filter(|record| record.born_ms == born_ms) {
            if stated_after >= record.stated_at {
                record.until = record.until.min(now);
            }
        }
        false
    }

    /// Applies a notice of an entry that was read now; see [`ColdTable::apply_notice`].
    pub fn apply_listing(
        &mut self,
        now: Time,
        target: (&TargetName, u64),
        spec: ColdSpec,
        notice: ColdNotice,
    ) {
        self.apply_notice(now, target, spec, notice, now - LISTING_DELAY);
    }

    /// Applies another daemon's statement. The longer time and the lower rate count. Returns whether
    /// the target has become cold.
    pub fn apply_statement(&mut self, now: Time, statement: &ColdStatement) -> bool {
        let left = Duration::from_millis(statement.left_ms).min(MAX_COLD);
        self.extend(now, (&statement.target, statement.born_ms), statement.rate, left)
    }

    fn extend(
        &mut self,
        now: Time,
        (target, born_ms): (&TargetName, u64),
        rate: RequestRate,
        left: Duration,
    ) -> bool {
        let known = self.records.get(target).map(|record| record.born_ms);
        if left.is_zero() || known.is_some_and(|known| known > born_ms) {
            return false;
        }
        if known.is_none_or(|known| known < born_ms) {
            self.insert(target, ColdRecord::new(now, born_ms, rate));
        }
        let Some(record) = self.records.get_mut(target) else { return false };
        let is_cold = now < record.until;
        record.rate = if is_cold && record.rate < rate { record.rate } else { rate };
        record.until = record.until.max(now + left);
        record.stated_at = now;
        self.latest_end = self.latest_end.max(record.until);
        !is_cold
    }

    fn insert(&mut self, target: &TargetName, mut record: ColdRecord) {
        record.was_cold = self.records.get(target).is_some_and(|record| record.was_cold);
        if !self.records.contains(target) && self.records.len() >= MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.until);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.records.remove(&name);
            }
        }
        self.records.insert(target.clone(), record);
    }

    /// Forgets a target.
    pub fn remove(&mut self, target: &TargetName) {
        self.records.remove(target);
    }

    /// Keeps only the targets for which `is_kept` returns true.
    pub fn retain(&mut self, is_kept: impl Fn(&TargetName) -> bool) {
        self.records.retain(|target, _| is_kept(target));
    }

    fn cold(&self, now: Time, target: &TargetName, born_ms: u64) -> Option<&ColdRecord> {
        if now >= self.latest_end {
            return None;
        }
        let record = self.records.get(target)?;
        (record.born_ms == born_ms && now < record.until).then_some(record)
    }

    /// Returns the rate that a target tolerates, if it is cold.
    pub fn rate(&self, now: Time, target: &TargetName, born_ms: u64) -> Option<RequestRate> {
        self.cold(now, target, born_ms).map(|record| record.rate)
    }

    /// Returns until when a target is cold, if it is.
    pub fn until(&self, now: Time, target: &TargetName, born_ms: u64) -> Option<Time> {
        self.cold(now, target, born_ms).map(|record| record.until)
    }

    /// Returns whether a target is cold or has started recently, so that it is slow.
    pub fn is_slow(&self, now: Time, target: &TargetName, born_ms: u64) -> bool {
        let record = self.records.get(target).filter(|record| record.born_ms == born_ms);
        record.is_some_and(|record| now < record.until.max(record.slow_until))
    }

    /// Returns whether no target is cold.
    pub fn is_empty(&self, now: Time) -> bool {
        now >= self.latest_end
    }

    /// Returns what is known of a target, for another daemon, if the target is cold.
    pub fn statement(&self, now: Time, target: &TargetName) -> Option<ColdStatement> {
        let record = self.records.get(target).filter(|record| now < record.until)?;
        // Rounded up, so that the state doesn't end early elsewhere.
        let left_ms = u64::try_from(record.until.since(now).as_micros().div_ceil(1_000));
        Some(ColdStatement {
            target: target.clone(),
            born_ms: record.born_ms,
            left_ms: left_ms.unwrap_or(u64::MAX),
            rate: record.rate,
        })
    }

    /// Returns the targets that are cold.
    pub fn targets(&self, now: Time) -> impl Iterator<Item = &TargetName> {
        let cold = self.records.iter().filter(move |(_, record)| now < record.until);
        cold.map(|(target, _)| target)
    }

    /// Returns the targets that became cold, with the time left, or warm since the last call.
    pub fn take_changes(&mut self, now: Time) -> Vec<(TargetName, Option<Duration>)> {
        let mut changes = Vec::new();
        for (target, record) in self.records.iter_mut() {
            let is_cold = now < record.until;
            if std::mem::replace(&mut record.was_cold, is_cold) != is_cold {
                changes.push((target.clone(), is_cold.then(|| record.until.since(now))));
            }
        }
        changes
    }

    /// Returns whether a permit for a cold target may be asked for.
    pub fn may_ask(&self, now: Time, target: &TargetName) -> bool {
        self.records.get(target).is_some_and(|record| now >= record.ask_from)
    }

    /// Returns how long a caller should wait that a cold target can't serve now.
    pub fn return_wait(&self, now: Time, target: &TargetName) -> Duration {
        let record = self.records.get(target);
        record.map_or(Duration::ZERO, |record| record.return_at.max(record.ask_from).since(now))
    }

    /// Records that a permit was asked for.
    pub fn record_ask(&mut self, now: Time, target: &TargetName) {
        if let Some(record) = self.records.get_mut(target) {
            record.ask_from = now + ASK_PAUSE;
        }
    }

    /// Records that a permit was issued, so that the next one may be asked for.
    pub fn record_issue(&mut self, now: Time, target: &TargetName) {
        if let Some(record) = self.records.get_mut(target) {
            record.ask_from = now;
        }
    }

    /// Records the leader's answer that a permit is not available.
    pub fn record_denial(&mut self, now: Time, target: &TargetName, denial: PermitDenial) {
        if let Some(record) = self.records.get_mut(target) {
            let pause = denial.hint.min(MAX_DENIAL_PAUSE).max(denial.next);
            (record.ask_from, record.return_at) = (now + pause, now + denial.hint);
        }
    }

    /// Records that the leader did not answer.
    pub fn record_silence(&mut self, now: Time, target: &TargetName) {
        if let Some(record) = self.records.get_mut(target) {
            record.ask_from = now + ASK_PAUSE;
        }
    }
}

impl ColdRecord {
    fn new(now: Time, born_ms: u64, rate: RequestRate) -> ColdRecord {
        ColdRecord {
            born_ms,
            rate,
            until: now,
            stated_at: Time::ZERO,
            slow_until: now,
            ask_from: now,
            return_at: now,
            was_cold: false,
        }
    }
}
