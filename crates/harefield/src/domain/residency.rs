//! Data residency: in which regions a request may be served and its body read.
//!
//! By law, some data may be served in some regions only. [`Residency::allows`] is the one decision
//! that everything that sends data relies on. Plans omit the replicas of other regions, so that
//! first attempts, hedges, retries, probes and groups never use them. A request is forwarded only
//! to daemons in one of the regions. The daemon that a caller connects to may be in any region.
//! Since the region of the caller is unknown, the request is not forwarded to other daemons beside
//! it either.

use std::sync::Arc;

/// Names of regions, shared without copying.
pub type Regions = Arc<[Arc<str>]>;

/// The regions in which a request may be served.
#[derive(Clone, Copy, Debug)]
pub struct Residency<'a> {
    regions: &'a [Arc<str>],
}

impl<'a> Residency<'a> {
    /// Creates the residency of a lookup that may be served in `regions`; in any region if empty.
    #[must_use]
    pub fn new(regions: &'a [Arc<str>]) -> Self {
        Self { regions }
    }

    /// Returns whether there are regions in which the request may not be served.
    #[must_use]
    pub fn is_restricted(self) -> bool {
        !self.regions.is_empty()
    }

    /// Returns whether the request may be served in a region. An unknown region is allowed only if
    /// there is no restriction.
    #[must_use]
    pub fn allows(self, region: Option<&Arc<str>>) -> bool {
        !self.is_restricted() || region.is_some_and(|region| self.regions.contains(region))
    }
}

/// Returns the regions allowed by both restrictions. `None` if they have no region in common.
#[must_use]
pub fn intersect(one: &Regions, other: &Regions) -> Option<Regions> {
    if one.is_empty() || other.is_empty() {
        return Some(Arc::clone(if one.is_empty() { other } else { one }));
    }
    let common: Regions = one.iter().filter(|region| other.contains(region)).map(Arc::clone).collect();
    (!common.is_empty()).then_some(common)
}
