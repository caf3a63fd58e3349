//! What a finished fan-out is called.

use crate::domain::code::Code;
use crate::domain::outcome::Contribution;
use crate::domain::outcome::Coverage;
use crate::domain::outcome::Gap;
use crate::domain::outcome::Outcome;
use crate::domain::reply::Reply;

/// What a finished fan-out found.
#[derive(Debug)]
pub struct Finished {
    /// What became of the request.
    pub outcome: Outcome,
    /// The result code.
    pub code: Code,
    /// Which shards contributed.
    pub coverage: Coverage,
    /// Their contributions.
    pub parts: Vec<Contribution>,
    /// What an upstream replied that failed, where it is the caller's business.
    pub failure: Option<Reply>,
    /// How many upstreams each missing shard was sent to, in the same order.
    pub sent: Vec<u32>,
}

/// How a fan-out ended, besides its coverage.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ending {
    /// Whether a shard that did not contribute may have run it.
    pub ran: bool,
    /// Whether the answer was cut while replies were awaited.
    pub cut: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How many shards make an answer.
    pub least: usize,
}

/// Says what became of a request.
pub(super) fn judge(coverage: &Coverage, ending: Ending) -> (Outcome, Code) {
    if coverage.whole {
        return (Outcome::Answered, Code::Whole);
    }
    let some = coverage.contributed.len() >= ending.least;
    if some && (ending.repeatable || !ending.ran) {
        return (Outcome::Answered, Code::Partial);
    }
    if !some && !coverage.contributed.is_empty() {
        return (Outcome::MayHaveRun, Code::TooFewShards);
    }
    if ending.ran && ending.cut {
        return (Outcome::MayHaveRun, Code::DeadlinePassed);
    }
    if ending.ran {
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
