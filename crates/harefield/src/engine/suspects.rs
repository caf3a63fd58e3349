//! Requests under whose like upstreams ended: what attempts show of them, and running them
//! alone or not at all.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::attempt::Attempt;
use super::find::ResolvedRequest;
use super::forward_attempt::is_redirect;
use super::job::Job;
use super::job::PendingAttempt;
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
use crate::domain::fanout::AttemptEnd;
use crate::domain::fanout::Finished;
use crate::domain::fanout::Rules;
use crate::domain::ids::HostId;
use crate::domain::ids::UpstreamId;
use crate::domain::ids::WorkId;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Gap;
use crate::domain::outcome::Outcome;
use crate::domain::query::Query;
use crate::domain::suspects::Standing;
use crate::domain::suspects::Suspect;
use crate::domain::suspects::SuspectReport;
use crate::domain::view::Plan;
use crate::domain::view::ShardPlan;
use crate::domain::work::Work;
use crate::ports::CallEnd;
use crate::ports::Clock;
use crate::ports::PeerError;
use crate::ports::Peers;
use crate::ports::Place;
use crate::ports::Upstreams;
use crate::telemetry::Batch;
use crate::telemetry::Trace;

/// When to come back where the one trial of a work is under way: it takes as long as one
/// upstream.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// How many upstreams a trial may turn to: those that ended a moment ago are listed still,
/// and take no connections. Of nine upstreams of which four had ended, two of three trials
/// met one of them and were refused.
const TRIAL_ATTEMPTS: u32 = 4;

/// How long a shard waits for the check whether its upstream has ended.
const CHECK_WAIT: Duration = Duration::from_millis(100);

/// How often a request looks whether the trial of its work has ended.
const POLL_EVERY: Duration = Duration::from_millis(2);

/// The one trial of a work in this worker, until dropped.
struct TrialGuard<'a> {
    trials: &'a RefCell<HashSet<WorkId>>,
    work: WorkId,
}

impl Drop for TrialGuard<'_> {
    fn drop(&mut self) {
        self.trials.borrow_mut().remove(&self.work);
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Takes what the fleet knows of works; tells it where an answer here clears one.
    pub(super) fn merge_suspects(&self, suspects: &[Suspect]) {
        let now = self.ports.clock.now();
        for suspect in suspects {
            let mut registry = self.suspects.borrow_mut();
            let merged = registry.hear(suspect, now);
            let cleared = registry.suspect(suspect.work).filter(|_| merged.cleared);
            drop(registry);
            self.publish_suspects(cleared);
        }
    }

    /// Takes what a daemon that hands a request on knows of its work.
    pub fn merge_reports(&self, reports: &[SuspectReport]) {
        let now = self.ports.clock.now();
        let suspects: Vec<Suspect> = reports.iter().map(|report| report.heard(now)).collect();
        self.merge_suspects(&suspects);
    }

    /// Returns what is known here of a work, for a daemon that a request is handed to.
    pub(super) fn reports(&self, work: &Work) -> Vec<SuspectReport> {
        let now = self.ports.clock.now();
        let known = self.suspects.borrow().known(work);
        known.iter().map(|suspect| SuspectReport::new(suspect, now)).collect()
    }

    /// Says whether a work may run.
    pub(super) fn clearance(&self, work: &Work) -> Standing {
        self.suspects.borrow().standing(work, self.ports.clock.now())
    }

    fn publish_suspects(&self, changed: impl IntoIterator<Item = Suspect>) {
        for suspect in changed {
            if self.control.try_send(ToControl::Suspect(suspect)).is_err() {
                log::warn!("the control duty is busy: what is known of a work is not passed on");
            }
        }
    }

    /// Takes how an attempt ended as a sign of what its work does; a reply that was lost
    /// with its upstream is told apart from others.
    pub(super) async fn classify_end(
        self: &Rc<Self>,
        attempt: &Attempt,
        pending: &PendingAttempt,
        mut end: CallEnd,
    ) -> CallEnd {
        match &end.end {
            AttemptEnd::Answered(_) | AttemptEnd::Failed(_) => self.record_success(&attempt.job),
            AttemptEnd::Lost { why: Gap::ReplyLost } if self.is_upstream_exit(attempt, pending).await => {
                end.end = AttemptEnd::Lost { why: Gap::UpstreamEnded };
            }
            _ => {}
        }
        end
    }

    fn record_success(&self, job: &Job) {
        if job.evidence.answered.replace(true) {
            return;
        }
        let changed = self.suspects.borrow_mut().answer(&job.work, self.ports.clock.now());
        self.publish_suspects(changed);
    }

    /// Says whether an upstream is known by now to have lost a reply with its end, where
    /// nobody else answered the request.
    ///
    /// A check that takes longer goes on by itself: on a daemon that stood still it would count
    /// as an upstream that runs, and the fleet would not hear of the one that ended.
    async fn is_upstream_exit(self: &Rc<Self>, attempt: &Attempt, pending: &PendingAttempt) -> bool {
        if attempt.job.evidence.answered.get() {
            return false;
        }
        let mut check = self.executor.spawn(Rc::clone(self).check_exit(
            attempt.job.clone(),
            Arc::clone(&attempt.send.upstream),
            pending.is_alone(),
        ));
        let checked = async { Some((&mut check).await) };
        let expired = async {
            self.ports.clock.sleep(CHECK_WAIT).await;
            None
        };
        let known = checked.or(expired).await;
        if known.is_none() {
            check.detach();
        }
        known.unwrap_or(false)
    }

    /// Checks whether an upstream has ended, and notes it where nobody answered the request;
    /// returns whether it did.
    async fn check_exit(self: Rc<Self>, job: Job, upstream: UpstreamId, alone: bool) -> bool {
        let ended = self.has_exited(&upstream).await && !job.evidence.answered.get();
        if ended {
            self.record_exit(&job, &upstream, alone);
        }
        ended
    }

    async fn has_exited(&self, upstream: &UpstreamId) -> bool {
        let target = self.router.borrow().searcher(upstream).map(|s| (s.spec().address, s.share()));
        // One that the configuration no longer names has ended, or is about to.
        let Some((address, share)) = target else { return true };
        let place = Place { upstream: Arc::clone(upstream), address };
        self.ports.upstreams.has_ended(&place, share).await
    }

    fn record_exit(&self, job: &Job, upstream: &UpstreamId, alone: bool) {
        let alone = alone && job.whole;
        let now = self.ports.clock.now();
        let changed = self.suspects.borrow_mut().end(&job.work, upstream, alone, now);
        // A part of a request may lack an answer that others of its parts have.
        if job.whole || self.clearance(&job.work) != Standing::Free {
            self.publish_suspects(changed);
        }
        let event = Event::UpstreamEnded { work: job.work.exact, upstream: Arc::clone(upstream), alone };
        let request = Some(Arc::clone(&job.request));
        self.telemetry.send(Batch { request, events: vec![(self.stamp(), event)] });
    }

    /// Answers a request whose work may not run freely; none where it may.
    pub(super) async fn check_suspect(
        self: &Rc<Self>,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Option<Answer> {
        match self.clearance(&resolved.work) {
            Standing::Free => None,
            Standing::Withheld(wait) => Some(refuse(trace, Code::Withheld, wait)),
            // One that needs a ticket runs once, at the daemon that the ticket names.
            Standing::Alone(_) if needs_ticket(request, resolved) => None,
            Standing::Alone(_) => self.run_isolated(request, resolved, trace).await,
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
            Standing::Free => return None,
            Standing::Withheld(wait) => return Some(refuse(trace, Code::Withheld, wait)),
            Standing::Alone(wait) if self.trials.borrow().contains(&work.exact) || !wait.is_zero() => {
                return Some(refuse(trace, Code::Withheld, wait.max(RETRY_AFTER)));
            }
            Standing::Alone(_) => {}
        }
        self.trials.borrow_mut().insert(work.exact);
        let _trial = TrialGuard { trials: &self.trials, work: work.exact };
        self.run_trial(request, resolved, trace).await
    }

    /// Returns the daemon that runs a work alone: the same one for each that asks, of the
    /// members of its cell that answer, so that the fleet has one trial at a time.
    fn trial_host(&self, resolved: &ResolvedRequest) -> Option<HostId> {
        let view = self.view.borrow();
        let cell = view.cells.get(resolved.plan.lookup.index.as_str())?;
        let answers = |host: &&HostId| {
            self.may_serve(host, &resolved.regions)
                && (**host == self.settings.host || self.is_responsive(host))
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

    /// Waits until a work may be tried and no trial of it is under way here, or half of a
    /// request's time is over.
    async fn await_trial_slot(&self, resolved: &ResolvedRequest) {
        let too_soon = || matches!(self.clearance(&resolved.work), Standing::Alone(wait) if !wait.is_zero());
        let is_running = || self.trials.borrow().contains(&resolved.work.exact);
        while (is_running() || too_soon()) && self.ports.clock.now() < resolved.halfway() {
            self.ports.clock.sleep(POLL_EVERY).await;
        }
    }

    /// Asks one upstream of one shard; returns the answer where that is all there is to ask,
    /// or where it failed.
    async fn run_trial(
        self: &Rc<Self>,
        request: &LookupRequest,
        resolved: &ResolvedRequest,
        trace: &mut Trace<C>,
    ) -> Option<Answer> {
        let Some((plan, one)) = self.choose_trial_shard(resolved) else {
            return Some(refuse(trace, Code::NoReplica, RETRY_AFTER));
        };
        let shard = Arc::clone(&one.shards[0].shard);
        trace.emit(Event::TrialBegun { work: resolved.work.exact, shard });
        let rules = Rules {
            attempts: TRIAL_ATTEMPTS,
            hedge: None,
            least_share: 0.0,
            cut: None,
            trials: 0,
            ..self.rules(resolved, self.overruns.own.get(), Duration::ZERO)
        };
        let job = Job::new(request, resolved, trace.request());
        let run = self.fan_out(&job, &one, &rules, 0, (&mut None, trace)).await;
        if plan.shards.len() == 1 {
            return Some(build_answer(trace, &plan, run.finished, resolved));
        }
        failed_trial(&run.finished, trace)
    }

    /// Chooses a shard of a request's snapshot that has an upstream to ask; returns the
    /// whole plan and the one of that shard.
    fn choose_trial_shard(&self, resolved: &ResolvedRequest) -> Option<(Arc<Plan>, Arc<Plan>)> {
        let plan = self.choose_snapshot(resolved)?;
        let router = self.router.borrow();
        let usable = |name: &&Arc<str>| router.usable(name, plan.version);
        let shards = plan.shards.iter().filter(|shard| shard.replicas.iter().any(|name| usable(&name)));
        let shards: Vec<&ShardPlan> = shards.collect();
        let one = plan.only(shards.choose(&mut rand::rng())?);
        Some((Arc::clone(&plan), Arc::new(one)))
    }
}

/// Says whether a request runs under a ticket alone.
fn needs_ticket(request: &LookupRequest, resolved: &ResolvedRequest) -> bool {
    !resolved.plan.lookup.repeatable && matches!(request.query, Query::Json(_))
}

/// Returns the answer of a request whose trial brought nothing; none where it was answered.
fn failed_trial<C: Clock>(finished: &Finished, trace: &Trace<C>) -> Option<Answer> {
    match finished.outcome {
        Outcome::Answered => None,
        Outcome::NotRun => Some(refuse(trace, finished.code, RETRY_AFTER)),
        Outcome::MayHaveRun => Some(may_have_run(trace, finished.code)),
    }
}
