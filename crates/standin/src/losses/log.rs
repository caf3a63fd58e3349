//! The daemons' log lines in the output of a run.

use std::io::BufRead;

use serde::Deserialize;

/// A log line: one decision of a daemon on a request.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When the line was written, in seconds of the run.
    pub at: f64,
    /// The request's id.
    pub request: String,
    /// The daemon that wrote it.
    pub host: String,
    /// The decision.
    pub decision: Decision,
}

/// The decisions that determine what a request lost, under their names on the time line.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Decision {
    /// It was admitted.
    Admitted {
        /// Its lookup.
        lookup: String,
        /// The lookup's latency objective, in milliseconds.
        #[serde(default)]
        objective: Option<u64>,
        /// When the answer is due, in microseconds from the request's start.
        #[serde(default)]
        due: Option<u64>,
    },
    /// It was forwarded here by another daemon.
    ForwardTaken,
    /// A shard is missing from the answer.
    ShardMissing {
        /// The reason.
        why: String,
    },
    /// It was answered.
    Answered {
        /// Its lookup.
        lookup: String,
        /// The outcome, as in the answer.
        outcome: String,
        /// The result code.
        code: String,
        /// The number of shards that contributed.
        contributed: usize,
        /// The number of shards that did not.
        missing: usize,
        /// The time from its start to the answer, in microseconds.
        micros: u64,
    },
    /// Its caller closed the connection before the answer.
    CallerGone {
        /// Its lookup.
        lookup: String,
    },
    /// Any other decision.
    #[serde(other)]
    Other,
}

/// A log line as a daemon writes it; lines that are no events have no `event`.
#[derive(Deserialize)]
struct JsonLine {
    event: Option<Record>,
}

#[derive(Deserialize)]
struct Record {
    host: String,
    request: Option<String>,
    event: Decision,
}

/// Reads the lines on requests from a run's output. Each has the time in seconds, the daemon's
/// machine, and the JSON that the daemon wrote. All other lines are skipped.
///
/// # Errors
///
/// Returns why the output cannot be read.
pub fn read(output: impl BufRead) -> std::io::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for text in output.lines() {
        lines.extend(parse(&text?));
    }
    Ok(lines)
}

fn parse(text: &str) -> Option<LogLine> {
    let (time, rest) = text.trim_start().split_once(' ')?;
    let (_machine, json) = rest.split_once(' ')?;
    let at = time.parse().ok()?;
    let record = serde_json::from_str::<JsonLine>(json).ok()?.event?;
    let request = record.request?;
    (record.event != Decision::Other).then_some(LogLine {
        at,
        request,
        host: record.host,
        decision: record.event,
    })
}
