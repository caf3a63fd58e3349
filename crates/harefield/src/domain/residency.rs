//! Where a request may be served, and its body read.
//!
//! Some data may by law be served in some regions only. One decision, [`Residency::allows`],
//! is asked by everything that sends: plans leave out the replicas of other regions, and so
//! first attempts, hedges, retries, probes and groups never see them; a request is handed
//! only to daemons that stand in one of the regions. The daemon that a caller came to may
//! stand anywhere. Which region a caller is in is not known, so no other daemon beside it
//! is handed the request either.

use std::sync::Arc;

/// Names of regions, shared by all that carry them.
pub type Regions = Arc<[Arc<str>]>;

/// The regions in which a request may be served.
#[derive(Clone, Copy, Debug)]
pub struct Residency<'a> {
    regions: &'a [Arc<str>],
}

impl<'a> Residency<'a> {
    /// Creates the residency of a lookup that names `regions`; everywhere where it names none.
    #[must_use]
    pub fn new(regions: &'a [Arc<str>]) -> Self {
        Self { regions }
    }

    /// Returns whether there are regions in which it may not be served.
    #[must_use]
    pub fn is_bound(self) -> bool {
        !self.regions.is_empty()
    }

    /// Returns whether it may be served in a region; not where nobody knows which region it
    /// is, unless it may be served everywhere.
    #[must_use]
    pub fn allows(self, region: Option<&Arc<str>>) -> bool {
        !self.is_bound() || region.is_some_and(|region| self.regions.contains(region))
    }
}

/// Returns the regions in which a request may be served that two bind; none where they have
/// no region in common.
#[must_use]
pub fn both(one: &Regions, other: &Regions) -> Option<Regions> {
    if one.is_empty() || other.is_empty() {
        return Some(Arc::clone(if one.is_empty() { other } else { one }));
    }
    let common: Regions = one.iter().filter(|region| other.contains(region)).map(Arc::clone).collect();
    (!common.is_empty()).then_some(common)
}
