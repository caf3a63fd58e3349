//! Whether a daemon knows the others well enough to have a part of what all share.

use std::time::Duration;
use std::time::Instant;

/// How long a daemon that starts waits: others have then heard of it, and it of them. They
/// speak to each other once a second by default, and a change reaches 2,700 in 8 hops, each
/// at once.
const SETTLE: Duration = Duration::from_secs(3);

/// Since when a daemon runs, and whether it has heard of another.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartupDelay {
    start: Instant,
    met: bool,
}

impl StartupDelay {
    /// Creates the state of a daemon that starts.
    pub fn new(now: Instant) -> Self {
        Self { start: now, met: false }
    }

    /// Takes that another daemon is known.
    pub fn record_peer(&mut self) {
        self.met = true;
    }

    /// Says whether it has a part, where there are to be `others`. One that starts while it
    /// is cut off from them has none.
    pub fn has_quota(self, others: bool, now: Instant) -> bool {
        now.saturating_duration_since(self.start) >= SETTLE && (self.met || !others)
    }
}
