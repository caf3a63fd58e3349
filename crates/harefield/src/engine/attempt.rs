//! Attempts on upstreams: each runs as a task of its own, so that its end is
//! learnt from even after the request it was for has been answered.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::Task;
use futures_lite::FutureExt;
use futures_lite::future;

use super::gate::Permit;
use super::job::Job;
use super::message::ToControl;
use super::worker::Worker;
use crate::domain::admission::Crowd;
use crate::domain::announcement::NamedAnnouncement;
use crate::domain::event::Cause;
use crate::domain::event::Drop;
use crate::domain::event::Event;
use crate::domain::event::Sink;
use crate::domain::fanout::Action;
use crate::domain::fanout::AttemptEnd;
use crate::domain::fanout::Echo;
use crate::domain::fanout::Fanout;
use crate::domain::fanout::Finished;
use crate::domain::fanout::GroupEnd;
use crate::domain::fanout::Hand;
use crate::domain::fanout::Rules;
use crate::domain::fanout::Send;
use crate::domain::ids::AttemptId;
use crate::domain::ids::ShardId;
use crate::domain::outcome::Gap;
use crate::domain::routing::LEAST_SHARDS;
use crate::domain::routing::Report;
use crate::domain::routing::Verdict;
use crate::domain::suspects::Standing;
use crate::domain::view::Plan;
use crate::ports::Call;
use crate::ports::CallOutcome;
use crate::ports::Clock;
use crate::ports::Endpoint;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Batch;
use crate::telemetry::Trace;

/// The end of an attempt, on its way to the fan-out.
pub(super) enum Landed {
    /// Of one shard.
    Shard { shard: usize, attempt: AttemptId, end: AttemptEnd },
    /// Of a group of shards.
    Group(Hand, GroupEnd),
}

/// The tasks of one fan-out; dropped, they end where they are.
#[derive(Default)]
struct Tasks {
    attempts: Vec<Task<()>>,
    groups: Vec<(AttemptId, Task<()>)>,
}

impl Tasks {
    /// Lets what is still out go on by itself.
    fn detach(self) {
        self.attempts.into_iter().for_each(Task::detach);
        self.groups.into_iter().for_each(|(_, task)| task.detach());
    }
}

/// One attempt, as its task carries it.
pub(super) struct Attempt {
    pub job: Job,
    plan: Arc<Plan>,
    pub send: Send,
}

impl Attempt {
    fn shard(&self) -> ShardId {
        Arc::clone(&self.plan.shards[self.send.shard].shard)
    }

    fn echo(&self) -> Echo {
        Echo {
            request: format!("{}.{}", self.job.request, self.send.attempt),
            shard: self.shard().to_string(),
            version: self.plan.version,
        }
    }
}

/// An attempt under way, which is taken off its upstream's account when its
/// task is dropped half-way.
struct Underway<'a, U: Upstreams, P: Peers, C: Clock> {
    worker: &'a Worker<U, P, C>,
    attempt: &'a Attempt,
    settled: bool,
}

impl<U: Upstreams, P: Peers, C: Clock> std::ops::Drop for Underway<'_, U, P, C> {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let Send { upstream, start, .. } = &self.attempt.send;
        let now = self.worker.ports.clock.now();
        let mut router = self.worker.router.borrow_mut();
        router.end(upstream, *start, Verdict::Declined, &Report::default(), now);
    }
}

/// The result of one fan-out.
pub(super) struct FanoutEnd {
    pub finished: Finished,
    pub next: AttemptId,
    pub crowd: Crowd,
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Runs one fan-out to its end; gives its permit back before that once
    /// it only waits for its last shards.
    pub(super) async fn fan_out(
        self: &Rc<Self>,
        job: &Job,
        plan: &Arc<Plan>,
        rules: &Rules,
        first: AttemptId,
        (permit, trace): (&mut Option<Permit<U, P, C>>, &mut Trace<C>),
    ) -> FanoutEnd {
        let ring = plan.shards.len().max(1) * 4;
        let (sender, landed) = async_channel::bounded(ring);
        let mut fanout = Fanout::new(Arc::clone(plan), rules.clone(), first);
        // Dropped with this future when the caller goes away, which ends them.
        let mut tasks = Tasks::default();
        let now = self.ports.clock.now();
        let actions = fanout.start_groups(now, &mut self.router.borrow_mut(), trace);
        if !actions.is_empty() {
            self.act(job, plan, rules, actions, (&sender, &mut tasks));
            // Lets the groups' tasks write before this one goes on.
            future::yield_now().await;
        }
        let now = self.ports.clock.now();
        let actions = fanout.start(now, &mut self.router.borrow_mut(), trace);
        let sent = actions.len();
        self.act(job, plan, rules, actions, (&sender, &mut tasks));
        self.measure_sending(sent, now);
        while !fanout.is_done() {
            let wake = fanout.next_wake();
            let next = self.next_landing(&landed, wake).await;
            let mut actions = Vec::new();
            let mut ready = next;
            while let Some(end) = ready {
                if self.standing(&job.work) != Standing::Free {
                    fanout.leave_trials();
                }
                let now = self.ports.clock.now();
                let mut router = self.router.borrow_mut();
                actions.extend(match end {
                    Landed::Shard { shard, attempt, end } => {
                        fanout.on_end((shard, attempt), end, now, &mut router, trace)
                    }
                    Landed::Group(hand, end) => fanout.on_group_end(&hand, &end, now, &mut router, trace),
                });
                ready = landed.try_recv().ok();
            }
            let now = self.ports.clock.now();
            actions.extend(fanout.on_time(now, &mut self.router.borrow_mut(), trace));
            self.act(job, plan, rules, actions, (&sender, &mut tasks));
            if fanout.is_straggling(now)
                && let Some(permit) = permit.take_if(|permit| !permit.late)
            {
                permit.leave(fanout.crowd(now));
            }
        }
        // What is still out keeps its connection, and shows how its upstream does.
        tasks.detach();
        let (next, crowd) = (fanout.next_attempt(), fanout.crowd(self.ports.clock.now()));
        FanoutEnd { finished: fanout.finish(), next, crowd }
    }

    /// Measures how long `sent` requests that were decided on at `start` take this daemon:
    /// a task behind theirs runs once all of them are written.
    fn measure_sending(self: &Rc<Self>, sent: usize, start: Instant) {
        if sent < LEAST_SHARDS {
            return;
        }
        let this = Rc::clone(self);
        let measure = async move {
            future::yield_now().await;
            let took = this.ports.clock.now().saturating_duration_since(start);
            this.router.borrow_mut().sample_sending(sent, took);
        };
        self.executor.spawn(measure).detach();
    }

    async fn next_landing(&self, landed: &Receiver<Landed>, wake: Instant) -> Option<Landed> {
        let timed = async {
            self.ports.clock.sleep_until(wake).await;
            None
        };
        async { landed.recv().await.ok() }.or(timed).await
    }

    fn act(
        self: &Rc<Self>,
        job: &Job,
        plan: &Arc<Plan>,
        rules: &Rules,
        actions: Vec<Action>,
        (sender, tasks): (&Sender<Landed>, &mut Tasks),
    ) {
        for action in actions {
            match action {
                Action::Send(send) => {
                    let attempt = Attempt { job: job.clone(), plan: Arc::clone(plan), send };
                    tasks.attempts.push(self.launch(attempt, sender.clone()));
                }
                Action::Hand(hand) => {
                    let number = hand.attempt;
                    let task = self.launch_group(job, plan, rules, hand, sender.clone());
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

    fn launch(self: &Rc<Self>, attempt: Attempt, sender: Sender<Landed>) -> Task<()> {
        self.count(|counts| match attempt.send.cause {
            Cause::First => counts.first += 1,
            Cause::Retry | Cause::Hedge | Cause::Probe => counts.extra += 1,
        });
        let this = Rc::clone(self);
        let out = attempt.job.shown.begin();
        let task = async move {
            let mut underway = Underway { worker: &this, attempt: &attempt, settled: false };
            let end = this.ask(&attempt).await;
            let end = this.judge_end(&attempt, &out, end).await;
            drop(out);
            underway.settled = true;
            this.learn(&attempt, &end);
            let (shard, number) = (attempt.send.shard, attempt.send.attempt);
            let (failure, ran) = (end.end.gap(), end.end.may_have_run());
            let landed = Landed::Shard { shard, attempt: number, end: end.end };
            if sender.try_send(landed).is_err() {
                this.note_late(&attempt, failure, ran);
            }
        };
        self.executor.spawn(task)
    }

    async fn ask(&self, attempt: &Attempt) -> CallOutcome {
        let upstream = Arc::clone(&attempt.send.upstream);
        let now = self.ports.clock.now();
        let found = self.router.borrow().searcher(&upstream).map(|s| (s.spec().address, s.share()));
        let Some((address, share)) = found else {
            return CallOutcome {
                end: AttemptEnd::NotSent { why: Gap::NoReplica },
                verdict: Verdict::Declined,
                report: Report::default(),
            };
        };
        let call = Call {
            endpoint: Endpoint { upstream, address },
            connection_limit: share,
            echo: attempt.echo(),
            remaining: attempt.job.deadline.saturating_duration_since(now),
            drain: self.settings.drain,
            once: attempt.job.once,
            query: attempt.job.query.clone(),
            asker: attempt.job.asker.clone(),
        };
        let permit = || {
            let now = self.ports.clock.now();
            let withheld = matches!(self.standing(&attempt.job.work), Standing::Withheld(_));
            let router = self.router.borrow();
            // One may have begun to leave, or its zone to be evacuated, while a connection
            // was opened.
            let takes = router.searcher(&attempt.send.upstream).is_some_and(|s| s.takes_work().is_ok());
            now < attempt.job.deadline && !withheld && takes && router.lease().held(now)
        };
        self.ports.upstreams.send(call, permit).await
    }

    /// Takes what an attempt showed into the routing, and tells other daemons
    /// of a changed word.
    fn learn(&self, attempt: &Attempt, end: &CallOutcome) {
        let now = self.ports.clock.now();
        let Send { upstream, start, .. } = &attempt.send;
        let mut router = self.router.borrow_mut();
        let before = router.searcher(upstream).map(|s| s.window().size());
        router.end(upstream, *start, end.verdict, &end.report, now);
        let window = router.searcher(upstream).map(|s| s.window().size());
        if let (Some(before), Some(window)) = (before, window)
            && window.floor() < before.floor()
        {
            self.duty_trace().emit(Event::LimitChanged { upstream: Arc::clone(upstream), window });
        }
        if matches!(end.end.gap(), Some(Gap::Unreachable | Gap::UpstreamEnded)) {
            router.note_down(upstream, now);
        }
        if end.verdict == Verdict::Good && attempt.send.cause != Cause::Probe {
            router.sample(&attempt.job.kind, upstream, now.saturating_duration_since(*start));
        }
        router.set_idle(upstream, self.ports.upstreams.idle(upstream));
        let Some(word) = end.report.word.as_ref().filter(|word| router.hear(upstream, word)) else {
            return;
        };
        drop(router);
        let named = NamedAnnouncement { upstream: Arc::clone(upstream), announcement: word.clone() };
        let (draining, held) = (word.draining, word.held.clone().unwrap_or_default());
        self.duty_trace().emit(Event::UpstreamWord { upstream: Arc::clone(upstream), draining, held });
        drop(self.control.try_send(ToControl::Word(named)));
    }

    /// Tells how an attempt ended after its request was answered: what came was dropped,
    /// or why nothing did.
    fn note_late(&self, attempt: &Attempt, failure: Option<Gap>, ran: bool) {
        let stamp = self.stamp();
        let (shard, number) = (attempt.shard(), attempt.send.attempt);
        let upstream = Arc::clone(&attempt.send.upstream);
        let event = match failure {
            None => Event::ReplyDropped { shard, upstream, attempt: number, why: Drop::Late },
            Some(why) => Event::AttemptFailed { shard, upstream, attempt: number, why, ran },
        };
        let request = Some(Arc::clone(&attempt.job.request));
        self.telemetry.send(Batch { request, events: vec![(stamp, event)] });
    }
}
