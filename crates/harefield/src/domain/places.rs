//! Where upstreams stand, as seen from this daemon.

use std::collections::BTreeMap;
use std::sync::Arc;

/// How far an upstream is; nearer ones go first, since bytes between regions
/// are dear and take long.
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

/// The daemon's own place, and the regions of all availability zones.
#[derive(Clone, Debug, Default)]
pub struct Places {
    /// The daemon's availability zone; where it is empty all is near.
    pub zone: Arc<str>,
    /// The region of each availability zone.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
}

impl Places {
    /// Returns the region of an availability zone; the zone itself where nobody says.
    #[must_use]
    pub fn region_of<'a>(&'a self, zone: &'a Arc<str>) -> &'a Arc<str> {
        self.regions.get(zone).unwrap_or(zone)
    }

    /// Returns how far an availability zone is.
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
