//! Resolves a request: finds its plan, and the times by which it is to be answered.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::message::ForwardTerms;
use super::message::LookupRequest;
use super::stop::Entry;
use super::stop::PassedOn;
use super::worker::Worker;
use crate::domain::accounts::Requester;
use crate::domain::admission::Arrival;
use crate::domain::code::Code;
use crate::domain::residency::Regions;
use crate::domain::residency::intersect;
use crate::domain::resources::Lookup;
use crate::domain::view::LookupPlan;
use crate::domain::work::Work;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;

/// How long a repeatable request waits for a confirmation after a pause.
const CONFIRM_WAIT: Duration = Duration::from_millis(500);

/// How often a waiting request checks for the confirmation.
const CONFIRM_POLL: Duration = Duration::from_millis(2);

/// A request whose plan is known.
#[derive(Clone)]
pub(super) struct ResolvedRequest {
    pub plan: Arc<LookupPlan>,
    /// Identifies what is asked, and for whom.
    pub work: Work,
    pub start: Instant,
    pub deadline: Instant,
    /// When an answer with enough shards is given.
    pub objective: Option<Instant>,
    /// Whether the request was forwarded to another daemon before.
    pub again: bool,
    /// Whether its objective had passed when it arrived.
    pub late: bool,
    /// On whose behalf the request runs.
    pub requester: Requester,
    /// The only regions in which it may be served, by its lookup and its account; every region
    /// where empty.
    pub regions: Regions,
    /// Whether it may have reached an upstream or another daemon.
    pub passed_on: PassedOn,
}

impl ResolvedRequest {
    /// Sets on whose behalf the request runs.
    ///
    /// # Errors
    ///
    /// Returns that its account and its lookup have no region in common.
    pub fn with_requester(mut self, requester: &Requester, request: &LookupRequest) -> Result<Self, Code> {
        self.regions = allowed_regions(&self.plan, requester)?;
        self.work = Work::new(&request.lookup, requester.account.as_ref(), &request.query);
        self.requester = requester.clone();
        Ok(self)
    }

    /// Returns the request as the gate sees it.
    pub fn arrival(&self) -> Arrival {
        let Lookup { urgency, team, .. } = &*self.plan.lookup;
        Arrival {
            urgency: self.requester.urgency.unwrap_or(*urgency),
            team: self.requester.share_owner(team),
            deadline: self.deadline,
            due: self.objective.filter(|_| !self.late),
            late: self.late,
        }
    }

    /// Returns when the request began, to resolve it again.
    pub fn entry(&self) -> Entry {
        Entry { at: self.start, passed_on: self.passed_on.clone() }
    }

    /// Returns when half of the time until the deadline has passed.
    pub fn halfway(&self) -> Instant {
        self.start + self.deadline.saturating_duration_since(self.start) / 2
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Resolves a request. After a pause it is resolved again once the configuration is confirmed,
    /// since the one that was active before may no longer be.
    pub(super) async fn resolve_confirmed(
        &self,
        request: &LookupRequest,
        entry: &Entry,
    ) -> Result<ResolvedRequest, Code> {
        let resolved = self.resolve(request, entry)?;
        if self.is_confirmed() {
            return self.resolve_current(request, resolved, entry).await;
        }
        if !self.wait_confirmed(&resolved).await {
            return Err(Code::Unconfirmed);
        }
        self.resolve(request, entry)
    }

    /// Resolves the request again where callers have seen a newer edition here than the active one,
    /// which is then on its way. Nothing runs here under the older edition, nor is a key accepted
    /// under it for a request that another daemon would run.
    async fn resolve_current(
        &self,
        request: &LookupRequest,
        resolved: ResolvedRequest,
        entry: &Entry,
    ) -> Result<ResolvedRequest, Code> {
        let is_current = || self.edition() >= self.seen_edition();
        let decides = resolved.plan.member || self.view.borrow().directory.is_required();
        if is_current() || !decides {
            return Ok(resolved);
        }
        let until = resolved.deadline.min(resolved.start + CONFIRM_WAIT);
        while !is_current() {
            if self.ports.clock.now() >= until {
                return Err(Code::OlderView);
            }
            self.ports.clock.sleep(CONFIRM_POLL).await;
        }
        self.resolve(request, entry)
    }

    fn is_confirmed(&self) -> bool {
        let now = self.ports.clock.now();
        self.router.borrow().lease().held(now)
    }

    /// Finds the plan of a request in the current view.
    pub(super) fn resolve(&self, request: &LookupRequest, entry: &Entry) -> Result<ResolvedRequest, Code> {
        let start = entry.at;
        let view = self.view.borrow();
        if view.revision.is_none() {
            return Err(Code::NoConfiguration);
        }
        let plan = view.lookups.get(request.lookup.as_str()).ok_or(Code::UnknownLookup)?;
        let plan = self.choose_part(plan);
        let own = Duration::from_millis(plan.lookup.deadline_ms);
        let time = request.limit.map_or(own, |limit| limit.min(own)).saturating_sub(self.possible_delay());
        let ForwardTerms { gather, again, late, .. } = request.origin.terms();
        let target = match gather {
            Some(gather) => Some(AnswerTarget { time: gather, late }),
            None => self.answer_target(&plan, request.limit),
        };
        let objective = target.map(|target| start + target.time);
        let late = target.is_some_and(|target| target.late);
        let deadline = self.within_stop(start + time);
        let requester = request.requester.clone();
        let regions = allowed_regions(&plan, &requester)?;
        let work = Work::new(&request.lookup, requester.account.as_ref(), &request.query);
        let passed_on = entry.passed_on.clone();
        Ok(ResolvedRequest {
            plan,
            work,
            start,
            deadline,
            objective,
            again,
            late,
            requester,
            regions,
            passed_on,
        })
    }

    /// Returns for how long a message that is read now may have waited in its socket.
    pub(super) fn possible_delay(&self) -> Duration {
        let now = self.ports.clock.now();
        self.router.borrow().lease().queueing_delay(now)
    }

    /// Returns the time within which an answer with enough shards is given to a caller that has
    /// `limit` left; none without an objective.
    fn answer_target(&self, plan: &LookupPlan, limit: Option<Duration>) -> Option<AnswerTarget> {
        let objective = Duration::from_millis(plan.lookup.objective_ms?);
        let elapsed = limit.map_or(Duration::ZERO, |left| self.elapsed_time(&plan.name, left));
        Some(answer_target(objective, elapsed, self.settings.margin))
    }

    /// Chooses a part of a divided lookup by smooth weighted round-robin, so that even a few
    /// requests in a row are spread by weight.
    fn choose_part(&self, plan: &Arc<LookupPlan>) -> Arc<LookupPlan> {
        let total: i64 = plan.parts.iter().map(|part| i64::from(part.weight)).sum();
        let mut credits = self.part_credits.borrow_mut();
        let credits = credits.entry(Arc::clone(&plan.name)).or_default();
        credits.resize(plan.parts.len(), 0);
        for (credit, part) in credits.iter_mut().zip(&plan.parts) {
            *credit += i64::from(part.weight);
        }
        let next = credits.iter().enumerate().max_by_key(|(_, credit)| **credit).map(|(at, _)| at);
        let Some(next) = next else { return Arc::clone(plan) };
        credits[next] -= total;
        Arc::clone(&plan.parts[next].plan)
    }

    /// Estimates how much of its caller's time a request had used when it arrived: the usual time
    /// limit of its lookup less what is left.
    fn elapsed_time(&self, name: &Arc<str>, left: Duration) -> Duration {
        let mut time_limits = self.time_limits.borrow_mut();
        let usual = time_limits.entry(Arc::clone(name)).or_default();
        usual.record(left);
        usual.typical().saturating_sub(left)
    }

    /// Waits for the lease after a pause. A once-only request does not wait, since it may have been
    /// sent before the pause.
    async fn wait_confirmed(&self, resolved: &ResolvedRequest) -> bool {
        let until = resolved.deadline.min(resolved.start + CONFIRM_WAIT);
        loop {
            if self.is_confirmed() {
                return true;
            }
            let now = self.ports.clock.now();
            if now >= until || !resolved.plan.lookup.repeatable {
                return false;
            }
            self.ports.clock.sleep(CONFIRM_POLL).await;
        }
    }
}

/// Returns the regions in which a requester's requests for a lookup may be served.
fn allowed_regions(plan: &LookupPlan, requester: &Requester) -> Result<Regions, Code> {
    intersect(&plan.lookup.regions, &requester.regions).ok_or(Code::NoRegion)
}

/// The time within which an answer with enough shards is given.
#[derive(Clone, Copy)]
struct AnswerTarget {
    time: Duration,
    /// Whether the objective has passed.
    late: bool,
}

/// Returns how long an answer may take so that it is back within its objective: the objective less
/// the time used before, and less a margin for the answer's return. Where the objective can no
/// longer be met, the remainder has no meaning, and the answer has the whole objective to gather
/// shards.
fn answer_target(objective: Duration, elapsed: Duration, margin: Duration) -> AnswerTarget {
    let left = objective.saturating_sub(elapsed + margin);
    let late = left.is_zero();
    AnswerTarget { time: if late { objective } else { left }, late }
}
