//! How crowded the upstreams of an index are.

/// A fan-out counts as crowded when this share of its shards, in percent, waited.
const CROWDED_PERCENT: usize = 10;

/// The same for a fan-out that goes by an objective, and is answered without
/// some shards: a few that wait are searchers that pause, and no crowd.
const OBJECTIVE_PERCENT: usize = 50;

/// How many of a fan-out's shards had to wait for room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crowd {
    /// Shards that waited.
    pub waited: usize,
    /// All shards.
    pub shards: usize,
    /// Whether the fan-out went by an objective: its time then tells of its
    /// slowest shards and its cut, and not of a crowd.
    pub objective: bool,
}

impl Crowd {
    /// Returns whether too many waited.
    pub(super) fn is_crowded(self) -> bool {
        let percent = if self.objective { OBJECTIVE_PERCENT } else { CROWDED_PERCENT };
        self.waited > 0 && self.waited * 100 >= self.shards * percent
    }
}
