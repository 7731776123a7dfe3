//! Prompts with a part that crashes each server that begins to answer them.

mod common;
mod platform_fleet;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::run;
use mangodeal::client::HttpCall;
use platform_fleet::{request_with_body, PlatformFleet};

/// Time after which the platform counts a machine as informed.
const STABLE: Duration = Duration::from_secs(3);
/// Requests with such a part that may reach servers later than `STABLE` after the fifth crash.
const MAX_LATE: usize = 3;
/// How long a crashed server is away.
const AWAY: Duration = Duration::from_millis(700);
/// The part that crashes servers.
const DEADLY: &str = "dead";

fn call(front: SocketAddr, attempt: &str, parts: &str) -> HttpCall {
    request_with_body(front, "/stream/x", (attempt, attempt), 1_500)
        .header("mangodeal-model", "a")
        .header("mangodeal-token-counts", "900,20")
        .header("mangodeal-prompt-prefix", parts)
}

/// What callers and servers saw.
#[derive(Debug, Default)]
struct Outcome {
    crashes: Vec<Instant>,
    /// When requests with the deadly part reached servers.
    deadly_arrivals: Vec<Instant>,
    /// When sound requests were sent, and whether they were served.
    sound: Vec<(Instant, bool)>,
    /// When requests with the deadly part were sent, and the status of their answers.
    deadly: Vec<(Instant, u16, Option<String>)>,
}

impl Outcome {
    fn fifth_crash(&self) -> Option<Instant> {
        self.crashes.get(4).copied()
    }

    /// Returns how many requests with the deadly part reached servers too late.
    fn late_arrivals(&self) -> usize {
        let limit = self.fifth_crash().map(|at| at + STABLE);
        self.deadly_arrivals.iter().filter(|at| limit.is_some_and(|limit| **at > limit)).count()
    }

    fn served_share(&self, from: Instant) -> f64 {
        let sound: Vec<bool> =
            self.sound.iter().filter(|(at, _)| *at >= from).map(|(_, served)| *served).collect();
        sound.iter().filter(|served| **served).count() as f64 / sound.len().max(1) as f64
    }
}

/// Sends sound and deadly requests through the daemons in turn for `span`. `during` is called every
/// 50 ms with the time since the start.
async fn play(
    fleet: &mut PlatformFleet,
    span: Duration,
    mut during: impl FnMut(&mut PlatformFleet, Duration),
) -> Outcome {
    let fronts: Vec<SocketAddr> = fleet.fronts.iter().map(|front| front.caller).collect();
    let mut outcome = Outcome::default();
    let (mut sound, mut deadly) = (Vec::new(), Vec::new());
    let mut gone = Vec::new();
    let started = Instant::now();
    for number in 0.. {
        if started.elapsed() >= span {
            break;
        }
        let front = fronts[number % fronts.len()];
        let parts = format!("5c1e07a2:800,{:x}:50,{:x}:50", 0x5000 + number % 5, 0x9000 + number);
        let sound_call = call(front, &format!("sound-{number}"), &parts);
        sound.push(tokio::spawn(async move {
            let sent_at = Instant::now();
            let answer = sound_call.send().await;
            let is_served = match answer {
                Ok(answer) if answer.status == 200 => answer.bytes().await.is_ok(),
                _ => false,
            };
            (sent_at, is_served)
        }));
        if number % 4 == 0 {
            let front = fronts[(number / 4) % fronts.len()];
            let own = 0x10000 + number;
            let parts = format!("5c1e07a2:800,{DEADLY}:50,{own:x}:50");
            let deadly_call = call(front, &format!("deadly-{number}"), &parts);
            deadly.push(tokio::spawn(async move {
                let sent_at = Instant::now();
                let Ok(answer) = deadly_call.send().await else { return (sent_at, 0, None) };
                let hint = answer.header("retry-after").map(str::to_owned);
                (sent_at, answer.status.as_u16(), hint)
            }));
        }
        gone.extend(fleet.revive_crashed(AWAY).await);
        fleet.servers.iter().for_each(|server| server.set_deadly_part(DEADLY));
        during(fleet, started.elapsed());
        tokio::time::sleep(Duration::from_millis(50)).await;
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
        outcome.deadly_arrivals.extend(
            arrivals.filter(|arrival| arrival.attempt.starts_with("deadly-")).map(|a| a.at),
        );
    }
    outcome.crashes.sort_unstable();
    outcome
}

async fn start_fleet() -> PlatformFleet {
    let mut fleet = PlatformFleet::start(3).await;
    for number in 3..8 {
        fleet.add_engine(&format!("engine-{number}"), &["a"]).await;
    }
    fleet
}

/// Guards against requests of one kind crashing targets one after another, because each daemon sees
/// a crash or two and counts failures by target only.
#[test]
fn deadly_part() {
    run(async {
        let mut fleet = start_fleet().await;
        let started = Instant::now();
        let outcome = play(&mut fleet, Duration::from_secs(14), |_, _| {}).await;
        println!("{} crashes, {} late", outcome.crashes.len(), outcome.late_arrivals());
        assert!(outcome.crashes.len() >= 2, "the part crashed {} servers", outcome.crashes.len());
        let late = outcome.late_arrivals();
        assert!(late <= MAX_LATE, "{late} requests after {} crashes", outcome.crashes.len());
        // Sound requests with the same key and first part are served as before.
        let share = outcome.served_share(started + Duration::from_secs(10));
        assert!(share > 0.9, "{share} of the sound requests served");
        // The guilty ones are refused at once, and nothing invites them to return.
        let last = outcome.deadly.iter().rev().take(10);
        for (_, status, hint) in last {
            assert_eq!((*status, hint.clone()), (400, None));
        }
    });
}

/// Guards against evidence that is lost with the leader or with the daemons that saw the crashes.
#[test]
fn lost_daemons() {
    run(async {
        let mut fleet = start_fleet().await;
        let mut killed = 0;
        let outcome = play(&mut fleet, Duration::from_secs(18), |fleet, elapsed| {
            // Each daemon is killed in turn, the leader among them, and all at once at the end.
            if elapsed > Duration::from_secs(2 + 2 * killed) && killed < 3 {
                let front = &mut fleet.fronts[killed as usize];
                front.kill();
                front.spawn();
                killed += 1;
            } else if elapsed > Duration::from_secs(10) && killed == 3 {
                fleet.fronts.iter_mut().for_each(|front| {
                    front.kill();
                    front.spawn();
                });
                killed += 1;
            }
        })
        .await;
        println!("{} crashes, {} late", outcome.crashes.len(), outcome.late_arrivals());
        let late = outcome.late_arrivals();
        assert!(late <= MAX_LATE, "{late} requests after {} crashes", outcome.crashes.len());
    });
}
