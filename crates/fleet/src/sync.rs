//! Messages between a daemon and the leader.

use base::{ModelName, Name, Revision, TargetName, TeamName};
use serde::{Deserialize, Serialize};

use crate::{ChangeBatch, ModelRef, TargetDeparture};

/// What a daemon was asked for of one model since its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Model.
    pub model: ModelName,
    /// Requests that arrived.
    pub arrivals: u32,
    /// Prompt tokens of them.
    pub tokens: u64,
    /// Requests that wait because no target holds the model.
    pub waiting: u32,
    /// How long the oldest of them has waited, in milliseconds.
    pub oldest_ms: u64,
    /// Priority of the most urgent of them; 0 is first.
    pub priority: u8,
}

/// One request that waits for its team's allowance.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CostAsk {
    /// Tells the requests of one daemon apart.
    pub id: u64,
    /// What it costs.
    pub cost: f64,
    /// How much longer it may wait, in milliseconds.
    pub patience_ms: u64,
}

/// What a daemon needs of one team's allowance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamDraw {
    /// Team.
    pub team: TeamName,
    /// Requests that wait.
    pub asks: Vec<CostAsk>,
    /// What requests cost that arrived since the last draw.
    pub arrived: f64,
    /// What the next moments will need besides, by recent use.
    pub ahead: f64,
    /// What was granted before and isn't needed.
    pub returned: f64,
}

/// Requests of some daemons on one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "RunsRow", into = "RunsRow")]
pub struct TargetRuns {
    /// Target.
    pub target: TargetName,
    /// Requests on it.
    pub running: u32,
    /// Work that it has before it begins to answer the last of them, in milliseconds.
    pub pending_ms: u32,
}

/// The short form in messages: there are many.
type RunsRow = (TargetName, u32, u32);

impl From<RunsRow> for TargetRuns {
    fn from((target, running, pending_ms): RunsRow) -> TargetRuns {
        TargetRuns { target, running, pending_ms }
    }
}

impl From<TargetRuns> for RunsRow {
    fn from(runs: TargetRuns) -> RunsRow {
        (runs.target, runs.running, runs.pending_ms)
    }
}

/// A daemon's report to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncReport {
    /// Host of the daemon.
    pub host: Name,
    /// Tells the host's processes apart.
    pub incarnation: u64,
    /// Number of this report.
    pub number: u64,
    /// Number of the last report whose reply arrived.
    pub acknowledged: u64,
    /// Revision up to which the daemon knows the store.
    pub known: Revision,
    /// Demand by model.
    pub demand: Vec<ModelDemand>,
    /// Models and adapters that requests run on or were sent to, with their targets.
    pub used: Vec<(TargetName, ModelRef)>,
    /// Requests of this daemon by target.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub runs: Vec<TargetRuns>,
    /// Targets that this daemon finds dead.
    pub suspects: Vec<TargetName>,
    /// Targets whose own word that they leave this daemon has, as far as no leader has answered.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<TargetDeparture>,
    /// Needs by team.
    pub draws: Vec<TeamDraw>,
}

/// A part of a team's allowance, which a daemon may spend for a short time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamGrant {
    /// Team.
    pub team: TeamName,
    /// Requests that are paid for, with their costs.
    pub awards: Vec<(u64, f64)>,
    /// Requests that are not, with the time until they will be, in milliseconds. One that is told
    /// more than its patience is not kept in mind.
    pub waits: Vec<(u64, u64)>,
    /// Amount for the next requests.
    pub amount: f64,
    /// Time until what waits now will have accrued, in milliseconds; 0 when nothing waits.
    pub wait_ms: u64,
    /// What all daemons were asked for, as a part of the allowance.
    pub pressure: f64,
}

/// When a model that requests wait for will be ready.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelOutlook {
    /// Model.
    pub model: ModelName,
    /// Time until a target holds it, in milliseconds; `None` when the leader doesn't
    /// know the model.
    pub ready_ms: Option<u64>,
}

/// The leader's answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Fencing number of the leader's term.
    pub fence: u64,
    /// Number of the report that it answers.
    pub number: u64,
    /// Daemons that the leader knows of.
    pub seats: u32,
    /// Grants by team.
    pub grants: Vec<TeamGrant>,
    /// Outlooks for the models that the report's requests wait for.
    pub outlooks: Vec<ModelOutlook>,
    /// Requests of the other daemons on the busiest targets.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub busy: Vec<TargetRuns>,
    /// Replicas that finished loading a short time ago.
    pub held: Vec<(TargetName, ModelName)>,
    /// Replicas that are about to be unloaded.
    pub retiring: Vec<(TargetName, ModelName)>,
    /// Targets that leave by their own word, as other daemons have it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<TargetDeparture>,
    /// What the daemon lacks of the store, if the leader has all of it.
    pub changes: Option<ChangeBatch>,
}

/// Asks the leader for an adapter on a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdapterAsk {
    /// Target.
    pub target: TargetName,
    /// Adapter with its model.
    pub subject: ModelRef,
}

/// The leader's answer to an [`AdapterAsk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterReply {
    /// Whether the target holds the adapter now.
    pub ready: bool,
    /// Time after which it is worth asking again, in milliseconds, where the target is busy.
    pub wait_ms: Option<u64>,
}
