//! Whether the platform responds to a daemon for one space.

use std::time::Duration;
use std::time::Instant;

/// Since when the platform does not respond for a space, and when it last became reachable again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reachability {
    /// Since when it responds to nobody, as far as known here.
    unreachable_since: Option<Instant>,
    /// When it last became reachable again.
    recovered_at: Option<Instant>,
    /// Since when this daemon's own calls fail.
    failing_since: Option<Instant>,
}

impl Reachability {
    /// Records that a call was not answered; returns whether the one before it was.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.unreachable_since.get_or_insert(now);
        let first = self.failing_since.is_none();
        self.failing_since.get_or_insert(now);
        first
    }

    /// Records that a call was answered; returns for how long calls had failed, if they had.
    pub fn record_answer(&mut self, now: Instant) -> Option<Duration> {
        self.mark_recovered(now);
        self.failing_since.take().map(|since| now.saturating_duration_since(since))
    }

    /// Records that somebody's call was answered as of `at`. A daemon that stops reading the
    /// platform while its own calls fail gets no answer of its own.
    pub fn record_proof(&mut self, at: Instant, now: Instant) {
        if self.unreachable_since.is_some_and(|unreachable_since| at > unreachable_since) {
            self.mark_recovered(now);
        }
    }

    fn mark_recovered(&mut self, now: Instant) {
        if self.unreachable_since.take().is_some() {
            self.recovered_at = Some(now);
        }
    }

    /// Returns whether the platform does not respond, or became reachable less than `grace` ago.
    #[must_use]
    pub fn was_unreachable(&self, now: Instant, grace: Duration) -> bool {
        let recovered = self.recovered_at.is_some_and(|at| now.saturating_duration_since(at) < grace);
        self.unreachable_since.is_some() || recovered
    }
}
