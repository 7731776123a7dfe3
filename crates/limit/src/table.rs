//! The limits that targets have named, and when a daemon may ask for a permit.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use base::{SortedMap, TargetName, Time};
use serde::{Deserialize, Serialize};

use crate::permit::PROBE_INTERVAL;
use crate::{LimitNotice, PermitDenial, PermitUse, RequestRate};

/// Largest number of targets whose limits are remembered.
const MAX_RECORDS: usize = 4_096;
/// A request whose answer ends a limit must have been sent this long after the limit was last
/// named, because answers to different daemons overtake each other.
const END_MARGIN: Duration = Duration::from_millis(500);
/// Pause before a daemon asks again for a permit after the leader did not answer.
const SILENCE_PAUSE: Duration = Duration::from_millis(250);
/// Number of daemons up to which each of them asks for probes at `PROBE_INTERVAL`. In a larger
/// fleet each one asks less often.
const PROBE_DAEMONS: u32 = 8;

/// A target's statement of its limit, as daemons exchange it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// Target that the limit protects.
    pub target: TargetName,
    /// Start of the target's process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Limit on the requests of all daemons together; `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// Time since the target said so, in milliseconds.
    pub age_ms: u64,
}

/// What is known of the limit of one target process.
#[derive(Clone, Copy, Debug)]
struct LimitRecord {
    born_ms: u64,
    /// `None` after the limit has ended.
    rate: Option<RequestRate>,
    /// When the target last named the limit, or when the request was sent whose answer ended it.
    stated_at: Time,
    limited_since: Time,
    /// No permit is asked for before this time.
    ask_from: Time,
    /// When a refused caller should return.
    return_at: Time,
    /// When a probe was last asked for.
    probed_at: Option<Time>,
    /// The leader grants no probe before this time.
    probe_from: Time,
}

impl LimitRecord {
    fn new(now: Time, born_ms: u64) -> LimitRecord {
        LimitRecord {
            born_ms,
            rate: None,
            stated_at: Time::ZERO,
            limited_since: now,
            ask_from: now,
            return_at: now,
            probed_at: None,
            probe_from: now + PROBE_INTERVAL,
        }
    }
}

/// The limits that targets have named. A limit holds for one start of its target and until an
/// answer without it, however long ago it was named.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    records: SortedMap<TargetName, LimitRecord>,
    seed: u64,
}

impl LimitTable {
    /// Creates an empty table. The seed differs between daemons and spreads their probes over time.
    pub fn new(seed: u64) -> LimitTable {
        LimitTable { records: SortedMap::default(), seed }
    }

    /// Records what the answer to a request that was sent at `sent_at` says. An absent limit counts
    /// only if `is_complete`, that is if the target would have named its limit in this answer.
    /// Returns whether the limit has changed, so that the leader should learn of it.
    pub fn record_notice(
        &mut self,
        now: Time,
        (target, born_ms): (&TargetName, u64),
        sent_at: Time,
        notice: LimitNotice,
        is_complete: bool,
    ) -> bool {
        match notice {
            LimitNotice::Named(rate) => self.apply(now, target, born_ms, Some(rate), now),
            LimitNotice::Absent => is_complete && self.apply(now, target, born_ms, None, sent_at),
            LimitNotice::Malformed => false,
        }
    }

    /// Applies another daemon's statement. Returns whether it changes a limit.
    pub fn apply_statement(&mut self, now: Time, statement: &LimitStatement) -> bool {
        let LimitStatement { target, born_ms, rate, age_ms } = statement;
        self.apply(now, target, *born_ms, *rate, now - Duration::from_millis(*age_ms))
    }

    fn apply(
        &mut self,
        now: Time,
        target: &TargetName,
        born_ms: u64,
        rate: Option<RequestRate>,
        stated_at: Time,
    ) -> bool {
        let known = self.records.get(target).filter(|record| record.born_ms >= born_ms).copied();
        if known.is_some_and(|record| record.born_ms > born_ms) {
            return false;
        }
        let mut record = match (known, rate) {
            (None, None) => return false,
            (None, Some(_)) => LimitRecord::new(now, born_ms),
            (Some(record), Some(_)) if stated_at <= record.stated_at => return false,
            (Some(record), None) if stated_at < record.stated_at + END_MARGIN => return false,
            (Some(record), _) => record,
        };
        let is_changed = record.rate != rate;
        if record.rate.is_none() {
            record = LimitRecord::new(now, born_ms);
        }
        (record.rate, record.stated_at) = (rate, stated_at);
        self.insert(target, record);
        is_changed
    }

    fn insert(&mut self, target: &TargetName, record: LimitRecord) {
        if !self.records.contains(target) && self.records.len() >= MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.stated_at);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.records.remove(&name);
            }
        }
        self.records.insert(target.clone(), record);
    }

    fn limited(&self, target: &TargetName, born_ms: u64) -> Option<&LimitRecord> {
        let record = self.records.get(target)?;
        (record.born_ms == born_ms && record.rate.is_some()).then_some(record)
    }

    /// Returns the limit of a target, if it has one.
    pub fn rate(&self, target: &TargetName, born_ms: u64) -> Option<RequestRate> {
        self.limited(target, born_ms)?.rate
    }

    /// Returns since when a target has had a limit, whatever its value.
    pub fn limited_since(&self, target: &TargetName, born_ms: u64) -> Option<Time> {
        self.limited(target, born_ms).map(|record| record.limited_since)
    }

    /// Returns a statement about a target of which nothing is known. It changes nothing where more is
    /// known.
    pub fn empty_statement(target: &TargetName, born_ms: u64) -> LimitStatement {
        LimitStatement { target: target.clone(), born_ms, rate: None, age_ms: u64::MAX }
    }

    /// Returns what is known of a target's limit, for another daemon.
    pub fn statement(&self, now: Time, target: &TargetName) -> Option<LimitStatement> {
        let record = self.records.get(target)?;
        Some(LimitStatement {
            target: target.clone(),
            born_ms: record.born_ms,
            rate: record.rate,
            age_ms: u64::try_from(now.since(record.stated_at).as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Iterates over the targets with a limit.
    pub fn targets(&self) -> impl Iterator<Item = &TargetName> {
        self.records.iter().filter(|(_, record)| record.rate.is_some()).map(|(target, _)| target)
    }

    /// Returns whether no target has a limit.
    pub fn is_empty(&self) -> bool {
        self.targets().next().is_none()
    }

    /// Returns whether a permit for a limited target may be asked for.
    pub fn may_ask(&self, now: Time, target: &TargetName) -> bool {
        self.records.get(target).is_some_and(|record| now >= record.ask_from)
    }

    /// Returns whether a permit should be asked for although other targets can serve the request:
    /// only an answer can end a limit, and a target that gets no requests gives none. `daemons` is
    /// the size of the fleet; the more there are, the less often each of them asks.
    pub fn may_probe(&self, now: Time, target: &TargetName, daemons: u32) -> bool {
        let Some(record) = self.records.get(target) else { return false };
        let interval = PROBE_INTERVAL * daemons.max(PROBE_DAEMONS) / PROBE_DAEMONS;
        let due_at = match record.probed_at {
            Some(at) => at + interval,
            None => record.limited_since + interval.mul_f64(self.phase(target)),
        };
        now >= due_at.max(record.probe_from).max(record.ask_from)
    }

    /// Returns a fraction below one that differs between daemons and between targets.
    fn phase(&self, target: &TargetName) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, target).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }

    /// Returns how long a caller should wait that a limited target can't serve now.
    pub fn return_wait(&self, now: Time, target: &TargetName) -> Duration {
        let record = self.records.get(target);
        record.map_or(Duration::ZERO, |record| record.return_at.max(record.ask_from).since(now))
    }

    /// Records that a permit was asked for.
    pub fn record_ask(&mut self, now: Time, target: &TargetName, purpose: PermitUse) {
        let record = self.records.get_mut(target).filter(|_| purpose == PermitUse::Probe);
        if let Some(record) = record {
            record.probed_at = Some(now);
        }
    }

    /// Records the leader's answer that a permit is not available.
    pub fn record_denial(
        &mut self,
        now: Time,
        target: &TargetName,
        purpose: PermitUse,
        denial: PermitDenial,
    ) {
        let Some(record) = self.records.get_mut(target) else { return };
        if purpose == PermitUse::Probe {
            record.probe_from = record.probe_from.max(now + denial.next);
        } else {
            (record.ask_from, record.return_at) = (now + denial.next, now + denial.hint);
        }
    }

    /// Records that the leader did not answer.
    pub fn record_silence(&mut self, now: Time, target: &TargetName) {
        if let Some(record) = self.records.get_mut(target) {
            record.ask_from = now + SILENCE_PAUSE;
            record.return_at = record.return_at.max(record.ask_from);
        }
    }
}
