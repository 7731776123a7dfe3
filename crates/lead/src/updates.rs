//! Replicas that came or go, and targets that leave, told to each daemon once.

use std::collections::VecDeque;
use std::time::Duration;

use base::{ModelName, Name, SortedMap, TargetName, Time};
use fleet::{SyncReport, TargetDeparture};

/// By then the targets' entries say what they hold.
const REPLICA_SPAN: Duration = Duration::from_millis(2_500);
/// By then the store doesn't list a target any more that leaves.
const DEPARTURE_SPAN: Duration = Duration::from_secs(60);

/// Something that daemons should know before the store says so.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TargetNews {
    /// A target holds a model.
    Held(TargetName, ModelName),
    /// A target is about to drop a model.
    Retiring(TargetName, ModelName),
    /// A target leaves by its own word.
    Leaving(TargetDeparture),
}

impl TargetNews {
    fn life(&self) -> Duration {
        match self {
            TargetNews::Held(..) | TargetNews::Retiring(..) => REPLICA_SPAN,
            TargetNews::Leaving(_) => DEPARTURE_SPAN,
        }
    }

    /// Returns what it is about; newer news of the same replaces it.
    fn subject(&self) -> (&TargetName, Option<&ModelName>) {
        match self {
            TargetNews::Held(target, model) | TargetNews::Retiring(target, model) => {
                (target, Some(model))
            }
            TargetNews::Leaving(departure) => (&departure.target, None),
        }
    }
}

/// One piece of news.
#[derive(Clone, Debug)]
struct NewsItem {
    number: u64,
    news: TargetNews,
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
    /// Notes something that is true from now on.
    pub(crate) fn push(&mut self, now: Time, news: TargetNews) {
        if self.items.iter().any(|item| item.news == news && item.news.subject().1.is_none()) {
            return;
        }
        self.items.retain(|item| item.news.subject() != news.subject());
        self.last += 1;
        self.items.push_back(NewsItem { number: self.last, news, at: now });
    }

    /// Returns what a daemon's report doesn't show that it was told.
    pub(crate) fn tell(&mut self, now: Time, report: &SyncReport) -> Vec<TargetNews> {
        self.items.retain(|item| now.since(item.at) < item.news.life());
        let mark = self.told.entry(report.host.clone(), ToldMark::default);
        if mark.incarnation != report.incarnation {
            *mark = ToldMark { incarnation: report.incarnation, ..ToldMark::default() };
        }
        if mark.reply.0 > 0 && report.acknowledged == mark.reply.0 {
            mark.known = mark.reply.1;
        }
        mark.reply = (report.number, self.last);
        let known = mark.known;
        let newer = self.items.iter().filter(|item| item.number > known);
        newer.map(|item| item.news.clone()).collect()
    }
}
