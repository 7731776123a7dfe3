//! Claims of idempotency keys, which keep a call from running twice.

use base::{RequestId, ResultCode, Revision, Time};

use super::requests::DEFAULT_RETRY_AFTER;
use super::{Node, OpPurpose};
use crate::request::{ClaimState, Stage, TraceStep};
use crate::{claim_key, KeyValue, StoreOp, StoreTxn, TxnOutcome};

impl Node {
    /// Records the idempotency key of a request that must not run twice, then sends it.
    pub(super) fn claim_or_send(&mut self, now: Time, id: RequestId, target: base::TargetName) {
        let Some(request) = self.requests.get(&id) else { return };
        let needs_claim =
            request.spec.idempotency.is_some() && !matches!(request.claim, ClaimState::Recorded(_));
        if !needs_claim {
            self.dispatch(now, id, target);
            return;
        }
        if !self.service_up {
            let after = Some(DEFAULT_RETRY_AFTER);
            self.refuse(now, id, ResultCode::ClaimUnavailable, after);
            return;
        }
        self.traces.add(now, id, TraceStep::Claims);
        self.queue.remove(id);
        let Some(txn) = self.claim_txn(id) else { return };
        let op = self.call(OpPurpose::Claim(id), StoreOp::Txn(txn));
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Claiming(op);
            request.claim = ClaimState::Uncertain;
        }
    }

    fn claim_txn(&self, id: RequestId) -> Option<StoreTxn> {
        let key = self.claim_key(id)?;
        let value = self.claim_value(id);
        Some(StoreTxn::default().expect(key.clone(), Revision(0)).put(key, value))
    }

    fn claim_key(&self, id: RequestId) -> Option<String> {
        let request = self.requests.get(&id)?;
        let hash = request.spec.idempotency.as_ref()?;
        // Callers without a key share one name space.
        let team = request.team.clone().or_else(|| "_open".parse().ok())?;
        Some(claim_key(&team, hash))
    }

    pub(super) fn claim_written(&mut self, now: Time, id: RequestId, outcome: TxnOutcome) {
        match outcome {
            TxnOutcome::Done(revision) => self.claim_recorded(now, id, revision),
            // The conflict may be with this daemon's own write whose answer was lost.
            TxnOutcome::Conflict | TxnOutcome::Unknown => {
                if let Some(key) = self.claim_key(id) {
                    let op = self.call(OpPurpose::ClaimRead(id), StoreOp::Read(key));
                    self.set_claiming(id, op);
                }
            }
            TxnOutcome::NotSent => {
                self.refuse(now, id, ResultCode::ClaimUnavailable, Some(DEFAULT_RETRY_AFTER));
            }
        }
    }

    pub(super) fn claim_read(&mut self, now: Time, id: RequestId, read: Option<Option<KeyValue>>) {
        let own = self.claim_value(id);
        match read {
            Some(Some(entry)) if entry.value == own => {
                self.claim_recorded(now, id, entry.revision);
            }
            Some(Some(_)) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.claim = ClaimState::Open;
                }
                self.refuse(now, id, ResultCode::AlreadyClaimed, None);
            }
            // The first write may still take effect; if so, this one conflicts with it and the
            // next read finds this daemon's own value.
            Some(None) => {
                if let Some(txn) = self.claim_txn(id) {
                    let op = self.call(OpPurpose::Claim(id), StoreOp::Txn(txn));
                    self.set_claiming(id, op);
                }
            }
            None => {
                self.refuse(now, id, ResultCode::ClaimUnavailable, Some(DEFAULT_RETRY_AFTER));
            }
        }
    }

    fn set_claiming(&mut self, id: RequestId, op: crate::OpId) {
        if let Some(request) = self.requests.get_mut(&id) {
            if let Stage::Claiming(current) = &mut request.stage {
                *current = op;
            }
        }
    }

    fn claim_recorded(&mut self, now: Time, id: RequestId, revision: Revision) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Stage::Claiming(_) = &request.stage else { return };
        request.claim = ClaimState::Recorded(revision);
        if now >= request.spec.deadline {
            self.refuse(now, id, ResultCode::DeadlinePassed, None);
            return;
        }
        // Permissions, the target's state or its load may have changed meanwhile.
        self.enqueue(id);
    }

    /// Deletes the claim of a request that did not run, so that the caller can try again. Only a
    /// claim that is surely this request's own is deleted.
    pub(super) fn release_claim(&mut self, id: RequestId) {
        let claim = self.requests.get(&id).map(|request| request.claim);
        let (Some(ClaimState::Recorded(revision)), Some(key)) = (claim, self.claim_key(id)) else {
            return;
        };
        let txn = StoreTxn::default().expect(key.clone(), revision).delete(key);
        self.call(OpPurpose::Forgotten, StoreOp::Txn(txn));
    }
}
