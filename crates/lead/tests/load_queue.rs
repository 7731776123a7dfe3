//! Order of loads while many models have no replica.

mod common;

use std::collections::BTreeSet;

use base::Time;
use common::{at, entry, layout_of, leader_of, model, orders, report, sync_report};
use fleet::{ModelDemand, OrderKind, OrderReply, TargetEntry, WeightCopies};
use mango_lead::{Leader, LeaderAction};

const ENGINES: usize = 24;

/// A fleet whose engines have all restarted. Each engine is empty and has two models on disk, `x`
/// and `y` followed by its name, which no other engine held. No engine ever held the `cold` models.
struct Fleet {
    leader: Leader,
    engines: Vec<String>,
    cold: Vec<String>,
}

impl Fleet {
    fn start(cold: usize) -> Fleet {
        let engines: Vec<String> = (0..ENGINES).map(|n| format!("t{n:02}")).collect();
        let cold: Vec<String> = (0..cold).map(|n| format!("cold{n:02}")).collect();
        let own = engines.iter().flat_map(|name| [format!("x{name}"), format!("y{name}")]);
        let models: Vec<String> = own.chain(cold.iter().cloned()).collect();
        let mut leader = leader_of(layout_of(&models), &[]);
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
        leader
            .update_targets(at(0), &list(&|name| vec![format!("x{name}"), format!("y{name}")], 1));
        leader.update_targets(at(10), &list(&|_| Vec::new(), 2));
        leader.plan(at(10));
        for name in &engines {
            let name = name.parse().unwrap();
            leader.handle_engine_report(at(20), &name, at(15), Some(&report(0, false, &[])));
        }
        Fleet { leader, engines, cold }
    }

    /// Has a daemon report `waiting` requests that arrived and wait for each of the models.
    fn report_models(&mut self, now: Time, names: &[String], waiting: u32) {
        let demand = names.iter().map(|name| ModelDemand {
            model: model(name),
            version: None,
            arrivals: waiting,
            tokens: u64::from(waiting) * 9_000,
            waiting,
            oldest_ms: 0,
            priority: 1,
        });
        let report = sync_report(&names[0], demand.collect());
        self.leader.handle_sync(now, &report);
    }

    fn loading(&self) -> BTreeSet<String> {
        self.leader.loads().into_iter().map(|(_, model, _)| model.to_string()).collect()
    }
}

/// Guards against models that are never served although idle engines have them on disk. Models that
/// must be loaded from the weight store and have more demand must not block them.
#[test]
fn idle_disks() {
    let mut fleet = Fleet::start(40);
    let own: Vec<String> = fleet.engines.iter().map(|name| format!("x{name}")).collect();
    let cold = fleet.cold.clone();
    fleet.report_models(at(2_100), &cold, 6);
    fleet.report_models(at(2_101), &own, 1);
    orders(&mut fleet.leader, at(2_300));
    let loading = fleet.loading();
    let missing: Vec<_> = own.iter().filter(|name| !loading.contains(*name)).collect();
    assert_eq!(missing, Vec::<&String>::new(), "engines with these on their disks are idle");
}

/// Guards against a weight store that is idle while models wait to be loaded from it. Models on the
/// disks of busy engines must not block them.
#[test]
fn idle_store() {
    let mut fleet = Fleet::start(4);
    let own = |prefix: &str, fleet: &Fleet| -> Vec<String> {
        fleet.engines[..20].iter().map(|name| format!("{prefix}{name}")).collect()
    };
    // Twenty engines each load one of their models. Their other models have more waiting requests
    // than the cold ones.
    let (first, second) = (own("x", &fleet), own("y", &fleet));
    fleet.report_models(at(100), &first, 1);
    for step in 0..20 {
        orders(&mut fleet.leader, at(110 + step * 25));
    }
    let cold = fleet.cold.clone();
    fleet.report_models(at(700), &second, 6);
    fleet.report_models(at(701), &cold, 1);
    orders(&mut fleet.leader, at(900));
    let loading = fleet.loading();
    assert!(cold.iter().any(|name| loading.contains(name)), "the store has nothing to do");
}

/// Guards against loads from the weight store that are blocked by an unreachable engine. After an
/// order that could not be sent, an engine gets no load until it has reported its state.
#[test]
fn unreachable_engine() {
    let mut leader = common::leader(&[("t1", &["a"]), ("t2", &["b", "c"])]);
    common::report_waiting(&mut leader, at(100), "d");
    let first = orders(&mut leader, at(110));
    assert_eq!((first.len(), first[0].target.as_str(), first[0].kind), (1, "t1", OrderKind::Load));
    leader.handle_order_reply(at(510), &first[0], OrderReply::NotSent);
    common::report_waiting(&mut leader, at(520), "d");
    let actions = leader.plan(at(530));
    let ordered = actions.iter().filter_map(|action| match action {
        LeaderAction::Order(order) => Some(order.target.as_str()),
        LeaderAction::Report(_) => None,
    });
    assert_eq!(ordered.collect::<Vec<_>>(), ["t2"], "{actions:?}");
    let asked = LeaderAction::Report("t1".parse().unwrap());
    assert!(actions.contains(&asked), "its state is asked for: {actions:?}");
}

/// Guards against weights on an engine's disk being read from an entry that is older than its
/// report. A daemon that just became the leader may have received only a part of the latest entry.
#[test]
fn outdated_entry() {
    let copies = |names: &[&str]| {
        let disk = names.iter().map(|name| model(name)).collect();
        Some(WeightCopies { disk, ..WeightCopies::default() })
    };
    let mut leader = common::leader(&[]);
    let listed = TargetEntry { copies: copies(&["a", "b"]), ..entry("t1", &["a", "b"]) };
    leader.update_targets(at(0), std::slice::from_ref(&listed));
    leader.plan(at(5));
    let mut engine_report = report(0, false, &["a", "b"]);
    engine_report.copies = copies(&["a", "b", "e"]);
    leader.handle_engine_report(at(10), &"t1".parse().unwrap(), at(5), Some(&engine_report));
    // Another target changes later, so that all entries are processed again.
    leader.update_targets(at(5_000), &[listed, entry("t2", &["c", "d"])]);
    common::report_waiting(&mut leader, at(5_100), "e");
    orders(&mut leader, at(5_110));
    assert_eq!(leader.loads(), [("t1".parse().unwrap(), model("e"), false)]);
}
