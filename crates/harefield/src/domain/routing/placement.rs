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
    /// The replicas in the region of this daemon.
    near: HashMap<ShardId, Vec<UpstreamId>>,
    /// Whether every shard has one.
    all_near: bool,
}

impl Placement {
    /// Finds the replicas in a view; `is_near` returns whether one is in the region of this daemon.
    pub fn new(view: &View, scheduling: &Scheduling, is_near: impl Fn(&UpstreamId) -> bool) -> Self {
        let mut all = Self::default();
        let scheduled = view.plans().iter().filter(|plan| scheduling.covers(&plan.index));
        for shard in scheduled.flat_map(|plan| &plan.shards) {
            let replicas = all.replicas.entry(Arc::clone(&shard.shard)).or_default();
            for name in &shard.replicas {
                if !replicas.contains(name) {
                    replicas.push(Arc::clone(name));
                    all.shards.entry(Arc::clone(name)).or_default().push(Arc::clone(&shard.shard));
                }
            }
        }
        let near = |names: &[UpstreamId]| names.iter().filter(|name| is_near(name)).cloned().collect();
        all.near = all.replicas.iter().map(|(shard, names)| (Arc::clone(shard), near(names))).collect();
        all.all_near = all.near.values().all(|names: &Vec<_>| !names.is_empty());
        all
    }

    /// Returns the replicas of a shard in the region of this daemon.
    pub fn near(&self, shard: &ShardId) -> &[UpstreamId] {
        self.near.get(shard).map_or(&[], Vec::as_slice)
    }

    /// Returns whether every shard has a replica in the region of this daemon.
    pub fn is_all_near(&self) -> bool {
        self.all_near
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
