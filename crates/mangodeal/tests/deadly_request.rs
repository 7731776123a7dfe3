//! Requests that crash each server that begins to run them, and come again with the same path, caller
//! and body.

mod common;
mod platform_fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::run;
use mangodeal::client::HttpCall;
use platform_fleet::{request_with_body, PlatformFleet};

/// Time after which the platform counts a machine as informed.
const STABLE: Duration = Duration::from_secs(3);
/// Copies of the request that may reach servers later than `STABLE` after the third crash.
const MAX_LATE: usize = 3;
/// How long a crashed server is away.
const AWAY: Duration = Duration::from_millis(700);
/// Pause between two rounds of requests.
const PAUSE: Duration = Duration::from_millis(50);
/// Rounds from one copy of the deadly request to the next.
const DEADLY_ROUNDS: usize = 8;
/// Parts of all prompts, without the last one.
const PARTS: &str = "5c1e07a2:800,91bd3f06:100";
/// Body of the request that crashes servers.
const DEADLY: &str = "a request that crashes servers";

/// A kind of request: the path of its route, and whether callers send it again after a failure.
#[derive(Clone, Copy, Debug)]
struct RequestKind {
    path: &'static str,
    is_retried: bool,
}

const UNSAFE: RequestKind = RequestKind { path: "/unsafe/x", is_retried: false };
const SAFE: RequestKind = RequestKind { path: "/safe/x", is_retried: true };
const STREAM: RequestKind = RequestKind { path: "/stream/x", is_retried: true };

fn call(front: SocketAddr, kind: RequestKind, attempt: &str, body: &str) -> HttpCall {
    let call = request_with_body(front, kind.path, (attempt, body), 1_500);
    if kind.path != STREAM.path {
        return call;
    }
    call.header("mangodeal-model", "a")
        .header("mangodeal-token-counts", "900,20")
        .header("mangodeal-prompt-prefix", format!("{PARTS},{}:50", body.len()))
}

/// The last answer that a caller got.
#[derive(Clone, Debug)]
struct CallEnd {
    sent_at: Instant,
    status: u16,
    has_hint: bool,
}

/// Sends a request, and once more through another daemon if it fails and its kind allows that.
async fn send(
    fronts: Vec<SocketAddr>,
    kind: RequestKind,
    attempt: String,
    body: String,
) -> CallEnd {
    let sent_at = Instant::now();
    let mut end = CallEnd { sent_at, status: 0, has_hint: false };
    for (number, front) in fronts.into_iter().take(1 + usize::from(kind.is_retried)).enumerate() {
        let answer = call(front, kind, &format!("{attempt}-{number}"), &body).send().await;
        let Ok(answer) = answer else { continue };
        end.status = answer.status.as_u16();
        end.has_hint = answer.header("retry-after").is_some();
        let is_whole = answer.bytes().await.is_ok();
        if end.status == 200 && !is_whole {
            end.status = 0;
        }
        if end.status == 200 || end.status == 400 {
            break;
        }
    }
    end
}

/// What callers and servers saw.
#[derive(Debug, Default)]
struct Outcome {
    crashes: Vec<Instant>,
    deadly_arrivals: Vec<Instant>,
    sound: Vec<CallEnd>,
    deadly: Vec<CallEnd>,
}

impl Outcome {
    /// Returns how many copies of the deadly request reached servers too late.
    fn late_arrivals(&self) -> usize {
        let limit = self.crashes.get(2).map(|third| *third + STABLE);
        self.deadly_arrivals.iter().filter(|at| limit.is_some_and(|limit| **at > limit)).count()
    }

    fn check(&self, started: Instant) {
        let late = self.late_arrivals();
        println!("{} crashes, {late} late", self.crashes.len());
        assert!(self.crashes.len() >= 2, "the request crashed {} servers", self.crashes.len());
        assert!(late <= MAX_LATE, "{late} late copies, {} crashes", self.crashes.len());
        // The others have the same caller and the same prompt parts, and are never refused.
        assert!(self.sound.iter().all(|end| end.status != 400), "a sound request got 400");
        let settled = started + Duration::from_secs(8);
        let last: Vec<&CallEnd> = self.sound.iter().filter(|end| end.sent_at > settled).collect();
        let served = last.iter().filter(|end| end.status == 200).count();
        assert!(served * 10 > last.len() * 9, "{served} of {} sound requests", last.len());
        // The copies are refused at once, and nothing invites them to return.
        for end in self.deadly.iter().rev().take(10) {
            assert_eq!((end.status, end.has_hint), (400, false));
        }
    }
}

/// Sends sound requests and copies of a deadly one through all daemons in turn for `span`. `during` is
/// called in each round with the time since the start.
async fn play(
    fleet: &mut PlatformFleet,
    kind: RequestKind,
    span: Duration,
    mut during: impl FnMut(&mut PlatformFleet, Duration),
) -> Outcome {
    let mut outcome = Outcome::default();
    let (mut sound, mut deadly, mut gone) = (Vec::new(), Vec::new(), Vec::new());
    let started = Instant::now();
    for number in 0.. {
        if started.elapsed() >= span {
            break;
        }
        let fronts: Vec<SocketAddr> = (0..fleet.fronts.len())
            .map(|offset| fleet.fronts[(number + offset) % fleet.fronts.len()].caller)
            .collect();
        let body = format!("request {number}");
        sound.push(tokio::spawn(send(fronts.clone(), kind, format!("sound-{number}"), body)));
        if number % DEADLY_ROUNDS == 0 {
            let attempt = format!("deadly-{number}");
            deadly.push(tokio::spawn(send(fronts, kind, attempt, DEADLY.to_owned())));
        }
        gone.extend(fleet.revive_crashed(AWAY).await);
        fleet.servers.iter().for_each(|server| server.set_deadly_body(DEADLY));
        during(fleet, started.elapsed());
        tokio::time::sleep(PAUSE).await;
    }
    for call in sound {
        outcome.sound.push(call.await.unwrap());
    }
    for call in deadly {
        outcome.deadly.push(call.await.unwrap());
    }
    for server in gone.iter().chain(&fleet.servers) {
        outcome.crashes.extend(server.crashed_at());
        let arrivals = server.arrivals().into_iter();
        outcome
            .deadly_arrivals
            .extend(arrivals.filter(|arrival| arrival.body == DEADLY).map(|arrival| arrival.at));
    }
    outcome.crashes.sort_unstable();
    outcome
}

async fn start_fleet() -> PlatformFleet {
    let mut fleet = PlatformFleet::start(3).await;
    for number in 3..8 {
        fleet.add_engine(&format!("engine-{number}"), &["a"]).await;
        fleet.add_server(&format!("orders-{number}"), "orders").await;
    }
    fleet
}

fn check(kind: RequestKind) {
    run(async move {
        let mut fleet = start_fleet().await;
        let started = Instant::now();
        let outcome = play(&mut fleet, kind, Duration::from_secs(12), |_, _| {}).await;
        outcome.check(started);
    });
}

/// Guards against a request that crashes one server of a plain service after another, because requests
/// without prompt parts never were evidence.
#[test]
fn deadly_order() {
    check(UNSAFE);
}

/// Guards against second attempts and callers' retries that crash further servers under one request.
#[test]
fn deadly_lookup() {
    check(SAFE);
}

/// Guards against sound requests that are refused for the parts that they share with a deadly request.
#[test]
fn deadly_stream() {
    check(STREAM);
}

/// Guards against evidence of a request that is lost with the leader or with the daemons that saw the
/// crashes.
#[test]
fn restarted_daemons() {
    run(async {
        let mut fleet = start_fleet().await;
        let mut killed = 0;
        let span = Duration::from_secs(16);
        let outcome = play(&mut fleet, UNSAFE, span, |fleet, elapsed| {
            let restart = |front: &mut platform_fleet::FrontProcess| {
                front.kill();
                front.spawn();
            };
            if killed < 3 && elapsed > Duration::from_secs(2 + 2 * killed) {
                restart(&mut fleet.fronts[killed as usize]);
                killed += 1;
            } else if killed == 3 && elapsed > Duration::from_secs(10) {
                fleet.fronts.iter_mut().for_each(restart);
                killed += 1;
            }
        })
        .await;
        let late = outcome.late_arrivals();
        println!("{} crashes, {late} late", outcome.crashes.len());
        assert!(outcome.crashes.len() >= 3, "the request crashed too few servers");
        assert!(late <= MAX_LATE, "{late} late copies, {} crashes", outcome.crashes.len());
    });
}
