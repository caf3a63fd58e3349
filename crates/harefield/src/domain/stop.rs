//! The times of a planned stop: until when requests may run, and by when they are answered.

use std::time::Duration;
use std::time::Instant;

/// The time reserved for answers to leave before the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// The time between the end of fan-outs and the last answers, for the answers that fan-outs have
/// gathered and those that other daemons send.
const GATHER_TIME: Duration = Duration::from_millis(100);

/// Of a short stop limit, one part in this many is reserved for answers to leave, and half as much
/// for gathering them.
const SHORT_LIMIT_DIVISOR: u32 = 6;

/// How long the process goes on after a second signal.
const FORCED_LIMIT: Duration = Duration::from_millis(200);

/// The times of a planned stop, which all decisions on requests in progress go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    run_until: Instant,
    answer_by: Instant,
    ends_at: Instant,
}

impl StopSchedule {
    /// Creates the schedule of a stop that began at `begun` and takes at most `limit`.
    #[must_use]
    pub fn new(begun: Instant, limit: Duration) -> Self {
        let flush = FLUSH_TIME.min(limit / SHORT_LIMIT_DIVISOR);
        let gather = GATHER_TIME.min(limit / SHORT_LIMIT_DIVISOR / 2);
        let answer_by = begun + limit.saturating_sub(flush);
        let run_until = begun + limit.saturating_sub(flush + gather);
        Self { run_until, answer_by, ends_at: begun + limit }
    }

    /// Creates the schedule of a stop that a second signal hastens at `now`: nothing runs on.
    #[must_use]
    pub fn forced(now: Instant) -> Self {
        Self { run_until: now, ..Self::new(now, FORCED_LIMIT) }
    }

    /// Returns until when requests may run: fan-outs and requests at other daemons end then.
    #[must_use]
    pub fn run_until(&self) -> Instant {
        self.run_until
    }

    /// Returns when the last request is answered.
    #[must_use]
    pub fn answer_by(&self) -> Instant {
        self.answer_by
    }

    /// Returns when the process ends.
    #[must_use]
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Returns until when a request that takes at least `shortest` may begin.
    #[must_use]
    pub fn begin_until(&self, shortest: Duration) -> Instant {
        self.run_until.checked_sub(shortest).unwrap_or(self.run_until)
    }

    /// Returns whether a request with this deadline has less time because of the stop.
    #[must_use]
    pub fn shortens(&self, deadline: Instant) -> bool {
        self.run_until <= deadline
    }
}
