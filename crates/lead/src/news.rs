//! Replicas that came or go, told to each daemon once.

use std::collections::VecDeque;
use std::time::Duration;

use base::{ModelName, Name, SortedMap, TargetName, Time};
use fleet::SyncReport;

/// By then the targets' entries say so.
const NEWS_SPAN: Duration = Duration::from_millis(2_500);

/// Replicas by target and model.
type ReplicaList = Vec<(TargetName, ModelName)>;

/// One replica's latest change.
#[derive(Clone, Debug)]
struct NewsItem {
    number: u64,
    target: TargetName,
    model: ModelName,
    is_held: bool,
    at: Time,
}

/// What a daemon was told.
#[derive(Clone, Copy, Debug, Default)]
struct ToldMark {
    incarnation: u64,
    /// Number of its last report, and of the last item in the answer to it.
    reply: (u64, u64),
    /// Number of the last item that it has.
    known: u64,
}

/// The latest changes of replicas, and how far each daemon knows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct NewsLog {
    items: VecDeque<NewsItem>,
    last: u64,
    told: SortedMap<Name, ToldMark>,
}

impl NewsLog {
    /// Notes that a target holds a model from now on, or will drop it.
    pub(crate) fn push(&mut self, now: Time, target: &TargetName, model: &ModelName, held: bool) {
        self.items.retain(|item| item.target != *target || item.model != *model);
        self.last += 1;
        self.items.push_back(NewsItem {
            number: self.last,
            target: target.clone(),
            model: model.clone(),
            is_held: held,
            at: now,
        });
    }

    /// Returns the replicas that are held and those that go, as far as a daemon's report doesn't
    /// show that it was told.
    pub(crate) fn tell(&mut self, now: Time, report: &SyncReport) -> (ReplicaList, ReplicaList) {
        while self.items.front().is_some_and(|item| now.since(item.at) >= NEWS_SPAN) {
            self.items.pop_front();
        }
        let mark = self.told.entry(report.host.clone(), ToldMark::default);
        if mark.incarnation != report.incarnation {
            *mark = ToldMark { incarnation: report.incarnation, ..ToldMark::default() };
        }
        if mark.reply.0 > 0 && report.acknowledged == mark.reply.0 {
            mark.known = mark.reply.1;
        }
        mark.reply = (report.number, self.last);
        let known = mark.known;
        let of = |held: bool| {
            let items = self.items.iter().filter(|item| item.number > known);
            let items = items.filter(|item| item.is_held == held);
            items.map(|item| (item.target.clone(), item.model.clone())).collect()
        };
        (of(true), of(false))
    }
}
