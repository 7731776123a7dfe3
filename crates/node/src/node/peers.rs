//! Messages of peers.

use base::{Seat, Time};
use config::Change;

use super::{Node, OpPurpose};
use crate::view::DeltaOutcome;
use crate::{PeerMessage, RosterDoc, SnapshotDoc, ViewDelta};

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
            PeerMessage::Ping { nonce, revision, rosters } => {
                self.pinged(now, &from, nonce, revision);
                self.compare_rosters(&from, rosters);
            }
            PeerMessage::Pong { nonce, revision, fresh_age, service_up, rosters } => {
                self.compare_rosters(&from, rosters);
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
            PeerMessage::Want(want) => {
                self.place_soon = true;
                self.placer.add_demand(now, &want);
                if !want.extra {
                    self.remind(&from, &want.model);
                }
            }
            PeerMessage::WantAnswer(answer) => self.want_answered(now, &answer),
            PeerMessage::View(view) => {
                if self.views.take(now, view.clone(), Some(from.address.clone())) {
                    self.take_loads(&view.loads);
                    if !self.members.is_near(&from.address) {
                        self.spread(0, Some(&from), &PeerMessage::View(view));
                    }
                }
            }
            PeerMessage::ViewDelta(delta) => self.take_delta(now, &from, delta),
            PeerMessage::NeedView(domain) => {
                let view = self.views.iter().find(|view| view.domain == domain).cloned();
                if let Some(view) = view {
                    self.send(&from.address, PeerMessage::View(view));
                }
            }
            PeerMessage::Rosters(docs) => self.take_rosters(docs, Some(&from)),
            PeerMessage::AskOrders(orders) => {
                let disowned = self.placer.disown_orders(&orders);
                if !disowned.is_empty() {
                    self.send(&from.address, PeerMessage::Disowned(disowned));
                }
            }
            PeerMessage::Disowned(orders) => self.placer.apply_disowned(now, &from, &orders),
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
        let turn = changes.last().map_or(0, |change| change.revision.0);
        self.spread(turn, from, &PeerMessage::Changes(changes.to_vec()));
    }

    /// Sends news to the other seats of the failure domain and to one seat of each other one, the
    /// `turn`th. News from another failure domain goes to the own one only; news from the own one
    /// has reached it already.
    pub(super) fn spread(&mut self, turn: u64, from: Option<&Seat>, message: &PeerMessage) {
        let from_near = from.is_some_and(|seat| self.members.is_near(&seat.address));
        let mut receivers = if from_near { Vec::new() } else { self.members.near() };
        if from.is_none() {
            let turn = usize::try_from(turn).unwrap_or(0);
            receivers.extend(self.members.bridges(turn));
        }
        for seat in receivers {
            self.send(&seat.address, message.clone());
        }
    }

    /// Takes rosters and passes on those that are new.
    pub(super) fn take_rosters(&mut self, docs: Vec<RosterDoc>, from: Option<&Seat>) {
        for doc in docs {
            let turn = doc.revision.0;
            if self.members.roster_seen(doc.clone()) {
                self.spread(turn, from, &PeerMessage::Rosters(vec![doc]));
            }
        }
    }

    /// Sends all rosters to a peer that knows older ones.
    fn compare_rosters(&mut self, peer: &Seat, sum: u64) {
        if self.members.roster_sum() > sum {
            let docs = self.members.roster_docs();
            self.send(&peer.address, PeerMessage::Rosters(docs));
        }
    }

    fn take_delta(&mut self, now: Time, from: &Seat, delta: ViewDelta) {
        match self.views.take_delta(now, &delta, &from.address) {
            DeltaOutcome::Taken => {
                self.take_loads(&delta.loads);
                if !self.members.is_near(&from.address) {
                    self.spread(0, Some(from), &PeerMessage::ViewDelta(delta));
                }
            }
            DeltaOutcome::Gap => self.send(&from.address, PeerMessage::NeedView(delta.domain)),
            DeltaOutcome::Known => {}
        }
    }

    fn take_loads(&mut self, loads: &[(base::TargetName, u32)]) {
        for (target, total) in loads {
            self.loads.record_report(target, *total);
        }
    }

    /// Pings every seat that is not known to have a revision.
    pub(super) fn probe(&mut self, now: Time, revision: base::Revision) {
        let status = self.members.status(now);
        let behind = status.into_iter().filter(|status| status.revision < Some(revision));
        let seats: Vec<Seat> = behind.map(|status| status.seat).collect();
        let own = self.config.seat.clone();
        self.ping_seats(now, seats.into_iter().filter(|seat| *seat != own));
    }

    fn ping_seats(&mut self, now: Time, seats: impl Iterator<Item = Seat>) {
        let revision = self.sync.snapshot().revision();
        let rosters = self.members.roster_sum();
        for seat in seats {
            self.last_nonce += 1;
            self.pings.insert(self.last_nonce, now);
            self.members.asked(now, &seat.address);
            let ping = PeerMessage::Ping { nonce: self.last_nonce, revision, rosters };
            self.send(&seat.address, ping);
        }
    }

    /// Pings all seats at once, so that they learn of a newer revision.
    pub(super) fn tell_revision(&mut self) {
        let revision = self.sync.snapshot().revision();
        let rosters = self.members.roster_sum();
        for seat in self.members.near() {
            self.send(&seat.address, PeerMessage::Ping { nonce: 0, revision, rosters });
        }
    }

    pub(super) fn ping_peers(&mut self, now: Time) {
        self.pings.retain(|_, asked_at| now.since(*asked_at) < PING_TIMEOUT);
        let round = self.members.ping_round(now, self.service_up);
        self.ping_seats(now, round.into_iter());
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
        for seat in self.members.ping_round(now, self.service_up) {
            let from = base::Revision(1);
            self.send(&seat.address, PeerMessage::NeedChanges { from });
        }
    }

    /// Sends this placer's whole view to a gateway that wants a model which is ready in it: the
    /// gateway missed a change.
    fn remind(&mut self, gateway: &Seat, model: &base::ModelName) {
        let own = self.views.iter().find(|view| view.domain == self.config.domain);
        let ready = |view: &&crate::DomainView| {
            view.replicas.iter().any(|replica| replica.model == *model && replica.ready)
        };
        let view = own.filter(ready).filter(|_| self.placer.fence().is_some()).cloned();
        if let Some(view) = view {
            self.send(&gateway.address, PeerMessage::View(view));
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
            let rosters = self.members.roster_sum();
            let pong = PeerMessage::Pong { nonce, revision: own, fresh_age, service_up, rosters };
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
