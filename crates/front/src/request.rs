//! Requests, from their arrival to their end.

use std::net::SocketAddr;
use std::time::Duration;

use base::{KeyHash, ModelName, Name, ResultCode, TargetName, TeamName, Time, TokenCount};
use fleet::{
    LayoutVersion, ModelNeed, ModelRef, PermitRequest, PromptPart, RouteEntry, SoftwareVersion,
    TargetEntry, TargetLoad,
};
use limit::{PermitDenial, PermitUse};
use origin::StreamOrigin;
use prefill::PrefillRequest;
use suspect::{ContentDigest, SuspectRequest};

use crate::record::PromptChain;

/// A request as it arrives.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Host name that the client asked for.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Hash of the client's API key.
    pub key: Option<KeyHash>,
    /// Remaining time that the client allows.
    pub time_left: Option<Duration>,
    /// Model, or model with an adapter.
    pub model: Option<ModelRef>,
    /// Number of prompt tokens, and the limit on output tokens.
    pub tokens: Option<(TokenCount, TokenCount)>,
    /// Parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// Digest of the method, path, query and body.
    pub content: ContentDigest,
    /// Uniformly distributed number, the same for every daemon that gets the request.
    pub draw: u64,
    /// Where the stream began that the request continues, if it does.
    pub origin: Option<StreamOrigin>,
}

impl Arrival {
    /// Creates an arrival without a key or a model.
    pub fn new(host: &str, path: &str) -> Arrival {
        Arrival { host: host.to_owned(), path: path.to_owned(), ..Arrival::default() }
    }
}

/// The final answer to a request that was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Result code.
    pub code: ResultCode,
    /// Retry hint.
    pub retry_after: Option<Duration>,
    /// Reason, for the log.
    pub reason: &'static str,
}

impl Refusal {
    /// Creates a refusal without a retry hint.
    pub fn new(code: ResultCode, reason: &'static str) -> Refusal {
        Refusal { code, retry_after: None, reason }
    }

    /// Sets the retry hint.
    pub fn after(mut self, span: Duration) -> Refusal {
        self.retry_after = Some(span);
        self
    }
}

/// The basis of a choice, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChoiceNote {
    /// Targets that could have been chosen.
    pub candidates: usize,
    /// Estimated time to the answer or its first event.
    pub estimate: Duration,
    /// Prompt tokens that the target has probably cached.
    pub kept_tokens: u64,
    /// Age of the listing of the target's holdings.
    pub listing_age: Duration,
    /// Factor by which the target's work took longer than usual, in percent.
    pub slowdown_percent: u32,
}

/// A request that is to be sent to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Target.
    pub target: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// Team of the request.
    pub team: Option<TeamName>,
    /// Remaining time.
    pub time_left: Duration,
    /// Priority among the target's requests; 0 is first.
    pub urgency: Option<u8>,
    /// Whether the request may be sent again if its answer is lost.
    pub repeatable: bool,
    /// When to abandon this target if nothing has arrived, because another one can still serve.
    pub reroute_at: Option<Time>,
    /// End of the permit that the request needs if its target is limited.
    pub send_by: Option<Time>,
    /// Version of the target's software; `None` if it can't be read.
    pub version: Option<SoftwareVersion>,
    /// Basis of the choice, for the log.
    pub note: ChoiceNote,
}

/// What to do next with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send the request to a target.
    Send(Box<Dispatch>),
    /// Ask the leader to load an adapter on a target, then call
    /// [`crate::RequestDispatcher::finish_fetch`].
    Fetch(TargetName, ModelRef),
    /// Ask the leader for a permit to send a request to a limited target, then call
    /// [`crate::RequestDispatcher::finish_permit`].
    Permit(Box<PermitRequest>),
    /// Ask the leader for prefill time on one of several engines, then call
    /// [`crate::RequestDispatcher::finish_reserve`].
    Reserve(Box<PrefillRequest>),
    /// Ask again when something has changed, and at this time at the latest.
    Wait(Time),
    /// Give the caller this final answer.
    Refuse(Refusal),
}

/// The result of a request for an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchEnd {
    /// The target holds the adapter.
    Ready,
    /// The target is busy for about this long.
    Busy(Duration),
    /// The target can't load it, or the leader was not reached.
    Failed,
}

/// The result of a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitEnd {
    /// The request may be sent.
    Issued,
    /// No permit is available.
    Denied(PermitDenial),
    /// The leader was not reached.
    Failed,
}

/// How an attempt on a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte reached the target.
    NotSent,
    /// Nothing was sent: the decision was too old, or the target no longer takes requests.
    Withheld,
    /// The target states that it did not run the request because it is full.
    Full(Option<TargetLoad>),
    /// The target states that it did not run the request because it lacks the model or the adapter.
    Lacking,
    /// Another target has taken the address.
    Replaced,
    /// The connection failed after bytes were sent.
    Lost,
    /// Nothing arrived in time.
    Silent,
    /// The answer is cut short, malformed or belongs to another request.
    Broken,
    /// The target's process ended when it was about to begin to answer.
    Crashed,
    /// The target itself failed to serve the request.
    Failed,
    /// The answer arrived completely.
    Served,
    /// The caller disconnected, or its deadline passed while the target was at work.
    Abandoned,
}

impl AttemptEnd {
    /// Returns whether the target certainly did not run the request.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            AttemptEnd::NotSent
                | AttemptEnd::Withheld
                | AttemptEnd::Full(_)
                | AttemptEnd::Lacking
                | AttemptEnd::Replaced
        )
    }
}

/// The stage of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestStage {
    Waiting,
    Fetching(TargetName, ModelRef),
    AwaitingPermit(TargetName, PermitUse),
    AwaitingPrefill,
    Running(TargetName),
}

/// How far the reservation of a request's prefill time has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum PrefillState {
    /// The leader hasn't been asked, or should be asked again.
    #[default]
    Unasked,
    /// The leader should be asked again at this time.
    AskFrom(Time),
    /// The request should be sent to a target at this time.
    Reserved(TargetName, Time),
    /// No engine can answer in time; there will be capacity after this span.
    Rejected(Duration),
    /// The daemon chooses by itself, because the leader didn't answer.
    Unscheduled,
}

/// Software versions of the targets that may serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum VersionScope {
    /// The client has received nothing that the rest must fit.
    #[default]
    Any,
    /// The client has received events from a target of this version; `None` if it can't be read.
    Only(Option<SoftwareVersion>),
}

impl VersionScope {
    /// Returns whether a target of this version may serve the request. An unreadable version fits
    /// nothing, not even another unreadable one.
    pub(crate) fn includes(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            VersionScope::Any => true,
            VersionScope::Only(begun) => begun.is_some() && begun.as_ref() == version,
        }
    }
}

/// An open request.
#[derive(Clone, Debug)]
pub(crate) struct OpenRequest {
    pub(crate) route: RouteEntry,
    pub(crate) service: Name,
    pub(crate) team: Option<TeamName>,
    /// Key of the request, and the version of the layout that it was last checked against.
    pub(crate) key: Option<KeyHash>,
    pub(crate) checked_version: LayoutVersion,
    pub(crate) urgency: u8,
    pub(crate) cost: f64,
    pub(crate) is_charged: bool,
    /// Uniformly distributed over all values, and the same on every daemon.
    pub(crate) draw: u64,
    pub(crate) model: Option<ModelRef>,
    pub(crate) chain: PromptChain,
    /// Identity and shared prompt parts, which may be suspected when a target crashes.
    pub(crate) suspect: SuspectRequest,
    /// Whether another target may be tried after the last one crashed.
    pub(crate) is_cleared: bool,
    pub(crate) admitted_at: Time,
    pub(crate) deadline: Time,
    /// When the first event of a stream, or any other answer, must arrive: clients leave then.
    pub(crate) first_event_by: Time,
    /// Targets that bytes were sent to.
    pub(crate) tried: Vec<TargetName>,
    /// Version of the target that the request was last sent to.
    pub(crate) sent_version: Option<SoftwareVersion>,
    pub(crate) versions: VersionScope,
    /// Number of sends, including those to the same target.
    pub(crate) sends: u32,
    pub(crate) fetches: u32,
    /// Limited target that the request may be sent to, and the end of that permit.
    pub(crate) permit: Option<(TargetName, Time)>,
    /// Number of permits that were asked for.
    pub(crate) permit_asks: u32,
    /// Prefill time that the leader has reserved for the request.
    pub(crate) prefill: PrefillState,
    /// Reservations whose engines could not be used any more.
    pub(crate) lost_reservations: u32,
    /// Targets for which a fetch of the adapter failed, with the time until which they are skipped.
    pub(crate) failed_fetches: Vec<(TargetName, Time)>,
    /// Set when a target may have run the request. From then on it can't be refused as not run.
    pub(crate) may_have_run: bool,
    pub(crate) last_end: Option<AttemptEnd>,
    pub(crate) stage: RequestStage,
}

impl OpenRequest {
    /// Returns whether the request may be sent to a target within the route's number of attempts, and
    /// whether the target's software fits what the client has received.
    pub(crate) fn may_try(&self, entry: &TargetEntry) -> bool {
        self.versions.includes(entry.version.as_ref()) && self.has_attempt_for(&entry.name)
    }

    /// Returns what the request needs while it waits for a load of its model.
    pub(crate) fn model_need(&self, model: &ModelName) -> ModelNeed {
        let version = match &self.versions {
            VersionScope::Any => None,
            VersionScope::Only(version) => version.clone(),
        };
        ModelNeed { model: model.clone(), version }
    }

    fn has_attempt_for(&self, target: &TargetName) -> bool {
        if matches!(&self.prefill, PrefillState::Reserved(reserved, _) if reserved != target) {
            return false;
        }
        if self.tried.contains(target) {
            // The same target is tried again only after it lacked an adapter that it has been given
            // since.
            return self.last_end == Some(AttemptEnd::Lacking);
        }
        self.has_attempts()
    }

    /// Returns whether the request's answer is a stream that its client may take up with another request.
    pub(crate) fn is_resumable(&self) -> bool {
        self.route.kind.is_resumable()
    }

    /// Returns the end of the request's permit for a target, if it has one that is valid.
    pub(crate) fn permit_end(&self, now: Time, target: &TargetName) -> Option<Time> {
        let (permitted, end) = self.permit.as_ref()?;
        (permitted == target && now < *end).then_some(*end)
    }

    /// Returns whether another target may still be tried.
    pub(crate) fn has_attempts(&self) -> bool {
        // A route that allows no attempt could serve nothing, so at least one is made.
        self.tried.len() < usize::try_from(self.route.attempts.max(1)).unwrap_or(usize::MAX)
    }

    /// Returns a refusal whose code takes into account whether the request may have run.
    pub(crate) fn to_refusal(
        &self,
        not_run: ResultCode,
        retry_after: Duration,
        reason: &'static str,
    ) -> Refusal {
        if !self.may_have_run {
            return Refusal::new(not_run, reason).after(retry_after);
        }
        let code = match self.last_end {
            Some(AttemptEnd::Silent) => ResultCode::TargetTimeout,
            Some(AttemptEnd::Broken) => ResultCode::BrokenAnswer,
            _ => ResultCode::OutcomeUnknown,
        };
        Refusal::new(code, reason)
    }
}
