//! The prompt parts that targets have answered recently.

use std::time::Duration;

use base::{SortedMap, Time};

use crate::PartId;

/// Number of parts that are remembered.
const MAX_ENTRIES: usize = 2_048;
/// How long an answer shows that a part is sound.
const ANSWER_VALIDITY: Duration = Duration::from_secs(60);

/// When this daemon last saw each part answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnsweredTable {
    answers: SortedMap<PartId, Time>,
}

impl AnsweredTable {
    pub(crate) fn record(&mut self, now: Time, parts: &[PartId]) {
        for part in parts {
            self.answers.insert(*part, now);
        }
        if self.answers.len() > MAX_ENTRIES {
            let mut times: Vec<Time> = self.answers.values().copied().collect();
            times.sort_unstable();
            let middle = times[times.len() / 2];
            self.answers.retain(|_, at| *at > middle);
        }
    }

    /// Returns when a part was last answered, unless that is too long ago.
    pub(crate) fn last(&self, now: Time, part: PartId) -> Option<Time> {
        self.answers.get(&part).copied().filter(|at| now.since(*at) < ANSWER_VALIDITY)
    }
}
