//! Attempts on upstreams. Each runs as a task of its own, so that its outcome is recorded even
//! after its request has been answered.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Task;
use futures_lite::FutureExt;
use futures_lite::future;

use super::gate::GatePermit;
use super::job::Job;
use super::job::PendingAttempt;
use super::message::ToControl;
use super::worker::Worker;
use crate::domain::admission::Congestion;
use crate::domain::announcement::NamedAnnouncement;
use crate::domain::event::Cause;
use crate::domain::event::Drop;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::fanout::Action;
use crate::domain::fanout::AnswerRules;
use crate::domain::fanout::AttemptEnd;
use crate::domain::fanout::Fanout;
use crate::domain::fanout::FanoutResult;
use crate::domain::fanout::GroupOutcome;
use crate::domain::fanout::GroupRequest;
use crate::domain::fanout::ReplyIdentity;
use crate::domain::fanout::SendAttempt;
use crate::domain::ids::AttemptId;
use crate::domain::ids::ShardId;
use crate::domain::outcome::Gap;
use crate::domain::routing::AttemptOutcome;
use crate::domain::routing::MIN_SAMPLE_SHARDS;
use crate::domain::routing::Report;
use crate::domain::suspects::Clearance;
use crate::domain::view::Plan;
use crate::ports::Call;
use crate::ports::CallOutcome;
use crate::ports::Clock;
use crate::ports::Endpoint;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Trace;

/// How an attempt or a group of shards ended, as sent to the fan-out.
pub(super) enum CompletedAttempt {
    /// An attempt on one shard.
    Shard { shard: usize, attempt: AttemptId, end: AttemptEnd },
    /// A group of shards that was delegated to another daemon.
    Group(GroupRequest, GroupOutcome),
    /// A waiting shard may be next: capacity has become free.
    Turn { shard: usize },
}

/// The tasks of one fan-out. Dropping them cancels them, but for those of a trial: what becomes of it
/// decides about all other requests for its work.
struct Tasks {
    attempts: Vec<Task<()>>,
    groups: Vec<(AttemptId, Task<()>)>,
    is_trial: bool,
}

impl Tasks {
    /// Lets the unfinished tasks run on in the background.
    fn detach(&mut self) {
        self.attempts.drain(..).for_each(Task::detach);
        self.groups.drain(..).for_each(|(_, task)| task.detach());
    }
}

impl std::ops::Drop for Tasks {
    fn drop(&mut self) {
        if self.is_trial {
            self.detach();
        }
    }
}

/// One attempt, as its task carries it.
pub(super) struct Attempt {
    pub job: Job,
    plan: Arc<Plan>,
    pub send: SendAttempt,
    /// Whether it was permitted to be written to its upstream.
    pub sent: Cell<bool>,
}

impl Attempt {
    fn shard(&self) -> ShardId {
        Arc::clone(&self.plan.shards[self.send.shard].shard)
    }

    fn echo(&self) -> ReplyIdentity {
        ReplyIdentity {
            request: format!("{}.{}", self.job.request, self.send.attempt),
            shard: self.shard().to_string(),
            version: self.plan.version,
        }
    }
}

/// One attempt in flight. It is taken off its upstream's in-flight count when dropped before it
/// completes, also where its task has not run yet.
struct AttemptGuard<U: Upstreams, P: Peers, C: Clock> {
    worker: Rc<Worker<U, P, C>>,
    attempt: Attempt,
    pending: PendingAttempt,
    completed: Cell<bool>,
}

impl<U: Upstreams, P: Peers, C: Clock> std::ops::Drop for AttemptGuard<U, P, C> {
    fn drop(&mut self) {
        if self.completed.get() {
            return;
        }
        let SendAttempt { upstream, start, .. } = &self.attempt.send;
        let now = self.worker.ports.clock.now();
        let mut router = self.worker.router.borrow_mut();
        router.end(upstream, *start, AttemptOutcome::Declined, &Report::default(), now);
        drop(router);
        self.worker.deliver_turns();
        self.worker.watch_abandoned(&self.attempt, &self.pending);
    }
}

/// The result of one fan-out.
pub(super) struct FanoutEnd {
    pub finished: FanoutResult,
    pub next: AttemptId,
    pub congestion: Congestion,
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Runs one fan-out to its end. The gate permit is released earlier when only the last shards
    /// are outstanding, unless the request was late when it arrived.
    pub(super) async fn fan_out(
        self: &Rc<Self>,
        job: &Job,
        plan: &Arc<Plan>,
        rules: &AnswerRules,
        first: AttemptId,
        (permit, trace): (&mut Option<GatePermit<U, P, C>>, &mut Trace<C>),
    ) -> FanoutEnd {
        let capacity = plan.shards.len().max(1) * 4;
        let (sender, completed) = async_channel::bounded(capacity);
        let mut fanout = Fanout::new(Arc::clone(plan), rules.clone(), first);
        // Dropping this future, as when the caller disconnects, drops the tasks and so cancels
        // them.
        let is_trial = job.evidence.trial.is_some();
        let mut tasks = Tasks { attempts: Vec::new(), groups: Vec::new(), is_trial };
        if job.whole && self.may_lack_evidence(&job.work) {
            fanout.canary_first();
        }
        let now = self.ports.clock.now();
        self.limit_to_stop(&mut fanout);
        if fanout.end_if_stopped(now, &mut self.router.borrow_mut(), trace) {
            return self.fan_out_end(fanout);
        }
        let actions = fanout.start_groups(now, &mut self.router.borrow_mut(), trace);
        let _turns = self.register_turns(fanout.id(), &sender);
        if !actions.is_empty() {
            self.apply_actions(job, plan, rules, actions, (&sender, &mut tasks));
            // Lets the group tasks write their messages first.
            future::yield_now().await;
        }
        let now = self.ports.clock.now();
        let actions = fanout.start(now, &mut self.router.borrow_mut(), trace);
        let sent = actions.len();
        self.apply_actions(job, plan, rules, actions, (&sender, &mut tasks));
        self.deliver_turns();
        self.measure_sending(sent, now);
        while !fanout.is_done() {
            let wake = fanout.next_wake();
            let next = self.next_completion(&completed, wake).await;
            let mut actions = Vec::new();
            let mut ready = next;
            while let Some(end) = ready {
                if self.clearance(&job.work) != Clearance::Free {
                    fanout.disable_trials();
                }
                let now = self.ports.clock.now();
                let mut router = self.router.borrow_mut();
                actions.extend(match end {
                    CompletedAttempt::Shard { shard, attempt, end } => {
                        fanout.on_attempt_end((shard, attempt), end, now, &mut router, trace)
                    }
                    CompletedAttempt::Group(group, end) => {
                        fanout.on_group_end(&group, &end, now, &mut router, trace)
                    }
                    CompletedAttempt::Turn { shard } => fanout.on_turn(shard, now, &mut router, trace),
                });
                ready = completed.try_recv().ok();
            }
            fanout.hold_hedges(self.may_end_upstreams(job));
            self.limit_to_stop(&mut fanout);
            let now = self.ports.clock.now();
            actions.extend(fanout.on_timer(now, &mut self.router.borrow_mut(), trace));
            self.apply_actions(job, plan, rules, actions, (&sender, &mut tasks));
            self.deliver_turns();
            if fanout.is_straggling(now)
                && let Some(permit) = permit.take_if(|permit| !permit.late)
            {
                permit.release(fanout.congestion(now));
            }
        }
        // Unfinished attempts keep their connections and still report on their upstreams.
        tasks.detach();
        self.fan_out_end(fanout)
    }

    fn fan_out_end(&self, fanout: Fanout) -> FanoutEnd {
        let (next, congestion) = (fanout.next_attempt(), fanout.congestion(self.ports.clock.now()));
        FanoutEnd { finished: fanout.finish(), next, congestion }
    }

    fn limit_to_stop(&self, fanout: &mut Fanout) {
        if let Some(schedule) = self.stop.schedule() {
            fanout.limit_to_stop(schedule, &self.router.borrow());
        }
    }

    /// Measures how long this daemon takes for `sent` requests that were decided on at `start`: a
    /// task queued behind theirs runs once all of them are written.
    fn measure_sending(self: &Rc<Self>, sent: usize, start: Instant) {
        if sent < MIN_SAMPLE_SHARDS {
            return;
        }
        let this = Rc::clone(self);
        let measure = async move {
            future::yield_now().await;
            let took = this.ports.clock.now().saturating_duration_since(start);
            this.router.borrow_mut().record_sending(sent, took);
        };
        self.executor.spawn(measure).detach();
    }

    /// Returns the next end of an attempt or group; none if `wake` comes first, or if a planned stop
    /// begins.
    async fn next_completion(
        &self,
        completed: &Receiver<CompletedAttempt>,
        wake: Instant,
    ) -> Option<CompletedAttempt> {
        let timed = async {
            self.ports.clock.sleep_until(wake).await;
            None
        };
        let stopped = async {
            self.stop.changed().await;
            None
        };
        async { completed.recv().await.ok() }.or(timed).or(stopped).await
    }

    fn apply_actions(
        self: &Rc<Self>,
        job: &Job,
        plan: &Arc<Plan>,
        rules: &AnswerRules,
        actions: Vec<Action>,
        (sender, tasks): (&Sender<CompletedAttempt>, &mut Tasks),
    ) {
        for action in actions {
            match action {
                Action::Send(send) => {
                    let (job, plan) = (job.clone(), Arc::clone(plan));
                    let attempt = Attempt { job, plan, send, sent: Cell::new(false) };
                    tasks.attempts.push(self.spawn_attempt(attempt, sender.clone()));
                }
                Action::Delegate(group) => {
                    let number = group.attempt;
                    let task = self.spawn_group(job, plan, rules, group, sender.clone());
                    tasks.groups.push((number, task));
                }
                Action::Revoke(number) => tasks.groups.retain(|(held, _)| *held != number),
                Action::Cancel(cancel) => {
                    let name = format!("{}.{}", job.request, cancel.attempt);
                    self.ports.upstreams.cancel(&cancel.upstream, &name);
                }
            }
        }
    }

    fn spawn_attempt(self: &Rc<Self>, attempt: Attempt, sender: Sender<CompletedAttempt>) -> Task<()> {
        self.count(|counts| match attempt.send.cause {
            Cause::First => counts.first += 1,
            Cause::Retry | Cause::Hedge | Cause::Probe => counts.extra += 1,
        });
        let pending = attempt.job.evidence.begin();
        let guard = AttemptGuard { worker: Rc::clone(self), attempt, pending, completed: Cell::new(false) };
        let task = async move {
            let AttemptGuard { worker: this, attempt, pending, completed } = &guard;
            let end = this.query_upstream(attempt).await;
            let end = this.classify_end(attempt, pending, end).await;
            completed.set(true);
            this.record_outcome(attempt, &end);
            this.deliver_turns();
            let (shard, number) = (attempt.send.shard, attempt.send.attempt);
            let (failure, ran) = (end.end.gap(), end.end.may_have_run());
            let ended = CompletedAttempt::Shard { shard, attempt: number, end: end.end };
            if sender.try_send(ended).is_err() {
                this.record_late(attempt, failure, ran);
            }
        };
        self.executor.spawn(task)
    }

    async fn query_upstream(&self, attempt: &Attempt) -> CallOutcome {
        let upstream = Arc::clone(&attempt.send.upstream);
        let now = self.ports.clock.now();
        let target = self.router.borrow().upstream(&upstream).map(|s| (s.spec().address, s.share()));
        let Some((address, connection_limit)) = target else {
            return CallOutcome {
                end: AttemptEnd::NotSent { why: Gap::NoReplica },
                outcome: AttemptOutcome::Declined,
                report: Report::default(),
            };
        };
        let call = Call {
            endpoint: Endpoint { upstream, address },
            connection_limit,
            echo: attempt.echo(),
            remaining: attempt.job.deadline.saturating_duration_since(now),
            drain: self.settings.drain,
            once: attempt.job.once,
            query: attempt.job.query.clone(),
            requester: attempt.job.requester.clone(),
        };
        let permit = || {
            let now = self.ports.clock.now();
            let withheld = matches!(self.clearance(&attempt.job.work), Clearance::Withheld(_));
            let router = self.router.borrow();
            // The upstream may have begun to leave, or its zone to be evacuated, while a connection
            // was opened.
            let accepts = router.upstream(&attempt.send.upstream).is_some_and(|s| s.accepts_work().is_ok());
            let permitted = now < attempt.job.deadline && !withheld && accepts && router.lease().held(now);
            attempt.sent.set(permitted);
            if permitted {
                attempt.job.passed_on.set();
            }
            permitted
        };
        self.ports.upstreams.send(call, permit).await
    }

    /// Records an attempt's outcome in the router, and publishes the upstream's announcement if it
    /// changed.
    fn record_outcome(&self, attempt: &Attempt, end: &CallOutcome) {
        let now = self.ports.clock.now();
        let SendAttempt { upstream, start, .. } = &attempt.send;
        let mut router = self.router.borrow_mut();
        let before = router.upstream(upstream).map(|s| s.window().size());
        router.end(upstream, *start, end.outcome, &end.report, now);
        let window = router.upstream(upstream).map(|s| s.window().size());
        if let (Some(before), Some(window)) = (before, window)
            && window.floor() < before.floor()
        {
            self.duty_trace().emit(Event::LimitChanged { upstream: Arc::clone(upstream), window });
        }
        if matches!(end.end.gap(), Some(Gap::Unreachable | Gap::UpstreamEnded)) {
            router.record_down(upstream, now);
        }
        if end.outcome == AttemptOutcome::Succeeded && attempt.send.cause != Cause::Probe {
            router.record_latency(&attempt.job.lookup, upstream, now.saturating_duration_since(*start));
        }
        router.set_idle(upstream, self.ports.upstreams.idle(upstream));
        let Some(announcement) =
            end.report.announcement.as_ref().filter(|new| router.merge_announcement(upstream, new))
        else {
            return;
        };
        drop(router);
        let named = NamedAnnouncement { upstream: Arc::clone(upstream), announcement: announcement.clone() };
        let (draining, held) = (announcement.draining, announcement.held.clone().unwrap_or_default());
        self.duty_trace().emit(Event::UpstreamWord { upstream: Arc::clone(upstream), draining, held });
        drop(self.control.try_send(ToControl::Announcement(named)));
    }

    /// Records how an attempt ended after its request was answered: that its reply was dropped, or
    /// why there was none.
    fn record_late(&self, attempt: &Attempt, failure: Option<Gap>, ran: bool) {
        let (shard, number) = (attempt.shard(), attempt.send.attempt);
        let upstream = Arc::clone(&attempt.send.upstream);
        let event = match failure {
            None => Event::ReplyDropped { shard, upstream, attempt: number, why: Drop::Late },
            Some(why) => Event::AttemptFailed { shard, upstream, attempt: number, why, ran },
        };
        self.record_event(&attempt.job.request, event);
    }
}
