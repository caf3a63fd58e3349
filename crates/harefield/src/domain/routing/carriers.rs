//! Carriers: the daemons of a region that the requests for a scheduled index's shards go through.
//!
//! All requests of a region for a shard go through its carrier, so that one queue orders them and one
//! daemon counts what is in flight at the replica. Every daemon computes the same carriers from the
//! same members, without any message.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;

use crate::domain::cell::weight;
use crate::domain::ids::HostId;
use crate::domain::ids::ShardId;

/// A carrier has at least this percentage of the capacity of the largest candidate. A small daemon
/// beside large ones would take a few shards, and delay every fan-out that needs them.
const MIN_CAPACITY_PERCENT: u64 = 50;

/// A carrier takes at most this percentage of its share by capacity.
///
/// With 135 shards and eight equal carriers, 1.2 shards of the others move on average when one goes,
/// and 6.2 with 100 percent; without a bound, some carrier takes 32 shards, not 21.
const BOUND_PERCENT: u64 = 120;

/// A daemon of a region that may carry shards.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CarrierCandidate {
    /// The name of the daemon.
    pub host: HostId,
    /// Its CPU capacity, in thousandths of a core.
    pub capacity: u32,
}

/// Shards whose replicas are in one availability zone, with the daemons that may carry them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CarrierGroup {
    /// The shards.
    pub shards: Vec<ShardId>,
    /// The daemons.
    pub candidates: Vec<CarrierCandidate>,
}

/// The assignment of an index's shards to the daemons of one region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Carriers {
    candidates: Vec<CarrierCandidate>,
    assigned: HashMap<ShardId, usize>,
}

impl Carriers {
    /// Assigns shards to candidates, by rendezvous hashing weighted and bounded by capacity. The
    /// order of either doesn't matter.
    #[must_use]
    pub fn assign(shards: &[ShardId], candidates: &[CarrierCandidate]) -> Self {
        let candidates = distinct(large(candidates).cloned());
        let mut shards: Vec<&ShardId> = shards.iter().collect();
        shards.sort_unstable();
        shards.dedup();
        let total: u64 = candidates.iter().map(capacity).sum();
        let bound = |candidate| {
            let bound =
                (shards.len() as u64 * capacity(candidate) * BOUND_PERCENT).div_ceil(total.max(1) * 100);
            usize::try_from(bound).unwrap_or(usize::MAX)
        };
        let mut room: Vec<usize> = candidates.iter().map(bound).collect();
        let mut assigned = HashMap::with_capacity(shards.len());
        for shard in shards {
            let Some(best) = best(shard, &candidates, |at| room[at] > 0) else { continue };
            room[best] -= 1;
            assigned.insert(Arc::clone(shard), best);
        }
        Self { candidates, assigned }
    }

    /// Assigns the shards of each group to its candidates. Where none of these is available, any
    /// candidate of the others takes their place.
    #[must_use]
    pub fn assign_groups(groups: &[CarrierGroup]) -> Self {
        let parts: Vec<Self> =
            groups.iter().map(|group| Self::assign(&group.shards, &group.candidates)).collect();
        let candidates = distinct(parts.iter().flat_map(|part| part.candidates.iter().cloned()));
        let position = |host: &HostId| candidates.iter().position(|candidate| candidate.host == *host);
        let assigned = parts.iter().flat_map(|part| {
            let found = |(shard, at): (&ShardId, &usize)| {
                Some((Arc::clone(shard), position(&part.candidates[*at].host)?))
            };
            part.assigned.iter().filter_map(found)
        });
        let assigned = assigned.collect();
        Self { candidates, assigned }
    }

    /// Returns the capacity of the candidates that would carry shards, in thousandths of a core.
    #[must_use]
    pub fn capacity(candidates: &[CarrierCandidate]) -> u64 {
        large(candidates).map(capacity).sum()
    }

    /// Returns the daemon that carries a shard, of those that are `available`.
    ///
    /// The shards of a carrier that isn't available go to the next one of each shard's own order,
    /// without a bound: this lasts only until the members show that it is gone, and must not move
    /// any other shard.
    #[must_use]
    pub fn carrier(&self, shard: &ShardId, available: impl Fn(&HostId) -> bool) -> Option<&HostId> {
        let usable = |at: usize| available(&self.candidates[at].host);
        let assigned = self.assigned.get(shard).copied().filter(|at| usable(*at));
        let at = assigned.or_else(|| best(shard, &self.candidates, usable))?;
        Some(&self.candidates[at].host)
    }
}

/// Returns the candidates in the order of their names, each once.
fn distinct(candidates: impl Iterator<Item = CarrierCandidate>) -> Vec<CarrierCandidate> {
    let mut candidates: Vec<_> = candidates.collect();
    candidates.sort_unstable();
    candidates.dedup_by(|a, b| a.host == b.host);
    candidates
}

/// Returns the candidates with enough capacity to carry shards.
fn large(candidates: &[CarrierCandidate]) -> impl Iterator<Item = &CarrierCandidate> {
    let largest = candidates.iter().map(capacity).max().unwrap_or(0);
    candidates.iter().filter(move |candidate| capacity(candidate) * 100 >= largest * MIN_CAPACITY_PERCENT)
}

fn capacity(candidate: &CarrierCandidate) -> u64 {
    u64::from(candidate.capacity.max(1))
}

/// Returns the candidate with the highest weight for a shard, of those that `may` take it.
fn best(shard: &str, candidates: &[CarrierCandidate], may: impl Fn(usize) -> bool) -> Option<usize> {
    let order = |a: &(usize, f64), b: &(usize, f64)| match a.1.total_cmp(&b.1) {
        Ordering::Equal => b.0.cmp(&a.0),
        other => other,
    };
    let open = candidates.iter().enumerate().filter(|(at, _)| may(*at));
    let weights = open.map(|(at, candidate)| (at, weighted(shard, candidate)));
    weights.max_by(order).map(|(at, _)| at)
}

/// Returns the weight of a candidate for a shard: `-capacity / ln(u)` for a hash `u` in 0..1. The
/// probability of the highest weight is then proportional to the capacity.
fn weighted(shard: &str, candidate: &CarrierCandidate) -> f64 {
    const BITS: i32 = 52;
    #[expect(clippy::cast_precision_loss, reason = "the value has 52 bits")]
    let hash = (weight(shard, &candidate.host) >> (64 - BITS)) as f64;
    let unit = (hash + 0.5) / 2.0_f64.powi(BITS);
    -f64::from(candidate.capacity.max(1)) / unit.ln()
}
