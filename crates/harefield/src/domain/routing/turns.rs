//! The router's side of the wait queues: notifies waiters of free capacity, and estimates how long
//! a new one would wait.

use std::time::Duration;
use std::time::Instant;

use super::router::Router;
use crate::domain::dispatch::Dispatch;
use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;
use crate::domain::topology::Distance;

impl Router {
    /// Returns the requests that wait for shards.
    #[must_use]
    pub fn dispatch(&self) -> &Dispatch {
        &self.dispatch
    }

    /// Returns the requests that wait for shards, to change them.
    pub fn dispatch_mut(&mut self) -> &mut Dispatch {
        &mut self.dispatch
    }

    /// Returns how many replicas a shard of a scheduled index has.
    #[must_use]
    pub fn replica_count(&self, shard: &ShardId) -> usize {
        self.placement.replicas_of(shard).len()
    }

    /// Notifies the first waiter of each shard that an upstream holds.
    pub(super) fn notify_upstream(&mut self, name: &UpstreamId, now: Instant) {
        for shard in self.placement.shards_of(name) {
            self.dispatch.notify(shard, now);
        }
    }

    /// Notifies the first waiter of each shard.
    pub(super) fn notify_all(&mut self, now: Instant) {
        let shards: Vec<ShardId> = self.dispatch.shards().cloned().collect();
        for shard in shards {
            self.dispatch.notify(&shard, now);
        }
    }

    /// Returns how long a new request of a rank would wait for a shard before it is sent.
    #[must_use]
    pub fn shard_delay(&self, shard: &ShardId, rank: u32, now: Instant) -> Duration {
        if !self.dispatch.has_waiters(shard) {
            return Duration::ZERO;
        }
        self.dispatch.delay(shard, rank, self.slots_for(shard, now))
    }

    /// Returns how many slots serve the requests for a shard that wait here: this worker's part of
    /// those of the available replicas in its own region, or one where there is none.
    ///
    /// Slots of other regions don't count. Where requests wait, the other regions usually need them
    /// as much, and what is sent there is returned the same way.
    fn slots_for(&self, shard: &ShardId, now: Instant) -> u32 {
        let found = self.placement.replicas_of(shard).iter().filter_map(|name| self.upstreams.get(name));
        let available = found.filter(|s| s.accepts_work().is_ok() && !s.is_backed_off(now));
        let near = available.filter(|s| s.distance != Distance::Far);
        near.map(|s| s.slot_limit().unwrap_or(s.spec.slots)).sum::<u32>().max(1)
    }
}
