//! Limits how often something is logged.

use std::time::Duration;
use std::time::Instant;

/// Admits a number of log lines in an interval, and counts those that are omitted.
#[derive(Clone, Copy, Debug)]
pub struct LogLimit {
    lines: u32,
    interval: Duration,
    /// When the current interval began; `None` before the first line.
    since: Option<Instant>,
    written: u32,
    omitted: u32,
}

impl LogLimit {
    /// Creates a limit of `lines` in an `interval`.
    #[must_use]
    pub const fn new(lines: u32, interval: Duration) -> Self {
        Self { lines, interval, since: None, written: 0, omitted: 0 }
    }

    /// Returns whether a line may be written now: if so, how many were omitted since the last one.
    pub fn admit(&mut self, now: Instant) -> Option<u32> {
        if self.since.is_none_or(|since| now.saturating_duration_since(since) >= self.interval) {
            self.since = Some(now);
            self.written = 0;
        }
        if self.written >= self.lines {
            self.omitted = self.omitted.saturating_add(1);
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.omitted))
    }
}
