//! The ways to choose among replicas that may be asked.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::upstream_state::UpstreamState;

/// A way to choose among replicas; all but `Cost` are kept as baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Least expected time, from own requests first and reports second.
    #[default]
    Cost,
    /// Any, at random.
    Random,
    /// Fewest own requests under way.
    LeastInFlight,
    /// The cheaper of two drawn at random, by requests under way.
    TwoChoices,
    /// Least `c(B)/μ` with the load-balancing cost `c(B) = B/N`: the priority
    /// of the generalized c/μ rule (Long, Zhang, Zhang, Zhang) with `B` own
    /// requests under way, `N` slots and `1/μ` the observed time.
    GeneralizedCMu,
}

/// How steeply a replica's part of the requests falls with its cost.
const STEEPNESS: f64 = 3.0;

/// Spreads a cost so that the least of several falls to each with a chance in
/// proportion to its cost to the power of minus the steepness.
///
/// Equal replicas share evenly, so that daemons that saw the same do not all
/// turn to the same one; one that takes twice as long gets one in 65.
fn spread(cost: f64, draw: f64) -> f64 {
    let exponential = -(1.0 - draw).max(1e-9).ln();
    cost * exponential.max(1e-9).powf(1.0 / STEEPNESS)
}

impl Policy {
    /// Returns the cost of asking `searcher`; the lowest is chosen. `draw`
    /// is a random number in 0..1 for this replica at this choice.
    #[must_use]
    pub fn cost(self, searcher: &UpstreamState, typical: f64, draw: f64, now: Instant) -> f64 {
        let under_way = f64::from(u32::try_from(searcher.in_flight()).unwrap_or(u32::MAX));
        match self {
            Self::Cost => spread(searcher.expected_time(typical, now), draw),
            Self::Random => draw,
            Self::LeastInFlight | Self::TwoChoices => under_way + draw * 0.5,
            Self::GeneralizedCMu => {
                let slots = f64::from(searcher.spec().slots.max(1));
                let mean = searcher.observed_time(typical);
                under_way / slots * mean + draw * 1e-6
            }
        }
    }
}
