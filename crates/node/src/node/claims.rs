//! Claims on idempotency keys, which prevent a call from running twice.

use base::{RequestId, ResultCode, Revision, Time};

use super::requests::DEFAULT_RETRY_AFTER;
use super::{Node, OpPurpose};
use crate::request::{ClaimState, Stage, TraceStep};
use crate::{claim_key, KeyValue, StoreOp, StoreTxn, TxnOutcome};

impl Node {
    /// Sends a request to a target. If the request has an idempotency key without a recorded claim,
    /// records the claim first.
    pub(super) fn claim_or_send(&mut self, now: Time, id: RequestId, target: base::TargetName) {
        let Some(request) = self.requests.get(&id) else { return };
        let needs_claim =
            request.spec.idempotency.is_some() && !matches!(request.claim, ClaimState::Recorded(_));
        if !needs_claim {
            self.dispatch(now, id, target);
            return;
        }
        if !self.is_service_up {
            let after = Some(DEFAULT_RETRY_AFTER);
            self.refuse(now, id, ResultCode::ClaimUnavailable, after);
            return;
        }
        self.traces.add(now, id, TraceStep::Claims);
        self.queue.remove(id);
        let Some(txn) = self.claim_txn(id) else { return };
        let op = self.call(OpPurpose::ClaimWrite(id), StoreOp::Txn(txn));
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
        // All callers without an API key share one namespace.
        let team = request.team.clone().or_else(|| "_open".parse().ok())?;
        Some(claim_key(&team, hash))
    }

    pub(super) fn handle_claim_write(&mut self, now: Time, id: RequestId, outcome: TxnOutcome) {
        match outcome {
            TxnOutcome::Done(revision) => self.finish_claim(now, id, revision),
            // The conflict may be with an earlier write of this daemon whose answer was lost.
            TxnOutcome::Conflict | TxnOutcome::Unknown => {
                if let Some(key) = self.claim_key(id) {
                    let op = self.call(OpPurpose::ClaimRead(id), StoreOp::Read(key));
                    self.set_claim_op(id, op);
                }
            }
            TxnOutcome::NotSent => {
                self.refuse(now, id, ResultCode::ClaimUnavailable, Some(DEFAULT_RETRY_AFTER));
            }
        }
    }

    /// Handles a read of the claim after a write whose outcome is not certain.
    pub(super) fn handle_claim_read(
        &mut self,
        now: Time,
        id: RequestId,
        read: Option<Option<KeyValue>>,
    ) {
        let own = self.claim_value(id);
        match read {
            Some(Some(entry)) if entry.value == own => {
                self.finish_claim(now, id, entry.revision);
            }
            Some(Some(_)) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.claim = ClaimState::Unrecorded;
                }
                self.refuse(now, id, ResultCode::AlreadyClaimed, None);
            }
            // No claim is recorded, but the earlier write may still take effect. In that case the
            // new write conflicts and the next read returns this daemon's own value.
            Some(None) => {
                if let Some(txn) = self.claim_txn(id) {
                    let op = self.call(OpPurpose::ClaimWrite(id), StoreOp::Txn(txn));
                    self.set_claim_op(id, op);
                }
            }
            None => {
                self.refuse(now, id, ResultCode::ClaimUnavailable, Some(DEFAULT_RETRY_AFTER));
            }
        }
    }

    fn set_claim_op(&mut self, id: RequestId, op: crate::OpId) {
        if let Some(request) = self.requests.get_mut(&id) {
            if let Stage::Claiming(current) = &mut request.stage {
                *current = op;
            }
        }
    }

    fn finish_claim(&mut self, now: Time, id: RequestId, revision: Revision) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Stage::Claiming(_) = &request.stage else { return };
        request.claim = ClaimState::Recorded(revision);
        if now >= request.spec.deadline {
            self.refuse(now, id, ResultCode::DeadlinePassed, None);
            return;
        }
        // Choose the target again: permissions, the target's state or its load may have changed.
        self.enqueue(id);
    }

    /// Deletes the claim of a request that did not run, so that the caller can retry. Does nothing
    /// unless the claim is known to be recorded for this request.
    pub(super) fn release_claim(&mut self, id: RequestId) {
        let claim = self.requests.get(&id).map(|request| request.claim);
        let (Some(ClaimState::Recorded(revision)), Some(key)) = (claim, self.claim_key(id)) else {
            return;
        };
        let txn = StoreTxn::default().expect(key.clone(), revision).delete(key);
        self.call(OpPurpose::Ignored, StoreOp::Txn(txn));
    }
}
