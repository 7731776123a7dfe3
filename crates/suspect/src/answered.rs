//! The requests and prompt parts that targets have answered recently.

use std::time::Duration;

use base::{SortedMap, Time};

use crate::{CrashCause, PartId, RequestDigest, SuspectRequest};

/// Number of requests, and of parts, that are remembered.
const MAX_ENTRIES: usize = 2_048;
/// How long an answer shows that a request or a part is sound.
const ANSWER_VALIDITY: Duration = Duration::from_secs(60);

/// When this daemon last saw each request and each part answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnsweredTable {
    requests: SortedMap<RequestDigest, Time>,
    parts: SortedMap<PartId, Time>,
}

impl AnsweredTable {
    pub(crate) fn record(&mut self, now: Time, request: &SuspectRequest) {
        record(&mut self.requests, now, &[request.digest]);
        record(&mut self.parts, now, &request.parts);
    }

    /// Returns when a request or a part was last answered, unless that is too long ago.
    pub(crate) fn last(&self, now: Time, cause: CrashCause) -> Option<Time> {
        let last = match cause {
            CrashCause::Request(digest) => self.requests.get(&digest),
            CrashCause::Part(part) => self.parts.get(&part),
        };
        last.copied().filter(|at| now.since(*at) < ANSWER_VALIDITY)
    }
}

fn record<K: Ord + Copy>(answers: &mut SortedMap<K, Time>, now: Time, keys: &[K]) {
    for key in keys {
        answers.insert(*key, now);
    }
    if answers.len() > MAX_ENTRIES {
        let mut times: Vec<Time> = answers.values().copied().collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        answers.retain(|_, at| *at > middle);
    }
}
