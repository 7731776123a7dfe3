//! Messages between a daemon and the keeper of the ledger.

use std::time::Duration;

use base::TargetName;
use serde::{Deserialize, Serialize};

/// An engine that can serve a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "CandidateRow", into = "CandidateRow")]
pub struct PrefillCandidate {
    /// Engine.
    pub target: TargetName,
    /// Time that an engine of usual speed spends on the prompt, in milliseconds.
    pub work_ms: u32,
    /// What counts against the engine besides its queue, in milliseconds.
    pub penalty_ms: u32,
}

/// The compact form in messages.
type CandidateRow = (TargetName, u32, u32);

impl From<CandidateRow> for PrefillCandidate {
    fn from((target, work_ms, penalty_ms): CandidateRow) -> PrefillCandidate {
        PrefillCandidate { target, work_ms, penalty_ms }
    }
}

impl From<PrefillCandidate> for CandidateRow {
    fn from(candidate: PrefillCandidate) -> CandidateRow {
        (candidate.target, candidate.work_ms, candidate.penalty_ms)
    }
}

/// A request for prefill time on one of several engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillRequest {
    /// Engines that hold the model.
    pub candidates: Vec<PrefillCandidate>,
    /// Shortest gap between events that streams on these engines accept, in milliseconds.
    pub max_pause_ms: u32,
    /// Time left until the objective for the first event, in milliseconds; 0 if it has passed.
    pub objective_ms: u32,
    /// Time left until the client gives up, in milliseconds.
    pub patience_ms: u32,
}

impl PrefillRequest {
    pub(crate) fn max_pause(&self) -> Duration {
        Duration::from_millis(u64::from(self.max_pause_ms))
    }

    pub(crate) fn objective(&self) -> Duration {
        Duration::from_millis(u64::from(self.objective_ms))
    }

    pub(crate) fn patience(&self) -> Duration {
        Duration::from_millis(u64::from(self.patience_ms))
    }
}

/// The answer to a [`PrefillRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PrefillVerdict {
    /// The request should be sent to an engine after a wait. The engine's time is reserved.
    Send {
        /// Engine.
        target: TargetName,
        /// Time until the request should be sent, in milliseconds.
        wait_ms: u32,
    },
    /// More urgent requests go first. Nothing is reserved.
    AskAgain {
        /// Time until the next request for prefill time, in milliseconds.
        wait_ms: u32,
    },
    /// No engine can begin to answer before the client gives up. Nothing is reserved.
    Reject {
        /// Time until an engine has capacity, in milliseconds.
        wait_ms: u32,
    },
}
