//! Which region each shard of a fan-out is delegated to, where its index isn't scheduled.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::context::StepContext;
use super::machine::Fanout;
use crate::domain::event::Sink;
use crate::domain::routing::PendingShard;
use crate::domain::view::ShardPlan;

/// The smallest group worth delegating: a single shard costs as many bytes either way, and a hop
/// more.
const MIN_GROUP: usize = 2;

impl Fanout {
    /// Groups the shards by the region of their nearest replicas. Shards without a daemon to
    /// delegate them to are returned separately.
    pub(super) fn by_region<S: Sink>(
        &self,
        step: &mut StepContext<'_, S>,
    ) -> (BTreeMap<Arc<str>, Vec<PendingShard>>, Vec<usize>) {
        let own = Arc::clone(step.router.local_zone());
        let home = step.router.region_of(&own);
        let typical = step.router.latency(&self.rules.kind).mean().as_secs_f64();
        let mut regions: BTreeMap<Arc<str>, Vec<PendingShard>> = BTreeMap::new();
        let mut away: BTreeMap<usize, Vec<Arc<str>>> = BTreeMap::new();
        for (index, ShardPlan { shard, replicas, .. }) in self.open_shards() {
            if let Some(found) = step.router.remote_zones(replicas, typical, step.now) {
                away.insert(index, found);
                continue;
            }
            let pending = PendingShard { index, shard: Arc::clone(shard), zone: Arc::clone(&own) };
            regions.entry(Arc::clone(&home)).or_default().push(pending);
        }
        while let Some((zone, shards)) = largest_zone(&away, &self.plan.index, &self.rules.kind, step) {
            let pending = regions.entry(step.router.region_of(&zone)).or_default();
            for index in shards {
                away.remove(&index);
                pending.push(PendingShard { index, shard: self.name(index), zone: Arc::clone(&zone) });
            }
        }
        (regions, away.into_keys().collect())
    }
}

/// Returns the zone with replicas of the most distant shards, and those shards; `None` if no zone
/// has enough. Ties are broken at random.
fn largest_zone<S: Sink>(
    zones: &BTreeMap<usize, Vec<Arc<str>>>,
    index: &str,
    kind: &Arc<str>,
    step: &mut StepContext<'_, S>,
) -> Option<(Arc<str>, Vec<usize>)> {
    let mut counts: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    for zone in zones.values().flatten() {
        *counts.entry(zone).or_default() += 1;
    }
    let usable = step.router.relay_zones(index, kind, step.now);
    counts.retain(|zone, count| *count >= MIN_GROUP && usable.contains(zone));
    let most = counts.values().copied().max()?;
    let equal: Vec<&Arc<str>> =
        counts.iter().filter(|(_, count)| **count == most).map(|(zone, _)| *zone).collect();
    let zone = Arc::clone(equal[step.router.draw_below(equal.len())]);
    let in_zone = zones.iter().filter(|(_, found)| found.contains(&zone));
    let shards = in_zone.map(|(shard, _)| *shard).collect();
    Some((zone, shards))
}
