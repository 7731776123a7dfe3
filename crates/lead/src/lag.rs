//! Whether a daemon, and the fleet, has the latest known layout in force.

use std::time::Duration;

use base::{Name, SortedMap, Time};
use fleet::LayoutVersion;

/// A daemon reports that its layout is behind when it has been for the bound divided by this.
const REPORT_DIVISOR: u32 = 2;
/// Pause between two reports of the same.
const REPORT_PAUSE: Duration = Duration::from_secs(5);
/// Pause between two counts of the daemons that are behind.
const COUNT_PAUSE: Duration = Duration::from_secs(1);
/// A daemon that hasn't reported for this long isn't counted.
const STATEMENT_TTL: Duration = Duration::from_secs(10);

/// Compares the layout in force with the latest one that anyone has named.
///
/// A change that was lost, or that can't be read, leaves no trace at the daemon itself. Other
/// daemons name the version that they have, so that the daemon notices that it lacks one.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use base::Time;
/// use fleet::LayoutVersion;
/// use mango_lead::LayoutLag;
///
/// let at = |ms| Time::from_millis(ms);
/// let mut lag = LayoutLag::new(Duration::from_secs(4));
/// lag.record_known(at(1_000), LayoutVersion(8), LayoutVersion(7));
/// assert_eq!(lag.behind(at(1_500)), Some(Duration::from_millis(500)));
/// assert!(lag.take_report(at(3_500)).is_some());
/// lag.record_in_force(LayoutVersion(8));
/// assert_eq!(lag.behind(at(4_000)), None);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LayoutLag {
    bound: Duration,
    latest: LayoutVersion,
    since: Option<Time>,
    reported_at: Option<Time>,
}

impl LayoutLag {
    /// Creates the state of a daemon on which a layout must be in force within `bound`.
    pub fn new(bound: Duration) -> LayoutLag {
        LayoutLag { bound, latest: LayoutVersion(0), since: None, reported_at: None }
    }

    /// Records that another daemon has `version`, while `in_force` is in force at this one.
    pub fn record_known(&mut self, now: Time, version: LayoutVersion, in_force: LayoutVersion) {
        self.latest = self.latest.max(version);
        if self.latest > in_force {
            self.since.get_or_insert(now);
        }
    }

    /// Records that a layout has come into force.
    pub fn record_in_force(&mut self, version: LayoutVersion) {
        if version >= self.latest {
            (self.latest, self.since, self.reported_at) = (version, None, None);
        }
    }

    /// Returns for how long a later version than the one in force has been known.
    pub fn behind(&self, now: Time) -> Option<Duration> {
        self.since.map(|since| now.since(since))
    }

    /// Returns the latest known version and since how long it isn't in force, if that is to be reported.
    pub fn take_report(&mut self, now: Time) -> Option<(LayoutVersion, Duration)> {
        let behind = self.behind(now).filter(|span| *span >= self.bound / REPORT_DIVISOR)?;
        if self.reported_at.is_some_and(|at| now.since(at) < REPORT_PAUSE) {
            return None;
        }
        self.reported_at = Some(now);
        Some((self.latest, behind))
    }
}

/// What one daemon has stated.
#[derive(Clone, Copy, Debug)]
struct LayoutState {
    version: LayoutVersion,
    stated_at: Time,
    /// Since when the daemon has had an older version than the leader.
    behind_since: Option<Time>,
}

/// The daemons whose layout is older than the leader's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayoutStragglers {
    /// Number of these daemons.
    pub daemons: usize,
    /// Oldest version at one of them.
    pub oldest: LayoutVersion,
    /// Longest time for which one of them has been behind.
    pub longest: Duration,
}

/// Which layouts the daemons state in their reports to the leader.
#[derive(Clone, Debug, Default)]
pub struct LayoutCensus {
    states: SortedMap<Name, LayoutState>,
    counted_at: Option<Time>,
    reported_at: Option<Time>,
}

impl LayoutCensus {
    /// Records the version that a daemon has stated, beside the leader's own.
    pub fn record(
        &mut self,
        now: Time,
        host: &Name,
        version: LayoutVersion,
        own_version: LayoutVersion,
    ) {
        let state = LayoutState { version, stated_at: now, behind_since: None };
        let known = self.states.entry(host.clone(), || state);
        let is_behind = version < own_version;
        let behind_since = is_behind.then(|| known.behind_since.unwrap_or(now));
        *known = LayoutState { behind_since, ..state };
    }

    /// Returns the daemons that have been behind for at least `span`, if any are.
    pub fn stragglers(&self, now: Time, span: Duration) -> Option<LayoutStragglers> {
        let is_present = |state: &&LayoutState| now.since(state.stated_at) < STATEMENT_TTL;
        let present = self.states.values().filter(is_present);
        let behind =
            present.filter_map(|state| Some((state.version, now.since(state.behind_since?))));
        let late: Vec<(LayoutVersion, Duration)> =
            behind.filter(|(_, late)| *late >= span).collect();
        Some(LayoutStragglers {
            daemons: late.len(),
            oldest: late.iter().map(|(version, _)| *version).min()?,
            longest: late.iter().map(|(_, late)| *late).max()?,
        })
    }

    /// Returns the daemons that have been behind for at least half of `bound`, if that is to be
    /// reported.
    pub fn take_report(&mut self, now: Time, bound: Duration) -> Option<LayoutStragglers> {
        let has_paused = |at: Option<Time>, pause| at.is_none_or(|at| now.since(at) >= pause);
        if !has_paused(self.reported_at, REPORT_PAUSE) || !has_paused(self.counted_at, COUNT_PAUSE)
        {
            return None;
        }
        self.counted_at = Some(now);
        self.states.retain(|_, state| now.since(state.stated_at) < STATEMENT_TTL);
        let stragglers = self.stragglers(now, bound / REPORT_DIVISOR)?;
        self.reported_at = Some(now);
        Some(stragglers)
    }
}
