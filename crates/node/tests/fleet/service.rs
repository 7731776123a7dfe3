//! The key-value service of the simulated fleet.

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
    /// Last lease of each host and incarnation.
    leases_by_owner: BTreeMap<(usize, u64), LeaseId>,
    next_lease: i64,
    pub is_down: bool,
    /// Number of transactions, from now on, whose answers are lost.
    pub answers_to_lose: u32,
    /// Delay of calls.
    pub delay: Duration,
    /// Whether the service was down at the last check for expired leases.
    had_outage: bool,
}

impl Service {
    pub fn new() -> Service {
        Service {
            revision: 1,
            keys: BTreeMap::new(),
            events: Vec::new(),
            leases: BTreeMap::new(),
            leases_by_owner: BTreeMap::new(),
            next_lease: 0,
            is_down: false,
            answers_to_lose: 0,
            delay: Duration::ZERO,
            had_outage: false,
        }
    }

    /// Executes a call.
    pub fn execute(&mut self, op: &StoreOp) -> Option<StoreResult> {
        if self.is_down {
            return Some(unanswered_result(op, true));
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
                // A put with an expired lease makes the whole transaction fail.
                let is_expired = |lease: &LeaseId| !self.leases.contains_key(lease);
                if txn.puts.iter().filter_map(|put| put.lease).any(|lease| is_expired(&lease)) {
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

    /// Expires leases and deletes their keys. No lease expires during an outage, and after it each
    /// lasts at least three more seconds.
    pub fn expire(&mut self, now: Time) {
        if self.is_down {
            self.had_outage = true;
            return;
        }
        if std::mem::take(&mut self.had_outage) {
            for until in self.leases.values_mut() {
                *until = (*until).max(now + Duration::from_secs(3));
            }
        }
        let expired: Vec<LeaseId> =
            self.leases.iter().filter(|(_, until)| **until <= now).map(|(id, _)| *id).collect();
        for lease in expired {
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

    /// Renews a process's lease or grants a new one. Returns the lease, and false if it replaces an
    /// expired one.
    pub fn renew_lease(&mut self, host: usize, incarnation: u64, until: Time) -> (LeaseId, bool) {
        let owner = (host, incarnation);
        if let Some(lease) = self.leases_by_owner.get(&owner).copied() {
            if let Some(expires_at) = self.leases.get_mut(&lease) {
                *expires_at = until;
                return (lease, true);
            }
        }
        let had_lease = self.leases_by_owner.contains_key(&owner);
        self.next_lease += 1;
        let lease = LeaseId(self.next_lease);
        self.leases_by_owner.insert(owner, lease);
        self.leases.insert(lease, until);
        (lease, !had_lease)
    }

    /// Returns the listing that a host reads before it watches.
    pub fn list(&self, asked_at: Time) -> ServiceEvent {
        let entries = |prefix: &str| {
            let matching = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
            matching.map(|(_, (entry, _))| entry.clone()).collect()
        };
        ServiceEvent::Listed {
            asked_at,
            config: entries(CFG_PREFIX),
            rosters: entries(ROSTER_PREFIX),
            placers: entries(PLACER_PREFIX),
        }
    }

    /// Returns the head of the configuration.
    pub fn head(&self) -> Option<KeyValue> {
        self.keys.get(HEAD_KEY).map(|(entry, _)| entry.clone())
    }

    /// Returns the watched changes after a service revision.
    pub fn events_after(&self, revision: u64) -> Vec<KeyEvent> {
        let is_live = |event: &KeyEvent| match event {
            KeyEvent::Put(entry) => entry.key.starts_with(LIVE_PREFIX),
            KeyEvent::Deleted(key, _) => key.starts_with(LIVE_PREFIX),
        };
        let first = self.events.partition_point(|(at, _)| *at <= revision);
        self.events[first..].iter().map(|(_, event)| event.clone()).filter(is_live).collect()
    }

    /// Returns the entries with keys from `from` (inclusive) to `to` (exclusive).
    pub fn range(&self, from: &str, to: &str) -> Vec<KeyValue> {
        let range = self.keys.range(from.to_owned()..to.to_owned());
        range.map(|(_, (entry, _))| entry.clone()).collect()
    }

    /// Returns whether a target's plan entry has a replica of the model, in any phase.
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

/// Returns the result of a call without an answer. `is_sent` says whether the call was sent.
pub fn unanswered_result(op: &StoreOp, is_sent: bool) -> StoreResult {
    match op {
        StoreOp::Txn(_) if is_sent => StoreResult::Txn(TxnOutcome::Unknown),
        StoreOp::Txn(_) => StoreResult::Txn(TxnOutcome::NotSent),
        StoreOp::Read(_) => StoreResult::Read(None),
        StoreOp::Range(..) => StoreResult::Range(None),
    }
}
