//! The versions at which the streams of a service can have begun.

use std::fmt;
use std::time::Duration;

use base::{Name, ParseError, Revision, SortedMap};
use fleet::SoftwareVersion;
use serde::{Deserialize, Serialize};

/// Greatest age of a daemon's knowledge by which it relies on a [`VersionMix::Only`]. Streams begin at
/// other versions only later than this after the mix has changed.
pub const MAX_MIX_AGE: Duration = Duration::from_millis(2_000);

/// The software versions at which the streams of a service can have begun that clients may still take
/// up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionMix {
    /// All began at this version, recorded or not.
    Only(SoftwareVersion),
    /// All began at this version, but others will follow: each stream is recorded from now on.
    Opening(SoftwareVersion),
    /// They began at any version; only their records show which.
    Any,
}

impl VersionMix {
    /// Returns whether a stream may begin at a target of this version; `None` is one that can't be read.
    pub fn allows_begin(&self, version: Option<&SoftwareVersion>) -> bool {
        self.implied_version().is_none_or(|only| version == Some(only))
    }

    /// Returns the version of all streams, if there is only one.
    pub fn implied_version(&self) -> Option<&SoftwareVersion> {
        match self {
            VersionMix::Only(version) | VersionMix::Opening(version) => Some(version),
            VersionMix::Any => None,
        }
    }
}

impl fmt::Display for VersionMix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            VersionMix::Only(version) => write!(f, "only {version}"),
            VersionMix::Opening(version) => write!(f, "opening {version}"),
            VersionMix::Any => f.write_str("any"),
        }
    }
}

/// A service's [`VersionMix`] as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MixWire {
    /// Era of the store in which the value was written. A later era may lack what followed it.
    era: u64,
    state: MixStateWire,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    version: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum MixStateWire {
    Only,
    Opening,
    Any,
}

impl MixWire {
    /// Creates the form of a mix that is written in the given era of the store.
    pub fn new(mix: &VersionMix, era: u64) -> MixWire {
        let state = match mix {
            VersionMix::Only(_) => MixStateWire::Only,
            VersionMix::Opening(_) => MixStateWire::Opening,
            VersionMix::Any => MixStateWire::Any,
        };
        MixWire { era, state, version: mix.implied_version().map(ToString::to_string) }
    }

    /// Returns whether the value was written in this era of the store.
    pub fn is_of_era(&self, era: u64) -> bool {
        self.era == era
    }
}

impl TryFrom<MixWire> for VersionMix {
    type Error = ParseError;

    fn try_from(wire: MixWire) -> Result<VersionMix, ParseError> {
        let version = || wire.version.as_deref().unwrap_or_default().parse();
        Ok(match wire.state {
            MixStateWire::Only => VersionMix::Only(version()?),
            MixStateWire::Opening => VersionMix::Opening(version()?),
            MixStateWire::Any => VersionMix::Any,
        })
    }
}

/// The mixes of all services, as a daemon knows them.
///
/// A service without one may have streams of any version.
#[derive(Clone, Debug, Default)]
pub struct ServiceMixes {
    mixes: SortedMap<Name, (Option<VersionMix>, Revision)>,
}

impl ServiceMixes {
    /// Sets the mix of a service at a revision of the store; `None` if it was deleted, can't be read or
    /// is of an earlier era. Older information is ignored.
    pub fn set(&mut self, service: &Name, mix: Option<VersionMix>, revision: Revision) {
        if self.revision(service) <= revision {
            self.mixes.insert(service.clone(), (mix, revision));
        }
    }

    /// Removes the mixes of services that a snapshot of the store lacks.
    pub fn retain(&mut self, is_stored: impl Fn(&Name) -> bool) {
        self.mixes.retain(|service, _| is_stored(service));
    }

    /// Returns the mix of a service, if it is known.
    pub fn get(&self, service: &Name) -> Option<&VersionMix> {
        self.mixes.get(service)?.0.as_ref()
    }

    /// Returns the revision of the store at which the mix of a service was written; 0 if it never was.
    pub fn revision(&self, service: &Name) -> Revision {
        self.mixes.get(service).map_or(Revision(0), |(_, revision)| *revision)
    }

    /// Returns whether a stream of a service may begin at a target of this version.
    pub fn allows_begin(&self, service: &Name, version: Option<&SoftwareVersion>) -> bool {
        self.get(service).is_none_or(|mix| mix.allows_begin(version))
    }

    /// Returns whether streams of a service must be recorded.
    pub fn needs_records(&self, service: &Name) -> bool {
        !matches!(self.get(service), Some(VersionMix::Only(_)))
    }

    /// Returns the version at which all streams of a service have begun that a client can take up now,
    /// if there is only one by knowledge of this age. Otherwise the store must be asked.
    pub fn sole_version(&self, service: &Name, age: Duration) -> Option<&SoftwareVersion> {
        match self.get(service)? {
            VersionMix::Only(version) if age <= MAX_MIX_AGE => Some(version),
            VersionMix::Only(_) | VersionMix::Opening(_) | VersionMix::Any => None,
        }
    }
}
