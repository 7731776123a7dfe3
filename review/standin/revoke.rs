//! A key is withdrawn while servers crash one after the other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{config, entry, plain_service, Daemon, Folder, Record, Route, HOST, KEY};
use crate::http::{answer, call, Conn};
use crate::json::Json;
use crate::server::{misdirected, Arrivals};
use crate::store::Store;

/// `applyMs` of the small site.
const APPLY: Duration = Duration::from_millis(2_000);
const DAEMONS: usize = 6;
const SERVERS: usize = 12;
/// Clients at each machine, and the time that a server takes for a request.
const CLIENTS: usize = 18;
const WORK: Duration = Duration::from_millis(400);
/// Pause between two crashes, and how long a crashed server is away.
const CRASH_PAUSE: Duration = Duration::from_millis(500);
const DOWN: Duration = Duration::from_millis(1_200);
/// Three heartbeat intervals of the site, after which the entry of a silent server is removed.
const SILENCE: Duration = Duration::from_millis(3_600);
/// Crashes before the first key is withdrawn.
const CRASHES_BEFORE: usize = 12;
/// How often the key is withdrawn, for how long, and how long it is valid between.
const WITHDRAWALS: usize = 4;
const WITHDRAWN: Duration = Duration::from_millis(4_000);
const VALID: Duration = Duration::from_millis(4_000);
/// Shared parts of a prompt.
const SHARED_PARTS: usize = 4;
const SECOND_KEY: &str = "key-of-atelier-0002";

/// A server that can crash: its port then refuses connections.
struct Server {
    id: String,
    address: SocketAddr,
    has_crashed: Arc<AtomicBool>,
}

impl Server {
    fn start(id: String, arrivals: Arc<Arrivals>) -> Server {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a mode of the listener");
        let has_crashed = Arc::new(AtomicBool::new(false));
        let (own_id, crashed) = (id.clone(), has_crashed.clone());
        thread::spawn(move || {
            let open: Arc<Mutex<BTreeMap<usize, TcpStream>>> = Arc::default();
            let mut number = 0;
            while !crashed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                number += 1;
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().insert(number, copy);
                }
                let (id, arrivals, crashed) = (own_id.clone(), arrivals.clone(), crashed.clone());
                let open = open.clone();
                thread::spawn(move || {
                    serve(&id, Conn::new(stream), &arrivals, &crashed);
                    open.lock().unwrap().remove(&number);
                });
            }
            // The port refuses connections before the first one ends.
            drop(listener);
            for stream in open.lock().unwrap().values() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        Server { id, address, has_crashed }
    }
}

fn serve(id: &str, mut conn: Conn, arrivals: &Arrivals, crashed: &AtomicBool) {
    while let Some(request) = conn.message(false) {
        if let Some(other) = misdirected(id, &request) {
            if !conn.send(&other) {
                return;
            }
            continue;
        }
        arrivals.add(id, &request);
        thread::sleep(WORK);
        if crashed.load(Ordering::SeqCst) {
            return;
        }
        let attempt = request.header("mangodeal-attempt-id").to_owned();
        let seal = format!("{id}.{attempt}");
        let headers = [
            ("Mangodeal-Attempt-Id", attempt.as_str()),
            ("Mangodeal-Instance-Id", id),
            ("Mangodeal-Server-Seal", &seal),
            ("Keep-Alive", "timeout=10"),
        ];
        if !conn.send(&answer(200, &headers, b"in stock")) {
            return;
        }
    }
}

/// A configuration with as many models as the site has, over 4 KB as there. Odd versions have the second
/// key.
fn version(number: i64) -> Json {
    let model = |at: i64| {
        Json::map(vec![
            ("name", Json::str(format!("daka51{at:04}"))),
            ("weightMb", Json::Num(65_100.0)),
            ("loadS", Json::Num(6.0)),
            ("diskS", Json::Num(1.2)),
            ("warmS", Json::Num(0.57)),
            ("adapters", Json::Int(2)),
            ("adapterMb", Json::Num(12.0)),
        ])
    };
    let engine = Json::map(vec![
        ("slots", Json::Int(64)),
        ("kvCapacity", Json::Int(262_987)),
        ("weightMb", Json::Num(230_000.0)),
        ("adapterSlots", Json::Int(8)),
        ("loadsPerS", Json::Num(3.1)),
        ("models", Json::List((0..61).map(model).collect())),
    ]);
    let helper = Json::map(vec![
        ("name", Json::str("helper")),
        ("healthPath", Json::str("/healthz")),
        ("maxConns", Json::Int(360)),
        ("engine", engine),
    ]);
    let routes = [Route {
        prefix: "stock",
        kind: "safe",
        service: "desk",
        attempts: 2,
        timeout_ms: 3_000,
        goal_ms: 600,
        resumable: false,
    }];
    let mut document = config(number, &routes, vec![plain_service("desk"), helper]);
    if number % 2 == 1 {
        let keys = Json::List(vec![Json::str(KEY), Json::str(SECOND_KEY)]);
        if let Json::Map(fields) = &mut document {
            if let Some(Json::List(tenants)) = fields.get_mut("tenants") {
                if let Some(Json::Map(tenant)) = tenants.first_mut() {
                    tenant.insert("apiKeys".to_owned(), keys);
                }
            }
        }
    }
    document
}

fn headers(key: &str, attempt: &str) -> Vec<(String, String)> {
    vec![
        ("Host".to_owned(), HOST.to_owned()),
        ("Authorization".to_owned(), format!("Token {key}")),
        ("Mangodeal-Attempt-Id".to_owned(), attempt.to_owned()),
        ("Mangodeal-Time-Left-Ms".to_owned(), "3000".to_owned()),
    ]
}

/// A prompt: excerpts of documents that are seldom asked for, and the request's own part.
fn parts(machine: usize, client: usize, count: usize) -> String {
    let excerpt = |at: usize| {
        let number = (machine * CLIENTS + client) * 7_919 + count * 31 + at * 104_729;
        format!("{:08x}:{},", (number * 2_654_435_761) & 0xffff_ffff, 200 + at)
    };
    (0..SHARED_PARTS).map(excerpt).collect::<String>()
        + &format!("{machine:x}{client:02x}{count:05x}:120")
}

pub fn run(folder: &str, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::create(folder));
    let temporary = Folder::create("revoke");
    let (store, store_address) = Store::start();
    let arrivals = Arc::new(Arrivals::default());
    let mut number = 7;
    store.put("op/config", &version(number));
    let started_at = 1_790_000_000_000i64;
    let mut starts = 0;
    let mut start = |record: &Record| {
        starts += 1;
        let server = Server::start(format!("i-5733c9a{starts:03}"), arrivals.clone());
        let value = entry("desk", server.address, 64, "ready", 1, started_at + 1_000 * starts);
        store.put(&format!("servers/{}", server.id), &value);
        record.line(format!("{} starts", server.id));
        server
    };
    let mut servers: Vec<Server> = (0..SERVERS).map(|_| start(&record)).collect();
    let daemons: Vec<Daemon> = (0..DAEMONS)
        .map(|at| Daemon::start(&format!("front-{}", at + 1), store_address, &temporary.0))
        .collect();
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(15))) {
        return 2;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    // The version in force, whether it has the second key, and when the store acknowledged it.
    let in_force = Arc::new(Mutex::new((number, true, Instant::now())));
    let stale = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for (machine, daemon) in daemons.iter().enumerate() {
        let front = daemon.front;
        for client in 0..CLIENTS {
            let (is_over, served) = (is_over.clone(), served.clone());
            clients.push(thread::spawn(move || {
                let (mut kept, mut count) = (None, 0);
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    let attempt = format!("stock-{machine}-{client}-{count}");
                    let path = format!("GET /stock/{machine}/{client}/{count}");
                    let limit = Duration::from_millis(3_000);
                    let mut lines = headers(KEY, &attempt);
                    lines.push((
                        "Mangodeal-Prompt-Prefix".to_owned(),
                        parts(machine, client, count),
                    ));
                    let end = call(front, &mut kept, &path, &lines, b"", limit);
                    served.fetch_add(usize::from(end.status() == 200), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(20));
                }
            }));
        }
        for client in 0..3 {
            let (record, is_over) = (record.clone(), is_over.clone());
            let (in_force, stale, arrivals) = (in_force.clone(), stale.clone(), arrivals.clone());
            clients.push(thread::spawn(move || {
                let (mut kept, mut count) = (None, 0);
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    let attempt = format!("second-{machine}-{client}-{count}");
                    let path = format!("GET /stock/second/{machine}/{client}/{count}");
                    let (version, has_key, at) = *in_force.lock().unwrap();
                    let sent_at = Instant::now();
                    let limit = Duration::from_millis(3_000);
                    let end = call(front, &mut kept, &path, &headers(SECOND_KEY, &attempt), b"", limit);
                    let ran = arrivals.of(&attempt);
                    let age = sent_at.duration_since(at);
                    let with = if has_key { "with" } else { "without" };
                    record.line(format!(
                        "{attempt} to machine {}, sent {} ms after version {version} {with} its key: {}; ran at {ran:?}",
                        machine + 1,
                        age.as_millis(),
                        end.seen()
                    ));
                    let is_older = if has_key { end.status() == 401 } else { !ran.is_empty() };
                    if age > APPLY && is_older {
                        stale.lock().unwrap().push((machine + 1, has_key, age));
                    }
                    thread::sleep(Duration::from_millis(150));
                }
            }));
        }
    }
    let mut crashes = 0;
    let mut away: Vec<(usize, Instant)> = Vec::new();
    let mut silent: Vec<(String, Instant)> = Vec::new();
    let mut next_crash = Instant::now() + Duration::from_secs(2);
    let mut next_change = None;
    let mut changes = 0;
    let began = Instant::now();
    while changes < 2 * WITHDRAWALS && began.elapsed() < Duration::from_secs(100) {
        let now = Instant::now();
        if has_trouble && now >= next_crash {
            next_crash = now + CRASH_PAUSE;
            let at = crashes % SERVERS;
            crashes += 1;
            record.line(format!("{} crashes", servers[at].id));
            servers[at].has_crashed.store(true, Ordering::SeqCst);
            silent.push((servers[at].id.clone(), now + SILENCE));
            away.push((at, now + DOWN));
        }
        if silent.first().is_some_and(|(_, until)| now >= *until) {
            store.delete(&format!("servers/{}", silent.remove(0).0));
        }
        if let Some(&(at, until)) = away.first() {
            if now >= until {
                away.remove(0);
                servers[at] = start(&record);
            }
        }
        let may_change = !has_trouble || crashes >= CRASHES_BEFORE;
        if may_change && next_change.is_none_or(|at| now >= at) {
            number += 1;
            changes += 1;
            let has_key = number % 2 == 1;
            store.put("op/config", &version(number));
            *in_force.lock().unwrap() = (number, has_key, Instant::now());
            record.line(format!("the store acknowledges version {number}, second key: {has_key}"));
            next_change = Some(now + if has_key { VALID } else { WITHDRAWN });
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(daemons);
    let stale = stale.lock().unwrap();
    let latest = stale.iter().map(|(_, _, age)| age.as_millis()).max().unwrap_or(0);
    let count = |refused| stale.iter().filter(|(_, has_key, _)| *has_key == refused).count();
    let machines: BTreeSet<usize> = stale.iter().map(|(machine, ..)| *machine).collect();
    let served = served.load(Ordering::SeqCst);
    record.line(format!(
        "crashes: {crashes}; changes: {changes}; answered 200: {served}; sent later than 2000 ms after the \
         acknowledgement: {} ran with the withdrawn key, {} got 401 with the valid key, the latest {latest} ms after \
         it, at machines {machines:?}",
        count(false),
        count(true),
    ));
    if changes < 2 * WITHDRAWALS || served < 1_000 {
        return 2;
    }
    i32::from(!stale.is_empty())
}
