//! Exponential backoff.

use std::time::Duration;

/// The largest number of doublings. Every maximum pause in use is reached well before this, and the
/// factor still fits its type.
const MAX_DOUBLINGS: u32 = 10;

/// Returns the pause after a failure that was preceded by `before` consecutive failures: the first
/// pause, doubled once for each of them and capped at the longest.
#[must_use]
pub fn backoff(first: Duration, failures: u32, max: Duration) -> Duration {
    first.saturating_mul(1 << failures.min(MAX_DOUBLINGS)).min(max)
}
