//! The fan-outs of one admitted request: the choice of its snapshot and of its shards, and a second
//! fan-out where the first snapshot is not held.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::find::ResolvedRequest;
use super::gate::GatePermit;
use super::job::Job;
use super::run::RETRY_AFTER;
use super::run::build_answer;
use super::run::refuse;
use super::worker::Worker;
use crate::domain::code::Code;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::fanout::AnswerRules;
use crate::domain::fanout::FanoutResult;
use crate::domain::fanout::MAX_ATTEMPTS;
use crate::domain::fanout::MAX_TRIALS;
use crate::domain::fanout::Overrun;
use crate::domain::ids::AttemptId;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Gap;
use crate::domain::query::Query;
use crate::domain::resources::Preference;
use crate::domain::snapshot;
use crate::domain::view::Plan;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Trace;

/// The margin kept for an answer's return is divided by this: one part is for this daemon's own
/// processing.
const PROCESSING_DIVISOR: u32 = 2;

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Fans out at the best snapshot, and once more at another where the first turned out not to be
    /// held by its upstreams and the request may be repeated.
    pub(super) async fn fan_out_with_fallback(
        self: &Rc<Self>,
        job: &Job,
        resolved: &ResolvedRequest,
        permit: GatePermit<U, P, C>,
        trace: &mut Trace<C>,
    ) -> Answer {
        let mut first: AttemptId = 0;
        let mut tried = None;
        let mut permit = Some(permit);
        loop {
            let Some(plan) = self.choose_snapshot(resolved) else {
                return refuse(trace, Code::NoReplica, RETRY_AFTER);
            };
            let (index, version) = (plan.index.to_string(), plan.version);
            trace.emit(Event::SnapshotChosen { index, version, shards: plan.shards.len() });
            let grouped = is_mergeable(job);
            let reserved = self.settings.margin / PROCESSING_DIVISOR;
            let mut rules = AnswerRules {
                grouped,
                repeated: resolved.again,
                ..self.rules(resolved, self.overruns.own.get(), reserved)
            };
            // Shards have already been queried where this is the second snapshot.
            if tried.is_none() {
                match self.decide_room(resolved, &plan, &rules, trace) {
                    Ok(left_out) => rules.left_out = left_out,
                    Err(wait) => return refuse(trace, Code::NoShardRoom, wait),
                }
            }
            let run = self.fan_out(job, &plan, &rules, first, (&mut permit, trace)).await;
            self.record_overrun(&self.overruns.own, &rules);
            self.record_size(resolved, &run.finished);
            let again = tried.is_none() && self.has_better_snapshot(&run.finished, &plan, resolved);
            if !again {
                if self.has_cell_moved(resolved, &run.finished) {
                    return refuse(trace, Code::NotMember, Duration::ZERO);
                }
                if let Some(permit) = permit {
                    permit.release(run.congestion);
                }
                return build_answer(trace, &plan, run.finished, resolved);
            }
            let missing = run.finished.coverage.missing.len();
            trace.emit(Event::SnapshotAbandoned { version, missing });
            tried = Some(version);
            first = run.next;
        }
    }

    pub(super) fn choose_snapshot(&self, resolved: &ResolvedRequest) -> Option<Arc<Plan>> {
        let router = self.router.borrow();
        let plans = &resolved.plan.plans;
        let plan = snapshot::choose(plans, |upstream, version| router.can_serve(upstream, version))?;
        if resolved.requester.regions.is_empty() {
            return Some(Arc::clone(plan));
        }
        drop(router);
        Some(Arc::new(self.restrict_regions((**plan).clone(), &resolved.regions)))
    }

    pub(super) fn rules(
        &self,
        resolved: &ResolvedRequest,
        overrun: Overrun,
        reserved: Duration,
    ) -> AnswerRules {
        let lookup = &resolved.plan.lookup;
        AnswerRules {
            rank: lookup.rank,
            repeatable: lookup.repeatable,
            prefer: lookup.prefer,
            start: resolved.start,
            deadline: resolved.deadline,
            hedge_factor: self.settings.hedge,
            fixed_delay: self.settings.fixed_hedge,
            kind: Arc::clone(&resolved.plan.name),
            objective: resolved.objective,
            cutoff: resolved
                .objective
                .map(|objective| overrun.cutoff(self.ports.clock.now(), objective, reserved)),
            min_share: lookup.least_share,
            min_possible: None,
            left_out: Vec::new(),
            grouped: false,
            repeated: false,
            attempts: lookup.attempts.unwrap_or(MAX_ATTEMPTS),
            trials: MAX_TRIALS,
        }
    }

    /// Records how long after its cutoff an answer is given, which is now.
    pub(super) fn record_overrun(&self, overruns: &Cell<Overrun>, rules: &AnswerRules) {
        let (Some(cut), Some(objective)) = (rules.cutoff, rules.objective) else { return };
        let time = objective.saturating_duration_since(rules.start);
        let mut overrun = overruns.get();
        overrun.sample(cut, time, self.ports.clock.now());
        overruns.set(overrun);
    }

    /// Returns whether the cell moved while a request waited here and ran nowhere, so that a member
    /// may run it. Attempts that an upstream may have refused meanwhile are charged to the rerun
    /// budget.
    fn has_cell_moved(&self, resolved: &ResolvedRequest, finished: &FanoutResult) -> bool {
        let moved = !self.is_member(resolved);
        let unsent = finished.sent.iter().all(|sent| *sent == 0);
        let is_paid = || unsent || self.rerun_budget.borrow_mut().spend_retry();
        moved && finished.code == Code::NoReplica && is_paid()
    }

    /// Returns whether another snapshot promises a better answer than this result.
    fn has_better_snapshot(
        &self,
        finished: &FanoutResult,
        plan: &Arc<Plan>,
        resolved: &ResolvedRequest,
    ) -> bool {
        let unheld = |gap: Gap| matches!(gap, Gap::SnapshotMissing | Gap::SnapshotWrong | Gap::ShardMoved);
        let lost = finished.coverage.missing.iter().any(|missing| unheld(missing.why));
        let time_left = self.ports.clock.now() < resolved.start + (resolved.deadline - resolved.start) / 2;
        let lookup = &resolved.plan.lookup;
        let worth =
            lookup.prefer == Preference::Coverage || finished.coverage.contributed.is_empty() || time_left;
        let other = self.choose_snapshot(resolved).is_some_and(|next| next.version != plan.version);
        lookup.repeatable && lost && time_left && worth && other
    }
}

/// Returns whether a request's shards may be delegated in groups: the delegates merge the records,
/// and what is lost with a daemon may be queried again.
fn is_mergeable(job: &Job) -> bool {
    job.merge.is_some() && !job.once && matches!(job.query, Query::Opaque(_))
}
