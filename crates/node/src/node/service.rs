//! Events and answers from the key-value service.

use std::time::Duration;

use base::{RequestId, Revision, Time};

use super::{Node, OpPurpose};
use crate::config_sync::{parse, ProposalStep};
use crate::keys::roster_key;
use crate::lease::PlacerEntry;
use crate::{
    Action, KeyEvent, KeyValue, ProposalResult, RosterDoc, ServiceEvent, StoreOp, StoreResult,
    TxnOutcome, LOG_PREFIX, PLACER_PREFIX, ROSTER_PREFIX,
};

/// Range of the random pause after a roster write, in milliseconds. It keeps seats that start
/// together from writing at the same time.
const ROSTER_PAUSE_MS: (u64, u64) = (20, 200);

impl Node {
    pub(super) fn handle_service_event(&mut self, now: Time, event: ServiceEvent) {
        match event {
            ServiceEvent::Answered(id, result) => self.handle_answer(now, id, result),
            ServiceEvent::Listed { asked_at, config, rosters, placers } => {
                self.handle_listing(now, asked_at, &config, &rosters, &placers);
            }
            ServiceEvent::Watched(events) => {
                for event in events {
                    self.handle_key_event(now, &event);
                }
            }
            ServiceEvent::HeadRead { asked_at, head } => {
                self.is_service_up = true;
                if self.sync.handle_head_read(asked_at, head.as_ref()) {
                    self.catch_up();
                }
            }
            ServiceEvent::Down => {
                if self.is_service_up {
                    self.outbox.log("key-value service does not answer");
                }
                self.is_service_up = false;
            }
            ServiceEvent::LeaseRenewed { lease, until } => {
                self.is_service_up = true;
                self.lease.renew(lease, until);
            }
            ServiceEvent::LeaseLost => {
                self.lease.clear();
                self.end_term("lease lost");
            }
        }
    }

    /// Handles a full listing of configuration, rosters and placers.
    fn handle_listing(
        &mut self,
        now: Time,
        asked_at: Time,
        config: &[KeyValue],
        rosters: &[KeyValue],
        placers: &[KeyValue],
    ) {
        self.is_service_up = true;
        self.has_listing = true;
        if self.sync.install_listing(asked_at, config) {
            self.outbox.log(format!("configuration revision {}", self.sync.snapshot().revision()));
            self.publish_config(now);
            self.announce_revision();
        }
        for entry in rosters {
            self.merge_stored_roster(entry);
        }
        self.placers = Default::default();
        for entry in placers {
            self.record_placer(entry);
        }
        let own = self.placers.get(&self.config.domain);
        if own.map(|entry| entry.fence) != self.placer.fence() && self.placer.fence().is_some() {
            self.end_term("another placer is recorded");
        }
    }

    fn handle_key_event(&mut self, now: Time, event: &KeyEvent) {
        match event {
            KeyEvent::Put(entry) if entry.key.starts_with(LOG_PREFIX) => match parse(entry) {
                Some(change) => self.apply_changes(now, &[change], None),
                None => self.outbox.log(format!("unreadable change {}", entry.key)),
            },
            KeyEvent::Put(entry) if entry.key.starts_with(ROSTER_PREFIX) => {
                self.merge_stored_roster(entry);
            }
            KeyEvent::Put(entry) if entry.key.starts_with(PLACER_PREFIX) => {
                self.record_placer(entry)
            }
            KeyEvent::Deleted(key, revision) if key.starts_with(PLACER_PREFIX) => {
                self.remove_placer(key, *revision);
            }
            _ => {}
        }
    }

    /// Records a failure domain's placer unless a later one is known.
    fn record_placer(&mut self, entry: &KeyValue) {
        let Some(domain) = entry.key.strip_prefix(PLACER_PREFIX) else { return };
        let Ok(domain) = crate::keys::decode_component(domain).parse() else { return };
        let Some(placer) = PlacerEntry::parse(entry) else { return };
        if self.placers.get(&domain).is_some_and(|known| known.fence >= placer.fence) {
            return;
        }
        let is_own_domain = domain == self.config.domain;
        if is_own_domain && placer.seat != self.config.seat && self.placer.fence().is_some() {
            self.end_term("another placer is recorded");
        }
        self.placers.insert(domain, placer);
    }

    fn remove_placer(&mut self, key: &str, revision: Revision) {
        let key = key.strip_prefix(PLACER_PREFIX).map(crate::keys::decode_component);
        let Some(Ok(domain)) = key.map(|name| name.parse()) else { return };
        if self.placers.get(&domain).is_some_and(|known| known.fence.0 < revision.0) {
            self.placers.remove(&domain);
            if domain == self.config.domain && self.placer.fence().is_some() {
                self.end_term("placer record ended");
            }
        }
    }

    fn handle_answer(&mut self, now: Time, id: crate::OpId, result: StoreResult) {
        let Some(purpose) = self.outbox.pending.remove(&id) else { return };
        self.is_placing_due = true;
        match (purpose, result) {
            (OpPurpose::LogRead, StoreResult::Range(read)) => {
                self.is_catching_up = false;
                self.apply_log(now, read);
            }
            (OpPurpose::ProposalLog(proposal_id), StoreResult::Range(read)) => {
                let has_answer = read.is_some();
                self.apply_log(now, read);
                let step = self.sync.handle_log_read(now, proposal_id, has_answer);
                self.run_proposal_step(now, proposal_id, step);
            }
            (OpPurpose::ProposalTxn(proposal_id), StoreResult::Txn(outcome)) => {
                let step = self.sync.handle_txn_outcome(now, proposal_id, outcome);
                self.run_proposal_step(now, proposal_id, step);
            }
            (OpPurpose::ProposalKey(proposal_id), StoreResult::Read(read)) => {
                let read = read.as_ref().map(|entry| entry.as_ref());
                let step = self.sync.handle_change_read(now, proposal_id, read);
                self.run_proposal_step(now, proposal_id, step);
            }
            (OpPurpose::RosterWrite, StoreResult::Txn(outcome)) => {
                self.handle_roster_write(now, outcome)
            }
            (OpPurpose::RosterRead, StoreResult::Read(read)) => {
                self.members.is_writing = false;
                if let Some(Some(entry)) = read {
                    self.merge_stored_roster(&entry);
                }
            }
            (OpPurpose::RosterLeave, _) => self.outbox.actions.push(Action::Drained),
            (OpPurpose::PlacerClaim, StoreResult::Txn(outcome)) => {
                self.handle_placer_claim(outcome)
            }
            (OpPurpose::PlacerRead, StoreResult::Read(read)) => {
                self.is_claiming_placer = false;
                if let Some(Some(entry)) = read {
                    self.record_placer(&entry);
                }
            }
            (OpPurpose::PlanList(entry), StoreResult::Range(read)) => {
                self.begin_term(now, &entry, read);
            }
            (OpPurpose::PlanWrite(target), StoreResult::Txn(outcome)) => {
                self.handle_plan_write(now, &target, outcome);
            }
            (OpPurpose::PlanRead(target), StoreResult::Read(read)) => {
                let read = read.map(|entry| read_doc(entry.as_ref()));
                self.placer.finish_plan_read(now, &target, read);
            }
            (OpPurpose::CopiesRead(model), StoreResult::Read(read)) => {
                let read = read.map(|entry| read_doc(entry.as_ref()));
                self.placer.finish_ledger_read(now, &model, read);
            }
            (OpPurpose::ClaimWrite(request), StoreResult::Txn(outcome)) => {
                self.handle_claim_write(now, request, outcome);
            }
            (OpPurpose::ClaimRead(request), StoreResult::Read(read)) => {
                self.handle_claim_read(now, request, read);
            }
            _ => {}
        }
    }

    /// Reads the changes that follow the current revision, unless a read is pending.
    pub(super) fn catch_up(&mut self) {
        if !self.is_catching_up {
            self.is_catching_up = true;
            let op = self.sync.catch_up_op();
            self.call(OpPurpose::LogRead, op);
        }
    }

    fn apply_log(&mut self, now: Time, read: Option<Vec<KeyValue>>) {
        let Some(entries) = read else { return };
        let changes: Vec<_> = entries.iter().filter_map(parse).collect();
        self.apply_changes(now, &changes, None);
    }

    fn run_proposal_step(&mut self, now: Time, proposal_id: u64, step: Option<ProposalStep>) {
        match step {
            Some(ProposalStep::Call(op)) => {
                let purpose = match op {
                    StoreOp::Txn(_) => OpPurpose::ProposalTxn(proposal_id),
                    StoreOp::Read(_) => OpPurpose::ProposalKey(proposal_id),
                    StoreOp::Range(..) => OpPurpose::ProposalLog(proposal_id),
                };
                self.call(purpose, op);
            }
            Some(ProposalStep::Done(result)) => {
                if let ProposalResult::Accepted(change) = &result {
                    self.apply_changes(now, std::slice::from_ref(change), None);
                }
                self.outbox.actions.push(Action::AnswerProposal(proposal_id, result));
            }
            None => {}
        }
    }

    fn merge_stored_roster(&mut self, entry: &KeyValue) {
        let Some(name) = entry.key.strip_prefix(ROSTER_PREFIX) else { return };
        let Ok(domain) = crate::keys::decode_component(name).parse() else { return };
        let Some(roster) = parse(entry) else { return };
        self.merge_rosters(vec![RosterDoc { domain, revision: entry.revision, roster }], None);
    }

    /// Writes the roster step that is due, if the service is up.
    pub(super) fn write_roster(&mut self, now: Time) {
        if !self.is_service_up || !self.has_listing || self.is_drained {
            return;
        }
        let loan_span = self.tokens.terms().lender_span();
        if let Some(txn) = self.members.next_txn(now, loan_span) {
            self.members.is_writing = true;
            self.call(OpPurpose::RosterWrite, StoreOp::Txn(txn));
        }
    }

    fn handle_roster_write(&mut self, now: Time, outcome: TxnOutcome) {
        let pause = self.jitter(ROSTER_PAUSE_MS.0, ROSTER_PAUSE_MS.1);
        self.members.next_write_at = now + pause;
        if outcome == TxnOutcome::NotSent {
            self.members.is_writing = false;
            self.members.next_write_at = now + Duration::from_secs(1);
            return;
        }
        // The watch also delivers the roster, but only a read started after the write is certain to
        // show whether the write took effect.
        let key = roster_key(&self.config.domain);
        self.call(OpPurpose::RosterRead, StoreOp::Read(key));
    }

    /// Returns the value that this daemon stores to claim an idempotency key for a request.
    pub(super) fn claim_value(&self, request: RequestId) -> Vec<u8> {
        format!("{} {request}", self.config.seat).into_bytes()
    }
}

/// Returns a stored document with its revision, or an empty document at revision 0 if there is
/// none.
fn read_doc<T: serde::de::DeserializeOwned + Default>(entry: Option<&KeyValue>) -> (Revision, T) {
    match entry {
        Some(entry) => (entry.revision, parse(entry).unwrap_or_default()),
        None => (Revision(0), T::default()),
    }
}
