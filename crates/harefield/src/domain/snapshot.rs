//! The choice of the one snapshot that an answer is drawn from.

use std::sync::Arc;

use super::ids::UpstreamId;
use super::ids::Version;
use super::ratio;
use super::view::Plan;

/// Chooses the newest snapshot that every shard can be asked at; where there
/// is none, the one that most shards can be asked at.
///
/// `usable` says whether an upstream may be asked at a version. `plans` are in
/// order of age, newest first.
pub fn choose<F>(plans: &[Arc<Plan>], usable: F) -> Option<&Arc<Plan>>
where
    F: Fn(&UpstreamId, Version) -> bool,
{
    let mut best: Option<(f64, &Arc<Plan>)> = None;
    for plan in plans {
        let part = covered(plan, &usable);
        if part >= 1.0 {
            return Some(plan);
        }
        if best.is_none_or(|(most, _)| part > most) {
            best = Some((part, plan));
        }
    }
    best.map(|(_, plan)| plan)
}

fn covered<F>(plan: &Plan, usable: &F) -> f64
where
    F: Fn(&UpstreamId, Version) -> bool,
{
    let can = plan
        .shards
        .iter()
        .filter(|shard| shard.replicas.iter().any(|replica| usable(replica, plan.version)))
        .count();
    ratio(can, plan.shards.len())
}
