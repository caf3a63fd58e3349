//! What a router knows of other availability zones: how far upstreams are, how
//! long the way there takes, and which daemons there may be handed groups of
//! shards.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::relays::Relays;
use super::relays::Seen;
use super::router::Own;
use super::router::Router;
use super::searcher::Searcher;
use super::sharing::Carrier;
use crate::domain::ids::HostId;
use crate::domain::ids::UpstreamId;
use crate::domain::membership::MemberRow;
use crate::domain::membership::PeerState;
use crate::domain::topology::Distance;

impl Router {
    /// Takes the other daemons as they are seen now; they are handed groups.
    pub fn see_daemons<'a>(&mut self, rows: impl IntoIterator<Item = &'a MemberRow>) {
        let places = &self.places;
        let seen = rows.into_iter().map(|row| Seen {
            host: Arc::clone(&row.host),
            zone: Arc::clone(&row.zone),
            far: places.distance(&row.zone) == Distance::Far,
            live: row.state == PeerState::Live,
            capacity: row.capacity,
        });
        let mut seen = seen.peekable();
        if seen.peek().is_some() {
            self.settled.meet();
        }
        self.relays.update(seen);
    }

    /// Returns this daemon.
    #[must_use]
    pub fn own(&self) -> &Own {
        &self.own
    }

    /// Returns this daemon's availability zone.
    #[must_use]
    pub fn own_zone(&self) -> &Arc<str> {
        &self.places.zone
    }

    /// Returns the region of an availability zone; the zone itself where nobody says.
    #[must_use]
    pub fn region_of(&self, zone: &Arc<str>) -> Arc<str> {
        Arc::clone(self.places.region_of(zone))
    }

    /// Returns the daemons that may take a part of a fan-out over replicas in a region:
    /// members of the index's cell there, this one among them.
    #[must_use]
    pub fn carriers(&self, index: &str, region: &str, kind: &Arc<str>, now: Instant) -> Vec<Carrier> {
        let Own { host, capacity, .. } = &self.own;
        let own = (host, &self.places.zone, *capacity);
        let others = self.relays.capacities(kind, now).filter(|(host, ..)| self.is_member(index, host));
        let all = std::iter::once(own).chain(others);
        let there = all.filter(|(_, zone, _)| *self.region_of(zone) == *region);
        let carrier = |(other, zone, capacity): (&HostId, &Arc<str>, u32)| Carrier {
            host: Arc::clone(other),
            own: other == host,
            capacity,
            zone: Arc::clone(zone),
        };
        there.map(carrier).collect()
    }

    /// Returns the daemons that groups may be handed to.
    #[must_use]
    pub fn relays(&self) -> &Relays {
        &self.relays
    }

    /// Returns the daemons that groups may be handed to, to note what they did.
    pub fn relays_mut(&mut self) -> &mut Relays {
        &mut self.relays
    }

    /// Returns the availability zones that have a daemon to hand groups of an index to.
    #[must_use]
    pub fn relay_zones(&self, index: &str, kind: &Arc<str>, now: Instant) -> Vec<Arc<str>> {
        self.relays.zones(kind, now, |host| self.is_member(index, host))
    }

    /// Picks a daemon of an availability zone to hand a group of an index to.
    pub fn pick_relay(&mut self, index: &str, zone: &str, kind: &Arc<str>, now: Instant) -> Option<HostId> {
        let found = self.relays.least_busy(zone, kind, now, |host| self.is_member(index, host));
        let at = self.draw_below(found.len());
        found.into_iter().nth(at)
    }

    /// Returns the availability zones of the nearest replicas that may be asked;
    /// none where one is in the own zone, or none may be asked.
    #[must_use]
    pub fn away_zones(&self, replicas: &[UpstreamId], typical: f64, now: Instant) -> Option<Vec<Arc<str>>> {
        let known = || replicas.iter().filter_map(|name| self.searchers.get(name));
        let healthy = || known().filter(|searcher| searcher.is_healthy(typical, now));
        let nearest = healthy().map(|searcher| searcher.distance).min()?;
        if nearest == Distance::Near {
            return None;
        }
        let there = healthy().filter(|searcher| searcher.distance == nearest);
        let mut zones: Vec<Arc<str>> = there.map(|searcher| Arc::clone(&searcher.spec().zone)).collect();
        zones.sort_unstable();
        zones.dedup();
        Some(zones)
    }

    /// Returns the best of some replicas: one that may be asked first, then one of an
    /// availability zone, then the quickest.
    #[must_use]
    pub fn best(&self, replicas: &[UpstreamId], zone: &str, now: Instant) -> Option<UpstreamId> {
        let rank = |name: &UpstreamId| {
            let found = self.searchers.get(name);
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

    /// Returns whether an upstream stands in another availability zone.
    #[must_use]
    pub fn is_away(&self, searcher: &Searcher) -> bool {
        searcher.distance != Distance::Near
    }

    /// Returns how long a request and its reply travel to an upstream and back,
    /// in seconds.
    fn way(&self, searcher: &Searcher) -> f64 {
        match searcher.distance {
            Distance::Near | Distance::Region => 0.0,
            Distance::Far => self.relays.way_to(&searcher.spec().zone).as_secs_f64(),
        }
    }

    /// Returns how long a request and its reply travel to an upstream and back.
    #[must_use]
    pub fn way_to(&self, name: &UpstreamId) -> Duration {
        let way = self.searchers.get(name).map_or(0.0, |searcher| self.way(searcher));
        Duration::from_secs_f64(way)
    }
}
