//! A request in the desk.

use std::net::SocketAddr;
use std::time::Duration;

use base::{KeyHash, Name, ResultCode, TargetName, TeamName, Time, TokenCount};
use fleet::{LayoutVersion, ModelRef, PromptPart, RouteEntry, TargetLoad};

use crate::record::PromptChain;

/// A request as it arrives.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Host that the client asked for.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Hash of the client's key.
    pub key: Option<KeyHash>,
    /// How long the client waits.
    pub time_left: Option<Duration>,
    /// Model or adapter.
    pub model: Option<ModelRef>,
    /// Prompt tokens and most output tokens.
    pub tokens: Option<(TokenCount, TokenCount)>,
    /// Parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// A uniform draw, the same for every daemon that gets the request.
    pub draw: u64,
}

impl Arrival {
    /// Creates an arrival without a key or a model.
    pub fn new(host: &str, path: &str) -> Arrival {
        Arrival { host: host.to_owned(), path: path.to_owned(), ..Arrival::default() }
    }
}

/// A final answer to a request that was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Result.
    pub code: ResultCode,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// What decided it, for the log.
    pub reason: &'static str,
}

impl Refusal {
    /// Creates a refusal that names no time to come back.
    pub fn new(code: ResultCode, reason: &'static str) -> Refusal {
        Refusal { code, retry_after: None, reason }
    }

    /// Sets the time to come back.
    pub fn after(mut self, span: Duration) -> Refusal {
        self.retry_after = Some(span);
        self
    }
}

/// What a choice was based on, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChoiceNote {
    /// Targets that could have been chosen.
    pub candidates: usize,
    /// Expected time to the answer or its first event.
    pub estimate: Duration,
    /// Prompt tokens that the target is thought to keep.
    pub kept_tokens: u64,
    /// Age of what is known of the target's holdings.
    pub listing_age: Duration,
}

/// A request to send to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Target.
    pub target: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// Team of the request.
    pub team: Option<TeamName>,
    /// Time that is left.
    pub time_left: Duration,
    /// Rank among the target's requests.
    pub urgency: Option<u8>,
    /// Whether a lost answer may be made up for by sending the request again.
    pub repeatable: bool,
    /// When to give this target up if nothing has arrived, because another one can still serve.
    pub patience: Option<Time>,
    /// Basis of the choice.
    pub note: ChoiceNote,
}

/// What to do next with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send it.
    Send(Box<Dispatch>),
    /// Ask the leader for an adapter on a target, then tell [`crate::Desk::fetched`].
    Fetch(TargetName, ModelRef),
    /// Ask again when something changed, and at this time at the latest.
    Wait(Time),
    /// Give it its final answer.
    Refuse(Refusal),
}

/// What came of a wish for an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchEnd {
    /// The target holds it.
    Ready,
    /// The target is busy for about this long.
    Busy(Duration),
    /// The target can't get it, or the leader was not reached.
    Failed,
}

/// How an attempt on a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte reached the target.
    NotSent,
    /// Nothing was sent: the decision was too old, or the target doesn't take requests any more.
    Withheld,
    /// The target states that it did not run the request: it is full.
    Full(Option<TargetLoad>),
    /// The target states that it did not run the request: it lacks the model or the adapter.
    Lacking,
    /// Another target has the address.
    Replaced,
    /// The connection failed after bytes were sent.
    Lost,
    /// Nothing arrived in time.
    Silent,
    /// The answer is cut short, malformed or another request's.
    Broken,
    /// The target itself failed the request.
    Failed,
    /// The answer arrived whole.
    Served,
    /// The caller left, or its deadline passed while the target was at work.
    Abandoned,
}

impl AttemptEnd {
    /// Returns whether the target surely did not run the request.
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

/// Where a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Waiting,
    Fetching(TargetName, ModelRef),
    Running(TargetName),
}

/// A request in the desk.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub(crate) route: RouteEntry,
    pub(crate) service: Name,
    pub(crate) team: Option<TeamName>,
    /// Key that it came with, and the layout by which that was judged last.
    pub(crate) key: Option<KeyHash>,
    pub(crate) judged_by: LayoutVersion,
    pub(crate) urgency: u8,
    pub(crate) cost: f64,
    pub(crate) paid: bool,
    /// Uniform over all values, and the same wherever the request arrives.
    pub(crate) draw: u64,
    pub(crate) model: Option<ModelRef>,
    pub(crate) chain: PromptChain,
    pub(crate) deadline: Time,
    /// By when a stream's first event, or another answer, must arrive: clients leave then.
    pub(crate) first_by: Time,
    /// Targets that bytes were sent to.
    pub(crate) tried: Vec<TargetName>,
    /// Transmissions, also those to the same target.
    pub(crate) sends: u32,
    pub(crate) fetches: u32,
    /// Targets that can't be given the adapter until a moment.
    pub(crate) failed_fetch: Vec<(TargetName, Time)>,
    /// Set when a target may have run it; it can't be refused as not run from then on.
    pub(crate) may_have_run: bool,
    pub(crate) last_end: Option<AttemptEnd>,
    pub(crate) stage: Stage,
}

impl Ticket {
    /// Returns whether a target may be sent to within the route's number of attempts.
    pub(crate) fn may_try(&self, target: &TargetName) -> bool {
        if self.tried.contains(target) {
            // The same target again only after it lacked an adapter that it was given since.
            return self.last_end == Some(AttemptEnd::Lacking);
        }
        self.has_attempts()
    }

    /// Returns whether another target may still be tried.
    pub(crate) fn has_attempts(&self) -> bool {
        // A route that allows no attempt could serve nothing.
        self.tried.len() < usize::try_from(self.route.attempts.max(1)).unwrap_or(usize::MAX)
    }

    /// Returns the refusal for a request that is given up, true to what is known of its run.
    pub(crate) fn give_up(
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
