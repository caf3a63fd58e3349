//! Which indexes are scheduled: their requests wait at one daemon of each region for the slots of
//! the replica there.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::domain::ids::ShardId;
use crate::domain::topology::Topology;
use crate::domain::view::LookupPlan;
use crate::domain::view::View;

/// The weights of the ranks that are used where the settings state none.
///
/// Requests past their objective get a small share: with a seventh, they used up capacity in overload
/// that others needed to be in time, which then were late as well.
const DEFAULT_SHARES: [u32; 4] = [64, 32, 16, 1];

/// Indexes with fewer shards are not scheduled by default: one daemon queries all of them.
const MIN_SHARDS: usize = 40;

/// Decides which indexes are scheduled, and holds the weights of the ranks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scheduling {
    enabled: bool,
    shares: Vec<u32>,
    min_shards: usize,
    indexes: HashMap<Arc<str>, ScheduledIndex>,
}

/// What is known of a scheduled index.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ScheduledIndex {
    /// All shards of its plans, in the order of their names.
    shards: Arc<[ShardId]>,
    /// The shortest objective of its lookups.
    objective: Duration,
}

impl Default for Scheduling {
    fn default() -> Self {
        Self::new(false, &DEFAULT_SHARES)
    }
}

impl Scheduling {
    /// Creates the scheduling of a router, without any index. `shares` are the weights of the
    /// ranks, the most urgent first; the last one applies to all further ranks.
    #[must_use]
    pub fn new(enabled: bool, shares: &[u32]) -> Self {
        let shares = if shares.is_empty() { DEFAULT_SHARES.to_vec() } else { shares.to_vec() };
        Self { enabled, shares, min_shards: MIN_SHARDS, indexes: HashMap::new() }
    }

    /// Sets the fewest shards of an index that is scheduled.
    #[must_use]
    pub fn with_min_shards(mut self, min_shards: usize) -> Self {
        self.min_shards = min_shards;
        self
    }

    /// Returns whether indexes may be scheduled.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Returns the fewest shards of an index that is scheduled.
    #[must_use]
    pub fn min_shards(&self) -> usize {
        self.min_shards
    }

    /// Returns the weights of the ranks, the most urgent first.
    #[must_use]
    pub fn shares(&self) -> &[u32] {
        &self.shares
    }

    /// Returns whether an index is scheduled.
    #[must_use]
    pub fn covers(&self, index: &str) -> bool {
        self.indexes.contains_key(index)
    }

    /// Returns all shards of a scheduled index in the order of their names.
    pub(super) fn shards(&self, index: &str) -> Option<Arc<[ShardId]>> {
        self.indexes.get(index).map(|index| Arc::clone(&index.shards))
    }

    /// Returns the shortest objective of the lookups of a scheduled index.
    pub(super) fn objective(&self, index: &str) -> Duration {
        self.indexes.get(index).map_or(Duration::ZERO, |index| index.objective)
    }

    /// Applies a new view.
    pub(super) fn apply(&mut self, view: &View, topology: &Topology) {
        self.indexes.clear();
        if !self.enabled {
            return;
        }
        let regions: HashSet<&Arc<str>> = topology.regions.values().collect();
        let suitable = view.lookups.values().filter(|plan| is_suitable(plan, self.min_shards, regions.len()));
        let names: BTreeSet<&str> = suitable.map(|plan| plan.lookup.index.as_str()).collect();
        let index =
            |name| ScheduledIndex { shards: shards_of(view, name), objective: objective_of(view, name) };
        self.indexes.extend(names.into_iter().map(|name| (name.into(), index(name))));
    }
}

/// Returns whether the shards of a lookup are scheduled in a fleet of `regions` regions, if it has
/// at least `min_shards`.
///
/// The lookup must have an objective and be wide. A region must have at most one replica of a shard,
/// so that its requests compete for that one; and a request must not be able to try all replicas,
/// since it could otherwise simply move on to the next one.
fn is_suitable(plan: &LookupPlan, min_shards: usize, regions: usize) -> bool {
    let (Some(attempts), Some(newest)) = (plan.lookup.attempts, plan.plans.first()) else { return false };
    let attempts = usize::try_from(attempts).unwrap_or(usize::MAX);
    let replicas = || newest.shards.iter().map(|shard| shard.replicas.len());
    plan.lookup.objective_ms.is_some()
        && newest.shards.len() >= min_shards
        && replicas().any(|count| count > attempts)
        && replicas().all(|count| count <= regions)
}

/// Returns the shortest objective of the lookups of an index.
fn objective_of(view: &View, index: &str) -> Duration {
    let lookups = view.lookups.values().filter(|plan| plan.lookup.index == *index);
    let shortest = lookups.filter_map(|plan| plan.lookup.objective_ms).min();
    Duration::from_millis(shortest.unwrap_or(0))
}

/// Returns the shards of all plans of an index, of each snapshot, in the order of their names.
fn shards_of(view: &View, index: &str) -> Arc<[ShardId]> {
    let plans = view.plans().iter().filter(|plan| *plan.index == *index);
    let shards: BTreeSet<&ShardId> = plans.flat_map(|plan| &plan.shards).map(|plan| &plan.shard).collect();
    shards.into_iter().map(Arc::clone).collect()
}
