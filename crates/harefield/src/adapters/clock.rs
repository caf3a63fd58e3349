//! The machine's clock.
//!
//! It counts the time in which the host was suspended, which the steady clock leaves out:
//! leases, deadlines and proofs of freshness that rest on it would be as fresh after the
//! suspension as before. Timers of the system wait by the steady clock, so that a long wait
//! looks at this clock from time to time.
//!
//! What goes by the plain steady clock: limits on one call or connection, pauses after a
//! connection failed, the budget of log lines, and the limit of a planned stop. They bound
//! waiting, and each is followed by a look at what is decided by this clock.

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

/// How often a wait looks whether the host was suspended meanwhile: whatever waits for
/// longer is at most this late after it, beside what it awaited by then.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The first reading, on the steady clock and since the host started.
static FIRST: OnceLock<(Instant, Duration)> = OnceLock::new();

/// The machine's clock.
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

/// Returns the time since the host started, suspended or not.
fn since_boot() -> Duration {
    let read = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(read.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(read.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
