//! A target's limit on the requests of all daemons, in fleets of 7 and of 295 daemons.
//!
//! Every daemon gets requests for two targets of one service. One or both of them name a limit that
//! is far below the demand, while leaders are lost, daemons are cut off, paused or restarted.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use base::{Revision, TargetName, Time};
use common::{at, TERM_END};
use fleet::{
    ColdSetting, FleetLayout, PermitRequest, RouteEntry, RouteKind, ServiceEntry, ServiceWeight,
    SyncReply, TargetEntry, TargetPhase,
};
use front::{Arrival, AttemptEnd, Dispatch, DispatcherConfig, PermitEnd, RequestDispatcher, Step};
use limit::{ColdNotice, LimitNotice, RequestRate};
use mango_lead::{Leader, LeaderConfig, LeaderTerm};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const TARGETS: [&str; 2] = ["t-1", "t-2"];
/// The targets have a limit from the first to the second of these times.
const LIMIT_SPAN: (u64, u64) = (1_000, 21_000);
const END_MS: u64 = 26_000;
/// Time after which the platform counts a limit as known to the daemons that have heard it.
const STABLE_MS: u64 = 3_000;
/// Length of the windows in which the platform counts requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests per second of all daemons together.
const DEMAND: f64 = 60.0;
/// Time limit of a call to the leader.
const CALL_TIMEOUT_MS: u64 = 200;
const ANSWER_MS: u64 = 30;
/// Time after a process has started in which it may not know the limits yet.
const START_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The leader is lost for three seconds, twice, and another one follows.
    LostLeader,
    /// A third of the daemons can't reach the leader.
    CutDaemons,
    /// A third of the daemons stand still for two seconds, again and again.
    PausedDaemons,
    /// All daemons restart, one after the other.
    Restarts,
    /// The targets change their limits every second.
    ChangingLimit,
}

enum Event {
    Arrival,
    Step(u64),
    Permit(Box<PermitRequest>, u64, Time),
    PermitReply(PermitEnd, u64, Time),
    Send(Box<Dispatch>, u64),
    Answer(TargetName, u64, Time, LimitNotice),
    Sync,
    SyncReply(Box<Option<SyncReply>>, Time),
}

struct Daemon {
    dispatcher: RequestDispatcher,
    incarnation: u64,
    started_at: Time,
    paused_until: Time,
    is_cut: bool,
    is_syncing: bool,
}

/// A request that reached a target.
struct TargetArrival {
    target: usize,
    at: Time,
    /// Whether the daemon's process had just started.
    is_new: bool,
}

struct Fleet {
    daemons: Vec<Daemon>,
    leader: Option<Leader>,
    fence: u64,
    rate: f64,
    is_limited: [bool; 2],
    fault: Fault,
    random: SmallRng,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    bodies: std::collections::BTreeMap<u64, (usize, u64, Event)>,
    last_event: u64,
    arrivals: Vec<TargetArrival>,
    served: u64,
    refused: u64,
    shortest_hint: Duration,
}

fn layout() -> Arc<FleetLayout> {
    let service: base::Name = "plain".parse().unwrap();
    let mut route = RouteEntry::new("r", "desk.example", "/r/", RouteKind::Safe);
    route.services = vec![ServiceWeight { service: service.clone(), weight: 1 }];
    route.attempts = 2;
    route.timeout = Duration::from_secs(5);
    let service = ServiceEntry {
        name: service,
        max_connections: 100,
        engine: None,
        cold: ColdSetting::Never,
    };
    Arc::new(FleetLayout::builder(1).route(route).service(service).build())
}

fn new_daemon(now: Time, number: usize, count: usize, incarnation: u64) -> Daemon {
    let host = format!("host-{number}").parse().unwrap();
    let seed = incarnation * 1_000 + number as u64;
    let config = DispatcherConfig::new(host, "east".parse().unwrap()).seed(seed);
    let mut dispatcher = RequestDispatcher::new(now, config);
    dispatcher.apply_layout(now, layout());
    dispatcher.set_daemon_count(u32::try_from(count).unwrap());
    for name in TARGETS {
        dispatcher.targets_mut().apply_entry(
            now,
            TargetEntry {
                name: name.parse().unwrap(),
                service: "plain".parse().unwrap(),
                address: "127.0.0.1:1".parse().unwrap(),
                domain: "east".parse().unwrap(),
                slots: 256,
                phase: TargetPhase::Ready,
                born_ms: 10,
                beat: 1,
                models: Vec::new(),
                copies: None,
                cold: ColdNotice::Absent,
                version: Some(Default::default()),
            },
        );
    }
    Daemon {
        dispatcher,
        incarnation,
        started_at: now,
        paused_until: Time::ZERO,
        is_cut: false,
        is_syncing: false,
    }
}

fn new_leader(now: Time, fence: u64) -> Leader {
    let term = LeaderTerm { fence, orders_from: now, until: TERM_END, is_first: false };
    let mut leader = Leader::new(LeaderConfig::new("host-0".parse().unwrap()), term);
    leader.apply_layout(now, layout());
    leader
}

impl Fleet {
    fn new(count: usize, rate: f64, is_limited: [bool; 2], fault: Fault, seed: u64) -> Fleet {
        let daemons = (0..count).map(|number| new_daemon(Time::ZERO, number, count, 1)).collect();
        let mut fleet = Fleet {
            daemons,
            leader: Some(new_leader(Time::ZERO, 1)),
            fence: 1,
            rate,
            is_limited,
            fault,
            random: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            bodies: Default::default(),
            last_event: 0,
            arrivals: Vec::new(),
            served: 0,
            refused: 0,
            shortest_hint: Duration::MAX,
        };
        for number in 0..count {
            fleet.push(Time::ZERO, number, Event::Sync);
            fleet.push_arrival(Time::ZERO, number);
        }
        fleet
    }

    fn push(&mut self, at: Time, number: usize, event: Event) {
        self.last_event += 1;
        let incarnation = self.daemons[number].incarnation;
        self.events.push(Reverse((at, self.last_event)));
        self.bodies.insert(self.last_event, (number, incarnation, event));
    }

    fn push_arrival(&mut self, now: Time, number: usize) {
        let mean = self.daemons.len() as f64 / DEMAND;
        let span = -mean * (1.0 - self.random.random::<f64>()).ln();
        self.push(now + Duration::from_secs_f64(span), number, Event::Arrival);
    }

    /// Returns a one-way delay between two hosts.
    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(300..6_000))
    }

    fn run(&mut self) {
        let mut second = 0;
        while let Some(Reverse((now, id))) = self.events.pop() {
            if now > at(END_MS) {
                return;
            }
            while at(second * 1_000) <= now {
                self.apply_fault(at(second * 1_000), second);
                second += 1;
            }
            let (number, incarnation, event) = self.bodies.remove(&id).unwrap();
            let daemon = &self.daemons[number];
            if now < daemon.paused_until {
                let resumed_at = daemon.paused_until;
                self.events.push(Reverse((resumed_at, id)));
                self.bodies.insert(id, (number, incarnation, event));
            } else if incarnation == daemon.incarnation {
                self.handle(now, number, event);
            } else if matches!(event, Event::Arrival) {
                self.push_arrival(now, number);
            }
        }
    }

    fn apply_fault(&mut self, now: Time, second: u64) {
        let count = self.daemons.len();
        let phase = second % 9;
        match self.fault {
            Fault::None => {}
            Fault::LostLeader if phase == 6 => self.leader = None,
            Fault::LostLeader if phase == 0 && second > 0 => {
                self.fence += 1;
                self.leader = Some(new_leader(now, self.fence));
            }
            Fault::LostLeader => {}
            Fault::CutDaemons => {
                for daemon in self.daemons.iter_mut().step_by(3) {
                    daemon.is_cut = (4..14).contains(&second);
                }
            }
            Fault::PausedDaemons => {
                for daemon in self.daemons.iter_mut().step_by(3) {
                    if second % 4 == 2 {
                        daemon.paused_until = now + Duration::from_secs(2);
                    }
                }
            }
            Fault::Restarts => {
                let number = (second as usize * count / 20).min(count);
                let end = ((second as usize + 1) * count / 20).min(count);
                for number in number..end {
                    let incarnation = self.daemons[number].incarnation + 1;
                    self.daemons[number] = new_daemon(now, number, count, incarnation);
                    self.push(now, number, Event::Sync);
                    self.push_arrival(now, number);
                }
            }
            Fault::ChangingLimit => self.rate = [1.0, 6.0, 3.0][second as usize % 3],
        }
    }

    fn handle(&mut self, now: Time, number: usize, event: Event) {
        match event {
            Event::Arrival => {
                self.push_arrival(now, number);
                let arrival = Arrival::new("desk.example", "/r/1");
                if let Ok(id) = self.daemons[number].dispatcher.admit(now, &arrival) {
                    self.push(now, number, Event::Step(id));
                }
            }
            Event::Step(id) => self.step(now, number, id),
            Event::Permit(request, id, asked_at) => {
                let is_cut = self.daemons[number].is_cut;
                let reply = self
                    .leader
                    .as_mut()
                    .filter(|_| !is_cut)
                    .map(|leader| leader.request_permit(now, &request).result());
                let (end, delay) = match reply {
                    Some(Ok(())) => (PermitEnd::Issued, self.delay()),
                    Some(Err(denial)) => (PermitEnd::Denied(denial), self.delay()),
                    None => (PermitEnd::Failed, Duration::from_millis(CALL_TIMEOUT_MS)),
                };
                self.push(now + delay, number, Event::PermitReply(end, id, asked_at));
            }
            Event::PermitReply(end, id, asked_at) => {
                self.daemons[number].dispatcher.finish_permit(now, asked_at, id, end);
                self.step(now, number, id);
            }
            Event::Send(dispatch, id) => self.send(now, number, id, *dispatch),
            Event::Answer(target, id, sent_at, notice) => {
                let dispatcher = &mut self.daemons[number].dispatcher;
                dispatcher.record_limit(now, &target, sent_at, notice, true);
                dispatcher.record_answer_start(now, id, None);
                dispatcher.finish_attempt(now, id, AttemptEnd::Served);
                self.served += 1;
                self.sync_if_due(now, number);
            }
            Event::Sync => {
                let due = self.daemons[number].dispatcher.sync_due(now);
                if due > now {
                    let next = due.max(now + Duration::from_millis(1));
                    return self.push(next, number, Event::Sync);
                }
                let report = self.daemons[number].dispatcher.report(now, Revision(0));
                let is_cut = self.daemons[number].is_cut;
                let delay = self.delay() + self.delay();
                let reply = self.leader.as_mut().filter(|_| !is_cut);
                let reply = reply.map(|leader| leader.handle_sync(now, &report));
                self.daemons[number].is_syncing = true;
                self.push(now + delay, number, Event::SyncReply(Box::new(reply), now));
            }
            Event::SyncReply(reply, asked_at) => {
                let daemon = &mut self.daemons[number];
                daemon.is_syncing = false;
                if let Some(reply) = *reply {
                    daemon.dispatcher.apply_reply(now, asked_at, &reply);
                }
                let due = daemon.dispatcher.sync_due(now);
                self.push(due.max(now), number, Event::Sync);
            }
        }
    }

    /// Sends a report at once if it is due, without waiting for the regular one.
    fn sync_if_due(&mut self, now: Time, number: usize) {
        let daemon = &self.daemons[number];
        let due = daemon.dispatcher.sync_due(now);
        if !daemon.is_syncing && due <= now + Duration::from_millis(10) {
            self.push(due.max(now), number, Event::Sync);
        }
    }

    fn step(&mut self, now: Time, number: usize, id: u64) {
        match self.daemons[number].dispatcher.step(now, id) {
            Step::Send(dispatch) => {
                // Some requests wait for a new connection.
                let wait = if self.random.random_bool(0.1) { 300_000 } else { 1_000 };
                let wait = Duration::from_micros(self.random.random_range(0..wait));
                self.push(now + wait, number, Event::Send(dispatch, id));
            }
            Step::Permit(request) => {
                let delay = self.delay();
                self.push(now + delay, number, Event::Permit(request, id, now));
            }
            Step::Wait(until) => self.push(until.max(now), number, Event::Step(id)),
            Step::Refuse(refusal) => {
                self.refused += 1;
                let hint = refusal.retry_after.unwrap_or_default();
                self.shortest_hint = self.shortest_hint.min(hint);
            }
            Step::Fetch(..) | Step::Reserve(_) => panic!("the service has no engines"),
        }
    }

    fn send(&mut self, now: Time, number: usize, id: u64, dispatch: Dispatch) {
        let daemon = &mut self.daemons[number];
        if !daemon.dispatcher.targets().may_send(now, &dispatch.target, dispatch.send_by) {
            daemon.dispatcher.finish_attempt(now, id, AttemptEnd::Withheld);
            return self.step(now, number, id);
        }
        let target = TARGETS.iter().position(|name| *name == dispatch.target.as_str()).unwrap();
        let is_new = now.since(daemon.started_at) < Duration::from_millis(START_MS);
        self.arrivals.push(TargetArrival { target, at: now, is_new });
        let is_limited =
            self.is_limited[target] && now >= at(LIMIT_SPAN.0) && now < at(LIMIT_SPAN.1);
        let notice = match is_limited {
            true => LimitNotice::Named(RequestRate::new(self.rate).unwrap()),
            false => LimitNotice::Absent,
        };
        let answer = Event::Answer(dispatch.target, id, now, notice);
        self.push(now + Duration::from_millis(ANSWER_MS), number, answer);
    }

    /// Returns the largest number of requests that reached a target in a window while it was
    /// limited and the fleet knew it.
    fn busiest_window(&self, target: usize) -> usize {
        let span = at(LIMIT_SPAN.0 + STABLE_MS)..at(LIMIT_SPAN.1);
        let counted = |arrival: &&TargetArrival| {
            arrival.target == target && span.contains(&arrival.at) && !arrival.is_new
        };
        let mut times: Vec<Time> =
            self.arrivals.iter().filter(counted).map(|arrival| arrival.at).collect();
        times.sort_unstable();
        let count = |from: usize| {
            times[from..].iter().take_while(|at| at.since(times[from]) < WINDOW).count()
        };
        (0..times.len()).map(count).max().unwrap_or(0)
    }

    fn count(&self, target: usize, from_ms: u64, to_ms: u64) -> usize {
        let span = at(from_ms)..at(to_ms);
        self.arrivals.iter().filter(|a| a.target == target && span.contains(&a.at)).count()
    }
}

/// Returns the seeds of each case; more of them by `LIMIT_SEEDS`.
fn seeds(count: usize) -> std::ops::Range<u64> {
    let more = std::env::var("LIMIT_SEEDS").ok().and_then(|text| text.parse().ok());
    0..more.unwrap_or(if count > 100 { 1 } else { 6 })
}

fn check(count: usize, rate: f64, is_limited: [bool; 2], fault: Fault) {
    for seed in seeds(count) {
        let mut fleet = Fleet::new(count, rate, is_limited, fault, seed);
        fleet.run();
        let case = format!("{count} daemons, {rate}/s, {is_limited:?}, {fault:?}, seed {seed}");
        // Of a limit below one request in ten seconds nothing else shows the end.
        let highest = if fault == Fault::ChangingLimit { 6.0 } else { rate.max(0.1) };
        let most = (highest * WINDOW.as_secs_f64()).floor() as usize + 1;
        for (target, limited) in is_limited.into_iter().enumerate() {
            let busiest = fleet.busiest_window(target);
            assert!(!limited || busiest <= most, "{busiest} requests in 4 s: {case}");
        }
        assert!(fleet.shortest_hint >= Duration::from_millis(8), "{case}");
        if is_limited == [true, false] && fault != Fault::PausedDaemons {
            assert_eq!(fleet.refused, 0, "another target could serve: {case}");
        }
        if fault == Fault::None {
            let span = (LIMIT_SPAN.1 - LIMIT_SPAN.0 - STABLE_MS) / 1_000;
            let used = fleet.count(0, LIMIT_SPAN.0 + STABLE_MS, LIMIT_SPAN.1);
            if is_limited == [true, true] {
                assert!(used as f64 >= (rate * 0.7 * span as f64).floor(), "{used} used: {case}");
            }
            // The end of the limit is noticed, and the target is used as before.
            let after = fleet.count(0, END_MS - 2_000, END_MS);
            assert!(rate < 0.5 || after as f64 >= DEMAND * 0.5, "{after} after the end: {case}");
        }
    }
}

/// Guards against a limit that is exceeded by daemons that each stay within it.
#[test]
fn seven_daemons() {
    for rate in [0.0, 0.2, 1.0, 3.0, 20.0] {
        for is_limited in [[true, false], [true, true]] {
            check(7, rate, is_limited, Fault::None);
        }
    }
}

/// Guards against a limit below one request a second for each daemon that is exceeded because every
/// daemon sends at least one.
#[test]
fn many_daemons() {
    for rate in [0.2, 1.0, 20.0] {
        check(295, rate, [true, true], Fault::None);
    }
    check(295, 1.0, [true, false], Fault::None);
}

/// Guards against a limit that is exceeded while a leader is lost, daemons are cut off, paused or
/// restarted, or the limit changes.
#[test]
fn faulty_fleet() {
    let faults = [
        Fault::LostLeader,
        Fault::CutDaemons,
        Fault::PausedDaemons,
        Fault::Restarts,
        Fault::ChangingLimit,
    ];
    for fault in faults {
        for is_limited in [[true, false], [true, true]] {
            check(7, 1.0, is_limited, fault);
        }
        check(295, 1.0, [true, true], fault);
    }
}
