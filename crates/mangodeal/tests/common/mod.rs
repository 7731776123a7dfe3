//! Starts daemon processes and stand-ins for the servers that they use, with fault proxies between
//! them.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use base::SecretKey;
use hyper::Method;
use mangodeal::client::{change_draft, HttpAnswer, HttpCall};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use standin::{FaultProxy, HostServer, KeyValueServer, TargetOptions, TargetServer, WeightStore};
use tokio::net::TcpListener;

pub const CREDENTIAL: &str = "test-operator";
/// Specified time limit for withdrawn keys, accepted changes and leaving targets to take effect.
pub const CHANGE_BOUND: Duration = Duration::from_secs(4);
/// Lies below the system's range of ephemeral ports, which it uses for outgoing connections.
const FIRST_PORT: u16 = 10_000;
const BLOCK_PORTS: u16 = 200;
const BLOCKS: u16 = 100;

static PORT_BLOCKS: Mutex<PortBlocks> =
    Mutex::new(PortBlocks { guards: Vec::new(), unused: Vec::new() });

/// Runs a test on its own runtime. Panics if the test takes longer than any correct run.
pub fn run<F: std::future::Future<Output = ()>>(test: F) {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(async {
        tokio::time::timeout(Duration::from_secs(240), test).await.expect("the test hangs")
    });
}

/// Ports that only this test process uses.
struct PortBlocks {
    /// Listeners on the first port of each block, kept until the process ends. They reserve the
    /// blocks.
    guards: Vec<std::net::TcpListener>,
    /// Ports that were not handed out yet.
    unused: Vec<u16>,
}

impl PortBlocks {
    /// Reserves a block that no other test process has, and collects its unused ports.
    fn reserve_block(&mut self) {
        let bind = |port: u16| std::net::TcpListener::bind(("127.0.0.1", port));
        let start = std::process::id() as u16;
        let firsts = (0..BLOCKS).map(|n| FIRST_PORT + start.wrapping_add(n) % BLOCKS * BLOCK_PORTS);
        let (first, guard) = firsts
            .filter_map(|first| Some((first, bind(first).ok()?)))
            .next()
            .expect("a free block of ports");
        self.guards.push(guard);
        // Checks all ports now rather than on use: a child process that is being spawned briefly has
        // copies of this process's open sockets, and a port would look used.
        let rest = first + 1..first + BLOCK_PORTS;
        self.unused = rest.rev().filter(|port| bind(*port).is_ok()).collect();
    }
}

/// Returns a port that nobody listens on. It is never returned again.
pub fn free_port() -> u16 {
    let mut blocks = PORT_BLOCKS.lock().unwrap();
    loop {
        if let Some(port) = blocks.unused.pop() {
            return port;
        }
        blocks.reserve_block();
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A daemon process and the proxies around it.
pub struct DaemonProcess {
    child: Option<Child>,
    settings: PathBuf,
    pub domain: String,
    pub caller: SocketAddr,
    pub operator: SocketAddr,
    pub peer: SocketAddr,
    /// Proxy between this daemon and the key-value service.
    pub service: FaultProxy,
    /// Proxy between the other daemons and this one.
    pub inbound: FaultProxy,
}

impl DaemonProcess {
    pub fn spawn(&mut self) {
        let log = std::fs::File::create(self.settings.with_extension("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_mangodeald"))
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    fn pid(&self) -> Pid {
        Pid::from_child(self.child.as_ref().unwrap())
    }

    /// Returns the resident memory of the process, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let path = format!("/proc/{}/statm", self.pid().as_raw_nonzero());
        let text = std::fs::read_to_string(path).unwrap();
        text.split(' ').nth(1).unwrap().parse::<u64>().unwrap() * 4_096
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = kill_process(Pid::from_child(&child), Signal::CONT);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn suspend(&self) {
        kill_process(self.pid(), Signal::STOP).unwrap();
    }

    pub fn resume(&self) {
        kill_process(self.pid(), Signal::CONT).unwrap();
    }

    pub fn terminate(&self) {
        kill_process(self.pid(), Signal::TERM).unwrap();
    }

    /// Waits for the process to exit by itself and returns whether it succeeded.
    pub async fn wait_exit(&mut self) -> bool {
        loop {
            if let Some(status) = self.child.as_mut().unwrap().try_wait().unwrap() {
                self.child = None;
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Disconnects the daemon from the key-value service and its peers, or reconnects it.
    pub fn set_isolated(&self, isolated: bool) {
        self.service.set_disconnected(isolated);
        self.inbound.set_disconnected(isolated);
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Size and settings of a fleet.
pub struct Options {
    pub domains: Vec<&'static str>,
    pub daemons_per_domain: usize,
    pub target: TargetOptions,
    pub targets_per_domain: usize,
    pub extra_settings: String,
    pub checks_fencing: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            domains: vec!["east", "west"],
            daemons_per_domain: 1,
            target: TargetOptions::default(),
            targets_per_domain: 1,
            extra_settings: String::new(),
            checks_fencing: true,
        }
    }
}

/// Daemon processes, and stand-ins for the key-value service, the host list and the targets.
pub struct Fleet {
    pub service: KeyValueServer,
    pub hosts: HostServer,
    pub weights: WeightStore,
    pub targets: Vec<(String, TargetServer)>,
    pub daemons: Vec<DaemonProcess>,
    pub key: SecretKey,
    options: Options,
    directory: PathBuf,
}

impl Fleet {
    /// Starts a fleet and creates a configuration with one team, one key and three models.
    pub async fn start(options: Options) -> Fleet {
        let service = KeyValueServer::start().await.unwrap();
        let hosts = HostServer::start().await.unwrap();
        let weights = options.target.weights.clone();
        let name = format!("mangodeal-{}-{}", std::process::id(), free_port());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        let mut fleet = Fleet {
            service,
            hosts,
            weights,
            targets: Vec::new(),
            daemons: Vec::new(),
            key: SecretKey::generate(),
            options,
            directory,
        };
        for domain in fleet.options.domains.clone() {
            for number in 0..fleet.options.targets_per_domain {
                let target = TargetServer::start(fleet.options.target.clone()).await.unwrap();
                fleet.targets.push((format!("helper-{domain}-{number}"), target));
            }
            for _ in 0..fleet.options.daemons_per_domain {
                fleet.add_daemon(domain).await;
            }
        }
        fleet.wait_ready().await;
        fleet.configure().await;
        fleet
    }

    /// Starts another daemon and returns its index.
    pub async fn add_daemon(&mut self, domain: &str) -> usize {
        let peer = loopback(free_port());
        let inbound_listener = TcpListener::bind(loopback(0)).await.unwrap();
        let inbound = FaultProxy::with_listener(inbound_listener, peer).unwrap();
        let service = FaultProxy::start(self.service.address()).await.unwrap();
        let (caller, operator) = (loopback(free_port()), loopback(free_port()));
        let text = format!(
            "[daemon]\ndomain = {domain}\ndomains = {}\ncaller_listen = {caller}\n\
             operator_listen = {operator}\npeer_listen = {peer}\npeer_address = {}\n\
             [platform]\nservice = {}\nhosts = {}\nlease = 3s\nhead_interval = 500ms\n\
             hosts_interval = 500ms\n[operators]\ntester = {}\n{}\n",
            self.options.domains.join(","),
            inbound.address(),
            service.address(),
            self.hosts.address(),
            SecretKey::new(CREDENTIAL).hash(),
            self.options.extra_settings,
        );
        let settings = self.directory.join(format!("daemon-{}.ini", self.daemons.len()));
        std::fs::write(&settings, text).unwrap();
        self.hosts.list("entry", &inbound.address().to_string(), domain, "live");
        let mut daemon = DaemonProcess {
            child: None,
            settings,
            domain: domain.to_owned(),
            caller,
            operator,
            peer,
            service,
            inbound,
        };
        daemon.spawn();
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    pub async fn wait_ready(&self) {
        for daemon in &self.daemons {
            self.wait_daemon(daemon).await;
        }
    }

    pub async fn wait_daemon(&self, daemon: &DaemonProcess) {
        eventually(Duration::from_secs(30), "the daemon is ready", || async {
            let answer = HttpCall::get(daemon.caller, "/readyz").send().await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }

    /// Creates the configuration. Waits until it is in force and each seat has units.
    async fn configure(&self) {
        let mut objects = vec![
            json!({"kind": "team", "name": "atelier", "labels": "tier=gold", "rate": 100_000,
                   "burst": 200_000}),
            json!({"kind": "key", "name": "counter", "team": "atelier", "hash": self.key.hash()}),
            json!({"kind": "access", "name": "design", "teams": "tier=gold",
                   "models": "use=design"}),
            json!({"kind": "placement", "name": "anywhere", "models": "", "targets": "",
                   "copies": 2}),
        ];
        for model in ["lace", "tulle", "silk"] {
            objects.push(json!({"kind": "model", "name": model, "labels": "use=design",
                                "memory": 60}));
        }
        for (name, target) in &self.targets {
            let domain = name.split('-').nth(1).unwrap();
            objects.push(json!({"kind": "target", "name": name, "domain": domain,
                "address": target.address().to_string(), "memory": 100,
                "fencing": self.options.checks_fencing}));
        }
        let revision = self.apply(&objects).await;
        self.wait_in_force(revision, self.daemons.len()).await;
        eventually(Duration::from_secs(30), "each seat has units", || async {
            let status = self.status(0).await;
            let seats = status["seats"].as_array().cloned().unwrap_or_default();
            seats.len() == self.daemons.len() && seats.iter().all(|seat| seat["units"] != 0)
        })
        .await;
        // A seat may use newly assigned units only after the duration of a loan.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
    }

    /// Writes objects through the first daemon and returns the revision.
    pub async fn apply(&self, objects: &[Value]) -> u64 {
        let (status, body) = self.propose_change(0, objects, &free_port().to_string()).await;
        assert_eq!(status, 200, "{body}");
        body["revision"].as_u64().unwrap()
    }

    /// Proposes a change to one daemon. Returns the status and body of its answer.
    pub async fn propose_change(&self, at: usize, objects: &[Value], id: &str) -> (u16, Value) {
        let draft = change_draft(id, objects);
        let call = HttpCall::post(self.daemons[at].operator, "/v1/changes", draft.to_string());
        read_json(call.bearer(CREDENTIAL).send().await.unwrap()).await
    }

    /// Starts a target without models behind the route `/desk/` and returns its index.
    pub async fn add_service(&mut self, open: bool) -> usize {
        let target = TargetServer::start(TargetOptions::default()).await.unwrap();
        let objects = [
            json!({"kind": "target", "name": "desk", "type": "service", "domain": "east",
                   "labels": "desk=yes", "address": target.address().to_string()}),
            json!({"kind": "route", "name": "desk", "prefix": "/desk/", "targets": "desk=yes",
                   "open": open, "deadline_ms": 5_000}),
        ];
        self.targets.push(("desk".to_owned(), target));
        let revision = self.apply(&objects).await;
        self.wait_in_force(revision, self.daemons.len()).await;
        self.targets.len() - 1
    }

    /// Builds a request to the service behind `/desk/` with an idempotency key.
    pub fn service_call(&self, at: usize, idempotency: &str, body: &str) -> HttpCall {
        HttpCall::post(self.daemons[at].caller, "/desk/book", body.to_owned())
            .bearer(self.key.reveal())
            .header("idempotency-key", idempotency)
    }

    /// Sends a request for a model, so that it is loaded, and waits for the answer.
    pub async fn load_model(&self, at: usize, model: &str) {
        let (status, body) =
            read_json(self.chat_call(at, model, 1, false).send().await.unwrap()).await;
        assert_eq!(status, 200, "{body}");
    }

    pub async fn delete(&self, at: usize, kind: &str, name: &str) -> (u16, Value) {
        let path = format!("/v1/objects/{kind}/{name}");
        let call = HttpCall::get(self.daemons[at].operator, path).method(Method::DELETE);
        read_json(call.bearer(CREDENTIAL).send().await.unwrap()).await
    }

    pub async fn status(&self, at: usize) -> Value {
        self.operator_get(at, "/v1/status").await
    }

    pub async fn operator_get(&self, at: usize, path: &str) -> Value {
        let call = HttpCall::get(self.daemons[at].operator, path).bearer(CREDENTIAL);
        read_json(call.send().await.unwrap()).await.1
    }

    pub async fn wait_in_force(&self, revision: u64, seats: usize) {
        eventually(Duration::from_secs(30), "the revision is in force", || async {
            let answer = self.operator_get(0, &format!("/v1/force?revision={revision}")).await;
            answer["in_force"] == true && answer["seats"] == seats
        })
        .await;
    }

    /// Waits until one daemon has a revision.
    pub async fn wait_revision(&self, at: usize, revision: u64, bound: Duration) {
        eventually(bound, "the daemon has the revision", || async {
            self.status(at).await["revision"].as_u64() >= Some(revision)
        })
        .await;
    }

    /// Returns the index of the daemon that is the placer of a failure domain, if there is one.
    pub async fn placer(&self, domain: &str) -> Option<usize> {
        for (at, daemon) in self.daemons.iter().enumerate() {
            let call = HttpCall::get(daemon.operator, "/v1/status").bearer(CREDENTIAL);
            let call = call.timeout(Duration::from_millis(500));
            let Ok(answer) = call.send().await else { continue };
            if daemon.domain == domain && read_json(answer).await.1["placer"] == true {
                return Some(at);
            }
        }
        None
    }

    pub fn chat_call(&self, at: usize, model: &str, max_tokens: u64, stream: bool) -> HttpCall {
        let body = json!({"model": model, "stream": stream, "max_tokens": max_tokens,
                          "messages": [{"role": "user", "content": "edging notes"}]});
        HttpCall::post(self.daemons[at].caller, "/v1/chat/completions", body.to_string())
            .bearer(self.key.reveal())
    }

    /// Returns the largest amount of memory that was ever in use on any target.
    pub fn peak_memory(&self) -> u64 {
        self.targets.iter().map(|(_, target)| target.record().memory_peak).max().unwrap_or(0)
    }

    /// Returns the number of targets that hold a model.
    pub fn holder_count(&self, model: &str) -> usize {
        self.targets.iter().filter(|(_, t)| t.loaded().iter().any(|m| m == model)).count()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for daemon in &self.daemons {
                eprintln!("--- {} {}\n{}", daemon.domain, daemon.caller, daemon.log());
            }
        }
        self.daemons.clear();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns the status and the JSON body of an answer; the body is null if it isn't JSON.
pub async fn read_json(answer: HttpAnswer) -> (u16, Value) {
    let status = answer.status.as_u16();
    (status, answer.json().await.unwrap_or(Value::Null))
}

/// Reads a stream to its end. Returns its text and whether it ended with the `[DONE]` event.
pub async fn read_stream(mut answer: HttpAnswer) -> (String, bool) {
    let mut text = String::new();
    while let Ok(Some(piece)) = answer.next().await {
        text += &String::from_utf8_lossy(&piece);
    }
    let is_complete = text.trim_end().ends_with("data: [DONE]");
    (text, is_complete)
}

/// Waits until a condition holds. Panics if it doesn't hold within `bound`.
pub async fn eventually<F, R>(bound: Duration, what: &str, mut holds: F)
where
    F: FnMut() -> R,
    R: std::future::Future<Output = bool>,
{
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < bound, "not within {bound:?}: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
