//! When refused callers may come back.
//!
//! The load pattern: far more callers than are served, all of whom come back once. Told the
//! wait of one more in the queue, they come back together, and are refused together. Each
//! is given a turn of its own here, behind those that were refused before it, at the pace
//! at which requests leave. At sixteen times the usual load, 456 callers were in time over
//! 2 s in place of 404 (a played burst, seven daemons over 20 shards of two upstreams).

use std::time::Duration;
use std::time::Instant;

/// Turns are given out for so long ahead at most: whoever is refused when more are taken is
/// told this, since by then another load is there. The users' longest objective is 0.6 s,
/// and their callers wait 2 to 6 s.
const HORIZON: Duration = Duration::from_secs(2);

/// The turns that were given out.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Returns {
    last: Option<Instant>,
}

impl Returns {
    /// Gives out the next turn, at least `wait` from now; `interval` is the time between two.
    pub fn book(&mut self, wait: Duration, interval: Duration, now: Instant) -> Duration {
        let next = self.last.map_or(now, |last| last.max(now)) + interval;
        let turn = next.max(now + wait).min(now + HORIZON);
        self.last = Some(next.min(now + HORIZON));
        turn - now
    }
}
