//! A randomized soak test: daemons and stand-ins for the platform's store and servers, with injected
//! faults.
//!
//! `SOAK_SEEDS=50 SOAK_SECONDS=20 cargo test --release -p mangodeal --test platform_soak` runs
//! further seeds, beginning with `SOAK_FIRST`; `SOAK_DAEMONS` sets the number of daemons.

mod common;
mod platform_fleet;
#[path = "platform_soak/record.rs"]
mod record;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::run;
use mangodeal::client::HttpCall;
use platform_fleet::platform_standin::{config, ServerMode, StandinServer, StoreMode};
use platform_fleet::{
    has_two_versions, last_event_id, model_request, read_events, read_text, request, PlatformFleet,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use record::{ColdSpan, FaultRecord, Trouble};
use serde_json::Value;

/// Default number of daemons.
const DAEMONS: u64 = 4;
/// Number of clients, each with one request at a time.
const CLIENTS: usize = 6;
/// Time limit of each request, in milliseconds.
const TIMEOUT_MS: u64 = 2_500;
/// Time by which an answer may exceed the time limit. The platform specifies half a second.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time after the last fault within which requests must be served again.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time that the daemons' setting `evacuation` allows until nothing more is sent to a domain. It is short
/// so that a short run checks it.
const EVACUATION: Duration = Duration::from_secs(2);
/// How long servers of `orders` are cold, and how many requests per second they tolerate meanwhile.
const COLD: (Duration, f64) = (Duration::from_secs(3), 5.0);
/// Most requests that may reach a cold server in any second: the platform's `coldPerS` x 1.5 + 5.
const COLD_MAX: f64 = COLD.1 * 1.5 + 5.0;
/// Time within which all daemons hear that a running server has become cold, as in `fleet_cold`.
const COLD_HEARD: Duration = Duration::from_secs(1);
/// Largest number of servers of a service that start during a run.
const MAX_STARTS: usize = 3;
/// Largest number of times that a client takes up a broken stream.
const MAX_TAKE_UPS: usize = 3;
/// Seeds that CI runs. Add a seed that has failed, with the cause.
const CI_SEEDS: [u64; 3] = [1, 2, 3];

/// A request and its answer, as its client saw them.
#[derive(Clone, Debug)]
struct Observation {
    attempt: String,
    /// Number of the daemon that got the request, and when.
    front: usize,
    sent_at: Instant,
    kind: &'static str,
    status: Option<u16>,
    body: Option<String>,
    /// Events of a stream, also of one that is incomplete, from all of the client's tries.
    events: String,
    /// Number of times that the client took the stream up and it went on.
    take_ups: usize,
    /// Whether the answer exceeded the time limit; always false for streams.
    is_late: bool,
    /// Whether a process was suspended shortly before or during the request.
    was_suspended: bool,
}

/// Returns the number in an environment variable.
fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn random_faults() {
    let first = env_number("SOAK_FIRST", 100);
    let seeds = CI_SEEDS.into_iter().chain(first..first + env_number("SOAK_SEEDS", 0));
    for seed in seeds {
        println!("soak seed {seed}");
        run(run_seed(seed, Duration::from_secs(env_number("SOAK_SECONDS", 6))));
    }
}

async fn run_seed(seed: u64, length: Duration) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut fleet = start_fleet().await;
    let callers: Vec<_> = fleet.fronts.iter().map(|front| front.caller).collect();
    let started = Instant::now();
    let mut record = FaultRecord::new(started, fleet.fronts.len());
    // A short run checks it as well.
    record.evacuate(&fleet.store, ["east", "west"][random.random_range(0..2)]);
    let is_uneven = random.random_bool(0.5);
    set_uneven(&fleet, is_uneven);
    // When a process was last suspended, in milliseconds since the start.
    let suspended_at_ms = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (callers, suspended_at_ms) = (callers.clone(), suspended_at_ms.clone());
            let random = SmallRng::seed_from_u64(seed * 1_000 + client as u64);
            tokio::spawn(run_client(client, callers, random, started, length, suspended_at_ms))
        })
        .collect();
    let mut version = 4;
    while started.elapsed() < length {
        tokio::time::sleep(Duration::from_millis(random.random_range(100..700))).await;
        inject(&mut fleet, &mut random, &mut version, &suspended_at_ms, started, &mut record).await;
    }
    record.withdraw_all(&fleet.store);
    fleet.store.set_mode(StoreMode::Up);
    fleet.servers.iter().for_each(|server| server.set_mode(ServerMode::Healthy));
    for front in &mut fleet.fronts {
        front.store.set_disconnected(false);
        front.store.set_frozen(false);
        front.store.set_delay(Duration::ZERO);
        front.kill();
        front.spawn();
    }
    fleet.write_heartbeats();
    let mut observations = Vec::new();
    for client in clients {
        observations.extend(client.await.unwrap());
    }
    for number in 0..fleet.fronts.len() {
        fleet.wait_ready(number).await;
    }
    check_recovery(&fleet).await;
    check_guarantees(&fleet, &observations, seed);
    check_evacuations(&fleet, &record, &observations, seed);
    check_cold_servers(&fleet, &record, seed);
}

/// Starts daemons with a bound on evacuations, the servers of [`PlatformFleet`], which are in the
/// east, and an engine and a plain server in the west.
async fn start_fleet() -> PlatformFleet {
    let mut fleet = PlatformFleet::start(env_number("SOAK_DAEMONS", DAEMONS) as usize).await;
    for (id, service, models) in
        [("orders-w", "orders", &[][..]), ("engine-w", "engines", &["a"][..])]
    {
        fleet.servers.push(StandinServer::start(id, service, "west", models).await);
    }
    fleet.store.put("op/config", &cold_config(4));
    fleet.write_heartbeats();
    for front in &mut fleet.fronts {
        front.kill();
        let settings = std::fs::read_to_string(&front.settings).unwrap();
        let settings = format!("{settings}evacuation = {}s\n", EVACUATION.as_secs());
        std::fs::write(&front.settings, settings).unwrap();
        front.spawn();
    }
    for number in 0..fleet.fronts.len() {
        fleet.wait_ready(number).await;
    }
    fleet
}

/// Returns a configuration in which the servers of `orders` can be cold.
fn cold_config(version: u64) -> Value {
    let mut config = config(version, &["a", "b", "c"]);
    config["services"][0]["coldS"] = COLD.0.as_secs_f64().into();
    config["services"][0]["coldPerS"] = COLD.1.into();
    config
}

/// Injects a random fault or ends one.
async fn inject(
    fleet: &mut PlatformFleet,
    random: &mut SmallRng,
    version: &mut u64,
    suspended_at_ms: &AtomicU64,
    started: Instant,
    record: &mut FaultRecord,
) {
    let at = random.random_range(0..fleet.fronts.len());
    let server = random.random_range(0..fleet.servers.len());
    let record_suspension = || {
        let ms = u64::try_from(started.elapsed().as_millis()).unwrap();
        suspended_at_ms.store(ms, Ordering::SeqCst);
    };
    match random.random_range(0..20) {
        0 => {
            record.set(at, Trouble::Stopped, true);
            fleet.fronts[at].kill();
            fleet.fronts[at].spawn();
            record.set(at, Trouble::Stopped, false);
        }
        1 => {
            record_suspension();
            record.set(at, Trouble::Suspended, true);
            fleet.fronts[at].suspend();
            tokio::time::sleep(Duration::from_millis(random.random_range(200..2_500))).await;
            fleet.fronts[at].resume();
            record.set(at, Trouble::Suspended, false);
            record_suspension();
        }
        2 => {
            record.set(at, Trouble::Stopped, true);
            fleet.fronts[at].terminate();
            tokio::time::sleep(Duration::from_millis(100)).await;
            // Other faults follow while the daemon stops. The next kill of this daemon restarts it.
        }
        3 => {
            let is_on = random.random_bool(0.5);
            record.set(at, Trouble::Disconnected, is_on);
            fleet.fronts[at].store.set_disconnected(is_on);
        }
        4 => {
            let is_on = random.random_bool(0.5);
            record.set(at, Trouble::Frozen, is_on);
            fleet.fronts[at].store.set_frozen(is_on);
        }
        5 => {
            record.set(at, Trouble::Reset, true);
            fleet.fronts[at].store.reset();
            record.set(at, Trouble::Reset, false);
        }
        6 => {
            let delay = Duration::from_millis(random.random_range(0..150));
            fleet.fronts[at].store.set_delay(delay);
        }
        mode @ 7..=9 => {
            let modes = [StoreMode::Busy, StoreMode::LostReplies, StoreMode::Up];
            record.set_all(Trouble::Store, mode != 9);
            fleet.store.set_mode(modes[mode - 7]);
        }
        10 => fleet.store.compact(),
        11 => {
            *version += random.random_range(1..4);
            fleet.store.put("op/config", &cold_config(*version));
        }
        12 => {
            let modes = [
                ServerMode::LostReplies,
                ServerMode::Full,
                ServerMode::WrongAttempt,
                ServerMode::BrokenStreams,
            ];
            fleet.servers[server].set_mode(modes[random.random_range(0..modes.len())]);
        }
        13 => record.evacuate(&fleet.store, ["east", "west"][random.random_range(0..2)]),
        14 => {
            let domain = ["east", "west"][random.random_range(0..2)];
            record.evacuate(&fleet.store, domain);
            tokio::time::sleep(Duration::from_millis(random.random_range(0..300))).await;
            record.withdraw(&fleet.store, domain);
        }
        15 => record.withdraw(&fleet.store, ["east", "west"][random.random_range(0..2)]),
        16 => become_cold(fleet, record, random.random_bool(0.5)).await,
        17 => set_uneven(fleet, random.random_bool(0.8)),
        18 => release_engine(fleet).await,
        _ => {
            fleet.servers.iter().for_each(|server| server.set_mode(ServerMode::Healthy));
            fleet.write_heartbeats();
        }
    }
}

/// Starts a server, which is then cold, or makes all running ones of `orders` cold.
async fn become_cold(fleet: &mut PlatformFleet, record: &mut FaultRecord, is_start: bool) {
    let starts = fleet.servers.iter().filter(|server| server.id.starts_with("orders-new")).count();
    let is_start = is_start && starts < MAX_STARTS;
    let is_warm = |at: &usize| fleet.servers[*at].service == "orders" && !record.is_cold(*at);
    let mut cold: Vec<usize> = (0..fleet.servers.len()).filter(is_warm).collect();
    if is_start {
        let id = format!("orders-new-{starts}");
        fleet.servers.push(StandinServer::start(&id, "orders", "east", &[]).await);
        cold = vec![fleet.servers.len() - 1];
    }
    let since = Instant::now();
    cold.iter().for_each(|at| fleet.servers[*at].set_cold(COLD.0));
    // The answers say so as well.
    fleet.write_heartbeats();
    let bounded_from = if is_start { since } else { since + COLD_HEARD };
    let span = |server| ColdSpan { server, bounded_from, until: since + COLD.0 };
    record.cold_spans.extend(cold.into_iter().map(span));
}

/// Starts an engine of another software version.
async fn release_engine(fleet: &mut PlatformFleet) {
    let starts = fleet.servers.iter().filter(|server| server.id.starts_with("engine-new")).count();
    if starts < MAX_STARTS {
        let id = format!("engine-new-{starts}");
        fleet.servers.push(StandinServer::start(&id, "engines", "east", &["a", "b"]).await);
        fleet.server(&id).set_version("v2");
        fleet.write_heartbeats();
    }
}

/// Sets whether the engines state slowdowns, so that long prompts are scheduled.
fn set_uneven(fleet: &PlatformFleet, is_uneven: bool) {
    let engines = fleet.servers.iter().filter(|server| server.service == "engines");
    engines.for_each(|server| server.set_uneven(is_uneven));
}

/// Builds a stream request with a prompt that takes long to prefill. No other request has its part, so
/// nothing of it is cached.
fn long_request(front: std::net::SocketAddr, attempt: &str, model: &str, part: u32) -> HttpCall {
    request(front, "/stream/x", attempt, 5_000)
        .header("mangodeal-model", model)
        .header("mangodeal-token-counts", "9190,20")
        .header("mangodeal-prompt-prefix", format!("{part:08x}:9000,91bd3f06:190"))
}

/// Sends random requests until the time is over and returns what the client saw.
async fn run_client(
    client: usize,
    callers: Vec<std::net::SocketAddr>,
    mut random: SmallRng,
    started: Instant,
    length: Duration,
    suspended_at_ms: Arc<AtomicU64>,
) -> Vec<Observation> {
    let mut observations = Vec::new();
    while started.elapsed() < length {
        let attempt = format!("{client}-{}", observations.len());
        let front = random.random_range(0..callers.len());
        let kind = ["unsafe", "safe", "stream"][random.random_range(0..3)];
        let model = ["a", "b", "c"][random.random_range(0..3)];
        let call = match kind {
            "stream" if random.random_bool(0.3) => {
                long_request(callers[front], &attempt, model, random.random())
            }
            "stream" => model_request(callers[front], &attempt, model),
            _ => request(callers[front], &format!("/{kind}/x"), &attempt, TIMEOUT_MS),
        };
        let sent = Instant::now();
        let answer = call.timeout(Duration::from_secs(20)).send().await;
        let is_late = sent.elapsed() > Duration::from_millis(TIMEOUT_MS) + ANSWER_SLACK;
        let sent_ms = u64::try_from((sent - started).as_millis()).unwrap();
        let was_suspended = suspended_at_ms.load(Ordering::SeqCst) + TIMEOUT_MS >= sent_ms;
        let (mut events, mut take_ups) = (String::new(), 0);
        let (status, body) = match answer {
            Ok(answer) if kind == "stream" && answer.status == 200 => {
                let is_complete;
                (events, is_complete) = read_events(answer).await;
                let resumed = match is_complete {
                    true => Some(0),
                    false => take_up(&callers, &mut random, (&attempt, model), &mut events).await,
                };
                take_ups = resumed.unwrap_or(0);
                (Some(200), resumed.map(|_| events.clone()))
            }
            Ok(answer) => (Some(answer.status.as_u16()), read_text(answer).await),
            Err(_) => (None, None),
        };
        observations.push(Observation {
            attempt,
            front,
            sent_at: sent,
            kind,
            status,
            body,
            events,
            take_ups,
            is_late: is_late && kind != "stream",
            was_suspended,
        });
        tokio::time::sleep(Duration::from_millis(random.random_range(5..60))).await;
    }
    observations
}

/// Takes a broken stream up at random daemons and appends its further events. Returns how often it was
/// taken up if it is complete then.
async fn take_up(
    callers: &[std::net::SocketAddr],
    random: &mut SmallRng,
    (first_attempt, model): (&str, &str),
    events: &mut String,
) -> Option<usize> {
    for number in 1..=MAX_TAKE_UPS {
        let last = last_event_id(events)?.to_owned();
        let caller = callers[random.random_range(0..callers.len())];
        let call = model_request(caller, &format!("{first_attempt}-up{number}"), model)
            .header("last-event-id", last)
            .header("resumes", first_attempt)
            .timeout(Duration::from_secs(20));
        tokio::time::sleep(Duration::from_millis(random.random_range(0..300))).await;
        let Ok(answer) = call.send().await else { continue };
        if answer.status != 200 {
            continue;
        }
        let (more, is_complete) = read_events(answer).await;
        events.push_str(&more);
        if is_complete {
            return Some(number);
        }
    }
    None
}

/// Checks that each daemon serves requests of each kind again after the last fault.
async fn check_recovery(fleet: &PlatformFleet) {
    let deadline = Instant::now() + RECOVERY;
    for (number, front) in fleet.fronts.iter().enumerate() {
        for kind in ["unsafe", "safe", "stream"] {
            let mut attempts = 0;
            loop {
                attempts += 1;
                let attempt = format!("after-{number}-{kind}-{attempts}");
                let call = match kind {
                    "stream" => model_request(front.caller, &attempt, "a"),
                    _ => request(front.caller, &format!("/{kind}/x"), &attempt, TIMEOUT_MS),
                };
                if call.send().await.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                assert!(
                    Instant::now() < deadline,
                    "{kind} at {number} not served after {attempts} attempts"
                );
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Checks the guarantees against what clients and servers observed.
fn check_guarantees(fleet: &PlatformFleet, observations: &[Observation], seed: u64) {
    let mut counts: BTreeMap<(&str, Option<u16>), usize> = BTreeMap::new();
    for request in observations {
        *counts.entry((request.kind, request.status)).or_default() += 1;
        let runs = fleet.runs(&request.attempt);
        if request.kind == "unsafe" {
            assert!(runs <= 1, "seed {seed}: {request:?} ran {runs} times");
        }
        if matches!(request.status, Some(429 | 503 | 408 | 421)) && request.kind == "unsafe" {
            assert_eq!(
                runs, 0,
                "seed {seed}: {request:?} ran although its answer said that it did not"
            );
        }
        if request.status == Some(200) {
            check_body(request, seed);
        }
        let has_two = has_two_versions(&request.events);
        assert!(!has_two, "seed {seed}: {request:?} has events of two versions");
        assert!(
            !request.is_late || request.was_suspended,
            "seed {seed}: {request:?} was answered late"
        );
        let known = [200, 429, 502, 503, 504];
        assert!(request.status.is_none_or(|s| known.contains(&s)), "seed {seed}: {request:?}");
    }
    for server in &fleet.servers {
        assert!(!server.was_overloaded(), "seed {seed}: {} was overloaded", server.id);
        let orders = server.orders();
        for pair in orders.windows(2) {
            let (earlier, later) = (&pair[0], &pair[1]);
            assert!(
                earlier.2 <= later.2,
                "seed {seed}: {} got orders with falling fencing tokens: {pair:?}",
                server.id
            );
            assert!(
                earlier.1 == later.1 || earlier.2 < later.2,
                "seed {seed}: two daemons used one fencing token: {pair:?}"
            );
        }
        for arrival in server.arrivals() {
            assert_eq!(arrival.headers["mangodeal-tenant"], "atelier", "seed {seed}");
            assert!(!arrival.headers.contains_key("authorization"), "seed {seed}");
            assert_eq!(arrival.body, "body of the request", "seed {seed}");
        }
    }
    let mut scheduled = 0;
    for front in &fleet.fronts {
        // `log` panics if a line isn't JSON.
        let log = front.log();
        assert!(!log.is_empty(), "seed {seed}: the log is empty");
        scheduled += log.iter().filter(|line| line["event"] == "prefill_asked").count();
    }
    println!("seed {seed}: {scheduled} prompts were scheduled");
    let take_ups: usize = observations.iter().map(|request| request.take_ups).sum();
    println!("seed {seed}: {take_ups} streams were taken up and completed");
    println!("seed {seed}: {counts:?}");
}

/// Checks that nothing reached an evacuated domain from a daemon that must know of the evacuation.
fn check_evacuations(
    fleet: &PlatformFleet,
    record: &FaultRecord,
    observations: &[Observation],
    seed: u64,
) {
    let requests: BTreeMap<&str, &Observation> =
        observations.iter().map(|request| (request.attempt.as_str(), request)).collect();
    let mut withheld = 0;
    for server in &fleet.servers {
        for arrival in server.arrivals().iter().filter(|arrival| !arrival.is_misdirected) {
            let Some(request) = requests.get(arrival.attempt.as_str()) else { continue };
            let (front, times) = (request.front, (request.sent_at, arrival.at));
            let known = record.known_evacuation(&server.zone, front, times, EVACUATION);
            assert!(
                known.is_none(),
                "seed {seed}: {} reached {} from daemon {front} {:?} after its domain was evacuated",
                arrival.attempt,
                server.id,
                arrival.at - known.unwrap(),
            );
            // Shows that the check isn't vacuous: what reached the other domain meanwhile.
            let other = if server.zone == "east" { "west" } else { "east" };
            let known = record.known_evacuation(other, front, times, EVACUATION);
            withheld += usize::from(known.is_some());
        }
    }
    println!("seed {seed}: {withheld} requests beside a known evacuation");
}

/// Checks that no second brought a cold server more requests than it tolerates.
fn check_cold_servers(fleet: &PlatformFleet, record: &FaultRecord, seed: u64) {
    for span in &record.cold_spans {
        let server = &fleet.servers[span.server];
        let arrivals = server.arrivals();
        let arrivals = arrivals.iter().filter(|arrival| !arrival.is_misdirected);
        let times = arrivals.map(|arrival| arrival.at);
        let times: Vec<_> =
            times.filter(|at| (span.bounded_from..span.until).contains(at)).collect();
        let second = |start: &Instant| {
            times
                .iter()
                .filter(|at| **at >= *start && **at - *start < Duration::from_secs(1))
                .count()
        };
        let busiest = times.iter().map(second).max().unwrap_or(0);
        println!("seed {seed}: {} got up to {busiest} requests a second while cold", server.id);
        assert!(
            busiest as f64 <= COLD_MAX,
            "seed {seed}: {} got {busiest} requests in a second while cold",
            server.id
        );
    }
}

/// Checks that an answer belongs to its request and is complete.
fn check_body(request: &Observation, seed: u64) {
    let Some(body) = &request.body else { return };
    if request.kind == "stream" {
        let ids: Vec<&str> = body.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
        assert_eq!(ids, ["1", "2", "3", "4", "5", "6"], "seed {seed}: {request:?}");
    } else {
        assert_eq!(*body, format!("done {}", request.attempt), "seed {seed}: {request:?}");
    }
}
