//! Queries of death: requests suspected of crashing the upstreams that run them. Attempts provide
//! the evidence, and a suspect request runs on one upstream at a time or is withheld.
//!
//! A *work* identifies what is asked and for whom. A *trial* is a run of a suspect work on one
//! upstream alone.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::abandoned::UnansweredAttempt;
use super::attempt::Attempt;
use super::find::ResolvedRequest;
use super::forward_attempt::is_redirect;
use super::job::Job;
use super::job::PendingAttempt;
use super::job::TrialGuard;
use super::message::LookupRequest;
use super::message::Origin;
use super::message::ToControl;
use super::run::build_answer;
use super::run::may_have_run;
use super::run::refuse;
use super::worker::Worker;
use crate::domain::code::Code;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::event::TrialEnd;
use crate::domain::fanout::AnswerRules;
use crate::domain::fanout::AttemptEnd;
use crate::domain::fanout::FanoutResult;
use crate::domain::ids::HostId;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::WorkId;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Gap;
use crate::domain::outcome::Outcome;
use crate::domain::query::Query;
use crate::domain::suspects::Clearance;
use crate::domain::suspects::Proof;
use crate::domain::suspects::Suspect;
use crate::domain::suspects::SuspectReport;
use crate::domain::view::Plan;
use crate::domain::view::ShardPlan;
use crate::domain::work::Work;
use crate::ports::CallOutcome;
use crate::ports::Clock;
use crate::ports::Endpoint;
use crate::ports::PeerError;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Trace;

/// How long a caller is told to wait while the only trial of its work runs: about as long as one
/// upstream takes.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// How many upstreams a trial may try. Upstreams that exited a moment ago are still listed, and
/// accept no connections: of nine upstreams of which four had exited, two of three trials met one
/// of them and were refused.
const TRIAL_ATTEMPTS: u32 = 4;

/// How long a shard waits for the check whether its upstream has exited. Time in which this daemon
/// does not run does not count: with a single timer, the wait ended before checks that took 60 to
/// 200 ms on a busy machine.
const CHECK_WAIT: Duration = Duration::from_millis(100);

/// How often a request checks whether the trial of its work has ended.
const POLL_EVERY: Duration = Duration::from_millis(2);

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Merges what the fleet knows of suspect works. Where an answer received here clears one,
    /// publishes that.
    pub(super) fn merge_suspects(&self, suspects: &[Suspect]) {
        let now = self.ports.clock.now();
        for suspect in suspects {
            let mut registry = self.suspects.borrow_mut();
            let merged = registry.merge(suspect, now);
            let cleared = registry.suspect(suspect.work).filter(|_| merged.cleared);
            drop(registry);
            self.publish_suspects(cleared);
        }
    }

    /// Merges what a daemon that forwards a request knows of its work.
    pub fn merge_reports(&self, reports: &[SuspectReport]) {
        let now = self.ports.clock.now();
        let suspects: Vec<Suspect> = reports.iter().map(|report| report.to_suspect(now)).collect();
        self.merge_suspects(&suspects);
    }

    /// Returns what is known here of a work, for a daemon that a request is forwarded to.
    pub(super) fn reports(&self, work: &Work) -> Vec<SuspectReport> {
        let now = self.ports.clock.now();
        let known = self.suspects.borrow().suspects_for(work);
        known.iter().map(|suspect| SuspectReport::new(suspect, now)).collect()
    }

    /// Returns whether a work may run freely, alone, or not at all.
    pub(super) fn clearance(&self, work: &Work) -> Clearance {
        self.suspects.borrow().clearance(work, self.ports.clock.now())
    }

    /// Returns whether upstreams may have ended under a work that this daemon knows nothing of.
    pub(super) fn may_lack_evidence(&self, work: &Work) -> bool {
        let is_complete = self.history.get().is_complete(self.ports.clock.now());
        !is_complete && !self.suspects.borrow().is_answered(work)
    }

    /// Returns whether upstreams may be ending under a request: one of its lost replies is being
    /// checked, or upstreams ended during its work before and nobody has answered it since.
    pub(super) fn may_end_upstreams(&self, job: &Job) -> bool {
        job.evidence.is_checking() || self.suspects.borrow().has_ends(&job.work, self.ports.clock.now())
    }

    /// Tells the control duty, and by it the fleet, what has changed. What finds its channel full is
    /// sent again.
    pub(super) fn publish_suspects(&self, changed: impl IntoIterator<Item = Suspect>) {
        for suspect in changed {
            let work = suspect.work;
            let sent = self.control.try_send(ToControl::Suspect(suspect)).is_ok();
            if !sent && self.unsent.borrow_mut().insert(work) {
                self.duty_trace().emit(Event::EvidenceUnsent { work });
            }
        }
    }

    /// Sends the evidence that found the channel to the control duty full, as it is now.
    pub fn resend_evidence(&self) {
        let registry = self.suspects.borrow();
        let is_unsent = |work: &WorkId| {
            let suspect = registry.suspect(*work);
            suspect.is_some_and(|suspect| self.control.try_send(ToControl::Suspect(suspect)).is_err())
        };
        self.unsent.borrow_mut().retain(is_unsent);
    }

    /// Records how an attempt ended as evidence about its work. A reply that was lost because its
    /// upstream exited is told apart from other lost replies.
    pub(super) async fn classify_end(
        self: &Rc<Self>,
        attempt: &Attempt,
        pending: &PendingAttempt,
        mut end: CallOutcome,
    ) -> CallOutcome {
        match Proof::of(&end.end) {
            Proof::Harmless => self.record_success(attempt),
            Proof::CheckUpstream if self.is_upstream_exit(attempt, pending).await => {
                end.end = AttemptEnd::Lost { why: Gap::UpstreamEnded };
            }
            Proof::CheckUpstream | Proof::Nothing => {}
        }
        end
    }

    fn record_success(&self, attempt: &Attempt) {
        let job = &attempt.job;
        if job.evidence.answered.replace(true) {
            return;
        }
        let now = self.ports.clock.now();
        let had_ends = self.suspects.borrow().has_ends(&job.work, now);
        let changed = self.suspects.borrow_mut().record_answer(&job.work, now);
        if had_ends {
            let upstream = Arc::clone(&attempt.send.upstream);
            self.record_event(&job.request, Event::EvidenceCleared { work: job.work.exact, upstream });
        }
        self.publish_suspects(changed);
    }

    /// Returns whether an upstream is known by now to have lost a reply because it exited, where no
    /// other upstream answered the request.
    ///
    /// A check that takes longer than [`CHECK_WAIT`] continues in the background. Otherwise an
    /// upstream that exited would count as running on a daemon that was paused meanwhile, and the
    /// fleet would not learn of the exit.
    async fn is_upstream_exit(self: &Rc<Self>, attempt: &Attempt, pending: &PendingAttempt) -> bool {
        if attempt.job.evidence.answered.get() {
            return false;
        }
        let _check = attempt.job.evidence.begin_check();
        let kept = UnansweredAttempt::new(&attempt.job, pending);
        let upstream = Arc::clone(&attempt.send.upstream);
        let mut check = self.executor.spawn(Rc::clone(self).check_exit(kept, upstream));
        let checked = async { Some((&mut check).await) };
        let expired = async {
            self.ports.clock.sleep_running(CHECK_WAIT).await;
            None
        };
        let known = checked.or(expired).await;
        if known.is_none() {
            check.detach();
        }
        known.unwrap_or(false)
    }

    /// Checks whether an upstream has exited, and records it where no upstream answered the
    /// request. Returns whether it did. An upstream that has not may still run the request.
    async fn check_exit(self: Rc<Self>, attempt: UnansweredAttempt, upstream: UpstreamId) -> bool {
        let exited = self.has_exited(&upstream).await;
        if attempt.evidence.answered.get() {
            return false;
        }
        if exited {
            self.record_exit(&attempt, &upstream);
        } else {
            self.watch(&upstream, attempt);
        }
        exited
    }

    pub(super) async fn has_exited(&self, upstream: &UpstreamId) -> bool {
        let target = self.router.borrow().upstream(upstream).map(|s| (s.spec().address, s.share()));
        // An upstream that the configuration no longer names has exited, or is about to.
        let Some((address, connection_limit)) = target else { return true };
        let endpoint = Endpoint { upstream: Arc::clone(upstream), address };
        self.ports.upstreams.has_ended(&endpoint, connection_limit).await
    }

    /// Records that an upstream ended while it ran an attempt.
    pub(super) fn record_exit(&self, attempt: &UnansweredAttempt, upstream: &UpstreamId) {
        let UnansweredAttempt { request, work, whole, alone, .. } = attempt;
        let alone = *alone && *whole;
        let now = self.ports.clock.now();
        let changed = self.suspects.borrow_mut().record_end(work, upstream, alone, now);
        // A group of shards may lack an answer that other parts of its request have.
        if *whole || self.clearance(work) != Clearance::Free {
            self.publish_suspects(changed);
        }
        let kept = self.suspects.borrow().has_ends(work, now);
        let event = Event::UpstreamEnded { work: work.exact, upstream: Arc::clone(upstream), alone, kept };
        self.record_event(request, event);
    }

    /// Answers a request whose work may not run freely; returns none where it may.
    pub(super) async fn check_suspect(
        self: &Rc<Self>,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Option<Answer> {
        match self.clearance(&resolved.work) {
            Clearance::Free => None,
            Clearance::Withheld(wait) => Some(refuse(trace, Code::Withheld, wait)),
            // A request that needs a ticket runs once, at the daemon that the ticket names.
            Clearance::Alone(_) if needs_ticket(request, resolved) => None,
            Clearance::Alone(_) => self.run_isolated(request, resolved, trace).await,
        }
    }

    async fn run_isolated(
        self: &Rc<Self>,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Option<Answer> {
        let work = &resolved.work;
        let host = self.trial_host(resolved);
        if request.origin == Origin::Caller
            && let Some(host) = host.filter(|host| *host != self.settings.host)
        {
            return Some(self.forward_trial(&host, request, resolved, trace).await);
        }
        if !resolved.plan.member {
            return Some(refuse(trace, Code::NotMember, Duration::ZERO));
        }
        self.await_trial_slot(resolved).await;
        match self.clearance(work) {
            Clearance::Free => return None,
            Clearance::Withheld(wait) => return Some(refuse(trace, Code::Withheld, wait)),
            Clearance::Alone(wait) if self.trials.borrow().contains(&work.exact) || !wait.is_zero() => {
                return Some(refuse(trace, Code::Withheld, wait.max(RETRY_AFTER)));
            }
            Clearance::Alone(_) => {}
        }
        let guard = TrialGuard::new(&self.trials, work.exact);
        self.run_trial(guard, request, resolved, trace).await
    }

    /// Returns the daemon that runs the trials of a work. All daemons choose the same one of the live
    /// members of the cell, so that the fleet has one trial at a time. What this daemon alone sees of
    /// a member, such as requests that wait there for their turn, has no part in it.
    fn trial_host(&self, resolved: &ResolvedRequest) -> Option<HostId> {
        let view = self.view.borrow();
        let cell = view.cells.get(resolved.plan.lookup.index.as_str())?;
        let answers = |host: &&HostId| {
            self.may_serve(host, &resolved.regions) && (**host == self.settings.host || self.is_live(host))
        };
        cell.iter()
            .filter(answers)
            .max_by_key(|host| xxh3_64_with_seed(host.as_bytes(), resolved.work.path))
            .map(Arc::clone)
    }

    async fn forward_trial(
        self: &Rc<Self>,
        host: &HostId,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Answer {
        match self.forward_to(host, request, resolved, trace).await {
            Ok(answer) if is_redirect(answer.code) => refuse(trace, Code::Withheld, RETRY_AFTER),
            Ok(answer) => answer,
            Err(PeerError::Unreachable) => refuse(trace, Code::Withheld, RETRY_AFTER),
            Err(PeerError::Silent) => may_have_run(trace, Code::PeerSilent),
        }
    }

    /// Waits until a work may be tried and no trial of it runs here, or until half of the request's
    /// time has passed.
    async fn await_trial_slot(&self, resolved: &ResolvedRequest) {
        let too_soon = || matches!(self.clearance(&resolved.work), Clearance::Alone(wait) if !wait.is_zero());
        let is_running = || self.trials.borrow().contains(&resolved.work.exact);
        while (is_running() || too_soon()) && self.ports.clock.now() < resolved.halfway() {
            self.ports.clock.sleep(POLL_EVERY).await;
        }
    }

    /// Queries one upstream of one shard. Returns the answer where the request has no other shard,
    /// or where the trial failed.
    async fn run_trial(
        self: &Rc<Self>,
        guard: TrialGuard,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Option<Answer> {
        let Some((plan, one)) = self.choose_trial_shard(resolved) else {
            return Some(refuse(trace, Code::NoReplica, RETRY_AFTER));
        };
        let shard = Arc::clone(&one.shards[0].shard);
        trace.emit(Event::TrialBegun { work: resolved.work.exact, shard });
        let rules = AnswerRules {
            attempts: TRIAL_ATTEMPTS,
            hedge_factor: None,
            min_share: 0.0,
            cutoff: None,
            trials: 0,
            ..self.rules(resolved, self.overruns.own.get(), Duration::ZERO)
        };
        let mut job = Job::new(request, resolved, trace.request());
        job.evidence.trial = Some(Rc::new(guard));
        let run = self.fan_out(&job, &one, &rules, 0, (&mut None, trace)).await;
        trace.emit(Event::TrialEnded { work: resolved.work.exact, end: trial_end(&run.finished) });
        if plan.shards.len() == 1 {
            return Some(build_answer(trace, &plan, run.finished, resolved));
        }
        failed_trial(&run.finished, trace)
    }

    /// Chooses a shard of a request's snapshot that has a usable upstream. Returns the whole plan
    /// and the plan of that shard.
    fn choose_trial_shard(&self, resolved: &ResolvedRequest) -> Option<(Arc<Plan>, Arc<Plan>)> {
        let plan = self.choose_snapshot(resolved)?;
        let router = self.router.borrow();
        let usable = |name: &&Arc<str>| router.can_serve(name, plan.version);
        let shards = plan.shards.iter().filter(|shard| shard.replicas.iter().any(|name| usable(&name)));
        let shards: Vec<&ShardPlan> = shards.collect();
        let one = plan.single_shard(shards.choose(&mut rand::rng())?);
        Some((Arc::clone(&plan), Arc::new(one)))
    }
}

/// Returns whether a request runs only under a ticket.
fn needs_ticket(request: &LookupRequest, resolved: &ResolvedRequest) -> bool {
    !resolved.plan.lookup.repeatable && matches!(request.query, Query::Json(_))
}

fn trial_end(finished: &FanoutResult) -> TrialEnd {
    match finished.outcome {
        Outcome::Answered => TrialEnd::Answered,
        Outcome::MayHaveRun => TrialEnd::Unanswered,
        Outcome::NotRun => TrialEnd::NotSent,
    }
}

/// Returns the answer to a request whose trial was not answered; none where it was answered.
fn failed_trial<C: Clock>(finished: &FanoutResult, trace: &Trace<C>) -> Option<Answer> {
    match finished.outcome {
        Outcome::Answered => None,
        Outcome::NotRun => Some(refuse(trace, finished.code, RETRY_AFTER)),
        Outcome::MayHaveRun => {
            Some(Answer { failure: finished.failure.clone(), ..may_have_run(trace, finished.code) })
        }
    }
}
