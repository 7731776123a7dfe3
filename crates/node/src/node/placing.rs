//! Joins the placer to the lease, the service and the gateways.

use std::time::Duration;

use base::{TargetName, Time};
use config::TargetKind;
use place::{CopyLedger, HostState, PlaceAction, PlaceWrite, TargetPlan, WriteOutcome};

use super::{Node, OpPurpose};
use crate::config_sync::{parse, to_json};
use crate::keys::{plan_prefix, prefix_end};
use crate::lease::{claim_txn, PlacerEntry};
use crate::{
    copies_key, placer_key, plan_key, Action, DomainView, KeyValue, PeerMessage, StoreOp, StoreTxn,
    TxnOutcome, ViewDelta,
};

/// Shortest time between two views with changes, and longest between any two. The latter only
/// repairs what was lost unnoticed; a gateway that wants a model which is ready is told at once.
const VIEW_MIN: Duration = Duration::from_millis(50);
const VIEW_MAX: Duration = Duration::from_secs(30);

impl Node {
    /// Returns whether this seat is the placer and its lease surely holds.
    pub(super) fn is_leased(&self, now: Time) -> bool {
        let entry = self.placers.get(&self.config.domain);
        entry.is_some_and(|entry| {
            entry.seat == self.config.seat
                && self.lease.current(now) == Some(entry.lease)
                && self.placer.fence() == Some(entry.fence)
        })
    }

    /// Tries to become the placer when there is none, or to start a term that is recorded.
    pub(super) fn claim_placer(&mut self, now: Time) {
        let Some(lease) = self.lease.current(now) else { return };
        if !self.members.is_seated() || self.claiming_placer || self.listing_plans {
            return;
        }
        match self.placers.get(&self.config.domain).cloned() {
            None if self.service_up && self.listed && !self.draining => {
                let txn = claim_txn(&placer_key(&self.config.domain), &self.config.seat, lease);
                self.claiming_placer = true;
                self.call(OpPurpose::PlacerClaim, StoreOp::Txn(txn));
            }
            Some(entry)
                if entry.seat == self.config.seat
                    && entry.lease == lease
                    && self.placer.fence() != Some(entry.fence)
                    && self.service_up =>
            {
                let prefix = plan_prefix(&self.config.domain);
                let op = StoreOp::Range(prefix.clone(), prefix_end(&prefix));
                self.listing_plans = true;
                self.call(OpPurpose::PlanList(entry), op);
            }
            _ => {}
        }
    }

    pub(super) fn placer_claimed(&mut self, outcome: TxnOutcome) {
        if outcome == TxnOutcome::NotSent {
            self.claiming_placer = false;
            return;
        }
        let key = placer_key(&self.config.domain);
        self.call(OpPurpose::PlacerRead, StoreOp::Read(key));
    }

    pub(super) fn plans_listed(
        &mut self,
        now: Time,
        entry: &PlacerEntry,
        read: Option<Vec<KeyValue>>,
    ) {
        self.listing_plans = false;
        let current = self.placers.get(&self.config.domain) == Some(entry);
        let (Some(entries), true) = (read, current) else { return };
        let prefix = plan_prefix(&self.config.domain);
        let plans = entries.iter().filter_map(|entry| {
            let name = crate::keys::from_component(entry.key.strip_prefix(&prefix)?);
            let target: TargetName = name.parse().ok()?;
            Some((target, entry.revision, parse::<TargetPlan>(entry)?))
        });
        self.placer.begin_term(now, entry.fence, plans);
        self.view_version = 0;
        self.view_sent = None;
        self.out.note(format!("placer of {} with fence {}", self.config.domain, entry.fence));
    }

    pub(super) fn end_term(&mut self, reason: &str) {
        if self.placer.fence().is_some() {
            self.out.note(format!("no longer placer of {}: {reason}", self.config.domain));
            self.placer.end_term();
        }
    }

    pub(super) fn plan_written(&mut self, now: Time, target: &TargetName, outcome: TxnOutcome) {
        let outcome = match outcome {
            TxnOutcome::Done(revision) => WriteOutcome::Recorded(revision),
            TxnOutcome::Conflict | TxnOutcome::NotSent => WriteOutcome::Conflict,
            TxnOutcome::Unknown => WriteOutcome::Unknown,
        };
        self.placer.finish_write(now, target, outcome);
    }

    /// Lets the placer decide and tells the gateways where replicas are.
    pub(super) fn place(&mut self, now: Time) {
        self.poll_targets();
        if self.placer.fence().is_none() {
            return;
        }
        let host = HostState {
            has_lease: self.is_leased(now),
            service_up: self.service_up,
            seats: self.members.seated(),
            leaving: self.members.leaving().to_vec(),
            remote_models: self.views.remote(now, &self.config.domain),
        };
        let snapshot = self.sync.snapshot().clone();
        for action in self.placer.tick(now, &snapshot, &host) {
            self.place_action(now, action);
        }
        if host.has_lease || !host.service_up {
            self.send_view(now, &host);
        }
    }

    fn place_action(&mut self, now: Time, action: PlaceAction) {
        match action {
            PlaceAction::Record(write) => {
                if let Some(txn) = self.plan_txn(&write) {
                    self.call(OpPurpose::Plan(write.target), StoreOp::Txn(txn));
                }
            }
            PlaceAction::ReadPlan(target) => {
                let key = plan_key(&self.config.domain, &target);
                self.call(OpPurpose::PlanRead(target), StoreOp::Read(key));
            }
            PlaceAction::ReadLedger(model) => {
                let key = copies_key(&model);
                self.call(OpPurpose::CopiesRead(model), StoreOp::Read(key));
            }
            PlaceAction::Send(message) => {
                let snapshot = self.sync.snapshot();
                let Some(target) = snapshot.target(&message.target) else { return };
                match message.kind {
                    place::OrderKind::Load => self.stats.loads += 1,
                    place::OrderKind::Unload => self.stats.unloads += 1,
                }
                self.out.actions.push(Action::Order(target.address.clone(), message));
            }
            PlaceAction::AskIssuer(seat, orders) => {
                self.send(&seat.address, PeerMessage::AskOrders(orders));
            }
            PlaceAction::RefuseDemand(answer) => {
                for seat in self.members.near() {
                    self.send(&seat.address, PeerMessage::WantAnswer(answer.clone()));
                }
                self.want_answered(now, &answer);
            }
        }
    }

    /// Returns the transaction of a plan write. It depends on the placer's record, so that a
    /// placer whose lease ended can't write any more.
    fn plan_txn(&self, write: &PlaceWrite) -> Option<StoreTxn> {
        let fence = self.placer.fence()?;
        let domain = &self.config.domain;
        let key = plan_key(domain, &write.target);
        let mut txn = StoreTxn::default()
            .expect(placer_key(domain), base::Revision(fence.0))
            .expect(key.clone(), write.expected)
            .put(key, to_json(&write.plan));
        for (model, revision, ledger) in &write.copies {
            let ledger: &CopyLedger = ledger;
            let key = copies_key(model);
            txn = txn.expect(key.clone(), *revision).put(key, to_json(ledger));
        }
        Some(txn)
    }

    /// Reads reports from the targets of this failure domain while this seat is its placer.
    fn poll_targets(&mut self) {
        let targets = if self.placer.fence().is_some() {
            let snapshot = self.sync.snapshot();
            let own = snapshot.targets().filter(|target| {
                target.domain == self.config.domain && target.kind == TargetKind::Engine
            });
            own.map(|target| (target.name.clone(), target.address.clone())).collect()
        } else {
            Vec::new()
        };
        if targets != self.polled {
            self.polled = targets;
            self.out.actions.push(Action::Poll(self.polled.clone()));
        }
    }

    fn send_view(&mut self, now: Time, host: &HostState) {
        let Some(fence) = self.placer.fence() else { return };
        let mut replicas = self.placer.residency(now, host);
        replicas.sort();
        let (changed, span) = match &self.view_sent {
            None => (true, VIEW_MAX),
            Some((sent, at)) => (sent.replicas != replicas, now.since(*at)),
        };
        if span < VIEW_MIN || (!changed && span < VIEW_MAX) {
            return;
        }
        self.view_version += 1;
        let loads = self.placer.target_loads();
        let domain = self.config.domain.clone();
        let view = DomainView { domain, fence, version: self.view_version, replicas, loads };
        let message = match &self.view_sent {
            Some((sent, _)) => PeerMessage::ViewDelta(ViewDelta::between(sent, &view)),
            None => PeerMessage::View(view.clone()),
        };
        // The same seats pass a term's changes on, so that none sees a gap at each turn.
        self.spread(fence.0, None, &message);
        self.views.take(now, view.clone(), None);
        self.view_sent = Some((view, now));
    }

    /// Watches the service while this seat is one of those that do it for its failure domain.
    pub(super) fn choose_watching(&mut self, now: Time) {
        let watching = self.placer.fence().is_some() || self.members.is_watcher(now);
        if watching != self.watching {
            self.watching = watching;
            self.out.actions.push(Action::Watch(watching));
        }
    }
}
