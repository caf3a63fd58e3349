//! The router's side of the wait queues: notifies waiters of free capacity, and estimates how long
//! a new one would wait.

use std::time::Duration;
use std::time::Instant;

use super::router::Router;
use crate::domain::dispatch::Dispatch;
use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;

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

    /// Returns how many requests this worker has in flight at each replica of a shard of a scheduled
    /// index; those for other shards count as well.
    pub fn in_flight_for(&self, shard: &ShardId) -> impl Iterator<Item = (&UpstreamId, usize)> {
        let replicas = self.placement.replicas_of(shard).iter();
        replicas.filter_map(|name| Some((name, self.upstreams.get(name)?.in_flight())))
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

    /// Returns the longest of the delays of a new request of a rank and of all more urgent ones.
    #[must_use]
    pub fn longest_shard_delay(&self, shard: &ShardId, rank: u32, now: Instant) -> Duration {
        let work = self.dispatch.most_work(shard, rank);
        work.map_or(Duration::ZERO, |work| work / self.slots_for(shard, now))
    }

    /// Returns the round-trip time to the nearest replica of a shard of a scheduled index.
    ///
    /// Where every shard has a replica in the own region, none is looked up: 210 look-ups would take
    /// longer than the 5 µs that a decision may take.
    #[must_use]
    pub fn nearest_rtt(&self, replicas: &[UpstreamId]) -> Duration {
        if self.placement.is_all_near() {
            return Duration::ZERO;
        }
        replicas.iter().map(|name| self.rtt_to(name)).min().unwrap_or_default()
    }

    /// Returns how many slots serve the requests for a shard that wait here: this worker's part of
    /// those of the available replicas in its own region, or one where there is none.
    ///
    /// Slots of other regions don't count. Where requests wait, the other regions usually need them
    /// as much, and what is sent there is returned the same way.
    fn slots_for(&self, shard: &ShardId, now: Instant) -> u32 {
        let near = self.placement.near(shard).iter().filter_map(|name| self.upstreams.get(name));
        let available = near.filter(|s| s.accepts_work().is_ok() && !s.is_backed_off(now));
        available.map(|s| s.slot_limit().unwrap_or(s.spec.slots)).sum::<u32>().max(1)
    }
}
