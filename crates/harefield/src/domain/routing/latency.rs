//! Latency of shard requests: a moving mean, a moving quantile and a recent minimum.

use std::time::Duration;

/// The quantile above which a reply counts as slow.
const SLOW_QUANTILE: f64 = 0.95;

/// The step by which one sample moves the quantile, as a fraction of it.
const STEP: f64 = 0.02;

/// The weight of a sample in the moving mean.
const GAIN: f64 = 0.02;

/// The shortest reply is that of the last one or two times this many.
const SHORTEST_OF: u32 = 16;

/// The latency that is assumed before the first sample.
const INITIAL: Duration = Duration::from_millis(10);

/// The fraction of its objective that a request is assumed to take before the first sample; the
/// users' objectives are 4 to 30 times the work.
const INITIAL_FRACTION: f64 = 0.25;

/// The observed latency of one kind of request.
#[derive(Clone, Debug)]
pub struct LatencyStats {
    mean: f64,
    slow: f64,
    /// The shortest of the last replies and of the [`SHORTEST_OF`] before them, in seconds.
    shortest: [f64; 2],
    /// The number of the last replies.
    replies: u32,
}

impl Default for LatencyStats {
    fn default() -> Self {
        Self::new(INITIAL.as_secs_f64())
    }
}

impl LatencyStats {
    /// Creates the latency of a kind of request before its first sample, as a fraction of
    /// its objective.
    #[must_use]
    pub fn from_objective(objective: Duration) -> Self {
        let first = objective.as_secs_f64() * INITIAL_FRACTION;
        Self::new(first)
    }

    const fn new(first: f64) -> Self {
        Self { mean: first, slow: first, shortest: [f64::INFINITY; 2], replies: 0 }
    }

    /// Records the time of one reply.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        if self.replies >= SHORTEST_OF {
            self.shortest = [f64::INFINITY, self.shortest[0]];
            self.replies = 0;
        }
        self.replies += 1;
        self.shortest[0] = self.shortest[0].min(took);
        self.mean += (took - self.mean) * GAIN;
        let weight = if took > self.slow { SLOW_QUANTILE } else { SLOW_QUANTILE - 1.0 };
        self.slow *= 1.0 + STEP * weight;
    }

    /// Returns the moving mean.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.max(0.0))
    }

    /// Returns the shortest time of recent replies; zero before the first.
    #[must_use]
    pub fn shortest(&self) -> Duration {
        let shortest = self.shortest[0].min(self.shortest[1]);
        if shortest.is_finite() { Duration::from_secs_f64(shortest.clamp(0.0, 60.0)) } else { Duration::ZERO }
    }

    /// Returns the time after which a reply counts as slow, the moving 95th percentile.
    #[must_use]
    pub fn slow(&self) -> Duration {
        Duration::from_secs_f64(self.slow.clamp(0.0, 60.0))
    }
}
