//! What became of each lookup's requests, for operators.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::domain::outcome::Outcome;

/// How long times count before they are forgotten.
const LIFE: Duration = Duration::from_secs(60);

/// The longest time told apart, in microseconds.
const LONGEST: u64 = 600_000_000;

/// One lookup's requests at this daemon since its start; times of the last
/// minute or two.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LookupStatus {
    /// Answered whole.
    pub whole: u64,
    /// Answered in part.
    pub partial: u64,
    /// Not run.
    pub not_run: u64,
    /// May have run.
    pub unknown: u64,
    /// Shards that contributed, of all answers.
    pub contributed: u64,
    /// Shards that did not.
    pub missing: u64,
    /// The median time, in milliseconds.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// How one request ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// What became of it.
    pub outcome: Outcome,
    /// Shards that contributed.
    pub contributed: usize,
    /// Shards that did not.
    pub missing: usize,
    /// The time it took, in microseconds.
    pub micros: u64,
}

#[derive(Debug)]
struct Times {
    now: Histogram<u64>,
    before: Histogram<u64>,
}

/// Tallies of all lookups.
#[derive(Debug)]
pub struct LookupTallies {
    lookups: BTreeMap<String, (LookupStatus, Times)>,
    turned: Instant,
}

impl LookupTallies {
    /// Creates empty tallies.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { lookups: BTreeMap::new(), turned: now }
    }

    /// Takes the end of one request; returns the lookup's status.
    pub fn take(&mut self, lookup: &str, ended: &Ended, now: Instant) -> LookupStatus {
        self.turn(now);
        let entry = self.lookups.entry(lookup.to_owned());
        let (status, times) = entry.or_insert_with(|| (LookupStatus::default(), Times::new()));
        let count = match ended.outcome {
            Outcome::Answered if ended.missing == 0 => &mut status.whole,
            Outcome::Answered => &mut status.partial,
            Outcome::NotRun => &mut status.not_run,
            Outcome::MayHaveRun => &mut status.unknown,
        };
        *count += 1;
        status.contributed += u64::try_from(ended.contributed).unwrap_or(0);
        status.missing += u64::try_from(ended.missing).unwrap_or(0);
        times.now.saturating_record(ended.micros);
        status.p50 = times.quantile(0.5);
        status.p99 = times.quantile(0.99);
        status.clone()
    }

    fn turn(&mut self, now: Instant) {
        if now.saturating_duration_since(self.turned) < LIFE {
            return;
        }
        self.turned = now;
        for (_, times) in self.lookups.values_mut() {
            std::mem::swap(&mut times.now, &mut times.before);
            times.now.reset();
        }
    }
}

impl Times {
    fn new() -> Self {
        let make = || Histogram::new_with_bounds(1, LONGEST, 2).unwrap_or_else(|_bounds| unreachable!());
        Self { now: make(), before: make() }
    }

    /// Returns a quantile in milliseconds, of this minute or the one before.
    fn quantile(&self, quantile: f64) -> f64 {
        let times = if self.now.len() < 20 && !self.before.is_empty() { &self.before } else { &self.now };
        let micros = u32::try_from(times.value_at_quantile(quantile)).unwrap_or(u32::MAX);
        f64::from(micros) / 1000.0
    }
}
