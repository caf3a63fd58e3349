//! Which upstreams hold the shards of the scheduled indexes, to know whose requests wait for an
//! upstream and how many slots serve a shard.

use std::collections::HashMap;
use std::sync::Arc;

use super::scheduling::Scheduling;
use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;
use crate::domain::view::View;

/// The replicas of the shards of the scheduled indexes.
#[derive(Debug, Default)]
pub(super) struct Placement {
    replicas: HashMap<ShardId, Vec<UpstreamId>>,
    shards: HashMap<UpstreamId, Vec<ShardId>>,
}

impl Placement {
    pub fn new(view: &View, scheduling: &Scheduling) -> Self {
        let mut all = Self::default();
        let scheduled = view.lookups.values().filter(|plan| scheduling.covers(&plan.lookup.index));
        for shard in scheduled.flat_map(|plan| &plan.plans).flat_map(|plan| &plan.shards) {
            let replicas = all.replicas.entry(Arc::clone(&shard.shard)).or_default();
            for name in &shard.replicas {
                if !replicas.contains(name) {
                    replicas.push(Arc::clone(name));
                    all.shards.entry(Arc::clone(name)).or_default().push(Arc::clone(&shard.shard));
                }
            }
        }
        all
    }

    /// Returns the replicas of a shard.
    pub fn replicas_of(&self, shard: &ShardId) -> &[UpstreamId] {
        self.replicas.get(shard).map_or(&[], Vec::as_slice)
    }

    /// Returns the shards that an upstream holds.
    pub fn shards_of(&self, upstream: &UpstreamId) -> &[ShardId] {
        self.shards.get(upstream).map_or(&[], Vec::as_slice)
    }
}
