//! What each request lost, from the log lines of all daemons that processed it.

use std::collections::BTreeMap;

use super::log::Decision;
use super::log::LogLine;

/// A kind of request. Requests are grouped by objective, since lookups come and go with the
/// configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Requests of lookups with this objective, in milliseconds.
    Objective(u64),
    /// Requests of lookups without a known objective.
    Unknown,
}

/// Why a request scored less than its full value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It was answered after its objective.
    Late,
    /// Shards were missing from its answer, for this reason.
    LeftOut(String),
    /// It failed with this code.
    Failed(String),
    /// It was refused with this code.
    Refused(String),
    /// Its caller closed the connection before the answer.
    Gone,
}

/// What one request lost, as seen by the daemon that received it from its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestLoss {
    /// When it was answered or its caller left, in seconds of the run.
    pub at: f64,
    /// Its kind.
    pub kind: Kind,
    /// The losses by cause, as shares of its value; empty for a complete answer in time.
    pub lost: Vec<(Cause, f64)>,
}

/// The outcome on the time line of requests that were not run.
const NOT_RUN: &str = "not-run";

/// The outcome on the time line of requests that were answered.
const ANSWERED: &str = "answered";

/// Returns the losses of each request that was answered or whose caller left. A caller's retry is
/// a request of its own.
#[must_use]
pub fn request_losses(lines: &[LogLine]) -> Vec<RequestLoss> {
    let kinds = kinds(lines);
    let mut requests: BTreeMap<&str, Vec<&LogLine>> = BTreeMap::new();
    for line in lines {
        requests.entry(&line.request).or_default().push(line);
    }
    requests.values().filter_map(|lines| request_loss(lines, &kinds)).collect()
}

/// Returns the kind of each lookup that was logged with an objective.
fn kinds(lines: &[LogLine]) -> BTreeMap<&str, Kind> {
    let known = lines.iter().filter_map(|line| match &line.decision {
        Decision::Admitted { lookup, objective: Some(objective), .. } => {
            Some((lookup.as_str(), Kind::Objective(*objective)))
        }
        _ => None,
    });
    known.collect()
}

fn request_loss(lines: &[&LogLine], kinds: &BTreeMap<&str, Kind>) -> Option<RequestLoss> {
    let receivers: Vec<&str> = lines
        .iter()
        .filter(|line| matches!(line.decision, Decision::ForwardTaken))
        .map(|line| line.host.as_str())
        .collect();
    let at_entry = |line: &&&LogLine| !receivers.contains(&line.host.as_str());
    let due = lines.iter().find_map(|line| match line.decision {
        Decision::Admitted { due, .. } => due,
        _ => None,
    });
    let reasons = lines.iter().filter_map(|line| match &line.decision {
        Decision::ShardMissing { why } => Some(why.as_str()),
        _ => None,
    });
    let reasons: Vec<&str> = reasons.collect();
    lines.iter().filter(at_entry).find_map(|line| match &line.decision {
        Decision::Answered { lookup, outcome, code, contributed, missing, micros } => {
            let lost = match outcome.as_str() {
                NOT_RUN => vec![(Cause::Refused(code.clone()), 1.0)],
                ANSWERED if due.is_some_and(|due| *micros > due + LATE_AFTER) => vec![(Cause::Late, 1.0)],
                ANSWERED => partial_loss(*contributed, *missing, &reasons),
                _ => vec![(Cause::Failed(code.clone()), 1.0)],
            };
            let kind = kinds.get(lookup.as_str()).copied().unwrap_or(Kind::Unknown);
            Some(RequestLoss { at: line.at, kind, lost })
        }
        Decision::CallerGone { lookup } => {
            let kind = kinds.get(lookup.as_str()).copied().unwrap_or(Kind::Unknown);
            Some(RequestLoss { at: line.at, kind, lost: vec![(Cause::Gone, 1.0)] })
        }
        _ => None,
    })
}

/// An answer that is sent up to this long after it was due, in microseconds, still reaches its
/// caller in time: daemons cut an answer off a margin before the objective, and then send what
/// they have.
const LATE_AFTER: u64 = 10_000;

/// Returns what an answer without some shards lost. The loss is one minus the square of the share
/// of shards that contributed, divided evenly among the reasons.
fn partial_loss(contributed: usize, missing: usize, reasons: &[&str]) -> Vec<(Cause, f64)> {
    if missing == 0 {
        return Vec::new();
    }
    let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let share = count(contributed) / count(contributed + missing);
    let lost = 1.0 - share * share;
    if reasons.is_empty() {
        return vec![(Cause::LeftOut("unsaid".to_owned()), lost)];
    }
    let each = lost / count(reasons.len());
    reasons.iter().map(|why| (Cause::LeftOut((*why).to_owned()), each)).collect()
}
