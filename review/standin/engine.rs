//! A stand-in for a model server, and the network between it and the daemons, which may hold an order.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Record;
use crate::http::{answer, listen, Conn, Message};
use crate::json::Json;
use crate::server::{misdirected, send_stream};

/// Memory for weights and the size of one model, in megabytes: three models fit, as on the small site.
pub const MEMORY_MB: f64 = 230_000.0;
pub const MODEL_MB: f64 = 70_000.0;
/// Time of a load of weights from the store and from the disk of the server's host.
const STORE_LOAD: Duration = Duration::from_millis(2_500);
const DISK_LOAD: Duration = Duration::from_millis(1_000);

#[derive(Clone)]
struct Task {
    kind: String,
    model: String,
    until: Instant,
}

struct State {
    born: i64,
    models: Vec<String>,
    /// Models whose weights are on the host's disk. A restart preserves them.
    disk: Vec<String>,
    sequence: i64,
    fence: i64,
    task: Option<Task>,
    is_down: bool,
    has_crashed: bool,
    /// The order for this model is held by the network, for this long.
    hold: Option<(String, Duration)>,
    held_at: Option<Instant>,
}

pub struct Engine {
    pub id: &'static str,
    state: Mutex<State>,
    record: Arc<Record>,
}

impl State {
    fn settle(&mut self) {
        let Some(task) = self.task.clone().filter(|task| Instant::now() >= task.until) else {
            return;
        };
        self.task = None;
        match task.kind.as_str() {
            "load" => {
                if !self.disk.contains(&task.model) {
                    self.disk.push(task.model.clone());
                }
                self.models.push(task.model);
            }
            _ => self.models.retain(|model| *model != task.model),
        }
    }
}

impl Engine {
    pub fn start(
        id: &'static str,
        models: &[&str],
        record: Arc<Record>,
    ) -> (Arc<Engine>, SocketAddr) {
        let list = || models.iter().map(|model| (*model).to_owned()).collect::<Vec<_>>();
        let state = State {
            born: 1_700_000_000_000,
            models: list(),
            disk: list(),
            sequence: 0,
            fence: 0,
            task: None,
            is_down: false,
            has_crashed: false,
            hold: None,
            held_at: None,
        };
        let engine = Arc::new(Engine { id, state: Mutex::new(state), record });
        let served = engine.clone();
        let address = listen("127.0.0.1", move |mut conn| {
            while let Some(request) = conn.message(false) {
                if served.state.lock().unwrap().is_down || !served.serve(&mut conn, &request) {
                    return;
                }
            }
        });
        (engine, address)
    }

    /// Holds the next order to load a model, so that it gets no answer and is carried out late.
    pub fn hold_order(&self, model: &str, span: Duration) {
        self.state.lock().unwrap().hold = Some((model.to_owned(), span));
    }
    pub fn held_at(&self) -> Option<Instant> {
        self.state.lock().unwrap().held_at
    }
    pub fn has_crashed(&self) -> bool {
        self.state.lock().unwrap().has_crashed
    }
    pub fn models(&self) -> Vec<String> {
        let mut state = self.state.lock().unwrap();
        state.settle();
        state.models.clone()
    }
    pub fn sequence(&self) -> i64 {
        self.state.lock().unwrap().sequence
    }
    /// Ends the process; it starts again under the same id, empty, with its disk.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_down = true;
        state.task = None;
    }
    pub fn start_again(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_down = false;
        state.born += 60_000;
        (state.models, state.sequence, state.fence) = (Vec::new(), 0, 0);
    }

    /// The fields of the entry and of the report that tell what the server holds.
    pub fn holdings(&self) -> Vec<(&'static str, Json)> {
        let mut state = self.state.lock().unwrap();
        state.settle();
        let names =
            |list: &[String]| Json::List(list.iter().map(|m| Json::str(m.clone())).collect());
        let held = state.models.iter().map(|model| {
            Json::map(vec![
                ("name", Json::str(model.clone())),
                ("version", Json::Int(1)),
                ("adapters", Json::List(vec![])),
            ])
        });
        let held = Json::List(held.collect());
        let copies =
            Json::map(vec![("memCount", Json::List(vec![])), ("diskCount", names(&state.disk))]);
        vec![("models", held), ("resident", copies), ("born", Json::Int(state.born))]
    }

    fn serve(self: &Arc<Engine>, conn: &mut Conn, request: &Message) -> bool {
        if let Some(other) = misdirected(self.id, request) {
            return conn.send(&other);
        }
        let json = [("Content-Type", "application/json"), ("Mangodeal-Instance-Id", self.id)];
        match request.path() {
            "/api/report" => {
                let mut fields = self.holdings();
                let state = self.state.lock().unwrap();
                fields.extend([
                    ("stage", Json::str("colocated")),
                    ("busy", Json::Bool(state.task.is_some())),
                    ("sequence", Json::Int(state.sequence)),
                    ("waiting", Json::Int(0)),
                    ("running", Json::Int(0)),
                    ("incoming", Json::List(vec![])),
                ]);
                drop(state);
                conn.send(&answer(200, &json, Json::map(fields).to_string().as_bytes()))
            }
            "/api/order" => {
                let order = Json::parse(&request.body);
                let hold = {
                    let mut state = self.state.lock().unwrap();
                    let is_held = state.hold.as_ref().is_some_and(|(model, _)| {
                        order.get("opKind").text() == "load" && order.get("model").text() == model
                    });
                    if is_held {
                        state.held_at = Some(Instant::now());
                        state.hold.take()
                    } else {
                        None
                    }
                };
                if let Some((_, span)) = hold {
                    self.record.line(format!("{}: order {order} gets no answer", self.id));
                    let engine = self.clone();
                    thread::spawn(move || {
                        thread::sleep(span);
                        let status = engine.order(&order);
                        engine
                            .record
                            .line(format!("{}: the late order arrives: {status}", engine.id));
                    });
                    thread::sleep(span);
                    return false;
                }
                let status = self.order(&order);
                self.record.line(format!("{}: order {order}: {status}", self.id));
                conn.send(&answer(status, &json, b"{}"))
            }
            _ => {
                let model = request.header("mangodeal-model").to_owned();
                let attempt = request.header("mangodeal-attempt-id").to_owned();
                if !self.models().contains(&model) {
                    let headers = [
                        ("Mangodeal-Attempt-Id", attempt.as_str()),
                        ("Mangodeal-Instance-Id", self.id),
                        ("Mangodeal-Not-Run", "1"),
                    ];
                    return conn.send(&answer(421, &headers, b""));
                }
                send_stream(conn, self.id, request, 5, Duration::from_millis(20))
            }
        }
    }

    /// Carries out an order as the pages say, and returns the status of the answer.
    fn order(&self, order: &Json) -> u16 {
        let mut state = self.state.lock().unwrap();
        state.settle();
        let (kind, model) =
            (order.get("opKind").text().to_owned(), order.get("model").text().to_owned());
        let is_fenced = order.get("fenceToken").int() < state.fence;
        if is_fenced {
            return 412;
        }
        state.fence = order.get("fenceToken").int();
        let is_held = state.models.contains(&model);
        if state.task.is_some() || order.get("expected").int() != state.sequence {
            return 409;
        }
        if is_held == (kind == "load") {
            return 200;
        }
        state.sequence += 1;
        let span = match kind.as_str() {
            "load" if state.disk.contains(&model) => DISK_LOAD,
            "load" => STORE_LOAD,
            _ => Duration::from_millis(50),
        };
        if kind == "load" && (state.models.len() + 1) as f64 * MODEL_MB > MEMORY_MB {
            self.record.line(format!(
                "{}: holds {:?} and is ordered to load {model}: {} of {MEMORY_MB} MB, it crashes",
                self.id,
                state.models,
                (state.models.len() + 1) as f64 * MODEL_MB
            ));
            state.has_crashed = true;
            state.is_down = true;
        }
        state.task = Some(Task { kind, model, until: Instant::now() + span });
        202
    }
}
