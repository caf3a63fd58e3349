//! The parts of accounts' rate limits that this daemon holds, as token buckets.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::holders::SlotId;
use super::limit::PartLimit;
use crate::domain::time::wait_millis;

/// The longest time after which a rejected caller is asked to retry.
const RETRY_HORIZON: Duration = Duration::from_secs(2);

/// How often full buckets are dropped. A bucket created later has refilled since the daemon
/// started, so it is full as well.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The upper bound of refill times, for parts whose rate is close to zero.
const MAX_REFILL_TIME: Duration = Duration::from_secs(86_400);

/// A holder's response to a request for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantResponse {
    /// The number of permits granted, at least one.
    Granted(u32),
    /// No permit is available; one will be for a caller that retries after this time, which is in
    /// whole milliseconds.
    Empty(Duration),
}

/// The token bucket of one part.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    /// When the tokens were last updated.
    updated: Instant,
    /// When the bucket will be full if no more tokens are taken.
    full_at: Instant,
    /// The last retry time that was assigned to a rejected caller.
    last_retry: Instant,
}

/// The buckets of the parts that this daemon holds; full ones are dropped.
#[derive(Debug)]
pub struct Grants {
    start: Instant,
    last_sweep: Instant,
    buckets: HashMap<SlotId, Bucket>,
}

impl Grants {
    /// Creates the parts of a daemon that starts. All buckets start empty, since the permits
    /// granted by the daemon's previous process are unknown.
    #[must_use]
    pub fn new(start: Instant) -> Self {
        Self { start, last_sweep: start, buckets: HashMap::new() }
    }

    /// Grants up to `wanted` permits from a part, at least one if there is one.
    pub fn grant(&mut self, slot: &SlotId, limit: PartLimit, wanted: u32, now: Instant) -> GrantResponse {
        if now.saturating_duration_since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.buckets.retain(|_, bucket| bucket.full_at > now);
        }
        let start = self.start;
        let bucket = self.buckets.entry(slot.clone()).or_insert_with(|| Bucket::since(start));
        bucket.fill(limit, now);
        let response = bucket.take(limit, wanted, now);
        bucket.full_at = now + refill_time(limit.burst - bucket.tokens, limit.rate);
        response
    }

    /// Returns the number of buckets that are kept.
    #[must_use]
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }
}

/// Returns how long a bucket takes to gain a number of permits.
fn refill_time(permits: f64, rate: f64) -> Duration {
    Duration::try_from_secs_f64(permits.max(0.0) / rate).unwrap_or(MAX_REFILL_TIME).min(MAX_REFILL_TIME)
}

impl Bucket {
    fn since(start: Instant) -> Self {
        Self { tokens: 0.0, updated: start, full_at: start, last_retry: start }
    }

    fn fill(&mut self, limit: PartLimit, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + passed * limit.rate).min(limit.burst);
        self.updated = self.updated.max(now);
    }

    fn take(&mut self, limit: PartLimit, wanted: u32, now: Instant) -> GrantResponse {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it is not negative")]
        let whole = self.tokens.max(0.0) as u32;
        let granted = whole.min(wanted.max(1));
        if granted > 0 {
            self.tokens -= f64::from(granted);
            return GrantResponse::Granted(granted);
        }
        let first = now + refill_time(1.0 - self.tokens, limit.rate);
        let retry = first.max(self.last_retry + refill_time(1.0, limit.rate)).min(now + RETRY_HORIZON);
        self.last_retry = retry;
        GrantResponse::Empty(Duration::from_millis(wait_millis(retry.saturating_duration_since(now))))
    }
}
