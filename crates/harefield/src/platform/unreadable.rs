//! Entries of the store that name no upstream.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::rc::Rc;

use log::warn;
use prometheus_client::metrics::gauge::Gauge;

use crate::domain::revision::Revision;

/// How many entries are remembered, so that each is told of once: as many as a page holds.
const MAX_REPORTED: usize = 500;

/// Entries that were left out, by key, with the revision that was told of.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreadableEntries {
    reported: Rc<RefCell<BTreeMap<String, Revision>>>,
    gauge: Gauge,
}

impl UnreadableEntries {
    /// Creates an empty account that `gauge` shows the length of.
    pub fn new(gauge: Gauge) -> Self {
        Self { reported: Rc::default(), gauge }
    }

    /// Notes an entry that cannot be read; tells of it once for each revision.
    pub fn record(&self, key: &str, revision: Revision, why: &impl Display) {
        let mut reported = self.reported.borrow_mut();
        if reported.get(key) == Some(&revision)
            || (reported.len() >= MAX_REPORTED && !reported.contains_key(key))
        {
            return;
        }
        reported.insert(key.to_owned(), revision);
        warn!("{key} at revision {revision} cannot be read and is left out: {why}");
        self.update_gauge(&reported);
    }

    /// Notes that an entry can be read, or is gone.
    pub fn clear(&self, key: &str) {
        let mut reported = self.reported.borrow_mut();
        if reported.remove(key).is_some() {
            self.update_gauge(&reported);
        }
    }

    /// Forgets entries that a whole listing does not hold.
    pub fn retain_listed(&self, listed: impl Fn(&str) -> bool) {
        let mut reported = self.reported.borrow_mut();
        reported.retain(|key, _| listed(key));
        self.update_gauge(&reported);
    }

    fn update_gauge(&self, reported: &BTreeMap<String, Revision>) {
        self.gauge.set(i64::try_from(reported.len()).unwrap_or(i64::MAX));
    }
}
