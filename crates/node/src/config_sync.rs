//! Synchronizes the configuration and records the changes that operators propose.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use base::{ChangeId, ResultCode, Revision, SortedMap, Time};
use config::{Change, ChangeError, Draft, Object, Snapshot, Versioned};
use serde::{Deserialize, Serialize};

use crate::keys::{change_key, is_object_key, log_key, object_key, prefix_end};
use crate::{KeyValue, ProposalResult, StoreOp, StoreTxn, TxnOutcome, HEAD_KEY, LOG_PREFIX};

/// Maximum number of recent changes kept for peers that are slightly behind.
const MAX_RECENT_CHANGES: usize = 256;
/// How long to keep trying to record a proposal.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// The stored head of the configuration: the revision and identifier of the last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HeadDoc {
    revision: Revision,
    change: ChangeId,
}

/// A change proposed by an operator that has no answer yet.
#[derive(Clone, Debug)]
struct Proposal {
    draft: Draft,
    expires_at: Time,
    /// Whether a transaction of this proposal may have taken effect although its answer was lost.
    is_uncertain: bool,
    change: Option<Change>,
}

/// The next step of a proposal: a call to the service, or its result.
#[derive(Clone, Debug)]
pub(crate) enum ProposalStep {
    Call(StoreOp),
    Done(ProposalResult),
}

/// The configuration of one daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigSync {
    snapshot: Arc<Snapshot>,
    is_known: bool,
    recent_changes: VecDeque<Change>,
    fresh_at: Option<Time>,
    proposals: SortedMap<u64, Proposal>,
}

impl ConfigSync {
    pub(crate) fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns whether a configuration was received, which may be empty.
    pub(crate) fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns the latest time at which the configuration was confirmed as current.
    pub(crate) fn fresh_at(&self) -> Option<Time> {
        self.fresh_at
    }

    /// Records that the configuration was current at `at`.
    pub(crate) fn confirm(&mut self, at: Time) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// Applies each change that directly follows the current revision, in order, and returns how
    /// many were applied. Changes that are already applied or come after a gap are skipped.
    pub(crate) fn apply(&mut self, changes: &[Change]) -> usize {
        let mut applied = 0;
        for change in changes {
            let Ok(next) = self.snapshot.apply(change) else { continue };
            self.snapshot = Arc::new(next);
            self.is_known = true;
            self.recent_changes.push_back(change.clone());
            if self.recent_changes.len() > MAX_RECENT_CHANGES {
                self.recent_changes.pop_front();
            }
            applied += 1;
        }
        applied
    }

    /// Installs a snapshot if it is later than the current one. Returns whether it was installed.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> bool {
        if self.is_known && snapshot.revision() <= self.snapshot.revision() {
            return false;
        }
        self.is_known = true;
        self.recent_changes.clear();
        self.snapshot = Arc::new(snapshot);
        true
    }

    /// Installs the stored objects and head, which must be read at a single service revision.
    /// Returns whether they are later than the current snapshot.
    pub(crate) fn install_listing(&mut self, asked_at: Time, entries: &[KeyValue]) -> bool {
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

    /// Handles a read of the head. Returns whether changes are missing.
    pub(crate) fn handle_head_read(&mut self, asked_at: Time, head: Option<&KeyValue>) -> bool {
        let revision = head.and_then(parse::<HeadDoc>).map_or(Revision(0), |head| head.revision);
        // An older head comes from a stale read and does not confirm anything.
        if revision == self.snapshot.revision() {
            self.confirm(asked_at);
        }
        revision > self.snapshot.revision()
    }

    /// Returns the changes from revision `from` on, or `None` if some are no longer kept.
    pub(crate) fn changes_from(&self, from: Revision) -> Option<Vec<Change>> {
        let first = self.recent_changes.front()?.revision;
        (from >= first).then(|| {
            self.recent_changes.iter().filter(|change| change.revision >= from).cloned().collect()
        })
    }

    /// Returns the call that reads the changes after the current revision.
    pub(crate) fn catch_up_op(&self) -> StoreOp {
        let from = log_key(Revision(self.snapshot.revision().0 + 1));
        StoreOp::Range(from, prefix_end(LOG_PREFIX))
    }

    /// Starts a proposal and returns its first call, which reads the change log.
    pub(crate) fn propose(&mut self, now: Time, proposal_id: u64, draft: Draft) -> StoreOp {
        let expires_at = now + PROPOSAL_TIMEOUT;
        let proposal = Proposal { draft, expires_at, is_uncertain: false, change: None };
        self.proposals.insert(proposal_id, proposal);
        self.catch_up_op()
    }

    /// Handles the end of a proposal's log read, whose changes must be applied already.
    pub(crate) fn handle_log_read(
        &mut self,
        now: Time,
        proposal_id: u64,
        has_answer: bool,
    ) -> Option<ProposalStep> {
        let proposal = self.proposals.get_mut(&proposal_id)?;
        if !has_answer {
            return self.fail_or_resolve(now, proposal_id, "the key-value service does not answer");
        }
        let id = &proposal.draft.id;
        if let Some(change) = self.recent_changes.iter().find(|change| change.id == *id).cloned() {
            let result = match proposal.is_uncertain {
                true => ProposalResult::Accepted(change),
                false => ProposalResult::Repeated(change.revision),
            };
            self.proposals.remove(&proposal_id);
            return Some(ProposalStep::Done(result));
        }
        match self.snapshot.plan(&proposal.draft) {
            Ok(change) => {
                let op = StoreOp::Txn(record_txn(&change));
                proposal.change = Some(change);
                Some(ProposalStep::Call(op))
            }
            // The conflicting revision may come from an earlier transaction of this proposal.
            Err(_) if proposal.is_uncertain => {
                Some(ProposalStep::Call(self.read_change_op(proposal_id)?))
            }
            Err(error) => Some(ProposalStep::Done(self.refuse(proposal_id, &error))),
        }
    }

    /// Handles the end of a proposal's transaction.
    pub(crate) fn handle_txn_outcome(
        &mut self,
        now: Time,
        proposal_id: u64,
        outcome: TxnOutcome,
    ) -> Option<ProposalStep> {
        let proposal = self.proposals.get_mut(&proposal_id)?;
        match outcome {
            TxnOutcome::Done(_) => {
                let change = proposal.change.clone()?;
                self.proposals.remove(&proposal_id);
                Some(ProposalStep::Done(ProposalResult::Accepted(change)))
            }
            TxnOutcome::Conflict => Some(ProposalStep::Call(self.read_change_op(proposal_id)?)),
            TxnOutcome::Unknown => {
                proposal.is_uncertain = true;
                Some(ProposalStep::Call(self.read_change_op(proposal_id)?))
            }
            TxnOutcome::NotSent => {
                self.fail_or_resolve(now, proposal_id, "the key-value service is down")
            }
        }
    }

    /// Handles a read of the key under which a recorded change stores its revision. `None` means
    /// that the service did not answer, and `Some(None)` that the change is not recorded.
    pub(crate) fn handle_change_read(
        &mut self,
        now: Time,
        proposal_id: u64,
        read: Option<Option<&KeyValue>>,
    ) -> Option<ProposalStep> {
        let latest = self.snapshot.revision();
        let proposal = self.proposals.get_mut(&proposal_id)?;
        match read {
            Some(Some(entry)) => {
                let revision = parse::<Revision>(entry)?;
                let own = proposal.change.take().filter(|change| change.revision == revision);
                let result = match own.filter(|_| proposal.is_uncertain) {
                    Some(change) => ProposalResult::Accepted(change),
                    None => ProposalResult::Repeated(revision),
                };
                self.proposals.remove(&proposal_id);
                Some(ProposalStep::Done(result))
            }
            Some(None) if now < proposal.expires_at => {
                // Once another change has the revision that the lost transaction was to create,
                // that transaction can no longer take effect.
                let is_revision_taken = |change: &Change| change.revision <= latest;
                proposal.is_uncertain &= !proposal.change.as_ref().is_some_and(is_revision_taken);
                Some(ProposalStep::Call(self.catch_up_op()))
            }
            None if now < proposal.expires_at => {
                Some(ProposalStep::Call(self.read_change_op(proposal_id)?))
            }
            _ => self.fail_or_resolve(now, proposal_id, "the change could not be recorded in time"),
        }
    }

    /// Returns the call that reads whether a proposal's change is recorded.
    fn read_change_op(&mut self, proposal_id: u64) -> Option<StoreOp> {
        let proposal = self.proposals.get_mut(&proposal_id)?;
        Some(StoreOp::Read(change_key(&proposal.draft.id)))
    }

    /// Ends a proposal that could not be recorded. If one of its transactions may have taken
    /// effect, keeps trying to find out until the proposal expires.
    fn fail_or_resolve(
        &mut self,
        now: Time,
        proposal_id: u64,
        reason: &str,
    ) -> Option<ProposalStep> {
        let proposal = self.proposals.get(&proposal_id)?;
        if proposal.is_uncertain && now < proposal.expires_at {
            return Some(ProposalStep::Call(self.read_change_op(proposal_id)?));
        }
        let code = match proposal.is_uncertain {
            true => ResultCode::ChangeUnknown,
            false => ResultCode::ChangeUnavailable,
        };
        self.proposals.remove(&proposal_id);
        Some(ProposalStep::Done(ProposalResult::Refused(code, reason.to_owned(), None)))
    }

    fn refuse(&mut self, proposal_id: u64, error: &ChangeError) -> ProposalResult {
        self.proposals.remove(&proposal_id);
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

/// Returns the transaction that records a change. It fails if the log already has an entry for the
/// revision, or if the change is already recorded under any revision.
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

/// Parses the JSON value of an entry. Returns `None` if it is malformed: other programs can write
/// to the service too.
pub(crate) fn parse<T: serde::de::DeserializeOwned>(entry: &KeyValue) -> Option<T> {
    serde_json::from_slice(&entry.value).ok()
}

/// Serializes a value as JSON. This can't fail because all maps have string keys.
pub(crate) fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
