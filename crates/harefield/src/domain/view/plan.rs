//! The plans of a lookup: the shards of each snapshot that answer it.

use std::sync::Arc;

use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::Version;
use crate::domain::resources::Lookup;

/// A shard of a plan, with its configured replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardPlan {
    /// The shard.
    pub shard: ShardId,
    /// The shard's replicas in the regions in which the lookup may be served.
    pub replicas: Vec<UpstreamId>,
    /// Whether all replicas are in other regions.
    pub outside_regions: bool,
    /// Which replicas may be queried if another daemon may query them too; `None` for all.
    pub limit: Option<ReplicaLimit>,
}

/// Which replicas a daemon may query on behalf of another one, so that both together stay within
/// the lookup's attempt limit whatever either of them does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaLimit {
    /// The replicas that the other daemon may query too.
    pub named: Vec<UpstreamId>,
    /// How many other replicas may be queried.
    pub free: u32,
}

impl ShardPlan {
    /// Applies a limit; removes replicas that it excludes.
    fn apply_limit(&mut self, limit: ReplicaLimit) {
        if limit.free == 0 {
            self.replicas.retain(|name| limit.named.contains(name));
        } else {
            self.limit = Some(limit);
        }
    }

    /// Returns the most replicas that may be queried.
    fn max_queried(&self) -> usize {
        let most = |limit: &ReplicaLimit| limit.named.len().saturating_add(limit.free as usize);
        self.limit.as_ref().map_or(usize::MAX, most).min(self.replicas.len())
    }
}

/// The shards of one snapshot that a lookup queries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The index.
    pub index: Arc<str>,
    /// The snapshot's version.
    pub version: Version,
    /// The shards, in a stable order.
    pub shards: Vec<ShardPlan>,
}

impl Plan {
    /// Returns the plan with only those replicas for which `keeps` returns true.
    #[must_use]
    pub fn filtered(mut self, keeps: impl Fn(&UpstreamId) -> bool) -> Self {
        for shard in &mut self.shards {
            let before = shard.replicas.len();
            shard.replicas.retain(&keeps);
            if let Some(limit) = &mut shard.limit {
                limit.named.retain(&keeps);
            }
            shard.outside_regions |= before > 0 && shard.replicas.is_empty();
        }
        self
    }

    /// Returns the plan for a single shard.
    #[must_use]
    pub fn single_shard(&self, shard: &ShardPlan) -> Self {
        Self { index: Arc::clone(&self.index), version: self.version, shards: vec![shard.clone()] }
    }
}

/// A lookup with the plans that can answer it.
#[derive(Clone, Debug)]
pub struct LookupPlan {
    /// The lookup's name.
    pub name: Arc<str>,
    /// The lookup's resource.
    pub lookup: Arc<Lookup>,
    /// Whether this daemon is in the cell of the lookup's index, and so may run it.
    pub member: bool,
    /// The plans, newest snapshot first; empty unless this daemon may run the lookup.
    pub plans: Vec<Arc<Plan>>,
    /// The weighted plans that requests are split over; empty if all requests use `plans`.
    pub parts: Vec<WeightedPlan>,
}

impl LookupPlan {
    /// Returns the plan for a group of shards that another daemon named, with limits for some of
    /// them by their positions in the group.
    ///
    /// Returns `None` if a shard is unknown, or if this daemon knows more replicas of a shard than
    /// may be queried and the other daemon set no limit for it: the two daemons would choose
    /// independently, and together could query more than the lookup allows.
    #[must_use]
    pub fn group_plan(
        &self,
        names: &[ShardId],
        limits: impl IntoIterator<Item = (usize, ReplicaLimit)>,
    ) -> Option<Plan> {
        let whole = self.plans.first()?;
        let find = |name: &ShardId| whole.shards.iter().find(|shard| shard.shard == *name).cloned();
        let mut shards = names.iter().map(find).collect::<Option<Vec<_>>>()?;
        for (at, limit) in limits {
            shards.get_mut(at)?.apply_limit(limit);
        }
        let most =
            self.lookup.attempts.map_or(usize::MAX, |most| usize::try_from(most).unwrap_or(usize::MAX));
        let bounded = shards.iter().all(|shard| shard.max_queried() <= most);
        bounded.then(|| Plan { index: Arc::clone(&whole.index), version: whole.version, shards })
    }
}

/// One part of a lookup's requests.
#[derive(Clone, Debug)]
pub struct WeightedPlan {
    /// The weight, relative to the other parts.
    pub weight: u32,
    /// The plan for this part.
    pub plan: Arc<LookupPlan>,
}
