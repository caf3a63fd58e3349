//! The wait queues of a daemon's workers, as operators see them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;

/// The most shards that a worker names with their queues, and that `harefield status` prints.
pub const MAX_QUEUES_NAMED: usize = 8;

/// The requests of one rank that wait for shards. The last rank includes all higher ones and the
/// requests whose objective has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RankQueue {
    /// The waiters of all shards.
    pub waiting: usize,
    /// The longest time that a new request would wait for a shard, in milliseconds.
    pub delay_ms: f64,
}

/// The requests that wait for one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ShardQueue {
    /// The shard.
    pub shard: ShardId,
    /// How long a new request would wait, in milliseconds: the longest time of all ranks.
    pub delay_ms: f64,
    /// The waiters by rank.
    pub waiting: Vec<usize>,
    /// The requests in flight at each replica, of any shard.
    pub in_flight: Vec<(UpstreamId, usize)>,
}

/// The wait queues of one worker, or of several.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct QueueStatus {
    /// The requests that wait, by rank; empty where scheduling is disabled.
    pub ranks: Vec<RankQueue>,
    /// The shards with the longest delays, the longest first, at most [`MAX_QUEUES_NAMED`].
    pub longest: Vec<ShardQueue>,
}

impl QueueStatus {
    /// Adds the queues of another worker of the daemon. Waiters and requests in flight are added
    /// up; of delays the longer one counts, since each worker has slots of its own.
    pub fn add(&mut self, other: &Self) {
        self.ranks.resize(self.ranks.len().max(other.ranks.len()), RankQueue::default());
        for (sum, rank) in self.ranks.iter_mut().zip(&other.ranks) {
            sum.waiting += rank.waiting;
            sum.delay_ms = sum.delay_ms.max(rank.delay_ms);
        }
        for queue in &other.longest {
            match self.longest.iter_mut().find(|held| held.shard == queue.shard) {
                Some(held) => held.add(queue),
                None => self.longest.push(queue.clone()),
            }
        }
        self.longest.sort_by(|a, b| b.delay_ms.total_cmp(&a.delay_ms));
        self.longest.truncate(MAX_QUEUES_NAMED);
    }
}

impl ShardQueue {
    fn add(&mut self, other: &Self) {
        self.delay_ms = self.delay_ms.max(other.delay_ms);
        self.waiting.iter_mut().zip(&other.waiting).for_each(|(sum, count)| *sum += count);
        for (name, count) in &other.in_flight {
            match self.in_flight.iter_mut().find(|(held, _)| held == name) {
                Some((_, sum)) => *sum += count,
                None => self.in_flight.push((Arc::clone(name), *count)),
            }
        }
    }
}
