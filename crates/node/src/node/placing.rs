//! Connects the placer to its lease, the key-value service and the other daemons.

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

/// Minimum time between two views, and maximum time until a view is sent again without changes.
/// The maximum only repairs undetected message loss: a daemon that asks for a model which is
/// already loaded gets the current view at once.
const MIN_VIEW_INTERVAL: Duration = Duration::from_millis(50);
const MAX_VIEW_INTERVAL: Duration = Duration::from_secs(30);

impl Node {
    /// Returns whether this seat is the placer and certainly holds its lease at `now`.
    pub(super) fn holds_placer_lease(&self, now: Time) -> bool {
        let entry = self.placers.get(&self.config.domain);
        entry.is_some_and(|entry| {
            entry.seat == self.config.seat
                && self.lease.current(now) == Some(entry.lease)
                && self.placer.fence() == Some(entry.fence)
        })
    }

    /// Claims the role of placer if the failure domain has none, or starts the term if this seat's
    /// claim is recorded.
    pub(super) fn claim_placer(&mut self, now: Time) {
        let Some(lease) = self.lease.current(now) else { return };
        if !self.members.is_seated() || self.is_claiming_placer || self.is_listing_plans {
            return;
        }
        match self.placers.get(&self.config.domain).cloned() {
            None if self.is_service_up && self.has_listing && !self.is_draining => {
                let txn = claim_txn(&placer_key(&self.config.domain), &self.config.seat, lease);
                self.is_claiming_placer = true;
                self.call(OpPurpose::PlacerClaim, StoreOp::Txn(txn));
            }
            Some(entry)
                if entry.seat == self.config.seat
                    && entry.lease == lease
                    && self.placer.fence() != Some(entry.fence)
                    && self.is_service_up =>
            {
                let prefix = plan_prefix(&self.config.domain);
                let op = StoreOp::Range(prefix.clone(), prefix_end(&prefix));
                self.is_listing_plans = true;
                self.call(OpPurpose::PlanList(entry), op);
            }
            _ => {}
        }
    }

    /// Reads the placer record after a claim, unless the claim was not sent: only the record shows
    /// who is the placer now.
    pub(super) fn handle_placer_claim(&mut self, outcome: TxnOutcome) {
        if outcome == TxnOutcome::NotSent {
            self.is_claiming_placer = false;
            return;
        }
        let key = placer_key(&self.config.domain);
        self.call(OpPurpose::PlacerRead, StoreOp::Read(key));
    }

    /// Starts this seat's term as placer with the stored plans, if the record is still current.
    pub(super) fn begin_term(
        &mut self,
        now: Time,
        entry: &PlacerEntry,
        read: Option<Vec<KeyValue>>,
    ) {
        self.is_listing_plans = false;
        let is_current = self.placers.get(&self.config.domain) == Some(entry);
        let (Some(entries), true) = (read, is_current) else { return };
        let prefix = plan_prefix(&self.config.domain);
        let plans = entries.iter().filter_map(|entry| {
            let name = crate::keys::decode_component(entry.key.strip_prefix(&prefix)?);
            let target: TargetName = name.parse().ok()?;
            Some((target, entry.revision, parse::<TargetPlan>(entry)?))
        });
        self.placer.begin_term(now, entry.fence, plans);
        self.view_version = 0;
        self.last_view = None;
        self.outbox.log(format!("placer of {} with fence {}", self.config.domain, entry.fence));
    }

    /// Ends this seat's term as placer, if there is one.
    pub(super) fn end_term(&mut self, reason: &str) {
        if self.placer.fence().is_some() {
            self.outbox.log(format!("no longer placer of {}: {reason}", self.config.domain));
            self.placer.end_term();
        }
    }

    pub(super) fn handle_plan_write(
        &mut self,
        now: Time,
        target: &TargetName,
        outcome: TxnOutcome,
    ) {
        let outcome = match outcome {
            TxnOutcome::Done(revision) => WriteOutcome::Recorded(revision),
            TxnOutcome::Conflict | TxnOutcome::NotSent => WriteOutcome::Conflict,
            TxnOutcome::Unknown => WriteOutcome::Unknown,
        };
        self.placer.finish_write(now, target, outcome);
    }

    /// Runs the placer and sends the resulting view to the other daemons.
    pub(super) fn run_placer(&mut self, now: Time) {
        self.update_polling();
        if self.placer.fence().is_none() {
            return;
        }
        let host = HostState {
            has_lease: self.holds_placer_lease(now),
            service_up: self.is_service_up,
            seats: self.members.local_seats(),
            leaving: self.members.leaving_targets().to_vec(),
            remote_models: self.views.remote_models(now, &self.config.domain),
        };
        let snapshot = self.sync.snapshot().clone();
        for action in self.placer.tick(now, &snapshot, &host) {
            self.run_place_action(now, action);
        }
        if host.has_lease || !host.service_up {
            self.send_view(now, &host);
        }
    }

    fn run_place_action(&mut self, now: Time, action: PlaceAction) {
        match action {
            PlaceAction::Record(write) => {
                if let Some(txn) = self.plan_txn(&write) {
                    self.call(OpPurpose::PlanWrite(write.target), StoreOp::Txn(txn));
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
                self.outbox.actions.push(Action::Order(target.address.clone(), message));
            }
            PlaceAction::AskIssuer(seat, orders) => {
                self.send(&seat.address, PeerMessage::AskOrders(orders));
            }
            PlaceAction::RefuseDemand(answer) => {
                for seat in self.members.local_peers() {
                    self.send(&seat.address, PeerMessage::WantAnswer(answer.clone()));
                }
                self.handle_demand_refusal(now, &answer);
            }
        }
    }

    /// Returns the transaction for a plan write. It compares the revision of the placer record, so
    /// that a placer whose lease has ended can no longer write.
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

    /// Updates the list of polled targets: those of this failure domain while this seat is its
    /// placer, and none otherwise.
    fn update_polling(&mut self) {
        let targets = if self.placer.fence().is_some() {
            let snapshot = self.sync.snapshot();
            let local = snapshot.targets().filter(|target| {
                target.domain == self.config.domain && target.kind == TargetKind::Engine
            });
            local.map(|target| (target.name.clone(), target.address.clone())).collect()
        } else {
            Vec::new()
        };
        if targets != self.polled_targets {
            self.polled_targets = targets;
            self.outbox.actions.push(Action::Poll(self.polled_targets.clone()));
        }
    }

    /// Sends the current view to the other daemons if it is due: the full view at the start of a
    /// term, and deltas afterwards.
    fn send_view(&mut self, now: Time, host: &HostState) {
        let Some(fence) = self.placer.fence() else { return };
        let mut replicas = self.placer.residency(now, host);
        replicas.sort();
        let (has_changed, elapsed) = match &self.last_view {
            None => (true, MAX_VIEW_INTERVAL),
            Some((sent, at)) => (sent.replicas != replicas, now.since(*at)),
        };
        if elapsed < MIN_VIEW_INTERVAL || (!has_changed && elapsed < MAX_VIEW_INTERVAL) {
            return;
        }
        self.view_version += 1;
        let loads = self.placer.target_loads();
        let domain = self.config.domain.clone();
        let view = DomainView { domain, fence, version: self.view_version, replicas, loads };
        let message = match &self.last_view {
            Some((sent, _)) => PeerMessage::ViewDelta(ViewDelta::between(sent, &view)),
            None => PeerMessage::View(view.clone()),
        };
        // The rotation is constant within a term. If the relays changed with each delta, the next
        // relay would not have received the previous delta and would see a gap.
        self.broadcast(fence.0, None, &message);
        self.views.insert(now, view.clone(), None);
        self.last_view = Some((view, now));
    }

    /// Starts or stops watching the service. Only the placer and a few watchers per failure domain
    /// do so.
    pub(super) fn update_watching(&mut self, now: Time) {
        let is_watching = self.placer.fence().is_some() || self.members.is_watcher(now);
        if is_watching != self.is_watching {
            self.is_watching = is_watching;
            self.outbox.actions.push(Action::Watch(is_watching));
        }
    }
}
