//! Selection of the replica that an attempt is sent to.

use std::sync::Arc;
use std::time::Instant;

use super::policy::Policy;
use super::rejections::CHECK_FRACTION;
use super::report::Exclusion;
use super::report::ExclusionEnd;
use super::router::Router;
use crate::domain::event::Score;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::Version;
use crate::domain::outcome::Gap;
use crate::domain::topology::Distance;

/// The selected replica and the scores of all candidates.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The selected replica.
    pub upstream: UpstreamId,
    /// The scores of all replicas that weren't tried before, the selected one included.
    pub scores: Vec<Score>,
}

/// The sort key of a candidate; the lowest is selected. Replicas that failed last, don't respond,
/// reject often, are cold or take much longer than another come last. Where some replica rejects
/// often, those that answered recently come first; then nearer ones, then cheaper ones.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rank {
    deprioritized: bool,
    unproven: bool,
    distance: Distance,
    cost: f64,
}

impl Rank {
    /// The rank before all others, of a replica that is selected for a check.
    const FIRST: Self = Self { deprioritized: false, unproven: false, distance: Distance::Near, cost: 0.0 };
}

/// The parameters of one replica selection.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// The replicas configured for the shard.
    pub replicas: &'a [UpstreamId],
    /// The replicas already tried, without success or still in flight.
    pub tried: &'a [UpstreamId],
    /// The replicas that a request may check to see whether they still reject.
    pub check_candidates: &'a [UpstreamId],
    /// The snapshot version that the replica has to serve.
    pub version: Version,
    /// The kind of request, which determines its usual latency.
    pub kind: &'a Arc<str>,
    /// Whether its index is scheduled, so that the slots of replicas limit the requests in flight.
    pub scheduled: bool,
    /// How many other requests wait for the shard, if its index is scheduled.
    pub ahead: u32,
}

impl<'a> ChoiceRequest<'a> {
    /// Creates the request of a first attempt: any of a shard's replicas, none tried before.
    #[must_use]
    pub fn first(replicas: &'a [UpstreamId], version: Version, kind: &'a Arc<str>) -> Self {
        Self { replicas, tried: &[], check_candidates: replicas, version, kind, scheduled: false, ahead: 0 }
    }

    pub(super) fn untried(&self) -> impl Iterator<Item = &'a UpstreamId> {
        let tried = self.tried;
        self.replicas.iter().filter(move |name| !tried.contains(name))
    }
}

impl Router {
    /// Selects the replica to send an attempt to.
    ///
    /// # Errors
    ///
    /// Returns why no replica is available now: of several reasons the one that ends first.
    pub fn choose(&mut self, request: &ChoiceRequest<'_>, now: Instant) -> Result<Choice, Exclusion> {
        if !self.lease.held(now) {
            return Err(Exclusion { gap: Gap::Unconfirmed, until: ExclusionEnd::Soon });
        }
        let typical = self.latency(request.kind).mean().as_secs_f64();
        let rejects = self.any_rejecting(request, now);
        let check = if rejects { self.draw_check(request, now) } else { None };
        let mut scores = Vec::with_capacity(request.replicas.len());
        let mut best: Option<(Rank, UpstreamId)> = None;
        let mut exclusion = Exclusion { gap: Gap::NoReplica, until: ExclusionEnd::Never };
        for name in request.untried() {
            let found = self.score(name, request, typical, now);
            scores.push(Score {
                upstream: Arc::clone(name),
                cost: found.ok().map(|cost| cost * 1000.0),
                barred: found.err().map(|exclusion| exclusion.gap),
            });
            match found {
                Ok(cost) => {
                    let rank = if check.as_ref() == Some(name) {
                        Rank::FIRST
                    } else {
                        self.rank(name, cost, request, rejects, (typical, now))
                    };
                    if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                        best = Some((rank, Arc::clone(name)));
                    }
                }
                Err(other) => exclusion = earlier(exclusion, other),
            }
        }
        match best {
            Some((_, upstream))
                if request.scheduled
                    && self.policy == Policy::Cost
                    && check.as_ref() != Some(&upstream)
                    && self.waits_for_slot(request, &upstream, (typical, now)) =>
            {
                Err(Exclusion { gap: Gap::Overloaded, until: ExclusionEnd::Soon })
            }
            Some((_, upstream)) => Ok(Choice { upstream, scores }),
            None => Err(exclusion),
        }
    }

    /// Returns whether any of a shard's replicas rejects often.
    fn any_rejecting(&self, request: &ChoiceRequest<'_>, now: Instant) -> bool {
        let rejects = |name| self.upstreams.get(name).is_some_and(|s| s.rejections.is_rejecting(now));
        self.policy == Policy::Cost && request.replicas.iter().any(rejects)
    }

    /// Decides at random whether a request checks a replica that rejects often; returns that
    /// replica, the one without a reply for the longest time.
    ///
    /// Only first attempts are used for checks: when one is rejected, another replica can still
    /// be tried.
    fn draw_check(&mut self, request: &ChoiceRequest<'_>, now: Instant) -> Option<UpstreamId> {
        if !request.tried.is_empty() || self.draw() >= CHECK_FRACTION {
            return None;
        }
        let found = |name| self.upstreams.get(name).map(|upstream| (name, upstream));
        let warm = request.check_candidates.iter().filter_map(found).filter(|(_, s)| !s.cold.is_cold(now));
        let due = warm.filter_map(|(name, upstream)| Some((upstream.rejections.check_due(now)?, name)));
        due.max().map(|(_, name)| Arc::clone(name))
    }

    fn score(
        &mut self,
        name: &UpstreamId,
        request: &ChoiceRequest<'_>,
        typical: f64,
        now: Instant,
    ) -> Result<f64, Exclusion> {
        let draw = self.draw();
        let unknown = Exclusion { gap: Gap::NoReplica, until: ExclusionEnd::Never };
        let upstream = self.upstreams.get(name).ok_or(unknown)?;
        upstream.check_available(request.version, request.scheduled, now)?;
        if upstream.cold.is_cold(now) && !self.startup.has_quota(self.local.expects_peers, now) {
            return Err(Exclusion { gap: Gap::Cold, until: ExclusionEnd::Never });
        }
        Ok(self.policy.cost(upstream, typical, draw, now))
    }

    /// Returns the rank of a replica among the others that are available. `rejects` tells whether
    /// any of the shard's replicas rejects often.
    fn rank(
        &self,
        name: &UpstreamId,
        cost: f64,
        request: &ChoiceRequest<'_>,
        rejects: bool,
        (typical, now): (f64, Instant),
    ) -> Rank {
        let found = self.upstreams.get(name).filter(|_| self.policy == Policy::Cost);
        let Some(upstream) = found else {
            return Rank { deprioritized: false, unproven: false, distance: Distance::Near, cost };
        };
        let others =
            request.untried().filter(|other| *other != name).filter_map(|other| self.upstreams.get(other));
        let mut good = others.filter(|s| {
            !s.on_probation() && s.check_available(request.version, request.scheduled, now).is_ok()
        });
        let slow = upstream.on_probation() || good.any(|other| upstream.ranks_behind(other, typical, now));
        let deprioritized = slow || upstream.is_silent(typical, now) || upstream.cold.is_cold(now);
        let unproven = rejects && !upstream.rejections.answered_recently(now);
        Rank { deprioritized, unproven, distance: upstream.distance, cost }
    }

    /// Returns a deprioritized replica that is due for a probe: an extra request beside the one to
    /// the chosen replica. Replicas farther away than the chosen one aren't probed, since they
    /// wouldn't be selected anyway.
    #[must_use]
    pub fn probe(
        &self,
        request: &ChoiceRequest<'_>,
        chosen: &UpstreamId,
        now: Instant,
    ) -> Option<UpstreamId> {
        let typical = self.latency(request.kind).mean().as_secs_f64();
        let current = self.upstreams.get(chosen)?;
        if request.scheduled && !self.has_spare_slots(request) {
            return None;
        }
        let due = |name: &&UpstreamId| {
            let found = self.upstreams.get(*name);
            found.is_some_and(|s| {
                s.distance <= current.distance
                    && s.ranks_behind(current, typical, now)
                    && !s.rejects_more(current, now)
                    && s.probe_due(now)
                    && !s.cold.is_cold(now)
                    && s.check_available(request.version, request.scheduled, now).is_ok()
            })
        };
        let others = request.untried().filter(|name| *name != chosen);
        others.filter(due).map(Arc::clone).next()
    }
}

/// Returns the exclusion that ends first; any other reason takes precedence over a missing
/// replica.
fn earlier(held: Exclusion, found: Exclusion) -> Exclusion {
    if found.until < held.until || held.gap == Gap::NoReplica { found } else { held }
}
