//! The layout of keys in the key-value service.

use base::{ChangeId, DomainName, ModelName, Revision, TargetName, TeamName};
use config::ObjectKey;

/// Prefix of the current configuration: its objects and its head.
pub const CFG_PREFIX: &str = "/mangodeal/cfg/";
/// Key of the head, which holds the revision and identifier of the last change.
pub const HEAD_KEY: &str = "/mangodeal/cfg/head";
/// Prefix of all keys that daemons watch.
pub const LIVE_PREFIX: &str = "/mangodeal/live/";
/// Prefix of the change log, by revision.
pub const LOG_PREFIX: &str = "/mangodeal/live/log/";
/// Prefix of the rosters, by failure domain.
pub const ROSTER_PREFIX: &str = "/mangodeal/live/roster/";
/// Prefix of the placer records, by failure domain.
pub const PLACER_PREFIX: &str = "/mangodeal/live/placer/";
const OBJECT_PREFIX: &str = "/mangodeal/cfg/obj/";
const CHANGE_PREFIX: &str = "/mangodeal/change/";
const PLAN_PREFIX: &str = "/mangodeal/plan/";
const COPIES_PREFIX: &str = "/mangodeal/copies/";
const CLAIM_PREFIX: &str = "/mangodeal/claim/";

/// Encodes a name as one component of a key. Names may contain slashes, but no percent signs.
fn encode_component(name: &str) -> String {
    name.replace('/', "%")
}

/// Decodes a component of a key.
pub(crate) fn decode_component(text: &str) -> String {
    text.replace('%', "/")
}

/// Returns the first key after all keys that start with `prefix`.
pub(crate) fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.to_owned();
    // Every prefix ends with a slash, and '0' is the next character after it.
    end.pop();
    end.push('0');
    end
}

pub(crate) fn log_key(revision: Revision) -> String {
    format!("{LOG_PREFIX}{:016x}", revision.0)
}

pub(crate) fn change_key(id: &ChangeId) -> String {
    format!("{CHANGE_PREFIX}{}", encode_component(id.as_str()))
}

pub(crate) fn object_key(key: &ObjectKey) -> String {
    format!("{OBJECT_PREFIX}{}/{}", key.kind, encode_component(&key.name))
}

pub(crate) fn is_object_key(key: &str) -> bool {
    key.starts_with(OBJECT_PREFIX)
}

/// Returns the key of a failure domain's roster.
pub fn roster_key(domain: &DomainName) -> String {
    format!("{ROSTER_PREFIX}{}", encode_component(domain.as_str()))
}

/// Returns the key of a failure domain's placer record.
pub fn placer_key(domain: &DomainName) -> String {
    format!("{PLACER_PREFIX}{}", encode_component(domain.as_str()))
}

pub(crate) fn plan_prefix(domain: &DomainName) -> String {
    format!("{PLAN_PREFIX}{}/", encode_component(domain.as_str()))
}

/// Returns the key of a target's plan.
pub fn plan_key(domain: &DomainName, target: &TargetName) -> String {
    format!("{}{}", plan_prefix(domain), encode_component(target.as_str()))
}

/// Returns the key of a model's copy ledger.
pub fn copies_key(model: &ModelName) -> String {
    format!("{COPIES_PREFIX}{}", encode_component(model.as_str()))
}

/// Returns the key of the claim on an idempotency key with the given hash.
pub fn claim_key(team: &TeamName, hash: &str) -> String {
    format!("{CLAIM_PREFIX}{}/{hash}", encode_component(team.as_str()))
}
