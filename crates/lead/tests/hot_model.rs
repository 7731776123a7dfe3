//! Where requests for a hot model go in a large fleet.
//!
//! Pattern: many daemons, each of which sees a few of a hot model's requests in a second, in
//! prompts that share their first parts. The model has copies enough, but no daemon sees by itself
//! which of them are busy.

mod common;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use base::{Revision, Time, TokenCount};
use common::{at, entry, layout_of, lead_of, model};
use fleet::{
    FleetLayout, ModelRef, PromptPart, RouteEntry, RouteKind, ServiceWeight, TargetEntry,
    TargetLoad,
};
use front::{Arrival, AttemptEnd, Desk, DeskConfig, Step};
use mango_lead::Lead;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SECONDS: u64 = 20;
/// Reading of prompts, in tokens a millisecond, and time before any first event, as engines do.
const READ_RATE: f64 = 40.8;
const STEP_MS: f64 = 10.0;
/// Time in which an engine makes the events after the first.
const REST_MS: u64 = 250;
/// Prompts: a part that all share, one of some that some share, one of their own.
const SHARED: u64 = 2_520;
const FAMILY: u64 = 3_780;
const FAMILIES: u64 = 26;
const OWN: std::ops::Range<u64> = 500..5_300;
/// The users' aim: the first token within this time for 95 in 100.
const FIRST_LIMIT_MS: u64 = 1_300;
const FIRST_SHARE: f64 = 0.95;

/// An engine that reads one prompt after the other and keeps their shared parts.
#[derive(Default)]
struct Engine {
    /// Requests that are read, oldest first: daemon, ticket, arrival, when its first event is made.
    queue: VecDeque<(usize, u64, u64, f64)>,
    /// When requests that have begun end: daemon, ticket.
    ends: VecDeque<(u64, usize, u64)>,
    kept: Vec<u64>,
    free_at: f64,
}

impl Engine {
    fn take(&mut self, now: u64, daemon: usize, ticket: u64, parts: &[PromptPart]) {
        let known = parts.iter().take_while(|part| self.kept.contains(&part.id)).count();
        let tokens: u64 = parts[known..].iter().map(|part| part.tokens).sum();
        self.kept.extend(parts[known..2.max(known)].iter().map(|part| part.id));
        let start = self.free_at.max(now as f64);
        self.free_at = start + tokens as f64 / READ_RATE + STEP_MS;
        self.queue.push_back((daemon, ticket, now, self.free_at));
    }

    fn load(&self) -> TargetLoad {
        let waiting = u32::try_from(self.queue.len()).unwrap();
        TargetLoad { running: u32::try_from(self.ends.len()).unwrap(), waiting, slots: 48 }
    }
}

struct Fleet {
    desks: Vec<(Desk, u64)>,
    engines: Vec<(TargetEntry, Engine)>,
    lead: Lead,
}

fn layout() -> Arc<FleetLayout> {
    let mut route =
        RouteEntry::new("r", "desk.example", "/r/", RouteKind::Stream { resumable: false });
    let service = "engines".parse().unwrap();
    route.services = vec![ServiceWeight { service, weight: 1 }];
    route.timeout = Duration::from_secs(5);
    route.objective = Some(Duration::from_millis(800));
    let engines = layout_of(&["hot"]);
    let service = engines.services().next().unwrap().clone();
    Arc::new(FleetLayout::builder(1).service(service).route(route).build())
}

impl Fleet {
    fn start(daemons: usize, engines: usize) -> Fleet {
        let names: Vec<String> = (0..engines).map(|n| format!("t{n}")).collect();
        let held: Vec<(&str, &[&str])> =
            names.iter().map(|name| (name.as_str(), &["hot"][..])).collect();
        let entries: Vec<TargetEntry> = names.iter().map(|name| entry(name, &["hot"])).collect();
        let mut desks = Vec::new();
        for number in 0..daemons {
            let host = format!("host-{number}").parse().unwrap();
            let config = DeskConfig::new(host, "east".parse().unwrap()).seed(number as u64 + 1);
            let mut desk = Desk::new(Time::ZERO, config);
            desk.layout_changed(Time::ZERO, layout());
            desk.set_seats(u32::try_from(daemons).unwrap());
            for entry in &entries {
                desk.book_mut().listed(Time::ZERO, entry.clone());
            }
            desks.push((desk, 0));
        }
        let engines = entries.into_iter().map(|entry| (entry, Engine::default())).collect();
        Fleet { desks, engines, lead: lead_of(layout(), &held) }
    }

    /// Plays requests at a rate. Returns the times to their first events in milliseconds, sorted.
    fn play(&mut self, per_second: f64, seed: u64) -> Vec<u64> {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut firsts = Vec::new();
        for ms in 20..SECONDS * 1_000 {
            if random.random_bool(per_second / 1_000.0) {
                self.arrive(ms, &mut random);
            }
            for (entry, engine) in &mut self.engines {
                while engine.queue.front().is_some_and(|first| first.3 <= ms as f64) {
                    let (daemon, ticket, since, _) = engine.queue.pop_front().unwrap();
                    engine.ends.push_back((ms + REST_MS, daemon, ticket));
                    firsts.push(ms - since);
                    self.desks[daemon].0.begun(at(ms), ticket, Some(engine.load()));
                }
                while engine.ends.front().is_some_and(|end| end.0 <= ms) {
                    let (_, daemon, ticket) = engine.ends.pop_front().unwrap();
                    self.desks[daemon].0.ended(at(ms), ticket, AttemptEnd::Served);
                }
                assert!(entry.held_model(&model("hot")).is_some());
            }
            for (desk, _) in &mut self.desks {
                let now = at(ms);
                if now >= desk.sync_due(now) {
                    let report = desk.report(now, Revision(0));
                    let reply = self.lead.synced(now, &report);
                    desk.replied(now, now, &reply);
                }
            }
        }
        // What never began counts as long as it has waited.
        let waiting = self.engines.iter().flat_map(|(_, engine)| &engine.queue);
        firsts.extend(waiting.map(|(_, _, since, _)| SECONDS * 1_000 - since));
        firsts.sort_unstable();
        firsts
    }

    fn arrive(&mut self, ms: u64, random: &mut SmallRng) {
        let daemon = random.random_range(0..self.desks.len());
        let family = random.random_range(0..FAMILIES);
        let own = random.random_range(OWN);
        let part = |id, tokens| PromptPart { id, tokens };
        let parts = vec![part(1, SHARED), part(10 + family, FAMILY), part(1_000 + ms, own)];
        let mut arrival = Arrival::new("desk.example", "/r/1");
        arrival.model = Some(ModelRef { model: model("hot"), adapter: None });
        arrival.tokens = Some((TokenCount(SHARED + FAMILY + own), TokenCount(50)));
        arrival.parts = parts.clone();
        arrival.draw = random.random();
        let (desk, _) = &mut self.desks[daemon];
        let ticket = desk.admit(at(ms), &arrival).unwrap();
        match desk.step(at(ms), ticket) {
            Step::Send(dispatch) => {
                let engine = self.engines.iter_mut().find(|(e, _)| e.name == dispatch.target);
                engine.unwrap().1.take(ms, daemon, ticket, &parts);
            }
            other => panic!("{other:?}"),
        }
    }
}

/// With all copies at half of what they can read, callers get their first events in time.
#[test]
fn even_copies() {
    for (daemons, engines, per_second) in
        [(6, 4, 26.0), (85, 4, 26.0), (295, 4, 26.0), (295, 10, 65.0)]
    {
        for seed in 0..3 {
            let firsts = Fleet::start(daemons, engines).play(per_second, seed);
            let late = firsts.iter().filter(|first| **first > FIRST_LIMIT_MS).count();
            let share = 1.0 - late as f64 / firsts.len() as f64;
            let p95 = firsts[firsts.len() * 95 / 100];
            println!("{daemons} daemons, {engines} engines: {share:.3} in time, p95 {p95} ms");
            assert!(share >= FIRST_SHARE, "{daemons} daemons, {engines} engines: {share}");
        }
    }
}
