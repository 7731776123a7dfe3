//! Who is there: rosters, peers' signs of life and the platform's host list.

use std::time::Duration;

use base::{Address, DomainName, Incarnation, Revision, Seat, SortedMap, TargetName, Time};
use grant::{Roster, RosterStep, Units};

use crate::config_sync::to_json;
use crate::keys::roster_key;
use crate::{HostEntry, HostRole, HostsReport, RosterDoc, SeatStatus, StoreTxn};

/// Seats of a failure domain, in the order of their addresses, that ping the watchers in every
/// other round: the watchers themselves and the next in line. All others ping one seat in turn, so
/// that a watcher's traffic does not grow with its domain. A round takes a second.
const STANDBYS: usize = WATCHERS + 2;
/// Most other seats that are all pinged in each round of an outage, to confirm that none reaches
/// the service. In a larger fleet an outage can't be confirmed in time.
const OUTAGE_PINGS: usize = 16;
/// Every so many rounds the seat in turn is one of another failure domain.
const FAR_ROUNDS: usize = 4;
/// Seats of a failure domain that watch the service and tell the others.
const WATCHERS: usize = 2;
/// How long a sign of life counts.
const SILENT_SPAN: Duration = Duration::from_secs(6);
/// A peer that left a ping unanswered for this long is passed over where another can do.
const ANSWER_SPAN: Duration = Duration::from_millis(1_500);

/// What a peer last told.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerState {
    pub(crate) incarnation: Incarnation,
    pub(crate) heard_at: Option<Time>,
    /// First ping since then that is unanswered.
    pub(crate) asked_at: Option<Time>,
    pub(crate) revision: Option<Revision>,
    /// Moment of the ping whose answer said that the service does not answer.
    pub(crate) cut_off_at: Option<Time>,
}

/// Units that this seat has stopped using in order to give them away.
#[derive(Clone, Debug)]
struct Giving {
    step: RosterStep,
    units: Units,
    /// When no loan of the former, larger share can be unspent any more.
    ready_at: Time,
    /// Roster revision on which the gift is based. Only another revision proves that a write
    /// whose answer was lost can't take effect any more.
    revision: Revision,
}

/// The fleet's members as one daemon knows them.
#[derive(Clone, Debug)]
pub(crate) struct Members {
    own: Seat,
    domain: DomainName,
    total: Units,
    rosters: SortedMap<DomainName, (Revision, Roster)>,
    peers: SortedMap<Address, PeerState>,
    round: usize,
    next_near: usize,
    next_far: usize,
    giving: Option<Giving>,
    pub(crate) writing: bool,
    pub(crate) next_write: Time,
    hosts: Option<HostsReport>,
    /// Entry hosts that were listed once.
    listed: SortedMap<Address, ()>,
    leaving: Vec<TargetName>,
}

impl Members {
    pub(crate) fn new(own: Seat, domain: DomainName, total: Units) -> Members {
        Members {
            own,
            domain,
            total,
            rosters: SortedMap::default(),
            peers: SortedMap::default(),
            round: 0,
            next_near: 0,
            next_far: 0,
            giving: None,
            writing: false,
            next_write: Time::ZERO,
            hosts: None,
            listed: SortedMap::default(),
            leaving: Vec::new(),
        }
    }

    /// Takes a roster as it is stored. Older revisions than the known one are ignored. Returns
    /// whether it was taken.
    pub(crate) fn roster_seen(&mut self, doc: RosterDoc) -> bool {
        let RosterDoc { domain, revision, roster } = doc;
        if self.rosters.get(&domain).is_some_and(|(known, _)| *known >= revision) {
            return false;
        }
        if domain == self.domain {
            self.giving = self.giving.take().filter(|giving| giving.revision >= revision);
        }
        self.rosters.insert(domain, (revision, roster));
        true
    }

    /// Returns the sum of the rosters' revisions, which grows with each change of any.
    pub(crate) fn roster_sum(&self) -> u64 {
        self.rosters.values().map(|(revision, _)| revision.0).sum()
    }

    /// Returns all rosters as they are stored.
    pub(crate) fn roster_docs(&self) -> Vec<RosterDoc> {
        let docs = self.rosters.iter().map(|(domain, (revision, roster))| RosterDoc {
            domain: domain.clone(),
            revision: *revision,
            roster: roster.clone(),
        });
        docs.collect()
    }

    /// Returns whether this seat should watch the service: it is not seated yet, or one of the
    /// first seats of its failure domain that answer.
    pub(crate) fn is_watcher(&self, now: Time) -> bool {
        let Some((_, roster)) = self.own_roster().filter(|_| self.is_seated()) else { return true };
        let answers = |seat: &Seat| *seat == self.own || self.is_responsive(now, &seat.address);
        let watchers = roster.iter().filter(answers).take(WATCHERS);
        watchers.into_iter().any(|seat| seat == self.own)
    }

    /// Returns the units that this seat may use.
    pub(crate) fn usable_units(&self) -> Units {
        let held = self.own_roster().map_or(Units::ZERO, |(_, roster)| roster.units(&self.own));
        let given = self.giving.as_ref().map_or(Units::ZERO, |giving| giving.units);
        Units(held.0.saturating_sub(given.0))
    }

    pub(crate) fn is_seated(&self) -> bool {
        self.own_roster().is_some_and(|(_, roster)| roster.is_current(&self.own))
    }

    /// Returns the next write to the roster that is due, if any.
    pub(crate) fn next_txn(&mut self, now: Time, loan_span: Duration) -> Option<StoreTxn> {
        if self.writing || now < self.next_write {
            return None;
        }
        if let Some(giving) = &self.giving {
            let step = giving.step.clone();
            return if now >= giving.ready_at { self.step_txn(&step) } else { None };
        }
        let (revision, roster) = self.own_roster().cloned().unwrap_or_default();
        let step = match self.gone_address(&roster) {
            Some(address) => RosterStep::Remove(address),
            None => roster.next_step(&self.own)?,
        };
        if let RosterStep::Give(_, _, units) = step {
            let ready_at = now + loan_span;
            self.giving = Some(Giving { step, units, ready_at, revision });
            return None;
        }
        self.step_txn(&step)
    }

    /// Returns the write by which this seat leaves the roster and frees its units.
    pub(crate) fn leave_txn(&self) -> Option<StoreTxn> {
        self.is_seated().then(|| self.step_txn(&RosterStep::Remove(self.own.address.clone())))?
    }

    /// Returns all other seats, those of the own failure domain first, and the listed hosts that
    /// were heard of lately without being seated: they started while the service was down.
    pub(crate) fn others(&self, now: Time) -> Vec<Seat> {
        let near = self.own_roster().into_iter().flat_map(|(_, roster)| roster.iter());
        let far = self.rosters.iter().filter(|(domain, _)| **domain != self.domain);
        let far = far.flat_map(|(_, (_, roster))| roster.iter());
        let seated = near.chain(far).filter(|seat| *seat != self.own);
        let mut seats: Vec<Seat> = seated.chain(self.guests(now)).collect();
        if seats.is_empty() {
            seats = self.listed_hosts();
        }
        seats
    }

    fn guests(&self, now: Time) -> impl Iterator<Item = Seat> + '_ {
        let heard =
            move |peer: &PeerState| peer.heard_at.is_some_and(|at| now.since(at) < SILENT_SPAN);
        let unseated = |address: &Address| {
            !self.rosters.values().any(|(_, roster)| roster.seats.contains(address))
        };
        let guests =
            self.peers.iter().filter(move |(address, peer)| heard(peer) && unseated(address));
        guests
            .map(|(address, peer)| Seat { address: address.clone(), incarnation: peer.incarnation })
    }

    /// Returns the other seats of this failure domain.
    pub(crate) fn near(&self) -> Vec<Seat> {
        let seats = self.own_roster().into_iter().flat_map(|(_, roster)| roster.iter());
        seats.filter(|seat| *seat != self.own).collect()
    }

    /// Returns one seat of each other failure domain, a different one each time.
    pub(crate) fn bridges(&self, turn: usize) -> Vec<Seat> {
        let far = self.rosters.iter().filter(|(domain, _)| **domain != self.domain);
        far.filter_map(|(_, (_, roster))| {
            let seats: Vec<Seat> = roster.iter().collect();
            seats.get(turn % seats.len().max(1)).cloned()
        })
        .collect()
    }

    pub(crate) fn is_near(&self, address: &Address) -> bool {
        self.own_roster().is_some_and(|(_, roster)| roster.seats.contains(address))
    }

    /// Returns whether messages from `seat` are accepted: it is in a roster or in the host list,
    /// or neither is known yet.
    pub(crate) fn is_known(&self, seat: &Seat) -> bool {
        let seated = |(_, roster): &(Revision, Roster)| roster.seats.contains(&seat.address);
        self.rosters.values().any(seated)
            || self.listed_hosts().iter().any(|host| host.address == seat.address)
            || self.rosters.is_empty()
    }

    /// Returns the seats to ping in this round.
    pub(crate) fn ping_round(&mut self, now: Time, service_up: bool) -> Vec<Seat> {
        self.round += 1;
        let near = self.near();
        let others = self.others(now);
        if !service_up && others.len() <= OUTAGE_PINGS {
            return others;
        }
        let far = &others[near.len().min(others.len())..];
        let mut round = if self.round.is_multiple_of(FAR_ROUNDS) || near.is_empty() {
            in_turn(far, &mut self.next_far)
        } else {
            in_turn(&near, &mut self.next_near)
        };
        let rank = self
            .own_roster()
            .and_then(|(_, roster)| roster.iter().position(|seat| seat == self.own));
        if rank.is_none_or(|rank| rank < STANDBYS) && self.round.is_multiple_of(2) {
            round.extend(near.into_iter().take(WATCHERS));
            round.sort();
            round.dedup();
        }
        round
    }

    /// Notes that a peer was asked for a sign of life.
    pub(crate) fn asked(&mut self, now: Time, address: &Address) {
        let peer = self.peers.entry(address.clone(), PeerState::default);
        peer.asked_at.get_or_insert(now);
    }

    /// Notes a sign of life, and returns what is known of the peer.
    pub(crate) fn heard(&mut self, now: Time, seat: &Seat) -> &mut PeerState {
        let peer = self.peers.entry(seat.address.clone(), PeerState::default);
        if peer.incarnation != seat.incarnation {
            *peer = PeerState { incarnation: seat.incarnation, ..PeerState::default() };
        }
        peer.heard_at = Some(now);
        peer.asked_at = None;
        peer
    }

    /// Returns whether nothing was heard of this incarnation of a peer yet.
    pub(crate) fn is_new(&self, seat: &Seat) -> bool {
        let peer = self.peers.get(&seat.address);
        peer.is_none_or(|peer| peer.incarnation != seat.incarnation || peer.heard_at.is_none())
    }

    /// Returns whether the peer left no ping unanswered for long.
    pub(crate) fn is_responsive(&self, now: Time, address: &Address) -> bool {
        let asked = self.peers.get(address).and_then(|peer| peer.asked_at);
        asked.is_none_or(|at| now.since(at) < ANSWER_SPAN)
    }

    /// Returns since when every other seat surely had no path to the service, when all of them
    /// confirmed it.
    pub(crate) fn all_cut_off_since(&self, now: Time) -> Option<Time> {
        let seats = self.others(now);
        let confirmed = seats.iter().map(|seat| {
            let peer = self.peers.get(&seat.address)?;
            let fresh = peer.cut_off_at.filter(|at| now.since(*at) < SILENT_SPAN);
            fresh.filter(|_| peer.incarnation == seat.incarnation)
        });
        confirmed.collect::<Option<Vec<Time>>>()?.into_iter().min().or(Some(now))
    }

    /// Takes the platform's host list.
    pub(crate) fn hosts_seen(&mut self, hosts: HostsReport) {
        for host in hosts.hosts.iter().filter(|host| host.role == HostRole::Entry) {
            self.listed.insert(Address(host.name.clone()), ());
        }
        let targets = hosts.hosts.iter().filter(|h| h.role == HostRole::Target && h.leaving);
        self.leaving = targets.map(|host| TargetName(host.name.clone())).collect();
        self.leaving.sort();
        self.hosts = Some(hosts);
    }

    /// Returns the targets that are leaving, sorted.
    pub(crate) fn leaving(&self) -> &[TargetName] {
        &self.leaving
    }

    /// Returns the seats of this failure domain, sorted, when they are known.
    pub(crate) fn seated(&self) -> Option<Vec<Seat>> {
        self.own_roster().map(|(_, roster)| roster.iter().collect())
    }

    /// Iterates over the status of all seats.
    pub(crate) fn status(&self, now: Time) -> Vec<SeatStatus> {
        let mut status = Vec::new();
        for (domain, (_, roster)) in self.rosters.iter() {
            for seat in roster.iter() {
                let peer = self.peers.get(&seat.address);
                let peer = peer.filter(|peer| peer.incarnation == seat.incarnation);
                status.push(SeatStatus {
                    domain: domain.clone(),
                    units: roster.units(&seat),
                    revision: peer.and_then(|peer| peer.revision),
                    silent: peer.and_then(|peer| peer.heard_at).map(|at| now.since(at)),
                    seat,
                });
            }
        }
        status
    }

    fn own_roster(&self) -> Option<&(Revision, Roster)> {
        self.rosters.get(&self.domain)
    }

    fn step_txn(&self, step: &RosterStep) -> Option<StoreTxn> {
        let empty = (Revision(0), Roster::new(self.total));
        let (revision, roster) = self.own_roster().unwrap_or(&empty);
        let next = roster.apply(step)?;
        let key = roster_key(&self.domain);
        Some(StoreTxn::default().expect(key.clone(), *revision).put(key, to_json(&next)))
    }

    /// Returns a seat's address that the host list listed once and lists no more.
    fn gone_address(&self, roster: &Roster) -> Option<Address> {
        let hosts = self.hosts.as_ref().filter(|hosts| !hosts.hosts.is_empty())?;
        let present = |address: &Address| {
            let entry = |host: &&HostEntry| host.role == HostRole::Entry;
            hosts.hosts.iter().filter(entry).any(|host| host.name == address.0)
        };
        let gone = |address: &&Address| self.listed.contains(address) && !present(address);
        roster.seats.keys().find(gone).cloned()
    }

    fn listed_hosts(&self) -> Vec<Seat> {
        let hosts = self.hosts.iter().flat_map(|hosts| &hosts.hosts);
        hosts
            .filter(|host| host.role == HostRole::Entry && host.name != self.own.address.0)
            .map(|host| Seat {
                address: Address(host.name.clone()),
                incarnation: Incarnation::default(),
            })
            .collect()
    }
}

/// Returns one of the seats, each time the next one.
fn in_turn(seats: &[Seat], next: &mut usize) -> Vec<Seat> {
    let at = *next % seats.len().max(1);
    *next = at + 1;
    seats.get(at).cloned().into_iter().collect()
}
