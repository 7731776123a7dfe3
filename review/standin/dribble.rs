//! Case 1: a server writes bytes without end, in small pieces, as the body of an answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{config, entry, plain_service, Daemon, Folder, Record, Route, HOST, KEY};
use crate::http::{call, listen, Conn};
use crate::server::{misdirected, send_stream, sound_server, Arrivals};
use crate::store::Store;

/// `limits.memoryMb` of the small site's machines.
const MEMORY_BYTES: u64 = 260 * 1_000_000;
/// Pause between two pieces of the endless body, and the size of a piece.
const PIECE_PAUSE: Duration = Duration::from_micros(100);
const PIECE: &[u8] = b"spoiled ";
/// Time of the traffic.
const DAY: Duration = Duration::from_secs(45);
/// LOST: more than this many requests at one machine.
const MOST_LOST: usize = 3;

/// The address of each daemon's front, as the platform knows it.
type Fronts = Arc<Vec<SocketAddr>>;

#[derive(Default)]
struct Lost(Mutex<BTreeMap<usize, usize>>);

fn headers(attempt: &str, left_ms: u64) -> Vec<(String, String)> {
    vec![
        ("Host".to_owned(), HOST.to_owned()),
        ("Authorization".to_owned(), format!("Token {KEY}")),
        ("Mangodeal-Attempt-Id".to_owned(), attempt.to_owned()),
        ("Mangodeal-Time-Left-Ms".to_owned(), left_ms.to_string()),
    ]
}

/// Starts the server in trouble. Without trouble it is a sound one.
fn troubled_server(id: &'static str, has_trouble: bool, dribbles: Arc<AtomicUsize>) -> SocketAddr {
    listen("127.0.0.1", move |mut conn: Conn| {
        while let Some(request) = conn.message(false) {
            if let Some(other) = misdirected(id, &request) {
                if !conn.send(&other) {
                    return;
                }
                continue;
            }
            if !has_trouble {
                if !send_stream(&mut conn, id, &request, 10, Duration::from_millis(30)) {
                    return;
                }
                continue;
            }
            dribbles.fetch_add(1, Ordering::SeqCst);
            let attempt = request.header("mangodeal-attempt-id");
            let head = format!(
                "HTTP/1.1 500 Internal Server Error\r\nMangodeal-Attempt-Id: {attempt}\r\n\
                 Mangodeal-Server-Seal: {id}.{attempt}\r\nContent-Type: text/plain\r\n\r\n"
            );
            let mut is_open = conn.send(head.as_bytes());
            while is_open {
                thread::sleep(PIECE_PAUSE);
                is_open = conn.send(PIECE);
            }
            return;
        }
    })
}

pub fn run(folder: &str, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::create(folder));
    let temporary = Folder::create("dribble");
    let (store, store_address) = Store::start();
    let arrivals = Arc::new(Arrivals::default());
    let dribbles = Arc::new(AtomicUsize::new(0));
    let born = 1_700_000_000_000;
    let routes = [
        Route {
            prefix: "order",
            kind: "unsafe",
            service: "desk",
            attempts: 1,
            timeout_ms: 1_500,
            goal_ms: 600,
            resumable: false,
        },
        Route {
            prefix: "notes",
            kind: "stream",
            service: "helper",
            attempts: 1,
            timeout_ms: 15_000,
            goal_ms: 400,
            resumable: false,
        },
    ];
    let services = vec![plain_service("desk"), plain_service("helper")];
    let work = Duration::from_millis(250);
    let servers = [
        ("desk", "i-desk1", sound_server("i-desk1", work, arrivals.clone())),
        ("desk", "i-desk2", sound_server("i-desk2", work, arrivals.clone())),
        ("desk", "i-desk3", sound_server("i-desk3", work, arrivals.clone())),
        ("helper", "i-help1", sound_server("i-help1", work, arrivals.clone())),
        ("helper", "i-help2", sound_server("i-help2", work, arrivals.clone())),
        ("helper", "i-help3", troubled_server("i-help3", has_trouble, dribbles.clone())),
    ];
    store.put("op/config", &config(7, &routes, services));
    for (service, id, address) in &servers {
        let slots = if *service == "desk" { 6 } else { 64 };
        store.put(&format!("servers/{id}"), &entry(service, *address, slots, "ready", 1, born));
    }
    let mut daemons: Vec<Daemon> = ["front-1", "front-2"]
        .iter()
        .map(|name| Daemon::start(name, store_address, &temporary.0))
        .collect();
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(15))) {
        record.line("a daemon does not get ready");
        return 2;
    }
    let fronts: Fronts = Arc::new(daemons.iter().map(|daemon| daemon.front).collect());
    let is_over = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(Lost::default());
    let served = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for machine in 0..daemons.len() {
        for number in 0..6 {
            let (record, fronts, is_over) = (record.clone(), fronts.clone(), is_over.clone());
            let (lost, served, arrivals) = (lost.clone(), served.clone(), arrivals.clone());
            clients.push(thread::spawn(move || {
                let (mut kept, mut earlier, mut count) = (None, 0, 0);
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    let attempt = format!("order-{machine}-{number}-{count}");
                    let limit = Duration::from_millis(1_500);
                    let path = format!("POST /order/{count}");
                    let lines = headers(&attempt, 1_500);
                    let end = call(fronts[machine], &mut kept, &path, &lines, b"one veil", limit);
                    let ran = arrivals.of(&attempt);
                    record.line(format!(
                        "{attempt} to machine {}: {}; ran at {ran:?}",
                        machine + 1,
                        end.seen()
                    ));
                    let is_cut = end.seen() == "connection closed without an answer";
                    if is_cut && earlier > 0 && !ran.is_empty() {
                        *lost.0.lock().unwrap().entry(machine).or_default() += 1;
                    }
                    served.fetch_add(usize::from(end.status() == 200), Ordering::SeqCst);
                    earlier = if kept.is_some() { earlier + 1 } else { 0 };
                    thread::sleep(Duration::from_millis(if kept.is_some() { 250 } else { 300 }));
                }
            }));
        }
        for number in 0..5 {
            let (record, fronts, is_over) = (record.clone(), fronts.clone(), is_over.clone());
            clients.push(thread::spawn(move || {
                let (mut kept, mut count) = (None, 0);
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    let attempt = format!("notes-{machine}-{number}-{count}");
                    let limit = Duration::from_millis(15_000);
                    let path = format!("POST /notes/{count}");
                    let lines = headers(&attempt, 15_000);
                    let end = call(fronts[machine], &mut kept, &path, &lines, b"edging", limit);
                    record.line(format!("{attempt} to machine {}: {}", machine + 1, end.seen()));
                    thread::sleep(Duration::from_millis(if kept.is_some() { 200 } else { 300 }));
                }
            }));
        }
    }
    // The platform: a process over its memory limit is killed and started again.
    let started = Instant::now();
    let mut kills = vec![0; daemons.len()];
    let mut peak = 0;
    while started.elapsed() < DAY {
        for (machine, daemon) in daemons.iter_mut().enumerate() {
            let memory = daemon.memory();
            peak = peak.max(memory);
            if memory > MEMORY_BYTES || daemon.has_ended() {
                record.line(format!(
                    "machine {}: memory {} MB of 260 MB, the platform kills the process",
                    machine + 1,
                    memory / 1_000_000
                ));
                kills[machine] += 1;
                daemon.kill();
                thread::sleep(Duration::from_millis(300));
                daemon.spawn();
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(daemons);
    let lost = lost.0.lock().unwrap();
    record.line(format!(
        "orders answered 200: {}; answers without end: {}; peak memory {} MB; ends by memory at each \
         machine: {kills:?}; orders on kept connections that ran at a sound server and whose \
         connection was closed without an answer, by machine (from 0): {lost:?}",
        served.load(Ordering::SeqCst),
        dribbles.load(Ordering::SeqCst),
        peak / 1_000_000,
    ));
    if served.load(Ordering::SeqCst) < 100 {
        return 2;
    }
    i32::from(lost.values().any(|count| *count > MOST_LOST))
}
