//! A load order that gets no answer is carried out after its server has started again.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{Engine, MEMORY_MB, MODEL_MB};
use crate::fleet::{config, entry, Daemon, Folder, Record, Route, HOST, KEY};
use crate::http::call;
use crate::json::Json;
use crate::store::Store;

/// How late the order is carried out. The pages say 2 to 12 s.
const LATENESS: Duration = Duration::from_millis(11_500);
/// How long the server is down.
const DOWN: Duration = Duration::from_millis(1_000);
const BEAT: Duration = Duration::from_millis(1_200);

fn service() -> Json {
    let model = |name: &str| {
        Json::map(vec![
            ("name", Json::str(name)),
            ("weightMb", Json::Num(MODEL_MB)),
            ("loadS", Json::Num(2.5)),
            ("diskS", Json::Num(1.0)),
            ("warmS", Json::Num(0.6)),
            ("adapters", Json::Int(0)),
            ("adapterMb", Json::Num(12.0)),
        ])
    };
    let models = ["m1", "m2", "m3", "m4"].iter().map(|name| model(name)).collect();
    let engine = Json::map(vec![
        ("slots", Json::Int(64)),
        ("kvCapacity", Json::Int(262_987)),
        ("weightMb", Json::Num(MEMORY_MB)),
        ("adapterSlots", Json::Int(8)),
        ("loadsPerS", Json::Num(3.1)),
        ("hostMb", Json::Num(0.0)),
        ("diskMb", Json::Num(870_000.0)),
        ("models", Json::List(models)),
    ]);
    Json::map(vec![
        ("name", Json::str("helper")),
        ("healthPath", Json::str("/healthz")),
        ("maxConns", Json::Int(360)),
        ("engine", engine),
    ])
}

fn until(limit: Duration, mut is_true: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_true() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

pub fn run(folder: &str, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::create(folder));
    let temporary = Folder::create("late");
    let (store, store_address) = Store::start();
    let routes = [Route {
        prefix: "notes",
        kind: "stream",
        service: "helper",
        attempts: 1,
        timeout_ms: 15_000,
        goal_ms: 400,
        resumable: false,
    }];
    store.put("op/config", &config(7, &routes, vec![service()]));
    let (engine, address) = Engine::start("w-1", &["m1"], record.clone());
    let is_over = Arc::new(AtomicBool::new(false));
    let (beats, beat_engine, beat_over) = (store.clone(), engine.clone(), is_over.clone());
    let is_listed = Arc::new(AtomicBool::new(true));
    let beat_listed = is_listed.clone();
    let beat = thread::spawn(move || {
        let mut number = 0;
        while !beat_over.load(Ordering::SeqCst) {
            if beat_listed.load(Ordering::SeqCst) {
                number += 1;
                let mut value = entry("helper", address, 64, "ready", number, 0);
                if let Json::Map(map) = &mut value {
                    for (name, field) in beat_engine.holdings() {
                        map.insert(name.to_owned(), field);
                    }
                    map.insert("stage".to_owned(), Json::str("colocated"));
                }
                beats.put("servers/w-1", &value);
            }
            thread::sleep(BEAT);
        }
    });
    let daemon = Daemon::start("front-1", store_address, &temporary.0);
    if !daemon.wait_ready(Duration::from_secs(15)) {
        return 2;
    }
    // Clients of the models that are named here.
    let wanted: Arc<Mutex<Vec<&'static str>>> = Arc::new(Mutex::new(vec!["m1", "m2"]));
    let served = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for model in ["m1", "m2", "m3", "m4"] {
        for number in 0..2 {
            let (wanted, served, record) = (wanted.clone(), served.clone(), record.clone());
            let (front, is_over) = (daemon.front, is_over.clone());
            clients.push(thread::spawn(move || {
                let (mut kept, mut count) = (None, 0);
                while !is_over.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(250));
                    if !wanted.lock().unwrap().contains(&model) {
                        continue;
                    }
                    count += 1;
                    let attempt = format!("{model}-{number}-{count}");
                    let headers = [
                        ("Host", HOST.to_owned()),
                        ("Authorization", format!("Token {KEY}")),
                        ("Mangodeal-Attempt-Id", attempt.clone()),
                        ("Mangodeal-Time-Left-Ms", "6000".to_owned()),
                        ("Mangodeal-Model", model.to_owned()),
                        ("Mangodeal-Token-Counts", "300,20".to_owned()),
                        ("Mangodeal-Prompt-Prefix", format!("5c1e07a2:200,{number}{count}:100")),
                    ];
                    let headers = headers.map(|(name, value)| (name.to_owned(), value));
                    let path = format!("POST /notes/{count}");
                    let limit = Duration::from_millis(6_000);
                    let end = call(front, &mut kept, &path, &headers, b"edging", limit);
                    record.line(format!("{attempt}: {}", end.seen()));
                    served.fetch_add(usize::from(end.status() == 200), Ordering::SeqCst);
                }
            }));
        }
    }
    let holds = |names: &[&str]| {
        let models = engine.models();
        names.iter().all(|name| models.iter().any(|model| model == name))
    };
    let mut is_staged = until(Duration::from_secs(20), || holds(&["m1", "m2", "m3"]));
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        engine.hold_order("m4", LATENESS);
    }
    *wanted.lock().unwrap() = vec!["m1", "m2", "m4"];
    if has_trouble {
        is_staged &= until(Duration::from_secs(10), || engine.held_at().is_some());
        record.line(format!("the server crashes after {} orders", engine.sequence()));
        engine.crash();
        is_listed.store(false, Ordering::SeqCst);
        *wanted.lock().unwrap() = vec!["m1", "m2", "m3"];
        thread::sleep(DOWN);
        engine.start_again();
        is_listed.store(true, Ordering::SeqCst);
        record.line("the server starts again under its id");
    } else {
        is_staged &= until(Duration::from_secs(10), || holds(&["m4"]));
        *wanted.lock().unwrap() = vec!["m1", "m2", "m3"];
    }
    thread::sleep(LATENESS + Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let _ = beat.join();
    drop(daemon);
    record.line(format!(
        "answered 200: {}; the server was ordered to load more than it holds: {}",
        served.load(Ordering::SeqCst),
        engine.has_crashed()
    ));
    if !is_staged || served.load(Ordering::SeqCst) < 10 {
        return 2;
    }
    i32::from(engine.has_crashed())
}
