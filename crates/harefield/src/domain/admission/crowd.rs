//! How crowded the upstreams of an index are.

use std::time::Duration;

/// A fan-out counts as crowded when this share of its shards, in percent, waited.
const CROWDED_PERCENT: usize = 10;

/// The same for a fan-out that goes by an objective, and whose half was late besides: far
/// shards of a short objective look late without a queue. Without it worth fell by up to
/// 0.06 on played days with slow upstreams and the usual load.
const WAITED_PERCENT: usize = 20;

/// A fan-out that goes by an objective counts as crowded when half of its shards took more
/// than this part of the time until its cut, in percent. The other half needs as long
/// again where a queue is in front of all; upstreams that are slow or pause are among the
/// last half, and say nothing of a queue.
///
/// At sixteen times the usual load, 404 of 3,670 callers were in time over 2 s in place of
/// none (a played burst, seven daemons over 20 shards of two upstreams).
const HALFWAY_PERCENT: u32 = 75;

/// How a fan-out got on that went by an objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// How long it took until half of its shards were in; so far, where they are not.
    pub half: Duration,
    /// The same until enough for an answer were in: what is awaited after that takes until
    /// the cut where a single upstream is slow, and says nothing of what a request needs.
    pub enough: Duration,
    /// The time until the answer is cut, of a request that waits for nothing first.
    pub allowed: Duration,
}

impl Progress {
    /// Returns whether the second half will hardly be in by the cut.
    fn is_late(self) -> bool {
        self.half > self.allowed * HALFWAY_PERCENT / 100
    }
}

/// How a fan-out found the upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Congestion {
    /// Shards that waited for room.
    pub waited: usize,
    /// All shards.
    pub shards: usize,
    /// Whether the fan-out went by an objective: its time then tells of its
    /// slowest shards and its cut, and not of a crowd.
    pub objective: bool,
    /// How it got on, where it went by an objective.
    pub progress: Option<Progress>,
}

impl Congestion {
    /// Returns whether too many requests are with the upstreams.
    pub(super) fn is_crowded(self) -> bool {
        if self.objective {
            let waited = self.shards == 1 || self.waited * 100 >= self.shards * WAITED_PERCENT;
            return waited && self.progress.is_some_and(Progress::is_late);
        }
        self.waited > 0 && self.waited * 100 >= self.shards * CROWDED_PERCENT
    }
}
