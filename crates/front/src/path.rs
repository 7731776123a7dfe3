//! Whether this daemon reaches the targets of each service.

use std::time::Duration;

use base::{Name, SortedMap, TargetName, Time};

/// How long a failed connection counts as evidence of a cut.
const EVIDENCE_SPAN: Duration = Duration::from_secs(3);
/// Pause between two probes of a service whose path is cut.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// What is known of the path to one service.
#[derive(Clone, Debug, Default)]
struct PathState {
    /// Targets that could not be connected to since a connection last succeeded, with the time of the last
    /// attempt.
    failed: SortedMap<TargetName, Time>,
    /// When a connection last succeeded.
    reached_at: Option<Time>,
    cut_since: Option<Time>,
    probed_at: Option<Time>,
}

/// The paths from this daemon to the targets of each service.
///
/// One target that can't be reached has failed, and several of one failure domain are cut off with it. When
/// targets of every domain can't be reached, and no connection has succeeded meanwhile, this daemon is
/// probably cut off from the service, or the whole service is down. Only another daemon can tell
/// which, so requests should be handed to one that reaches the service.
///
/// # Example
///
/// ```
/// use base::Time;
/// use mango_front::ServicePaths;
///
/// let at = |ms| Time::from_millis(ms);
/// let service = "desk".parse()?;
/// let mut paths = ServicePaths::default();
/// let needed = |failed: &[base::TargetName]| failed.len() >= 2;
/// assert!(!paths.record_failure(at(0), &service, &"a".parse()?, needed));
/// assert!(paths.record_failure(at(20), &service, &"b".parse()?, needed), "the second in a row");
/// assert!(paths.is_cut(&service));
/// assert!(paths.record_success(at(900), &service));
/// assert!(!paths.is_cut(&service));
/// # Ok::<(), base::ParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServicePaths {
    states: SortedMap<Name, PathState>,
}

impl ServicePaths {
    /// Records that a connection to a target of a service succeeded. Returns whether this ends a cut.
    pub fn record_success(&mut self, now: Time, service: &Name) -> bool {
        let state = self.states.entry(service.clone(), PathState::default);
        state.reached_at = Some(now);
        state.failed.retain(|_, _| false);
        state.probed_at = None;
        state.cut_since.take().is_some()
    }

    /// Records that a target could not be connected to. `are_enough` decides whether the targets that have
    /// failed show that the path is cut. Returns whether it counts as cut from now on.
    pub fn record_failure(
        &mut self,
        now: Time,
        service: &Name,
        target: &TargetName,
        are_enough: impl Fn(&[TargetName]) -> bool,
    ) -> bool {
        let state = self.states.entry(service.clone(), PathState::default);
        state.failed.retain(|_, at| now.since(*at) < EVIDENCE_SPAN);
        state.failed.insert(target.clone(), now);
        let failed: Vec<TargetName> = state.failed.keys().cloned().collect();
        let is_new = state.cut_since.is_none() && are_enough(&failed);
        if is_new {
            state.cut_since = Some(now);
            state.probed_at = Some(now);
        }
        is_new
    }

    /// Returns whether the path to a service is cut.
    pub fn is_cut(&self, service: &Name) -> bool {
        self.states.get(service).is_some_and(|state| state.cut_since.is_some())
    }

    /// Returns whether a connection to a service succeeded within the last `span`.
    pub fn was_reached(&self, now: Time, service: &Name, span: Duration) -> bool {
        let reached_at = self.states.get(service).and_then(|state| state.reached_at);
        reached_at.is_some_and(|at| now.since(at) < span)
    }

    /// Returns whether a target of a service could not be connected to, and no other since.
    pub fn has_failed(&self, service: &Name, target: &TargetName) -> bool {
        self.states.get(service).is_some_and(|state| state.failed.get(target).is_some())
    }

    /// Returns the services whose paths are cut, with the time since when they are.
    pub fn cut_services(&self) -> impl Iterator<Item = (&Name, Time)> {
        self.states.iter().filter_map(|(service, state)| Some((service, state.cut_since?)))
    }

    /// Returns the services that should be probed now, and counts the probes as begun.
    pub fn begin_probes(&mut self, now: Time) -> Vec<Name> {
        let is_due = |state: &PathState| {
            let is_waiting = state.probed_at.is_some_and(|at| now.since(at) < PROBE_PAUSE);
            state.cut_since.is_some() && !is_waiting
        };
        let mut due = Vec::new();
        for (service, state) in self.states.iter_mut().filter(|(_, state)| is_due(state)) {
            state.probed_at = Some(now);
            due.push(service.clone());
        }
        due
    }

    /// Returns when the next probe is due; `None` while no path is cut.
    pub fn next_probe(&self) -> Option<Time> {
        let cut = self.states.values().filter(|state| state.cut_since.is_some());
        cut.map(|state| state.probed_at.map_or(Time::ZERO, |at| at + PROBE_PAUSE)).min()
    }
}
