//! The platform's part: starts daemons as the deploy file does, and writes configurations and entries.

use std::fs;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::Json;

pub const HOST: &str = "desk.example";
pub const KEY: &str = "key-of-atelier-0001";

const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The file `record.txt`, with the time of each line since the start.
pub struct Record {
    file: Mutex<fs::File>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Record {
        let file = fs::File::create(format!("{folder}/record.txt")).expect("record.txt");
        Record { file: Mutex::new(file), started: Instant::now() }
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {}", text.as_ref());
    }
}

/// Returns a loopback address of this process's own, so that no other connection takes a port between
/// its choice and its use.
fn own_ip() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, 1 + high % 250, low, 2);
    match TcpListener::bind((own, 0)) {
        Ok(_) => own,
        Err(_) => Ipv4Addr::LOCALHOST,
    }
}

/// Returns a free address. No address is returned twice.
fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(21_000);
    let ip = own_ip();
    loop {
        let address = SocketAddr::from((ip, NEXT_PORT.fetch_add(1, Ordering::SeqCst)));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// One daemon process.
pub struct Daemon {
    pub name: String,
    folder: PathBuf,
    settings: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Option<Child>,
}

impl Daemon {
    /// Fills the template of the deploy file and starts the process. `graceS`, `drainMs` and the other
    /// bounds are those of the small site.
    pub fn start(name: &str, store: SocketAddr, folder: &PathBuf) -> Daemon {
        let (front, ready, control) = (free_address(), free_address(), free_address());
        let template = fs::read_to_string("deploy/settings.ini.tpl").expect("the template");
        let values = [
            ("{{nodeName}}", name.to_owned()),
            ("{{zone}}", "east".to_owned()),
            ("{{limits.cpuShare}}", "0.25".to_owned()),
            ("{{listen.front}}", front.to_string()),
            ("{{listen.ready}}", ready.to_string()),
            ("{{listen.control}}", control.to_string()),
            ("{{ip}}:{{portRange.0}}", free_address().to_string()),
            ("{{platform.address}}", store.to_string()),
            ("{{bounds.graceS}}", "8".to_owned()),
            ("{{bounds.drainMs}}", "2000".to_owned()),
            ("{{bounds.leaseMs}}", "3000".to_owned()),
            ("{{bounds.requireFence|json}}", "true".to_owned()),
            ("{{bounds.budgetRatio}}", "0.2".to_owned()),
            ("{{bounds.budgetExtra}}", "52".to_owned()),
            ("{{bounds.budgetWindowS}}", "10".to_owned()),
            ("{{bounds.ceilingWindowS}}", "5".to_owned()),
        ];
        let fill = |text: String, (name, value): &(&str, String)| text.replace(name, value);
        // The small site doesn't use evacuations.
        let is_kept = |line: &&str| !line.starts_with("{{#bounds.evacMs}}");
        let template = template.lines().filter(is_kept).collect::<Vec<_>>().join("\n");
        let text = values.iter().fold(template, fill);
        assert!(!text.contains("{{"), "a placeholder is left: {text}");
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("the settings");
        let folder = folder.clone();
        let mut daemon =
            Daemon { name: name.to_owned(), folder, settings, front, ready, child: None };
        daemon.spawn();
        daemon
    }

    pub fn spawn(&mut self) {
        let log = self.folder.join(format!("{}.log", self.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let child = Command::new("target/release/mangodeald")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("target/release/mangodeald"));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&mut self) {
        if !self.has_ended() {
            let pid = i32::try_from(self.pid()).expect("a process id");
            // SAFETY: the call has no effect on this process's memory. The child has not been waited for,
            // so that the id is its own.
            unsafe { kill(pid, SIGTERM) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|end| end.is_some()))
    }

    /// Resident memory in bytes.
    pub fn memory(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("");
        let kib = line.split_whitespace().next().and_then(|word| word.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }

    pub fn is_ready(&self) -> bool {
        let headers = [("Host".to_owned(), "ready".to_owned())];
        let limit = Duration::from_millis(800);
        call(self.ready, &mut None, "GET /api/readyz", &headers, b"", limit).status() == 200
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("mangodeal-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub attempts: i64,
    pub timeout_ms: i64,
    pub goal_ms: i64,
    pub resumable: bool,
}

/// Returns a configuration with the limits of the small site.
pub fn config(version: i64, routes: &[Route], services: Vec<Json>) -> Json {
    let route = |route: &Route| {
        Json::map(vec![
            ("name", Json::str(route.prefix)),
            ("hostname", Json::str(HOST)),
            ("prefix", Json::str(format!("/{}/", route.prefix))),
            ("kind", Json::str(route.kind)),
            ("service", Json::str(route.service)),
            ("attempts", Json::Int(route.attempts)),
            ("timeoutMs", Json::Int(route.timeout_ms)),
            ("goalMs", Json::Int(route.goal_ms)),
            ("priority", Json::Int(1)),
            ("public", Json::Bool(false)),
            ("resumable", Json::Bool(route.resumable)),
            ("maxGapMs", Json::Int(300)),
        ])
    };
    let limits = Json::map(vec![
        ("maxHeaderBytes", Json::Int(16_384)),
        ("maxBodyBytes", Json::Int(4_194_304)),
        ("headerTimeoutMs", Json::Int(3_000)),
        ("idleTimeoutMs", Json::Int(15_000)),
    ]);
    let tenant = Json::map(vec![
        ("name", Json::str("atelier")),
        ("apiKeys", Json::List(vec![Json::str(KEY)])),
        ("priority", Json::Int(0)),
    ]);
    Json::map(vec![
        ("version", Json::Int(version)),
        ("routes", Json::List(routes.iter().map(route).collect())),
        ("services", Json::List(services)),
        ("tenants", Json::List(vec![tenant])),
        ("limits", limits),
    ])
}

pub fn plain_service(name: &str) -> Json {
    Json::map(vec![
        ("name", Json::str(name)),
        ("healthPath", Json::str("/healthz")),
        ("maxConns", Json::Int(96)),
    ])
}

/// Returns the entry of a server.
pub fn entry(
    service: &str,
    address: SocketAddr,
    slots: i64,
    state: &str,
    beat: i64,
    born: i64,
) -> Json {
    Json::map(vec![
        ("service", Json::str(service)),
        ("address", Json::str(address.to_string())),
        ("zone", Json::str("east")),
        ("version", Json::str("v1")),
        ("slots", Json::Int(slots)),
        ("state", Json::str(state)),
        ("coldLeftMs", Json::Int(0)),
        ("sequence", Json::Int(beat)),
        ("born", Json::Int(born)),
    ])
}
