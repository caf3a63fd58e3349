//! The life of one request in a worker, from its arrival to its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::find::ResolvedRequest;
use super::forward_attempt::is_redirect;
use super::identity::Refusal;
use super::job::Job;
use super::message::LookupRequest;
use super::message::Origin;
use super::stop::Entry;
use super::stop::end_at_stop;
use super::worker::Worker;
use crate::domain::code::Code;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::fanout::FanoutResult;
use crate::domain::hlc::Stamp;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Outcome;
use crate::domain::outcome::SnapshotName;
use crate::domain::query::Query;
use crate::domain::time::micros;
use crate::domain::time::wait_millis;
use crate::domain::view::Plan;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Batch;
use crate::telemetry::Trace;

/// How long a refused caller is told to wait when no better estimate is known.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(200);

/// How long a refused caller is told to wait when only another configuration helps: the users
/// require one to be active within 3 to 5 s.
pub(super) const CONFIG_RETRY: Duration = Duration::from_secs(5);

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
        let entry = Entry::new(start);
        let answered = self.before_stop(self.process(&request, &entry, &mut trace)).await;
        let mut answer = answered.unwrap_or_else(|| end_at_stop(&entry.passed_on, &trace));
        self.finish_for_stop(&mut answer);
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
        entry: &Entry,
        trace: &mut Trace<C>,
    ) -> Answer {
        if let Some(code) = self.decline_reason(request) {
            return refuse(trace, code, Duration::ZERO);
        }
        let resolved = match self.resolve_confirmed(request, entry).await {
            Ok(resolved) => resolved,
            Err(code) => return refuse(trace, code, retry_wait(code)),
        };
        if self.is_too_long(&resolved) {
            return refuse(trace, Code::Stopping, Duration::ZERO);
        }
        let (deadline, kind) = (resolved.deadline, Arc::clone(&resolved.plan.name));
        let mut answer = match self.identify(request, &resolved).await {
            Ok(authorization) => self.answer_authorized(authorization, request, resolved, trace).await,
            Err(refusal) => reject_caller(trace, &refusal),
        };
        self.name_stop(&mut answer, deadline);
        if answer.outcome == Outcome::Answered {
            self.record_answer_time(&kind, entry.at);
        }
        answer
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

    /// Returns why this daemon declines a request: no time is left before its planned stop ends.
    /// One that another daemon forwarded it declines also if it would run under an older
    /// configuration than it was admitted under, was admitted by a daemon that does not know of
    /// accounts yet, or must go to another member since this daemon is stopping.
    fn decline_reason(&self, request: &LookupRequest) -> Option<Code> {
        let origin = &request.origin;
        if *origin == Origin::Caller {
            return self.is_past_stop(self.ports.clock.now()).then_some(Code::Stopping);
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
        if matches!(request.origin, Origin::Peer { .. }) {
            return refuse(trace, Code::NotMember, Duration::ZERO);
        }
        let answer = self.forward(request, resolved, trace).await;
        // The members left, as in a planned stop, and this daemon has taken the place of one.
        let is_unserved = is_redirect(answer.code) || answer.code == Code::NoMember;
        if !is_unserved || resolved.plan.member || !self.is_member(resolved) {
            return answer;
        }
        match self.resolve(request, &resolved.entry()) {
            Ok(current) => self.run(request, &current, trace).await,
            Err(code) => refuse(trace, code, retry_wait(code)),
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

    /// Returns whether this daemon is still in the cell of a request's index.
    pub(super) fn is_member(&self, resolved: &ResolvedRequest) -> bool {
        self.router.borrow().is_member(&resolved.plan.lookup.index, &self.settings.host)
    }
}

pub(super) fn refuse<C: Clock>(trace: &Trace<C>, code: Code, wait: Duration) -> Answer {
    let request = trace.request().map_or("", |id| id);
    Answer::not_run(request, code, Some(wait_millis(wait)))
}

/// Returns how long a caller is told to wait when that follows from the code alone.
pub(super) fn retry_wait(code: Code) -> Duration {
    if code == Code::NoRegion { CONFIG_RETRY } else { RETRY_AFTER }
}

/// Refuses a request that is not authorized. The caller is told when to retry only if the refusal
/// may end by itself.
pub(super) fn reject_caller<C: Clock>(trace: &Trace<C>, refusal: &Refusal) -> Answer {
    let request = trace.request().map_or("", |id| id);
    Answer::not_run(request, refusal.code, refusal.wait.map(wait_millis))
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
        answer.retry_after = Some(wait_millis(retry_wait(answer.code)));
    }
    answer
}
