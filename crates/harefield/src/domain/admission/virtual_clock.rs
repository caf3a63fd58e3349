//! Start-time fair queuing over the accounts and teams whose requests wait.
//!
//! The load pattern: one account sends many times its usual load while there is no capacity for
//! all. In order of arrival it would get a share in proportion to what it sends; under fair
//! queuing it gets what the others leave.

use std::collections::HashMap;
use std::sync::Arc;

/// Start tags that are behind the virtual time are dropped at this many entries.
const MAX_TAGS: usize = 256;

/// The virtual time of one gate; each admitted request costs its account or team one unit.
#[derive(Clone, Debug, Default)]
pub(super) struct VirtualClock {
    time: f64,
    /// The earliest start tag of each account or team; one without an entry, or behind the
    /// virtual time, starts at the virtual time.
    tags: HashMap<Arc<str>, f64>,
}

impl VirtualClock {
    /// Returns the start tag of the next request of an account or team; the lowest goes first.
    pub fn start_tag(&self, name: &str) -> f64 {
        self.tags.get(name).copied().unwrap_or(0.0).max(self.time)
    }

    /// Records that a request of an account or team was admitted.
    pub fn record(&mut self, name: &Arc<str>) {
        self.time = self.start_tag(name);
        self.tags.insert(Arc::clone(name), self.time + 1.0);
        if self.tags.len() >= MAX_TAGS {
            let time = self.time;
            self.tags.retain(|_, tag| *tag > time);
        }
    }
}
