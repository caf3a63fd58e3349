//! The choice of the replica that an attempt is sent to.

use std::sync::Arc;
use std::time::Instant;

use super::policy::Policy;
use super::rejections::CHECKED_SHARE;
use super::report::Bar;
use super::report::Until;
use super::router::Router;
use crate::domain::event::Score;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::Version;
use crate::domain::outcome::Gap;
use crate::domain::topology::Distance;

/// A replica chosen, with every candidate's score.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The replica.
    pub upstream: UpstreamId,
    /// All candidates' scores.
    pub scores: Vec<Score>,
}

/// How a candidate ranks: those that failed last, fell silent, reject often or take much
/// longer than the quickest, come after all others; then, where some reject, those that
/// answered a moment ago lead, and the nearer ones.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rank {
    passed_over: bool,
    unproven: bool,
    distance: Distance,
    cost: f64,
}

impl Rank {
    /// Before all others.
    const FIRST: Self = Self { passed_over: false, unproven: false, distance: Distance::Near, cost: 0.0 };
}

/// What is asked for when a replica is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The replicas configured for the shard.
    pub replicas: &'a [UpstreamId],
    /// Those already tried, in vain or still under way.
    pub tried: &'a [UpstreamId],
    /// Those that may be asked to see whether they still reject.
    pub checkable: &'a [UpstreamId],
    /// The snapshot's version.
    pub version: Version,
    /// The kind of request, for its pace.
    pub kind: &'a Arc<str>,
}

impl<'a> Ask<'a> {
    /// Asks for any of a shard's replicas, none of which was tried.
    #[must_use]
    pub fn first(replicas: &'a [UpstreamId], version: Version, kind: &'a Arc<str>) -> Self {
        Self { replicas, tried: &[], checkable: replicas, version, kind }
    }

    /// Returns the replicas that were not tried.
    fn untried(&self) -> impl Iterator<Item = &'a UpstreamId> {
        let tried = self.tried;
        self.replicas.iter().filter(move |name| !tried.contains(name))
    }
}

impl Router {
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
        let rejects = self.any_rejects(ask, now);
        let check = if rejects { self.draw_check(ask, now) } else { None };
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
                    let rank = if check.as_ref() == Some(name) {
                        Rank::FIRST
                    } else {
                        self.rank(name, cost, ask, rejects, (typical, now))
                    };
                    if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                        best = Some((rank, Arc::clone(name)));
                    }
                }
                Err(other) => bar = softer(bar, other),
            }
        }
        match best {
            Some((_, upstream)) => Ok(Choice { upstream, scores }),
            None => Err(bar),
        }
    }

    /// Says whether any of a shard's replicas rejects often.
    fn any_rejects(&self, ask: &Ask<'_>, now: Instant) -> bool {
        let rejects = |name| self.searchers.get(name).is_some_and(|s| s.rejections.is_rejecting(now));
        self.policy == Policy::Cost && ask.replicas.iter().any(rejects)
    }

    /// Draws whether a request checks a replica that rejects often, and returns that one.
    ///
    /// Only first attempts do: what is rejected can still go to another replica.
    fn draw_check(&mut self, ask: &Ask<'_>, now: Instant) -> Option<UpstreamId> {
        if !ask.tried.is_empty() || self.draw() >= CHECKED_SHARE {
            return None;
        }
        let found = |name| self.searchers.get(name).map(|searcher| (name, searcher));
        let warm = ask.checkable.iter().filter_map(found).filter(|(_, s)| !s.cold.is_cold(now));
        let due = warm.filter_map(|(name, searcher)| Some((searcher.rejections.due(now)?, name)));
        due.max().map(|(_, name)| Arc::clone(name))
    }

    fn score(&mut self, name: &UpstreamId, version: Version, typical: f64, now: Instant) -> Result<f64, Bar> {
        let draw = self.draw();
        let unknown = Bar { gap: Gap::NoReplica, until: Until::Never };
        let searcher = self.searchers.get(name).ok_or(unknown)?;
        searcher.admits(version, now)?;
        if searcher.cold.is_cold(now) && !self.settled.has_part(self.own.others, now) {
            return Err(Bar { gap: Gap::Cold, until: Until::Never });
        }
        Ok(self.policy.cost(searcher, typical, draw, now))
    }

    /// Ranks a replica beside the others that may be asked, of which some reject often or
    /// none does.
    fn rank(
        &self,
        name: &UpstreamId,
        cost: f64,
        ask: &Ask<'_>,
        rejects: bool,
        (typical, now): (f64, Instant),
    ) -> Rank {
        let found = self.searchers.get(name).filter(|_| self.policy == Policy::Cost);
        let Some(searcher) = found else {
            return Rank { passed_over: false, unproven: false, distance: Distance::Near, cost };
        };
        let others =
            ask.untried().filter(|other| *other != name).filter_map(|other| self.searchers.get(other));
        let mut good = others.filter(|s| !s.on_probation() && s.admits(ask.version, now).is_ok());
        let slow = searcher.on_probation() || good.any(|other| searcher.passed_over(other, typical, now));
        let passed_over = slow || searcher.is_silent(typical, now) || searcher.cold.is_cold(now);
        let unproven = rejects && !searcher.rejections.has_answered(now);
        Rank { passed_over, unproven, distance: searcher.distance, cost }
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
                s.distance <= chosen_one.distance
                    && s.passed_over(chosen_one, typical, now)
                    && !s.rejects_beside(chosen_one, now)
                    && s.probe_due(now)
                    && !s.cold.is_cold(now)
                    && s.admits(ask.version, now).is_ok()
            })
        };
        let others = ask.untried().filter(|name| *name != chosen);
        others.filter(due).map(Arc::clone).next()
    }
}

/// Returns the bar that passes first; a known reason goes before no replica.
fn softer(held: Bar, found: Bar) -> Bar {
    if found.until < held.until || held.gap == Gap::NoReplica { found } else { held }
}
