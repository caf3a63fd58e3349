//! The machine's clock.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_io::Timer;

use crate::domain::time::micros;
use crate::ports::Clock;

/// The machine's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        micros(since)
    }

    async fn sleep_until(&self, at: Instant) {
        Timer::at(at).await;
    }
}
