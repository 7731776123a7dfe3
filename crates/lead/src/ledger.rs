//! One target at the leader: what it surely holds, and the order that it is carrying out.

use std::time::Duration;

use base::{ModelName, SortedMap, Time};
use fleet::{
    EngineModel, EngineReport, HeldModel, ModelRef, OrderKind, OrderReply, OrderSequence,
    TargetEntry, TargetPhase,
};

use crate::adapters::AdapterTable;

/// A report may be this old: one that was asked for earlier after an order says nothing of it.
const REPORT_LAG: Duration = Duration::from_millis(150);
/// Pause between two reports of a target that carries out an order.
const POLL_PAUSE: Duration = Duration::from_millis(140);
/// Pause before a target that gave no report is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// While a load has longer than the first to go, reports are asked for at the second's pause.
const LONG_WAIT: Duration = Duration::from_millis(800);
const LONG_PAUSE: Duration = Duration::from_millis(600);
/// Least pause between two reports that are asked for because a daemon finds a target dead.
const SUSPECT_PAUSE: Duration = Duration::from_millis(300);
/// A target that isn't busy and shows no result this long after it accepted an order has dropped
/// it.
const RESULT_LAG: Duration = Duration::from_millis(2_000);
/// An unload of an idle model takes about this long.
pub(crate) const UNLOAD_SPAN: Duration = Duration::from_millis(200);

/// An order whose answer has not arrived.
#[derive(Clone, Debug)]
struct PendingOrder {
    kind: OrderKind,
    subject: ModelRef,
    expected: OrderSequence,
}

/// An accepted order for a model that the target is carrying out.
#[derive(Clone, Debug)]
struct RunningOrder {
    kind: OrderKind,
    subject: ModelRef,
    expected: OrderSequence,
    accepted: Time,
}

/// A model that a target is to load.
#[derive(Clone, Debug)]
pub(crate) struct LoadGoal {
    pub(crate) model: ModelName,
    pub(crate) span: Duration,
    /// Time of the load if the weights are at hand after all.
    pub(crate) least: Duration,
    pub(crate) from_store: bool,
    /// Whether other targets hold the model.
    pub(crate) grows: bool,
    pub(crate) decided_at: Time,
    /// When the load is expected to be complete.
    pub(crate) ready_at: Time,
}

/// One target.
#[derive(Clone, Debug)]
pub struct TargetLedger {
    pub(crate) entry: TargetEntry,
    sequence: Option<OrderSequence>,
    models: Vec<HeldModel>,
    busy: bool,
    pending: Option<PendingOrder>,
    running: Option<RunningOrder>,
    /// Reports that were asked for before say nothing new.
    reports_from: Time,
    next_report: Time,
    asking: bool,
    pub(crate) adapters: AdapterTable,
    pub(crate) goal: Option<LoadGoal>,
    /// A model that is taken out of use, and when its unload may be ordered.
    pub(crate) retiring: Option<(ModelName, Time)>,
    /// Models that finished loading (true) or were taken out of use, in order, not told yet.
    pub(crate) news: Vec<(ModelName, bool)>,
    used: SortedMap<ModelName, Time>,
    failures: u32,
    /// Set while the target does not answer.
    down: bool,
    suspected: bool,
    polled_at: Time,
    /// Until when the target wants nothing from this host, by its own word.
    spared_until: Time,
}

impl TargetLedger {
    /// Creates a ledger of a target whose state is not known yet.
    pub fn new(now: Time, entry: TargetEntry) -> TargetLedger {
        TargetLedger {
            models: entry.models.clone(),
            entry,
            sequence: None,
            busy: false,
            pending: None,
            running: None,
            reports_from: now,
            next_report: now,
            asking: false,
            adapters: AdapterTable::default(),
            goal: None,
            retiring: None,
            news: Vec::new(),
            used: SortedMap::default(),
            failures: 0,
            down: false,
            suspected: false,
            polled_at: now,
            spared_until: now,
        }
    }

    /// Takes a newer entry.
    pub(crate) fn listed(&mut self, now: Time, entry: TargetEntry) {
        if entry.born_ms > self.entry.born_ms || entry.address != self.entry.address {
            *self = TargetLedger::new(now, entry);
            return;
        }
        if entry.born_ms < self.entry.born_ms {
            return;
        }
        // A listing may be late, so that it proves nothing; a report will tell.
        let shown = |running: &RunningOrder| {
            let held = entry.models.iter().any(|held| held.name == running.subject.model);
            running.subject.adapter.is_none() && held == (running.kind == OrderKind::Load)
        };
        if self.running.as_ref().is_some_and(shown) {
            self.next_report = self.next_report.min(now.max(self.reports_from));
        }
        self.entry = entry;
    }

    /// Returns whether the target takes orders and its state is known.
    pub(crate) fn is_idle(&self, now: Time) -> bool {
        self.is_ready()
            && now >= self.spared_until
            && self.sequence.is_some()
            && self.pending.is_none()
            && self.running.is_none()
            && !self.busy
            && self.goal.is_none()
            && self.retiring.is_none()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.entry.phase == TargetPhase::Ready && !self.down
    }

    /// Notes that a daemon finds the target dead: a report will tell.
    pub(crate) fn suspected(&mut self, now: Time) {
        if now.since(self.polled_at) >= SUSPECT_PAUSE {
            self.suspected = true;
            self.next_report = self.next_report.min(now);
        }
    }

    /// Returns whether the target is carrying out an order for a model, by its last report.
    pub(crate) fn is_busy(&self) -> bool {
        self.busy
    }

    pub(crate) fn models(&self) -> &[HeldModel] {
        &self.models
    }

    pub(crate) fn holds(&self, model: &ModelName) -> bool {
        self.models.iter().any(|held| held.name == *model)
    }

    /// Returns whether a model is held and stays.
    pub(crate) fn serves(&self, model: &ModelName) -> bool {
        self.is_ready()
            && self.holds(model)
            && self.retiring.as_ref().is_none_or(|(retiring, _)| retiring != model)
    }

    pub(crate) fn used_at(&self, model: &ModelName) -> Option<Time> {
        self.used.get(model).copied()
    }

    pub(crate) fn note_use(&mut self, now: Time, subject: &ModelRef) {
        self.used.insert(subject.model.clone(), now);
        self.adapters.used(now, subject);
    }

    /// Returns the memory that is free, in megabytes.
    pub(crate) fn free_mb(&self, models: &SortedMap<ModelName, EngineModel>, total: f64) -> f64 {
        let of = |name: &ModelName| models.get(name).map_or(total, |model| model.weight_mb);
        let weights: f64 = self.models.iter().map(|held| of(&held.name)).sum();
        total - weights - self.adapters.size_mb(models)
    }

    /// Takes the target's word that it wants nothing from this host until a moment.
    pub(crate) fn spared(&mut self, until: Time) {
        self.spared_until = self.spared_until.max(until);
    }

    /// Returns whether a report should be asked for now, and notes that it is.
    pub(crate) fn take_poll(&mut self, now: Time) -> bool {
        let from = self.next_report.max(self.spared_until);
        if !self.needs_report() || self.asking || now < from {
            return false;
        }
        self.asking = true;
        self.polled_at = now;
        true
    }

    /// Returns when a report will be needed, if one will.
    pub(crate) fn poll_at(&self) -> Option<Time> {
        let from = self.next_report.max(self.spared_until);
        (self.needs_report() && !self.asking).then_some(from)
    }

    fn needs_report(&self) -> bool {
        self.sequence.is_none()
            || self.busy
            || self.running.is_some()
            || self.suspected
            || self.down
    }

    /// Takes a report that was asked for at `asked_at`, or its failure.
    pub(crate) fn reported(&mut self, now: Time, asked_at: Time, report: Option<&EngineReport>) {
        self.asking = false;
        self.suspected = false;
        self.down = report.is_none();
        let Some(report) = report else {
            self.failures += 1;
            self.next_report = now + RETRY_PAUSE * self.failures.min(8);
            return;
        };
        self.failures = 0;
        self.next_report = now + POLL_PAUSE;
        if report.born_ms.is_some_and(|born| born > self.entry.born_ms && self.entry.born_ms > 0) {
            // The target has started again; its new entry will say so too.
            let mut entry = self.entry.clone();
            entry.born_ms = report.born_ms.unwrap_or(entry.born_ms);
            *self = TargetLedger::new(now, entry);
        }
        if asked_at < self.reports_from {
            return;
        }
        let stale = self.sequence.is_some_and(|known| report.sequence < known);
        if self.pending.is_some() || stale {
            return;
        }
        if let Some(running) = &self.running {
            if !report.busy && self.completes(&report.models, report.sequence) {
                self.complete(now, report.models.clone(), report.sequence);
                return;
            }
            if report.busy || now.since(running.accepted) < RESULT_LAG {
                let until = self.goal.as_ref().map_or(now, |goal| goal.ready_at);
                if until.since(now) > LONG_WAIT {
                    self.next_report = now + LONG_PAUSE;
                }
                return;
            }
            self.running = None;
            (self.goal, self.retiring) = (None, None);
        }
        let same = report.models.len() == self.models.len()
            && report.models.iter().all(|held| self.holds(&held.name));
        if report.busy || !same {
            // An order without an answer has taken effect: what was decided before may not fit.
            (self.goal, self.retiring) = (None, None);
        }
        self.sequence = Some(report.sequence);
        self.busy = report.busy;
        // A load that a former leader ordered: daemons know nothing of it until the target's entry
        // says so.
        let found = report.models.iter().filter(|held| !self.holds(&held.name));
        let found: Vec<_> = found.map(|held| (held.name.clone(), true)).collect();
        self.news.extend(found);
        self.set_models(now, report.models.clone());
        for subject in &report.incoming {
            self.adapters.coming(now, subject.clone());
        }
    }

    fn set_models(&mut self, now: Time, models: Vec<HeldModel>) {
        self.adapters.told(now, &models);
        self.models = models;
    }

    /// Returns whether a state shows that the running order is complete.
    fn completes(&self, models: &[HeldModel], sequence: OrderSequence) -> bool {
        let Some(running) = &self.running else { return false };
        let of = |held: &&HeldModel| held.name == running.subject.model;
        let held = models.iter().find(of).is_some_and(|held| match &running.subject.adapter {
            Some(adapter) => held.adapters.contains(adapter),
            None => true,
        });
        sequence > running.expected && held == (running.kind == OrderKind::Load)
    }

    fn complete(&mut self, now: Time, models: Vec<HeldModel>, sequence: OrderSequence) {
        let Some(running) = self.running.take() else { return };
        self.busy = false;
        self.sequence = self.sequence.max(Some(sequence));
        self.set_models(now, models);
        if running.subject.adapter.is_some() {
            self.adapters.gone(&running.subject);
            return;
        }
        let model = running.subject.model;
        match running.kind {
            OrderKind::Load => {
                if self.goal.as_ref().is_some_and(|goal| goal.model == model) {
                    self.goal = None;
                }
                self.news.push((model, true));
            }
            OrderKind::Unload => {
                if self.retiring.as_ref().is_some_and(|(retiring, _)| *retiring == model) {
                    self.retiring = None;
                }
            }
        }
    }

    /// Returns the next order, if the target is to get one now, and notes that it is sent.
    pub(crate) fn take_order(
        &mut self,
        now: Time,
        max_adapters: usize,
    ) -> Option<(OrderKind, ModelRef, OrderSequence)> {
        let expected = self.sequence?;
        if now < self.spared_until {
            return None;
        }
        if self.pending.is_some() || self.running.is_some() || self.busy || !self.is_ready() {
            return None;
        }
        let adapter = self.adapters.next_order(now, max_adapters, &self.models);
        let (kind, subject) = adapter.or_else(|| self.next_model(now))?;
        self.pending = Some(PendingOrder { kind, subject: subject.clone(), expected });
        Some((kind, subject, expected))
    }

    fn next_model(&mut self, now: Time) -> Option<(OrderKind, ModelRef)> {
        if let Some((model, from)) = &self.retiring {
            if now < *from {
                return None;
            }
            return Some((OrderKind::Unload, ModelRef { model: model.clone(), adapter: None }));
        }
        let goal = self.goal.as_mut()?;
        goal.ready_at = now + goal.span;
        Some((OrderKind::Load, ModelRef { model: goal.model.clone(), adapter: None }))
    }

    /// Takes the answer to the order that is under way.
    pub(crate) fn answered(&mut self, now: Time, reply: OrderReply) {
        let Some(PendingOrder { kind, subject, expected }) = self.pending.take() else { return };
        match reply {
            OrderReply::Accepted | OrderReply::Done if subject.adapter.is_some() => {
                self.sequence = Some(OrderSequence(expected.0 + 1));
                match (kind, reply) {
                    (OrderKind::Load, _) => self.adapters.coming(now, subject),
                    (OrderKind::Unload, OrderReply::Accepted) => {
                        // A request uses it: the target does nothing else until that has ended.
                        self.running =
                            Some(RunningOrder { kind, subject, expected, accepted: now });
                        self.next_report = now + REPORT_LAG;
                    }
                    (OrderKind::Unload, _) => self.adapters.gone(&subject),
                }
            }
            OrderReply::Accepted => {
                self.sequence = Some(OrderSequence(expected.0 + 1));
                self.running = Some(RunningOrder { kind, subject, expected, accepted: now });
                self.reports_from = now + REPORT_LAG;
                // The target may have the weights on its disk where the leader knows nothing of it.
                let span = match kind {
                    OrderKind::Load => self.goal.as_ref().map_or(POLL_PAUSE, |goal| goal.least),
                    OrderKind::Unload => POLL_PAUSE,
                };
                self.next_report = now + span.max(REPORT_LAG);
            }
            OrderReply::NotSent => {
                // The target may be out of reach: it gets nothing more before it reports.
                self.sequence = None;
                self.next_report = now;
                self.drop_plans(&subject);
            }
            // Whatever the target did, its next report tells; what was planned is planned anew.
            OrderReply::Done
            | OrderReply::Conflict
            | OrderReply::Fenced
            | OrderReply::Invalid
            | OrderReply::Misdirected
            | OrderReply::Unknown => {
                self.sequence = None;
                self.reports_from = now + REPORT_LAG;
                self.next_report = now + REPORT_LAG;
                self.drop_plans(&subject);
            }
        }
    }

    fn drop_plans(&mut self, subject: &ModelRef) {
        if subject.adapter.is_some() {
            self.adapters.give_up(subject);
        } else {
            self.goal = None;
            self.retiring = None;
        }
    }

    /// Returns when the target can begin another load, unless it loads from the weight store or
    /// does what the leader knows nothing of.
    pub(crate) fn soon_open(&self, now: Time) -> Option<Time> {
        match &self.goal {
            Some(goal) if goal.from_store => None,
            Some(goal) => Some(goal.ready_at.max(now)),
            None => self.is_idle(now).then_some(now),
        }
    }

    /// Returns when the target can take an order for an adapter; now, if it is not busy.
    pub(crate) fn open_at(&self, now: Time) -> Time {
        match (&self.running, &self.goal) {
            (Some(running), Some(goal)) if running.kind == OrderKind::Load => {
                goal.ready_at.max(now)
            }
            (Some(_), _) => now + UNLOAD_SPAN,
            _ if self.busy => now + UNLOAD_SPAN,
            _ => now,
        }
    }

    /// Wants an adapter. Returns false when the target can't get it.
    pub(crate) fn want_adapter(&mut self, subject: &ModelRef) -> bool {
        let served = self.serves(&subject.model);
        if served {
            self.adapters.want(subject);
        }
        served
    }

    /// Returns when the pending or planned load of a model will be complete.
    pub(crate) fn load_ready(&self, now: Time, model: &ModelName) -> Option<Time> {
        let goal = self.goal.as_ref().filter(|goal| goal.model == *model)?;
        let unload = if self.retiring.is_some() { UNLOAD_SPAN } else { Duration::ZERO };
        let begun = self.running.as_ref().is_some_and(|running| running.subject.model == *model);
        Some(if begun { goal.ready_at.max(now) } else { now + unload + goal.span })
    }
}
