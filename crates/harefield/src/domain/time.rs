//! Durations as whole numbers, for events and messages.

use std::time::Duration;

/// Returns a duration in whole microseconds, saturating at `u64::MAX`.
#[must_use]
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns a duration in whole milliseconds, saturating at `u64::MAX`.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a wait in whole milliseconds, rounded up so that it does not end early; at least one.
#[must_use]
pub fn wait_millis(wait: Duration) -> u64 {
    u64::try_from(wait.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX).max(1)
}
