//! Calls of the operators' interface.

use std::io::{IsTerminal, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use base::{Revision, SecretKey};
use hyper::Method;
use serde_json::{json, Value};

use super::table::{cell, print, print_fields};
use super::{Command, CommandError, Explained, Output, ServerArguments};
use crate::client::{change_draft, HttpAnswer, HttpCall};

/// Pause between two questions of a command that waits.
const WAIT_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait of `apply --wait`.
const APPLY_WAIT: Duration = Duration::from_secs(10);

/// Calls a daemon as an operator.
pub(super) struct Operator {
    server: SocketAddr,
    credential: String,
    output: Output,
}

impl Operator {
    pub(super) fn new(arguments: ServerArguments) -> Result<Operator, CommandError> {
        let ServerArguments { server, credential, output } = arguments;
        let missing =
            || CommandError::Input("set MANGODEAL_CREDENTIAL to an operator credential".to_owned());
        Ok(Operator { server, credential: credential.ok_or_else(missing)?, output })
    }

    pub(super) async fn execute(&self, command: Command) -> Result<(), CommandError> {
        match command {
            Command::Get { kind: Some(kind), name: Some(name) } => {
                let object = self.get(&format!("/v1/objects/{kind}/{name}")).await?;
                print_json(&object);
            }
            Command::Get { kind, .. } => {
                let query = kind.map(|kind| format!("?kind={kind}")).unwrap_or_default();
                let answer = self.get(&format!("/v1/objects{query}")).await?;
                self.show(&answer, |answer| print_objects(&answer["objects"]));
            }
            Command::Apply { file, dry_run, strict, change, wait } => {
                let objects = read_objects(&file.file)?;
                let draft = draft(&objects, strict, change);
                let query = if dry_run { "?dry_run=true" } else { "" };
                let answer = self.post(&format!("/v1/changes{query}"), &draft).await?;
                self.show(&answer, |answer| println!("revision {}", cell(&answer["revision"])));
                if let Some(revision) = answer["revision"].as_u64().filter(|_| wait && !dry_run) {
                    self.wait(Revision(revision), APPLY_WAIT).await?;
                }
            }
            Command::Diff { file } => self.diff(&read_objects(&file.file)?).await?,
            Command::Delete { kind, name, revision } => {
                let path = format!("/v1/objects/{kind}/{name}");
                let mut call = HttpCall::get(self.server, path).method(Method::DELETE);
                if let Some(revision) = revision {
                    call = call.header("if-match", revision.to_string());
                }
                let answer = self.send(call).await?;
                self.show(&answer, |answer| println!("revision {}", cell(&answer["revision"])));
            }
            Command::Key { name, team } => self.create_key(&name, &team).await?,
            Command::Audit { from, object } => {
                let object = object.map(|object| format!("&object={object}")).unwrap_or_default();
                let answer = self.get(&format!("/v1/changes?from={from}{object}")).await?;
                self.show(&answer, |answer| print_changes(&answer["changes"]));
            }
            Command::Status => {
                let answer = self.get("/v1/status").await?;
                self.show(&answer, print_status);
            }
            Command::Explain { what, name } => {
                let kind = match what {
                    Explained::Request => "request",
                    Explained::Model => "model",
                };
                print_json(&self.get(&format!("/v1/explain/{kind}/{name}")).await?);
            }
            Command::Wait { revision, timeout } => {
                self.wait(revision, Duration::from_secs(timeout)).await?;
            }
            Command::Watch => self.watch().await?,
            _ => {}
        }
        Ok(())
    }

    async fn create_key(&self, name: &str, team: &str) -> Result<(), CommandError> {
        let key = SecretKey::generate();
        let object = json!({"kind": "key", "name": name, "team": team, "hash": key.hash()});
        let answer = self.post("/v1/changes", &draft(&[object], false, None)).await?;
        let shown = json!({"key": key.reveal(), "revision": answer["revision"]});
        self.show(&shown, |_| println!("{}", key.reveal()));
        Ok(())
    }

    async fn diff(&self, objects: &[Value]) -> Result<(), CommandError> {
        let mut rows = Vec::new();
        for object in objects {
            let path = format!("/v1/objects/{}/{}", cell(&object["kind"]), cell(&object["name"]));
            let current = match self.get(&path).await {
                Ok(versioned) => versioned["object"].clone(),
                Err(CommandError::Refused { code: 2103, .. }) => Value::Null,
                Err(error) => return Err(error),
            };
            rows.extend(differences(&path["/v1/objects/".len()..], &current, object));
        }
        match self.output {
            Output::Json => print_json(&json!(rows)),
            Output::Table => print(&["object", "field", "in force", "in the file"], &rows),
        }
        Ok(())
    }

    /// Waits until a revision is in force everywhere.
    async fn wait(&self, revision: Revision, timeout: Duration) -> Result<(), CommandError> {
        let until = Instant::now() + timeout;
        let progress = std::io::stderr().is_terminal();
        loop {
            let answer = self.get(&format!("/v1/force?revision={revision}")).await?;
            if answer["in_force"] == true {
                self.show(&answer, |_| println!("revision {revision} is in force everywhere"));
                return Ok(());
            }
            let behind = answer["behind"].as_array().cloned().unwrap_or_default();
            if Instant::now() >= until {
                let seats: Vec<String> = behind.iter().map(|seat| cell(&seat["seat"])).collect();
                return Err(CommandError::Behind(seats.join(", ")));
            }
            if progress {
                eprint!("\rwaiting for {} of {} seats ", behind.len(), answer["seats"]);
                let _ = std::io::stderr().flush();
            }
            tokio::time::sleep(WAIT_PAUSE).await;
        }
    }

    async fn watch(&self) -> Result<(), CommandError> {
        let objects = self.get("/v1/objects").await?;
        let mut next = objects["revision"].as_u64().unwrap_or(0) + 1;
        loop {
            let answer = self.get(&format!("/v1/changes?from={next}")).await?;
            let changes = answer["changes"].as_array().cloned().unwrap_or_default();
            for change in &changes {
                match self.output {
                    Output::Json => println!("{change}"),
                    Output::Table => print_changes(&json!([change])),
                }
                next = change["revision"].as_u64().unwrap_or(next) + 1;
            }
            tokio::time::sleep(WAIT_PAUSE * 5).await;
        }
    }

    async fn get(&self, path: &str) -> Result<Value, CommandError> {
        self.send(HttpCall::get(self.server, path)).await
    }

    async fn post(&self, path: &str, body: &Value) -> Result<Value, CommandError> {
        self.send(HttpCall::post(self.server, path, body.to_string())).await
    }

    async fn send(&self, call: HttpCall) -> Result<Value, CommandError> {
        accepted(call.bearer(&self.credential).send().await?).await
    }

    fn show(&self, answer: &Value, table: impl Fn(&Value)) {
        match self.output {
            Output::Json => print_json(answer),
            Output::Table => table(answer),
        }
    }
}

/// Sends a chat request and prints the answer as it arrives.
pub(super) async fn call(
    caller: SocketAddr,
    key: &str,
    model: &str,
    text: &str,
    max_tokens: u64,
) -> Result<(), CommandError> {
    let body = json!({"model": model, "max_tokens": max_tokens, "stream": true,
                      "messages": [{"role": "user", "content": text}]});
    let call = HttpCall::post(caller, "/v1/chat/completions", body.to_string());
    let mut answer = call.bearer(key).send().await?;
    if !answer.status.is_success() {
        return accepted(answer).await.map(drop);
    }
    while let Some(piece) = answer.next().await? {
        for data in String::from_utf8_lossy(&piece).lines().filter_map(|l| l.strip_prefix("data:"))
        {
            let event: Value = serde_json::from_str(data.trim()).unwrap_or_default();
            if let Some(code) = event["error"]["code"].as_u64() {
                let message = cell(&event["error"]["message"]);
                let code = u16::try_from(code).unwrap_or(0);
                return Err(CommandError::Refused { code, message });
            }
            print!("{}", event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
            let _ = std::io::stdout().flush();
        }
    }
    println!();
    Ok(())
}

async fn accepted(answer: HttpAnswer) -> Result<Value, CommandError> {
    let (success, status) = (answer.status.is_success(), answer.status.as_u16());
    let code = answer.code().unwrap_or(status);
    let body = answer.json().await?;
    if success {
        return Ok(body);
    }
    Err(CommandError::Refused { code, message: cell(&body["error"]["message"]) })
}

fn read_objects(file: &Path) -> Result<Vec<Value>, CommandError> {
    let name = file.display();
    let text = if file.as_os_str() == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    let text = text.map_err(|error| CommandError::Input(format!("can't read {name}: {error}")))?;
    let value: Value = serde_json::from_str(&text)
        .map_err(|error| CommandError::Input(format!("{name}: {error}")))?;
    match value {
        Value::Array(objects) => Ok(objects),
        object => Ok(vec![object]),
    }
}

/// Returns a draft of writes. Objects may stand alone or, as `get` prints them, with a revision.
fn draft(objects: &[Value], strict: bool, change: Option<String>) -> Value {
    let id = change.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let versioned = |entry: &&Value| entry["object"].is_object();
    let plain = |entry: &Value| match versioned(&entry) {
        true => entry["object"].clone(),
        false => entry.clone(),
    };
    let mut draft = change_draft(&id, &objects.iter().map(plain).collect::<Vec<_>>());
    if strict {
        for (at, entry) in objects.iter().enumerate().filter(|(_, entry)| versioned(entry)) {
            draft["items"][at]["based_on"] = entry["revision"].clone();
        }
    }
    draft
}

fn differences(name: &str, current: &Value, wanted: &Value) -> Vec<Vec<String>> {
    let empty = serde_json::Map::new();
    let (current, wanted) =
        (current.as_object().unwrap_or(&empty), wanted.as_object().unwrap_or(&empty));
    let mut fields: Vec<&String> = current.keys().chain(wanted.keys()).collect();
    fields.sort();
    fields.dedup();
    let value = |map: &serde_json::Map<String, Value>, field: &String| {
        map.get(field).map_or("-".to_owned(), cell)
    };
    fields
        .into_iter()
        .filter(|field| wanted.contains_key(*field) && current.get(*field) != wanted.get(*field))
        .map(|field| {
            vec![name.to_owned(), field.clone(), value(current, field), value(wanted, field)]
        })
        .collect()
}

fn print_json(value: &Value) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

fn print_objects(objects: &Value) {
    let empty = Vec::new();
    let row = |entry: &Value| {
        let object = &entry["object"];
        let mut rest = object.as_object().cloned().unwrap_or_default();
        rest.remove("kind");
        rest.remove("name");
        let fields: Vec<String> =
            rest.iter().map(|(name, value)| format!("{name}={}", cell(value))).collect();
        vec![
            cell(&object["kind"]),
            cell(&object["name"]),
            cell(&entry["revision"]),
            fields.join(" "),
        ]
    };
    let rows: Vec<Vec<String>> = objects.as_array().unwrap_or(&empty).iter().map(row).collect();
    print(&["kind", "name", "revision", "properties"], &rows);
}

fn print_changes(changes: &Value) {
    let empty = Vec::new();
    let mut rows = Vec::new();
    for change in changes.as_array().unwrap_or(&empty) {
        for write in change["writes"].as_array().unwrap_or(&empty) {
            rows.push(vec![
                cell(&change["revision"]),
                cell(&change["wall_ms"]),
                cell(&change["actor"]),
                format!("{}/{}", cell(&write["key"]["kind"]), cell(&write["key"]["name"])),
                cell(&write["before"]),
                cell(&write["after"]),
            ]);
        }
    }
    print(&["revision", "ms since 1970", "operator", "object", "before", "after"], &rows);
}

fn print_status(status: &Value) {
    let fields = ["seat", "revision", "ready", "placer", "open_requests", "arrived", "served"];
    print_fields(&json!([status]), &fields);
    println!();
    print_fields(&status["seats"], &["seat", "domain", "units", "revision", "silent_ms"]);
    println!();
    print_fields(&status["placed"], &["target", "model", "phase", "unresolved"]);
    println!();
    print_fields(&status["replicas"], &["target", "model", "ready"]);
}
