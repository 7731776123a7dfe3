//! The collected evidence of the fleet.

use std::time::Duration;

use base::{Name, SortedMap, Time};

use crate::answered::AnsweredTable;
use crate::evidence::{CrashReport, HostEvidence};
use crate::verdict::{count_crashes, max_answers, reach_verdicts, CrashCase, PartVerdict};
use crate::{CrashId, PartId, SuspectRequest};

/// How long evidence counts after it was last used to refuse a request, or was received.
pub const EVIDENCE_SPAN: Duration = Duration::from_secs(600);
/// Number of crashes that are remembered.
const MAX_CRASHES: usize = 256;
/// Number of crashes that a host reports.
const MAX_REPORTED: usize = 12;
/// Number of requests that are suspected of one crash.
const MAX_SUSPECTS: usize = 12;
/// How long a host reports the answers that have cleared a part.
const ANSWERS_SPAN: Duration = Duration::from_secs(60);
/// Number of parts of which a host reports answers.
const MAX_ANSWERED: usize = 64;
/// Delay of a report that only has answers: the first value, plus up to the second for each daemon. One
/// daemon's answers are often enough to clear a part, and all daemons have some.
const ANSWERS_DELAY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(10));
/// How long the reports of a crash may take to arrive from all daemons. The leader relays changes of the
/// store within about a second in a fleet of 300.
const SETTLING_SPAN: Duration = Duration::from_millis(1_500);
/// Delay of a report that only removes cleared parts, for daemons that start later.
const CLEARANCE_DELAY: Duration = Duration::from_secs(2);

/// A crash in the ledger.
#[derive(Clone, Debug)]
struct CrashEntry {
    suspects: Vec<SuspectRequest>,
    /// Parts that were cleared after the crash. Late reports don't make them suspects again.
    cleared: Vec<PartId>,
    /// Whether this host saw the crash.
    is_own: bool,
    seen_at: Time,
    /// When all daemons' reports have probably arrived.
    settled_at: Time,
    used_at: Time,
}

/// Answers that this daemon has seen to requests with a part that is suspected, or was until they
/// cleared it.
#[derive(Clone, Copy, Debug, Default)]
struct OwnAnswers {
    count: u32,
    published: u32,
    last_at: Time,
}

/// Answers that all daemons know of, because some daemon has published them.
#[derive(Clone, Copy, Debug, Default)]
struct SharedAnswers {
    count: u32,
    /// Number of answers above which every daemon clears the part.
    enough: u32,
}

/// All evidence that a daemon knows, and the verdicts that follow from it.
#[derive(Clone, Debug)]
pub struct CrashLedger {
    host: Name,
    incarnation: u64,
    crashes: SortedMap<CrashId, CrashEntry>,
    /// How many requests with each suspected part were answered since it was suspected.
    answered: SortedMap<PartId, u32>,
    own_answered: SortedMap<PartId, OwnAnswers>,
    shared_answered: SortedMap<PartId, SharedAnswers>,
    /// The counts that each host has reported, with the process that counted.
    reported: SortedMap<(Name, PartId), (u64, u32)>,
    recent: AnsweredTable,
    verdicts: Vec<PartVerdict>,
    review_at: Option<Time>,
    /// Number of the last change of this host's evidence, and of the last one that was published.
    changed: u64,
    published: u64,
    /// When changes of the crashes should be published, and when those of the answers alone.
    crashes_due: Option<Time>,
    answers_due: Option<Time>,
}

impl CrashLedger {
    /// Creates an empty ledger of a process on a host.
    pub fn new(host: Name, incarnation: u64) -> CrashLedger {
        CrashLedger {
            host,
            incarnation,
            crashes: SortedMap::default(),
            answered: SortedMap::default(),
            own_answered: SortedMap::default(),
            shared_answered: SortedMap::default(),
            reported: SortedMap::default(),
            recent: AnsweredTable::default(),
            verdicts: Vec::new(),
            review_at: None,
            changed: 0,
            published: 0,
            crashes_due: None,
            answers_due: None,
        }
    }

    /// Records that a target crashed before it had begun to answer a request of this daemon.
    pub fn record_crash(&mut self, now: Time, crash: &CrashId, suspect: SuspectRequest) {
        if suspect.parts.is_empty() {
            return;
        }
        self.add_suspects(now, crash, vec![suspect], true);
        self.changed += 1;
        self.crashes_due = earliest(self.crashes_due, now);
        self.review(now);
    }

    /// Records that a target has begun to answer a request with these parts. If that is new evidence,
    /// its report is delayed by `delay`; see [`CrashLedger::answers_delay`].
    pub fn record_answer(&mut self, now: Time, parts: &[PartId], delay: Duration) {
        self.recent.record(now, parts);
        if self.crashes.is_empty() {
            return;
        }
        let suspected: Vec<PartId> =
            parts.iter().copied().filter(|part| self.is_suspected(*part)).collect();
        if suspected.is_empty() {
            return;
        }
        for part in suspected {
            let own = self.own_answered.entry(part, OwnAnswers::default);
            (own.count, own.last_at) = (own.count + 1, now);
            *self.answered.entry(part, || 0) += 1;
        }
        self.changed += 1;
        self.answers_due = earliest(self.answers_due, now + delay);
        self.review(now);
    }

    /// Returns how long to delay a report of answers in a fleet of `daemons`; `draw` is random, from 0
    /// to 1.
    pub fn answers_delay(daemons: u32, draw: f64) -> Duration {
        ANSWERS_DELAY.0 + (ANSWERS_DELAY.1 * daemons).mul_f64(draw.clamp(0.0, 1.0))
    }

    /// Adds evidence that was published some time ago, so that no further reports of its crashes are
    /// expected.
    pub fn apply_old_evidence(&mut self, now: Time, host: &Name, evidence: &HostEvidence) {
        self.apply_evidence(now, host, evidence);
        for report in &evidence.crashes {
            if let Some(entry) = self.crashes.get_mut(&report.crash) {
                entry.settled_at = entry.settled_at.min(now);
            }
        }
        self.review(now);
    }

    /// Adds the evidence that a host has published. This process's own counts are ignored.
    pub fn apply_evidence(&mut self, now: Time, host: &Name, evidence: &HostEvidence) {
        let is_own = *host == self.host;
        for report in &evidence.crashes {
            self.add_suspects(now, &report.crash, report.suspects.clone(), is_own);
        }
        if !is_own || evidence.incarnation != self.incarnation {
            for (part, count) in &evidence.answered {
                self.add_answers(host, evidence.incarnation, *part, *count);
            }
        }
        self.review(now);
    }

    fn add_answers(&mut self, host: &Name, incarnation: u64, part: PartId, count: u32) {
        let known = self.reported.insert((host.clone(), part), (incarnation, count));
        // A host that suspects the part anew, or has restarted, counts from zero.
        let before = known.filter(|(process, before)| *process == incarnation && *before <= count);
        let new = count - before.map_or(0, |(_, before)| before);
        if new > 0 && self.is_suspected(part) {
            *self.answered.entry(part, || 0) += new;
        }
        if let Some(shared) = self.shared_answered.get_mut(&part) {
            shared.count = shared.count.saturating_add(new);
        }
    }

    fn add_suspects(
        &mut self,
        now: Time,
        crash: &CrashId,
        suspects: Vec<SuspectRequest>,
        is_own: bool,
    ) {
        let entry = self.crashes.entry(crash.clone(), || CrashEntry {
            suspects: Vec::new(),
            cleared: Vec::new(),
            is_own: false,
            seen_at: now,
            settled_at: now + SETTLING_SPAN,
            used_at: now,
        });
        entry.is_own |= is_own;
        let mut added = Vec::new();
        for mut suspect in suspects {
            suspect.parts.retain(|part| !entry.cleared.contains(part));
            let is_known = entry.suspects.contains(&suspect);
            if !suspect.parts.is_empty() && !is_known && entry.suspects.len() < MAX_SUSPECTS {
                added.extend(suspect.parts.iter().copied());
                entry.suspects.push(suspect);
            }
        }
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, entry)| entry.used_at);
            if let Some(crash) = oldest.map(|(crash, _)| crash.clone()) {
                self.crashes.remove(&crash);
            }
        }
        if added.is_empty() {
            return;
        }
        let counts = self.crash_counts();
        for part in added {
            let enough = max_answers(counts.get(&part).copied().unwrap_or(0));
            if !self.answered.contains(&part) {
                self.answered.insert(part, 0);
                self.shared_answered.insert(part, SharedAnswers::default());
            }
            if let Some(shared) = self.shared_answered.get_mut(&part) {
                shared.enough = enough;
            }
        }
    }

    /// Returns whether a part is suspected of a crash.
    pub fn is_suspected(&self, part: PartId) -> bool {
        self.answered.contains(&part)
    }

    /// Returns the number of crashes that each part is suspected of.
    fn crash_counts(&self) -> SortedMap<PartId, usize> {
        count_crashes(self.crashes.values().map(|entry| entry.suspects.as_slice()))
    }

    /// Clears the parts that were answered often enough, and reaches the verdicts anew.
    fn review(&mut self, now: Time) {
        let counts = self.crash_counts();
        let cleared: Vec<PartId> = self
            .answered
            .iter()
            .filter(|(part, answers)| {
                let crashes = counts.get(part).copied().unwrap_or(0);
                crashes == 0 || **answers > max_answers(crashes)
            })
            .map(|(part, _)| *part)
            .collect();
        for part in cleared {
            self.clear_part(now, part);
        }
        self.own_answered.retain(|part, own| {
            let is_recent = now.since(own.last_at) < ANSWERS_SPAN;
            is_recent || self.answered.contains(part)
        });
        let is_needed = |(part, own): (&PartId, &OwnAnswers)| {
            let shared = self.shared_answered.get(part);
            own.count > own.published && shared.is_none_or(|shared| shared.count <= shared.enough)
        };
        if !self.own_answered.iter().any(is_needed) {
            self.answers_due = None;
        }
        let cases = self.crashes.iter().map(|(crash, entry)| CrashCase {
            crash,
            suspects: &entry.suspects,
            is_settled: entry.settled_at <= now,
        });
        self.verdicts = reach_verdicts(cases.collect(), &self.answered);
        let settling = self.crashes.values().map(|entry| entry.settled_at);
        self.review_at = settling.filter(|settled_at| *settled_at > now).min();
    }

    /// Returns when time alone may change the verdicts.
    pub fn review_due(&self) -> Option<Time> {
        self.review_at
    }

    /// Reaches the verdicts anew if that is due.
    pub fn update(&mut self, now: Time) {
        if self.review_at.is_some_and(|at| now >= at) {
            self.review(now);
        }
    }

    fn clear_part(&mut self, now: Time, part: PartId) {
        self.answered.remove(&part);
        for entry in self.crashes.values_mut() {
            if !entry.suspects.iter().any(|suspect| suspect.parts.contains(&part)) {
                continue;
            }
            entry.cleared.push(part);
            entry.suspects.iter_mut().for_each(|suspect| suspect.parts.retain(|p| *p != part));
            entry.suspects.retain(|suspect| !suspect.parts.is_empty());
            if entry.is_own {
                self.changed += 1;
                self.crashes_due = earliest(self.crashes_due, now + CLEARANCE_DELAY);
            }
        }
    }

    /// Returns the verdict that condemns a request, if there is one, and keeps its evidence.
    pub fn condemns(&mut self, now: Time, request: &SuspectRequest) -> Option<&PartVerdict> {
        self.update(now);
        let verdict = self.verdicts.iter().find(|verdict| verdict.covers(request))?;
        for crash in &verdict.crashes {
            if let Some(entry) = self.crashes.get_mut(crash) {
                entry.used_at = now;
            }
        }
        Some(verdict)
    }

    /// Returns whether a request that was about to be answered when its target crashed may be sent to
    /// another one: each of its parts has been answered since the last other crash that it is
    /// suspected of.
    pub fn may_resend(&self, now: Time, crash: &CrashId, request: &SuspectRequest) -> bool {
        request.parts.iter().all(|part| {
            let Some(answered_at) = self.recent.last(now, *part) else { return false };
            let others = self.crashes.iter().filter(|(other, _)| *other != crash);
            let mut suspected = others.filter(|(_, entry)| {
                entry.suspects.iter().any(|suspect| suspect.parts.contains(part))
            });
            suspected.all(|(_, entry)| entry.seen_at < answered_at)
        })
    }

    /// Returns the verdicts.
    pub fn verdicts(&self) -> &[PartVerdict] {
        &self.verdicts
    }

    /// Returns the number of crashes with suspects.
    pub fn suspected_crashes(&self) -> usize {
        self.crashes.values().filter(|entry| !entry.suspects.is_empty()).count()
    }

    /// Returns the crashes whose evidence was used to refuse a request since `since`.
    pub fn used_since(&self, since: Time) -> Vec<CrashId> {
        let used = self.crashes.iter().filter(|(_, entry)| entry.used_at > entry.seen_at);
        used.filter(|(_, entry)| entry.used_at > since).map(|(crash, _)| crash.clone()).collect()
    }

    /// Removes evidence that has not been used for [`EVIDENCE_SPAN`].
    pub fn expire(&mut self, now: Time) {
        if self.crashes.is_empty() {
            return;
        }
        let before = self.crashes.len();
        self.crashes.retain(|_, entry| now.since(entry.used_at) < EVIDENCE_SPAN);
        if self.crashes.len() < before {
            self.review(now);
            let (crashes, own) = (&self.crashes, &self.own_answered);
            self.shared_answered.retain(|part, _| own.contains(part));
            self.reported.retain(|_, _| !crashes.is_empty());
        }
    }

    /// Makes this host's evidence due again, because the store has lost it.
    pub fn mark_lost(&mut self, now: Time) {
        if self.crashes.values().any(|entry| entry.is_own && !entry.suspects.is_empty()) {
            self.changed += 1;
            self.crashes_due = earliest(self.crashes_due, now);
        }
    }

    /// Returns when this host's evidence should be published; `None` if nothing has changed, or if
    /// the change no longer matters.
    pub fn publish_due(&self) -> Option<Time> {
        let due = [self.crashes_due, self.answers_due].into_iter().flatten().min();
        due.filter(|_| self.changed > self.published)
    }

    /// Returns this host's evidence, and a number to pass to [`CrashLedger::record_published`].
    pub fn own_evidence(&self) -> (u64, HostEvidence) {
        let mut own: Vec<(&CrashId, &CrashEntry)> = self
            .crashes
            .iter()
            .filter(|(_, entry)| entry.is_own && !entry.suspects.is_empty())
            .collect();
        own.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.used_at));
        let crashes = own.into_iter().take(MAX_REPORTED).map(|(crash, entry)| CrashReport {
            crash: crash.clone(),
            suspects: entry.suspects.clone(),
        });
        let mut answered: Vec<(&PartId, &OwnAnswers)> = self.own_answered.iter().collect();
        answered.sort_by_key(|(_, own)| std::cmp::Reverse(own.last_at));
        let answered = answered.into_iter().take(MAX_ANSWERED);
        let evidence = HostEvidence {
            incarnation: self.incarnation,
            crashes: crashes.collect(),
            answered: answered.map(|(part, own)| (*part, own.count)).collect(),
        };
        (self.changed, evidence)
    }

    /// Records that this evidence has been published, with its number.
    pub fn record_published(&mut self, number: u64, evidence: &HostEvidence) {
        for (part, count) in &evidence.answered {
            let Some(own) = self.own_answered.get_mut(part) else { continue };
            let new = count.saturating_sub(own.published);
            own.published = own.published.max(*count);
            if let Some(shared) = self.shared_answered.get_mut(part) {
                shared.count = shared.count.saturating_add(new);
            }
        }
        self.published = self.published.max(number);
        if self.published >= self.changed {
            (self.crashes_due, self.answers_due) = (None, None);
        }
    }
}

fn earliest(due: Option<Time>, at: Time) -> Option<Time> {
    Some(due.map_or(at, |due| due.min(at)))
}
