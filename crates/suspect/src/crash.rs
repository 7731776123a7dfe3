//! Crashes of targets, and the requests that were about to be answered.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use base::{ParseError, TargetName, TeamName};

use crate::RequestDigest;

/// Most shared parts of a prompt that are considered.
pub const MAX_PARTS: usize = 16;
/// Starts the written form of a request among causes; no hexadecimal digit.
const REQUEST_MARK: char = 'r';

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

/// What may crash targets: one request that comes again, or a prompt part of different requests. Written as
/// the part's id, or as the request's digest after an `r`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CrashCause {
    /// A request.
    Request(RequestDigest),
    /// A prompt part.
    Part(PartId),
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CrashCause::Request(digest) => write!(f, "{REQUEST_MARK}{digest}"),
            CrashCause::Part(part) => part.fmt(f),
        }
    }
}

impl FromStr for CrashCause {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<CrashCause, ParseError> {
        match text.strip_prefix(REQUEST_MARK) {
            Some(digest) => digest.parse().map(CrashCause::Request),
            None => text.parse().map(CrashCause::Part),
        }
    }
}

/// A time of day in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Returns the time `span` earlier.
    pub fn before(self, span: Duration) -> UnixMillis {
        let span = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        UnixMillis(self.0.saturating_sub(span))
    }

    /// Returns the time `span` later.
    pub fn after(self, span: Duration) -> UnixMillis {
        let span = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        UnixMillis(self.0.saturating_add(span))
    }
}

impl fmt::Display for UnixMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for UnixMillis {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<UnixMillis, ParseError> {
        let ms = text.parse().map(UnixMillis);
        ms.map_err(|_| ParseError::new("time of day", text, "milliseconds since the Unix epoch"))
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
    /// Identity of the request.
    pub digest: RequestDigest,
    /// Parts of its prompt in order, without the last one; none for plain services.
    pub parts: Vec<PartId>,
}

impl SuspectRequest {
    /// Creates the request from all parts of its prompt.
    pub fn new(
        team: Option<TeamName>,
        digest: RequestDigest,
        prompt: impl Iterator<Item = PartId>,
    ) -> SuspectRequest {
        let mut parts: Vec<PartId> = prompt.collect();
        parts.pop();
        parts.truncate(MAX_PARTS);
        SuspectRequest { team, digest, parts }
    }

    /// Returns what may be the reason if the request crashes its target.
    pub fn causes(&self) -> impl Iterator<Item = CrashCause> + '_ {
        let parts = self.parts.iter().copied().map(CrashCause::Part);
        std::iter::once(CrashCause::Request(self.digest)).chain(parts)
    }

    /// Returns whether the request is the given one, or its prompt holds the given part.
    pub fn holds(&self, cause: CrashCause) -> bool {
        match cause {
            CrashCause::Request(digest) => self.digest == digest,
            CrashCause::Part(part) => self.parts.contains(&part),
        }
    }
}

/// The runs of a request that ended with the crash of their target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectRun {
    /// The request.
    pub request: SuspectRequest,
    /// When it was sent. Of several copies, the last one.
    pub sent_at: UnixMillis,
    /// Number of copies.
    pub copies: u32,
    /// Whether the request had been answered before, as far as the host knows.
    pub was_answered: bool,
}
