//! Crashes of targets, and the requests that were about to be answered.

use std::fmt;
use std::str::FromStr;

use base::{ParseError, TargetName, TeamName};

/// Most shared parts of a prompt that are considered.
pub const MAX_PARTS: usize = 16;

/// Identifier of a prompt part, written in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<PartId, ParseError> {
        let id = u64::from_str_radix(text, 16);
        id.map(PartId).map_err(|_| ParseError::new("prompt part", text, "a hexadecimal number"))
    }
}

/// One crash: the end of one process of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId {
    /// Target that crashed.
    pub target: TargetName,
    /// Start of the process that crashed, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.target, self.born_ms)
    }
}

/// What is known of a request that may have crashed a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectRequest {
    /// Team of the request; `None` if it has no key.
    pub team: Option<TeamName>,
    /// Parts of its prompt in order, without the last one.
    pub parts: Vec<PartId>,
}

impl SuspectRequest {
    /// Creates the request from all parts of its prompt.
    pub fn new(team: Option<TeamName>, prompt: impl Iterator<Item = PartId>) -> SuspectRequest {
        let mut parts: Vec<PartId> = prompt.collect();
        parts.pop();
        parts.truncate(MAX_PARTS);
        SuspectRequest { team, parts }
    }

    /// Returns whether the request's prompt holds all of the given parts.
    pub fn holds_all(&self, parts: &[PartId]) -> bool {
        parts.iter().all(|part| self.parts.contains(part))
    }
}
