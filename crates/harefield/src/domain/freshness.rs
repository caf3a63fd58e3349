//! How sure a daemon is that it has all that the platform has confirmed.

use std::time::Duration;
use std::time::Instant;

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
