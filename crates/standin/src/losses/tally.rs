//! What many requests lost, by cause.

use std::collections::BTreeMap;

use super::request::Cause;
use super::request::RequestLoss;

/// What some requests lost together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// How many requests there were.
    pub requests: usize,
    /// What they lost, in requests' worths, by cause.
    pub lost: BTreeMap<Cause, f64>,
}

impl Tally {
    /// Takes one request.
    pub fn add(&mut self, story: &RequestLoss) {
        self.requests += 1;
        for (cause, lost) in &story.lost {
            *self.lost.entry(cause.clone()).or_default() += lost;
        }
    }

    /// Returns what was lost for all causes, in requests' worths.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.lost.values().sum()
    }
}
