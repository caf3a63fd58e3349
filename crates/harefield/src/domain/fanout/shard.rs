//! One shard of a fan-out: its attempts and how it stands.

use std::time::Instant;

use super::group_request::GroupRequest;
use crate::domain::event::Cause;
use crate::domain::ids::AttemptId;
use crate::domain::ids::UpstreamId;
use crate::domain::outcome::Gap;
use crate::domain::reply::Reply;
use crate::domain::view::ReplicaLimit;

/// A request to an upstream that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendAttempt {
    /// The shard's place in the plan.
    pub shard: usize,
    /// The upstream to ask.
    pub upstream: UpstreamId,
    /// The attempt's number within the request.
    pub attempt: AttemptId,
    /// Why it is sent.
    pub cause: Cause,
    /// When it was decided.
    pub start: Instant,
}

/// An attempt whose reply is no longer wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cancel {
    /// The attempt.
    pub attempt: AttemptId,
    /// The upstream that was asked.
    pub upstream: UpstreamId,
}

/// What the fan-out asks its surroundings to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request to an upstream.
    Send(SendAttempt),
    /// Hand a group of shards to a daemon.
    Delegate(GroupRequest),
    /// Take a group back from its daemon.
    Revoke(AttemptId),
    /// Tell an upstream that a reply is no longer wanted.
    Cancel(Cancel),
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptEnd {
    /// The upstream answered this request, whole, at the snapshot asked for.
    Answered(Reply),
    /// The upstream refused; `begun` says whether it had begun to run it.
    Refused {
        /// Why, as the gap it leaves.
        why: Gap,
        /// Whether the upstream had begun.
        begun: bool,
    },
    /// The upstream ran it, and replied that it failed.
    Failed(Reply),
    /// Nothing was written to the upstream.
    NotSent {
        /// Why not.
        why: Gap,
    },
    /// The request was written, and no usable reply came.
    Lost {
        /// What happened to the reply.
        why: Gap,
    },
}

impl AttemptEnd {
    /// Returns the gap that the end leaves; none for an answer.
    #[must_use]
    pub fn gap(&self) -> Option<Gap> {
        match self {
            Self::Answered(_) => None,
            Self::Failed(_) => Some(Gap::Failed),
            Self::Refused { why, .. } | Self::NotSent { why } | Self::Lost { why } => Some(*why),
        }
    }

    /// Returns whether the request ran, or may have.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Answered(_) | Self::Failed(_) | Self::Lost { .. } => true,
            Self::Refused { begun, .. } => *begun,
            Self::NotSent { .. } => false,
        }
    }
}

/// An attempt under way.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub attempt: AttemptId,
    pub upstream: UpstreamId,
    pub start: Instant,
    pub cause: Cause,
}

/// How far the hedge of a shard is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Hedge {
    /// None is due.
    #[default]
    Off,
    /// One is due at this time.
    Due(Instant),
    /// One was due, the budget denied it, and it is asked for again at this time.
    Denied(Instant),
    /// One was sent; there is no second.
    Sent,
}

/// How a shard stands.
#[derive(Debug, Default)]
pub(super) struct Shard {
    /// Attempts under way.
    pub in_flight: Vec<InFlight>,
    /// Which replicas may be asked; all where there is no limit.
    pub limit: Option<ReplicaLimit>,
    /// Replicas that failed and are passed over until all have.
    pub failed: Vec<UpstreamId>,
    /// Replicas that cannot serve this request at all.
    pub unfit: Vec<UpstreamId>,
    /// How many attempts were sent.
    pub sent: u32,
    /// The contribution.
    pub part: Option<Reply>,
    /// What an upstream replied that said that it failed.
    pub failure: Option<Reply>,
    /// The latest reason that it did not contribute.
    pub gap: Option<Gap>,
    /// Whether an attempt that brought nothing may have run.
    pub ran: bool,
    /// Whether nothing more will be tried.
    pub closed: bool,
    /// When to try again, where the shard waits for a replica.
    pub retry_at: Option<Instant>,
    /// Whether a hedge is due, or was sent.
    pub hedge: Hedge,
    /// Whether it ever had to wait for room.
    pub waited: bool,
}

impl Shard {
    pub fn is_open(&self) -> bool {
        self.part.is_none() && !self.closed
    }

    /// Returns whether an attempt other than a probe is under way.
    pub fn is_awaited(&self) -> bool {
        self.in_flight.iter().any(|flight| flight.cause != Cause::Probe)
    }

    pub fn may_have_run(&self) -> bool {
        self.ran || !self.in_flight.is_empty()
    }

    /// Returns the only replicas that may be asked; none for all.
    pub fn named_only(&self) -> Option<&[UpstreamId]> {
        self.limit.as_ref().filter(|limit| limit.free == 0).map(|limit| &*limit.named)
    }

    /// Counts an attempt that leaves for a replica.
    pub fn count_attempt(&mut self, upstream: &UpstreamId) {
        self.sent += 1;
        if let Some(limit) = &mut self.limit
            && !limit.named.contains(upstream)
        {
            limit.free = limit.free.saturating_sub(1);
        }
    }

    /// Returns when a hedge is due.
    pub fn hedge_at(&self) -> Option<Instant> {
        match self.hedge {
            Hedge::Due(at) | Hedge::Denied(at) => Some(at),
            Hedge::Off | Hedge::Sent => None,
        }
    }

    /// Returns the replicas that a new attempt passes over.
    pub fn tried(&self) -> Vec<UpstreamId> {
        let flying = self.in_flight.iter().map(|flight| &flight.upstream);
        flying.chain(&self.failed).chain(&self.unfit).cloned().collect()
    }

    pub fn close(&mut self, gap: Gap) {
        self.closed = true;
        self.retry_at = None;
        self.gap.get_or_insert(gap);
    }

    /// Notes a failed attempt on `upstream`.
    pub fn record_failure(&mut self, upstream: &UpstreamId, end: &AttemptEnd) {
        self.ran |= end.may_have_run();
        self.gap = end.gap();
        if let AttemptEnd::Failed(reply) = end {
            self.failure = Some(reply.clone());
        }
        let unfit = matches!(
            end.gap(),
            Some(Gap::SnapshotMissing | Gap::SnapshotWrong | Gap::ShardMoved | Gap::Leaving)
        );
        let list = if unfit { &mut self.unfit } else { &mut self.failed };
        list.push(std::sync::Arc::clone(upstream));
    }
}
