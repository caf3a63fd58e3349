//! The location of upstreams relative to this daemon.

use std::collections::BTreeMap;
use std::sync::Arc;

/// The distance of an upstream. Nearer ones are preferred, since bytes between regions are
/// expensive and slow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same availability zone, or not known to be elsewhere.
    #[default]
    Near,
    /// In another availability zone of the same region.
    Region,
    /// In another region.
    Far,
}

/// The zone of this daemon, and the regions of all availability zones.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    /// The availability zone of the daemon. If it is empty, everything counts as near.
    pub zone: Arc<str>,
    /// The region of each availability zone.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
}

impl Topology {
    /// Returns the region of an availability zone, or the zone itself if its region is unknown.
    #[must_use]
    pub fn region_of<'a>(&'a self, zone: &'a Arc<str>) -> &'a Arc<str> {
        self.regions.get(zone).unwrap_or(zone)
    }

    /// Returns the distance of an availability zone.
    #[must_use]
    pub fn distance(&self, zone: &str) -> Distance {
        if self.zone.is_empty() || self.regions.is_empty() || *self.zone == *zone {
            return Distance::Near;
        }
        match (self.regions.get(&self.zone), self.regions.get(zone)) {
            (Some(own), Some(other)) if own == other => Distance::Region,
            _ => Distance::Far,
        }
    }
}
