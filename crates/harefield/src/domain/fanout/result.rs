//! The result of a finished fan-out and its result code.

use crate::domain::code::Code;
use crate::domain::outcome::Contribution;
use crate::domain::outcome::Coverage;
use crate::domain::outcome::Gap;
use crate::domain::outcome::Outcome;
use crate::domain::reply::Reply;

/// The result of a finished fan-out.
#[derive(Debug)]
pub struct FanoutResult {
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The result code.
    pub code: Code,
    /// Which shards contributed.
    pub coverage: Coverage,
    /// The contributions.
    pub parts: Vec<Contribution>,
    /// The reply of an upstream that reported a failure, to be passed on to the caller.
    pub failure: Option<Reply>,
    /// How many upstreams each missing shard was sent to, in the order of `coverage.missing`.
    pub sent: Vec<u32>,
}

/// How a fan-out ended, apart from its coverage.
#[derive(Clone, Copy, Debug)]
pub(super) struct Conclusion {
    /// Whether a shard that did not contribute may have run the request.
    pub ran: bool,
    /// Whether the answer was cut while replies were outstanding.
    pub is_cut: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The fewest contributions that make an answer.
    pub least: usize,
}

/// Returns the outcome of a request and its result code.
pub(super) fn classify(coverage: &Coverage, conclusion: Conclusion) -> (Outcome, Code) {
    if coverage.whole {
        return (Outcome::Answered, Code::Whole);
    }
    let some = coverage.contributed.len() >= conclusion.least;
    if some && (conclusion.repeatable || !conclusion.ran) {
        return (Outcome::Answered, Code::Partial);
    }
    if !some && !coverage.contributed.is_empty() {
        return (Outcome::MayHaveRun, Code::TooFewShards);
    }
    if conclusion.ran && conclusion.is_cut {
        return (Outcome::MayHaveRun, Code::DeadlinePassed);
    }
    if conclusion.ran {
        return (Outcome::MayHaveRun, Code::ReplyLost);
    }
    (Outcome::NotRun, refusal(coverage))
}

fn refusal(coverage: &Coverage) -> Code {
    const DEAD: [Gap; 5] =
        [Gap::NoReplica, Gap::Leaving, Gap::Evacuated, Gap::SnapshotMissing, Gap::Unreachable];
    let all = |gaps: &[Gap]| coverage.missing.iter().all(|missing| gaps.contains(&missing.why));
    if all(&[Gap::Unconfirmed]) {
        Code::Unconfirmed
    } else if all(&[Gap::Withheld]) {
        Code::Withheld
    } else if all(&[Gap::OutsideRegions, Gap::NotAsked]) {
        Code::NoRegion
    } else if all(&DEAD) {
        Code::NoReplica
    } else {
        Code::AllRefused
    }
}
