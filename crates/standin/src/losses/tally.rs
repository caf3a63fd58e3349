//! The losses of many requests, by cause.

use std::collections::BTreeMap;

use super::request::Cause;
use super::request::RequestLoss;

/// The summed losses of some requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// The number of requests.
    pub requests: usize,
    /// The losses by cause; 1 is the full value of one request.
    pub lost: BTreeMap<Cause, f64>,
}

impl Tally {
    /// Adds one request.
    pub fn add(&mut self, loss: &RequestLoss) {
        self.requests += 1;
        for (cause, share) in &loss.lost {
            *self.lost.entry(cause.clone()).or_default() += share;
        }
    }

    /// Returns the losses of all causes; 1 is the full value of one request.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.lost.values().sum()
    }
}
