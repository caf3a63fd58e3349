//! Learns how long after its cutoff an answer is usually sent.
//!
//! This matters for wide fan-outs on hosts with a fraction of a core. Groups answer at the same
//! moment and processing each takes milliseconds, so that an answer cut 14 ms before its objective
//! was sent 10 to 30 ms after it. The daemon learns this overrun from its own answers, and moves
//! the cutoff forward by the part that the margin does not cover.
//!
//! The cutoff moves by at most a quarter of the time that is left for collecting replies: on the
//! smallest hosts most of that time passes before the replies are in, and an answer that lacks too
//! many shards is not valid.

use std::time::Duration;
use std::time::Instant;

/// The weight of one answer in the moving averages; a member of a cell gives about two answers a
/// second.
const GAIN: f64 = 0.2;

/// How many mean deviations are added to the mean; about one answer in ten takes longer.
const DEVIATIONS: f64 = 1.5;

/// The largest overrun, in percent of the time for collecting replies.
const MAX_PERCENT: u32 = 25;

/// The learnt overrun of the answers of one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overrun {
    mean: f64,
    deviation: f64,
}

impl Overrun {
    /// Records that an answer with a cutoff at `cut`, and `time` until its objective, was sent at
    /// `out`. Answers that were complete before their cutoff are ignored, and so are those with a
    /// larger overrun than can be compensated for: they waited for something that was lost.
    pub fn sample(&mut self, cut: Instant, time: Duration, out: Instant) {
        let Some(took) = out.checked_duration_since(cut) else { return };
        if took > time * MAX_PERCENT / 100 {
            return;
        }
        let took = took.as_secs_f64();
        self.deviation += ((took - self.mean).abs() - self.deviation) * GAIN;
        self.mean += (took - self.mean) * GAIN;
    }

    /// Returns the cutoff for an answer that is started now and due at `objective`. `kept` is the
    /// margin already reserved before the objective.
    #[must_use]
    pub fn cutoff(self, now: Instant, objective: Instant, kept: Duration) -> Instant {
        let left = objective.saturating_duration_since(now);
        let overrun = Duration::from_secs_f64(self.mean + self.deviation * DEVIATIONS);
        now + left.saturating_sub(overrun.saturating_sub(kept).min(left * MAX_PERCENT / 100))
    }
}
