//! The limits that targets have named.

use base::{SortedMap, TargetName, Time};

use crate::RequestRate;

/// Largest number of targets whose limits are remembered.
const MAX_RECORDS: usize = 4_096;

/// What is known of the limit of one target process.
#[derive(Clone, Copy, Debug)]
struct LimitRecord {
    /// Start of the process, in milliseconds since the Unix epoch.
    born_ms: u64,
    rate: RequestRate,
    /// When the target last named the limit.
    named_at: Time,
}

/// The limits that targets have named, by target. A limit holds for one start of its target.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    records: SortedMap<TargetName, LimitRecord>,
}

impl LimitTable {
    /// Records that a target has named a limit. Returns whether the limit is new or has changed.
    pub fn record_rate(
        &mut self,
        now: Time,
        target: &TargetName,
        born_ms: u64,
        rate: RequestRate,
    ) -> bool {
        let known = self.rate(target, born_ms);
        if !self.records.contains(target) && self.records.len() >= MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.named_at);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.records.remove(&name);
            }
        }
        self.records.insert(target.clone(), LimitRecord { born_ms, rate, named_at: now });
        known != Some(rate)
    }

    /// Records an answer without a limit. Returns whether a limit has ended.
    pub fn record_absence(&mut self, target: &TargetName, born_ms: u64) -> bool {
        let is_limited = self.rate(target, born_ms).is_some();
        if is_limited {
            self.records.remove(target);
        }
        is_limited
    }

    /// Returns the limit of a target, if it has one.
    pub fn rate(&self, target: &TargetName, born_ms: u64) -> Option<RequestRate> {
        let record = self.records.get(target).filter(|record| record.born_ms == born_ms)?;
        Some(record.rate)
    }

    /// Returns the number of targets with a limit.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no target has a limit.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
