//! The parts of accounts' limits that this daemon holds.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::holders::SlotId;
use super::limit::PartLimit;

/// Turns to come back are given out so far ahead at most.
const HORIZON: Duration = Duration::from_secs(2);

/// How often the parts that are full are dropped: one that is made anew is full as well.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// The time in which a part that gives out next to nothing is taken to fill.
const LONGEST: Duration = Duration::from_secs(86_400);

/// What a holder says to who wants permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantResponse {
    /// So many permits, one at least.
    Granted(u32),
    /// None; one is free for who comes back after this time.
    Empty(Duration),
}

/// One part, as a token bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    at: Instant,
    /// When it is full if nothing more is drawn.
    full: Instant,
    /// The last turn that was given out.
    turn: Instant,
}

/// The parts that this daemon holds; those that are full are not kept.
#[derive(Debug)]
pub struct Grants {
    start: Instant,
    swept: Instant,
    buckets: HashMap<SlotId, Bucket>,
}

impl Grants {
    /// Creates the parts of a daemon that starts: all of them are empty, since what a former
    /// process of it granted is not known.
    #[must_use]
    pub fn new(start: Instant) -> Self {
        Self { start, swept: start, buckets: HashMap::new() }
    }

    /// Grants up to `wanted` permits of a part.
    pub fn grant(&mut self, slot: &SlotId, limit: PartLimit, wanted: u32, now: Instant) -> GrantResponse {
        if now.saturating_duration_since(self.swept) >= SWEEP_EVERY {
            self.swept = now;
            self.buckets.retain(|_, bucket| bucket.full > now);
        }
        let start = self.start;
        let bucket = self.buckets.entry(slot.clone()).or_insert_with(|| Bucket::since(start));
        bucket.fill(limit, now);
        let answer = bucket.take(limit, wanted, now);
        bucket.full = now + time_for(limit.burst - bucket.tokens, limit.rate);
        answer
    }

    /// Returns how many parts are kept.
    #[must_use]
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }
}

/// Returns how long a part takes to gather some permits.
fn time_for(permits: f64, rate: f64) -> Duration {
    Duration::try_from_secs_f64(permits.max(0.0) / rate).unwrap_or(LONGEST).min(LONGEST)
}

impl Bucket {
    fn since(start: Instant) -> Self {
        Self { tokens: 0.0, at: start, full: start, turn: start }
    }

    fn fill(&mut self, limit: PartLimit, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * limit.rate).min(limit.burst);
        self.at = self.at.max(now);
    }

    fn take(&mut self, limit: PartLimit, wanted: u32, now: Instant) -> GrantResponse {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it is not negative")]
        let whole = self.tokens.max(0.0) as u32;
        let granted = whole.min(wanted.max(1));
        if granted > 0 {
            self.tokens -= f64::from(granted);
            return GrantResponse::Granted(granted);
        }
        let first = now + time_for(1.0 - self.tokens, limit.rate);
        let turn = first.max(self.turn + time_for(1.0, limit.rate)).min(now + HORIZON);
        self.turn = turn;
        GrantResponse::Empty(turn.saturating_duration_since(now))
    }
}
