//! A leader with a small fleet of engines that each have memory for two models.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use base::{ModelName, SortedMap, Time, TokenCount};
use fleet::{
    EngineModel, EngineOrder, EngineReport, EngineSpec, FleetLayout, HeldModel, ModelDemand,
    OrderSequence, ServiceEntry, SyncReport, TargetEntry, TargetPhase,
};
use limit::ColdNotice;
use mango_lead::{Leader, LeaderAction, LeaderConfig, LeaderTerm};

pub const TERM_END: Time = Time::from_millis(1_000_000);
pub const MODELS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

pub fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

pub fn model(name: &str) -> ModelName {
    name.parse().unwrap()
}

pub fn held(names: &[&str]) -> Vec<HeldModel> {
    names.iter().map(|n| HeldModel { name: model(n), version: 1, adapters: Vec::new() }).collect()
}

pub fn entry(name: &str, models: &[&str]) -> TargetEntry {
    TargetEntry {
        name: name.parse().unwrap(),
        service: "engines".parse().unwrap(),
        // Each target has its own address, because weights on disk are tracked by address.
        address: format!("127.0.0.1:{}", 1 + name.as_bytes()[name.len() - 1]).parse().unwrap(),
        domain: "east".parse().unwrap(),
        slots: 8,
        phase: TargetPhase::Ready,
        born_ms: 1,
        beat: 1,
        models: held(models),
        copies: None,
        cold: ColdNotice::Absent,
        version: Some(Default::default()),
    }
}

pub fn report(sequence: u64, busy: bool, models: &[&str]) -> EngineReport {
    let sequence = OrderSequence(sequence);
    EngineReport { models: held(models), busy, sequence, ..EngineReport::default() }
}

pub fn layout() -> Arc<FleetLayout> {
    layout_of(&MODELS)
}

pub fn layout_of<T: AsRef<str>>(models: &[T]) -> Arc<FleetLayout> {
    let engine_model = |name: &str| EngineModel {
        name: model(name),
        weight_mb: 100.0,
        adapter_mb: 1.0,
        load_time: Duration::from_secs(6),
        disk_load_time: Duration::from_millis(1_300),
        memory_load_time: Duration::from_millis(600),
    };
    let engine = EngineSpec {
        slots: 8,
        token_capacity: TokenCount(100_000),
        weight_mb: 230.0,
        max_adapters: 2,
        loads_per_second: 3.0,
        host_mb: 200.0,
        disk_mb: 800.0,
        models: models
            .iter()
            .map(|n| (model(n.as_ref()), engine_model(n.as_ref())))
            .collect::<SortedMap<_, _>>(),
    };
    let service = ServiceEntry {
        name: "engines".parse().unwrap(),
        max_connections: 100,
        engine: Some(engine),
        cold: Default::default(),
    };
    Arc::new(FleetLayout::builder(1).service(service).build())
}

/// Returns a leader that knows the state of all its targets.
pub fn leader(targets: &[(&str, &[&str])]) -> Leader {
    leader_of(layout(), targets)
}

pub fn leader_of(layout: Arc<FleetLayout>, targets: &[(&str, &[&str])]) -> Leader {
    let term = LeaderTerm { fence: 41, orders_from: Time::ZERO, until: TERM_END, is_first: true };
    let mut leader = Leader::new(LeaderConfig::new("host-1".parse().unwrap()), term);
    leader.apply_layout(Time::ZERO, layout);
    let entries: Vec<TargetEntry> = targets.iter().map(|(name, m)| entry(name, m)).collect();
    leader.update_targets(Time::ZERO, &entries);
    leader.plan(Time::ZERO);
    for (name, models) in targets {
        let name = name.parse().unwrap();
        leader.handle_engine_report(at(10), &name, at(5), Some(&report(0, false, models)));
    }
    leader
}

/// Has a daemon report one request that arrived and waits for a model.
pub fn report_waiting(leader: &mut Leader, now: Time, name: &str) {
    let demand = ModelDemand {
        model: model(name),
        version: None,
        arrivals: 1,
        tokens: 9_000,
        waiting: 1,
        oldest_ms: 0,
        priority: 1,
    };
    leader.handle_sync(now, &sync_report(name, vec![demand]));
}

pub fn sync_report(host: &str, demand: Vec<ModelDemand>) -> SyncReport {
    SyncReport {
        host: format!("host-{host}").parse().unwrap(),
        incarnation: 1,
        number: 1,
        acknowledged: 0,
        known: base::Revision(0),
        demand,
        used: Vec::new(),
        runs: Vec::new(),
        suspects: Vec::new(),
        leaving: Vec::new(),
        limits: Vec::new(),
        slowdowns: Vec::new(),
        cold: Vec::new(),
        draws: Vec::new(),
        layout: None,
        layout_digest: None,
    }
}

pub fn orders(leader: &mut Leader, now: Time) -> Vec<EngineOrder> {
    let actions = leader.plan(now).into_iter();
    actions
        .filter_map(|action| match action {
            LeaderAction::Order(order) => Some(order),
            LeaderAction::Report(_) => None,
        })
        .collect()
}
