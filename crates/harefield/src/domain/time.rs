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
