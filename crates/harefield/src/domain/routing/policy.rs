//! Policies for choosing among the available replicas.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::upstream_state::UpstreamState;

/// A policy for choosing among replicas; all but `Cost` are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The least expected time, estimated from the worker's own requests first and from load
    /// reports second.
    #[default]
    Cost,
    /// Any replica, at random.
    Random,
    /// The fewest requests of this worker in flight.
    LeastInFlight,
    /// Power of two choices by requests in flight; scored like [`Self::LeastInFlight`], over all
    /// available replicas.
    TwoChoices,
    /// The least `c(B)/μ` with the load-balancing cost `c(B) = B/N`: the priority of the
    /// generalized c/μ rule (Long, Zhang, Zhang, Zhang) with `B` requests of this worker in
    /// flight, `N` slots and `1/μ` the observed time.
    GeneralizedCMu,
}

/// The exponent with which a replica's share of the requests falls with its cost.
const STEEPNESS: f64 = 3.0;

/// Randomizes a cost, so that each of several replicas has the least one with a probability in
/// proportion to its cost to the power of minus [`STEEPNESS`].
///
/// Equal replicas share requests evenly, so that daemons with the same observations don't all send
/// to the same one; a replica that takes twice as long gets one request in nine beside one other.
fn spread(cost: f64, draw: f64) -> f64 {
    let exponential = -(1.0 - draw).max(1e-9).ln();
    cost * exponential.max(1e-9).powf(1.0 / STEEPNESS)
}

impl Policy {
    /// Returns the cost of a request to `upstream`; the lowest is chosen. `draw` is a random
    /// number in 0..1 for this replica at this choice.
    #[must_use]
    pub fn cost(self, upstream: &UpstreamState, typical: f64, draw: f64, now: Instant) -> f64 {
        let in_flight = f64::from(u32::try_from(upstream.in_flight()).unwrap_or(u32::MAX));
        match self {
            Self::Cost => spread(upstream.expected_time(typical, now), draw),
            Self::Random => draw,
            Self::LeastInFlight | Self::TwoChoices => in_flight + draw * 0.5,
            Self::GeneralizedCMu => {
                let slots = f64::from(upstream.spec().slots.max(1));
                let mean = upstream.observed_time(typical);
                in_flight / slots * mean + draw * 1e-6
            }
        }
    }
}
