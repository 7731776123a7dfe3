//! Which crashes are independent of one another.

use std::time::Duration;

use crate::verdict::CrashCase;
use crate::{CrashCause, RequestDigest, SuspectRun, UnixMillis};

/// Most by which the clocks of synchronised hosts differ.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(10);
/// Crashes this close together may have one reason outside of the requests, such as a lost rack.
const MOMENT: Duration = Duration::from_millis(250);

/// Counts the crashes of a series that are independent of one another.
///
/// A crash is independent of an earlier one if its request was sent after that one. Otherwise both
/// targets may have ended for the same reason: no request can reach many targets at one moment, but the
/// loss of a rack ends all of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct WitnessCounter {
    last_crash: Option<UnixMillis>,
    requests: Vec<RequestDigest>,
    count: usize,
}

impl WitnessCounter {
    /// Adds a crash that isn't earlier than those before it.
    fn add(&mut self, crashed_at: UnixMillis, run: &SuspectRun) {
        let first_send = self.last_crash.map(|last| last.after(CLOCK_TOLERANCE));
        if first_send.is_none_or(|first| run.sent_at > first) {
            self.last_crash = Some(crashed_at);
            self.requests.push(run.request.digest);
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

/// Returns how many independent crashes of different requests there are with a cause. `cases` are sorted
/// by time.
pub(crate) fn count_different(cases: &[CrashCase<'_>], cause: CrashCause) -> usize {
    let mut counter = WitnessCounter::default();
    for case in cases {
        let runs = case.suspects.iter().filter(|run| {
            run.request.holds(cause) && !counter.requests.contains(&run.request.digest)
        });
        if let Some(run) = runs.max_by_key(|run| run.sent_at) {
            counter.add(case.crashed_at, run);
        }
    }
    counter.count
}

/// Returns whether a cause explains at least half of the crashes at the moments of its own. `cases` are
/// sorted by time.
pub(crate) fn explains_most(cases: &[CrashCase<'_>], cause: CrashCause) -> bool {
    let own: Vec<UnixMillis> =
        cases.iter().filter(|case| case.holds(cause)).map(|case| case.crashed_at).collect();
    let is_near = |case: &&CrashCase<'_>| {
        let from = case.crashed_at.before(MOMENT);
        let next = own.partition_point(|at| *at < from);
        own.get(next).is_some_and(|at| *at <= case.crashed_at.after(MOMENT))
    };
    2 * own.len() >= cases.iter().filter(is_near).count()
}
