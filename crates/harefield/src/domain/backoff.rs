//! Pauses that grow with each failure in a row.

use std::time::Duration;

/// A pause is doubled at most this often; every longest pause in use is reached
/// well before, and the factor still fits its type.
const MOST_DOUBLINGS: u32 = 10;

/// Returns the pause after a failure that came after `before` others in a row:
/// the first pause, doubled for each of them, up to the longest.
#[must_use]
pub fn backoff(first: Duration, before: u32, longest: Duration) -> Duration {
    first.saturating_mul(1 << before.min(MOST_DOUBLINGS)).min(longest)
}
