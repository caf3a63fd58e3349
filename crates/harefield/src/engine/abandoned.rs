//! Watches the upstreams of attempts that were given up without an answer: because the caller left,
//! a group was revoked, or the time was over. Closing an attempt's connection also closes what would
//! show that its upstream ended.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::attempt::Attempt;
use super::job::Job;
use super::job::PendingAttempt;
use super::job::WorkEvidence;
use super::worker::Worker;
use crate::domain::event::Event;
use crate::domain::ids::RequestId;
use crate::domain::ids::UpstreamId;
use crate::domain::work::Work;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;

/// How often the connections to watched upstreams are looked at. An upstream that ended is assumed to
/// take no connections for 100 ms.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// What is kept of an attempt without a reply, to tell what the end of its upstream shows.
#[derive(Clone, Debug)]
pub(super) struct UnansweredAttempt {
    pub request: RequestId,
    pub work: Work,
    pub whole: bool,
    pub alone: bool,
    pub evidence: WorkEvidence,
}

impl UnansweredAttempt {
    pub fn new(job: &Job, pending: &PendingAttempt) -> Self {
        Self {
            request: Arc::clone(&job.request),
            work: job.work,
            whole: job.whole,
            alone: pending.is_alone(),
            evidence: job.evidence.clone(),
        }
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Watches the upstream of an attempt that is given up, unless its work was answered meanwhile or
    /// nothing was sent.
    pub(super) fn watch_abandoned(self: &Rc<Self>, attempt: &Attempt, pending: &PendingAttempt) {
        let job = &attempt.job;
        if job.evidence.answered.get() || !attempt.sent.get() {
            return;
        }
        self.watch(&attempt.send.upstream, UnansweredAttempt::new(job, pending));
    }

    /// Watches the upstream of an attempt for a while.
    pub(super) fn watch(self: &Rc<Self>, upstream: &UpstreamId, attempt: UnansweredAttempt) {
        self.abandoned.borrow_mut().add(upstream, attempt, self.ports.clock.now());
        if !self.watching.replace(true) {
            self.executor.spawn(Rc::clone(self).look_while_watched()).detach();
        }
    }

    /// Looks at the connections to all watched upstreams until none is left.
    async fn look_while_watched(self: Rc<Self>) {
        while !self.abandoned.borrow().is_empty() {
            self.ports.clock.sleep(LOOK_EVERY).await;
            let now = self.ports.clock.now();
            let needed = |attempt: &UnansweredAttempt| !attempt.evidence.answered.get();
            let expired = self.abandoned.borrow_mut().remove_expired(now, needed);
            for attempt in expired {
                self.record_inconclusive(&attempt);
            }
            let watched = self.abandoned.borrow().upstreams();
            for upstream in watched {
                if !self.ports.upstreams.is_connected(&upstream) {
                    self.executor.spawn(Rc::clone(&self).check_watched(upstream)).detach();
                }
            }
        }
        self.watching.set(false);
    }

    /// Records a trial whose upstream neither answered nor ended.
    fn record_inconclusive(&self, attempt: &UnansweredAttempt) {
        if attempt.evidence.trial.is_none() || attempt.evidence.answered.get() {
            return;
        }
        let changed = self.suspects.borrow_mut().record_unanswered(&attempt.work, self.ports.clock.now());
        self.publish_suspects(changed);
        let event = Event::TrialInconclusive { work: attempt.work.exact };
        self.record_event(&attempt.request, event);
    }

    /// Checks whether a watched upstream has ended, and if so records that as evidence about all that
    /// it may have been running.
    async fn check_watched(self: Rc<Self>, upstream: UpstreamId) {
        // An upstream that leaves ends as well, whatever it runs.
        let accepts = self.router.borrow().upstream(&upstream).is_some_and(|s| s.accepts_work().is_ok());
        if !accepts || !self.has_exited(&upstream).await {
            return;
        }
        let attempts = self.abandoned.borrow_mut().remove(&upstream);
        for attempt in attempts {
            if !attempt.evidence.answered.get() {
                self.record_exit(&attempt, &upstream);
            }
        }
    }
}
