//! The queues of all shards, and which waiters are to be woken.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::queue::Queue;
use super::queue::Ticket;
use super::queue::Waiter;
use crate::domain::ids::FanoutId;
use crate::domain::ids::ShardId;

/// The requests that wait for shards, in the order in which they are sent.
#[derive(Debug)]
pub struct Dispatch {
    /// The weights of the classes, the most urgent first.
    shares: Vec<u32>,
    /// The shards with waiters.
    queues: HashMap<ShardId, Queue>,
    /// The shards that each fan-out waits for.
    fanouts: HashMap<FanoutId, HashMap<usize, ShardId>>,
    ready: Vec<Ticket>,
    next_id: FanoutId,
}

impl Dispatch {
    /// Creates a dispatch without waiters. `shares` are the weights of the ranks, the most urgent
    /// first; the last one applies to all further ranks and to waiters past their due time.
    #[must_use]
    pub fn new(shares: &[u32]) -> Self {
        let shares = if shares.is_empty() { vec![1] } else { shares.to_vec() };
        Self { shares, queues: HashMap::new(), fanouts: HashMap::new(), ready: Vec::new(), next_id: 0 }
    }

    /// Returns an id for a fan-out that no other has.
    pub fn next_id(&mut self) -> FanoutId {
        self.next_id += 1;
        self.next_id
    }

    /// Returns whether any waiter waits for a shard.
    #[must_use]
    pub fn has_waiters(&self, shard: &ShardId) -> bool {
        self.queues.contains_key(shard)
    }

    /// Returns how many waiters a shard has, besides one that may be among them.
    #[must_use]
    pub fn others(&self, shard: &ShardId, ticket: Ticket) -> usize {
        self.queues.get(shard).map_or(0, |queue| queue.len() - usize::from(queue.contains(ticket)))
    }

    /// Returns the shards with waiters.
    pub fn shards(&self) -> impl Iterator<Item = &ShardId> {
        self.queues.keys()
    }

    /// Returns how many waiters each class has, over all shards.
    #[must_use]
    pub fn waiting(&self) -> Vec<usize> {
        let mut all = vec![0; self.shares.len()];
        for queue in self.queues.values() {
            all.iter_mut().zip(queue.waiting()).for_each(|(sum, count)| *sum += count);
        }
        all
    }

    /// Returns how many waiters each class of a shard has.
    #[must_use]
    pub fn waiting_for(&self, shard: &ShardId) -> Vec<usize> {
        self.queues.get(shard).map(|queue| queue.waiting().collect()).unwrap_or_default()
    }

    /// Returns whether no other waiter of a shard precedes one, which may wait already or not.
    /// Demotes those past their due time first.
    pub fn goes_first(&mut self, shard: &ShardId, waiter: &Waiter, now: Instant) -> bool {
        let Some(queue) = self.queues.get_mut(shard) else { return true };
        queue.demote(now);
        queue.goes_first(waiter, now)
    }

    /// Adds a waiter to a shard's queue. One that waits already keeps its position, and counts as
    /// having tried since it was notified.
    pub fn wait(&mut self, shard: &ShardId, waiter: Waiter, now: Instant) {
        let shares = &self.shares;
        let queue = self.queues.entry(Arc::clone(shard)).or_insert_with(|| Queue::new(shares));
        queue.demote(now);
        if queue.contains(waiter.ticket) {
            queue.notified.take_if(|ticket| *ticket == waiter.ticket);
            return;
        }
        queue.add(waiter, now);
        let waits_for = self.fanouts.entry(waiter.ticket.fanout).or_default();
        waits_for.insert(waiter.ticket.shard, Arc::clone(shard));
    }

    /// Lets the others overtake a waiter until capacity becomes free: it may use some of the
    /// replicas only, and these have no free capacity. Marks the next one as ready.
    pub fn pass(&mut self, shard: &ShardId, ticket: Ticket, now: Instant) {
        if let Some(queue) = self.queues.get_mut(shard) {
            queue.pass(ticket);
        }
        self.wake_first(shard, now);
    }

    /// Removes a waiter; where it had been notified, marks the next one as ready.
    pub fn leave(&mut self, shard: &ShardId, ticket: Ticket, now: Instant) {
        let Some(queue) = self.queues.get_mut(shard) else { return };
        if !queue.remove(ticket) {
            return;
        }
        let notified = queue.notified.take_if(|held| *held == ticket).is_some();
        if queue.is_empty() {
            self.queues.remove(shard);
        }
        if let Some(shards) = self.fanouts.get_mut(&ticket.fanout) {
            shards.remove(&ticket.shard);
            if shards.is_empty() {
                self.fanouts.remove(&ticket.fanout);
            }
        }
        if notified {
            self.ready.retain(|held| *held != ticket);
            self.wake_first(shard, now);
        }
    }

    /// Removes all waiters of a fan-out.
    pub fn leave_all(&mut self, fanout: FanoutId, now: Instant) {
        for (at, shard) in self.fanouts.remove(&fanout).unwrap_or_default() {
            self.leave(&shard, Ticket { fanout, shard: at }, now);
        }
    }

    /// Removes a waiter that is sent to a replica, charges its work to its class, and marks the
    /// next one as ready, since more capacity may be free.
    pub fn start(&mut self, shard: &ShardId, waiter: &Waiter, now: Instant) {
        let Some(queue) = self.queues.get_mut(shard) else { return };
        queue.charge(waiter, now);
        self.leave(shard, waiter.ticket, now);
        self.wake_first(shard, now);
    }

    /// Marks the first waiter of a shard as ready, since capacity may have become free.
    pub fn notify(&mut self, shard: &ShardId, now: Instant) {
        if let Some(queue) = self.queues.get_mut(shard) {
            queue.reset_passed();
            self.wake_first(shard, now);
        }
    }

    fn wake_first(&mut self, shard: &ShardId, now: Instant) {
        let Some(queue) = self.queues.get_mut(shard) else { return };
        queue.demote(now);
        let first = queue.first();
        if let Some(ticket) = first.filter(|_| queue.notified != first) {
            queue.notified = first;
            self.ready.push(ticket);
        }
    }

    /// Returns the waiters that were marked as ready since the last call; they are to try again.
    pub fn take_ready(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.ready)
    }

    /// Returns the work that precedes a new waiter of a rank, divided by the `slots` that serve the
    /// shard.
    #[must_use]
    pub fn delay(&self, shard: &ShardId, rank: u32, slots: u32) -> Duration {
        self.queues.get(shard).map_or(Duration::ZERO, |queue| queue.work_before(rank) / slots.max(1))
    }

    /// Returns the most work that precedes a new waiter of a rank or of any more urgent one; `None`
    /// where the shard has no waiters.
    #[must_use]
    pub fn most_work(&self, shard: &ShardId, rank: u32) -> Option<Duration> {
        let queue = self.queues.get(shard)?;
        let last = u32::try_from(self.shares.len() - 1).unwrap_or(u32::MAX);
        (0..=rank.min(last)).map(|rank| queue.work_before(rank)).max()
    }

    /// Returns how many waiters all shards have.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Returns whether nothing waits, and nothing is kept of former waiters.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty() && self.fanouts.is_empty()
    }
}
