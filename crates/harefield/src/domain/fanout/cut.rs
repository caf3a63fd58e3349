//! When the answer is given although shards are missing.

use std::time::Duration;
use std::time::Instant;

use crate::domain::resources::Preference;

/// A time-first answer is cut early once this share of the shards, in percent,
/// has contributed.
const ENOUGH_PERCENT: usize = 90;

/// A time-first answer may be cut after this part of its time.
const EARLY_PART: u32 = 2;

/// The rules that one request is answered by.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether time or coverage goes first.
    pub prefer: Preference,
    /// When the request was let in.
    pub start: Instant,
    /// When it must be answered.
    pub deadline: Instant,
    /// After how many times the slow pace a hedge is due; none for no hedges.
    pub hedge: Option<f64>,
    /// A fixed delay before hedges instead; a baseline for measurements.
    pub fixed: Option<Duration>,
}

impl Rules {
    /// Returns when the answer is cut, given how many of `total` shards have
    /// contributed.
    ///
    /// Where coverage goes first, or the request runs only once, that is the
    /// deadline. Where time goes first, waiting for the last stragglers ends
    /// half-way, once nearly all shards have contributed.
    #[must_use]
    pub fn cut_at(&self, contributed: usize, total: usize) -> Instant {
        let enough = contributed * 100 >= total * ENOUGH_PERCENT;
        if self.prefer == Preference::Time && self.repeatable && enough {
            return self.start + self.deadline.saturating_duration_since(self.start) / EARLY_PART;
        }
        self.deadline
    }
}
