//! What became of one request, joined from the lines of all daemons that had it.

use std::collections::BTreeMap;

use super::log::Decision;
use super::log::LogLine;

/// Names a kind of request: requests of one objective are of one kind, since lookups
/// come and go with the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Requests of lookups with this objective, in milliseconds.
    Objective(u64),
    /// Requests whose lookup was never seen with an objective.
    Unknown,
}

/// Why a request lost some of its worth.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It was answered after its objective.
    Late,
    /// Shards were left out, for this reason.
    LeftOut(String),
    /// It failed with this code.
    Failed(String),
    /// It was refused with this code.
    Refused(String),
    /// Its caller went away.
    Gone,
}

/// What became of one request at the daemon that its caller asked.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestLoss {
    /// When it was answered, in seconds of the run.
    pub at: f64,
    /// Its kind.
    pub kind: Kind,
    /// What it lost, as shares of its worth, by cause; nothing for a whole answer in
    /// time.
    pub lost: Vec<(Cause, f64)>,
}

/// The outcome of requests that did not run, on the time line.
const NOT_RUN: &str = "not-run";

/// The outcome of requests that were answered.
const ANSWERED: &str = "answered";

/// Joins lines to stories, one for each request that was answered or left by its
/// caller; an attempt that a caller repeats is a request of its own.
#[must_use]
pub fn request_losses(lines: &[LogLine]) -> Vec<RequestLoss> {
    let kinds = kinds(lines);
    let mut requests: BTreeMap<&str, Vec<&LogLine>> = BTreeMap::new();
    for line in lines {
        requests.entry(&line.request).or_default().push(line);
    }
    requests.values().filter_map(|lines| story(lines, &kinds)).collect()
}

/// Returns the objective of each lookup that was seen with one.
fn kinds(lines: &[LogLine]) -> BTreeMap<&str, Kind> {
    let known = lines.iter().filter_map(|line| match &line.decision {
        Decision::Admitted { lookup, objective: Some(objective), .. } => {
            Some((lookup.as_str(), Kind::Objective(*objective)))
        }
        _ => None,
    });
    known.collect()
}

fn story(lines: &[&LogLine], kinds: &BTreeMap<&str, Kind>) -> Option<RequestLoss> {
    let handed: Vec<&str> = lines
        .iter()
        .filter(|line| matches!(line.decision, Decision::ForwardTaken))
        .map(|line| line.host.as_str())
        .collect();
    let entry = |line: &&&LogLine| !handed.contains(&line.host.as_str());
    let due = lines.iter().find_map(|line| match line.decision {
        Decision::Admitted { due, .. } => due,
        _ => None,
    });
    let reasons = lines.iter().filter_map(|line| match &line.decision {
        Decision::ShardMissing { why } => Some(why.as_str()),
        _ => None,
    });
    let reasons: Vec<&str> = reasons.collect();
    lines.iter().filter(entry).find_map(|line| match &line.decision {
        Decision::Answered { lookup, outcome, code, contributed, missing, micros } => {
            let lost = match outcome.as_str() {
                NOT_RUN => vec![(Cause::Refused(code.clone()), 1.0)],
                ANSWERED if due.is_some_and(|due| *micros > due + LATE_AFTER) => vec![(Cause::Late, 1.0)],
                ANSWERED => left_out(*contributed, *missing, &reasons),
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

/// An answer that leaves this long after it was due still reaches its caller in time,
/// in microseconds: daemons cut answers a margin before the objective, and send what
/// they have then.
const LATE_AFTER: u64 = 10_000;

/// Parts what an answer without some shards lost, one minus the square of its share,
/// evenly among the reasons.
fn left_out(contributed: usize, missing: usize, reasons: &[&str]) -> Vec<(Cause, f64)> {
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
