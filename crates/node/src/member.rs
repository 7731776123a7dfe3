//! Membership: rosters, liveness of peers and the platform's host list.

use std::time::Duration;

use base::{Address, DomainName, Incarnation, Revision, Seat, SortedMap, TargetName, Time};
use grant::{Roster, RosterStep, Units};

use crate::config_sync::to_json;
use crate::keys::roster_key;
use crate::{HostEntry, HostList, HostRole, RosterDoc, SeatStatus, StoreTxn};

/// Number of seats of a failure domain, in address order, that ping the watchers in every second
/// round: the watchers themselves and the seats that would replace them. The other seats only ping
/// one seat per round in rotation, so that a watcher's traffic does not grow with the failure
/// domain. There is one round per second.
const WATCHER_PINGERS: usize = WATCHERS + 2;
/// Maximum number of other seats that are all pinged in each round of a service outage, to confirm
/// that none of them reaches the service. A larger fleet can't confirm an outage in time.
const MAX_OUTAGE_PINGS: usize = 16;
/// One in this many rounds pings a seat of another failure domain.
const REMOTE_ROUND_INTERVAL: usize = 4;
/// Number of seats per failure domain that watch the service and inform the others.
const WATCHERS: usize = 2;
/// How long a peer counts as alive after its last message.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(6);
/// A peer that has not answered a ping for this long is unresponsive: others are preferred.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_500);

/// The state of a peer, by its latest messages.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerState {
    pub(crate) incarnation: Incarnation,
    pub(crate) last_heard_at: Option<Time>,
    /// Time of the first unanswered ping since `last_heard_at`.
    pub(crate) pinged_at: Option<Time>,
    pub(crate) revision: Option<Revision>,
    /// Time of the ping to which the peer answered that it can't reach the service.
    pub(crate) service_down_at: Option<Time>,
}

/// A transfer of units from this seat to another, which this seat no longer uses itself.
#[derive(Clone, Debug)]
struct UnitTransfer {
    step: RosterStep,
    units: Units,
    /// Time from which every loan made from the larger share has expired.
    ready_at: Time,
    /// Roster revision on which the transfer is based. A write whose answer was lost may still take
    /// effect until a later revision is seen.
    revision: Revision,
}

/// The members of the fleet, as known to one daemon.
#[derive(Clone, Debug)]
pub(crate) struct Members {
    own_seat: Seat,
    domain: DomainName,
    total_units: Units,
    rosters: SortedMap<DomainName, (Revision, Roster)>,
    peers: SortedMap<Address, PeerState>,
    ping_rounds: usize,
    next_local: usize,
    next_remote: usize,
    transfer: Option<UnitTransfer>,
    pub(crate) is_writing: bool,
    pub(crate) next_write_at: Time,
    hosts: Option<HostList>,
    /// Entry hosts that have ever been in the host list.
    ever_listed: SortedMap<Address, ()>,
    leaving_targets: Vec<TargetName>,
}

impl Members {
    pub(crate) fn new(own_seat: Seat, domain: DomainName, total_units: Units) -> Members {
        Members {
            own_seat,
            domain,
            total_units,
            rosters: SortedMap::default(),
            peers: SortedMap::default(),
            ping_rounds: 0,
            next_local: 0,
            next_remote: 0,
            transfer: None,
            is_writing: false,
            next_write_at: Time::ZERO,
            hosts: None,
            ever_listed: SortedMap::default(),
            leaving_targets: Vec::new(),
        }
    }

    /// Replaces a failure domain's roster if `doc` has a later revision. Returns whether it was
    /// replaced.
    pub(crate) fn update_roster(&mut self, doc: RosterDoc) -> bool {
        let RosterDoc { domain, revision, roster } = doc;
        if self.rosters.get(&domain).is_some_and(|(known, _)| *known >= revision) {
            return false;
        }
        if domain == self.domain {
            self.transfer = self.transfer.take().filter(|transfer| transfer.revision >= revision);
        }
        self.rosters.insert(domain, (revision, roster));
        true
    }

    /// Returns the sum of all rosters' revisions, which grows with every change of a roster.
    pub(crate) fn roster_revision_sum(&self) -> u64 {
        self.rosters.values().map(|(revision, _)| revision.0).sum()
    }

    /// Returns all rosters with their revisions.
    pub(crate) fn roster_docs(&self) -> Vec<RosterDoc> {
        let docs = self.rosters.iter().map(|(domain, (revision, roster))| RosterDoc {
            domain: domain.clone(),
            revision: *revision,
            roster: roster.clone(),
        });
        docs.collect()
    }

    /// Returns whether this seat should watch the service: it is not in the roster yet, or is one
    /// of the first responsive seats of its failure domain.
    pub(crate) fn is_watcher(&self, now: Time) -> bool {
        let Some((_, roster)) = self.own_roster().filter(|_| self.is_seated()) else { return true };
        let is_answering =
            |seat: &Seat| *seat == self.own_seat || self.is_responsive(now, &seat.address);
        let watchers = roster.iter().filter(is_answering).take(WATCHERS);
        watchers.into_iter().any(|seat| seat == self.own_seat)
    }

    /// Returns the units that this seat may use: those it holds, except a pending transfer.
    pub(crate) fn usable_units(&self) -> Units {
        let held =
            self.own_roster().map_or(Units::ZERO, |(_, roster)| roster.units(&self.own_seat));
        let transferred = self.transfer.as_ref().map_or(Units::ZERO, |transfer| transfer.units);
        Units(held.0.saturating_sub(transferred.0))
    }

    /// Returns whether this seat is in its failure domain's roster.
    pub(crate) fn is_seated(&self) -> bool {
        self.own_roster().is_some_and(|(_, roster)| roster.is_current(&self.own_seat))
    }

    /// Returns the roster write that is due, if any. A transfer of units is written only after
    /// `loan_span`, when all loans made from these units have expired.
    pub(crate) fn next_txn(&mut self, now: Time, loan_span: Duration) -> Option<StoreTxn> {
        if self.is_writing || now < self.next_write_at {
            return None;
        }
        if let Some(transfer) = &self.transfer {
            let step = transfer.step.clone();
            return if now >= transfer.ready_at { self.step_txn(&step) } else { None };
        }
        let (revision, roster) = self.own_roster().cloned().unwrap_or_default();
        let step = match self.delisted_address(&roster) {
            Some(address) => RosterStep::Remove(address),
            None => roster.next_step(&self.own_seat)?,
        };
        if let RosterStep::Give(_, _, units) = step {
            let ready_at = now + loan_span;
            self.transfer = Some(UnitTransfer { step, units, ready_at, revision });
            return None;
        }
        self.step_txn(&step)
    }

    /// Returns the write that removes this seat from the roster and frees its units.
    pub(crate) fn leave_txn(&self) -> Option<StoreTxn> {
        self.is_seated()
            .then(|| self.step_txn(&RosterStep::Remove(self.own_seat.address.clone())))?
    }

    /// Returns all other seats, those of this failure domain first, followed by the live peers that
    /// are in no roster because they started while the service was down. Returns the listed entry
    /// hosts if there are none of these.
    pub(crate) fn other_seats(&self, now: Time) -> Vec<Seat> {
        let local = self.own_roster().into_iter().flat_map(|(_, roster)| roster.iter());
        let remote = self.rosters.iter().filter(|(domain, _)| **domain != self.domain);
        let remote = remote.flat_map(|(_, (_, roster))| roster.iter());
        let seated = local.chain(remote).filter(|seat| *seat != self.own_seat);
        let mut seats: Vec<Seat> = seated.chain(self.unseated_peers(now)).collect();
        if seats.is_empty() {
            seats = self.listed_hosts();
        }
        seats
    }

    /// Iterates over the live peers that are in no roster.
    fn unseated_peers(&self, now: Time) -> impl Iterator<Item = Seat> + '_ {
        let is_alive = move |peer: &PeerState| {
            peer.last_heard_at.is_some_and(|at| now.since(at) < LIVENESS_TIMEOUT)
        };
        let is_unseated = |address: &Address| {
            !self.rosters.values().any(|(_, roster)| roster.seats.contains(address))
        };
        let unseated =
            self.peers.iter().filter(move |(address, peer)| is_alive(peer) && is_unseated(address));
        unseated
            .map(|(address, peer)| Seat { address: address.clone(), incarnation: peer.incarnation })
    }

    /// Returns the other seats of this failure domain.
    pub(crate) fn local_peers(&self) -> Vec<Seat> {
        let seats = self.own_roster().into_iter().flat_map(|(_, roster)| roster.iter());
        seats.filter(|seat| *seat != self.own_seat).collect()
    }

    /// Returns one seat of each other failure domain, selected by `rotation`.
    pub(crate) fn remote_relays(&self, rotation: usize) -> Vec<Seat> {
        let remote = self.rosters.iter().filter(|(domain, _)| **domain != self.domain);
        remote
            .filter_map(|(_, (_, roster))| {
                let seats: Vec<Seat> = roster.iter().collect();
                seats.get(rotation % seats.len().max(1)).cloned()
            })
            .collect()
    }

    /// Returns whether a seat of this failure domain has this address.
    pub(crate) fn is_local(&self, address: &Address) -> bool {
        self.own_roster().is_some_and(|(_, roster)| roster.seats.contains(address))
    }

    /// Returns whether messages from `seat` are accepted: its address is in a roster or in the host
    /// list, or no roster is known yet.
    pub(crate) fn is_known(&self, seat: &Seat) -> bool {
        let is_seated_in = |(_, roster): &(Revision, Roster)| roster.seats.contains(&seat.address);
        self.rosters.values().any(is_seated_in)
            || self.listed_hosts().iter().any(|host| host.address == seat.address)
            || self.rosters.is_empty()
    }

    /// Starts a ping round and returns the seats to ping.
    pub(crate) fn ping_round(&mut self, now: Time, service_up: bool) -> Vec<Seat> {
        self.ping_rounds += 1;
        let local = self.local_peers();
        let others = self.other_seats(now);
        if !service_up && others.len() <= MAX_OUTAGE_PINGS {
            return others;
        }
        let remote = &others[local.len().min(others.len())..];
        let mut round =
            if self.ping_rounds.is_multiple_of(REMOTE_ROUND_INTERVAL) || local.is_empty() {
                next_in_turn(remote, &mut self.next_remote)
            } else {
                next_in_turn(&local, &mut self.next_local)
            };
        let rank = self
            .own_roster()
            .and_then(|(_, roster)| roster.iter().position(|seat| seat == self.own_seat));
        if rank.is_none_or(|rank| rank < WATCHER_PINGERS) && self.ping_rounds.is_multiple_of(2) {
            round.extend(local.into_iter().take(WATCHERS));
            round.sort();
            round.dedup();
        }
        round
    }

    /// Records that a peer was pinged.
    pub(crate) fn record_ping(&mut self, now: Time, address: &Address) {
        let peer = self.peers.entry(address.clone(), PeerState::default);
        peer.pinged_at.get_or_insert(now);
    }

    /// Records a message from a peer and returns the peer's state. The state is reset if the
    /// incarnation changed.
    pub(crate) fn record_contact(&mut self, now: Time, seat: &Seat) -> &mut PeerState {
        let peer = self.peers.entry(seat.address.clone(), PeerState::default);
        if peer.incarnation != seat.incarnation {
            *peer = PeerState { incarnation: seat.incarnation, ..PeerState::default() };
        }
        peer.last_heard_at = Some(now);
        peer.pinged_at = None;
        peer
    }

    /// Returns whether no message was received from this incarnation of a peer yet.
    pub(crate) fn is_new(&self, seat: &Seat) -> bool {
        let peer = self.peers.get(&seat.address);
        peer.is_none_or(|peer| peer.incarnation != seat.incarnation || peer.last_heard_at.is_none())
    }

    /// Returns whether the peer has left no ping unanswered for [`UNRESPONSIVE_AFTER`].
    pub(crate) fn is_responsive(&self, now: Time, address: &Address) -> bool {
        let pinged_at = self.peers.get(address).and_then(|peer| peer.pinged_at);
        pinged_at.is_none_or(|at| now.since(at) < UNRESPONSIVE_AFTER)
    }

    /// Returns a time at which no other seat reached the service, if every other seat has recently
    /// confirmed this by its answer to a ping. It is the time of the oldest of these pings, or
    /// `now` if there are no other seats.
    pub(crate) fn outage_confirmed_at(&self, now: Time) -> Option<Time> {
        let seats = self.other_seats(now);
        let confirmed = seats.iter().map(|seat| {
            let peer = self.peers.get(&seat.address)?;
            let recent = peer.service_down_at.filter(|at| now.since(*at) < LIVENESS_TIMEOUT);
            recent.filter(|_| peer.incarnation == seat.incarnation)
        });
        confirmed.collect::<Option<Vec<Time>>>()?.into_iter().min().or(Some(now))
    }

    /// Replaces the platform's host list.
    pub(crate) fn update_hosts(&mut self, hosts: HostList) {
        for host in hosts.hosts.iter().filter(|host| host.role == HostRole::Entry) {
            self.ever_listed.insert(Address(host.name.clone()), ());
        }
        let targets = hosts.hosts.iter().filter(|h| h.role == HostRole::Target && h.leaving);
        self.leaving_targets = targets.map(|host| TargetName(host.name.clone())).collect();
        self.leaving_targets.sort();
        self.hosts = Some(hosts);
    }

    /// Returns the targets that are leaving, sorted.
    pub(crate) fn leaving_targets(&self) -> &[TargetName] {
        &self.leaving_targets
    }

    /// Returns all seats of this failure domain, sorted, or `None` if its roster is unknown.
    pub(crate) fn local_seats(&self) -> Option<Vec<Seat>> {
        self.own_roster().map(|(_, roster)| roster.iter().collect())
    }

    /// Returns the status of every seat.
    pub(crate) fn seat_statuses(&self, now: Time) -> Vec<SeatStatus> {
        let mut statuses = Vec::new();
        for (domain, (_, roster)) in self.rosters.iter() {
            for seat in roster.iter() {
                let peer = self.peers.get(&seat.address);
                let peer = peer.filter(|peer| peer.incarnation == seat.incarnation);
                statuses.push(SeatStatus {
                    domain: domain.clone(),
                    units: roster.units(&seat),
                    revision: peer.and_then(|peer| peer.revision),
                    silent_for: peer.and_then(|peer| peer.last_heard_at).map(|at| now.since(at)),
                    seat,
                });
            }
        }
        statuses
    }

    fn own_roster(&self) -> Option<&(Revision, Roster)> {
        self.rosters.get(&self.domain)
    }

    fn step_txn(&self, step: &RosterStep) -> Option<StoreTxn> {
        let empty = (Revision(0), Roster::new(self.total_units));
        let (revision, roster) = self.own_roster().unwrap_or(&empty);
        let next = roster.apply(step)?;
        let key = roster_key(&self.domain);
        Some(StoreTxn::default().expect(key.clone(), *revision).put(key, to_json(&next)))
    }

    /// Returns the address of a seat that has disappeared from the host list, if any.
    fn delisted_address(&self, roster: &Roster) -> Option<Address> {
        let hosts = self.hosts.as_ref().filter(|hosts| !hosts.hosts.is_empty())?;
        let is_listed = |address: &Address| {
            let is_entry = |host: &&HostEntry| host.role == HostRole::Entry;
            hosts.hosts.iter().filter(is_entry).any(|host| host.name == address.0)
        };
        let is_delisted =
            |address: &&Address| self.ever_listed.contains(address) && !is_listed(address);
        roster.seats.keys().find(is_delisted).cloned()
    }

    /// Returns the other entry hosts in the host list. Their incarnations are not known.
    fn listed_hosts(&self) -> Vec<Seat> {
        let hosts = self.hosts.iter().flat_map(|hosts| &hosts.hosts);
        hosts
            .filter(|host| host.role == HostRole::Entry && host.name != self.own_seat.address.0)
            .map(|host| Seat {
                address: Address(host.name.clone()),
                incarnation: Incarnation::default(),
            })
            .collect()
    }
}

/// Returns the next seat in rotation, or none if there are no seats.
fn next_in_turn(seats: &[Seat], next: &mut usize) -> Vec<Seat> {
    let at = *next % seats.len().max(1);
    *next = at + 1;
    seats.get(at).cloned().into_iter().collect()
}
