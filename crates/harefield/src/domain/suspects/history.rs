//! Whether a daemon would know of a work under which upstreams ended a while ago.

use std::time::Duration;
use std::time::Instant;

use crate::domain::ids::Incarnation;
use crate::domain::ids::started_at;
use crate::domain::membership::MemberRow;
use crate::domain::membership::PeerState;

/// A daemon that has run for this time has heard of what is repeated: callers retry a failed request
/// within seconds.
pub const DEFAULT_CAUTION: Duration = Duration::from_secs(10);

/// What a daemon can know of the past: what happened since it started, and what those know that it met
/// and that have run for longer.
#[derive(Clone, Copy, Debug)]
pub struct History {
    /// How long a daemon has to have run; zero if nothing is to be known.
    caution: Duration,
    started: Instant,
    /// Whether a daemon was met that had run for that long.
    informed: bool,
    /// Whether most of the known daemons are not heard.
    isolated: bool,
}

impl History {
    /// Creates the history of a daemon that starts at `now`. One that has run for `caution` has heard
    /// of what is repeated.
    #[must_use]
    pub fn new(caution: Duration, now: Instant) -> Self {
        Self { caution, started: now, informed: false, isolated: false }
    }

    /// Takes over which daemons are known, at `wall` since the Unix epoch.
    pub fn update(&mut self, rows: &[MemberRow], wall: Duration) {
        let is_old = |start: Incarnation| wall.saturating_sub(started_at(start)) >= self.caution;
        let live = rows.iter().filter(|row| row.state == PeerState::Live);
        self.informed |= live.clone().any(|row| is_old(row.incarnation));
        self.isolated = live.count() * 2 < rows.len();
    }

    /// Returns whether the daemon would know of a work, as it or a daemon that it met has run for long
    /// enough, and it hears at least half of the known daemons, itself included.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        let is_old = now.saturating_duration_since(self.started) >= self.caution;
        self.caution.is_zero() || (self.informed || is_old) && !self.isolated
    }
}
