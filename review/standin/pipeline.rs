//! A planned stop of a machine while clients have sent two requests in a row on a kept connection.

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{config, entry, plain_service, Daemon, Folder, Record, Route, HOST, KEY};
use crate::http::Conn;
use crate::server::{sound_server, Arrivals};
use crate::store::Store;

/// `lossSlackMs` of the small site.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time until 1 s after `graceS`, in which a SIGTERM counts as planned work.
const PLANNED: Duration = Duration::from_secs(9);

fn request(attempt: &str) -> String {
    format!(
        "GET /stock/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
         Mangodeal-Attempt-Id: {attempt}\r\nMangodeal-Time-Left-Ms: 1500\r\n\r\n"
    )
}

pub fn run(folder: &str, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::create(folder));
    let temporary = Folder::create("pipeline");
    let (store, store_address) = Store::start();
    let arrivals = Arc::new(Arrivals::default());
    let routes = [Route {
        prefix: "stock",
        kind: "safe",
        service: "desk",
        attempts: 2,
        timeout_ms: 1_500,
        goal_ms: 600,
        resumable: false,
    }];
    store.put("op/config", &config(7, &routes, vec![plain_service("desk")]));
    let work = Duration::from_millis(300);
    for id in ["i-desk1", "i-desk2", "i-desk3"] {
        let address = sound_server(id, work, arrivals.clone());
        let value = entry("desk", address, 6, "ready", 1, 1_700_000_000_000);
        store.put(&format!("servers/{id}"), &value);
    }
    let mut daemons: Vec<Daemon> = ["front-1", "front-2"]
        .iter()
        .map(|name| Daemon::start(name, store_address, &temporary.0))
        .collect();
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(15))) {
        return 2;
    }
    let front = daemons[0].front;
    let is_over = Arc::new(AtomicBool::new(false));
    let stopped_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let (served, lost) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut clients = Vec::new();
    for number in 0..6 {
        let (record, is_over, stopped_at) = (record.clone(), is_over.clone(), stopped_at.clone());
        let (served, lost, arrivals) = (served.clone(), lost.clone(), arrivals.clone());
        clients.push(thread::spawn(move || {
            let mut count = 0;
            let mut kept: Option<Conn> = None;
            while !is_over.load(Ordering::SeqCst) {
                // After the stop the platform sends new connections elsewhere.
                if kept.is_none() {
                    if stopped_at.lock().unwrap().is_some() {
                        return;
                    }
                    match TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
                        Ok(stream) => kept = Some(Conn::new(stream)),
                        Err(_) => return,
                    }
                }
                let Some(conn) = kept.as_mut() else { return };
                let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(2_500)));
                count += 1;
                let names = [format!("stock-{number}-{count}a"), format!("stock-{number}-{count}b")];
                let sent_at = Instant::now();
                if !conn.send((request(&names[0]) + &request(&names[1])).as_bytes()) {
                    kept = None;
                    continue;
                }
                let mut answers = Vec::new();
                for _ in 0..2 {
                    match conn.message(true).filter(|answer| answer.is_complete) {
                        Some(answer) => answers.push(answer),
                        None => break,
                    }
                }
                let ended_after = sent_at.elapsed();
                let has_closed = conn.has_closed;
                let statuses: Vec<u16> = answers.iter().map(|answer| answer.status()).collect();
                record.line(format!(
                    "{} and {}: answers {statuses:?}, {} ms after both were sent{}; ran at {:?} and {:?}",
                    names[0],
                    names[1],
                    ended_after.as_millis(),
                    if has_closed { ", closed in order" } else { "" },
                    arrivals.of(&names[0]),
                    arrivals.of(&names[1]),
                ));
                served.fetch_add(answers.len(), Ordering::SeqCst);
                // A connection that is closed in order has been read to its end.
                let is_planned = stopped_at.lock().unwrap().is_some_and(|at| at.elapsed() < PLANNED);
                if answers.len() == 1 && has_closed && is_planned && ended_after > LOSS_SLACK {
                    lost.fetch_add(1, Ordering::SeqCst);
                    record.line(format!("{}: the connection ended without an answer", names[1]));
                }
                if answers.len() < 2 || answers.iter().any(|a| a.header("connection").contains("close")) {
                    kept = None;
                }
                thread::sleep(Duration::from_millis(30));
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        record.line("SIGTERM to front-1");
        *stopped_at.lock().unwrap() = Some(Instant::now());
        daemons[0].terminate();
        thread::sleep(Duration::from_secs(9));
        record.line(format!("front-1 has ended: {}", daemons[0].has_ended()));
    } else {
        thread::sleep(Duration::from_secs(9));
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let (served, lost) = (served.load(Ordering::SeqCst), lost.load(Ordering::SeqCst));
    record.line(format!(
        "answers: {served}; requests that were read and whose connection ended without an answer: {lost}"
    ));
    drop(daemons);
    if served < 50 {
        return 2;
    }
    i32::from(lost > 0)
}
