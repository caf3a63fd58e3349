//! How long after its cut an answer usually goes out.
//!
//! The load pattern: wide answers on hosts with a small part of a core. Groups answer at
//! the same moment, and taking each in takes milliseconds, so that an answer cut 14 ms
//! before its objective went out 10 to 30 ms after it. What the daemon takes is learnt
//! from its own answers, and the cut is moved forward by what the margin does not hold.
//!
//! The limit is a quarter of the time to gather: on the smallest hosts it takes most of the
//! rest until the replies are in, and an answer that lacks too many shards is none.

use std::time::Duration;
use std::time::Instant;

/// How far one answer moves what was learnt: a member of a cell gives two a second.
const GAIN: f64 = 0.2;

/// How many times the usual deviation is kept besides the mean: one answer in ten or so
/// is later.
const DEVIATIONS: f64 = 1.5;

/// The part of the time to gather that an overrun may take, in percent.
const MAX_PERCENT: u32 = 25;

/// The learnt overrun of the answers of one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overrun {
    mean: f64,
    deviation: f64,
}

impl Overrun {
    /// Takes when an answer went out that was to be cut at `cut`, and had `time` until its
    /// objective. One that had all before its cut shows nothing, nor one that is later than
    /// can be made up for: it waited for something that was lost.
    pub fn sample(&mut self, cut: Instant, time: Duration, out: Instant) {
        let Some(took) = out.checked_duration_since(cut) else { return };
        if took > time * MAX_PERCENT / 100 {
            return;
        }
        let took = took.as_secs_f64();
        self.deviation += ((took - self.mean).abs() - self.deviation) * GAIN;
        self.mean += (took - self.mean) * GAIN;
    }

    /// Returns when an answer is cut that is to go out at `objective`, and is begun now;
    /// `kept` is kept of the objective for that already.
    #[must_use]
    pub fn cutoff(self, now: Instant, objective: Instant, kept: Duration) -> Instant {
        let left = objective.saturating_duration_since(now);
        let overrun = Duration::from_secs_f64(self.mean + self.deviation * DEVIATIONS);
        now + left.saturating_sub(overrun.saturating_sub(kept).min(left * MAX_PERCENT / 100))
    }
}
