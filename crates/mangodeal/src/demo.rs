//! A demonstration with embedded stand-ins, in one process.
//!
//! The demo starts a key-value service, a host list, two targets and two daemons, creates a
//! configuration through the operators' interface, and shows a cold start, a warm answer, two
//! refusals with their reasons and a stream that ends because its key is withdrawn.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::SecretKey;
use daemon::{Daemon, Settings};
use serde_json::{json, Value};
use standin::{HostServer, KeyValueServer, TargetOptions, TargetServer, WeightStore};

use crate::client::{change_draft, CallError, HttpAnswer, HttpCall};

const CREDENTIAL: &str = "demo-operator";
const DOMAINS: [&str; 2] = ["east", "west"];

/// Why the demo or an experiment failed.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// A call failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A stand-in could not be started.
    #[error("can't start a stand-in: {0}")]
    Standin(#[from] std::io::Error),
    /// A daemon could not be started.
    #[error(transparent)]
    Daemon(#[from] daemon::StartError),
    /// The settings of a daemon are invalid.
    #[error(transparent)]
    Settings(#[from] Box<daemon::SettingsError>),
    /// An answer or state was not as expected.
    #[error("{0}")]
    Unexpected(String),
}

/// Runs the demo and prints its steps.
///
/// # Errors
///
/// Fails when a server can't be started, a call fails or an answer is not as expected.
pub async fn run() -> Result<(), DemoError> {
    if std::env::var_os("MANGODEAL_LOG").is_some() {
        let _ = daemon::init_log(daemon::LogFormat::Text, log::LevelFilter::Info);
    }
    let service = KeyValueServer::start().await?;
    let hosts = HostServer::start().await?;
    let weights = WeightStore::new(4, Duration::from_millis(400));
    let mut targets = Vec::new();
    for domain in DOMAINS {
        let token_interval = Duration::from_millis(20);
        let options =
            TargetOptions { weights: weights.clone(), token_interval, ..Default::default() };
        targets.push((domain, TargetServer::start(options).await?));
    }
    let mut daemons = Vec::new();
    for domain in DOMAINS {
        let text = daemon_settings(domain, service.address(), hosts.address())?;
        daemons.push(Daemon::start(Settings::parse("demo", &text)?).await?);
    }
    let operator = daemons[0].operator_address();
    let caller = daemons[1].caller_address();
    println!("two daemons, two targets and stand-ins for the platform run in this process");
    wait_ready(caller).await?;

    let key = SecretKey::generate();
    let revision = configure(operator, &targets, &key).await?;
    wait_in_force(operator, revision).await?;
    println!("configuration revision {revision} is in force on both daemons");

    let started = Instant::now();
    let (status, _) = send_chat(caller, key.reveal(), "lace-7b", 8).await?;
    println!("cold start: {status} after {:?}", started.elapsed());
    let started = Instant::now();
    let (status, _) = send_chat(caller, key.reveal(), "lace-7b", 8).await?;
    println!("warm answer: {status} after {:?}", started.elapsed());

    let (status, refusal) = send_chat(caller, key.reveal(), "lace-7b", 5_000).await?;
    println!("more tokens than the team's burst: {status} {}", refusal["error"]);
    let (status, refusal) = send_chat(caller, "mk-unknown", "lace-7b", 8).await?;
    println!("an unknown key: {status} {}", refusal["error"]);

    withdraw_key_mid_stream(operator, caller, &key).await?;
    for daemon in daemons {
        daemon.shutdown().await;
    }
    println!("both daemons shut down without cutting a request");
    Ok(())
}

fn daemon_settings(
    domain: &str,
    service: SocketAddr,
    hosts: SocketAddr,
) -> Result<String, DemoError> {
    let peer = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let hash = SecretKey::new(CREDENTIAL).hash();
    Ok(format!(
        "[daemon]\ndomain = {domain}\ndomains = {}\ncaller_listen = 127.0.0.1:0\n\
         operator_listen = 127.0.0.1:0\npeer_listen = {peer}\n\
         [platform]\nservice = {service}\nhosts = {hosts}\n\
         [operators]\ndemo = {hash}\n[requests]\ndrain_delay = 100ms\n",
        DOMAINS.join(",")
    ))
}

async fn wait_ready(caller: SocketAddr) -> Result<(), DemoError> {
    for _ in 0..200 {
        if HttpCall::get(caller, "/readyz").send().await?.status == 200 {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(DemoError::Unexpected("the daemon did not become ready in time".to_owned()))
}

async fn configure(
    operator: SocketAddr,
    targets: &[(&str, TargetServer)],
    key: &SecretKey,
) -> Result<u64, DemoError> {
    let mut objects = vec![
        json!({"kind": "team", "name": "atelier", "labels": "tier=gold", "rate": 200,
               "burst": 2000}),
        json!({"kind": "key", "name": "counter", "team": "atelier", "hash": key.hash()}),
        json!({"kind": "model", "name": "lace-7b", "labels": "use=design", "memory": 60}),
        json!({"kind": "access", "name": "design", "teams": "tier=gold", "models": "use=design"}),
        json!({"kind": "placement", "name": "anywhere", "models": "", "targets": "",
               "copies": 2}),
    ];
    for (domain, target) in targets {
        objects.push(json!({"kind": "target", "name": format!("helper-{domain}"),
            "address": target.address().to_string(), "domain": domain, "memory": 100,
            "fencing": true}));
    }
    let draft = change_draft("demo", &objects);
    let call = HttpCall::post(operator, "/v1/changes", draft.to_string()).bearer(CREDENTIAL);
    let change = expect_status(call.send().await?, 200).await?;
    change["revision"].as_u64().ok_or_else(|| DemoError::Unexpected(change.to_string()))
}

async fn wait_in_force(operator: SocketAddr, revision: u64) -> Result<(), DemoError> {
    for _ in 0..80 {
        let path = format!("/v1/force?revision={revision}");
        let answer = HttpCall::get(operator, path).bearer(CREDENTIAL).send().await?.json().await?;
        if answer["in_force"] == true && answer["seats"] == DOMAINS.len() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let status =
        HttpCall::get(operator, "/v1/status").bearer(CREDENTIAL).send().await?.json().await?;
    Err(DemoError::Unexpected(format!(
        "revision {revision} is not in force on all daemons: {status}"
    )))
}

async fn send_chat(
    caller: SocketAddr,
    key: &str,
    model: &str,
    max_tokens: u64,
) -> Result<(u16, Value), DemoError> {
    let body = json!({"model": model, "max_tokens": max_tokens,
                      "messages": [{"role": "user", "content": "edging notes"}]});
    let call = HttpCall::post(caller, "/v1/chat/completions", body.to_string()).bearer(key);
    let answer = call.send().await?;
    Ok((answer.status.as_u16(), answer.json().await?))
}

async fn withdraw_key_mid_stream(
    operator: SocketAddr,
    caller: SocketAddr,
    key: &SecretKey,
) -> Result<(), DemoError> {
    let body = json!({"model": "lace-7b", "stream": true, "max_tokens": 500, "messages": []});
    let call = HttpCall::post(caller, "/v1/chat/completions", body.to_string());
    let mut stream = call.bearer(key.reveal()).send().await?;
    stream.next().await?;
    let started = Instant::now();
    let call = HttpCall::get(operator, "/v1/objects/key/counter").method(hyper::Method::DELETE);
    expect_status(call.bearer(CREDENTIAL).send().await?, 200).await?;
    let mut last = Default::default();
    while let Some(chunk) = stream.next().await? {
        last = chunk;
    }
    let last = String::from_utf8_lossy(&last).trim().to_owned();
    println!("key withdrawn during a stream: the stream ended after {:?}", started.elapsed());
    println!("  its last event: {last}");
    match last.contains("1104") {
        true => Ok(()),
        false => Err(DemoError::Unexpected(
            "the stream's last event does not contain code 1104".to_owned(),
        )),
    }
}

async fn expect_status(answer: HttpAnswer, status: u16) -> Result<Value, DemoError> {
    let actual = answer.status.as_u16();
    let body = answer.json().await?;
    match actual == status {
        true => Ok(body),
        false => Err(DemoError::Unexpected(format!("{actual}: {body}"))),
    }
}
