//! The daemons' log lines in the output of a run.

use std::io::BufRead;

use serde::Deserialize;

/// One decision of a daemon on a request, with when it was written.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When the line was written, in seconds of the run.
    pub at: f64,
    /// The request.
    pub request: String,
    /// The daemon.
    pub host: String,
    /// What it decided.
    pub decision: Decision,
}

/// The decisions that tell what became of a request, by the names of the time line.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Decision {
    /// It was let in. Times are in microseconds, the objective in milliseconds.
    Admitted {
        /// Its lookup.
        lookup: String,
        /// The lookup's objective.
        #[serde(default)]
        objective: Option<u64>,
        /// When the answer is to leave, from the request's start.
        #[serde(default)]
        due: Option<u64>,
    },
    /// It came from another daemon.
    ForwardTaken,
    /// A shard was given up.
    ShardMissing {
        /// Why.
        why: String,
    },
    /// It was answered.
    Answered {
        /// Its lookup.
        lookup: String,
        /// What became of it.
        outcome: String,
        /// The result code.
        code: String,
        /// Shards that contributed.
        contributed: usize,
        /// Shards that did not.
        missing: usize,
        /// How long it took, in microseconds.
        micros: u64,
    },
    /// Its caller went away.
    CallerGone {
        /// Its lookup.
        lookup: String,
    },
    /// Any other decision.
    #[serde(other)]
    Other,
}

/// A line as a daemon writes it.
#[derive(Deserialize)]
struct Written {
    event: Option<Record>,
}

#[derive(Deserialize)]
struct Record {
    host: String,
    request: Option<String>,
    event: Decision,
}

/// Reads the lines on requests from a run's output: the time in seconds, the daemon's
/// machine, and the line that it wrote. All other lines are passed over.
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
    let (_machine, written) = rest.split_once(' ')?;
    let at = time.parse().ok()?;
    let record = serde_json::from_str::<Written>(written).ok()?.event?;
    let request = record.request?;
    (record.event != Decision::Other).then_some(LogLine {
        at,
        request,
        host: record.host,
        decision: record.event,
    })
}
