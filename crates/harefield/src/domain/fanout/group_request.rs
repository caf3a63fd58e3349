//! A group of shards as it is handed to a daemon, and what came of it.

use std::time::Duration;
use std::time::Instant;

use crate::domain::ids::AttemptId;
use crate::domain::ids::HostId;
use crate::domain::ids::UpstreamId;
use crate::domain::outcome::Gap;
use crate::domain::reply::Reply;

/// A group of shards that is to be handed to a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupRequest {
    /// The daemon.
    pub host: HostId,
    /// The attempt's number, which its shards share.
    pub attempt: AttemptId,
    /// The shards' places in the plan.
    pub shards: Vec<usize>,
    /// When it was decided.
    pub start: Instant,
    /// The fallbacks of shards with more replicas than attempts: this daemon asks no other one
    /// where the group fails. The daemon that the group goes to may ask them too, and chooses
    /// among all replicas for the rest of the attempts, so that both stay within them.
    pub fallbacks: Vec<(usize, UpstreamId)>,
    /// How many other replicas of these shards that daemon may ask.
    pub free: u32,
    /// How long the daemon may gather before it answers with what it has; none
    /// where nothing is due before the deadline.
    pub gather_time: Option<Duration>,
    /// When the daemon is taken to be gone.
    pub lost_at: Instant,
}

/// What a daemon brought of one shard.
#[derive(Clone, Debug)]
pub enum ShardResult {
    /// Its contribution.
    Part(Reply),
    /// Nothing.
    Missing {
        /// Why.
        why: Gap,
        /// Whether it may have run there.
        ran: bool,
        /// How many upstreams it was sent to there.
        sent: u32,
    },
}

/// How a group ended.
#[derive(Clone, Debug)]
pub enum GroupOutcome {
    /// What the daemon brought of each shard, by its place in the plan.
    Results(Vec<(usize, ShardResult)>),
    /// Nothing was sent to any upstream.
    NotSent,
    /// The daemon was sent the group, and did not answer.
    Silent,
}
