//! The cold period of one upstream, and the requests that one worker recently sent to it.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::share::Allowance;

/// The sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// A cold period, with the rate limit that applies until it ends.
#[derive(Clone, Debug, Default)]
pub struct ColdPeriod {
    /// `None` where the rate that the upstream can handle while it is cold isn't configured.
    allowance: Option<Allowance>,
    until: Option<Instant>,
    sent: VecDeque<Instant>,
}

impl ColdPeriod {
    /// Sets what may be sent while the upstream is cold; `None` for no limit.
    pub fn set_allowance(&mut self, allowance: Option<Allowance>) {
        self.allowance = allowance;
    }

    /// Records how long the upstream is cold from `now` on, as it reports itself; zero where it
    /// is warm.
    pub fn record_cold(&mut self, cold: Duration, now: Instant) {
        self.until = (!cold.is_zero()).then(|| now + cold);
    }

    /// Records that the upstream may have turned cold without reporting it: it may have restarted,
    /// or got no requests for a while. Its next report replaces this.
    pub fn assume_cold(&mut self, now: Instant) {
        let assumed = self.allowance.map_or(Duration::ZERO, |allowance| allowance.assumed_cold);
        self.until = self.until.max(Some(now + assumed));
    }

    /// Returns whether the upstream is cold and the requests to it are limited.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.allowance.is_some() && self.until.is_some_and(|until| now < until)
    }

    /// Returns when one more request may be sent; `None` where it may be sent now.
    #[must_use]
    pub fn excluded_until(&self, now: Instant) -> Option<Instant> {
        let allowance = self.allowance.filter(|_| self.is_cold(now))?;
        let part = usize::try_from(allowance.quota).unwrap_or(usize::MAX);
        let Some(before) = part.checked_sub(1) else { return self.until };
        let oldest = self.sent.iter().rev().nth(before).filter(|at| now < **at + WINDOW)?;
        Some(*oldest + WINDOW)
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, now: Instant) {
        if self.allowance.is_none() {
            return;
        }
        while self.sent.front().is_some_and(|at| now >= *at + WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
