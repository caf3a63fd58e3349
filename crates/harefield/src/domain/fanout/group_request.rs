//! A group of shards that is delegated to another daemon, and its outcome.

use std::time::Duration;
use std::time::Instant;

use crate::domain::ids::AttemptId;
use crate::domain::ids::HostId;
use crate::domain::ids::UpstreamId;
use crate::domain::outcome::Gap;
use crate::domain::reply::Reply;

/// A group of shards to delegate to another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupRequest {
    /// The daemon that receives the group.
    pub host: HostId,
    /// The attempt's number, shared by all shards of the group.
    pub attempt: AttemptId,
    /// The shards' positions in the plan.
    pub shards: Vec<usize>,
    /// When the group was sent.
    pub start: Instant,
    /// For each shard with more replicas than attempts, the only replica that this daemon queries
    /// if the group fails. The receiving daemon may query that replica too, and spends the
    /// remaining attempts on replicas of its choice, so that both daemons together stay within the
    /// attempt limit.
    pub fallbacks: Vec<(usize, UpstreamId)>,
    /// How many other replicas of these shards the receiving daemon may query.
    pub free: u32,
    /// How long the daemon may wait for replies before it answers with those it has; `None` if
    /// there is no cutoff before the deadline.
    pub gather_time: Option<Duration>,
    /// When the daemon is presumed dead.
    pub lost_at: Instant,
}

/// What a daemon returned for one shard.
#[derive(Clone, Debug)]
pub enum ShardResult {
    /// The shard's contribution.
    Part(Reply),
    /// No contribution.
    Missing {
        /// The reason.
        why: Gap,
        /// Whether an upstream may have run the request.
        ran: bool,
        /// How many upstreams the daemon sent the request to.
        sent: u32,
    },
}

/// The outcome of a group.
#[derive(Clone, Debug)]
pub enum GroupOutcome {
    /// The result of each shard, by its position in the plan.
    Results(Vec<(usize, ShardResult)>),
    /// The group was not accepted, so nothing was sent to any upstream.
    NotSent,
    /// The daemon received the group but did not answer.
    Silent,
}
