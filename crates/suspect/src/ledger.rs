//! The collected evidence of the fleet.

use std::time::Duration;

use base::{Name, SortedMap, Time};

use crate::answered::AnsweredTable;
use crate::evidence::{CrashReport, HostEvidence};
use crate::verdict::{count_crashes, max_answers, reach_verdicts, CrashCase, CrashVerdict};
use crate::{CrashCause, CrashId, RequestDigest, SuspectRequest, SuspectRun, UnixMillis};

/// How long evidence counts after it was last used to refuse a request, or was received.
pub const EVIDENCE_SPAN: Duration = Duration::from_secs(600);
/// Number of crashes that are remembered.
const MAX_CRASHES: usize = 256;
/// Number of crashes that a host reports, and of suspects in all of them together.
const MAX_REPORTED: (usize, usize) = (24, 64);
/// Number of requests that are suspected of one crash.
const MAX_SUSPECTS: usize = 24;
/// How long a host reports the answers that have cleared a request or a part.
const ANSWERS_SPAN: Duration = Duration::from_secs(60);
/// Number of requests and parts of which a host reports answers.
const MAX_ANSWERED: usize = 64;
/// Delay of a report that only has answers: the first value, plus up to the second for each daemon. One
/// daemon's answers are often enough to clear a part, and all daemons have some.
const ANSWERS_DELAY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(10));
/// How long the reports of a crash may take to arrive from all daemons. The leader relays changes of the
/// store within about a second in a fleet of 300.
const SETTLING_SPAN: Duration = Duration::from_millis(1_500);
/// Delay of a report that only removes what was cleared, for daemons that start later.
const CLEARANCE_DELAY: Duration = Duration::from_secs(4);

/// A crash in the ledger.
#[derive(Clone, Debug)]
struct CrashEntry {
    suspects: Vec<SuspectRun>,
    /// How many copies of each suspect the hosts had sent.
    copies: SortedMap<(RequestDigest, Name), u32>,
    /// What was cleared after the crash. Late reports don't make that suspect again.
    cleared: Vec<CrashCause>,
    /// Whether this host saw the crash.
    is_own: bool,
    /// When the first host saw the crash, by its time of day.
    crashed_at: UnixMillis,
    /// When this daemon learned of the crash.
    seen_at: Time,
    /// When all daemons' reports have probably arrived.
    settled_at: Time,
    used_at: Time,
}

impl CrashEntry {
    fn suspects_any(&self, cause: CrashCause) -> bool {
        self.suspects.iter().any(|run| run.request.holds(cause))
    }

    /// Adds a suspect, and returns what it makes suspect. If there are too many suspects, one that is also
    /// suspected of another crash (`is_repeated`) displaces another.
    fn add_suspect(
        &mut self,
        host: &Name,
        mut run: SuspectRun,
        is_repeated: bool,
    ) -> Vec<CrashCause> {
        let digest = run.request.digest;
        if self.cleared.contains(&CrashCause::Request(digest)) {
            return Vec::new();
        }
        let known = self.copies.entry((digest, host.clone()), || 0);
        *known = run.copies.max(*known);
        let reports = self.copies.range_by(|(other, _)| other.cmp(&digest));
        run.copies = reports.iter().map(|(_, copies)| copies).sum();
        run.request.parts.retain(|part| !self.cleared.contains(&CrashCause::Part(*part)));
        if let Some(known) = self.suspects.iter_mut().find(|known| known.request.digest == digest) {
            known.sent_at = known.sent_at.max(run.sent_at);
            known.copies = run.copies;
            known.was_answered |= run.was_answered;
            // The hosts leave out different parts if they have cleared them at different times.
            let parts = &mut known.request.parts;
            run.request.parts.retain(|part| !parts.contains(part));
            parts.extend(&run.request.parts);
            return run.request.parts.into_iter().map(CrashCause::Part).collect();
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            if !is_repeated {
                return Vec::new();
            }
            self.suspects.remove(0);
        }
        let causes = run.request.causes().collect();
        self.suspects.push(run);
        causes
    }

    /// Returns how many copies of a request a host had sent.
    fn copies_of(&self, digest: RequestDigest, host: &Name) -> u32 {
        self.copies.get(&(digest, host.clone())).copied().unwrap_or(0)
    }

    /// Clears a request, or a part of all requests.
    fn clear(&mut self, cause: CrashCause) {
        self.cleared.push(cause);
        match cause {
            CrashCause::Request(digest) => self.suspects.retain(|run| run.request.digest != digest),
            CrashCause::Part(part) => {
                let requests = self.suspects.iter_mut().map(|run| &mut run.request);
                requests.for_each(|request| request.parts.retain(|other| *other != part));
            }
        }
    }
}

/// Answers that this daemon has seen to a request that is suspected, or to requests with a suspected part,
/// also if they have cleared it.
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
    /// Number of answers above which every daemon clears the request or the part.
    enough: u32,
}

/// All evidence that a daemon knows, and the verdicts that follow from it.
#[derive(Clone, Debug)]
pub struct CrashLedger {
    host: Name,
    incarnation: u64,
    crashes: SortedMap<CrashId, CrashEntry>,
    /// How many answers there were to each suspected request, and to requests with each suspected part,
    /// since it was suspected.
    answered: SortedMap<CrashCause, u32>,
    own_answered: SortedMap<CrashCause, OwnAnswers>,
    shared_answered: SortedMap<CrashCause, SharedAnswers>,
    /// The counts that each host has reported, with the process that counted.
    reported: SortedMap<(Name, CrashCause), (u64, u32)>,
    recent: AnsweredTable,
    verdicts: Vec<CrashVerdict>,
    /// Whether evidence was added since the last review.
    is_stale: bool,
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
            is_stale: false,
            review_at: None,
            changed: 0,
            published: 0,
            crashes_due: None,
            answers_due: None,
        }
    }

    /// Records that a target crashed at `crashed_at` before it had begun to answer a request of this
    /// daemon, which was sent at `sent_at`. Copies of the same request are recorded one by one.
    pub fn record_crash(
        &mut self,
        now: Time,
        crash: &CrashId,
        crashed_at: UnixMillis,
        request: SuspectRequest,
        sent_at: UnixMillis,
    ) {
        let digest = request.digest;
        let known = self.crashes.get(crash);
        let copies = 1 + known.map_or(0, |entry| entry.copies_of(digest, &self.host));
        let was_answered = self.recent.last(now, CrashCause::Request(digest)).is_some();
        let suspects = vec![SuspectRun { request, sent_at, copies, was_answered }];
        let report = CrashReport { crash: crash.clone(), crashed_at, suspects };
        self.add_report(now, &self.host.clone(), report);
        self.changed += 1;
        self.crashes_due = earliest(self.crashes_due, now);
        self.review(now);
    }

    /// Records that a target has begun to answer a request. If that is new evidence, its report is
    /// delayed by `delay`, unless one is due already; see [`CrashLedger::answers_delay`].
    pub fn record_answer(&mut self, now: Time, request: &SuspectRequest, delay: Duration) {
        self.recent.record(now, request);
        if self.crashes.is_empty() {
            return;
        }
        let suspected: Vec<CrashCause> =
            request.causes().filter(|cause| self.answered.contains(cause)).collect();
        if suspected.is_empty() {
            return;
        }
        for cause in suspected {
            let own = self.own_answered.entry(cause, OwnAnswers::default);
            (own.count, own.last_at) = (own.count + 1, now);
            *self.answered.entry(cause, || 0) += 1;
        }
        self.changed += 1;
        // The earliest of many random delays would be nearly the shortest one.
        self.answers_due.get_or_insert(now + delay);
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
    }

    /// Adds the evidence that a host has published. This process's own counts are ignored. It takes effect
    /// with the next decision, or with [`CrashLedger::update`].
    pub fn apply_evidence(&mut self, now: Time, host: &Name, evidence: &HostEvidence) {
        let is_own = *host == self.host;
        for report in &evidence.crashes {
            self.add_report(now, host, report.clone());
        }
        if !is_own || evidence.incarnation != self.incarnation {
            for (cause, count) in &evidence.answered {
                self.add_answers(host, evidence.incarnation, *cause, *count);
            }
        }
        self.is_stale = true;
    }

    fn add_answers(&mut self, host: &Name, incarnation: u64, cause: CrashCause, count: u32) {
        let known = self.reported.insert((host.clone(), cause), (incarnation, count));
        // A host that suspects the cause anew, or has restarted, counts from zero.
        let before = known.filter(|(process, before)| *process == incarnation && *before <= count);
        let new = count - before.map_or(0, |(_, before)| before);
        if new > 0 && self.answered.contains(&cause) {
            *self.answered.entry(cause, || 0) += new;
        }
        if let Some(shared) = self.shared_answered.get_mut(&cause) {
            shared.count = shared.count.saturating_add(new);
        }
    }

    fn add_report(&mut self, now: Time, host: &Name, report: CrashReport) {
        let CrashReport { crash, crashed_at, suspects } = report;
        let known = self.crashes.get(&crash).map_or(0, |entry| entry.suspects.len());
        let is_crowded = known + suspects.len() > MAX_SUSPECTS;
        let is_repeated = |run| is_crowded && self.is_suspected_elsewhere(&crash, run);
        let repeated: Vec<bool> = suspects.iter().map(is_repeated).collect();
        let entry = self.crashes.entry(crash.clone(), || CrashEntry {
            suspects: Vec::new(),
            copies: SortedMap::default(),
            cleared: Vec::new(),
            is_own: false,
            crashed_at,
            seen_at: now,
            settled_at: now + SETTLING_SPAN,
            used_at: now,
        });
        entry.is_own |= *host == self.host;
        entry.crashed_at = entry.crashed_at.min(crashed_at);
        let mut added = Vec::new();
        for (run, is_repeated) in suspects.into_iter().zip(repeated) {
            added.extend(entry.add_suspect(host, run, is_repeated));
        }
        self.limit_crashes();
        if added.is_empty() {
            return;
        }
        for cause in added {
            let crashes = self.crashes.values().filter(|entry| entry.suspects_any(cause));
            let enough = max_answers(cause, crashes.count());
            if !self.answered.contains(&cause) {
                self.answered.insert(cause, 0);
                self.shared_answered.insert(cause, SharedAnswers::default());
            }
            if let Some(shared) = self.shared_answered.get_mut(&cause) {
                shared.enough = enough;
            }
        }
    }

    /// Returns whether a request is suspected of another crash than the given one.
    fn is_suspected_elsewhere(&self, crash: &CrashId, run: &SuspectRun) -> bool {
        let cause = CrashCause::Request(run.request.digest);
        let mut others = self.crashes.iter().filter(|(other, _)| *other != crash);
        self.answered.contains(&cause) && others.any(|(_, entry)| entry.suspects_any(cause))
    }

    fn limit_crashes(&mut self) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let oldest = self.crashes.iter().min_by_key(|(_, entry)| entry.used_at);
        if let Some(crash) = oldest.map(|(crash, _)| crash.clone()) {
            self.crashes.remove(&crash);
        }
    }

    /// Returns whether the request itself is suspected of a crash.
    pub fn is_suspect(&self, request: &SuspectRequest) -> bool {
        self.answered.contains(&CrashCause::Request(request.digest))
    }

    /// Returns whether a request, or a part of its prompt, is suspected of a crash.
    pub fn is_suspected(&self, request: &SuspectRequest) -> bool {
        request.causes().any(|cause| self.answered.contains(&cause))
    }

    fn cases(&self, now: Time) -> Vec<CrashCase<'_>> {
        let cases = self.crashes.iter().map(|(crash, entry)| CrashCase {
            crash,
            crashed_at: entry.crashed_at,
            suspects: &entry.suspects,
            is_settled: entry.settled_at <= now,
        });
        cases.collect()
    }

    /// Clears what was answered often enough, and reaches the verdicts anew.
    fn review(&mut self, now: Time) {
        self.is_stale = false;
        let counts = count_crashes(&self.cases(now));
        let cleared: Vec<CrashCause> = self
            .answered
            .iter()
            .filter(|(cause, answers)| {
                let crashes = counts.get(cause).copied().unwrap_or(0);
                crashes == 0 || **answers > max_answers(**cause, crashes)
            })
            .map(|(cause, _)| *cause)
            .collect();
        for cause in cleared {
            self.clear_cause(now, cause);
        }
        self.own_answered.retain(|cause, own| {
            let is_recent = now.since(own.last_at) < ANSWERS_SPAN;
            is_recent || self.answered.contains(cause)
        });
        let is_needed = |(cause, own): (&CrashCause, &OwnAnswers)| {
            let shared = self.shared_answered.get(cause);
            own.count > own.published && shared.is_none_or(|shared| shared.count <= shared.enough)
        };
        if !self.own_answered.iter().any(is_needed) {
            self.answers_due = None;
        }
        self.verdicts = reach_verdicts(self.cases(now), &self.answered);
        let settling = self.crashes.values().map(|entry| entry.settled_at);
        self.review_at = settling.filter(|settled_at| *settled_at > now).min();
    }

    /// Returns when time alone may change the verdicts.
    pub fn review_due(&self) -> Option<Time> {
        self.review_at
    }

    /// Reaches the verdicts anew if there is new evidence, or if that is due.
    pub fn update(&mut self, now: Time) {
        if self.is_stale || self.review_at.is_some_and(|at| now >= at) {
            self.review(now);
        }
    }

    fn clear_cause(&mut self, now: Time, cause: CrashCause) {
        self.answered.remove(&cause);
        for entry in self.crashes.values_mut() {
            if entry.suspects_any(cause) {
                entry.clear(cause);
                if entry.is_own {
                    self.changed += 1;
                    self.crashes_due = earliest(self.crashes_due, now + CLEARANCE_DELAY);
                }
            }
        }
    }

    /// Returns the verdict that condemns a request, if there is one, and keeps its evidence.
    pub fn condemns(&mut self, now: Time, request: &SuspectRequest) -> Option<&CrashVerdict> {
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
    /// another one. Each part of its prompt must have been answered since the last other crash that it
    /// is suspected of. So must the request itself, unless this is its first crash and its prompt has
    /// parts that speak for it.
    pub fn may_resend(&self, now: Time, crash: &CrashId, request: &SuspectRequest) -> bool {
        request.causes().all(|cause| {
            let others = self.crashes.iter().filter(|(other, _)| *other != crash);
            let mut suspected = others.filter(|(_, entry)| entry.suspects_any(cause));
            match (self.recent.last(now, cause), cause) {
                (Some(at), _) => suspected.all(|(_, entry)| entry.seen_at < at),
                (None, CrashCause::Part(_)) => false,
                (None, CrashCause::Request(_)) => {
                    !request.parts.is_empty() && suspected.next().is_none()
                }
            }
        })
    }

    /// Returns the verdicts.
    pub fn verdicts(&self) -> &[CrashVerdict] {
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
            self.shared_answered.retain(|cause, _| own.contains(cause));
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
        let mut suspects = 0;
        let reported = own.into_iter().take(MAX_REPORTED.0).take_while(|(_, entry)| {
            suspects += entry.suspects.len();
            suspects <= MAX_REPORTED.1
        });
        let crashes = reported.map(|(crash, entry)| CrashReport {
            crash: crash.clone(),
            crashed_at: entry.crashed_at,
            suspects: entry.suspects.iter().map(|run| self.own_run(entry, run)).collect(),
        });
        let mut answered: Vec<(&CrashCause, &OwnAnswers)> = self.own_answered.iter().collect();
        answered.sort_by_key(|(_, own)| std::cmp::Reverse(own.last_at));
        let answered = answered.into_iter().take(MAX_ANSWERED);
        let evidence = HostEvidence {
            incarnation: self.incarnation,
            crashes: crashes.collect(),
            answered: answered.map(|(cause, own)| (*cause, own.count)).collect(),
        };
        (self.changed, evidence)
    }

    /// Returns a suspect with the copies that this host had sent.
    fn own_run(&self, entry: &CrashEntry, run: &SuspectRun) -> SuspectRun {
        let copies = entry.copies_of(run.request.digest, &self.host);
        SuspectRun { copies, ..run.clone() }
    }

    /// Records that this evidence has been published, with its number.
    pub fn record_published(&mut self, number: u64, evidence: &HostEvidence) {
        for (cause, count) in &evidence.answered {
            let Some(own) = self.own_answered.get_mut(cause) else { continue };
            let new = count.saturating_sub(own.published);
            own.published = own.published.max(*count);
            if let Some(shared) = self.shared_answered.get_mut(cause) {
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
