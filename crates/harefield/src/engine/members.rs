//! Chooses the member of a cell that a request is forwarded to.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::find::ResolvedRequest;
use super::worker::Worker;
use crate::domain::ids::HostId;
use crate::domain::membership::MemberRow;
use crate::domain::membership::PeerState;
use crate::domain::residency::Residency;
use crate::domain::topology::Distance;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;

/// A member whose oldest request has been in flight for longer is passed over: most users'
/// objectives are shorter, and a member answers at the objective.
const SILENT_AFTER: Duration = Duration::from_millis(250);

/// What a request and its answer take between daemons of one region, encoding and decoding
/// included: a round trip of twice 0.9 ms at the users' sites, and 2 ms of work on their smallest
/// hosts.
const RETURN_TIME: Duration = Duration::from_millis(4);

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Chooses a member among the nearest ones that are neither known to be gone nor silent, or
    /// among all untried ones where there is none such: of two drawn at random, the one with fewer
    /// requests forwarded to it.
    pub(super) fn choose_member(&self, resolved: &ResolvedRequest, tried: &[HostId]) -> Option<HostId> {
        let view = self.view.borrow();
        let cell = view.cells.get(resolved.plan.lookup.index.as_str())?;
        let others = cell.iter().filter(|host| **host != self.settings.host);
        let untried = others.filter(|host| !tried.contains(host) && self.may_serve(host, &resolved.regions));
        let untried: Vec<&HostId> = untried.collect();
        let near = self.nearest_live(&untried);
        self.less_loaded(if near.is_empty() { &untried } else { &near })
    }

    /// Returns whether a daemon is in a region where a request may be served, so that the request
    /// may be forwarded to it.
    pub(super) fn may_serve(&self, host: &HostId, regions: &[Arc<str>]) -> bool {
        let topology = &self.settings.topology;
        let peers = self.peers.borrow();
        let zone = if *host == self.settings.host {
            Some(&self.settings.zone)
        } else {
            peers.row(host).map(|row| &row.zone)
        };
        Residency::new(regions).allows(zone.map(|zone| topology.region_of(zone)))
    }

    /// Returns the nearest of those daemons that are neither known to be gone nor silent.
    fn nearest_live<'a>(&self, hosts: &[&'a HostId]) -> Vec<&'a HostId> {
        let peers = self.peers.borrow();
        let seen = hosts.iter().map(|host| (*host, peers.row(host)));
        let live = seen.filter(|(host, row)| is_live(*row) && !self.is_silent(host));
        let placed: Vec<_> = live.map(|(host, row)| (host, self.distance_to(row))).collect();
        let nearest = placed.iter().map(|(_, distance)| *distance).min();
        let near = placed.into_iter().filter(|(_, distance)| Some(*distance) == nearest);
        near.map(|(host, _)| host).collect()
    }

    /// Draws two daemons at random and returns the one with fewer requests forwarded to it.
    fn less_loaded(&self, pool: &[&HostId]) -> Option<HostId> {
        if pool.is_empty() {
            return None;
        }
        let mut random = rand::rng();
        let draws = [random.random_range(0..pool.len()), random.random_range(0..pool.len())];
        let forwards = self.forwards.borrow();
        let load = |at: &usize| forwards.get(pool[*at]).map_or(0, Vec::len);
        draws.iter().min_by_key(|at| load(at)).map(|at| Arc::clone(pool[*at]))
    }

    /// Returns how much of an objective is kept for an answer's return from a daemon.
    pub(super) fn return_allowance(&self, host: &HostId) -> Duration {
        let peers = self.peers.borrow();
        let Some(row) = peers.row(host) else { return RETURN_TIME };
        let router = self.router.borrow();
        match self.distance_to(Some(row)) {
            Distance::Far => RETURN_TIME + router.relays().rtt_to(&row.zone),
            Distance::Near | Distance::Region => RETURN_TIME,
        }
    }

    fn distance_to(&self, row: Option<&MemberRow>) -> Distance {
        row.map_or(Distance::Far, |row| self.settings.topology.distance(&row.zone))
    }

    /// Returns whether a daemon is not known to be gone.
    pub(super) fn is_live(&self, host: &HostId) -> bool {
        is_live(self.peers.borrow().row(host))
    }

    fn is_silent(&self, host: &HostId) -> bool {
        let now = self.ports.clock.now();
        let forwards = self.forwards.borrow();
        let oldest = forwards.get(host).and_then(|starts| starts.iter().min());
        oldest.is_some_and(|start| now.saturating_duration_since(*start) > SILENT_AFTER)
    }
}

fn is_live(row: Option<&MemberRow>) -> bool {
    row.is_none_or(|row| row.state == PeerState::Live)
}
