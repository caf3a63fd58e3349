//! How many connections to an upstream are opened ahead of need.
//!
//! The load pattern: a daemon of a wide cell knows 540 upstreams, and 1,350 while the index is
//! resharded, but sends requests to a tenth of them, since wide fan-outs are split among daemons
//! and each daemon keeps to its part. Upstreams close idle connections, so that each unused one
//! would be reopened every few seconds; and while connections to a whole new set of shards are
//! opened, a small host has no time for requests.
//!
//! Connections are therefore kept ready only to recently used upstreams. With few upstreams they
//! are kept to all, since opening them takes hardly any time and each is used soon.

use std::time::Duration;
use std::time::Instant;

use super::router::Router;
use crate::domain::ids::UpstreamId;

/// Ready connections to each upstream in the local availability zone.
const READY_LOCAL: usize = 2;

/// Ready connections to each upstream in another availability zone, which gets requests directly
/// only where no daemon there can take a group.
const READY_REMOTE: usize = 1;

/// Up to this many upstreams, connections to all are kept ready: opening two to each takes less
/// than a second at four in ten milliseconds.
const MAX_ALL_READY: usize = 150;

/// An upstream that got no request for this long has no connections kept ready; a region queries
/// each of its shards at least once a second.
const RECENTLY_USED: Duration = Duration::from_secs(10);

impl Router {
    /// Returns how many connections to an upstream are to be kept ready, 0 for an unknown one.
    #[must_use]
    pub fn ready_connections(&self, name: &UpstreamId, now: Instant) -> usize {
        let Some(upstream) = self.upstreams.get(name) else { return 0 };
        let used = upstream.last_sent.is_some_and(|at| now.saturating_duration_since(at) < RECENTLY_USED);
        if !used && self.upstreams.len() > MAX_ALL_READY {
            return 0;
        }
        if self.is_remote(upstream) { READY_REMOTE } else { READY_LOCAL }
    }
}
