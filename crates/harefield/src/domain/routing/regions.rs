//! What a router knows of other regions: how far upstreams are, how long the way
//! there takes, and which daemons there may be handed groups of shards.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::places::Distance;
use super::relays::Relays;
use super::router::Router;
use super::searcher::Searcher;
use crate::domain::ids::HostId;
use crate::domain::ids::UpstreamId;

impl Router {
    /// Takes the daemons as they are seen now, with their availability zones
    /// and whether they are live; those of other regions are handed groups.
    pub fn see_daemons<'a>(&mut self, seen: impl IntoIterator<Item = (&'a HostId, &'a str, bool)>) {
        let places = &self.places;
        let far = seen.into_iter().filter(|(_, zone, _)| places.distance(zone) == Distance::Far);
        let relays = far.filter_map(|(host, zone, live)| {
            Some((Arc::clone(host), Arc::clone(places.regions.get(zone)?), live))
        });
        self.relays.update(relays);
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

    /// Returns the regions that have a daemon to hand groups of an index to.
    #[must_use]
    pub fn relay_regions(&self, index: &str, kind: &Arc<str>, now: Instant) -> Vec<Arc<str>> {
        self.relays.regions(kind, now, |host| self.is_member(index, host))
    }

    /// Picks a daemon of a region to hand a group of an index to.
    pub fn pick_relay(&mut self, index: &str, region: &str, kind: &Arc<str>, now: Instant) -> Option<HostId> {
        let found = self.relays.least_busy(region, kind, now, |host| self.is_member(index, host));
        let at = self.draw_below(found.len());
        found.into_iter().nth(at)
    }

    /// Returns the regions of the replicas that may be asked, where all of them
    /// are far; none where one is nearer, or none may be asked.
    #[must_use]
    pub fn far_regions(
        &self,
        replicas: &[UpstreamId],
        kind: &Arc<str>,
        now: Instant,
    ) -> Option<Vec<Arc<str>>> {
        let typical = self.pace(kind).mean().as_secs_f64();
        let mut regions: Vec<Arc<str>> = Vec::new();
        for searcher in replicas.iter().filter_map(|name| self.searchers.get(name)) {
            if !searcher.is_healthy(typical, now) {
                continue;
            }
            let zone = &searcher.spec().zone;
            if self.places.distance(zone) != Distance::Far {
                return None;
            }
            regions.extend(self.places.regions.get(zone).map(Arc::clone));
        }
        regions.sort_unstable();
        regions.dedup();
        (!regions.is_empty()).then_some(regions)
    }

    /// Returns the `most` best of some replicas: those that may be asked first,
    /// then those of a region, then the quicker ones.
    #[must_use]
    pub fn best(&self, replicas: &[UpstreamId], region: &str, most: usize, now: Instant) -> Vec<UpstreamId> {
        let mut ranked: Vec<_> = replicas
            .iter()
            .map(|name| {
                let found = self.searchers.get(name);
                let usable = found.is_some_and(|s| s.is_healthy(0.0, now));
                let there = found.and_then(|s| self.places.regions.get(&s.spec().zone));
                let elsewhere = there.is_none_or(|there| **there != *region);
                (!usable, elsewhere, found.map_or(f64::INFINITY, |s| s.observed_time(0.0)), name)
            })
            .collect();
        ranked.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        ranked.into_iter().take(most).map(|(.., name)| Arc::clone(name)).collect()
    }

    /// Returns whether an upstream stands in another region.
    #[must_use]
    pub fn is_far(&self, searcher: &Searcher) -> bool {
        self.distance(searcher) == Distance::Far
    }

    pub(super) fn distance(&self, searcher: &Searcher) -> Distance {
        self.places.distance(&searcher.spec().zone)
    }

    /// Returns how long a request and its reply travel to an upstream and back,
    /// in seconds.
    fn way(&self, searcher: &Searcher) -> f64 {
        let zone = &searcher.spec().zone;
        match self.places.distance(zone) {
            Distance::Near | Distance::Region => 0.0,
            Distance::Far => {
                let region = self.places.regions.get(zone);
                region.map_or(0.0, |region| self.relays.way_to(region).as_secs_f64())
            }
        }
    }

    /// Returns how long a request and its reply travel to an upstream and back.
    #[must_use]
    pub fn way_to(&self, name: &UpstreamId) -> Duration {
        let way = self.searchers.get(name).map_or(0.0, |searcher| self.way(searcher));
        Duration::from_secs_f64(way)
    }
}
