//! The format in which daemons send each other answers to opaque requests. Records are merged
//! before they are sent, and fields are identified by position.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::domain::code::Code;
use crate::domain::ids::ShardId;
use crate::domain::merge::greatest;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Contribution;
use crate::domain::outcome::Coverage;
use crate::domain::outcome::MissingShard;
use crate::domain::outcome::Outcome;
use crate::domain::outcome::SnapshotName;
use crate::domain::reply::OpaqueReply;
use crate::domain::reply::Reply;

/// An answer to an opaque request.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct OpaqueAnswer {
    outcome: Outcome,
    code: Code,
    snapshot: Option<SnapshotName>,
    /// The time after which the caller should retry, in milliseconds.
    retry_after: Option<u64>,
    /// The maximum number of records to keep; `None` if replies aren't merged.
    merge: Option<usize>,
    missing: Vec<MissingShard>,
    parts: Vec<(ShardId, OpaqueReply)>,
    failure: Option<OpaqueReply>,
}

impl OpaqueAnswer {
    /// Converts an answer. If replies are merged, the first part contains the records of all.
    pub fn new(answer: &Answer) -> Self {
        let bytes = |part: &Contribution| Some((Arc::clone(&part.shard), (**part.reply.opaque()?).clone()));
        let mut parts: Vec<(ShardId, OpaqueReply)> = answer.results.iter().filter_map(bytes).collect();
        if let Some(limit) = answer.merge {
            merge(&mut parts, limit);
        }
        Self {
            outcome: answer.outcome,
            code: answer.code,
            snapshot: answer.snapshot.clone(),
            retry_after: answer.retry_after,
            merge: answer.merge,
            missing: answer.coverage.missing.clone(),
            parts,
            failure: answer.failure.as_ref().and_then(Reply::opaque).map(|reply| (**reply).clone()),
        }
    }

    /// Converts back to the original answer, except that merged records stay merged.
    pub fn into_answer(self, request: &str) -> Answer {
        let mut answer = Answer::empty(request, self.outcome, self.code);
        answer.snapshot = self.snapshot;
        answer.retry_after = self.retry_after;
        answer.merge = self.merge;
        answer.coverage = Coverage {
            whole: self.missing.is_empty() && self.outcome == Outcome::Answered,
            contributed: self.parts.iter().map(|(shard, _)| Arc::clone(shard)).collect(),
            missing: self.missing,
        };
        let part = |(shard, reply)| Contribution { shard, reply: Reply::Opaque(Arc::new(reply)) };
        answer.results = self.parts.into_iter().map(part).collect();
        answer.failure = self.failure.map(|reply| Reply::Opaque(Arc::new(reply)));
        answer
    }
}

/// Merges the records of all parts into the first one; the others become empty.
fn merge(parts: &mut [(ShardId, OpaqueReply)], limit: usize) {
    let mut records = Bytes::from(greatest(parts.iter().map(|(_, reply)| &*reply.body), limit));
    for (_, reply) in parts {
        reply.headers.clear();
        reply.body = std::mem::take(&mut records);
    }
}
