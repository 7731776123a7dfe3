//! ONE: a leader that is killed before it may give its first order takes its term over as it restarts, and
//! orders at once, although another host has ordered the same servers within `leaseMs`.

use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fleet::Front;
use crate::record::Record;
use crate::server::Server;
use crate::store::StandinStore;
use crate::turns::{leader, press, temporary_directory, BEAT, MODELS};

/// `leaseMs` and `graceS` of cvds-brisbane-grown.
const LEASE: Duration = Duration::from_millis(3_000);
const GRACE: Duration = Duration::from_secs(8);
const WARM_UP: Duration = Duration::from_secs(10);
const ZONES: [&str; 3] = ["bne-north", "bne-south", "ipswich"];
/// Time between the new leader's claim and its end, and until the platform starts it again.
const KILL_AFTER: Duration = Duration::from_millis(400);
const RESTART_DELAY: Duration = Duration::from_millis(300);

pub async fn run(record: &Record, has_trouble: bool) -> i32 {
    let directory = temporary_directory();
    let store = Arc::new(StandinStore::start().await);
    let mut servers = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let id = format!("i-engine-{number}");
        servers.push(Server::start(&id, "veil-helper", zone, &MODELS, record).await);
        let id = format!("i-desk-{number}");
        servers.push(Server::start(&id, "shop-desk", zone, &[], record).await);
    }
    servers.iter().for_each(Server::ignore_fences);
    let servers = Arc::new(servers);
    store.put("op/config", &crate::fleet::config(7, &MODELS));
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
    let mut fronts = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let name = format!("front-{}", number + 1);
        fronts
            .push(Front::start_with(&name, zone, store.address(), &directory, (0.25, false)).await);
    }
    for front in &fronts {
        front.wait_ready().await;
    }
    record.say("traffic begins");
    let busy: Arc<Vec<AtomicBool>> = Arc::new((0..3).map(|_| AtomicBool::new(true)).collect());
    let clients: Vec<_> = fronts
        .iter()
        .enumerate()
        .map(|(number, front)| {
            let (record, caller, busy) = (record.clone(), front.caller, busy.clone());
            tokio::spawn(async move { press(&record, caller, number, &busy).await })
        })
        .collect();
    tokio::time::sleep(WARM_UP).await;
    let Some(former) = leader(&store) else {
        record.say("no leader");
        return 2;
    };
    let at = fronts.iter().position(|front| front.name == former).unwrap();
    record.say(format!("{former} leads; it is stopped as planned, by SIGTERM"));
    fronts[at].signal("TERM");
    let stopped_at = Instant::now();
    let next = loop {
        let next = leader(&store).filter(|name| *name != former);
        if let Some(next) = next {
            break next;
        }
        if stopped_at.elapsed() > GRACE + Duration::from_secs(4) {
            record.say("no other leader");
            return 2;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    record.say(format!("{next} has written the leader's key"));
    while !fronts[at].has_exited() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    record.say(format!("{former} has exited"));
    let next_at = fronts.iter().position(|front| front.name == next).unwrap();
    if has_trouble {
        tokio::time::sleep(KILL_AFTER).await;
        fronts[next_at].kill();
        record.say(format!("{next} is killed"));
        tokio::time::sleep(RESTART_DELAY).await;
        fronts[next_at].spawn();
        record.say(format!("{next} starts again"));
    }
    fronts[at].spawn();
    record.say(format!("{former} starts again"));
    tokio::time::sleep(Duration::from_secs(5)).await;
    clients.iter().for_each(tokio::task::JoinHandle::abort);
    beats.abort();
    for front in &fronts {
        for line in front.log_text().lines() {
            if ["\"leads", "leader_changed", "\"stopp"].iter().any(|text| line.contains(text)) {
                record.line(format!("log of {}: {line}", front.name));
            }
        }
    }
    let (mut broken, mut turns) = (0, 0);
    for server in servers.iter() {
        for pair in server.orders().windows(2) {
            let (former, next) = (&pair[0], &pair[1]);
            if former.holder == next.holder {
                continue;
            }
            turns += 1;
            let gap = next.at - former.at;
            let is_broken = gap < LEASE;
            broken += usize::from(is_broken);
            record.say(format!(
                "{}{} has an order of {} (token {}, status {}) at {:.3} s and one of {} (token {}, \
                 status {}) {} ms later",
                if is_broken { "ONE: " } else { "" },
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
        }
    }
    if turns == 0 {
        record.say("no server has orders of both");
        return 2;
    }
    record.say(format!("{turns} turns, {broken} of them within leaseMs"));
    let _ = std::fs::remove_dir_all(&directory);
    i32::from(broken > 0)
}
