//! The choice of the one snapshot that an answer is computed from.

use std::sync::Arc;

use super::ids::UpstreamId;
use super::ids::Version;
use super::ratio;
use super::view::Plan;

/// Chooses the newest snapshot for which every shard has a usable replica. If there is none,
/// chooses the one that covers the most shards.
///
/// `usable` returns whether an upstream may be queried at a version. `plans` are ordered from
/// newest to oldest.
pub fn choose<F>(plans: &[Arc<Plan>], usable: F) -> Option<&Arc<Plan>>
where
    F: Fn(&UpstreamId, Version) -> bool,
{
    let mut best: Option<(f64, &Arc<Plan>)> = None;
    for plan in plans {
        let share = coverage(plan, &usable);
        if share >= 1.0 {
            return Some(plan);
        }
        if best.is_none_or(|(highest, _)| share > highest) {
            best = Some((share, plan));
        }
    }
    best.map(|(_, plan)| plan)
}

fn coverage<F>(plan: &Plan, usable: &F) -> f64
where
    F: Fn(&UpstreamId, Version) -> bool,
{
    let usable_shards = plan
        .shards
        .iter()
        .filter(|shard| shard.replicas.iter().any(|replica| usable(replica, plan.version)))
        .count();
    ratio(usable_shards, plan.shards.len())
}
