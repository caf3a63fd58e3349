//! Updates the state of an upstream from the outcome of each request.

use std::time::Duration;
use std::time::Instant;

use super::report::AttemptOutcome;
use super::report::Load;
use super::report::Report;
use super::upstream_state::UpstreamState;
use crate::domain::backoff::backoff;

/// The first backoff after a failure; it doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(100);

/// An upstream that loses this many replies in a row is backed off; the users' upstreams lose one
/// reply in twenty at times.
const MAX_LOST_IN_ROW: u32 = 3;

/// The longest backoff after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// The longest time for which an upstream's retry-after is honored.
const MAX_SHED: Duration = Duration::from_secs(30);

/// The factor by which a slower reply raises the observed time, at most. The step is bounded
/// however slow the reply was, so that a single straggler changes little. Together with
/// [`STEP_DOWN`] the observed time settles where 27 of 100 replies are faster; it follows a
/// replica that recovers sooner than one that gets worse.
const STEP_UP: f64 = 1.1;

/// The factor by which a faster reply lowers the observed time, at most; see [`STEP_UP`].
const STEP_DOWN: f64 = 1.3;

/// An abandoned request is assumed to have needed at most this many times the time that it was
/// given.
const ABANDONED_FACTOR: f64 = 2.0;

/// At least this fraction of a reply's time is counted as the upstream's own, whatever the
/// round-trip time.
const MIN_OWN_FRACTION: f64 = 0.1;

/// The factor by which the best observed time rises with each reply, so that old ones fade.
const BEST_DRIFT: f64 = 1.01;

/// A reported queue is plausible when the reply took at least this fraction of the time that such
/// a queue would cost.
const PLAUSIBLE_FRACTION: f64 = 0.5;

/// The factor by which a plausible queue shrinks the window.
const QUEUE_SHRINK: f64 = 0.9;

impl UpstreamState {
    /// Records the outcome of the request that was sent at `start`. A request that isn't in flight
    /// was sent to a former incarnation of the upstream and is ignored.
    pub fn end(&mut self, start: Instant, outcome: AttemptOutcome, report: &Report, now: Instant) {
        let in_flight = self.in_flight();
        let Some(at) = self.starts.iter().position(|s| *s == start) else { return };
        self.starts.swap_remove(at);
        let whole = now.saturating_duration_since(start).as_secs_f64();
        let took = (whole - self.rtt).max(whole * MIN_OWN_FRACTION);
        self.last_end = Some(now);
        self.load = report.load.filter(|load| self.is_plausible(*load, took)).map(|load| (load, now));
        match outcome {
            AttemptOutcome::Succeeded => {
                let shift = self.find_shift(took, (start, now), false);
                self.record_success(took, in_flight, now);
                self.observed = shift.or(self.observed);
            }
            AttemptOutcome::Rejected(wait) => self.record_rejection(wait, report.load, now),
            AttemptOutcome::Declined => {}
            AttemptOutcome::Abandoned => {
                let shift = self.find_shift(took, (start, now), true);
                self.record_abandoned(took);
                self.observed = shift.or(self.observed);
            }
            AttemptOutcome::Lost => self.record_loss(now),
            AttemptOutcome::Failed => self.record_failure(now),
        }
    }

    /// Returns the new observed time if several requests in a row show that the upstream of a
    /// scheduled index has become much slower or faster.
    fn find_shift(&mut self, took: f64, times: (Instant, Instant), abandoned: bool) -> Option<f64> {
        let expected = self.observed.filter(|_| self.slots.is_scheduled())?;
        self.shift.record(expected, took, times, abandoned)
    }

    /// Returns whether a reported queue fits the time that the reply took.
    fn is_plausible(&self, load: Load, took: f64) -> bool {
        let queue = f64::from(load.queued) / f64::from(self.spec.slots.max(1));
        self.best.is_none_or(|best| took >= best * (1.0 + queue) * PLAUSIBLE_FRACTION)
    }

    fn record_success(&mut self, took: f64, in_flight: usize, now: Instant) {
        self.rejections.record_answer(now);
        self.failures = 0;
        self.retry_at = None;
        self.shed_until = None;
        self.probation = false;
        self.observe(took);
        self.best = Some(self.best.map_or(took, |best| (best * BEST_DRIFT).min(took)));
        let queued = self.load.map_or(0, |(load, _)| load.queued);
        if queued <= self.spec.slots {
            self.window.grow(in_flight);
        } else {
            // The slot limits of the regions add up to a queue of one for each other region, which
            // is no reason to use fewer slots.
            let least = f64::from(self.slot_limit().unwrap_or(0)).min(self.window.size());
            self.window.scale(QUEUE_SHRINK);
            self.window.raise_to(least);
        }
    }

    /// Moves the observed time towards the time of a reply.
    fn observe(&mut self, took: f64) {
        self.observed = Some(match self.observed {
            None => took,
            Some(old) if took > old => (old * STEP_UP).min(took),
            Some(old) => (old / STEP_DOWN).max(took),
        });
    }

    /// Records a request that was abandoned after `took` seconds. The reply would have taken at
    /// least that long, so the observed time may rise, also above `took`, but never falls.
    fn record_abandoned(&mut self, took: f64) {
        let most = took * ABANDONED_FACTOR;
        self.observed = Some(match self.observed {
            None => took,
            Some(old) if old < most => (old * STEP_UP).min(most),
            Some(old) => old,
        });
    }

    fn record_rejection(&mut self, wait: Option<Duration>, load: Option<Load>, now: Instant) {
        self.window.shrink();
        // It ranks behind replicas that accept requests: until it answers or, where it reports
        // free slots, as long as it rejects often.
        if load.is_some_and(|load| load.queued == 0 && load.active < self.spec.slots.max(1)) {
            self.rejections.record_rejection(now);
        } else {
            self.probation = true;
        }
        let Some(wait) = wait else { return };
        let doubled = wait.saturating_mul(1 << self.failures.min(4));
        self.shed_until = Some(now + wait.max(doubled.min(MAX_BACKOFF)).min(MAX_SHED));
        self.failures = self.failures.saturating_add(1);
    }

    /// Records a lost reply. A single one says little; several in a row count as a failure.
    fn record_loss(&mut self, now: Instant) {
        if self.failures + 1 >= MAX_LOST_IN_ROW {
            self.record_failure(now);
        } else {
            self.failures += 1;
        }
    }

    fn record_failure(&mut self, now: Instant) {
        self.retry_at = Some(now + backoff(BACKOFF, self.failures, MAX_BACKOFF));
        self.probation = true;
        self.failures = self.failures.saturating_add(1);
    }
}
