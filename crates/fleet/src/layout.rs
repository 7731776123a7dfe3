//! Routes, services and teams of one version of the operators' configuration.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use base::{ByteSize, KeyHash, ModelName, Name, ParseError, SortedMap, TeamName, TokenCount};
use limit::ColdSpec;
use serde::{Deserialize, Serialize};

/// The version of a layout. Later versions have larger numbers; numbers may be skipped.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LayoutVersion(pub u64);

impl fmt::Display for LayoutVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for LayoutVersion {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<LayoutVersion, ParseError> {
        let error = |_| ParseError::new("layout version", text, "an unsigned integer");
        text.parse().map(LayoutVersion).map_err(error)
    }
}

/// Whether the requests of a route may be repeated, and whether their answers are streamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Safe,
    /// A request may run at most once.
    Unsafe,
    /// The answer is a stream of events.
    Stream {
        /// Whether another target can continue the stream after the last received event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether running a request twice is harmless.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream that can be continued from any of its events.
    pub fn is_resumable(self) -> bool {
        matches!(self, RouteKind::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A service and its share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceWeight {
    /// Name of the service.
    pub service: Name,
    /// Share of the traffic, relative to the weights of the route's other services.
    pub weight: u32,
}

/// A route, which maps a host name and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// Name that is used in logs.
    pub name: String,
    /// Host name in lower case.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Longest time from a request to the end of its answer.
    pub timeout: Duration,
    /// Goal for the time to the answer, or to the first event of a stream; `None` if no goal is set.
    pub objective: Option<Duration>,
    /// Longest pause between two events of a stream that still counts as on time; `None` if it is not
    /// set.
    pub max_pause: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the traffic of the route.
    pub services: Vec<ServiceWeight>,
    /// Largest number of targets that one request may be sent to.
    pub attempts: u32,
    /// Whether requests are accepted without a key.
    pub allows_anonymous: bool,
}

impl RouteEntry {
    /// Creates a route that allows one attempt, for the service with the route's name.
    pub fn new(name: &str, host: &str, prefix: &str, kind: RouteKind) -> RouteEntry {
        let service = name.parse().ok();
        RouteEntry {
            name: name.to_owned(),
            host: host.to_ascii_lowercase(),
            prefix: prefix.to_owned(),
            kind,
            timeout: Duration::from_secs(30),
            objective: Some(Duration::from_secs(1)),
            max_pause: Some(Duration::from_millis(500)),
            priority: 0,
            services: service
                .map(|service| ServiceWeight { service, weight: 1 })
                .into_iter()
                .collect(),
            attempts: 1,
            allows_anonymous: false,
        }
    }

    /// Chooses a service by weight. `draw` is a random number, uniform over all values of `u64`.
    pub fn choose_service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|entry| u64::from(entry.weight)).sum();
        if total == 0 {
            return self.services.first().map(|entry| &entry.service);
        }
        let mut remaining = draw % total;
        for entry in &self.services {
            let weight = u64::from(entry.weight);
            if remaining < weight {
                return Some(&entry.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// A model that an engine can load.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Name of the model.
    pub name: ModelName,
    /// Memory of its weights, in megabytes.
    pub weight_mb: f64,
    /// Memory of one adapter, in megabytes.
    pub adapter_mb: f64,
    /// Duration of a load from the weight store at full speed.
    pub load_time: Duration,
    /// Duration of a load from the disk of the target's host.
    pub disk_load_time: Duration,
    /// Duration of a load from the memory of the target's host.
    pub memory_load_time: Duration,
}

/// The properties that all engines of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Largest number of requests that run concurrently.
    pub slots: u32,
    /// Number of tokens that fit into memory.
    pub token_capacity: TokenCount,
    /// Memory for weights and adapters, in megabytes.
    pub weight_mb: f64,
    /// Largest number of adapters that a target holds.
    pub max_adapters: usize,
    /// Loads from the weight store that may start per second, over all targets.
    pub loads_per_second: f64,
    /// Host memory for cached weights, in megabytes.
    pub host_mb: f64,
    /// Disk space for cached weights, in megabytes.
    pub disk_mb: f64,
    /// Models by name.
    pub models: SortedMap<ModelName, EngineModel>,
}

/// A service, to which targets belong.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: Name,
    /// Connections that one target accepts from all daemons together.
    pub max_connections: u32,
    /// Set if the targets of the service are model engines.
    pub engine: Option<EngineSpec>,
    /// Whether targets of the service are cold after a start.
    pub cold: ColdSetting,
}

/// Whether targets of a service are cold after a start, by the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ColdSetting {
    /// They are never cold.
    #[default]
    Never,
    /// A value can't be right, so that they count as never cold.
    Malformed,
    /// They are cold as specified.
    Set(ColdSpec),
}

impl ColdSetting {
    /// Returns the specification, if there is one.
    pub fn spec(self) -> Option<ColdSpec> {
        match self {
            ColdSetting::Set(spec) => Some(spec),
            ColdSetting::Never | ColdSetting::Malformed => None,
        }
    }
}

/// The rate limit of a team, which applies to all daemons of the fleet together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Tokens or requests that accrue per second.
    pub per_second: f64,
    /// Largest amount that can accrue, and so be spent at once.
    pub burst: f64,
    /// Whether the allowance counts tokens. Otherwise it counts requests.
    pub in_tokens: bool,
    /// Cost of a request without token counts, if the allowance counts tokens.
    pub default_cost: f64,
}

/// A team with its priority, allowance and keys.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamEntry {
    /// Name of the team.
    pub name: TeamName,
    /// Priority, compared before that of the route; 0 is the most urgent.
    pub priority: u8,
    /// Allowance; `None` means that the team is not limited.
    pub allowance: Option<Allowance>,
    /// Hashes of the team's keys.
    pub keys: Vec<KeyHash>,
}

/// Limits on what clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest size of a request head.
    pub head: ByteSize,
    /// Largest size of a request body.
    pub body: ByteSize,
    /// Longest time for receiving a request head.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits {
            head: ByteSize(16 << 10),
            body: ByteSize(4 << 20),
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the routes, services and teams of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetLayout {
    version: LayoutVersion,
    limits: ClientLimits,
    routes: SortedMap<(String, String), RouteEntry>,
    services: SortedMap<Name, ServiceEntry>,
    teams: SortedMap<TeamName, TeamEntry>,
    keys: SortedMap<KeyHash, TeamName>,
}

impl FleetLayout {
    /// Creates a builder for the layout with the given version.
    pub fn builder(version: u64) -> LayoutBuilder {
        LayoutBuilder {
            layout: FleetLayout {
                version: LayoutVersion(version),
                limits: ClientLimits::default(),
                routes: SortedMap::default(),
                services: SortedMap::default(),
                teams: SortedMap::default(),
                keys: SortedMap::default(),
            },
        }
    }

    /// Returns the shortest gap between events that a stream of any route to a service accepts.
    pub fn shortest_pause(&self, service: &Name) -> Option<Duration> {
        let leads_there =
            |route: &&RouteEntry| route.services.iter().any(|s| s.service == *service);
        let streams = self.routes.values().filter(|route| route.kind.is_stream());
        streams.filter(leads_there).filter_map(|route| route.max_pause).min()
    }

    /// Returns the version of the layout.
    pub fn version(&self) -> LayoutVersion {
        self.version
    }

    /// Returns the routes.
    pub fn routes(&self) -> impl Iterator<Item = &RouteEntry> {
        self.routes.values()
    }

    /// Returns the limits on what clients send.
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let host = host.to_ascii_lowercase();
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        for (at, _) in slashes {
            let prefix = &path[..=at];
            let matching = self.routes.range_by(|(h, p)| {
                h.as_str().cmp(host.as_str()).then_with(|| p.as_str().cmp(prefix))
            });
            if let Some((_, route)) = matching.first() {
                return Some(route);
            }
        }
        None
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &Name) -> Option<&ServiceEntry> {
        self.services.get(name)
    }

    /// Iterates over the services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.services.values()
    }

    /// Iterates over the teams.
    pub fn teams(&self) -> impl Iterator<Item = &TeamEntry> {
        self.teams.values()
    }

    /// Returns the team with the given name.
    pub fn team(&self, name: &TeamName) -> Option<&TeamEntry> {
        self.teams.get(name)
    }

    /// Returns the team to which a key belongs.
    pub fn team_of(&self, key: &KeyHash) -> Option<&TeamEntry> {
        self.keys.get(key).and_then(|name| self.teams.get(name))
    }

    /// Returns whether the layout has teams, so that requests need keys.
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }
}

/// Builds a [`FleetLayout`].
#[derive(Clone, Debug)]
pub struct LayoutBuilder {
    layout: FleetLayout,
}

impl LayoutBuilder {
    /// Sets the limits on what clients send.
    pub fn limits(mut self, limits: ClientLimits) -> Self {
        self.layout.limits = limits;
        self
    }

    /// Adds a route. It replaces one with the same host and prefix.
    pub fn route(mut self, route: RouteEntry) -> Self {
        self.layout.routes.insert((route.host.clone(), route.prefix.clone()), route);
        self
    }

    /// Sets all routes. Of several with the same host and prefix, the last one is used.
    pub fn routes(mut self, routes: impl IntoIterator<Item = RouteEntry>) -> Self {
        let entries = routes.into_iter().map(|r| ((r.host.clone(), r.prefix.clone()), r));
        self.layout.routes = entries.collect();
        self
    }

    /// Adds a service.
    pub fn service(mut self, service: ServiceEntry) -> Self {
        self.layout.services.insert(service.name.clone(), service);
        self
    }

    /// Adds a team and its keys.
    pub fn team(mut self, team: TeamEntry) -> Self {
        for key in &team.keys {
            self.layout.keys.insert(*key, team.name.clone());
        }
        self.layout.teams.insert(team.name.clone(), team);
        self
    }

    /// Returns the layout.
    pub fn build(self) -> FleetLayout {
        self.layout
    }
}
