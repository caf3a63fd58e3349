//! The lease that a worker holds on its own knowledge.
//!
//! A process that was paused resumes with outdated facts. The worker renews this lease on a short
//! timer. If the timer fires too late, the lease has lapsed, and no new work is sent until the
//! facts have been confirmed again.

use std::time::Duration;
use std::time::Instant;

/// The longest gap between renewals that does not count as a pause.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// How often a worker renews its lease.
pub const RENEW_EVERY: Duration = Duration::from_millis(100);

/// A timer that is later than this shows that the process was delayed. A busy turn of the executor
/// takes less.
const MIN_DELAY: Duration = Duration::from_millis(50);

/// The result of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// The process ran without a pause.
    Held,
    /// The process was paused for this long and must confirm its facts.
    Lapsed(Duration),
}

/// A worker's lease on its knowledge. New work may be sent only while it is held.
#[derive(Clone, Debug)]
pub struct Lease {
    renewed: Instant,
    /// By how much the last renewal was late.
    delay: Duration,
    lapsed: bool,
}

impl Lease {
    /// Creates a lease that is held from `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { renewed: now, delay: Duration::ZERO, lapsed: false }
    }

    /// Renews the lease from the timer. If the timer is too late, the lease lapses instead.
    pub fn renew(&mut self, now: Instant) -> Renewal {
        let gap = now.saturating_duration_since(self.renewed);
        self.renewed = now;
        self.delay = gap.saturating_sub(RENEW_EVERY);
        if gap <= PAUSE_LIMIT {
            return Renewal::Held;
        }
        self.lapsed = true;
        Renewal::Lapsed(gap)
    }

    /// Ends a lapse after the facts were confirmed by a round that began at `requested`.
    ///
    /// A confirmation that was requested before the latest pause does not count.
    pub fn confirm(&mut self, requested: Instant, now: Instant) {
        let recent = now.saturating_duration_since(requested) <= PAUSE_LIMIT;
        if recent && self.is_current(now) {
            self.lapsed = false;
        }
    }

    /// Returns whether new work may be sent at `now`.
    #[must_use]
    pub fn held(&self, now: Instant) -> bool {
        !self.lapsed && self.is_current(now)
    }

    /// Returns how long data that is read now may have waited in its socket.
    ///
    /// A request states the time that its sender waits, counted from when it was sent. A daemon
    /// that was delayed for 560 ms and counted from when it read the request let upstreams work
    /// half a second past their callers' deadlines.
    #[must_use]
    pub fn queueing_delay(&self, now: Instant) -> Duration {
        let overdue = now.saturating_duration_since(self.renewed).saturating_sub(RENEW_EVERY);
        let delay = self.delay.max(overdue);
        if delay < MIN_DELAY { Duration::ZERO } else { delay }
    }

    fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.renewed) <= PAUSE_LIMIT
    }
}
