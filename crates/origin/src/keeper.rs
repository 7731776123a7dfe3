//! Decides when the versions at which a service's streams can begin change.

use std::time::Duration;

use base::{Name, SortedMap, Time};
use fleet::SoftwareVersion;

use crate::{VersionMix, MAX_MIX_AGE};

/// How long a mix is opening. A daemon that relies on the mix before it has learned of the change by
/// then, or no longer relies on it.
const OPENING_SPAN: Duration = MAX_MIX_AGE.saturating_add(Duration::from_millis(1_000));

/// What the leader knows of a service when it decides.
#[derive(Clone, Copy, Debug)]
pub struct ServiceView<'a> {
    /// Versions of all listed targets; `None` is one that can't be read.
    pub listed: &'a [Option<&'a SoftwareVersion>],
    /// The present mix, if there is one.
    pub mix: Option<&'a VersionMix>,
    /// Longest time from the beginning of a stream until a client takes it up.
    pub lifetime: Duration,
}

#[derive(Clone, Debug, Default)]
struct ServiceHistory {
    /// The version of all listed targets, and since when.
    sole: Option<(SoftwareVersion, Time)>,
    /// Whether several versions were listed during the term.
    has_mixed: bool,
    opening_since: Option<Time>,
}

/// Decides for the leader when the mixes of services change. It lives for one term.
///
/// Another version than the only one is announced before streams may begin at it. When only one version
/// has been listed for as long as a stream can be taken up, it becomes the only one.
#[derive(Clone, Debug)]
pub struct MixKeeper {
    is_first_term: bool,
    services: SortedMap<Name, ServiceHistory>,
}

impl MixKeeper {
    /// Creates the keeper of a term. `is_first_term` is set if the fleet never had a leader before, so
    /// that no stream is older.
    pub fn new(is_first_term: bool) -> MixKeeper {
        MixKeeper { is_first_term, services: SortedMap::default() }
    }

    /// Returns the mix to write for a service, if the present one should change.
    pub fn next_mix(
        &mut self,
        now: Time,
        service: &Name,
        view: ServiceView<'_>,
    ) -> Option<VersionMix> {
        let history = self.services.entry(service.clone(), ServiceHistory::default);
        // The next targets may have any version.
        let first = view.listed.first()?;
        let is_sole = first.is_some() && view.listed.iter().all(|version| version == first);
        match first.filter(|_| is_sole) {
            Some(version) => {
                if history.sole.as_ref().is_none_or(|(known, _)| known != version) {
                    history.has_mixed |= history.sole.is_some();
                    history.sole = Some((version.clone(), now));
                }
            }
            None => (history.sole, history.has_mixed) = (None, true),
        }
        if !matches!(view.mix, Some(VersionMix::Opening(_))) {
            history.opening_since = None;
        }
        let lasting = history.sole.as_ref().filter(|(_, at)| now.since(*at) >= view.lifetime);
        match view.mix {
            Some(VersionMix::Only(only)) => {
                let has_other = history.sole.as_ref().is_none_or(|(version, _)| version != only);
                has_other.then(|| VersionMix::Opening(only.clone()))
            }
            Some(VersionMix::Opening(_)) => {
                let since = *history.opening_since.get_or_insert(now);
                (now.since(since) >= OPENING_SPAN).then_some(VersionMix::Any)
            }
            Some(VersionMix::Any) => lasting.map(|(version, _)| VersionMix::Only(version.clone())),
            None => {
                let is_new_fleet = self.is_first_term && !history.has_mixed;
                let sole = if is_new_fleet { history.sole.as_ref() } else { lasting };
                sole.map(|(version, _)| VersionMix::Only(version.clone()))
            }
        }
    }
}
