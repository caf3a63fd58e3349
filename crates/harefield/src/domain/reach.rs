//! How the platform answers a daemon in one space.

use std::time::Duration;
use std::time::Instant;

/// Since when a space does not answer, and when it last came back.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reach {
    /// Since when it answers nobody, as far as known here.
    lost: Option<Instant>,
    /// When it last came back.
    regained: Option<Instant>,
    /// Since when this daemon's own calls are not answered.
    cut: Option<Instant>,
}

impl Reach {
    /// Notes that a call was not answered; returns whether the one before was.
    pub fn lose(&mut self, now: Instant) -> bool {
        self.lost.get_or_insert(now);
        let news = self.cut.is_none();
        self.cut.get_or_insert(now);
        news
    }

    /// Notes that a call was answered; returns how long the space was away, if it was.
    pub fn regain(&mut self, now: Instant) -> Option<Duration> {
        self.come_back(now);
        self.cut.take().map(|since| now.saturating_duration_since(since))
    }

    /// Notes that the space answered somebody as of `at`: a daemon that stops reading
    /// while its own calls fail hears no answer of its own.
    pub fn vouch(&mut self, at: Instant, now: Instant) {
        if self.lost.is_some_and(|lost| at > lost) {
            self.come_back(now);
        }
    }

    fn come_back(&mut self, now: Instant) {
        if self.lost.take().is_some() {
            self.regained = Some(now);
        }
    }

    /// Returns whether the space does not answer, or came back less than `grace` ago.
    #[must_use]
    pub fn was_away(&self, now: Instant, grace: Duration) -> bool {
        let back = self.regained.is_some_and(|at| now.saturating_duration_since(at) < grace);
        self.lost.is_some() || back
    }
}
