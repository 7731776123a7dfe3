//! Messages of peers.

use base::{Seat, Time};
use config::Change;

use super::{Node, OpPurpose};
use crate::{PeerMessage, SnapshotDoc};

/// Answers to pings are waited for no longer than this.
const PING_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(3);

impl Node {
    pub(super) fn peer_message(&mut self, now: Time, from: Seat, message: PeerMessage) {
        if !self.members.is_known(&from) {
            return;
        }
        if self.members.is_new(&from) {
            self.greet(&from);
        }
        self.members.heard(now, &from);
        match message {
            PeerMessage::Ping { nonce, revision } => self.pinged(now, &from, nonce, revision),
            PeerMessage::Pong { nonce, revision, fresh_age, service_up } => {
                let Some(asked_at) = self.pings.remove(&nonce) else { return };
                let peer = self.members.heard(now, &from);
                peer.revision = Some(revision);
                peer.cut_off_at = (!service_up).then_some(asked_at);
                let own = self.sync.snapshot().revision();
                if revision > own {
                    self.need_changes(&from);
                } else if let (Some(age), true) = (fresh_age, revision == own) {
                    self.sync.confirm(asked_at - age);
                }
                self.confirm_outage(now);
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
            PeerMessage::Changes(changes) => self.take_changes(now, &changes, Some(&from)),
            PeerMessage::Snapshot(doc) => {
                if self.sync.install(doc.into()) {
                    self.config_changed(now);
                    self.tell_revision();
                }
            }
            PeerMessage::Borrow { draw, team, wanted } => {
                let offer = self.tokens.lend(now, &from, &team, wanted);
                self.send(&from.address, PeerMessage::Lend { draw, team, offer });
            }
            PeerMessage::Lend { draw, team, offer } => {
                self.tokens.lent(now, &from, draw, &team, offer);
            }
            PeerMessage::Settle { lender, team, settlement } => {
                if lender == self.config.seat.incarnation {
                    self.tokens.settled(now, &from, &team, settlement);
                }
            }
            PeerMessage::Want(want) => self.placer.want(now, &want),
            PeerMessage::WantAnswer(answer) => self.want_answered(now, &answer),
            PeerMessage::View(view) => {
                let loads = view.loads.clone();
                if self.views.take(now, view, Some(from.address)) {
                    for (target, total) in &loads {
                        self.loads.reported(target, *total);
                    }
                }
            }
            PeerMessage::AskOrders(orders) => {
                let disowned = self.placer.disown(&orders);
                if !disowned.is_empty() {
                    self.send(&from.address, PeerMessage::Disowned(disowned));
                }
            }
            PeerMessage::Disowned(orders) => self.placer.disowned(now, &from, &orders),
        }
    }

    /// Applies changes, passes them on, and asks for missing ones.
    pub(super) fn take_changes(&mut self, now: Time, changes: &[Change], from: Option<&Seat>) {
        let applied = self.sync.apply(changes);
        let own = self.sync.snapshot().revision();
        if applied > 0 {
            self.out.note(format!("configuration revision {own}"));
            self.config_changed(now);
            self.pass_on(changes, from);
        }
        if changes.last().is_some_and(|change| change.revision > own) {
            match from {
                Some(peer) => self.need_changes(&peer.clone()),
                None => self.catch_up(),
            }
        }
    }

    /// Tells the other seats of the failure domain, and one seat of each other failure domain,
    /// unless the changes came from a seat that did so already.
    fn pass_on(&mut self, changes: &[Change], from: Option<&Seat>) {
        let from_near = from.is_some_and(|seat| self.members.is_near(&seat.address));
        let mut receivers = if from_near { Vec::new() } else { self.members.near() };
        if from.is_none() {
            let turn = changes.last().map_or(0, |change| change.revision.0 as usize);
            receivers.extend(self.members.bridges(turn));
        }
        for seat in receivers {
            self.send(&seat.address, PeerMessage::Changes(changes.to_vec()));
        }
    }

    /// Pings all seats at once, so that they learn of a newer revision.
    pub(super) fn tell_revision(&mut self) {
        let revision = self.sync.snapshot().revision();
        for seat in self.members.near() {
            self.send(&seat.address, PeerMessage::Ping { nonce: 0, revision });
        }
    }

    pub(super) fn ping_peers(&mut self, now: Time) {
        self.pings.retain(|_, asked_at| now.since(*asked_at) < PING_TIMEOUT);
        let revision = self.sync.snapshot().revision();
        for seat in self.members.ping_round(now) {
            self.last_nonce += 1;
            self.pings.insert(self.last_nonce, now);
            let ping = PeerMessage::Ping { nonce: self.last_nonce, revision };
            self.send(&seat.address, ping);
        }
    }

    /// Counts the configuration as the latest while no seat reaches the service: all changes
    /// pass through seats, so none can have been accepted.
    pub(super) fn confirm_outage(&mut self, now: Time) {
        if self.service_up || !self.sync.is_known() {
            return;
        }
        if let Some(since) = self.members.all_cut_off_since(now) {
            self.sync.confirm(since);
        }
    }

    pub(super) fn ask_for_config(&mut self, now: Time) {
        for seat in self.members.ping_round(now) {
            let from = base::Revision(1);
            self.send(&seat.address, PeerMessage::NeedChanges { from });
        }
    }

    /// Tells a new peer where replicas are.
    fn greet(&mut self, peer: &Seat) {
        for view in self.views.iter().cloned().collect::<Vec<_>>() {
            self.send(&peer.address, PeerMessage::View(view));
        }
    }

    fn pinged(&mut self, now: Time, from: &Seat, nonce: u64, revision: base::Revision) {
        let own = self.sync.snapshot().revision();
        let fresh_age = self.sync.fresh_at().map(|at| now.since(at));
        let service_up = self.service_up;
        if nonce != 0 {
            let pong = PeerMessage::Pong { nonce, revision: own, fresh_age, service_up };
            self.send(&from.address, pong);
        }
        if revision > own {
            self.need_changes(from);
        }
    }

    fn need_changes(&mut self, peer: &Seat) {
        let from = base::Revision(self.sync.snapshot().revision().0 + 1);
        self.send(&peer.address, PeerMessage::NeedChanges { from });
    }

    /// Forgets a call whose answer no longer matters.
    pub(super) fn forget_call(&mut self, op: crate::OpId) {
        if let Some(purpose) = self.out.pending.get_mut(&op) {
            *purpose = OpPurpose::Forgotten;
        }
    }
}
