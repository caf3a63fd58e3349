//! How the platform answers a daemon in one space.

use std::time::Duration;
use std::time::Instant;

/// Since when a space does not answer, and when it last came back.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reach {
    lost: Option<Instant>,
    regained: Option<Instant>,
}

impl Reach {
    /// Notes that a call was not answered; returns whether the one before was.
    pub(super) fn lose(&mut self, now: Instant) -> bool {
        let news = self.lost.is_none();
        self.lost.get_or_insert(now);
        news
    }

    /// Notes that a call was answered; returns how long the space was away, if it was.
    pub(super) fn regain(&mut self, now: Instant) -> Option<Duration> {
        let since = self.lost.take()?;
        self.regained = Some(now);
        Some(now.saturating_duration_since(since))
    }

    /// Returns whether the space does not answer, or came back less than `grace` ago.
    pub(super) fn was_away(&self, now: Instant, grace: Duration) -> bool {
        let back = self.regained.is_some_and(|at| now.saturating_duration_since(at) < grace);
        self.lost.is_some() || back
    }
}
