//! The key-value service of the fuzzed fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use base::{Revision, Time};
use mango_node::{
    KeyEvent, KeyValue, LeaseId, ServiceEvent, StoreOp, StoreResult, TxnOutcome, CFG_PREFIX,
    HEAD_KEY, LIVE_PREFIX, PLACER_PREFIX, ROSTER_PREFIX,
};

pub struct Service {
    pub revision: u64,
    keys: BTreeMap<String, (KeyValue, Option<LeaseId>)>,
    events: Vec<(u64, KeyEvent)>,
    leases: BTreeMap<LeaseId, Time>,
    owners: BTreeMap<(usize, u64), LeaseId>,
    next_lease: i64,
    pub down: bool,
    pub lose: u32,
    pub delay: Duration,
    outage: bool,
}

impl Service {
    pub fn new() -> Service {
        Service {
            revision: 1,
            keys: BTreeMap::new(),
            events: Vec::new(),
            leases: BTreeMap::new(),
            owners: BTreeMap::new(),
            next_lease: 0,
            down: false,
            lose: 0,
            delay: Duration::ZERO,
            outage: false,
        }
    }

    pub fn execute(&mut self, op: &StoreOp) -> Option<StoreResult> {
        if self.down {
            return Some(no_answer(op, true));
        }
        Some(match op {
            StoreOp::Read(key) => {
                StoreResult::Read(Some(self.keys.get(key).map(|(entry, _)| entry.clone())))
            }
            StoreOp::Range(from, to) => StoreResult::Range(Some(self.range(from, to))),
            StoreOp::Txn(txn) => {
                let revision = |key: &String| self.keys.get(key).map_or(0, |(e, _)| e.revision.0);
                if !txn.compares.iter().all(|c| revision(&c.key) == c.revision.0) {
                    return Some(StoreResult::Txn(TxnOutcome::Conflict));
                }
                // A lease that ended can't be attached.
                let dead = |lease: &LeaseId| !self.leases.contains_key(lease);
                if txn.puts.iter().filter_map(|put| put.lease).any(|lease| dead(&lease)) {
                    return Some(StoreResult::Txn(TxnOutcome::Conflict));
                }
                self.revision += 1;
                for put in &txn.puts {
                    let revision = Revision(self.revision);
                    let entry =
                        KeyValue { key: put.key.clone(), value: put.value.clone(), revision };
                    self.events.push((self.revision, KeyEvent::Put(entry.clone())));
                    self.keys.insert(put.key.clone(), (entry, put.lease));
                }
                for key in &txn.deletes {
                    self.delete(key);
                }
                StoreResult::Txn(TxnOutcome::Done(Revision(self.revision)))
            }
        })
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let event = KeyEvent::Deleted(key.to_owned(), Revision(self.revision));
            self.events.push((self.revision, event));
        }
    }

    /// Ends the leases that ran out. During an outage none does, and afterwards each is renewed.
    pub fn expire(&mut self, now: Time) {
        if self.down {
            self.outage = true;
            return;
        }
        if std::mem::take(&mut self.outage) {
            for until in self.leases.values_mut() {
                *until = (*until).max(now + Duration::from_secs(3));
            }
        }
        let ended: Vec<LeaseId> =
            self.leases.iter().filter(|(_, until)| **until <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, (_, attached))| *attached == Some(lease))
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.revision += 1;
                self.delete(&key);
            }
        }
    }

    /// Renews a process's lease, or makes a new one and says that the former one ended.
    pub fn keep_lease(&mut self, host: usize, incarnation: u64, until: Time) -> (LeaseId, bool) {
        let owner = (host, incarnation);
        if let Some(lease) = self.owners.get(&owner).copied() {
            if let Some(known) = self.leases.get_mut(&lease) {
                *known = until;
                return (lease, true);
            }
        }
        let former = self.owners.contains_key(&owner);
        self.next_lease += 1;
        let lease = LeaseId(self.next_lease);
        self.owners.insert(owner, lease);
        self.leases.insert(lease, until);
        (lease, !former)
    }

    pub fn list(&self, asked_at: Time) -> ServiceEvent {
        let prefix = |prefix: &str| {
            let matching = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
            matching.map(|(_, (entry, _))| entry.clone()).collect()
        };
        ServiceEvent::Listed {
            asked_at,
            config: prefix(CFG_PREFIX),
            rosters: prefix(ROSTER_PREFIX),
            placers: prefix(PLACER_PREFIX),
        }
    }

    pub fn head(&self) -> Option<KeyValue> {
        self.keys.get(HEAD_KEY).map(|(entry, _)| entry.clone())
    }

    pub fn events_after(&self, revision: u64) -> Vec<KeyEvent> {
        let live = |event: &KeyEvent| match event {
            KeyEvent::Put(entry) => entry.key.starts_with(LIVE_PREFIX),
            KeyEvent::Deleted(key, _) => key.starts_with(LIVE_PREFIX),
        };
        let first = self.events.partition_point(|(at, _)| *at <= revision);
        self.events[first..].iter().map(|(_, event)| event.clone()).filter(live).collect()
    }

    pub fn range(&self, from: &str, to: &str) -> Vec<KeyValue> {
        let range = self.keys.range(from.to_owned()..to.to_owned());
        range.map(|(_, (entry, _))| entry.clone()).collect()
    }

    /// Returns whether a model is recorded on a target, in whatever phase.
    pub fn is_planned(&self, target: &str, model: &str) -> bool {
        let plans = self.keys.iter().filter(|(key, _)| key.starts_with("/mangodeal/plan/"));
        let mut plans = plans.filter(|(key, _)| key.ends_with(&format!("/{target}")));
        plans.any(|(_, (entry, _))| {
            let plan: serde_json::Value = serde_json::from_slice(&entry.value).unwrap();
            let replicas = plan.as_array().unwrap();
            replicas.iter().any(|pair| pair[0] == model)
        })
    }

    /// Returns the identifiers of all recorded changes.
    pub fn changes(&self) -> Vec<String> {
        let logged = self.keys.iter().filter(|(key, _)| key.starts_with("/mangodeal/live/log/"));
        let id = |value: &[u8]| {
            let change: config::Change = serde_json::from_slice(value).unwrap();
            change.id.to_string()
        };
        logged.map(|(_, (entry, _))| id(&entry.value)).collect()
    }
}

/// Returns the result of a call without an answer.
pub fn no_answer(op: &StoreOp, sent: bool) -> StoreResult {
    match op {
        StoreOp::Txn(_) if sent => StoreResult::Txn(TxnOutcome::Unknown),
        StoreOp::Txn(_) => StoreResult::Txn(TxnOutcome::NotSent),
        StoreOp::Read(_) => StoreResult::Read(None),
        StoreOp::Range(..) => StoreResult::Range(None),
    }
}
