//! The router's view of other availability zones: the distance and round-trip time of upstreams,
//! and the daemons that groups of shards can be delegated to.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::relays::RelayStatus;
use super::relays::Relays;
use super::router::LocalDaemon;
use super::router::Router;
use super::sharing::Delegate;
use super::upstream_state::UpstreamState;
use crate::domain::ids::HostId;
use crate::domain::ids::UpstreamId;
use crate::domain::membership::MemberRow;
use crate::domain::membership::PeerState;
use crate::domain::topology::Distance;

impl Router {
    /// Updates the other daemons, which groups can be delegated to, from the membership.
    pub fn update_daemons<'a>(&mut self, rows: impl IntoIterator<Item = &'a MemberRow>) {
        let topology = &self.topology;
        let daemons = rows.into_iter().map(|row| RelayStatus {
            host: Arc::clone(&row.host),
            zone: Arc::clone(&row.zone),
            other_region: topology.distance(&row.zone) == Distance::Far,
            live: row.state == PeerState::Live,
            capacity: row.capacity,
        });
        let mut daemons = daemons.peekable();
        if daemons.peek().is_some() {
            self.startup.record_peer();
        }
        self.relays.update(daemons);
        self.carriers.invalidate();
    }

    /// Returns the daemon and worker that this router belongs to.
    #[must_use]
    pub fn local(&self) -> &LocalDaemon {
        &self.local
    }

    /// Returns this daemon's availability zone.
    #[must_use]
    pub fn local_zone(&self) -> &Arc<str> {
        &self.topology.zone
    }

    /// Returns the region of an availability zone; the zone itself where none is configured.
    #[must_use]
    pub fn region_of(&self, zone: &Arc<str>) -> Arc<str> {
        Arc::clone(self.topology.region_of(zone))
    }

    /// Returns the daemons that can take a part of a fan-out over replicas in a region: the
    /// available members of the index's cell there, and this daemon if it is in the region.
    #[must_use]
    pub fn delegates(&self, index: &str, region: &str, kind: &Arc<str>, now: Instant) -> Vec<Delegate> {
        let LocalDaemon { host, capacity, .. } = &self.local;
        let local = (host, &self.topology.zone, *capacity);
        let others = self.relays.capacities(kind, now).filter(|(host, ..)| self.is_member(index, host));
        let all = std::iter::once(local).chain(others);
        let there = all.filter(|(_, zone, _)| *self.region_of(zone) == *region);
        let delegate = |(other, zone, capacity): (&HostId, &Arc<str>, u32)| Delegate {
            host: Arc::clone(other),
            local: other == host,
            capacity,
            zone: Arc::clone(zone),
        };
        there.map(delegate).collect()
    }

    /// Returns the daemons that groups can be delegated to.
    #[must_use]
    pub fn relays(&self) -> &Relays {
        &self.relays
    }

    /// Returns the daemons that groups can be delegated to, to record the outcome of groups.
    pub fn relays_mut(&mut self) -> &mut Relays {
        &mut self.relays
    }

    /// Returns the availability zones that have an available daemon for groups of an index.
    #[must_use]
    pub fn relay_zones(&self, index: &str, kind: &Arc<str>, now: Instant) -> Vec<Arc<str>> {
        self.relays.zones(kind, now, |host| self.is_member(index, host))
    }

    /// Picks a daemon of an availability zone for a group of an index, at random among those with
    /// the fewest groups in flight.
    pub fn pick_relay(&mut self, index: &str, zone: &str, kind: &Arc<str>, now: Instant) -> Option<HostId> {
        let found = self.relays.least_busy(zone, kind, now, |host| self.is_member(index, host));
        let at = self.draw_below(found.len());
        found.into_iter().nth(at)
    }

    /// Returns the availability zones of the nearest healthy replicas; `None` where one is in the
    /// local zone, or none is healthy.
    #[must_use]
    pub fn remote_zones(&self, replicas: &[UpstreamId], typical: f64, now: Instant) -> Option<Vec<Arc<str>>> {
        let known = || replicas.iter().filter_map(|name| self.upstreams.get(name));
        let healthy = || known().filter(|upstream| upstream.is_healthy(typical, now));
        let nearest = healthy().map(|upstream| upstream.distance).min()?;
        if nearest == Distance::Near {
            return None;
        }
        let there = healthy().filter(|upstream| upstream.distance == nearest);
        let mut zones: Vec<Arc<str>> = there.map(|upstream| Arc::clone(&upstream.spec().zone)).collect();
        zones.sort_unstable();
        zones.dedup();
        Some(zones)
    }

    /// Returns the best of some replicas: healthy ones first, then those in `zone`, then the
    /// quickest.
    #[must_use]
    pub fn best_replica(&self, replicas: &[UpstreamId], zone: &str, now: Instant) -> Option<UpstreamId> {
        let rank = |name: &UpstreamId| {
            let found = self.upstreams.get(name);
            let usable = found.is_some_and(|s| s.is_healthy(0.0, now));
            let elsewhere = found.is_none_or(|s| *s.spec().zone != *zone);
            (!usable, elsewhere, found.map_or(f64::INFINITY, |s| s.observed_time(0.0)))
        };
        let order = |a: &&UpstreamId, b: &&UpstreamId| {
            let (a, b) = (rank(a), rank(b));
            (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
        };
        replicas.iter().min_by(order).map(Arc::clone)
    }

    /// Returns whether an upstream is in another availability zone.
    #[must_use]
    pub fn is_remote(&self, upstream: &UpstreamState) -> bool {
        upstream.distance != Distance::Near
    }

    /// Returns the round-trip time to an upstream, in seconds; it is only counted to other regions.
    pub(super) fn rtt(&self, upstream: &UpstreamState) -> f64 {
        match upstream.distance {
            Distance::Near | Distance::Region => 0.0,
            Distance::Far => self.relays.rtt_to(&upstream.spec().zone).as_secs_f64(),
        }
    }

    /// Returns the round-trip time to an upstream; 0 within the region.
    #[must_use]
    pub fn rtt_to(&self, name: &UpstreamId) -> Duration {
        let rtt = self.upstreams.get(name).map_or(0.0, |upstream| self.rtt(upstream));
        Duration::from_secs_f64(rtt)
    }
}
