//! ONE: a leader that is partitioned from the servers hands its duty over, and the next one orders the
//! same servers within `leaseMs`.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use crate::fleet::{config, request, Front, Link};
use crate::record::Record;
use crate::server::Server;
use crate::store::StandinStore;

/// `leaseMs` and `stableMs` of the small deployments.
const LEASE: Duration = Duration::from_millis(3_000);
const STABLE: Duration = Duration::from_millis(3_000);
const WARM_UP: Duration = Duration::from_secs(6);
const CUT: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(5);
/// The pauses differ, so that the cuts begin at other moments of the leaders' renewals.
const PAUSE_STEP: Duration = Duration::from_millis(170);
const CUTS: u32 = 6;
pub const MODELS: [&str; 3] = ["m0", "m1", "m2"];
const ZONES: [&str; 3] = ["regina-a", "regina-b", "saskatoon-c"];
pub const BEAT: Duration = Duration::from_millis(1_200);

pub fn temporary_directory() -> PathBuf {
    let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    directory
}

pub async fn run(record: &Record, has_trouble: bool) -> i32 {
    let directory = temporary_directory();
    let store = Arc::new(StandinStore::start().await);
    let mut servers = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        for copy in 0..2 {
            let id = format!("i-engine-{number}{copy}");
            servers.push(Server::start(&id, "veil-helper", zone, &MODELS, record).await);
        }
        let id = format!("i-desk-{number}");
        servers.push(Server::start(&id, "shop-desk", zone, &[], record).await);
    }
    let servers = Arc::new(servers);
    store.put("op/config", &config(7, &MODELS));
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
    // Each daemon reaches the servers through links of its own.
    let (mut fronts, mut links, mut views) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..6 {
        let (mut own_links, mut aliases) = (Vec::new(), Vec::new());
        for server in servers.iter() {
            let link = Link::start(server.address).await;
            aliases.push((server.address, link.address));
            own_links.push(link);
        }
        let (view, task) = store.serve_view(aliases).await;
        views.push(task);
        links.push(own_links);
        let name = format!("front-{}", number + 1);
        fronts.push(Front::start(&name, ZONES[number % 3], view, &directory).await);
    }
    for front in &fronts {
        front.wait_ready().await;
    }
    record.say("traffic begins");
    // The daemons whose clients send requests now: the share of each daemon is uneven.
    let busy: Arc<Vec<AtomicBool>> = Arc::new((0..6).map(|_| AtomicBool::new(true)).collect());
    let clients: Vec<_> = fronts
        .iter()
        .enumerate()
        .map(|(number, front)| {
            let (record, caller, busy) = (record.clone(), front.caller, busy.clone());
            tokio::spawn(async move { press(&record, caller, number, &busy).await })
        })
        .collect();
    tokio::time::sleep(WARM_UP).await;
    let mut is_stable = true;
    for round in 0..CUTS {
        let Some(at) = leader(&store).and_then(|name| fronts.iter().position(|f| f.name == name))
        else {
            record.say("no leader");
            return 2;
        };
        for (number, flag) in busy.iter().enumerate() {
            flag.store(number == at || number == (at + 1) % 6, Ordering::SeqCst);
        }
        tokio::time::sleep(PAUSE + PAUSE_STEP * round).await;
        is_stable &= fronts.iter().all(|front| front.started.elapsed() >= STABLE);
        let name = &fronts[at].name;
        if has_trouble {
            links[at].iter_mut().for_each(Link::refuse);
            record.say(format!(
                "{name} leads and is partitioned from all servers: connections are reset and refused"
            ));
        }
        tokio::time::sleep(CUT).await;
        if has_trouble {
            for link in &mut links[at] {
                link.restore().await;
            }
            record.say("the partition ends");
        }
    }
    clients.iter().for_each(tokio::task::JoinHandle::abort);
    let has_run_on = fronts.iter_mut().all(|front| !front.has_exited());
    record.say(format!("leader at the end: {:?}", leader(&store)));
    for front in &fronts {
        for line in front.log_text().lines() {
            if ["\"leads", "path_cut", "leader_changed"].iter().any(|text| line.contains(text)) {
                record.line(format!("log {line}"));
            }
        }
    }
    beats.abort();
    if !has_run_on || !is_stable {
        record.say("a daemon has ended, or wasn't in touch");
        return 2;
    }
    let mut broken = 0;
    let mut orders = 0;
    for server in servers.iter() {
        let seen = server.orders();
        orders += seen.len();
        for pair in seen.windows(2) {
            let (former, next) = (&pair[0], &pair[1]);
            let gap = next.at - former.at;
            if former.holder != next.holder && gap < LEASE {
                broken += 1;
                record.say(format!(
                    "ONE: {} has an order of {} (token {}, status {}) at {:.3} s and one of {} \
                     (token {}, status {}) {} ms later",
                    server.id,
                    former.holder,
                    former.fence,
                    former.status,
                    record.at(former.at),
                    next.holder,
                    next.fence,
                    next.status,
                    gap.as_millis()
                ));
            } else if former.holder != next.holder {
                record.say(format!(
                    "{}: turn from {} to {} after {} ms",
                    server.id,
                    former.holder,
                    next.holder,
                    gap.as_millis()
                ));
            }
        }
    }
    if orders < 20 {
        record.say(format!("only {orders} orders"));
        return 2;
    }
    record.say(format!("{orders} orders, {broken} turns within leaseMs"));
    let _ = std::fs::remove_dir_all(&directory);
    i32::from(broken > 0)
}

pub fn leader(store: &StandinStore) -> Option<String> {
    let value: Value = serde_json::from_slice(&store.value("mango/leader")?).ok()?;
    Some(value["host"].as_str()?.to_owned())
}

/// Sends streams for changing adapters, and plain requests, to one daemon.
pub async fn press(
    record: &Record,
    caller: std::net::SocketAddr,
    daemon: usize,
    busy: &[AtomicBool],
) {
    let mut calls = tokio::task::JoinSet::new();
    for number in 0.. {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if !busy[daemon].load(Ordering::SeqCst) {
            continue;
        }
        let record = record.clone();
        calls.spawn(async move {
            let adapter = (number * 7 + daemon * 5) % 24 + 1;
            let model = MODELS[number % MODELS.len()];
            let attempt = format!("{daemon:02x}{number:06x}");
            if number % 5 == 4 {
                request(&record, caller, ("GET", "/stock/2f"), &attempt, 2_000, &[]).await;
                return;
            }
            let extra = [
                ("mangodeal-model", format!("{model}/a{adapter}")),
                ("mangodeal-token-counts", "826,60".to_owned()),
                ("mangodeal-prompt-prefix", format!("5c1e07a2:198,{number:x}{daemon:x}:628")),
            ];
            request(&record, caller, ("POST", "/mockup/2f"), &attempt, 5_000, &extra).await;
        });
        while calls.try_join_next().is_some() {}
    }
}
