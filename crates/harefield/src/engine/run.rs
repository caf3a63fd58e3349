//! The life of one request in a worker, from its plan to its answer.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::find::Found;
use super::gate::Permit;
use super::identity::Refusal;
use super::job::Job;
use super::message::LookupRequest;
use super::message::Origin;
use super::worker::Worker;
use crate::domain::code::Code;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::fanout::Finished;
use crate::domain::fanout::MOST_ATTEMPTS;
use crate::domain::fanout::MOST_TRIALS;
use crate::domain::fanout::Overrun;
use crate::domain::fanout::Rules;
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

/// When a refused caller may come back where nothing better is known.
const COME_BACK: Duration = Duration::from_millis(200);

/// When a refused caller may come back where only another configuration helps: the users'
/// bounds for one to be in force are 3 to 5 s.
pub(super) const CHANGE_AWAITED: Duration = Duration::from_secs(5);

/// This part of the margin for an answer's way back is for this daemon's own time.
const OWN_PART: u32 = 2;

/// Counts a request as in progress until dropped, and tells when its caller
/// went away first.
pub(super) struct Progress<'a, U, P, C> {
    worker: &'a Worker<U, P, C>,
    gone: Option<Batch>,
}

impl<U, P, C> Drop for Progress<'_, U, P, C> {
    fn drop(&mut self) {
        self.worker.running.set(self.worker.running.get() - 1);
        if let Some(batch) = self.gone.take() {
            self.worker.telemetry.send(batch);
        }
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Takes a request and answers it.
    ///
    /// Dropping the future gives the request up; a once-only request that has
    /// begun goes on and its outcome stays with its ticket.
    pub async fn lookup(self: &Rc<Self>, request: LookupRequest) -> Answer {
        let start = self.ports.clock.now();
        let mut trace = self.request_trace(request.request.as_deref());
        if let Origin::Peer { host, stamp, .. } = &request.origin {
            self.receive(*stamp);
            trace.emit(Event::ForwardTaken { from: Arc::clone(host) });
        }
        let gone = Event::CallerGone { lookup: request.lookup.clone() };
        let gone = Batch { request: trace.request().map(Arc::clone), events: vec![(trace.stamp(), gone)] };
        let mut progress = self.progress(Some(gone));
        let answer = self.decide(&request, start, &mut trace).await;
        self.note_answer(&request, &answer, start, &mut trace);
        progress.gone = None;
        answer
    }

    /// Counts a request as in progress; sends `gone` where what is returned is dropped
    /// before that is taken out.
    pub(super) fn progress(&self, gone: Option<Batch>) -> Progress<'_, U, P, C> {
        self.running.set(self.running.get() + 1);
        Progress { worker: self, gone }
    }

    /// Takes the stamp of a message from another daemon.
    pub(super) fn receive(&self, stamp: Stamp) {
        self.hybrid.borrow_mut().receive(self.ports.clock.wall(), stamp);
    }

    /// Returns a stamp for a message to another daemon.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.hybrid.borrow_mut().tick(self.ports.clock.wall())
    }

    fn note_answer(&self, request: &LookupRequest, answer: &Answer, start: Instant, trace: &mut Trace<C>) {
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

    async fn decide(
        self: &Rc<Self>,
        request: &LookupRequest,
        start: Instant,
        trace: &mut Trace<C>,
    ) -> Answer {
        if let Some(code) = self.declines(request) {
            return refuse(trace, code, Duration::ZERO);
        }
        let found = match self.find_confirmed(request, start).await {
            Ok(found) => found,
            Err(code) => return refuse(trace, code, wait_for(code)),
        };
        match self.identify(request, &found).await {
            Ok(whose) => self.answer_for(whose, request, found, trace).await,
            Err(refusal) => turn_away(trace, &refusal),
        }
    }

    /// Answers a request whose plan is found and whose caller may ask.
    pub(super) async fn answer_found(
        self: &Rc<Self>,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Answer {
        if let Some(answer) = self.caution(request, found, trace).await {
            return answer;
        }
        if found.plan.lookup.repeatable || matches!(request.query, Query::Opaque(_)) {
            return self.run_or_forward(request, found, trace).await;
        }
        self.once(request, found, trace).await
    }

    /// Says why a request that another daemon hands on is not taken: it would
    /// run under an older configuration than it was let in under, was let in by a daemon that
    /// knows of no accounts yet, or must go elsewhere since this daemon is stopping.
    fn declines(&self, request: &LookupRequest) -> Option<Code> {
        let origin = &request.origin;
        if *origin == Origin::Caller {
            return None;
        }
        let unnamed = !request.asker.checked && self.view.borrow().directory.is_required();
        if unnamed || origin.terms().edition.max(self.seen_edition()) > self.edition() {
            return Some(Code::OlderView);
        }
        if self.is_stopping() {
            return Some(Code::NotMember);
        }
        self.pay_for_repeat(origin.terms().again)
    }

    /// Pays for a request that another member may be running as well. It is paid for here,
    /// where it runs, and not where it came in: members are few, so that their parts of what
    /// the fleet may add are worth something, and add up to no more.
    fn pay_for_repeat(&self, again: bool) -> Option<Code> {
        let mut spare = self.spare.borrow_mut();
        if !again {
            spare.earn();
            return None;
        }
        let paid = spare.spend_retry();
        (!paid).then_some(Code::NotMember)
    }

    async fn run_or_forward(
        self: &Rc<Self>,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Answer {
        if found.plan.member {
            let answer = self.run(request, found, trace).await;
            if answer.code != Code::NotMember {
                return answer;
            }
        }
        match &request.origin {
            Origin::Caller => self.forward(request, found, trace).await,
            Origin::Peer { .. } => refuse(trace, Code::NotMember, Duration::ZERO),
        }
    }

    /// Runs a request here: the gate, the snapshot, the fan-out.
    pub(super) async fn run(
        self: &Rc<Self>,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Answer {
        let lookup = &found.plan.lookup;
        let arrival = found.arrival();
        let index: Arc<str> = lookup.index.as_str().into();
        let permit = match self.enter_gate(&index, arrival.clone()).await {
            Ok(permit) => permit,
            Err(refusal) => return refuse(trace, refusal.code, refusal.wait),
        };
        let _room = match self.book_room(found).await {
            Ok(room) => room,
            Err(wait) => return refuse(trace, Code::NoRoom, wait),
        };
        // Nothing has run: whoever is a member now takes it, and this daemon's room is for what
        // it began before.
        if !self.is_member(found) {
            return refuse(trace, Code::NotMember, Duration::ZERO);
        }
        let waited = self.ports.clock.now().saturating_duration_since(found.start);
        let job = Job::new(request, found, trace.request());
        trace.emit(Event::Admitted {
            lookup: request.lookup.clone(),
            work: found.work.exact,
            account: found.asker.account.clone(),
            urgency: arrival.urgency,
            waited: micros(waited),
            objective: lookup.objective_ms,
            due: found.objective.map(|at| micros(at.saturating_duration_since(found.start))),
        });
        self.fan_out_twice(&job, found, permit, trace).await
    }

    /// Fans out at the best snapshot, and once more at another where the first
    /// turned out not to be held and the request may be repeated.
    async fn fan_out_twice(
        self: &Rc<Self>,
        job: &Job,
        found: &Found,
        permit: Permit<U, P, C>,
        trace: &mut Trace<C>,
    ) -> Answer {
        let mut first: AttemptId = 0;
        let mut tried = None;
        let mut permit = Some(permit);
        loop {
            let Some(plan) = self.choose_snapshot(found) else {
                return refuse(trace, Code::NoReplica, COME_BACK);
            };
            let (index, version) = (plan.index.to_string(), plan.version);
            trace.emit(Event::SnapshotChosen { index, version, shards: plan.shards.len() });
            let grouped = is_mergeable(job);
            let kept = self.settings.margin / OWN_PART;
            let rules =
                Rules { grouped, again: found.again, ..self.rules(found, self.overruns.own.get(), kept) };
            let ended = self.fan_out(job, &plan, &rules, first, (&mut permit, trace)).await;
            self.learn_overrun(&self.overruns.own, &rules);
            self.learn_size(found, &ended.finished);
            let again = tried.is_none() && self.better_elsewhere(&ended.finished, &plan, found);
            if !again {
                if self.is_moved(found, &ended.finished) {
                    return refuse(trace, Code::NotMember, Duration::ZERO);
                }
                if let Some(permit) = permit {
                    permit.leave(ended.crowd);
                }
                return answer(trace, &plan, ended.finished, found);
            }
            let missing = ended.finished.coverage.missing.len();
            trace.emit(Event::SnapshotAbandoned { version, missing });
            tried = Some(version);
            first = ended.next;
        }
    }

    pub(super) fn choose_snapshot(&self, found: &Found) -> Option<Arc<Plan>> {
        let router = self.router.borrow();
        let plans = &found.plan.plans;
        let plan = snapshot::choose(plans, |upstream, version| router.usable(upstream, version))?;
        if found.asker.regions.is_empty() {
            return Some(Arc::clone(plan));
        }
        drop(router);
        Some(Arc::new(self.narrow((**plan).clone(), &found.regions)))
    }

    pub(super) fn rules(&self, found: &Found, overrun: Overrun, kept: Duration) -> Rules {
        let lookup = &found.plan.lookup;
        Rules {
            repeatable: lookup.repeatable,
            prefer: lookup.prefer,
            start: found.start,
            deadline: found.deadline,
            hedge: self.settings.hedge,
            fixed: self.settings.fixed,
            kind: Arc::clone(&found.plan.name),
            objective: found.objective,
            cut: found.objective.map(|objective| overrun.cut(self.ports.clock.now(), objective, kept)),
            least_share: lookup.least_share,
            possible: None,
            grouped: false,
            again: false,
            attempts: lookup.attempts.unwrap_or(MOST_ATTEMPTS),
            trials: MOST_TRIALS,
        }
    }

    /// Learns how long after its cut an answer by some rules goes out, which is now.
    pub(super) fn learn_overrun(&self, held: &Cell<Overrun>, rules: &Rules) {
        let (Some(cut), Some(objective)) = (rules.cut, rules.objective) else { return };
        let time = objective.saturating_duration_since(rules.start);
        let mut overrun = held.get();
        overrun.sample(cut, time, self.ports.clock.now());
        held.set(overrun);
    }

    /// Says whether this daemon is still in the cell of a request's index.
    fn is_member(&self, found: &Found) -> bool {
        self.router.borrow().is_member(&found.plan.lookup.index, &self.settings.host)
    }

    /// Says whether the cell moved while a request waited here that ran nowhere, so that a
    /// member may run it. What an upstream may have refused meanwhile is paid for.
    fn is_moved(&self, found: &Found, finished: &Finished) -> bool {
        let moved = !self.is_member(found);
        let unsent = finished.sent.iter().all(|sent| *sent == 0);
        let is_paid = || unsent || self.spare.borrow_mut().spend_retry();
        moved && finished.code == Code::NoReplica && is_paid()
    }

    /// Says whether another snapshot promises more than what was found.
    fn better_elsewhere(&self, finished: &Finished, plan: &Arc<Plan>, found: &Found) -> bool {
        let unheld = |gap: Gap| matches!(gap, Gap::SnapshotMissing | Gap::SnapshotWrong | Gap::ShardMoved);
        let lost = finished.coverage.missing.iter().any(|missing| unheld(missing.why));
        let time_left = self.ports.clock.now() < found.start + (found.deadline - found.start) / 2;
        let lookup = &found.plan.lookup;
        let worth =
            lookup.prefer == Preference::Coverage || finished.coverage.contributed.is_empty() || time_left;
        let other = self.choose_snapshot(found).is_some_and(|next| next.version != plan.version);
        lookup.repeatable && lost && time_left && worth && other
    }
}

/// Says whether a request's shards may be handed on in groups: their records are
/// merged on the way, and what is lost with a daemon may be asked again.
fn is_mergeable(job: &Job) -> bool {
    job.merge.is_some() && !job.once && matches!(job.query, Query::Opaque(_))
}

pub(super) fn refuse<C: Clock>(trace: &Trace<C>, code: Code, wait: Duration) -> Answer {
    let wait = millis(wait).max(1);
    let request = trace.request().map_or("", |id| id);
    Answer::not_run(request, code, Some(wait))
}

/// Returns when to come back where a code alone says so.
pub(super) fn wait_for(code: Code) -> Duration {
    if code == Code::NoRegion { CHANGE_AWAITED } else { COME_BACK }
}

/// Refuses a request of a caller that may not ask; some are told when they may.
pub(super) fn turn_away<C: Clock>(trace: &Trace<C>, refusal: &Refusal) -> Answer {
    let request = trace.request().map_or("", |id| id);
    Answer::not_run(request, refusal.code, refusal.wait.map(|wait| millis(wait).max(1)))
}

pub(super) fn may_have_run<C: Clock>(trace: &Trace<C>, code: Code) -> Answer {
    Answer::may_have_run(trace.request().map_or("", |id| id), code)
}

pub(super) fn answer<C: Clock>(trace: &Trace<C>, plan: &Plan, finished: Finished, found: &Found) -> Answer {
    let request = trace.request().map_or("", |id| id);
    let mut answer = Answer::empty(request, finished.outcome, finished.code);
    answer.snapshot = Some(SnapshotName { index: plan.index.to_string(), version: plan.version });
    answer.coverage = finished.coverage;
    answer.results = finished.parts;
    answer.failure = finished.failure;
    answer.merge = found.plan.lookup.merge;
    if answer.outcome == Outcome::NotRun {
        answer.retry_after = Some(millis(wait_for(answer.code)));
    }
    answer
}
