//! Durations as whole numbers, as events and messages carry them.

use std::time::Duration;

/// Returns a duration in whole microseconds; one too long for the type is its
/// greatest value.
#[must_use]
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns a duration in whole milliseconds; one too long for the type is its
/// greatest value.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
