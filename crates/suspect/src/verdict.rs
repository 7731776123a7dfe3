//! Which parts the evidence condemns.

use base::{SortedMap, TeamName};

use crate::{CrashId, PartId, SuspectRequest};

/// Crashes that it takes to condemn a part.
pub const MIN_CRASHES: usize = 3;
/// Crashes from which several sets of parts are condemned that explain the same crashes. With fewer,
/// the next crash or answer is likely to tell them apart.
const AMBIGUOUS_CRASHES: usize = MIN_CRASHES + 1;
/// A part is cleared when more than this many requests with it were answered for each crash.
const ANSWERS_PER_CRASH: u32 = 2;

/// Parts that crash targets when one request holds all of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartVerdict {
    /// The parts. More than one as long as they have always come together.
    pub parts: Vec<PartId>,
    /// Teams whose requests were suspects. A verdict holds for all teams once there are two.
    pub teams: Vec<Option<TeamName>>,
    /// The crashes behind the verdict.
    pub crashes: Vec<CrashId>,
}

impl PartVerdict {
    /// Returns whether the verdict holds for a request.
    pub fn covers(&self, request: &SuspectRequest) -> bool {
        let is_shared = self.teams.len() > 1;
        request.holds_all(&self.parts) && (is_shared || self.teams.contains(&request.team))
    }
}

/// A crash, with the requests that are still suspected of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashCase<'a> {
    pub(crate) crash: &'a CrashId,
    pub(crate) suspects: &'a [SuspectRequest],
    /// Whether all daemons' reports of the crash have probably arrived.
    pub(crate) is_settled: bool,
}

impl CrashCase<'_> {
    fn holds(&self, part: PartId) -> bool {
        self.suspects.iter().any(|suspect| suspect.parts.contains(&part))
    }
}

/// Returns the number of answers above which a part with this many crashes is cleared.
pub(crate) fn max_answers(crashes: usize) -> u32 {
    u32::try_from(crashes).unwrap_or(u32::MAX).saturating_mul(ANSWERS_PER_CRASH)
}

/// Returns how many answers a part with this many crashes may have to be condemned; `None` if the
/// crashes are too few. Few crashes of many requests are more likely to be chance: when targets crash
/// for other reasons, some rare part is beside three of the crashes.
fn allowed_answers(crashes: usize) -> Option<u32> {
    match crashes.checked_sub(MIN_CRASHES)? {
        0 => Some(1),
        1 => u32::try_from(crashes).ok(),
        _ => Some(max_answers(crashes)),
    }
}

/// Returns the verdicts that the evidence allows.
///
/// A part that stands in a crashed request beside the guilty one has the same crashes, but is answered
/// elsewhere. So the part with the largest share of crashes is condemned first, and its crashes no
/// longer count against others. Parts that can't be told apart from it are condemned only together.
pub(crate) fn reach_verdicts(
    mut cases: Vec<CrashCase<'_>>,
    answered: &SortedMap<PartId, u32>,
) -> Vec<PartVerdict> {
    let mut verdicts = Vec::new();
    loop {
        let counts = count_crashes(cases.iter().map(|case| case.suspects));
        let answers = |part: PartId| answered.get(&part).copied().unwrap_or(0);
        let share = |part: PartId, crashes: usize| {
            crashes as f64 / (crashes as f64 + f64::from(answers(part)))
        };
        let candidates = counts.iter().filter(|(part, crashes)| {
            allowed_answers(**crashes).is_some_and(|allowed| answers(**part) <= allowed)
        });
        let order = |(a, a_crashes): &(&PartId, &usize), (b, b_crashes): &(&PartId, &usize)| {
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
        let is_rival = |part: &PartId| {
            answers(*part) <= answers(best) && settled.iter().all(|case| case.holds(*part))
        };
        let rivals: Vec<PartId> = counts.keys().copied().filter(is_rival).collect();
        let sets = common_sets(&settled, &rivals);
        let is_clear = sets.len() == 1 || settled.len() >= AMBIGUOUS_CRASHES;
        if is_clear && !settled.is_empty() {
            verdicts.extend(sets.into_iter().map(|parts| to_verdict(parts, &explained)));
        }
        cases.retain(|case| !case.holds(best));
    }
}

/// Returns in how many crashes each part is among the suspects'.
pub(crate) fn count_crashes<'a>(
    cases: impl Iterator<Item = &'a [SuspectRequest]>,
) -> SortedMap<PartId, usize> {
    let mut all = Vec::new();
    for suspects in cases {
        let parts = suspects.iter().flat_map(|suspect| suspect.parts.iter().copied());
        let mut parts: Vec<PartId> = parts.collect();
        parts.sort_unstable();
        parts.dedup();
        all.extend(parts);
    }
    all.sort_unstable();
    let runs = all.chunk_by(|a, b| a == b);
    runs.map(|run| (run[0], run.len())).collect()
}

/// Returns the largest sets of `parts` of which each crash has a suspect that holds the whole set.
fn common_sets(cases: &[CrashCase<'_>], parts: &[PartId]) -> Vec<Vec<PartId>> {
    let mut sets = vec![parts.to_vec()];
    for case in cases {
        let mut next: Vec<Vec<PartId>> = Vec::new();
        for (set, suspect) in
            sets.iter().flat_map(|set| case.suspects.iter().map(move |suspect| (set, suspect)))
        {
            let common: Vec<PartId> =
                set.iter().copied().filter(|part| suspect.parts.contains(part)).collect();
            let is_covered = |other: &Vec<PartId>| common.iter().all(|p| other.contains(p));
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

fn to_verdict(parts: Vec<PartId>, cases: &[CrashCase<'_>]) -> PartVerdict {
    let mut teams = Vec::new();
    for suspect in cases.iter().flat_map(|case| case.suspects) {
        if suspect.holds_all(&parts) && !teams.contains(&suspect.team) {
            teams.push(suspect.team.clone());
        }
    }
    let crashes = cases.iter().map(|case| case.crash.clone()).collect();
    PartVerdict { parts, teams, crashes }
}
