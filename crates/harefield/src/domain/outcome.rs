//! What a caller is told: outcome, coverage and the reason of each gap.

use serde::Deserialize;
use serde::Serialize;

use super::code::Code;
use super::ids::ShardId;
use super::ids::Version;
use super::reply::Reply;

/// The three things that can have become of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer holds what the contributing shards replied.
    Answered,
    /// The request did not run on any upstream.
    NotRun,
    /// The request was written to an upstream whose reply is not known.
    MayHaveRun,
}

/// Why a shard did not contribute.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Gap {
    /// The configuration lists no replica for the shard.
    NoReplica,
    /// The lookup may not be served in the regions of the shard's replicas.
    OutsideRegions,
    /// Every replica is leaving.
    Leaving,
    /// The replicas' availability zone is evacuated.
    Evacuated,
    /// No replica holds the snapshot, by its own word or its refusal.
    SnapshotMissing,
    /// A replica answered for another snapshot than asked.
    SnapshotWrong,
    /// The replica no longer holds the shard.
    ShardMoved,
    /// The replicas are cold, and get what they bear.
    Cold,
    /// Every replica is busy, shedding or over its connection limit.
    Overloaded,
    /// No replica could be connected to.
    Unreachable,
    /// The connection was lost, or the reply was cut short or not valid.
    ReplyLost,
    /// The upstream ended while it had the request.
    UpstreamEnded,
    /// The reply belonged to another request.
    ReplyCrossed,
    /// The upstream failed while it ran the request.
    Failed,
    /// The answer was cut while a reply was awaited.
    Late,
    /// The answer was cut before the shard could be asked.
    NotAsked,
    /// The daemon was confirming its knowledge after a pause.
    Unconfirmed,
    /// The request is withheld: upstreams end each time that they run it.
    Withheld,
}

impl Gap {
    /// Returns the reason's name, as answers carry it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoReplica => "no-replica",
            Self::OutsideRegions => "outside-regions",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::SnapshotMissing => "snapshot-missing",
            Self::SnapshotWrong => "snapshot-wrong",
            Self::ShardMoved => "shard-moved",
            Self::Cold => "cold",
            Self::Overloaded => "overloaded",
            Self::Unreachable => "unreachable",
            Self::ReplyLost => "reply-lost",
            Self::UpstreamEnded => "upstream-ended",
            Self::ReplyCrossed => "reply-crossed",
            Self::Failed => "failed",
            Self::Late => "late",
            Self::NotAsked => "not-asked",
            Self::Unconfirmed => "unconfirmed",
            Self::Withheld => "withheld",
        }
    }
}

/// A shard that did not contribute.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// The shard.
    pub shard: ShardId,
    /// Why it did not contribute.
    pub why: Gap,
    /// Whether the request may have run there all the same.
    #[serde(rename = "may-have-run")]
    pub ran: bool,
}

/// Names exactly the shards that did and did not contribute.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Whether every shard of the snapshot contributed.
    pub whole: bool,
    /// The shards that contributed, in the snapshot's order.
    pub contributed: Vec<ShardId>,
    /// The shards that did not, in the snapshot's order.
    pub missing: Vec<Missing>,
}

/// One shard's contribution to an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Part {
    /// The shard.
    pub shard: ShardId,
    /// The upstream's reply, as sent.
    pub reply: Reply,
}

/// The whole answer to one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// The request's id, as the time line knows it.
    pub request: String,
    /// The caller's own id of the request, echoed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    /// What became of the request.
    pub outcome: Outcome,
    /// The result code.
    pub code: Code,
    /// The sentence that explains the code.
    pub message: String,
    /// The index and version that every contribution was drawn from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<SnapshotName>,
    /// Which shards contributed.
    pub coverage: Coverage,
    /// The contributions, one a shard.
    pub results: Vec<Part>,
    /// When to come back, in milliseconds, where that may help.
    #[serde(default, rename = "retry-after-ms", skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
    /// A ticket for a once-only request that came without one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
    /// What an upstream replied that failed; only for opaque requests.
    #[serde(skip)]
    pub failure: Option<Reply>,
    /// How many records are kept where the contributions are to be merged.
    #[serde(skip)]
    pub merge: Option<usize>,
}

/// Names one snapshot of one index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotName {
    /// The index.
    pub index: String,
    /// Its version.
    pub version: Version,
}

impl Answer {
    /// Creates an answer without contributions.
    #[must_use]
    pub fn bare(request: &str, outcome: Outcome, code: Code) -> Self {
        Self {
            request: request.to_owned(),
            id: None,
            outcome,
            code,
            message: code.text().to_owned(),
            snapshot: None,
            coverage: Coverage::default(),
            results: Vec::new(),
            retry_after: None,
            ticket: None,
            failure: None,
            merge: None,
        }
    }

    /// Creates a refusal that ran nowhere.
    #[must_use]
    pub fn not_run(request: &str, code: Code, retry_after: Option<u64>) -> Self {
        let mut answer = Self::bare(request, Outcome::NotRun, code);
        answer.retry_after = retry_after;
        answer
    }

    /// Creates an answer for a request whose fate is not known.
    #[must_use]
    pub fn may_have_run(request: &str, code: Code) -> Self {
        Self::bare(request, Outcome::MayHaveRun, code)
    }
}
