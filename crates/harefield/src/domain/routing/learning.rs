//! What the end of a request teaches of its upstream.

use std::time::Duration;
use std::time::Instant;

use super::report::AttemptOutcome;
use super::report::Load;
use super::report::Report;
use super::upstream_state::UpstreamState;
use crate::domain::backoff::backoff;

/// The first pause after a failure; it doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(100);

/// An upstream that loses this many replies in a row is left alone for a while;
/// the users' upstreams lose one in twenty at times.
const LOST_IN_ROW: u32 = 3;

/// The longest pause after failures.
const LONGEST_BACKOFF: Duration = Duration::from_secs(4);

/// The longest that a refusal's word on when to come back is kept.
const LONGEST_SHED: Duration = Duration::from_secs(30);

/// How far one reply moves the observed time, up and down: by a factor, however
/// slow the reply was, so that a single straggler says little. The two come to
/// rest where 27 of 100 replies are faster; a replica that does well again is
/// believed sooner than one that does badly.
const STEP_UP: f64 = 1.1;

/// The same down, see [`STEP_UP`].
const STEP_DOWN: f64 = 1.3;

/// A reply that was given up is taken to have needed at most this many times
/// the time that it was given.
const ABANDONED_MOST: f64 = 2.0;

/// At least this part of a reply's time is taken to be the upstream's own.
const LEAST_OWN_PART: f64 = 0.1;

/// How fast the best observed time is forgotten: by this factor with each reply.
const BEST_DRIFT: f64 = 1.01;

/// A report of a queue is believed when a reply took at least this part of the
/// time that such a queue would cost.
const BELIEF: f64 = 0.5;

/// How far a believed queue shrinks the window.
const QUEUE_SHRINK: f64 = 0.9;

impl UpstreamState {
    /// Notes how the request that left at `start` ended. One that is not under way was of a
    /// former start of the upstream, and tells nothing of this one.
    pub fn end(&mut self, start: Instant, verdict: AttemptOutcome, report: &Report, now: Instant) {
        let under_way = self.in_flight();
        let Some(at) = self.starts.iter().position(|s| *s == start) else { return };
        self.starts.swap_remove(at);
        let whole = now.saturating_duration_since(start).as_secs_f64();
        let took = (whole - self.rtt).max(whole * LEAST_OWN_PART);
        self.last_end = Some(now);
        self.load = report.load.filter(|load| self.believes(*load, took)).map(|load| (load, now));
        match verdict {
            AttemptOutcome::Succeeded => self.good(took, under_way, now),
            AttemptOutcome::Rejected(wait) => self.full(wait, report.load, now),
            AttemptOutcome::Declined => {}
            AttemptOutcome::Abandoned => self.abandoned(took),
            AttemptOutcome::Lost => self.lost(now),
            AttemptOutcome::Failed => self.broken(now),
        }
    }

    /// Says whether a report of a queue fits the time that the reply took.
    fn believes(&self, load: Load, took: f64) -> bool {
        let queue = f64::from(load.queued) / f64::from(self.spec.slots.max(1));
        self.best.is_none_or(|best| took >= best * (1.0 + queue) * BELIEF)
    }

    fn good(&mut self, took: f64, under_way: usize, now: Instant) {
        self.rejections.record_answer(now);
        self.failures = 0;
        self.retry_at = None;
        self.shed_until = None;
        self.probation = false;
        self.observe(took);
        self.best = Some(self.best.map_or(took, |best| (best * BEST_DRIFT).min(took)));
        let queued = self.load.map_or(0, |(load, _)| load.queued);
        if queued <= self.spec.slots {
            self.window.grow(under_way);
        } else {
            self.window.scale(QUEUE_SHRINK);
        }
    }

    /// Moves the observed time towards a reply's time.
    fn observe(&mut self, took: f64) {
        self.observed = Some(match self.observed {
            None => took,
            Some(old) if took > old => (old * STEP_UP).min(took),
            Some(old) => (old / STEP_DOWN).max(took),
        });
    }

    /// The time so far is the least that the reply would have taken: it moves
    /// the observed time up, past itself, but never down.
    fn abandoned(&mut self, took: f64) {
        let most = took * ABANDONED_MOST;
        self.observed = Some(match self.observed {
            None => took,
            Some(old) if old < most => (old * STEP_UP).min(most),
            Some(old) => old,
        });
    }

    fn full(&mut self, wait: Option<Duration>, load: Option<Load>, now: Instant) {
        self.window.shrink();
        // Beside one that takes its requests it is passed over: until it answers, or for as
        // long as it has rejected often where it says that it has room.
        if load.is_some_and(|load| load.queued == 0 && load.active < self.spec.slots.max(1)) {
            self.rejections.record_rejection(now);
        } else {
            self.probation = true;
        }
        let Some(wait) = wait else { return };
        let doubled = wait.saturating_mul(1 << self.failures.min(4));
        self.shed_until = Some(now + wait.max(doubled.min(LONGEST_BACKOFF)).min(LONGEST_SHED));
        self.failures = self.failures.saturating_add(1);
    }

    /// A reply that was lost says little by itself; several in a row do.
    fn lost(&mut self, now: Instant) {
        if self.failures + 1 >= LOST_IN_ROW {
            self.broken(now);
        } else {
            self.failures += 1;
        }
    }

    fn broken(&mut self, now: Instant) {
        self.retry_at = Some(now + backoff(BACKOFF, self.failures, LONGEST_BACKOFF));
        self.probation = true;
        self.failures = self.failures.saturating_add(1);
    }
}
