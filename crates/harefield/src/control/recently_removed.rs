//! Upstreams whose entries lapsed while the platform was away.
//!
//! Entries of upstreams that live are back soon after the platform's return; until
//! then they stay in the view, so that an outage of the platform is none of the
//! fleet's. One that is missing after that is gone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::domain::ids::UpstreamId;
use crate::domain::resources::ResourceSet;
use crate::domain::resources::Upstream;

/// How long entries may be missing after the platform's return: the users'
/// upstreams are back within some 2 s, and no work may reach one that is gone
/// for 3 s.
pub(super) const GRACE: Duration = Duration::from_millis(2200);

/// This many upstreams that vanish at once show an outage that went unnoticed:
/// a watch may hang through it.
const OUTAGE_COUNT: usize = 3;

/// How close together that is: news of the platform is folded for 300 ms at a
/// time, so three that vanish one by one come within 900 ms.
const OUTAGE_WINDOW: Duration = Duration::from_secs(1);

/// The upstreams that stay in the view for a while.
#[derive(Debug, Default)]
pub(super) struct RecentlyRemoved {
    previous: BTreeMap<UpstreamId, Arc<Upstream>>,
    kept: BTreeMap<UpstreamId, (Arc<Upstream>, Instant)>,
    /// Those that vanished a moment ago.
    removed: Vec<(UpstreamId, Arc<Upstream>, Instant)>,
}

impl RecentlyRemoved {
    /// Takes the set in force, and whether the platform was away a moment ago;
    /// returns the set with what may have lapsed.
    pub(super) fn patch(&mut self, set: &Arc<ResourceSet>, away: bool, now: Instant) -> Arc<ResourceSet> {
        self.kept.retain(|name, (_, until)| now < *until && !set.upstreams.contains_key(name));
        let gone: Vec<(UpstreamId, Arc<Upstream>)> = self
            .previous
            .iter()
            .filter(|(name, upstream)| !set.upstreams.contains_key(*name) && !upstream.leaving)
            .map(|(name, upstream)| (Arc::clone(name), Arc::clone(upstream)))
            .collect();
        self.removed.retain(|(name, _, at)| {
            now.saturating_duration_since(*at) < OUTAGE_WINDOW && !set.upstreams.contains_key(name)
        });
        self.removed.extend(gone.into_iter().map(|(name, upstream)| (name, upstream, now)));
        if away || self.removed.len() >= OUTAGE_COUNT {
            let removed = self.removed.drain(..);
            self.kept.extend(removed.map(|(name, upstream, _)| (name, (upstream, now + GRACE))));
        }
        self.previous.clone_from(&set.upstreams);
        if self.kept.is_empty() {
            return Arc::clone(set);
        }
        Arc::new(set.with_upstreams(self.kept.iter().map(|(name, (upstream, _))| (name, upstream))))
    }

    /// Takes an upstream for gone at once: it has had its time to write.
    pub(super) fn forget(&mut self, upstream: &str) {
        self.previous.remove(upstream);
    }

    /// Returns when the next upstream that was kept is taken to be gone.
    pub(super) fn next_removal(&self) -> Option<Instant> {
        self.kept.values().map(|(_, until)| *until).min()
    }
}
