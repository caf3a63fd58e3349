//! The system clock.
//!
//! It includes the time during which the host was suspended, which the monotonic clock leaves out:
//! otherwise leases, deadlines and proofs of freshness would look as fresh after a suspension as
//! before it. System timers wait by the monotonic clock, so long waits check this clock from time
//! to time.
//!
//! The plain monotonic clock is used for limits on a single call or connection, pauses after a
//! failed connection, the budget of log lines, and the limit of a planned stop. These only bound
//! waiting, and after each of them decisions are made by this clock.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_io::Timer;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

use crate::domain::time::micros;
use crate::ports::Clock;

/// How often a wait checks whether the host was suspended meanwhile. A wait whose end passed during
/// a suspension ends at most this late after it.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The first reading: on the monotonic clock, and since the host booted.
static FIRST: OnceLock<(Instant, Duration)> = OnceLock::new();

/// The system clock, which includes time in suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        let since_boot = since_boot();
        let (steady, first) = FIRST.get_or_init(|| (Instant::now(), since_boot));
        *steady + since_boot.saturating_sub(*first)
    }

    fn wall(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        micros(since)
    }

    async fn sleep_until(&self, at: Instant) {
        sleep_by(|| self.now(), at).await;
    }
}

/// Waits until `at` by a clock that may jump ahead.
pub async fn sleep_by(now: impl Fn() -> Instant, at: Instant) {
    loop {
        let left = at.saturating_duration_since(now());
        if left.is_zero() {
            return;
        }
        Timer::after(left.min(CHECK_INTERVAL)).await;
    }
}

/// Returns the time since the host booted, including suspension.
fn since_boot() -> Duration {
    let read = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(read.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(read.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
