//! How many connections to an upstream are kept ready ahead of need.
//!
//! The load pattern: a daemon of a wide cell knows 540 upstreams, and 1,350 while the
//! index is cut anew, and asks a tenth of them, since wide fan-outs are shared out and
//! each daemon keeps to its part. Upstreams close what rests, so that each connection
//! that nobody uses is opened again every few seconds; and while all are opened to a new
//! set of shards, a small host has no time for requests.
//!
//! The limit is use: what was asked of late is kept ready. Where the upstreams are few
//! all are, since opening them takes hardly any time and each is asked soon.

use std::time::Duration;
use std::time::Instant;

use super::router::Router;
use crate::domain::ids::UpstreamId;

/// How many connections are kept ready to each upstream in the own availability zone.
const READY: usize = 2;

/// How many to each upstream in another availability zone, which is asked directly
/// only where a group cannot be.
const READY_AWAY: usize = 1;

/// As many upstreams are few: to open two connections to each takes less than a second at
/// four in ten milliseconds.
const FEW: usize = 150;

/// An upstream that was not asked for this long has nothing kept ready: a region asks each
/// of its shards once a second and more often.
const USED_FOR: Duration = Duration::from_secs(10);

impl Router {
    /// Returns how many connections to an upstream are to be kept ready.
    #[must_use]
    pub fn ready_connections(&self, name: &UpstreamId, now: Instant) -> usize {
        let Some(searcher) = self.upstreams.get(name) else { return 0 };
        let used = searcher.last_sent.is_some_and(|at| now.saturating_duration_since(at) < USED_FOR);
        if !used && self.upstreams.len() > FEW {
            return 0;
        }
        if self.is_remote(searcher) { READY_AWAY } else { READY }
    }
}
