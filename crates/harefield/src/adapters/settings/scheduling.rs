//! The section `[scheduling]` of the settings file.

use serde::Deserialize;

use crate::domain::routing::Scheduling;

/// How requests that compete for the upstreams of an index are scheduled.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct SchedulingSettings {
    /// Whether indexes that allow it are scheduled; see `docs/SCHEDULING.md`.
    pub enabled: bool,
    /// The weights of the ranks, the most urgent first. The last one also applies to all further
    /// ranks, and to requests whose objective has passed.
    pub shares: Vec<u32>,
    /// The fewest shards of an index that is scheduled.
    pub min_shards: usize,
}

impl Default for SchedulingSettings {
    fn default() -> Self {
        let defaults = Scheduling::default();
        Self { enabled: false, shares: defaults.shares().to_vec(), min_shards: defaults.min_shards() }
    }
}

impl SchedulingSettings {
    /// Returns the scheduling of a router.
    #[must_use]
    pub fn scheduling(&self) -> Scheduling {
        Scheduling::new(self.enabled, &self.shares).with_min_shards(self.min_shards)
    }
}
