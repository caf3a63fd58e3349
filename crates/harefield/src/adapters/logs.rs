//! Logs as JSON lines, by fern.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Serialize;

use crate::domain::ids::HostId;

#[derive(Serialize)]
struct Line<'a> {
    #[serde(rename = "time-ms")]
    time: u128,
    level: &'a str,
    host: &'a str,
    target: &'a str,
    message: String,
}

/// Starts logging to standard error, one JSON object a line.
///
/// # Errors
///
/// Returns an error where logging was started before.
pub fn start(level: log::LevelFilter, host: HostId) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
            let line = Line {
                time,
                level: record.level().as_str(),
                host: &host,
                target: record.target(),
                message: message.to_string(),
            };
            out.finish(format_args!("{}", serde_json::to_string(&line).unwrap_or_default()));
        })
        .chain(std::io::stderr())
        .apply()
}
