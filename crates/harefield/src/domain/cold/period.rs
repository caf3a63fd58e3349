//! One upstream's cold spell, as one daemon sees it, and what it sent there of late.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::share::Allowance;

/// The window within which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// A cold spell, and what was sent of late.
#[derive(Clone, Debug, Default)]
pub struct ColdPeriod {
    /// None where nobody says what the upstream bears while it is cold.
    allowance: Option<Allowance>,
    until: Option<Instant>,
    sent: VecDeque<Instant>,
}

impl ColdPeriod {
    /// Takes what this daemon may send while the upstream is cold.
    pub fn set_allowance(&mut self, allowance: Option<Allowance>) {
        self.allowance = allowance;
    }

    /// Takes the upstream's word that it is cold for so long; warm where that is nothing.
    pub fn record_cold(&mut self, cold: Duration, now: Instant) {
        self.until = (!cold.is_zero()).then(|| now + cold);
    }

    /// Takes that the upstream may have turned cold without a word: it may have started
    /// again, or got nothing for a while. Its next word says better.
    pub fn assume_cold(&mut self, now: Instant) {
        let spell = self.allowance.map_or(Duration::ZERO, |allowance| allowance.assumed_cold);
        self.until = self.until.max(Some(now + spell));
    }

    /// Returns whether it is cold and what it is sent is bound.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.allowance.is_some() && self.until.is_some_and(|until| now < until)
    }

    /// Returns from when on one more may be sent; none where it may be now.
    #[must_use]
    pub fn excluded_until(&self, now: Instant) -> Option<Instant> {
        let allowance = self.allowance.filter(|_| self.is_cold(now))?;
        let part = usize::try_from(allowance.quota).unwrap_or(usize::MAX);
        let Some(before) = part.checked_sub(1) else { return self.until };
        let oldest = self.sent.iter().rev().nth(before).filter(|at| now < **at + WINDOW)?;
        Some(*oldest + WINDOW)
    }

    /// Notes that a request leaves.
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
