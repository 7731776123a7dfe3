//! What the evidence condemns.

use base::{SortedMap, TeamName};

use crate::witness::{count_different, count_request, explains_most};
use crate::{CrashCause, CrashId, RequestDigest, SuspectRequest, SuspectRun, UnixMillis};

/// Independent crashes that it takes to condemn a part, or a request that was answered before. Of any condemned
/// request, as many copies must have been lost.
pub const MIN_CRASHES: usize = 3;
/// Independent crashes that it takes to condemn a request that was never answered.
const MIN_REPEATS: usize = 2;
/// Crashes from which several sets of parts are condemned that explain the same crashes. With fewer,
/// the next crash or answer is likely to tell them apart.
const AMBIGUOUS_CRASHES: usize = MIN_CRASHES + 1;
/// A part is cleared when more than this many requests with it were answered for each crash.
const ANSWERS_PER_CRASH: u32 = 2;

/// What crashes targets: a request, or the parts of a prompt that hold all of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashVerdict {
    /// The request, or the parts. More than one part as long as they have always come together.
    pub causes: Vec<CrashCause>,
    /// Teams whose requests were suspects. A verdict on parts holds for all teams once there are two.
    pub teams: Vec<Option<TeamName>>,
    /// The crashes behind the verdict.
    pub crashes: Vec<CrashId>,
}

impl CrashVerdict {
    /// Returns whether the verdict holds for a request.
    pub fn covers(&self, request: &SuspectRequest) -> bool {
        let is_shared = self.teams.len() > 1;
        let is_held = self.causes.iter().all(|cause| request.holds(*cause));
        is_held && (is_shared || self.teams.contains(&request.team))
    }

    /// Returns the condemned request; `None` if the verdict is on prompt parts.
    pub fn request(&self) -> Option<RequestDigest> {
        match self.causes[..] {
            [CrashCause::Request(digest)] => Some(digest),
            _ => None,
        }
    }
}

/// A crash, with the requests that are still suspected of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashCase<'a> {
    pub(crate) crash: &'a CrashId,
    pub(crate) crashed_at: UnixMillis,
    pub(crate) suspects: &'a [SuspectRun],
    /// Whether all daemons' reports of the crash have probably arrived.
    pub(crate) is_settled: bool,
}

impl CrashCase<'_> {
    pub(crate) fn holds(&self, cause: CrashCause) -> bool {
        self.suspects.iter().any(|run| run.request.holds(cause))
    }
}

/// Returns the number of answers above which a cause with this many crashes is cleared. A request that has
/// been answered doesn't crash targets; a part may crash some of them.
pub(crate) fn max_answers(cause: CrashCause, crashes: usize) -> u32 {
    match cause {
        CrashCause::Request(_) => 0,
        CrashCause::Part(_) => {
            u32::try_from(crashes).unwrap_or(u32::MAX).saturating_mul(ANSWERS_PER_CRASH)
        }
    }
}

/// Returns how many answers a part with this many crashes may have to be condemned. Few crashes of many
/// requests are more likely to be chance: when targets crash for other reasons, some rare part is
/// beside three of the crashes.
fn allowed_answers(part: CrashCause, crashes: usize) -> u32 {
    match crashes.saturating_sub(MIN_CRASHES) {
        0 => 1,
        1 => u32::try_from(crashes).unwrap_or(u32::MAX),
        _ => max_answers(part, crashes),
    }
}

/// Returns the verdicts that the evidence allows. `cases` are in no order.
///
/// Requests come first: one that has crashed targets independently, without an answer, explains its
/// crashes better than a part that other requests share. Together these crashes count as one against its
/// parts.
pub(crate) fn reach_verdicts(
    mut cases: Vec<CrashCase<'_>>,
    answered: &SortedMap<CrashCause, u32>,
) -> Vec<CrashVerdict> {
    cases.sort_unstable_by_key(|case| case.crashed_at);
    let mut verdicts = condemn_requests(&cases);
    let cases = explain_crashes(cases, &verdicts);
    verdicts.extend(condemn_parts(cases, answered));
    verdicts
}

/// A request that is suspected of several crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestTally {
    /// Number of independent crashes.
    independent: usize,
    copies: u32,
    digest: RequestDigest,
    was_answered: bool,
}

impl RequestTally {
    fn is_guilty(&self) -> bool {
        let needed = if self.was_answered { MIN_CRASHES } else { MIN_REPEATS };
        self.independent >= needed && self.copies as usize >= MIN_CRASHES
    }
}

/// Returns the tallies of requests that are suspected of at least two crashes.
fn tally_requests(cases: &[CrashCase<'_>]) -> Vec<RequestTally> {
    let runs = cases.iter().flat_map(|case| case.suspects);
    let mut runs: Vec<(RequestDigest, u32, bool)> =
        runs.map(|run| (run.request.digest, run.copies, run.was_answered)).collect();
    runs.sort_unstable();
    let tallies = runs.chunk_by(|a, b| a.0 == b.0).filter(|same| same.len() >= MIN_REPEATS);
    tallies
        .map(|same| RequestTally {
            independent: count_request(cases, same[0].0),
            copies: same.iter().map(|(_, copies, _)| copies).sum(),
            digest: same[0].0,
            was_answered: same.iter().any(|(_, _, was_answered)| *was_answered),
        })
        .collect()
}

/// Returns the verdicts on requests. Those that were answered since are no suspects any more.
///
/// A request that was answered before the crashes may just have been beside a guilty one. So those that
/// never were are condemned first, then the one with the most independent crashes; the crashes of condemned
/// requests don't count against it.
fn condemn_requests(cases: &[CrashCase<'_>]) -> Vec<CrashVerdict> {
    let verdict = |cases: &[CrashCase<'_>], tally: RequestTally| {
        let cause = CrashCause::Request(tally.digest);
        let explained: Vec<CrashCase<'_>> =
            cases.iter().filter(|case| case.holds(cause)).copied().collect();
        to_verdict(vec![cause], &explained)
    };
    let never_answered = tally_requests(cases).into_iter().filter(|tally| !tally.was_answered);
    let guilty = never_answered.filter(RequestTally::is_guilty);
    let mut verdicts: Vec<CrashVerdict> = guilty.map(|tally| verdict(cases, tally)).collect();
    let mut rest = cases.to_vec();
    loop {
        let is_explained =
            |case: &CrashCase<'_>| verdicts.iter().any(|verdict| case.holds(verdict.causes[0]));
        rest.retain(|case| !is_explained(case));
        let Some(tally) = tally_requests(&rest).into_iter().filter(RequestTally::is_guilty).max()
        else {
            return verdicts;
        };
        verdicts.push(verdict(&rest, tally));
    }
}

/// Returns the crashes that count against parts: of those of a condemned request only one, with that request
/// as the only suspect.
fn explain_crashes<'a>(cases: Vec<CrashCase<'a>>, verdicts: &[CrashVerdict]) -> Vec<CrashCase<'a>> {
    let is_guilty = |run: &SuspectRun| verdicts.iter().any(|verdict| verdict.covers(&run.request));
    let mut seen: Vec<RequestDigest> = Vec::new();
    let unexplained = cases.into_iter().filter_map(|case| {
        let Some(at) = case.suspects.iter().position(&is_guilty) else { return Some(case) };
        let digest = case.suspects[at].request.digest;
        if seen.contains(&digest) {
            return None;
        }
        seen.push(digest);
        Some(CrashCase { suspects: &case.suspects[at..=at], ..case })
    });
    unexplained.collect()
}

/// Returns the verdicts on parts. `cases` are sorted by time.
///
/// A part that stands in a crashed request beside the guilty one has the same crashes, but is answered
/// elsewhere. So the part with the largest share of crashes is condemned first, and its crashes no
/// longer count against others. Parts that can't be told apart from it are condemned only together.
fn condemn_parts(
    mut cases: Vec<CrashCase<'_>>,
    answered: &SortedMap<CrashCause, u32>,
) -> Vec<CrashVerdict> {
    let mut verdicts = Vec::new();
    loop {
        let mut counts = count_crashes(&cases);
        counts.retain(|cause, _| matches!(cause, CrashCause::Part(_)));
        let answers = |part: CrashCause| answered.get(&part).copied().unwrap_or(0);
        let share = |part: CrashCause, crashes: usize| {
            crashes as f64 / (crashes as f64 + f64::from(answers(part)))
        };
        let is_candidate = |part: CrashCause, crashes: usize| {
            if crashes < MIN_CRASHES || answers(part) > max_answers(part, crashes) {
                return false;
            }
            let independent = count_different(&cases, part);
            // Beside crashes that something else explains, those of one moment count once.
            let counted = if explains_most(&cases, part) { crashes } else { independent };
            independent >= MIN_CRASHES && answers(part) <= allowed_answers(part, counted)
        };
        let candidates = counts.iter().filter(|(part, crashes)| is_candidate(**part, **crashes));
        let order = |(a, a_crashes): &(&CrashCause, &usize),
                     (b, b_crashes): &(&CrashCause, &usize)| {
            let by_share = share(**a, **a_crashes).total_cmp(&share(**b, **b_crashes));
            by_share.then(a_crashes.cmp(b_crashes))
        };
        let Some((best, _)) = candidates.max_by(order).map(|(part, crashes)| (*part, *crashes))
        else {
            return verdicts;
        };
        let explained: Vec<CrashCase<'_>> =
            cases.iter().filter(|case| case.holds(best)).copied().collect();
        // The report of the guilty request may still be missing from crashes that aren't settled.
        let settled: Vec<CrashCase<'_>> =
            explained.iter().filter(|case| case.is_settled).copied().collect();
        let is_rival = |part: &CrashCause| {
            answers(*part) <= answers(best) && settled.iter().all(|case| case.holds(*part))
        };
        let rivals: Vec<CrashCause> = counts.keys().copied().filter(is_rival).collect();
        let sets = common_sets(&settled, &rivals);
        let is_clear = sets.len() == 1 || settled.len() >= AMBIGUOUS_CRASHES;
        if is_clear && !settled.is_empty() {
            verdicts.extend(sets.into_iter().map(|parts| to_verdict(parts, &explained)));
        }
        cases.retain(|case| !case.holds(best));
    }
}

/// Returns in how many crashes each cause is among the suspects.
pub(crate) fn count_crashes(cases: &[CrashCase<'_>]) -> SortedMap<CrashCause, usize> {
    let mut all = Vec::new();
    for case in cases {
        let causes = case.suspects.iter().flat_map(|run| run.request.causes());
        let mut causes: Vec<CrashCause> = causes.collect();
        causes.sort_unstable();
        causes.dedup();
        all.extend(causes);
    }
    all.sort_unstable();
    let runs = all.chunk_by(|a, b| a == b);
    runs.map(|run| (run[0], run.len())).collect()
}

/// Returns the largest sets of `parts` of which each crash has a suspect that holds the whole set.
fn common_sets(cases: &[CrashCase<'_>], parts: &[CrashCause]) -> Vec<Vec<CrashCause>> {
    let mut sets = vec![parts.to_vec()];
    for case in cases {
        let mut next: Vec<Vec<CrashCause>> = Vec::new();
        for (set, run) in
            sets.iter().flat_map(|set| case.suspects.iter().map(move |run| (set, run)))
        {
            let common: Vec<CrashCause> =
                set.iter().copied().filter(|part| run.request.holds(*part)).collect();
            let is_covered = |other: &Vec<CrashCause>| common.iter().all(|p| other.contains(p));
            if common.is_empty() || next.iter().any(is_covered) {
                continue;
            }
            next.retain(|other| !other.iter().all(|part| common.contains(part)));
            next.push(common);
        }
        sets = next;
    }
    sets
}

fn to_verdict(causes: Vec<CrashCause>, cases: &[CrashCase<'_>]) -> CrashVerdict {
    let mut teams = Vec::new();
    for run in cases.iter().flat_map(|case| case.suspects) {
        let is_suspect = causes.iter().all(|cause| run.request.holds(*cause));
        if is_suspect && !teams.contains(&run.request.team) {
            teams.push(run.request.team.clone());
        }
    }
    let crashes = cases.iter().map(|case| case.crash.clone()).collect();
    CrashVerdict { causes, teams, crashes }
}
