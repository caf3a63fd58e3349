//! Finding the plan of a request, and by when it is to be answered.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::message::LookupRequest;
use super::message::Terms;
use super::worker::Worker;
use crate::domain::accounts::Asker;
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

/// How often it looks whether the confirmation came.
const CONFIRM_POLL: Duration = Duration::from_millis(2);

/// A request that found its plan.
#[derive(Clone)]
pub(super) struct Found {
    pub plan: Arc<LookupPlan>,
    /// What is asked, and for whom.
    pub work: Work,
    pub start: Instant,
    pub deadline: Instant,
    /// When an answer with enough shards is given.
    pub objective: Option<Instant>,
    /// Whether another daemon was handed the request before.
    pub again: bool,
    /// Whether its objective had passed when it came.
    pub late: bool,
    /// Whose request it is.
    pub asker: Asker,
    /// The only regions in which it may be served, by its lookup and its account; everywhere
    /// where empty.
    pub regions: Regions,
}

impl Found {
    /// Takes whose request it is.
    ///
    /// # Errors
    ///
    /// Returns that its account and its lookup have no region in common.
    pub fn asked_by(mut self, asker: &Asker, request: &LookupRequest) -> Result<Self, Code> {
        self.regions = regions_of(&self.plan, asker)?;
        self.work = Work::new(&request.lookup, asker.account.as_ref(), &request.query);
        self.asker = asker.clone();
        Ok(self)
    }

    /// Returns the request as it stands before the gate.
    pub fn arrival(&self) -> Arrival {
        let Lookup { urgency, team, .. } = &*self.plan.lookup;
        Arrival {
            urgency: self.asker.urgency.unwrap_or(*urgency),
            team: self.asker.share_of(team),
            deadline: self.deadline,
            due: self.objective.filter(|_| !self.late),
            late: self.late,
        }
    }

    /// Returns when half of the time until the deadline is over.
    pub fn halfway(&self) -> Instant {
        self.start + self.deadline.saturating_duration_since(self.start) / 2
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Finds the plan of a request. After a pause it is found again, since
    /// what was in force before may no longer be.
    pub(super) async fn find_confirmed(
        &self,
        request: &LookupRequest,
        start: Instant,
    ) -> Result<Found, Code> {
        let found = self.find(request, start)?;
        if self.is_confirmed() {
            return self.find_current(request, found).await;
        }
        if !self.wait_confirmed(&found).await {
            return Err(Code::Unconfirmed);
        }
        self.find(request, start)
    }

    /// Finds the plan again where callers have seen a newer edition here than the one
    /// in force, which is on its way: nothing runs here under the older one, nor does a key
    /// open anything by it that another daemon would run.
    async fn find_current(&self, request: &LookupRequest, found: Found) -> Result<Found, Code> {
        let is_current = || self.edition() >= self.seen_edition();
        let decides = found.plan.member || self.view.borrow().directory.is_required();
        if is_current() || !decides {
            return Ok(found);
        }
        let until = found.deadline.min(found.start + CONFIRM_WAIT);
        while !is_current() {
            if self.ports.clock.now() >= until {
                return Err(Code::OlderView);
            }
            self.ports.clock.sleep(CONFIRM_POLL).await;
        }
        self.find(request, found.start)
    }

    fn is_confirmed(&self) -> bool {
        let now = self.ports.clock.now();
        self.router.borrow().lease().held(now)
    }

    fn find(&self, request: &LookupRequest, start: Instant) -> Result<Found, Code> {
        let view = self.view.borrow();
        if view.revision.is_none() {
            return Err(Code::NoConfiguration);
        }
        let plan = view.lookups.get(request.lookup.as_str()).ok_or(Code::UnknownLookup)?;
        let plan = self.part_of(plan);
        let own = Duration::from_millis(plan.lookup.deadline_ms);
        let time = request.limit.map_or(own, |limit| limit.min(own)).saturating_sub(self.held_up());
        let Terms { gather, again, late, .. } = request.origin.terms();
        let aim = match gather {
            Some(gather) => Some(Aim { time: gather, late }),
            None => self.aim(&plan, request.limit),
        };
        let objective = aim.map(|aim| start + aim.time);
        let late = aim.is_some_and(|aim| aim.late);
        let deadline = start + time;
        let asker = request.asker.clone();
        let regions = regions_of(&plan, &asker)?;
        let work = Work::new(&request.lookup, asker.account.as_ref(), &request.query);
        Ok(Found { plan, work, start, deadline, objective, again, late, asker, regions })
    }

    /// Returns for how long what is read now may have waited here.
    pub(super) fn held_up(&self) -> Duration {
        let now = self.ports.clock.now();
        self.router.borrow().lease().queueing_delay(now)
    }

    /// Returns within which time an answer with enough shards is given to a caller that
    /// has `limit` left; none without an objective.
    fn aim(&self, plan: &LookupPlan, limit: Option<Duration>) -> Option<Aim> {
        let objective = Duration::from_millis(plan.lookup.objective_ms?);
        let used = limit.map_or(Duration::ZERO, |left| self.used_time(&plan.name, left));
        Some(aim(objective, used, self.settings.margin))
    }

    /// Picks the part of a divided lookup whose turn it is, so that each gets
    /// its share of any few requests.
    fn part_of(&self, plan: &Arc<LookupPlan>) -> Arc<LookupPlan> {
        let total: i64 = plan.parts.iter().map(|part| i64::from(part.weight)).sum();
        let mut turns = self.turns.borrow_mut();
        let turns = turns.entry(Arc::clone(&plan.name)).or_default();
        turns.resize(plan.parts.len(), 0);
        for (turn, part) in turns.iter_mut().zip(&plan.parts) {
            *turn += i64::from(part.weight);
        }
        let next = turns.iter().enumerate().max_by_key(|(_, turn)| **turn).map(|(at, _)| at);
        let Some(next) = next else { return Arc::clone(plan) };
        turns[next] -= total;
        Arc::clone(&plan.parts[next].plan)
    }

    /// Returns how much of its caller's time a request had used when it came:
    /// what is left lacks that much of what its kind usually comes with.
    fn used_time(&self, name: &Arc<str>, left: Duration) -> Duration {
        let mut time_limits = self.time_limits.borrow_mut();
        let usual = time_limits.entry(Arc::clone(name)).or_default();
        usual.record(left);
        usual.typical().saturating_sub(left)
    }

    /// Waits for the lease after a pause; a once-only request does not wait,
    /// since its bytes may be older than the pause.
    async fn wait_confirmed(&self, found: &Found) -> bool {
        let until = found.deadline.min(found.start + CONFIRM_WAIT);
        loop {
            if self.is_confirmed() {
                return true;
            }
            let now = self.ports.clock.now();
            if now >= until || !found.plan.lookup.repeatable {
                return false;
            }
            self.ports.clock.sleep(CONFIRM_POLL).await;
        }
    }
}

/// Returns the regions in which an asker's requests for a lookup may be served.
fn regions_of(plan: &LookupPlan, asker: &Asker) -> Result<Regions, Code> {
    intersect(&plan.lookup.regions, &asker.regions).ok_or(Code::NoRegion)
}

/// Within which time an answer is given that has enough shards.
#[derive(Clone, Copy)]
struct Aim {
    time: Duration,
    /// Whether its objective has passed.
    late: bool,
}

/// Returns how long an answer may take so that it is back within its objective:
/// less what was used before, and less a margin for the way back. Where the
/// objective can no longer be met, what is left of it has no meaning, and the
/// answer has the whole objective to gather shards.
fn aim(objective: Duration, used: Duration, margin: Duration) -> Aim {
    let left = objective.saturating_sub(used + margin);
    let late = left.is_zero();
    Aim { time: if late { objective } else { left }, late }
}
