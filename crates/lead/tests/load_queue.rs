//! Many models that lack a copy at the same time.

mod common;

use std::collections::BTreeSet;

use base::Time;
use common::{at, entry, layout_of, lead_of, model, orders, report, sync};
use fleet::{ModelDemand, OrderKind, OrderReply, TargetEntry, WeightCopies};
use mango_lead::{Lead, LeadAction};

const ENGINES: usize = 24;

/// A fleet whose engines each held `x` and `y` models of their own and lost them by a restart, so
/// that they are empty and have them on their disks, beside `cold` models that no engine ever held.
struct Fleet {
    lead: Lead,
    engines: Vec<String>,
    cold: Vec<String>,
}

impl Fleet {
    fn start(cold: usize) -> Fleet {
        let engines: Vec<String> = (0..ENGINES).map(|n| format!("t{n:02}")).collect();
        let cold: Vec<String> = (0..cold).map(|n| format!("cold{n:02}")).collect();
        let own = engines.iter().flat_map(|name| [format!("x{name}"), format!("y{name}")]);
        let models: Vec<String> = own.chain(cold.iter().cloned()).collect();
        let mut lead = lead_of(layout_of(&models), &[]);
        let list = |models: &dyn Fn(&str) -> Vec<String>, born: u64| -> Vec<_> {
            let entry_of = |(port, name): (u16, &String)| {
                let held = models(name);
                let held: Vec<&str> = held.iter().map(String::as_str).collect();
                let mut entry = entry(name, &held);
                entry.address.set_port(2_000 + port);
                entry.born_ms = born;
                entry
            };
            (0..).zip(&engines).map(entry_of).collect()
        };
        lead.targets_listed(at(0), &list(&|name| vec![format!("x{name}"), format!("y{name}")], 1));
        lead.targets_listed(at(10), &list(&|_| Vec::new(), 2));
        lead.plan(at(10));
        for name in &engines {
            let name = name.parse().unwrap();
            lead.reported(at(20), &name, at(15), Some(&report(0, false, &[])));
        }
        Fleet { lead, engines, cold }
    }

    /// Has daemons report so many requests that wait for each of some models.
    fn wait_for(&mut self, now: Time, names: &[String], waiting: u32) {
        let demand = names.iter().map(|name| ModelDemand {
            model: model(name),
            arrivals: waiting,
            tokens: u64::from(waiting) * 9_000,
            waiting,
            oldest_ms: 0,
            priority: 1,
        });
        let report = sync(&names[0], demand.collect());
        self.lead.synced(now, &report);
    }

    fn loaded(&self) -> BTreeSet<String> {
        self.lead.loads().into_iter().map(|(_, model, _)| model.to_string()).collect()
    }
}

/// Guards against models that are never served while engines that have them on their disks are
/// idle: models that need the weight store, and are asked for more often, must not hold them back.
#[test]
fn idle_disks() {
    let mut fleet = Fleet::start(40);
    let own: Vec<String> = fleet.engines.iter().map(|name| format!("x{name}")).collect();
    let cold = fleet.cold.clone();
    fleet.wait_for(at(2_100), &cold, 6);
    fleet.wait_for(at(2_101), &own, 1);
    orders(&mut fleet.lead, at(2_300));
    let loaded = fleet.loaded();
    let missing: Vec<_> = own.iter().filter(|name| !loaded.contains(*name)).collect();
    assert_eq!(missing, Vec::<&String>::new(), "engines with these on their disks are idle");
}

/// Guards against a weight store that idles while models wait for it: models on the disks of busy
/// engines must not hold them back.
#[test]
fn idle_store() {
    let mut fleet = Fleet::start(4);
    let own = |prefix: &str, fleet: &Fleet| -> Vec<String> {
        fleet.engines[..20].iter().map(|name| format!("{prefix}{name}")).collect()
    };
    // Twenty engines load one of their models each, and their others are waited for more than what
    // the store has.
    let (first, second) = (own("x", &fleet), own("y", &fleet));
    fleet.wait_for(at(100), &first, 1);
    for step in 0..20 {
        orders(&mut fleet.lead, at(110 + step * 25));
    }
    let cold = fleet.cold.clone();
    fleet.wait_for(at(700), &second, 6);
    fleet.wait_for(at(701), &cold, 1);
    orders(&mut fleet.lead, at(900));
    let loaded = fleet.loaded();
    assert!(cold.iter().any(|name| loaded.contains(name)), "the store has nothing to do");
}

/// Guards against places at the weight store that are lost to an engine that can't be reached: after
/// an order that could not be sent, it gets no load until it has told its state.
#[test]
fn unreachable_engine() {
    let mut lead = common::lead(&[("t1", &["a"]), ("t2", &["b", "c"])]);
    common::want(&mut lead, at(100), "d");
    let first = orders(&mut lead, at(110));
    assert_eq!((first.len(), first[0].target.as_str(), first[0].kind), (1, "t1", OrderKind::Load));
    lead.answered(at(510), &first[0], OrderReply::NotSent);
    common::want(&mut lead, at(520), "d");
    let actions = lead.plan(at(530));
    let ordered = actions.iter().filter_map(|action| match action {
        LeadAction::Order(order) => Some(order.target.as_str()),
        LeadAction::Report(_) => None,
    });
    assert_eq!(ordered.collect::<Vec<_>>(), ["t2"], "{actions:?}");
    let asked = LeadAction::Report("t1".parse().unwrap());
    assert!(actions.contains(&asked), "its state is asked for: {actions:?}");
}

/// Guards against an engine's copies being taken from an entry that is older than its report: a
/// daemon that just became the leader may have been passed a part of the entry only.
#[test]
fn older_entry() {
    let copies = |names: &[&str]| {
        let disk = names.iter().map(|name| model(name)).collect();
        Some(WeightCopies { disk, ..WeightCopies::default() })
    };
    let mut lead = common::lead(&[]);
    let listed = TargetEntry { copies: copies(&["a", "b"]), ..entry("t1", &["a", "b"]) };
    lead.targets_listed(at(0), std::slice::from_ref(&listed));
    lead.plan(at(5));
    let mut told = report(0, false, &["a", "b"]);
    told.copies = copies(&["a", "b", "e"]);
    lead.reported(at(10), &"t1".parse().unwrap(), at(5), Some(&told));
    // Another target changes later, so that all entries are looked at again.
    lead.targets_listed(at(5_000), &[listed, entry("t2", &["c", "d"])]);
    common::want(&mut lead, at(5_100), "e");
    orders(&mut lead, at(5_110));
    assert_eq!(lead.loads(), [("t1".parse().unwrap(), model("e"), false)]);
}
