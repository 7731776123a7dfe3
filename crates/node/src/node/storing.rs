//! Answers of the key-value service.

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

/// Pause after a roster write, so that seats that start together don't all write at once.
const ROSTER_PAUSE_MS: (u64, u64) = (20, 200);

impl Node {
    pub(super) fn service_event(&mut self, now: Time, event: ServiceEvent) {
        match event {
            ServiceEvent::Answered(id, result) => self.answered(now, id, result),
            ServiceEvent::Listed { asked_at, config, rosters, placers } => {
                self.listed(now, asked_at, &config, &rosters, &placers);
            }
            ServiceEvent::Watched(events) => {
                for event in events {
                    self.key_event(now, &event);
                }
            }
            ServiceEvent::HeadRead { asked_at, head } => {
                self.service_up = true;
                if self.sync.head_read(asked_at, head.as_ref()) {
                    self.catch_up();
                }
            }
            ServiceEvent::Down => {
                if self.service_up {
                    self.out.note("key-value service does not answer");
                }
                self.service_up = false;
            }
            ServiceEvent::LeaseKept { lease, until } => {
                self.service_up = true;
                self.lease.kept(lease, until);
            }
            ServiceEvent::LeaseLost => {
                self.lease.lost();
                self.end_term("lease lost");
            }
        }
    }

    fn listed(
        &mut self,
        now: Time,
        asked_at: Time,
        config: &[KeyValue],
        rosters: &[KeyValue],
        placers: &[KeyValue],
    ) {
        self.service_up = true;
        self.listed = true;
        if self.sync.listed(asked_at, config) {
            self.out.note(format!("configuration revision {}", self.sync.snapshot().revision()));
            self.config_changed(now);
            self.tell_revision();
        }
        for entry in rosters {
            self.take_roster(entry);
        }
        self.placers = Default::default();
        for entry in placers {
            self.placer_seen(entry);
        }
        let own = self.placers.get(&self.config.domain);
        if own.map(|entry| entry.fence) != self.placer.fence() && self.placer.fence().is_some() {
            self.end_term("another placer is recorded");
        }
    }

    fn key_event(&mut self, now: Time, event: &KeyEvent) {
        match event {
            KeyEvent::Put(entry) if entry.key.starts_with(LOG_PREFIX) => match parse(entry) {
                Some(change) => self.take_changes(now, &[change], None),
                None => self.out.note(format!("unreadable change {}", entry.key)),
            },
            KeyEvent::Put(entry) if entry.key.starts_with(ROSTER_PREFIX) => {
                self.take_roster(entry);
            }
            KeyEvent::Put(entry) if entry.key.starts_with(PLACER_PREFIX) => self.placer_seen(entry),
            KeyEvent::Deleted(key, revision) if key.starts_with(PLACER_PREFIX) => {
                self.placer_gone(key, *revision);
            }
            _ => {}
        }
    }

    fn placer_seen(&mut self, entry: &KeyValue) {
        let Some(domain) = entry.key.strip_prefix(PLACER_PREFIX) else { return };
        let Ok(domain) = crate::keys::from_component(domain).parse() else { return };
        let Some(placer) = PlacerEntry::parse(entry) else { return };
        if self.placers.get(&domain).is_some_and(|known| known.fence >= placer.fence) {
            return;
        }
        let own_domain = domain == self.config.domain;
        if own_domain && placer.seat != self.config.seat && self.placer.fence().is_some() {
            self.end_term("another placer is recorded");
        }
        self.placers.insert(domain, placer);
    }

    fn placer_gone(&mut self, key: &str, revision: Revision) {
        let key = key.strip_prefix(PLACER_PREFIX).map(crate::keys::from_component);
        let Some(Ok(domain)) = key.map(|name| name.parse()) else { return };
        if self.placers.get(&domain).is_some_and(|known| known.fence.0 < revision.0) {
            self.placers.remove(&domain);
            if domain == self.config.domain && self.placer.fence().is_some() {
                self.end_term("placer record ended");
            }
        }
    }

    fn answered(&mut self, now: Time, id: crate::OpId, result: StoreResult) {
        let Some(purpose) = self.out.pending.remove(&id) else { return };
        self.place_soon = true;
        match (purpose, result) {
            (OpPurpose::CatchUp, StoreResult::Range(read)) => {
                self.catching_up = false;
                self.take_log(now, read);
            }
            (OpPurpose::ProposalLog(token), StoreResult::Range(read)) => {
                let answered = read.is_some();
                self.take_log(now, read);
                let step = self.sync.caught_up(now, token, answered);
                self.proposal_step(now, token, step);
            }
            (OpPurpose::ProposalTxn(token), StoreResult::Txn(outcome)) => {
                let step = self.sync.recorded(now, token, outcome);
                self.proposal_step(now, token, step);
            }
            (OpPurpose::ProposalKey(token), StoreResult::Read(read)) => {
                let read = read.as_ref().map(|entry| entry.as_ref());
                let step = self.sync.resolved(now, token, read);
                self.proposal_step(now, token, step);
            }
            (OpPurpose::Roster, StoreResult::Txn(outcome)) => self.roster_written(now, outcome),
            (OpPurpose::RosterRead, StoreResult::Read(read)) => {
                self.members.writing = false;
                if let Some(Some(entry)) = read {
                    self.take_roster(&entry);
                }
            }
            (OpPurpose::Leave, _) => self.out.actions.push(Action::Drained),
            (OpPurpose::PlacerClaim, StoreResult::Txn(outcome)) => self.placer_claimed(outcome),
            (OpPurpose::PlacerRead, StoreResult::Read(read)) => {
                self.claiming_placer = false;
                if let Some(Some(entry)) = read {
                    self.placer_seen(&entry);
                }
            }
            (OpPurpose::PlanList(entry), StoreResult::Range(read)) => {
                self.plans_listed(now, &entry, read);
            }
            (OpPurpose::Plan(target), StoreResult::Txn(outcome)) => {
                self.plan_written(now, &target, outcome);
            }
            (OpPurpose::PlanRead(target), StoreResult::Read(read)) => {
                let read = read.map(|entry| read_doc(entry.as_ref()));
                self.placer.finish_plan_read(now, &target, read);
            }
            (OpPurpose::CopiesRead(model), StoreResult::Read(read)) => {
                let read = read.map(|entry| read_doc(entry.as_ref()));
                self.placer.finish_ledger_read(now, &model, read);
            }
            (OpPurpose::Claim(request), StoreResult::Txn(outcome)) => {
                self.claim_written(now, request, outcome);
            }
            (OpPurpose::ClaimRead(request), StoreResult::Read(read)) => {
                self.claim_read(now, request, read);
            }
            _ => {}
        }
    }

    pub(super) fn catch_up(&mut self) {
        if !self.catching_up {
            self.catching_up = true;
            let op = self.sync.catch_up();
            self.call(OpPurpose::CatchUp, op);
        }
    }

    fn take_log(&mut self, now: Time, read: Option<Vec<KeyValue>>) {
        let Some(entries) = read else { return };
        let changes: Vec<_> = entries.iter().filter_map(parse).collect();
        self.take_changes(now, &changes, None);
    }

    fn proposal_step(&mut self, now: Time, token: u64, step: Option<ProposalStep>) {
        match step {
            Some(ProposalStep::Call(op)) => {
                let purpose = match op {
                    StoreOp::Txn(_) => OpPurpose::ProposalTxn(token),
                    StoreOp::Read(_) => OpPurpose::ProposalKey(token),
                    StoreOp::Range(..) => OpPurpose::ProposalLog(token),
                };
                self.call(purpose, op);
            }
            Some(ProposalStep::Done(result)) => {
                if let ProposalResult::Accepted(change) = &result {
                    self.take_changes(now, std::slice::from_ref(change), None);
                }
                self.out.actions.push(Action::Propose(token, result));
            }
            None => {}
        }
    }

    fn take_roster(&mut self, entry: &KeyValue) {
        let Some(name) = entry.key.strip_prefix(ROSTER_PREFIX) else { return };
        let Ok(domain) = crate::keys::from_component(name).parse() else { return };
        let Some(roster) = parse(entry) else { return };
        self.take_rosters(vec![RosterDoc { domain, revision: entry.revision, roster }], None);
    }

    pub(super) fn write_roster(&mut self, now: Time) {
        if !self.service_up || !self.listed || self.drained {
            return;
        }
        let loan_span = self.tokens.terms().lender_span();
        if let Some(txn) = self.members.next_txn(now, loan_span) {
            self.members.writing = true;
            self.call(OpPurpose::Roster, StoreOp::Txn(txn));
        }
    }

    fn roster_written(&mut self, now: Time, outcome: TxnOutcome) {
        let pause = self.jitter(ROSTER_PAUSE_MS.0, ROSTER_PAUSE_MS.1);
        self.members.next_write = now + pause;
        if outcome == TxnOutcome::NotSent {
            self.members.writing = false;
            self.members.next_write = now + Duration::from_secs(1);
            return;
        }
        // The watch would tell as well, but only the read surely shows the write's effect.
        let key = roster_key(&self.config.domain);
        self.call(OpPurpose::RosterRead, StoreOp::Read(key));
    }

    /// Returns the value with which this daemon claims an idempotency key for a request.
    pub(super) fn claim_value(&self, request: RequestId) -> Vec<u8> {
        format!("{} {request}", self.config.seat).into_bytes()
    }
}

/// Returns a stored document with its revision, or the empty one with revision 0.
fn read_doc<T: serde::de::DeserializeOwned + Default>(entry: Option<&KeyValue>) -> (Revision, T) {
    match entry {
        Some(entry) => (entry.revision, parse(entry).unwrap_or_default()),
        None => (Revision(0), T::default()),
    }
}
