//! The router of one worker: every upstream's state, and what attempts show of it.
//!
//! How a replica is chosen stands in `choice`, what concerns other availability
//! zones in `zones`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::budget::Budget;
use super::budgets::Budgets;
use super::budgets::service_of;
use super::effort::Effort;
use super::pace::Pace;
use super::policy::Policy;
use super::relays::Relays;
use super::report::Report;
use super::report::Verdict;
use super::searcher::Searcher;
use super::settled::Settled;
use crate::domain::announcement::Announcement;
use crate::domain::announcement::NamedAnnouncement;
use crate::domain::cell::Cells;
use crate::domain::cell::connection_share;
use crate::domain::cold::Allowance;
use crate::domain::ids::HostId;
use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::Version;
use crate::domain::lease::Lease;
use crate::domain::resources::Upstream;
use crate::domain::topology::Topology;
use crate::domain::view::OwnUpstream;
use crate::domain::view::View;

/// Routes the requests of one worker.
#[derive(Debug)]
pub struct Router {
    pub(super) searchers: HashMap<UpstreamId, Searcher>,
    pub(super) paces: HashMap<Arc<str>, Pace>,
    pub(super) policy: Policy,
    budgets: Budgets,
    pub(super) places: Topology,
    pub(super) relays: Relays,
    /// How many daemons share connections at the least.
    least_sharers: u32,
    cells: Cells,
    pub(super) own: Own,
    /// The time that a shard takes here, learnt.
    shard_time: Effort,
    pub(super) lease: Lease,
    /// When this daemon began to know others.
    pub(super) settled: Settled,
    seed: u64,
}

/// This daemon, as others see it.
#[derive(Clone, Debug)]
pub struct Own {
    /// Its name.
    pub host: HostId,
    /// What it can carry, in thousandths of a core.
    pub capacity: u32,
    /// How many workers it has, each with a router.
    pub workers: u32,
    /// The number of this one among them.
    pub number: u32,
    /// Whether there are to be other daemons, by its settings.
    pub others: bool,
}

impl Default for Own {
    fn default() -> Self {
        Self { host: HostId::default(), capacity: 1000, workers: 1, number: 0, others: false }
    }
}

impl Own {
    /// Returns this worker's part of what its daemon may send to a cold upstream.
    fn cold_part(&self, allowance: Allowance) -> Allowance {
        let workers = self.workers.max(1);
        let part = allowance.part / workers + u32::from(self.number < allowance.part % workers);
        Allowance { part, ..allowance }
    }
}

impl Router {
    /// Creates a router without upstreams.
    #[must_use]
    pub fn new(policy: Policy, budgets: Budgets, seed: u64, now: Instant) -> Self {
        Self {
            searchers: HashMap::new(),
            paces: HashMap::new(),
            policy,
            budgets,
            places: Topology::default(),
            relays: Relays::default(),
            least_sharers: 1,
            cells: Cells::default(),
            own: Own::default(),
            shard_time: Effort::default(),
            lease: Lease::new(now),
            settled: Settled::new(now),
            seed,
        }
    }

    /// Takes where this daemon and the availability zones are.
    #[must_use]
    pub fn at(mut self, places: Topology) -> Self {
        self.places = places;
        self
    }

    /// Takes which daemon this is.
    #[must_use]
    pub fn of(mut self, own: Own) -> Self {
        self.own = own;
        self
    }

    /// Returns the time that one shard of a fan-out takes on a whole core.
    #[must_use]
    pub fn shard_time(&self) -> Duration {
        self.shard_time.whole_core()
    }

    /// Takes how long it took here to choose and send some shards' requests.
    pub fn sample_sending(&mut self, shards: usize, took: Duration) {
        self.shard_time.sample(shards, took, self.own.capacity);
    }

    /// Takes how many daemons share connections at the least, whatever is known.
    #[must_use]
    pub fn sharing(mut self, daemons: u32) -> Self {
        self.least_sharers = daemons.max(1);
        self
    }

    /// Takes how many daemons there are: they share the budgets.
    pub fn share_with(&mut self, daemons: u32) {
        self.budgets.share_with(daemons.max(1));
    }

    /// Draws a number below `count`, which is at least 1.
    pub fn draw_below(&mut self, count: usize) -> usize {
        let draw = self.draw();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it is a small count")]
        #[expect(clippy::cast_precision_loss, reason = "it is a small count")]
        let at = (draw * count as f64) as usize;
        at.min(count.saturating_sub(1))
    }

    /// Takes a new view: upstreams come and go, their state otherwise stays.
    pub fn apply(&mut self, view: &View, now: Instant) {
        let own = &view.upstreams;
        let longest = longest_deadline(view);
        let begun =
            |name: &UpstreamId, s: &Searcher| s.left_within(longest, now) && named(view, name, s).is_some();
        self.searchers.retain(|name, s| own.contains_key(name) || s.under_way() > 0 || begun(name, s));
        for (name, upstream) in own {
            let OwnUpstream { spec, sharers, rank, connections, cold } = upstream;
            let cold = cold.map(|cold| self.own.cold_part(cold));
            let sharers = (*sharers).max(self.least_sharers);
            let share = connection_share(*connections, sharers);
            self.budgets.share_services(services_of(spec), sharers, *rank);
            let searcher = self
                .searchers
                .entry(Arc::clone(name))
                .and_modify(|s| s.update(spec, share, now))
                .or_insert_with(|| Searcher::new(Arc::clone(spec), sharers, share).told(now));
            searcher.cold.allow(cold);
            searcher.place(self.places.distance(&spec.zone));
            searcher.join_cell();
            list(searcher, spec, view, now);
        }
        for (name, searcher) in &mut self.searchers {
            if own.contains_key(name) {
                continue;
            }
            searcher.leave_cell(now);
            // Requests that began before the cell moved may go on; the upstream's own state
            // binds them as before.
            match named(view, name, searcher) {
                Some(spec) => list(searcher, spec, view, now),
                None => searcher.list(true),
            }
        }
        self.cells.clone_from(&view.cells);
        self.paces.retain(|kind, _| view.lookups.contains_key(kind));
        for (kind, plan) in &view.lookups {
            if let Some(millis) = plan.lookup.objective_ms {
                let first = || Pace::expected(Duration::from_millis(millis));
                self.paces.entry(Arc::clone(kind)).or_insert_with(first);
            }
        }
    }

    /// Returns whether a daemon may dial the upstreams of an index, as far as
    /// known: all may where nobody says who does.
    #[must_use]
    pub fn is_member(&self, index: &str, host: &HostId) -> bool {
        let cell = self.cells.get(index);
        cell.is_none_or(|cell| cell.is_empty() || cell.contains(host))
    }

    /// Returns the state of an upstream.
    #[must_use]
    pub fn searcher(&self, name: &UpstreamId) -> Option<&Searcher> {
        self.searchers.get(name)
    }

    /// Returns every upstream with its state.
    pub fn searchers(&self) -> impl Iterator<Item = (&UpstreamId, &Searcher)> {
        self.searchers.iter()
    }

    /// Returns the lease on what the router knows.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the lease, to renew or confirm it.
    pub fn lease_mut(&mut self) -> &mut Lease {
        &mut self.lease
    }

    /// Returns the pace of a kind of request.
    #[must_use]
    pub fn pace(&self, kind: &Arc<str>) -> Pace {
        self.paces.get(kind).cloned().unwrap_or_default()
    }

    /// Returns whether an upstream may serve a version, load aside.
    #[must_use]
    pub fn usable(&self, name: &UpstreamId, version: Version) -> bool {
        self.searchers.get(name).is_some_and(|s| s.may_serve(version).is_ok())
    }

    /// Draws a number in 0..1 from the router's own seeded sequence.
    pub(super) fn draw(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let high = u32::try_from(self.seed >> 32).unwrap_or(0);
        f64::from(high) / f64::from(u32::MAX)
    }

    /// Notes a request that leaves for an upstream.
    pub fn begin(&mut self, name: &UpstreamId, now: Instant) {
        if let Some(searcher) = self.searchers.get_mut(name) {
            searcher.begin(now);
        }
    }

    /// Notes how a request ended.
    pub fn end(
        &mut self,
        name: &UpstreamId,
        start: Instant,
        verdict: Verdict,
        report: &Report,
        now: Instant,
    ) {
        let way = self.way_to(name).as_secs_f64();
        if let Some(searcher) = self.searchers.get_mut(name) {
            searcher.set_way(way);
            searcher.end(start, verdict, report, now);
        }
    }

    /// Takes a good reply's time into the pace of its kind of request, less its
    /// way.
    pub fn sample(&mut self, kind: &Arc<str>, name: &UpstreamId, took: Duration) {
        let own = took.saturating_sub(self.way_to(name));
        self.paces.entry(Arc::clone(kind)).or_default().sample(own);
    }

    /// Takes an upstream's word; returns whether it was news.
    pub fn hear(&mut self, name: &UpstreamId, word: &Announcement) -> bool {
        self.searchers.get_mut(name).is_some_and(|s| s.hear(word))
    }

    /// Takes words that peers passed on.
    pub fn hear_all(&mut self, words: &[NamedAnnouncement]) {
        for named in words {
            self.hear(&named.upstream, &named.announcement);
        }
    }

    /// Takes that an upstream ended or could not be reached: it may start again, and be cold.
    pub fn note_down(&mut self, name: &UpstreamId, now: Instant) {
        if let Some(searcher) = self.searchers.get_mut(name) {
            searcher.cold.suspect(now);
        }
    }

    /// Takes how many idle connections an upstream has.
    pub fn set_idle(&mut self, name: &UpstreamId, idle: usize) {
        if let Some(searcher) = self.searchers.get_mut(name) {
            searcher.set_idle(idle);
        }
    }

    /// Returns the budget that extra load on a shard is paid from.
    pub fn budget(&mut self, shard: &ShardId) -> &mut Budget {
        self.budgets.of(shard)
    }
}

/// Returns what a view says of an upstream; none where it names no such start of it.
fn named<'a>(view: &'a View, name: &UpstreamId, searcher: &Searcher) -> Option<&'a Arc<Upstream>> {
    view.set.upstreams.get(name).filter(|spec| searcher.is_same(spec))
}

/// Takes what a view says of an upstream that may be asked.
fn list(searcher: &mut Searcher, spec: &Upstream, view: &View, now: Instant) {
    searcher.list(spec.leaving || view.leaving.contains(&spec.address));
    searcher.evacuate(view.evacuated.contains(&spec.zone), now);
}

/// Returns how long a request of a view may take.
fn longest_deadline(view: &View) -> Duration {
    let deadlines = view.lookups.values().map(|plan| plan.lookup.deadline_ms);
    Duration::from_millis(deadlines.max().unwrap_or(0))
}

/// Returns the services that an upstream holds shards of.
fn services_of(upstream: &Upstream) -> impl Iterator<Item = &str> {
    upstream.holds.iter().map(|shard| service_of(shard))
}
