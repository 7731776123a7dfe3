//! Targets of several software versions.

use base::Name;
use fleet::{SoftwareVersion, TargetPhase};
use origin::ServiceMixes;

use super::{TargetState, TargetTable};
use crate::request::{OpenRequest, VersionScope};

impl TargetTable {
    /// Returns the versions at which the streams of each service can have begun.
    pub fn mixes(&self) -> &ServiceMixes {
        &self.mixes
    }

    /// Returns the versions at which the streams of each service can have begun, mutably.
    pub fn mixes_mut(&mut self) -> &mut ServiceMixes {
        &mut self.mixes
    }

    /// Returns whether the software of a target fits a request: what the client has received, or, if
    /// that is nothing, the versions at which streams may begin at present.
    pub(crate) fn fits_version(&self, state: &TargetState, request: &OpenRequest) -> bool {
        let version = state.entry.version.as_ref();
        match &request.versions {
            VersionScope::Any if request.is_resumable() => {
                self.mixes.allows_begin(&request.service, version)
            }
            scope => scope.includes(version),
        }
    }

    /// Returns whether a target of a service with this version takes requests, or may do so soon.
    pub(crate) fn has_version(&self, service: &Name, version: &SoftwareVersion) -> bool {
        self.all_of_service(service).any(|state| {
            state.entry.version.as_ref() == Some(version)
                && state.entry.phase == TargetPhase::Ready
                && !self.has_evacuated(state)
        })
    }
}
