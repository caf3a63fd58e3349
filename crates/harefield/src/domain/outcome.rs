//! What a caller is sent: outcome, coverage and the reason of each gap.

use serde::Deserialize;
use serde::Serialize;

use super::code::Code;
use super::ids::ShardId;
use super::ids::Version;
use super::reply::Reply;

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer contains the replies of the contributing shards.
    Answered,
    /// The request did not run on any upstream.
    NotRun,
    /// The request was sent to an upstream whose reply is unknown.
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
    /// No replica holds the snapshot, according to its announcement or because it refused.
    SnapshotMissing,
    /// A replica answered for a different snapshot than requested.
    SnapshotWrong,
    /// The replica no longer holds the shard.
    ShardMoved,
    /// The replicas are cold and already receive as many requests as they can take.
    Cold,
    /// Every replica is busy, shedding load or at its connection limit.
    Overloaded,
    /// No replica could be connected to.
    Unreachable,
    /// The connection was lost, or the reply was truncated or invalid.
    ReplyLost,
    /// The upstream ended while it ran the request.
    UpstreamEnded,
    /// The reply belonged to another request.
    ReplyCrossed,
    /// The upstream failed while it ran the request.
    Failed,
    /// The answer was cut off while a reply was awaited.
    Late,
    /// The answer was cut off before the shard could be queried.
    NotAsked,
    /// The daemon was confirming what it knows after a pause.
    Unconfirmed,
    /// The request is withheld because upstreams end each time they run it.
    Withheld,
}

impl Gap {
    /// Returns the name of the reason as written in answers.
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
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it did not contribute.
    pub why: Gap,
    /// Whether the request may nevertheless have run there.
    #[serde(rename = "may-have-run")]
    pub ran: bool,
}

/// Lists exactly the shards that did and did not contribute.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Whether every shard of the snapshot contributed.
    pub whole: bool,
    /// The shards that contributed, in the order of the snapshot.
    pub contributed: Vec<ShardId>,
    /// The shards that did not, in the order of the snapshot.
    pub missing: Vec<MissingShard>,
}

/// The contribution of one shard to an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Contribution {
    /// The shard.
    pub shard: ShardId,
    /// The upstream's reply, as sent.
    pub reply: Reply,
}

/// The complete answer to a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// The id of the request on the time line.
    pub request: String,
    /// The caller's own id of the request, echoed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    /// What happened to the request.
    pub outcome: Outcome,
    /// The result code.
    pub code: Code,
    /// The sentence that explains the code.
    pub message: String,
    /// The index and version that all contributions come from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<SnapshotName>,
    /// Which shards contributed.
    pub coverage: Coverage,
    /// The contributions, one per shard.
    pub results: Vec<Contribution>,
    /// When to retry, in milliseconds, if that may help.
    #[serde(default, rename = "retry-after-ms", skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
    /// A ticket, if a once-only request came without one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
    /// The reply of an upstream that failed. Only for opaque requests.
    #[serde(skip)]
    pub failure: Option<Reply>,
    /// How many records to keep if the contributions are to be merged.
    #[serde(skip)]
    pub merge: Option<usize>,
}

/// Identifies a snapshot of an index.
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
    pub fn empty(request: &str, outcome: Outcome, code: Code) -> Self {
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

    /// Creates an answer for a request that was refused before it ran anywhere.
    #[must_use]
    pub fn not_run(request: &str, code: Code, retry_after: Option<u64>) -> Self {
        let mut answer = Self::empty(request, Outcome::NotRun, code);
        answer.retry_after = retry_after;
        answer
    }

    /// Creates an answer for a request of unknown fate.
    #[must_use]
    pub fn may_have_run(request: &str, code: Code) -> Self {
        Self::empty(request, Outcome::MayHaveRun, code)
    }
}
