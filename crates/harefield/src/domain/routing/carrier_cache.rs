//! The router's carriers of each scheduled index and region, kept until the members or the shards
//! change.

use std::sync::Arc;
use std::time::Instant;

use super::carriers::CarrierCandidate;
use super::carriers::Carriers;
use super::router::LocalDaemon;
use super::router::Router;
use crate::domain::ids::HostId;
use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;
use crate::domain::topology::Distance;

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
    shards: Arc<[ShardId]>,
    candidates: Vec<CarrierCandidate>,
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
        let shards = self.scheduling.shards(index)?;
        let known = self.carriers.entries.iter().position(|e| *e.index == *index && *e.region == *region);
        if let Some(entry) = known.map(|at| &self.carriers.entries[at]).filter(|entry| !entry.stale) {
            return Some(Arc::clone(&entry.carriers));
        }
        let candidates = self.carrier_candidates(index, region);
        if let Some(at) = known {
            let entry = &mut self.carriers.entries[at];
            if entry.candidates == candidates && entry.shards == shards {
                entry.stale = false;
                return Some(Arc::clone(&entry.carriers));
            }
            self.carriers.entries.swap_remove(at);
        }
        let carriers = Arc::new(Carriers::assign(&shards, &candidates));
        let (index, region) = (index.into(), region.into());
        let entry =
            Entry { index, region, shards, candidates, carriers: Arc::clone(&carriers), stale: false };
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

    fn carrier_candidates(&self, index: &str, region: &str) -> Vec<CarrierCandidate> {
        let LocalDaemon { host, capacity, .. } = &self.local;
        let all = std::iter::once((host, &self.topology.zone, *capacity)).chain(self.relays.live());
        let there = all.filter(|(host, zone, _)| {
            **self.topology.region_of(zone) == *region && self.is_member(index, host)
        });
        there.map(|(host, _, capacity)| CarrierCandidate { host: Arc::clone(host), capacity }).collect()
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
