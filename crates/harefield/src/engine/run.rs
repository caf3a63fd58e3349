//! The life of one request in a worker, from its arrival to its answer.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::find::ResolvedRequest;
use super::gate::GatePermit;
use super::identity::Refusal;
use super::job::Job;
use super::message::LookupRequest;
use super::message::Origin;
use super::worker::Worker;
use crate::domain::code::Code;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::fanout::AnswerRules;
use crate::domain::fanout::FanoutResult;
use crate::domain::fanout::MAX_ATTEMPTS;
use crate::domain::fanout::MAX_TRIALS;
use crate::domain::fanout::Overrun;
use crate::domain::hlc::Stamp;
use crate::domain::ids::AttemptId;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Gap;
use crate::domain::outcome::Outcome;
use crate::domain::outcome::SnapshotName;
use crate::domain::query::Query;
use crate::domain::resources::Preference;
use crate::domain::snapshot;
use crate::domain::time::micros;
use crate::domain::time::millis;
use crate::domain::view::Plan;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Batch;
use crate::telemetry::Trace;

/// How long a refused caller is told to wait when no better estimate is known.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// How long a refused caller is told to wait when only another configuration helps: the users
/// require one to be active within 3 to 5 s.
pub(super) const CONFIG_RETRY: Duration = Duration::from_secs(5);

/// The margin kept for an answer's return is divided by this: one part is for this daemon's own
/// processing.
const PROCESSING_DIVISOR: u32 = 2;

/// Counts a request or group as in progress until dropped, and reports it as abandoned if its
/// caller disconnected first.
pub(super) struct RequestGuard<'a, U, P, C> {
    worker: &'a Worker<U, P, C>,
    abandoned: Option<Batch>,
}

impl<U, P, C> Drop for RequestGuard<'_, U, P, C> {
    fn drop(&mut self) {
        self.worker.running.set(self.worker.running.get() - 1);
        if let Some(batch) = self.abandoned.take() {
            self.worker.telemetry.send(batch);
        }
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Answers a request.
    ///
    /// Dropping the future cancels the request, except that a once-only request that has begun runs
    /// on and its outcome stays with its ticket.
    pub async fn lookup(self: &Rc<Self>, request: LookupRequest) -> Answer {
        let start = self.ports.clock.now();
        let mut trace = self.request_trace(request.request.as_deref());
        if let Origin::Peer { host, stamp, .. } = &request.origin {
            self.receive_stamp(*stamp);
            trace.emit(Event::ForwardTaken { from: Arc::clone(host) });
        }
        let abandoned = Event::CallerGone { lookup: request.lookup.clone() };
        let abandoned =
            Batch { request: trace.request().map(Arc::clone), events: vec![(trace.stamp(), abandoned)] };
        let mut progress = self.track_request(Some(abandoned));
        let answer = self.process(&request, start, &mut trace).await;
        self.record_answer(&request, &answer, start, &mut trace);
        progress.abandoned = None;
        answer
    }

    /// Counts a request or group as in progress. `abandoned` is sent if the guard is dropped before
    /// that is taken out.
    pub(super) fn track_request(&self, abandoned: Option<Batch>) -> RequestGuard<'_, U, P, C> {
        self.running.set(self.running.get() + 1);
        RequestGuard { worker: self, abandoned }
    }

    /// Merges the stamp of a message from another daemon into the hybrid clock.
    pub(super) fn receive_stamp(&self, stamp: Stamp) {
        self.hybrid.borrow_mut().receive(self.ports.clock.wall(), stamp);
    }

    /// Returns a stamp for a message to another daemon.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.hybrid.borrow_mut().tick(self.ports.clock.wall())
    }

    fn record_answer(&self, request: &LookupRequest, answer: &Answer, start: Instant, trace: &mut Trace<C>) {
        if answer.outcome == Outcome::NotRun {
            let (lookup, retry_after) = (request.lookup.clone(), answer.retry_after);
            trace.emit(Event::Refused { lookup, code: answer.code, retry_after });
        }
        let took = self.ports.clock.now().saturating_duration_since(start);
        trace.emit(Event::Answered {
            lookup: request.lookup.clone(),
            outcome: answer.outcome,
            code: answer.code,
            contributed: answer.coverage.contributed.len(),
            missing: answer.coverage.missing.len(),
            micros: micros(took),
        });
        self.count(|counts| counts.answered += 1);
    }

    async fn process(
        self: &Rc<Self>,
        request: &LookupRequest,
        start: Instant,
        trace: &mut Trace<C>,
    ) -> Answer {
        if let Some(code) = self.decline_reason(request) {
            return refuse(trace, code, Duration::ZERO);
        }
        let resolved = match self.resolve_confirmed(request, start).await {
            Ok(resolved) => resolved,
            Err(code) => return refuse(trace, code, retry_wait(code)),
        };
        match self.identify(request, &resolved).await {
            Ok(authorization) => self.answer_authorized(authorization, request, resolved, trace).await,
            Err(refusal) => reject_caller(trace, &refusal),
        }
    }

    /// Answers a request that is resolved and whose caller is authorized.
    pub(super) async fn answer_resolved(
        self: &Rc<Self>,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Answer {
        if let Some(answer) = self.check_suspect(request, resolved, trace).await {
            return answer;
        }
        if resolved.plan.lookup.repeatable || matches!(request.query, Query::Opaque(_)) {
            return self.run_or_forward(request, resolved, trace).await;
        }
        self.once(request, resolved, trace).await
    }

    /// Returns why this daemon declines a request that another one forwarded: it would run under an
    /// older configuration than it was admitted under, was admitted by a daemon that does not know
    /// of accounts yet, or must go to another member since this daemon is stopping.
    fn decline_reason(&self, request: &LookupRequest) -> Option<Code> {
        let origin = &request.origin;
        if *origin == Origin::Caller {
            return None;
        }
        let unnamed = !request.requester.checked && self.view.borrow().directory.is_required();
        if unnamed || origin.terms().edition.max(self.seen_edition()) > self.edition() {
            return Some(Code::OlderView);
        }
        if self.is_stopping() {
            return Some(Code::NotMember);
        }
        self.charge_repeat(origin.terms().again)
    }

    /// Charges the rerun budget for a request that another member may be running as well; a first
    /// forward earns budget instead. The charge is made here, where the request runs, and not where
    /// it came in: a cell has few members, so that their shares of what the fleet may add are large
    /// enough to be useful, and add up to no more.
    fn charge_repeat(&self, again: bool) -> Option<Code> {
        let mut budget = self.rerun_budget.borrow_mut();
        if !again {
            budget.earn();
            return None;
        }
        let paid = budget.spend_retry();
        (!paid).then_some(Code::NotMember)
    }

    async fn run_or_forward(
        self: &Rc<Self>,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Answer {
        if resolved.plan.member {
            let answer = self.run(request, resolved, trace).await;
            if answer.code != Code::NotMember {
                return answer;
            }
        }
        match &request.origin {
            Origin::Caller => self.forward(request, resolved, trace).await,
            Origin::Peer { .. } => refuse(trace, Code::NotMember, Duration::ZERO),
        }
    }

    /// Runs a request here: passes the gate, chooses a snapshot and fans out.
    pub(super) async fn run(
        self: &Rc<Self>,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Answer {
        let lookup = &resolved.plan.lookup;
        let arrival = resolved.arrival();
        let index: Arc<str> = lookup.index.as_str().into();
        let permit = match self.enter_gate(&index, arrival.clone()).await {
            Ok(permit) => permit,
            Err(refusal) => return refuse(trace, refusal.code, refusal.wait),
        };
        let _reservation = match self.reserve_memory(resolved).await {
            Ok(reservation) => reservation,
            Err(wait) => return refuse(trace, Code::NoRoom, wait),
        };
        // Nothing has run yet, so a current member can take the request. This daemon's capacity is
        // for what it began before it left the cell.
        if !self.is_member(resolved) {
            return refuse(trace, Code::NotMember, Duration::ZERO);
        }
        let waited = self.ports.clock.now().saturating_duration_since(resolved.start);
        let job = Job::new(request, resolved, trace.request());
        trace.emit(Event::Admitted {
            lookup: request.lookup.clone(),
            work: resolved.work.exact,
            account: resolved.requester.account.clone(),
            urgency: arrival.urgency,
            waited: micros(waited),
            objective: lookup.objective_ms,
            due: resolved.objective.map(|at| micros(at.saturating_duration_since(resolved.start))),
        });
        self.fan_out_with_fallback(&job, resolved, permit, trace).await
    }

    /// Fans out at the best snapshot, and once more at another where the first turned out not to be
    /// held by its upstreams and the request may be repeated.
    async fn fan_out_with_fallback(
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
            let rules = AnswerRules {
                grouped,
                repeated: resolved.again,
                ..self.rules(resolved, self.overruns.own.get(), reserved)
            };
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

    /// Returns whether this daemon is still in the cell of a request's index.
    fn is_member(&self, resolved: &ResolvedRequest) -> bool {
        self.router.borrow().is_member(&resolved.plan.lookup.index, &self.settings.host)
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

pub(super) fn refuse<C: Clock>(trace: &Trace<C>, code: Code, wait: Duration) -> Answer {
    let wait = millis(wait).max(1);
    let request = trace.request().map_or("", |id| id);
    Answer::not_run(request, code, Some(wait))
}

/// Returns how long a caller is told to wait when that follows from the code alone.
pub(super) fn retry_wait(code: Code) -> Duration {
    if code == Code::NoRegion { CONFIG_RETRY } else { RETRY_AFTER }
}

/// Refuses a request that is not authorized. The caller is told when to retry only if the refusal
/// may end by itself.
pub(super) fn reject_caller<C: Clock>(trace: &Trace<C>, refusal: &Refusal) -> Answer {
    let request = trace.request().map_or("", |id| id);
    Answer::not_run(request, refusal.code, refusal.wait.map(|wait| millis(wait).max(1)))
}

pub(super) fn may_have_run<C: Clock>(trace: &Trace<C>, code: Code) -> Answer {
    Answer::may_have_run(trace.request().map_or("", |id| id), code)
}

pub(super) fn build_answer<C: Clock>(
    trace: &Trace<C>,
    plan: &Plan,
    finished: FanoutResult,
    resolved: &ResolvedRequest,
) -> Answer {
    let request = trace.request().map_or("", |id| id);
    let mut answer = Answer::empty(request, finished.outcome, finished.code);
    answer.snapshot = Some(SnapshotName { index: plan.index.to_string(), version: plan.version });
    answer.coverage = finished.coverage;
    answer.results = finished.parts;
    answer.failure = finished.failure;
    answer.merge = resolved.plan.lookup.merge;
    if answer.outcome == Outcome::NotRun {
        answer.retry_after = Some(millis(retry_wait(answer.code)));
    }
    answer
}
