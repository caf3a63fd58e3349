//! The last few times of a kind, and their median.

use std::collections::VecDeque;
use std::time::Duration;

/// How many times are held: a few, so that a change shows soon, and an odd
/// number, so that one of them is the median.
const HELD: usize = 15;

/// The last few times of a kind.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    times: VecDeque<Duration>,
}

impl Recent {
    /// Takes one time more; the oldest goes.
    pub fn take(&mut self, time: Duration) {
        if self.times.len() == HELD {
            self.times.pop_front();
        }
        self.times.push_back(time);
    }

    /// Returns the median; nothing where there is none.
    #[must_use]
    pub fn median(&self) -> Duration {
        let mut sorted: Vec<Duration> = self.times.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 2).copied().unwrap_or_default()
    }
}
