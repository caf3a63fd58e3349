//! The plans of a lookup: which shards of which snapshots answer it.

use std::sync::Arc;

use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::Version;
use crate::domain::resources::Index;
use crate::domain::resources::Lookup;
use crate::domain::resources::Service;

/// One shard of a plan, with the replicas that are configured for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardPlan {
    /// The shard.
    pub shard: ShardId,
    /// Its replicas, in the regions in which the lookup may be served.
    pub replicas: Vec<UpstreamId>,
    /// Whether all its replicas stand in other regions.
    pub outside_regions: bool,
    /// Which of them may be asked where another daemon may ask as well; all where there is
    /// no limit.
    pub limit: Option<ReplicaLimit>,
}

/// Which replicas a daemon may ask for another one, so that both together stay within the
/// lookup's attempts whatever either of them does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaLimit {
    /// The replicas that the other daemon may ask as well.
    pub named: Vec<UpstreamId>,
    /// How many others may be asked besides.
    pub free: u32,
}

impl ShardPlan {
    /// Takes a limit; replicas that may not be asked by it are left out.
    fn apply_limit(&mut self, limit: ReplicaLimit) {
        if limit.free == 0 {
            self.replicas.retain(|name| limit.named.contains(name));
        } else {
            self.limit = Some(limit);
        }
    }

    /// Returns how many replicas are asked at the most.
    fn max_queried(&self) -> usize {
        let most = |limit: &ReplicaLimit| limit.named.len().saturating_add(limit.free as usize);
        self.limit.as_ref().map_or(usize::MAX, most).min(self.replicas.len())
    }
}

/// The shards of one snapshot that a lookup asks.
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
    /// Returns the plan with those replicas alone that `keeps` says.
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

    /// Returns the plan of one of its shards alone.
    #[must_use]
    pub fn single_shard(&self, shard: &ShardPlan) -> Self {
        Self { index: Arc::clone(&self.index), version: self.version, shards: vec![shard.clone()] }
    }
}

/// A lookup with the plans that may answer it.
#[derive(Clone, Debug)]
pub struct LookupPlan {
    /// The lookup's name.
    pub name: Arc<str>,
    /// The resource.
    pub lookup: Arc<Lookup>,
    /// Whether this daemon may run it.
    pub member: bool,
    /// The plans, newest snapshot first; none unless this daemon may run it.
    pub plans: Vec<Arc<Plan>>,
    /// The parts that its requests are divided over, with their weights; none
    /// where all go by its own plans.
    pub parts: Vec<WeightedPlan>,
    /// What the plans were worked out from, to tell whether it changed.
    pub(super) inputs: PlanInputs,
}

impl LookupPlan {
    /// Returns the plan of a group of shards that another daemon names, with the limits on
    /// some of them by their places in the group.
    ///
    /// There is none where a shard is not known, or where this daemon knows more replicas
    /// of one than may be asked and that daemon did not say which: the two would choose
    /// theirs apart, and together ask more than the lookup allows.
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
    /// Its weight, relative to the other parts'.
    pub weight: u32,
    /// How it is answered.
    pub plan: Arc<LookupPlan>,
}

/// The upstreams that hold a shard by their own word; none where none does.
pub(super) type Holders = Option<Arc<[UpstreamId]>>;

/// The resources that a lookup's plans were worked out from.
#[derive(Clone, Debug, Default)]
pub(super) struct PlanInputs {
    pub(super) indexes: Vec<Arc<Index>>,
    pub(super) services: Vec<Arc<Service>>,
    pub(super) holders: Vec<Holders>,
    /// The availability zones of the replicas, where the lookup may be served in some
    /// regions only.
    pub(super) zones: Vec<Option<Arc<str>>>,
}

impl PlanInputs {
    /// Returns whether nothing was replaced, not even by an equal value.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        let same_holders = |(a, b): (&Holders, &Holders)| match (a, b) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        };
        self.zones == other.zones
            && same_items(&self.indexes, &other.indexes)
            && same_items(&self.services, &other.services)
            && self.holders.len() == other.holders.len()
            && self.holders.iter().zip(&other.holders).all(same_holders)
    }
}

fn same_items<T>(own: &[Arc<T>], other: &[Arc<T>]) -> bool {
    own.len() == other.len() && own.iter().zip(other).all(|(a, b)| Arc::ptr_eq(a, b))
}
