//! The most recent durations of one kind, and a typical value among them.

use std::collections::VecDeque;
use std::time::Duration;

/// How many durations are kept. Few, so that a change takes effect soon.
const CAPACITY: usize = 15;

/// The percentile that counts as typical. Few requests come with more time than usual, but after an
/// outage most come with less, because callers have used some of it on earlier attempts.
const TYPICAL_PERCENTILE: usize = 80;

/// The most recent durations of one kind.
#[derive(Clone, Debug, Default)]
pub struct RecentTimes {
    times: VecDeque<Duration>,
}

impl RecentTimes {
    /// Records a duration; the oldest one is dropped.
    pub fn record(&mut self, time: Duration) {
        if self.times.len() == CAPACITY {
            self.times.pop_front();
        }
        self.times.push_back(time);
    }

    /// Returns the typical duration; zero if none was recorded.
    #[must_use]
    pub fn typical(&self) -> Duration {
        let mut sorted: Vec<Duration> = self.times.iter().copied().collect();
        sorted.sort_unstable();
        let at = sorted.len().saturating_sub(1) * TYPICAL_PERCENTILE / 100;
        sorted.get(at).copied().unwrap_or_default()
    }
}
