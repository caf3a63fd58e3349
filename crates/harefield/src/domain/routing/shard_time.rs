//! What one shard of a fan-out costs the daemon itself.

use std::time::Duration;

/// The time of a shard on a whole core before any was measured: choosing a replica,
/// sending, reading and checking, 40 µs at 25,000 a second and 50 to 75 µs on small hosts.
const FIRST: Duration = Duration::from_micros(60);

/// The fewest shards whose sending shows anything: the clock and other tasks show more
/// in fewer.
pub const MIN_SAMPLE_SHARDS: usize = 8;

/// How far one sample moves what was learnt.
const GAIN: f64 = 0.1;

/// How much of a shard's time goes into choosing and sending, as against reading and
/// checking its reply; only the first is measured.
const SENDING_PART: f64 = 0.5;

/// One sample counts as at most this many times what was learnt: a paused daemon shows
/// nothing of a shard.
const MOST_JUMP: f64 = 4.0;

/// The learnt time of one shard, for a whole core.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShardTime {
    seconds: f64,
}

impl Default for ShardTime {
    fn default() -> Self {
        Self { seconds: FIRST.as_secs_f64() }
    }
}

impl ShardTime {
    /// Takes how long choosing and sending `shards` requests took a daemon of `capacity`
    /// thousandths of a core.
    pub fn record(&mut self, shards: usize, took: Duration, capacity: u32) {
        if shards < MIN_SAMPLE_SHARDS {
            return;
        }
        let count = f64::from(u32::try_from(shards).unwrap_or(u32::MAX));
        let whole = took.as_secs_f64() / count * f64::from(capacity) / 1000.0 / SENDING_PART;
        let seen = whole.min(self.seconds * MOST_JUMP);
        self.seconds += (seen - self.seconds) * GAIN;
    }

    /// Returns the time of one shard on a whole core.
    pub fn whole_core(self) -> Duration {
        Duration::from_secs_f64(self.seconds.max(0.0))
    }
}
