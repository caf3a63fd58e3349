//! Proof of freshness: up to which time a daemon is certain to have everything that the platform
//! has confirmed.

use std::time::Duration;
use std::time::Instant;

use super::backoff::backoff;

/// The time up to which nothing that was confirmed is missing here.
///
/// It advances to the moment at which a daemon with a proof was queried, and to the end of a watch
/// that returned no changes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    proven: Option<Instant>,
    /// The proof that was last passed on to other daemons.
    sent: Option<Instant>,
}

impl Freshness {
    /// Records that everything confirmed up to `at` is held; returns whether that was not known
    /// before.
    pub fn record_proof(&mut self, at: Instant) -> bool {
        let advanced = self.proven.is_none_or(|proven| at > proven);
        if advanced {
            self.proven = Some(at);
        }
        advanced
    }

    /// Returns the time up to which nothing is missing. `None` before the first proof.
    #[must_use]
    pub fn proven(&self) -> Option<Instant> {
        self.proven
    }

    /// Records that the proof is passed on to other daemons.
    pub fn record_sent(&mut self) {
        self.sent = self.proven;
    }

    /// Returns the age by which the next proof is due: that of the proof that other daemons have,
    /// where the last one was not passed on because it is newer by less than `step`.
    #[must_use]
    pub fn renewal_age(&self, step: Duration, now: Instant) -> Option<Duration> {
        let proven = self.proven?;
        let sent = self.sent.filter(|sent| proven.saturating_duration_since(*sent) < step);
        Some(now.saturating_duration_since(sent.unwrap_or(proven)))
    }

    /// Returns how long ago the oldest change may have been confirmed that is missing here.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proven.map(|proven| now.saturating_duration_since(proven))
    }
}

/// Returns the time up to which a watch proves that nothing is missing.
///
/// A watch that ended without changes after its full wait was answered no sooner than that. Any
/// other answer may have been in transit, or in the socket of a paused process, since the watch was
/// requested.
#[must_use]
pub fn proven_by_watch(requested: Instant, ended: Instant, wait: Duration, unchanged: bool) -> Instant {
    if unchanged && ended.saturating_duration_since(requested) >= wait { requested + wait } else { requested }
}

/// In normal operation, what is held is never older than this share of the deadline for applying a
/// change: watches end by then.
const MAX_AGE_SHARE: f64 = 0.4;

/// What is older than this share has missed its proof, and the daemon queries its peers. Two rounds
/// of queries and the updates that they return fit into the rest; see `docs/PROMISES.md`.
const OVERDUE_SHARE: f64 = 0.5;

/// The pause after a round without proof, as a share of the deadline. It doubles once, so that a
/// long outage costs each daemon one round per second if changes are due within 3 s.
const RETRY_SHARE: f64 = 0.1;
const MAX_RETRY_SHARE: f64 = 0.2;

/// A proof is passed on if it is newer by at least this share of the deadline.
const MIN_STEP_SHARE: f64 = 0.1;

/// The shortest wait of a watch, since every watch costs a call.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// The intervals at which daemons renew their proof, chosen so that every confirmed change is in
/// force within a deadline even if messages are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessSchedule {
    deadline: Duration,
}

impl FreshnessSchedule {
    /// Creates the schedule by which a confirmed change is in force within `deadline`.
    #[must_use]
    pub fn new(deadline: Duration) -> Self {
        Self { deadline }
    }

    /// Returns the time within which a confirmed change has to be in force.
    #[must_use]
    pub fn deadline(self) -> Duration {
        self.deadline
    }

    /// Returns how long the next watch waits, given the age of the last proof.
    #[must_use]
    pub fn watch_wait(self, age: Option<Duration>) -> Duration {
        self.time_left(age).max(MIN_WAIT)
    }

    /// Returns how long updates may be batched, given the age of the last proof: `most`, or less if
    /// the next proof is due before.
    #[must_use]
    pub fn batch_time(self, age: Option<Duration>, most: Duration) -> Duration {
        self.time_left(age).min(most)
    }

    fn time_left(self, age: Option<Duration>) -> Duration {
        self.deadline.mul_f64(MAX_AGE_SHARE).saturating_sub(age.unwrap_or_default())
    }

    /// Returns the age of a proof from which on a daemon queries its peers itself.
    #[must_use]
    pub fn overdue_age(self) -> Duration {
        self.deadline.mul_f64(OVERDUE_SHARE)
    }

    /// Returns the pause after a round without proof that was preceded by `before` consecutive
    /// others.
    #[must_use]
    pub fn retry_pause(self, failures: u32) -> Duration {
        backoff(self.deadline.mul_f64(RETRY_SHARE), failures, self.deadline.mul_f64(MAX_RETRY_SHARE))
    }

    /// Returns by how much a proof must be newer to be passed on.
    #[must_use]
    pub fn min_step(self) -> Duration {
        self.deadline.mul_f64(MIN_STEP_SHARE)
    }
}
