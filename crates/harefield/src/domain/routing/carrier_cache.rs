//! The router's carriers of each scheduled index and region, kept until the members or the shards
//! change.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::carriers::CarrierCandidate;
use super::carriers::CarrierGroup;
use super::carriers::Carriers;
use super::router::LocalDaemon;
use super::router::Router;
use super::sharing::DelegationLimits;
use crate::domain::ids::HostId;
use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;
use crate::domain::topology::Distance;

/// The time that a shard takes on a whole core, for the question whether the daemons in the zone of
/// the replicas can carry them alone. Not the measured time: that differs by daemon, and all
/// have to find the same carriers. `docs/CAPACITY.md` has it for requests that arrive one by one.
const SHARD_TIME: Duration = Duration::from_micros(100);

/// The carriers of the scheduled indexes, by index and region.
#[derive(Debug, Default)]
pub(super) struct CarrierCache {
    entries: Vec<Entry>,
}

/// The carriers of one index in one region, with what they were computed from.
#[derive(Debug)]
struct Entry {
    index: Arc<str>,
    region: Arc<str>,
    groups: Vec<CarrierGroup>,
    carriers: Arc<Carriers>,
    /// Whether the members may have changed since.
    stale: bool,
}

impl CarrierCache {
    /// Marks all carriers to be checked against the members and the shards.
    pub(super) fn invalidate(&mut self) {
        for entry in &mut self.entries {
            entry.stale = true;
        }
    }

    /// Removes the carriers of indexes for which `keeps` returns false.
    pub(super) fn retain(&mut self, keeps: impl Fn(&str) -> bool) {
        self.entries.retain(|entry| keeps(&entry.index));
    }
}

impl Router {
    /// Returns the carriers of an index's shards in a region; `None` where the index isn't
    /// scheduled.
    ///
    /// The candidates are the members of the index's cell in the region that are seen to respond,
    /// whether or not this daemon has backed one off: that would change the bounds of all, and
    /// differently at each daemon.
    pub fn carriers(&mut self, index: &str, region: &str) -> Option<Arc<Carriers>> {
        if !self.scheduling.covers(index) {
            return None;
        }
        let known = self.carriers.entries.iter().position(|e| *e.index == *index && *e.region == *region);
        if let Some(entry) = known.map(|at| &self.carriers.entries[at]).filter(|entry| !entry.stale) {
            return Some(Arc::clone(&entry.carriers));
        }
        let groups = self.carrier_groups(index, region);
        if let Some(at) = known {
            let entry = &mut self.carriers.entries[at];
            if entry.groups == groups {
                entry.stale = false;
                return Some(Arc::clone(&entry.carriers));
            }
            self.carriers.entries.swap_remove(at);
        }
        let carriers = Arc::new(Carriers::assign_groups(&groups));
        let (index, region) = (index.into(), region.into());
        let entry = Entry { index, region, groups, carriers: Arc::clone(&carriers), stale: false };
        self.carriers.entries.push(entry);
        Some(carriers)
    }

    /// Returns the daemon that carries a shard. A daemon that did not answer this one is passed over
    /// for a short time.
    #[must_use]
    pub fn carrier(&self, carriers: &Carriers, shard: &ShardId, now: Instant) -> Option<HostId> {
        let own = &self.local.host;
        let available = |host: &HostId| host == own || self.relays.may_carry(host, now);
        carriers.carrier(shard, available).map(Arc::clone)
    }

    /// Returns the shards of an index by the availability zone of their replica in a region, each
    /// with the daemons that may carry them: those in that zone, or all of the region if these are
    /// too weak. Shards without a known replica there may be carried by all as well.
    fn carrier_groups(&self, index: &str, region: &str) -> Vec<CarrierGroup> {
        let candidates = self.carrier_candidates(index, region);
        let shards = self.scheduling.shards(index).unwrap_or_default();
        let mut zones: BTreeMap<Option<Arc<str>>, Vec<ShardId>> = BTreeMap::new();
        for shard in shards.iter() {
            zones.entry(self.replica_zone(shard, region)).or_default().push(Arc::clone(shard));
        }
        let objective = self.scheduling.objective(index);
        let group = |(zone, shards): (Option<Arc<str>>, Vec<ShardId>)| {
            let there = candidates.iter().filter(|(_, host_zone)| Some(host_zone) == zone.as_ref());
            let near: Vec<_> = there.map(|(candidate, _)| candidate.clone()).collect();
            let all = || candidates.iter().map(|(candidate, _)| candidate.clone()).collect();
            let candidates = if can_carry(shards.len(), &near, objective) { near } else { all() };
            CarrierGroup { shards, candidates }
        };
        zones.into_iter().map(group).collect()
    }

    /// Returns the daemons of a region that may carry shards of an index, with their zones.
    fn carrier_candidates(&self, index: &str, region: &str) -> Vec<(CarrierCandidate, Arc<str>)> {
        let LocalDaemon { host, capacity, .. } = &self.local;
        let all = std::iter::once((host, &self.topology.zone, *capacity)).chain(self.relays.live());
        let there = all.filter(|(host, zone, _)| {
            **self.topology.region_of(zone) == *region && self.is_member(index, host)
        });
        let candidate = |(host, zone, capacity): (&HostId, &Arc<str>, u32)| {
            (CarrierCandidate { host: Arc::clone(host), capacity }, Arc::clone(zone))
        };
        there.map(candidate).collect()
    }

    /// Returns the availability zone of a shard's replica in a region.
    fn replica_zone(&self, shard: &ShardId, region: &str) -> Option<Arc<str>> {
        let found = self.placement.replicas_of(shard).iter().filter_map(|name| self.upstreams.get(name));
        let mut zones = found.map(|upstream| &upstream.spec().zone);
        zones.find(|zone| **self.topology.region_of(zone) == *region).map(Arc::clone)
    }

    /// Returns the availability zone whose region serves a shard of a scheduled index.
    ///
    /// That is the own region as long as a replica there takes work and can be reached. Its carrier
    /// sees all requests of the region for the shard, waits for the replica's slots, and asks
    /// another region itself where the wait is too long. A request sent elsewhere because one daemon
    /// finds the replica slow would compete with the other region's requests unseen by the carrier.
    /// Otherwise it is any zone with a healthy replica, or else with a usable one, at random;
    /// `None` where none is usable.
    pub fn serving_zone(&mut self, replicas: &[UpstreamId], typical: f64, now: Instant) -> Option<Arc<str>> {
        let known = replicas.iter().filter_map(|name| self.upstreams.get(name));
        let usable = known.filter(|upstream| upstream.accepts_work().is_ok() && !upstream.is_backed_off(now));
        let mut far: Vec<(bool, Arc<str>)> = Vec::new();
        for upstream in usable {
            let zone = Arc::clone(&upstream.spec().zone);
            if upstream.distance != Distance::Far {
                return Some(zone);
            }
            far.push((upstream.is_healthy(typical, now), zone));
        }
        let healthy = far.iter().any(|(healthy, _)| *healthy);
        far.retain(|(is_healthy, _)| *is_healthy == healthy);
        let at = self.draw_below(far.len());
        far.into_iter().nth(at).map(|(_, zone)| zone)
    }
}

/// Returns whether daemons send the requests for their shards early enough before the objective.
fn can_carry(shards: usize, candidates: &[CarrierCandidate], objective: Duration) -> bool {
    DelegationLimits::new(SHARD_TIME, objective).allows(shards, Carriers::capacity(candidates))
}
