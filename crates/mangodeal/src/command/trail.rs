//! Shows the log lines of one request or target, from the logs of several daemons.

use std::io::BufRead;
use std::path::PathBuf;

use serde_json::Value;

use super::CommandError;

/// Fields that are not repeated in the list of a line's other fields.
const COMMON_FIELDS: [&str; 5] = ["ms", "boot_us", "level", "event", "request"];

/// Prints the lines whose request or target is `name`, in order of time. Lines that are not JSON
/// objects are skipped and counted.
///
/// # Errors
///
/// Fails when a file can't be read or no line names `name`.
pub(super) fn print_trail(name: &str, files: &[PathBuf]) -> Result<(), CommandError> {
    let mut entries = Vec::new();
    let mut skipped = 0;
    if files.is_empty() {
        skipped += collect_entries(name, "-", std::io::stdin().lock(), &mut entries)?;
    }
    for file in files {
        let label = file.display().to_string();
        let opened = std::fs::File::open(file)
            .map_err(|error| CommandError::Input(format!("{label}: {error}")))?;
        skipped += collect_entries(name, &label, std::io::BufReader::new(opened), &mut entries)?;
    }
    if skipped > 0 {
        eprintln!("skipped {skipped} lines that are not log lines");
    }
    if entries.is_empty() {
        return Err(CommandError::Input(format!("no line names {name}")));
    }
    entries.sort_by_key(|(ms, _)| *ms);
    for (ms, text) in entries {
        println!("{ms} {text}");
    }
    Ok(())
}

fn collect_entries(
    name: &str,
    label: &str,
    lines: impl BufRead,
    entries: &mut Vec<(u64, String)>,
) -> Result<u32, CommandError> {
    let mut skipped = 0;
    for line in lines.lines() {
        let line = line.map_err(|error| CommandError::Input(format!("{label}: {error}")))?;
        let Some(Value::Object(fields)) = serde_json::from_str(&line).ok() else {
            skipped += 1;
            continue;
        };
        let is_named_in = |field: &str| fields.get(field).and_then(Value::as_str) == Some(name);
        if !is_named_in("request") && !is_named_in("target") {
            continue;
        }
        let event = fields.get("event").and_then(Value::as_str).unwrap_or("?");
        let rest = fields.iter().filter(|(field, _)| !COMMON_FIELDS.contains(&field.as_str()));
        let rest: Vec<String> = rest.map(|(field, value)| format!("{field}={value}")).collect();
        let ms = fields.get("ms").and_then(Value::as_u64).unwrap_or(0);
        entries.push((ms, format!("{label} {event} {}", rest.join(" "))));
    }
    Ok(skipped)
}
