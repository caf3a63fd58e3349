//! The last few times of a kind, and what is usual among them.

use std::collections::VecDeque;
use std::time::Duration;

/// How many times are held: a few, so that a change shows soon.
const HELD: usize = 15;

/// The usual time is the one that this part of those held reach at most, in percent:
/// few come with more than is usual, but after an outage most come with less, having
/// used some of it before.
const USUAL_PERCENT: usize = 80;

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

    /// Returns the usual time; nothing where there is none.
    #[must_use]
    pub fn usual(&self) -> Duration {
        let mut sorted: Vec<Duration> = self.times.iter().copied().collect();
        sorted.sort_unstable();
        let at = sorted.len().saturating_sub(1) * USUAL_PERCENT / 100;
        sorted.get(at).copied().unwrap_or_default()
    }
}
