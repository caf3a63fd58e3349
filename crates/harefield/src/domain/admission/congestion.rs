//! Congestion of the upstreams of an index, as fan-outs observe it.

use std::time::Duration;

/// A fan-out without an objective counts as congested when at least this percentage of its
/// shards waited.
const CONGESTED_PERCENT: usize = 10;

/// The same threshold for a fan-out with an objective, whose first half must also have been
/// late: under a short objective, distant shards look late without any queue. Without this
/// condition, the value of the answers fell by up to 0.06 on simulated days with slow upstreams
/// and the usual load.
const WAITED_PERCENT: usize = 20;

/// A fan-out with an objective counts as late when half of its shards took more than this
/// percentage of the time until its cut. Where all shards are queued, the other half takes as
/// long again. Slow or paused upstreams are in the last half and say nothing about queueing.
///
/// In a simulated burst at sixteen times the usual load (seven daemons, 20 shards with two
/// upstreams each), 404 of 3,670 callers were answered in time over 2 s; without it, none.
const HALFWAY_PERCENT: u32 = 75;

/// The timing of a fan-out that had an objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The time until half of its shards were in, or the time so far if they are not.
    pub half: Duration,
    /// The same until enough shards for an answer were in. The time after that is left out:
    /// with a single slow upstream it lasts until the cut, and doesn't show what a request needs.
    pub enough: Duration,
    /// The time until the answer is cut, for a request that did not wait at the gate.
    pub allowed: Duration,
}

impl Progress {
    /// Returns whether the second half is unlikely to be in by the cut.
    fn is_late(self) -> bool {
        self.half > self.allowed * HALFWAY_PERCENT / 100
    }
}

/// The congestion that one fan-out met at the upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Congestion {
    /// The number of shards that waited for capacity.
    pub waited: usize,
    /// The number of all shards.
    pub shards: usize,
    /// Whether the fan-out had an objective. Its duration then depends on its slowest shards
    /// and its cut, and is no sign of congestion.
    pub objective: bool,
    /// Its timing; absent where its answer had no cut or it had not begun.
    pub progress: Option<Progress>,
}

impl Congestion {
    /// Returns whether the upstreams have too many requests.
    pub(super) fn is_congested(self) -> bool {
        if self.objective {
            let waited = self.shards == 1 || self.waited * 100 >= self.shards * WAITED_PERCENT;
            return waited && self.progress.is_some_and(Progress::is_late);
        }
        self.waited > 0 && self.waited * 100 >= self.shards * CONGESTED_PERCENT
    }
}
