//! Hosts: their processes, and what their own tasks bring.

use std::time::Duration;

use base::{Incarnation, Time};
use mango_node::{Event, HostEntry, HostList, HostRole, Node, NodeConfig, ServiceEvent};
use place::{IdlePolicy, PlaceConfig};

use super::target::Target;
use super::{Delivery, World, DOMAINS, LEASE};

impl World {
    /// Starts a process at a host, in place of any former one.
    pub fn start(&mut self, at: usize) {
        if self.hosts[at].node.is_some() {
            self.kill(at);
        }
        self.next_incarnation += 1;
        let incarnation = self.next_incarnation;
        let place = PlaceConfig::default()
            .load_slots(2)
            .order_drain(Duration::from_secs(20))
            .reserve(1, DOMAINS.len())
            .idle_policy(IdlePolicy::Fixed(Duration::from_secs(4)));
        let host = &mut self.hosts[at];
        let config =
            NodeConfig::new(base::Address(Self::address(at)), host.domain.parse().unwrap())
                .incarnation(Incarnation(incarnation))
                .domains(DOMAINS.len())
                .place(place);
        host.node = Some(Node::new(self.now, config));
        host.incarnation = incarnation;
        host.frozen = false;
        host.freeze_next = false;
        host.listed = false;
        host.last_revision = 0;
        host.last_lease = Time::ZERO;
        host.frozen_span = Duration::ZERO;
        host.held.clear();
        host.inbox.clear();
        host.polls.clear();
        host.watching = true;
        self.listed_hosts.insert(at);
    }

    /// Ends a process. Its connections end with it; what is on the wire stays there.
    pub fn kill(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        host.node = None;
        host.held.clear();
        host.inbox.clear();
        host.polls.clear();
        let incarnation = host.incarnation;
        self.oracle.killed(at, incarnation);
    }

    /// Removes a host whose process ended from the platform's list.
    pub fn unlist(&mut self, at: usize) {
        if self.hosts[at].node.is_none() {
            self.listed_hosts.remove(&at);
        }
    }

    pub fn freeze(&mut self, at: usize, before_actions: bool) {
        let host = &mut self.hosts[at];
        if before_actions {
            host.freeze_next = true;
        } else {
            host.frozen = true;
        }
    }

    /// Lets a host go on: first with the actions that it had decided on, then with what arrived.
    pub fn thaw(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        host.frozen = false;
        host.freeze_next = false;
        let (held, inbox) = (std::mem::take(&mut host.held), std::mem::take(&mut host.inbox));
        for action in held {
            self.perform(at, action);
        }
        for event in inbox {
            self.handle(at, event);
        }
    }

    /// Delivers what a daemon's own tasks bring: lists, watched changes, leases, hosts, reports.
    pub(super) fn serve_host(&mut self, at: usize) {
        if self.hosts[at].node.is_none() || self.hosts[at].frozen {
            return;
        }
        let now = self.now;
        let millis = now.as_micros() / 1_000;
        let cut = self.hosts[at].service_cut || self.service.down;
        if cut {
            self.hosts[at].listed = false;
            if millis.is_multiple_of(500) {
                self.handle(at, Event::Service(ServiceEvent::Down));
            }
        } else if !self.hosts[at].watching {
            self.hosts[at].listed = false;
            if millis.is_multiple_of(5_000) {
                let head = self.service.head();
                let event = ServiceEvent::HeadRead { asked_at: now, head };
                self.handle(at, Event::Service(event));
            }
        } else {
            self.serve_watcher(at, millis);
        }
        if millis.is_multiple_of(500) {
            let hosts = self.host_list();
            self.handle(at, Event::Hosts(hosts));
        }
        if millis.is_multiple_of(250) {
            let incarnation = self.hosts[at].incarnation;
            for (target, _) in self.hosts[at].polls.clone() {
                let delay = self.latency();
                self.push(delay, Delivery::Poll(at, incarnation, target, now));
            }
        }
    }

    pub(super) fn serve_watcher(&mut self, at: usize, millis: u64) {
        let now = self.now;
        if !self.hosts[at].listed {
            self.hosts[at].listed = true;
            self.hosts[at].seen = self.service.revision;
            let event = Event::Service(self.service.list(now));
            self.handle(at, event);
        }
        let events = self.service.events_after(self.hosts[at].seen);
        self.hosts[at].seen = self.service.revision;
        if !events.is_empty() {
            self.handle(at, Event::Service(ServiceEvent::Watched(events)));
        }
        if millis.is_multiple_of(500) {
            let head = self.service.head();
            self.handle(at, Event::Service(ServiceEvent::HeadRead { asked_at: now, head }));
        }
        if now.since(self.hosts[at].last_lease) >= Duration::from_secs(1) {
            self.hosts[at].last_lease = now;
            let incarnation = self.hosts[at].incarnation;
            let (lease, kept) = self.service.keep_lease(at, incarnation, now + LEASE);
            if !kept {
                self.handle(at, Event::Service(ServiceEvent::LeaseLost));
            }
            let event = ServiceEvent::LeaseRenewed { lease, until: now + LEASE };
            self.handle(at, Event::Service(event));
        }
    }

    pub(super) fn host_list(&self) -> HostList {
        let entry = |at: &usize| HostEntry {
            role: HostRole::Entry,
            name: Self::address(*at),
            domain: self.hosts[*at].domain.parse().unwrap(),
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
