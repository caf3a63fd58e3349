//! Outcome counters and latency quantiles of each lookup, for operators.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::domain::outcome::Outcome;

/// How long latencies are collected before a new histogram is begun.
const WINDOW: Duration = Duration::from_secs(60);

/// The longest latency that the histograms distinguish, in microseconds.
const MAX_LATENCY: u64 = 600_000_000;

/// The outcomes of one lookup's requests at this daemon since it started, and their latency
/// over the last minute or two.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LookupStatus {
    /// Answered, all shards contributed.
    pub whole: u64,
    /// Answered, some shards missing.
    pub partial: u64,
    /// Not run.
    pub not_run: u64,
    /// May have run.
    pub unknown: u64,
    /// Shards that contributed, summed over all requests.
    pub contributed: u64,
    /// Shards that did not contribute, summed over all requests.
    pub missing: u64,
    /// The median latency, in milliseconds.
    pub p50: f64,
    /// The 99th percentile of the latency, in milliseconds.
    pub p99: f64,
}

/// The outcome of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestEnd {
    /// Whether it was answered, not run, or may have run.
    pub outcome: Outcome,
    /// Shards that contributed.
    pub contributed: usize,
    /// Shards that did not contribute.
    pub missing: usize,
    /// The request's latency, in microseconds.
    pub micros: u64,
}

/// The latencies of one lookup in the current window and in the one before it.
#[derive(Debug)]
struct LatencyWindows {
    current: Histogram<u64>,
    previous: Histogram<u64>,
}

/// The counters and latencies of all lookups.
#[derive(Debug)]
pub struct LookupTallies {
    lookups: BTreeMap<String, (LookupStatus, LatencyWindows)>,
    rotated_at: Instant,
}

impl LookupTallies {
    /// Creates empty tallies; the first window starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { lookups: BTreeMap::new(), rotated_at: now }
    }

    /// Records the end of one request and returns the lookup's updated status.
    pub fn record(&mut self, lookup: &str, ended: &RequestEnd, now: Instant) -> LookupStatus {
        self.rotate(now);
        let entry = self.lookups.entry(lookup.to_owned());
        let (status, times) = entry.or_insert_with(|| (LookupStatus::default(), LatencyWindows::new()));
        let count = match ended.outcome {
            Outcome::Answered if ended.missing == 0 => &mut status.whole,
            Outcome::Answered => &mut status.partial,
            Outcome::NotRun => &mut status.not_run,
            Outcome::MayHaveRun => &mut status.unknown,
        };
        *count += 1;
        status.contributed += u64::try_from(ended.contributed).unwrap_or(0);
        status.missing += u64::try_from(ended.missing).unwrap_or(0);
        times.current.saturating_record(ended.micros);
        status.p50 = times.quantile(0.5);
        status.p99 = times.quantile(0.99);
        status.clone()
    }

    fn rotate(&mut self, now: Instant) {
        if now.saturating_duration_since(self.rotated_at) < WINDOW {
            return;
        }
        self.rotated_at = now;
        for (_, times) in self.lookups.values_mut() {
            std::mem::swap(&mut times.current, &mut times.previous);
            times.current.reset();
        }
    }
}

impl LatencyWindows {
    fn new() -> Self {
        let make = || Histogram::new_with_bounds(1, MAX_LATENCY, 2).unwrap_or_else(|_bounds| unreachable!());
        Self { current: make(), previous: make() }
    }

    /// Returns a quantile in milliseconds: of the current window, or of the previous one while
    /// the current has fewer than 20 latencies.
    fn quantile(&self, quantile: f64) -> f64 {
        let times =
            if self.current.len() < 20 && !self.previous.is_empty() { &self.previous } else { &self.current };
        let micros = u32::try_from(times.value_at_quantile(quantile)).unwrap_or(u32::MAX);
        f64::from(micros) / 1000.0
    }
}
