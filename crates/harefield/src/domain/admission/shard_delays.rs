//! The queueing delays of one shard, by rank.

use std::time::Duration;
use std::time::Instant;

use crate::domain::ids::ShardId;

/// A delay is assumed to fall by its whole length in this many times its length. Other members
/// admit requests between two reports as well: while all of them counted on a queue that drains at
/// its full rate, they admitted twice what a shard in overload served in time.
pub(super) const DRAIN_FACTOR: u32 = 2;

/// The queueing delays of one shard.
///
/// A delay is kept as the time at which it will have fallen to zero.
#[derive(Clone, Debug)]
pub(super) struct ShardDelays {
    pub shard: ShardId,
    /// When the delay of each rank will have fallen to zero, by ascending rank.
    ranks: Vec<(u32, Instant)>,
    /// When the delay was last reported, or a request last admitted to the shard.
    asked: Instant,
}

impl ShardDelays {
    pub fn new(shard: ShardId, now: Instant) -> Self {
        Self { shard, ranks: Vec::new(), asked: now }
    }

    /// Returns the delay of a new request: the longest of its own rank and of all more urgent
    /// ones. A less urgent rank's delay says nothing about it.
    pub fn delay(&self, rank: u32, now: Instant) -> Duration {
        let counted = self.ranks.iter().take_while(|(other, _)| *other <= rank);
        counted
            .map(|(_, at)| *at)
            .max()
            .map_or(Duration::ZERO, |at| at.saturating_duration_since(now) / DRAIN_FACTOR)
    }

    /// Replaces the delay of a rank by a reported one.
    pub fn report(&mut self, rank: u32, delay: Duration, now: Instant) {
        self.set(rank, now + delay * DRAIN_FACTOR);
        self.ranks.retain(|(_, at)| *at > now);
        self.asked = now;
    }

    /// Adds the work of an admitted request to the delays of its rank and of less urgent ones; a
    /// rank without a delay is left without one.
    pub fn charge(&mut self, rank: u32, work: Duration, now: Instant) {
        self.asked = now;
        let delay = self.delay(rank, now);
        for (_, at) in self.ranks.iter_mut().filter(|(other, at)| *other > rank && *at > now) {
            *at += work * DRAIN_FACTOR;
        }
        if !delay.is_zero() {
            self.set(rank, now + (delay + work) * DRAIN_FACTOR);
        }
    }

    /// Returns whether every delay has fallen to zero.
    pub fn is_drained(&self, now: Instant) -> bool {
        self.ranks.iter().all(|(_, at)| *at <= now)
    }

    /// Returns how long ago the delay was reported, or a request last admitted to the shard.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.asked)
    }

    fn set(&mut self, rank: u32, at: Instant) {
        match self.ranks.binary_search_by_key(&rank, |(other, _)| *other) {
            Ok(found) => self.ranks[found].1 = at,
            Err(place) => self.ranks.insert(place, (rank, at)),
        }
    }
}
