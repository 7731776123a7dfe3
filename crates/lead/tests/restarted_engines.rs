//! Engines that restart under their names while orders that got no reply are still under way.

mod common;

use std::time::Duration;

use base::{TargetName, Time};
use common::{at, entry, held, layout, model, orders, report, report_waiting, sync_report};
use fleet::{EngineOrder, EngineReport, HeldModel, ModelRef, OrderKind, OrderReply, OrderSequence};
use fleet::{TargetEntry, TargetPhase};
use mango_lead::{Leader, LeaderAction, LeaderConfig, LeaderTerm};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What an engine of the test layout holds: two models of 100 MB, and two adapters.
const MEMORY_MB: f64 = 230.0;
const MODEL_MB: f64 = 100.0;
const ADAPTER_MB: f64 = 1.0;
const ADAPTER_SLOTS: usize = 2;
/// Share of the orders that get no reply, and when they are executed.
const LATE_SHARE: f64 = 0.35;
const LATENESS_MS: std::ops::Range<u64> = 2_000..12_000;
/// Time of a load.
const LOAD_SPAN: Duration = Duration::from_millis(600);
/// Length of a run, and of one step of it.
const RUN_MS: u64 = 60_000;
const STEP_MS: u64 = 20;
/// Time of day at the start of a run.
const WALL_MS: u64 = 1_790_000_000_000;
/// Seeds in CI; `STRAY_SEEDS` sets another number.
const SEEDS: u64 = 40;

/// An engine, with what it knows since its last start.
struct FakeEngine {
    name: TargetName,
    born_ms: u64,
    beat: u64,
    sequence: u64,
    fence: u64,
    models: Vec<HeldModel>,
    busy: Option<(Time, OrderKind, ModelRef)>,
    down_until: Time,
    is_overloaded: bool,
    checks_fences: bool,
}

impl FakeEngine {
    fn start(name: &str, models: &[&str], checks_fences: bool) -> FakeEngine {
        FakeEngine {
            name: name.parse().unwrap(),
            born_ms: 1,
            beat: 1,
            sequence: 0,
            fence: 0,
            models: held(models),
            busy: None,
            down_until: Time::ZERO,
            is_overloaded: false,
            checks_fences,
        }
    }

    fn restart(&mut self, now: Time, down: Duration) {
        self.born_ms = WALL_MS + now.since(Time::ZERO).as_millis() as u64;
        (self.sequence, self.fence, self.busy) = (0, 0, None);
        self.models.clear();
        self.down_until = now + down;
    }

    fn advance(&mut self, now: Time) {
        if let Some((_, kind, subject)) = self.busy.take_if(|(until, ..)| now >= *until) {
            self.models.retain(|held| held.name != subject.model);
            if kind == OrderKind::Load {
                let held = HeldModel { name: subject.model, version: 1, adapters: Vec::new() };
                self.models.push(held);
            }
            self.beat += 1;
        }
    }

    fn find(&mut self, subject: &ModelRef) -> Option<&mut HeldModel> {
        self.models.iter_mut().find(|held| held.name == subject.model)
    }

    /// Executes an order as the users' servers do.
    fn execute(&mut self, now: Time, order: &EngineOrder, span: Duration) -> OrderReply {
        if now < self.down_until {
            return OrderReply::Unknown;
        }
        if self.checks_fences && order.fence < self.fence {
            return OrderReply::Fenced;
        }
        self.fence = order.fence;
        if order.expected != OrderSequence(self.sequence) || self.busy.is_some() {
            return OrderReply::Conflict;
        }
        let adapters: usize = self.models.iter().map(|held| held.adapters.len()).sum();
        let used = self.models.len() as f64 * MODEL_MB + adapters as f64 * ADAPTER_MB;
        let is_held = self.find(&order.subject).is_some();
        let Some(adapter) = order.subject.adapter.clone() else {
            let is_load = order.kind == OrderKind::Load;
            if is_load == is_held {
                return OrderReply::Done;
            }
            self.is_overloaded |= is_load && used + MODEL_MB > MEMORY_MB;
            self.sequence += 1;
            self.busy = Some((now + span, order.kind, order.subject.clone()));
            return OrderReply::Accepted;
        };
        let Some(held) = self.find(&order.subject) else { return OrderReply::Invalid };
        let has_adapter = held.adapters.contains(&adapter);
        let is_load = order.kind == OrderKind::Load;
        if is_load == has_adapter {
            return OrderReply::Done;
        }
        held.adapters.retain(|other| *other != adapter);
        if is_load {
            held.adapters.push(adapter);
            self.is_overloaded |= adapters + 1 > ADAPTER_SLOTS || used + ADAPTER_MB > MEMORY_MB;
        }
        self.sequence += 1;
        if is_load {
            OrderReply::Accepted
        } else {
            OrderReply::Done
        }
    }

    fn report(&self) -> EngineReport {
        EngineReport {
            models: self.models.clone(),
            busy: self.busy.is_some(),
            sequence: OrderSequence(self.sequence),
            born_ms: Some(self.born_ms),
            ..EngineReport::default()
        }
    }

    fn entry(&self) -> TargetEntry {
        let name = self.name.as_str();
        let (born_ms, beat, models) = (self.born_ms, self.beat, self.models.clone());
        TargetEntry { born_ms, beat, models, phase: TargetPhase::Ready, ..entry(name, &[]) }
    }
}

fn new_leader(fence: u64, now: Time, are_fences_checked: bool) -> Leader {
    let term =
        LeaderTerm { fence, orders_from: now, until: common::TERM_END, is_first: fence == 41 };
    let config = LeaderConfig::new("host-1".parse().unwrap());
    let config = match are_fences_checked {
        true => config,
        false => config.unchecked_fences(WALL_MS + now.since(Time::ZERO).as_millis() as u64),
    };
    let mut leader = Leader::new(config, term);
    leader.apply_layout(now, layout());
    leader
}

/// Plays a fleet of engines that restart and lose replies. With each fourth seed they don't check
/// fencing tokens. Returns whether one was ordered to load
/// more than it holds, and the number of loads that were executed.
fn play(seed: u64) -> (bool, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let are_fences_checked = seed % 4 != 3;
    let mut engines = [
        FakeEngine::start("t1", &["a"], are_fences_checked),
        FakeEngine::start("t2", &["b", "c"], are_fences_checked),
    ];
    let mut leader = new_leader(41, Time::ZERO, are_fences_checked);
    let mut late: Vec<(Time, EngineOrder)> = Vec::new();
    let mut replies: Vec<(Time, EngineOrder, OrderReply)> = Vec::new();
    let mut loads = 0;
    let mut fence = 41;
    for ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        let now = at(ms);
        let engine_of = |engines: &[FakeEngine], name: &TargetName| {
            engines.iter().position(|engine| engine.name == *name).unwrap()
        };
        engines.iter_mut().for_each(|engine| engine.advance(now));
        for (_, order) in late.extract_if(.., |(at, _)| now >= *at) {
            let at = engine_of(&engines, &order.target);
            engines[at].execute(now, &order, LOAD_SPAN);
        }
        for engine in &mut engines {
            if now >= engine.down_until && rng.random_bool(0.002) {
                engine.restart(now, Duration::from_millis(rng.random_range(100..1_500)));
            }
        }
        if rng.random_bool(0.0005) {
            fence += 1;
            leader = new_leader(fence, now + Duration::from_millis(500), are_fences_checked);
        }
        if ms % 200 == 0 {
            let entries: Vec<TargetEntry> = engines.iter().map(FakeEngine::entry).collect();
            leader.update_targets(now, &entries);
            let wanted = common::MODELS[rng.random_range(0..common::MODELS.len())];
            report_waiting(&mut leader, now, wanted);
            leader.handle_sync(now, &sync_report("idle", Vec::new()));
            for engine in &engines {
                if let Some(held) = engine.models.first() {
                    let adapter = format!("a{}", rng.random_range(0..5));
                    let subject = ModelRef {
                        model: held.name.clone(),
                        adapter: Some(adapter.parse().unwrap()),
                    };
                    leader.request_adapter(now, &engine.name, &subject);
                }
            }
        }
        for (_, order, reply) in replies.extract_if(.., |(at, ..)| now >= *at) {
            if order.fence == fence {
                leader.handle_order_reply(now, &order, reply);
            }
        }
        for action in leader.plan(now) {
            match action {
                LeaderAction::Report(name) => {
                    let engine = &engines[engine_of(&engines, &name)];
                    let report = (now >= engine.down_until).then(|| engine.report());
                    leader.handle_engine_report(now, &name, now, report.as_ref());
                }
                LeaderAction::Order(order) if rng.random_bool(LATE_SHARE) => {
                    late.push((
                        now + Duration::from_millis(rng.random_range(LATENESS_MS)),
                        order.clone(),
                    ));
                    replies.push((now + Duration::from_secs(1), order, OrderReply::Unknown));
                }
                LeaderAction::Order(order) => {
                    let at = engine_of(&engines, &order.target);
                    let reply = engines[at].execute(now, &order, LOAD_SPAN);
                    loads +=
                        usize::from(order.kind == OrderKind::Load && reply == OrderReply::Accepted);
                    replies.push((now + Duration::from_millis(10), order, reply));
                }
            }
        }
        if engines.iter().any(|engine| engine.is_overloaded) {
            return (true, loads);
        }
    }
    (false, loads)
}

/// Guards against an engine that is ordered to load more than it holds: it has restarted, and executes
/// an order that was decided for its previous start.
#[test]
fn stray_orders() {
    let seeds = std::env::var("STRAY_SEEDS").map_or(SEEDS, |text| text.parse().unwrap());
    let (mut overloaded, mut loads) = (Vec::new(), 0);
    for seed in 0..seeds {
        let (is_overloaded, count) = play(seed);
        overloaded.extend(is_overloaded.then_some(seed));
        loads += count;
    }
    println!("{loads} loads, overloaded with seeds {overloaded:?}");
    assert!(overloaded.is_empty(), "overloaded with seeds {overloaded:?}");
    assert!(loads >= 10 * seeds as usize, "only {loads} loads");
}

/// Guards against the same step by step. The load of a third model gets no reply, and the engine restarts
/// empty: until that load can't arrive any more, no order leaves too little room for it at its number.
#[test]
fn equal_count() {
    let name: TargetName = "t1".parse().unwrap();
    let mut leader = common::leader(&[("t1", &["a", "b"])]);
    let show = |leader: &mut Leader, ms: u64, sequence: u64, models: &[&str]| {
        leader.plan(at(ms));
        let state = report(sequence, false, models);
        leader.handle_engine_report(at(ms + 20), &name, at(ms + 10), Some(&state));
    };
    report_waiting(&mut leader, at(100), "c");
    let unload = orders(&mut leader, at(100)).remove(0);
    let left = if unload.subject.model == model("a") { "b" } else { "a" };
    leader.handle_order_reply(at(105), &unload, OrderReply::Accepted);
    show(&mut leader, 400, 1, &[left]);
    let stray = orders(&mut leader, at(430)).remove(0);
    assert_eq!((stray.subject.model.clone(), stray.expected), (model("c"), OrderSequence(1)));
    leader.handle_order_reply(at(1_430), &stray, OrderReply::Unknown);

    leader.update_targets(at(2_000), &[TargetEntry { born_ms: 9, ..entry("t1", &[]) }]);
    show(&mut leader, 2_000, 0, &[]);
    report_waiting(&mut leader, at(2_100), "d");
    report_waiting(&mut leader, at(2_100), "e");
    let first = orders(&mut leader, at(2_100)).remove(0);
    assert_eq!((first.kind, first.expected), (OrderKind::Load, OrderSequence(0)));
    // With one model held, the engine accepts the late load of another.
    leader.handle_order_reply(at(2_110), &first, OrderReply::Accepted);
    let held = first.subject.model.clone();
    show(&mut leader, 9_000, 1, &[held.as_str()]);
    for ms in (9_100..12_000).step_by(100) {
        report_waiting(&mut leader, at(ms), "d");
        report_waiting(&mut leader, at(ms), "e");
        let next = orders(&mut leader, at(ms));
        assert!(next.iter().all(|order| order.kind == OrderKind::Unload), "{ms}: {next:?}");
        if !next.is_empty() {
            break;
        }
    }
}
