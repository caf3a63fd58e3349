//! The end of requests in progress at the limit of a planned stop.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::FutureExt;

use super::find::ResolvedRequest;
use super::run::may_have_run;
use super::run::refuse;
use super::worker::Worker;
use crate::domain::code::Code;
use crate::domain::membership::PeerState;
use crate::domain::outcome::Answer;
use crate::domain::outcome::Outcome;
use crate::domain::routing::LatencyStats;
use crate::domain::stop::StopSchedule;
use crate::domain::time::wait_millis;
use crate::ports::Clock;
use crate::ports::Peers;
use crate::ports::Upstreams;
use crate::telemetry::Trace;

/// How long a refused caller is told to wait where another daemon can take its request: enough to
/// open a connection there.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// The schedule of a worker's planned stop, and who waits for it.
#[derive(Debug)]
pub(super) struct Stop {
    schedule: Cell<Option<StopSchedule>>,
    /// A channel that is closed when the schedule changes.
    change: RefCell<(Sender<()>, Receiver<()>)>,
    /// How many requests were ended that may have run.
    cut: Cell<usize>,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            schedule: Cell::default(),
            change: RefCell::new(async_channel::bounded(1)),
            cut: Cell::default(),
        }
    }
}

impl Stop {
    /// Returns the schedule; none before a planned stop.
    pub fn schedule(&self) -> Option<StopSchedule> {
        self.schedule.get()
    }

    fn set(&self, schedule: StopSchedule) {
        self.schedule.set(Some(schedule));
        let (sender, _) = self.change.replace(async_channel::bounded(1));
        sender.close();
    }

    /// Waits until the schedule changes.
    pub async fn changed(&self) {
        let receiver = self.change.borrow().1.clone();
        let _ = receiver.recv().await;
    }
}

/// Whether a request may have reached an upstream or another daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct PassedOn(Rc<Cell<bool>>);

impl PassedOn {
    pub fn set(&self) {
        self.0.set(true);
    }

    pub fn get(&self) -> bool {
        self.0.get()
    }
}

/// When a request began, and whether it was passed on since.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub at: Instant,
    pub passed_on: PassedOn,
}

impl Entry {
    pub fn new(at: Instant) -> Self {
        Self { at, passed_on: PassedOn::default() }
    }
}

impl<U: Upstreams, P: Peers, C: Clock> Worker<U, P, C> {
    /// Begins a planned stop, or hastens it.
    pub(super) fn begin_stop(&self, schedule: StopSchedule) {
        self.stop.set(schedule);
        self.limit_waiters(schedule);
    }

    /// Returns how many requests the stop ended that may have run.
    #[must_use]
    pub fn cut(&self) -> usize {
        self.stop.cut.get()
    }

    /// Runs a future until the last answers of a planned stop are due; returns none if it takes
    /// longer.
    pub async fn before_stop<T>(&self, running: impl Future<Output = T>) -> Option<T> {
        // Boxed, since each layer of futures would hold it once more.
        let running = Box::pin(running);
        let expired = async {
            self.stop_expired().await;
            None
        };
        expired.or(async { Some(running.await) }).await
    }

    async fn stop_expired(&self) {
        loop {
            let limit = async {
                match self.stop.schedule() {
                    Some(schedule) => self.ports.clock.sleep_until(schedule.answer_by()).await,
                    None => std::future::pending().await,
                }
                true
            };
            let changed = async {
                self.stop.changed().await;
                false
            };
            if limit.or(changed).await {
                return;
            }
        }
    }

    /// Returns the answer to a request that has not arrived in full when the last answers are due.
    pub fn refuse_stopping(&self) -> Answer {
        let mut answer = Answer::not_run("", Code::Stopping, None);
        self.finish_for_stop(&mut answer);
        answer
    }

    /// Returns whether a request that arrives now could not be served any more.
    pub(super) fn is_past_stop(&self, now: Instant) -> bool {
        self.stop.schedule().is_some_and(|schedule| schedule.shortens(now))
    }

    /// Returns whether a request would take longer than a planned stop leaves, wherever it runs.
    pub(super) fn is_too_long(&self, resolved: &ResolvedRequest) -> bool {
        let Some(schedule) = self.stop.schedule() else { return false };
        let times = self.answer_times.borrow();
        let shortest = times.get(&resolved.plan.name).map_or(Duration::ZERO, LatencyStats::shortest);
        schedule.shortens(resolved.deadline) && self.ports.clock.now() > schedule.begin_until(shortest)
    }

    /// Records that a request that began at `start` is answered now.
    pub(super) fn record_answer_time(&self, kind: &Arc<str>, start: Instant) {
        let took = self.ports.clock.now().saturating_duration_since(start);
        self.answer_times.borrow_mut().entry(Arc::clone(kind)).or_default().record(took);
    }

    /// Returns a request's deadline, which is no later than a planned stop allows.
    pub(super) fn within_stop(&self, deadline: Instant) -> Instant {
        self.stop.schedule().map_or(deadline, |schedule| schedule.run_until().min(deadline))
    }

    /// Names the planned stop as the reason of an answer whose request had less time because of it.
    pub(super) fn name_stop(&self, answer: &mut Answer, deadline: Instant) {
        if self.stop.schedule().is_none_or(|schedule| !schedule.shortens(deadline)) {
            return;
        }
        answer.code = match answer.code {
            Code::TooLate => Code::Stopping,
            Code::DeadlinePassed => Code::StopLimit,
            _ => return,
        };
        answer.code.text().clone_into(&mut answer.message);
    }

    /// Says when a request that was refused because of a planned stop can be taken again, and counts
    /// one that the stop ended.
    pub(super) fn finish_for_stop(&self, answer: &mut Answer) {
        let Some(schedule) = self.stop.schedule() else { return };
        let now = self.ports.clock.now();
        if answer.code == Code::Stopping {
            answer.retry_after = Some(wait_millis(self.stop_wait(schedule, now)));
        }
        if answer.outcome == Outcome::MayHaveRun && now >= schedule.run_until() {
            self.stop.cut.set(self.stop.cut.get() + 1);
        }
    }

    /// Returns when a request can be taken again: at once by another daemon, and where none is
    /// known, once this process has ended.
    fn stop_wait(&self, schedule: StopSchedule, now: Instant) -> Duration {
        let own = &self.settings.host;
        let has_other =
            self.peers.borrow().rows.iter().any(|row| row.host != *own && row.state == PeerState::Live);
        if has_other {
            RETRY_AFTER
        } else {
            schedule.ends_at().saturating_duration_since(now).max(RETRY_AFTER)
        }
    }
}

/// Answers a request that is still in progress when the last answers are due.
pub(super) fn end_at_stop<C: Clock>(passed_on: &PassedOn, trace: &Trace<C>) -> Answer {
    if passed_on.get() {
        may_have_run(trace, Code::StopLimit)
    } else {
        refuse(trace, Code::Stopping, RETRY_AFTER)
    }
}
