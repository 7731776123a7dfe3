//! The leader's record of one target: the models that it holds and the order that it executes.

use std::time::Duration;

use base::{ModelName, SortedMap, Time};
use fleet::{
    EngineModel, EngineOrder, EngineReport, EngineSpec, HeldModel, ModelNeed, ModelRef, OrderKind,
    OrderReply, OrderSequence, TargetEntry, TargetPhase,
};

use crate::adapters::AdapterTable;
use crate::stray::{self, StrayOrders};

/// A report may show a state this old. One that is requested sooner after an order may not include
/// the effect of the order.
const REPORT_LAG: Duration = Duration::from_millis(150);
/// Interval of polls of a target that executes an order.
const POLL_INTERVAL: Duration = Duration::from_millis(140);
/// Delay before a failed poll is repeated, multiplied by the number of failures in a row, up to 8.
const RETRY_BACKOFF: Duration = Duration::from_millis(400);
/// While a load needs longer than `LONG_LOAD` to complete, polls are `LONG_POLL_INTERVAL` apart.
const LONG_LOAD: Duration = Duration::from_millis(800);
const LONG_POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Least time from any poll of a target to one made because a daemon suspects it to be dead.
const SUSPECT_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// A target that isn't busy and shows no result this long after it accepted an order has dropped
/// the order.
const RESULT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Typical time of the unload of an idle model.
pub(crate) const UNLOAD_SPAN: Duration = Duration::from_millis(200);

/// An order that has been sent and not replied to.
#[derive(Clone, Debug)]
struct PendingOrder {
    kind: OrderKind,
    subject: ModelRef,
    expected: OrderSequence,
}

/// An accepted order that the target is executing.
#[derive(Clone, Debug)]
struct RunningOrder {
    kind: OrderKind,
    subject: ModelRef,
    expected: OrderSequence,
    accepted_at: Time,
}

/// A planned or running load.
#[derive(Clone, Debug)]
pub(crate) struct LoadTask {
    pub(crate) model: ModelName,
    pub(crate) span: Duration,
    /// Duration of the load if the weights turn out to be on the target's disk.
    pub(crate) min_span: Duration,
    pub(crate) from_store: bool,
    /// Whether another target already holds or loads the model.
    pub(crate) is_extra: bool,
    pub(crate) planned_at: Time,
    /// When the load is expected to be complete.
    pub(crate) ready_at: Time,
}

/// State of one target, from its listed entry, its reports and its replies to orders.
#[derive(Clone, Debug)]
pub struct TargetRecord {
    pub(crate) entry: TargetEntry,
    sequence: Option<OrderSequence>,
    models: Vec<HeldModel>,
    reports_busy: bool,
    pending: Option<PendingOrder>,
    strays: StrayOrders,
    running: Option<RunningOrder>,
    /// Reports that were requested earlier may not show the latest order, and are ignored.
    reports_valid_from: Time,
    next_poll_at: Time,
    is_polling: bool,
    pub(crate) adapters: AdapterTable,
    pub(crate) task: Option<LoadTask>,
    /// A model that daemons stop using, and when its unload may be ordered.
    pub(crate) retiring: Option<(ModelName, Time)>,
    /// Models that finished loading (true) or were retired (false), in order, until the leader
    /// relays them to the daemons.
    pub(crate) replica_changes: Vec<(ModelName, bool)>,
    last_used: SortedMap<ModelName, Time>,
    /// When a load of a model last completed.
    loaded_at: SortedMap<ModelName, Time>,
    /// When a model was last evicted.
    evicted_at: SortedMap<ModelName, Time>,
    failures: u32,
    /// Set while polls of the target fail.
    is_down: bool,
    is_suspected: bool,
    polled_at: Time,
    /// The target asked this host to send nothing until then.
    backoff_until: Time,
    /// No order is sent before this time, because the target's limit does not permit one.
    order_from: Time,
    /// Whether the target limits the requests of all daemons together.
    pub(crate) is_limited: bool,
    /// Whether the target's domain is evacuated, so that nothing is sent to the target.
    is_evacuated: bool,
    /// Until when orders of an earlier leader may arrive, if the target doesn't refuse them.
    former_orders_until: Time,
    /// No order is sent before this time, because the target has restarted and may execute orders of an
    /// earlier leader.
    orders_held_until: Time,
}

impl TargetRecord {
    /// Creates the record of a target that has not been polled yet.
    pub fn new(now: Time, entry: TargetEntry) -> TargetRecord {
        TargetRecord::with_strays(now, entry, StrayOrders::default())
    }

    /// Creates the record of a target to which orders were sent that got no reply, at an earlier
    /// start of it.
    pub(crate) fn with_strays(
        now: Time,
        entry: TargetEntry,
        mut strays: StrayOrders,
    ) -> TargetRecord {
        strays.record_restart(now);
        TargetRecord {
            strays,
            models: entry.models.clone(),
            entry,
            sequence: None,
            reports_busy: false,
            pending: None,
            running: None,
            reports_valid_from: now,
            next_poll_at: now,
            is_polling: false,
            adapters: AdapterTable::default(),
            task: None,
            retiring: None,
            replica_changes: Vec::new(),
            last_used: SortedMap::default(),
            loaded_at: SortedMap::default(),
            evicted_at: SortedMap::default(),
            failures: 0,
            is_down: false,
            is_suspected: false,
            polled_at: now,
            backoff_until: now,
            order_from: now,
            is_limited: false,
            is_evacuated: false,
            former_orders_until: Time::ZERO,
            orders_held_until: Time::ZERO,
        }
    }

    /// Applies a listed entry, unless it belongs to an earlier start of the target.
    pub(crate) fn update_entry(&mut self, now: Time, entry: TargetEntry) {
        if entry.born_ms > self.entry.born_ms || entry.address != self.entry.address {
            self.restart(now, entry);
            return;
        }
        if entry.born_ms < self.entry.born_ms {
            return;
        }
        // The listing may be outdated, so it can only bring the next poll forward.
        let shows_result = |running: &RunningOrder| {
            let held = entry.models.iter().any(|held| held.name == running.subject.model);
            running.subject.adapter.is_none() && held == (running.kind == OrderKind::Load)
        };
        if self.running.as_ref().is_some_and(shows_result) {
            self.next_poll_at = self.next_poll_at.min(now.max(self.reports_valid_from));
        }
        self.entry = entry;
    }

    /// Sets until when orders of an earlier leader may arrive, for a target that doesn't refuse them. If
    /// it has started recently, no order is sent before.
    pub(crate) fn set_former_orders(&mut self, until: Time, is_recent: bool) {
        self.former_orders_until = until;
        if is_recent {
            self.orders_held_until = until;
        }
    }

    /// Replaces the record by that of a new start.
    fn restart(&mut self, now: Time, entry: TargetEntry) {
        let former = std::mem::replace(self, TargetRecord::new(now, entry));
        self.is_evacuated = former.is_evacuated;
        self.former_orders_until = former.former_orders_until;
        self.orders_held_until = former.former_orders_until;
        self.strays = former.into_stray_orders(now);
        self.strays.record_restart(now);
    }

    /// Returns the orders without a reply, with the pending one.
    pub(crate) fn into_stray_orders(mut self, now: Time) -> StrayOrders {
        if let Some(PendingOrder { kind, subject, expected }) = self.pending.take() {
            self.strays.add(now, kind, subject, expected);
        }
        self.strays
    }

    /// Returns what orders to earlier starts may still load. What is held already isn't loaded again.
    fn stray_loads(&self, now: Time) -> impl Iterator<Item = &ModelRef> {
        let is_missing = |subject: &&ModelRef| match subject.adapter {
            Some(_) => !self.adapters.is_confirmed(subject),
            None => !self.holds(&subject.model),
        };
        self.strays.former_loads(now, self.sequence).filter(is_missing)
    }

    /// Returns whether all loads without a reply and the one of `needed` fit together. Otherwise the
    /// target could accept too many of them after a restart.
    pub(crate) fn has_stray_room(&self, now: Time, spec: &EngineSpec, needed: &ModelRef) -> bool {
        let loads = stray::distinct(self.strays.unanswered_loads(now).chain([needed]));
        let adapters = loads.iter().filter(|subject| subject.adapter.is_some()).count();
        adapters <= spec.max_adapters
            && stray::size_mb(&loads, &spec.models, spec.weight_mb) <= spec.weight_mb
    }

    /// Returns whether a stray order may load a model again after it was unloaded.
    pub(crate) fn has_stray_load(&self, now: Time, model: &ModelName) -> bool {
        let mut loads = self.strays.former_loads(now, self.sequence);
        loads.any(|subject| subject.model == *model && subject.adapter.is_none())
    }

    /// Returns whether the target takes orders, its state is known and it has nothing to do.
    pub(crate) fn is_idle(&self, now: Time) -> bool {
        self.is_ready()
            && now >= self.backoff_until
            && now >= self.orders_held_until
            && !self.is_limited
            && self.sequence.is_some()
            && self.pending.is_none()
            && self.running.is_none()
            && !self.reports_busy
            && self.task.is_none()
            && self.retiring.is_none()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.entry.phase == TargetPhase::Ready && !self.is_down && !self.is_evacuated
    }

    /// Sets whether the target's domain is evacuated. What was only planned for the target is
    /// dropped. After the evacuation its state is unknown until the next report.
    pub(crate) fn set_evacuated(&mut self, now: Time, is_evacuated: bool) {
        if self.is_evacuated == is_evacuated {
            return;
        }
        self.is_evacuated = is_evacuated;
        if is_evacuated {
            self.adapters.cancel_all_requests();
            if self.pending.is_none() && self.running.is_none() {
                (self.task, self.retiring) = (None, None);
            }
        } else {
            self.sequence = None;
            (self.is_down, self.is_suspected, self.failures) = (false, false, 0);
            self.next_poll_at = now;
        }
    }

    /// Drops and returns a load on an evacuated target that must have ended by now, since no report
    /// shows its end. Until then it takes part of the weight store's capacity.
    pub(crate) fn end_evacuated_load(&mut self, now: Time) -> Option<LoadTask> {
        let is_over = self.task.as_ref().is_none_or(|task| now >= task.ready_at);
        if !self.is_evacuated || self.pending.is_some() || !is_over {
            return None;
        }
        (self.retiring, self.reports_busy) = (None, false);
        self.task.take()
    }

    /// Requests a poll because a daemon suspects that the target is dead.
    pub(crate) fn mark_suspected(&mut self, now: Time) {
        if now.since(self.polled_at) >= SUSPECT_POLL_INTERVAL && !self.is_evacuated {
            self.is_suspected = true;
            self.next_poll_at = self.next_poll_at.min(now);
        }
    }

    /// Returns whether the last report shows the target executing an order.
    pub(crate) fn is_busy(&self) -> bool {
        self.reports_busy
    }

    pub(crate) fn models(&self) -> &[HeldModel] {
        &self.models
    }

    pub(crate) fn holds(&self, model: &ModelName) -> bool {
        self.models.iter().any(|held| held.name == *model)
    }

    /// Returns whether the target is ready and holds a model that isn't being retired.
    pub(crate) fn serves(&self, model: &ModelName) -> bool {
        self.is_ready()
            && self.holds(model)
            && self.retiring.as_ref().is_none_or(|(retiring, _)| retiring != model)
    }

    /// Returns whether requests with a need may be sent to the target once it holds the model.
    pub(crate) fn meets(&self, need: &ModelNeed) -> bool {
        need.is_met_by(self.entry.version.as_ref())
    }

    pub(crate) fn used_at(&self, model: &ModelName) -> Option<Time> {
        self.last_used.get(model).copied()
    }

    pub(crate) fn loaded_at(&self, model: &ModelName) -> Option<Time> {
        self.loaded_at.get(model).copied()
    }

    pub(crate) fn evicted_at(&self, model: &ModelName) -> Option<Time> {
        self.evicted_at.get(model).copied()
    }

    /// Retires a model, which may be unloaded from `unload_at` on.
    pub(crate) fn retire(&mut self, now: Time, model: ModelName, unload_at: Time) {
        self.evicted_at.insert(model.clone(), now);
        self.replica_changes.push((model.clone(), false));
        self.retiring = Some((model, unload_at));
    }

    pub(crate) fn record_use(&mut self, now: Time, subject: &ModelRef) {
        self.last_used.insert(subject.model.clone(), now);
        self.adapters.touch(now, subject);
    }

    /// Returns the memory of `total` that a load of the model `needed`, or of an adapter, may take, in
    /// megabytes: what models, adapters and the loads of stray orders leave free.
    pub(crate) fn free_mb(
        &self,
        now: Time,
        models: &SortedMap<ModelName, EngineModel>,
        total: f64,
        needed: Option<&ModelName>,
    ) -> f64 {
        let weight_of = |name: &ModelName| models.get(name).map_or(total, |model| model.weight_mb);
        let weights: f64 = self.models.iter().map(|held| weight_of(&held.name)).sum();
        let is_other =
            |subject: &&ModelRef| needed != Some(&subject.model) || subject.adapter.is_some();
        let strays = stray::distinct(self.stray_loads(now).filter(is_other));
        let strays = stray::size_mb(&strays, models, total);
        total - weights - self.adapters.size_mb(models) - strays
    }

    /// Sends nothing to the target before `until`.
    pub(crate) fn set_backoff(&mut self, until: Time) {
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Returns whether to poll the target now, and if so marks a poll as in progress.
    pub(crate) fn take_poll(&mut self, now: Time) -> bool {
        let due_at = self.next_poll_at.max(self.backoff_until);
        if !self.needs_report() || self.is_polling || now < due_at {
            return false;
        }
        self.is_polling = true;
        self.polled_at = now;
        true
    }

    /// Delays the next order.
    pub(crate) fn delay_order(&mut self, until: Time) {
        self.order_from = until;
    }

    /// Delays the next poll.
    pub(crate) fn delay_poll(&mut self, until: Time) {
        self.next_poll_at = self.next_poll_at.max(until);
    }

    /// Returns when the order that unloads a model can be sent, if one is planned.
    pub(crate) fn unload_at(&self) -> Option<Time> {
        let retiring = self.retiring.as_ref().filter(|_| !self.is_evacuated);
        retiring.map(|(_, at)| (*at).max(self.order_from))
    }

    /// Returns the time of the next poll, if one is needed.
    pub(crate) fn poll_at(&self) -> Option<Time> {
        let due_at = self.next_poll_at.max(self.backoff_until);
        (self.needs_report() && !self.is_polling).then_some(due_at)
    }

    fn needs_report(&self) -> bool {
        let is_unclear = self.sequence.is_none()
            || self.reports_busy
            || self.running.is_some()
            || self.is_suspected
            || self.is_down;
        is_unclear && !self.is_evacuated
    }

    /// Processes a report that was requested at `asked_at`; `None` if the poll failed.
    pub(crate) fn handle_report(
        &mut self,
        now: Time,
        asked_at: Time,
        report: Option<&EngineReport>,
    ) {
        self.is_polling = false;
        self.is_suspected = false;
        self.is_down = report.is_none();
        let Some(report) = report else {
            self.failures += 1;
            self.next_poll_at = now + RETRY_BACKOFF * self.failures.min(8);
            return;
        };
        self.failures = 0;
        self.next_poll_at = now + POLL_INTERVAL;
        if report.born_ms.is_some_and(|born| born > self.entry.born_ms && self.entry.born_ms > 0) {
            // The target has restarted; its listed entry will follow.
            let mut entry = self.entry.clone();
            entry.born_ms = report.born_ms.unwrap_or(entry.born_ms);
            self.restart(now, entry);
        }
        if asked_at < self.reports_valid_from {
            return;
        }
        let is_stale = self.sequence.is_some_and(|known| report.sequence < known);
        if self.pending.is_some() || is_stale {
            return;
        }
        if let Some(running) = &self.running {
            if !report.busy && self.is_completed_by(&report.models, report.sequence) {
                self.complete_order(now, report.models.clone(), report.sequence);
                return;
            }
            if report.busy || now.since(running.accepted_at) < RESULT_TIMEOUT {
                let until = self.task.as_ref().map_or(now, |task| task.ready_at);
                if until.since(now) > LONG_LOAD {
                    self.next_poll_at = now + LONG_POLL_INTERVAL;
                }
                return;
            }
            self.running = None;
            (self.task, self.retiring) = (None, None);
        }
        let is_unchanged = report.models.len() == self.models.len()
            && report.models.iter().all(|held| self.holds(&held.name));
        if report.busy || !is_unchanged {
            // An order without a reply has taken effect, so the planned load may no longer fit.
            (self.task, self.retiring) = (None, None);
        }
        self.sequence = Some(report.sequence);
        self.reports_busy = report.busy;
        // A model that a former leader's order loaded: daemons don't know of it until the target's
        // entry lists it.
        let new_models = report.models.iter().filter(|held| !self.holds(&held.name));
        let new_models: Vec<_> = new_models.map(|held| (held.name.clone(), true)).collect();
        self.replica_changes.extend(new_models);
        self.set_models(now, report.models.clone());
        for subject in &report.incoming {
            self.adapters.add(now, subject.clone());
        }
    }

    fn set_models(&mut self, now: Time, models: Vec<HeldModel>) {
        self.adapters.update(now, &models);
        self.models = models;
    }

    /// Returns whether a reported state shows the result of the running order.
    fn is_completed_by(&self, models: &[HeldModel], sequence: OrderSequence) -> bool {
        let Some(running) = &self.running else { return false };
        let is_subject = |held: &&HeldModel| held.name == running.subject.model;
        let held =
            models.iter().find(is_subject).is_some_and(|held| match &running.subject.adapter {
                Some(adapter) => held.adapters.contains(adapter),
                None => true,
            });
        sequence > running.expected && held == (running.kind == OrderKind::Load)
    }

    fn complete_order(&mut self, now: Time, models: Vec<HeldModel>, sequence: OrderSequence) {
        let Some(running) = self.running.take() else { return };
        self.reports_busy = false;
        self.sequence = self.sequence.max(Some(sequence));
        self.set_models(now, models);
        if running.subject.adapter.is_some() {
            self.adapters.remove(&running.subject);
            return;
        }
        let model = running.subject.model;
        match running.kind {
            OrderKind::Load => {
                if self.task.as_ref().is_some_and(|task| task.model == model) {
                    self.task = None;
                }
                self.loaded_at.insert(model.clone(), now);
                self.replica_changes.push((model, true));
            }
            OrderKind::Unload => {
                if self.retiring.as_ref().is_some_and(|(retiring, _)| *retiring == model) {
                    self.retiring = None;
                }
            }
        }
    }

    /// Returns the order to send now, if any, and marks it as pending.
    pub(crate) fn take_order(
        &mut self,
        now: Time,
        spec: &EngineSpec,
    ) -> Option<(OrderKind, ModelRef, OrderSequence)> {
        let expected = self.sequence?;
        if now < self.backoff_until || now < self.orders_held_until {
            return None;
        }
        if self.pending.is_some() || self.running.is_some() || self.reports_busy || !self.is_ready()
        {
            return None;
        }
        let adapter = self.next_adapter_order(now, spec);
        let (kind, subject) = adapter.or_else(|| self.next_model_order(now))?;
        self.pending = Some(PendingOrder { kind, subject: subject.clone(), expected });
        Some((kind, subject, expected))
    }

    fn next_adapter_order(
        &mut self,
        now: Time,
        spec: &EngineSpec,
    ) -> Option<(OrderKind, ModelRef)> {
        let next = self.adapters.next_request(&self.models)?;
        if !self.has_stray_room(now, spec, &next) {
            return None;
        }
        let stray_adapters = self.stray_loads(now).filter(|subject| subject.adapter.is_some());
        let places = spec.max_adapters.saturating_sub(stray_adapters.count());
        let free = self.free_mb(now, &spec.models, spec.weight_mb, None);
        let has_memory = spec.models.get(&next.model).is_some_and(|m| m.adapter_mb <= free);
        self.adapters.next_order(now, next, places, has_memory)
    }

    fn next_model_order(&mut self, now: Time) -> Option<(OrderKind, ModelRef)> {
        if let Some((model, unload_at)) = &self.retiring {
            if now < *unload_at {
                return None;
            }
            return Some((OrderKind::Unload, ModelRef { model: model.clone(), adapter: None }));
        }
        let task = self.task.as_mut()?;
        task.ready_at = now + task.span;
        Some((OrderKind::Load, ModelRef { model: task.model.clone(), adapter: None }))
    }

    /// Returns whether an order was decided for the present start of the target.
    pub(crate) fn is_order_of_start(&self, order: &EngineOrder) -> bool {
        order.born_ms == self.entry.born_ms
    }

    /// Processes the reply to an order that was decided for an earlier start.
    pub(crate) fn handle_former_reply(&mut self, order: &EngineOrder, reply: OrderReply) {
        if reply == OrderReply::Unknown {
            return;
        }
        self.strays.remove(order.kind, &order.subject, order.expected);
        // The new start may have executed it.
        self.sequence = None;
    }

    /// Processes the reply to the pending order.
    pub(crate) fn handle_reply(&mut self, now: Time, reply: OrderReply) {
        let Some(PendingOrder { kind, subject, expected }) = self.pending.take() else { return };
        match reply {
            OrderReply::Accepted | OrderReply::Done if subject.adapter.is_some() => {
                self.sequence = Some(OrderSequence(expected.0 + 1));
                // An order that changes nothing has the same reply as one that was executed at once, and
                // isn't counted. The next report shows the number.
                let is_uncounted = kind == OrderKind::Load || !self.adapters.is_confirmed(&subject);
                if reply == OrderReply::Done && is_uncounted {
                    self.expect_report(now);
                }
                match (kind, reply) {
                    (OrderKind::Load, _) => self.adapters.add(now, subject),
                    (OrderKind::Unload, OrderReply::Accepted) => {
                        // The adapter is in use: the target executes no other order until that
                        // request ends.
                        self.running =
                            Some(RunningOrder { kind, subject, expected, accepted_at: now });
                        self.next_poll_at = now + REPORT_LAG;
                    }
                    (OrderKind::Unload, _) => self.adapters.remove(&subject),
                }
            }
            OrderReply::Accepted => {
                self.sequence = Some(OrderSequence(expected.0 + 1));
                self.running = Some(RunningOrder { kind, subject, expected, accepted_at: now });
                self.reports_valid_from = now + REPORT_LAG;
                // The target may have the weights on its disk without the leader knowing.
                let span = match kind {
                    OrderKind::Load => {
                        self.task.as_ref().map_or(POLL_INTERVAL, |task| task.min_span)
                    }
                    OrderKind::Unload => POLL_INTERVAL,
                };
                self.next_poll_at = now + span.max(REPORT_LAG);
            }
            OrderReply::NotSent => {
                // The target may be unreachable: it gets no order before its next report.
                self.sequence = None;
                self.next_poll_at = now;
                self.cancel_plans(&subject);
            }
            OrderReply::Unknown => {
                self.strays.add(now, kind, subject.clone(), expected);
                self.expect_report(now);
                self.cancel_plans(&subject);
            }
            // The next report shows what the target did. Loads are planned again from that.
            OrderReply::Done
            | OrderReply::Conflict
            | OrderReply::Fenced
            | OrderReply::Invalid
            | OrderReply::Misdirected => {
                self.expect_report(now);
                self.cancel_plans(&subject);
            }
        }
    }

    /// Sends no order before a report that was requested from now on.
    fn expect_report(&mut self, now: Time) {
        self.sequence = None;
        self.reports_valid_from = now + REPORT_LAG;
        self.next_poll_at = now + REPORT_LAG;
    }

    fn cancel_plans(&mut self, subject: &ModelRef) {
        if subject.adapter.is_some() {
            self.adapters.cancel_request(subject);
        } else {
            self.task = None;
            self.retiring = None;
        }
    }

    /// Returns when the target can begin another load; `None` if it loads from the weight store or
    /// if that time can't be estimated.
    pub(crate) fn next_load_at(&self, now: Time) -> Option<Time> {
        match &self.task {
            Some(task) if task.from_store => None,
            Some(task) => Some(task.ready_at.max(now)),
            None => self.is_idle(now).then_some(now),
        }
    }

    /// Returns when the target can take an adapter order, which is `now` if it is not busy.
    pub(crate) fn next_order_at(&self, now: Time) -> Time {
        match (&self.running, &self.task) {
            (Some(running), Some(task)) if running.kind == OrderKind::Load => {
                task.ready_at.max(now)
            }
            (Some(_), _) => now + UNLOAD_SPAN,
            _ if self.reports_busy => now + UNLOAD_SPAN,
            _ => now,
        }
    }

    /// Requests an adapter. Returns false if the target doesn't serve the adapter's model.
    pub(crate) fn request_adapter(&mut self, subject: &ModelRef) -> bool {
        let is_served = self.serves(&subject.model);
        if is_served {
            self.adapters.request(subject);
        }
        is_served
    }

    /// Returns when the planned or running load of a model is expected to complete.
    pub(crate) fn load_ready_at(&self, now: Time, model: &ModelName) -> Option<Time> {
        let task = self.task.as_ref().filter(|task| task.model == *model)?;
        let unload_span = if self.retiring.is_some() { UNLOAD_SPAN } else { Duration::ZERO };
        let is_running =
            self.running.as_ref().is_some_and(|running| running.subject.model == *model);
        Some(if is_running { task.ready_at.max(now) } else { now + unload_span + task.span })
    }
}
