//! Changes of replicas and leaving targets, relayed to each daemon until it acknowledges them.

use std::collections::VecDeque;
use std::time::Duration;

use base::{ModelName, Name, SortedMap, TargetName, Time};
use fleet::{SyncReport, TargetDeparture};

/// Lifetime of a replica's change. By then the target's listed entry shows it.
const REPLICA_TTL: Duration = Duration::from_millis(2_500);
/// Lifetime of a departure. By then the store no longer lists the target.
const DEPARTURE_TTL: Duration = Duration::from_secs(60);

/// A change that daemons should learn before the store shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TargetUpdate {
    /// A target holds a model.
    Held(TargetName, ModelName),
    /// A target is about to unload a model.
    Retiring(TargetName, ModelName),
    /// A target has announced that it leaves.
    Leaving(TargetDeparture),
    /// A target has named a limit, changed it or ended it.
    Limit(TargetName),
    /// A target has become cold.
    Cold(TargetName),
}

/// What an update is about, in addition to its target.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UpdateTopic<'a> {
    Replica(&'a ModelName),
    Departure,
    Limit,
    Cold,
}

impl TargetUpdate {
    fn ttl(&self) -> Duration {
        match self {
            TargetUpdate::Held(..) | TargetUpdate::Retiring(..) => REPLICA_TTL,
            TargetUpdate::Leaving(_) => DEPARTURE_TTL,
            // A limit holds until its target ends it.
            // So does the cold state, which the leader's table ends.
            TargetUpdate::Limit(_) | TargetUpdate::Cold(_) => Duration::MAX,
        }
    }

    /// Returns what the update is about. A newer update of the same subject replaces this one.
    fn subject(&self) -> (&TargetName, UpdateTopic<'_>) {
        match self {
            TargetUpdate::Held(target, model) | TargetUpdate::Retiring(target, model) => {
                (target, UpdateTopic::Replica(model))
            }
            TargetUpdate::Leaving(departure) => (&departure.target, UpdateTopic::Departure),
            TargetUpdate::Limit(target) => (target, UpdateTopic::Limit),
            TargetUpdate::Cold(target) => (target, UpdateTopic::Cold),
        }
    }
}

/// One update in the log.
#[derive(Clone, Debug)]
struct UpdateItem {
    number: u64,
    update: TargetUpdate,
    at: Time,
}

/// What a daemon was sent and has acknowledged.
#[derive(Clone, Copy, Debug, Default)]
struct DeliveryMark {
    incarnation: u64,
    /// Number of its last report, and of the last item when it was replied to.
    last_reply: (u64, u64),
    /// Number of the last item that it has acknowledged.
    acknowledged_item: u64,
}

/// The latest updates, and how far each daemon has acknowledged them.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateLog {
    items: VecDeque<UpdateItem>,
    last: u64,
    marks: SortedMap<Name, DeliveryMark>,
}

impl UpdateLog {
    /// Adds an update that takes effect now. A departure that is in the log already isn't repeated.
    pub(crate) fn push(&mut self, now: Time, update: TargetUpdate) {
        if self
            .items
            .iter()
            .any(|item| item.update == update && update.subject().1 == UpdateTopic::Departure)
        {
            return;
        }
        self.items.retain(|item| item.update.subject() != update.subject());
        self.last += 1;
        self.items.push_back(UpdateItem { number: self.last, update, at: now });
    }

    /// Drops the limit of a target that is no longer listed.
    pub(crate) fn remove_limit(&mut self, target: &TargetName) {
        self.items.retain(|item| item.update.subject() != (target, UpdateTopic::Limit));
    }

    /// Drops the update that a target is cold.
    pub(crate) fn remove_cold(&mut self, target: &TargetName) {
        self.items.retain(|item| item.update.subject() != (target, UpdateTopic::Cold));
    }

    /// Returns the updates that a daemon has not acknowledged, and marks them as sent in the reply
    /// to `report`.
    pub(crate) fn take_unseen(&mut self, now: Time, report: &SyncReport) -> Vec<TargetUpdate> {
        self.items.retain(|item| now.since(item.at) < item.update.ttl());
        let mark = self.marks.entry(report.host.clone(), DeliveryMark::default);
        if mark.incarnation != report.incarnation {
            *mark = DeliveryMark { incarnation: report.incarnation, ..DeliveryMark::default() };
        }
        if mark.last_reply.0 > 0 && report.acknowledged == mark.last_reply.0 {
            mark.acknowledged_item = mark.last_reply.1;
        }
        mark.last_reply = (report.number, self.last);
        let known = mark.acknowledged_item;
        let newer = self.items.iter().filter(|item| item.number > known);
        newer.map(|item| item.update.clone()).collect()
    }
}
