//! How sure a daemon is that it has all that the platform has confirmed.

use std::time::Duration;
use std::time::Instant;

use super::backoff::backoff;

/// Until when a daemon is sure that nothing confirmed is missing here.
///
/// It is sure up to the moment at which it asked somebody who was, and up to the end
/// of a watch that brought nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    proven: Option<Instant>,
}

impl Freshness {
    /// Notes that all that was confirmed up to `at` is held; returns whether that was
    /// not known yet.
    pub fn prove(&mut self, at: Instant) -> bool {
        let news = self.proven.is_none_or(|proven| at > proven);
        if news {
            self.proven = Some(at);
        }
        news
    }

    /// Returns up to when nothing is missing; none before the first proof.
    #[must_use]
    pub fn proven(&self) -> Option<Instant> {
        self.proven
    }

    /// Returns for how long a change may have been confirmed that is missing here.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proven.map(|proven| now.saturating_duration_since(proven))
    }
}

/// Returns up to when a watch shows that nothing is missing.
///
/// One that ended without news after its whole wait was answered no sooner than that;
/// any other answer may have been on its way, or in the socket of a paused process,
/// since it was asked for.
#[must_use]
pub fn shown_by_watch(asked: Instant, ended: Instant, wait: Duration, quiet: bool) -> Instant {
    if quiet && ended.saturating_duration_since(asked) >= wait { asked + wait } else { asked }
}

/// While all is well, what is held is never older than this share of the time within
/// which a change is to be in force: watches end by then.
const HELD_SHARE: f64 = 0.4;

/// What is older than this share has missed its proof, and the daemon asks by itself.
/// Two rounds of asking and what they bring fit in the rest; see `docs/PROMISES.md`.
const OVERDUE_SHARE: f64 = 0.5;

/// The pause before a round that brought no proof is followed by another, as a share;
/// it doubles once, so that a long outage costs each daemon one round a second where
/// changes are due within 3 s.
const AGAIN_SHARE: f64 = 0.1;
const LONGEST_AGAIN_SHARE: f64 = 0.2;

/// A proof that is this much newer, as a share, is passed on.
const STEP_SHARE: f64 = 0.1;

/// The shortest wait of a watch: each one is a call that costs.
const LEAST_WAIT: Duration = Duration::from_millis(100);

/// How often daemons make sure of what they have, so that each confirmed change is in
/// force within a given time whatever was lost on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    apply: Duration,
}

impl Pace {
    /// Creates the pace at which a confirmed change is in force within `apply`.
    #[must_use]
    pub fn new(apply: Duration) -> Self {
        Self { apply }
    }

    /// Returns within which time a confirmed change is to be in force.
    #[must_use]
    pub fn apply(self) -> Duration {
        self.apply
    }

    /// Returns how long the next watch waits where what is held is of some age.
    #[must_use]
    pub fn wait(self, age: Option<Duration>) -> Duration {
        self.left(age).max(LEAST_WAIT)
    }

    /// Returns how long news may be folded where what is held is of some age: `most`, or
    /// as long as the next proof can wait.
    #[must_use]
    pub fn fold(self, age: Option<Duration>, most: Duration) -> Duration {
        self.left(age).min(most)
    }

    fn left(self, age: Option<Duration>) -> Duration {
        self.apply.mul_f64(HELD_SHARE).saturating_sub(age.unwrap_or_default())
    }

    /// Returns the age from which on a daemon asks by itself.
    #[must_use]
    pub fn overdue(self) -> Duration {
        self.apply.mul_f64(OVERDUE_SHARE)
    }

    /// Returns the pause after a round that brought no proof, as did `before` others in
    /// a row before it.
    #[must_use]
    pub fn again(self, before: u32) -> Duration {
        backoff(self.apply.mul_f64(AGAIN_SHARE), before, self.apply.mul_f64(LONGEST_AGAIN_SHARE))
    }

    /// Returns how much newer a proof must be to be passed on.
    #[must_use]
    pub fn step(self) -> Duration {
        self.apply.mul_f64(STEP_SHARE)
    }
}
