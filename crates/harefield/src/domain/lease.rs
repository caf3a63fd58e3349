//! The lease that a worker holds on its own knowledge.
//!
//! A process that was paused wakes up believing old facts. The worker renews
//! this lease on a short timer; when the timer fires too late the lease has
//! lapsed, and no new work leaves until the facts were confirmed afresh.

use std::time::Duration;
use std::time::Instant;

/// The longest gap between renewals that still counts as running.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// How often a worker renews its lease.
pub const RENEW_EVERY: Duration = Duration::from_millis(100);

/// A timer that is later than this shows that the process was held up; below it lies what
/// a busy turn of the executor takes.
const HELD_UP: Duration = Duration::from_millis(50);

/// What a renewal found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// The process ran all along.
    Held,
    /// The process was paused for this long and must confirm its facts.
    Lapsed(Duration),
}

/// Says whether what the worker knows may still be acted on.
#[derive(Clone, Debug)]
pub struct Lease {
    renewed: Instant,
    /// By how much the last renewal was late.
    late: Duration,
    lapsed: bool,
}

impl Lease {
    /// Creates a lease that is held from `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { renewed: now, late: Duration::ZERO, lapsed: false }
    }

    /// Renews the lease on the timer; a late timer lapses it instead.
    pub fn renew(&mut self, now: Instant) -> Renewal {
        let gap = now.saturating_duration_since(self.renewed);
        self.renewed = now;
        self.late = gap.saturating_sub(RENEW_EVERY);
        if gap <= PAUSE_LIMIT {
            return Renewal::Held;
        }
        self.lapsed = true;
        Renewal::Lapsed(gap)
    }

    /// Ends a lapse: the facts were confirmed by a round that began at `asked`.
    ///
    /// A confirmation asked for before the latest pause is not believed.
    pub fn confirm(&mut self, asked: Instant, now: Instant) {
        let fresh = now.saturating_duration_since(asked) <= PAUSE_LIMIT;
        if fresh && self.within(now) {
            self.lapsed = false;
        }
    }

    /// Returns whether new work may leave at `now`.
    #[must_use]
    pub fn held(&self, now: Instant) -> bool {
        !self.lapsed && self.within(now)
    }

    /// Returns for how long what is read now may have waited in its socket.
    ///
    /// A request names the time that its sender waits, counted from when it was sent. A
    /// daemon that was held up for 560 ms and counted from when it read it let upstreams
    /// work half a second past their callers' deadlines.
    #[must_use]
    pub fn held_up(&self, now: Instant) -> Duration {
        let overdue = now.saturating_duration_since(self.renewed).saturating_sub(RENEW_EVERY);
        let late = self.late.max(overdue);
        if late < HELD_UP { Duration::ZERO } else { late }
    }

    fn within(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.renewed) <= PAUSE_LIMIT
    }
}
