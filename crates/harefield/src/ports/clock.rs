//! The port to the clock.

use std::time::Duration;
use std::time::Instant;

/// Provides the time and timers.
pub trait Clock: Copy + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time in microseconds since the Unix epoch.
    fn wall(&self) -> u64;

    /// Waits until `at`.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()>;

    /// Waits for `time`.
    fn sleep(&self, time: Duration) -> impl Future<Output = ()> {
        self.sleep_until(self.now() + time)
    }
}
