//! Keeps the configuration current and records operators' changes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use base::{ChangeId, ResultCode, Revision, SortedMap, Time};
use config::{Change, ChangeError, Draft, Object, Snapshot, Versioned};
use serde::{Deserialize, Serialize};

use crate::keys::{change_key, is_object_key, log_key, object_key, prefix_end};
use crate::{KeyValue, ProposalResult, StoreOp, StoreTxn, TxnOutcome, HEAD_KEY, LOG_PREFIX};

/// Changes kept for peers that are a little behind.
const TAIL_LENGTH: usize = 256;
/// How long a proposal is pursued.
const PROPOSAL_SPAN: Duration = Duration::from_secs(5);

/// The head as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HeadDoc {
    revision: Revision,
    change: ChangeId,
}

/// An operator's change that has no answer yet.
#[derive(Clone, Debug)]
struct Proposal {
    draft: Draft,
    until: Time,
    /// Whether a transaction may have taken effect unseen.
    uncertain: bool,
    change: Option<Change>,
}

/// A call to the service that a proposal needs.
#[derive(Clone, Debug)]
pub(crate) enum ProposalStep {
    Call(StoreOp),
    Done(ProposalResult),
}

/// The configuration of one daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigSync {
    snapshot: Arc<Snapshot>,
    known: bool,
    tail: VecDeque<Change>,
    fresh_at: Option<Time>,
    proposals: SortedMap<u64, Proposal>,
}

impl ConfigSync {
    pub(crate) fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns whether any configuration, even an empty one, was received.
    pub(crate) fn is_known(&self) -> bool {
        self.known
    }

    pub(crate) fn fresh_at(&self) -> Option<Time> {
        self.fresh_at
    }

    /// Notes that the configuration was the latest at `at`.
    pub(crate) fn confirm(&mut self, at: Time) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// Applies those of `changes` that follow the present revision, one after another, and
    /// returns how many did. Earlier ones are known already; later ones leave a gap.
    pub(crate) fn apply(&mut self, changes: &[Change]) -> usize {
        let mut applied = 0;
        for change in changes {
            let Ok(next) = self.snapshot.apply(change) else { continue };
            self.snapshot = Arc::new(next);
            self.known = true;
            self.tail.push_back(change.clone());
            if self.tail.len() > TAIL_LENGTH {
                self.tail.pop_front();
            }
            applied += 1;
        }
        applied
    }

    /// Takes a whole snapshot when it is later than the present one.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> bool {
        if self.known && snapshot.revision() <= self.snapshot.revision() {
            return false;
        }
        self.known = true;
        self.tail.clear();
        self.snapshot = Arc::new(snapshot);
        true
    }

    /// Takes the stored objects and head, which were read at one service revision.
    pub(crate) fn listed(&mut self, asked_at: Time, entries: &[KeyValue]) -> bool {
        let head = entries.iter().find(|entry| entry.key == HEAD_KEY).and_then(parse::<HeadDoc>);
        let (revision, change) = match head {
            Some(head) => (head.revision, Some(head.change)),
            None => (Revision(0), None),
        };
        let objects = entries.iter().filter(|entry| is_object_key(&entry.key));
        let objects: Vec<Versioned> = objects.filter_map(parse).collect();
        let installed = self.install(Snapshot::new(revision, change, objects));
        if self.snapshot.revision() == revision {
            self.confirm(asked_at);
        }
        installed
    }

    /// Takes a read of the head. Returns whether changes are missing.
    pub(crate) fn head_read(&mut self, asked_at: Time, head: Option<&KeyValue>) -> bool {
        let revision = head.and_then(parse::<HeadDoc>).map_or(Revision(0), |head| head.revision);
        // An older head is a lagging read and proves nothing.
        if revision == self.snapshot.revision() {
            self.confirm(asked_at);
        }
        revision > self.snapshot.revision()
    }

    /// Returns the changes from `from` on, if all are kept.
    pub(crate) fn changes_from(&self, from: Revision) -> Option<Vec<Change>> {
        let first = self.tail.front()?.revision;
        (from >= first)
            .then(|| self.tail.iter().filter(|change| change.revision >= from).cloned().collect())
    }

    /// Returns the call that reads the changes that follow the present revision.
    pub(crate) fn catch_up(&self) -> StoreOp {
        let from = log_key(Revision(self.snapshot.revision().0 + 1));
        StoreOp::Range(from, prefix_end(LOG_PREFIX))
    }

    /// Takes an operator's change and returns the first call that it needs.
    pub(crate) fn propose(&mut self, now: Time, token: u64, draft: Draft) -> StoreOp {
        let until = now + PROPOSAL_SPAN;
        let proposal = Proposal { draft, until, uncertain: false, change: None };
        self.proposals.insert(token, proposal);
        self.catch_up()
    }

    /// Takes the end of a log read for a proposal.
    pub(crate) fn caught_up(&mut self, now: Time, token: u64, read: bool) -> Option<ProposalStep> {
        let proposal = self.proposals.get_mut(&token)?;
        if !read {
            return self.give_up(now, token, "the key-value service does not answer");
        }
        let id = &proposal.draft.id;
        if let Some(change) = self.tail.iter().find(|change| change.id == *id).cloned() {
            let result = match proposal.uncertain {
                true => ProposalResult::Accepted(change),
                false => ProposalResult::Repeated(change.revision),
            };
            self.proposals.remove(&token);
            return Some(ProposalStep::Done(result));
        }
        match self.snapshot.plan(&proposal.draft) {
            Ok(change) => {
                let op = StoreOp::Txn(record_txn(&change));
                proposal.change = Some(change);
                Some(ProposalStep::Call(op))
            }
            // An earlier transmission may have made the revision that this one conflicts with.
            Err(_) if proposal.uncertain => Some(ProposalStep::Call(self.resolve(token)?)),
            Err(error) => Some(ProposalStep::Done(self.refuse(token, &error))),
        }
    }

    /// Takes the end of a proposal's transaction.
    pub(crate) fn recorded(
        &mut self,
        now: Time,
        token: u64,
        outcome: TxnOutcome,
    ) -> Option<ProposalStep> {
        let proposal = self.proposals.get_mut(&token)?;
        match outcome {
            TxnOutcome::Done(_) => {
                let change = proposal.change.clone()?;
                self.proposals.remove(&token);
                Some(ProposalStep::Done(ProposalResult::Accepted(change)))
            }
            TxnOutcome::Conflict => Some(ProposalStep::Call(self.resolve(token)?)),
            TxnOutcome::Unknown => {
                proposal.uncertain = true;
                Some(ProposalStep::Call(self.resolve(token)?))
            }
            TxnOutcome::NotSent => self.give_up(now, token, "the key-value service is down"),
        }
    }

    /// Takes a read of a change's own key: the revision that it made, if it was recorded.
    /// `None` means that the service did not answer.
    pub(crate) fn resolved(
        &mut self,
        now: Time,
        token: u64,
        read: Option<Option<&KeyValue>>,
    ) -> Option<ProposalStep> {
        let latest = self.snapshot.revision();
        let proposal = self.proposals.get_mut(&token)?;
        match read {
            Some(Some(entry)) => {
                let revision = parse::<Revision>(entry)?;
                let own = proposal.change.take().filter(|change| change.revision == revision);
                let result = match own.filter(|_| proposal.uncertain) {
                    Some(change) => ProposalResult::Accepted(change),
                    None => ProposalResult::Repeated(revision),
                };
                self.proposals.remove(&token);
                Some(ProposalStep::Done(result))
            }
            Some(None) if now < proposal.until => {
                // Once another change holds the revision that the lost transaction was to make,
                // that transaction can't take effect any more.
                let taken = |change: &Change| change.revision <= latest;
                proposal.uncertain &= !proposal.change.as_ref().is_some_and(taken);
                Some(ProposalStep::Call(self.catch_up()))
            }
            None if now < proposal.until => Some(ProposalStep::Call(self.resolve(token)?)),
            _ => self.give_up(now, token, "the change could not be recorded in time"),
        }
    }

    fn resolve(&mut self, token: u64) -> Option<StoreOp> {
        let proposal = self.proposals.get_mut(&token)?;
        Some(StoreOp::Read(change_key(&proposal.draft.id)))
    }

    fn give_up(&mut self, now: Time, token: u64, reason: &str) -> Option<ProposalStep> {
        let proposal = self.proposals.get(&token)?;
        if proposal.uncertain && now < proposal.until {
            return Some(ProposalStep::Call(self.resolve(token)?));
        }
        let code = match proposal.uncertain {
            true => ResultCode::ChangeUnknown,
            false => ResultCode::ChangeUnavailable,
        };
        self.proposals.remove(&token);
        Some(ProposalStep::Done(ProposalResult::Refused(code, reason.to_owned(), None)))
    }

    fn refuse(&mut self, token: u64, error: &ChangeError) -> ProposalResult {
        self.proposals.remove(&token);
        let (code, current) = match error {
            ChangeError::Conflict { key, .. } => {
                (ResultCode::ChangeConflict, self.snapshot.get(key).cloned())
            }
            ChangeError::Missing(_) => (ResultCode::ObjectMissing, None),
            ChangeError::Invalid { .. }
            | ChangeError::Empty
            | ChangeError::TooMany(_)
            | ChangeError::OutOfOrder { .. } => (ResultCode::ChangeInvalid, None),
        };
        ProposalResult::Refused(code, error.to_string(), current)
    }
}

/// Returns the transaction that records a change: the log entry of its revision must not exist,
/// and the change must not have been recorded under another revision.
fn record_txn(change: &Change) -> StoreTxn {
    let absent = Revision(0);
    let head = HeadDoc { revision: change.revision, change: change.id.clone() };
    let mut txn = StoreTxn::default()
        .expect(log_key(change.revision), absent)
        .expect(change_key(&change.id), absent)
        .put(log_key(change.revision), to_json(change))
        .put(change_key(&change.id), to_json(&change.revision))
        .put(HEAD_KEY, to_json(&head));
    for write in &change.writes {
        let key = object_key(&write.key);
        txn = match &write.after {
            Some(object) => txn.put(key, to_json(&versioned(change.revision, object))),
            None => txn.delete(key),
        };
    }
    txn
}

fn versioned(revision: Revision, object: &Object) -> Versioned {
    Versioned { revision, object: Arc::new(object.clone()) }
}

/// Parses the JSON value of an entry. Values written by others may have any form.
pub(crate) fn parse<T: serde::de::DeserializeOwned>(entry: &KeyValue) -> Option<T> {
    serde_json::from_slice(&entry.value).ok()
}

/// Serializes a value that has only string keys, which can't fail.
pub(crate) fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
