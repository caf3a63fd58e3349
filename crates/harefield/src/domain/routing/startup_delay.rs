//! Whether a daemon knows the others well enough to use its quota of what all daemons share.

use std::time::Duration;
use std::time::Instant;

/// How long a daemon waits after its start, so that it and the others have learned of each other.
/// Daemons gossip once a second by default, and a change reaches 2,700 daemons in 8 hops, each of
/// which forwards it immediately.
const DELAY: Duration = Duration::from_secs(3);

/// When a daemon started, and whether it has learned of another one.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartupDelay {
    start: Instant,
    peer_known: bool,
}

impl StartupDelay {
    /// Creates the state of a daemon that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self { start: now, peer_known: false }
    }

    /// Records that another daemon is known.
    pub fn record_peer(&mut self) {
        self.peer_known = true;
    }

    /// Returns whether the daemon may use its quota. `expects_peers` tells whether other daemons
    /// are expected by the settings; a daemon that starts while it is cut off from them has
    /// no quota.
    pub fn has_quota(self, expects_peers: bool, now: Instant) -> bool {
        now.saturating_duration_since(self.start) >= DELAY && (self.peer_known || !expects_peers)
    }
}
