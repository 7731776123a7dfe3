//! Shows what would be decided about a request now, without deciding it.

use std::time::Duration;

use base::{Name, TargetName, TeamName, Time, TokenCount};
use fleet::{ModelRef, PromptPart};
use serde::{Deserialize, Serialize};

use super::RequestDispatcher;
use crate::request::{Arrival, Refusal, Step};
use crate::targets::TargetState;

/// Reason of a wait for units of the team's allowance.
const ALLOWANCE: &str = "the team's allowance";

/// A request to preview. It names its team instead of a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PreviewQuery {
    /// Host name that the client asks for.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Team of the request; without one it is anonymous.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Model, or `MODEL/ADAPTER`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Number of prompt tokens, and the limit on output tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<(u32, u32)>,
    /// Identifiers of the prompt's parts, and their lengths in tokens.
    #[serde(default)]
    pub parts: Vec<(u64, u32)>,
    /// Remaining time that the client allows, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_left_ms: Option<u64>,
}

impl PreviewQuery {
    /// Returns the arrival of the request. `draw` selects the service of a route with several.
    ///
    /// # Errors
    ///
    /// Fails if the name of the model or of the adapter is invalid.
    pub fn to_arrival(&self, draw: u64) -> Result<Arrival, PreviewError> {
        let parse_model = |text: &String| {
            let error = |error: base::ParseError| PreviewError::InvalidModel(error.to_string());
            text.parse::<ModelRef>().map_err(error)
        };
        Ok(Arrival {
            model: self.model.as_ref().map(parse_model).transpose()?,
            tokens: self.tokens.map(|(prompt, output)| {
                (TokenCount(u64::from(prompt)), TokenCount(u64::from(output)))
            }),
            parts: self.parts.iter().map(to_part).collect(),
            time_left: self.time_left_ms.map(Duration::from_millis),
            draw,
            ..Arrival::new(&self.host, &self.path)
        })
    }
}

/// Why a request can't be previewed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PreviewError {
    /// The daemon has no configuration yet.
    #[error("the daemon has no configuration yet; try again when it is ready")]
    NoLayout,
    /// No route leads from the host and path.
    #[error("no route for host {host:?} and path {path:?}; routes: {routes}")]
    UnknownRoute {
        /// Host name of the query.
        host: String,
        /// Path of the query.
        path: String,
        /// Host names and path prefixes of all routes.
        routes: String,
    },
    /// The configuration has no team of this name.
    #[error("no team {name:?}; teams: {teams}")]
    UnknownTeam {
        /// Name in the query.
        name: String,
        /// Names of all teams.
        teams: String,
    },
    /// The name of the model is invalid.
    #[error("the model must have the form MODEL or MODEL/ADAPTER: {0}")]
    InvalidModel(String),
}

/// What would be decided about a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum PreviewVerdict {
    /// The request would be sent to a target.
    Send {
        /// Target.
        target: TargetName,
        /// Estimated time to the answer or its first event, in milliseconds.
        estimate_ms: u64,
    },
    /// The leader would be asked to load an adapter on a target first.
    Fetch {
        /// Target.
        target: TargetName,
        /// Model and adapter.
        model: String,
    },
    /// The leader would be asked for a permit to send the request to a limited or cold target.
    Permit {
        /// Target.
        target: TargetName,
    },
    /// The leader would be asked for prefill time on one of several engines.
    Reserve {
        /// Engines.
        targets: Vec<TargetName>,
    },
    /// The request would wait, and be decided about again after this time at the latest.
    Wait {
        /// Time in milliseconds.
        wait_ms: u64,
    },
    /// The request would be refused.
    Refuse {
        /// Result code.
        code: u16,
        /// Reason.
        reason: &'static str,
        /// Retry hint in milliseconds.
        retry_after_ms: Option<u64>,
    },
}

impl PreviewVerdict {
    /// Returns the verdict that a step at `now` stands for.
    pub fn new(now: Time, step: &Step) -> PreviewVerdict {
        match step {
            Step::Send(dispatch) => PreviewVerdict::Send {
                target: dispatch.target.clone(),
                estimate_ms: to_millis(dispatch.note.estimate),
            },
            Step::Fetch(target, subject) => {
                PreviewVerdict::Fetch { target: target.clone(), model: subject.to_string() }
            }
            Step::Permit(request) => {
                PreviewVerdict::Permit { target: request.statement.target.clone() }
            }
            Step::Reserve(request) => {
                let targets = request.candidates.iter().map(|c| c.target.clone());
                PreviewVerdict::Reserve { targets: targets.collect() }
            }
            Step::Wait(until) => PreviewVerdict::Wait { wait_ms: to_millis(until.since(now)) },
            Step::Refuse(refusal) => PreviewVerdict::refusal(*refusal),
        }
    }

    fn refusal(refusal: Refusal) -> PreviewVerdict {
        PreviewVerdict::Refuse {
            code: refusal.code.number(),
            reason: refusal.reason,
            retry_after_ms: refusal.retry_after.map(to_millis),
        }
    }
}

/// What counts for and against a target. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CandidatePreview {
    /// Target.
    pub target: TargetName,
    /// Whether the target is listed as ready, and neither paused, unreachable nor cut off.
    pub is_ready: bool,
    /// Whether it is in an evacuated domain.
    pub is_evacuated: bool,
    /// Whether it holds the model; `None` in services without engines.
    pub holds_model: Option<bool>,
    /// Whether it holds the adapter; `None` if the request names none.
    pub holds_adapter: Option<bool>,
    /// Whether it is avoided after failures.
    pub is_avoided: bool,
    /// Whether it is cold, so that requests need permits.
    pub is_cold: bool,
    /// Whether it has named a limit, so that requests need permits.
    pub is_limited: bool,
    /// Estimated time to the answer or its first event.
    pub estimate_ms: u64,
    /// What failures, silence and distance add to the estimate.
    pub penalty_ms: u64,
    /// Time until it has begun to answer the requests of this daemon.
    pub backlog_ms: u64,
    /// Its work for other daemons.
    pub other_work_ms: u64,
    /// Requests of this daemon on it.
    pub own_runs: usize,
    /// Requests of other daemons on it.
    pub other_runs: u32,
    /// Prompt tokens that it has probably cached.
    pub cached_tokens: u64,
    /// Factor by which its work takes longer than usual.
    pub slowdown: f64,
    /// Recent share of failed requests.
    pub failure_share: f64,
    /// Age of its entry in the list.
    pub listing_age_ms: u64,
    /// Age of its last statement of its load.
    pub load_age_ms: Option<u64>,
}

/// What would happen to a request now, and why.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestPreview {
    /// What would be decided.
    pub verdict: PreviewVerdict,
    /// What the request would wait for.
    pub waits_for: Option<&'static str>,
    /// What would be decided if the request waits for its team's allowance and had it now.
    pub verdict_if_granted: Option<PreviewVerdict>,
    /// Route of the request.
    pub route: String,
    /// Service that was chosen; `None` if the request would be refused before.
    pub service: Option<Name>,
    /// Version of the configuration.
    pub layout: u64,
    /// Time since the leader was last heard, in milliseconds.
    pub leader_heard_ms_ago: u64,
    /// All targets of the service, in order of their names.
    pub candidates: Vec<CandidatePreview>,
}

impl RequestDispatcher {
    /// Returns what would be decided about a request of a team now. The decision is made by a copy
    /// of the dispatcher, which is dropped, so that nothing changes. A condemned request can't be
    /// recognized by its content, which a preview doesn't have.
    ///
    /// # Errors
    ///
    /// Fails if the layout has no such team or no route for the request, or isn't known yet.
    pub fn preview(
        &self,
        now: Time,
        arrival: &Arrival,
        team: Option<&str>,
    ) -> Result<RequestPreview, PreviewError> {
        let layout = self.layout.clone().ok_or(PreviewError::NoLayout)?;
        let route = layout.route(&arrival.host, &arrival.path).ok_or_else(|| {
            let routes: Vec<String> =
                layout.routes().map(|route| format!("{}{}", route.host, route.prefix)).collect();
            let (host, path) = (arrival.host.clone(), arrival.path.clone());
            PreviewError::UnknownRoute { host, path, routes: routes.join(", ") }
        })?;
        let find_team = |name: &str| {
            let found = name.parse::<TeamName>().ok().and_then(|name| layout.team(&name));
            found.ok_or_else(|| {
                let teams: Vec<String> = layout.teams().map(|team| team.name.to_string()).collect();
                PreviewError::UnknownTeam { name: name.to_owned(), teams: teams.join(", ") }
            })
        };
        let team = team.map(find_team).transpose()?;
        let mut copy = self.clone();
        let mut preview = RequestPreview {
            verdict: PreviewVerdict::Wait { wait_ms: 0 },
            waits_for: None,
            verdict_if_granted: None,
            route: route.name.clone(),
            service: None,
            layout: layout.version().0,
            leader_heard_ms_ago: to_millis(now.since(self.leader_heard_at)),
            candidates: Vec::new(),
        };
        match copy.admit_for(now, arrival, &layout, team) {
            Err(refusal) => preview.verdict = PreviewVerdict::refusal(refusal),
            Ok(id) => {
                copy.targets.expire_other_load(now);
                preview.service = copy.requests.get(&id).map(|request| request.service.clone());
                preview.candidates = copy.candidates(now, id);
                preview.verdict = PreviewVerdict::new(now, &copy.step(now, id));
                if matches!(preview.verdict, PreviewVerdict::Wait { .. }) {
                    preview.waits_for = copy.wait_reason(now, id);
                }
                if preview.waits_for == Some(ALLOWANCE) {
                    if let Some(request) = copy.requests.get_mut(&id) {
                        request.is_charged = true;
                    }
                    preview.verdict_if_granted =
                        Some(PreviewVerdict::new(now, &copy.step(now, id)));
                }
            }
        }
        Ok(preview)
    }

    /// Returns what a request waits for after its first step.
    fn wait_reason(&self, now: Time, id: u64) -> Option<&'static str> {
        let request = self.requests.get(&id)?;
        let waits_for_load = |subject: &ModelRef| {
            let need = request.model_need(&subject.model);
            self.demand_table.waiting_since(&need, id).is_some()
        };
        Some(if self.awaits_trial(now, id, request) {
            "the answer to a request with the same suspected parts"
        } else if !request.is_charged {
            ALLOWANCE
        } else if request.model.as_ref().is_some_and(waits_for_load) {
            "a load of the model"
        } else {
            "a target that is cold, paused or limited"
        })
    }

    /// Returns what counts for and against each target of a request's service.
    fn candidates(&self, now: Time, id: u64) -> Vec<CandidatePreview> {
        let Some(request) = self.requests.get(&id) else { return Vec::new() };
        let subject = request.model.as_ref().filter(|_| self.has_engines(&request.service));
        let base = subject.map(|s| ModelRef { model: s.model.clone(), adapter: None });
        let adapted = subject.filter(|subject| subject.adapter.is_some());
        let usable: Vec<&TargetName> =
            self.targets.of_service(now, &request.service).map(|s| &s.entry.name).collect();
        let candidate = |state: &TargetState| {
            let name = &state.entry.name;
            let (estimate, cached) = match subject {
                Some(subject) => {
                    self.chooser.engine_estimate(now, request, subject, &self.targets, state)
                }
                None => (self.chooser.plain_estimate(now, request, &self.targets, state).0, 0),
            };
            let is_evacuated = self.targets.is_evacuated(name);
            CandidatePreview {
                target: name.clone(),
                is_ready: usable.contains(&name) || (is_evacuated && state.is_ready(now)),
                is_evacuated,
                holds_model: base.as_ref().map(|base| state.holds(now, base)),
                holds_adapter: adapted.map(|subject| state.holds(now, subject)),
                is_avoided: state.is_avoided(now),
                is_cold: self.targets.is_cold(now, name),
                is_limited: self.targets.limit(name).is_some(),
                estimate_ms: to_millis(estimate),
                penalty_ms: to_millis(self.chooser.penalty(now, state)),
                backlog_ms: to_millis(state.backlog(now)),
                other_work_ms: to_millis(state.other_work(now)),
                own_runs: state.run_count(),
                other_runs: state.other_runs(now),
                cached_tokens: cached,
                slowdown: state.slowdown(now),
                failure_share: state.failure_share(),
                listing_age_ms: to_millis(state.listing_age(now)),
                load_age_ms: state.load_age(now).map(to_millis),
            }
        };
        self.targets.all_of_service(&request.service).map(candidate).collect()
    }
}

fn to_part(&(id, tokens): &(u64, u32)) -> PromptPart {
    PromptPart { id, tokens: u64::from(tokens) }
}

fn to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
