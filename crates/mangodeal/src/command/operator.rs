//! Commands that call the operators' or the callers' interface.

use std::io::{IsTerminal, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use base::{Revision, SecretKey};
use hyper::Method;
use serde_json::{json, Value};

use super::table::{format_cell, print_fields, print_table};
use super::{Command, CommandError, ExplainSubject, Output, ServerArguments};
use crate::client::{change_draft, HttpAnswer, HttpCall};

/// Interval at which waiting commands poll the daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait of `apply --wait`.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// A client of a daemon's operators' interface.
pub(super) struct OperatorClient {
    server: SocketAddr,
    credential: String,
    output: Output,
}

impl OperatorClient {
    pub(super) fn new(arguments: ServerArguments) -> Result<OperatorClient, CommandError> {
        let ServerArguments { server, credential, output } = arguments;
        let missing =
            || CommandError::Input("set MANGODEAL_CREDENTIAL to an operator credential".to_owned());
        Ok(OperatorClient { server, credential: credential.ok_or_else(missing)?, output })
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
                self.print_answer(&answer, |answer| print_objects(&answer["objects"]));
            }
            Command::Apply { file, dry_run, strict, change, wait } => {
                let objects = read_objects(&file.file)?;
                let draft = draft_change(&objects, strict, change);
                let query = if dry_run { "?dry_run=true" } else { "" };
                let answer = self.post(&format!("/v1/changes{query}"), &draft).await?;
                self.print_answer(&answer, |answer| {
                    println!("revision {}", format_cell(&answer["revision"]))
                });
                if let Some(revision) = answer["revision"].as_u64().filter(|_| wait && !dry_run) {
                    self.wait(Revision(revision), APPLY_TIMEOUT).await?;
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
                self.print_answer(&answer, |answer| {
                    println!("revision {}", format_cell(&answer["revision"]))
                });
            }
            Command::Key { name, team } => self.create_key(&name, &team).await?,
            Command::Audit { from, object } => {
                let object = object.map(|object| format!("&object={object}")).unwrap_or_default();
                let answer = self.get(&format!("/v1/changes?from={from}{object}")).await?;
                self.print_answer(&answer, |answer| print_changes(&answer["changes"]));
            }
            Command::Status => {
                let answer = self.get("/v1/status").await?;
                self.print_answer(&answer, print_status);
            }
            Command::Explain { subject: ExplainSubject::Request { name } } => {
                print_json(&self.get(&format!("/v1/explain/request/{name}")).await?);
            }
            Command::Explain { subject: ExplainSubject::Model { name } } => {
                print_json(&self.get(&format!("/v1/explain/model/{name}")).await?);
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
        let answer = self.post("/v1/changes", &draft_change(&[object], false, None)).await?;
        let shown = json!({"key": key.reveal(), "revision": answer["revision"]});
        self.print_answer(&shown, |_| println!("{}", key.reveal()));
        Ok(())
    }

    async fn diff(&self, objects: &[Value]) -> Result<(), CommandError> {
        let mut rows = Vec::new();
        for object in objects {
            let path = format!(
                "/v1/objects/{}/{}",
                format_cell(&object["kind"]),
                format_cell(&object["name"])
            );
            let current = match self.get(&path).await {
                Ok(versioned) => versioned["object"].clone(),
                Err(CommandError::Refused { code: 2103, .. }) => Value::Null,
                Err(error) => return Err(error),
            };
            rows.extend(changed_fields(&path["/v1/objects/".len()..], &current, object));
        }
        match self.output {
            Output::Json => print_json(&json!(rows)),
            Output::Table => print_table(&["object", "field", "in force", "in the file"], &rows),
        }
        Ok(())
    }

    /// Polls until a revision is in force on all daemons.
    async fn wait(&self, revision: Revision, timeout: Duration) -> Result<(), CommandError> {
        let deadline = Instant::now() + timeout;
        let shows_progress = std::io::stderr().is_terminal();
        loop {
            let answer = self.get(&format!("/v1/force?revision={revision}")).await?;
            if answer["in_force"] == true {
                self.print_answer(&answer, |_| {
                    println!("revision {revision} is in force everywhere")
                });
                return Ok(());
            }
            let behind = answer["behind"].as_array().cloned().unwrap_or_default();
            if Instant::now() >= deadline {
                let seats: Vec<String> =
                    behind.iter().map(|seat| format_cell(&seat["seat"])).collect();
                return Err(CommandError::NotInForce(seats.join(", ")));
            }
            if shows_progress {
                eprint!("\rwaiting for {} of {} seats ", behind.len(), answer["seats"]);
                let _ = std::io::stderr().flush();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
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
            tokio::time::sleep(POLL_INTERVAL * 5).await;
        }
    }

    async fn get(&self, path: &str) -> Result<Value, CommandError> {
        self.send(HttpCall::get(self.server, path)).await
    }

    async fn post(&self, path: &str, body: &Value) -> Result<Value, CommandError> {
        self.send(HttpCall::post(self.server, path, body.to_string())).await
    }

    async fn send(&self, call: HttpCall) -> Result<Value, CommandError> {
        parse_answer(call.bearer(&self.credential).send().await?).await
    }

    fn print_answer(&self, answer: &Value, table: impl Fn(&Value)) {
        match self.output {
            Output::Json => print_json(answer),
            Output::Table => table(answer),
        }
    }
}

/// Sends a chat request and prints the answer as it arrives.
pub(super) async fn send_chat(
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
        return parse_answer(answer).await.map(drop);
    }
    while let Some(chunk) = answer.next().await? {
        for data in String::from_utf8_lossy(&chunk).lines().filter_map(|l| l.strip_prefix("data:"))
        {
            let event: Value = serde_json::from_str(data.trim()).unwrap_or_default();
            if let Some(code) = event["error"]["code"].as_u64() {
                let message = format_cell(&event["error"]["message"]);
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

/// Returns the body of a successful answer.
///
/// # Errors
///
/// Fails with the code and message of a refusal.
async fn parse_answer(answer: HttpAnswer) -> Result<Value, CommandError> {
    let (success, status) = (answer.status.is_success(), answer.status.as_u16());
    let code = answer.code().unwrap_or(status);
    let body = answer.json().await?;
    if success {
        return Ok(body);
    }
    Err(CommandError::Refused { code, message: format_cell(&body["error"]["message"]) })
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

/// Returns a change that writes `objects`. An entry is either an object or, as `get` prints it, an
/// object with its revision. With `strict`, the change is based on the given revisions.
fn draft_change(objects: &[Value], strict: bool, change: Option<String>) -> Value {
    let id = change.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let has_revision = |entry: &&Value| entry["object"].is_object();
    let to_object = |entry: &Value| match has_revision(&entry) {
        true => entry["object"].clone(),
        false => entry.clone(),
    };
    let mut draft = change_draft(&id, &objects.iter().map(to_object).collect::<Vec<_>>());
    if strict {
        for (at, entry) in objects.iter().enumerate().filter(|(_, entry)| has_revision(entry)) {
            draft["items"][at]["based_on"] = entry["revision"].clone();
        }
    }
    draft
}

/// Returns a table row for each field that the file would change.
fn changed_fields(name: &str, current: &Value, wanted: &Value) -> Vec<Vec<String>> {
    let empty = serde_json::Map::new();
    let (current, wanted) =
        (current.as_object().unwrap_or(&empty), wanted.as_object().unwrap_or(&empty));
    let mut fields: Vec<&String> = current.keys().chain(wanted.keys()).collect();
    fields.sort();
    fields.dedup();
    let value = |map: &serde_json::Map<String, Value>, field: &String| {
        map.get(field).map_or("-".to_owned(), format_cell)
    };
    fields
        .into_iter()
        .filter(|field| wanted.contains_key(*field) && current.get(*field) != wanted.get(*field))
        .map(|field| {
            vec![name.to_owned(), field.clone(), value(current, field), value(wanted, field)]
        })
        .collect()
}

pub(super) fn print_json(value: &Value) {
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
            rest.iter().map(|(name, value)| format!("{name}={}", format_cell(value))).collect();
        vec![
            format_cell(&object["kind"]),
            format_cell(&object["name"]),
            format_cell(&entry["revision"]),
            fields.join(" "),
        ]
    };
    let rows: Vec<Vec<String>> = objects.as_array().unwrap_or(&empty).iter().map(row).collect();
    print_table(&["kind", "name", "revision", "properties"], &rows);
}

fn print_changes(changes: &Value) {
    let empty = Vec::new();
    let mut rows = Vec::new();
    for change in changes.as_array().unwrap_or(&empty) {
        for write in change["writes"].as_array().unwrap_or(&empty) {
            rows.push(vec![
                format_cell(&change["revision"]),
                format_cell(&change["wall_ms"]),
                format_cell(&change["actor"]),
                format!(
                    "{}/{}",
                    format_cell(&write["key"]["kind"]),
                    format_cell(&write["key"]["name"])
                ),
                format_cell(&write["before"]),
                format_cell(&write["after"]),
            ]);
        }
    }
    print_table(&["revision", "ms since 1970", "operator", "object", "before", "after"], &rows);
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
