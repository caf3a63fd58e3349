//! The router of one worker: every upstream's state and the choice among them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::budget::Budget;
use super::budget::Budgets;
use super::pace::Pace;
use super::places::Distance;
use super::places::Places;
use super::policy::Policy;
use super::relays::Relays;
use super::report::Bar;
use super::report::Report;
use super::report::Until;
use super::report::Verdict;
use super::searcher::Searcher;
use crate::domain::cell::connection_share;
use crate::domain::event::Score;
use crate::domain::ids::HostId;
use crate::domain::ids::ShardId;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::Version;
use crate::domain::lease::Lease;
use crate::domain::outcome::Gap;
use crate::domain::view::OwnUpstream;
use crate::domain::view::View;
use crate::domain::word::NamedWord;
use crate::domain::word::Word;

/// A replica chosen, with every candidate's score.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The replica.
    pub upstream: UpstreamId,
    /// All candidates' scores.
    pub scores: Vec<Score>,
}

/// How a candidate ranks: those that failed last, fell silent, or take much
/// longer than the quickest, come after all others; then the nearer ones lead.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rank {
    passed_over: bool,
    distance: Distance,
    cost: f64,
}

/// What is asked for when a replica is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The replicas configured for the shard.
    pub replicas: &'a [UpstreamId],
    /// Those already tried, in vain or still under way.
    pub tried: &'a [UpstreamId],
    /// The snapshot's version.
    pub version: Version,
    /// The kind of request, for its pace.
    pub kind: &'a Arc<str>,
}

impl<'a> Ask<'a> {
    /// Returns the replicas that were not tried.
    fn untried(&self) -> impl Iterator<Item = &'a UpstreamId> {
        let tried = self.tried;
        self.replicas.iter().filter(move |name| !tried.contains(name))
    }
}

/// Routes the requests of one worker.
#[derive(Debug)]
pub struct Router {
    searchers: HashMap<UpstreamId, Searcher>,
    paces: HashMap<Arc<str>, Pace>,
    policy: Policy,
    budgets: Budgets,
    places: Places,
    relays: Relays,
    fleet: u32,
    lease: Lease,
    seed: u64,
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
            places: Places::default(),
            relays: Relays::default(),
            fleet: 1,
            lease: Lease::new(now),
            seed,
        }
    }

    /// Takes where this daemon and the availability zones are.
    #[must_use]
    pub fn at(mut self, places: Places) -> Self {
        self.places = places;
        self
    }

    /// Takes how many daemons there are: they share budgets and, where every
    /// daemon is a member of every cell, connections.
    pub fn share_with(&mut self, daemons: u32) {
        self.fleet = daemons.max(1);
        self.budgets.share_with(self.fleet);
    }

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

    /// Picks a daemon of a region to hand a group to.
    pub fn pick_relay(&mut self, region: &str, kind: &Arc<str>, now: Instant) -> Option<HostId> {
        let found = self.relays.least_busy(region, kind, now);
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
            let usable = searcher.may_serve_any() && !searcher.is_backed_off(now);
            if !usable || searcher.on_probation() || searcher.is_silent(typical, now) {
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
                let usable = found.is_some_and(|s| {
                    s.may_serve_any() && !s.is_backed_off(now) && !s.on_probation() && !s.is_silent(0.0, now)
                });
                let there = found.and_then(|s| self.places.regions.get(&s.spec().zone));
                let elsewhere = there.is_none_or(|there| **there != *region);
                (!usable, elsewhere, found.map_or(f64::INFINITY, |s| s.observed_time(0.0)), name)
            })
            .collect();
        ranked.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        ranked.into_iter().take(most).map(|(.., name)| Arc::clone(name)).collect()
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
    pub fn apply(&mut self, view: &View) {
        let own = &view.upstreams;
        self.searchers.retain(|name, s| own.contains_key(name) || s.under_way() > 0);
        for (name, upstream) in own {
            let OwnUpstream { spec, sharers, connections } = upstream;
            let share = connection_share(*connections, (*sharers).max(self.fleet));
            let searcher = self
                .searchers
                .entry(Arc::clone(name))
                .and_modify(|s| s.update(spec, share))
                .or_insert_with(|| Searcher::new(Arc::clone(spec), *sharers, share));
            searcher.list(spec.leaving || view.leaving.contains(&spec.address));
        }
        for (name, searcher) in &mut self.searchers {
            if !own.contains_key(name) {
                searcher.list(true);
            }
        }
        self.paces.retain(|kind, _| view.lookups.contains_key(kind));
        for (kind, plan) in &view.lookups {
            if let Some(millis) = plan.lookup.objective_ms {
                let first = || Pace::expected(Duration::from_millis(millis));
                self.paces.entry(Arc::clone(kind)).or_insert_with(first);
            }
        }
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

    /// Chooses the replica to ask.
    ///
    /// # Errors
    ///
    /// Returns why none may be asked now; the reason that passes first.
    pub fn choose(&mut self, ask: &Ask<'_>, now: Instant) -> Result<Choice, Bar> {
        if !self.lease.held(now) {
            return Err(Bar { gap: Gap::Unconfirmed, until: Until::Soon });
        }
        let typical = self.pace(ask.kind).mean().as_secs_f64();
        let weighs = self.policy == Policy::Cost;
        let mut scores = Vec::with_capacity(ask.replicas.len());
        let mut best: Option<(Rank, UpstreamId)> = None;
        let mut bar = Bar { gap: Gap::NoReplica, until: Until::Never };
        for name in ask.untried() {
            let found = self.score(name, ask.version, typical, now);
            scores.push(Score {
                upstream: Arc::clone(name),
                cost: found.ok().map(|cost| cost * 1000.0),
                barred: found.err().map(|bar| bar.gap),
            });
            match found {
                Ok(cost) => {
                    let rank = self.rank(name, cost, ask, typical, now);
                    if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                        best = Some((rank, Arc::clone(name)));
                    }
                }
                Err(other) => bar = softer(bar, other),
            }
        }
        match best {
            Some((_, upstream)) if weighs && self.worth_waiting(ask, &upstream, typical, now) => {
                Err(Bar { gap: Gap::Overloaded, until: Until::Soon })
            }
            Some((_, upstream)) => Ok(Choice { upstream, scores }),
            None => Err(bar),
        }
    }

    /// Says whether a much quicker replica than the one chosen just has no room
    /// at this moment.
    fn worth_waiting(&self, ask: &Ask<'_>, chosen: &UpstreamId, typical: f64, now: Instant) -> bool {
        let Some(chosen) = self.searchers.get(chosen) else { return false };
        let full = |searcher: &Searcher| {
            let barred = searcher.admits(ask.version, now).err();
            barred.is_some_and(|bar| bar.until == Until::Soon) && !searcher.is_silent(typical, now)
        };
        let mut quicker = ask.untried().filter_map(|name| self.searchers.get(name)).filter(|s| full(s));
        quicker.any(|searcher| chosen.is_slower(searcher, typical))
    }

    fn score(&mut self, name: &UpstreamId, version: Version, typical: f64, now: Instant) -> Result<f64, Bar> {
        let draw = self.draw();
        let unknown = Bar { gap: Gap::NoReplica, until: Until::Never };
        let searcher = self.searchers.get(name).ok_or(unknown)?;
        searcher.admits(version, now)?;
        Ok(self.policy.cost(searcher, typical, draw, now))
    }

    /// Ranks a replica beside the others that may be asked.
    fn rank(&self, name: &UpstreamId, cost: f64, ask: &Ask<'_>, typical: f64, now: Instant) -> Rank {
        let found = self.searchers.get(name).filter(|_| self.policy == Policy::Cost);
        let Some(searcher) = found else {
            return Rank { passed_over: false, distance: Distance::Near, cost };
        };
        let others =
            ask.untried().filter(|other| *other != name).filter_map(|other| self.searchers.get(other));
        let mut good = others.filter(|s| !s.on_probation() && s.admits(ask.version, now).is_ok());
        let slow = searcher.on_probation() || good.any(|other| searcher.passed_over(other, typical));
        let passed_over = slow || searcher.is_silent(typical, now);
        Rank { passed_over, distance: self.distance(searcher), cost }
    }

    /// Returns whether an upstream stands in another region.
    #[must_use]
    pub fn is_far(&self, searcher: &Searcher) -> bool {
        self.distance(searcher) == Distance::Far
    }

    fn distance(&self, searcher: &Searcher) -> Distance {
        self.places.distance(&searcher.spec().zone)
    }

    /// Returns a replica that is passed over and should be looked at, by an
    /// extra request beside the one to the replica chosen. One that is farther
    /// than that would not be asked anyway.
    #[must_use]
    pub fn probe(&self, ask: &Ask<'_>, chosen: &UpstreamId, now: Instant) -> Option<UpstreamId> {
        let typical = self.pace(ask.kind).mean().as_secs_f64();
        let chosen_one = self.searchers.get(chosen)?;
        let due = |name: &&UpstreamId| {
            let found = self.searchers.get(*name);
            found.is_some_and(|s| {
                self.distance(s) <= self.distance(chosen_one)
                    && s.passed_over(chosen_one, typical)
                    && s.probe_due(now)
                    && s.admits(ask.version, now).is_ok()
            })
        };
        let others = ask.untried().filter(|name| *name != chosen);
        others.filter(due).map(Arc::clone).next()
    }

    /// Draws a number in 0..1 from the router's own seeded sequence.
    fn draw(&mut self) -> f64 {
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

    /// Takes a good reply's time into the pace of its kind of request, less its
    /// way.
    pub fn sample(&mut self, kind: &Arc<str>, name: &UpstreamId, took: Duration) {
        let own = took.saturating_sub(self.way_to(name));
        self.paces.entry(Arc::clone(kind)).or_default().sample(own);
    }

    /// Returns how long a request and its reply travel to an upstream and back.
    #[must_use]
    pub fn way_to(&self, name: &UpstreamId) -> Duration {
        let way = self.searchers.get(name).map_or(0.0, |searcher| self.way(searcher));
        Duration::from_secs_f64(way)
    }

    /// Takes an upstream's word; returns whether it was news.
    pub fn hear(&mut self, name: &UpstreamId, word: &Word) -> bool {
        self.searchers.get_mut(name).is_some_and(|s| s.hear(word))
    }

    /// Takes words that peers passed on.
    pub fn hear_all(&mut self, words: &[NamedWord]) {
        for named in words {
            self.hear(&named.upstream, &named.word);
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

/// Returns the bar that passes first; a known reason goes before no replica.
fn softer(held: Bar, found: Bar) -> Bar {
    if found.until < held.until || held.gap == Gap::NoReplica { found } else { held }
}
