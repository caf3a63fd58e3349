//! The rules for answering a request, and when an answer is given although shards are missing.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::domain::ratio;
use crate::domain::resources::Preference;

/// A time-first answer is cut early once this percentage of the shards has contributed.
const EARLY_CUTOFF_PERCENT: usize = 90;

/// A time-first answer may be cut once the deadline's time divided by this has passed.
const EARLY_CUTOFF_DIVISOR: u32 = 2;

/// A group may lack this many times its proportional share of the shards that an answer may lack,
/// because slow upstreams are not spread evenly over groups.
const UNEVEN_FACTOR: usize = 2;

/// The most attempts per shard for lookups that don't set a limit.
pub const MAX_ATTEMPTS: u32 = 6;

/// The rules by which one request is answered.
#[derive(Clone, Debug)]
pub struct AnswerRules {
    /// The kind of request (the lookup's name), which selects the latency statistics.
    pub kind: Arc<str>,
    /// The rank of its lookup; 0 is the most urgent.
    pub rank: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether time or coverage has priority.
    pub prefer: Preference,
    /// When the request was admitted.
    pub start: Instant,
    /// When it must be answered.
    pub deadline: Instant,
    /// A hedge is due after this many times the slow latency; `None` disables hedges.
    pub hedge_factor: Option<f64>,
    /// A fixed delay before hedges, used instead of `hedge_factor` as a baseline in measurements.
    pub fixed_delay: Option<Duration>,
    /// When an answer with enough shards is given although others are outstanding; `None` applies
    /// the rule of `prefer`.
    pub objective: Option<Instant>,
    /// When that answer is cut, so that it is sent by the objective.
    pub cutoff: Option<Instant>,
    /// The smallest share of the shards that makes an answer.
    pub min_share: f64,
    /// The fan-out ends once fewer shards than this can still contribute; `None` for as many as
    /// make an answer. For a group this is lower, since other groups may compensate for its missing
    /// shards.
    pub min_possible: Option<usize>,
    /// The positions of the shards that are left out before anything is sent, since they cannot
    /// answer in time. They count among the shards that the answer may lack.
    pub left_out: Vec<usize>,
    /// Whether distant shards are delegated in groups.
    pub grouped: bool,
    /// Whether another daemon has already queried these shards for the same request. First attempts
    /// then add nothing to the retry budgets.
    pub repeated: bool,
    /// The most attempts per shard, including probes.
    pub attempts: u32,
    /// How many single trial attempts this daemon may make after an upstream crashed and none
    /// answered. Zero for a group: the daemon that delegated it makes them.
    pub trials: u32,
}

impl AnswerRules {
    /// Returns when the answer is cut, given how many of `total` shards have contributed.
    ///
    /// With an objective, that is `cutoff` once enough shards have contributed, and the deadline
    /// before. Without one, if coverage has priority or the request may run only once, that is the
    /// deadline. If time has priority, it is half of the time until the deadline once nearly all
    /// shards have contributed.
    #[must_use]
    pub fn cutoff_at(&self, contributed: usize, total: usize) -> Instant {
        if let Some(cut) = self.cutoff {
            let enough = contributed >= self.min_shards(total);
            return if enough { cut.min(self.deadline) } else { self.deadline };
        }
        let enough = contributed * 100 >= total * EARLY_CUTOFF_PERCENT;
        if self.prefer == Preference::Time && self.repeatable && enough {
            return self.start + self.deadline.saturating_duration_since(self.start) / EARLY_CUTOFF_DIVISOR;
        }
        self.deadline
    }

    /// Returns how many shards of a group must have contributed before its daemon answers without
    /// the others, for a fan-out over `total` shards.
    ///
    /// If six groups share a fan-out that may lack 27 of 180 shards, each may lack only some of
    /// them: if each lacked 27, there would be too few for an answer.
    #[must_use]
    pub fn needed(&self, group: usize, total: usize) -> usize {
        let lacking = self.may_lack(total);
        let part = (lacking * group * UNEVEN_FACTOR).div_ceil(total.max(1));
        group.saturating_sub(lacking.min(part))
    }

    /// Returns how many shards of a group must be able to contribute for the whole fan-out to get
    /// an answer, if all other shards contribute.
    #[must_use]
    pub fn min_possible(&self, group: usize, total: usize) -> usize {
        group.saturating_sub(self.may_lack(total))
    }

    /// Returns how many of the shards that are queried an answer may lack.
    fn may_lack(&self, total: usize) -> usize {
        total.saturating_sub(self.min_shards(total) + self.left_out.len())
    }

    /// Returns how many of `total` shards make an answer; at least one.
    #[must_use]
    pub fn min_shards(&self, total: usize) -> usize {
        let share = |count: usize| ratio(count, total);
        (1..=total).find(|count| share(*count) >= self.min_share).unwrap_or(total).max(1)
    }
}
