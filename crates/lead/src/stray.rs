//! Orders that got no reply, and that their target may execute after it has restarted.

use std::time::Duration;

use base::{ModelName, SortedMap, Time};
use fleet::{EngineModel, ModelRef, OrderKind, OrderSequence};

/// How long after its time limit an order without a reply may still arrive.
pub(crate) const ORDER_LIFETIME: Duration = Duration::from_secs(15);

/// An order without a reply.
#[derive(Clone, Debug)]
struct StrayOrder {
    kind: OrderKind,
    subject: ModelRef,
    expected: OrderSequence,
    until: Time,
    /// Whether the target has restarted since the order was decided.
    is_former: bool,
}

/// The orders to one target that got no reply.
///
/// At the start for which it was decided, an order's expected number keeps it from being executed
/// beside another one. A later start counts anew and reaches the same number in another state. So
/// what such an order loads counts as held, until it can't be accepted any more. All loads without a
/// reply fit together, since a later start may accept them one after the other.
#[derive(Clone, Debug, Default)]
pub(crate) struct StrayOrders {
    orders: Vec<StrayOrder>,
}

impl StrayOrders {
    /// Adds an order that got no reply by `now`.
    pub(crate) fn add(
        &mut self,
        now: Time,
        kind: OrderKind,
        subject: ModelRef,
        expected: OrderSequence,
    ) {
        self.expire(now);
        let until = now + ORDER_LIFETIME;
        self.orders.push(StrayOrder { kind, subject, expected, until, is_former: false });
    }

    /// Removes an order whose reply arrived after all.
    pub(crate) fn remove(&mut self, kind: OrderKind, subject: &ModelRef, expected: OrderSequence) {
        let is_same = |order: &StrayOrder| {
            (order.kind, &order.subject, order.expected) == (kind, subject, expected)
        };
        if let Some(at) = self.orders.iter().position(is_same) {
            self.orders.remove(at);
        }
    }

    /// Records that the target has restarted.
    pub(crate) fn record_restart(&mut self, now: Time) {
        self.expire(now);
        self.orders.iter_mut().for_each(|order| order.is_former = true);
    }

    /// Returns whether no order can arrive any more.
    pub(crate) fn is_empty(&self, now: Time) -> bool {
        self.orders.iter().all(|order| now >= order.until)
    }

    /// Returns the models and adapters that orders to earlier starts may still load. Orders whose
    /// number is below `sequence` are refused.
    pub(crate) fn former_loads(
        &self,
        now: Time,
        sequence: Option<OrderSequence>,
    ) -> impl Iterator<Item = &ModelRef> {
        let can_load = move |order: &&StrayOrder| {
            order.is_former
                && order.kind == OrderKind::Load
                && now < order.until
                && sequence.is_none_or(|sequence| order.expected >= sequence)
        };
        self.orders.iter().filter(can_load).map(|order| &order.subject)
    }

    /// Returns the models and adapters whose loads got no reply, for any start.
    pub(crate) fn unanswered_loads(&self, now: Time) -> impl Iterator<Item = &ModelRef> {
        let is_load = move |order: &&StrayOrder| order.kind == OrderKind::Load && now < order.until;
        self.orders.iter().filter(is_load).map(|order| &order.subject)
    }

    fn expire(&mut self, now: Time) {
        self.orders.retain(|order| now < order.until);
    }
}

/// Returns each model or adapter once.
pub(crate) fn distinct<'a>(subjects: impl Iterator<Item = &'a ModelRef>) -> Vec<&'a ModelRef> {
    let mut distinct: Vec<&ModelRef> = Vec::new();
    for subject in subjects {
        if !distinct.contains(&subject) {
            distinct.push(subject);
        }
    }
    distinct
}

/// Returns the memory of models and adapters in megabytes. An unknown model takes `total`.
pub(crate) fn size_mb(
    subjects: &[&ModelRef],
    models: &SortedMap<ModelName, EngineModel>,
    total: f64,
) -> f64 {
    let size = |subject: &&ModelRef| {
        models.get(&subject.model).map_or(total, |model| match subject.adapter {
            Some(_) => model.adapter_mb,
            None => model.weight_mb,
        })
    };
    subjects.iter().map(size).sum()
}
