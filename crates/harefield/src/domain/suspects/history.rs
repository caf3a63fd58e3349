//! Whether a daemon would know of a work under which upstreams ended a while ago.

use std::time::Duration;

use crate::domain::ids::Incarnation;
use crate::domain::ids::started_at;
use crate::domain::membership::MemberRow;
use crate::domain::membership::PeerState;

/// A daemon that has run for this time has heard of what is repeated: callers retry a failed request
/// within seconds.
pub const DEFAULT_CAUTION: Duration = Duration::from_secs(10);

/// What a daemon can know of the past: of the time since it started, and of all that a daemon knows
/// that it met and that has run for longer.
#[derive(Clone, Copy, Debug)]
pub struct History {
    /// How long a daemon has to have run; zero if nothing is to be known.
    caution: Duration,
    informed: bool,
    isolated: bool,
}

impl History {
    /// Creates the history of a daemon that starts now. One that has run for `caution` has heard of
    /// what is repeated.
    #[must_use]
    pub fn new(caution: Duration) -> Self {
        Self { caution, informed: false, isolated: false }
    }

    /// Takes over which daemons are known, at `wall` since the Unix epoch.
    pub fn update(&mut self, rows: &[MemberRow], wall: Duration) {
        let is_old = |start: Incarnation| wall.saturating_sub(started_at(start)) >= self.caution;
        let live = rows.iter().filter(|row| row.state == PeerState::Live);
        self.informed |= live.clone().any(|row| is_old(row.incarnation));
        self.isolated = live.count() * 2 < rows.len();
    }

    /// Returns whether a daemon that has run for `age` would know of a work, as it or a daemon that
    /// it met has run for long enough, and it now hears at least half of the others.
    #[must_use]
    pub fn is_complete(&self, age: Duration) -> bool {
        self.caution.is_zero() || (self.informed || age >= self.caution) && !self.isolated
    }
}
