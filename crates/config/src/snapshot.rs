//! Configuration snapshots: all objects at one revision.

use std::sync::Arc;

use base::{
    ByteSize, ChangeId, KeyHash, Labels, ModelName, Name, Revision, SortedMap, TargetName, TeamName,
};
use serde::{Deserialize, Serialize};

use crate::{
    Change, ChangeError, Draft, DraftItem, Kind, Object, ObjectKey, PlacementObject, RouteObject,
    TargetObject, TeamObject, Write,
};

/// Maximum number of replicas that a placement may allow.
const MAX_COPIES: u32 = 10_000;

/// Maximum number of objects in a change. A transaction of the key-value service holds 128
/// operations, and a change needs some of them for its own record.
const MAX_ITEMS: usize = 120;

/// An object with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// Revision of the last change.
    pub revision: Revision,
    /// The object.
    pub object: Arc<Object>,
}

/// The properties of a model or adapter that routing and placement need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Servable<'a> {
    /// Name that callers use.
    pub name: &'a ModelName,
    /// Labels of the model or adapter.
    pub labels: &'a Labels,
    /// Target memory that the model or adapter occupies, without its base model, in bytes.
    pub memory: ByteSize,
    /// Base model of an adapter; `None` for a base model.
    pub base: Option<&'a ModelName>,
}

/// All objects at one revision, with the indexes that requests use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    revision: Revision,
    last_change: Option<ChangeId>,
    objects: SortedMap<ObjectKey, Versioned>,
    teams_by_key: SortedMap<KeyHash, Vec<TeamName>>,
}

impl Snapshot {
    /// Creates a snapshot from the objects read at `revision`.
    pub fn new(
        revision: Revision,
        last_change: Option<ChangeId>,
        objects: impl IntoIterator<Item = Versioned>,
    ) -> Snapshot {
        let objects = objects.into_iter().map(|v| (v.object.key(), v)).collect();
        let teams_by_key = index_keys(&objects);
        Snapshot { revision, last_change, objects, teams_by_key }
    }

    /// Returns the revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the identifier of the change that created this revision.
    pub fn last_change(&self) -> Option<&ChangeId> {
        self.last_change.as_ref()
    }

    /// Iterates over all objects in the order of their keys.
    pub fn objects(&self) -> impl Iterator<Item = &Versioned> {
        self.objects.values()
    }

    /// Iterates over the objects of one kind.
    pub fn objects_of_kind(&self, kind: Kind) -> impl Iterator<Item = &Versioned> {
        self.objects.range_by(|key| key.kind.cmp(&kind)).iter().map(|(_, versioned)| versioned)
    }

    /// Returns the object stored under `key`.
    pub fn get(&self, key: &ObjectKey) -> Option<&Versioned> {
        self.objects.get(key)
    }

    /// Validates `draft` against this revision and returns the change to record.
    ///
    /// # Errors
    ///
    /// Fails when the draft is empty or too large, when an object is not at the revision on which
    /// the draft is based, when an object to delete does not exist, or when an object is invalid or
    /// refers to one that does not exist.
    pub fn plan(&self, draft: &Draft) -> Result<Change, ChangeError> {
        if draft.items.is_empty() {
            return Err(ChangeError::Empty);
        }
        if draft.items.len() > MAX_ITEMS {
            return Err(ChangeError::TooMany(draft.items.len()));
        }
        let writes: Vec<Write> =
            draft.items.iter().map(|item| self.plan_item(item)).collect::<Result<_, _>>()?;
        let change = Change {
            revision: Revision(self.revision.0 + 1),
            id: draft.id.clone(),
            actor: draft.actor.clone(),
            wall_ms: draft.wall_ms,
            writes,
        };
        let next = self.apply(&change)?;
        change.writes.iter().try_for_each(|write| next.check_write(write))?;
        Ok(change)
    }

    /// Returns the snapshot that results from applying `change` to this one.
    ///
    /// # Errors
    ///
    /// Fails when the change does not follow this revision.
    pub fn apply(&self, change: &Change) -> Result<Snapshot, ChangeError> {
        if change.revision.0 != self.revision.0 + 1 {
            let (change, snapshot) = (change.revision, self.revision);
            return Err(ChangeError::OutOfOrder { change, snapshot });
        }
        let mut objects = self.objects.clone();
        for write in &change.writes {
            match &write.after {
                Some(object) => {
                    let object = Arc::new(object.clone());
                    let versioned = Versioned { revision: change.revision, object };
                    objects.insert(write.key.clone(), versioned);
                }
                None => {
                    objects.remove(&write.key);
                }
            }
        }
        let changes_keys = change.writes.iter().any(|write| write.key.kind == Kind::Key);
        let teams_by_key =
            if changes_keys { index_keys(&objects) } else { self.teams_by_key.clone() };
        let last_change = Some(change.id.clone());
        Ok(Snapshot { revision: change.revision, last_change, objects, teams_by_key })
    }

    /// Returns the team that the key with this hash authenticates, if both key and team exist.
    pub fn team_of_key(&self, hash: &KeyHash) -> Option<&TeamName> {
        let teams = self.teams_by_key.get(hash)?;
        teams.iter().find(|team| self.team(team).is_some())
    }

    /// Returns the team called `name`.
    pub fn team(&self, name: &TeamName) -> Option<&TeamObject> {
        match self.object(Kind::Team, name.as_str())? {
            Object::Team(team) => Some(team),
            _ => None,
        }
    }

    /// Returns the target called `name`.
    pub fn target(&self, name: &TargetName) -> Option<&TargetObject> {
        match self.object(Kind::Target, name.as_str())? {
            Object::Target(target) => Some(target),
            _ => None,
        }
    }

    /// Iterates over the targets.
    pub fn targets(&self) -> impl Iterator<Item = &TargetObject> {
        self.objects_of_kind(Kind::Target).filter_map(|v| match &*v.object {
            Object::Target(target) => Some(target),
            _ => None,
        })
    }

    /// Iterates over the teams.
    pub fn teams(&self) -> impl Iterator<Item = &TeamObject> {
        self.objects_of_kind(Kind::Team).filter_map(|v| match &*v.object {
            Object::Team(team) => Some(team),
            _ => None,
        })
    }

    /// Returns the model or adapter called `name`.
    pub fn servable(&self, name: &ModelName) -> Option<Servable<'_>> {
        let object = self
            .object(Kind::Model, name.as_str())
            .or_else(|| self.object(Kind::Adapter, name.as_str()))?;
        to_servable(object)
    }

    /// Iterates over the models and adapters.
    pub fn servables(&self) -> impl Iterator<Item = Servable<'_>> {
        self.objects.values().filter_map(|v| to_servable(&v.object))
    }

    /// Returns whether `team` may use `model`.
    pub fn permits(&self, team: &TeamName, model: &ModelName) -> bool {
        let (Some(team), Some(model)) = (self.team(team), self.servable(model)) else {
            return false;
        };
        self.objects_of_kind(Kind::Access).any(|v| match &*v.object {
            Object::Access(rule) => {
                rule.teams.matches(&team.labels) && rule.models.matches(model.labels)
            }
            _ => false,
        })
    }

    /// Returns whether `team` may use `route`. `None` stands for a caller without a key.
    pub fn permits_route(&self, team: Option<&TeamName>, route: &RouteObject) -> bool {
        match team.and_then(|team| self.team(team)) {
            Some(team) => route.open || route.teams.matches(&team.labels),
            None => route.open && team.is_none(),
        }
    }

    /// Returns the maximum number of replicas of the base model `model` in the fleet: the largest
    /// number that a placement selecting it allows.
    pub fn max_copies(&self, model: &ModelName) -> u32 {
        self.placements(model).map(|rule| rule.copies).max().unwrap_or(0)
    }

    /// Returns whether a replica of the base model `model` may run on `target`.
    pub fn may_place(&self, model: &ModelName, target: &TargetObject) -> bool {
        target.kind == crate::TargetKind::Engine
            && self.placements(model).any(|rule| rule.targets.matches(&target.labels))
    }

    /// Returns the route whose prefix is the longest that `path` begins with.
    pub fn match_route(&self, path: &str) -> Option<&RouteObject> {
        let routes = self.objects_of_kind(Kind::Route).filter_map(|v| match &*v.object {
            Object::Route(route) => Some(route),
            _ => None,
        });
        routes.filter(|r| path.starts_with(&r.prefix)).max_by_key(|r| r.prefix.len())
    }

    /// Returns the route called `name`.
    pub fn route(&self, name: &Name) -> Option<&RouteObject> {
        match self.object(Kind::Route, name.as_str())? {
            Object::Route(route) => Some(route),
            _ => None,
        }
    }

    fn placements(&self, model: &ModelName) -> impl Iterator<Item = &PlacementObject> {
        let labels = self.servable(model).map(|model| model.labels.clone());
        self.objects_of_kind(Kind::Placement).filter_map(move |v| match &*v.object {
            Object::Placement(rule) => {
                labels.as_ref().is_some_and(|labels| rule.models.matches(labels)).then_some(rule)
            }
            _ => None,
        })
    }

    fn object(&self, kind: Kind, name: &str) -> Option<&Object> {
        self.objects.get(&ObjectKey { kind, name: name.to_owned() }).map(|v| &*v.object)
    }

    fn plan_item(&self, item: &DraftItem) -> Result<Write, ChangeError> {
        let key = item.key.clone();
        let before = self.objects.get(&key);
        let actual = before.map(|v| v.revision).unwrap_or_default();
        if let Some(expected) = item.based_on.filter(|expected| *expected != actual) {
            return Err(ChangeError::Conflict { key, expected, actual });
        }
        if item.object.is_none() && before.is_none() {
            return Err(ChangeError::Missing(key));
        }
        if item.object.as_ref().is_some_and(|object| object.key() != key) {
            let reason = "the object's kind or name differs from its key".to_owned();
            return Err(ChangeError::Invalid { key, reason });
        }
        let before = before.map(|v| (*v.object).clone());
        Ok(Write { key, before, after: item.object.clone() })
    }

    fn check_write(&self, write: &Write) -> Result<(), ChangeError> {
        let Some(object) = &write.after else { return Ok(()) };
        self.check_object(object)
            .map_err(|reason| ChangeError::Invalid { key: write.key.clone(), reason })
    }

    fn check_object(&self, object: &Object) -> Result<(), String> {
        let require =
            |is_valid: bool, reason: &str| if is_valid { Ok(()) } else { Err(reason.to_owned()) };
        let exists = |kind, name: &ModelName| self.object(kind, name.as_str()).is_some();
        match object {
            Object::Team(team) => {
                require(team.weight > 0, "weight must be at least 1")?;
                require(team.burst.0 > 0, "burst must be at least 1")
            }
            Object::Key(key) => require(self.team(&key.team).is_some(), "its team does not exist"),
            Object::Model(model) => {
                require(model.memory.0 > 0, "memory must be at least 1 byte")?;
                require(!exists(Kind::Adapter, &model.name), "an adapter has the same name")
            }
            Object::Adapter(adapter) => {
                require(exists(Kind::Model, &adapter.base), "its base model does not exist")?;
                require(!exists(Kind::Model, &adapter.name), "a model has the same name")
            }
            Object::Access(_) => Ok(()),
            Object::Placement(rule) => {
                require(rule.copies <= MAX_COPIES, "copies must be at most 10000")
            }
            Object::Target(target) => {
                let address = target.address.as_str().parse::<std::net::SocketAddr>();
                require(address.is_ok(), "address must have the form ip:port")?;
                require(target.slots > 0, "slots must be at least 1")
            }
            Object::Route(route) => {
                let is_valid_prefix = route.prefix.starts_with('/') && route.prefix.ends_with('/');
                require(is_valid_prefix, "prefix must begin and end with a slash")?;
                require(!route.prefix.starts_with("/v1/"), "prefix must not lie under /v1/")?;
                require(route.deadline_ms > 0, "deadline_ms must be at least 1")
            }
        }
    }
}

fn to_servable(object: &Object) -> Option<Servable<'_>> {
    match object {
        Object::Model(model) => Some(Servable {
            name: &model.name,
            labels: &model.labels,
            memory: model.memory,
            base: None,
        }),
        Object::Adapter(adapter) => Some(Servable {
            name: &adapter.name,
            labels: &adapter.labels,
            memory: adapter.memory,
            base: Some(&adapter.base),
        }),
        _ => None,
    }
}

fn index_keys(objects: &SortedMap<ObjectKey, Versioned>) -> SortedMap<KeyHash, Vec<TeamName>> {
    let mut index: SortedMap<KeyHash, Vec<TeamName>> = SortedMap::default();
    for versioned in objects.values() {
        if let Object::Key(key) = &*versioned.object {
            index.entry(key.hash, Vec::new).push(key.team.clone());
        }
    }
    index
}
