//! Upstreams whose entries disappeared while the platform was unreachable.
//!
//! Upstreams that are still running register again soon after the platform has recovered. Until
//! then they stay in the view, so that an outage of the platform does not become an outage of the
//! fleet. An upstream that is still missing after that is gone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::domain::ids::UpstreamId;
use crate::domain::resources::ResourceSet;
use crate::domain::resources::Resources;
use crate::domain::resources::Upstream;

/// How long entries may be missing after the platform has recovered. The users' upstreams register
/// again within some 2 s, and no work may be sent to an upstream that has been gone for 3 s.
pub(super) const GRACE: Duration = Duration::from_millis(2200);

/// This many upstreams that are removed together indicate an outage that went unnoticed, since a
/// watch may hang throughout it.
const OUTAGE_COUNT: usize = 3;

/// The time within which they count as removed together. Updates of the platform are batched for
/// 300 ms at a time, so three upstreams that are removed one by one arrive within 900 ms.
const OUTAGE_WINDOW: Duration = Duration::from_secs(1);

/// The upstreams that stay in the view for some time after their removal.
#[derive(Debug, Default)]
pub(super) struct RecentlyRemoved {
    previous: Resources<Upstream>,
    kept: BTreeMap<UpstreamId, (Arc<Upstream>, Instant)>,
    /// The upstreams removed within the last [`OUTAGE_WINDOW`].
    removed: Vec<(UpstreamId, Arc<Upstream>, Instant)>,
}

impl RecentlyRemoved {
    /// Returns `set` extended by the upstreams that may still be running. `unreachable` says
    /// whether the platform does not respond or recovered less than [`GRACE`] ago.
    pub(super) fn patch(
        &mut self,
        set: &Arc<ResourceSet>,
        unreachable: bool,
        now: Instant,
    ) -> Arc<ResourceSet> {
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
        if unreachable || self.removed.len() >= OUTAGE_COUNT {
            let removed = self.removed.drain(..);
            self.kept.extend(removed.map(|(name, upstream, _)| (name, (upstream, now + GRACE))));
        }
        self.previous = Arc::clone(&set.upstreams);
        if self.kept.is_empty() {
            return Arc::clone(set);
        }
        Arc::new(set.with_upstreams(self.kept.iter().map(|(name, (upstream, _))| (name, upstream))))
    }

    /// Treats an upstream as gone at once, since it has had the time to write again.
    pub(super) fn forget(&mut self, upstream: &str) {
        if self.previous.contains_key(upstream) {
            Arc::make_mut(&mut self.previous).remove(upstream);
        }
    }

    /// Returns when the next kept upstream is treated as gone.
    pub(super) fn next_removal(&self) -> Option<Instant> {
        self.kept.values().map(|(_, until)| *until).min()
    }
}
