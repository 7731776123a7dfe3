//! Log output, with one line of text or one JSON object per record.

use std::fmt::Arguments;

use log::{LevelFilter, Record};
use serde_json::json;

use crate::clock::wall_ms;
use crate::settings::LogFormat;

/// The log was already initialized in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the log is set up already")]
pub struct LogError;

/// Initializes the log, which is written to standard error in the given format.
///
/// # Errors
///
/// Fails if a log was already initialized in this process.
pub fn init_log(format: LogFormat, level: LevelFilter) -> Result<(), LogError> {
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("mango_daemon", level)
        .level_for("mangodeal", level)
        .level_for("mangodeald", level)
        .chain(std::io::stderr());
    let dispatch = match format {
        LogFormat::Text => dispatch.format(|out, message, record| {
            out.finish(format_args!("{} {} {message}", wall_ms(), record.level()));
        }),
        LogFormat::Json => dispatch.format(|out, message, record| {
            out.finish(format_args!("{}", json_line(message, record)));
        }),
    };
    dispatch.apply().map_err(|_| LogError)
}

fn json_line(message: &Arguments<'_>, record: &Record<'_>) -> String {
    json!({"ms": wall_ms(), "level": record.level().as_str(), "module": record.target(),
           "message": message.to_string()})
    .to_string()
}
