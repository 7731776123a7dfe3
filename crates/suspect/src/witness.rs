//! Which crashes are independent of one another.

use std::time::Duration;

use crate::verdict::CrashCase;
use crate::{CrashCause, RequestDigest, SuspectRun, UnixMillis};

/// Most by which the clocks of synchronised hosts differ.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(10);

/// Counts the crashes of a series that are independent of one another.
///
/// A crash is independent of an earlier one if its request was sent after that one. Otherwise both
/// targets may have ended for the same reason: no request can reach many targets at one moment, but the
/// loss of a rack ends all of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct WitnessCounter {
    last_crash: Option<UnixMillis>,
    count: usize,
}

impl WitnessCounter {
    /// Adds a crash that isn't earlier than those before it.
    fn add(&mut self, crashed_at: UnixMillis, run: &SuspectRun) {
        let first_send = self.last_crash.map(|last| last.after(CLOCK_TOLERANCE));
        if first_send.is_none_or(|first| run.sent_at > first) {
            self.last_crash = Some(crashed_at);
            self.count += 1;
        }
    }
}

/// Returns how many independent crashes there are of a request. `cases` are sorted by time.
pub(crate) fn count_request(cases: &[CrashCase<'_>], digest: RequestDigest) -> usize {
    let mut counter = WitnessCounter::default();
    for case in cases {
        let runs = case.suspects.iter().filter(|run| run.request.digest == digest);
        if let Some(run) = runs.max_by_key(|run| run.sent_at) {
            counter.add(case.crashed_at, run);
        }
    }
    counter.count
}

/// Returns how many crashes of different requests there are with a cause.
pub(crate) fn count_different(cases: &[CrashCase<'_>], cause: CrashCause) -> usize {
    let mut requests: Vec<RequestDigest> = Vec::new();
    for case in cases {
        let mut runs = case.suspects.iter().filter(|run| run.request.holds(cause));
        let new = runs.find(|run| !requests.contains(&run.request.digest));
        requests.extend(new.map(|run| run.request.digest));
    }
    requests.len()
}
