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
use super::find::Found;
use super::handing::is_elsewhere;
use super::job::Job;
use super::job::Out;
use super::message::LookupRequest;
use super::message::Origin;
use super::message::ToControl;
use super::run::answer;
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
use crate::ports::CallOutcome;
use crate::ports::Clock;
use crate::ports::Endpoint;
use crate::ports::PeerError;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Batch;
use crate::telemetry::Trace;

/// When to come back where the one trial of a work is under way: it takes as long as one
/// upstream.
const COME_BACK: Duration = Duration::from_millis(200);

/// How many upstreams a trial may turn to: those that ended a moment ago are listed still,
/// and take no connections. Of nine upstreams of which four had ended, two of three trials
/// met one of them and were refused.
const TRIAL_ATTEMPTS: u32 = 4;

/// How long a shard waits for the check whether its upstream has ended.
const CHECK_WAIT: Duration = Duration::from_millis(100);

/// How often a request looks whether the trial of its work has ended.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// The one trial of a work in this worker, until dropped.
struct Trial<'a> {
    under_way: &'a RefCell<HashSet<WorkId>>,
    work: WorkId,
}

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        self.under_way.borrow_mut().remove(&self.work);
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Takes what the fleet knows of works; tells it where an answer here clears one.
    pub(super) fn hear_suspects(&self, suspects: &[Suspect]) {
        let now = self.ports.clock.now();
        for suspect in suspects {
            let mut held = self.suspects.borrow_mut();
            let heard = held.hear(suspect, now);
            let own = held.suspect(suspect.work).filter(|_| heard.cleared);
            drop(held);
            self.tell_suspects(own);
        }
    }

    /// Takes what a daemon that hands a request on knows of its work.
    pub fn hear_reports(&self, reports: &[SuspectReport]) {
        let now = self.ports.clock.now();
        let heard: Vec<Suspect> = reports.iter().map(|report| report.heard(now)).collect();
        self.hear_suspects(&heard);
    }

    /// Returns what is known here of a work, for a daemon that a request is handed to.
    pub(super) fn reports(&self, work: &Work) -> Vec<SuspectReport> {
        let now = self.ports.clock.now();
        let known = self.suspects.borrow().known(work);
        known.iter().map(|suspect| SuspectReport::new(suspect, now)).collect()
    }

    /// Says whether a work may run.
    pub(super) fn standing(&self, work: &Work) -> Standing {
        self.suspects.borrow().standing(work, self.ports.clock.now())
    }

    fn tell_suspects(&self, changed: impl IntoIterator<Item = Suspect>) {
        for suspect in changed {
            if self.control.try_send(ToControl::Suspect(suspect)).is_err() {
                log::warn!("the control duty is busy: what is known of a work is not passed on");
            }
        }
    }

    /// Takes how an attempt ended as a sign of what its work does; a reply that was lost
    /// with its upstream is told apart from others.
    pub(super) async fn judge_end(
        self: &Rc<Self>,
        attempt: &Attempt,
        out: &Out,
        mut end: CallOutcome,
    ) -> CallOutcome {
        match &end.end {
            AttemptEnd::Answered(_) | AttemptEnd::Failed(_) => self.note_answered(&attempt.job),
            AttemptEnd::Lost { why: Gap::ReplyLost } if self.is_suspect_end(attempt, out).await => {
                end.end = AttemptEnd::Lost { why: Gap::UpstreamEnded };
            }
            _ => {}
        }
        end
    }

    fn note_answered(&self, job: &Job) {
        if job.shown.answered.replace(true) {
            return;
        }
        let changed = self.suspects.borrow_mut().answer(&job.work, self.ports.clock.now());
        self.tell_suspects(changed);
    }

    /// Says whether an upstream is known by now to have lost a reply with its end, where
    /// nobody else answered the request.
    ///
    /// A check that takes longer goes on by itself: on a daemon that stood still it would count
    /// as an upstream that runs, and the fleet would not hear of the one that ended.
    async fn is_suspect_end(self: &Rc<Self>, attempt: &Attempt, out: &Out) -> bool {
        if attempt.job.shown.answered.get() {
            return false;
        }
        let mut check = self.executor.spawn(Rc::clone(self).check_ended(
            attempt.job.clone(),
            Arc::clone(&attempt.send.upstream),
            out.is_alone(),
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
    async fn check_ended(self: Rc<Self>, job: Job, upstream: UpstreamId, alone: bool) -> bool {
        let ended = self.has_ended(&upstream).await && !job.shown.answered.get();
        if ended {
            self.note_ended(&job, &upstream, alone);
        }
        ended
    }

    async fn has_ended(&self, upstream: &UpstreamId) -> bool {
        let found = self.router.borrow().searcher(upstream).map(|s| (s.spec().address, s.share()));
        // One that the configuration no longer names has ended, or is about to.
        let Some((address, share)) = found else { return true };
        let place = Endpoint { upstream: Arc::clone(upstream), address };
        self.ports.upstreams.has_ended(&place, share).await
    }

    fn note_ended(&self, job: &Job, upstream: &UpstreamId, alone: bool) {
        let alone = alone && job.whole;
        let now = self.ports.clock.now();
        let changed = self.suspects.borrow_mut().end(&job.work, upstream, alone, now);
        // A part of a request may lack an answer that others of its parts have.
        if job.whole || self.standing(&job.work) != Standing::Free {
            self.tell_suspects(changed);
        }
        let event = Event::UpstreamEnded { work: job.work.exact, upstream: Arc::clone(upstream), alone };
        let request = Some(Arc::clone(&job.request));
        self.telemetry.send(Batch { request, events: vec![(self.stamp(), event)] });
    }

    /// Answers a request whose work may not run freely; none where it may.
    pub(super) async fn caution(
        self: &Rc<Self>,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Option<Answer> {
        match self.standing(&found.work) {
            Standing::Free => None,
            Standing::Withheld(wait) => Some(refuse(trace, Code::Withheld, wait)),
            // One that needs a ticket runs once, at the daemon that the ticket names.
            Standing::Alone(_) if needs_ticket(request, found) => None,
            Standing::Alone(_) => self.run_alone(request, found, trace).await,
        }
    }

    async fn run_alone(
        self: &Rc<Self>,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Option<Answer> {
        let work = &found.work;
        let host = self.trial_host(found);
        if request.origin == Origin::Caller
            && let Some(host) = host.filter(|host| *host != self.settings.host)
        {
            return Some(self.hand_trial(&host, request, found, trace).await);
        }
        if !found.plan.member {
            return Some(refuse(trace, Code::NotMember, Duration::ZERO));
        }
        self.await_turn(found).await;
        match self.standing(work) {
            Standing::Free => return None,
            Standing::Withheld(wait) => return Some(refuse(trace, Code::Withheld, wait)),
            Standing::Alone(wait) if self.on_trial.borrow().contains(&work.exact) || !wait.is_zero() => {
                return Some(refuse(trace, Code::Withheld, wait.max(COME_BACK)));
            }
            Standing::Alone(_) => {}
        }
        self.on_trial.borrow_mut().insert(work.exact);
        let _trial = Trial { under_way: &self.on_trial, work: work.exact };
        self.try_one(request, found, trace).await
    }

    /// Returns the daemon that runs a work alone: the same one for each that asks, of the
    /// members of its cell that answer, so that the fleet has one trial at a time.
    fn trial_host(&self, found: &Found) -> Option<HostId> {
        let view = self.view.borrow();
        let cell = view.cells.get(found.plan.lookup.index.as_str())?;
        let answers = |host: &&HostId| {
            self.may_serve(host, &found.regions) && (**host == self.settings.host || self.is_answering(host))
        };
        cell.iter()
            .filter(answers)
            .max_by_key(|host| xxh3_64_with_seed(host.as_bytes(), found.work.path))
            .map(Arc::clone)
    }

    async fn hand_trial(
        self: &Rc<Self>,
        host: &HostId,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Answer {
        match self.hand_to(host, request, found, trace).await {
            Ok(answer) if is_elsewhere(answer.code) => refuse(trace, Code::Withheld, COME_BACK),
            Ok(answer) => answer,
            Err(PeerError::Unreachable) => refuse(trace, Code::Withheld, COME_BACK),
            Err(PeerError::Silent) => may_have_run(trace, Code::PeerSilent),
        }
    }

    /// Waits until a work may be tried and no trial of it is under way here, or half of a
    /// request's time is over.
    async fn await_turn(&self, found: &Found) {
        let too_soon = || matches!(self.standing(&found.work), Standing::Alone(wait) if !wait.is_zero());
        let on_trial = || self.on_trial.borrow().contains(&found.work.exact);
        while (on_trial() || too_soon()) && self.ports.clock.now() < found.halfway() {
            self.ports.clock.sleep(LOOK_EVERY).await;
        }
    }

    /// Asks one upstream of one shard; returns the answer where that is all there is to ask,
    /// or where it failed.
    async fn try_one(
        self: &Rc<Self>,
        request: &LookupRequest,
        found: &Found,
        trace: &mut Trace<C>,
    ) -> Option<Answer> {
        let Some((plan, one)) = self.choose_one(found) else {
            return Some(refuse(trace, Code::NoReplica, COME_BACK));
        };
        let shard = Arc::clone(&one.shards[0].shard);
        trace.emit(Event::TrialBegun { work: found.work.exact, shard });
        let rules = Rules {
            attempts: TRIAL_ATTEMPTS,
            hedge: None,
            least_share: 0.0,
            cut: None,
            trials: 0,
            ..self.rules(found, self.overruns.own.get(), Duration::ZERO)
        };
        let job = Job::new(request, found, trace.request());
        let ended = self.fan_out(&job, &one, &rules, 0, (&mut None, trace)).await;
        if plan.shards.len() == 1 {
            return Some(answer(trace, &plan, ended.finished, found));
        }
        failed_trial(&ended.finished, trace)
    }

    /// Chooses a shard of a request's snapshot that has an upstream to ask; returns the
    /// whole plan and the one of that shard.
    fn choose_one(&self, found: &Found) -> Option<(Arc<Plan>, Arc<Plan>)> {
        let plan = self.choose_snapshot(found)?;
        let router = self.router.borrow();
        let usable = |name: &&Arc<str>| router.usable(name, plan.version);
        let shards = plan.shards.iter().filter(|shard| shard.replicas.iter().any(|name| usable(&name)));
        let shards: Vec<&ShardPlan> = shards.collect();
        let one = plan.only(shards.choose(&mut rand::rng())?);
        Some((Arc::clone(&plan), Arc::new(one)))
    }
}

/// Says whether a request runs under a ticket alone.
fn needs_ticket(request: &LookupRequest, found: &Found) -> bool {
    !found.plan.lookup.repeatable && matches!(request.query, Query::Json(_))
}

/// Returns the answer of a request whose trial brought nothing; none where it was answered.
fn failed_trial<C: Clock>(finished: &Finished, trace: &Trace<C>) -> Option<Answer> {
    match finished.outcome {
        Outcome::Answered => None,
        Outcome::NotRun => Some(refuse(trace, finished.code, COME_BACK)),
        Outcome::MayHaveRun => Some(may_have_run(trace, finished.code)),
    }
}
