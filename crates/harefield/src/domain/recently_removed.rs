//! Upstreams whose entries disappeared because of an outage of the platform.
//!
//! Upstreams that are still running register again soon after the platform has recovered. Until
//! then they stay in the view, so that an outage of the platform does not become an outage of the
//! fleet. An upstream that is still missing after that is gone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::ids::UpstreamId;
use super::outages::Lapse;
use super::resources::ResourceSet;
use super::resources::Resources;
use super::resources::Upstream;

/// Where an outage is possible, but not certain, upstreams stay if this many are removed together:
/// an outage that ends entries ends many.
const LAPSE_COUNT: usize = 3;

/// The time within which they count as removed together. Updates of the platform are batched for
/// 300 ms at a time, so three upstreams that are removed one by one arrive within 900 ms.
const LAPSE_WINDOW: Duration = Duration::from_secs(1);

/// An upstream that was removed while an outage was possible.
#[derive(Debug)]
struct Removal {
    name: UpstreamId,
    upstream: Arc<Upstream>,
    at: Instant,
    until: Instant,
}

/// The upstreams that stay in the view for some time after their removal.
#[derive(Debug, Default)]
pub struct RecentlyRemoved {
    previous: Resources<Upstream>,
    kept: BTreeMap<UpstreamId, (Arc<Upstream>, Instant)>,
    /// The upstreams removed within the last [`LAPSE_WINDOW`] that may have lapsed.
    removed: Vec<Removal>,
}

impl RecentlyRemoved {
    /// Returns `set` extended by the upstreams that may still be running. `lapse` says whether an
    /// outage may have ended the entries that are new to be missing at `now`.
    pub fn patch(&mut self, set: &Arc<ResourceSet>, lapse: Lapse, now: Instant) -> Arc<ResourceSet> {
        self.kept.retain(|name, (_, until)| now < *until && !set.upstreams.contains_key(name));
        self.removed.retain(|removal| {
            let is_recent = now.saturating_duration_since(removal.at) < LAPSE_WINDOW;
            is_recent && now < removal.until && !set.upstreams.contains_key(&removal.name)
        });
        let gone = self
            .previous
            .iter()
            .filter(|(name, upstream)| !set.upstreams.contains_key(*name) && !upstream.leaving)
            .map(|(name, upstream)| (Arc::clone(name), Arc::clone(upstream)));
        match lapse {
            Lapse::Excluded => {}
            Lapse::Certain(until) | Lapse::Suspected(until) => {
                self.kept.extend(gone.map(|(name, upstream)| (name, (upstream, until))));
            }
            Lapse::Possible(until) => {
                self.removed.extend(gone.map(|(name, upstream)| Removal { name, upstream, at: now, until }));
            }
        }
        if self.removed.len() >= LAPSE_COUNT {
            let removed = self.removed.drain(..);
            self.kept.extend(removed.map(|removal| (removal.name, (removal.upstream, removal.until))));
        }
        self.kept.retain(|_, (_, until)| now < *until);
        self.previous = Arc::clone(&set.upstreams);
        if self.kept.is_empty() {
            return Arc::clone(set);
        }
        Arc::new(set.with_upstreams(self.kept.iter().map(|(name, (upstream, _))| (name, upstream))))
    }

    /// Treats an upstream as gone at once, since it has had the time to write again.
    pub fn forget(&mut self, upstream: &str) {
        if self.previous.contains_key(upstream) {
            Arc::make_mut(&mut self.previous).remove(upstream);
        }
    }

    /// Returns when the next kept upstream is treated as gone.
    #[must_use]
    pub fn next_removal(&self) -> Option<Instant> {
        self.kept.values().map(|(_, until)| *until).min()
    }
}
