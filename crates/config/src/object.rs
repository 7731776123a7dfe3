//! The configuration objects that operators create.

use std::fmt;
use std::str::FromStr;

use base::{
    ByteSize, DomainName, KeyHash, Labels, ModelName, Name, ParseError, Selector, TargetName,
    TeamName, TokenCount, TokenRate,
};
use serde::{Deserialize, Serialize};

/// A team of callers, with its token allowance for the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamObject {
    /// Name of the team.
    pub name: TeamName,
    /// Labels that access selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Allowance in tokens per second.
    pub rate: TokenRate,
    /// Burst of the allowance: the most tokens that can be charged at once.
    pub burst: TokenCount,
    /// Weight in fair queueing; 1 when omitted.
    #[serde(default = "one")]
    pub weight: u32,
}

/// A caller's key, of which only the hash is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyObject {
    /// Name under which operators list and withdraw the key.
    pub name: Name,
    /// Team that the key authenticates.
    pub team: TeamName,
    /// Hash of the key.
    pub hash: KeyHash,
}

/// A base model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelObject {
    /// Name of the model, as callers use it.
    pub name: ModelName,
    /// Labels that access and placement selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Target memory that one replica occupies, in bytes.
    pub memory: ByteSize,
}

/// An adapter for a base model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterObject {
    /// Name of the adapter, as callers use it.
    pub name: ModelName,
    /// Labels that access selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Base model. The adapter is loaded only on targets that hold a replica of it.
    pub base: ModelName,
    /// Target memory that the adapter occupies in addition to its base model, in bytes.
    pub memory: ByteSize,
}

/// A rule that permits teams to use models.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccessObject {
    /// Name of the rule.
    pub name: Name,
    /// Teams that the rule permits.
    pub teams: Selector,
    /// Models and adapters that the rule permits.
    pub models: Selector,
}

/// A rule that states on which targets models may run, and in how many copies (replicas).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementObject {
    /// Name of the rule.
    pub name: Name,
    /// Base models to which the rule applies.
    pub models: Selector,
    /// Targets on which these models may run.
    pub targets: Selector,
    /// Maximum number of replicas of each model in the whole fleet.
    pub copies: u32,
}

/// The kind of server at a target's address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine.
    #[default]
    Engine,
    /// A plain service.
    Service,
}

/// A target: a model engine or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetObject {
    /// Name of the target.
    pub name: TargetName,
    /// Labels that placement and route selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Address of the target, as `ip:port`.
    pub address: Name,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Kind of the target. It is named `type` in JSON, where `kind` is the tag of the object.
    #[serde(default, rename = "type")]
    pub kind: TargetKind,
    /// Memory for replicas, in bytes; zero for a plain service.
    #[serde(default)]
    pub memory: ByteSize,
    /// Maximum number of concurrent requests from one daemon to the target.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the target refuses orders with an outdated fencing token.
    #[serde(default)]
    pub fencing: bool,
}

/// A route from a path prefix to plain services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteObject {
    /// Name of the route.
    pub name: Name,
    /// Path prefix, as in `/svc/stock/`. The rest of the path is passed on to the target.
    pub prefix: String,
    /// Teams that may use the route.
    #[serde(default)]
    pub teams: Selector,
    /// Targets that serve the route.
    pub targets: Selector,
    /// Whether callers without a key may use the route.
    #[serde(default)]
    pub open: bool,
    /// Whether a call can be retried on another target even if it may have run.
    #[serde(default)]
    pub idempotent: bool,
    /// Default deadline of a call, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Number of tokens charged for a call.
    #[serde(default)]
    pub cost: TokenCount,
}

fn one() -> u32 {
    1
}

fn default_slots() -> u32 {
    64
}

fn default_deadline_ms() -> u64 {
    10_000
}

macro_rules! objects {
    ($($kind:ident($type:ident) = $text:literal,)*) => {
        /// The kind of an object.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(rename_all = "lowercase")]
        pub enum Kind { $(#[doc = concat!("Objects of kind `", $text, "`.")] $kind,)* }

        impl Kind {
            /// All kinds.
            pub const ALL: &'static [Kind] = &[$(Kind::$kind),*];

            /// Returns the name of the kind, as used in URLs and files.
            pub fn as_str(self) -> &'static str {
                match self { $(Kind::$kind => $text,)* }
            }
        }

        /// An object of any kind. Its JSON form is tagged with the kind.
        #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(tag = "kind", rename_all = "lowercase")]
        pub enum Object { $(#[doc = concat!("An object of kind `", $text, "`.")] $kind($type),)* }

        impl Object {
            /// Returns the object's kind.
            pub fn kind(&self) -> Kind {
                match self { $(Object::$kind(_) => Kind::$kind,)* }
            }

            /// Returns the key under which the object is stored.
            pub fn key(&self) -> ObjectKey {
                match self {
                    $(Object::$kind(object) => {
                        ObjectKey { kind: Kind::$kind, name: object.name.to_string() }
                    })*
                }
            }
        }
    };
}

objects! {
    Team(TeamObject) = "team",
    Key(KeyObject) = "key",
    Model(ModelObject) = "model",
    Adapter(AdapterObject) = "adapter",
    Access(AccessObject) = "access",
    Placement(PlacementObject) = "placement",
    Target(TargetObject) = "target",
    Route(RouteObject) = "route",
}

impl FromStr for Kind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Kind, ParseError> {
        let expected = "team, key, model, adapter, access, placement, target or route";
        let found = Kind::ALL.iter().find(|kind| kind.as_str() == text);
        found.copied().ok_or_else(|| ParseError::new("kind", text, expected))
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The kind and name that identify an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object, unique within its kind.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}
