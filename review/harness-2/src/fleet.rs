//! Daemons of the project as processes, links between them and the servers, and a client.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use standin::FaultProxy;
use tokio::net::{TcpListener, TcpStream};

use crate::record::Record;
use crate::server::{ADAPTER_SLOTS, MODEL_MB, SLOTS, WEIGHT_MB};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Returns a configuration like those of the small deployments.
pub fn config(version: u64, models: &[&str]) -> Value {
    let models: Vec<Value> = models
        .iter()
        .map(|name| {
            json!({"name": name, "weightMb": MODEL_MB, "loadS": 6.0, "adapters": 36,
                   "adapterMb": 66.0, "warmS": 0.6, "diskS": 1.3})
        })
        .collect();
    let route = |name: &str, kind: &str, service: &str, timeout: u64, goal: u64, attempts: u32| {
        json!({"name": name, "hostname": HOST, "prefix": format!("/{name}/"), "kind": kind,
               "timeoutMs": timeout, "goalMs": goal, "priority": 1, "service": service,
               "attempts": attempts, "public": false, "sticky": kind == "stream",
               "resumable": name == "draft", "maxGapMs": 300})
    };
    json!({
        "version": version,
        "routes": [
            route("mockup", "stream", "veil-helper", 5_000, 600, 1),
            route("draft", "stream", "veil-helper", 20_000, 3_000, 2),
            route("deposit", "unsafe", "shop-desk", 2_000, 100, 1),
            route("stock", "safe", "shop-desk", 2_000, 100, 2),
        ],
        "services": [
            {"name": "shop-desk", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1",
             "tls": false},
            {"name": "veil-helper", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1",
             "tls": false,
             "engine": {"slots": SLOTS, "kvCapacity": 262_987, "weightMb": WEIGHT_MB,
                        "adapterSlots": ADAPTER_SLOTS, "loadsPerS": 3.1, "hostMb": 150_000.0,
                        "diskMb": 870_000.0, "models": models}},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
                   "headerTimeoutMs": 5_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 0, "unit": "tokens",
                     "plainTokens": 200, "ratePerS": 0, "burst": 0}],
    })
}

/// Returns a free port below those that the system gives out by itself.
async fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + (std::process::id() % 1_000) as u16 * 16;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::SeqCst);
        if TcpListener::bind(("127.0.0.1", port)).await.is_ok() {
            return port;
        }
    }
}

/// A daemon process, started by the command of the deploy file with rendered settings.
pub struct Front {
    pub name: String,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    pub started: Instant,
    directory: PathBuf,
    child: Option<Child>,
}

impl Front {
    pub async fn start(name: &str, zone: &str, store: SocketAddr, directory: &PathBuf) -> Front {
        Front::start_with(name, zone, store, directory, (0.25, true)).await
    }

    /// Like [`start`](Self::start), for a machine with so many cores, in a deployment whose servers check
    /// fencing tokens or don't.
    pub async fn start_with(
        name: &str,
        zone: &str,
        store: SocketAddr,
        directory: &PathBuf,
        (cores, fences_checked): (f64, bool),
    ) -> Front {
        let mut addresses = Vec::new();
        for _ in 0..4 {
            addresses.push(SocketAddr::from(([127, 0, 0, 1], free_port().await)));
        }
        let [caller, ready, peer, metrics] = addresses[..] else { unreachable!() };
        // What the platform makes of deploy/settings.ini.tpl for a small machine.
        let text = format!(
            "[front]\nhost = {name}\ndomain = {zone}\ncpu_share = {cores}\nlink_mbps = 1000.0\n\
             caller_listen = {caller}\nready_listen = {ready}\npeer_listen = {peer}\n\
             metrics_listen = {metrics}\n\n[store]\naddress = {store}\n\n[limits]\ngrace = 8s\n\
             drain = 2000ms\napply = 2000ms\n\norder_turn = 3000ms\nfences_checked = {fences_checked}\n\
             retry_ratio = 0.2\nretry_extra = 52\nretry_window = 10s\nload_window = 5s\n\n\
             [log]\nlevel = info\n"
        );
        std::fs::write(directory.join(format!("{name}.ini")), text).unwrap();
        let mut front = Front {
            name: name.to_owned(),
            caller,
            ready,
            peer,
            started: Instant::now(),
            directory: directory.clone(),
            child: None,
        };
        front.spawn();
        front
    }

    pub fn spawn(&mut self) {
        // Scripts start in the project's folder, as the platform does.
        let program = "target/release/mangodeald";
        let log = self.directory.join(format!("{}.log", self.name));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = Command::new(program)
            .arg("--settings")
            .arg(self.directory.join(format!("{}.ini", self.name)))
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .expect("the daemon starts");
        self.started = Instant::now();
        self.child = Some(child);
    }

    pub async fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let asked = call(self.ready, "GET", "/api/readyz", &[], "", Duration::from_secs(1));
            if asked.await.status == Some(200) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        // Unwinding ends the processes that were started.
        panic!("{} doesn't get ready", self.name);
    }

    /// Sends a signal to the process, by its id.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ =
                Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().unwrap().is_some())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log_text(&self) -> String {
        let path = self.directory.join(format!("{}.log", self.name));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The link between one daemon and a server, which can be cut.
pub struct Link {
    proxy: Option<FaultProxy>,
    pub address: SocketAddr,
    server: SocketAddr,
}

impl Link {
    pub async fn start(server: SocketAddr) -> Link {
        let proxy = FaultProxy::start(server).await.unwrap();
        Link { address: proxy.address(), proxy: Some(proxy), server }
    }

    /// Resets the connections and refuses new ones.
    pub fn refuse(&mut self) {
        if let Some(proxy) = self.proxy.take() {
            proxy.reset();
        }
    }

    pub async fn restore(&mut self) {
        let listener = TcpListener::bind(self.address).await.unwrap();
        self.proxy = Some(FaultProxy::with_listener(listener, self.server).unwrap());
    }
}

/// An answer as the client sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// `None` if the connection failed before the answer's head.
    pub status: Option<u16>,
    pub headers: hyper::HeaderMap,
    pub body: String,
    /// Whether the answer ended as complete.
    pub is_complete: bool,
}

/// Makes one call on a new connection.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Answer {
    let mut answer = Answer::default();
    let exchange = async {
        let Ok(stream) = TcpStream::connect(address).await else { return };
        let _ = stream.set_nodelay(true);
        let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
            return;
        };
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        let mut request = Request::builder().method(method).uri(path);
        if !headers.iter().any(|(name, _)| *name == "host") {
            request = request.header("host", address.to_string());
        }
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
        if let Ok(response) = sender.send_request(request).await {
            answer.status = Some(response.status().as_u16());
            answer.headers = response.headers().clone();
            let mut body = response.into_body();
            loop {
                match body.frame().await {
                    None => {
                        answer.is_complete = true;
                        break;
                    }
                    Some(Err(_)) => break,
                    Some(Ok(frame)) => {
                        if let Ok(data) = frame.into_data() {
                            answer.body.push_str(&String::from_utf8_lossy(&data));
                        }
                    }
                }
            }
        }
        driver.abort();
    };
    let _ = tokio::time::timeout(limit, exchange).await;
    answer
}

/// Makes a request as the platform's clients do, and records it.
pub async fn request(
    record: &Record,
    front: SocketAddr,
    (method, path): (&str, &str),
    attempt: &str,
    left_ms: u64,
    extra: &[(&str, String)],
) -> Answer {
    let mut headers = vec![
        ("host", HOST.to_owned()),
        ("authorization", format!("Token {KEY}")),
        ("mangodeal-attempt-id", attempt.to_owned()),
        ("mangodeal-time-left-ms", left_ms.to_string()),
    ];
    headers.extend(extra.iter().cloned());
    record.line(format!("client sends {attempt} {method} {path} to {front}"));
    let limit = Duration::from_millis(left_ms + 1_000);
    let body = if method == "GET" { "" } else { "body of the request" };
    let answer = call(front, method, path, &headers, body, limit).await;
    record.line(format!(
        "client gets {attempt}: {:?} complete {} {:?}",
        answer.status,
        answer.is_complete,
        answer.body.replace('\n', "|")
    ));
    answer
}
