//! The CPU time that one shard of a fan-out takes the daemon itself.

use std::time::Duration;

/// The time of a shard on a whole core before the first sample, for choosing a replica, sending,
/// reading and checking: 40 µs at 25,000 shards a second, and 50 to 75 µs on small hosts.
const INITIAL: Duration = Duration::from_micros(60);

/// The fewest shards that make a sample: with fewer, clock resolution and other tasks outweigh
/// the time of sending.
pub const MIN_SAMPLE_SHARDS: usize = 8;

/// The weight of a sample in the moving average.
const GAIN: f64 = 0.1;

/// The fraction of a shard's time that goes into choosing a replica and sending, which is
/// measured; the rest goes into reading and checking the reply, which isn't.
const SENDING_FRACTION: f64 = 0.5;

/// A sample counts as at most this many times the average, so that a pause of the daemon isn't
/// taken for the cost of a shard.
const MAX_JUMP: f64 = 4.0;

/// A moving average of the time of one shard on a whole core.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShardTime {
    seconds: f64,
}

impl Default for ShardTime {
    fn default() -> Self {
        Self { seconds: INITIAL.as_secs_f64() }
    }
}

impl ShardTime {
    /// Records how long choosing replicas and sending `shards` requests took on a daemon of
    /// `capacity` thousandths of a core.
    pub fn record(&mut self, shards: usize, took: Duration, capacity: u32) {
        if shards < MIN_SAMPLE_SHARDS {
            return;
        }
        let count = f64::from(u32::try_from(shards).unwrap_or(u32::MAX));
        let whole = took.as_secs_f64() / count * f64::from(capacity) / 1000.0 / SENDING_FRACTION;
        let seen = whole.min(self.seconds * MAX_JUMP);
        self.seconds += (seen - self.seconds) * GAIN;
    }

    /// Returns the average time of one shard on a whole core.
    pub fn whole_core(self) -> Duration {
        Duration::from_secs_f64(self.seconds.max(0.0))
    }
}
