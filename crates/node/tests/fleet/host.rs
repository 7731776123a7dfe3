//! Processes of entry hosts, and the events that the daemon's own tasks deliver to the node.

use std::time::Duration;

use base::{Incarnation, Time};
use mango_node::{Event, HostEntry, HostList, HostRole, Node, NodeConfig, ServiceEvent};
use place::{IdlePolicy, PlaceConfig};

use super::target::Target;
use super::{Delivery, SimFleet, DOMAINS, LEASE};

impl SimFleet {
    /// Starts a process at a host and ends the former one, if any.
    pub fn start(&mut self, index: usize) {
        if self.hosts[index].node.is_some() {
            self.kill(index);
        }
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let place = PlaceConfig::default()
            .load_slots(2)
            .order_drain(Duration::from_secs(20))
            .reserve(1, DOMAINS.len())
            .idle_policy(IdlePolicy::Fixed(Duration::from_secs(4)));
        let host = &mut self.hosts[index];
        let config =
            NodeConfig::new(base::Address(Self::address(index)), host.domain.parse().unwrap())
                .incarnation(Incarnation(incarnation))
                .domains(DOMAINS.len())
                .place(place);
        host.node = Some(Node::new(self.now, config));
        host.incarnation = incarnation;
        host.is_frozen = false;
        host.is_freeze_pending = false;
        host.has_listing = false;
        host.last_revision = 0;
        host.lease_renewed_at = Time::ZERO;
        host.frozen_span = Duration::ZERO;
        host.pending_actions.clear();
        host.pending_events.clear();
        host.polled_targets.clear();
        host.is_watching = true;
        self.listed_hosts.insert(index);
    }

    /// Ends a host's process and its requests. Messages and calls that it has sent are
    /// still delivered.
    pub fn kill(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.node = None;
        host.pending_actions.clear();
        host.pending_events.clear();
        host.polled_targets.clear();
        let incarnation = host.incarnation;
        self.oracle.record_killed(index, incarnation);
    }

    /// Removes a host from the platform's host list if its process has ended.
    pub fn unlist(&mut self, index: usize) {
        if self.hosts[index].node.is_none() {
            self.listed_hosts.remove(&index);
        }
    }

    /// Freezes a host: now, or before it carries out the next actions that it decides on.
    pub fn freeze(&mut self, index: usize, before_actions: bool) {
        let host = &mut self.hosts[index];
        if before_actions {
            host.is_freeze_pending = true;
        } else {
            host.is_frozen = true;
        }
    }

    /// Thaws a host: it first carries out the actions that it had decided on, then handles the
    /// events that arrived meanwhile.
    pub fn thaw(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.is_frozen = false;
        host.is_freeze_pending = false;
        let (pending_actions, pending_events) =
            (std::mem::take(&mut host.pending_actions), std::mem::take(&mut host.pending_events));
        for action in pending_actions {
            self.perform(index, action);
        }
        for event in pending_events {
            self.handle(index, event);
        }
    }

    /// Delivers the events of a daemon's own tasks: the service's listing, watched changes, lease
    /// renewals, the host list and target reports.
    pub(super) fn deliver_host_events(&mut self, index: usize) {
        if self.hosts[index].node.is_none() || self.hosts[index].is_frozen {
            return;
        }
        let now = self.now;
        let millis = now.as_micros() / 1_000;
        let is_cut = self.hosts[index].is_service_cut || self.service.is_down;
        if is_cut {
            self.hosts[index].has_listing = false;
            if millis.is_multiple_of(500) {
                self.handle(index, Event::Service(ServiceEvent::Down));
            }
        } else if !self.hosts[index].is_watching {
            self.hosts[index].has_listing = false;
            if millis.is_multiple_of(5_000) {
                let head = self.service.head();
                let event = ServiceEvent::HeadRead { asked_at: now, head };
                self.handle(index, Event::Service(event));
            }
        } else {
            self.deliver_watch_events(index, millis);
        }
        if millis.is_multiple_of(500) {
            let hosts = self.host_list();
            self.handle(index, Event::Hosts(hosts));
        }
        if millis.is_multiple_of(250) {
            let incarnation = self.hosts[index].incarnation;
            for (target, _) in self.hosts[index].polled_targets.clone() {
                let delay = self.latency();
                self.schedule(delay, Delivery::Poll(index, incarnation, target, now));
            }
        }
    }

    /// Delivers the service's events to a host that watches it, and renews the host's lease.
    pub(super) fn deliver_watch_events(&mut self, index: usize, millis: u64) {
        let now = self.now;
        if !self.hosts[index].has_listing {
            self.hosts[index].has_listing = true;
            self.hosts[index].watched_revision = self.service.revision;
            let event = Event::Service(self.service.list(now));
            self.handle(index, event);
        }
        let events = self.service.events_after(self.hosts[index].watched_revision);
        self.hosts[index].watched_revision = self.service.revision;
        if !events.is_empty() {
            self.handle(index, Event::Service(ServiceEvent::Watched(events)));
        }
        if millis.is_multiple_of(500) {
            let head = self.service.head();
            self.handle(index, Event::Service(ServiceEvent::HeadRead { asked_at: now, head }));
        }
        if now.since(self.hosts[index].lease_renewed_at) >= Duration::from_secs(1) {
            self.hosts[index].lease_renewed_at = now;
            let incarnation = self.hosts[index].incarnation;
            let (lease, is_intact) = self.service.renew_lease(index, incarnation, now + LEASE);
            if !is_intact {
                self.handle(index, Event::Service(ServiceEvent::LeaseLost));
            }
            let event = ServiceEvent::LeaseRenewed { lease, until: now + LEASE };
            self.handle(index, Event::Service(event));
        }
    }

    /// Returns the platform's host list.
    pub(super) fn host_list(&self) -> HostList {
        let entry = |index: &usize| HostEntry {
            role: HostRole::Entry,
            name: Self::address(*index),
            domain: self.hosts[*index].domain.parse().unwrap(),
            leaving: false,
        };
        let target = |(name, target): (&String, &Target)| HostEntry {
            role: HostRole::Target,
            name: name.parse().unwrap(),
            domain: target.domain.parse().unwrap(),
            leaving: self.leaving.contains(name),
        };
        let targets = self.targets.iter().map(target);
        HostList { hosts: self.listed_hosts.iter().map(entry).chain(targets).collect() }
    }
}
