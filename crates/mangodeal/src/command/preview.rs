//! Shows where a request would go now.

use std::time::Duration;

use clap::Args;
use serde_json::{json, Value};

use super::operator::print_json;
use super::table::{format_cell, print_table};
use super::{CommandError, Output, ServerArguments};
use crate::client::{CallError, HttpCall};

/// Time limit of the call. A daemon answers from memory.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A request to preview.
#[derive(Args)]
pub(super) struct PreviewArguments {
    /// Host name that the client asks for.
    #[arg(long)]
    host: String,
    /// Path without the query.
    #[arg(long)]
    path: String,
    /// Name of the team; without one the request is anonymous.
    #[arg(long)]
    team: Option<String>,
    /// Model, or MODEL/ADAPTER.
    #[arg(long)]
    model: Option<String>,
    /// Number of prompt tokens, and the limit on output tokens.
    #[arg(long, value_name = "PROMPT,OUTPUT", value_parser = parse_tokens)]
    tokens: Option<(u32, u32)>,
    /// Parts of the prompt: hexadecimal identifiers and lengths in tokens.
    #[arg(long, value_name = "ID:TOKENS", value_delimiter = ',', value_parser = parse_part)]
    parts: Vec<(u64, u32)>,
    /// Remaining time that the client allows, in milliseconds.
    #[arg(long)]
    time_left_ms: Option<u64>,
}

/// Asks a daemon where a request would go and prints its answer. The operator credential isn't sent,
/// because peer addresses don't use one.
///
/// # Errors
///
/// Fails if the daemon can't be reached, doesn't offer previews, or doesn't know the route or team.
pub(super) async fn show_preview(
    server: &ServerArguments,
    arguments: &PreviewArguments,
) -> Result<(), CommandError> {
    let query = json!({
        "host": arguments.host, "path": arguments.path, "team": arguments.team,
        "model": arguments.model, "tokens": arguments.tokens, "parts": arguments.parts,
        "time_left_ms": arguments.time_left_ms,
    });
    let address = server.server;
    let not_offered = || {
        CommandError::Input(format!(
            "the server at {address} doesn't offer `explain next`; name the peer address \
             (peer_listen) of a daemon with a [front] section"
        ))
    };
    let call = HttpCall::post(address, "/preview", query.to_string()).timeout(TIMEOUT);
    let answer = match call.send().await {
        // The peer address of other daemons speaks another protocol.
        Err(CallError::Exchange(_)) => return Err(not_offered()),
        answer => answer?,
    };
    match answer.status.as_u16() {
        200 => {
            let preview = answer.json().await.map_err(|_| not_offered())?;
            match server.output {
                Output::Json => print_json(&preview),
                Output::Table => print_preview(&preview),
            }
            Ok(())
        }
        400 => Err(CommandError::Input(format_cell(&answer.json().await?["error"]["message"]))),
        _ => Err(not_offered()),
    }
}

fn parse_tokens(text: &str) -> Result<(u32, u32), String> {
    let counts = text.split_once(',');
    let counts = counts.and_then(|(p, o)| Some((p.trim().parse().ok()?, o.trim().parse().ok()?)));
    counts.ok_or_else(|| "must have the form PROMPT,OUTPUT, such as 900,20".to_owned())
}

fn parse_part(text: &str) -> Result<(u64, u32), String> {
    let part = text.trim().split_once(':');
    let part = part
        .and_then(|(id, tokens)| Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?)));
    part.ok_or_else(|| "must have the form ID:TOKENS,..., such as 5c1e07a2:800".to_owned())
}

fn print_preview(preview: &Value) {
    println!("{}", describe_verdict(&preview["verdict"]));
    if let Some(reason) = preview["waits_for"].as_str() {
        println!("it waits for {reason}");
    }
    if preview["verdict_if_granted"].is_object() {
        println!("with the allowance: {}", describe_verdict(&preview["verdict_if_granted"]));
    }
    let list = match preview["is_list_current"] == true {
        true => "current",
        false => "outdated: the request waits for the store first",
    };
    println!(
        "route {}, service {}, configuration {}, leader heard {} ms ago, list of targets {list}",
        format_cell(&preview["route"]),
        format_cell(&preview["service"]),
        preview["layout"],
        preview["leader_heard_ms_ago"],
    );
    let mut candidates = preview["candidates"].as_array().cloned().unwrap_or_default();
    let total = |candidate: &Value| {
        let millis = |field: &str| candidate[field].as_u64().unwrap_or(0);
        millis("estimate_ms") + millis("penalty_ms")
    };
    // `-` sorts before words, so that targets with nothing against them come first.
    candidates.sort_by_key(|candidate| (describe_obstacles(candidate), total(candidate)));
    let row = |candidate: &Value| {
        let cell = |field: &str| format_cell(&candidate[field]);
        let factor = |field: &str| format!("{:.2}", candidate[field].as_f64().unwrap_or(0.0));
        vec![
            cell("target"),
            describe_obstacles(candidate),
            cell("estimate_ms"),
            cell("penalty_ms"),
            cell("backlog_ms"),
            cell("other_work_ms"),
            format!("{}+{}", candidate["own_runs"], candidate["other_runs"]),
            cell("cached_tokens"),
            factor("slowdown"),
            factor("failure_share"),
            cell("listing_age_ms"),
            cell("load_age_ms"),
        ]
    };
    let rows: Vec<Vec<String>> = candidates.iter().map(row).collect();
    let headings = [
        "target",
        "against",
        "estimate ms",
        "penalty ms",
        "backlog ms",
        "other work ms",
        "own+other runs",
        "cached tokens",
        "slowdown",
        "failures",
        "listing age ms",
        "load age ms",
    ];
    println!();
    print_table(&headings, &rows);
}

/// Describes a verdict in one line.
fn describe_verdict(verdict: &Value) -> String {
    let cell = |field: &str| format_cell(&verdict[field]);
    match verdict["action"].as_str() {
        Some("send") => format!("send to {}, estimate {} ms", cell("target"), cell("estimate_ms")),
        Some("fetch") => format!("fetch {} on {} first", cell("model"), cell("target")),
        Some("permit") => format!("ask the leader for a permit for {}", cell("target")),
        Some("reserve") => {
            let targets = verdict["targets"].as_array().cloned().unwrap_or_default();
            let targets: Vec<String> = targets.iter().map(format_cell).collect();
            format!("ask the leader for prefill time on one of {}", targets.join(", "))
        }
        Some("wait") => format!("wait for at most {} ms, then decide again", cell("wait_ms")),
        _ => format!(
            "refuse with code {} ({}), retry after {} ms",
            cell("code"),
            cell("reason"),
            cell("retry_after_ms")
        ),
    }
}

/// Lists what keeps requests from a target, or `-`.
fn describe_obstacles(candidate: &Value) -> String {
    let obstacles = [
        ("evacuated", candidate["is_evacuated"] == true),
        ("lacks model", candidate["holds_model"] == false),
        ("lacks adapter", candidate["holds_adapter"] == false),
        ("not ready", candidate["is_ready"] == false),
        ("avoided", candidate["is_avoided"] == true),
        ("cold", candidate["is_cold"] == true),
        ("limited", candidate["is_limited"] == true),
    ];
    let names = obstacles.iter().filter(|(_, applies)| *applies).map(|(name, _)| *name);
    let names: Vec<&str> = names.collect();
    if names.is_empty() {
        "-".to_owned()
    } else {
        names.join(", ")
    }
}
