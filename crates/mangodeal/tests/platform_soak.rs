//! A randomized soak: real daemons, stand-ins of the platform, and faults from outside.
//!
//! `SOAK_SEEDS=50 SOAK_SECONDS=20 cargo test --release -p mangodeal --test platform_soak` runs
//! more seeds than the few that CI does, from `SOAK_FIRST` on; `SOAK_DAEMONS` sets the fleet's size.

mod common;
mod platform_fleet;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::run;
use platform_fleet::platform_standin::{config, ServerMode, StoreMode};
use platform_fleet::{model_request, read_text, request, PlatformFleet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Daemons of a run, unless `SOAK_DAEMONS` says otherwise.
const DAEMONS: u64 = 4;
/// Clients of a run, each with one request at a time.
const CLIENTS: usize = 6;
/// Longest time of a client's request, and by how much its answer may be later: the bound is the
/// platform's half second.
const LEFT_MS: u64 = 2_500;
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time after the last fault in which requests must be served again.
const RECOVERY: Duration = Duration::from_secs(12);
/// Seeds that CI runs; those that once failed are added, each with its cause.
const SEEDS_KEPT: [u64; 3] = [1, 2, 3];

/// What a client saw of one request.
#[derive(Clone, Debug)]
struct Seen {
    attempt: String,
    kind: &'static str,
    status: Option<u16>,
    body: Option<String>,
    late: bool,
    frozen: bool,
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn soaked_fleet() {
    let first = number("SOAK_FIRST", 100);
    let seeds = SEEDS_KEPT.into_iter().chain(first..first + number("SOAK_SEEDS", 0));
    for seed in seeds {
        println!("soak seed {seed}");
        run(soak(seed, Duration::from_secs(number("SOAK_SECONDS", 6))));
    }
}

async fn soak(seed: u64, length: Duration) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut fleet = PlatformFleet::start(number("SOAK_DAEMONS", DAEMONS) as usize).await;
    let callers: Vec<_> = fleet.fronts.iter().map(|front| front.caller).collect();
    let started = Instant::now();
    // When any process was last frozen or the machine could not answer, in milliseconds.
    let disturbed = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (callers, disturbed) = (callers.clone(), disturbed.clone());
            let random = SmallRng::seed_from_u64(seed * 1_000 + client as u64);
            tokio::spawn(play_client(client, callers, random, started, length, disturbed))
        })
        .collect();
    let mut version = 3;
    while started.elapsed() < length {
        tokio::time::sleep(Duration::from_millis(random.random_range(100..700))).await;
        inject(&mut fleet, &mut random, &mut version, &disturbed, started).await;
    }
    fleet.store.set_mode(StoreMode::Up);
    fleet.servers.iter().for_each(|server| server.set_mode(ServerMode::Sound));
    for front in &mut fleet.fronts {
        front.store.set_cut(false);
        front.store.set_frozen(false);
        front.store.set_delay(Duration::ZERO);
        front.kill();
        front.spawn();
    }
    fleet.write_heartbeats();
    let mut seen = Vec::new();
    for client in clients {
        seen.extend(client.await.unwrap());
    }
    for number in 0..fleet.fronts.len() {
        fleet.wait_ready(number).await;
    }
    recovered(&fleet).await;
    check(&fleet, &seen, seed);
}

/// One fault, or the end of one.
async fn inject(
    fleet: &mut PlatformFleet,
    random: &mut SmallRng,
    version: &mut u64,
    disturbed: &AtomicU64,
    started: Instant,
) {
    let at = random.random_range(0..fleet.fronts.len());
    let server = random.random_range(0..fleet.servers.len());
    let note = || {
        let ms = u64::try_from(started.elapsed().as_millis()).unwrap();
        disturbed.store(ms, Ordering::SeqCst);
    };
    match random.random_range(0..14) {
        0 => {
            fleet.fronts[at].kill();
            fleet.fronts[at].spawn();
        }
        1 => {
            note();
            fleet.fronts[at].suspend();
            tokio::time::sleep(Duration::from_millis(random.random_range(200..2_500))).await;
            fleet.fronts[at].resume();
            note();
        }
        2 => {
            fleet.fronts[at].terminate();
            tokio::time::sleep(Duration::from_millis(100)).await;
            // Other faults go on while it stops; it is started again with the next kill.
        }
        3 => fleet.fronts[at].store.set_cut(random.random_bool(0.5)),
        4 => fleet.fronts[at].store.set_frozen(random.random_bool(0.5)),
        5 => fleet.fronts[at].store.reset(),
        6 => {
            let delay = Duration::from_millis(random.random_range(0..150));
            fleet.fronts[at].store.set_delay(delay);
        }
        7 => fleet.store.set_mode(StoreMode::Busy),
        8 => fleet.store.set_mode(StoreMode::Lossy),
        9 => fleet.store.set_mode(StoreMode::Up),
        10 => fleet.store.compact(),
        11 => {
            *version += random.random_range(1..4);
            fleet.store.put("op/config", &config(*version, &["a", "b", "c"]));
        }
        12 => {
            let modes =
                [ServerMode::Lossy, ServerMode::Full, ServerMode::Crossed, ServerMode::Breaking];
            fleet.servers[server].set_mode(modes[random.random_range(0..modes.len())]);
        }
        _ => {
            fleet.servers.iter().for_each(|server| server.set_mode(ServerMode::Sound));
            fleet.write_heartbeats();
        }
    }
}

async fn play_client(
    client: usize,
    callers: Vec<std::net::SocketAddr>,
    mut random: SmallRng,
    started: Instant,
    length: Duration,
    disturbed: Arc<AtomicU64>,
) -> Vec<Seen> {
    let mut seen = Vec::new();
    while started.elapsed() < length {
        let attempt = format!("{client}-{}", seen.len());
        let front = callers[random.random_range(0..callers.len())];
        let kind = ["unsafe", "safe", "stream"][random.random_range(0..3)];
        let model = ["a", "b", "c"][random.random_range(0..3)];
        let call = match kind {
            "stream" => model_request(front, &attempt, model),
            _ => request(front, &format!("/{kind}/x"), &attempt, LEFT_MS),
        };
        let sent = Instant::now();
        let answer = call.timeout(Duration::from_secs(20)).send().await;
        let late = sent.elapsed() > Duration::from_millis(LEFT_MS) + ANSWER_SLACK;
        let begun = u64::try_from((sent - started).as_millis()).unwrap();
        let frozen = disturbed.load(Ordering::SeqCst) + LEFT_MS >= begun;
        let (status, body) = match answer {
            Ok(answer) => (Some(answer.status.as_u16()), read_text(answer).await),
            Err(_) => (None, None),
        };
        seen.push(Seen { attempt, kind, status, body, late: late && kind != "stream", frozen });
        tokio::time::sleep(Duration::from_millis(random.random_range(5..60))).await;
    }
    seen
}

/// Requests of each kind are served again after the last fault.
async fn recovered(fleet: &PlatformFleet) {
    let until = Instant::now() + RECOVERY;
    for (number, front) in fleet.fronts.iter().enumerate() {
        for kind in ["unsafe", "safe", "stream"] {
            let mut tries = 0;
            loop {
                tries += 1;
                let attempt = format!("after-{number}-{kind}-{tries}");
                let call = match kind {
                    "stream" => model_request(front.caller, &attempt, "a"),
                    _ => request(front.caller, &format!("/{kind}/x"), &attempt, LEFT_MS),
                };
                if call.send().await.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                assert!(
                    Instant::now() < until,
                    "{kind} at {number} not served after {tries} tries"
                );
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Checks the promises by what clients and servers saw.
fn check(fleet: &PlatformFleet, seen: &[Seen], seed: u64) {
    let mut counts: BTreeMap<(&str, Option<u16>), usize> = BTreeMap::new();
    for request in seen {
        *counts.entry((request.kind, request.status)).or_default() += 1;
        let runs = fleet.runs(&request.attempt);
        if request.kind == "unsafe" {
            assert!(runs <= 1, "seed {seed}: {request:?} ran {runs} times");
        }
        if matches!(request.status, Some(429 | 503 | 408 | 421)) && request.kind == "unsafe" {
            assert_eq!(runs, 0, "seed {seed}: {request:?} was said not to have run");
        }
        if request.status == Some(200) {
            whole(request, seed);
        }
        assert!(!request.late || request.frozen, "seed {seed}: {request:?} was answered late");
        let known = [200, 429, 502, 503, 504];
        assert!(request.status.is_none_or(|s| known.contains(&s)), "seed {seed}: {request:?}");
    }
    for server in &fleet.servers {
        assert!(!server.was_overloaded(), "seed {seed}: {} was overloaded", server.id);
        let orders = server.orders();
        for pair in orders.windows(2) {
            let (earlier, later) = (&pair[0], &pair[1]);
            assert!(earlier.2 <= later.2, "seed {seed}: {} was ordered {pair:?}", server.id);
            assert!(
                earlier.1 == later.1 || earlier.2 < later.2,
                "seed {seed}: one fence, {pair:?}"
            );
        }
        for arrival in server.arrivals() {
            assert_eq!(arrival.headers["mangodeal-tenant"], "atelier", "seed {seed}");
            assert!(!arrival.headers.contains_key("authorization"), "seed {seed}");
            assert_eq!(arrival.body, "body of the request", "seed {seed}");
        }
    }
    for front in &fleet.fronts {
        assert!(!front.log().is_empty(), "seed {seed}: every line of a log can be parsed");
    }
    println!("seed {seed}: {counts:?}");
}

/// An answer belongs to its request and has no gap.
fn whole(request: &Seen, seed: u64) {
    let Some(body) = &request.body else { return };
    if request.kind == "stream" {
        let ids: Vec<&str> = body.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
        assert_eq!(ids, ["1", "2", "3", "4", "5", "6"], "seed {seed}: {request:?}");
    } else {
        assert_eq!(*body, format!("done {}", request.attempt), "seed {seed}: {request:?}");
    }
}
