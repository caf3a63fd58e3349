//! Delegates the shards of a scheduled index to their carriers.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::context::StepContext;
use super::machine::Fanout;
use crate::domain::event::Sink;
use crate::domain::ids::HostId;
use crate::domain::ids::ShardId;
use crate::domain::routing::Carriers;
use crate::domain::routing::PendingShard;
use crate::domain::routing::Router;
use crate::domain::view::ShardPlan;

/// The carriers of the regions that a fan-out needs, each looked up once.
type RegionCarriers = BTreeMap<Arc<str>, Option<Arc<Carriers>>>;

impl Fanout {
    /// Sends each shard to its carrier, in one group for each daemon; returns those that this daemon
    /// carries or that nobody else can take.
    ///
    /// Groups of a single shard are sent too: all requests for a shard go through its carrier.
    pub(super) fn delegate_carried<S: Sink>(&mut self, step: &mut StepContext<'_, S>) -> Vec<usize> {
        let own_zone = Arc::clone(step.router.local_zone());
        let home = step.router.region_of(&own_zone);
        let own = Arc::clone(&step.router.local().host);
        let home_serves = self.has_replicas_in(&home, step.router);
        let typical = step.router.latency(&self.rules.kind).mean().as_secs_f64();
        let mut known = RegionCarriers::new();
        let mut groups: BTreeMap<HostId, Vec<PendingShard>> = BTreeMap::new();
        let mut direct = Vec::new();
        for (index, ShardPlan { shard, replicas, .. }) in self.open_shards() {
            let zone = step.router.serving_zone(replicas, typical, step.now);
            let region = zone.as_ref().map(|zone| step.router.region_of(zone));
            // A region without an available carrier may still have replicas that can be reached.
            let mut carrier = region.and_then(|region| self.carrier(&region, shard, &mut known, step));
            if carrier.is_none() && home_serves {
                carrier = self.carrier(&home, shard, &mut known, step);
            }
            let zone = zone.unwrap_or_else(|| Arc::clone(&own_zone));
            match carrier.filter(|host| *host != own) {
                Some(host) => {
                    let pending = PendingShard { index, shard: Arc::clone(shard), zone };
                    groups.entry(host).or_default().push(pending);
                }
                None => direct.push(index),
            }
        }
        for (host, pending) in groups {
            self.send_group(host, pending, step);
        }
        direct
    }

    /// Returns whether the plan has replicas in a region. A request that may not be served in a region
    /// has none there, and is sent to no daemon there either.
    fn has_replicas_in(&self, region: &Arc<str>, router: &Router) -> bool {
        let mut names = self.plan.shards.iter().flat_map(|shard| &shard.replicas);
        names.any(|name| router.upstream(name).is_some_and(|s| router.region_of(&s.spec().zone) == *region))
    }

    /// Returns the available carrier of a shard in a region.
    fn carrier<S: Sink>(
        &self,
        region: &Arc<str>,
        shard: &ShardId,
        known: &mut RegionCarriers,
        step: &mut StepContext<'_, S>,
    ) -> Option<HostId> {
        if !known.contains_key(region) {
            known.insert(Arc::clone(region), step.router.carriers(&self.plan.index, region));
        }
        let carriers = known.get(region)?.as_ref()?;
        step.router.carrier(carriers, shard, step.now)
    }
}
