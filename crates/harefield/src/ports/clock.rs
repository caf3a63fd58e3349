//! The port to the clock.

use std::time::Duration;
use std::time::Instant;

/// The longest part of a stall of this process that [`Clock::sleep_running`] counts.
const RUNNING_STEP: Duration = Duration::from_millis(10);

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

    /// Waits for `time`, not counting most of the time in which this process does not run.
    ///
    /// It is meant for time limits on the answers of others. After a stall, a single timer expires
    /// together with the arrival of what it waited for, or before a task that would have sent the
    /// query has run. Here a stall counts as one step, and other tasks get a turn in each step.
    fn sleep_running(&self, time: Duration) -> impl Future<Output = ()> {
        async move {
            for _ in 0..time.as_micros().div_ceil(RUNNING_STEP.as_micros()) {
                self.sleep(RUNNING_STEP).await;
            }
        }
    }
}
