//! One shard of a fan-out: its state and its attempts.

use std::time::Instant;

use super::group_request::GroupRequest;
use crate::domain::event::Cause;
use crate::domain::ids::AttemptId;
use crate::domain::ids::UpstreamId;
use crate::domain::outcome::Gap;
use crate::domain::reply::Reply;
use crate::domain::view::ReplicaLimit;

/// An attempt to send to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendAttempt {
    /// The shard's position in the plan.
    pub shard: usize,
    /// The upstream to query.
    pub upstream: UpstreamId,
    /// The attempt's number within the request.
    pub attempt: AttemptId,
    /// Why it is sent.
    pub cause: Cause,
    /// When it was decided.
    pub start: Instant,
}

/// An attempt whose reply is no longer needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cancel {
    /// The attempt.
    pub attempt: AttemptId,
    /// The upstream that was queried.
    pub upstream: UpstreamId,
}

/// An action for the caller of the state machine to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request to an upstream.
    Send(SendAttempt),
    /// Delegate a group of shards to a daemon.
    Delegate(GroupRequest),
    /// Revoke a group from its daemon.
    Revoke(AttemptId),
    /// Notify an upstream that a reply is no longer needed.
    Cancel(Cancel),
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptEnd {
    /// The upstream answered completely, for this request and the requested snapshot.
    Answered(Reply),
    /// The upstream refused the request.
    Refused {
        /// The gap to record for the shard.
        why: Gap,
        /// Whether the upstream had already begun to run the request.
        begun: bool,
    },
    /// The upstream ran the request and replied with a failure.
    Failed(Reply),
    /// Nothing was written to the upstream.
    NotSent {
        /// The reason.
        why: Gap,
    },
    /// The request was written, but no usable reply came.
    Lost {
        /// What happened to the reply.
        why: Gap,
    },
}

impl AttemptEnd {
    /// Returns the gap to record for the shard; `None` for an answer.
    #[must_use]
    pub fn gap(&self) -> Option<Gap> {
        match self {
            Self::Answered(_) => None,
            Self::Failed(_) => Some(Gap::Failed),
            Self::Refused { why, .. } | Self::NotSent { why } | Self::Lost { why } => Some(*why),
        }
    }

    /// Returns whether the request ran or may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Answered(_) | Self::Failed(_) | Self::Lost { .. } => true,
            Self::Refused { begun, .. } => *begun,
            Self::NotSent { .. } => false,
        }
    }
}

/// An attempt without an outcome yet.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub attempt: AttemptId,
    pub upstream: UpstreamId,
    pub start: Instant,
    pub cause: Cause,
}

/// The state of a shard's hedge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Hedge {
    /// None is due.
    #[default]
    Off,
    /// One is due at this time.
    Due(Instant),
    /// One was due, but the budget denied it; the budget is checked again at this time.
    Denied(Instant),
    /// One was sent; there is no second one.
    Sent,
}

/// The state of a shard.
#[derive(Debug, Default)]
pub(super) struct Shard {
    pub in_flight: Vec<InFlight>,
    /// Which replicas may be queried; `None` for all.
    pub limit: Option<ReplicaLimit>,
    /// Replicas that failed, skipped until all have failed.
    pub failed: Vec<UpstreamId>,
    /// Replicas that cannot serve this request at all.
    pub unfit: Vec<UpstreamId>,
    pub sent: u32,
    pub part: Option<Reply>,
    /// The reply of an upstream that reported a failure.
    pub failure: Option<Reply>,
    /// The latest reason for not contributing.
    pub gap: Option<Gap>,
    /// Whether an attempt without a contribution may have run.
    pub ran: bool,
    /// Whether no more attempts will be made.
    pub closed: bool,
    /// When to try again, while the shard waits for a replica.
    pub retry_at: Option<Instant>,
    pub hedge: Hedge,
    /// Whether it ever waited because its replicas were overloaded.
    pub waited: bool,
}

impl Shard {
    pub fn is_open(&self) -> bool {
        self.part.is_none() && !self.closed
    }

    /// Returns whether nothing was done about it yet.
    pub fn is_untried(&self) -> bool {
        self.is_open() && self.sent == 0 && self.retry_at.is_none()
    }

    /// Returns whether an attempt other than a probe is in flight.
    pub fn is_awaited(&self) -> bool {
        self.in_flight.iter().any(|flight| flight.cause != Cause::Probe)
    }

    pub fn may_have_run(&self) -> bool {
        self.ran || !self.in_flight.is_empty()
    }

    /// Returns the only replicas that may be queried; `None` for all.
    pub fn named_only(&self) -> Option<&[UpstreamId]> {
        self.limit.as_ref().filter(|limit| limit.free == 0).map(|limit| &*limit.named)
    }

    /// Counts an attempt against the shard's limits.
    pub fn count_attempt(&mut self, upstream: &UpstreamId) {
        self.sent += 1;
        if let Some(limit) = &mut self.limit
            && !limit.named.contains(upstream)
        {
            limit.free = limit.free.saturating_sub(1);
        }
    }

    pub fn hedge_at(&self) -> Option<Instant> {
        match self.hedge {
            Hedge::Due(at) | Hedge::Denied(at) => Some(at),
            Hedge::Off | Hedge::Sent => None,
        }
    }

    /// Returns the replicas that a new attempt skips.
    pub fn tried(&self) -> Vec<UpstreamId> {
        let flying = self.in_flight.iter().map(|flight| &flight.upstream);
        flying.chain(&self.failed).chain(&self.unfit).cloned().collect()
    }

    pub fn close(&mut self, gap: Gap) {
        self.closed = true;
        self.retry_at = None;
        self.gap.get_or_insert(gap);
    }

    /// Records a failed attempt on `upstream`.
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
