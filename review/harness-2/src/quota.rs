//! QUOTA: a daemon that can't hear the leader spends what its tenant left unused, and the leader gives the same
//! to the others.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::fleet::{config, request, Front, Link};
use crate::record::Record;
use crate::server::{Behaviour, Server};
use crate::store::StandinStore;
use crate::turns::{leader, temporary_directory, BEAT};

/// The largest tenant of lindqvist-veils, and the bounds of the rule.
const RATE: f64 = 160_434.0;
const BURST: f64 = 160_434.0;
const WINDOW: Duration = Duration::from_secs(8);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 110_000.0;
/// Tokens of a `counter-mockup`.
const TOKENS: (u64, u64) = (9_190, 52);
const ZONES: [&str; 3] = ["regina-a", "regina-b", "saskatoon-c"];
const DAEMONS: usize = 6;
/// What the tenant usually sends, as a share of its rate (the site's quotas are 1.8 times that), and what it
/// sends to front-6, and to all others together, while it is hot: 4.3 times the usual.
const USUAL: f64 = 0.556;
const HOT: f64 = 1.2;
/// How long only one daemon gets requests, and how long the partition lasts.
const CALM: Duration = Duration::from_secs(14);
const CUT: Duration = Duration::from_secs(10);
pub async fn run(record: &Record, has_trouble: bool) -> i32 {
    let directory = temporary_directory();
    let store = Arc::new(StandinStore::start().await);
    let mut servers = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        for copy in 0..2 {
            let id = format!("i-engine-{number}{copy}");
            let server = Server::start(&id, "veil-helper", zone, &["m0"], record).await;
            server.set_behaviour(Behaviour { events: 13, ..Behaviour::default() });
            servers.push(server);
        }
    }
    let servers = Arc::new(servers);
    let mut config = config(7, &["m0"]);
    config["tenants"][0]["ratePerS"] = json!(RATE);
    config["tenants"][0]["burst"] = json!(BURST);
    store.put("op/config", &config);
    let beats = tokio::spawn({
        let (store, servers) = (store.clone(), servers.clone());
        async move {
            loop {
                for server in servers.iter() {
                    let (key, entry) = server.entry();
                    store.put(&key, &entry);
                }
                tokio::time::sleep(BEAT).await;
            }
        }
    });
    // The last daemon reaches the others through links.
    let mut fronts = Vec::new();
    for number in 0..DAEMONS - 1 {
        let name = format!("front-{}", number + 1);
        let zone = ZONES[number % 3];
        fronts.push(Front::start(&name, zone, store.address(), &directory).await);
    }
    for front in &fronts {
        front.wait_ready().await;
    }
    // One of these leads.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (mut links, mut aliases) = (Vec::new(), Vec::new());
    for front in &fronts {
        let link = Link::start(front.peer).await;
        aliases.push((front.peer, link.address));
        links.push(link);
    }
    let (view, _view_task) = store.serve_view(aliases).await;
    let last = Front::start("front-6", ZONES[2], view, &directory).await;
    last.wait_ready().await;
    fronts.push(last);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let Some(name) = leader(&store).filter(|name| name != "front-6") else {
        record.say("no leader, or front-6");
        return 2;
    };
    let sent: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let refused = Arc::new(AtomicUsize::new(0));
    let per_second = RATE / (TOKENS.0 + TOKENS.1) as f64;
    record.say(format!("{name} leads; the tenant sends as usual, all to front-6"));
    let mut clients = Vec::new();
    let start = |daemon: usize, rate: f64, label: &str| {
        let (record, caller) = (record.clone(), fronts[daemon].caller);
        let (sent, refused, label) = (sent.clone(), refused.clone(), format!("{label}{daemon}"));
        tokio::spawn(async move { press(&record, caller, rate, &label, &sent, &refused).await })
    };
    let calm = start(DAEMONS - 1, USUAL * per_second, "a");
    tokio::time::sleep(CALM).await;
    calm.abort();
    record.say("the tenant sends 1.2 times its rate to front-6, and as much to the other five");
    clients.push(start(DAEMONS - 1, HOT * per_second, "b"));
    for daemon in 0..DAEMONS - 1 {
        clients.push(start(daemon, HOT * per_second / (DAEMONS - 1) as f64, "b"));
    }
    if has_trouble {
        links.iter_mut().for_each(Link::refuse);
        record.say("front-6 is partitioned from the other machines");
    }
    tokio::time::sleep(CUT).await;
    clients.iter().for_each(tokio::task::JoinHandle::abort);
    beats.abort();
    for front in &fronts {
        for line in front.log_text().lines() {
            if ["\"leads", "leader_changed", "leader_silent", "leader_heard"]
                .iter()
                .any(|t| line.contains(t))
            {
                record.line(format!("log of {}: {line}", front.name));
            }
        }
    }
    // Requests that were sent, and arrived at a server that ran them.
    let sent = sent.lock().unwrap().clone();
    let mut runs: Vec<(Instant, Instant)> = Vec::new();
    for server in servers.iter() {
        for (attempt, at) in server.all_runs() {
            let Some((_, sent_at)) = sent.iter().find(|(id, _)| *id == attempt) else { continue };
            runs.extend(at.iter().map(|at| (*sent_at, *at)));
        }
    }
    let cost = (TOKENS.0 + TOKENS.1) as f64;
    let bound = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERSHOOT) + SLACK;
    let mut most = (0.0, 0.0);
    for (begin, _) in &runs {
        let end = *begin + WINDOW;
        let inside = runs.iter().filter(|(sent, ran)| sent >= begin && *ran <= end).count();
        let tokens = inside as f64 * cost;
        if tokens > most.0 {
            most = (tokens, record.at(*begin));
        }
    }
    record.say(format!(
        "{} requests sent, {} ran, {} refused; most in {} s: {:.0} tokens from {:.3} s on, allowed {bound:.0}",
        sent.len(),
        runs.len(),
        refused.load(Ordering::SeqCst),
        WINDOW.as_secs(),
        most.0,
        most.1
    ));
    let _ = std::fs::remove_dir_all(&directory);
    if runs.len() < 50 {
        return 2;
    }
    i32::from(most.0 > bound)
}

/// Sends streams to one daemon.
async fn press(
    record: &Record,
    caller: std::net::SocketAddr,
    rate: f64,
    label: &str,
    sent: &Arc<Mutex<Vec<(String, Instant)>>>,
    refused: &Arc<AtomicUsize>,
) {
    let mut calls = tokio::task::JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
    for number in 0.. {
        ticks.tick().await;
        let (record, refused) = (record.clone(), refused.clone());
        let attempt = format!("{label}{number:08x}");
        sent.lock().unwrap().push((attempt.clone(), Instant::now()));
        calls.spawn(async move {
            let extra = [
                ("mangodeal-model", "m0".to_owned()),
                ("mangodeal-token-counts", format!("{},{}", TOKENS.0, TOKENS.1)),
                ("mangodeal-prompt-prefix", format!("5c1e07a2:6300,{attempt}:2890")),
            ];
            let call = ("POST", "/mockup/2f");
            let answer = request(&record, caller, call, &attempt, 5_000, &extra).await;
            refused.fetch_add(usize::from(answer.status == Some(429)), Ordering::SeqCst);
        });
        while calls.try_join_next().is_some() {}
    }
}
