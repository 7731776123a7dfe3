//! Messages from and to other daemons.

use base::{Seat, Time};
use config::Change;

use super::{Node, OpPurpose};
use crate::view::DeltaOutcome;
use crate::{PeerMessage, RosterDoc, SnapshotDoc, ViewDelta};

/// How long to wait for the answer to a ping.
const PING_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(3);

impl Node {
    pub(super) fn handle_peer_message(&mut self, now: Time, from: Seat, message: PeerMessage) {
        if !self.members.is_known(&from) {
            return;
        }
        if self.members.is_new(&from) {
            self.send_all_views(&from);
        }
        self.members.record_contact(now, &from);
        match message {
            PeerMessage::Ping { nonce, revision, rosters } => {
                self.answer_ping(now, &from, nonce, revision);
                self.send_newer_rosters(&from, rosters);
            }
            PeerMessage::Pong { nonce, revision, fresh_age, service_up, rosters } => {
                self.send_newer_rosters(&from, rosters);
                let Some(asked_at) = self.pings.remove(&nonce) else { return };
                let peer = self.members.record_contact(now, &from);
                peer.revision = Some(revision);
                peer.service_down_at = (!service_up).then_some(asked_at);
                let own_revision = self.sync.snapshot().revision();
                if revision > own_revision {
                    self.request_changes(&from);
                } else if let (Some(age), true) = (fresh_age, revision == own_revision) {
                    self.sync.confirm(asked_at - age);
                }
                self.confirm_config_in_outage(now);
            }
            PeerMessage::NeedChanges { from: first } => {
                let answer = match self.sync.changes_from(first) {
                    Some(changes) => PeerMessage::Changes(changes),
                    None => PeerMessage::Snapshot(SnapshotDoc::from(&**self.sync.snapshot())),
                };
                if self.sync.is_known() {
                    self.send(&from.address, answer);
                }
            }
            PeerMessage::Changes(changes) => self.apply_changes(now, &changes, Some(&from)),
            PeerMessage::Snapshot(doc) => {
                if self.sync.install(doc.into()) {
                    self.publish_config(now);
                    self.announce_revision();
                }
            }
            PeerMessage::Borrow { draw, team, wanted } => {
                let offer = self.tokens.lend(now, &from, &team, wanted);
                self.send(&from.address, PeerMessage::Lend { draw, team, offer });
            }
            PeerMessage::Lend { draw, team, offer } => {
                self.tokens.record_offer(now, &from, draw, &team, offer);
            }
            PeerMessage::Settle { lender, team, settlement } => {
                if lender == self.config.seat.incarnation {
                    self.tokens.record_settlement(now, &from, &team, settlement);
                }
            }
            PeerMessage::Want(want) => {
                self.is_placing_due = true;
                self.placer.add_demand(now, &want);
                if !want.extra {
                    self.resend_view(&from, &want.model);
                }
            }
            PeerMessage::WantAnswer(answer) => self.handle_demand_refusal(now, &answer),
            PeerMessage::View(view) => {
                if self.views.insert(now, view.clone(), Some(from.address.clone())) {
                    self.record_loads(&view.loads);
                    if !self.members.is_local(&from.address) {
                        self.broadcast(0, Some(&from), &PeerMessage::View(view));
                    }
                }
            }
            PeerMessage::ViewDelta(delta) => self.apply_view_delta(now, &from, delta),
            PeerMessage::NeedView(domain) => {
                let view = self.views.iter().find(|view| view.domain == domain).cloned();
                if let Some(view) = view {
                    self.send(&from.address, PeerMessage::View(view));
                }
            }
            PeerMessage::Rosters(docs) => self.merge_rosters(docs, Some(&from)),
            PeerMessage::AskOrders(orders) => {
                let disowned = self.placer.disown_orders(&orders);
                if !disowned.is_empty() {
                    self.send(&from.address, PeerMessage::Disowned(disowned));
                }
            }
            PeerMessage::Disowned(orders) => self.placer.apply_disowned(now, &from, &orders),
        }
    }

    /// Applies changes, forwards them and requests missing ones.
    pub(super) fn apply_changes(&mut self, now: Time, changes: &[Change], from: Option<&Seat>) {
        let applied = self.sync.apply(changes);
        let own_revision = self.sync.snapshot().revision();
        if applied > 0 {
            self.outbox.log(format!("configuration revision {own_revision}"));
            self.publish_config(now);
            self.forward_changes(changes, from);
        }
        if changes.last().is_some_and(|change| change.revision > own_revision) {
            match from {
                Some(peer) => self.request_changes(&peer.clone()),
                None => self.catch_up(),
            }
        }
    }

    /// Forwards applied changes to other seats. The seat that relays to another failure domain
    /// rotates with the revision.
    fn forward_changes(&mut self, changes: &[Change], from: Option<&Seat>) {
        let rotation = changes.last().map_or(0, |change| change.revision.0);
        self.broadcast(rotation, from, &PeerMessage::Changes(changes.to_vec()));
    }

    /// Sends a message to the other seats of this failure domain and to one seat of each other
    /// domain, selected by `rotation`. If the message was received from another failure domain, it
    /// is sent within this domain only. If it was received from this domain, it is not sent at all,
    /// because every seat here receives it from the same sender.
    pub(super) fn broadcast(&mut self, rotation: u64, from: Option<&Seat>, message: &PeerMessage) {
        let is_from_local = from.is_some_and(|seat| self.members.is_local(&seat.address));
        let mut receivers = if is_from_local { Vec::new() } else { self.members.local_peers() };
        if from.is_none() {
            let rotation = usize::try_from(rotation).unwrap_or(0);
            receivers.extend(self.members.remote_relays(rotation));
        }
        for seat in receivers {
            self.send(&seat.address, message.clone());
        }
    }

    /// Stores rosters and forwards those that are new.
    pub(super) fn merge_rosters(&mut self, docs: Vec<RosterDoc>, from: Option<&Seat>) {
        for doc in docs {
            let rotation = doc.revision.0;
            if self.members.update_roster(doc.clone()) {
                self.broadcast(rotation, from, &PeerMessage::Rosters(vec![doc]));
            }
        }
    }

    /// Sends all rosters to a peer whose rosters are older.
    fn send_newer_rosters(&mut self, peer: &Seat, sum: u64) {
        if self.members.roster_revision_sum() > sum {
            let docs = self.members.roster_docs();
            self.send(&peer.address, PeerMessage::Rosters(docs));
        }
    }

    fn apply_view_delta(&mut self, now: Time, from: &Seat, delta: ViewDelta) {
        match self.views.apply_delta(now, &delta, &from.address) {
            DeltaOutcome::Applied => {
                self.record_loads(&delta.loads);
                if !self.members.is_local(&from.address) {
                    self.broadcast(0, Some(from), &PeerMessage::ViewDelta(delta));
                }
            }
            DeltaOutcome::Gap => self.send(&from.address, PeerMessage::NeedView(delta.domain)),
            DeltaOutcome::Outdated => {}
        }
    }

    fn record_loads(&mut self, loads: &[(base::TargetName, u32)]) {
        for (target, total) in loads {
            self.loads.record_report(target, *total);
        }
    }

    /// Pings every seat that is not known to have reached `revision`.
    pub(super) fn ping_outdated_seats(&mut self, now: Time, revision: base::Revision) {
        let statuses = self.members.seat_statuses(now);
        let outdated = statuses.into_iter().filter(|status| status.revision < Some(revision));
        let seats: Vec<Seat> = outdated.map(|status| status.seat).collect();
        let own_seat = self.config.seat.clone();
        self.ping_seats(now, seats.into_iter().filter(|seat| *seat != own_seat));
    }

    fn ping_seats(&mut self, now: Time, seats: impl Iterator<Item = Seat>) {
        let revision = self.sync.snapshot().revision();
        let rosters = self.members.roster_revision_sum();
        for seat in seats {
            self.last_nonce += 1;
            self.pings.insert(self.last_nonce, now);
            self.members.record_ping(now, &seat.address);
            let ping = PeerMessage::Ping { nonce: self.last_nonce, revision, rosters };
            self.send(&seat.address, ping);
        }
    }

    /// Pings all seats of this failure domain, so that they learn of a new revision. No answer is
    /// requested.
    pub(super) fn announce_revision(&mut self) {
        let revision = self.sync.snapshot().revision();
        let rosters = self.members.roster_revision_sum();
        for seat in self.members.local_peers() {
            self.send(&seat.address, PeerMessage::Ping { nonce: 0, revision, rosters });
        }
    }

    pub(super) fn ping_peers(&mut self, now: Time) {
        self.pings.retain(|_, asked_at| now.since(*asked_at) < PING_TIMEOUT);
        let round = self.members.ping_round(now, self.is_service_up);
        self.ping_seats(now, round.into_iter());
    }

    /// Confirms the configuration as current while no seat reaches the service. Every change is
    /// recorded by a seat, so none can have been accepted during that time.
    pub(super) fn confirm_config_in_outage(&mut self, now: Time) {
        if self.is_service_up || !self.sync.is_known() {
            return;
        }
        if let Some(at) = self.members.outage_confirmed_at(now) {
            self.sync.confirm(at);
        }
    }

    /// Asks peers for the whole configuration.
    pub(super) fn request_config(&mut self, now: Time) {
        for seat in self.members.ping_round(now, self.is_service_up) {
            let from = base::Revision(1);
            self.send(&seat.address, PeerMessage::NeedChanges { from });
        }
    }

    /// Sends this placer's full view to a peer that asks for a model which already has a ready
    /// replica: the peer has missed a change.
    fn resend_view(&mut self, peer: &Seat, model: &base::ModelName) {
        let own_view = self.views.iter().find(|view| view.domain == self.config.domain);
        let has_replica = |view: &&crate::DomainView| {
            view.replicas.iter().any(|replica| replica.model == *model && replica.ready)
        };
        let view = own_view.filter(has_replica).filter(|_| self.placer.fence().is_some()).cloned();
        if let Some(view) = view {
            self.send(&peer.address, PeerMessage::View(view));
        }
    }

    /// Sends the views of all failure domains to a new peer.
    fn send_all_views(&mut self, peer: &Seat) {
        for view in self.views.iter().cloned().collect::<Vec<_>>() {
            self.send(&peer.address, PeerMessage::View(view));
        }
    }

    fn answer_ping(&mut self, now: Time, from: &Seat, nonce: u64, revision: base::Revision) {
        let own_revision = self.sync.snapshot().revision();
        let fresh_age = self.sync.fresh_at().map(|at| now.since(at));
        let service_up = self.is_service_up;
        if nonce != 0 {
            let rosters = self.members.roster_revision_sum();
            let pong =
                PeerMessage::Pong { nonce, revision: own_revision, fresh_age, service_up, rosters };
            self.send(&from.address, pong);
        }
        if revision > own_revision {
            self.request_changes(from);
        }
    }

    fn request_changes(&mut self, peer: &Seat) {
        let from = base::Revision(self.sync.snapshot().revision().0 + 1);
        self.send(&peer.address, PeerMessage::NeedChanges { from });
    }

    /// Marks a pending call so that its answer is ignored.
    pub(super) fn ignore_answer(&mut self, op: crate::OpId) {
        if let Some(purpose) = self.outbox.pending.get_mut(&op) {
            *purpose = OpPurpose::Ignored;
        }
    }
}
