//! When the answer is given although shards are missing.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::domain::ratio;
use crate::domain::resources::Preference;

/// A time-first answer is cut early once this share of the shards, in percent,
/// has contributed.
const EARLY_CUTOFF_PERCENT: usize = 90;

/// A time-first answer may be cut after this part of its time.
const EARLY_CUTOFF_DIVISOR: u32 = 2;

/// A group may lack this many times its even part of what an answer may lack: slow
/// upstreams are not spread evenly.
const UNEVEN_FACTOR: usize = 2;

/// The most attempts on one shard where the lookup names no number.
pub const MAX_ATTEMPTS: u32 = 6;

/// The rules that one request is answered by.
#[derive(Clone, Debug)]
pub struct AnswerRules {
    /// The kind of request, for its pace.
    pub kind: Arc<str>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether time or coverage goes first.
    pub prefer: Preference,
    /// When the request was let in.
    pub start: Instant,
    /// When it must be answered.
    pub deadline: Instant,
    /// After how many times the slow pace a hedge is due; none for no hedges.
    pub hedge_factor: Option<f64>,
    /// A fixed delay before hedges instead; a baseline for measurements.
    pub fixed_delay: Option<Duration>,
    /// When an answer that has enough shards is given, though others are
    /// awaited; none for the preference's own rule.
    pub objective: Option<Instant>,
    /// When that answer is cut, so that it goes out by the objective.
    pub cutoff: Option<Instant>,
    /// The least share of the shards that makes an answer.
    pub min_share: f64,
    /// How many shards must still be possible; once fewer are, the fan-out ends. None for
    /// as many as make an answer. A group whose part is lost may be made up for by others.
    pub min_possible: Option<usize>,
    /// Whether far shards are handed on in groups.
    pub grouped: bool,
    /// Whether another daemon asked these shards for the same request before:
    /// first attempts earn nothing then.
    pub repeated: bool,
    /// The most attempts on one shard, probes included.
    pub attempts: u32,
    /// How many upstreams this daemon may ask alone where some ended and nobody has
    /// answered. For a group none: the daemon that handed it on does.
    pub trials: u32,
}

impl AnswerRules {
    /// Returns when the answer is cut, given how many of `total` shards have
    /// contributed.
    ///
    /// Where an objective is set, that is early enough for it once enough shards are in.
    /// Where coverage goes first, or the request runs only once, that is the
    /// deadline. Where time goes first, waiting for the last stragglers ends
    /// half-way, once nearly all shards have contributed.
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

    /// Returns how many shards of a group of a fan-out over `total` must be in before its
    /// daemon answers without the others.
    ///
    /// Where six groups share a fan-out that may lack 27 of 180 shards, each may lack a
    /// part of them; if each lacked all 27, the answer would be none.
    #[must_use]
    pub fn needed(&self, group: usize, total: usize) -> usize {
        let lacking = total - self.min_shards(total);
        let part = (lacking * group * UNEVEN_FACTOR).div_ceil(total.max(1));
        group.saturating_sub(lacking.min(part))
    }

    /// Returns how many shards of a group must be possible for the whole to be an answer,
    /// if all others come.
    #[must_use]
    pub fn min_possible(&self, group: usize, total: usize) -> usize {
        group.saturating_sub(total - self.min_shards(total))
    }

    /// Returns how many of `total` shards make an answer; at least one.
    #[must_use]
    pub fn min_shards(&self, total: usize) -> usize {
        let share = |count: usize| ratio(count, total);
        (1..=total).find(|count| share(*count) >= self.min_share).unwrap_or(total).max(1)
    }
}
