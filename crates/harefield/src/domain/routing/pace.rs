//! How long shard requests take: a moving mean and a moving quantile.

use std::time::Duration;

/// The quantile after which a reply counts as slow.
const SLOW: f64 = 0.95;

/// How far one sample moves the quantile, as a share of it.
const STEP: f64 = 0.02;

/// How far one sample moves the mean.
const GAIN: f64 = 0.02;

/// The pace before the first sample.
const FIRST: Duration = Duration::from_millis(10);

/// The part of an objective that a request is taken to need before any sample;
/// the users' objectives are 4 to 30 times the work.
const FIRST_PART: f64 = 0.25;

/// The observed pace of one kind of request.
#[derive(Clone, Debug)]
pub struct LatencyStats {
    mean: f64,
    slow: f64,
}

impl Default for LatencyStats {
    fn default() -> Self {
        Self { mean: FIRST.as_secs_f64(), slow: FIRST.as_secs_f64() }
    }
}

impl LatencyStats {
    /// Creates the pace of a kind of request before its first sample: a part of
    /// the time within which its answers are wanted.
    #[must_use]
    pub fn from_objective(objective: Duration) -> Self {
        let first = objective.as_secs_f64() * FIRST_PART;
        Self { mean: first, slow: first }
    }

    /// Takes one reply's time.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.mean += (took - self.mean) * GAIN;
        let weight = if took > self.slow { SLOW } else { SLOW - 1.0 };
        self.slow *= 1.0 + STEP * weight;
    }

    /// Returns the moving mean.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.max(0.0))
    }

    /// Returns the time after which a reply counts as slow.
    #[must_use]
    pub fn slow(&self) -> Duration {
        Duration::from_secs_f64(self.slow.clamp(0.0, 60.0))
    }
}
