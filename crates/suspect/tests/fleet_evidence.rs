//! Evidence of crashes in fleets of 7 and of 295 daemons, without a leader.
//!
//! Sound requests and requests with guilty parts arrive at random daemons and go to random targets.
//! Daemons publish their evidence to a store, and every daemon reads it some time later. Daemons
//! are cut off or restarted, and targets also crash for other reasons. `SUSPECT_SEEDS` sets the
//! number of seeds of each case.

use std::collections::BTreeMap;
use std::time::Duration;

use base::{Name, Time};
use mango_suspect::{CrashId, CrashLedger, HostEvidence, PartId, SuspectRequest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time after which the platform counts a machine as informed.
const STABLE_MS: u64 = 3_000;
/// Requests with a guilty part that may be sent by daemons in touch later than this after its fifth crash.
const MAX_LATE: u64 = 3;
const STEP_MS: u64 = 10;
const END_MS: u64 = 30_000;
/// Time that a target needs to begin an answer.
const READ_MS: u64 = 100;
/// How long a crashed target is away.
const AWAY_MS: u64 = 3_000;
const TEAMS: [&str; 5] = ["a", "b", "c", "d", "e"];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Targets also crash for no reason in the requests, two a second.
    OrdinaryCrashes,
    /// A third of the targets crash at once, every five seconds.
    MassCrashes,
    /// A third of the daemons can't reach the store, in turn.
    CutDaemons,
    /// Each daemon restarts, one after the other.
    Restarts,
    /// All daemons restart at once, every six seconds.
    LostFleet,
}

/// A case: the size of the fleet, the load and the faults.
#[derive(Clone, Copy, Debug)]
struct FleetCase {
    daemons: usize,
    targets: usize,
    /// Requests per second, and the share of guilty ones.
    rate: f64,
    guilty_share: f64,
    guilty_parts: u64,
    /// Whether the guilty part is the first one, instead of standing in the middle.
    is_first: bool,
    /// Probability that a guilty request crashes its target.
    deadliness: f64,
    fault: Fault,
}

const SMALL: FleetCase = FleetCase {
    daemons: 7,
    targets: 18,
    rate: 40.0,
    guilty_share: 0.03,
    guilty_parts: 1,
    is_first: false,
    deadliness: 1.0,
    fault: Fault::None,
};
const LARGE: FleetCase = FleetCase { daemons: 295, targets: 240, rate: 600.0, ..SMALL };

struct Daemon {
    ledger: CrashLedger,
    /// Since when the daemon has been in touch.
    in_touch_since: u64,
    is_cut: bool,
    /// When the daemon reads each host's latest record.
    unread: BTreeMap<usize, u64>,
    retry_at: u64,
}

struct Target {
    start: u64,
    down_until: u64,
    /// Requests that it has not begun to answer: when it does, the daemon and the request.
    waiting: Vec<(u64, usize, SuspectRequest, Option<u64>)>,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Crashes of each guilty part.
    crashes: BTreeMap<u64, Vec<u64>>,
    late: BTreeMap<u64, u64>,
    sound: u64,
    sound_refused: u64,
    guilty: u64,
    writes: u64,
    most_writes_per_second: u64,
}

fn part_of_guilt(number: u64) -> u64 {
    0xdead_0000 + number
}

fn host(number: usize) -> Name {
    format!("host-{number}").parse().unwrap()
}

fn new_daemon(now: u64, number: usize, incarnation: u64) -> Daemon {
    Daemon {
        ledger: CrashLedger::new(host(number), incarnation),
        in_touch_since: now,
        is_cut: false,
        unread: BTreeMap::new(),
        retry_at: 0,
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Draws a request: a first part, a part of the team or of a subject, and sometimes a guilty part.
fn draw_request(case: &FleetCase, random: &mut SmallRng) -> (SuspectRequest, Option<u64>) {
    let team = random.random_range(0..TEAMS.len());
    let first = 1 + random.random_range(0..3u64);
    // A few subjects are popular, most are rare.
    let popularity: f64 = random.random();
    let subject = 100 + (popularity.powi(4) * 400.0) as u64;
    let mut parts = vec![first, 10 + team as u64, subject];
    let is_guilty = random.random_bool(case.guilty_share);
    let guilty = is_guilty.then(|| random.random_range(0..case.guilty_parts));
    if let Some(guilty) = guilty {
        let at = if case.is_first { 0 } else { 2 };
        parts.insert(at, part_of_guilt(guilty));
        if case.is_first {
            parts.remove(1);
        }
    }
    let parts = parts.into_iter().map(PartId).collect();
    (SuspectRequest { team: Some(TEAMS[team].parse().unwrap()), parts }, guilty)
}

struct Fleet {
    case: FleetCase,
    daemons: Vec<Daemon>,
    targets: Vec<Target>,
    records: Vec<Option<HostEvidence>>,
    random: SmallRng,
    outcome: Outcome,
    writes_by_second: BTreeMap<u64, u64>,
}

impl Fleet {
    fn new(case: FleetCase, seed: u64) -> Fleet {
        Fleet {
            daemons: (0..case.daemons).map(|number| new_daemon(0, number, 1)).collect(),
            targets: (0..case.targets)
                .map(|_| Target { start: 0, down_until: 0, waiting: Vec::new() })
                .collect(),
            records: vec![None; case.daemons],
            random: SmallRng::seed_from_u64(seed),
            outcome: Outcome::default(),
            writes_by_second: BTreeMap::new(),
            case,
        }
    }

    fn send(&mut self, now: u64) {
        let (request, guilty) = draw_request(&self.case, &mut self.random);
        let number = self.random.random_range(0..self.daemons.len());
        let daemon = &mut self.daemons[number];
        let is_refused = daemon.ledger.condemns(at(now), &request).is_some();
        match guilty {
            None => {
                self.outcome.sound += 1;
                self.outcome.sound_refused += u64::from(is_refused);
            }
            Some(_) => self.outcome.guilty += 1,
        }
        let up: Vec<usize> =
            (0..self.targets.len()).filter(|t| self.targets[*t].down_until <= now).collect();
        if is_refused || up.is_empty() {
            return;
        }
        if let Some(guilty) = guilty {
            let crashes = self.outcome.crashes.entry(guilty).or_default();
            let fifth = crashes.get(4).copied();
            let is_late = fifth.is_some_and(|fifth| now > fifth + STABLE_MS);
            let is_in_touch = !daemon.is_cut && now >= daemon.in_touch_since + STABLE_MS;
            if is_late && is_in_touch {
                *self.outcome.late.entry(guilty).or_default() += 1;
            }
        }
        let target = up[self.random.random_range(0..up.len())];
        let wait = READ_MS + self.random.random_range(0..READ_MS);
        self.targets[target].waiting.push((now + wait, number, request, guilty));
    }

    fn crash(&mut self, now: u64, number: usize) {
        let target = &mut self.targets[number];
        let name = format!("t-{number}").parse().unwrap();
        let crash = CrashId { target: name, born_ms: target.start };
        let waiting = std::mem::take(&mut target.waiting);
        (target.down_until, target.start) = (now + AWAY_MS, now + AWAY_MS);
        for (_, daemon, request, _) in waiting {
            self.daemons[daemon].ledger.record_crash(at(now), &crash, request);
        }
    }

    fn run_targets(&mut self, now: u64) {
        for number in 0..self.targets.len() {
            let mut due: Vec<_> =
                self.targets[number].waiting.iter().filter(|run| run.0 <= now).cloned().collect();
            due.sort_by_key(|run| run.0);
            for (begins_at, daemon, request, guilty) in due {
                let is_deadly = guilty.is_some() && self.random.random_bool(self.case.deadliness);
                if is_deadly {
                    let crashes = self.outcome.crashes.entry(guilty.unwrap()).or_default();
                    crashes.push(now);
                    self.crash(now, number);
                    break;
                }
                let waiting = &mut self.targets[number].waiting;
                waiting.retain(|run| run.0 != begins_at || run.2 != request || run.1 != daemon);
                let draw = self.random.random();
                let count = u32::try_from(self.case.daemons).unwrap();
                let delay = CrashLedger::answers_delay(count, draw);
                self.daemons[daemon].ledger.record_answer(at(now), &request.parts, delay);
            }
        }
    }

    fn share_evidence(&mut self, now: u64) {
        // The leader's watch, and the reports of the daemons, which are rarer in large fleets.
        let longest = if self.case.daemons > 100 { 1_100 } else { 700 };
        for number in 0..self.daemons.len() {
            let daemon = &mut self.daemons[number];
            let is_due = daemon.ledger.publish_due().is_some_and(|due| at(now) >= due);
            if is_due && !daemon.is_cut && now >= daemon.retry_at {
                daemon.retry_at = now + 100;
                let (change, evidence) = daemon.ledger.own_evidence();
                daemon.ledger.record_published(change, &evidence);
                self.records[number] = Some(evidence);
                self.outcome.writes += 1;
                *self.writes_by_second.entry(now / 1_000).or_default() += 1;
                for reader in (0..self.daemons.len()).filter(|reader| *reader != number) {
                    let delay = self.random.random_range(50..longest);
                    self.daemons[reader].unread.entry(number).or_insert(now + delay);
                }
            }
            let daemon = &mut self.daemons[number];
            if daemon.is_cut {
                continue;
            }
            let due: Vec<usize> =
                daemon.unread.iter().filter(|(_, due)| now >= **due).map(|(w, _)| *w).collect();
            for writer in due {
                daemon.unread.remove(&writer);
                if let Some(evidence) = &self.records[writer] {
                    daemon.ledger.apply_evidence(at(now), &host(writer), evidence);
                }
            }
        }
    }

    fn restart(&mut self, now: u64, number: usize) {
        let mut daemon = new_daemon(now, number, now + 2);
        for (writer, evidence) in self.records.iter().enumerate() {
            if let Some(evidence) = evidence {
                daemon.ledger.apply_old_evidence(at(now), &host(writer), evidence);
            }
        }
        self.daemons[number] = daemon;
    }

    fn play_fault(&mut self, now: u64) {
        let count = self.daemons.len();
        match self.case.fault {
            Fault::None => {}
            Fault::OrdinaryCrashes if now.is_multiple_of(500) => {
                let number = self.random.random_range(0..self.targets.len());
                if self.targets[number].down_until <= now {
                    self.crash(now, number);
                }
            }
            Fault::MassCrashes if now % 5_000 == 2_500 => {
                for number in (0..self.targets.len()).filter(|number| number % 3 == 0) {
                    self.crash(now, number);
                }
            }
            Fault::CutDaemons if now.is_multiple_of(4_000) => {
                let cut = (now / 4_000) as usize % 3;
                for (number, daemon) in self.daemons.iter_mut().enumerate() {
                    let was_cut = std::mem::replace(&mut daemon.is_cut, number % 3 == cut);
                    if was_cut && !daemon.is_cut {
                        daemon.in_touch_since = now;
                    }
                }
            }
            Fault::Restarts => {
                let pause = (END_MS / 2 / count as u64 / STEP_MS).max(1) * STEP_MS;
                if now.is_multiple_of(pause) {
                    self.restart(now, (now / pause) as usize % count);
                }
            }
            Fault::LostFleet if now % 6_000 == 5_000 => {
                (0..count).for_each(|number| self.restart(now, number));
            }
            _ => {}
        }
    }

    fn play(mut self) -> Outcome {
        let mut arrivals = 0.0;
        for now in (0..END_MS).step_by(STEP_MS as usize) {
            self.play_fault(now);
            arrivals += self.case.rate * STEP_MS as f64 / 1_000.0;
            while arrivals >= 1.0 {
                arrivals -= 1.0;
                self.send(now);
            }
            self.run_targets(now);
            self.share_evidence(now);
        }
        let busiest = self.writes_by_second.values().copied().max();
        self.outcome.most_writes_per_second = busiest.unwrap_or(0);
        self.outcome
    }
}

fn check(case: FleetCase) {
    let seeds = std::env::var("SUSPECT_SEEDS").ok().and_then(|text| text.parse().ok());
    let few = if case.daemons > 100 { 1 } else { 4 };
    for seed in 1..=seeds.unwrap_or(few) {
        check_seed(case, seed);
    }
}

fn check_seed(case: FleetCase, seed: u64) {
    let outcome = Fleet::new(case, seed).play();
    let counts: Vec<usize> = outcome.crashes.values().map(Vec::len).collect();
    println!(
        "{case:?} seed {seed}: crashes {counts:?} of {} guilty, late {:?}, refused {} of {} \
         sound, {} writes, at most {} a second",
        outcome.guilty,
        outcome.late,
        outcome.sound_refused,
        outcome.sound,
        outcome.writes,
        outcome.most_writes_per_second
    );
    for (part, late) in &outcome.late {
        assert!(*late <= MAX_LATE, "seed {seed}: part {part}: {late} late requests");
    }
    if case.guilty_share > 0.0 {
        assert!(counts.iter().sum::<usize>() >= 3, "seed {seed}: the case has no crashes");
    }
    // Nothing sound is refused for longer than it takes to see that it is answered elsewhere.
    let refused = outcome.sound_refused as f64 / outcome.sound as f64;
    assert!(refused <= 0.002, "seed {seed}: {refused} of the sound requests refused");
    assert!(outcome.most_writes_per_second <= 200, "seed {seed}: too many writes");
}

#[test]
fn small_fleet() {
    check(SMALL);
}

#[test]
fn large_fleet() {
    check(LARGE);
}

/// Guards against parts that are condemned for standing beside crashes that no request caused.
#[test]
fn ordinary_crashes() {
    for fault in [Fault::OrdinaryCrashes, Fault::MassCrashes] {
        check(FleetCase { guilty_share: 0.0, fault, ..SMALL });
        check(FleetCase { fault, ..SMALL });
    }
    check(FleetCase { fault: Fault::OrdinaryCrashes, ..LARGE });
}

/// Guards against a rare part that is condemned by chance where targets crash very often for other
/// reasons.
#[test]
fn frequent_crashes() {
    check_seed(FleetCase { guilty_share: 0.0, fault: Fault::OrdinaryCrashes, ..SMALL }, 12);
}

/// Guards against evidence that is lost with daemons, or doesn't reach those that were cut off.
#[test]
fn faulty_daemons() {
    for fault in [Fault::CutDaemons, Fault::Restarts, Fault::LostFleet] {
        check(FleetCase { fault, ..SMALL });
        check(FleetCase { fault, ..LARGE });
    }
}

/// Guards against several guilty parts at once that hide one another.
#[test]
fn several_parts() {
    check(FleetCase { guilty_parts: 3, guilty_share: 0.06, ..SMALL });
    check(FleetCase { guilty_parts: 3, guilty_share: 0.06, ..LARGE });
    check(FleetCase { guilty_share: 0.3, ..SMALL });
    // As rare as in the fleet of 7: each daemon sees one crash at most.
    check(FleetCase { guilty_share: 0.002, ..LARGE });
}

/// Guards against a guilty first part, and against parts that crash only some targets.
#[test]
fn other_guilt() {
    check(FleetCase { is_first: true, ..SMALL });
    check(FleetCase { is_first: true, ..LARGE });
    check(FleetCase { deadliness: 0.7, ..SMALL });
    check(FleetCase { deadliness: 0.7, ..LARGE });
}

/// The time that a decision takes with a full ledger.
#[test]
fn full_ledger() {
    let mut ledger = CrashLedger::new(host(0), 1);
    for number in 0..400u64 {
        let crash = CrashId { target: format!("t-{number}").parse().unwrap(), born_ms: 1 };
        for request in 0..6 {
            let parts = (0..4).map(|part| PartId(number * 100 + request * 10 + part)).collect();
            let suspect = SuspectRequest { team: None, parts };
            ledger.record_crash(at(number), &crash, suspect);
        }
    }
    assert!(ledger.suspected_crashes() <= 256);
    let request = SuspectRequest { team: None, parts: vec![PartId(1)] };
    let started = std::time::Instant::now();
    for number in 0..1_000 {
        ledger.record_answer(at(10_000 + number), &[PartId(39_912)], Duration::ZERO);
        assert!(ledger.condemns(at(10_000 + number), &request).is_none());
    }
    println!("{:?} for 1,000 answers and decisions", started.elapsed());
    assert!(serde_json::to_vec(&mango_suspect::EvidenceWire::from(&ledger.own_evidence().1))
        .is_ok_and(|bytes| bytes.len() <= 4_096));
}
