//! Which parts the evidence condemns.

use base::{SortedMap, TeamName};

use crate::{CrashId, PartId, SuspectRequest};

/// Crashes that it takes to condemn a part.
pub const MIN_CRASHES: usize = 3;
/// Crashes from which several sets of parts are condemned that explain the same crashes. With fewer,
/// the next crash or answer is likely to tell them apart.
const AMBIGUOUS_CRASHES: usize = MIN_CRASHES + 1;
/// A part is condemned only while at most this many requests with it were answered for each crash.
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

/// The crashes, with the requests that are still suspected.
pub(crate) type CrashCase<'a> = (&'a CrashId, &'a [SuspectRequest]);

/// Returns the number of answers above which a part with this many crashes is cleared.
pub(crate) fn max_answers(crashes: usize) -> u32 {
    u32::try_from(crashes).unwrap_or(u32::MAX).saturating_mul(ANSWERS_PER_CRASH)
}

/// Returns the verdicts that the evidence allows.
///
/// A part that stands in a crashed request beside the guilty one has the same crashes, but is answered
/// elsewhere. So the part with the largest share of crashes is condemned first, and its crashes no
/// longer count against others.
pub(crate) fn reach_verdicts(
    mut cases: Vec<CrashCase<'_>>,
    answered: &SortedMap<PartId, u32>,
) -> Vec<PartVerdict> {
    let mut verdicts = Vec::new();
    loop {
        let counts = count_crashes(&cases);
        let answers = |part: PartId| answered.get(&part).copied().unwrap_or(0);
        let share = |part: PartId, crashes: usize| {
            crashes as f64 / (crashes as f64 + f64::from(answers(part)))
        };
        let candidates = counts.iter().filter(|(part, crashes)| {
            **crashes >= MIN_CRASHES && answers(**part) <= max_answers(**crashes)
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
            cases.iter().filter(|(_, suspects)| is_in(best, suspects)).copied().collect();
        let is_tied = |part: &PartId| {
            counts.get(part) == Some(&explained.len())
                && answers(*part) == answers(best)
                && explained.iter().all(|(_, suspects)| is_in(*part, suspects))
        };
        let tied: Vec<PartId> = counts.keys().copied().filter(is_tied).collect();
        let sets = common_sets(&explained, &tied);
        if sets.len() == 1 || explained.len() >= AMBIGUOUS_CRASHES {
            verdicts.extend(sets.into_iter().map(|parts| to_verdict(parts, &explained)));
        }
        cases.retain(|(_, suspects)| !is_in(best, suspects));
    }
}

fn is_in(part: PartId, suspects: &[SuspectRequest]) -> bool {
    suspects.iter().any(|suspect| suspect.parts.contains(&part))
}

fn count_crashes(cases: &[CrashCase<'_>]) -> SortedMap<PartId, usize> {
    let mut counts = SortedMap::default();
    for (_, suspects) in cases {
        let mut parts: Vec<PartId> = suspects.iter().flat_map(|s| s.parts.clone()).collect();
        parts.sort_unstable();
        parts.dedup();
        for part in parts {
            *counts.entry(part, || 0) += 1;
        }
    }
    counts
}

/// Returns the largest sets of `parts` of which each crash has a suspect that holds the whole set.
fn common_sets(cases: &[CrashCase<'_>], parts: &[PartId]) -> Vec<Vec<PartId>> {
    let mut sets = vec![parts.to_vec()];
    for (_, suspects) in cases {
        let mut next: Vec<Vec<PartId>> = Vec::new();
        for (set, suspect) in
            sets.iter().flat_map(|set| suspects.iter().map(move |suspect| (set, suspect)))
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
    for suspect in cases.iter().flat_map(|(_, suspects)| *suspects) {
        if suspect.holds_all(&parts) && !teams.contains(&suspect.team) {
            teams.push(suspect.team.clone());
        }
    }
    let crashes = cases.iter().map(|(crash, _)| (*crash).clone()).collect();
    PartVerdict { parts, teams, crashes }
}
