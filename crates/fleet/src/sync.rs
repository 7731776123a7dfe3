//! Messages between daemons and the leader.

use std::time::Duration;

use base::{ModelName, Name, Revision, TargetName, TeamName};
use limit::{ColdStatement, LimitStatement, PermitDenial, PermitUse};
use patch::{ValueDigest, ValuePatch};
use serde::{Deserialize, Serialize};

use crate::{
    ChangeBatch, LayoutVersion, LeaderlessShare, ModelRef, SoftwareVersion, TargetDeparture,
    TargetSlowdown,
};

/// A model that requests wait for, and the software version of the targets that may serve them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelNeed {
    /// Model that requests wait for.
    pub model: ModelName,
    /// Version at which the streams began that the requests continue; `None` if they continue none.
    pub version: Option<SoftwareVersion>,
}

impl ModelNeed {
    /// Returns whether a target of this version may serve the requests; `None` is a version that can't
    /// be read.
    pub fn is_met_by(&self, version: Option<&SoftwareVersion>) -> bool {
        self.version.as_ref().is_none_or(|needed| version == Some(needed))
    }
}

impl From<ModelName> for ModelNeed {
    fn from(model: ModelName) -> ModelNeed {
        ModelNeed { model, version: None }
    }
}

/// The demand for one model at a daemon since the daemon's last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Requested model.
    pub model: ModelName,
    /// Version at which the streams began that the waiting requests continue, if they continue any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SoftwareVersion>,
    /// Number of requests that arrived.
    pub arrivals: u32,
    /// Prompt tokens of these requests.
    pub tokens: u64,
    /// Number of requests that wait because no target holds the model.
    pub waiting: u32,
    /// Waiting time of the oldest waiting request, in milliseconds.
    pub oldest_ms: u64,
    /// Priority of the most urgent waiting request; 0 is the most urgent value.
    pub priority: u8,
}

impl ModelDemand {
    /// Returns what the waiting requests need.
    pub fn need(&self) -> ModelNeed {
        ModelNeed { model: self.model.clone(), version: self.version.clone() }
    }
}

/// The cost of one request that waits for its team's allowance.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AllowanceRequest {
    /// Identifier of the request, unique within the daemon.
    pub id: u64,
    /// Cost of the request, in units of the allowance.
    pub cost: f64,
    /// Remaining time that the request can wait, in milliseconds.
    pub patience_ms: u64,
}

/// The amount that a daemon needs from one team's allowance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamDraw {
    /// Team that is charged.
    pub team: TeamName,
    /// Requests that wait for the allowance.
    pub asks: Vec<AllowanceRequest>,
    /// Total cost of the requests that arrived since the last draw.
    pub arrived: f64,
    /// Further amount that will be needed soon, estimated from recent use.
    pub ahead: f64,
    /// Amount that was granted before and is returned unused.
    pub returned: f64,
    /// What the daemon spends without a leader; `None` in reports of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaderless: Option<LeaderlessState>,
}

/// What a daemon has spent and may spend of a team's allowance without a leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderlessState {
    /// Share that the daemon holds.
    pub share: LeaderlessShare,
    /// Amount that the daemon process has spent without a leader since its start.
    pub spent: f64,
    /// Mean cost of the daemon's recent requests.
    pub request_cost: f64,
}

/// The requests that one or more daemons are running on one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "RunsRow", into = "RunsRow")]
pub struct TargetOccupancy {
    /// Target that runs the requests.
    pub target: TargetName,
    /// Number of requests on the target.
    pub running: u32,
    /// Estimated time until the target starts to answer the last of them, in milliseconds.
    pub pending_ms: u32,
}

/// The compact form in messages, which may contain many of these entries.
type RunsRow = (TargetName, u32, u32);

impl From<RunsRow> for TargetOccupancy {
    fn from((target, running, pending_ms): RunsRow) -> TargetOccupancy {
        TargetOccupancy { target, running, pending_ms }
    }
}

impl From<TargetOccupancy> for RunsRow {
    fn from(occupancy: TargetOccupancy) -> RunsRow {
        (occupancy.target, occupancy.running, occupancy.pending_ms)
    }
}

/// A daemon's regular report to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncReport {
    /// Host on which the daemon runs.
    pub host: Name,
    /// Identifier of the daemon process among those of the host.
    pub incarnation: u64,
    /// Sequence number of this report.
    pub number: u64,
    /// Sequence number of the last report whose reply arrived.
    pub acknowledged: u64,
    /// Store revision up to which the daemon has all changes.
    pub known: Revision,
    /// Demand by model.
    pub demand: Vec<ModelDemand>,
    /// Models and adapters that requests use or were sent to, with their targets.
    pub used: Vec<(TargetName, ModelRef)>,
    /// This daemon's requests, by target.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub runs: Vec<TargetOccupancy>,
    /// Targets that this daemon considers dead.
    pub suspects: Vec<TargetName>,
    /// Targets that told this daemon that they are leaving. An entry is repeated until a leader
    /// replies.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<TargetDeparture>,
    /// Limits that targets named or ended. An entry is repeated until a leader replies.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitStatement>,
    /// Usual slowdowns of targets that have changed since this daemon last reported them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub slowdowns: Vec<(TargetName, TargetSlowdown)>,
    /// Targets that said in answers that they are cold. An entry is repeated until a leader replies.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cold: Vec<ColdStatement>,
    /// Needed amounts, by team.
    pub draws: Vec<TeamDraw>,
    /// Version of the daemon's layout; `None` before it has one, and in reports of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layout: Option<LayoutVersion>,
    /// Digest of the daemon's layout as the store has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layout_digest: Option<ValueDigest>,
}

/// A part of a team's allowance that a daemon may spend for a short time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamGrant {
    /// Team whose allowance is granted.
    pub team: TeamName,
    /// Requests whose cost is granted: the request's identifier and its cost.
    pub awards: Vec<(u64, f64)>,
    /// Requests whose cost is not granted yet: the request's identifier and the time until it will
    /// be, in milliseconds. If that time exceeds the request's patience, the leader removes the
    /// request from its queue.
    pub waits: Vec<(u64, u64)>,
    /// Amount for later requests.
    pub amount: f64,
    /// Time until the cost of all waiting requests has accrued, in milliseconds; 0 if none waits.
    pub wait_ms: u64,
    /// Demand at all daemons, as a fraction of the allowance.
    pub pressure: f64,
    /// What the daemon may spend without a leader from now on; `None` in replies of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<LeaderlessShare>,
}

/// The estimated time until a model that requests wait for is loaded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadEstimate {
    /// Model that requests wait for.
    pub model: ModelName,
    /// Version at which the streams began that these requests continue, if they continue any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SoftwareVersion>,
    /// Time until a target holds the model, in milliseconds; `None` if the leader doesn't know the
    /// model.
    pub ready_ms: Option<u64>,
}

impl LoadEstimate {
    /// Returns what the requests need for which the estimate is.
    pub fn need(&self) -> ModelNeed {
        ModelNeed { model: self.model.clone(), version: self.version.clone() }
    }
}

/// The leader's answer to a [`SyncReport`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Fencing token of the leader's term.
    pub fence: u64,
    /// Sequence number of the report that this reply answers.
    pub number: u64,
    /// Number of daemons that the leader knows.
    pub seats: u32,
    /// Granted amounts, by team.
    pub grants: Vec<TeamGrant>,
    /// Estimates for the models that the report's requests wait for.
    pub outlooks: Vec<LoadEstimate>,
    /// Requests of other daemons on the busiest targets.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub busy: Vec<TargetOccupancy>,
    /// Replicas that finished loading recently.
    pub held: Vec<(TargetName, ModelName)>,
    /// Replicas that are about to be unloaded.
    pub retiring: Vec<(TargetName, ModelName)>,
    /// Targets that told other daemons that they are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<TargetDeparture>,
    /// Limits of targets that the daemon may not know.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitStatement>,
    /// Cold targets that the daemon may not know.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cold: Vec<ColdStatement>,
    /// Store changes that the daemon lacks, if the leader has all of them.
    pub changes: Option<ChangeBatch>,
    /// Version of the leader's layout; `None` before it has one, while it may lack a change before the end
    /// of `changes`, and in replies of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layout: Option<LayoutVersion>,
    /// The leader's layout, for a daemon that has an older one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub layout_update: Option<LayoutUpdate>,
}

/// A layout, for a daemon that has stated an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayoutUpdate {
    /// Version of the layout.
    pub version: LayoutVersion,
    /// Revision at which the store has it, or a lower one.
    pub revision: Revision,
    /// Patches that lead to it from the layout that the receiver has stated. They are left out of the
    /// reply to a report if they are large: the receiver then asks for them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub patches: Vec<ValuePatch>,
}

/// A request to the leader or to another daemon for a later layout than the one that the sender has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayoutQuery {
    /// Version of the sender's layout.
    pub version: LayoutVersion,
    /// Digest of the sender's layout as the store has it, if the sender has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<ValueDigest>,
}

/// The answer to a [`LayoutQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayoutAnswer {
    /// Time since the answering daemon's layout was known to be the latest one, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
    /// Revision up to which the answering daemon knows all changes of the layout.
    pub covered: Revision,
    /// Whether the answering daemon, or one on which it relies, is checking the layout at the store.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_checking: bool,
    /// The answering daemon's layout, if it is later than the sender's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub update: Option<LayoutUpdate>,
}

/// A request to the leader to load an adapter on a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdapterRequest {
    /// Target that is to load the adapter.
    pub target: TargetName,
    /// Adapter and its model.
    pub subject: ModelRef,
}

/// The leader's answer to an [`AdapterRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterReply {
    /// Whether the target holds the adapter now.
    pub ready: bool,
    /// Time after which the daemon should ask again, in milliseconds, if the target is busy.
    pub wait_ms: Option<u64>,
}

/// A request for the whole layout, as earlier builds send and answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayoutRequest {
    /// Revision of the oldest layout that is of use.
    pub revision: Revision,
}

/// A request to the leader for a permit to send one request to a limited or cold target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// What the daemon knows of the limit.
    pub statement: LimitStatement,
    /// What the permit is for.
    pub purpose: PermitUse,
    /// How long the daemon believes the target to be cold, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdStatement>,
}

/// The leader's answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Fencing token of the leader's term.
    pub fence: u64,
    /// If no permit is issued, the time until the next one is available, in milliseconds.
    pub next_ms: Option<u64>,
    /// If no permit is issued, the time after which a caller should return, in milliseconds.
    pub hint_ms: u64,
}

impl PermitReply {
    /// Creates the answer in a leader's term.
    pub fn new(fence: u64, result: Result<(), PermitDenial>) -> PermitReply {
        // Rounded up, so that the permit is available when the daemon asks again.
        let millis = |span: Duration| u64::try_from(span.as_millis()).map_or(u64::MAX, |ms| ms + 1);
        match result {
            Ok(()) => PermitReply { fence, next_ms: None, hint_ms: 0 },
            Err(PermitDenial { next, hint }) => {
                PermitReply { fence, next_ms: Some(millis(next)), hint_ms: millis(hint) }
            }
        }
    }

    /// Returns whether a permit was issued.
    ///
    /// # Errors
    ///
    /// Returns when to ask again if none was issued.
    pub fn result(&self) -> Result<(), PermitDenial> {
        let hint = Duration::from_millis(self.hint_ms);
        self.next_ms
            .map_or(Ok(()), |ms| Err(PermitDenial { next: Duration::from_millis(ms), hint }))
    }
}
